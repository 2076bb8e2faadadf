"""Large values that break off, with commands of their client behind them on its connection."""

from __future__ import annotations

import contextlib
import queue
import threading
import time
from pathlib import Path

import pytest
from peers import (
    MISS,
    VALUE,
    WAIT_S,
    NodeProcess,
    PeerConnection,
    method_settings,
    receive_all_answers,
)
from socket_node import get_command

from hookpitch.core.resp import ErrorReply

METHODS = [method_settings("read")]
BUSY = ErrorReply(b"BUSY")
LARGE = 1 << 20
HEAD = b"*3\r\n$%d\r\n" % LARGE  # of a cache's answer with a large value
REST = b"\r\n$3\r\nhit\r\n$-1\r\n"
HTTP_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE


class SmallReads:
    """Answers all reads at the cache but the first one, r1, whose connection is `held`."""

    def __init__(self, node: NodeProcess) -> None:
        self._peer = node.caches[0]
        self._held: queue.Queue[PeerConnection] = queue.Queue()
        self.ids: list[bytes] = []  # of all reads that have come
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection = self._peer.accept()
                self.answer(connection)

    def answer(self, connection: PeerConnection) -> None:
        """Answer the reads that come on a connection from now on."""
        threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection: PeerConnection) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                self.ids.append(connection.receive_value()[2])
                if self.ids[-1] == b"r1":
                    self._held.put(connection)
                    return
                connection.send(VALUE)

    @property
    def held(self) -> PeerConnection:
        """Wait for the connection of r1 and return it."""
        return self._held.get(timeout=WAIT_S)


def read_requests(*numbers: int) -> bytes:
    """Return pipelined reads with the ids r1, r2, ..."""
    return b"".join(get_command(f"r{number}", wait=5000) for number in numbers)


def start_node_with_attempts(folder: Path, count: int) -> NodeProcess:
    """Return a node that makes so many attempts for an RPC, with memory for large values."""
    node = NodeProcess(folder, 1, limits={"memory_mb": 192}, methods=METHODS)
    node.settings["limits"] |= {"most_transmissions": count}
    node.write_configuration()
    return node


@pytest.mark.parametrize("sent", [1000, LARGE // 2, LARGE - 1])
def test_commands_behind_a_value_that_breaks_off_are_answered(tmp_path: Path, sent: int) -> None:
    # Guards against a connection that can only be closed, with commands read behind the value.
    with start_node_with_attempts(tmp_path, 1) as node:
        reads, client = SmallReads(node), node.connect_client()
        client.send(read_requests(1, 2, 3, 4))
        cache = reads.held
        cache.send(HEAD + bytes(sent))
        time.sleep(0.1)  # the node reads it before the reset
        cache.reset()
        answers = [client.receive_value() for _ in range(4)]
        assert isinstance(answers[0], ErrorReply) and answers[1:] == [b"v"] * 3


def test_commands_behind_a_value_of_the_origin_that_breaks_off_are_answered(
    tmp_path: Path,
) -> None:
    # Guards against the same loss where the origin gives the value.
    with start_node_with_attempts(tmp_path, 2) as node:
        reads, client = SmallReads(node), node.connect_client()
        client.send(read_requests(1, 2))
        reads.held.send(MISS)
        origin = node.origin.accept()
        origin.receive_head()
        origin.send(HTTP_HEAD + bytes(LARGE // 2))
        time.sleep(0.1)  # the node reads it before the reset
        origin.reset()
        answers = [client.receive_value() for _ in range(2)]
        assert isinstance(answers[0], ErrorReply) and answers[1] == b"v"


def test_a_value_with_commands_behind_it_arrives_whole(tmp_path: Path) -> None:
    value = bytes(range(256)) * (LARGE // 256)
    with start_node_with_attempts(tmp_path, 1) as node:
        reads, client = SmallReads(node), node.connect_client()
        client.send(read_requests(1, 2))
        cache = reads.held
        cache.send(HEAD)
        for start in range(0, LARGE, LARGE // 4):
            cache.send(value[start : start + LARGE // 4])
            time.sleep(0.05)
        cache.send(REST)
        assert client.receive_line() == b"$%d\r\n" % LARGE
        assert client.receive_bytes(LARGE + 2) == value + b"\r\n"
        assert client.receive_value() == b"v"


def start_streamed_value(client: PeerConnection, reads: SmallReads) -> PeerConnection:
    """Send r1 and half of its value; return the cache's connection."""
    client.send(read_requests(1))
    cache = reads.held
    cache.send(HEAD + bytes(LARGE // 2))
    client.receive_line()
    client.receive_bytes(LARGE // 2)
    return cache


@pytest.mark.parametrize("breaks_off", [True, False])
def test_commands_that_come_behind_a_streamed_value_wait_unread(
    tmp_path: Path, breaks_off: bool
) -> None:
    # Guards against commands that are read, and lost, behind a value that breaks off.
    with start_node_with_attempts(tmp_path, 1) as node:
        reads, client = SmallReads(node), node.connect_client()
        cache = start_streamed_value(client, reads)
        client.send(read_requests(2, 3))
        time.sleep(0.2)
        assert reads.ids == [b"r1"]
        if breaks_off:
            cache.reset()
            assert receive_all_answers(client) == ([], "reset")
            return
        cache.send(bytes(LARGE - LARGE // 2) + REST)
        reads.answer(cache)
        client.receive_bytes(LARGE - LARGE // 2 + 2)
        assert [client.receive_value() for _ in range(2)] == [b"v"] * 2


def test_the_time_for_which_a_command_waits_behind_a_streamed_value_counts(
    tmp_path: Path,
) -> None:
    # Guards against commands that are forwarded although their client waits no longer.
    with start_node_with_attempts(tmp_path, 1) as node:
        reads, client = SmallReads(node), node.connect_client()
        cache = start_streamed_value(client, reads)
        client.send(get_command("r2", wait=1000))
        for _ in range(4):
            time.sleep(0.3)
            cache.send(bytes(1))
            client.receive_bytes(1)
        client.send(get_command("r3", wait=5000))
        cache.send(bytes(LARGE - LARGE // 2 - 4) + REST)
        reads.answer(cache)
        client.receive_bytes(LARGE - LARGE // 2 - 4 + 2)
        assert [client.receive_value() for _ in range(2)] == [BUSY, b"v"]
        assert reads.ids == [b"r1", b"r3"]
