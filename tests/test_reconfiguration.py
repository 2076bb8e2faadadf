"""Other settings in a running node, there and back: nothing lost, sent twice or forgotten."""

from copy import deepcopy
from dataclasses import replace

import pytest
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint
from memory_network import MemoryConnection
from random_faults import RandomFaults
from socket_node import SETTINGS, NodeOnMemoryNetwork, deployment_from

from hookpitch.balancer.interface import EndpointUpdate, Idempotency, Method, Outcome, Tenant
from hookpitch.net.node_config import ReloadedConfig

NEW = deepcopy(SETTINGS)
NEW["weights"] = "live"
NEW["limits"]["second_copies"] = True
NEW["methods"][0]["hard_deadline_s"] = 0.9
BAD = ("{", "[]", "{}", '{"discovery": "127.0.0.1:1", "settings": {"methods": []}}')


class Switching(RandomFaults):
    """A storm in which the settings change back and forth; copies are allowed half of the time."""

    def attempt_sent(self, line: MemoryConnection, rpc: str) -> None:
        if self.node.socket_node.host.deployment.hedging_allowed and rpc not in self.non_idempotent:
            self.in_flight.pop(rpc, None)  # a second one beside it is in order
        super().attempt_sent(line, rpc)

    def step(self) -> None:
        host = self.node.socket_node.host
        if self.rng.random() < 0.06:
            back = host.deployment.hedging_allowed
            host.reconfigured(
                self.now, replace(deployment_from(SETTINGS if back else NEW), polling_required=True)
            )
            if back:
                for number in list(host.router.rpcs):
                    out = [
                        attempt
                        for attempt in host.rpcs.get(int(number)).attempts
                        if not attempt.done
                    ]
                    assert len(out) < 2, "two attempts in flight at once"
        super().step()


@pytest.mark.parametrize("seed", range(20))
def test_rules_hold_while_the_settings_change_under_load(seed: int) -> None:
    storm = Switching(seed)
    for _ in range(500):
        storm.step()
    for line in storm.clients:
        line.is_reading = True
    storm.node.pass_time(1100)
    storm.deliver_output()
    assert not any(storm.unanswered[id(line)] for line in storm.clients), "an RPC was lost"
    host, counts = storm.node.socket_node.host, storm.node.counters.counts
    assert not len(host.rpcs) and not host.router.rpcs, "records outlive their RPCs"
    assert (
        not [name for name in counts if name.startswith("broken")] and counts["rpcs.completed"] > 10
    )


def test_state_is_carried_over_a_change_of_settings_and_back() -> None:
    methods = (
        Method("read", 400.0, 1000.0, 1.0),
        Method("once", 400.0, 1000.0, 1.0, 0.0, Idempotency.NON_IDEMPOTENT),
    )
    small, kinds = (Tenant("small", 1.0),), ("std", "origin")
    d = make_deployment(methods=methods, tenants=small, kinds=kinds, origin_kind=1)
    f = Fleet(d)
    f.receive_endpoints(
        [make_endpoint(f"s{i}") for i in range(6)] + [make_endpoint("o1", kind=1)],
        EndpointUpdate.CACHED,
    )
    node = f.router
    for i in range(200):
        f.end_attempt(f.arrive(f"k{i}"), Outcome.COMPLETED)
    node.set_banned(f.now, "s0", True)
    sick, cold = node.backends["s1"], node.backends["s2"]
    sick.consecutive_failures, sick.ejected, sick.ejected_until, sick.concurrency_limit = (
        3,
        True,
        f.now + 9e9,
        1.5,
    )
    node.slow_start.start_warmup(cold, f.now, f.now)
    for _ in range(3):
        f.end_attempt(f.arrive("k1", tenant="small"), Outcome.COMPLETED)
    tokens, cold_tokens = node.quotas.token_buckets["small"].tokens, cold.warmup_tokens
    homes = {number: b.primary.id for number, b in node.placement.buckets.items()}
    out = f.arrive("k5", method="once")
    other = Method("once", 50.0, 100.0, 1.0, 0.0, Idempotency.IDEMPOTENT)
    new = replace(
        d,
        methods=(methods[0], other),
        weights_reflect_load=True,
        kinds=("box", *kinds),
        origin_kind=2,
    )
    for settings, kind in ((new, 1), (d, 0)):
        node.reconfigured(f.now, settings)
        assert (
            node.bans == {"s0": None}
            and sick.ejected
            and sick.consecutive_failures == 3
            and sick.concurrency_limit == 1.5
        )
        assert cold.warmup_until > f.now and cold.warmup_tokens == cold_tokens
        assert abs(node.quotas.token_buckets["small"].tokens - tokens) < 1e-6
        assert {
            number: b.primary.id for number, b in node.placement.buckets.items()
        } == homes  # no ring moved
        assert sick.kind == kind and node.origin.id == "o1" and node.origin.kind == kind + 1
        rpc = node.rpcs[out]
        assert rpc.method == methods[1] and rpc.deadline > f.now + 390  # as it came
    node.reconfigured(f.now, new)
    # Sizes that move with load: the same list, cut by load, moves nothing either.
    node.update_endpoints(f.now, EndpointUpdate.DELTA, [make_endpoint("s3", size=0.25, kind=1)])
    assert (
        node.backends["s3"].reported_load == 3.0
        and {n: b.primary.id for n, b in node.placement.buckets.items()} == homes
    )
    node.reconfigured(f.now, d)
    assert node.backends["s3"].reported_load == -1.0


def test_hedged_requests_in_flight_are_cancelled_once_hedging_is_forbidden() -> None:
    d = make_deployment(hedging_allowed=True)
    f = Fleet(d)
    f.receive_endpoints(
        [make_endpoint(f"s{i}") for i in range(4)] + [make_endpoint("o1", kind=ORIGIN_KIND)],
        EndpointUpdate.CACHED,
    )
    f.router.placement.recent_requests = 1e6
    rpc = f.arrive("k")
    f.pass_time(f.router.methods["read"].soft_ms * 0.7)
    assert len(f.attempts[rpc]) == 2 and not f.attempts[rpc][0].cancelled
    f.router.reconfigured(f.now, replace(d, hedging_allowed=False))
    f.decide_until_idle()
    assert f.attempts[rpc][0].cancelled and not f.attempts[rpc][1].cancelled


def test_how_late_counts_as_away_goes_by_the_new_deadlines() -> None:
    s = NodeOnMemoryNetwork()
    before = s.clock.late_threshold_ms
    methods = [m | {"soft_deadline_s": 0.1} for m in SETTINGS["methods"]]
    s.socket_node.reload(
        lambda: ReloadedConfig(
            s.config.discovery_address, deployment_from(SETTINGS | {"methods": methods}), {}
        )
    )
    assert s.clock.late_threshold_ms == pytest.approx(before / 4)
