"""Tests that an RPC that may run only once is not run again when its id comes a second time."""

from pathlib import Path

import pytest
from memory_network import MemoryConnection
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command

from hookpitch.core.id_table import SLOTS, TABLE_BYTES, IdTable

VALUE = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"


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
    for port in (7000, 7001, ORIGIN_PORT):
        node.network.dial_outcomes[port] = "refused"
    client = node.connect_client()
    client.send(get_command("same", method="once"))
    node.pass_time(5)
    assert client.receive().startswith(b"-BUSY")
    node.network.dial_outcomes.clear()
    assert send_again(node)[1] == 1


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
    old = NodeOnMemoryNetwork(shared=str(tmp_path), process_id="1")
    client = old.connect_client()
    client.send(get_command("same", method="once"))
    old.pass_time(1)
    assert len(requests_at_caches(old)) == 1
    new = NodeOnMemoryNetwork(shared=str(tmp_path), process_id="2")
    reply, requests = send_again(new)
    assert reply.startswith(b"-ERR") and requests == 0
    client.close()
    old.pass_time(1)
    reply, requests = send_again(new)
    assert reply.startswith(b"-ERR") and requests == 0


def test_a_table_of_ids_keeps_each_for_its_time_and_refuses_what_has_no_room() -> None:
    now = [100.0]
    table = IdTable(lambda: now[0])
    ids = [b"id%d" % index for index in range(3 * SLOTS)]
    kept = [rpc_id for rpc_id in ids if table.add(rpc_id, 5.0)]
    assert SLOTS // 2 < len(kept) <= SLOTS
    assert all(rpc_id in table for rpc_id in kept)
    assert not any(rpc_id in table for rpc_id in set(ids) - set(kept))
    table.remove(kept[0])
    assert kept[0] not in table and kept[1] in table
    now[0] += 4.9
    assert kept[1] in table
    now[0] += 0.2
    assert not any(rpc_id in table for rpc_id in ids)
    assert table.add(ids[-1], 5.0)


def test_a_table_of_ids_that_another_process_writes_shows_its_ids() -> None:
    buffer = bytearray(TABLE_BYTES)
    one, other = IdTable(lambda: 1.0, buffer), IdTable(lambda: 1.5, buffer)
    one.add(b"a", 2.0)
    assert b"a" in other and b"b" not in other
