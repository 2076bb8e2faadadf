"""Every decision of one node: keys hash into buckets, buckets are homed on a ring, rounds move
them.

Tell a `Node` what happens, then call `decide(now, host)` until it returns False. Reasons:
docs/design.md."""

from __future__ import annotations

import heapq
from array import array
from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from hashlib import shake_128
from itertools import count
from zlib import crc32

from hookpitch.balancer.interface import (
    NOT_EXECUTED,
    Deployment,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Method,
    Outcome,
    Report,
    RouterHost,
)

BUCKETS = 4096  # the unit moved; a hundred for each cache of a fleet of forty
RING_POINTS = 150  # of a cache of mean size
CHAIN = 8  # servers looked at along the ring
SPREAD = (
    3.0  # a bucket that is more than its home's part of the fleet over this is spread over several
)
RECALL = 512  # RPCs by which a node tells a bucket's part of its traffic
ROUND_MS = 2500.0  # half the design page's starting value
DEAD_BAND = 1.5  # a round acts only when the heaviest is this many times the mean
MOVE_CAP = 4 / 3  # buckets a round for each cache
IMPROVEMENT = 0.5  # the paper's IT: a round stops once sigma has fallen by this share
EVIDENCE = 8  # answers from a cache before it takes part in a round
KEYS_KEPT = 16 * BUCKETS  # a generation of distinct keys ends when it holds this many,
AGE = 12  # or after this many rounds
PATIENCE = 0.4  # of the soft deadline: no word at all from a server for this long counts against it
COPY_BY = 0.65  # of the soft deadline: a second copy goes out by then, where copies are allowed
TARGET = 0.5  # of the soft deadline: answers slower than this shrink the origin's limit,
SLOW = 0.2  # and slower than this a cache's
WAIT = 0.3  # of what is left: the longest stay in a line
START_CONCURRENCY_LIMIT = (
    2.0  # transmissions out at a server we know nothing of, or that is back on the path
)
SAVED = 12.0  # RPCs of a share that a node may save up, however small its part of the quota
ORIGIN_START = 64.0, 12.0  # transmissions out at the origin at the start: over all nodes; at one
ORIGIN_LEAST = 6.0, 1 / 4  # the lowest limit there: over all nodes; at one
SHED_FROM = 0.2  # of what is within shares turned away or late: from here on less is let in
ONE_OFF = (
    Outcome.MALFORMED,
    Outcome.RESET,
)  # tells of one connection: the same server may be asked again
STRIKES = 3  # failures in a row that take a server off the path
TRIALS, TRIAL = 10.0, 0.05  # second opinions on errors: saved up at the most; for each good answer
PRIOR = 40.0  # RPCs of each method taken for seen before any is: all nodes begin alike
LEAST_FREE, SLACK = (
    0.5,
    0.15,
)  # of its points, a server's least for what is not bound; a change that counts
EASE = 1.5  # times its usual mean answer: from here on the origin is crowded
# Danger: a CRC is linear; seeds and counters that follow one another draw alike.
STIR = 0x9E3779B97F4A7C15
FAR = float("inf")
Place = tuple[bool, float, int, "Rpc"]  # in a line: over share, -gain, arrival
Places = tuple[str, ...]  # kinds or locations that a method is bound to; none: all are open to it


class Backend:  # all that is known of one cache server, or of the origin
    def __init__(self, id: str) -> None:
        self.id, self.state, self.zone, self.cell, self.size, self.kind = (
            id,
            EndpointState.REMOVED,
            "",
            0,
            1.0,
            0,
        )
        self.listed_state, self.removal_advised = (
            EndpointState.REMOVED,
            False,
        )  # advised: listed as gone, which binds nothing; READY
        self.in_flight: dict[Attempt, None] = {}  # transmissions out, oldest first
        self.concurrency_limit, self.min_concurrency_limit, self.limit_growth, self.latency_ms = (
            START_CONCURRENCY_LIMIT,
            1.0,
            1.0,
            0.0,
        )
        self.consecutive_failures, self.ejected_until, self.ejection_ms, self.ejected = (
            0,
            0.0,
            0.0,
            False,
        )
        self.last_response_at = self.last_failure_at = self.paused_until = self.started_at = (
            self.warmup_until
        ) = -FAR
        self.recovered_at, self.baseline_latency_ms = (
            -FAR,
            0.0,
        )  # on the path again; the least that its mean answer has been
        self.warmup_tokens, self.warmup_refilled_at, self.warmup_gain = (
            0.0,
            0.0,
            1.0,
        )  # while cold; boost: part of the node's
        self.connected, self.last_send_at, self.send_count, self.send_rate = (
            False,
            -FAR,
            0,
            0.0,
        )  # a connection; the latest send
        self.reported_load = -1.0  # as told; -1 where it is not
        self.fresh_queue, self.retry_queue = (
            list[Place](),
            list[Place](),
        )  # lines; further transmissions have their own
        self.cpu_load, self.memory_load, self.ring_points, self.response_count = (
            0.0,
            0.0,
            0,
            0,
        )  # the mechanism's loads; points on the ring
        self.unconstrained_fraction = (
            1.0  # the part of its points at which it takes what is bound to no servers
        )
        self.available = (
            False  # ready, on the path and warm: the ordinary path asks no more than this
        )


class Bucket:  # the unit that is moved between caches
    def __init__(self, number: int, kinds: Places = (), zones: Places = ()) -> None:
        self.point, self.kinds, self.zones = crc32(b"bucket/%d" % number) << 16, kinds, zones
        self.primary: Backend | None = None
        self.assigned: Backend | None = None
        self.chain: list[Backend] | None = None  # along the ring, home first; made when asked for
        self.count, self.rate, self.keys = 0, 0.0, 0
        self.recent_requests, self.spread_size = (
            0.0,
            0.0,
        )  # lately asked for; of a heavy bucket: the size it is spread over


class Attempt:
    def __init__(self, rpc: Rpc, server: Backend, n: int, sent: float) -> None:
        self.rpc, self.backend, self.n, self.sent = rpc, server, n, sent
        self.done = self.counted = self.begun = self.slow = self.spoilt = (
            False  # slow: one more may go out
        )
        self.ran = True  # it may have, until proven otherwise


class Rpc:
    def __init__(
        self, n: int, id: str, key: str, bucket: Bucket, method: Method, write: bool
    ) -> None:
        self.n, self.id, self.key, self.bucket, self.method, self.write = (
            n,
            id,
            key,
            bucket,
            method,
            write,
        )
        self.deadline = self.objective = self.queue_deadline = (
            0.0  # line: when its stay in one is over; 0 when in none
        )
        self.queued_at: Backend | None = None  # in whose
        self.over_quota = self.missed = self.closed = self.rejected = self.overflowed = (
            False  # onward: a line was in vain
        )
        self.unservable = False  # fails anywhere, as far as is known
        self.suspect: Backend | None = (
            None  # answered it with an error; what another says will tell
        )
        self.token_bucket: TokenBucket | None = None  # whose tokens it took
        self.attempts, self.in_flight, self.slow = (
            list[Attempt](),
            0,
            0,
        )  # out; of these: silent, and another may be sent


class TokenBucket:  # a customer's share at this node, as tokens
    def __init__(self, rate: float, now: float) -> None:
        # Danger: hundreds of nodes, a quota under one RPC a window for each: all are over it for
        # good.
        self.rate, self.capacity, self.tokens, self.filled_at = (
            rate,
            rate * ROUND_MS / 5 + SAVED,
            SAVED / 4,
            now,
        )

    def exhausted(self, now: float) -> bool:
        self.tokens, self.filled_at = (
            min(self.capacity, self.tokens + (now - self.filled_at) * self.rate),
            now,
        )
        return self.tokens < 1


Load = tuple[float, float, Bucket]  # (v, w) of a bucket


def weights(caches: Sequence[Backend]) -> tuple[float, float]:  # the paper's lambda and mu
    cpu, both = sum(s.cpu_load for s in caches), sum(s.cpu_load + s.memory_load for s in caches)
    lam = cpu / both if both else 0.5
    return lam, lam * lam / (lam * lam + (1 - lam) ** 2)


def imbalance(caches: Sequence[Backend], mu: float) -> float:  # the paper's sigma of the cluster
    k = len(caches)
    mc, mm = sum(s.cpu_load for s in caches) / k, sum(s.memory_load for s in caches) / k
    return (
        sum(mu * (s.cpu_load - mc) ** 2 + (1 - mu) * (s.memory_load - mm) ** 2 for s in caches) / k
    ) ** 0.5


def target_point(a: Backend, b: Backend, lam: float) -> tuple[float, float]:
    return lam * (a.cpu_load - b.cpu_load) / 2, (1 - lam) * (
        a.memory_load - b.memory_load
    ) / 2  # the paper's h


def nearest(loads: list[Load], h: tuple[float, float], lam: float) -> Load:  # a scan of one cache's
    return min(loads, key=lambda p: (lam * p[0] - h[0]) ** 2 + ((1 - lam) * p[1] - h[1]) ** 2)


def migrate(
    caches: list[Backend],
    loads: dict[Backend, list[Load]],
    fits: Callable[[Bucket, Backend], bool] = lambda *_: True,
) -> list[tuple[Bucket, Backend]]:
    """One round: move nearest-neighbour buckets from heaviest to lightest while sigma falls, until
    IT."""
    lam, mu = weights(caches)
    moves: list[tuple[Bucket, Backend]] = []
    sigma = begun = imbalance(caches, mu)
    while len(moves) < MOVE_CAP * len(caches) and begun - sigma < IMPROVEMENT * begun:
        utility = [lam * s.cpu_load + (1 - lam) * s.memory_load for s in caches]
        a, b = caches[utility.index(max(utility))], caches[utility.index(min(utility))]
        held = [load for load in loads[a] if fits(load[2], b)]
        if a is b or not held or max(utility) < DEAD_BAND * sum(utility) / len(caches):
            break
        v, w, bucket = point = nearest(held, target_point(a, b, lam), lam)
        ratio = (
            a.size / b.size
        )  # the same traffic weighs more on a smaller cache; the paper's are all equal
        a.cpu_load, a.memory_load, b.cpu_load, b.memory_load = (
            a.cpu_load - v,
            a.memory_load - w,
            b.cpu_load + v * ratio,
            b.memory_load + w,
        )
        after = imbalance(caches, mu)
        if after >= sigma:
            break
        sigma = after
        loads[a].remove(point)
        loads[b].append((v * ratio, w, bucket))
        moves.append((bucket, b))
    return moves


class Router:  # one instance: it shares nothing with any other
    def __init__(self, now: float, d: Deployment) -> None:
        self.now, self.seed, self.draws, self.process_share = (
            now,
            d.seed,
            count((d.seed + 1) * STIR, STIR),
            1.0,
        )
        self.token_buckets, self.arrival_mix, self.kinds = (
            dict[str, TokenBucket](),
            dict[str, float](),
            d.kinds,
        )
        self.backends, self.rpcs, self.bans = (
            dict[str, Backend](),
            dict[str, Rpc](),
            dict[str, None](),
        )
        self.origin, self.ring = (
            None,
            array("Q"),
        )  # a point, and in sixteen bits a cache's place in `caches`
        # Asked for so far, one for each placement; all on the ring.
        self.buckets, self.caches = dict[tuple[int, Places, Places], Bucket](), list[Backend]()
        # RPCs of the buckets' `seen`; sizes of all caches; the usual time of an answer by one of
        # size one
        self.recent_requests, self.size, self.unit_latency_ms, self.allowed_counts = (
            0.0,
            1.0,
            0.0,
            dict[tuple[Places, Places], int](),
        )
        self.idle_to_close, self.freed = deque[Backend](), deque[Backend]()
        self.pending, self.cancellations, self.log_lines = (
            deque[Rpc](),
            deque[Attempt](),
            deque[str](maxlen=8),
        )
        self.recent_keys, self.older_keys = (
            dict[str, Bucket](),
            dict[str, Bucket](),
        )  # keys asked for, in two generations
        self.timers: list[tuple[float, int, Rpc, Attempt | None]] = []
        self.armed, self.aged_at, self.points_per_size, self.rates_updated_at, self.warm_rate = (
            FAR,
            now,
            0.0,
            now,
            0.0,
        )
        self.arrival_count, self.rejected_count, self.pressure, self.shed = (
            1,
            0,
            0.0,
            0.0,
        )  # shed: turned away at the door
        self.overload, self.read_delay_ms, self.stalled_at, self.warmup_gain = (
            0.0,
            0.0,
            -FAR,
            1.0,
        )  # the node's own; of the cold
        self.method_load, self.typical_work_ms = (
            dict[str, float](),
            0.0,
        )  # work lately asked for; its unit in ms
        self.second_opinions, self.idle_limit_ms, self.idle_growth = (
            TRIALS,
            0.0,
            1.3,
        )  # second opinions; how long one may be idle
        self.reconfigured(now, d)
        self.next_rate_update, self.next_rebalance = (
            now + self.rate_window_ms,
            now + ROUND_MS * (1 + self.chance()),
        )

    def reconfigured(self, now: float, d: Deployment) -> None:
        """New settings. RPCs in flight keep their deadlines; what is known of servers and shares
        stays."""
        self.now, self.methods, self.nodes = now, {m.name: m for m in d.methods}, max(1, d.nodes)
        self.max_attempts = d.max_attempts
        self.cancellation_enabled, self.hedging_allowed, self.tenants = (
            d.cancellation_enabled,
            d.hedging_allowed,
            d.tenants,
        )
        self.set_process_count(now, 1 / self.process_share)
        for rpc in self.rpcs.values():  # Danger: servers may know repeats for less long by now.
            rpc.method = rpc.method.under(self.methods.get(rpc.method.name))
        for rpc in (
            self.rpcs.values() if not d.hedging_allowed else ()
        ):  # where they were allowed until now
            self.cancellations.extend(tx for tx in rpc.attempts if tx.slow and not tx.done)
        self.tick, self.margin, self.retry_after = (
            d.tick_ms or 1.0,
            2 * d.tick_ms + 1,
            d.max_retry_after_ms,
        )
        self.base_ejection_ms = 2 * min(
            (m.soft_ms for m in d.methods), default=1000.0
        )  # the first time off the path
        self.removal_is_advisory = d.removal_is_advisory
        self.max_warmup_gain, self.over_quota_gain_factor = (
            max(1.0, d.overload_factor / 1.5),
            d.over_quota_gain_factor,
        )
        self.slow_start_fraction, self.slow_start_ms, self.rate_window_ms = (
            d.slow_start_fraction,
            d.slow_start_ms,
            d.overload_window_ms or 1000.0,
        )
        self.max_idle_ms = (
            self.base_ejection_ms * d.connection_open_cost / d.connection_hold_cost
            if d.connection_hold_cost > 0
            else d.connection_idle_timeout_ms
        )
        self.min_idle_ms = (
            self.max_idle_ms
            if d.connection_hold_cost > 0
            else min(self.max_idle_ms, self.base_ejection_ms)
        )
        self.idle_limit_ms = min(
            max(self.idle_limit_ms, self.min_idle_ms), self.max_idle_ms
        )  # Danger: who came first keeps tables full
        self.arrival_bands = self.shedding_bands = self.priority_bands(
            dict.fromkeys(self.methods, 1.0)
        )  # parts: as they come in
        self.arrival_mix = {name: self.arrival_mix.get(name, 0.0) for name in self.methods}
        self.method_load = {name: self.method_load.get(name, 0.0) for name in self.methods}
        before, self.kinds, self.origin_kind = self.kinds, d.kinds, d.origin_kind
        self.nominal_sizes = (
            dict[int, float]() if d.weights_reflect_load else None
        )  # sizes move with load: a kind's largest
        for s in self.backends.values():
            name = before[s.kind] if 0 <= s.kind < len(before) else ""
            s.kind, s.reported_load = d.kinds.index(name) if name in d.kinds else -2, -1.0
            if d.weights_reflect_load:
                self.nominal_sizes[s.kind] = max(s.size, self.nominal_sizes.get(s.kind, 0.0))

    # ---- inputs: they update what is known, nothing else

    def update_endpoints(self, now: float, kind: EndpointUpdate, entries: list[Endpoint]) -> None:
        self.now = now
        listed, changed, resized = {e.id for e in entries}, False, list[Backend]()
        for e in entries:
            s = self.backends.get(e.id) or self.backends.setdefault(e.id, Backend(e.id))
            started = e.started_ms if e.started_ms > 0 else -FAR
            if (
                e.state == EndpointState.READY or self.removal_is_advisory
            ) and started > s.started_at:
                self.reroute_pending(s, True)
                s.started_at, s.consecutive_failures, s.ejected = started, 0, False
                s.last_response_at, s.concurrency_limit = (
                    -FAR,
                    min(s.concurrency_limit, START_CONCURRENCY_LIMIT),
                )
                self.start_warmup(s, started)
            changed |= s.listed_state != e.state or (s.zone, s.kind) != (e.zone, e.kind)
            size = max(e.size, 1e-3)
            if (
                self.nominal_sizes is not None
            ):  # Danger: sizes that move with load move the ring at every list.
                full = self.nominal_sizes[e.kind] = max(size, self.nominal_sizes.get(e.kind, 0.0))
                s.reported_load, size = (full / size - 1) * full, full
            if e.state == EndpointState.READY and (not s.ring_points or s.size != size):
                resized.append(s)
            s.zone, s.cell, s.size, s.kind = e.zone, e.cell, size, e.kind
            if e.kind == self.origin_kind and s.min_concurrency_limit == 1.0:
                s.min_concurrency_limit, s.concurrency_limit = (
                    min(one, n / self.nodes) for n, one in (ORIGIN_LEAST, ORIGIN_START)
                )
            self.set_state(s, e.state)
        for s in self.backends.values() if kind != EndpointUpdate.DELTA else ():
            if s.id not in listed and s.listed_state != EndpointState.REMOVED:
                changed = True
                self.set_state(s, EndpointState.REMOVED)
        if changed or resized:
            self.rebuild_ring(resized)

    def set_banned(self, now: float, id: str, banned: bool) -> None:
        """An operator leaves a server out, or takes it back; whatever any list says until then."""
        self.now, s, before = now, self.backends.get(id), id in self.bans
        self.bans = {b: None for b in self.bans if b != id} | ({id: None} if banned else {})
        if s is None or banned == before:
            return
        if (
            not banned
        ):  # Danger: what was restarted while out is cold; old strikes would keep it waiting.
            s.consecutive_failures, s.ejected, s.ejection_ms, s.concurrency_limit = (
                0,
                False,
                0.0,
                min(s.concurrency_limit, START_CONCURRENCY_LIMIT),
            )
            self.start_warmup(s, now)
        self.set_state(s, s.listed_state)
        self.rebuild_ring([] if s.ring_points or s.state != EndpointState.READY else [s])

    def set_process_count(self, now: float, processes: float) -> None:
        """So many processes are this one node for now: budgets of cold servers and quotas are the
        node's."""
        self.now, was, self.process_share, before = (
            now,
            self.process_share,
            1 / processes,
            self.token_buckets,
        )
        if (
            self.origin and not self.origin.response_count
        ):  # Danger: beside the old one it asks for as much again
            self.origin.concurrency_limit *= self.process_share / was
        rate = (
            self.process_share / 1000 / self.nodes
        )  # of a quota a second over all nodes, to this one's a ms
        self.token_buckets = {
            c.name: TokenBucket(c.quota_per_s * rate, now)
            for c in self.tenants
            if c.quota_per_s > 0
        }
        for name, share in self.token_buckets.items():
            if name in before:
                before[name].exhausted(now)
                share.tokens = min(share.capacity, before[name].tokens)

    def rpc_arrived(
        self,
        now: float,
        id: str,
        key: str,
        method: str,
        tenant: str,
        write: bool,
        grace: float,
        age: float = 0.0,
        work: float = 0.0,
    ) -> None:
        self.now = now
        if id in self.rpcs:
            return
        m = self.methods.get(method) or Method(
            method, grace, grace, 0.0, 0.0, Idempotency.NON_IDEMPOTENT
        )
        # A keyless RPC still needs a bucket: any will do.
        number = crc32(key.encode() or b"%d/%d" % (self.seed, next(self.draws))) % BUCKETS
        bucket = self.bucket(number, m.kinds, m.zones)
        if key and key not in self.recent_keys:
            bucket.keys += key not in self.older_keys
            self.recent_keys[key] = self.older_keys.get(key, bucket)
        if method in self.method_load:
            self.typical_work_ms += (
                (work - self.typical_work_ms) * (0.05 if self.typical_work_ms else 1.0)
                if work > 0
                else 0.0
            )
            self.method_load[method] += work / self.typical_work_ms if work > 0 else 1.0
        self.track_hot_bucket(bucket)
        bucket.count, rpc = bucket.count + 1, Rpc(next(self.draws), id, key, bucket, m, write)
        useful = grace if m.late_gain > 0 else min(grace, m.soft_ms)
        # Danger: what stood unread here has that much less time; `grace` counts from when it came.
        rpc.deadline, rpc.objective = (
            now + useful - age - self.margin,
            now + m.soft_ms - age - self.margin,
        )
        share = self.token_buckets.get(
            tenant
        )  # Danger: those over it in others' way, or lost to an idle fleet
        rpc.over_quota = share is not None and share.exhausted(now)
        if share and not rpc.over_quota:
            share.tokens, rpc.token_bucket = share.tokens - 1, share
        rpc.rejected = (
            rpc.over_quota
            and self.chance() >= self.over_quota_gain_factor + 1 - self.pressure / SHED_FROM
        )
        low, width = self.shedding_bands.get(method, (0.0, 1.0))  # among the methods, by gain
        if self.shed > 0 and share is None and low + width * self.chance() < self.shed:
            rpc.rejected = rpc.over_quota = True
        self.arrival_count, self.rpcs[id] = self.arrival_count + (not rpc.over_quota), rpc
        self.pending.append(rpc)

    def attempt_ended(
        self, now: float, id: str, n: int, outcome: Outcome, last: bool, took: float, report: Report
    ) -> None:
        self.now = now
        rpc = self.rpcs.get(id)
        tx = rpc.attempts[n] if rpc and 0 <= n < len(rpc.attempts) else None
        if rpc is None or tx is None or tx.done:
            return
        tx.done, tx.ran, s = True, outcome not in NOT_EXECUTED, tx.backend
        tx.spoilt = outcome in ONE_OFF or (
            outcome == Outcome.CANCELLED and s.last_response_at > tx.sent
        )
        rpc.in_flight, rpc.slow = rpc.in_flight - 1, rpc.slow - tx.slow
        s.in_flight.pop(tx, None)
        answered = outcome <= Outcome.MISS or outcome == Outcome.TIMEOUT
        away = (
            tx.sent < self.stalled_at
        )  # Danger: the node's own pause taken for its servers' fault
        late = now - self.read_delay_ms >= rpc.objective and not away and not tx.begun
        self.rejected_count += late and answered and s is not self.origin and not rpc.over_quota
        if report and self.nominal_sizes is None:
            held = report.get("utilisation", report.get("inflight", report.get("queue", -2.0) + 1))
            s.reported_load += (held - s.reported_load) / 8 if s.reported_load >= 0 else held + 1
        if outcome <= Outcome.MISS:
            self.record_response(
                tx, took, outcome == Outcome.COMPLETED and not (rpc.write and s is self.origin)
            )
            if (
                rpc.suspect not in (None, s, self.origin) and not rpc.unservable
            ):  # another can do what it could not
                self.record_failure(rpc.suspect)
                rpc.suspect = None
        elif outcome == Outcome.OVERLOADED:
            # Danger: what warm servers refuse, taken for what they can do, pushes the cold ones
            # over.
            s.last_response_at, s.warmup_gain, s.response_count, s.send_count = (
                now,
                1 / self.max_warmup_gain,
                s.response_count + 1,
                s.send_count - 1,
            )
            s.latency_ms += (rpc.method.soft_ms - s.latency_ms) * 0.1
        elif outcome == Outcome.ERROR and (
            s is not self.origin or now - s.last_response_at <= self.base_ejection_ms
        ):
            # Danger: RPCs that fail anywhere take every server off the path, and their tries crowd
            # the rest.
            rpc.unservable = rpc.suspect is not None or self.second_opinions < 1
            rpc.suspect = s
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MALFORMED):
            # Danger: a server that refuses after failures died and comes back cold, maybe
            # unannounced. What fails by turns is off at one failure: from its second fall on, one
            # refusal says
            # as much.
            died = (
                s.consecutive_failures > 1 or self.now < s.recovered_at + 8 * self.base_ejection_ms
            )
            died &= 2 * sum(c.consecutive_failures > 0 for c in self.caches) <= len(self.caches)
            if outcome == Outcome.CONNECT_FAILED and died and s.started_at < tx.sent:
                self.start_warmup(s, now)
            # Danger: a limit cut for what befalls any server, or each slip of the one origin,
            # starves all.
            if now - s.last_response_at > self.base_ejection_ms or not (
                s is self.origin or outcome == Outcome.MALFORMED
            ):
                self.record_failure(s)
        elif outcome == Outcome.TIMEOUT and max(s.last_response_at, s.last_failure_at) < tx.sent:
            if not tx.counted and not away:
                self.record_failure(s)
        # Danger: one out from each of hundreds of nodes is a crowd for one server.
        span = max(took, s.latency_ms if outcome <= Outcome.MISS else TARGET * rpc.method.soft_ms)
        s.paused_until = now + span * (1 / min(s.concurrency_limit, 1.0) - 1) * (
            0.5 + self.chance()
        )
        if s.fresh_queue or s.retry_queue:
            self.freed.append(s)
        rpc.missed |= outcome == Outcome.MISS
        if last or rpc.closed:
            self.close(rpc)
        else:
            self.pending.append(rpc)

    def stream_started(self, now: float, id: str, n: int) -> None:
        self.now = now
        rpc = self.rpcs.get(id)
        if rpc is not None and 0 <= n < len(rpc.attempts) and not rpc.attempts[n].done:
            tx = rpc.attempts[n]
            tx.counted, tx.begun, tx.slow, rpc.slow, rpc.queue_deadline = (
                True,
                True,
                False,
                rpc.slow - tx.slow,
                0.0,
            )
            self.cancellations.extend(
                copy for copy in rpc.attempts if not copy.done and copy is not tx
            )
            self.record_response(tx, now - tx.sent, False)

    def client_disconnected(self, now: float, id: str) -> None:
        self.now = now
        rpc = self.rpcs.get(id)
        if rpc is not None and not rpc.closed:
            self.close(rpc)

    def timer_fired(self, now: float) -> None:
        self.now = now  # the time asked for by `wake` has come

    def overload_measured(self, now: float, burden: float, lag: float = 0.0) -> None:
        """Of a window: the part of what came in that the node cannot do; how many ms it stood
        unread."""
        self.now, self.overload, self.read_delay_ms = now, burden, lag
        if burden > 0 and any(self.arrival_mix.values()):
            self.arrival_bands = self.priority_bands(self.arrival_mix)
        for name in self.arrival_mix:
            self.arrival_mix[name] *= 0.9

    def priority_bands(self, mix: dict[str, float]) -> dict[str, tuple[float, float]]:
        at, bands, gains = (
            0.0,
            dict[str, tuple[float, float]](),
            {m.gain for m in self.methods.values()},
        )
        for gain in sorted(
            gains
        ):  # of methods that gain alike: where they begin among all, how wide
            alike = [name for name in mix if self.methods[name].gain == gain]
            width = sum(mix[name] for name in alike) / sum(mix.values())
            bands, at = bands | dict.fromkeys(alike, (at, width)), at + width
        return bands

    def event_loop_stalled(self, now: float) -> None:
        """The node itself did nothing for a while: what was out then tells nothing of its
        servers."""
        self.now = self.stalled_at = now

    def shed_delay(self, now: float, method: str, tenant: str, age: float) -> float:
        """At the door, before an RPC costs anything: when to come back, in ms; under 0 where it is
        let in."""
        self.now, m = now, self.methods.get(method)
        if m is None:
            return -1.0
        self.arrival_mix[method] += 1
        if self.overload <= 0:
            return -1.0
        share, (low, width) = self.token_buckets.get(tenant), self.arrival_bands[method]
        # Danger: what is over a share, gains least or is too late already, in the place of the
        # rest.
        spent = (share and share.exhausted(now)) or (
            m.late_gain <= 0 and age > (1 - WAIT) * m.soft_ms
        )
        if not spent and low + width * self.chance() >= self.overload:
            return -1.0
        return (
            min(self.retry_after, m.soft_ms) * (0.5 + self.chance() / 2)
            if self.retry_after > 0
            else 0.0
        )

    # ---- decisions, one a call

    def decide(self, now: float, host: RouterHost) -> bool:
        self.now = now
        self.run_due_timers()
        while self.cancellations:
            tx = self.cancellations.popleft()
            if not tx.done and self.cancellation_enabled:
                host.cancel(tx.rpc.id, tx.n)
                return True
        if self.idle_to_close:  # by the latest beat; nothing was sent since
            host.close_idle(self.idle_to_close.popleft().id)
            return True
        while self.pending:
            rpc = self.pending.popleft()
            if not (
                rpc.closed or rpc.queue_deadline or rpc.in_flight > rpc.slow * self.hedging_allowed
            ) and self.route(rpc, host):
                return True
        while self.freed:
            s = self.freed[0]
            rpc = self.next_queued(s) if self.has_capacity(s) else None
            if rpc is not None:
                self.send(rpc, s, host)
                return True
            self.freed.popleft()
        if self.log_lines:
            host.log(self.log_lines.popleft())
            return True
        due = min(
            self.timers[0][0] if self.timers else FAR, self.next_rate_update, self.next_rebalance
        )
        due = max(due, now + self.tick / 2)
        # Danger: a wake late, or rounded to just before its time, must cost no RPC its answer.
        if asks := due < self.armed - self.tick / 4 or self.armed <= now + self.tick / 4:
            self.armed = due
            host.schedule_wakeup(due)
        return asks

    def run_due_timers(self) -> None:
        now = self.now
        while self.timers and self.timers[0][0] <= now:
            _, _, rpc, tx = heapq.heappop(self.timers)
            if tx is None:
                if rpc.queue_deadline and rpc.queue_deadline <= now and not rpc.closed:
                    # Danger: refused for its own home's line while the next along the ring stands
                    # idle.
                    stuck = (
                        rpc.overflowed
                        or rpc.over_quota
                        or rpc.queued_at is self.origin
                        or self.origin_congested()
                    )
                    rpc.queue_deadline, rpc.rejected, rpc.overflowed = 0.0, stuck, True
                    self.pending.append(rpc)
                elif rpc.queued_at:
                    self.freed.append(rpc.queued_at)
            elif now < (
                anew := max(tx.sent + self.read_delay_ms, self.stalled_at)
                + PATIENCE * rpc.method.soft_ms
            ):
                if (
                    not tx.done
                ):  # Danger: an answer that stands unread here taken for its server's silence
                    heapq.heappush(self.timers, (anew, next(self.draws), rpc, tx))
            elif not (
                tx.done
                or tx.counted
                or tx.backend is self.origin
                and tx.backend.last_response_at < tx.sent
            ):
                # Danger: a server silent since the send looks idle; one lost answer holds its RPC
                # to the end.
                s, lost, tx.counted = tx.backend, not any(t.counted for t in rpc.attempts), True
                if s.last_response_at < tx.sent >= s.last_failure_at:
                    self.record_failure(s)
                calm = lost and self.pressure < SHED_FROM / 2
                ease = (
                    self.origin.latency_ms < rpc.method.soft_ms / 3 if self.origin else calm
                )  # or it stops
                if (
                    ease
                    if self.hedging_allowed
                    else calm
                    if s.last_response_at > tx.sent
                    else s.consecutive_failures > 1
                ):
                    self.cancel_or_hedge(tx)
        if now >= self.next_rate_update:
            self.update_rates()
        if now >= self.next_rebalance:
            self.next_rebalance = now + ROUND_MS
            self.rebalance()

    def route(self, rpc: Rpc, host: RouterHost) -> bool:  # True where the host was told something
        now, tries = self.now, len(rpc.attempts)
        if (
            rpc.rejected
            or rpc.unservable
            or tries >= self.max_attempts
            or rpc.deadline - now <= self.margin
        ):
            return self.reject(rpc, host)
        if self.origin_kind >= 0 and (
            rpc.write or rpc.missed or rpc.slow or 0 < tries == self.max_attempts - 1
        ):
            return self.send_or_enqueue(rpc, self.origin, host)
        s = rpc.bucket.assigned
        if tries or rpc.overflowed or s is None or not s.available or not self.has_capacity(s):
            s = self.select_failover(rpc)
            if rpc.rejected:
                return self.reject(rpc, host)
        return self.send_or_enqueue(rpc, s, host)

    def send_or_enqueue(
        self, rpc: Rpc, s: Backend | None, host: RouterHost
    ) -> bool:  # send, stand in line or give up
        # Danger: what is over a share crowds the others out.
        crowds = (
            s is not None
            and rpc.over_quota
            and (len(s.in_flight) >= s.concurrency_limit or s.concurrency_limit < 1)
        )
        if s is None or s.state != EndpointState.READY or crowds or not self.may_attempt(rpc, s):
            return self.reject(rpc, host)
        if not s.fresh_queue and not s.retry_queue and self.has_capacity(s):
            self.send(rpc, s, host)
            return True
        left = min(rpc.deadline, rpc.objective) - self.now
        heapq.heappush(
            s.retry_queue if rpc.attempts else s.fresh_queue,
            (rpc.over_quota, -rpc.method.gain, rpc.n, rpc),
        )
        rpc.queued_at, rpc.queue_deadline = (
            s,
            self.now + max(0.0, min(WAIT * left, left - s.latency_ms)),
        )
        for at in (rpc.queue_deadline, max(s.paused_until, self.now)):
            heapq.heappush(self.timers, (at, next(self.draws), rpc, None))
        room = max(1.0, s.concurrency_limit * WAIT * rpc.method.soft_ms / max(s.latency_ms, 1.0))
        if (
            len(s.fresh_queue) + len(s.retry_queue) > room
        ):  # Danger: a long line makes everyone late; its last goes.
            line = s.retry_queue or s.fresh_queue
            worst = max(line)
            line.remove(worst)
            heapq.heapify(line)
            if worst[3].queue_deadline:
                worst[3].queue_deadline, worst[3].rejected = 0.0, True
                self.pending.append(worst[3])
        return False

    def next_queued(self, s: Backend) -> Rpc | None:
        while s.fresh_queue or s.retry_queue:
            rpc = heapq.heappop(s.fresh_queue or s.retry_queue)[3]
            if rpc.queue_deadline and not rpc.closed:
                rpc.queue_deadline = 0.0
                if self.may_attempt(rpc, s) and s.state == EndpointState.READY:
                    return rpc
                self.pending.append(rpc)
        return None

    def send(self, rpc: Rpc, s: Backend, host: RouterHost) -> None:
        now, tx, again = (
            self.now,
            Attempt(rpc, s, len(rpc.attempts), self.now),
            self.retry_deadline(rpc),
        )
        if (
            s.connected
            and not s.in_flight
            and now - s.last_send_at > self.idle_limit_ms < 0.9 * self.max_idle_ms
        ):  # Danger: dropped unseen
            host.close_idle(s.id)
        self.second_opinions, rpc.in_flight = (
            self.second_opinions - (rpc.suspect is not None),
            rpc.in_flight + 1,
        )
        rpc.attempts.append(tx)
        s.in_flight[tx] = None
        s.send_count, s.connected, s.last_send_at, s.warmup_tokens = (
            s.send_count + 1,
            True,
            now,
            s.warmup_tokens - (now < s.warmup_until),
        )
        soft = (
            rpc.method.soft_ms
        )  # Danger: a server that fails or is slow is waited for to the end.
        usual = (
            min(2 * self.unit_latency_ms / s.size, COPY_BY * soft)
            if self.hedging_allowed
            else 4 * s.latency_ms
        )
        usual *= not (self.hedging_allowed and s.consecutive_failures)
        heapq.heappush(self.timers, (now + max(PATIENCE * soft, usual), next(self.draws), rpc, tx))
        host.send(rpc.id, s.id, rpc.deadline - now, again - now)

    def allows(
        self, to: Bucket | Method, s: Backend
    ) -> bool:  # placement; no kind or zone listed: fits none
        if (
            to.kinds
            and (self.kinds[s.kind] if 0 <= s.kind < len(self.kinds) else "") not in to.kinds
        ):
            return s is self.origin
        return not to.zones or s.zone in to.zones or s is self.origin

    def retry_deadline(
        self, rpc: Rpc
    ) -> float:  # rule 2: by then a further transmission has to be begun
        kind = rpc.method.idempotency  # none of these is zero but RETRIABLE
        ran = next((tx.sent for tx in rpc.attempts if tx.ran and kind), FAR)
        return (
            ran + rpc.method.dedup_window_ms - self.margin
            if kind <= Idempotency.IDEMPOTENT_WITH_KEY or ran == FAR
            else -FAR
        )

    def may_attempt(
        self, rpc: Rpc, s: Backend
    ) -> bool:  # placement; rule 2, for a further transmission
        # Danger: an effect carried out twice. Only servers that drop repeats, and only while they
        # remember.
        m, a = (
            rpc.method,
            next((tx.backend for tx in rpc.attempts if tx.ran and rpc.method.idempotency), s),
        )
        alike = (
            s is a
            or m.dedup_scope == "all"
            or (s.zone == a.zone if m.dedup_scope == "zone" else s.cell == a.cell)
        )
        return alike and self.allows(m, s) and self.now < self.retry_deadline(rpc)

    def reject(self, rpc: Rpc, host: RouterHost) -> bool:
        if rpc.in_flight:  # what is still out may answer
            rpc.rejected = False
            return False
        m = rpc.method
        # Danger: what one slow home's line gives up while others stand idle, taken for a fleet that
        # is full.
        idle = (
            rpc.rejected
            and sum(self.has_spare_capacity(s, m) for s in self.failover_chain(rpc.bucket)) > 1
        )
        turned = rpc.rejected or any(not t.ran for t in rpc.attempts[-1:])
        self.rejected_count += turned and not (
            rpc.over_quota or rpc.missed or idle or rpc.unservable
        )
        if (
            rpc.unservable and rpc.token_bucket
        ):  # Danger: a customer's good RPCs pay for those that are worth nothing.
            rpc.token_bucket.tokens += 1
        harmless = m.idempotency == Idempotency.IDEMPOTENT or not any(tx.ran for tx in rpc.attempts)
        if harmless or (
            m.idempotency == Idempotency.IDEMPOTENT_WITH_KEY and m.dedup_scope == "all"
        ):
            host.reject(rpc.id, min(self.retry_after, m.soft_ms) * (0.5 + self.chance() / 2))
        else:
            host.fail(rpc.id)
        self.close(rpc)
        return True

    def close(self, rpc: Rpc) -> None:
        rpc.closed, rpc.queue_deadline = True, 0.0
        if not rpc.in_flight:
            self.rpcs.pop(rpc.id, None)
        self.cancellations.extend(tx for tx in rpc.attempts if not tx.done)

    # ---- off the ordinary path: along the ring

    def select_failover(
        self, rpc: Rpc
    ) -> Backend | None:  # the first fit server; else one whose line to stand in
        now, busy, crowded = self.now, None, self.origin_congested()
        for s in self.failover_chain(rpc.bucket):
            tried = any(
                tx.backend is s and not tx.spoilt for tx in rpc.attempts
            ) or not self.may_attempt(rpc, s)
            if (
                s.state != EndpointState.READY
                or tried
                or (now < s.warmup_until and not self.has_warmup_token(s))
            ):
                continue
            if (
                s.ejected
            ):  # Danger: shut out for good. After its pause it is tried with one RPC at a time.
                if now < s.ejected_until or s.in_flight or rpc.over_quota:
                    continue
                s.ejected_until = now + s.ejection_ms
                return s
            # Danger: going on means a miss, and misses flood the origin.
            if self.has_capacity(s) or (crowded and not rpc.overflowed):
                return s
            busy = busy or s
        rpc.rejected |= rpc.overflowed
        return busy

    def origin_congested(self) -> bool:  # the origin has no room for more misses
        o = self.origin
        return o is not None and (
            bool(o.retry_queue)
            or 2 * len(o.in_flight) >= o.concurrency_limit
            and o.latency_ms > EASE * o.baseline_latency_ms
        )

    def has_spare_capacity(
        self, s: Backend, m: Method
    ) -> bool:  # it takes what it is sent, at once, and could take more
        return (
            s.available
            and max(START_CONCURRENCY_LIMIT, 2 * len(s.in_flight)) < s.concurrency_limit
            and s.latency_ms < TARGET * m.soft_ms / 2
        )

    def has_capacity(self, s: Backend) -> bool:
        # A limit under one is kept by rests: one transmission is out for that part of the time.
        free = len(s.in_flight) < max(1, int(s.concurrency_limit)) and (
            s.concurrency_limit >= 1 or self.now >= s.paused_until
        )
        return free and (self.now >= s.warmup_until or self.has_warmup_token(s))

    def has_warmup_token(self, s: Backend) -> bool:
        # Danger: rule 4, by the sum of nodes. It gets, as tokens, a warm one's part, cut by its
        # warm-up.
        grown = (
            max(0.0, 1 - (s.warmup_until - self.now) / self.slow_start_ms)
            if self.slow_start_ms
            else 1.0
        )
        share = self.slow_start_fraction + (1 - self.slow_start_fraction) * grown
        share *= max(1.0, s.warmup_gain * self.warmup_gain) * self.process_share
        gain = (self.now - s.warmup_refilled_at) * share * self.warm_rate * s.size / 1000
        s.warmup_tokens, s.warmup_refilled_at = (
            min(max(1.0, s.warmup_tokens), s.warmup_tokens + gain),
            self.now,
        )
        return s.warmup_tokens >= 1

    def failover_chain(self, bucket: Bucket) -> list[Backend]:
        if (
            bucket.chain is None
        ):  # Danger: what is turned away goes to the same next one from all nodes.
            met = dict.fromkeys(
                ([bucket.assigned] if bucket.assigned else []) + self.replicas(bucket)[:CHAIN]
            )
            for s in self.ready_from(bucket):
                met[s] = None
                if len(met) >= min(
                    CHAIN, self.allowed_counts.get((bucket.kinds, bucket.zones), CHAIN)
                ):
                    break
            bucket.chain = list(met)
        return bucket.chain

    # ---- health

    def record_response(self, tx: Attempt, took: float, full_work: bool) -> None:
        s = tx.backend
        s.last_response_at, s.consecutive_failures, s.response_count = (
            self.now,
            0,
            s.response_count + 1,
        )
        self.second_opinions = min(TRIALS, self.second_opinions + TRIAL)
        if tx.sent < self.stalled_at:
            took, full_work = min(took, s.latency_ms), False
        if s.ejected:
            s.ejected, s.recovered_at, s.concurrency_limit = (
                False,
                self.now,
                min(s.concurrency_limit, START_CONCURRENCY_LIMIT),
            )
            self.log_lines.append(f"{s.id} back on the path")
        s.available = s.state == EndpointState.READY and self.now >= s.warmup_until
        if full_work:
            s.latency_ms += (took - s.latency_ms) * (0.1 if s.latency_ms else 1.0)
            s.baseline_latency_ms = min(s.baseline_latency_ms * 1.001 or s.latency_ms, s.latency_ms)
            if s is not self.origin:
                self.unit_latency_ms += (took * s.size - self.unit_latency_ms) * (
                    0.02 if self.unit_latency_ms else 1.0
                )
        slow = (
            TARGET * tx.rpc.method.soft_ms
        )  # Danger: work at the origin that varies, taken for congestion.
        # Danger: RPCs turned away before idle cold caches. One that answers at once tells of all of
        # them.
        s.warmup_gain = (
            min(1.0, s.warmup_gain * 1.1) if took < slow / 2 else 1 / self.max_warmup_gain
        )
        if self.now < s.warmup_until:
            self.warmup_gain = min(
                self.max_warmup_gain, max(1.0, self.warmup_gain * (1.1 if took < slow / 2 else 0.8))
            )
        if (
            full_work and took > slow < s.latency_ms / 0.7
            if s is self.origin
            else took > slow * SLOW / TARGET
        ):
            s.concurrency_limit, s.limit_growth = (
                max(s.min_concurrency_limit, s.concurrency_limit * 0.9),
                0.25,
            )
        elif len(s.in_flight) + 2 > s.concurrency_limit:
            s.concurrency_limit += (1.0 if s is self.origin else s.limit_growth) * min(
                s.concurrency_limit, 1 / s.concurrency_limit
            )

    def record_failure(self, s: Backend) -> None:
        # Danger: tables full of idle connections, and such as were dropped unseen: all hold them
        # for less.
        self.idle_limit_ms, self.idle_growth = max(self.min_idle_ms, 0.8 * self.idle_limit_ms), 1.05
        if s is self.origin:  # there is no other: it is asked less, never left
            s.concurrency_limit = max(
                s.min_concurrency_limit,
                min(s.concurrency_limit, len(s.in_flight) + 1) * (0.8 if s.in_flight else 0.5),
            )
            return
        s.consecutive_failures, s.last_failure_at = s.consecutive_failures + 1, self.now
        # Danger: what fails and recovers by turns takes three of each node's RPCs at every turn.
        again = self.now < s.recovered_at + 8 * self.base_ejection_ms
        if s.consecutive_failures >= (1 if again else STRIKES) and (
            not s.ejected or self.now >= s.ejected_until
        ):
            if not s.ejected:
                self.log_lines.append(
                    f"{s.id} off the path after {s.consecutive_failures} failures in a row"
                )
                s.ejection_ms *= again
            self.eject(s)

    def eject(self, s: Backend) -> None:
        s.ejected, s.available, s.concurrency_limit = True, False, START_CONCURRENCY_LIMIT
        s.ejection_ms = min(
            self.base_ejection_ms * 8, max(self.base_ejection_ms, 2 * s.ejection_ms)
        )
        s.ejected_until = self.now + s.ejection_ms
        self.reroute_pending(s, True)

    def start_warmup(self, s: Backend, since: float) -> None:
        first, s.warmup_gain = (
            self.now >= s.warmup_until,
            1.0,
        )  # else it fell while cold, maybe by what it was sent
        s.warmup_tokens, s.warmup_refilled_at = (
            (self.chance(), self.now) if first else (s.warmup_tokens, s.warmup_refilled_at)
        )
        self.warmup_gain = (
            self.warmup_gain
            if first and any(self.now < c.warmup_until for c in self.caches)
            else 1.0
        )
        s.warmup_until = since + self.slow_start_ms

    def cancel_or_hedge(
        self, tx: Attempt
    ) -> None:  # call it off where another server may still answer in time
        rpc = tx.rpc  # Danger: it may not go out again.
        if (
            rpc.closed
            or len(rpc.attempts) >= self.max_attempts
            or self.now >= self.retry_deadline(rpc) - self.margin
        ):
            return
        if (
            self.hedging_allowed and not tx.slow
        ):  # Danger: called off, what is only slow has run for nothing
            tx.slow, rpc.slow = True, rpc.slow + 1
            self.pending.append(rpc)
        else:
            self.cancellations.append(tx)

    def reroute_pending(
        self, s: Backend, dead: bool
    ) -> None:  # its line, and all that is out, is decided anew
        for tx in s.in_flight if dead else ():
            self.cancel_or_hedge(tx)
        for rpc in [place[3] for place in s.fresh_queue + s.retry_queue if place[3].queue_deadline]:
            rpc.queue_deadline = 0.0
            self.pending.append(rpc)
        s.fresh_queue, s.retry_queue = [], []

    # ---- the list and the ring

    def set_state(self, s: Backend, state: EndpointState) -> None:
        # Danger: a list that lags what goes and comes by turns. Gone alone: off the path, to be
        # tried.
        s.removal_advised = (
            state == EndpointState.REMOVED
            and self.removal_is_advisory
            and (s.listed_state == EndpointState.READY or s.removal_advised)
        )
        s.listed_state, state = state, EndpointState.READY if s.removal_advised else state
        if (
            s.removal_advised
            and not s.ejected
            and self.now - s.last_response_at > self.base_ejection_ms
        ):
            self.eject(s)
        state = (
            EndpointState.DRAINING if s.id in self.bans and state == EndpointState.READY else state
        )
        if state != EndpointState.READY and s.state == EndpointState.READY:
            self.reroute_pending(s, state == EndpointState.REMOVED)
        s.state, s.available = (
            state,
            state == EndpointState.READY and not s.ejected and self.now >= s.warmup_until,
        )

    def rebuild_ring(
        self, resized: list[Backend]
    ) -> None:  # the ring; points go by listed size alone
        ready = [s for s in self.backends.values() if s.state == EndpointState.READY]
        if self.origin not in ready:
            self.origin = next((s for s in ready if s.kind == self.origin_kind), self.origin)
        resized = [s for s in resized if s.kind != self.origin_kind]
        if resized and not self.points_per_size:
            self.points_per_size = RING_POINTS * len(resized) / sum(s.size for s in resized)
        # Danger: a large ring made anew at each change of the list. Caches not ready stay till most
        # are gone.
        gone = sum(s.state == EndpointState.REMOVED for s in self.caches)
        if 2 * gone > len(self.caches) or any(s.ring_points for s in resized):
            for s in self.caches:
                s.ring_points = 0
            self.backends = {
                s.id: s
                for s in self.backends.values()
                if s.state != EndpointState.REMOVED or s.in_flight
            }
            self.caches, self.ring, resized = (
                [],
                array("Q"),
                [s for s in ready if s.kind != self.origin_kind],
            )
        ring = list(self.ring) if resized else []
        for s in resized:
            s.ring_points, n = (
                int(min(8 * RING_POINTS, 8 + self.points_per_size * s.size)),
                len(self.caches),
            )
            self.caches.append(s)
            ring += [
                p << 16 | n for p in array("I", shake_128(s.id.encode()).digest(4 * s.ring_points))
            ]
        if resized:
            self.ring = array("Q", sorted(ring))
        self.size = sum(s.size for s in self.caches if s.state != EndpointState.REMOVED)
        # Danger: the whole ring gone through for each bucket at each list, where few are left for a
        # method.
        self.allowed_counts = {
            (m.kinds, m.zones): sum(
                s.state == EndpointState.READY and self.allows(m, s) for s in self.caches
            )
            for m in self.methods.values()
        }
        self.reserve_capacity()
        for b in self.buckets.values():
            self.assign_primary(b)

    def bucket(self, number: int, kinds: Places = (), zones: Places = ()) -> Bucket:
        bucket = self.buckets.get((number, kinds, zones))
        if bucket is None:
            bucket = self.buckets[number, kinds, zones] = Bucket(number, kinds, zones)
            self.assign_primary(bucket)
        return bucket

    def assign_primary(self, b: Bucket) -> None:
        moved, b.chain, b.primary = (
            b.assigned is not b.primary,
            None,
            next(iter(self.replicas(b)), None),
        )
        if (
            not moved
            or b.assigned is None
            or b.assigned.state != EndpointState.READY
            or not self.allows(b, b.assigned)
        ):
            b.assigned = b.primary

    def replicas(self, b: Bucket) -> list[Backend]:  # its caches, as this node prefers them
        met, room = dict[Backend, float](), b.spread_size
        for s in self.ready_from(b):
            if s not in met:
                drawn = crc32(b"%d/%d/" % (self.seed, b.point) + s.id.encode()) / 2**32
                met[s], room = drawn ** (1 / s.size), room - s.size
                if room <= 0:
                    break
        return sorted(met, key=met.__getitem__, reverse=True)

    def track_hot_bucket(self, b: Bucket) -> None:  # Danger: one key is more than its cache can do
        b.recent_requests, self.recent_requests = b.recent_requests + 1, self.recent_requests + 1
        wide = (
            SPREAD
            * self.size
            * max(0.0, b.recent_requests - 1 - b.recent_requests**0.5)
            / max(self.recent_requests, RECALL / 4)
        )
        if b.primary and (
            wide > max(1.5 * b.spread_size, b.primary.size) or wide < b.spread_size / 4
        ):
            b.spread_size = wide
            self.assign_primary(b)

    def ready_from(self, b: Bucket) -> Iterator[Backend]:
        start, n, bound = bisect_left(self.ring, b.point), len(self.ring), b.kinds or b.zones
        for i in range(start, start + n * (self.allowed_counts.get((b.kinds, b.zones), 1) > 0)):
            point = self.ring[i % n]
            s = self.caches[point & 0xFFFF]
            if s.state == EndpointState.READY and (
                self.allows(b, s) if bound else point >> 16 & 0xFF < s.unconstrained_fraction * 256
            ):
                yield s

    def reserve_capacity(
        self,
    ) -> bool:  # True where a server keeps more or less of its points for what is not bound
        # Danger: what is bound to a few servers finds them full of what any could do.
        bound = [m for m in self.methods.values() if m.kinds or m.zones]
        ready, changed = [s for s in self.caches if s.state == EndpointState.READY], False
        if not bound or not ready:
            return False
        rooms = [(m, sum(s.size for s in ready if self.allows(m, s))) for m in bound]
        mean = sum(self.method_load.values(), PRIOR * len(self.method_load)) / sum(
            s.size for s in ready
        )
        for s in ready:
            mine = [
                (PRIOR + self.method_load[m.name]) / room for m, room in rooms if self.allows(m, s)
            ]
            free = max(LEAST_FREE, 1 - sum(mine) / mean)
            if abs(free - s.unconstrained_fraction) > SLACK:
                s.unconstrained_fraction, changed = free, True
        return changed

    def update_rates(self) -> None:  # rates, once a window of rule 4
        now, span, self.rates_updated_at = (
            self.now,
            max(self.now - self.rates_updated_at, 1.0),
            self.now,
        )
        self.next_rate_update = now + self.rate_window_ms
        late, asked, self.arrival_count, self.rejected_count = (
            self.rejected_count / self.arrival_count,
            self.arrival_count,
            1,
            0,
        )
        self.pressure, self.idle_limit_ms = (
            max(late, self.pressure / 2),
            min(self.max_idle_ms, self.idle_growth * self.idle_limit_ms),
        )
        # Danger: more than the fleet can do, from nodes that never fill a server, is late as a
        # whole.
        self.shed = min(
            0.9, max(0.0, self.shed + (late / 4 if late > SHED_FROM else -SHED_FROM / 4))
        )
        for s in self.backends.values():
            s.send_rate, s.send_count = s.send_rate / 2 + s.send_count * 500 / span, 0
            for line in (
                s.fresh_queue,
                s.retry_queue,
            ):  # Danger: a line of RPCs that have long had their answer
                line[:] = sorted(place for place in line if place[3].queue_deadline)
            if (
                s.connected and not s.in_flight and now - s.last_send_at > self.idle_limit_ms
            ):  # Danger: full tables of connections
                s.connected = False
                self.idle_to_close.append(s)
            s.available = s.state == EndpointState.READY and not s.ejected and now >= s.warmup_until
        warm = [s for s in self.backends.values() if s.available and s is not self.origin]
        # Danger: a node that starts among cold caches alone would send them nothing until they are
        # warm.
        known = self.warm_rate or 1000 * asked / span / max(1.0, sum(s.size for s in self.caches))
        self.warm_rate = (
            sum(s.send_rate for s in warm) / sum(s.size for s in warm) if warm else known
        )

    def rebalance(
        self,
    ) -> None:  # the mechanism's, over caches heard and warm; others count at the mean
        self.method_load = {name: 0.85 * flow for name, flow in self.method_load.items()}
        for b in self.buckets.values() if self.reserve_capacity() else ():
            self.assign_primary(b)
        # Danger: hundreds of nodes each move keys on a few answers' noise, and every cache misses
        # them.
        heard = (
            s
            for s in self.backends.values()
            if s.available and s.response_count >= EVIDENCE and s is not self.origin
        )
        held: dict[Backend, list[Bucket]] = {s: [] for s in heard}
        if len(self.recent_keys) >= KEYS_KEPT or self.now >= self.aged_at + AGE * ROUND_MS:
            for key, bucket in self.older_keys.items():
                bucket.keys -= key not in self.recent_keys
            self.older_keys, self.recent_keys, self.aged_at = self.recent_keys, {}, self.now
        fade = min(1.0, RECALL / max(1.0, self.recent_requests))
        self.recent_requests *= fade
        for b in self.buckets.values():
            b.rate, b.count, b.recent_requests = (
                b.rate / 2 + b.count / 2,
                0,
                b.recent_requests * fade,
            )
            if b.assigned in held:
                held[b.assigned].append(b)
        caches = list(held)
        if len(caches) < 2:
            return
        for s in caches:  # Danger: an overloaded cache is sent little, so the rate calls it light.
            own = s.send_rate * max(1.0, s.latency_ms) / 1000  # Danger: what is told may be untrue.
            s.cpu_load = (
                max(s.reported_load + len(s.fresh_queue), own * self.nodes)
                if s.reported_load >= 0
                else own
            ) / s.size
            s.memory_load = float(sum(b.keys for b in held[s]))
        mean_c, mean_m = (
            sum(s.cpu_load for s in caches) / len(caches),
            sum(s.memory_load for s in caches) / len(caches),
        )
        loads: dict[Backend, list[Load]] = {}
        for s in caches:
            s.cpu_load, s.memory_load = (
                s.cpu_load / mean_c if mean_c else 1.0,
                s.memory_load / mean_m if mean_m else 1.0,
            )
            r, k = sum(b.rate for b in held[s]) or 1.0, sum(b.keys for b in held[s]) or 1
            loads[s] = [(s.cpu_load * b.rate / r, s.memory_load * b.keys / k, b) for b in held[s]]
        for bucket, to in migrate(caches, loads, self.allows):
            bucket.assigned.response_count = to.response_count = 0
            bucket.assigned, bucket.chain = to, None

    def chance(self) -> float:
        return crc32(b"%d" % next(self.draws)) / 2**32
