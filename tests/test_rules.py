"""Tests under several random faults at once, with random settings.

The runs are seeded, and the four rules are checked at each step.
"""

import random

import pytest
from fleet import ORIGIN_KIND, Fleet, make_endpoint, random_deployment
from random_faults import RandomFaults
from socket_node import DISCOVERY_PORT

from hookpitch.balancer.interface import EndpointUpdate


@pytest.mark.parametrize("seed", range(60))
def test_rules_hold_under_any_order_of_input(seed: int) -> None:
    rng = random.Random(seed)
    fleet = Fleet(random_deployment(rng), seed)
    sizes = [rng.choice([0.5, 1.0, 2.0]) for _ in range(rng.randint(1, 9))]
    servers = [
        make_endpoint(f"s{index}", size=size, kind=index % 2) for index, size in enumerate(sizes)
    ]
    origin = [make_endpoint("o1", kind=ORIGIN_KIND)] if rng.random() < 0.9 else []
    fleet.receive_endpoints(
        servers + origin, rng.choice([EndpointUpdate.CACHED, EndpointUpdate.SNAPSHOT])
    )
    for _ in range(700):
        fleet.step()
    fleet.pass_time(30000.0)  # every RPC has ended by then
    assert not fleet.open_rpcs
    assert not fleet.router.rpcs, "records outlive their RPCs"
    assert not any(
        backend.fresh_queue or backend.retry_queue or backend.in_flight
        for backend in fleet.router.backends.values()
    )


def test_same_input_gives_the_same_decisions() -> None:
    runs = []
    for _ in range(2):
        fleet = Fleet(random_deployment(random.Random(5)), 5)
        fleet.receive_endpoints(
            [make_endpoint(f"s{index}") for index in range(6)]
            + [make_endpoint("o1", kind=ORIGIN_KIND)]
        )
        for _ in range(500):
            fleet.step()
        runs.append((fleet.sends, fleet.answers, fleet.logs))
    assert runs[0] == runs[1]


@pytest.mark.parametrize("seed", range(25))
def test_rules_hold_on_sockets_whatever_the_peers_do(seed: int) -> None:
    faults = RandomFaults(seed)
    for _ in range(800):
        faults.step()
    for client in faults.clients:
        client.is_reading = True
    faults.node.pass_time(1100)
    faults.deliver_output()
    assert not any(faults.unanswered[id(client)] for client in faults.clients), "an RPC was lost"
    host, counts = faults.node.socket_node.host, faults.node.counters.counts
    assert not len(host.rpcs), "records outlive their RPCs"
    assert (
        not [name for name in counts if name.startswith("broken")] and counts["rpcs.completed"] > 10
    )
    open_connections = [
        connection for connection in faults.network.connections if not connection.is_closed
    ] + [dial for dial in faults.network.dials if not dial.is_finished]
    assert faults.node.socket_node.pools.descriptors_used == sum(
        connection.port != DISCOVERY_PORT for connection in open_connections
    ), "descriptors are counted wrong"
