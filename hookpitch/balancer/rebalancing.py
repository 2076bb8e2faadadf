"""Moves buckets from the heaviest to the lightest cache. Look here when load stays uneven.

The algorithm is the nearest-neighbour policy of "A multi-resource load balancing algorithm for
cloud cache systems", sections 3 and 4; the symbols named in the functions are the paper's.
`Rebalancer` measures the loads and applies one round at a time. State: the values on backends and
buckets; here, only the recently requested keys. Loads are fractions of the mean load of a cache;
rates are RPCs per round.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from hookpitch.balancer.backend import Backend, BackendTable
from hookpitch.balancer.key_generations import KeyGenerations
from hookpitch.balancer.method_load import MethodLoad
from hookpitch.balancer.placement import Bucket, Placement

ROUND_INTERVAL_MS = 2500.0
DEAD_BAND = 1.5  # a round moves buckets only while the heaviest load is this many times the mean
MOVES_PER_CACHE = 4 / 3  # per round, at most
IMPROVEMENT_THRESHOLD = 0.5  # the paper's IT: a round ends once sigma has fallen by this fraction
# Answers needed from a cache before it takes part in a round. With fewer, hundreds of nodes would
# each move keys because of noise, and the caches would miss the moved keys.
MIN_RESPONSES = 8
MAX_KEY_AGE_MS = 12 * ROUND_INTERVAL_MS


class BucketLoad(NamedTuple):
    """The load of one bucket on its cache: the paper's (v, w)."""

    cpu: float
    memory: float
    bucket: Bucket


class Move(NamedTuple):
    """A bucket and the cache that it moves to."""

    bucket: Bucket
    target: Backend


# ---- the algorithm of the paper


def weights(caches: Sequence[Backend]) -> tuple[float, float]:
    """Return lambda and mu (section 3): how scarce CPU is compared with memory."""
    cpu = sum(cache.cpu_load for cache in caches)
    total = sum(cache.cpu_load + cache.memory_load for cache in caches)
    lam = cpu / total if total else 0.5
    return lam, lam * lam / (lam * lam + (1 - lam) ** 2)


def imbalance(caches: Sequence[Backend], mu: float) -> float:
    """Return sigma (section 3): the imbalance of the cluster."""
    cache_count = len(caches)
    mean_cpu = sum(cache.cpu_load for cache in caches) / cache_count
    mean_memory = sum(cache.memory_load for cache in caches) / cache_count
    variance = sum(
        mu * (cache.cpu_load - mean_cpu) ** 2 + (1 - mu) * (cache.memory_load - mean_memory) ** 2
        for cache in caches
    )
    return (variance / cache_count) ** 0.5


def target_point(heaviest: Backend, lightest: Backend, lam: float) -> tuple[float, float]:
    """Return the point h (section 4): the load whose move would balance the two caches."""
    return (
        lam * (heaviest.cpu_load - lightest.cpu_load) / 2,
        (1 - lam) * (heaviest.memory_load - lightest.memory_load) / 2,
    )


def nearest(loads: list[BucketLoad], target: tuple[float, float], lam: float) -> BucketLoad:
    """Return the load nearest to the point h (section 4); a cache has few enough to scan."""
    return min(
        loads,
        key=lambda load: (
            (lam * load.cpu - target[0]) ** 2 + ((1 - lam) * load.memory - target[1]) ** 2
        ),
    )


def _is_allowed_anywhere(bucket: Bucket, cache: Backend) -> bool:
    return True


def migrate(
    caches: list[Backend],
    loads: dict[Backend, list[BucketLoad]],
    allowed: Callable[[Bucket, Backend], bool] = _is_allowed_anywhere,
) -> list[Move]:
    """Return the moves of one round (section 4, figure 3), and apply them to the loads.

    Each step moves the nearest bucket from the heaviest cache to the lightest. The round ends when
    sigma no longer falls or has fallen by IT.
    """
    lam, mu = weights(caches)
    moves: list[Move] = []
    sigma = first_sigma = imbalance(caches, mu)
    while (
        len(moves) < MOVES_PER_CACHE * len(caches)
        and first_sigma - sigma < IMPROVEMENT_THRESHOLD * first_sigma
    ):
        utility = [lam * cache.cpu_load + (1 - lam) * cache.memory_load for cache in caches]
        heaviest = caches[utility.index(max(utility))]
        lightest = caches[utility.index(min(utility))]
        candidates = [load for load in loads[heaviest] if allowed(load.bucket, lightest)]
        if heaviest is lightest or not candidates:
            break
        if max(utility) < DEAD_BAND * sum(utility) / len(caches):
            break
        load = nearest(candidates, target_point(heaviest, lightest, lam), lam)
        # The paper assumes equal caches; here the same traffic is a higher load for a smaller one.
        moved_cpu = load.cpu * (heaviest.size / lightest.size)
        heaviest.cpu_load -= load.cpu
        heaviest.memory_load -= load.memory
        lightest.cpu_load += moved_cpu
        lightest.memory_load += load.memory
        sigma_after = imbalance(caches, mu)
        if sigma_after >= sigma:
            break
        sigma = sigma_after
        loads[heaviest].remove(load)
        loads[lightest].append(BucketLoad(moved_cpu, load.memory, load.bucket))
        moves.append(Move(load.bucket, lightest))
    return moves


# ---- the rounds


class Rebalancer:
    """Measures loads and moves buckets, once per round."""

    def __init__(
        self, now: float, table: BackendTable, placement: Placement, method_load: MethodLoad
    ) -> None:
        self.keys = KeyGenerations(now, MAX_KEY_AGE_MS)
        self._nodes = 1
        self._table = table
        self._placement = placement
        self._method_load = method_load

    def configure(self, nodes: int) -> None:
        """Set the number of nodes that share the fleet's traffic."""
        self._nodes = nodes

    def rebalance(self, now: float) -> None:
        """Run one round over the available caches that have answered enough RPCs."""
        self._method_load.decay()
        if self._placement.reserve_capacity():
            self._placement.assign_all()
        buckets_by_cache = self._measured_caches()
        self.keys.rotate_if_due(now, self._placement.buckets.values())
        self._update_bucket_rates(buckets_by_cache)
        caches = list(buckets_by_cache)
        if len(caches) < 2:
            return
        self._measure_loads(caches, buckets_by_cache)
        loads = {cache: self._bucket_loads(cache, buckets_by_cache[cache]) for cache in caches}
        for bucket, target in migrate(caches, loads, self._placement.allows):
            bucket.assigned.response_count = 0
            target.response_count = 0
            bucket.assigned = target
            bucket.chain = None

    def _measured_caches(self) -> dict[Backend, list[Bucket]]:
        return {
            backend: []
            for backend in self._table.backends.values()
            if backend.available
            and backend.response_count >= MIN_RESPONSES
            and backend is not self._table.origin
        }

    def _update_bucket_rates(self, buckets_by_cache: dict[Backend, list[Bucket]]) -> None:
        decay = self._placement.decay_requests()
        for bucket in self._placement.buckets.values():
            bucket.request_rate = bucket.request_rate / 2 + bucket.request_count / 2
            bucket.request_count = 0
            bucket.recent_requests *= decay
            if bucket.assigned in buckets_by_cache:
                buckets_by_cache[bucket.assigned].append(bucket)

    def _measure_loads(
        self, caches: list[Backend], buckets_by_cache: dict[Backend, list[Bucket]]
    ) -> None:
        """Set the loads of the caches, as fractions of the mean."""
        for cache in caches:
            cache.cpu_load = self._cpu_load(cache) / cache.size
            cache.memory_load = float(sum(bucket.key_count for bucket in buckets_by_cache[cache]))
        mean_cpu = sum(cache.cpu_load for cache in caches) / len(caches)
        mean_memory = sum(cache.memory_load for cache in caches) / len(caches)
        for cache in caches:
            cache.cpu_load = cache.cpu_load / mean_cpu if mean_cpu else 1.0
            cache.memory_load = cache.memory_load / mean_memory if mean_memory else 1.0

    def _cpu_load(self, cache: Backend) -> float:
        """Return the RPCs in service at a cache: its report, or this router's estimate if higher.

        The send rate alone makes an overloaded cache look lightly loaded, because the cache is sent
        little; and a report may be wrong.
        """
        own_load = cache.send_rate * max(1.0, cache.latency_ms) / 1000
        if cache.reported_load < 0:
            return own_load
        return max(cache.reported_load + len(cache.fresh_queue), own_load * self._nodes)

    @staticmethod
    def _bucket_loads(cache: Backend, buckets: list[Bucket]) -> list[BucketLoad]:
        """Return (v, w) of each bucket (section 3), by its part of the cache's rate and keys."""
        rate = sum(bucket.request_rate for bucket in buckets) or 1.0
        keys = sum(bucket.key_count for bucket in buckets) or 1
        return [
            BucketLoad(
                cache.cpu_load * bucket.request_rate / rate,
                cache.memory_load * bucket.key_count / keys,
                bucket,
            )
            for bucket in buckets
        ]
