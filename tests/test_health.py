"""Tests of what counts as a failure of a backend.

RPCs that fail at every backend count against none of them. The tests also cover backends that fail
and recover in turn, and wrong endpoint lists and load reports.
"""

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


def make_fleet(cache_count: int = 6, **changes: object) -> Fleet:
    """Return a router and its backends: some caches and an origin."""
    fleet = Fleet(make_deployment(**({"max_attempts": 5} | changes)))
    fleet.receive_endpoints(
        [make_endpoint(f"s{index}") for index in range(cache_count)]
        + [make_endpoint("o1", kind=ORIGIN_KIND)],
        EndpointUpdate.CACHED,
    )
    return fleet


def last_backend(fleet: Fleet, rpc: str) -> str:
    """Return the backend of the last attempt of an RPC."""
    return fleet.attempts[rpc][-1].server


def end_all_attempts(fleet: Fleet, rpc: str, outcome: Outcome = Outcome.ERROR) -> int:
    """End each attempt of an RPC with this outcome, and return the number of attempts."""
    while rpc in fleet.open_rpcs:
        fleet.end_attempt(rpc, outcome)
    return len(fleet.attempts[rpc])


@pytest.mark.parametrize("key", ["same", ""])
def test_rpcs_that_fail_at_any_backend_count_as_no_failure_and_are_attempted_twice_at_most(
    key: str,
) -> None:
    fleet = make_fleet()
    for index in range(300):  # two RPCs in five fail, the highest fraction seen so far
        fleet.end_attempt(fleet.arrive(f"good{index}"), Outcome.COMPLETED)
        if index % 3:
            assert end_all_attempts(fleet, fleet.arrive(key or f"bad{index}")) <= 2
    assert not any(
        backend.ejected or backend.consecutive_failures
        for backend in fleet.router.backends.values()
    )
    assert not any(receiver == "o1" for _, receiver, _ in fleet.sends), (
        "an RPC that failed twice is not sent to the origin"
    )


def test_second_attempts_after_failures_are_limited_to_a_fraction_of_the_successes() -> None:
    fleet = make_fleet()
    second_attempts = sum(
        end_all_attempts(fleet, fleet.arrive(f"bad{index}")) - 1 for index in range(100)
    )
    assert second_attempts == 10
    for index in range(200):
        fleet.end_attempt(fleet.arrive(f"good{index}"), Outcome.COMPLETED)
    assert (
        sum(end_all_attempts(fleet, fleet.arrive(f"bad{index}")) - 1 for index in range(100)) == 10
    )


def test_a_backend_that_fails_what_others_serve_is_ejected() -> None:
    fleet = make_fleet()
    for index in range(60):
        rpc = fleet.arrive(f"k{index}")
        fleet.end_attempt(
            rpc, Outcome.ERROR if last_backend(fleet, rpc) == "s2" else Outcome.COMPLETED
        )
        if rpc in fleet.open_rpcs:
            fleet.end_attempt(rpc, Outcome.COMPLETED)
    assert (
        fleet.router.backends["s2"].ejected
        and sum(backend.ejected for backend in fleet.router.backends.values()) == 1
    )


def test_an_unservable_rpc_is_answered_in_the_same_turn_and_returns_its_token() -> None:
    fleet = make_fleet(tenants=(Tenant("c", 10.0),), max_retry_after_ms=400.0)
    token_bucket = fleet.router.quotas.token_buckets["c"]
    tokens_before = token_bucket.tokens
    rpc = fleet.arrive("bad", tenant="c")
    fleet.end_attempt(rpc, Outcome.ERROR)
    fleet.end_attempt(rpc, Outcome.ERROR)
    assert fleet.answers[rpc] == "exhausted" and token_bucket.tokens == pytest.approx(tokens_before)


def test_a_write_that_the_origin_fails_is_attempted_twice_at_most() -> None:
    fleet = make_fleet()
    fleet.end_attempt(fleet.arrive("w", write=True), Outcome.COMPLETED)  # the origin answers
    assert end_all_attempts(fleet, fleet.arrive("w", write=True)) == 2


def test_removal_is_advisory_if_configured_and_draining_is_binding() -> None:
    fleet = make_fleet(2, removal_is_advisory=True)
    fleet.pass_time(5000.0)
    fleet.receive_endpoints(
        [make_endpoint("s0", EndpointState.REMOVED), make_endpoint("s1", EndpointState.REMOVED)],
        EndpointUpdate.DELTA,
    )
    # Removed backends are ejected, and receive an RPC again later.
    assert all(fleet.router.backends[name].ejected for name in ("s0", "s1"))
    fleet.pass_time(2000.0)
    rpc = fleet.arrive("k")
    assert rpc in fleet.open_rpcs and len(fleet.sends) == 1  # one RPC at a time probes a backend
    fleet.end_attempt(rpc, Outcome.COMPLETED)
    assert not fleet.router.backends[fleet.sends[0][1]].ejected
    fleet.receive_endpoints(
        [make_endpoint("s0", EndpointState.DRAINING), make_endpoint("s1", EndpointState.DRAINING)],
        EndpointUpdate.DELTA,
    )
    fleet.receive_endpoints(
        [make_endpoint("s0", EndpointState.REMOVED), make_endpoint("s1", EndpointState.REMOVED)],
        EndpointUpdate.DELTA,
    )
    fleet.arrive("k")
    assert len(fleet.sends) == 1


def test_a_removed_backend_that_answered_lately_is_not_ejected() -> None:
    for is_advisory in (True, False):
        fleet = make_fleet(1, removal_is_advisory=is_advisory)
        fleet.end_attempt(fleet.arrive("k"), Outcome.COMPLETED)
        # The cache is missing in a full list.
        fleet.receive_endpoints([make_endpoint("o1", kind=ORIGIN_KIND)])
        rpc = fleet.arrive("k")
        assert (rpc in fleet.open_rpcs) == is_advisory and len(fleet.sends) == 1 + is_advisory


def test_a_backend_that_relapses_is_ejected_at_one_failure_and_forgiven_later() -> None:
    fleet = make_fleet(1)
    backend = fleet.router.backends["s0"]
    for failures in range(3):
        assert not backend.ejected, f"ejected after {failures} failures"
        fleet.router.outliers.record_failure(backend, fleet.router.now)
    assert backend.ejected
    fleet.pass_time(backend.ejection_ms + 1)
    fleet.end_attempt(fleet.arrive("k"), Outcome.COMPLETED)
    assert not backend.ejected
    fleet.router.outliers.record_failure(backend, fleet.router.now)
    # The backoff continues from the previous ejection.
    assert backend.ejected and backend.ejection_ms > fleet.router.outliers.base_ejection_ms
    fleet.pass_time(backend.ejection_ms + 1)
    fleet.end_attempt(fleet.arrive("k"), Outcome.COMPLETED)
    fleet.pass_time(8 * fleet.router.outliers.base_ejection_ms + 2000.0)
    fleet.router.outliers.record_failure(backend, fleet.router.now)
    assert not backend.ejected


def test_answers_slower_than_a_fifth_of_the_soft_deadline_cut_only_a_caches_limit() -> None:
    fleet = make_fleet(1)
    cache, origin = fleet.router.backends["s0"], fleet.router.origin
    cache_limit, origin_limit = cache.concurrency_limit, origin.concurrency_limit
    rpc = fleet.arrive("k")
    fleet.pass_time(100.0)
    fleet.end_attempt(rpc, Outcome.MISS)
    assert cache.concurrency_limit < cache_limit
    fleet.pass_time(100.0)
    fleet.end_attempt(rpc, Outcome.COMPLETED)
    assert origin.concurrency_limit >= origin_limit


def complete_rpc(
    fleet: Fleet, key: str, response_ms: dict[str, float], reported: dict[str, float]
) -> None:
    """Complete an RPC after the time that its backend takes, with the load that it reports."""
    rpc = fleet.arrive(key)
    backend, attempt = last_backend(fleet, rpc), len(fleet.attempts[rpc]) - 1
    fleet.pass_time(response_ms.get(backend, 4.0))
    fleet.in_flight.remove((rpc, attempt))
    fleet._close_rpc(rpc, "completed")
    report = {"inflight": reported.get(backend, 0.5)}
    fleet.router.attempt_ended(
        fleet.now,
        rpc,
        attempt,
        Outcome.COMPLETED,
        True,
        fleet.now - fleet.attempts[rpc][attempt].sent_at,
        report,
    )
    fleet.decide_until_idle()


@pytest.mark.parametrize("errors", [False, True])
def test_measured_load_overrides_false_load_reports_and_true_ones_count_again(
    errors: bool,
) -> None:
    fleet = make_fleet(3, nodes=2)
    # The slow backend s1 reports that it is idle; RPCs that fail at every backend may come on top.
    for index in range(400):
        if errors and index % 2 == 0:
            assert end_all_attempts(fleet, fleet.arrive(f"bad{index}")) <= 2
        complete_rpc(fleet, f"k{index % 60}", {"s1": 60.0}, {"s1": 0.1})
    loads = {backend.id: backend.cpu_load for backend in fleet.router.caches}
    assert loads["s1"] == max(loads.values())
    assert not any(
        backend.ejected or backend.consecutive_failures for backend in fleet.router.caches
    )
    # All reports are true now, and s2 is busy with RPCs of other nodes, which its response times do
    # not show.
    for index in range(600):
        complete_rpc(fleet, f"k{index % 60}", {"s2": 1.0}, {"s2": 9.0})
    loads = {backend.id: backend.cpu_load for backend in fleet.router.caches}
    assert loads["s2"] == max(loads.values()) > loads["s1"]


def test_a_key_range_whose_rpcs_all_fail_counts_against_no_backend() -> None:
    fleet = make_fleet(
        tenants=(Tenant("bad", 1000.0), Tenant("good", 1000.0)), max_retry_after_ms=400.0
    )
    for index in range(200):
        assert end_all_attempts(fleet, fleet.arrive(f"b{index}", tenant="bad")) <= 2
        rpc = fleet.arrive(f"g{index}", tenant="good")
        fleet.end_attempt(rpc, Outcome.COMPLETED)
        assert fleet.answers[rpc] == "completed"
        fleet.pass_time(5.0)
    assert not any(
        backend.ejected or backend.consecutive_failures
        for backend in fleet.router.backends.values()
    )
    assert not any(receiver == "o1" for _, receiver, _ in fleet.sends)


def test_backends_that_alternately_fail_and_recover_are_not_ejected_permanently() -> None:
    fleet = make_fleet(6, nodes=1, slow_start_ms=20000.0, max_attempts=3)
    rack, failed_counts = {"s0", "s1"}, []
    for turn in range(6):
        failed_count = 0
        # For 1.5 s the rack refuses connections, and the endpoint list does not change.
        for index in range(150):
            rpc = fleet.arrive(f"k{(turn * 150 + index) % 200}")
            while (rpc, attempt := len(fleet.attempts[rpc]) - 1) in fleet.in_flight:
                is_down = last_backend(fleet, rpc) in rack
                failed_count += is_down
                fleet.end_attempt(
                    rpc, Outcome.CONNECT_FAILED if is_down else Outcome.COMPLETED, attempt
                )
            fleet.pass_time(10.0)
        failed_counts.append(failed_count)
        assert all(
            fleet.router.backends[name].ejected
            and fleet.router.backends[name].warmup_until > fleet.now
            for name in rack
        )
        # The other backends are not ejected.
        assert not any(cache.ejected for cache in fleet.router.caches if cache.id not in rack)
        sent_before = len(fleet.sends)
        # For 1.5 s the rack accepts connections again, with cold caches; the list does not change.
        for index in range(150):
            fleet.end_attempt(fleet.arrive(f"k{index % 200}"), Outcome.COMPLETED)
            fleet.pass_time(10.0)
        receivers = [receiver for _, receiver, _ in fleet.sends[sent_before:]]
        # Each return starts another slow start, with less than half of the share of a warm cache.
        assert all(receivers.count(name) < 0.5 * len(receivers) / 6 for name in rack), turn
    # In each turn one RPC fails at each server of the rack; in the first turn three do.
    assert max(failed_counts[1:]) <= failed_counts[0] // 2
    for index in range(4000):  # after the last turn all backends become available again
        fleet.end_attempt(fleet.arrive(f"k{index % 200}"), Outcome.COMPLETED)
        fleet.pass_time(10.0)
    assert all(fleet.router.backends[name].available for name in rack)


def test_a_deduplicated_rpc_is_not_cancelled_when_no_retry_is_allowed() -> None:
    method = Method(
        "log",
        800.0,
        1500.0,
        2.0,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_window_ms=300.0,
    )
    fleet = make_fleet(2, methods=(method,))
    fleet.end_attempt(fleet.arrive("k", write=True), Outcome.COMPLETED)
    rpc, other = fleet.arrive("k", write=True), fleet.arrive("j", write=True)
    fleet.pass_time(200.0)
    # The origin answers the second RPC, so the answer to the first looks lost.
    fleet.end_attempt(other, Outcome.COMPLETED)
    fleet.pass_time(500.0)
    assert not fleet.attempts[rpc][0].cancelled and rpc in fleet.open_rpcs
    fleet.end_attempt(rpc, Outcome.COMPLETED)
    assert fleet.answers[rpc] == "completed"


def test_an_origin_with_its_baseline_latency_is_not_congested_however_much_is_in_flight() -> None:
    fleet = make_fleet(4)
    origin = fleet.router.origin
    origin.latency_ms = origin.baseline_latency_ms = 50.0
    origin.in_flight = dict.fromkeys(range(int(origin.concurrency_limit)))
    assert not fleet.router.concurrency.origin_congested()
    origin.latency_ms = 80.0
    assert fleet.router.concurrency.origin_congested()
    origin.in_flight = {}
    assert not fleet.router.concurrency.origin_congested()


def test_an_rpc_whose_queue_deadline_passed_fails_over_while_the_origin_is_not_congested() -> None:
    fleet = make_fleet(2)
    first = fleet.arrive("k")
    home_cache = fleet.router.backends[last_backend(fleet, first)]
    home_cache.concurrency_limit = 1.0
    other_cache = next(cache for cache in fleet.router.caches if cache is not home_cache)
    other_cache.concurrency_limit = 1.0
    blocker = next(
        rpc
        for rpc in (fleet.arrive(f"x{index}") for index in range(40))
        if fleet.attempts[rpc] and last_backend(fleet, rpc) == other_cache.id
    )
    queued = fleet.arrive("k")
    assert not fleet.attempts[queued]
    fleet.end_attempt(blocker, Outcome.COMPLETED)
    fleet.pass_time(150.0)
    assert (
        queued in fleet.open_rpcs
        and fleet.attempts[queued]
        and last_backend(fleet, queued) == other_cache.id
    )


def test_constrained_methods_reserve_capacity_on_their_backends() -> None:
    both_methods = (
        Method("page", 400.0, 1000.0, 1.0),
        Method("status", 400.0, 1000.0, 1.0, kinds=("std",)),
    )
    fleet = Fleet(make_deployment(methods=both_methods, kinds=("fast", "std")))
    fleet.receive_endpoints([make_endpoint(f"s{index}", kind=index % 2) for index in range(6)])
    fractions = {cache.kind: cache.unconstrained_fraction for cache in fleet.router.caches}
    assert fractions[0] == 1.0 and fractions[1] == 0.5
    home_kinds = [fleet.router.placement.bucket(number).primary.kind for number in range(400)]
    assert 0.2 < sum(home_kinds) / 400 < 0.45  # a half without the reservation
    assert all(
        fleet.router.placement.bucket(number, ("std",)).primary.kind == 1 for number in range(50)
    )


def test_slow_writes_do_not_cut_the_origins_limit_and_slow_reads_do() -> None:
    for write in (True, False):
        fleet = make_fleet(1)
        origin = fleet.router.origin
        limit_before = origin.concurrency_limit
        for index in range(30):
            rpc = fleet.arrive(f"k{index}", write=write)
            if not write:
                fleet.end_attempt(rpc, Outcome.MISS)
            fleet.pass_time(230.0)  # a slow response; the soft deadline is 400 ms
            fleet.end_attempt(rpc, Outcome.COMPLETED)
        assert (origin.concurrency_limit >= limit_before) == write
