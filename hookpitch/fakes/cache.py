"""The model of a cache server: cores, a job queue, keys, slow start, connections, load reports.

Times are in milliseconds; work is in milliseconds of one core at full speed. A process that has
just started is slow: its speed rises linearly from `cold_start_speed` to 1 over `slow_start_ms`.
A cold process counts as crashed once the work offered during `overload_window_ms` is more than
`crash_load_factor` times its capacity: the server then records the event `fell`, and the model
keeps running.

Invariants: an accepted job finishes at most once; at most `cores` jobs run and at most
`queue_limit` jobs wait; a value names the RPC that it was made for.
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
FETCH_TIMEOUT_MS = 1000.0  # a key that is not stored within this time counts as a miss again
FIXED_WORK_FRACTION = 0.5  # of a job's work; the rest follows an exponential distribution


@dataclass(frozen=True, slots=True)
class CacheSpec:
    """The capacity and the limits of a cache server."""

    cores: int = 1
    queue_limit: int = 20
    work_ms: Mapping[str, float] = field(default_factory=dict)  # work of one job, by method
    default_work_ms: float = 1.0  # work of a job whose method is not in `work_ms`
    max_keys: int = 10000
    speed: float = 1.0  # speed of a core after slow start, as a multiple of full speed
    cold_start_speed: float = 0.2
    slow_start_ms: float = 20000.0
    crash_load_factor: float = 3.0
    overload_window_ms: float = 1500.0
    max_connections: int = 100
    full_table_slowdown: float = 0.2  # fraction of the speed lost while the table is full
    connect_work_ms: float = 0.2  # work for a new connection
    report_interval_ms: float = 500.0  # time between two updates of the load report


class Job:
    """One attempt that a server works on.

    `is_done` is set once the job is answered or its answer is no longer awaited.
    """

    __slots__ = ("rpc", "key", "method", "node", "is_done")

    def __init__(self, rpc: str, key: str, method: str, node: str) -> None:
        self.rpc = rpc
        self.key = key
        self.method = method
        self.node = node
        self.is_done = False


class Cache:
    """One process of a cache server."""

    def __init__(
        self, name: str, spec: CacheSpec, now_ms: float, cold: bool, rng: random.Random
    ) -> None:
        self.name = name
        self.spec = spec
        self.rng = rng
        self.started_ms = now_ms if cold else -NEVER_MS
        self.connection_count = 0
        self.slowdown = 1.0  # a fault: jobs take this many times as long
        self.peak_overload = 0.0  # the highest load while cold, as a multiple of the capacity
        self._running: list[tuple[float, int, Job]] = []  # a heap ordered by completion time
        self._queue: deque[Job] = deque()
        self._keys: OrderedDict[str, None] = OrderedDict()  # the least recently used key first
        self._fetching: dict[str, float] = {}  # start times of pending fetches, by key
        self._connect_work_ms = 0.0  # work for new connections, added to the work of the next job
        self._jobs_run = 0
        self._offered: deque[tuple[float, float]] = deque()  # times and work of recent jobs
        self._load_report = ""
        self._reported_ms = -NEVER_MS

    def speed(self, now_ms: float) -> float:
        """Return the current speed as a multiple of one core at full speed."""
        spec = self.spec
        warmup_factor = 1.0
        if self.is_cold(now_ms):
            speed_gain = (
                (1 - spec.cold_start_speed) * (now_ms - self.started_ms) / spec.slow_start_ms
            )
            warmup_factor = spec.cold_start_speed + speed_gain
        table_factor = 1.0
        if self.connection_count >= spec.max_connections:
            table_factor = 1 - spec.full_table_slowdown
        return spec.speed * warmup_factor * table_factor / self.slowdown

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the process is still in slow start."""
        return now_ms < self.started_ms + self.spec.slow_start_ms

    def accept_connection(self) -> bool:
        """Add a connection to the table; return False if the table is full."""
        if self.connection_count >= self.spec.max_connections:
            return False
        self.connection_count += 1
        self._connect_work_ms += self.spec.connect_work_ms
        return True

    def release_connection(self) -> None:
        """Remove a connection from the table."""
        self.connection_count -= 1

    def begin(self, now_ms: float, job: Job) -> bool:
        """Run or queue a job; return False if the queue is full."""
        if len(self._running) < self.spec.cores:
            self._run(now_ms, job)
        elif len(self._queue) < self.spec.queue_limit:
            self._queue.append(job)
        else:
            return False
        self._measure_overload(now_ms, job)
        return True

    def _run(self, now_ms: float, job: Job) -> None:
        work_ms = self._work_ms(job) + self._connect_work_ms
        self._connect_work_ms = 0.0
        random_factor = FIXED_WORK_FRACTION + (1 - FIXED_WORK_FRACTION) * self.rng.expovariate(1.0)
        due_ms = now_ms + work_ms * random_factor / self.speed(now_ms)
        self._jobs_run += 1
        heapq.heappush(self._running, (due_ms, self._jobs_run, job))

    def _work_ms(self, job: Job) -> float:
        return self.spec.work_ms.get(job.method, self.spec.default_work_ms)

    def _measure_overload(self, now_ms: float, job: Job) -> None:
        """Compare the work offered during the window with the capacity of a cold process."""
        window_ms = self.spec.overload_window_ms
        self._offered.append((now_ms, self._work_ms(job)))
        while self._offered and self._offered[0][0] <= now_ms - window_ms:
            self._offered.popleft()
        if self.is_cold(now_ms):
            capacity_ms = self.spec.cores * self.speed(now_ms) * window_ms
            offered_ms = sum(work_ms for _, work_ms in self._offered)
            self.peak_overload = max(self.peak_overload, offered_ms / capacity_ms)

    def is_overloaded(self) -> bool:
        """Return whether the load while cold has exceeded what a real process would survive."""
        return self.peak_overload > self.spec.crash_load_factor

    @property
    def next_due_ms(self) -> float:
        """Return the time at which the next job finishes; infinity if no job runs."""
        return self._running[0][0] if self._running else NEVER_MS

    def finish_jobs(self, now_ms: float) -> list[Job]:
        """Return the finished jobs in order of completion, and run queued jobs in their place."""
        finished = []
        while self._running and self._running[0][0] <= now_ms:
            job = heapq.heappop(self._running)[2]
            if not job.is_done:
                finished.append(job)
            self._run_queued(now_ms)
        return finished

    def _run_queued(self, now_ms: float) -> None:
        while self._queue and len(self._running) < self.spec.cores:
            job = self._queue.popleft()
            if not job.is_done:
                self._run(now_ms, job)

    def cancel(self, job: Job) -> None:
        """Drop the answer to a job.

        A queued job is then skipped; a running job still occupies its core.
        """
        job.is_done = True

    def look_up(self, now_ms: float, job: Job) -> str:
        """Return `HIT`, `MISS`, or `PENDING` for a miss during a fetch of the same key."""
        if job.key in self._keys:
            self._keys.move_to_end(job.key)
            return HIT
        since = self._fetching.get(job.key)
        if since is not None and now_ms - since < FETCH_TIMEOUT_MS:
            return PENDING
        self._fetching[job.key] = now_ms
        return MISS

    def store(self, key: str) -> None:
        """Store a key and evict the least recently used keys beyond `max_keys`."""
        self._fetching.pop(key, None)
        self._keys[key] = None
        self._keys.move_to_end(key)
        while len(self._keys) > self.spec.max_keys:
            self._keys.popitem(last=False)

    def drop(self, key: str) -> None:
        """Remove a key if it is stored."""
        self._keys.pop(key, None)

    def flush(self) -> None:
        """Remove all keys."""
        self._keys.clear()

    def load_report(self, now_ms: float) -> str:
        """Return the load report, updated at most every `report_interval_ms`."""
        if now_ms - self._reported_ms >= self.spec.report_interval_ms:
            self._reported_ms = now_ms
            queued = len(self._queue)
            self._load_report = f"outstanding={len(self._running) + queued},backlog={queued}"
        return self._load_report


def make_value(rpc: str, key: str, server: str, size: int = 0) -> bytes:
    """Return a value of `size` bytes or more for one RPC.

    The value begins with the RPC, the key and the server, by which checks recognize it.
    """
    text = f"{rpc}:{key}:{server}:".encode()
    return text + b"v" * max(0, size - len(text))


def no_minimum_size(key: str) -> int:
    """Return 0 for every key: values need no padding."""
    return 0
