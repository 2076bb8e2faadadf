"""A cache server's model: cores and a bounded line, keys, a cold start, a table of connections,
load
reports.

Work is told in milliseconds of a core at full speed. A server that has just started is slow: its
speed
rises from `cold_from` to 1 over `cold_ms`. Pushed (asked for more than `fall_multiple` times what
it can
do, over `tip_ms` on end, while cold) it falls over: it dies, and starts again cold by whoever runs
it.

Invariants: a job begun ends once; at most `cores` are in work and `line` wait; a value names the
RPC it
was made for. Source of the figures' meaning: the platform's protocol (hits, misses, reports,
tables of
connections).
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

FAR = float("inf")


@dataclass(frozen=True, slots=True)
class Make:
    """What kind of machine a cache server is."""

    cores: int = 1
    line: int = 20  # jobs that wait at the most
    work_ms: Mapping[str, float] = field(default_factory=dict)  # by method, on a core at full speed
    plain_ms: float = 1.0  # of a method that is not named
    keys: int = 10000
    speed: float = 1.0
    cold_from: float = 0.2
    cold_ms: float = 20000.0
    fall_multiple: float = 3.0
    tip_ms: float = 1500.0
    connections: int = 100
    full_tax: float = 0.2  # of its speed, lost with the table full
    dial_ms: float = 0.2  # work for a new connection
    report_ms: float = 500.0  # how old its load report may be


class Job:
    """One transmission at a server."""

    __slots__ = ("rpc", "key", "method", "node", "came", "done", "left", "over")

    def __init__(self, rpc: str, key: str, method: str, node: str, came: float) -> None:
        self.rpc, self.key, self.method, self.node, self.came = rpc, key, method, node, came
        self.done = FAR  # when its work is over
        self.over = False  # answered, or nobody waits


class Cache:
    """One process of a cache server."""

    def __init__(self, name: str, make: Make, now: float, cold: bool, chance: object) -> None:
        """`chance`: a `random.Random`, of which only `random` and `expovariate` are used."""
        self.name, self.make, self.chance = name, make, chance
        self.started = now if cold else -FAR
        self.work: list[tuple[float, int, Job]] = []  # in work, by when they end
        self.line: deque[Job] = deque()
        self.kept: OrderedDict[str, None] = OrderedDict()
        self.fetching: dict[str, float] = {}  # keys that missed, since when
        self.connections = 0
        self.slow = 1.0  # a fault: this many times as slow
        self.owed = 0.0  # work that no job has asked for: connections
        self._n = 0
        self._offered = deque[tuple[float, float]]()  # work asked for, by when
        self._report, self._reported = "", -FAR
        self.worst = 0.0  # the farthest that it was pushed while cold, as a multiple

    def speed(self, now: float) -> float:
        """Of a core at full speed."""
        m = self.make
        warm = 1.0
        if now < self.started + m.cold_ms:
            warm = m.cold_from + (1 - m.cold_from) * (now - self.started) / m.cold_ms
        full = 1 - m.full_tax * (self.connections >= m.connections)
        return m.speed * warm * full / self.slow

    def cold(self, now: float) -> bool:
        return now < self.started + self.make.cold_ms

    def connected(self, now: float) -> bool:
        """Whether a new connection is taken."""
        if self.connections >= self.make.connections:
            return False
        self.connections += 1
        self.owed += self.make.dial_ms
        return True

    def disconnected(self) -> None:
        self.connections -= 1

    def begin(self, now: float, job: Job) -> bool:
        """Take a job; False where the line is full."""
        if len(self.work) < self.make.cores:
            self._work(now, job)
        elif len(self.line) < self.make.line:
            self.line.append(job)
        else:
            return False
        self._push(now, job)
        return True

    def _work(self, now: float, job: Job) -> None:
        need = self.make.work_ms.get(job.method, self.make.plain_ms) + self.owed
        self.owed = 0.0
        job.done = now + need * (0.5 + 0.5 * self.chance.expovariate(1.0)) / self.speed(now)
        self._n += 1
        heapq.heappush(self.work, (job.done, self._n, job))

    def _push(self, now: float, job: Job) -> None:
        """How far it is pushed: work asked for over a window against what it can do in it."""
        m = self.make
        self._offered.append((now, m.work_ms.get(job.method, m.plain_ms)))
        while self._offered and self._offered[0][0] <= now - m.tip_ms:
            self._offered.popleft()
        if self.cold(now):
            able = m.cores * self.speed(now) * m.tip_ms
            self.worst = max(self.worst, sum(w for _, w in self._offered) / able)

    def fallen(self) -> bool:
        return self.worst > self.make.fall_multiple

    @property
    def due(self) -> float:
        """When the next job ends; infinity where none is in work."""
        return self.work[0][0] if self.work else FAR

    def ended(self, now: float) -> list[Job]:
        """Jobs whose work is over, in order; waiting ones are taken into work."""
        done = []
        while self.work and self.work[0][0] <= now:
            job = heapq.heappop(self.work)[2]
            if not job.over:
                done.append(job)
            self._next(now)
        return done

    def _next(self, now: float) -> None:
        while self.line and len(self.work) < self.make.cores:
            job = self.line.popleft()
            if not job.over:
                self._work(now, job)

    def dropped(self, now: float, job: Job) -> None:
        """Nobody waits for it any more: one in the line costs nothing, one in work is finished for
        nothing."""
        job.over = True

    def look_up(self, now: float, job: Job) -> str:
        """hit, miss, or pending: a miss while another fetch of the key is out."""
        if job.key in self.kept:
            self.kept.move_to_end(job.key)
            return "hit"
        since = self.fetching.get(job.key)
        if since is not None and now - since < 1000.0:
            return "pending"
        self.fetching[job.key] = now
        return "miss"

    def store(self, key: str) -> None:
        self.fetching.pop(key, None)
        self.kept[key] = None
        self.kept.move_to_end(key)
        while len(self.kept) > self.make.keys:
            self.kept.popitem(last=False)

    def drop(self, key: str) -> None:
        self.kept.pop(key, None)

    def flush(self) -> None:
        self.kept.clear()

    def report(self, now: float) -> str:
        """Its load, as old as `report_ms` may make it."""
        if now - self._reported >= self.make.report_ms:
            busy = len(self.work)
            self._reported = now
            self._report = f"outstanding={busy + len(self.line)},backlog={len(self.line)}"
        return self._report


def value(rpc: str, key: str, server: str, size: int = 0) -> bytes:
    """A value made for one RPC: the judge knows it by its beginning."""
    text = f"{rpc}:{key}:{server}:".encode()
    return text + b"v" * max(0, size - len(text))
