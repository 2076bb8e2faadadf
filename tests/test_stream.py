"""Values above the buffering limit: streamed replies, and writes under a memory budget."""

from dataclasses import replace

import h11
import pytest
from memory_network import MemoryConnection
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command

from hookpitch.core.host import MIN_STREAM_TIMEOUT_MS
from hookpitch.core.resp import NEED_DATA, Parser, bulk, command
from hookpitch.core.ring import Ring
from hookpitch.core.stream import MAX_STREAMED_BYTES, TAIL_BYTES, ChunkedValue, Stream
from hookpitch.net.resource_budget import MAX_READ_BYTES

LARGE = 300_000
VALUE = bytes(range(256)) * (LARGE // 256 + 1)
VALUE = VALUE[:LARGE]
REST = b"$3\r\nhit\r\n$-1\r\n"


def send_rpc(
    node: NodeOnMemoryNetwork | None = None, id: str = "a"
) -> tuple[NodeOnMemoryNetwork, MemoryConnection, MemoryConnection]:
    """Send an RPC; return the node, the client and the connection of its attempt."""
    node = node or NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command(id))
    node.pass_time(1)
    server = next(
        connection
        for connection in node.network.connections_to(7000) + node.network.connections_to(7001)
        if id.encode() in connection.receive()
    )
    return node, client, server


def send_head(server: MemoryConnection, length: int = LARGE) -> None:
    """Send the beginning of a cache's reply, up to the length of its value."""
    server.send(b"*3\r\n$%d\r\n" % length)


@pytest.mark.parametrize("size", [1, 7, 1000, 65536, LARGE])
def test_a_large_reply_is_streamed_completely_however_it_is_split(size: int) -> None:
    node, client, server = send_rpc()
    reply = b"*3\r\n" + bulk(VALUE) + REST
    received = b""
    for at in range(0, len(reply), size if size > 1 else 997):
        server.send(reply[at : at + (size if size > 1 else 997)])
        received += client.receive()
    assert received == bulk(VALUE) and not client.is_closed and not server.is_closed
    client.send(get_command("b"))  # both connections are still in use
    node.pass_time(1)
    assert node.receive_request(server.port) and node.counters.counts["completed.read"] == 1


def test_a_stream_starts_at_once_and_its_tail_waits_for_the_complete_reply() -> None:
    node, client, server = send_rpc()
    send_head(server)
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
    node, client, server = send_rpc()
    send_head(server)
    server.send(VALUE)
    if end is not None:
        server.send(end)
    server.close()
    node.pass_time(1)
    assert len(client.receive()) < len(bulk(VALUE))
    node.pass_time(1)
    assert client.is_closed
    counts = node.counters.counts
    assert (
        counts["failed.read"] == 1
        and counts["tx.sent"] == 1
        and not node.socket_node.host.rpcs.pending
    )


def test_a_stream_is_ended_by_a_silent_backend_but_not_by_a_deadline() -> None:
    node, client, server = send_rpc()
    send_head(server)
    for at in range(0, 10_000, 1000):
        server.send(VALUE[at : at + 1000])
        node.pass_time(900)
    assert not client.is_closed and len(client.receive()) > 10_000
    node.pass_time(MIN_STREAM_TIMEOUT_MS + 100)
    assert client.is_closed and server.is_closed and node.counters.counts["streams.silent"] == 1


def test_an_answer_that_its_server_writes_with_pauses_is_not_cut_off() -> None:
    # The pauses are longer than the longest deadline of the deployment, which is 1 s.
    node, client, server = send_rpc()
    send_head(server)
    received = b""
    for at in range(0, LARGE, LARGE // 3):
        server.send(VALUE[at : at + LARGE // 3])
        received += client.receive()
        node.pass_time(2200)
    server.send(b"\r\n" + REST)
    assert received + client.receive() == bulk(VALUE) and not client.is_closed


def test_a_slow_reader_pauses_the_backend_and_one_that_stops_is_dropped() -> None:
    node, client, server = send_rpc()
    client.is_reading = False
    send_head(server, MAX_STREAMED_BYTES)
    sent = 0
    while not server.is_paused and sent < MAX_STREAMED_BYTES:
        server.send(bytes(65536))
        sent += 65536
    buffer_bytes = node.socket_node.clients.stream_buffer_bytes
    assert server.is_paused and sent <= buffer_bytes + 2 * 65536
    client.is_reading = True
    client.receive()
    assert not server.is_paused
    client.is_reading = False
    while not server.is_paused:
        server.send(bytes(65536))
    node.pass_time(MIN_STREAM_TIMEOUT_MS + 100)
    assert server.is_closed and node.counters.counts["failed.read"] == 1
    node.pass_time(6000)
    assert client.is_closed


def test_many_streams_share_the_unsent_bytes_allowed() -> None:
    node = NodeOnMemoryNetwork()
    bytes_without_streams = node.socket_node.clients.stream_buffer_bytes
    node.socket_node.clients.active_streams = 200
    assert node.socket_node.clients.stream_buffer_bytes < bytes_without_streams
    node.socket_node.clients.active_streams = 0


def test_a_streamed_reply_waits_for_the_replies_before_it() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command("a") + get_command("b", "other"))
    node.pass_time(1)
    connections = {
        (b"b" if b"other" in data else b"a"): connection
        for connection in node.network.connections_to(7000) + node.network.connections_to(7001)
        if (data := connection.receive())
    }
    send_head(connections[b"b"])
    assert connections[b"b"].is_paused and not client.receive()
    connections[b"a"].send(b"*3\r\n$1\r\nv\r\n" + REST)
    assert not connections[b"b"].is_paused
    connections[b"b"].send(VALUE + b"\r\n" + REST)
    assert client.receive() == bulk(b"v") + bulk(VALUE)


def test_a_client_that_disconnects_during_a_stream_frees_its_backend() -> None:
    node, client, server = send_rpc()
    send_head(server)
    client.close()
    node.pass_time(1)
    assert (
        server.is_closed
        and not node.socket_node.host.rpcs.pending
        and not node.socket_node.clients.active_streams
    )


def test_a_large_body_of_the_origin_is_streamed_and_a_truncated_one_is_aborted() -> None:
    for complete in (True, False):
        node, client, server = send_rpc()
        server.send(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
        node.pass_time(1)
        (origin,) = node.network.connections_to(ORIGIN_PORT)
        origin.receive()
        origin.send(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % LARGE + VALUE[:5000])
        assert client.receive().endswith(VALUE[:5000])
        origin.send(VALUE[5000:] if complete else VALUE[5000:-1])
        if not complete:
            origin.close()
        node.pass_time(1)
        assert len(client.receive()) == LARGE - 5000 + (2 if complete else -TAIL_BYTES)
        node.pass_time(1)
        assert client.is_closed is not complete


# ---- writes


def write_command(id: str, value: bytes) -> bytes:
    """Return the command that writes a value."""
    return command(b"OBJ.SET", b"k", id.encode(), b"c=read,d=900", value)


def test_a_large_write_reaches_the_origin_and_its_memory_is_released() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    data = write_command("a", VALUE)
    for at in range(0, len(data), 3000):
        client.send(data[at : at + 3000])
    node.pass_time(1)
    assert node.socket_node.host.value_budget.used == LARGE
    (origin,) = node.network.connections_to(ORIGIN_PORT)
    server = h11.Connection(h11.SERVER)
    server.receive_data(origin.receive())
    assert isinstance(server.next_event(), h11.Request)
    body = b""
    while isinstance(event := server.next_event(), h11.Data):
        body += bytes(event.data)
    assert body == VALUE and isinstance(event, h11.EndOfMessage)
    origin.send(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
    assert client.receive() == bulk(b"ok") and node.socket_node.host.value_budget.used == 0


def test_large_writes_over_the_memory_budget_are_rejected() -> None:
    node = NodeOnMemoryNetwork(memory_mb=64)  # the budget holds two of these values
    clients = [node.connect_client() for _ in range(6)]
    for index, client in enumerate(clients):
        data = write_command(f"w{index}", bytes(MAX_STREAMED_BYTES))
        for at in range(0, len(data), MAX_READ_BYTES):  # as it is read from a socket
            client.send(data[at : at + MAX_READ_BYTES])
    node.pass_time(1)
    replies = [client.receive() for client in clients]
    assert replies.count(b"-BUSY\r\n") == 4 and node.counters.counts["rejected.read"] == 4
    for client in clients:
        client.close()
    node.pass_time(1)
    assert node.socket_node.host.value_budget.used == 0


def test_a_slow_large_write_keeps_its_connection_and_a_stalled_one_does_not() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    data = write_command("a", VALUE)
    for at in range(0, 50_000, 5000):
        client.send(data[at : at + 5000])
        node.pass_time(1000)
    assert not client.is_closed
    node.pass_time(3000)
    assert client.is_closed and node.socket_node.host.value_budget.used == 0


@pytest.mark.parametrize(
    "data",
    [
        b"*5\r\n$7\r\nOBJ.SET\r\n$%d\r\n" % LARGE,
        b"*2\r\n$%d\r\n" % LARGE,
        b"*5\r\n$4194305\r\n",
        command(b"OBJ.SET", b"k", b"r", b"c=read,d=900")[:-2].replace(b"*4", b"*5")
        + b"\r\n$4194305\r\n",
    ],
)
def test_only_a_value_may_exceed_the_bulk_limit(data: bytes) -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(data)
    assert client.receive().startswith(b"-ERR")
    node.pass_time(1)
    assert client.is_closed and node.socket_node.host.value_budget.used == 0


def test_the_output_of_a_stream_and_its_tail_equal_its_input() -> None:
    for size in (1, TAIL_BYTES - 1, TAIL_BYTES, TAIL_BYTES + 1, 5000):
        stream = Stream(None, LARGE, 0.0, 0.0)
        passed_on = b"".join(stream.feed(VALUE[at : at + size]) for at in range(0, LARGE, size))
        assert (
            passed_on + stream.tail == VALUE
            and len(stream.tail) == TAIL_BYTES
            and not stream.remaining
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
    body = b""
    while parser.body_remaining:
        body += parser.read_body(65536)
    assert (
        body == VALUE
        and parser.next_value() == [b"", b"hit", None]
        and parser.next_value() == b"OK"
    )


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("first", ["cache", "origin"])
def test_of_two_hedged_attempts_only_the_first_to_start_is_streamed(
    first: str, cancelling: bool
) -> None:
    node = NodeOnMemoryNetwork()
    deployment = node.socket_node.host.deployment
    node.socket_node.host.reconfigured(
        node.clock.now(), replace(deployment, hedging_allowed=True, cancellation_enabled=cancelling)
    )
    node, client, cache = send_rpc(node)
    node.pass_time(300)  # no reply for the hedging delay: a hedged request goes to the origin
    (origin,) = node.network.connections_to(ORIGIN_PORT)
    origin_head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE
    parts = {
        "cache": (cache, b"*3\r\n$%d\r\n" % LARGE, b"\r\n" + REST),
        "origin": (origin, origin_head, b""),
    }
    (winner, head, end), (loser, loser_head, _) = (
        parts[first],
        parts["origin" if first == "cache" else "cache"],
    )
    winner.send(head + VALUE[:1000])
    node.pass_time(1)
    assert (loser.is_closed or loser.disconnecting) == cancelling
    if not cancelling:
        loser.send(loser_head + VALUE[:500])  # this reply starts as well
    winner.send(VALUE[1000:] + end)
    node.pass_time(1)
    assert client.receive() == bulk(VALUE) and not client.is_closed
    assert node.counters.counts["completed.read"] == 1 and node.counters.counts["streams"] == 1
    assert not len(node.socket_node.host.rpcs)
