"""Large values that are on their way when a process ends or a connection drains (review/9)."""

from __future__ import annotations

import signal
import threading
import time
from pathlib import Path

import pytest
from peers import NodeProcess, PeerConnection, method_settings
from socket_node import get_command

from hookpitch.core.host import MIN_STREAM_TIMEOUT_MS
from hookpitch.core.resp import SimpleString, bulk, command
from hookpitch.net.client_registry import LAST_REPLY_MS
from hookpitch.net.lifecycle import FINAL_RESPONSE_MS, SHUTDOWN_DELAY_MS

DEADLINE_S = 0.6  # the longest of an RPC
METHODS = [method_settings("read", soft_s=0.3, overdue_gain=0.5, hard_deadline_s=DEADLINE_S)]
END_S = DEADLINE_S + (SHUTDOWN_DELAY_MS + FINAL_RESPONSE_MS) / 1000  # of a shutdown without values
SLACK_S = 0.6  # for the checks' own intervals and a busy machine
LARGE = 4_000_000
VALUE = bytes(range(250)) * (LARGE // 250)
HEAD = b"*3\r\n$%d\r\n" % LARGE
REST = b"\r\n$3\r\nhit\r\n$-1\r\n"
PIECES = 20
SMALL_BUFFER_BYTES = 4096
READ_BYTES = 100_000
READ_INTERVAL_S = 0.2  # of a client that needs 8 s for a value


def start_node(folder: Path) -> NodeProcess:
    """Return a node with one cache."""
    return NodeProcess(folder, 1, limits={"memory_mb": 192}, methods=METHODS)


def start_value(node: NodeProcess, client: PeerConnection) -> PeerConnection:
    """Request a large value and return the cache's connection."""
    client.send(get_command("r1", wait=5000))
    cache = node.caches[0].accept()
    cache.receive_value()
    cache.send(HEAD)
    return cache


def receive_slowly(client: PeerConnection) -> bytes:
    """Receive the rest of a value as a slow client does."""
    received = b""
    while len(received) < LARGE + 2:
        received += client.receive_bytes(min(READ_BYTES, LARGE + 2 - len(received)))
        time.sleep(READ_INTERVAL_S)
    return received


def send_in_thread(connection: PeerConnection, data: bytes) -> None:
    """Send data while the test goes on."""
    threading.Thread(target=connection.send, args=(data,), daemon=True).start()


@pytest.mark.parametrize("is_replaced", [False, True])
@pytest.mark.parametrize("interval_s", [0.1, 0.25])
def test_a_value_that_its_cache_still_gives_is_not_cut_off_by_a_shutdown(
    tmp_path: Path, interval_s: float, is_replaced: bool
) -> None:
    # Guards against a process that ends at a fixed time, whatever is open (review/9).
    node = start_node(tmp_path)
    if is_replaced:
        node.inherit_listener()
    with node:
        client = node.connect_client()
        cache = start_value(node, client)
        client.receive_line()
        node.signal(signal.SIGTERM)
        for start in range(0, LARGE, LARGE // PIECES):
            cache.send(VALUE[start : start + LARGE // PIECES])
            time.sleep(interval_s)
        cache.send(REST)
        ended_at = time.monotonic()
        received = client.receive_bytes(LARGE + 2)
        assert received == VALUE + b"\r\n"
        assert node.wait_for_exit() == 0
        assert time.monotonic() - ended_at < max(END_S - PIECES * interval_s, 0.0) + SLACK_S


def test_a_value_that_its_client_still_reads_is_not_cut_off_by_a_shutdown(tmp_path: Path) -> None:
    # Guards against the same end of the process where the client is the slower one.
    with start_node(tmp_path) as node:
        client = node.connect_client(SMALL_BUFFER_BYTES)
        cache = start_value(node, client)
        send_in_thread(cache, VALUE + REST)
        client.receive_line()
        node.signal(signal.SIGTERM)
        assert receive_slowly(client) == VALUE + b"\r\n"
        assert node.wait_for_exit() == 0


@pytest.mark.parametrize("commands_behind", [False, True])
def test_a_value_that_a_slow_client_reads_is_not_cut_off_by_the_end_of_its_connection(
    tmp_path: Path, commands_behind: bool
) -> None:
    # Guards against a time limit that counts from the last write, not from the client's progress.
    with start_node(tmp_path) as node:
        client = node.connect_client(SMALL_BUFFER_BYTES)
        client.send(get_command("r1", wait=5000) + (command(b"QUIT") if commands_behind else b""))
        cache = node.caches[0].accept()
        cache.receive_value()
        send_in_thread(cache, bulk(VALUE).join([b"*3\r\n", REST[2:]]))
        client.receive_line()
        if not commands_behind:
            client.send(command(b"QUIT"))
        assert receive_slowly(client) == VALUE + b"\r\n"
        assert client.receive_value() == SimpleString(b"OK")
        assert client.wait_for_close() == "fin"


def test_a_shutdown_ends_by_itself_where_the_cache_stands_still(tmp_path: Path) -> None:
    # Guards against a process that waits for ever for a value that has begun.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        cache = start_value(node, client)
        cache.send(VALUE[: LARGE // 2])
        client.receive_line()
        client.receive_bytes(LARGE // 2)
        node.signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        assert node.wait_for_exit() == 0
        limit_s = max(END_S, MIN_STREAM_TIMEOUT_MS / 1000)
        assert time.monotonic() - signalled_at < limit_s + SLACK_S
        assert client.wait_for_close() in ("fin", "reset")


@pytest.mark.parametrize("is_whole", [False, True])
def test_a_shutdown_ends_by_itself_where_the_client_stands_still(
    tmp_path: Path, is_whole: bool
) -> None:
    # Guards against a process that waits for ever for a client that reads nothing.
    with start_node(tmp_path) as node:
        client = node.connect_client(SMALL_BUFFER_BYTES)
        cache = start_value(node, client)
        send_in_thread(cache, VALUE + REST if is_whole else VALUE[: LARGE // 2])
        client.receive_line()
        node.signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        assert node.wait_for_exit() == 0
        limit_s = max(END_S, (MIN_STREAM_TIMEOUT_MS + LAST_REPLY_MS) / 1000)
        assert time.monotonic() - signalled_at < limit_s + SLACK_S


def test_a_shutdown_does_not_wait_for_a_client_that_sends_half_a_write(tmp_path: Path) -> None:
    # Guards against a process that waits for what it has not taken.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        whole = command(b"OBJ.SET", b"k", b"w1", b"c=read,d=500", bytes(100_000))
        client.send(whole[: len(whole) // 2])
        node.signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        assert node.wait_for_exit() == 0
        assert time.monotonic() - signalled_at < END_S + SLACK_S
