"""Discovery on real sockets, at the moments where two events cross; see docs/crossings.md."""

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
EASE_S = 0.5  # for a busy machine, on top of a bound


def since(began: float) -> float:
    return time.monotonic() - began


def test_a_poll_that_is_accepted_and_never_answered_is_repeated_in_time(
    tmp_path: Path,
) -> None:
    with NodeProcess(tmp_path, rules=RULES) as r:
        for _ in range(
            2
        ):  # the second as the first: what hung before is no reason to wait for longer
            silent = r.discovery.accept()
            silent.receive_head()
            began = time.monotonic()
            assert r.discovery.has_pending_connection(MAX_POLL_GAP_MS / 1000 + EASE_S), (
                "a list that never comes"
            )
            assert since(began) >= RESPONSE_TIMEOUT_MS / 1000 - EASE_S
            assert silent.wait_for_close() in ("fin", "reset")
        r.answer_poll(r.endpoint_change(6, 0, health="terminating"))
        r.wait_until(lambda: r.counter("lists.delta") == 1)


@pytest.mark.parametrize("what", [b"", b'{"seq":6,', b" "])
def test_a_watch_without_complete_objects_is_reopened_in_time(tmp_path: Path, what: bytes) -> None:
    with NodeProcess(tmp_path, rules=RULES) as r:
        watch = r.answer_poll(r.endpoint_change(6, 0))
        r.wait_until(lambda: r.counter("lists.delta") == 1)
        send_change(watch, b"\n")
        began = time.monotonic()
        while not r.discovery.has_pending_connection(
            0.2
        ):  # half of what it would tell, or a blank, now and then
            assert (
                since(began) < (SILENCE_TIMEOUT_MS + SILENT_WATCH_SPREAD_MS) / 1000 + 1 + EASE_S
            ), "the silence was put off"
            with suppress(OSError):  # it has given the watch up, and asks in a moment
                if what:
                    send_change(watch, what)
        assert since(began) >= SILENCE_TIMEOUT_MS / 1000 - EASE_S
        r.answer_poll(r.endpoint_change(7, 1, health="terminating"))
        assert b"since=6 " in r.poll_head
        r.wait_until(lambda: r.counter("lists.delta") == 2)


def test_a_list_that_arrives_slowly_is_waited_for(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, rules=RULES) as r:
        watch = r.answer_poll()
        text = json.dumps({"seq": 6, "whole": True, "hosts": r.hosts * 12}, indent=2).encode()
        parts = [text[at : at + 600] for at in range(0, len(text), 600)]
        for part in parts[: int(1.6 * SILENCE_TIMEOUT_MS / 300)]:
            send_change(watch, part)
            assert not r.discovery.has_pending_connection(0.3), "given up while it came"
        send_change(watch, b"".join(parts[int(1.6 * SILENCE_TIMEOUT_MS / 300) :]))
        r.wait_until(lambda: r.counter("lists.full") == 1)


@pytest.mark.parametrize("indent", [None, 1, "\t"])
@pytest.mark.parametrize("piece", [1, 7, 1 << 20])
def test_lists_may_be_indented_and_arrive_in_pieces(
    tmp_path: Path, indent: str | int | None, piece: int
) -> None:
    with NodeProcess(tmp_path) as r:
        watch = r.answer_poll()
        whole, odd = (
            {"seq": 6, "whole": True, "hosts": r.hosts},
            r.endpoint_change(8, 1, site='{["\\'),
        )
        for seq, told in ((6, whole), (7, r.endpoint_change(7, 0, health="terminating")), (8, odd)):
            text = http_chunk(json.dumps(told, indent=indent).encode() + b"\n") + http_chunk(b"\n")
            for at in range(0, len(text), piece):
                watch.send(text[at : at + piece])
            r.wait_until(lambda n=seq: r.counter("lists.full") + r.counter("lists.delta") == n - 5)
        assert r.counter("lists.asked") == 1 and r.counter("lists.failed") == 0


def test_a_truncated_list_is_ignored_and_the_next_poll_fetches_it(tmp_path: Path) -> None:
    with NodeProcess(tmp_path) as r:
        watch, told = (
            r.answer_poll(),
            json.dumps(r.endpoint_change(6, 0, health="terminating"), indent=1).encode(),
        )
        send_change(watch, told[:-1])
        watch.reset()
        r.answer_poll(r.endpoint_change(6, 0, health="terminating"))
        assert b"since=5 " in r.poll_head
        r.wait_until(lambda: r.counter("lists.delta") == 1)


def test_an_endless_list_is_abandoned_and_the_node_serves_on(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, limits={"memory_mb": 32, "sockets": 256}) as r:
        before = r.peak_memory_kb()
        watch = r.answer_poll()
        part = http_chunk(b'{"seq":6,"whole":true,"hosts":[' + b'{"host":"s0","x":"' + b"y" * 65536)
        sent = 0
        try:
            while sent < 1 << 25:
                watch.send(part)
                part, sent = http_chunk(b"y" * 65536), sent + 65536
        except OSError:
            pass
        assert sent < 1 << 23, "taken in without a bound"
        r.wait_for_log("discovery_response_invalid")
        assert r.peak_memory_kb() < before + 4096
        r.answer_poll(r.endpoint_change(6, 0, health="terminating"))
        r.wait_until(lambda: r.counter("lists.delta") == 1)


def test_an_invalid_list_is_logged_and_polled_for_again(tmp_path: Path) -> None:
    with NodeProcess(tmp_path) as r:
        empty = b'{"seq":6,"whole":true,"hosts":[]}'
        for n, bad in enumerate((b"<html>", b"{}", b"[1]", empty, b"{]", b"\xff"), 1):
            send_change(r.answer_poll(), bad)
            r.wait_for_log("discovery_response_invalid", n)
        r.answer_poll(r.endpoint_change(6, 0, health="terminating"))
        r.wait_until(lambda: r.counter("lists.delta") == 1)


def test_a_watch_with_only_heartbeats_is_not_reopened(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, rules=RULES | {"ask_within_s": 2.0}) as r:
        watch = r.answer_poll()
        for _ in range(8):  # nothing has changed
            send_change(watch, b"\n")
            assert not r.discovery.has_pending_connection(0.4), (
                "a call that was answered is made again"
            )
        assert r.counter("lists.asked") == 1


def test_where_lists_are_pushed_the_first_poll_and_each_after_a_loss_is_immediate(
    tmp_path: Path,
) -> None:
    with NodeProcess(tmp_path, rules=RULES, discovery="pushed", balancers=200) as r:
        call = r.discovery.accept(0.5)  # of 200 nodes, and a time for asking of 30 s
        for _ in range(5):  # discovery is down, and then back
            call.reset()
            call = r.discovery.accept(0.5)
        call.reset()
        watch = r.answer_poll(r.endpoint_change(6, 0, health="terminating"))
        r.wait_until(lambda: r.counter("lists.delta") == 1)
        watch.reset()
        assert r.discovery.has_pending_connection(0.5)


def test_idle_clients_that_use_all_descriptors_do_not_block_discovery(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, limits={"memory_mb": 64, "sockets": 96}) as r:
        r.discovery.accept().reset()
        idle: list[PeerConnection] = []
        for _ in range(150):  # the kernel accepts them all
            idle.append(r.connect_client())
            idle[-1].send(b"*1\r\n$4\r\nPING\r\n")
        r.answer_poll(r.endpoint_change(6, 0, health="terminating"))
        client = r.connect_client()
        client.send(b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nr1\r\n$12\r\nc=read,d=900\r\n")
        n, cache = r.accept_from_any_cache()
        assert cache.receive_value()[2] == b"r1"
        cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        assert client.receive_value() == b"v"
