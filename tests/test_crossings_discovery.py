"""Discovery on real sockets when two events happen at the same time; see docs/crossings.md."""

import json
import time
from contextlib import suppress
from pathlib import Path

import pytest
from peers import NodeProcess, PeerConnection, http_chunk, send_change

from hookpitch.startup.poll_schedule import (
    MAX_POLL_GAP_MS,
    RESPONSE_TIMEOUT_MS,
    SILENCE_TIMEOUT_MS,
    SILENT_WATCH_SPREAD_MS,
)

RULES = {"cold_from": 0.2, "cold_s": 20.0, "tip_after_s": 1.5, "ask_within_s": 30.0}
TOLERANCE_S = 0.5  # added to each bound for a busy machine


def seconds_since(started_at: float) -> float:
    """Return the seconds that have passed since then."""
    return time.monotonic() - started_at


def test_a_poll_that_is_accepted_and_never_answered_is_repeated_in_time(
    tmp_path: Path,
) -> None:
    with NodeProcess(tmp_path, rules=RULES) as node:
        # A second poll that hangs is repeated as early as the first.
        for _ in range(2):
            unanswered = node.discovery.accept()
            unanswered.receive_head()
            started_at = time.monotonic()
            assert node.discovery.has_pending_connection(MAX_POLL_GAP_MS / 1000 + TOLERANCE_S), (
                "the unanswered poll was not repeated"
            )
            assert seconds_since(started_at) >= RESPONSE_TIMEOUT_MS / 1000 - TOLERANCE_S
            assert unanswered.wait_for_close() in ("fin", "reset")
        node.answer_poll(node.endpoint_change(6, 0, health="terminating"))
        node.wait_until(lambda: node.counter("lists.delta") == 1)


@pytest.mark.parametrize("what", [b"", b'{"seq":6,', b" "])
def test_a_watch_without_complete_objects_is_reopened_in_time(tmp_path: Path, what: bytes) -> None:
    with NodeProcess(tmp_path, rules=RULES) as node:
        watch = node.answer_poll(node.endpoint_change(6, 0))
        node.wait_until(lambda: node.counter("lists.delta") == 1)
        send_change(watch, b"\n")
        started_at = time.monotonic()
        # Incomplete objects or blanks arrive now and then.
        while not node.discovery.has_pending_connection(0.2):
            assert (
                seconds_since(started_at)
                < (SILENCE_TIMEOUT_MS + SILENT_WATCH_SPREAD_MS) / 1000 + 1 + TOLERANCE_S
            ), "incomplete objects postponed the silence timeout"
            with suppress(OSError):  # the node may have closed the watch and be about to poll
                if what:
                    send_change(watch, what)
        assert seconds_since(started_at) >= SILENCE_TIMEOUT_MS / 1000 - TOLERANCE_S
        node.answer_poll(node.endpoint_change(7, 1, health="terminating"))
        assert b"since=6 " in node.poll_head
        node.wait_until(lambda: node.counter("lists.delta") == 2)


def test_a_list_that_arrives_slowly_is_waited_for(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, rules=RULES) as node:
        watch = node.answer_poll()
        text = json.dumps({"seq": 6, "whole": True, "hosts": node.hosts * 12}, indent=2).encode()
        parts = [text[at : at + 600] for at in range(0, len(text), 600)]
        for part in parts[: int(1.6 * SILENCE_TIMEOUT_MS / 300)]:
            send_change(watch, part)
            assert not node.discovery.has_pending_connection(0.3), (
                "the watch was closed while a list arrived"
            )
        send_change(watch, b"".join(parts[int(1.6 * SILENCE_TIMEOUT_MS / 300) :]))
        node.wait_until(lambda: node.counter("lists.full") == 1)


@pytest.mark.parametrize("indent", [None, 1, "\t"])
@pytest.mark.parametrize("piece", [1, 7, 1 << 20])
def test_lists_may_be_indented_and_arrive_in_pieces(
    tmp_path: Path, indent: str | int | None, piece: int
) -> None:
    with NodeProcess(tmp_path) as node:
        watch = node.answer_poll()
        complete, quoted = (
            {"seq": 6, "whole": True, "hosts": node.hosts},
            node.endpoint_change(8, 1, site='{["\\'),
        )
        for version, message in (
            (6, complete),
            (7, node.endpoint_change(7, 0, health="terminating")),
            (8, quoted),
        ):
            text = http_chunk(json.dumps(message, indent=indent).encode() + b"\n") + http_chunk(
                b"\n"
            )
            for at in range(0, len(text), piece):
                watch.send(text[at : at + piece])
            node.wait_until(
                lambda version=version: (
                    node.counter("lists.full") + node.counter("lists.delta") == version - 5
                )
            )
        assert node.counter("lists.asked") == 1 and node.counter("lists.failed") == 0


def test_a_truncated_list_is_ignored_and_the_next_poll_fetches_it(tmp_path: Path) -> None:
    with NodeProcess(tmp_path) as node:
        watch, change = (
            node.answer_poll(),
            json.dumps(node.endpoint_change(6, 0, health="terminating"), indent=1).encode(),
        )
        send_change(watch, change[:-1])
        watch.reset()
        node.answer_poll(node.endpoint_change(6, 0, health="terminating"))
        assert b"since=5 " in node.poll_head
        node.wait_until(lambda: node.counter("lists.delta") == 1)


def test_an_endless_list_is_abandoned_and_the_node_serves_on(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, limits={"memory_mb": 32, "sockets": 256}) as node:
        initial_kb = node.peak_memory_kb()
        watch = node.answer_poll()
        part = http_chunk(b'{"seq":6,"whole":true,"hosts":[' + b'{"host":"s0","x":"' + b"y" * 65536)
        sent = 0
        try:
            while sent < 1 << 25:
                watch.send(part)
                part, sent = http_chunk(b"y" * 65536), sent + 65536
        except OSError:
            pass
        assert sent < 1 << 23, "the node read the list without a bound"
        node.wait_for_log("discovery_response_invalid")
        assert node.peak_memory_kb() < initial_kb + 4096
        node.answer_poll(node.endpoint_change(6, 0, health="terminating"))
        node.wait_until(lambda: node.counter("lists.delta") == 1)


def test_an_invalid_list_is_logged_and_polled_for_again(tmp_path: Path) -> None:
    with NodeProcess(tmp_path) as node:
        empty = b'{"seq":6,"whole":true,"hosts":[]}'
        for count, invalid in enumerate((b"<html>", b"{}", b"[1]", empty, b"{]", b"\xff"), 1):
            send_change(node.answer_poll(), invalid)
            node.wait_for_log("discovery_response_invalid", count)
        node.answer_poll(node.endpoint_change(6, 0, health="terminating"))
        node.wait_until(lambda: node.counter("lists.delta") == 1)


def test_a_watch_with_only_heartbeats_is_not_reopened(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, rules=RULES | {"ask_within_s": 2.0}) as node:
        watch = node.answer_poll()
        for _ in range(8):  # each heartbeat says that nothing has changed
            send_change(watch, b"\n")
            assert not node.discovery.has_pending_connection(0.4), (
                "a watch with heartbeats was reopened"
            )
        assert node.counter("lists.asked") == 1


def test_where_lists_are_pushed_the_first_poll_and_each_after_a_loss_is_immediate(
    tmp_path: Path,
) -> None:
    with NodeProcess(tmp_path, rules=RULES, discovery="pushed", balancers=200) as node:
        # With 200 nodes and 30 s to poll in, the polls would otherwise be spread.
        poll = node.discovery.accept(0.5)
        for _ in range(5):  # discovery fails repeatedly and then recovers
            poll.reset()
            poll = node.discovery.accept(0.5)
        poll.reset()
        watch = node.answer_poll(node.endpoint_change(6, 0, health="terminating"))
        node.wait_until(lambda: node.counter("lists.delta") == 1)
        watch.reset()
        assert node.discovery.has_pending_connection(0.5)


def test_idle_clients_that_use_all_descriptors_do_not_block_discovery(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, limits={"memory_mb": 64, "sockets": 96}) as node:
        node.discovery.accept().reset()
        idle: list[PeerConnection] = []
        for _ in range(150):  # the kernel accepts them all
            idle.append(node.connect_client())
            idle[-1].send(b"*1\r\n$4\r\nPING\r\n")
        node.answer_poll(node.endpoint_change(6, 0, health="terminating"))
        client = node.connect_client()
        client.send(b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nr1\r\n$12\r\nc=read,d=900\r\n")
        _, cache = node.accept_from_any_cache()
        assert cache.receive_value()[2] == b"r1"
        cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        assert client.receive_value() == b"v"
