"""Tests of the phases of a start: each has a condition and a timeout, and a node serves in all."""

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

NO_PROGRESS = StartupProgress(False, 0, 0, 0)


def test_each_phase_ends_when_its_condition_holds() -> None:
    phases = StartupPhases(0.0)
    assert not phases.advance(100.0, NO_PROGRESS)
    assert phases.advance(200.0, StartupProgress(True, 0, 0, 0))
    assert phases.phase == Phase.CONNECTING
    assert not phases.advance(300.0, StartupProgress(True, 5, 2, 0))
    assert phases.advance(400.0, StartupProgress(True, 5, 3, 0))
    assert phases.phase == Phase.WARMING_UP
    assert not phases.advance(500.0, StartupProgress(True, 5, 5, 2))
    assert phases.advance(600.0, StartupProgress(True, 5, 5, 3))
    assert phases.phase == Phase.STEADY
    assert not phases.missing
    assert not phases.advance(1e9, NO_PROGRESS)


@pytest.mark.parametrize(
    ("progress", "expected"),
    [
        (NO_PROGRESS, ["unlisted", "", ""]),
        (StartupProgress(False, 9, 1, 1), ["unlisted", "unanswered", "unknown"]),
    ],
)
def test_each_phase_has_a_timeout_and_records_what_was_missing(
    progress: StartupProgress, expected: list[str]
) -> None:
    phases, now, missing = StartupPhases(0.0), 0.0, []
    for timeout_ms in (ENDPOINTS_TIMEOUT_MS, CONNECT_TIMEOUT_MS, WARMUP_TIMEOUT_MS):
        assert not phases.advance(now + timeout_ms - 1, progress)
        now += timeout_ms
        assert phases.advance(now, progress)
        missing.append(phases.missing)
    assert phases.phase == Phase.STEADY
    assert missing == expected


def test_phases_rise_one_at_a_time_also_after_a_long_suspension() -> None:
    phases = StartupPhases(0.0)
    for phase in (1, 2, 3):
        assert phases.advance(1e7, StartupProgress(True, 3, 3, 3))
        assert phases.phase == phase
    assert not phases.advance(2e7, NO_PROGRESS)


def test_a_node_serves_from_the_first_phase_on_and_reports_each() -> None:
    node = NodeOnMemoryNetwork(1)
    client = node.connect_client()
    client.send(get_command("r1"))
    answer_caches(node)
    assert client.receive()
    assert node.counters.counts.get("start.phase", 0) == 0
    figures = dict(node.socket_node.commands.metrics())
    assert figures["start_phase"] == Phase.AWAITING_ENDPOINTS
    assert node.socket_node.commands.not_ready_reason() == ""
    node.pass_time(300)
    send_from_discovery(node, {"seq": 6, "whole": True, "hosts": node.hosts})
    for index in range(40):
        client.send(get_command(f"q{index}", key=f"k{index}"))
        answer_caches(node)
        node.pass_time(300)
        if index % 6 == 5:
            send_from_discovery(node, b"")
    assert dict(node.socket_node.commands.metrics())["start_phase"] == Phase.STEADY
    assert node.counters.counts["start.listed_ms"] < 1000


def test_a_node_whose_discovery_is_silent_moves_on_and_counts_it() -> None:
    node = NodeOnMemoryNetwork(1)
    node.network.dial_outcomes[DISCOVERY_PORT] = "silent"
    node.pass_time(ENDPOINTS_TIMEOUT_MS + CONNECT_TIMEOUT_MS + WARMUP_TIMEOUT_MS + 2000)
    assert dict(node.socket_node.commands.metrics())["start_phase"] == Phase.STEADY
    assert node.counters.counts["start.unlisted"] == 1
    assert "start.unanswered" not in node.counters.counts


def test_a_node_without_endpoints_reports_that_it_is_not_ready() -> None:
    node = NodeOnMemoryNetwork(1)
    node.socket_node.host.router.backends.clear()  # no list contained any
    assert node.socket_node.commands.not_ready_reason() == "no list of servers yet"
    send_from_discovery(node, {"seq": 6, "whole": True, "hosts": NodeOnMemoryNetwork(1).hosts})
    assert node.socket_node.commands.not_ready_reason() == ""
