"""Many nodes that start at once: experiments in virtual time, and the cost of a start."""

from collections import Counter
from pathlib import Path

import pytest

from hookpitch.fakes.history import History
from hookpitch.testbed.base_run import RunResult
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.metrics import RpcRecord, check_expectations, figure, rpc_records
from hookpitch.testbed.run import Run

FILES = sorted((Path(__file__).parent.parent / "experiments").glob("start-*.toml"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_the_expectations_of_a_start_experiment_hold(path: Path) -> None:
    result = Run(load(path), load(path).seed).run()
    assert not result.violations, str(result.violations[0])
    assert not result.program_errors
    assert not [
        (expectation.text, value)
        for expectation, value, holds in check_expectations(result)
        if not holds
    ]


def test_nodes_that_start_during_faults_serve_as_well_as_the_running_ones() -> None:
    experiment = load(next(path for path in FILES if path.stem == "start-into-trouble"))
    result = Run(experiment, 1).run()
    starts = Counter(event.who for event in result.history.events if event.kind == "start")
    # After 7 s the restarted nodes are up again.
    rpcs = [rpc for rpc in rpc_records(experiment, result.history.events) if rpc.asked_at > 7000.0]
    restarted, running = (
        [rpc for rpc in rpcs if (starts[rpc.node] > 1) is is_restarted]
        for is_restarted in (True, False)
    )
    assert len(restarted) > 500
    assert len(running) > 500
    served = [
        figure("served", result, records, 0.0, experiment.seconds)
        for records in (restarted, running)
    ]
    assert served[0] >= served[1] - 0.02


def test_the_cost_of_a_start_is_counted_by_second_and_by_node() -> None:
    history = History()
    for at in (1000.0, 1300.0, 1999.0, 2000.0):
        history.add(at, "called", "n0", what="served")
        history.add(at, "dialled", "s0" if at < 1999 else "s1", what="n0")
    for name, at in (("n0", 1000.0), ("n1", 1100.0), ("n2", 1200.0)):
        history.add(at, "start", name)
    history.add(1500.0, "told", "n0", what="whole")
    history.add(1600.0, "stop", "n1")  # a node that was killed before its first list is not counted
    history.add(4700.0, "told", "n2", what="nothing")
    result = RunResult(read("name = 'a-b'\nseconds = 20.0"), 1, history, [], [], {}, [], 0, 0.0)
    assert figure("list_calls", result, [], 0, 20) == 3
    assert figure("dials_at_one", result, [], 0, 20) == 2
    assert figure("listed_s", result, [], 0, 20) == 3.5
    rpcs = [
        RpcRecord(
            f"q{index}",
            "read",
            "n0",
            100.0 * index,
            300.0,
            1.0,
            "completed" if index > 62 else "exhausted",
            5.0,
        )
        for index in range(200)
    ]
    assert figure("steady_s", result, rpcs, 0, 20) == 7.0


def test_discovery_accepts_polls_up_to_its_capacity_and_refuses_the_rest() -> None:
    text = "name = 'a-b'\nseconds = 4.0\n[nodes]\ncount = 30\n[discovery]\ncalls_per_s = 2.0"
    result = Run(read(text), 1).run()
    outcomes = [event.what for event in result.history.events if event.kind == "called"]
    assert not result.violations
    assert outcomes.count("refused") > 5
    assert outcomes.count("served") <= 2 + 2 * 6
