"""Figures of membership from logs and history; runs without discovery, in both clocks."""

import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from hookpitch.fakes.history import Event
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.membership import StateChange, figure, running_nodes, state_changes
from hookpitch.testbed.metrics import check_expectations, summary
from hookpitch.testbed.run import Run

ROOT = Path(__file__).parent.parent
LISTS = ROOT / "experiments" / "members-lists.toml"


def event(at: float, kind: str, who: str) -> Event:
    return Event(at, kind, who)


EVENTS = [event(0, "start", n) for n in ("n0", "n1", "n2")]
EVENTS += [event(1000, "stop", "n2"), event(9000, "start", "n2")]
LOGS = [
    (100.0, "n0", "members: n1 alive, incarnation 3"),
    (110.0, "n0", "members: n2 alive, incarnation 3"),
    (120.0, "n1", "members: n0 alive, incarnation 3"),
    (130.0, "n1", "members: n2 alive, incarnation 3"),
    (2500.0, "n0", "members: n2 suspected by n0, no answer here nor to n1, incarnation 3"),
    (2600.0, "n1", "members: n2 suspected by n0, told by n0, incarnation 3"),
    (6000.0, "n0", "members: n2 dead by n0, incarnation 3"),
    (6500.0, "n1", "members: n2 dead by n0, incarnation 3"),
    (9500.0, "n0", "members: n2 alive, incarnation 9"),
    (9600.0, "n2", "members: n0 alive, incarnation 3"),
    (9700.0, "n2", "members: n1 alive, incarnation 3"),
    (50.0, "n0", "serving"),
    (60.0, "n0", "members: list 9 from 127.0.0.1:7, 0 ms old, servers 3"),
]


def test_figures_show_deaths_their_times_and_wrong_views() -> None:
    changes = state_changes(LOGS)
    assert len(changes) == 11
    assert changes[0] == (100.0, "n0", "n1", "alive")
    value = lambda name, a=0.0, b=20000.0: figure(name, changes, EVENTS, a, b)  # noqa: E731
    assert value("called_dead") == 1
    assert value("called_dead", 7000.0) == 0
    assert value("found_s") == 1.5
    assert value("agreed_s") == 5.5
    died = [
        *EVENTS,
        event(1005, "stop", "n1"),
    ]  # some ms later, and it was to say of n2 that it is dead
    mine = [*(c for c in changes if c.reporter == "n0"), StateChange(7000.0, "n0", "n1", "dead")]
    assert figure("agreed_s", mine, sorted(died), 0.0, 20000.0) == 6.0
    assert value("found_s", 2000.0) == 0.0  # nobody was killed in that span
    assert value("agreed_s", 0.0, 6200.0) == 5.2  # n1 never said so: to the span's end
    assert value("views_wrong") == 1  # n1 holds n2 for dead still
    assert value("views_wrong", 0.0, 8000.0) == 0
    assert running_nodes(EVENTS, 5000.0) == {"n0", "n1"}
    assert value("turns") == 4
    with pytest.raises(ValueError):
        value("served")


def test_an_expectation_about_members_requires_members() -> None:
    text = 'name = "x-y"\nexpect = ["called_dead <= 0"]\n'
    with pytest.raises(ValueError, match="'called_dead' wants nodes.members"):
        read(text)
    assert (
        read(text + "[nodes]\npeer_port = 7946\nmembers = true\n").expected[0].figure
        == "called_dead"
    )


def test_without_members_the_same_start_serves_less_while_discovery_is_down() -> None:
    x = load(LISTS)
    nodes = msgspec.structs.replace(x.nodes, members=False)
    ended = Run(msgspec.structs.replace(x, nodes=nodes, expected=(), expect=()), 1).run()
    assert not ended.violations
    there, here = summary(Run(x, 1).run()), summary(ended)
    second = lambda s: sum(s["seconds"][n]["served"] for n in range(10, 16)) / 6  # noqa: E731
    assert second(there) > 0.97
    assert second(here) < 0.85


def test_nodes_that_start_while_discovery_is_down_serve_by_members_lists_on_processes(
    tmp_path: Path,
) -> None:
    at = tmp_path / "figures.json"
    words = [sys.executable, "-m", "hookpitch.cli", "lab", "run", str(LISTS), "--clock", "wall"]
    words += ["--json", str(at)]
    for _ in range(3):
        done = subprocess.run(words, cwd=ROOT, text=True, capture_output=True, timeout=120)
        if done.returncode != 3:
            break
    assert done.returncode == 0, (
        done.stdout + done.stderr
    )  # void each time has shown nothing: no pass
    figures = json.loads(at.read_text())
    assert all(e["holds"] for e in figures["expected"])
    assert len(figures["expected"]) >= 3
    virtual = Run(load(LISTS), 1).run()
    assert all(holds for _, _, holds in check_expectations(virtual))
    assert abs(figures["whole"]["served"] - summary(virtual)["whole"]["served"]) <= 0.05
