"""Changes of settings in a running node: no RPC is lost or sent twice, no state forgotten."""

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


class FaultsWithReloads(RandomFaults):
    """Random faults while the settings switch back and forth; one of them allows hedging."""

    def attempt_sent(self, connection: MemoryConnection, rpc: str) -> None:
        """Check that an attempt was allowed to be sent, as a hedged request where one may be."""
        if self.node.socket_node.host.deployment.hedging_allowed and rpc not in self.non_idempotent:
            self.in_flight.pop(rpc, None)  # a hedged request is allowed
        super().attempt_sent(connection, rpc)

    def step(self) -> None:
        """Switch the settings now and then, and cause one random event."""
        host = self.node.socket_node.host
        if self.rng.random() < 0.06:
            to_original = host.deployment.hedging_allowed
            host.reconfigured(
                self.now,
                replace(deployment_from(SETTINGS if to_original else NEW), polling_required=True),
            )
            if to_original:
                for number in list(host.router.rpcs):
                    in_flight = [
                        attempt
                        for attempt in host.rpcs.get(int(number)).attempts
                        if not attempt.done
                    ]
                    assert len(in_flight) < 2, "two attempts in flight at once"
        super().step()


@pytest.mark.parametrize("seed", range(20))
def test_rules_hold_while_the_settings_change_under_load(seed: int) -> None:
    faults = FaultsWithReloads(seed)
    for _ in range(500):
        faults.step()
    for connection in faults.clients:
        connection.is_reading = True
    faults.node.pass_time(1100)
    faults.deliver_output()
    assert not any(faults.unanswered[id(connection)] for connection in faults.clients), (
        "an RPC was lost"
    )
    host, counts = faults.node.socket_node.host, faults.node.counters.counts
    assert not len(host.rpcs) and not host.router.rpcs, "records outlive their RPCs"
    assert (
        not [name for name in counts if name.startswith("broken")] and counts["rpcs.completed"] > 10
    )


def test_state_is_carried_over_a_change_of_settings_and_back() -> None:
    methods = (
        Method("read", 400.0, 1000.0, 1.0),
        Method("once", 400.0, 1000.0, 1.0, 0.0, Idempotency.NON_IDEMPOTENT),
    )
    tenants, kinds = (Tenant("small", 1.0),), ("std", "origin")
    deployment = make_deployment(methods=methods, tenants=tenants, kinds=kinds, origin_kind=1)
    fleet = Fleet(deployment)
    fleet.receive_endpoints(
        [make_endpoint(f"s{i}") for i in range(6)] + [make_endpoint("o1", kind=1)],
        EndpointUpdate.CACHED,
    )
    router = fleet.router
    for i in range(200):
        fleet.end_attempt(fleet.arrive(f"k{i}"), Outcome.COMPLETED)
    router.set_banned(fleet.now, "s0", True)
    ejected, cold = router.backends["s1"], router.backends["s2"]
    (
        ejected.consecutive_failures,
        ejected.ejected,
        ejected.ejected_until,
        ejected.concurrency_limit,
    ) = (
        3,
        True,
        fleet.now + 9e9,
        1.5,
    )
    router.slow_start.start_warmup(cold, fleet.now, fleet.now)
    for _ in range(3):
        fleet.end_attempt(fleet.arrive("k1", tenant="small"), Outcome.COMPLETED)
    tokens, cold_tokens = router.quotas.token_buckets["small"].tokens, cold.warmup_tokens
    primaries = {number: bucket.primary.id for number, bucket in router.placement.buckets.items()}
    rpc_id = fleet.arrive("k5", method="once")
    idempotent_once = Method("once", 50.0, 100.0, 1.0, 0.0, Idempotency.IDEMPOTENT)
    new = replace(
        deployment,
        methods=(methods[0], idempotent_once),
        weights_reflect_load=True,
        kinds=("box", *kinds),
        origin_kind=2,
    )
    for settings, kind in ((new, 1), (deployment, 0)):
        router.reconfigured(fleet.now, settings)
        assert (
            router.bans == {"s0": None}
            and ejected.ejected
            and ejected.consecutive_failures == 3
            and ejected.concurrency_limit == 1.5
        )
        assert cold.warmup_until > fleet.now and cold.warmup_tokens == cold_tokens
        assert abs(router.quotas.token_buckets["small"].tokens - tokens) < 1e-6
        # The ring has not moved: no bucket changed its primary.
        assert {
            number: bucket.primary.id for number, bucket in router.placement.buckets.items()
        } == primaries
        assert ejected.kind == kind and router.origin.id == "o1" and router.origin.kind == kind + 1
        rpc = router.rpcs[rpc_id]
        # The RPC keeps the method and the deadline with which it arrived.
        assert rpc.method == methods[1] and rpc.deadline > fleet.now + 390
    router.reconfigured(fleet.now, new)
    # With weights that reflect load, a list with a smaller weight moves no bucket either.
    router.update_endpoints(
        fleet.now, EndpointUpdate.DELTA, [make_endpoint("s3", size=0.25, kind=1)]
    )
    assert (
        router.backends["s3"].reported_load == 3.0
        and {number: bucket.primary.id for number, bucket in router.placement.buckets.items()}
        == primaries
    )
    router.reconfigured(fleet.now, deployment)
    assert router.backends["s3"].reported_load == -1.0


def test_hedged_requests_in_flight_are_cancelled_once_hedging_is_forbidden() -> None:
    deployment = make_deployment(hedging_allowed=True)
    fleet = Fleet(deployment)
    fleet.receive_endpoints(
        [make_endpoint(f"s{i}") for i in range(4)] + [make_endpoint("o1", kind=ORIGIN_KIND)],
        EndpointUpdate.CACHED,
    )
    fleet.router.placement.recent_requests = 1e6
    rpc = fleet.arrive("k")
    fleet.pass_time(fleet.router.methods["read"].soft_ms * 0.7)
    assert len(fleet.attempts[rpc]) == 2 and not fleet.attempts[rpc][0].cancelled
    fleet.router.reconfigured(fleet.now, replace(deployment, hedging_allowed=False))
    fleet.decide_until_idle()
    assert fleet.attempts[rpc][0].cancelled and not fleet.attempts[rpc][1].cancelled


def test_the_lateness_threshold_follows_the_reloaded_deadlines() -> None:
    node = NodeOnMemoryNetwork()
    threshold = node.clock.late_threshold_ms
    methods = [method | {"soft_deadline_s": 0.1} for method in SETTINGS["methods"]]
    node.socket_node.reload(
        lambda: ReloadedConfig(
            node.config.discovery_address, deployment_from(SETTINGS | {"methods": methods}), {}
        )
    )
    assert node.clock.late_threshold_ms == pytest.approx(threshold / 4)
