"""Values from the origin whose length is unknown until their end: memory, order and failures."""

from contextlib import suppress
from pathlib import Path

import pytest
from memory_network import MemoryConnection
from peers import NodeProcess, method_settings
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork

from hookpitch.core.collected_body import UNRESERVED_BYTES, CollectedBody
from hookpitch.core.host import MIN_STREAM_TIMEOUT_MS
from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.resp import bulk, command
from hookpitch.core.stream import MAX_STREAMED_BYTES
from hookpitch.net.origin import OriginConnection

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE = 4_000_000
MEMORY_MB = 64  # the limit that the node is told, and at which the platform would kill it
VALUES = 48
AT_ONCE = 8


def write(id: str, method: str = "read") -> bytes:
    """Return a command that goes to the origin at once."""
    return command(b"OBJ.SET", b"k", id.encode(), f"c={method},d=5000".encode(), b"x")


def start_rpcs(
    count: int, memory_mb: int = 64, method: str = "read"
) -> tuple[NodeOnMemoryNetwork, list[MemoryConnection], list[MemoryConnection]]:
    """Send RPCs of clients of their own; return the node, the clients and their origin ends."""
    node = NodeOnMemoryNetwork(memory_mb=memory_mb)
    clients = [node.connect_client() for _ in range(count)]
    for index, client in enumerate(clients):
        client.send(write(f"r{index}", method))
    node.pass_time(1)
    origins = node.network.connections_to(ORIGIN_PORT)
    by_id = {
        connection.receive().split(b"X-Request-Id: ")[1][:2]: connection for connection in origins
    }
    return node, clients, [by_id[b"r%d" % index] for index in range(count)]


def receive_all(node: NodeOnMemoryNetwork, client: MemoryConnection) -> bytes:
    """Return what a client that reads on receives."""
    received = b""
    while part := client.receive():
        received += part
        node.pass_time(1)
    return received


def send_value(origin: MemoryConnection, value: bytes) -> None:
    """Send a value without a length, and its end."""
    for at in range(0, len(value), 1 << 16):
        origin.send(value[at : at + (1 << 16)])
    origin.close()


def test_many_large_values_without_a_length_stay_within_the_memory_limit(tmp_path: Path) -> None:
    # Guards against bodies that no budget bounds, and of which the node holds several copies.
    methods = [method_settings("read")]
    with NodeProcess(tmp_path, 1, limits={"memory_mb": MEMORY_MB}, methods=methods) as node:
        clients = [node.connect_client() for _ in range(AT_ONCE)]
        served = 0
        for turn in range(VALUES // AT_ONCE):
            for index, client in enumerate(clients):
                client.send(write(f"{turn}-{index}"))
            for _ in clients:
                origin = node.origin.accept()
                origin.receive_head()
                assert origin.receive_bytes(1) == b"x"
                with suppress(ConnectionError):  # the node resets it where memory is short
                    origin.send(HEAD + bytes(LARGE))
                origin.close()
            for client in clients:
                line = client.receive_line()
                if line == b"$%d\r\n" % LARGE:
                    client.receive_bytes(LARGE + 2)
                    served += 1
                else:
                    assert line.startswith(b"-BUSY")
        assert node.peak_memory_kb() < MEMORY_MB << 10
        # No client reads before all values have been sent, so the budget holds only some of them.
        assert served >= VALUES // AT_ONCE


@pytest.mark.parametrize("length", [0, 1, UNRESERVED_BYTES, UNRESERVED_BYTES + 1, 300_000])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_value_without_a_length_arrives_whole_and_in_its_turn(
    length: int, is_chunked: bool
) -> None:
    node, (client,), (origin,) = start_rpcs(1)
    value = bytes(range(256)) * (length // 256 + 1)
    value = value[:length]
    client.send(command(b"PING"))
    if is_chunked:
        chunk = b"%x\r\n%b\r\n" % (length, value) if length else b""
        origin.send(CHUNKED_HEAD + chunk + b"0\r\n\r\n")
    else:
        origin.send(HEAD)
        send_value(origin, value)
    node.pass_time(1)
    assert receive_all(node, client) == bulk(value) + b"+PONG\r\n"
    assert node.counters.counts["completed.read"] == 1 and not len(node.socket_node.host.rpcs)
    assert node.socket_node.host.value_budget.used == 0 and origin.is_closed is not is_chunked


def test_values_over_the_memory_budget_are_rejected_and_the_others_served() -> None:
    node, clients, origins = start_rpcs(3, memory_mb=64)  # the budget holds two of these values
    value = bytes(MAX_STREAMED_BYTES)
    for origin in origins:
        origin.send(HEAD)
    for at in range(0, len(value), 1 << 16):
        for origin in origins:
            origin.send(value[at : at + (1 << 16)])
    for origin in origins:
        origin.close()
    node.pass_time(1)
    replies = [receive_all(node, client) for client in clients]
    assert [reply[:5] for reply in replies].count(b"-BUSY") == 1
    assert replies.count(bulk(value)) == 2 and node.counters.counts["tx.no_memory"] == 1
    assert node.socket_node.host.value_budget.used == 0


def test_a_value_of_a_non_idempotent_rpc_over_the_memory_budget_has_failed() -> None:
    node, (client,), (origin,) = start_rpcs(1, memory_mb=32, method="once")
    node.socket_node.host.value_budget.reserve(node.socket_node.host.value_budget.limit)
    origin.send(HEAD)
    send_value(origin, bytes(LARGE))
    node.pass_time(1)
    assert client.receive() == b"-ERR failed\r\n" and node.counters.counts["tx.sent"] == 1


def test_a_client_that_does_not_read_a_stored_reply_holds_its_memory_for_a_bounded_time() -> None:
    node, (client,), (origin,) = start_rpcs(1)
    client.is_reading = False
    origin.send(HEAD)
    send_value(origin, bytes(LARGE))
    node.pass_time(1)
    budget = node.socket_node.host.value_budget
    assert 0 < budget.used <= LARGE and not node.network.connections_to(ORIGIN_PORT)
    assert len(client.protocol.output_buffer) <= 2 * node.socket_node.clients.stream_buffer_bytes
    node.pass_time(MIN_STREAM_TIMEOUT_MS + 100)
    assert budget.used == 0 and node.counters.counts["streams.silent"] == 1
    node.pass_time(6000)
    assert client.is_closed


@pytest.mark.parametrize("moment", ["while it arrives", "while it is forwarded"])
def test_a_client_that_disconnects_frees_the_memory_of_its_value(moment: str) -> None:
    node, (client,), (origin,) = start_rpcs(1)
    client.is_reading = False
    origin.send(HEAD + bytes(LARGE // 2))
    if moment == "while it is forwarded":
        send_value(origin, bytes(LARGE // 2))
        node.pass_time(1)
    assert node.socket_node.host.value_budget.used > 0
    client.close()
    node.pass_time(1)
    assert node.socket_node.host.value_budget.used == 0 and not len(node.socket_node.host.rpcs)


def test_the_body_of_an_error_is_not_kept() -> None:
    node, (client,), (origin,) = start_rpcs(1, method="once")
    origin.send(b"HTTP/1.1 500 X\r\n\r\n" + bytes(LARGE))
    assert isinstance(origin.protocol, OriginConnection)
    assert len(origin.protocol.body) == 0 and node.socket_node.host.value_budget.used == 0
    origin.close()
    node.pass_time(1)
    assert client.receive() == b"-ERR failed\r\n"


def test_a_collected_body_reserves_what_it_holds_above_the_buffering_limit() -> None:
    budget = MemoryBudget(UNRESERVED_BYTES)
    body = CollectedBody(budget)
    assert body.append(bytes(UNRESERVED_BYTES)) and budget.used == 0
    assert body.append(bytes(UNRESERVED_BYTES)) and budget.used == UNRESERVED_BYTES
    assert not body.append(b"x") and len(body) == 2 * UNRESERVED_BYTES
    while body.take_chunk():
        assert budget.used == max(0, len(body) - UNRESERVED_BYTES)
    assert len(body) == budget.used == 0
    body.append(bytes(2 * UNRESERVED_BYTES))
    body.discard()
    body.discard()
    assert len(body) == budget.used == 0
