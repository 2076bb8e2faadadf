"""Connections to caches and the origin on real sockets, where two events cross; see
docs/crossings.md."""

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

# The next SYN of a dial that found no room comes a second later.
LIMITS = {"most_transmissions": 3, "cancelling": True, "dial_timeout_s": 4.0, "conn_idle_s": 60.0}
METHODS = [
    method_settings("read"),
    method_settings("once", "fragile"),
    method_settings("known", "dedup", window_s=0.6, group="all"),
]


def outstanding(line: PeerConnection) -> int:
    """Bytes that the other side's kernel has not taken yet."""
    return struct.unpack("i", fcntl.ioctl(line.sock, termios.TIOCOUTQ, b"\0" * 4))[0]


def late(folder: Path, caches: int = 1, cancelling: bool = True) -> NodeProcess:
    """A node whose dials to caches do not come up before their backlogs are emptied."""
    r = NodeProcess(folder, caches, backlog=0, methods=METHODS)
    r.settings["limits"] = LIMITS | {"cancelling": cancelling}
    r.write_configuration()
    for cache in r.caches:
        cache.fill_backlog()
    return r


def ask(r: NodeProcess, id: str, name: str = "read", wait: int = 5500) -> PeerConnection:
    line = r.connect_client()
    line.send(get_command(id, method=name, wait=wait))
    return line


def asks_next(r: NodeProcess, line: PeerConnection, id: str) -> None:
    """Whatever was asked before, the next command on that connection is this one."""
    client = ask(r, id)
    assert line.receive_value()[2] == id.encode()
    line.send(VALUE)
    assert client.receive_value() == b"v"


@pytest.mark.parametrize(
    "what", [{"health": "terminating"}, {"health": "terminated"}, {"dial": "127.0.0.1:1"}]
)
def test_an_attempt_waiting_for_a_connect_is_not_sent_once_its_server_is_unavailable(
    tmp_path: Path, what: Settings
) -> None:
    with late(tmp_path) as r:
        client = ask(r, "r1")
        r.wait_until(lambda: any(cache.has_connect_in_progress() for cache in r.caches))
        began = time.monotonic()
        watch = r.answer_poll(r.endpoint_change(6, 0, **what))
        assert isinstance(client.receive_value(), ErrorReply)  # there is no other cache
        assert time.monotonic() - began < 3.0, "it waited for the dial"
        assert r.counter("tx.moot") == 1 and r.counter("upstream_requests") == 0
        r.caches[0].empty_backlog()
        send_change(watch, r.endpoint_change(7, 0, health="in_service"))
        r.wait_until(lambda: r.counter("lists.delta") == 2)
        client = ask(r, "r2")
        line = r.caches[0].accept()
        assert line.receive_value()[2] == b"r2"  # the first that is ever written to it


def test_an_attempt_waiting_for_a_connect_is_rerouted_once_its_server_restarted(
    tmp_path: Path,
) -> None:
    with late(tmp_path, 2) as r:
        ask(r, "r1")
        r.wait_until(lambda: any(cache.has_connect_in_progress() for cache in r.caches))
        # Both are cold now: budgets, which one that was warm a moment ago did not need, decide.
        born = time.time() * 1000
        told = r.endpoint_change(6, 0, born_ms=born)
        told["hosts"].append(r.hosts[1] | {"born_ms": born})
        r.answer_poll(told)
        r.wait_until(lambda: r.counter("tx.moot") == 1)
        assert r.counter("upstream_requests") == 0 and r.counter("dials.given_up") == 1


def test_a_connection_that_opens_with_unread_bytes_leaves_no_attempt_waiting(
    tmp_path: Path,
) -> None:
    with late(tmp_path) as r:
        client = ask(r, "r1")
        r.wait_until(lambda: any(cache.has_connect_in_progress() for cache in r.caches))
        r.suspend()
        r.caches[0].empty_backlog()
        r.caches[0].accept().send(b"+hello\r\n")
        began = time.monotonic()
        r.resume()
        assert isinstance(client.receive_value(), ErrorReply) and time.monotonic() - began < 2.5, (
            "it waited to its end"
        )
        assert r.counter("connections.unclean") == r.counter("tx.connect_failed") == 1


def test_a_server_is_sent_the_time_remaining_when_the_attempt_starts(tmp_path: Path) -> None:
    with late(tmp_path) as r:
        began = time.monotonic()
        client = ask(r, "r1")
        r.wait_until(lambda: any(cache.has_connect_in_progress() for cache in r.caches))
        r.caches[0].empty_backlog()
        line = r.caches[0].accept()
        words = line.receive_value()
        left = 5000 - 1000 * (time.monotonic() - began)
        told = int(words[3].partition(b"d=")[2])
        assert left < 4500 and told <= left + 150, "what the dial took was told as left"
        line.send(MISS)
        origin = r.origin.accept()
        told = int(origin.receive_head().partition(b"d=")[2].partition(b"\r\n")[0])
        assert told <= 5000 - 1000 * (time.monotonic() - began) + 150, (
            "the origin is told as the caches are"
        )
        origin.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.receive_value() == b"v"


def test_a_retry_does_not_start_after_the_deduplication_window(tmp_path: Path) -> None:
    with late(tmp_path) as r:
        r.caches[0].empty_backlog()
        client = ask(r, "r1", "known")
        line = r.caches[0].accept()
        assert line.receive_value()[2] == b"r1"
        r.caches[0].fill_backlog()
        line.reset()  # it may have run
        r.wait_until(r.caches[0].has_connect_in_progress)
        r.caches[0].empty_backlog()  # a second later: the window is over
        line = r.caches[0].accept()
        assert isinstance(client.receive_value(), ErrorReply)
        assert r.counter("tx.begun_too_late") == 1 and r.counter("upstream_requests") == 1
        asks_next(r, line, "r2")


def test_a_retry_starts_within_the_deduplication_window(tmp_path: Path) -> None:
    with late(tmp_path) as r:
        r.caches[0].empty_backlog()
        client = ask(r, "r1", "known")
        line = r.caches[0].accept()
        line.receive_value()
        line.reset()
        line = r.caches[0].accept()
        assert line.receive_value()[2] == b"r1"
        line.send(VALUE)
        assert client.receive_value() == b"v"


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("how", ["fin", "close", "reset"])
def test_a_connect_that_completes_after_the_client_disconnected_starts_nothing(
    tmp_path: Path, how: str, cancelling: bool
) -> None:
    with late(tmp_path, cancelling=cancelling) as r:
        client = ask(r, "r1")
        r.wait_until(lambda: any(cache.has_connect_in_progress() for cache in r.caches))
        getattr(client, how)()
        r.wait_until(lambda: r.counter("rpcs.errored") + r.counter("rpcs.client_left") == 1)
        r.caches[0].empty_backlog()
        asks_next(r, r.caches[0].accept(), "r2")


def test_an_idle_connection_closed_by_its_server_is_not_used(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS) as r:
        for id, end in (("r2", "fin"), ("r3", "close"), ("r4", "reset")):
            client = r.connect_client()
            client.send(get_command(id + "0"))
            line = r.caches[0].accept()
            line.receive_value()
            line.send(VALUE)
            assert client.receive_value() == b"v"  # the connection is idle now
            r.suspend()
            getattr(line, end)()
            client.send(get_command(id, method="once"))  # one that may not be sent twice
            r.resume()
            line = r.caches[0].accept()
            assert line.receive_value()[2] == id.encode()
            line.send(VALUE)
            assert client.receive_value() == b"v"
            line.close()


def test_a_command_may_have_executed_if_its_connection_closes_after_it(tmp_path: Path) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS) as r:
        for end in ("close", "reset"):
            client = r.connect_client()
            client.send(get_command(f"{end}1", method="once"))
            line = r.caches[0].accept()
            line.receive_value()
            getattr(line, end)()
            assert client.receive_value() == ErrorReply(b"ERR failed")
            client.send(get_command(f"{end}2"))
            line = r.caches[0].accept()
            line.receive_value()
            getattr(line, end)()
            line = r.caches[0].accept()  # this one may be sent again
            assert line.receive_value()[2] == f"{end}2".encode()
            line.send(VALUE)
            assert client.receive_value() == b"v"
            line.close()


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("how", ["fin", "reset"])
def test_a_response_without_a_length_ends_with_a_close_and_not_with_a_reset(
    tmp_path: Path, how: str, together: bool
) -> None:
    with NodeProcess(tmp_path, 1, methods=METHODS) as r:
        client = r.connect_client()
        client.send(command(b"OBJ.SET", b"k", b"r1", b"c=once,d=5000", b"x"))
        line = r.origin.accept()
        line.receive_head()
        assert line.sock.recv(1) == b"x"
        if together:  # part of the body and the end of the connection stand in the kernel
            r.suspend()
        line.send(b"HTTP/1.1 200 OK\r\nX-Load: inflight=1\r\n\r\nval")
        if not together:  # it has read the part when the end comes
            r.wait_until(lambda: not outstanding(line))
            r.read_info()
        getattr(line, how)()
        if together:
            r.resume()
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
    with NodeProcess(tmp_path, 2, methods=METHODS) as r:
        client = ask(r, "r1")
        _, line = r.accept_from_any_cache()
        assert line.receive_value()[2] == b"r1"
        line.send(bad if bad != b"?" else bad + b"\r\n")
        _, other = r.accept_from_any_cache()
        assert other.receive_value()[2] == b"r1"
        line.sock.settimeout(0)  # as the second one has come, the first is over: not a moment later
        with pytest.raises(ConnectionResetError):
            line.sock.recv(1)
        other.send(VALUE)
        assert client.receive_value() == b"v"


def test_a_recovered_origin_is_tried_within_a_second_after_repeated_failures(
    tmp_path: Path,
) -> None:
    with NodeProcess(tmp_path, 1, methods=[method_settings("read", soft_s=0.2)]) as r:
        at = ("127.0.0.1", r.origin.port)
        client = ask(r, "r0", wait=900)
        cache = r.caches[0].accept()
        r.origin.listener.close()  # dials are refused from now on
        n = failed = 0
        while failed < 5:  # each makes the node rest for longer, down to its least
            assert cache.receive_value()[2] == b"r%d" % n
            cache.send(MISS)
            assert isinstance(client.receive_value(), ErrorReply)
            n, failed = n + 1, r.counter("tx.connect_failed")
            client.send(get_command(f"r{n}", wait=900))
        r.origin.listener = socket.create_server(at)  # it is back just now
        began = time.monotonic()
        while True:
            assert cache.receive_value()[2] == b"r%d" % n
            cache.send(MISS)
            if r.origin.has_pending_connection(0.05):
                break
            assert isinstance(client.receive_value(), ErrorReply)
            assert time.monotonic() - began < 1.0, "it rests, and the origin is well"
            n += 1
            client.send(get_command(f"r{n}", wait=900))
        origin = r.origin.accept()
        origin.receive_head()
        origin.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.receive_value() == b"v"
