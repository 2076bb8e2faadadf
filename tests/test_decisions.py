"""Tests of single decisions: the paper's example, the usual path, and past failures."""

from zlib import crc32

import pytest
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.interface import EndpointState, EndpointUpdate, Method, Outcome, Tenant
from hookpitch.balancer.placement import BUCKETS, Bucket
from hookpitch.balancer.rebalancing import BucketLoad, migrate, nearest, target_point, weights


def make_fleet(cache_count: int = 4, **changes: object) -> Fleet:
    """Return a router and its backends: some caches and an origin."""
    fleet = Fleet(make_deployment(**changes))
    fleet.receive_endpoints(
        [make_endpoint(f"s{index}") for index in range(cache_count)]
        + [make_endpoint("o1", kind=ORIGIN_KIND)],
        EndpointUpdate.CACHED,
    )
    return fleet


def make_caches(*loads: tuple[float, float]) -> list[Backend]:
    """Return caches with these loads of CPU and memory."""
    backends = []
    for index, (cpu, memory) in enumerate(loads):
        backends.append(Backend(f"n{index}"))
        backends[-1].cpu_load, backends[-1].memory_load = cpu, memory
    return backends


def test_weights_and_target_point_match_the_papers_second_figure() -> None:
    heaviest, middle, lightest = backends = make_caches((90, 70), (60, 30), (30, 20))
    cpu_weight, memory_weight = weights(backends)
    assert abs(cpu_weight - 0.6) < 1e-9 and abs(memory_weight - 0.36 / 0.52) < 1e-9
    target = target_point(heaviest, lightest, cpu_weight)
    assert abs(target[0] - 18) < 1e-9 and abs(target[1] - 10) < 1e-9
    loads = [
        BucketLoad(30.0, 20.0, Bucket(0)),
        BucketLoad(20.0, 40.0, Bucket(1)),
        BucketLoad(40.0, 10.0, Bucket(2)),
    ]
    assert nearest(loads, target, cpu_weight) is loads[0]
    loads_by_cache = {heaviest: list(loads), middle: [], lightest: []}
    assert [(bucket, receiver) for bucket, receiver in migrate(backends, loads_by_cache)][0] == (
        loads[0][2],
        lightest,
    )


def test_a_balanced_fleet_moves_nothing() -> None:
    backends = make_caches((10, 10), (11, 10), (10, 11))
    assert (
        migrate(backends, {backend: [BucketLoad(1.0, 1.0, Bucket(0))] for backend in backends})
        == []
    )


def test_a_key_keeps_its_cache_and_rebalancing_moves_load_off_the_heaviest() -> None:
    fleet = make_fleet()
    for index in range(600):  # the keys of s0 are requested nine times as often as the others
        key = f"key{index % 40}"
        is_heavy = fleet.router.placement.bucket(crc32(key.encode()) % BUCKETS).primary.id == "s0"
        for _ in range(9 if is_heavy else 1):
            fleet.end_attempt(fleet.arrive(key), Outcome.COMPLETED)
        fleet.pass_time(10.0)
    moved = [
        bucket
        for bucket in fleet.router.placement.buckets.values()
        if bucket.assigned is not bucket.primary
    ]
    assert moved and all(bucket.primary.id == "s0" for bucket in moved)
    fleet.receive_endpoints(
        [make_endpoint(moved[0].assigned.id, EndpointState.DRAINING)], EndpointUpdate.DELTA
    )
    # The buckets of a draining cache return to their primary caches.
    assert moved[0].assigned.state == EndpointState.READY


def test_time_in_a_queue_ends_before_the_hard_deadline() -> None:
    fleet = make_fleet(1)
    ids = [fleet.arrive(f"k{index}", deadline_in_ms=30.0) for index in range(50)]
    fleet.pass_time(31.0)
    assert not fleet.open_rpcs and set(ids) == set(fleet.answers)


def test_consecutive_failures_eject_a_backend_and_a_response_recovers_it() -> None:
    fleet = make_fleet(2)
    victim = fleet.attempts[fleet.arrive("k")][0].server
    for _ in range(2):  # after a reset a second attempt may go to the same server
        while fleet.in_flight:
            rpc, attempt = fleet.in_flight[0]
            fleet.end_attempt(
                rpc,
                Outcome.RESET
                if fleet.attempts[rpc][attempt].server == victim
                else Outcome.COMPLETED,
                attempt,
            )
        fleet.arrive("k")
    fleet.end_attempt(fleet.in_flight[0][0], Outcome.COMPLETED)
    assert (
        fleet.router.backends[victim].ejected
        and fleet.attempts[fleet.arrive("k")][0].server != victim
    )
    for _ in range(100):
        fleet.pass_time(1000.0)
        rpc = fleet.arrive("k")
        fleet.end_attempt(rpc, Outcome.COMPLETED)
        if fleet.attempts[rpc][0].server == victim:
            return
    raise AssertionError("the backend received no RPC for 100 s")


def test_several_silent_attempts_at_a_busy_backend_count_as_one_failure() -> None:
    fleet = make_fleet(1)
    for index in range(4):
        fleet.arrive(f"k{index}")
    fleet.pass_time(250.0)  # all four attempts get no answer for longer than the silence timeout
    assert (
        fleet.router.backends["s0"].consecutive_failures == 1
        and not fleet.router.backends["s0"].ejected
    )


def test_a_backend_in_slow_start_gets_little_at_first() -> None:
    fleet = make_fleet(3)
    for index in range(600):
        fleet.end_attempt(fleet.arrive(f"k{index}"), Outcome.COMPLETED)
        fleet.pass_time(10.0)
    fleet.receive_endpoints([make_endpoint("s4", started=fleet.now)], EndpointUpdate.DELTA)
    sent_before = len(fleet.sends)
    for index in range(150):
        fleet.end_attempt(fleet.arrive(f"k{index}"), Outcome.COMPLETED)
        fleet.pass_time(10.0)
    receivers = [receiver for _, receiver, _ in fleet.sends[sent_before:]]
    assert 0 < receivers.count("s4") <= 0.35 * len(receivers) / 4


def test_a_tenant_over_its_quota_is_rejected_first() -> None:
    fleet = make_fleet(
        1, tenants=(Tenant("small", 1.0), Tenant("big", 1000.0)), max_retry_after_ms=400.0
    )
    small_rpcs = [fleet.arrive(f"a{index}", tenant="small") for index in range(30)]
    big_rpcs = [fleet.arrive(f"b{index}", tenant="big") for index in range(2)]
    assert any(fleet.answers.get(rpc) == "exhausted" for rpc in small_rpcs)
    assert not any(rpc in fleet.answers for rpc in big_rpcs)


def test_settings_at_their_limits_still_answer() -> None:
    method = Method("read", 400.0, 1000.0, 1.0)
    for changes in (
        {"methods": (method,), "slow_start_ms": 0.0, "overload_window_ms": 0.0},
        {"max_attempts": 0},
    ):
        fleet = Fleet(make_deployment(poll_interval_ms=0.0, **changes))
        assert fleet.answers[fleet.arrive("k")] == "exhausted"  # there is no endpoint list yet
        fleet.receive_endpoints([])
        assert fleet.answers[fleet.arrive("")] == "exhausted"


def test_connection_resets_do_not_start_a_warmup_of_their_backend() -> None:
    fleet = make_fleet(4)
    fleet.router.placement.recent_requests = 1e6  # one key is a small part of the load
    victim = fleet.attempts[fleet.arrive("k")][0].server
    for _ in range(4):  # a connection refused between good answers is chance, not a restart
        for outcome in (Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.COMPLETED):
            fleet.end_attempt(f"rpc{fleet.rpc_count}", outcome)
        fleet.end_attempt(rpc := fleet.arrive("k"), Outcome.COMPLETED)
        assert (
            fleet.attempts[rpc][0].server == victim
            and fleet.router.backends[victim].warmup_until < fleet.now
        )
        fleet.arrive("k")
    for _ in range(2):
        fleet.end_attempt(f"rpc{fleet.rpc_count}", Outcome.RESET)
    assert (
        fleet.router.backends[victim].consecutive_failures == 2
        and fleet.router.backends[victim].warmup_until < fleet.now
    )
    fleet.end_attempt(f"rpc{fleet.rpc_count}", Outcome.COMPLETED)
    # A connection refused as the third failure in a row means that the process died.
    fleet.end_attempt(fleet.arrive("k"), Outcome.CONNECT_FAILED)
    assert fleet.router.backends[victim].warmup_until > fleet.now


def test_single_failures_of_the_origin_do_not_cut_its_concurrency_limit() -> None:
    fleet = make_fleet(2)
    for index in range(40):
        fleet.end_attempt(rpc := fleet.arrive(f"k{index}"), Outcome.MISS)
        fleet.end_attempt(
            rpc, (Outcome.COMPLETED, Outcome.RESET, Outcome.COMPLETED, Outcome.ERROR)[index % 4]
        )
        while rpc in fleet.open_rpcs:
            fleet.end_attempt(rpc, Outcome.COMPLETED)
        fleet.pass_time(20.0)
    assert fleet.router.backends["o1"].concurrency_limit >= 2.0
    for index in range(6):  # no good answer within two soft deadlines: the origin has failed
        fleet.pass_time(900.0)
        fleet.end_attempt(rpc := fleet.arrive(f"m{index}"), Outcome.MISS)
        while rpc in fleet.open_rpcs and fleet.in_flight:
            fleet.end_attempt(rpc, Outcome.RESET)
    assert fleet.router.backends["o1"].concurrency_limit < 1.0


def test_connections_refused_by_most_backends_start_no_warmup() -> None:
    fleet = make_fleet(4)
    for index in range(60):
        rpc = fleet.arrive(f"k{index}")
        while rpc in fleet.open_rpcs and fleet.in_flight:
            fleet.end_attempt(rpc, Outcome.CONNECT_FAILED)
    caches = [
        backend for backend in fleet.router.backends.values() if backend is not fleet.router.origin
    ]
    assert (
        sum(backend.ejected for backend in caches) >= 3
        and sum(backend.warmup_until > fleet.now for backend in caches) <= 2
    )


def test_a_router_that_starts_with_only_warming_caches_serves_some_rpcs() -> None:
    fleet = Fleet(make_deployment())
    caches = [make_endpoint(f"s{index}", started=fleet.now - 1) for index in range(4)]
    fleet.receive_endpoints([*caches, make_endpoint("o1", kind=ORIGIN_KIND)], EndpointUpdate.CACHED)
    for index in range(100):
        rpc = fleet.arrive(f"k{index}")
        fleet.pass_time(120.0)  # the answer takes a while; the soft deadline is 400 ms
        if fleet.in_flight:
            fleet.end_attempt(rpc, Outcome.COMPLETED)
        fleet.pass_time(20.0)
    assert 20 < sum(answer == "completed" for answer in fleet.answers.values()) < 75


def test_an_attempt_whose_answer_is_lost_is_cancelled_once_while_its_backend_answers_others() -> (
    None
):
    for answers_others, pressure, attempt_count in (
        (True, 0.0, 2),
        (False, 0.0, 1),
        (True, 0.5, 1),
    ):
        fleet = make_fleet(1)
        fleet.end_attempt(fleet.arrive("k"), Outcome.COMPLETED)
        fleet.router.load_shedder.pressure, fleet.router.next_rate_update = pressure, 1e9
        rpc = fleet.arrive("k")  # this RPC is never answered; its soft deadline is 400 ms
        fleet.pass_time(50.0)
        other = fleet.arrive("k2")
        if answers_others:
            fleet.end_attempt(other, Outcome.COMPLETED)
        fleet.pass_time(200.0)
        assert len(fleet.attempts[rpc]) == attempt_count and fleet.router.backends[
            "s0"
        ].consecutive_failures == (0 if answers_others else 1)
        assert {attempt.server for attempt in fleet.attempts[rpc]} == {"s0"} and sum(
            open_rpc == rpc for open_rpc, _ in fleet.in_flight
        ) == 1
        fleet.pass_time(130.0)
        assert len(fleet.attempts[rpc]) <= 2 and (attempt_count == 2) == (
            fleet.attempts[rpc][0].done
        )


def test_removed_backends_are_forgotten_and_an_id_that_returns_warms_up_as_new() -> None:
    fleet = make_fleet(2)
    for index in range(2, 40):  # a backend with a new id replaces each one
        fleet.receive_endpoints(
            [make_endpoint(f"s{index}", started=fleet.now - 1)], EndpointUpdate.DELTA
        )
        fleet.receive_endpoints(
            [make_endpoint(f"s{index - 2}", EndpointState.REMOVED)], EndpointUpdate.DELTA
        )
        for _ in range(5):
            fleet.arrive(f"k{fleet.rpc_count}")
            while fleet.in_flight:
                fleet.end_attempt(fleet.in_flight[0][0], Outcome.COMPLETED)
            fleet.pass_time(500.0)
    assert len(fleet.router.backends) <= 6 and len(fleet.router.caches) <= 5
    fleet.receive_endpoints([make_endpoint("s0", started=fleet.now - 1)], EndpointUpdate.DELTA)
    assert (
        fleet.router.backends["s0"].warmup_until > fleet.now
        and fleet.router.backends["s0"].response_count == 0
    )


@pytest.mark.parametrize("eased", [True, False])
def test_rejections_from_one_slow_caches_queue_shed_nothing_while_others_have_spare_capacity(
    eased: bool,
) -> None:
    fleet = Fleet(make_deployment(hedging_allowed=False))
    fleet.receive_endpoints(
        [
            make_endpoint("s1"),
            make_endpoint("s2"),
            make_endpoint("s3"),
            make_endpoint("o1", kind=ORIGIN_KIND),
        ]
    )
    fleet.pass_time(10)
    router = fleet.router
    for backend in router.backends.values():
        backend.concurrency_limit, backend.latency_ms = (
            (1.0, 350.0) if backend.id == "s1" else (6.0, 20.0 if eased else 350.0)
        )
    router.origin.concurrency_limit = 1.0
    fleet.arrive(key="busy", write=True)  # the origin has no capacity left for a miss
    keys = [
        f"k{index}"
        for index in range(400)
        if router.placement.bucket(crc32(b"k%d" % index) % BUCKETS).assigned.id == "s1"
    ]
    for key in keys[:20]:
        fleet.arrive(key=key)
    assert (router.load_shedder.rejected_count == 0) is eased and list(
        fleet.answers.values()
    ).count("exhausted") > 10


def test_fast_warming_backends_get_a_gain_and_an_overloaded_one_loses_it() -> None:
    fleet = make_fleet(4)
    for index in range(200):  # until the rate of warm caches is known
        fleet.end_attempt(fleet.arrive(f"k{index}"), Outcome.COMPLETED)
        fleet.pass_time(20.0)
    fleet.receive_endpoints([make_endpoint("s1", started=fleet.now)], EndpointUpdate.DELTA)
    warming, sent_before = fleet.router.backends["s1"], len(fleet.sends)
    for index in range(600):
        fleet.end_attempt(fleet.arrive(f"k{index}"), Outcome.COMPLETED)
        fleet.pass_time(10.0)
    assert (
        warming.warmup_gain * fleet.router.slow_start.warmup_gain
        == fleet.router.slow_start.max_warmup_gain
        == 2.0
    )
    assert any(receiver == "s1" for _, receiver, _ in fleet.sends[sent_before:])
    fleet.receive_endpoints([make_endpoint("s2", started=fleet.now)], EndpointUpdate.DELTA)
    # The gain that one backend earned applies to all backends that warm up.
    assert fleet.router.backends["s2"].warmup_gain * fleet.router.slow_start.warmup_gain == 2.0
    for index in range(600):
        rpc = fleet.arrive(f"n{index}")
        if fleet.attempts[rpc][-1].server == "s1":
            fleet.end_attempt(rpc, Outcome.OVERLOADED)
            assert (
                warming.warmup_gain * fleet.router.slow_start.warmup_gain
                <= 1.0
                == fleet.router.backends["s2"].warmup_gain
            )
            return
        fleet.end_attempt(rpc, Outcome.COMPLETED)
        fleet.pass_time(10.0)
    raise AssertionError("no RPC was sent to s1")


def test_rejections_by_warm_backends_do_not_raise_the_warmup_rate() -> None:
    # In overload warm caches reject most RPCs; a warming cache that gets as many would fail.
    fleet, completed = make_fleet(4), 0
    for index in range(1200):
        rpc = fleet.arrive(f"k{index}")
        while rpc in fleet.open_rpcs:
            is_at_cache = fleet.attempts[rpc][-1].server != "o1"
            completed += is_at_cache and index % 6 == 0
            fleet.end_attempt(
                rpc, Outcome.OVERLOADED if is_at_cache and index % 6 else Outcome.COMPLETED
            )
        fleet.pass_time(10.0)
    # Both sides are in RPCs a second at each cache.
    assert 0 < fleet.router.slow_start.warm_rate < 2 * completed / 12 / 4


def test_each_router_spreads_a_hot_bucket_by_its_own_random_choice() -> None:
    # Rebalancing whole buckets does not help a cache that has too little capacity for one hot key.
    chosen_ids = set[str]()
    for seed in range(24):
        fleet = make_fleet(16, seed=seed)
        fleet.request_hot_key()
        heavy, light = (
            fleet.router.placement.bucket(crc32(key) % BUCKETS) for key in (b"hot", b"k1")
        )
        assert light.primary is next(fleet.router.placement.ready_from(light))
        assert heavy.primary is heavy.assigned
        chosen_ids.add(heavy.primary.id)
    assert len(chosen_ids) > 4


def test_a_silent_attempt_gets_one_hedged_request_and_the_first_answer_ends_both() -> None:
    fleet = make_fleet(4, hedging_allowed=True)
    fleet.router.placement.recent_requests = 1e6
    rpc = fleet.arrive("k")
    fleet.pass_time(fleet.router.methods["read"].soft_ms * 0.7)
    assert (
        len(fleet.attempts[rpc]) == 2
        and fleet.attempts[rpc][0].server != fleet.attempts[rpc][1].server
    )
    # The first attempt is still in flight.
    assert len([attempt for attempt in fleet.in_flight if attempt[0] == rpc]) == 2
    # The next cache on the ring would miss, and the request would reach the origin too late.
    assert fleet.attempts[rpc][1].server == "o1"
    fleet.end_attempt(rpc, Outcome.COMPLETED, 1)
    assert not fleet.open_rpcs and fleet.attempts[rpc][0].cancelled


def test_a_few_requests_for_a_key_do_not_spread_its_bucket() -> None:
    # After a release each node has seen few RPCs. Cold keys that were spread by chance would miss
    # on each of their caches.
    fleet = make_fleet(16)
    for index in range(120):
        # Each key gets three requests.
        fleet.end_attempt(fleet.arrive(f"k{index % 40}"), Outcome.COMPLETED)
    assert not any(
        bucket.spread_size
        for bucket in fleet.router.placement.buckets.values()
        if bucket.recent_requests < 4
    )


def test_no_hedged_request_is_sent_while_the_origin_is_slow() -> None:
    # Hedged requests on top of the fetches would overload a slow origin.
    fleet = make_fleet(4, hedging_allowed=True)
    fleet.router.placement.recent_requests, fleet.router.backends["o1"].latency_ms = (
        1e6,
        fleet.router.methods["read"].soft_ms * 0.4,
    )
    rpc = fleet.arrive("k")
    fleet.pass_time(fleet.router.methods["read"].soft_ms * 0.7)
    assert len(fleet.attempts[rpc]) == 1


def test_rejections_do_not_cut_the_limit_of_an_origin_whose_work_varies() -> None:
    # If single answers cut the limit, more RPCs are rejected, and the rejections cut it again.
    fleet = make_fleet(2)
    fleet.router.load_shedder.pressure = 1.0
    for index in range(60):
        rpc = fleet.arrive(f"k{index}")
        fleet.end_attempt(rpc, Outcome.MISS)
        # One answer in four takes over half of the soft deadline of 400 ms.
        fleet.pass_time(220.0 if index % 4 == 3 else 20.0)
        fleet.router.load_shedder.pressure = 1.0
        fleet.end_attempt(rpc, Outcome.COMPLETED)
        assert fleet.router.backends["o1"].concurrency_limit >= 2.0
    limit_before = fleet.router.backends["o1"].concurrency_limit
    for index in range(60):  # a slow mean cuts the limit
        rpc = fleet.arrive(f"m{index}")
        fleet.end_attempt(rpc, Outcome.MISS)
        fleet.pass_time(220.0)
        fleet.end_attempt(rpc, Outcome.COMPLETED)
    assert fleet.router.backends["o1"].concurrency_limit < limit_before


def test_without_load_reports_a_cache_that_answers_late_is_the_heaviest() -> None:
    # An overloaded cache gets few RPCs; by its rate alone it would look idle and get more buckets.
    fleet = make_fleet(4)
    fleet.router.placement.recent_requests = 1e6
    for index in range(400):
        rpc = fleet.arrive(f"k{index % 100}")
        fleet.pass_time(60.0 if fleet.attempts[rpc][0].server == "s0" else 5.0)
        fleet.end_attempt(rpc, Outcome.COMPLETED)
    moved = [
        bucket
        for bucket in fleet.router.placement.buckets.values()
        if bucket.assigned is not bucket.primary
    ]
    assert moved and all(bucket.primary.id == "s0" for bucket in moved)


@pytest.mark.parametrize("pressure", [0.0, 1.0])
def test_rpcs_over_quota_are_admitted_while_little_is_rejected(pressure: float) -> None:
    fleet = make_fleet(
        8, tenants=(Tenant("small", 1.0),), over_quota_gain_factor=0.2, max_retry_after_ms=400.0
    )
    fleet.router.load_shedder.pressure = pressure
    for index in range(60):
        rpc = fleet.arrive(f"k{index}", tenant="small")
        if rpc in fleet.open_rpcs:
            fleet.end_attempt(rpc, Outcome.COMPLETED)
    rejected_count = list(fleet.answers.values()).count("exhausted")
    assert rejected_count == 0 if pressure == 0 else rejected_count > 30


@pytest.mark.parametrize(("nodes", "limit"), [(2, 12.0), (8, 8.0), (64, 1.0), (256, 0.25)])
def test_the_origins_start_limit_is_64_over_all_nodes(nodes: int, limit: float) -> None:
    # With half of that limit the nodes answered 3% of the RPCs of a quiet start with `exhausted`;
    # with a far higher limit many clients overload the origin.
    fleet = make_fleet(4, nodes=nodes)
    assert fleet.router.origin.concurrency_limit == limit
    rpc = fleet.arrive("w", write=True)
    fleet.pass_time(50.0)
    fleet.end_attempt(rpc, Outcome.COMPLETED)
    pause_ms = fleet.router.origin.paused_until - fleet.now  # a limit below one has doubled
    assert 25.0 <= pause_ms < 75.0 if nodes == 256 else pause_ms <= 0.0


@pytest.mark.parametrize(
    ("nodes", "rest_ms"), [(1, 1100.0), (4, 1100.0), (24, 1100.0), (300, 16000.0)]
)
def test_an_unreachable_origin_is_tried_by_the_fleet_some_times_a_second(
    nodes: int, rest_ms: float
) -> None:
    # The few nodes of a small fleet must not pause for as long as hundreds of nodes have to: they
    # sent the origin nothing for 9 s after the end of an outage of 2 s.
    fleet, attempted_at = make_fleet(2, nodes=nodes), list[float]()
    for index in range(2400):
        fleet.arrive(f"k{index}")
        for _ in range(5):
            for rpc, attempt in list(fleet.in_flight):
                is_lost = fleet.attempts[rpc][attempt].server == "o1"
                attempted_at += [fleet.now] if is_lost else []
                fleet.end_attempt(rpc, Outcome.CONNECT_FAILED if is_lost else Outcome.MISS, attempt)
            fleet.pass_time(10.0)
    pauses = [
        later - earlier for earlier, later in zip(attempted_at, attempted_at[1:], strict=False)
    ]
    assert max(pauses) <= rest_ms and len(attempted_at) * nodes / 120 < 50


def test_a_rejection_is_answered_in_the_same_turn_with_a_time_to_retry() -> None:
    # A rejection that is delayed to keep its client from retrying helps nobody and is not allowed.
    fleet, arrived_at, rejections = (
        make_fleet(1, max_retry_after_ms=400.0),
        dict[str, float](),
        dict[str, tuple[float, float]](),
    )
    reject = fleet.reject
    fleet.reject = lambda rpc, retry_after_ms: (
        rejections.setdefault(rpc, (fleet.now, retry_after_ms)),
        reject(rpc, retry_after_ms),
    )[1]
    for backend in fleet.router.backends.values():
        backend.concurrency_limit = 1.0
    fleet.router.backends["s0"].latency_ms = fleet.router.origin.latency_ms = 100.0
    for index in range(40):
        arrived_at[fleet.arrive(f"k{index}")] = fleet.now
    assert len(rejections) > 25  # more than the queue can hold until their deadlines
    assert all(
        at == arrived_at[rpc] and 0 < retry_after_ms <= 400.0
        for rpc, (at, retry_after_ms) in rejections.items()
    )
    waiting, router_reject = (
        set(fleet.open_rpcs) - {rpc for rpc, _ in fleet.in_flight},
        fleet.router.reject,
    )
    rejected_at = dict[str, float]()
    fleet.router.reject = lambda rpc, rejecting: (
        rejected_at.setdefault(rpc.id, fleet.now),
        router_reject(rpc, rejecting),
    )[1]
    fleet.pass_time(900.0)
    ended_at = {rpc: at for rpc, (at, _) in rejections.items() if rpc in waiting}
    assert ended_at and all(rejected_at[rpc] == at for rpc, at in ended_at.items())
