"""Experiments on real processes: nodes, stand-ins and relays, with faults between them, judged
from outside.

They play five at a time, once; a run whose rig fell behind is void, plays once more, and is then
left out.
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
AT_ONCE = 5
VOID = 3
# How far the two clocks may be apart: served gain, transmissions an RPC.
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
WRONG = """
import os
if "PROXY_CONFIG" in os.environ:  # a node's process
    from hookpitch.balancer.endpoints import EndpointList
    from hookpitch.balancer.interface import EndpointState
    right = EndpointList.set_state
    EndpointList.set_state = lambda self, s, state, now: right(self, s, EndpointState.READY if state == EndpointState.DRAINING else state, now)
"""  # noqa: E501


class Play:
    """One run on loopback, as a person starts it."""

    def __init__(self, path: Path, folder: Path, **environment: str) -> None:
        self.json = folder / f"{path.stem}.json"
        words = [sys.executable, "-m", "hookpitch.cli", "lab", "run", str(path), "--clock", "wall"]
        self.popen = subprocess.Popen(
            [*words, "--json", str(self.json)],
            cwd=ROOT,
            text=True,
            env=os.environ | environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    def end(self, wait: float = 90.0) -> tuple[int, str]:
        try:
            said, _ = self.popen.communicate(timeout=wait)
        finally:
            self.popen.kill()
            self.popen.wait()
        return self.popen.returncode, said

    def children(self) -> dict[int, str]:
        """Its processes: what each was started as, by number."""
        found = {}
        for entry in Path("/proc").iterdir():
            if entry.name.isdigit():
                try:
                    parent = (entry / "stat").read_text().rpartition(")")[2].split()[1]
                    if int(parent) == self.popen.pid:
                        found[int(entry.name)] = (entry / "cmdline").read_text().replace("\0", " ")
                except OSError:
                    continue
        return found

    def when_up(self, nodes: int) -> dict[int, str]:
        for _ in range(600):
            children = self.children()
            if sum(words.endswith("-m hookpitch ") for words in children.values()) == nodes:
                return children
            time.sleep(0.05)
        raise AssertionError(f"not up: {self.children()}")


def all_gone(pids: dict[int, str]) -> bool:
    for _ in range(100):
        left = [pid for pid in pids if Path(f"/proc/{pid}").exists()]
        if not left:
            return True
        time.sleep(0.05)
    return False


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, str, dict]]:
    folder, done = tmp_path_factory.mktemp("wall"), {}
    for n in range(0, len(FILES), AT_ONCE):
        plays = {path: Play(path, folder) for path in FILES[n : n + AT_ONCE]}
        for path, play in plays.items():
            done[path.stem] = *play.end(), play.json
    for path in FILES:
        if done[path.stem][0] == VOID:
            play = Play(path, folder)
            done[path.stem] = *play.end(), play.json
    return {
        name: (code, said, json.loads(at.read_text()) if at.exists() else {})
        for name, (code, said, at) in done.items()
    }


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_an_experiment_holds_on_processes_and_as_in_virtual_time(path: Path, played: dict) -> None:
    code, said, figures = played[path.stem]
    if code == VOID:
        pytest.skip(f"void twice, the rig fell behind: {said}")
    assert code == 0, said
    virtual = summary(Run(load(path), load(path).seed).run())
    for name, bound in BOUNDS.items():
        there, here = figures["whole"][name], virtual["whole"][name]
        assert abs(there - here) <= bound, f"{name}: {there} on processes, {here} in virtual time"


def test_most_runs_on_processes_were_judged(played: dict) -> None:
    # Danger: a machine on which every rig falls behind shows nothing, in green.
    void = [name for name, (code, _, _) in played.items() if code == VOID]
    assert 2 * len(void) < len(played), f"void twice: {void}"


def test_settings_change_there_and_back_under_load_and_bad_files_change_nothing_in_both_clocks(
    played: dict,
) -> None:
    code, said, figures = played["processes-replaced"]
    if code == VOID:
        pytest.skip(f"void twice, the rig fell behind: {said}")
    x = load(ROOT / "experiments" / "processes-replaced.toml")
    for counters in (figures["counters"]["n1"], summary(Run(x, x.seed).run())["counters"]["n1"]):
        assert (counters["config_changes"], counters["config_reload_errors"]) == (4, 4)


def wrong_in_virtual_time(self: EndpointList, s: Backend, state: EndpointState, now: float) -> None:
    RIGHT(self, s, EndpointState.READY if state == EndpointState.DRAINING else state, now)


RIGHT = EndpointList.set_state


def test_a_node_that_sends_past_the_grace_is_caught_in_both_clocks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "past-grace.toml").write_text(PAST_GRACE)
    (tmp_path / "sitecustomize.py").write_text(WRONG)
    assert not Run(read(PAST_GRACE), 1).run().violations
    monkeypatch.setattr(EndpointList, "set_state", wrong_in_virtual_time)
    assert {b.rule for b in Run(read(PAST_GRACE), 1).run().violations} == {"rule 3"}
    code, said = Play(tmp_path / "past-grace.toml", tmp_path, PYTHONPATH=f"{tmp_path}:{ROOT}").end()
    if code == VOID:
        pytest.skip(f"void: {said}")
    assert code == 1 and "rule 3" in said and "to drain" in said


def test_a_relay_that_dies_makes_the_run_void_at_once_and_no_process_is_left(
    tmp_path: Path,
) -> None:
    play = Play(ROOT / "experiments" / "processes-half-cut.toml", tmp_path)
    children = play.when_up(3)
    (relay,) = [pid for pid, words in children.items() if "testbed.relay" in words]
    begun = time.monotonic()
    os.kill(relay, signal.SIGKILL)
    code, said = play.end()
    assert code == VOID and "void: relay0 died" in said and time.monotonic() - begun < 8
    assert all_gone(children)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
def test_no_process_is_left_where_a_run_is_interrupted_or_killed(
    number: int, tmp_path: Path
) -> None:
    play = Play(ROOT / "experiments" / "processes-half-cut.toml", tmp_path)
    children = play.when_up(3)
    play.popen.send_signal(number)
    code, said = play.end()
    assert code == (2 if number == signal.SIGINT else -number) and "Traceback" not in said
    assert len(children) >= 7 and all_gone(children)


class Clock:
    def seconds(self) -> float:
        return 0.0


@pytest.mark.parametrize(
    "path", sorted((ROOT / "experiments").glob("*.toml")), ids=lambda p: p.stem
)
def test_every_experiment_plays_in_both_clocks_or_its_reader_says_why_not(
    path: Path, tmp_path: Path
) -> None:
    x = load(path)
    if any(f.what == "node_slow" for f in x.fault):
        with pytest.raises(
            ValueError, match="virtual time alone: a process's events cannot be charged"
        ):
            ProcessRun(x, 1, Clock(), tmp_path)
    else:
        ProcessRun(x, 1, Clock(), tmp_path)
