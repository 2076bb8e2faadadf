"""What has ended is freed at once; the garbage collector runs too seldom for large values."""

import gc
from collections.abc import Iterator
from pathlib import Path

import pytest
from peers import NodeProcess, method_settings
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command
from test_sockets import MISS, VALUE, answer_caches, answer_origin, http_response

from hookpitch.core.resp import command
from hookpitch.core.ring import INITIAL_CAPACITY
from hookpitch.core.rpc import Attempt, Rpc

LARGE = 200_000
VALUE_BYTES = 4_000_000
MEMORY_MB = 64  # the limit that the node is told, and at which the platform would kill it


@pytest.fixture(autouse=True)
def _without_garbage_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_instances(*types: type) -> int:
    """Return how many objects of these types exist, whether or not anything refers to them."""
    return sum(type(value) in types for value in gc.get_objects())


@pytest.mark.parametrize("ends", ["answered", "after a miss", "failed", "client left"])
def test_an_ended_rpc_is_freed_without_garbage_collection(ends: str) -> None:
    # Guards against answers that outlive their RPC by its reference cycle (review/2).
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    for index in range(20):
        client.send(get_command(f"r{index}"))
        if ends == "client left":
            client.close()
            client = node.connect_client()
        elif ends == "failed":
            node.pass_time(1000)
        else:
            answer_caches(node, VALUE if ends == "answered" else MISS)
        if ends == "after a miss":
            node.pass_time(1)
            assert answer_origin(node, http_response(200, b"v"))
        node.pass_time(1)
    assert not len(node.socket_node.host.rpcs)
    assert count_instances(Rpc, Attempt) == 0
    assert ends != "after a miss" or node.network.connections_to(ORIGIN_PORT)


@pytest.mark.parametrize("ends", ["close", "loseConnection"])
def test_a_closed_connection_keeps_no_bytes(ends: str) -> None:
    # Guards against bodies and buffers that outlive their connection by Twisted's reference cycles
    # (review/2).
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.is_reading = False
    client.send(command(b"PING") * 9 + get_command("r1"))
    answer_caches(node, MISS)
    node.pass_time(1)
    (origin,) = node.network.connections_to(ORIGIN_PORT)
    origin.send(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(LARGE))
    writer = node.connect_client()
    writer.send(command(b"OBJ.SET", b"k", b"w1", b"c=read,d=900", bytes(LARGE)))
    node.pass_time(1)
    write = node.network.connections_to(ORIGIN_PORT)[-1]  # it does not read
    client.protocol.output_buffer.write(bytes(LARGE))
    assert len(origin.protocol.body) == LARGE and write.protocol.has_unsent_bytes
    for connection in (origin, write, client, writer):
        getattr(connection, ends)()
    node.pass_time(2)
    for connection in (origin, write, client, writer):
        protocol = connection.protocol
        assert connection.is_closed and not protocol.has_unsent_bytes
        assert not len(protocol.input_buffer) and not len(getattr(protocol, "body", b""))
        assert protocol.output_buffer.capacity <= INITIAL_CAPACITY


def test_values_without_a_length_do_not_accumulate(tmp_path: Path) -> None:
    # Guards against the sum of the faults above, in a process as the platform runs it (review/2).
    methods = [method_settings("read")]
    with NodeProcess(tmp_path, 1, limits={"memory_mb": MEMORY_MB}, methods=methods) as node:
        client = node.connect_client()
        for index in range(60):
            client.send(command(b"OBJ.SET", b"k", b"w%d" % index, b"c=read,d=5000", b"x"))
            origin = node.origin.accept()
            origin.receive_head()
            assert origin.receive_bytes(1) == b"x"
            origin.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + bytes(VALUE_BYTES))
            origin.close()
            assert client.receive_line() == b"$%d\r\n" % VALUE_BYTES
            client.receive_bytes(VALUE_BYTES + 2)
        assert node.peak_memory_kb() < MEMORY_MB << 10
