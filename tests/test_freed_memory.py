"""What has ended is freed at once; the garbage collector runs too seldom for large values."""

import gc
from collections.abc import Iterator

import pytest
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command
from test_sockets import MISS, VALUE, answer_caches, answer_origin, http_response

from hookpitch.core.rpc import Attempt, Rpc


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
