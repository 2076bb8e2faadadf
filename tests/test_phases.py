"""The phases of a start: each with its condition and its timeout; a node serves in all of them."""

import pytest
from socket_node import DISCOVERY_PORT, NodeOnMemoryNetwork, get_command
from test_sockets import answer_caches, send_from_discovery

from hookpitch.startup.phases import (
    CONNECT_TIMEOUT_MS,
    ENDPOINTS_TIMEOUT_MS,
    WARMUP_TIMEOUT_MS,
    Phase,
    StartupPhases,
    StartupProgress,
)

NOTHING = StartupProgress(False, 0, 0, 0)


def test_each_phase_ends_when_its_condition_holds() -> None:
    s = StartupPhases(0.0)
    assert not s.advance(100.0, NOTHING)
    assert s.advance(200.0, StartupProgress(True, 0, 0, 0))
    assert s.phase == Phase.CONNECTING
    assert not s.advance(300.0, StartupProgress(True, 5, 2, 0))
    assert s.advance(400.0, StartupProgress(True, 5, 3, 0))
    assert s.phase == Phase.WARMING_UP
    assert not s.advance(500.0, StartupProgress(True, 5, 5, 2))
    assert s.advance(600.0, StartupProgress(True, 5, 5, 3))
    assert s.phase == Phase.STEADY
    assert not s.missing
    assert not s.advance(1e9, NOTHING)


@pytest.mark.parametrize(
    ("progress", "expected"),
    [
        (NOTHING, ["unlisted", "", ""]),
        (StartupProgress(False, 9, 1, 1), ["unlisted", "unanswered", "unknown"]),
    ],
)
def test_each_phase_has_a_timeout_and_records_what_was_missing(
    progress: StartupProgress, expected: list[str]
) -> None:
    s, now, lacked = StartupPhases(0.0), 0.0, []
    for bound in (ENDPOINTS_TIMEOUT_MS, CONNECT_TIMEOUT_MS, WARMUP_TIMEOUT_MS):
        assert not s.advance(now + bound - 1, progress)
        now += bound
        assert s.advance(now, progress)
        lacked.append(s.missing)
    assert s.phase == Phase.STEADY
    assert lacked == expected


def test_phases_rise_one_at_a_time_also_after_a_long_suspension() -> None:
    s = StartupPhases(0.0)
    for phase in (1, 2, 3):
        assert s.advance(1e7, StartupProgress(True, 3, 3, 3))
        assert s.phase == phase
    assert not s.advance(2e7, NOTHING)


def test_a_node_serves_from_the_first_phase_on_and_reports_each() -> None:
    s = NodeOnMemoryNetwork(1)
    c = s.connect_client()
    c.send(get_command("r1"))
    answer_caches(s)
    assert c.receive()
    assert s.counters.counts.get("start.phase", 0) == 0
    figures = dict(s.socket_node.commands.metrics())
    assert figures["start_phase"] == Phase.AWAITING_ENDPOINTS
    assert s.socket_node.commands.not_ready_reason() == ""
    s.pass_time(300)
    send_from_discovery(s, {"seq": 6, "whole": True, "hosts": s.hosts})
    for n in range(40):
        c.send(get_command(f"q{n}", key=f"k{n}"))
        answer_caches(s)
        s.pass_time(300)
        if n % 6 == 5:
            send_from_discovery(s, b"")
    assert dict(s.socket_node.commands.metrics())["start_phase"] == Phase.STEADY
    assert s.counters.counts["start.listed_ms"] < 1000


def test_a_node_whose_discovery_is_silent_moves_on_and_counts_it() -> None:
    s = NodeOnMemoryNetwork(1)
    s.network.dial_outcomes[DISCOVERY_PORT] = "silent"
    s.pass_time(ENDPOINTS_TIMEOUT_MS + CONNECT_TIMEOUT_MS + WARMUP_TIMEOUT_MS + 2000)
    assert dict(s.socket_node.commands.metrics())["start_phase"] == Phase.STEADY
    assert s.counters.counts["start.unlisted"] == 1
    assert "start.unanswered" not in s.counters.counts


def test_a_node_without_endpoints_reports_that_it_is_not_ready() -> None:
    s = NodeOnMemoryNetwork(1)
    s.socket_node.host.router.backends.clear()  # it was told none
    assert s.socket_node.commands.not_ready_reason() == "no list of servers yet"
    send_from_discovery(s, {"seq": 6, "whole": True, "hosts": NodeOnMemoryNetwork(1).hosts})
    assert s.socket_node.commands.not_ready_reason() == ""
