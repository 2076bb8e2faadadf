"""The model of the origin: cores with a bounded queue, and the caches to store answers in."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hookpitch.fakes.cache import Cache, CacheSpec

MAX_MISSED_RPCS = 20000  # the oldest ones are dropped, as some RPCs never fetch their key
UNLIMITED_CONNECTIONS = 1 << 30


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """The capacity of the origin.

    A fetch that arrives while `queue_limit` fetches wait is rejected without being executed.
    """

    cores: int = 4
    queue_limit: int = 40
    work_ms: float = 20.0  # work of one fetch or write, at full speed


class Origin:
    """Executes fetches and writes, and updates the caches accordingly.

    A fetched key is stored in every cache in which the RPC missed; a written key is removed from
    all caches.
    """

    def __init__(self, spec: OriginSpec, now: float, rng: random.Random) -> None:
        self.queue_spec = CacheSpec(
            cores=spec.cores,
            queue_limit=spec.queue_limit,
            default_work_ms=spec.work_ms,
            max_keys=0,
            max_connections=UNLIMITED_CONNECTIONS,
        )
        self.job_queue = Cache("origin", self.queue_spec, now, cold=False, rng=rng)
        self.missed_caches: dict[str, list[Cache]] = {}  # caches in which an RPC missed, by RPC
        self.caches: dict[str, Cache] = {}

    def restart(self) -> None:
        """Discard the queue and the recorded misses, as a restart of the process does."""
        self.job_queue = Cache("origin", self.queue_spec, 0.0, cold=False, rng=self.job_queue.rng)
        self.missed_caches.clear()

    def record_miss(self, rpc: str, cache: Cache) -> None:
        """Record that an RPC missed in a cache."""
        self.missed_caches.setdefault(rpc, []).append(cache)
        if len(self.missed_caches) > MAX_MISSED_RPCS:
            self.missed_caches.pop(next(iter(self.missed_caches)))

    def store_fetched(self, rpc: str, key: str) -> None:
        """Store a fetched key in the caches in which the RPC missed."""
        for cache in self.missed_caches.pop(rpc, ()):
            cache.store(key)

    def invalidate(self, key: str) -> None:
        """Remove a written key from all caches."""
        for cache in self.caches.values():
            cache.drop(key)
