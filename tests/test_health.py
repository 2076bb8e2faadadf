"""No server is blamed for what would fail anywhere; what falls by turns; what is told and is not
so."""

import pytest
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint

from hookpitch.balancer.interface import (
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Method,
    Outcome,
    Tenant,
)


def fleet(servers: int = 6, **changes: object) -> Fleet:
    f = Fleet(make_deployment(**({"max_attempts": 5} | changes)))
    f.receive_endpoints(
        [make_endpoint(f"s{i}") for i in range(servers)] + [make_endpoint("o1", kind=ORIGIN_KIND)],
        EndpointUpdate.CACHED,
    )
    return f


def last(f: Fleet, rpc: str) -> str:
    return f.attempts[rpc][-1].server


def fail(f: Fleet, rpc: str, outcome: Outcome = Outcome.ERROR) -> int:
    """Every transmission of the RPC ends so; how many there were."""
    while rpc in f.open_rpcs:
        f.end_attempt(rpc, outcome)
    return len(f.attempts[rpc])


@pytest.mark.parametrize("key", ["same", ""])
def test_rpcs_that_fail_at_any_backend_count_as_no_failure_and_are_attempted_twice_at_most(
    key: str,
) -> None:
    f = fleet()
    for i in range(300):  # two in five fail, as many as were seen
        f.end_attempt(f.arrive(f"good{i}"), Outcome.COMPLETED)
        if i % 3:
            assert fail(f, f.arrive(key or f"bad{i}")) <= 2
    assert not any(s.ejected or s.consecutive_failures for s in f.router.backends.values())
    assert not any(to == "o1" for _, to, _ in f.sends), (
        "the origin is not asked for what failed twice"
    )


def test_second_opinions_are_limited_to_a_part_of_the_good_responses() -> None:
    f = fleet()
    twice = sum(fail(f, f.arrive(f"bad{i}")) - 1 for i in range(100))
    assert twice == 10
    for i in range(200):
        f.end_attempt(f.arrive(f"good{i}"), Outcome.COMPLETED)
    assert sum(fail(f, f.arrive(f"bad{i}")) - 1 for i in range(100)) == 10


def test_a_backend_that_fails_what_others_serve_is_ejected() -> None:
    f = fleet()
    for i in range(60):
        rpc = f.arrive(f"k{i}")
        f.end_attempt(rpc, Outcome.ERROR if last(f, rpc) == "s2" else Outcome.COMPLETED)
        if rpc in f.open_rpcs:
            f.end_attempt(rpc, Outcome.COMPLETED)
    assert (
        f.router.backends["s2"].ejected and sum(s.ejected for s in f.router.backends.values()) == 1
    )


def test_an_unservable_rpc_is_answered_in_the_same_turn_and_returns_its_token() -> None:
    f = fleet(tenants=(Tenant("c", 10.0),), max_retry_after_ms=400.0)
    share = f.router.quotas.token_buckets["c"]
    tokens = share.tokens
    rpc = f.arrive("bad", tenant="c")
    f.end_attempt(rpc, Outcome.ERROR)
    f.end_attempt(rpc, Outcome.ERROR)
    assert f.answers[rpc] == "exhausted" and share.tokens == pytest.approx(tokens)


def test_a_write_that_the_origin_fails_is_attempted_twice_at_most() -> None:
    f = fleet()
    f.end_attempt(f.arrive("w", write=True), Outcome.COMPLETED)  # the origin is well
    assert fail(f, f.arrive("w", write=True)) == 2


def test_removal_is_advisory_where_configured_and_draining_binds() -> None:
    f = fleet(2, removal_is_advisory=True)
    f.pass_time(5000.0)
    f.receive_endpoints(
        [make_endpoint("s0", EndpointState.REMOVED), make_endpoint("s1", EndpointState.REMOVED)],
        EndpointUpdate.DELTA,
    )
    assert all(f.router.backends[s].ejected for s in ("s0", "s1"))  # off the path, to be tried
    f.pass_time(2000.0)
    rpc = f.arrive("k")
    assert rpc in f.open_rpcs and len(f.sends) == 1  # with one RPC at a time
    f.end_attempt(rpc, Outcome.COMPLETED)
    assert not f.router.backends[f.sends[0][1]].ejected
    f.receive_endpoints(
        [make_endpoint("s0", EndpointState.DRAINING), make_endpoint("s1", EndpointState.DRAINING)],
        EndpointUpdate.DELTA,
    )
    f.receive_endpoints(
        [make_endpoint("s0", EndpointState.REMOVED), make_endpoint("s1", EndpointState.REMOVED)],
        EndpointUpdate.DELTA,
    )
    f.arrive("k")
    assert len(f.sends) == 1


def test_a_removed_backend_that_answered_lately_is_not_ejected() -> None:
    for advice in (True, False):
        f = fleet(1, removal_is_advisory=advice)
        f.end_attempt(f.arrive("k"), Outcome.COMPLETED)
        f.receive_endpoints([make_endpoint("o1", kind=ORIGIN_KIND)])  # left out of a full list
        rpc = f.arrive("k")
        assert (rpc in f.open_rpcs) == advice and len(f.sends) == 1 + advice


def test_a_backend_that_relapses_is_ejected_at_one_failure_and_forgiven_later() -> None:
    f = fleet(1)
    s = f.router.backends["s0"]
    for n in range(3):
        assert not s.ejected, f"off after {n}"
        f.router.outliers.record_failure(s, f.router.now)
    assert s.ejected
    f.pass_time(s.ejection_ms + 1)
    f.end_attempt(f.arrive("k"), Outcome.COMPLETED)
    assert not s.ejected
    f.router.outliers.record_failure(s, f.router.now)
    assert (
        s.ejected and s.ejection_ms > f.router.outliers.base_ejection_ms
    )  # the pause before it counts on
    f.pass_time(s.ejection_ms + 1)
    f.end_attempt(f.arrive("k"), Outcome.COMPLETED)
    f.pass_time(8 * f.router.outliers.base_ejection_ms + 2000.0)
    f.router.outliers.record_failure(s, f.router.now)
    assert not s.ejected


def test_answers_slower_than_a_fifth_of_the_soft_deadline_cut_only_a_caches_limit() -> None:
    f = fleet(1)
    s, o = f.router.backends["s0"], f.router.origin
    before, at_origin = s.concurrency_limit, o.concurrency_limit
    rpc = f.arrive("k")
    f.pass_time(100.0)
    f.end_attempt(rpc, Outcome.MISS)
    assert s.concurrency_limit < before
    f.pass_time(100.0)
    f.end_attempt(rpc, Outcome.COMPLETED)
    assert o.concurrency_limit >= at_origin


def ended(f: Fleet, key: str, took: dict[str, float], told: dict[str, float]) -> None:
    """An RPC that its server answers after its time, with what that server says it holds."""
    rpc = f.arrive(key)
    s, n = last(f, rpc), len(f.attempts[rpc]) - 1
    f.pass_time(took.get(s, 4.0))
    f.in_flight.remove((rpc, n))
    f._close_rpc(rpc, "completed")
    report = {"inflight": told.get(s, 0.5)}
    f.router.attempt_ended(
        f.now, rpc, n, Outcome.COMPLETED, True, f.now - f.attempts[rpc][n].sent_at, report
    )
    f.decide_until_idle()


@pytest.mark.parametrize("errors", [False, True])
def test_measured_load_goes_before_reported_load_and_true_reports_count_again(
    errors: bool,
) -> None:
    f = fleet(3, nodes=2)
    for i in range(400):  # the slow one says that it idles; RPCs that fail anywhere may come on top
        if errors and i % 2 == 0:
            assert fail(f, f.arrive(f"bad{i}")) <= 2
        ended(f, f"k{i % 60}", {"s1": 60.0}, {"s1": 0.1})
    by = {s.id: s.cpu_load for s in f.router.caches}
    assert by["s1"] == max(by.values())
    assert not any(s.ejected or s.consecutive_failures for s in f.router.caches)
    for i in range(
        600
    ):  # now all tell the truth, and another one is busy with what other nodes send
        ended(f, f"k{i % 60}", {"s2": 1.0}, {"s2": 9.0})  # its answers alone would not tell
    by = {s.id: s.cpu_load for s in f.router.caches}
    assert by["s2"] == max(by.values()) > by["s1"]


def test_a_key_range_whose_rpcs_all_fail_counts_against_no_backend() -> None:
    f = fleet(tenants=(Tenant("bad", 1000.0), Tenant("good", 1000.0)), max_retry_after_ms=400.0)
    for i in range(200):
        assert fail(f, f.arrive(f"b{i}", tenant="bad")) <= 2
        rpc = f.arrive(f"g{i}", tenant="good")
        f.end_attempt(rpc, Outcome.COMPLETED)
        assert f.answers[rpc] == "completed"
        f.pass_time(5.0)
    assert not any(s.ejected or s.consecutive_failures for s in f.router.backends.values())
    assert not any(to == "o1" for _, to, _ in f.sends)


def test_backends_that_fail_by_turns_while_the_list_is_silent_are_not_ejected_for_good() -> None:
    f = fleet(6, nodes=1, slow_start_ms=20000.0, max_attempts=3)
    rack, wasted = {"s0", "s1"}, []
    for turn in range(6):
        tried = 0
        for i in range(150):  # down for 1.5 s: dials are refused; the list says nothing
            rpc = f.arrive(f"k{(turn * 150 + i) % 200}")
            while (rpc, n := len(f.attempts[rpc]) - 1) in f.in_flight:
                down = last(f, rpc) in rack
                tried += down
                f.end_attempt(rpc, Outcome.CONNECT_FAILED if down else Outcome.COMPLETED, n)
            f.pass_time(10.0)
        wasted.append(tried)
        assert all(
            f.router.backends[s].ejected and f.router.backends[s].warmup_until > f.now for s in rack
        )
        assert not any(
            s.ejected for s in f.router.caches if s.id not in rack
        )  # the rest is not blamed
        sent = len(f.sends)
        for i in range(150):  # up for 1.5 s, cold, unannounced
            f.end_attempt(f.arrive(f"k{i % 200}"), Outcome.COMPLETED)
            f.pass_time(10.0)
        back = [to for _, to, _ in f.sends[sent:]]
        # Less than half of a warm one's part, at each return: each is the beginning of another cold
        # time.
        assert all(back.count(s) < 0.5 * len(back) / 6 for s in rack), turn
    assert max(wasted[1:]) <= wasted[0] // 2  # one RPC a server and turn, three at first
    for i in range(4000):  # the turns are over: nobody is marked for good
        f.end_attempt(f.arrive(f"k{i % 200}"), Outcome.COMPLETED)
        f.pass_time(10.0)
    assert all(f.router.backends[s].available for s in rack)


def test_a_deduplicated_rpc_is_not_cancelled_when_no_retry_is_allowed() -> None:
    method = Method(
        "log",
        800.0,
        1500.0,
        2.0,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_window_ms=300.0,
    )
    f = fleet(2, methods=(method,))
    f.end_attempt(f.arrive("k", write=True), Outcome.COMPLETED)
    rpc, other = f.arrive("k", write=True), f.arrive("j", write=True)
    f.pass_time(200.0)
    f.end_attempt(other, Outcome.COMPLETED)  # the origin answers, so the first looks lost
    f.pass_time(500.0)
    assert not f.attempts[rpc][0].cancelled and rpc in f.open_rpcs
    f.end_attempt(rpc, Outcome.COMPLETED)
    assert f.answers[rpc] == "completed"


def test_an_origin_with_its_baseline_latency_is_not_congested_however_much_is_in_flight() -> None:
    f = fleet(4)
    o = f.router.origin
    o.latency_ms = o.baseline_latency_ms = 50.0
    o.in_flight = dict.fromkeys(range(int(o.concurrency_limit)))
    assert not f.router.concurrency.origin_congested()
    o.latency_ms = 80.0
    assert f.router.concurrency.origin_congested()
    o.in_flight = {}
    assert not f.router.concurrency.origin_congested()


def test_an_rpc_whose_queue_deadline_passed_fails_over_while_the_origin_is_not_congested() -> None:
    f = fleet(2)
    first = f.arrive("k")
    home = f.router.backends[last(f, first)]
    home.concurrency_limit = 1.0
    other = next(s for s in f.router.caches if s is not home)
    other.concurrency_limit = 1.0
    blocker = next(
        r
        for r in (f.arrive(f"x{i}") for i in range(40))
        if f.attempts[r] and last(f, r) == other.id
    )
    waits = f.arrive("k")
    assert not f.attempts[waits]
    f.end_attempt(blocker, Outcome.COMPLETED)
    f.pass_time(150.0)
    assert waits in f.open_rpcs and f.attempts[waits] and last(f, waits) == other.id


def test_constrained_methods_reserve_capacity_on_their_backends() -> None:
    method = (
        Method("page", 400.0, 1000.0, 1.0),
        Method("status", 400.0, 1000.0, 1.0, kinds=("std",)),
    )
    f = Fleet(make_deployment(methods=method, kinds=("fast", "std")))
    f.receive_endpoints([make_endpoint(f"s{i}", kind=i % 2) for i in range(6)])
    free = {s.kind: s.unconstrained_fraction for s in f.router.caches}
    assert free[0] == 1.0 and free[1] == 0.5
    homes = [f.router.placement.bucket(n).primary.kind for n in range(400)]
    assert 0.2 < sum(homes) / 400 < 0.45  # half without it
    assert all(f.router.placement.bucket(n, ("std",)).primary.kind == 1 for n in range(50))


def test_slow_writes_do_not_cut_the_origins_limit_and_slow_reads_do() -> None:
    for write in (True, False):
        f = fleet(1)
        o = f.router.origin
        before = o.concurrency_limit
        for i in range(30):
            rpc = f.arrive(f"k{i}", write=write)
            if not write:
                f.end_attempt(rpc, Outcome.MISS)
            f.pass_time(230.0)  # of a soft deadline of 400
            f.end_attempt(rpc, Outcome.COMPLETED)
        assert (o.concurrency_limit >= before) == write
