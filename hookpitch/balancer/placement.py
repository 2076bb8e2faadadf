"""Assigns buckets of keys to caches. Look here when a cache gets too much load or the wrong keys.

State: `buckets`, created on first use, one for each number and set of constraints. A bucket's
`primary` is its cache by the ring, `assigned` the cache that it is sent to now (a rebalancing round
may move it), `chain` its failover order, computed on first use. Invariants: `assigned` differs from
`primary` only after a move, and only while the assigned cache is ready and allowed; the constraints
of a method always hold, and the origin is always allowed. A hot bucket is spread over replicas,
among which each router draws its own preference. Sizes are in units of a cache of size one,
`recent_requests` is in RPCs.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from zlib import crc32

from hookpitch.balancer.backend import Backend, BackendTable
from hookpitch.balancer.interface import EndpointState, Method
from hookpitch.balancer.method_load import MethodLoad
from hookpitch.balancer.ring import INDEX_BITS, INDEX_MASK, HashRing

BUCKETS = 4096  # about a hundred for each cache in a fleet of forty
CHAIN_LENGTH = 8  # backends considered along the ring for a failover chain
# A bucket is spread over several caches if its part of the traffic, times this factor, exceeds its
# primary's part of the total size.
SPREAD_FACTOR = 3.0
# A router estimates a bucket's part of its traffic from recent requests. Each round reduces the
# total of all buckets to at most this many RPCs.
MAX_RECENT_REQUESTS = 512
PRIOR_RPCS = 40.0  # assumed for each method in advance, so that all routers start alike
MIN_UNCONSTRAINED_FRACTION = 0.5
FRACTION_TOLERANCE = 0.15  # a smaller change does not justify moving buckets

Constraints = tuple[str, ...]  # kinds or zones that a method is restricted to; empty: any


class Bucket:
    """A part of the key space, which moves between caches as a whole."""

    __slots__ = (
        "assigned",
        "chain",
        "request_count",
        "key_count",
        "kinds",
        "point",
        "primary",
        "request_rate",
        "recent_requests",
        "spread_size",
        "zones",
    )

    def __init__(self, number: int, kinds: Constraints = (), zones: Constraints = ()) -> None:
        self.point = crc32(b"bucket/%d" % number) << INDEX_BITS
        self.kinds = kinds
        self.zones = zones
        self.primary: Backend | None = None
        self.assigned: Backend | None = None
        self.chain: list[Backend] | None = None
        self.request_count = 0  # RPCs since the last round
        self.request_rate = 0.0  # RPCs per round, smoothed
        self.key_count = 0  # distinct keys requested recently
        self.recent_requests = 0.0
        self.spread_size = 0.0  # total size of the caches that a hot bucket is spread over


class Placement:
    """The buckets, and the caches that they are assigned to."""

    def __init__(
        self, seed: int, table: BackendTable, ring: HashRing, method_load: MethodLoad
    ) -> None:
        self.buckets: dict[tuple[int, Constraints, Constraints], Bucket] = {}
        self.recent_requests = 0.0  # of all buckets
        self.total_size = 1.0  # of the caches that are not removed
        # The number of ready caches that each set of constraints allows; at 0, the ring is not
        # searched.
        self.allowed_counts: dict[tuple[Constraints, Constraints], int] = {}
        self._seed = seed
        self._table = table
        self._ring = ring
        self._method_load = method_load
        self._methods: tuple[Method, ...] = ()

    def configure(self, methods: tuple[Method, ...]) -> None:
        """Apply new methods; buckets stay assigned as they are until the ring changes."""
        self._methods = methods

    def allows(self, target: Bucket | Method, backend: Backend) -> bool:
        """Return whether the constraints of a bucket or method allow a backend.

        A backend of unknown kind or zone meets no constraint; the origin is always allowed.
        """
        if target.kinds and self._table.kind_name(backend.kind) not in target.kinds:
            return backend is self._table.origin
        return not target.zones or backend.zone in target.zones or backend is self._table.origin

    def bucket(self, number: int, kinds: Constraints = (), zones: Constraints = ()) -> Bucket:
        """Return a bucket, which is created and assigned on first use."""
        bucket = self.buckets.get((number, kinds, zones))
        if bucket is None:
            bucket = self.buckets[number, kinds, zones] = Bucket(number, kinds, zones)
            self.assign_primary(bucket)
        return bucket

    def ring_changed(self) -> None:
        """Recompute sizes, counts and assignments after the ring or a backend's state changed."""
        caches = self._ring.caches
        self.total_size = sum(
            cache.size for cache in caches if cache.state != EndpointState.REMOVED
        )
        self.allowed_counts = {
            (method.kinds, method.zones): sum(
                cache.state == EndpointState.READY and self.allows(method, cache)
                for cache in caches
            )
            for method in self._methods
        }
        self.reserve_capacity()
        self.assign_all()

    def assign_all(self) -> None:
        """Recompute the primary of every bucket."""
        for bucket in self.buckets.values():
            self.assign_primary(bucket)

    def assign_primary(self, bucket: Bucket) -> None:
        """Set a bucket's primary from the ring; keep a move while its cache is usable."""
        was_moved = bucket.assigned is not bucket.primary
        bucket.chain = None
        bucket.primary = next(iter(self.replicas(bucket)), None)
        assigned = bucket.assigned
        if (
            not was_moved
            or assigned is None
            or assigned.state != EndpointState.READY
            or not self.allows(bucket, assigned)
        ):
            bucket.assigned = bucket.primary

    def replicas(self, bucket: Bucket) -> list[Backend]:
        """Return the caches that a bucket is spread over, in this router's order of preference."""
        preference: dict[Backend, float] = {}
        remaining_size = bucket.spread_size
        for cache in self.ready_from(bucket):
            if cache in preference:
                continue
            # The exponent makes each cache's chance to be preferred proportional to its size.
            draw = crc32(b"%d/%d/" % (self._seed, bucket.point) + cache.id.encode()) / 2**32
            preference[cache] = draw ** (1 / cache.size)
            remaining_size -= cache.size
            if remaining_size <= 0:
                break
        return sorted(preference, key=preference.__getitem__, reverse=True)

    def track_hot_bucket(self, bucket: Bucket) -> None:
        """Count an RPC of a bucket, and spread the bucket if it is too hot for one cache."""
        bucket.recent_requests += 1
        self.recent_requests += 1
        # The square root allows for chance, so that a few requests do not spread a bucket.
        excess = max(0.0, bucket.recent_requests - 1 - bucket.recent_requests**0.5)
        observed_requests = max(self.recent_requests, MAX_RECENT_REQUESTS / 4)
        spread_size = SPREAD_FACTOR * self.total_size * excess / observed_requests
        if bucket.primary and (
            spread_size > max(1.5 * bucket.spread_size, bucket.primary.size)
            or spread_size < bucket.spread_size / 4
        ):
            bucket.spread_size = spread_size
            self.assign_primary(bucket)

    def decay_requests(self) -> float:
        """Decay the total of past requests; return the factor for the counts of the buckets."""
        decay = min(1.0, MAX_RECENT_REQUESTS / max(1.0, self.recent_requests))
        self.recent_requests *= decay
        return decay

    def ready_from(self, bucket: Bucket) -> Iterator[Backend]:
        """Yield the ready caches open to a bucket, along the ring from the bucket's point."""
        points, caches = self._ring.points, self._ring.caches
        constrained = bucket.kinds or bucket.zones
        if self.allowed_counts.get((bucket.kinds, bucket.zones), 1) <= 0:
            return
        start, length = bisect_left(points, bucket.point), len(points)
        for position in range(start, start + length):
            point = points[position % length]
            cache = caches[point & INDEX_MASK]
            # The low byte of a point's hash decides whether unconstrained buckets may use it.
            if cache.state == EndpointState.READY and (
                self.allows(bucket, cache)
                if constrained
                else point >> INDEX_BITS & 0xFF < cache.unconstrained_fraction * 256
            ):
                yield cache

    def failover_chain(self, bucket: Bucket) -> list[Backend]:
        """Return a bucket's failover order: its assigned cache, its replicas, then the ring."""
        if bucket.chain is None:
            first = [bucket.assigned] if bucket.assigned else []
            chain = dict.fromkeys(first + self.replicas(bucket)[:CHAIN_LENGTH])
            allowed_count = self.allowed_counts.get((bucket.kinds, bucket.zones), CHAIN_LENGTH)
            for cache in self.ready_from(bucket):
                chain[cache] = None
                if len(chain) >= min(CHAIN_LENGTH, allowed_count):
                    break
            bucket.chain = list(chain)
        return bucket.chain

    def reserve_capacity(self) -> bool:
        """Reserve capacity for constrained methods on the few caches that they may use.

        Returns True if the `unconstrained_fraction` of a cache changed, so that the buckets have to
        be assigned again.
        """
        constrained = [method for method in self._methods if method.kinds or method.zones]
        ready = [cache for cache in self._ring.caches if cache.state == EndpointState.READY]
        if not constrained or not ready:
            return False
        load = self._method_load.load
        allowed_sizes = [
            (method, sum(cache.size for cache in ready if self.allows(method, cache)))
            for method in constrained
        ]
        mean_load = sum(load.values(), PRIOR_RPCS * len(load)) / sum(cache.size for cache in ready)
        changed = False
        for cache in ready:
            own_loads = [
                (PRIOR_RPCS + load[method.name]) / size
                for method, size in allowed_sizes
                if self.allows(method, cache)
            ]
            fraction = max(MIN_UNCONSTRAINED_FRACTION, 1 - sum(own_loads) / mean_load)
            if abs(fraction - cache.unconstrained_fraction) > FRACTION_TOLERANCE:
                cache.unconstrained_fraction = fraction
                changed = True
        return changed
