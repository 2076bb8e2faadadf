"""Clients on real sockets when two events happen at the same time; see docs/crossings.md."""

import contextlib
import signal
import socket
import time
from pathlib import Path

import pytest
from peers import MISS, VALUE, NodeProcess, PeerConnection, method_settings
from socket_node import get_command

from hookpitch.core.resp import ErrorReply, SimpleString, bulk, command

METHODS = [
    method_settings("read"),
    method_settings("once", "fragile"),
    method_settings("short", soft_s=0.8) | {"hard_deadline_s": 1.0},
]
QUIT, PING = b"*1\r\n$4\r\nQUIT\r\n", b"*1\r\n$4\r\nPING\r\n"
SOCKETS = 64  # descriptors of a node whose clients use up their part
SENDING_ENDS_S = 0.05  # within this time the node has written a reply and shut down its sending
SLOW_CLIENT_S = 0.4  # a client's pause before it reads on
DISCONNECTED_S = 0.12  # a client whose connection closed over 0.1 s ago counts as disconnected


def start_node(folder: Path) -> NodeProcess:
    """Return a node with one cache and the methods of this file."""
    return NodeProcess(folder, 1, methods=METHODS)


def wait_until_accepted(node: NodeProcess, client: PeerConnection) -> None:
    """Wait until the node has accepted the client's connection."""
    client.send(PING)
    assert client.receive_value() == SimpleString(b"PONG")


def check_next_request(node: NodeProcess, cache_connection: PeerConnection, id: str) -> None:
    """Check that a new RPC is the next command on the connection, so no other was sent."""
    client = node.connect_client()
    client.send(get_command(id, wait=5000))
    assert cache_connection.receive_value()[2] == id.encode()
    cache_connection.send(VALUE)
    assert client.receive_value() == b"v"


def open_idle_connection(node: NodeProcess) -> PeerConnection:
    """Serve one RPC and return its connection to the cache, which is idle now."""
    client = node.connect_client()
    client.send(get_command("warm", wait=5000))
    cache_connection = node.caches[0].accept()
    cache_connection.receive_value()
    cache_connection.send(VALUE)
    assert client.receive_value() == b"v"
    return cache_connection


def is_listening(node: NodeProcess) -> bool:
    """Return whether the node accepts connections."""
    try:
        socket.create_connection(("127.0.0.1", node.port), timeout=1).close()
    except OSError:
        return False
    return True


@pytest.mark.parametrize("how", ["fin", "close", "reset"])
def test_a_request_read_after_its_client_disconnected_is_not_forwarded(
    tmp_path: Path, how: str
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        wait_until_accepted(node, client)
        node.suspend()
        client.send(get_command("r1", wait=5000))
        getattr(client, how)()
        time.sleep(DISCONNECTED_S)  # the client is gone before the node resumes
        node.resume()
        if how == "fin":  # the client may still read
            assert isinstance(client.receive_value(), ErrorReply)
        check_next_request(node, cache_connection, "r2")


def test_a_client_that_half_closes_after_its_request_is_answered(
    tmp_path: Path,
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        wait_until_accepted(node, client)
        client.send(get_command("r1", wait=5000))
        client.fin()
        assert cache_connection.receive_value()[2] == b"r1"
        cache_connection.send(VALUE)
        assert client.receive_value() == b"v"


@pytest.mark.parametrize("order", ["miss first", "close first"])
@pytest.mark.parametrize("how", ["fin", "close", "reset"])
def test_no_retry_is_sent_for_a_client_that_disconnected_as_a_server_answered(
    tmp_path: Path, how: str, order: str
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        client.send(get_command("r1", wait=5000))
        assert cache_connection.receive_value()[2] == b"r1"
        # Both events are in the kernel when the node resumes; it reads servers before clients.
        node.suspend()
        for event in (("miss", how), (how, "miss"))[order == "close first"]:
            if event == "miss":
                cache_connection.send(MISS)
            else:
                getattr(client, event)()
        node.resume()
        other = node.connect_client()
        other.send(command(b"OBJ.SET", b"k", b"w1", b"c=read,d=5000", b"x"))
        assert b"X-Request-Id: w1\r\n" in node.origin.accept().receive_head(), (
            "a retry was sent for a disconnected client"
        )


def test_the_disconnect_of_a_client_with_thousands_of_pending_commands_is_detected(
    tmp_path: Path,
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        client.send(get_command("r1", wait=5000))
        assert cache_connection.receive_value()[2] == b"r1"
        # The PINGs wait for the answer to r1; the node stops reading at 4096 pending commands.
        client.send(PING * 4200)
        node.wait_until(lambda: node.counter("clients.paused") == 1)
        client.send(PING * 100)  # the end of the stream follows unread bytes
        client.fin()
        cache_connection.send(MISS)
        other = node.connect_client()
        other.send(command(b"OBJ.SET", b"k", b"w1", b"c=read,d=5000", b"x"))
        assert b"X-Request-Id: w1\r\n" in node.origin.accept().receive_head(), (
            "a retry was sent for a disconnected client"
        )
        assert isinstance(
            client.receive_value(), ErrorReply
        ) and client.receive_value() == SimpleString(b"PONG")


@pytest.mark.parametrize("last", [QUIT, b"*1\r\n$x\r\n"])
def test_bytes_received_as_a_connection_closes_do_not_lose_its_last_replies(
    tmp_path: Path, last: bytes
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        client.send(get_command("r1", wait=5000) + last)
        assert cache_connection.receive_value()[2] == b"r1"
        node.suspend()
        client.send(get_command("r2", wait=5000) * 3000)  # more than the node reads at once
        cache_connection.send(VALUE)
        node.resume()
        assert client.receive_value() == b"v" and type(client.receive_value()) is (
            SimpleString if last == QUIT else ErrorReply
        )
        assert client.wait_for_close() == "fin"
        check_next_request(node, cache_connection, "r3")


@pytest.mark.parametrize("end", ["quit", "malformed command", "shutdown"])
def test_a_reply_that_a_slow_client_is_still_receiving_survives_the_end_of_its_connection(
    tmp_path: Path, end: str
) -> None:
    # Guards against the loss of replies in the kernel's send buffer: a close over unread commands
    # resets the connection, which drops them (review/3).
    with start_node(tmp_path) as node:
        cache_connection = open_idle_connection(node)
        client = node.connect_client(receive_buffer_bytes=4096)
        wait_until_accepted(node, client)
        last = {"quit": QUIT, "malformed command": b"*1\r\n$x\r\n", "shutdown": b""}[end]
        client.send(get_command("r1", wait=5000) + last)
        assert cache_connection.receive_value()[2] == b"r1"
        if end == "shutdown":
            node.signal(signal.SIGTERM)
            node.wait_until(lambda: not is_listening(node))
        value = bytes(60_000)  # more than the client's kernel takes in
        cache_connection.send(b"*3\r\n" + bulk(value) + VALUE[11:])
        time.sleep(SENDING_ENDS_S)
        client.send(get_command("r2", wait=5000))  # stays unread
        time.sleep(SLOW_CLIENT_S)
        assert client.receive_value() == value
        if end != "shutdown":
            assert isinstance(client.receive_value(), SimpleString | ErrorReply)
        assert client.wait_for_close() == "fin"


def test_an_idle_connection_whose_client_still_receives_its_reply_is_not_reset_for_a_new_one(
    tmp_path: Path,
) -> None:
    # Guards against the same loss where an idle connection is closed for a new one.
    with NodeProcess(tmp_path, 1, limits={"sockets": SOCKETS}, methods=METHODS) as node:
        cache_connection = open_idle_connection(node)
        client = node.connect_client(receive_buffer_bytes=4096)
        client.send(get_command("r1", wait=5000))
        assert cache_connection.receive_value()[2] == b"r1"
        value = bytes(60_000)
        cache_connection.send(b"*3\r\n" + bulk(value) + VALUE[11:])
        time.sleep(SLOW_CLIENT_S)
        for _ in range(SOCKETS // 3 + 2):  # idle connections are closed above a third
            wait_until_accepted(node, node.connect_client())
        node.wait_until(lambda: node.counter("clients.closed_idle") > 0)
        client.send(get_command("r2", wait=5000))  # crosses the close
        time.sleep(SENDING_ENDS_S)
        assert client.receive_value() == value
        assert client.wait_for_close() == "fin"


@pytest.mark.parametrize("sent", ["before", "after"])
def test_a_pipeline_that_continues_during_a_shutdown_ends_between_two_commands(
    tmp_path: Path, sent: str
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        client.send(get_command("r1", wait=5000))
        assert cache_connection.receive_value()[2] == b"r1"
        if sent == "before":  # the node has accepted it and must answer
            client.send(get_command("r2", wait=5000))
            second_cache_connection = node.caches[0].accept()
            assert second_cache_connection.receive_value()[2] == b"r2"
        node.signal(signal.SIGTERM)
        node.wait_until(lambda: not is_listening(node))
        if sent == "after":  # the node does not read it; the client can retry elsewhere
            client.send(get_command("r2", wait=5000))
        else:
            second_cache_connection.send(VALUE)
        cache_connection.send(VALUE)
        assert client.receive_value() == b"v"
        if sent == "before":
            assert client.receive_value() == b"v"
        assert client.wait_for_close() == "fin"
        assert node.wait_for_exit() == 0
        assert cache_connection.wait_for_close() in ("fin", "reset"), (
            "forwarded though its answer could not be returned"
        )
        with pytest.raises(EOFError):
            client.receive_value()


def test_a_partly_received_command_at_a_shutdown_is_served(tmp_path: Path) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client, text = (
            open_idle_connection(node),
            node.connect_client(),
            get_command("r1", wait=5000),
        )
        client.send(text[:30])
        node.signal(signal.SIGTERM)
        node.wait_until(lambda: not is_listening(node))
        client.send(text[30:])
        assert cache_connection.receive_value()[2] == b"r1"
        cache_connection.send(VALUE)
        assert client.receive_value() == b"v" and client.wait_for_close() == "fin"
        assert node.wait_for_exit() == 0


def test_an_rpc_in_flight_at_the_end_of_a_shutdown_is_answered(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS[2:]) as node:
        client, text = node.connect_client(), get_command("r1", method="short", wait=1000)
        client.send(text[:30])
        started_at = time.monotonic()
        node.signal(signal.SIGTERM)
        node.wait_until(lambda: not is_listening(node))
        # The deadline of the RPC is after the node's own end of 0.5 + 1.0 + 0.15 s.
        node.wait_until(lambda: time.monotonic() > started_at + 1.1)
        client.send(text[30:])
        node.caches[0].accept().receive_value()  # the cache does not answer
        assert isinstance(client.receive_value(), ErrorReply) and client.wait_for_close() == "fin"
        assert node.wait_for_exit() == 0 and time.monotonic() < started_at + 2.2


@pytest.mark.parametrize("before", [True, False])  # the node's last read of its connection
def test_an_idle_client_that_sends_during_a_shutdown_is_answered_or_can_retry(
    tmp_path: Path, before: bool
) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        wait_until_accepted(node, client)
        node.signal(signal.SIGTERM)
        if before:
            node.suspend()  # while it still serves
            client.send(get_command("r1", wait=5000))
            node.resume()
            assert cache_connection.receive_value()[2] == b"r1"
            cache_connection.send(VALUE)
            assert client.receive_value() == b"v"
        assert client.wait_for_close() == "fin"
        if not before:
            client.send(get_command("r1", wait=5000))
            assert node.wait_for_exit() == 0
            assert cache_connection.wait_for_close() in ("fin", "reset"), (
                "read after the shutdown and forwarded"
            )


def test_commands_received_one_byte_at_a_time_are_served(tmp_path: Path) -> None:
    with start_node(tmp_path) as node:
        cache_connection, client = open_idle_connection(node), node.connect_client()
        for byte in get_command("r1", wait=5000):
            client.send(bytes([byte]))
        assert cache_connection.receive_value()[2] == b"r1"
        for index in range(len(VALUE)):
            cache_connection.send(VALUE[index : index + 1])
        assert client.receive_value() == b"v"


@pytest.mark.parametrize("unread_replies", [False, True])
def test_requests_of_a_client_that_closed_with_much_unread_are_not_forwarded(
    tmp_path: Path, unread_replies: bool
) -> None:
    # More is unread than the node's kernel takes, so the end of the connection is not there yet.
    with NodeProcess(tmp_path, 1, methods=[method_settings("read")]) as node:
        client = node.connect_client()
        if unread_replies:
            client.send(b"*1\r\n$4\r\nPING\r\n" * 100)
            time.sleep(0.1)
        node.suspend()
        client.sock.settimeout(0.2)
        with contextlib.suppress(TimeoutError):
            client.send(b"".join(get_command(f"r{index}", wait=5000) for index in range(100_000)))
        client.close()
        time.sleep(0.2)
        node.resume()
        assert not node.caches[0].has_pending_connection(1.0)
        assert node.counter("tx.sent") == 0
