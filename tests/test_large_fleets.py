"""Lists of thousands of cache servers: the size of the ring, and a node that starts with one."""

import socketserver
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint
from peers import VALUE, NodeProcess, PeerConnection, Settings, method_settings, send_change
from socket_node import get_command, listed_host

from hookpitch.balancer.interface import EndpointUpdate
from hookpitch.balancer.ring import MAX_SCALED_POINTS, MIN_RING_POINTS, RING_POINTS

CACHES = 3200  # the most that the platform names
LOAD_S = 2.0  # of load after the start, and after the list was renewed
SEND_INTERVAL_S = 0.025
METHODS = [method_settings("read", soft_s=0.4)]


def receive_caches(fleet: Fleet, kind: EndpointUpdate, prefix: str, count: int) -> int:
    """Give a router a list of caches; return the number of points on its ring."""
    caches = [make_endpoint(f"{prefix}{index}") for index in range(count)]
    fleet.receive_endpoints([*caches, make_endpoint("o1", kind=ORIGIN_KIND)], kind)
    return len(fleet.router.ring.points)


def test_the_points_of_a_large_fleet_are_bounded_however_it_became_large() -> None:
    # Building a ring of half a million points took the event loop longer than RPCs may wait.
    for first_count in (1, 200, CACHES):
        fleet = Fleet(make_deployment())
        points = receive_caches(fleet, EndpointUpdate.CACHED, "a", first_count)
        assert first_count > 200 or points == first_count * (RING_POINTS + MIN_RING_POINTS)
        for kind, prefix in ((EndpointUpdate.DELTA, "b"), (EndpointUpdate.SNAPSHOT, "c")):
            points = receive_caches(fleet, kind, prefix, CACHES)
            assert points <= 2 * MAX_SCALED_POINTS + MIN_RING_POINTS * 2 * CACHES
            points_by_cache = {cache.ring_points for cache in fleet.router.caches}
            assert min(points_by_cache) > MIN_RING_POINTS and len(points_by_cache) == 1


class _CacheHandler(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        connection = PeerConnection(self.request)
        try:
            while True:
                connection.receive_value()
                connection.send(VALUE)
        except (OSError, EOFError):
            pass


class _CacheServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    request_queue_size = 512


@pytest.fixture
def cache_port() -> Iterator[int]:
    """Run a cache server that answers every command with a value, and return its port."""
    with _CacheServer(("127.0.0.1", 0), _CacheHandler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield server.server_address[1]
        server.shutdown()


def large_list(node: NodeProcess, seq: int, prefix: str, port: int) -> Settings:
    """Return a whole list of caches, which are one server under many names."""
    caches = [listed_host(f"{prefix}{index}", port) for index in range(CACHES)]
    return {"seq": seq, "whole": True, "hosts": [*caches, node.hosts[-1]]}


def answers_under_load(node: NodeProcess, name: str) -> list[object]:
    """Send RPCs one at a time for a while, and return their answers."""
    client = node.connect_client()
    answers = []
    for index in range(int(LOAD_S / SEND_INTERVAL_S)):
        client.send(get_command(f"{name}{index}", f"{name}-key{index}", wait=5000))
        answers.append(client.receive_value())
        time.sleep(SEND_INTERVAL_S)
    return answers


def test_a_node_serves_with_a_list_of_thousands_of_caches_and_when_it_is_renewed(
    tmp_path: Path, cache_port: int
) -> None:
    # Guards against 98% of all RPCs rejected for good after such a start (review's report).
    node = NodeProcess(tmp_path, 0, methods=METHODS, limits={"sockets": 512, "memory_mb": 192})
    node.configuration["known"] = large_list(node, 5, "s", cache_port)
    node.write_configuration()
    with node:
        watch = node.answer_poll(b"\n")
        first = answers_under_load(node, "first")
        send_change(watch, large_list(node, 6, "t", cache_port))
        node.wait_until(lambda: node.counter("lists.full") == 1)
        renewed = answers_under_load(node, "renewed")
    assert first.count(b"v") == len(first) and renewed.count(b"v") == len(renewed)
