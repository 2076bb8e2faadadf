"""Tests of limits and quotas that depend on the sum over hundreds of nodes.

Each of these nodes sees only a few RPCs a second.
"""

import random

from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint

from hookpitch.balancer.interface import EndpointUpdate, Method, Outcome, Tenant

SERVERS = [make_endpoint(f"s{index}") for index in range(8)] + [
    make_endpoint("o1", kind=ORIGIN_KIND)
]


def make_node(nodes: int, seed: int = 7, **changes: object) -> Fleet:
    """Return the router of one of `nodes` nodes, with eight caches and an origin."""
    node = Fleet(make_deployment(nodes=nodes, seed=seed, **changes), seed)
    node.receive_endpoints(SERVERS, EndpointUpdate.CACHED)
    return node


def test_a_warming_backend_is_not_overloaded_by_the_sum_of_many_nodes() -> None:
    rng, sends = random.Random(3), []
    routers = [make_node(150, rng.getrandbits(53)) for _ in range(150)]
    started = 16000.0
    for step in range(50):
        for router in routers:
            if step == 30:
                router.receive_endpoints(
                    [make_endpoint("s9", started=started)], EndpointUpdate.DELTA
                )
            router.pass_time(500.0)
            router.end_attempt(router.arrive(f"k{rng.randrange(200)}"), Outcome.COMPLETED)
            sends.append(router.sends[-1])
    rate = len([1 for _, receiver, _ in sends if receiver == "s0"]) / 25000.0
    for end in range(17500, 26500, 500):
        sent_count = sum(
            1 for at, receiver, _ in sends if receiver == "s9" and end - 1500 < at <= end
        )
        capacity = (0.2 + 0.8 * (end - started) / 20000.0) * rate * 1500
        # Rule 4 itself allows three times this capacity.
        assert sent_count <= capacity + 2, f"rule 4 at {end}: {sent_count} of {capacity:.1f}"
    assert any(receiver == "s9" for _, receiver, _ in sends)


def test_a_quota_under_one_rpc_a_window_still_admits_its_tenant() -> None:
    node = make_node(300, tenants=(Tenant("small", 87.0),), max_retry_after_ms=400.0)
    for index in range(40):
        node.pass_time(5000.0)
        node.router.load_shedder.pressure = 1.0  # RPCs over quota are rejected
        # `end_attempt` fails if the RPC was rejected.
        node.end_attempt(node.arrive(f"k{index}", tenant="small"), Outcome.COMPLETED)


def test_failures_admit_no_more_than_the_quota() -> None:
    node = make_node(1, tenants=(Tenant("big", 1.0),))
    sent_count = 0
    for index in range(60):
        node.router.load_shedder.pressure = 1.0  # RPCs over quota are rejected
        rpc = node.arrive(f"k{index}", tenant="big")
        sent_count += bool(node.attempts[rpc])
        assert not node.attempts[rpc] or not node.router.rpcs[rpc].over_quota
        node.pass_time(500.0)
        if (rpc, 0) in node.in_flight:
            node.end_attempt(rpc, Outcome.TIMEOUT)
    assert sent_count <= 3 + 30 + 2  # saved up, refilled, and rounding


def test_rebalancing_moves_nothing_on_few_responses() -> None:
    node = make_node(300)
    for backend in node.router.backends.values():
        backend.reported_load = 50.0 if backend.id == "s0" else 1.0
    for index in range(20):
        node.end_attempt(node.arrive(f"k{index}"), Outcome.COMPLETED)
        node.pass_time(1000.0)
    assert all(
        bucket.assigned is bucket.primary for bucket in node.router.placement.buckets.values()
    )


def test_each_node_sends_less_and_less_to_an_overloaded_origin() -> None:
    node = make_node(300)
    attempted_at = []
    for index in range(60):
        rpc = node.arrive(f"k{index}")
        node.end_attempt(rpc, Outcome.MISS)
        while (rpc, attempt := len(node.attempts[rpc]) - 1) in node.in_flight:
            attempted_at.append(node.now)
            node.end_attempt(rpc, Outcome.OVERLOADED, attempt)
        node.pass_time(500.0)
    assert sum(1 for at in attempted_at if at > 16000.0) <= 8


def test_idle_connections_are_closed_if_holding_them_has_a_cost() -> None:
    for cost, is_closed in ((0.03, True), (0.0, False)):
        node = make_node(300, connection_hold_cost=cost, connection_open_cost=0.03)
        # A node for which idle connections cost nothing at first keeps them only briefly.
        node.pass_time(60000.0)
        node.end_attempt(node.arrive("k"), Outcome.COMPLETED)
        node.pass_time(9000.0)
        assert bool(node.closed_backends) == is_closed


def test_without_a_holding_cost_the_idle_limit_grows_until_a_failure() -> None:
    node = make_node(300)
    initial_limit_ms = node.router.idle_connections.idle_limit_ms
    assert (
        initial_limit_ms
        == node.router.idle_connections.min_idle_ms
        < node.router.idle_connections.max_idle_ms / 10
    )
    node.pass_time(60000.0)
    assert node.router.idle_connections.idle_limit_ms == node.router.idle_connections.max_idle_ms
    for index in range(30):
        rpc = node.arrive(f"k{index}")
        if node.attempts[rpc]:
            node.end_attempt(rpc, Outcome.RESET)
        node.pass_time(200.0)
    assert node.router.idle_connections.idle_limit_ms < node.router.idle_connections.max_idle_ms / 2
    reduced_limit_ms = node.router.idle_connections.idle_limit_ms
    node.pass_time(6000.0)
    # After a failure the limit grows slowly.
    assert reduced_limit_ms < node.router.idle_connections.idle_limit_ms < 1.5 * reduced_limit_ms
    node.router.reconfigured(node.now, node.deployment)
    assert node.router.idle_connections.idle_limit_ms < node.router.idle_connections.max_idle_ms


def test_overload_sheds_the_least_gain_first_and_stops_when_it_is_over() -> None:
    high_gain, low_gain = Method("dear", 400.0, 1000.0, 5.0), Method("cheap", 400.0, 1000.0, 1.0)
    node = make_node(300, methods=(high_gain, low_gain))
    for index in range(40):
        node.router.load_shedder.rejected_count, node.router.load_shedder.arrival_count = (
            2 * (index < 20),
            4,
        )
        node.pass_time(1500.0)
        if index == 2:
            node.router.load_shedder.shed_fraction = 0.5
            assert all(not node.attempts[node.arrive(f"c{number}", "cheap")] for number in range(5))
            assert all(node.attempts[node.arrive(f"d{number}", "dear")] for number in range(5))
    assert (
        node.router.load_shedder.shed_fraction == 0.0
        and node.attempts[node.arrive("last", "cheap")]
    )


def test_the_origins_limit_falls_when_its_mean_is_slow_and_not_when_its_work_varies() -> None:
    for varies in (True, False):  # the soft deadline is 400 ms
        node = make_node(1)
        for index in range(100):
            for number in range(6):
                node.end_attempt(node.arrive(f"k{index}/{number}"), Outcome.MISS)
            node.pass_time(20.0 if varies else 250.0)
            for number, (rpc, attempt) in enumerate(node.in_flight.copy()):
                node.pass_time(230.0 if varies and number == index % 6 == 0 else 0.0)
                if (rpc, attempt) in node.in_flight:
                    node.end_attempt(rpc, Outcome.COMPLETED, attempt)
            node.pass_time(100.0)
        assert (node.router.backends["o1"].concurrency_limit > 6.0) == varies, node.router.backends[
            "o1"
        ].concurrency_limit


def test_a_silent_origin_counts_as_failed_once_the_timeout_is_over() -> None:
    node = make_node(1)
    origin, limits = node.router.backends["o1"], []
    initial_limit = origin.concurrency_limit
    for index in range(6):
        node.end_attempt(rpc := node.arrive(f"k{index}"), Outcome.MISS)
        node.pass_time(390.0)
        assert origin.concurrency_limit == (limits[-1] if limits else initial_limit), (
            "a slow answer may still come"
        )
        node.pass_time(2000.0)
        limits.append(origin.concurrency_limit)
        assert rpc in node.answers
    assert limits == sorted(limits, reverse=True) and limits[-1] < 0.3


def test_a_second_process_scales_its_origin_limit_and_the_first_keeps_its_own() -> None:
    old_node, new_node = make_node(4), make_node(4)
    initial_limit = new_node.router.origin.concurrency_limit
    old_node.end_attempt(old_node.arrive("k"), Outcome.MISS)
    old_node.end_attempt(next(iter(old_node.open_rpcs)), Outcome.COMPLETED)
    old_limit = old_node.router.origin.concurrency_limit
    for node in (old_node, new_node):
        node.router.set_process_count(node.now, 2)
    assert (
        old_node.router.origin.concurrency_limit == old_limit
        and new_node.router.origin.concurrency_limit == initial_limit / 2
    )
    new_node.router.set_process_count(new_node.now, 1)
    assert new_node.router.origin.concurrency_limit == initial_limit
    new_node.router.reconfigured(new_node.now, new_node.deployment)
    assert new_node.router.origin.concurrency_limit == initial_limit
