"""The origin's model: a bounded line before a few cores, and the place where what it answers is
stored."""

from __future__ import annotations

from dataclasses import dataclass

from hookpitch.fakes.cache import Cache, Make


@dataclass(frozen=True, slots=True)
class OriginMake:
    """`work_ms` a fetch at full speed; a fetch beyond `line` waiting ones never runs (503,
    X-Not-Run)."""

    cores: int = 4
    line: int = 40
    work_ms: float = 20.0


class Origin:
    """Fetches and writes; knows at which caches an RPC missed, and stores its value there."""

    def __init__(self, make: OriginMake, now: float, chance: object) -> None:
        self.work = Make(
            cores=make.cores, line=make.line, plain_ms=make.work_ms, keys=0, connections=1 << 30
        )
        self.queue = Cache("origin", self.work, now, cold=False, chance=chance)
        self.missed: dict[str, list[Cache]] = {}  # by RPC
        self.caches: dict[str, Cache] = {}
        self.fetches = self.writes = 0

    def forget(self) -> None:
        """Its process is no more: neither its work nor who missed what is known to the next one."""
        self.queue = Cache("origin", self.work, 0.0, cold=False, chance=self.queue.chance)
        self.missed.clear()

    def miss(self, rpc: str, cache: Cache) -> None:
        self.missed.setdefault(rpc, []).append(cache)
        if len(self.missed) > 20000:  # those that were never fetched
            self.missed.pop(next(iter(self.missed)))

    def answered(self, rpc: str, key: str, write: bool) -> None:
        """A fetch stores the value where the RPC missed; a write drops the copies."""
        if write:
            self.writes += 1
            for cache in self.caches.values():
                cache.drop(key)
            return
        self.fetches += 1
        for cache in self.missed.pop(rpc, ()):
            cache.store(key)
