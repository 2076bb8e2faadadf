"""Tests that an RPC that may run only once is not run again when its id comes a second time."""

from pathlib import Path

import pytest
from memory_network import MemoryConnection
from socket_node import NodeOnMemoryNetwork, get_command

VALUE = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"
BUSY = b"-BUSY\r\n"


def requests_at_caches(node: NodeOnMemoryNetwork) -> list[MemoryConnection]:
    """Return the connections on which caches have received requests since the last call."""
    connections = node.network.connections_to(7000) + node.network.connections_to(7001)
    return [connection for connection in connections if connection.receive()]


def send_again(node: NodeOnMemoryNetwork, method: str = "once") -> tuple[bytes, int]:
    """Send the same id from a new connection; return the reply and the number of new requests."""
    client = node.connect_client()
    client.send(get_command("same", method=method))
    node.pass_time(1)
    requests = len(requests_at_caches(node))
    return client.receive(), requests


@pytest.mark.parametrize("ends", ["answered", "client left", "timed out", "connection lost"])
def test_an_id_that_may_have_run_is_not_run_again_after_its_rpc_has_ended(ends: str) -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command("same", method="once"))
    node.pass_time(1)
    (cache,) = requests_at_caches(node)
    if ends == "answered":
        cache.send(VALUE)
    elif ends == "client left":
        client.close()
    elif ends == "timed out":
        node.pass_time(950)
    else:
        cache.close()
    node.pass_time(1)
    assert not len(node.socket_node.host.rpcs)
    reply, requests = send_again(node)
    assert reply.startswith(b"-ERR") and requests == 0


def test_an_id_that_has_not_run_may_come_again() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command("same", method="once"))
    node.pass_time(1)
    for _ in range(3):  # each attempt is rejected by its server
        for cache in requests_at_caches(node):
            cache.send(BUSY)
        node.pass_time(1)
    node.pass_time(1000)
    assert client.receive().startswith(b"-")
    _, requests = send_again(node)
    assert requests == 1


def test_an_id_may_come_again_once_no_client_waits_for_it() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command("same", method="once"))
    node.pass_time(1)
    requests_at_caches(node)[0].send(VALUE)
    node.pass_time(6000)
    assert send_again(node)[1] == 1


def test_an_idempotent_id_may_come_again_at_once() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command("same"))
    node.pass_time(1)
    requests_at_caches(node)[0].send(VALUE)
    assert send_again(node, method="read")[1] == 1


def test_an_id_that_ran_at_the_old_process_of_an_upgrade_is_not_run_at_the_new_one(
    tmp_path: Path,
) -> None:
    old = NodeOnMemoryNetwork(shared=str(tmp_path))
    client = old.connect_client()
    client.send(get_command("same", method="once"))
    old.pass_time(1)
    assert len(requests_at_caches(old)) == 1
    new = NodeOnMemoryNetwork(shared=str(tmp_path))
    reply, requests = send_again(new)
    assert reply.startswith(b"-ERR") and requests == 0
    client.close()
    old.pass_time(1)
    reply, requests = send_again(new)
    assert reply.startswith(b"-ERR") and requests == 0
