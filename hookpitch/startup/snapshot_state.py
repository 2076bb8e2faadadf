"""What is taken from a running node for its snapshot, and what of one a node that starts may
believe.

Each thing learned fades with its age a: it counts by 0.5 ** (a / HALF_LIFE_MS), between what a node
that knows
nothing begins with and what was learned. So a snapshot of an hour ago shuns nobody and trusts
nobody:

- a server's limit and the origin's lie between the start's and the one learned. Nodes that were
  all stopped
  and start together begin at the sum at which they had stopped, which the origin bore;
- a server off the path stays off until its pause would have ended, cut by the age; a server that
  has started
  since (the list tells) is cold, and nothing else of it counts; where all servers would be off,
  none is;
- a cold time that is not over goes on, never for longer than a cold start;
- moved buckets stay moved for as long as what they were moved by is young (a weight of a quarter);
- heavy buckets keep their sightings, faded: their keys are spread from the first RPC on;
- bans by an operator hold as long as the snapshot is taken at all: they are orders, no findings;
- the list goes before the one told at the start where its version is higher; discovery's goes
  before both.

The functions know the decisions' own state (`balancer/decisions.py`) and change it through this
one place.
"""

from __future__ import annotations

from collections.abc import Mapping

from hookpitch.balancer.decisions import BUCKETS, START_CONCURRENCY_LIMIT, Backend, Router
from hookpitch.balancer.interface import Endpoint, EndpointState
from hookpitch.startup.snapshot_format import (
    BackendSnapshot,
    EndpointSnapshot,
    HotBucket,
    MovedBucket,
    Snapshot,
)

HALF_LIFE_MS = 60000.0  # what was learned so long ago counts by half
MIN_WEIGHT = 0.25  # the weight from which on a moved bucket stays where it was moved


def capture(
    router: Router, now: float, fleet: str, name: str, seq: int, dials: Mapping[str, str]
) -> Snapshot:
    """What is known at `now`; `seq` and `dials` as discovery has them. At most a few thousand
    short steps."""
    past = lambda at: at if 0 < at < float("inf") else 0.0  # noqa: E731
    servers = sorted(
        router.backends.values(), key=lambda s: (s is not router.origin, -s.response_count, s.id)
    )
    moved, heavy = [], []
    for (number, kinds, zones), b in router.buckets.items():
        if b.assigned is not None and b.assigned is not b.primary:
            moved.append((-b.rate, MovedBucket(number, kinds, zones, b.assigned.id)))
        if b.recent_requests >= 2:
            heavy.append((-b.recent_requests, HotBucket(number, kinds, zones, b.recent_requests)))
    first = lambda pair: pair[0]  # noqa: E731
    return Snapshot(
        fleet,
        name,
        router.kinds,
        now,
        seq,
        tuple(
            EndpointSnapshot(
                s.id,
                s.zone,
                s.cell,
                past(s.started_at),
                int(s.listed_state),
                s.kind,
                s.size,
                dials[s.id],
            )
            for s in servers
            if s.id in dials and s.listed_state != EndpointState.REMOVED
        ),
        tuple(
            BackendSnapshot(
                s.id,
                past(s.started_at),
                s.concurrency_limit,
                s.latency_ms,
                s.baseline_latency_ms,
                s.consecutive_failures,
                s.ejection_ms,
                past(s.ejected_until) if s.ejected else 0.0,
                past(s.warmup_until),
            )
            for s in servers
        ),
        tuple(m for _, m in sorted(moved, key=first)),
        tuple(h for _, h in sorted(heavy, key=first)),
        router.recent_requests,
        router.unit_latency_ms,
        router.warm_rate,
        min(router.idle_limit_ms, 1e9),
        tuple(router.bans),
    )


def endpoints(snapshot: Snapshot) -> tuple[list[Endpoint], dict[str, str]]:
    """The list that it holds, and where its servers are dialled."""
    some = [
        Endpoint(e.id, e.zone, e.cell, e.started_at_ms, EndpointState(e.state), e.kind, e.size)
        for e in snapshot.endpoints
        if e.state in (EndpointState.READY, EndpointState.DRAINING)
    ]
    return some, {e.id: e.address for e in snapshot.endpoints}


def restore(router: Router, now: float, snapshot: Snapshot) -> str:
    """Told to a node that has its first list and no RPC yet; says in a few words what was
    believed."""
    age = max(0.0, now - snapshot.written_at_ms)
    weight = 0.5 ** (age / HALF_LIFE_MS)

    def between(start: float, learned: float) -> float:
        return start + (learned - start) * weight

    known = {k.id: k for k in snapshot.backends}
    believed: list[tuple[Backend, BackendSnapshot]] = []
    for s in router.backends.values():
        k = known.get(s.id)
        started = s.started_at if s.started_at > 0 else 0.0
        # Danger: what a process had earned, believed of the one after it, which is cold.
        if k is not None and s.state == EndpointState.READY and started <= k.started_at_ms:
            believed.append((s, k))
    for s, k in believed:
        s.concurrency_limit = max(
            s.min_concurrency_limit, between(s.concurrency_limit, k.concurrency_limit)
        )
        s.latency_ms, s.baseline_latency_ms = (
            k.latency_ms * (weight > MIN_WEIGHT),
            k.baseline_latency_ms * (weight > MIN_WEIGHT),
        )
        cold = min(k.warmup_until_ms, now + router.slow_start_ms)
        if cold > max(now, s.warmup_until) and s is not router.origin:
            s.warmup_until, s.warmup_refilled_at, s.warmup_tokens, s.available = (
                cold,
                now,
                0.0,
                False,
            )
    caches = [(s, k) for s, k in believed if s is not router.origin]
    off = [(s, k) for s, k in caches if now < k.ejected_until_ms]
    ready = sum(s.state == EndpointState.READY for s in router.caches)
    if (
        len(off) < ready
    ):  # Danger: all shunned for what one snapshot says; then no one answers at all.
        for s, k in off:
            s.ejected, s.available, s.concurrency_limit, s.consecutive_failures = (
                True,
                False,
                min(s.concurrency_limit, START_CONCURRENCY_LIMIT),
                k.consecutive_failures,
            )
            s.ejection_ms = min(
                8 * router.base_ejection_ms, between(router.base_ejection_ms, k.ejection_ms)
            )
            s.ejected_until = now + min(k.ejected_until_ms - now, s.ejection_ms) * weight
    else:
        off = []
    router.unit_latency_ms, router.warm_rate = (
        snapshot.work_ms * (weight > MIN_WEIGHT),
        between(router.warm_rate, snapshot.warm_rate_per_s),
    )
    if snapshot.max_idle_ms > 0:
        router.idle_limit_ms = min(
            router.max_idle_ms, max(snapshot.max_idle_ms, router.idle_limit_ms * (1 - weight))
        )
    places = {(m.kinds, m.zones) for m in router.methods.values()}
    heavy = 0
    for h in snapshot.hot_buckets:
        if (h.kinds, h.zones) in places and 0 <= h.number < BUCKETS:
            b = router.bucket(h.number, h.kinds, h.zones)
            b.recent_requests += h.request_count * weight
    router.recent_requests += snapshot.request_count * weight
    for b in list(router.buckets.values()):
        if b.recent_requests > 0:
            router.track_hot_bucket(b)
            heavy += b.spread_size > 0
    moved = 0
    for m in snapshot.moved_buckets if weight >= MIN_WEIGHT else ():
        to = router.backends.get(m.backend_id)
        fits = (m.kinds, m.zones) in places and 0 <= m.number < BUCKETS
        if not fits or to is None or to.state != EndpointState.READY or to is router.origin:
            continue
        b = router.bucket(m.number, m.kinds, m.zones)
        if router.allows(b, to):
            b.assigned, b.chain, moved = to, None, moved + 1
    for id in snapshot.banned_ids:
        router.set_banned(now, id, True)
    return (
        f"{len(believed)} servers known, {len(off)} off the path, {moved} buckets moved, {heavy} heavy, "  # noqa: E501
        f"{len(snapshot.banned_ids)} banned, {age / 1000:.0f} s old"
    )
