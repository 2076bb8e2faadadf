"""Tests of experiments on real processes: nodes, fakes and relays, with faults between them.

The runs are judged from outside, five of them in parallel. A run whose test environment
fell behind is void and is repeated once; if it is void again, its test is skipped.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.endpoints import EndpointList
from hookpitch.balancer.interface import EndpointState
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.metrics import summary
from hookpitch.testbed.process_run import ProcessRun
from hookpitch.testbed.run import Run

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "experiments").glob("processes-*.toml"))
CONCURRENT_RUNS = 5
VOID = 3
# The largest difference between the two clocks: served gain, attempts per RPC.
BOUNDS = {"served": 0.05, "transmissions": 0.08}
PAST_GRACE = """
name = "test-past-grace"
seconds = 9.0
[fleet]
caches = 3
[nodes]
count = 2
[traffic]
rate = 80.0
[[fault]]
at = 3.0
what = "stall"
whom = "n1"
for = 1.5
[[fault]]
at = 3.2
what = "drain"
whom = "s1"
by = 5.5
"""
FAULTY_SITECUSTOMIZE = """
import os
if "PROXY_CONFIG" in os.environ:  # a node's process
    from hookpitch.balancer.endpoints import EndpointList
    from hookpitch.balancer.interface import EndpointState
    right = EndpointList.set_state
    EndpointList.set_state = lambda self, s, state, now: right(self, s, EndpointState.READY if state == EndpointState.DRAINING else state, now)
"""  # noqa: E501


class ExperimentProcess:
    """One run of an experiment on loopback, started from the command line."""

    def __init__(self, path: Path, folder: Path, **environment: str) -> None:
        self.figures_path = folder / f"{path.stem}.json"
        command = [
            sys.executable,
            "-m",
            "hookpitch.cli",
            "lab",
            "run",
            str(path),
            "--clock",
            "wall",
        ]
        self.process = subprocess.Popen(
            [*command, "--json", str(self.figures_path)],
            cwd=ROOT,
            text=True,
            env=os.environ | environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    def end(self, timeout_s: float = 90.0) -> tuple[int, str]:
        """Wait for the end of the run, and return its exit status and output."""
        try:
            output, _ = self.process.communicate(timeout=timeout_s)
        finally:
            self.process.kill()
            self.process.wait()
        return self.process.returncode, output

    def children(self) -> dict[int, str]:
        """Return the command line of each child process, by process id."""
        commands = {}
        for entry in Path("/proc").iterdir():
            if entry.name.isdigit():
                try:
                    parent = (entry / "stat").read_text().rpartition(")")[2].split()[1]
                    if int(parent) == self.process.pid:
                        commands[int(entry.name)] = (
                            (entry / "cmdline").read_text().replace("\0", " ")
                        )
                except OSError:
                    continue
        return commands

    def wait_for_nodes(self, nodes: int) -> dict[int, str]:
        """Wait until this many nodes run, and return all child processes."""
        for _ in range(600):
            children = self.children()
            if sum(command.endswith("-m hookpitch ") for command in children.values()) == nodes:
                return children
            time.sleep(0.05)
        raise AssertionError(f"not started: {self.children()}")


def have_all_exited(pids: dict[int, str]) -> bool:
    """Return whether all these processes end within five seconds."""
    for _ in range(100):
        remaining = [pid for pid in pids if Path(f"/proc/{pid}").exists()]
        if not remaining:
            return True
        time.sleep(0.05)
    return False


@pytest.fixture(scope="module")
def completed_runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, str, dict]]:
    """Run all experiments; return exit status, output and figures of each, by its name."""
    folder, results = tmp_path_factory.mktemp("wall"), {}
    for index in range(0, len(FILES), CONCURRENT_RUNS):
        runs = {
            path: ExperimentProcess(path, folder) for path in FILES[index : index + CONCURRENT_RUNS]
        }
        for path, run in runs.items():
            results[path.stem] = *run.end(), run.figures_path
    for path in FILES:
        if results[path.stem][0] == VOID:
            run = ExperimentProcess(path, folder)
            results[path.stem] = *run.end(), run.figures_path
    return {
        name: (code, output, json.loads(figures_path.read_text()) if figures_path.exists() else {})
        for name, (code, output, figures_path) in results.items()
    }


@pytest.mark.parametrize("path", FILES, ids=lambda file: file.stem)
def test_an_experiment_holds_on_processes_and_as_in_virtual_time(
    path: Path, completed_runs: dict
) -> None:
    code, output, figures = completed_runs[path.stem]
    if code == VOID:
        pytest.skip(f"void twice, the test environment fell behind: {output}")
    assert code == 0, output
    virtual = summary(Run(load(path), load(path).seed).run())
    for name, bound in BOUNDS.items():
        on_processes, in_virtual_time = figures["whole"][name], virtual["whole"][name]
        assert abs(on_processes - in_virtual_time) <= bound, (
            f"{name}: {on_processes} on processes, {in_virtual_time} in virtual time"
        )


def test_most_runs_on_processes_are_not_void(completed_runs: dict) -> None:
    # On a machine on which every test environment falls behind, all tests would be
    # skipped and prove nothing.
    void = [name for name, (code, _, _) in completed_runs.items() if code == VOID]
    assert 2 * len(void) < len(completed_runs), f"void twice: {void}"


def test_settings_change_and_revert_under_load_and_bad_files_change_nothing_in_both_clocks(
    completed_runs: dict,
) -> None:
    code, output, figures = completed_runs["processes-replaced"]
    if code == VOID:
        pytest.skip(f"void twice, the test environment fell behind: {output}")
    experiment = load(ROOT / "experiments" / "processes-replaced.toml")
    for counters in (
        figures["counters"]["n1"],
        summary(Run(experiment, experiment.seed).run())["counters"]["n1"],
    ):
        assert (counters["config_changes"], counters["config_reload_errors"]) == (4, 4)


def set_state_ignoring_drains(
    self: EndpointList, backend: Backend, state: EndpointState, now: float
) -> None:
    """Set the state of a backend, but ignore that it drains."""
    ORIGINAL_SET_STATE(
        self, backend, EndpointState.READY if state == EndpointState.DRAINING else state, now
    )


ORIGINAL_SET_STATE = EndpointList.set_state


def test_a_node_that_sends_after_the_drain_grace_period_is_reported_in_both_clocks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "past-grace.toml").write_text(PAST_GRACE)
    (tmp_path / "sitecustomize.py").write_text(FAULTY_SITECUSTOMIZE)
    assert not Run(read(PAST_GRACE), 1).run().violations
    monkeypatch.setattr(EndpointList, "set_state", set_state_ignoring_drains)
    assert {violation.rule for violation in Run(read(PAST_GRACE), 1).run().violations} == {"rule 3"}
    code, output = ExperimentProcess(
        tmp_path / "past-grace.toml", tmp_path, PYTHONPATH=f"{tmp_path}:{ROOT}"
    ).end()
    if code == VOID:
        pytest.skip(f"void: {output}")
    assert code == 1 and "rule 3" in output and "reported as out of service" in output


def test_a_relay_that_dies_makes_the_run_void_at_once_and_no_process_is_left(
    tmp_path: Path,
) -> None:
    run = ExperimentProcess(ROOT / "experiments" / "processes-half-cut.toml", tmp_path)
    children = run.wait_for_nodes(3)
    (relay,) = [pid for pid, command in children.items() if "testbed.relay" in command]
    killed_at = time.monotonic()
    os.kill(relay, signal.SIGKILL)
    code, output = run.end()
    assert code == VOID and "void: relay0 died" in output and time.monotonic() - killed_at < 8
    assert have_all_exited(children)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
def test_no_process_is_left_where_a_run_is_interrupted_or_killed(
    number: int, tmp_path: Path
) -> None:
    run = ExperimentProcess(ROOT / "experiments" / "processes-half-cut.toml", tmp_path)
    children = run.wait_for_nodes(3)
    run.process.send_signal(number)
    code, output = run.end()
    assert code == (2 if number == signal.SIGINT else -number) and "Traceback" not in output
    assert len(children) >= 7 and have_all_exited(children)


class StoppedClock:
    """A clock that always reads zero."""

    def seconds(self) -> float:
        """Return the time since the start of the run."""
        return 0.0


@pytest.mark.parametrize(
    "path", sorted((ROOT / "experiments").glob("*.toml")), ids=lambda file: file.stem
)
def test_every_experiment_can_run_on_processes_or_is_rejected_with_a_reason(
    path: Path, tmp_path: Path
) -> None:
    experiment = load(path)
    if any(fault.what == "node_slow" for fault in experiment.fault):
        with pytest.raises(
            ValueError, match="virtual time alone: a process's events cannot be charged"
        ):
            ProcessRun(experiment, 1, StoppedClock(), tmp_path)
    else:
        ProcessRun(experiment, 1, StoppedClock(), tmp_path)
