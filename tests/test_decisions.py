"""Plain cases: the paper's example, the ordinary path, and each failure met so far."""

from zlib import crc32

import pytest
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.interface import EndpointState, EndpointUpdate, Method, Outcome, Tenant
from hookpitch.balancer.placement import BUCKETS, Bucket
from hookpitch.balancer.rebalancing import BucketLoad, migrate, nearest, target_point, weights


def fleet(servers: int = 4, **changes: object) -> Fleet:
    f = Fleet(make_deployment(**changes))
    f.receive_endpoints(
        [make_endpoint(f"s{i}") for i in range(servers)] + [make_endpoint("o1", kind=ORIGIN_KIND)],
        EndpointUpdate.CACHED,
    )
    return f


def caches(*loads: tuple[float, float]) -> list[Backend]:
    made = []
    for i, (c, m) in enumerate(loads):
        made.append(Backend(f"n{i}"))
        made[-1].cpu_load, made[-1].memory_load = c, m
    return made


def test_weights_and_target_point_match_the_papers_second_figure() -> None:
    a, middle, b = nodes = caches((90, 70), (60, 30), (30, 20))
    lam, mu = weights(nodes)
    assert abs(lam - 0.6) < 1e-9 and abs(mu - 0.36 / 0.52) < 1e-9
    h = target_point(a, b, lam)
    assert abs(h[0] - 18) < 1e-9 and abs(h[1] - 10) < 1e-9
    loads = [
        BucketLoad(30.0, 20.0, Bucket(0)),
        BucketLoad(20.0, 40.0, Bucket(1)),
        BucketLoad(40.0, 10.0, Bucket(2)),
    ]
    assert nearest(loads, h, lam) is loads[0]
    held = {a: list(loads), middle: [], b: []}
    assert [(bucket, to) for bucket, to in migrate(nodes, held)][0] == (loads[0][2], b)


def test_a_balanced_fleet_moves_nothing() -> None:
    nodes = caches((10, 10), (11, 10), (10, 11))
    assert migrate(nodes, {s: [BucketLoad(1.0, 1.0, Bucket(0))] for s in nodes}) == []


def test_a_key_keeps_its_cache_and_rebalancing_moves_load_off_the_heaviest() -> None:
    f = fleet()
    for i in range(600):  # one cache's keys are asked for far more often than the others'
        key = f"key{i % 40}"
        heavy = f.router.placement.bucket(crc32(key.encode()) % BUCKETS).primary.id == "s0"
        for _ in range(9 if heavy else 1):
            f.end_attempt(f.arrive(key), Outcome.COMPLETED)
        f.pass_time(10.0)
    moved = [b for b in f.router.placement.buckets.values() if b.assigned is not b.primary]
    assert moved and all(b.primary.id == "s0" for b in moved)
    f.receive_endpoints(
        [make_endpoint(moved[0].assigned.id, EndpointState.DRAINING)], EndpointUpdate.DELTA
    )
    assert moved[0].assigned.state == EndpointState.READY  # buckets on a draining cache go home


def test_time_in_a_queue_ends_before_the_hard_deadline() -> None:
    f = fleet(1)
    ids = [f.arrive(f"k{i}", deadline_in_ms=30.0) for i in range(50)]
    f.pass_time(31.0)
    assert not f.open_rpcs and set(ids) == set(f.answers)


def test_consecutive_failures_eject_a_backend_and_a_response_recovers_it() -> None:
    f = fleet(2)
    victim = f.attempts[f.arrive("k")][0].server
    for _ in range(2):  # after a reset the same server may be asked again
        while f.in_flight:
            rpc, n = f.in_flight[0]
            f.end_attempt(
                rpc,
                Outcome.RESET if f.attempts[rpc][n].server == victim else Outcome.COMPLETED,
                n,
            )
        f.arrive("k")
    f.end_attempt(f.in_flight[0][0], Outcome.COMPLETED)
    assert f.router.backends[victim].ejected and f.attempts[f.arrive("k")][0].server != victim
    for _ in range(100):
        f.pass_time(1000.0)
        rpc = f.arrive("k")
        f.end_attempt(rpc, Outcome.COMPLETED)
        if f.attempts[rpc][0].server == victim:
            return
    raise AssertionError("shut out for good")


def test_several_silent_attempts_at_a_busy_backend_count_as_one_failure() -> None:
    f = fleet(1)
    for i in range(4):
        f.arrive(f"k{i}")
    f.pass_time(250.0)  # all four are silent for the patience
    assert f.router.backends["s0"].consecutive_failures == 1 and not f.router.backends["s0"].ejected


def test_a_backend_in_slow_start_gets_little_at_first() -> None:
    f = fleet(3)
    for i in range(600):
        f.end_attempt(f.arrive(f"k{i}"), Outcome.COMPLETED)
        f.pass_time(10.0)
    f.receive_endpoints([make_endpoint("s4", started=f.now)], EndpointUpdate.DELTA)
    begun = len(f.sends)
    for i in range(150):
        f.end_attempt(f.arrive(f"k{i}"), Outcome.COMPLETED)
        f.pass_time(10.0)
    got = [to for _, to, _ in f.sends[begun:]]
    assert 0 < got.count("s4") <= 0.35 * len(got) / 4


def test_a_tenant_over_its_quota_is_rejected_first() -> None:
    f = fleet(1, tenants=(Tenant("small", 1.0), Tenant("big", 1000.0)), max_retry_after_ms=400.0)
    mine = [f.arrive(f"a{i}", tenant="small") for i in range(30)]
    theirs = [f.arrive(f"b{i}", tenant="big") for i in range(2)]
    assert any(f.answers.get(r) == "exhausted" for r in mine)
    assert not any(r in f.answers for r in theirs)


def test_settings_at_their_limits_still_answer() -> None:
    bare = Method("read", 400.0, 1000.0, 1.0)
    for changes in (
        {"methods": (bare,), "slow_start_ms": 0.0, "overload_window_ms": 0.0},
        {"max_attempts": 0},
    ):
        f = Fleet(make_deployment(poll_interval_ms=0.0, **changes))
        assert f.answers[f.arrive("k")] == "exhausted"  # no list yet
        f.receive_endpoints([])
        assert f.answers[f.arrive("")] == "exhausted"


def test_resets_concern_connections_and_start_no_warmup() -> None:
    f = fleet(4)
    f.router.placement.recent_requests = 1e6  # the key is one of many
    victim = f.attempts[f.arrive("k")][0].server
    for _ in range(4):  # a refused dial among good answers is a chance, too
        for outcome in (Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.COMPLETED):
            f.end_attempt(f"rpc{f.rpc_count}", outcome)
        f.end_attempt(rpc := f.arrive("k"), Outcome.COMPLETED)
        assert (
            f.attempts[rpc][0].server == victim and f.router.backends[victim].warmup_until < f.now
        )
        f.arrive("k")
    for _ in range(2):
        f.end_attempt(f"rpc{f.rpc_count}", Outcome.RESET)
    assert (
        f.router.backends[victim].consecutive_failures == 2
        and f.router.backends[victim].warmup_until < f.now
    )
    f.end_attempt(f"rpc{f.rpc_count}", Outcome.COMPLETED)
    f.end_attempt(
        f.arrive("k"), Outcome.CONNECT_FAILED
    )  # refused as the third failure in a row: its process died
    assert f.router.backends[victim].warmup_until > f.now


def test_single_failures_of_the_origin_do_not_cut_its_concurrency_limit() -> None:
    f = fleet(2)
    for i in range(40):
        f.end_attempt(rpc := f.arrive(f"k{i}"), Outcome.MISS)
        f.end_attempt(
            rpc, (Outcome.COMPLETED, Outcome.RESET, Outcome.COMPLETED, Outcome.ERROR)[i % 4]
        )
        while rpc in f.open_rpcs:
            f.end_attempt(rpc, Outcome.COMPLETED)
        f.pass_time(20.0)
    assert f.router.backends["o1"].concurrency_limit >= 2.0
    for i in range(6):  # no good answer for longer than two soft deadlines: it has failed
        f.pass_time(900.0)
        f.end_attempt(rpc := f.arrive(f"m{i}"), Outcome.MISS)
        while rpc in f.open_rpcs and f.in_flight:
            f.end_attempt(rpc, Outcome.RESET)
    assert f.router.backends["o1"].concurrency_limit < 1.0


def test_connections_refused_by_most_backends_start_no_warmup() -> None:
    f = fleet(4)
    for i in range(60):
        rpc = f.arrive(f"k{i}")
        while rpc in f.open_rpcs and f.in_flight:
            f.end_attempt(rpc, Outcome.CONNECT_FAILED)
    caches = [s for s in f.router.backends.values() if s is not f.router.origin]
    assert sum(s.ejected for s in caches) >= 3 and sum(s.warmup_until > f.now for s in caches) <= 2


def test_a_router_that_starts_with_only_warming_caches_serves_some_rpcs() -> None:
    f = Fleet(make_deployment())
    cold = [make_endpoint(f"s{i}", started=f.now - 1) for i in range(4)]
    f.receive_endpoints([*cold, make_endpoint("o1", kind=ORIGIN_KIND)], EndpointUpdate.CACHED)
    for i in range(100):
        rpc = f.arrive(f"k{i}")
        f.pass_time(120.0)  # not at once: the soft deadline is 400 ms
        if f.in_flight:
            f.end_attempt(rpc, Outcome.COMPLETED)
        f.pass_time(20.0)
    assert 20 < sum(a == "completed" for a in f.answers.values()) < 75


def test_an_attempt_whose_answer_is_lost_is_cancelled_once_while_its_backend_answers_others() -> (
    None
):
    for others, pressure, tries in ((True, 0.0, 2), (False, 0.0, 1), (True, 0.5, 1)):
        f = fleet(1)
        f.end_attempt(f.arrive("k"), Outcome.COMPLETED)
        f.router.load_shedder.pressure, f.router.next_rate_update = pressure, 1e9
        rpc = f.arrive("k")  # its answer never comes; the soft deadline is 400 ms
        f.pass_time(50.0)
        other = f.arrive("k2")
        if others:
            f.end_attempt(other, Outcome.COMPLETED)
        f.pass_time(200.0)
        assert len(f.attempts[rpc]) == tries and f.router.backends["s0"].consecutive_failures == (
            0 if others else 1
        )
        assert {t.server for t in f.attempts[rpc]} == {"s0"} and sum(
            r == rpc for r, _ in f.in_flight
        ) == 1
        f.pass_time(130.0)
        assert len(f.attempts[rpc]) <= 2 and (tries == 2) == (f.attempts[rpc][0].done)


def test_removed_backends_are_forgotten_and_an_id_that_returns_warms_up_as_new() -> None:
    f = fleet(2)
    for i in range(2, 40):  # each is replaced by one under a new id
        f.receive_endpoints([make_endpoint(f"s{i}", started=f.now - 1)], EndpointUpdate.DELTA)
        f.receive_endpoints(
            [make_endpoint(f"s{i - 2}", EndpointState.REMOVED)], EndpointUpdate.DELTA
        )
        for _ in range(5):
            f.arrive(f"k{f.rpc_count}")
            while f.in_flight:
                f.end_attempt(f.in_flight[0][0], Outcome.COMPLETED)
            f.pass_time(500.0)
    assert len(f.router.backends) <= 6 and len(f.router.caches) <= 5
    f.receive_endpoints([make_endpoint("s0", started=f.now - 1)], EndpointUpdate.DELTA)
    assert (
        f.router.backends["s0"].warmup_until > f.now and f.router.backends["s0"].response_count == 0
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
    node = fleet.router
    for s in node.backends.values():
        s.concurrency_limit, s.latency_ms = (
            (1.0, 350.0) if s.id == "s1" else (6.0, 20.0 if eased else 350.0)
        )
    node.origin.concurrency_limit = 1.0
    fleet.arrive(key="busy", write=True)  # the origin has no room for a miss
    home = [
        f"k{n}"
        for n in range(400)
        if node.placement.bucket(crc32(b"k%d" % n) % BUCKETS).assigned.id == "s1"
    ]
    for key in home[:20]:
        fleet.arrive(key=key)
    assert (node.load_shedder.rejected_count == 0) is eased and list(fleet.answers.values()).count(
        "exhausted"
    ) > 10


def test_fast_warming_backends_get_a_gain_and_an_overloaded_one_loses_it() -> None:
    f = fleet(4)
    for i in range(200):  # until warm ones have a rate
        f.end_attempt(f.arrive(f"k{i}"), Outcome.COMPLETED)
        f.pass_time(20.0)
    f.receive_endpoints([make_endpoint("s1", started=f.now)], EndpointUpdate.DELTA)
    s, sent = f.router.backends["s1"], len(f.sends)
    for i in range(600):
        f.end_attempt(f.arrive(f"k{i}"), Outcome.COMPLETED)
        f.pass_time(10.0)
    assert (
        s.warmup_gain * f.router.slow_start.warmup_gain
        == f.router.slow_start.max_warmup_gain
        == 2.0
    )
    assert any(to == "s1" for _, to, _ in f.sends[sent:])
    f.receive_endpoints([make_endpoint("s2", started=f.now)], EndpointUpdate.DELTA)
    assert (
        f.router.backends["s2"].warmup_gain * f.router.slow_start.warmup_gain == 2.0
    )  # what one tells holds for all that are cold
    for i in range(600):
        rpc = f.arrive(f"n{i}")
        if f.attempts[rpc][-1].server == "s1":
            f.end_attempt(rpc, Outcome.OVERLOADED)
            assert (
                s.warmup_gain * f.router.slow_start.warmup_gain
                <= 1.0
                == f.router.backends["s2"].warmup_gain
            )
            return
        f.end_attempt(rpc, Outcome.COMPLETED)
        f.pass_time(10.0)
    raise AssertionError("nothing was sent there")


def test_refusals_of_warm_backends_do_not_raise_the_warmup_rate() -> None:
    # In overload most of what is sent comes back full; a cold one sent as much falls over.
    f, done = fleet(4), 0
    for i in range(1200):
        rpc = f.arrive(f"k{i}")
        while rpc in f.open_rpcs:
            at_cache = f.attempts[rpc][-1].server != "o1"
            done += at_cache and i % 6 == 0
            f.end_attempt(rpc, Outcome.OVERLOADED if at_cache and i % 6 else Outcome.COMPLETED)
        f.pass_time(10.0)
    assert 0 < f.router.slow_start.warm_rate < 2 * done / 12 / 4  # RPCs a second at each cache


def test_a_hot_bucket_is_spread_by_a_draw_of_each_routers_own() -> None:
    # No move of whole buckets helps a cache whose one key is more than it can do.
    taken = set[str]()
    for seed in range(24):
        f = fleet(16, seed=seed)
        f.request_hot_key()
        heavy, light = (f.router.placement.bucket(crc32(key) % BUCKETS) for key in (b"hot", b"k1"))
        assert light.primary is next(f.router.placement.ready_from(light))
        assert heavy.primary is heavy.assigned
        taken.add(heavy.primary.id)
    assert len(taken) > 4


def test_a_silent_attempt_gets_one_hedged_request_and_the_first_answer_ends_both() -> None:
    f = fleet(4, hedging_allowed=True)
    f.router.placement.recent_requests = 1e6
    rpc = f.arrive("k")
    f.pass_time(f.router.methods["read"].soft_ms * 0.7)
    assert len(f.attempts[rpc]) == 2 and f.attempts[rpc][0].server != f.attempts[rpc][1].server
    assert len([out for out in f.in_flight if out[0] == rpc]) == 2  # the first is still out
    # The next cache along the ring would miss, and the origin be asked too late.
    assert f.attempts[rpc][1].server == "o1"
    f.end_attempt(rpc, Outcome.COMPLETED, 1)
    assert not f.open_rpcs and f.attempts[rpc][0].cancelled


def test_a_few_requests_for_a_key_spread_nothing() -> None:
    # After a release each node has seen few RPCs; chance spreads cold keys, and every copy
    # misses.
    f = fleet(16)
    for i in range(120):
        f.end_attempt(f.arrive(f"k{i % 40}"), Outcome.COMPLETED)  # each key three times
    assert not any(
        b.spread_size for b in f.router.placement.buckets.values() if b.recent_requests < 4
    )


def test_no_hedged_request_is_sent_while_the_origin_is_slow() -> None:
    # Copies that a slow origin gets on top of its fetches are what stops it.
    f = fleet(4, hedging_allowed=True)
    f.router.placement.recent_requests, f.router.backends["o1"].latency_ms = (
        1e6,
        f.router.methods["read"].soft_ms * 0.4,
    )
    rpc = f.arrive("k")
    f.pass_time(f.router.methods["read"].soft_ms * 0.7)
    assert len(f.attempts[rpc]) == 1


def test_rejections_do_not_cut_the_limit_of_an_origin_whose_work_varies() -> None:
    # Its limit cut by single answers, so more is turned away, so the limit is cut again.
    f = fleet(2)
    f.router.load_shedder.pressure = 1.0
    for i in range(60):
        rpc = f.arrive(f"k{i}")
        f.end_attempt(rpc, Outcome.MISS)
        f.pass_time(
            220.0 if i % 4 == 3 else 20.0
        )  # one in four over half of the soft deadline of 400
        f.router.load_shedder.pressure = 1.0
        f.end_attempt(rpc, Outcome.COMPLETED)
        assert f.router.backends["o1"].concurrency_limit >= 2.0
    before = f.router.backends["o1"].concurrency_limit
    for i in range(60):  # and with a mean that is slow it is asked less
        rpc = f.arrive(f"m{i}")
        f.end_attempt(rpc, Outcome.MISS)
        f.pass_time(220.0)
        f.end_attempt(rpc, Outcome.COMPLETED)
    assert f.router.backends["o1"].concurrency_limit < before


def test_without_load_reports_a_cache_that_answers_late_is_the_heaviest() -> None:
    # An overloaded cache is sent little, so the rate calls it light and gives it more.
    f = fleet(4)
    f.router.placement.recent_requests = 1e6
    for i in range(400):
        rpc = f.arrive(f"k{i % 100}")
        f.pass_time(60.0 if f.attempts[rpc][0].server == "s0" else 5.0)
        f.end_attempt(rpc, Outcome.COMPLETED)
    moved = [b for b in f.router.placement.buckets.values() if b.assigned is not b.primary]
    assert moved and all(b.primary.id == "s0" for b in moved)


@pytest.mark.parametrize("pressure", [0.0, 1.0])
def test_rpcs_over_quota_are_admitted_while_little_is_rejected(pressure: float) -> None:
    f = fleet(
        8, tenants=(Tenant("small", 1.0),), over_quota_gain_factor=0.2, max_retry_after_ms=400.0
    )
    f.router.load_shedder.pressure = pressure
    for i in range(60):
        rpc = f.arrive(f"k{i}", tenant="small")
        if rpc in f.open_rpcs:
            f.end_attempt(rpc, Outcome.COMPLETED)
    turned = list(f.answers.values()).count("exhausted")
    assert turned == 0 if pressure == 0 else turned > 30


@pytest.mark.parametrize(("nodes", "limit"), [(2, 12.0), (8, 8.0), (64, 1.0), (256, 0.25)])
def test_the_origins_start_limit_is_64_over_all_nodes(nodes: int, limit: float) -> None:
    # With half of that, nodes exhausted 3% of a quiet start; with far more, a crowd stops
    # the origin.
    f = fleet(4, nodes=nodes)
    assert f.router.origin.concurrency_limit == limit
    rpc = f.arrive("w", write=True)
    f.pass_time(50.0)
    f.end_attempt(rpc, Outcome.COMPLETED)
    rest = f.router.origin.paused_until - f.now  # its limit has doubled where it was under one
    assert 25.0 <= rest < 75.0 if nodes == 256 else rest <= 0.0


@pytest.mark.parametrize(
    ("nodes", "rest_ms"), [(1, 1100.0), (4, 1100.0), (24, 1100.0), (300, 16000.0)]
)
def test_an_unreachable_origin_is_tried_by_the_fleet_some_times_a_second(
    nodes: int, rest_ms: float
) -> None:
    # The few nodes of a small fleet rest as hundreds have to: 9 s, after a cut of 2 s had
    # ended.
    f, tried = fleet(2, nodes=nodes), list[float]()
    for i in range(2400):
        f.arrive(f"k{i}")
        for _ in range(5):
            for rpc, n in list(f.in_flight):
                lost = f.attempts[rpc][n].server == "o1"
                tried += [f.now] if lost else []
                f.end_attempt(rpc, Outcome.CONNECT_FAILED if lost else Outcome.MISS, n)
            f.pass_time(10.0)
    rests = [b - a for a, b in zip(tried, tried[1:], strict=False)]
    assert max(rests) <= rest_ms and len(tried) * nodes / 120 < 50


def test_a_rejection_is_answered_in_the_same_turn_with_a_time_to_retry() -> None:
    # An answer held back so that its client does not ask again; it helps no one, and is not
    # allowed.
    f, came, told = (
        fleet(1, max_retry_after_ms=400.0),
        dict[str, float](),
        dict[str, tuple[float, float]](),
    )
    reject = f.reject
    f.reject = lambda rpc, ms: (told.setdefault(rpc, (f.now, ms)), reject(rpc, ms))[1]
    for s in f.router.backends.values():
        s.concurrency_limit = 1.0
    f.router.backends["s0"].latency_ms = f.router.origin.latency_ms = 100.0
    for i in range(40):
        came[f.arrive(f"k{i}")] = f.now
    assert len(told) > 25  # more than the line holds in time
    assert all(at == came[rpc] and 0 < ms <= 400.0 for rpc, (at, ms) in told.items())
    waiting, given_up = set(f.open_rpcs) - {rpc for rpc, _ in f.in_flight}, f.router.reject
    turns = dict[str, float]()
    f.router.reject = lambda rpc, host: (turns.setdefault(rpc.id, f.now), given_up(rpc, host))[1]
    f.pass_time(900.0)
    ended = {rpc: at for rpc, (at, _) in told.items() if rpc in waiting}
    assert ended and all(turns[rpc] == at for rpc, at in ended.items())
