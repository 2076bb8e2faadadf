"""Rules and shares that hang on the sum over hundreds of nodes, of which each sees a few RPCs a
second."""

import random

from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint

from hookpitch.balancer.interface import EndpointUpdate, Method, Outcome, Tenant

SERVERS = [make_endpoint(f"s{i}") for i in range(8)] + [make_endpoint("o1", kind=ORIGIN_KIND)]


def node(nodes: int, seed: int = 7, **changes: object) -> Fleet:
    f = Fleet(make_deployment(nodes=nodes, seed=seed, **changes), seed)
    f.receive_endpoints(SERVERS, EndpointUpdate.CACHED)
    return f


def test_a_warming_backend_is_not_overloaded_by_the_sum_of_many_nodes() -> None:
    rng, sends = random.Random(3), []
    fleets = [node(150, rng.getrandbits(53)) for _ in range(150)]
    started = 16000.0
    for step in range(50):
        for f in fleets:
            if step == 30:
                f.receive_endpoints([make_endpoint("s9", started=started)], EndpointUpdate.DELTA)
            f.pass_time(500.0)
            f.end_attempt(f.arrive(f"k{rng.randrange(200)}"), Outcome.COMPLETED)
            sends.append(f.sends[-1])
    rate = len([1 for _, to, _ in sends if to == "s0"]) / 25000.0
    for end in range(17500, 26500, 500):
        got = sum(1 for at, to, _ in sends if to == "s9" and end - 1500 < at <= end)
        able = (0.2 + 0.8 * (end - started) / 20000.0) * rate * 1500
        assert got <= able + 2, f"rule 4 at {end}: {got} of {able:.1f}"  # the rule has 3 * able
    assert any(to == "s9" for _, to, _ in sends)


def test_a_quota_under_one_rpc_a_window_still_admits_its_tenant() -> None:
    f = node(300, tenants=(Tenant("small", 87.0),), max_retry_after_ms=400.0)
    for i in range(40):
        f.pass_time(5000.0)
        f.router.load_shedder.pressure = 1.0  # nothing over a share is let in
        f.end_attempt(
            f.arrive(f"k{i}", tenant="small"), Outcome.COMPLETED
        )  # fails where it was exhausted


def test_failures_admit_no_more_than_the_quota() -> None:
    f = node(1, tenants=(Tenant("big", 1.0),))
    sent = 0
    for i in range(60):
        f.router.load_shedder.pressure = 1.0  # nothing over a share is let in
        rpc = f.arrive(f"k{i}", tenant="big")
        sent += bool(f.attempts[rpc])
        assert not f.attempts[rpc] or not f.router.rpcs[rpc].over_quota
        f.pass_time(500.0)
        if (rpc, 0) in f.in_flight:
            f.end_attempt(rpc, Outcome.TIMEOUT)
    assert sent <= 3 + 30 + 2  # saved up, earned, and rounding


def test_rebalancing_moves_nothing_on_few_responses() -> None:
    f = node(300)
    for s in f.router.backends.values():
        s.reported_load = 50.0 if s.id == "s0" else 1.0
    for i in range(20):
        f.end_attempt(f.arrive(f"k{i}"), Outcome.COMPLETED)
        f.pass_time(1000.0)
    assert all(b.assigned is b.primary for b in f.router.placement.buckets.values())


def test_an_overloaded_origin_is_asked_less_and_less_by_each_node() -> None:
    f = node(300)
    asked = []
    for i in range(60):
        rpc = f.arrive(f"k{i}")
        f.end_attempt(rpc, Outcome.MISS)
        while (rpc, n := len(f.attempts[rpc]) - 1) in f.in_flight:
            asked.append(f.now)
            f.end_attempt(rpc, Outcome.OVERLOADED, n)
        f.pass_time(500.0)
    assert sum(1 for at in asked if at > 16000.0) <= 8


def test_idle_connections_are_closed_where_they_cost() -> None:
    for cost, closed in ((0.03, True), (0.0, False)):
        f = node(300, connection_hold_cost=cost, connection_open_cost=0.03)
        f.pass_time(60000.0)  # without a tariff a node begins by holding them briefly
        f.end_attempt(f.arrive("k"), Outcome.COMPLETED)
        f.pass_time(9000.0)
        assert bool(f.closed_backends) == closed


def test_where_holding_costs_nothing_the_idle_limit_grows_until_a_failure() -> None:
    f = node(300)
    begun = f.router.idle_connections.idle_limit_ms
    assert (
        begun == f.router.idle_connections.min_idle_ms < f.router.idle_connections.max_idle_ms / 10
    )
    f.pass_time(60000.0)
    assert f.router.idle_connections.idle_limit_ms == f.router.idle_connections.max_idle_ms
    for n in range(30):
        rpc = f.arrive(f"k{n}")
        if f.attempts[rpc]:
            f.end_attempt(rpc, Outcome.RESET)
        f.pass_time(200.0)
    assert f.router.idle_connections.idle_limit_ms < f.router.idle_connections.max_idle_ms / 2
    after = f.router.idle_connections.idle_limit_ms
    f.pass_time(6000.0)
    assert after < f.router.idle_connections.idle_limit_ms < 1.5 * after  # and from then on slowly
    f.router.reconfigured(f.now, f.deployment)
    assert f.router.idle_connections.idle_limit_ms < f.router.idle_connections.max_idle_ms


def test_overload_sheds_the_least_gain_first_and_stops_when_it_is_over() -> None:
    dear, cheap = Method("dear", 400.0, 1000.0, 5.0), Method("cheap", 400.0, 1000.0, 1.0)
    f = node(300, methods=(dear, cheap))
    for i in range(40):
        f.router.load_shedder.rejected_count, f.router.load_shedder.arrival_count = 2 * (i < 20), 4
        f.pass_time(1500.0)
        if i == 2:
            f.router.load_shedder.shed_fraction = 0.5
            assert all(not f.attempts[f.arrive(f"c{k}", "cheap")] for k in range(5))
            assert all(f.attempts[f.arrive(f"d{k}", "dear")] for k in range(5))
    assert f.router.load_shedder.shed_fraction == 0.0 and f.attempts[f.arrive("last", "cheap")]


def test_the_origins_limit_falls_when_its_mean_is_slow_and_not_when_its_work_varies() -> None:
    for varies in (True, False):  # the soft deadline is 400 ms
        f = node(1)
        for i in range(100):
            for k in range(6):
                f.end_attempt(f.arrive(f"k{i}/{k}"), Outcome.MISS)
            f.pass_time(20.0 if varies else 250.0)
            for k, (rpc, n) in enumerate(f.in_flight.copy()):
                f.pass_time(230.0 if varies and k == i % 6 == 0 else 0.0)
                if (rpc, n) in f.in_flight:
                    f.end_attempt(rpc, Outcome.COMPLETED, n)
            f.pass_time(100.0)
        assert (f.router.backends["o1"].concurrency_limit > 6.0) == varies, f.router.backends[
            "o1"
        ].concurrency_limit


def test_a_silent_origin_counts_as_failed_once_the_timeout_is_over() -> None:
    f = node(1)
    origin, struck = f.router.backends["o1"], []
    first = origin.concurrency_limit
    for i in range(6):
        f.end_attempt(rpc := f.arrive(f"k{i}"), Outcome.MISS)
        f.pass_time(390.0)
        assert origin.concurrency_limit == (struck[-1] if struck else first), (
            "a slow answer may still come"
        )
        f.pass_time(2000.0)
        struck.append(origin.concurrency_limit)
        assert rpc in f.answers
    assert struck == sorted(struck, reverse=True) and struck[-1] < 0.3


def test_a_second_process_scales_its_origin_limit_and_the_first_keeps_its_own() -> None:
    old, new = node(4), node(4)
    begun = new.router.origin.concurrency_limit
    old.end_attempt(old.arrive("k"), Outcome.MISS)
    old.end_attempt(next(iter(old.open_rpcs)), Outcome.COMPLETED)
    before = old.router.origin.concurrency_limit
    for f in (old, new):
        f.router.set_process_count(f.now, 2)
    assert (
        old.router.origin.concurrency_limit == before
        and new.router.origin.concurrency_limit == begun / 2
    )
    new.router.set_process_count(new.now, 1)
    assert new.router.origin.concurrency_limit == begun
    new.router.reconfigured(new.now, new.deployment)
    assert new.router.origin.concurrency_limit == begun
