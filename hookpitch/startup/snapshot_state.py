"""Captures what a router has learned in a snapshot, and restores what a new router may trust.

Everything learned decays with its age a. It is weighted by 0.5 ** (a / HALF_LIFE_MS) against the
value of a router that knows nothing. So an hour-old snapshot neither ejects nor favours a backend:

- concurrency limits, including the origin's, lie between the initial and the learned limit. Nodes
  that were all stopped and start together begin with the sum of the limits with which they stopped,
  and the origin sustained that sum;
- an ejected backend stays ejected until its ejection would have ended, shortened by the age. A
  backend that discovery reports as restarted since then starts warming up, and nothing else that
  was learned about it counts. If all backends would be ejected, none is;
- a warm-up that is not over continues, for at most the duration of a full warm-up;
- moved buckets stay moved while the reason for the move is recent (down to a weight of a quarter);
- hot buckets keep their request counts, decayed, so that their keys are spread from the first RPC
  on;
- an operator's bans hold for as long as the snapshot is accepted at all, as they are orders and not
  observations;
- the snapshot's endpoint list overrides the configured list if its version is higher; discovery's
  list overrides both.

Only this module accesses the router's internal state (`balancer/`) on behalf of snapshots. Times
are Unix milliseconds given by the caller. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hookpitch.balancer.backend import INITIAL_CONCURRENCY_LIMIT, Backend
from hookpitch.balancer.interface import Endpoint, EndpointState
from hookpitch.balancer.placement import BUCKETS
from hookpitch.balancer.router import Router
from hookpitch.startup.snapshot_format import (
    BackendSnapshot,
    EndpointSnapshot,
    HotBucket,
    MovedBucket,
    Snapshot,
)

# After this time, what was learned has half of its weight.
HALF_LIFE_MS = 60000.0
# Below this weight, moves of buckets and latencies are not restored.
MIN_WEIGHT = 0.25
MIN_HOT_REQUESTS = 2.0
MAX_IDLE_MS = 1e9
MAX_EJECTION_FACTOR = 8  # times the base ejection: the longest ejection that is restored


class RestoredBackend(NamedTuple):
    """A backend of the router, and what the snapshot contains about the same process."""

    backend: Backend
    learned: BackendSnapshot


# ---- capture


def capture(
    router: Router, now: float, fleet: str, name: str, version: int, addresses: Mapping[str, str]
) -> Snapshot:
    """Return a snapshot of what the router knows at `now`, in at most a few thousand short steps.

    `fleet` and `name` identify the node. `version` is that of discovery's endpoint list, and
    `addresses` holds the address of each endpoint by its id.
    """
    backends = sorted(
        router.backends.values(),
        key=lambda known: (known is not router.origin, -known.response_count, known.id),
    )
    return Snapshot(
        fleet=fleet,
        node=name,
        kinds=router.table.kind_names,
        written_at_ms=now,
        version=version,
        endpoints=tuple(
            _capture_endpoint(backend, addresses[backend.id])
            for backend in backends
            if backend.id in addresses and backend.listed_state != EndpointState.REMOVED
        ),
        backends=tuple(_capture_backend(backend) for backend in backends),
        moved_buckets=_capture_moves(router),
        hot_buckets=_capture_hot_buckets(router),
        request_count=router.placement.recent_requests,
        work_ms=router.concurrency.unit_latency_ms,
        warm_rate_per_s=router.slow_start.warm_rate,
        max_idle_ms=min(router.idle_connections.idle_limit_ms, MAX_IDLE_MS),
        banned_ids=tuple(router.bans),
    )


def _time_or_never(at: float) -> float:
    """Return a time as it is stored: 0 for a time that is unknown or infinite."""
    return at if 0 < at < float("inf") else 0.0


def _capture_endpoint(backend: Backend, address: str) -> EndpointSnapshot:
    return EndpointSnapshot(
        id=backend.id,
        zone=backend.zone,
        cell=backend.cell,
        started_at_ms=_time_or_never(backend.started_at),
        state=int(backend.listed_state),
        kind=backend.kind,
        size=backend.size,
        address=address,
    )


def _capture_backend(backend: Backend) -> BackendSnapshot:
    return BackendSnapshot(
        id=backend.id,
        started_at_ms=_time_or_never(backend.started_at),
        concurrency_limit=backend.concurrency_limit,
        latency_ms=backend.latency_ms,
        baseline_latency_ms=backend.baseline_latency_ms,
        consecutive_failures=backend.consecutive_failures,
        ejection_ms=backend.ejection_ms,
        ejected_until_ms=_time_or_never(backend.ejected_until) if backend.ejected else 0.0,
        warmup_until_ms=_time_or_never(backend.warmup_until),
    )


def _capture_moves(router: Router) -> tuple[MovedBucket, ...]:
    """Return the buckets that are not on their primary backend, the busiest first."""
    moved = [
        (bucket.request_rate, MovedBucket(number, kinds, zones, bucket.assigned.id))
        for (number, kinds, zones), bucket in router.placement.buckets.items()
        if bucket.assigned is not None and bucket.assigned is not bucket.primary
    ]
    moved.sort(key=lambda rate_and_bucket: -rate_and_bucket[0])
    return tuple(bucket for _, bucket in moved)


def _capture_hot_buckets(router: Router) -> tuple[HotBucket, ...]:
    """Return the buckets with many requests, those with the most requests first."""
    hot = [
        HotBucket(number, kinds, zones, bucket.recent_requests)
        for (number, kinds, zones), bucket in router.placement.buckets.items()
        if bucket.recent_requests >= MIN_HOT_REQUESTS
    ]
    hot.sort(key=lambda bucket: -bucket.request_count)
    return tuple(hot)


# ---- restore


def stored_endpoints(snapshot: Snapshot) -> tuple[list[Endpoint], dict[str, str]]:
    """Return the endpoint list of a snapshot, and the address of each endpoint by its id."""
    listed = [
        Endpoint(
            stored.id,
            stored.zone,
            stored.cell,
            stored.started_at_ms,
            EndpointState(stored.state),
            stored.kind,
            stored.size,
        )
        for stored in snapshot.endpoints
        if stored.state in (EndpointState.READY, EndpointState.DRAINING)
    ]
    return listed, {stored.id: stored.address for stored in snapshot.endpoints}


def restore(router: Router, now: float, snapshot: Snapshot) -> str:
    """Restore what may be trusted into a router that has its first list and no RPC yet.

    Returns a summary for the log.
    """
    age_ms = max(0.0, now - snapshot.written_at_ms)
    weight = 0.5 ** (age_ms / HALF_LIFE_MS)
    restored = _match_processes(router, snapshot.backends)
    for backend, learned in restored:
        _restore_backend(router, now, backend, learned, weight)
    ejected = _restore_ejections(router, now, restored, weight)
    _restore_rates(router, snapshot, weight)
    hot = _restore_hot_buckets(router, snapshot, weight)
    moved = _restore_moves(router, snapshot.moved_buckets, weight)
    for backend_id in snapshot.banned_ids:
        router.set_banned(now, backend_id, True)
    return (
        f"{len(restored)} backends restored, {ejected} ejected, {moved} buckets moved, "
        f"{hot} hot buckets spread, {len(snapshot.banned_ids)} banned, {age_ms / 1000:.0f} s old"
    )


def _decayed(initial: float, learned: float, weight: float) -> float:
    return initial + (learned - initial) * weight


def _match_processes(router: Router, known: Iterable[BackendSnapshot]) -> list[RestoredBackend]:
    """Return the ready backends whose current process the snapshot knows.

    A process that has started since then is not warm, whatever its predecessor had reached.
    """
    by_id = {learned.id: learned for learned in known}
    matches = []
    for backend in router.backends.values():
        learned = by_id.get(backend.id)
        if learned is None or backend.state != EndpointState.READY:
            continue
        if _time_or_never(backend.started_at) <= learned.started_at_ms:
            matches.append(RestoredBackend(backend, learned))
    return matches


def _restore_backend(
    router: Router, now: float, backend: Backend, learned: BackendSnapshot, weight: float
) -> None:
    """Restore a backend's concurrency limit, latencies and the rest of its warm-up."""
    limit = _decayed(backend.concurrency_limit, learned.concurrency_limit, weight)
    backend.concurrency_limit = max(backend.min_concurrency_limit, limit)
    is_recent = weight > MIN_WEIGHT
    backend.latency_ms = learned.latency_ms if is_recent else 0.0
    backend.baseline_latency_ms = learned.baseline_latency_ms if is_recent else 0.0
    warmup_until = min(learned.warmup_until_ms, now + router.slow_start.duration_ms)
    if warmup_until > max(now, backend.warmup_until) and backend is not router.origin:
        backend.warmup_until = warmup_until
        backend.warmup_refilled_at = now
        backend.warmup_tokens = 0.0
        backend.available = False


def _restore_ejections(
    router: Router, now: float, restored: Iterable[RestoredBackend], weight: float
) -> int:
    """Eject the backends whose ejection is not over; return the number of ejected backends.

    If that would eject every ready cache, none is ejected: otherwise no cache would answer at all.
    """
    ejected = [
        entry
        for entry in restored
        if entry.backend is not router.origin and now < entry.learned.ejected_until_ms
    ]
    ready = sum(backend.state == EndpointState.READY for backend in router.caches)
    if len(ejected) >= ready:
        return 0
    for backend, learned in ejected:
        _eject(router, now, backend, learned, weight)
    return len(ejected)


def _eject(
    router: Router, now: float, backend: Backend, learned: BackendSnapshot, weight: float
) -> None:
    backend.ejected = True
    backend.available = False
    backend.concurrency_limit = min(backend.concurrency_limit, INITIAL_CONCURRENCY_LIMIT)
    backend.consecutive_failures = learned.consecutive_failures
    max_ejection_ms = MAX_EJECTION_FACTOR * router.outliers.base_ejection_ms
    backend.ejection_ms = min(
        max_ejection_ms, _decayed(router.outliers.base_ejection_ms, learned.ejection_ms, weight)
    )
    remaining_ms = min(learned.ejected_until_ms - now, backend.ejection_ms)
    backend.ejected_until = now + remaining_ms * weight


def _restore_rates(router: Router, snapshot: Snapshot, weight: float) -> None:
    """Restore the service time, the rate of warm backends and the idle limit of connections."""
    router.concurrency.unit_latency_ms = snapshot.work_ms if weight > MIN_WEIGHT else 0.0
    router.slow_start.warm_rate = _decayed(
        router.slow_start.warm_rate, snapshot.warm_rate_per_s, weight
    )
    if snapshot.max_idle_ms > 0:
        restored_limit_ms = max(
            snapshot.max_idle_ms, router.idle_connections.idle_limit_ms * (1 - weight)
        )
        router.idle_connections.idle_limit_ms = min(
            router.idle_connections.max_idle_ms, restored_limit_ms
        )


def _is_used_bucket(router: Router, bucket: MovedBucket | HotBucket) -> bool:
    """Return whether some method of this router uses such a bucket."""
    if not 0 <= bucket.number < BUCKETS:
        return False
    return any(
        (method.kinds, method.zones) == (bucket.kinds, bucket.zones)
        for method in router.methods.values()
    )


def _restore_hot_buckets(router: Router, snapshot: Snapshot, weight: float) -> int:
    """Restore the decayed request counts of hot buckets; return how many buckets are spread."""
    for hot in snapshot.hot_buckets:
        if _is_used_bucket(router, hot):
            bucket = router.placement.bucket(hot.number, hot.kinds, hot.zones)
            bucket.recent_requests += hot.request_count * weight
    router.placement.recent_requests += snapshot.request_count * weight
    spread_count = 0
    for bucket in list(router.placement.buckets.values()):
        if bucket.recent_requests > 0:
            router.placement.track_hot_bucket(bucket)
            spread_count += bucket.spread_size > 0
    return spread_count


def _restore_moves(router: Router, moves: Iterable[MovedBucket], weight: float) -> int:
    """Move buckets again to backends that may serve them; return how many were moved."""
    if weight < MIN_WEIGHT:
        return 0
    moved = 0
    for move in moves:
        target = router.backends.get(move.backend_id)
        if target is None or target is router.origin or target.state != EndpointState.READY:
            continue
        if not _is_used_bucket(router, move):
            continue
        bucket = router.placement.bucket(move.number, move.kinds, move.zones)
        if router.placement.allows(bucket, target):
            bucket.assigned = target
            bucket.chain = None
            moved += 1
    return moved
