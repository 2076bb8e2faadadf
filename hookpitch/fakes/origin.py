"""The origin's model: a bounded queue before a few cores, and the caches its answers go to."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hookpitch.fakes.cache import Cache, CacheSpec

MAX_MISSED_RPCS = 20000  # RPCs whose fetch never comes are forgotten beyond this
UNLIMITED_CONNECTIONS = 1 << 30


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """The origin's size; a fetch beyond `queue_limit` waiting ones is refused, not executed."""

    cores: int = 4
    queue_limit: int = 40
    work_ms: float = 20.0  # of a fetch, at full speed


class Origin:
    """Executes fetches and writes; knows which caches an RPC missed, and stores its value there."""

    def __init__(self, spec: OriginSpec, now: float, chance: random.Random) -> None:
        self.work = CacheSpec(
            cores=spec.cores,
            queue_limit=spec.queue_limit,
            default_work_ms=spec.work_ms,
            max_keys=0,
            max_connections=UNLIMITED_CONNECTIONS,
        )
        self.queue = Cache("origin", self.work, now, cold=False, chance=chance)
        self.missed: dict[str, list[Cache]] = {}  # by RPC
        self.caches: dict[str, Cache] = {}

    def restart(self) -> None:
        """Forget the queue and the misses, as a new process would."""
        self.queue = Cache("origin", self.work, 0.0, cold=False, chance=self.queue.chance)
        self.missed.clear()

    def record_miss(self, rpc: str, cache: Cache) -> None:
        """Note that the RPC missed in this cache."""
        self.missed.setdefault(rpc, []).append(cache)
        if len(self.missed) > MAX_MISSED_RPCS:
            self.missed.pop(next(iter(self.missed)))

    def fetched(self, rpc: str, key: str) -> None:
        """Store a fetched key in the caches that the RPC missed."""
        for cache in self.missed.pop(rpc, ()):
            cache.store(key)

    def written(self, key: str) -> None:
        """Drop every cache's copy of a key that was written."""
        for cache in self.caches.values():
            cache.drop(key)
