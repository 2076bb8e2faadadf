"""Connections to servers when two events happen at the same time; see docs/crossings.md."""

import contextlib
import fcntl
import socket
import struct
import termios
import time
from pathlib import Path

import pytest
from peers import MISS, VALUE, NodeProcess, PeerConnection, Settings, method_settings, send_change
from socket_node import get_command

from hookpitch.core.resp import ErrorReply, command

# A dial to a server with a full backlog repeats its SYN a second later.
LIMITS = {"most_transmissions": 3, "cancelling": True, "dial_timeout_s": 4.0, "conn_idle_s": 60.0}
METHODS = [
    method_settings("read"),
    method_settings("once", "fragile"),
    method_settings("known", "dedup", window_s=0.6, group="all"),
]


def unacknowledged_bytes(connection: PeerConnection) -> int:
    """Return how many sent bytes the other side's kernel has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(connection.sock, termios.TIOCOUTQ, b"\0" * 4))[0]


def start_node_with_full_backlogs(
    folder: Path, caches: int = 1, cancelling: bool = True
) -> NodeProcess:
    """Return a node whose dials to caches connect only after `empty_backlog`."""
    node = NodeProcess(folder, caches, backlog=0, methods=METHODS)
    node.settings["limits"] = LIMITS | {"cancelling": cancelling}
    node.write_configuration()
    for cache in node.caches:
        cache.fill_backlog()
    return node


def send_rpc(node: NodeProcess, id: str, method: str = "read", wait: int = 5500) -> PeerConnection:
    """Send an RPC and return the connection of its client."""
    client = node.connect_client()
    client.send(get_command(id, method=method, wait=wait))
    return client


def check_next_request(node: NodeProcess, connection: PeerConnection, id: str) -> None:
    """Check that a new RPC is the next command on the connection, so no other was sent."""
    client = send_rpc(node, id)
    assert connection.receive_value()[2] == id.encode()
    connection.send(VALUE)
    assert client.receive_value() == b"v"


@pytest.mark.parametrize(
    "what", [{"health": "terminating"}, {"health": "terminated"}, {"dial": "127.0.0.1:1"}]
)
def test_an_attempt_waiting_for_a_connect_is_not_sent_once_its_server_is_unavailable(
    tmp_path: Path, what: Settings
) -> None:
    with start_node_with_full_backlogs(tmp_path) as node:
        client = send_rpc(node, "r1")
        node.wait_until(lambda: any(cache.has_connect_in_progress() for cache in node.caches))
        started_at = time.monotonic()
        watch = node.answer_poll(node.endpoint_change(6, 0, **what))
        assert isinstance(client.receive_value(), ErrorReply)  # no other cache could serve it
        assert time.monotonic() - started_at < 3.0, "the RPC waited for the dial"
        assert node.counter("tx.moot") == 1 and node.counter("upstream_requests") == 0
        node.caches[0].empty_backlog()
        send_change(watch, node.endpoint_change(7, 0, health="in_service"))
        node.wait_until(lambda: node.counter("lists.delta") == 2)
        client = send_rpc(node, "r2")
        connection = node.caches[0].accept()
        assert connection.receive_value()[2] == b"r2"  # the first command on this connection


def test_an_attempt_waiting_for_a_connect_is_rerouted_once_its_server_restarted(
    tmp_path: Path,
) -> None:
    with start_node_with_full_backlogs(tmp_path, 2) as node:
        send_rpc(node, "r1")
        node.wait_until(lambda: any(cache.has_connect_in_progress() for cache in node.caches))
        # Both servers are cold now, so slow-start budgets apply, which they did not need before.
        restarted_ms = time.time() * 1000
        change = node.endpoint_change(6, 0, born_ms=restarted_ms)
        change["hosts"].append(node.hosts[1] | {"born_ms": restarted_ms})
        node.answer_poll(change)
        node.wait_until(lambda: node.counter("tx.moot") == 1)
        assert node.counter("upstream_requests") == 0 and node.counter("dials.given_up") == 1


def test_a_connection_that_opens_with_unread_bytes_leaves_no_attempt_waiting(
    tmp_path: Path,
) -> None:
    with start_node_with_full_backlogs(tmp_path) as node:
        client = send_rpc(node, "r1")
        node.wait_until(lambda: any(cache.has_connect_in_progress() for cache in node.caches))
        node.suspend()
        node.caches[0].empty_backlog()
        node.caches[0].accept().send(b"+hello\r\n")
        started_at = time.monotonic()
        node.resume()
        assert (
            isinstance(client.receive_value(), ErrorReply) and time.monotonic() - started_at < 2.5
        ), "the attempt waited for its deadline"
        assert node.counter("connections.unclean") == node.counter("tx.connect_failed") == 1


def test_a_server_is_sent_the_time_remaining_when_the_attempt_starts(tmp_path: Path) -> None:
    with start_node_with_full_backlogs(tmp_path) as node:
        started_at = time.monotonic()
        client = send_rpc(node, "r1")
        node.wait_until(lambda: any(cache.has_connect_in_progress() for cache in node.caches))
        node.caches[0].empty_backlog()
        connection = node.caches[0].accept()
        arguments = connection.receive_value()
        remaining_ms = 5000 - 1000 * (time.monotonic() - started_at)
        sent_ms = int(arguments[3].partition(b"d=")[2])
        assert remaining_ms < 4500 and sent_ms <= remaining_ms + 150, (
            "the time of the dial was not subtracted"
        )
        connection.send(MISS)
        origin = node.origin.accept()
        sent_ms = int(origin.receive_head().partition(b"d=")[2].partition(b"\r\n")[0])
        assert sent_ms <= 5000 - 1000 * (time.monotonic() - started_at) + 150, (
            "the origin was not sent the remaining time"
        )
        origin.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.receive_value() == b"v"


def test_a_retry_does_not_start_after_the_deduplication_window(tmp_path: Path) -> None:
    with start_node_with_full_backlogs(tmp_path) as node:
        node.caches[0].empty_backlog()
        client = send_rpc(node, "r1", "known")
        connection = node.caches[0].accept()
        assert connection.receive_value()[2] == b"r1"
        node.caches[0].fill_backlog()
        connection.reset()  # the attempt may have been executed
        node.wait_until(node.caches[0].has_connect_in_progress)
        node.caches[0].empty_backlog()  # connects a second later, after the window
        connection = node.caches[0].accept()
        assert isinstance(client.receive_value(), ErrorReply)
        assert node.counter("tx.begun_too_late") == 1 and node.counter("upstream_requests") == 1
        check_next_request(node, connection, "r2")


def test_a_retry_starts_within_the_deduplication_window(tmp_path: Path) -> None:
    with start_node_with_full_backlogs(tmp_path) as node:
        node.caches[0].empty_backlog()
        client = send_rpc(node, "r1", "known")
        connection = node.caches[0].accept()
        connection.receive_value()
        connection.reset()
        connection = node.caches[0].accept()
        assert connection.receive_value()[2] == b"r1"
        connection.send(VALUE)
        assert client.receive_value() == b"v"


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("how", ["fin", "close", "reset"])
def test_a_connect_that_completes_after_the_client_disconnected_starts_nothing(
    tmp_path: Path, how: str, cancelling: bool
) -> None:
    with start_node_with_full_backlogs(tmp_path, cancelling=cancelling) as node:
        client = send_rpc(node, "r1")
        node.wait_until(lambda: any(cache.has_connect_in_progress() for cache in node.caches))
        getattr(client, how)()
        node.wait_until(
            lambda: node.counter("rpcs.errored") + node.counter("rpcs.client_left") == 1
        )
        node.caches[0].empty_backlog()
        check_next_request(node, node.caches[0].accept(), "r2")


def test_an_idle_connection_closed_by_its_server_is_not_used(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS) as node:
        for id, end in (("r2", "fin"), ("r3", "close"), ("r4", "reset")):
            client = node.connect_client()
            client.send(get_command(id + "0"))
            connection = node.caches[0].accept()
            connection.receive_value()
            connection.send(VALUE)
            assert client.receive_value() == b"v"  # the connection is idle now
            node.suspend()
            getattr(connection, end)()
            client.send(get_command(id, method="once"))  # may not be retried
            node.resume()
            connection = node.caches[0].accept()
            assert connection.receive_value()[2] == id.encode()
            connection.send(VALUE)
            assert client.receive_value() == b"v"
            connection.close()


def test_a_command_may_have_executed_if_its_connection_closes_after_it(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS) as node:
        for end in ("close", "reset"):
            client = node.connect_client()
            client.send(get_command(f"{end}1", method="once"))
            connection = node.caches[0].accept()
            connection.receive_value()
            getattr(connection, end)()
            assert client.receive_value() == ErrorReply(b"ERR failed")
            client.send(get_command(f"{end}2"))
            connection = node.caches[0].accept()
            connection.receive_value()
            getattr(connection, end)()
            connection = node.caches[0].accept()  # this method may be retried
            assert connection.receive_value()[2] == f"{end}2".encode()
            connection.send(VALUE)
            assert client.receive_value() == b"v"
            connection.close()


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("how", ["fin", "reset"])
def test_a_response_without_a_length_ends_with_a_close_and_not_with_a_reset(
    tmp_path: Path, how: str, together: bool
) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS) as node:
        client = node.connect_client()
        client.send(command(b"OBJ.SET", b"k", b"r1", b"c=once,d=5000", b"x"))
        connection = node.origin.accept()
        connection.receive_head()
        assert connection.sock.recv(1) == b"x"
        if together:  # the node reads part of the body and the close at once
            node.suspend()
        connection.send(b"HTTP/1.1 200 OK\r\nX-Load: inflight=1\r\n\r\nval")
        if not together:  # the node has read part of the body before the close
            node.wait_until(lambda: not unacknowledged_bytes(connection))
            node.read_info()
        getattr(connection, how)()
        if together:
            node.resume()
        assert client.receive_value() == (b"val" if how == "fin" else ErrorReply(b"ERR failed"))


@pytest.mark.parametrize(
    "bad",
    [
        b"+what\r\n",
        b"*3\r\n$1\r\nvv\r\n",
        b"?",
        b"*99\r\n",
        b"-" + b"x" * 9000,
        b"$999999999999999\r\n",
        b"*3\r\n$4194305\r\n",
    ],
)
def test_a_malformed_response_resets_its_connection_before_the_next_attempt(
    tmp_path: Path, bad: bytes
) -> None:
    with NodeProcess(tmp_path, 2, methods=METHODS) as node:
        client = send_rpc(node, "r1")
        _, connection = node.accept_from_any_cache()
        assert connection.receive_value()[2] == b"r1"
        connection.send(bad if bad != b"?" else bad + b"\r\n")
        _, other = node.accept_from_any_cache()
        assert other.receive_value()[2] == b"r1"
        # When the retry arrives, the first connection must be reset already.
        connection.sock.settimeout(0)
        with pytest.raises(ConnectionResetError):
            connection.sock.recv(1)
        other.send(VALUE)
        assert client.receive_value() == b"v"


def test_a_recovered_origin_is_tried_within_a_second_after_repeated_failures(
    tmp_path: Path,
) -> None:
    with NodeProcess(tmp_path, 1, methods=[method_settings("read", soft_s=0.2)]) as node:
        address = ("127.0.0.1", node.origin.port)
        client = send_rpc(node, "r0", wait=900)
        cache = node.caches[0].accept()
        node.origin.listener.close()  # dials are refused from now on
        index = failures = 0
        # Each failure lengthens the backoff, until the origin's limit is at its minimum.
        while failures < 5:
            assert cache.receive_value()[2] == b"r%d" % index
            cache.send(MISS)
            assert isinstance(client.receive_value(), ErrorReply)
            index, failures = index + 1, node.counter("tx.connect_failed")
            client.send(get_command(f"r{index}", wait=900))
        node.origin.listener = socket.create_server(address)  # the origin has recovered
        started_at = time.monotonic()
        while True:
            assert cache.receive_value()[2] == b"r%d" % index
            cache.send(MISS)
            if node.origin.has_pending_connection(0.05):
                break
            assert isinstance(client.receive_value(), ErrorReply)
            assert time.monotonic() - started_at < 1.0, (
                "the node backs off though the origin has recovered"
            )
            index += 1
            client.send(get_command(f"r{index}", wait=900))
        origin = node.origin.accept()
        origin.receive_head()
        origin.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.receive_value() == b"v"


@pytest.mark.parametrize("idempotency", ["retryable", "fragile", "dedup"])
def test_a_large_write_to_a_server_that_reads_slowly_is_answered_before_its_deadline(
    tmp_path: Path, idempotency: str
) -> None:
    methods = [method_settings("write", idempotency, soft_s=0.5, hard_deadline_s=1.0)]
    with NodeProcess(tmp_path, 1, methods=methods) as node:
        node.origin.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        client = node.connect_client()
        client.send(command(b"OBJ.SET", b"k", b"w1", b"c=write,d=900", bytes(4_000_000)))
        written_at = time.monotonic()
        origin = node.origin.accept()
        while client.is_silent(0.02):
            with contextlib.suppress(ConnectionError):  # the node has given this attempt up
                origin.sock.recv(4096)
            assert time.monotonic() - written_at < 0.95
        assert client.receive_line().startswith(b"-")


def test_a_large_write_reaches_a_cache_whole(tmp_path: Path) -> None:
    # Guards against writes over 4 KiB that fail wherever the caches take the writes.
    value = bytes(range(256)) * 2000
    with NodeProcess(tmp_path, 1, methods=METHODS, family_info={}) as node:
        client = node.connect_client()
        client.send(command(b"OBJ.SET", b"k", b"w1", b"c=read,d=900", value))
        connection = node.caches[0].accept()
        while connection.receive_line() != b"$%d\r\n" % len(value):
            pass
        assert connection.receive_bytes(len(value) + 2) == value + b"\r\n"
        connection.send(VALUE)
        assert client.receive_value() == b"v"
