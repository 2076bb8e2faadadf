"""Values too large to hold: streamed replies, and large writes under a memory budget."""

from dataclasses import replace

import h11
import pytest
from memory_network import MemoryConnection
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command

from hookpitch.core.resp import NEED_DATA, Parser, bulk, command
from hookpitch.core.ring import Ring
from hookpitch.core.stream import MAX_STREAMED_BYTES, TAIL_BYTES, ChunkedValue, Stream

LARGE = 300_000
VALUE = bytes(range(256)) * (LARGE // 256 + 1)
VALUE = VALUE[:LARGE]
REST = b"$3\r\nhit\r\n$-1\r\n"


def begun(
    sockets: NodeOnMemoryNetwork | None = None, id: str = "a"
) -> tuple[NodeOnMemoryNetwork, MemoryConnection, MemoryConnection]:
    """A client that asked, and the connection on which its RPC is out."""
    s = sockets or NodeOnMemoryNetwork()
    client = s.connect_client()
    client.send(get_command(id))
    s.pass_time(1)
    server = next(
        line
        for line in s.network.connections_to(7000) + s.network.connections_to(7001)
        if id.encode() in line.receive()
    )
    return s, client, server


def heads(server: MemoryConnection, length: int = LARGE) -> None:
    server.send(b"*3\r\n$%d\r\n" % length)


@pytest.mark.parametrize("size", [1, 7, 1000, 65536, LARGE])
def test_a_large_reply_is_streamed_completely_however_it_is_split(size: int) -> None:
    s, client, server = begun()
    reply = b"*3\r\n" + bulk(VALUE) + REST
    got = b""
    for at in range(0, len(reply), size if size > 1 else 997):
        server.send(reply[at : at + (size if size > 1 else 997)])
        got += client.receive()
    assert got == bulk(VALUE) and not client.is_closed and not server.is_closed
    client.send(get_command("b"))  # both connections serve on
    s.pass_time(1)
    assert s.receive_request(server.port) and s.counters.counts["completed.read"] == 1


def test_a_stream_starts_at_once_and_its_tail_waits_for_the_complete_reply() -> None:
    s, client, server = begun()
    heads(server)
    server.send(VALUE[:1000])
    assert client.receive() == b"$%d\r\n" % LARGE + VALUE[:1000]
    server.send(VALUE[1000:])
    assert client.receive() == VALUE[1000:-TAIL_BYTES]
    server.send(b"\r\n" + REST[:-1])
    assert not client.receive()
    server.send(REST[-1:])
    assert client.receive() == VALUE[-TAIL_BYTES:] + b"\r\n"


@pytest.mark.parametrize("end", [b"xx" + REST, b"\r\n!what\r\n", b"\r\n$9\r\nhit", None])
def test_a_malformed_reply_is_never_completed_and_the_client_can_tell(end: bytes | None) -> None:
    s, client, server = begun()
    heads(server)
    server.send(VALUE)
    if end is not None:
        server.send(end)
    server.close()
    s.pass_time(1)
    assert len(client.receive()) < len(bulk(VALUE))
    s.pass_time(1)
    assert client.is_closed
    counts = s.counters.counts
    assert (
        counts["failed.read"] == 1
        and counts["tx.sent"] == 1
        and not s.socket_node.host.rpcs.pending
    )


def test_a_stream_is_ended_by_silence_and_by_no_deadline() -> None:
    s, client, server = begun()
    heads(server)
    for at in range(0, 10_000, 1000):
        server.send(VALUE[at : at + 1000])
        s.pass_time(900)
    assert not client.is_closed and len(client.receive()) > 10_000
    s.pass_time(1100)
    assert client.is_closed and server.is_closed and s.counters.counts["streams.silent"] == 1


def test_a_slow_reader_pauses_the_backend_and_one_that_stops_is_dropped() -> None:
    s, client, server = begun()
    client.is_reading = False
    heads(server, MAX_STREAMED_BYTES)
    sent = 0
    while not server.is_paused and sent < MAX_STREAMED_BYTES:
        server.send(bytes(65536))
        sent += 65536
    room = s.socket_node.clients.stream_buffer_bytes
    assert server.is_paused and sent <= room + 2 * 65536
    client.is_reading = True
    client.receive()
    assert not server.is_paused
    client.is_reading = False
    while not server.is_paused:
        server.send(bytes(65536))
    s.pass_time(1100)
    assert server.is_closed and s.counters.counts["failed.read"] == 1
    s.pass_time(6000)
    assert client.is_closed


def test_many_streams_share_the_unsent_bytes_allowed() -> None:
    s = NodeOnMemoryNetwork()
    alone = s.socket_node.clients.stream_buffer_bytes
    s.socket_node.clients.active_streams = 200
    assert s.socket_node.clients.stream_buffer_bytes < alone
    s.socket_node.clients.active_streams = 0


def test_a_streamed_reply_waits_for_the_replies_before_it() -> None:
    s = NodeOnMemoryNetwork()
    client = s.connect_client()
    client.send(get_command("a") + get_command("b", "other"))
    s.pass_time(1)
    lines = {
        (b"b" if b"other" in data else b"a"): line
        for line in s.network.connections_to(7000) + s.network.connections_to(7001)
        if (data := line.receive())
    }
    heads(lines[b"b"])
    assert lines[b"b"].is_paused and not client.receive()
    lines[b"a"].send(b"*3\r\n$1\r\nv\r\n" + REST)
    assert not lines[b"b"].is_paused
    lines[b"b"].send(VALUE + b"\r\n" + REST)
    assert client.receive() == bulk(b"v") + bulk(VALUE)


def test_a_client_that_disconnects_during_a_stream_frees_its_backend() -> None:
    s, client, server = begun()
    heads(server)
    client.close()
    s.pass_time(1)
    assert (
        server.is_closed
        and not s.socket_node.host.rpcs.pending
        and not s.socket_node.clients.active_streams
    )


def test_a_large_body_of_the_origin_is_streamed_and_a_truncated_one_is_aborted() -> None:
    for whole in (True, False):
        s, client, server = begun()
        server.send(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
        s.pass_time(1)
        (o,) = s.network.connections_to(ORIGIN_PORT)
        o.receive()
        o.send(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % LARGE + VALUE[:5000])
        assert client.receive().endswith(VALUE[:5000])
        o.send(VALUE[5000:] if whole else VALUE[5000:-1])
        if not whole:
            o.close()
        s.pass_time(1)
        assert len(client.receive()) == LARGE - 5000 + (2 if whole else -TAIL_BYTES)
        s.pass_time(1)
        assert client.is_closed is not whole


# ---- writes


def write(id: str, value: bytes) -> bytes:
    return command(b"OBJ.SET", b"k", id.encode(), b"c=read,d=900", value)


def test_a_large_write_reaches_the_origin_and_its_memory_is_released() -> None:
    s = NodeOnMemoryNetwork()
    client = s.connect_client()
    data = write("a", VALUE)
    for at in range(0, len(data), 3000):
        client.send(data[at : at + 3000])
    s.pass_time(1)
    assert s.socket_node.host.value_budget.used == LARGE
    (o,) = s.network.connections_to(ORIGIN_PORT)
    server = h11.Connection(h11.SERVER)
    server.receive_data(o.receive())
    assert isinstance(server.next_event(), h11.Request)
    body = b""
    while isinstance(event := server.next_event(), h11.Data):
        body += bytes(event.data)
    assert body == VALUE and isinstance(event, h11.EndOfMessage)
    o.send(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
    assert client.receive() == bulk(b"ok") and s.socket_node.host.value_budget.used == 0


def test_large_writes_over_the_memory_budget_are_rejected() -> None:
    s = NodeOnMemoryNetwork(memory_mb=32)
    clients = [s.connect_client() for _ in range(6)]
    for n, client in enumerate(clients):
        client.send(write(f"w{n}", bytes(MAX_STREAMED_BYTES)))
    s.pass_time(1)
    said = [client.receive() for client in clients]
    assert said.count(b"-BUSY\r\n") == 4 and s.counters.counts["rejected.read"] == 4
    for client in clients:
        client.close()
    s.pass_time(1)
    assert s.socket_node.host.value_budget.used == 0


def test_a_slow_large_write_keeps_its_connection_and_a_stalled_one_does_not() -> None:
    s = NodeOnMemoryNetwork()
    client = s.connect_client()
    data = write("a", VALUE)
    for at in range(0, 50_000, 5000):
        client.send(data[at : at + 5000])
        s.pass_time(1000)
    assert not client.is_closed
    s.pass_time(3000)
    assert client.is_closed and s.socket_node.host.value_budget.used == 0


@pytest.mark.parametrize(
    "said",
    [
        b"*5\r\n$7\r\nOBJ.SET\r\n$%d\r\n" % LARGE,
        b"*2\r\n$%d\r\n" % LARGE,
        b"*5\r\n$4194305\r\n",
        command(b"OBJ.SET", b"k", b"r", b"c=read,d=900")[:-2].replace(b"*4", b"*5")
        + b"\r\n$4194305\r\n",
    ],
)
def test_only_a_value_may_exceed_the_bulk_limit(said: bytes) -> None:
    s = NodeOnMemoryNetwork()
    client = s.connect_client()
    client.send(said)
    assert client.receive().startswith(b"-ERR")
    s.pass_time(1)
    assert client.is_closed and s.socket_node.host.value_budget.used == 0


def test_what_a_stream_passes_on_plus_its_tail_is_what_it_was_fed() -> None:
    for size in (1, TAIL_BYTES - 1, TAIL_BYTES, TAIL_BYTES + 1, 5000):
        stream = Stream(None, LARGE, 0.0, 0.0)
        out = b"".join(stream.feed(VALUE[at : at + size]) for at in range(0, LARGE, size))
        assert (
            out + stream.tail == VALUE and len(stream.tail) == TAIL_BYTES and not stream.remaining
        )
    pieces = ChunkedValue()
    for at in range(0, LARGE, 7):
        pieces.append(VALUE[at : at + 7])
    assert b"".join(pieces.chunks) == VALUE and len(pieces) == LARGE and len(pieces.chunks) < 12


def test_the_parser_announces_an_oversized_value_and_continues_after_it() -> None:
    ring = Ring()
    parser = Parser(ring, max_value_bytes=MAX_STREAMED_BYTES)
    ring.write(b"*3\r\n" + bulk(VALUE) + REST + b"+OK\r\n")
    assert parser.next_value() is NEED_DATA and parser.body_remaining == LARGE
    got = b""
    while parser.body_remaining:
        got += parser.read_body(65536)
    assert (
        got == VALUE and parser.next_value() == [b"", b"hit", None] and parser.next_value() == b"OK"
    )


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("first", ["cache", "origin"])
def test_of_two_hedged_attempts_only_the_first_to_start_is_streamed(
    first: str, cancelling: bool
) -> None:
    s = NodeOnMemoryNetwork()
    d = s.socket_node.host.deployment
    s.socket_node.host.reconfigured(
        s.clock.now(), replace(d, hedging_allowed=True, cancellation_enabled=cancelling)
    )
    s, client, cache = begun(s)
    s.pass_time(300)  # silent for the patience: a copy goes to the origin
    (origin,) = s.network.connections_to(ORIGIN_PORT)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE
    parts = {
        "cache": (cache, b"*3\r\n$%d\r\n" % LARGE, b"\r\n" + REST),
        "origin": (origin, head, b""),
    }
    (one, begin, end), (other, late, _) = (
        parts[first],
        parts["origin" if first == "cache" else "cache"],
    )
    one.send(begin + VALUE[:1000])
    s.pass_time(1)
    assert (other.is_closed or other.disconnecting) == cancelling
    if not cancelling:
        other.send(late + VALUE[:500])  # it begins, too
    one.send(VALUE[1000:] + end)
    s.pass_time(1)
    assert client.receive() == bulk(VALUE) and not client.is_closed
    assert s.counters.counts["completed.read"] == 1 and s.counters.counts["streams"] == 1
    assert not len(s.socket_node.host.rpcs)
