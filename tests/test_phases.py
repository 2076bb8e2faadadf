"""A start in phases: each with its condition and its bound, and a node that serves in all of
them."""

import pytest
from fleet import DISCOVERY, Sockets, get
from test_sockets import serve, watch

from hookpitch.startup.phases import ANSWERED_MS, KNOWN_MS, LISTED_MS, Phase, Seen, Start

NOTHING = Seen(False, 0, 0, 0)


def test_each_phase_ends_by_its_condition() -> None:
    s = Start(0.0)
    assert not s.look(100.0, NOTHING)
    assert s.look(200.0, Seen(True, 0, 0, 0)) and s.phase == Phase.DIALLING
    assert not s.look(300.0, Seen(True, 5, 2, 0))
    assert s.look(400.0, Seen(True, 5, 3, 0)) and s.phase == Phase.WARMING
    assert not s.look(500.0, Seen(True, 5, 5, 2))
    assert s.look(600.0, Seen(True, 5, 5, 3)) and s.phase == Phase.ORDINARY
    assert not s.lacked and not s.look(1e9, NOTHING)


@pytest.mark.parametrize(
    ("seen", "lacks"),
    [
        (NOTHING, ["unlisted", "", ""]),
        (Seen(False, 9, 1, 1), ["unlisted", "unanswered", "unknown"]),
    ],
)
def test_each_phase_has_a_bound_and_says_what_it_lacked(seen: Seen, lacks: list[str]) -> None:
    s, now, lacked = Start(0.0), 0.0, []
    for bound in (LISTED_MS, ANSWERED_MS, KNOWN_MS):
        assert not s.look(now + bound - 1, seen)
        now += bound
        assert s.look(now, seen)
        lacked.append(s.lacked)
    assert s.phase == Phase.ORDINARY and lacked == lacks


def test_phases_only_rise_one_at_a_time_also_after_a_long_stop() -> None:
    s = Start(0.0)
    for phase in (1, 2, 3):
        assert s.look(1e7, Seen(True, 3, 3, 3)) and s.phase == phase
    assert not s.look(2e7, NOTHING)


def test_a_node_serves_from_the_first_phase_on_and_tells_of_each() -> None:
    s = Sockets(1)
    c = s.client()
    c.say(get("r1"))
    serve(s)
    assert c.take() and s.counters.counts.get("start.phase", 0) == 0
    figures = dict(s.node.commands.metrics())
    assert figures["start_phase"] == Phase.KNOWN and s.node.commands.not_ready_reason() == ""
    s.pass_time(300)
    watch(s, {"seq": 6, "whole": True, "hosts": s.hosts})
    for n in range(40):
        c.say(get(f"q{n}", key=f"k{n}"))
        serve(s)
        s.pass_time(300)
        if n % 6 == 5:
            watch(s, b"")
    assert dict(s.node.commands.metrics())["start_phase"] == Phase.ORDINARY
    assert s.counters.counts["start.listed_ms"] < 1000


def test_a_node_whose_discovery_is_silent_goes_on_and_counts_it() -> None:
    s = Sockets(1)
    s.network.ways[DISCOVERY] = "silent"
    s.pass_time(LISTED_MS + ANSWERED_MS + KNOWN_MS + 2000)
    assert dict(s.node.commands.metrics())["start_phase"] == Phase.ORDINARY
    assert s.counters.counts["start.unlisted"] == 1 and "start.unanswered" not in s.counters.counts


def test_a_node_without_any_list_says_that_it_is_not_ready() -> None:
    s = Sockets(1)
    s.node.host.router.servers.clear()  # it was told none
    assert s.node.commands.not_ready_reason() == "no list of servers yet"
    watch(s, {"seq": 6, "whole": True, "hosts": Sockets(1).hosts})
    assert s.node.commands.not_ready_reason() == ""
