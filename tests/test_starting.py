"""Many nodes that start at once: experiments in virtual time, and what a start costs."""

from collections import Counter
from pathlib import Path

import pytest

from hookpitch.fakes.history import History
from hookpitch.testbed.base_run import RunResult
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.metrics import RpcRecord, check_expectations, figure, rpc_records
from hookpitch.testbed.run import Run

FILES = sorted((Path(__file__).parent.parent / "experiments").glob("start-*.toml"))


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_the_expectations_of_a_start_experiment_hold(path: Path) -> None:
    ended = Run(load(path), load(path).seed).run()
    assert not ended.violations, str(ended.violations[0])
    assert not ended.program_errors
    assert not [(e.text, value) for e, value, holds in check_expectations(ended) if not holds]


def test_nodes_that_start_during_faults_serve_as_well_as_the_running_ones() -> None:
    x = load(next(f for f in FILES if f.stem == "start-into-trouble"))
    ended = Run(x, 1).run()
    starts = Counter(e.who for e in ended.history.events if e.kind == "start")
    # By then the restarted nodes are running again.
    rpcs = [s for s in rpc_records(x, ended.history.events) if s.asked_at > 7000.0]
    new, old = ([s for s in rpcs if (starts[s.node] > 1) is again] for again in (True, False))
    assert len(new) > 500
    assert len(old) > 500
    served = [figure("served", ended, some, 0.0, x.seconds) for some in (new, old)]
    assert served[0] >= served[1] - 0.02


def test_the_cost_of_a_start_is_counted_by_second_and_by_node() -> None:
    history = History()
    for at in (1000.0, 1300.0, 1999.0, 2000.0):
        history.add(at, "called", "n0", what="served")
        history.add(at, "dialled", "s0" if at < 1999 else "s1", what="n0")
    for name, at in (("n0", 1000.0), ("n1", 1100.0), ("n2", 1200.0)):
        history.add(at, "start", name)
    history.add(1500.0, "told", "n0", what="whole")
    history.add(1600.0, "stop", "n1")  # of one that was killed before, nothing is asked
    history.add(4700.0, "told", "n2", what="nothing")
    ended = RunResult(read("name = 'a-b'\nseconds = 20.0"), 1, history, [], [], {}, [], 0, 0.0)
    assert figure("list_calls", ended, [], 0, 20) == 3
    assert figure("dials_at_one", ended, [], 0, 20) == 2
    assert figure("listed_s", ended, [], 0, 20) == 3.5
    rpcs = [
        RpcRecord(
            f"q{n}",
            "read",
            "n0",
            100.0 * n,
            300.0,
            1.0,
            "completed" if n > 62 else "exhausted",
            5.0,
        )
        for n in range(200)
    ]
    assert figure("steady_s", ended, rpcs, 0, 20) == 7.0


def test_discovery_accepts_polls_up_to_its_capacity_and_refuses_the_rest() -> None:
    text = "name = 'a-b'\nseconds = 4.0\n[nodes]\ncount = 30\n[discovery]\ncalls_per_s = 2.0"
    ended = Run(read(text), 1).run()
    how = [e.what for e in ended.history.events if e.kind == "called"]
    assert not ended.violations
    assert how.count("refused") > 5
    assert how.count("served") <= 2 + 2 * 6
