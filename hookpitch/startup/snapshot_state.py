"""What a router has learned, taken into a snapshot, and what of a snapshot a new router may trust.

Everything learned decays with its age a: it counts with weight 0.5 ** (a / HALF_LIFE_MS), between
the value of a router that knows nothing and the value learned. So an hour-old snapshot neither
ejects nor favours a backend:

- concurrency limits, the origin's among them, lie between the initial and the learned one. Nodes
  that were all stopped and start together begin at the sum at which they had stopped, which the
  origin bore;
- an ejected backend stays ejected until its ejection would have ended, shortened by the age; one
  that has restarted since (by discovery's word) starts warm-up, and nothing else of it counts;
  where all backends would be ejected, none is;
- a warm-up that is not over goes on, never for longer than a whole one;
- moved buckets stay moved while the reason for it is young (a weight of a quarter);
- hot buckets keep their request counts, decayed: their keys are spread from the first RPC on;
- an operator's bans hold as long as the snapshot is accepted at all: they are orders, not findings;
- the endpoint list overrides the configured one where its version is higher; discovery's overrides
  both.

Only this module reads and writes the router's inner state (`balancer/`) on behalf of snapshots.
Times are Unix milliseconds given by the caller. No I/O and no clock.
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

# What was learned so long ago counts by half.
HALF_LIFE_MS = 60000.0
# Below this weight moves are forgotten, and so are latencies.
MIN_WEIGHT = 0.25
MIN_HOT_REQUESTS = 2.0
MAX_IDLE_MS = 1e9
MAX_EJECTION_FACTOR = 8


class RestoredBackend(NamedTuple):
    """A backend of the router, and what the snapshot has of the same process."""

    backend: Backend
    learned: BackendSnapshot


# ---- capture


def capture(
    router: Router, now: float, fleet: str, name: str, version: int, addresses: Mapping[str, str]
) -> Snapshot:
    """What the router knows at `now`, in at most a few thousand short steps.

    `fleet` and `name` identify the node; `version` and `addresses` (by endpoint) are discovery's.
    """
    backends = sorted(
        router.backends.values(), key=lambda s: (s is not router.origin, -s.response_count, s.id)
    )
    return Snapshot(
        fleet=fleet,
        node=name,
        kinds=router.table.kind_names,
        written_at_ms=now,
        version=version,
        endpoints=tuple(
            _captured_endpoint(backend, addresses[backend.id])
            for backend in backends
            if backend.id in addresses and backend.listed_state != EndpointState.REMOVED
        ),
        backends=tuple(_captured_backend(backend) for backend in backends),
        moved_buckets=_captured_moves(router),
        hot_buckets=_captured_hot_buckets(router),
        request_count=router.placement.recent_requests,
        work_ms=router.concurrency.unit_latency_ms,
        warm_rate_per_s=router.slow_start.warm_rate,
        max_idle_ms=min(router.idle_connections.idle_limit_ms, MAX_IDLE_MS),
        banned_ids=tuple(router.bans),
    )


def _time_or_never(at: float) -> float:
    """A time as it is stored: 0 where there is none."""
    return at if 0 < at < float("inf") else 0.0


def _captured_endpoint(backend: Backend, address: str) -> EndpointSnapshot:
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


def _captured_backend(backend: Backend) -> BackendSnapshot:
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


def _captured_moves(router: Router) -> tuple[MovedBucket, ...]:
    """Buckets that are away from their primary, the busiest first."""
    moved = [
        (bucket.request_rate, MovedBucket(number, kinds, zones, bucket.assigned.id))
        for (number, kinds, zones), bucket in router.placement.buckets.items()
        if bucket.assigned is not None and bucket.assigned is not bucket.primary
    ]
    moved.sort(key=lambda pair: -pair[0])
    return tuple(bucket for _, bucket in moved)


def _captured_hot_buckets(router: Router) -> tuple[HotBucket, ...]:
    """Buckets with many requests, the most first."""
    hot = [
        HotBucket(number, kinds, zones, bucket.recent_requests)
        for (number, kinds, zones), bucket in router.placement.buckets.items()
        if bucket.recent_requests >= MIN_HOT_REQUESTS
    ]
    hot.sort(key=lambda bucket: -bucket.request_count)
    return tuple(hot)


# ---- restore


def stored_endpoints(snapshot: Snapshot) -> tuple[list[Endpoint], dict[str, str]]:
    """The endpoint list of a snapshot, and the address of each endpoint."""
    listed = [
        Endpoint(e.id, e.zone, e.cell, e.started_at_ms, EndpointState(e.state), e.kind, e.size)
        for e in snapshot.endpoints
        if e.state in (EndpointState.READY, EndpointState.DRAINING)
    ]
    return listed, {e.id: e.address for e in snapshot.endpoints}


def restore(router: Router, now: float, snapshot: Snapshot) -> str:
    """Put what may be trusted into a router that has its first list and no RPC yet.

    Returns a summary for the log.
    """
    age_ms = max(0.0, now - snapshot.written_at_ms)
    weight = 0.5 ** (age_ms / HALF_LIFE_MS)
    restored = _same_processes(router, snapshot.backends)
    for backend, learned in restored:
        _restore_backend(router, now, backend, learned, weight)
    ejected = _restore_ejections(router, now, restored, weight)
    _restore_rates(router, snapshot, weight)
    hot = _restore_hot_buckets(router, snapshot, weight)
    moved = _restore_moves(router, snapshot.moved_buckets, weight)
    for id in snapshot.banned_ids:
        router.set_banned(now, id, True)
    return (
        f"{len(restored)} servers known, {ejected} off the path, {moved} buckets moved, "
        f"{hot} heavy, {len(snapshot.banned_ids)} banned, {age_ms / 1000:.0f} s old"
    )


def _decayed(initial: float, learned: float, weight: float) -> float:
    return initial + (learned - initial) * weight


def _same_processes(router: Router, known: Iterable[BackendSnapshot]) -> list[RestoredBackend]:
    """Ready backends of which the snapshot knows the same process.

    A process that has started since is cold, whatever the one before it had earned.
    """
    by_id = {learned.id: learned for learned in known}
    found = []
    for backend in router.backends.values():
        learned = by_id.get(backend.id)
        if learned is None or backend.state != EndpointState.READY:
            continue
        if _time_or_never(backend.started_at) <= learned.started_at_ms:
            found.append(RestoredBackend(backend, learned))
    return found


def _restore_backend(
    router: Router, now: float, backend: Backend, learned: BackendSnapshot, weight: float
) -> None:
    """Concurrency limit, latencies and the rest of a warm-up."""
    limit = _decayed(backend.concurrency_limit, learned.concurrency_limit, weight)
    backend.concurrency_limit = max(backend.min_concurrency_limit, limit)
    young = weight > MIN_WEIGHT
    backend.latency_ms = learned.latency_ms if young else 0.0
    backend.baseline_latency_ms = learned.baseline_latency_ms if young else 0.0
    warmup_until = min(learned.warmup_until_ms, now + router.slow_start.duration_ms)
    if warmup_until > max(now, backend.warmup_until) and backend is not router.origin:
        backend.warmup_until = warmup_until
        backend.warmup_refilled_at = now
        backend.warmup_tokens = 0.0
        backend.available = False


def _restore_ejections(
    router: Router, now: float, restored: Iterable[RestoredBackend], weight: float
) -> int:
    """Eject again what is still to be ejected; how many.

    None where it would be every ready cache: then no one would answer at all.
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
    longest = MAX_EJECTION_FACTOR * router.outliers.base_ejection_ms
    backend.ejection_ms = min(
        longest, _decayed(router.outliers.base_ejection_ms, learned.ejection_ms, weight)
    )
    left = min(learned.ejected_until_ms - now, backend.ejection_ms)
    backend.ejected_until = now + left * weight


def _restore_rates(router: Router, snapshot: Snapshot, weight: float) -> None:
    """Service time, warm rate and the idle time of connections."""
    router.concurrency.unit_latency_ms = snapshot.work_ms if weight > MIN_WEIGHT else 0.0
    router.slow_start.warm_rate = _decayed(
        router.slow_start.warm_rate, snapshot.warm_rate_per_s, weight
    )
    if snapshot.max_idle_ms > 0:
        longest = max(snapshot.max_idle_ms, router.idle_connections.idle_limit_ms * (1 - weight))
        router.idle_connections.idle_limit_ms = min(router.idle_connections.max_idle_ms, longest)


def _is_bucket_of(router: Router, bucket: MovedBucket | HotBucket) -> bool:
    """Whether some method of this router uses such a bucket."""
    if not 0 <= bucket.number < BUCKETS:
        return False
    return any((m.kinds, m.zones) == (bucket.kinds, bucket.zones) for m in router.methods.values())


def _restore_hot_buckets(router: Router, snapshot: Snapshot, weight: float) -> int:
    """Request counts of hot buckets, decayed; how many buckets are spread by them."""
    for hot in snapshot.hot_buckets:
        if _is_bucket_of(router, hot):
            bucket = router.placement.bucket(hot.number, hot.kinds, hot.zones)
            bucket.recent_requests += hot.request_count * weight
    router.placement.recent_requests += snapshot.request_count * weight
    spread = 0
    for bucket in list(router.placement.buckets.values()):
        if bucket.recent_requests > 0:
            router.placement.track_hot_bucket(bucket)
            spread += bucket.spread_size > 0
    return spread


def _restore_moves(router: Router, moves: Iterable[MovedBucket], weight: float) -> int:
    """Move buckets again to backends that may serve them; how many."""
    if weight < MIN_WEIGHT:
        return 0
    moved = 0
    for move in moves:
        target = router.backends.get(move.backend_id)
        if target is None or target is router.origin or target.state != EndpointState.READY:
            continue
        if not _is_bucket_of(router, move):
            continue
        bucket = router.placement.bucket(move.number, move.kinds, move.zones)
        if router.placement.allows(bucket, target):
            bucket.assigned = target
            bucket.chain = None
            moved += 1
    return moved
