"""A cache server's model: cores and a bounded queue, keys, a slow start, a connection table and
load reports.

Times are milliseconds; work is milliseconds of a core at full speed. A process that has just
started is slow: its speed rises linearly from `cold_start_speed` to 1 over `slow_start_ms`. If,
while it is cold, more than `crash_load_factor` times its capacity is offered over
`overload_window_ms`, it crashes; its runner then starts it cold again.

Invariants: a job that was accepted finishes once; at most `cores` jobs run and `queue_limit` wait;
a value names the RPC it was made for.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from hookpitch.fakes.timer import NEVER_MS

HIT = "hit"
MISS = "miss"
PENDING = "pending"
FETCH_TIMEOUT_MS = 1000.0  # after it, a key that missed and was not stored misses again
FIXED_WORK_FRACTION = 0.5  # of a job's work; the rest is drawn from an exponential distribution


@dataclass(frozen=True, slots=True)
class CacheSpec:
    """What kind of machine a cache server is."""

    cores: int = 1
    queue_limit: int = 20
    work_ms: Mapping[str, float] = field(default_factory=dict)  # by method
    default_work_ms: float = 1.0  # of a method that is not in `work_ms`
    max_keys: int = 10000
    speed: float = 1.0
    cold_start_speed: float = 0.2
    slow_start_ms: float = 20000.0
    crash_load_factor: float = 3.0
    overload_window_ms: float = 1500.0
    max_connections: int = 100
    full_table_slowdown: float = 0.2  # the fraction of its speed lost with a full table
    connect_work_ms: float = 0.2  # work for a new connection
    report_interval_ms: float = 500.0  # the age that a load report may have


class Job:
    """One attempt at a server. `over`: answered, or nobody waits for the answer."""

    __slots__ = ("rpc", "key", "method", "node", "over")

    def __init__(self, rpc: str, key: str, method: str, node: str) -> None:
        self.rpc = rpc
        self.key = key
        self.method = method
        self.node = node
        self.over = False


class Cache:
    """One process of a cache server."""

    def __init__(
        self, name: str, spec: CacheSpec, now: float, cold: bool, chance: random.Random
    ) -> None:
        self.name = name
        self.spec = spec
        self.chance = chance
        self.started = now if cold else -NEVER_MS
        self.connections = 0
        self.slow = 1.0  # a fault: this many times as slow
        self.overload = 0.0  # the highest load while cold, as a multiple of the capacity
        self._running: list[tuple[float, int, Job]] = []  # a heap, by time of completion
        self._queue: deque[Job] = deque()
        self._keys: OrderedDict[str, None] = OrderedDict()  # the least recently used first
        self._fetching: dict[str, float] = {}  # keys that missed, since when
        self._connect_work_ms = 0.0  # of new connections: added to the next job's
        self._jobs_run = 0
        self._offered: deque[tuple[float, float]] = deque()  # time and work of recent jobs
        self._report = ""
        self._reported = -NEVER_MS

    def speed(self, now: float) -> float:
        """Return the present speed, as a multiple of a core at full speed."""
        spec = self.spec
        warm = 1.0
        if self.is_cold(now):
            warmed_up = (1 - spec.cold_start_speed) * (now - self.started) / spec.slow_start_ms
            warm = spec.cold_start_speed + warmed_up
        table = 1.0
        if self.connections >= spec.max_connections:
            table = 1 - spec.full_table_slowdown
        return spec.speed * warm * table / self.slow

    def is_cold(self, now: float) -> bool:
        """Return whether the process is still in its slow start."""
        return now < self.started + self.spec.slow_start_ms

    def accept_connection(self) -> bool:
        """Add a connection to the table; False if the table is full."""
        if self.connections >= self.spec.max_connections:
            return False
        self.connections += 1
        self._connect_work_ms += self.spec.connect_work_ms
        return True

    def release_connection(self) -> None:
        """Remove a connection from the table."""
        self.connections -= 1

    def begin(self, now: float, job: Job) -> bool:
        """Run or queue a job; False if the queue is full."""
        if len(self._running) < self.spec.cores:
            self._run(now, job)
        elif len(self._queue) < self.spec.queue_limit:
            self._queue.append(job)
        else:
            return False
        self._measure_overload(now, job)
        return True

    def _run(self, now: float, job: Job) -> None:
        work_ms = self._work_ms(job) + self._connect_work_ms
        self._connect_work_ms = 0.0
        drawn = FIXED_WORK_FRACTION + (1 - FIXED_WORK_FRACTION) * self.chance.expovariate(1.0)
        due = now + work_ms * drawn / self.speed(now)
        self._jobs_run += 1
        heapq.heappush(self._running, (due, self._jobs_run, job))

    def _work_ms(self, job: Job) -> float:
        return self.spec.work_ms.get(job.method, self.spec.default_work_ms)

    def _measure_overload(self, now: float, job: Job) -> None:
        """Compare the work offered over the window with what a cold process can do in it."""
        window_ms = self.spec.overload_window_ms
        self._offered.append((now, self._work_ms(job)))
        while self._offered and self._offered[0][0] <= now - window_ms:
            self._offered.popleft()
        if self.is_cold(now):
            capacity_ms = self.spec.cores * self.speed(now) * window_ms
            offered_ms = sum(work_ms for _, work_ms in self._offered)
            self.overload = max(self.overload, offered_ms / capacity_ms)

    def has_crashed(self) -> bool:
        """Return whether the load has gone beyond what a cold process survives."""
        return self.overload > self.spec.crash_load_factor

    @property
    def due(self) -> float:
        """When the next job finishes; infinity if none runs."""
        return self._running[0][0] if self._running else NEVER_MS

    def finish_jobs(self, now: float) -> list[Job]:
        """Return the jobs that are finished, in order, and run queued ones in their place."""
        finished = []
        while self._running and self._running[0][0] <= now:
            job = heapq.heappop(self._running)[2]
            if not job.over:
                finished.append(job)
            self._run_queued(now)
        return finished

    def _run_queued(self, now: float) -> None:
        while self._queue and len(self._running) < self.spec.cores:
            job = self._queue.popleft()
            if not job.over:
                self._run(now, job)

    def cancel(self, job: Job) -> None:
        """Drop the answer to a job: a queued one costs nothing, a running one still runs."""
        job.over = True

    def look_up(self, now: float, job: Job) -> str:
        """Return `HIT`, `MISS`, or `PENDING` for a miss while a fetch of the key is under way."""
        if job.key in self._keys:
            self._keys.move_to_end(job.key)
            return HIT
        since = self._fetching.get(job.key)
        if since is not None and now - since < FETCH_TIMEOUT_MS:
            return PENDING
        self._fetching[job.key] = now
        return MISS

    def store(self, key: str) -> None:
        """Store a key; the least recently used ones are evicted."""
        self._fetching.pop(key, None)
        self._keys[key] = None
        self._keys.move_to_end(key)
        while len(self._keys) > self.spec.max_keys:
            self._keys.popitem(last=False)

    def drop(self, key: str) -> None:
        """Remove a key, if it is there."""
        self._keys.pop(key, None)

    def flush(self) -> None:
        """Remove all keys."""
        self._keys.clear()

    def report(self, now: float) -> str:
        """Return the load report, renewed once it is `report_interval_ms` old."""
        if now - self._reported >= self.spec.report_interval_ms:
            self._reported = now
            queued = len(self._queue)
            self._report = f"outstanding={len(self._running) + queued},backlog={queued}"
        return self._report


def make_value(rpc: str, key: str, server: str, size: int = 0) -> bytes:
    """Return a value made for one RPC, of `size` bytes or more; checks know it by its beginning."""
    text = f"{rpc}:{key}:{server}:".encode()
    return text + b"v" * max(0, size - len(text))


def no_minimum_size(key: str) -> int:
    """Return 0: every value is as small as it can be."""
    return 0
