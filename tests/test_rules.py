"""Seeded random runs: several troubles at once under drawn settings, the four rules checked at
every step."""

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
    servers = [make_endpoint(f"s{i}", size=size, kind=i % 2) for i, size in enumerate(sizes)]
    origin = [make_endpoint("o1", kind=ORIGIN_KIND)] if rng.random() < 0.9 else []
    fleet.receive_endpoints(
        servers + origin, rng.choice([EndpointUpdate.CACHED, EndpointUpdate.SNAPSHOT])
    )
    for _ in range(700):
        fleet.step()
    fleet.pass_time(30000.0)  # whatever was open has ended by now
    assert not fleet.open_rpcs
    assert not fleet.router.rpcs, "records outlive their RPCs"
    assert not any(
        s.fresh_queue or s.retry_queue or s.in_flight for s in fleet.router.backends.values()
    )


def test_same_input_gives_the_same_decisions() -> None:
    runs = []
    for _ in range(2):
        fleet = Fleet(random_deployment(random.Random(5)), 5)
        fleet.receive_endpoints(
            [make_endpoint(f"s{i}") for i in range(6)] + [make_endpoint("o1", kind=ORIGIN_KIND)]
        )
        for _ in range(500):
            fleet.step()
        runs.append((fleet.sends, fleet.answers, fleet.logs))
    assert runs[0] == runs[1]


@pytest.mark.parametrize("seed", range(25))
def test_rules_hold_on_sockets_whatever_the_peers_do(seed: int) -> None:
    storm = RandomFaults(seed)
    for _ in range(500):
        storm.step()
    for line in storm.clients:
        line.is_reading = True
    storm.node.pass_time(1100)
    storm.deliver_output()
    assert not any(storm.unanswered[id(line)] for line in storm.clients), "an RPC was lost"
    host, counts = storm.node.socket_node.host, storm.node.counters.counts
    assert not len(host.rpcs), "records outlive their RPCs"
    assert (
        not [name for name in counts if name.startswith("broken")] and counts["rpcs.completed"] > 10
    )
    held = [x for x in storm.network.connections if not x.is_closed] + [
        d for d in storm.network.dials if not d.is_finished
    ]
    assert storm.node.socket_node.pools.descriptors_used == sum(
        x.port != DISCOVERY_PORT for x in held
    ), "descriptors are counted wrong"
