"""Requests whose last byte would reach a backend too late, on a node's process and real sockets.

Too late is: after the deduplication window of an earlier attempt, after the final answer, after the
deadline, and after the end of the node's process. The peers read late or slowly, and reset nothing.
"""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

import pytest
from peers import TCP_CLOSE, VALUE, NodeProcess, PeerConnection, method_settings
from socket_node import get_command

from hookpitch.core.resp import ErrorReply, command

WINDOW_S = 0.8
SHORT_DEADLINE_S = 0.8
LATE_S = 0.2  # what the rules and a busy machine may add to a time limit
RELOAD_S = 0.5  # within this time a new configuration is in force
METHODS = [
    method_settings("read", soft_s=0.3, overdue_gain=0.5),
    method_settings("known", "dedup", 0.3, overdue_gain=0.5, window_s=WINDOW_S, group="all"),
    method_settings("short", soft_s=0.3, overdue_gain=0.5, hard_deadline_s=SHORT_DEADLINE_S),
]
# A request of the first size fits into the peer's receive buffer; one of the second waits in the
# node's kernel, of the third in the node.
SIZES = [1000, 500_000, 4_000_000]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
WORDS_BEFORE_VALUE = 4
FIRST_WRITES = 8  # after so many, the node has learned that the origin can take more than one


class Deployment:
    """A node, and the backends that writes go to: one origin, or two caches."""

    def __init__(self, folder: Path, server: str, **limits: bool) -> None:
        """Configure the node; `limits` replace those of the settings."""
        settings = {} if server == "origin" else {"family_info": {}}
        methods = [dict(method) for method in METHODS]
        memory = {"memory_mb": 192}
        self.node = NodeProcess(folder, 2, limits=memory, methods=methods, **settings)
        self.node.settings["limits"] |= limits
        self.node.write_configuration()
        self._has_origin = server == "origin"

    def __enter__(self) -> Deployment:
        self.node.__enter__()
        if self._has_origin:
            origin = None
            for number in range(FIRST_WRITES):
                client = self.send_write(1, "read", f"first{number}")
                origin = origin or self.node.origin.accept()
                self.receive_request(origin, 1)
                origin.send(OK)
                assert client.receive_value() == b"v"
            origin.close()
        return self

    def __exit__(self, *reason: object) -> None:
        self.node.__exit__(*reason)

    def send_write(self, size: int, method: str = "known", id: str = "w1") -> PeerConnection:
        """Send a write of so many bytes and return the connection of its client."""
        client = self.node.connect_client()
        extras = f"c={method},d=5500".encode()
        client.send(command(b"OBJ.SET", b"k", id.encode(), extras, bytes(size)))
        return client

    def accept(self) -> PeerConnection:
        """Accept the connection of the next attempt."""
        if self._has_origin:
            return self.node.origin.accept()
        return self.node.accept_from_any_cache()[1]

    def receive_head(self, connection: PeerConnection) -> None:
        """Read a request up to its value."""
        if self._has_origin:
            connection.receive_head()
            return
        for _ in range(2 * WORDS_BEFORE_VALUE + 2):
            connection.receive_line()

    def receive_request(self, connection: PeerConnection, size: int) -> None:
        """Read a request to its end."""
        self.receive_head(connection)
        connection.receive_bytes(size if self._has_origin else size + 2)

    def accept_request(self, size: int) -> PeerConnection:
        """Accept the next attempt and read it to its end."""
        connection = self.accept()
        self.receive_request(connection, size)
        return connection

    def arrives_whole(self, connection: PeerConnection, size: int) -> bool:
        """Read a request late, as a process that was stopped; return whether its last byte came.

        A connection that was reset before counts as ended, as it does for a process that is told of
        the reset together with the bytes.
        """
        if is_reset(connection):
            return False
        try:
            self.receive_request(connection, size)
        except (EOFError, ConnectionError):
            return False
        return True

    def answer(self, connection: PeerConnection) -> None:
        """Answer that a write was carried out."""
        connection.send(OK if self._has_origin else VALUE)

    def fail(self, connection: PeerConnection) -> None:
        """Answer that a write failed."""
        connection.send(FAILED if self._has_origin else b"-ERR failed\r\n")


def is_reset(connection: PeerConnection) -> bool:
    """Return whether the node has reset a connection."""
    return connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("server", ["origin", "cache"])
def test_no_byte_of_a_retry_arrives_after_the_deduplication_window(
    tmp_path: Path, server: str, size: int
) -> None:
    # Guards against a write that is applied twice, as its retry arrives late (review/7).
    with Deployment(tmp_path, server) as deployment:
        client = deployment.send_write(size)
        started_at = time.monotonic()
        deployment.accept_request(size).reset()
        retry = deployment.accept()
        # It is given up then, and answered at once.
        assert isinstance(client.receive_value(), ErrorReply)
        assert time.monotonic() - started_at < WINDOW_S + LATE_S
        assert not deployment.arrives_whole(retry, size)


@pytest.mark.parametrize("size", SIZES)
def test_no_byte_of_a_first_attempt_arrives_after_the_window_of_a_hedged_one(
    tmp_path: Path, size: int
) -> None:
    # Guards against a first attempt that is still being read when the second one is forgotten.
    with Deployment(tmp_path, "cache", second_copies=True, cancelling=False) as deployment:
        started_at = time.monotonic()
        client = deployment.send_write(size)
        first = deployment.accept()
        second = deployment.accept_request(size)
        assert isinstance(client.receive_value(), ErrorReply)
        assert time.monotonic() - started_at < WINDOW_S + LATE_S
        assert not deployment.arrives_whole(first, size)
        assert second.wait_for_close() == "reset"


@pytest.mark.parametrize("size", SIZES)
def test_no_byte_of_a_first_attempt_arrives_after_the_window_of_an_answer(
    tmp_path: Path, size: int
) -> None:
    # Guards against an attempt that is left open after another one was answered.
    with Deployment(tmp_path, "cache", second_copies=True, cancelling=False) as deployment:
        client = deployment.send_write(size)
        first = deployment.accept()
        deployment.answer(deployment.accept_request(size))
        assert client.receive_value() == b"v"
        time.sleep(WINDOW_S + LATE_S)
        assert not deployment.arrives_whole(first, size)


@pytest.mark.parametrize("size", SIZES[1:])
@pytest.mark.parametrize("method", ["known", "read"])
def test_no_byte_of_a_hedged_attempt_arrives_after_the_final_answer(
    tmp_path: Path, size: int, method: str
) -> None:
    # Guards against bytes that are sent for an RPC that is answered, where cancelling is off.
    with Deployment(tmp_path, "cache", second_copies=True, cancelling=False) as deployment:
        client = deployment.send_write(size, method)
        first = deployment.accept()
        deployment.answer(deployment.accept_request(size))
        assert client.receive_value() == b"v"
        time.sleep(LATE_S)
        assert not deployment.arrives_whole(first, size)


@pytest.mark.parametrize("size", SIZES[1:])
@pytest.mark.parametrize("server", ["origin", "cache"])
def test_no_byte_of_a_write_arrives_after_its_client_has_left(
    tmp_path: Path, server: str, size: int
) -> None:
    # Guards against a write that runs for nobody, as only a part of it had been sent.
    with Deployment(tmp_path, server, cancelling=False) as deployment:
        client = deployment.send_write(size, "read")
        connection = deployment.accept()
        deployment.receive_head(connection)
        client.reset()
        time.sleep(LATE_S)
        assert is_reset(connection)


@pytest.mark.parametrize("size", SIZES[1:])
@pytest.mark.parametrize("server", ["origin", "cache"])
def test_no_byte_of_a_write_arrives_after_an_early_answer(
    tmp_path: Path, server: str, size: int
) -> None:
    # Guards against a write that runs after its failure was answered, or spoils the next request.
    with Deployment(tmp_path, server, most_transmissions=1) as deployment:
        client = deployment.send_write(size, "read")
        connection = deployment.accept()
        deployment.receive_head(connection)
        deployment.fail(connection)
        assert isinstance(client.receive_value(), ErrorReply)
        time.sleep(LATE_S)
        assert is_reset(connection)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("server", ["origin", "cache"])
def test_no_byte_of_a_write_arrives_after_its_deadline(
    tmp_path: Path, server: str, size: int
) -> None:
    # Guards against a write that runs after it was answered as failed.
    with Deployment(tmp_path, server, cancelling=False, most_transmissions=1) as deployment:
        started_at = time.monotonic()
        client = deployment.send_write(size, "short")
        connection = deployment.accept()
        assert isinstance(client.receive_value(), ErrorReply)
        assert time.monotonic() - started_at < SHORT_DEADLINE_S + LATE_S
        time.sleep(LATE_S)
        assert not deployment.arrives_whole(connection, size)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("server", ["origin", "cache"])
def test_no_byte_of_a_write_arrives_after_the_end_of_the_process(
    tmp_path: Path, server: str, size: int
) -> None:
    # Guards against bytes that the kernel delivers after the process has answered and ended.
    with Deployment(tmp_path, server, cancelling=False, most_transmissions=1) as deployment:
        client = deployment.send_write(size, "read")
        connection = deployment.accept()
        deployment.node.signal(signal.SIGTERM)
        assert isinstance(client.receive_value(), ErrorReply)
        assert deployment.node.wait_for_exit() == 0
        assert not deployment.arrives_whole(connection, size)


@pytest.mark.parametrize("size", SIZES)
def test_a_reload_that_shortens_the_window_ends_the_attempts_in_it(
    tmp_path: Path, size: int
) -> None:
    # Guards against a retry that keeps to the window of settings that hold no longer.
    with Deployment(tmp_path, "cache") as deployment:
        node = deployment.node
        set_window(node, 30.0)
        node.wait_for_log("reloaded")
        client = deployment.send_write(size)
        deployment.accept_request(size).reset()
        retry = deployment.accept()
        set_window(node, 0.1)
        started_at = time.monotonic()
        assert isinstance(client.receive_value(), ErrorReply)
        assert time.monotonic() - started_at < RELOAD_S
        assert not deployment.arrives_whole(retry, size)


def set_window(node: NodeProcess, seconds: float) -> None:
    """Have the node read settings with another deduplication window."""
    node.settings["methods"][1]["window_s"] = seconds
    node.write_configuration()
    node.signal(signal.SIGHUP)


@pytest.mark.parametrize("server", ["origin", "cache"])
def test_a_second_attempt_that_answers_within_the_window_is_served(
    tmp_path: Path, server: str
) -> None:
    with Deployment(tmp_path, server) as deployment:
        client = deployment.send_write(SIZES[2])
        deployment.accept_request(SIZES[2]).reset()
        deployment.answer(deployment.accept_request(SIZES[2]))
        assert client.receive_value() == b"v"


def test_an_rpc_that_may_be_repeated_at_will_is_not_given_up_at_a_window(tmp_path: Path) -> None:
    with Deployment(tmp_path, "cache", second_copies=True, cancelling=False) as deployment:
        client = deployment.node.connect_client()
        client.send(get_command("r1", wait=5500))
        deployment.accept()
        second = deployment.accept()
        time.sleep(WINDOW_S + LATE_S)
        deployment.answer(second)
        assert client.receive_value() == b"v"
