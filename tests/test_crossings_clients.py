"""Clients on real sockets, at the moments where two events cross; see docs/crossings.md."""

import signal
import socket
import time
from pathlib import Path

import pytest
from peers import MISS, VALUE, NodeProcess, PeerConnection, method_settings
from socket_node import get_command

from hookpitch.core.resp import ErrorReply, SimpleString, command

METHODS = [
    method_settings("read"),
    method_settings("once", "fragile"),
    method_settings("short", soft_s=0.8) | {"hard_deadline_s": 1.0},
]
QUIT, PING = b"*1\r\n$4\r\nQUIT\r\n", b"*1\r\n$4\r\nPING\r\n"
GONE_S = 0.12  # a client that closed its connection longer ago than 0.1 s has gone


def real(folder: Path) -> NodeProcess:
    return NodeProcess(folder, 1, methods=METHODS)


def knows(r: NodeProcess, client: PeerConnection) -> None:
    """The node has taken the client's connection."""
    client.send(PING)
    assert client.receive_value() == SimpleString(b"PONG")


def asks_next(r: NodeProcess, line: PeerConnection, id: str) -> None:
    """Whatever was asked before, the next command on that connection is this one."""
    client = r.connect_client()
    client.send(get_command(id, wait=5000))
    assert line.receive_value()[2] == id.encode()
    line.send(VALUE)
    assert client.receive_value() == b"v"


def warm(r: NodeProcess) -> PeerConnection:
    """A connection to the cache, idle."""
    client = r.connect_client()
    client.send(get_command("warm", wait=5000))
    line = r.caches[0].accept()
    line.receive_value()
    line.send(VALUE)
    assert client.receive_value() == b"v"
    return line


def listens(r: NodeProcess) -> bool:
    try:
        socket.create_connection(("127.0.0.1", r.port), timeout=1).close()
    except OSError:
        return False
    return True


@pytest.mark.parametrize("how", ["fin", "close", "reset"])
def test_a_request_read_after_its_client_disconnected_is_not_forwarded(
    tmp_path: Path, how: str
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        knows(r, client)
        r.suspend()
        client.send(get_command("r1", wait=5000))
        getattr(client, how)()
        time.sleep(GONE_S)  # so long the node is held still: it has gone, whatever the node knows
        r.resume()
        if how == "fin":  # it may still read
            assert isinstance(client.receive_value(), ErrorReply)
        asks_next(r, line, "r2")


def test_a_client_that_half_closes_after_its_request_is_answered(
    tmp_path: Path,
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        knows(r, client)
        client.send(get_command("r1", wait=5000))
        client.fin()
        assert line.receive_value()[2] == b"r1"
        line.send(VALUE)
        assert client.receive_value() == b"v"


@pytest.mark.parametrize("order", ["miss first", "close first"])
@pytest.mark.parametrize("how", ["fin", "close", "reset"])
def test_no_retry_is_sent_for_a_client_that_disconnected_as_a_server_answered(
    tmp_path: Path, how: str, order: str
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        client.send(get_command("r1", wait=5000))
        assert line.receive_value()[2] == b"r1"
        r.suspend()  # both stand in the kernel; the node reads servers before clients
        for what in (("miss", how), (how, "miss"))[order == "close first"]:
            if what == "miss":
                line.send(MISS)
            else:
                getattr(client, what)()
        r.resume()
        other = r.connect_client()
        other.send(command(b"OBJ.SET", b"k", b"w1", b"c=read,d=5000", b"x"))
        assert b"X-Request-Id: w1\r\n" in r.origin.accept().receive_head(), "sent on for nobody"


def test_the_disconnect_of_a_client_with_thousands_of_pending_commands_is_detected(
    tmp_path: Path,
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        client.send(get_command("r1", wait=5000))
        assert line.receive_value()[2] == b"r1"
        client.send(
            PING * 4200
        )  # answered behind the first; from 4096 on the node reads no more of it
        r.wait_until(lambda: r.counter("clients.paused") == 1)
        client.send(PING * 100)  # so the end of the sending stands behind unread bytes
        client.fin()
        line.send(MISS)
        other = r.connect_client()
        other.send(command(b"OBJ.SET", b"k", b"w1", b"c=read,d=5000", b"x"))
        assert b"X-Request-Id: w1\r\n" in r.origin.accept().receive_head(), "sent on for nobody"
        assert isinstance(
            client.receive_value(), ErrorReply
        ) and client.receive_value() == SimpleString(b"PONG")


@pytest.mark.parametrize("last", [QUIT, b"*1\r\n$x\r\n"])
def test_bytes_received_as_a_connection_closes_do_not_lose_its_last_replies(
    tmp_path: Path, last: bytes
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        client.send(get_command("r1", wait=5000) + last)
        assert line.receive_value()[2] == b"r1"
        r.suspend()
        client.send(get_command("r2", wait=5000) * 3000)  # more than one look takes
        line.send(VALUE)
        r.resume()
        assert client.receive_value() == b"v" and type(client.receive_value()) is (
            SimpleString if last == QUIT else ErrorReply
        )
        assert client.wait_for_close() == "fin"
        asks_next(r, line, "r3")


@pytest.mark.parametrize("sent", ["before", "after"])
def test_a_pipeline_that_continues_during_a_shutdown_ends_between_two_commands(
    tmp_path: Path, sent: str
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        client.send(get_command("r1", wait=5000))
        assert line.receive_value()[2] == b"r1"
        if sent == "before":  # taken: it is owed an answer
            client.send(get_command("r2", wait=5000))
            line2 = r.caches[0].accept()
            assert line2.receive_value()[2] == b"r2"
        r.signal(signal.SIGTERM)
        r.wait_until(lambda: not listens(r))
        if sent == "after":  # not read: the client sends it once more, elsewhere
            client.send(get_command("r2", wait=5000))
        else:
            line2.send(VALUE)
        line.send(VALUE)
        assert client.receive_value() == b"v"
        if sent == "before":
            assert client.receive_value() == b"v"
        assert client.wait_for_close() == "fin"
        assert r.wait_for_exit() == 0
        assert line.wait_for_close() in ("fin", "reset"), "sent on though its answer could not come"
        with pytest.raises(EOFError):
            client.receive_value()


def test_a_partly_received_command_at_a_shutdown_is_served(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        line, client, text = warm(r), r.connect_client(), get_command("r1", wait=5000)
        client.send(text[:30])
        r.signal(signal.SIGTERM)
        r.wait_until(lambda: not listens(r))
        client.send(text[30:])
        assert line.receive_value()[2] == b"r1"
        line.send(VALUE)
        assert client.receive_value() == b"v" and client.wait_for_close() == "fin"
        assert r.wait_for_exit() == 0


def test_an_rpc_in_flight_at_the_end_of_a_shutdown_is_answered(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS[2:]) as r:
        client, text = r.connect_client(), get_command("r1", method="short", wait=1000)
        client.send(text[:30])
        began = time.monotonic()
        r.signal(signal.SIGTERM)
        r.wait_until(lambda: not listens(r))
        r.wait_until(
            lambda: time.monotonic() > began + 1.1
        )  # its time ends after the node's, 0.5 + 1.0 + 0.15 s
        client.send(text[30:])
        r.caches[0].accept().receive_value()  # and no answer comes
        assert isinstance(client.receive_value(), ErrorReply) and client.wait_for_close() == "fin"
        assert r.wait_for_exit() == 0 and time.monotonic() < began + 2.2


@pytest.mark.parametrize("before", [True, False])  # the last look at its connection
def test_an_idle_client_that_sends_during_a_shutdown_is_answered_or_can_retry(
    tmp_path: Path, before: bool
) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        knows(r, client)
        r.signal(signal.SIGTERM)
        if before:
            r.suspend()  # held still while it serves on
            client.send(get_command("r1", wait=5000))
            r.resume()
            assert line.receive_value()[2] == b"r1"
            line.send(VALUE)
            assert client.receive_value() == b"v"
        assert client.wait_for_close() == "fin"
        if not before:
            client.send(get_command("r1", wait=5000))
            assert r.wait_for_exit() == 0
            assert line.wait_for_close() in ("fin", "reset"), "read after the shutdown and sent on"


def test_commands_received_one_byte_at_a_time_are_served(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        line, client = warm(r), r.connect_client()
        for byte in get_command("r1", wait=5000):
            client.send(bytes([byte]))
        assert line.receive_value()[2] == b"r1"
        for n in range(len(VALUE)):
            line.send(VALUE[n : n + 1])
        assert client.receive_value() == b"v"
