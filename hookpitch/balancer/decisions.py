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
START_LIMIT = 2.0  # transmissions out at a server we know nothing of, or that is back on the path
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


class Server:  # all that is known of one cache server, or of the origin
    def __init__(self, id: str) -> None:
        self.id, self.state, self.zone, self.cell, self.size, self.kind = (
            id,
            EndpointState.REMOVED,
            "",
            0,
            1.0,
            0,
        )
        self.listed, self.advised = (
            EndpointState.REMOVED,
            False,
        )  # advised: listed as gone, which binds nothing; READY
        self.live: dict[Tx, None] = {}  # transmissions out, oldest first
        self.limit, self.least, self.growth, self.latency = START_LIMIT, 1.0, 1.0, 0.0
        self.failures, self.off_until, self.backoff, self.off = 0, 0.0, 0.0, False
        self.answered_at = self.struck_at = self.rest_until = self.started = self.cold_until = -FAR
        self.back_at, self.usual = (
            -FAR,
            0.0,
        )  # on the path again; the least that its mean answer has been
        self.tokens, self.refilled, self.boost = (
            0.0,
            0.0,
            1.0,
        )  # while cold; boost: part of the node's
        self.open, self.last, self.sent, self.rate = (
            False,
            -FAR,
            0,
            0.0,
        )  # a connection; the latest send
        self.load = -1.0  # as told; -1 where it is not
        self.first, self.again = (
            list[Place](),
            list[Place](),
        )  # lines; further transmissions have their own
        self.c, self.m, self.points, self.heard = (
            0.0,
            0.0,
            0,
            0,
        )  # the mechanism's loads; points on the ring
        self.free = 1.0  # the part of its points at which it takes what is bound to no servers
        self.ok = False  # ready, on the path and warm: the ordinary path asks no more than this


class Bucket:  # the unit that is moved between caches
    def __init__(self, number: int, kinds: Places = (), zones: Places = ()) -> None:
        self.point, self.kinds, self.zones = crc32(b"bucket/%d" % number) << 16, kinds, zones
        self.home: Server | None = None
        self.at: Server | None = None
        self.chain: list[Server] | None = None  # along the ring, home first; made when asked for
        self.count, self.rate, self.keys = 0, 0.0, 0
        self.seen, self.wide = (
            0.0,
            0.0,
        )  # lately asked for; of a heavy bucket: the size it is spread over


class Tx:
    def __init__(self, rpc: Rpc, server: Server, n: int, sent: float) -> None:
        self.rpc, self.server, self.n, self.sent = rpc, server, n, sent
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
        self.until = self.aim = self.line = (
            0.0  # line: when its stay in one is over; 0 when in none
        )
        self.queued: Server | None = None  # in whose
        self.over = self.missed = self.closed = self.lost = self.onward = (
            False  # onward: a line was in vain
        )
        self.vain = False  # fails anywhere, as far as is known
        self.accused: Server | None = None  # answered it with an error; what another says will tell
        self.share: Share | None = None  # whose tokens it took
        self.txs, self.live, self.slow = (
            list[Tx](),
            0,
            0,
        )  # out; of these: silent, and another may be sent


class Share:  # a customer's share at this node, as tokens
    def __init__(self, rate: float, now: float) -> None:
        # Danger: hundreds of nodes, a quota under one RPC a window for each: all are over it for
        # good.
        self.rate, self.most, self.tokens, self.at = (
            rate,
            rate * ROUND_MS / 5 + SAVED,
            SAVED / 4,
            now,
        )

    def spent(self, now: float) -> bool:
        self.tokens, self.at = min(self.most, self.tokens + (now - self.at) * self.rate), now
        return self.tokens < 1


Load = tuple[float, float, Bucket]  # (v, w) of a bucket


def weights(caches: Sequence[Server]) -> tuple[float, float]:  # the paper's lambda and mu
    cpu, both = sum(s.c for s in caches), sum(s.c + s.m for s in caches)
    lam = cpu / both if both else 0.5
    return lam, lam * lam / (lam * lam + (1 - lam) ** 2)


def imbalance(caches: Sequence[Server], mu: float) -> float:  # the paper's sigma of the cluster
    k = len(caches)
    mc, mm = sum(s.c for s in caches) / k, sum(s.m for s in caches) / k
    return (sum(mu * (s.c - mc) ** 2 + (1 - mu) * (s.m - mm) ** 2 for s in caches) / k) ** 0.5


def target_point(a: Server, b: Server, lam: float) -> tuple[float, float]:
    return lam * (a.c - b.c) / 2, (1 - lam) * (a.m - b.m) / 2  # the paper's h


def nearest(loads: list[Load], h: tuple[float, float], lam: float) -> Load:  # a scan of one cache's
    return min(loads, key=lambda p: (lam * p[0] - h[0]) ** 2 + ((1 - lam) * p[1] - h[1]) ** 2)


def migrate(
    caches: list[Server],
    loads: dict[Server, list[Load]],
    fits: Callable[[Bucket, Server], bool] = lambda *_: True,
) -> list[tuple[Bucket, Server]]:
    """One round: move nearest-neighbour buckets from heaviest to lightest while sigma falls, until
    IT."""
    lam, mu = weights(caches)
    moves: list[tuple[Bucket, Server]] = []
    sigma = begun = imbalance(caches, mu)
    while len(moves) < MOVE_CAP * len(caches) and begun - sigma < IMPROVEMENT * begun:
        utility = [lam * s.c + (1 - lam) * s.m for s in caches]
        a, b = caches[utility.index(max(utility))], caches[utility.index(min(utility))]
        held = [load for load in loads[a] if fits(load[2], b)]
        if a is b or not held or max(utility) < DEAD_BAND * sum(utility) / len(caches):
            break
        v, w, bucket = point = nearest(held, target_point(a, b, lam), lam)
        ratio = (
            a.size / b.size
        )  # the same traffic weighs more on a smaller cache; the paper's are all equal
        a.c, a.m, b.c, b.m = a.c - v, a.m - w, b.c + v * ratio, b.m + w
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
        self.now, self.seed, self.draws, self.part = (
            now,
            d.seed,
            count((d.seed + 1) * STIR, STIR),
            1.0,
        )
        self.shares, self.mix, self.kinds = dict[str, Share](), dict[str, float](), d.kinds
        self.servers, self.rpcs, self.bans = (
            dict[str, Server](),
            dict[str, Rpc](),
            dict[str, None](),
        )
        self.origin, self.ring = (
            None,
            array("Q"),
        )  # a point, and in sixteen bits a cache's place in `caches`
        # Asked for so far, one for each placement; all on the ring.
        self.buckets, self.caches = dict[tuple[int, Places, Places], Bucket](), list[Server]()
        # RPCs of the buckets' `seen`; sizes of all caches; the usual time of an answer by one of
        # size one
        self.seen, self.size, self.work, self.able = (
            0.0,
            1.0,
            0.0,
            dict[tuple[Places, Places], int](),
        )
        self.closing, self.freed = deque[Server](), deque[Server]()
        self.todo, self.retract, self.news = deque[Rpc](), deque[Tx](), deque[str](maxlen=8)
        self.young, self.old = (
            dict[str, Bucket](),
            dict[str, Bucket](),
        )  # keys asked for, in two generations
        self.wakes: list[tuple[float, int, Rpc, Tx | None]] = []
        self.armed, self.aged_at, self.points_per_size, self.beat_at, self.warm_rate = (
            FAR,
            now,
            0.0,
            now,
            0.0,
        )
        self.asked, self.turned, self.pressure, self.shed = (
            1,
            0,
            0.0,
            0.0,
        )  # shed: turned away at the door
        self.burden, self.lag, self.away_at, self.boost = (
            0.0,
            0.0,
            -FAR,
            1.0,
        )  # the node's own; of the cold
        self.flow, self.typical = dict[str, float](), 0.0  # work lately asked for; its unit in ms
        self.trials, self.idle, self.ramp = (
            TRIALS,
            0.0,
            1.3,
        )  # second opinions; how long one may be idle
        self.reconfigured(now, d)
        self.next_beat, self.next_round = now + self.window, now + ROUND_MS * (1 + self._chance())

    def reconfigured(self, now: float, d: Deployment) -> None:
        """New settings. RPCs in flight keep their deadlines; what is known of servers and shares
        stays."""
        self.now, self.methods, self.nodes = now, {m.name: m for m in d.methods}, max(1, d.nodes)
        self.max_txs = d.max_attempts
        self.cancellation_enabled, self.copies, self.tenants = (
            d.cancellation_enabled,
            d.hedging_allowed,
            d.tenants,
        )
        self.set_process_count(now, 1 / self.part)
        for rpc in self.rpcs.values():  # Danger: servers may know repeats for less long by now.
            rpc.method = rpc.method.under(self.methods.get(rpc.method.name))
        for rpc in (
            self.rpcs.values() if not d.hedging_allowed else ()
        ):  # where they were allowed until now
            self.retract.extend(tx for tx in rpc.txs if tx.slow and not tx.done)
        self.tick, self.margin, self.retry_after = (
            d.tick_ms or 1.0,
            2 * d.tick_ms + 1,
            d.max_retry_after_ms,
        )
        self.pause = 2 * min(
            (m.soft_ms for m in d.methods), default=1000.0
        )  # the first time off the path
        self.advice = d.removal_is_advisory
        self.boost_most, self.over_quota_gain_factor = (
            max(1.0, d.overload_factor / 1.5),
            d.over_quota_gain_factor,
        )
        self.slow_start_fraction, self.slow_start_ms, self.window = (
            d.slow_start_fraction,
            d.slow_start_ms,
            d.overload_window_ms or 1000.0,
        )
        self.held = (
            self.pause * d.connection_open_cost / d.connection_hold_cost
            if d.connection_hold_cost > 0
            else d.connection_idle_timeout_ms
        )
        self.brief = self.held if d.connection_hold_cost > 0 else min(self.held, self.pause)
        self.idle = min(
            max(self.idle, self.brief), self.held
        )  # Danger: who came first keeps tables full
        self.parts = self.bands = self._bands(
            dict.fromkeys(self.methods, 1.0)
        )  # parts: as they come in
        self.mix = {name: self.mix.get(name, 0.0) for name in self.methods}
        self.flow = {name: self.flow.get(name, 0.0) for name in self.methods}
        before, self.kinds, self.origin_kind = self.kinds, d.kinds, d.origin_kind
        self.nominal = (
            dict[int, float]() if d.weights_reflect_load else None
        )  # sizes move with load: a kind's largest
        for s in self.servers.values():
            name = before[s.kind] if 0 <= s.kind < len(before) else ""
            s.kind, s.load = d.kinds.index(name) if name in d.kinds else -2, -1.0
            if d.weights_reflect_load:
                self.nominal[s.kind] = max(s.size, self.nominal.get(s.kind, 0.0))

    # ---- inputs: they update what is known, nothing else

    def update_endpoints(self, now: float, kind: EndpointUpdate, entries: list[Endpoint]) -> None:
        self.now = now
        listed, changed, resized = {e.id for e in entries}, False, list[Server]()
        for e in entries:
            s = self.servers.get(e.id) or self.servers.setdefault(e.id, Server(e.id))
            started = e.started_ms if e.started_ms > 0 else -FAR
            if (e.state == EndpointState.READY or self.advice) and started > s.started:
                self._leave(s, True)
                s.started, s.failures, s.off = started, 0, False
                s.answered_at, s.limit = -FAR, min(s.limit, START_LIMIT)
                self._cool(s, started)
            changed |= s.listed != e.state or (s.zone, s.kind) != (e.zone, e.kind)
            size = max(e.size, 1e-3)
            if (
                self.nominal is not None
            ):  # Danger: sizes that move with load move the ring at every list.
                full = self.nominal[e.kind] = max(size, self.nominal.get(e.kind, 0.0))
                s.load, size = (full / size - 1) * full, full
            if e.state == EndpointState.READY and (not s.points or s.size != size):
                resized.append(s)
            s.zone, s.cell, s.size, s.kind = e.zone, e.cell, size, e.kind
            if e.kind == self.origin_kind and s.least == 1.0:
                s.least, s.limit = (
                    min(one, n / self.nodes) for n, one in (ORIGIN_LEAST, ORIGIN_START)
                )
            self._state(s, e.state)
        for s in self.servers.values() if kind != EndpointUpdate.DELTA else ():
            if s.id not in listed and s.listed != EndpointState.REMOVED:
                changed = True
                self._state(s, EndpointState.REMOVED)
        if changed or resized:
            self._rebuild(resized)

    def set_banned(self, now: float, id: str, banned: bool) -> None:
        """An operator leaves a server out, or takes it back; whatever any list says until then."""
        self.now, s, before = now, self.servers.get(id), id in self.bans
        self.bans = {b: None for b in self.bans if b != id} | ({id: None} if banned else {})
        if s is None or banned == before:
            return
        if (
            not banned
        ):  # Danger: what was restarted while out is cold; old strikes would keep it waiting.
            s.failures, s.off, s.backoff, s.limit = 0, False, 0.0, min(s.limit, START_LIMIT)
            self._cool(s, now)
        self._state(s, s.listed)
        self._rebuild([] if s.points or s.state != EndpointState.READY else [s])

    def set_process_count(self, now: float, processes: float) -> None:
        """So many processes are this one node for now: budgets of cold servers and quotas are the
        node's."""
        self.now, was, self.part, before = now, self.part, 1 / processes, self.shares
        if (
            self.origin and not self.origin.heard
        ):  # Danger: beside the old one it asks for as much again
            self.origin.limit *= self.part / was
        rate = (
            self.part / 1000 / self.nodes
        )  # of a quota a second over all nodes, to this one's a ms
        self.shares = {
            c.name: Share(c.quota_per_s * rate, now) for c in self.tenants if c.quota_per_s > 0
        }
        for name, share in self.shares.items():
            if name in before:
                before[name].spent(now)
                share.tokens = min(share.most, before[name].tokens)

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
        bucket = self._bucket(number, m.kinds, m.zones)
        if key and key not in self.young:
            bucket.keys += key not in self.old
            self.young[key] = self.old.get(key, bucket)
        if method in self.flow:
            self.typical += (
                (work - self.typical) * (0.05 if self.typical else 1.0) if work > 0 else 0.0
            )
            self.flow[method] += work / self.typical if work > 0 else 1.0
        self._heavy(bucket)
        bucket.count, rpc = bucket.count + 1, Rpc(next(self.draws), id, key, bucket, m, write)
        useful = grace if m.late_gain > 0 else min(grace, m.soft_ms)
        # Danger: what stood unread here has that much less time; `grace` counts from when it came.
        rpc.until, rpc.aim = now + useful - age - self.margin, now + m.soft_ms - age - self.margin
        share = self.shares.get(
            tenant
        )  # Danger: those over it in others' way, or lost to an idle fleet
        rpc.over = share is not None and share.spent(now)
        if share and not rpc.over:
            share.tokens, rpc.share = share.tokens - 1, share
        rpc.lost = (
            rpc.over
            and self._chance() >= self.over_quota_gain_factor + 1 - self.pressure / SHED_FROM
        )
        low, width = self.bands.get(method, (0.0, 1.0))  # among the methods, by gain
        if self.shed > 0 and share is None and low + width * self._chance() < self.shed:
            rpc.lost = rpc.over = True
        self.asked, self.rpcs[id] = self.asked + (not rpc.over), rpc
        self.todo.append(rpc)

    def attempt_ended(
        self, now: float, id: str, n: int, outcome: Outcome, last: bool, took: float, report: Report
    ) -> None:
        self.now = now
        rpc = self.rpcs.get(id)
        tx = rpc.txs[n] if rpc and 0 <= n < len(rpc.txs) else None
        if rpc is None or tx is None or tx.done:
            return
        tx.done, tx.ran, s = True, outcome not in NOT_EXECUTED, tx.server
        tx.spoilt = outcome in ONE_OFF or (outcome == Outcome.CANCELLED and s.answered_at > tx.sent)
        rpc.live, rpc.slow = rpc.live - 1, rpc.slow - tx.slow
        s.live.pop(tx, None)
        answered = outcome <= Outcome.MISS or outcome == Outcome.TIMEOUT
        away = tx.sent < self.away_at  # Danger: the node's own pause taken for its servers' fault
        late = now - self.lag >= rpc.aim and not away and not tx.begun
        self.turned += late and answered and s is not self.origin and not rpc.over
        if report and self.nominal is None:
            held = report.get("utilisation", report.get("inflight", report.get("queue", -2.0) + 1))
            s.load += (held - s.load) / 8 if s.load >= 0 else held + 1
        if outcome <= Outcome.MISS:
            self._answered(
                tx, took, outcome == Outcome.COMPLETED and not (rpc.write and s is self.origin)
            )
            if (
                rpc.accused not in (None, s, self.origin) and not rpc.vain
            ):  # another can do what it could not
                self._strike(rpc.accused)
                rpc.accused = None
        elif outcome == Outcome.OVERLOADED:
            # Danger: what warm servers refuse, taken for what they can do, pushes the cold ones
            # over.
            s.answered_at, s.boost, s.heard, s.sent = (
                now,
                1 / self.boost_most,
                s.heard + 1,
                s.sent - 1,
            )
            s.latency += (rpc.method.soft_ms - s.latency) * 0.1
        elif outcome == Outcome.ERROR and (
            s is not self.origin or now - s.answered_at <= self.pause
        ):
            # Danger: RPCs that fail anywhere take every server off the path, and their tries crowd
            # the rest.
            rpc.vain = rpc.accused is not None or self.trials < 1
            rpc.accused = s
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MALFORMED):
            # Danger: a server that refuses after failures died and comes back cold, maybe
            # unannounced. What fails by turns is off at one failure: from its second fall on, one
            # refusal says
            # as much.
            died = s.failures > 1 or self.now < s.back_at + 8 * self.pause
            died &= 2 * sum(c.failures > 0 for c in self.caches) <= len(self.caches)
            if outcome == Outcome.CONNECT_FAILED and died and s.started < tx.sent:
                self._cool(s, now)
            # Danger: a limit cut for what befalls any server, or each slip of the one origin,
            # starves all.
            if now - s.answered_at > self.pause or not (
                s is self.origin or outcome == Outcome.MALFORMED
            ):
                self._strike(s)
        elif outcome == Outcome.TIMEOUT and max(s.answered_at, s.struck_at) < tx.sent:
            if not tx.counted and not away:
                self._strike(s)
        # Danger: one out from each of hundreds of nodes is a crowd for one server.
        span = max(took, s.latency if outcome <= Outcome.MISS else TARGET * rpc.method.soft_ms)
        s.rest_until = now + span * (1 / min(s.limit, 1.0) - 1) * (0.5 + self._chance())
        if s.first or s.again:
            self.freed.append(s)
        rpc.missed |= outcome == Outcome.MISS
        if last or rpc.closed:
            self._close(rpc)
        else:
            self.todo.append(rpc)

    def stream_started(self, now: float, id: str, n: int) -> None:
        self.now = now
        rpc = self.rpcs.get(id)
        if rpc is not None and 0 <= n < len(rpc.txs) and not rpc.txs[n].done:
            tx = rpc.txs[n]
            tx.counted, tx.begun, tx.slow, rpc.slow, rpc.line = (
                True,
                True,
                False,
                rpc.slow - tx.slow,
                0.0,
            )
            self.retract.extend(copy for copy in rpc.txs if not copy.done and copy is not tx)
            self._answered(tx, now - tx.sent, False)

    def client_disconnected(self, now: float, id: str) -> None:
        self.now = now
        rpc = self.rpcs.get(id)
        if rpc is not None and not rpc.closed:
            self._close(rpc)

    def timer_fired(self, now: float) -> None:
        self.now = now  # the time asked for by `wake` has come

    def overload_measured(self, now: float, burden: float, lag: float = 0.0) -> None:
        """Of a window: the part of what came in that the node cannot do; how many ms it stood
        unread."""
        self.now, self.burden, self.lag = now, burden, lag
        if burden > 0 and any(self.mix.values()):
            self.parts = self._bands(self.mix)
        for name in self.mix:
            self.mix[name] *= 0.9

    def _bands(self, mix: dict[str, float]) -> dict[str, tuple[float, float]]:
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
        self.now = self.away_at = now

    def shed_delay(self, now: float, method: str, tenant: str, age: float) -> float:
        """At the door, before an RPC costs anything: when to come back, in ms; under 0 where it is
        let in."""
        self.now, m = now, self.methods.get(method)
        if m is None:
            return -1.0
        self.mix[method] += 1
        if self.burden <= 0:
            return -1.0
        share, (low, width) = self.shares.get(tenant), self.parts[method]
        # Danger: what is over a share, gains least or is too late already, in the place of the
        # rest.
        spent = (share and share.spent(now)) or (m.late_gain <= 0 and age > (1 - WAIT) * m.soft_ms)
        if not spent and low + width * self._chance() >= self.burden:
            return -1.0
        return (
            min(self.retry_after, m.soft_ms) * (0.5 + self._chance() / 2)
            if self.retry_after > 0
            else 0.0
        )

    # ---- decisions, one a call

    def decide(self, now: float, host: RouterHost) -> bool:
        self.now = now
        self._due()
        while self.retract:
            tx = self.retract.popleft()
            if not tx.done and self.cancellation_enabled:
                host.cancel(tx.rpc.id, tx.n)
                return True
        if self.closing:  # by the latest beat; nothing was sent since
            host.close_idle(self.closing.popleft().id)
            return True
        while self.todo:
            rpc = self.todo.popleft()
            if not (rpc.closed or rpc.line or rpc.live > rpc.slow * self.copies) and self._route(
                rpc, host
            ):
                return True
        while self.freed:
            s = self.freed[0]
            rpc = self._next_in_line(s) if self._room(s) else None
            if rpc is not None:
                self._send(rpc, s, host)
                return True
            self.freed.popleft()
        if self.news:
            host.log(self.news.popleft())
            return True
        due = min(self.wakes[0][0] if self.wakes else FAR, self.next_beat, self.next_round)
        due = max(due, now + self.tick / 2)
        # Danger: a wake late, or rounded to just before its time, must cost no RPC its answer.
        if asks := due < self.armed - self.tick / 4 or self.armed <= now + self.tick / 4:
            self.armed = due
            host.schedule_wakeup(due)
        return asks

    def _due(self) -> None:
        now = self.now
        while self.wakes and self.wakes[0][0] <= now:
            _, _, rpc, tx = heapq.heappop(self.wakes)
            if tx is None:
                if rpc.line and rpc.line <= now and not rpc.closed:
                    # Danger: refused for its own home's line while the next along the ring stands
                    # idle.
                    stuck = rpc.onward or rpc.over or rpc.queued is self.origin or self._crowded()
                    rpc.line, rpc.lost, rpc.onward = 0.0, stuck, True
                    self.todo.append(rpc)
                elif rpc.queued:
                    self.freed.append(rpc.queued)
            elif now < (
                anew := max(tx.sent + self.lag, self.away_at) + PATIENCE * rpc.method.soft_ms
            ):
                if (
                    not tx.done
                ):  # Danger: an answer that stands unread here taken for its server's silence
                    heapq.heappush(self.wakes, (anew, next(self.draws), rpc, tx))
            elif not (
                tx.done
                or tx.counted
                or tx.server is self.origin
                and tx.server.answered_at < tx.sent
            ):
                # Danger: a server silent since the send looks idle; one lost answer holds its RPC
                # to the end.
                s, lost, tx.counted = tx.server, not any(t.counted for t in rpc.txs), True
                if s.answered_at < tx.sent >= s.struck_at:
                    self._strike(s)
                calm = lost and self.pressure < SHED_FROM / 2
                ease = (
                    self.origin.latency < rpc.method.soft_ms / 3 if self.origin else calm
                )  # or it stops
                if ease if self.copies else calm if s.answered_at > tx.sent else s.failures > 1:
                    self._abandon(tx)
        if now >= self.next_beat:
            self._beat()
        if now >= self.next_round:
            self.next_round = now + ROUND_MS
            self._round()

    def _route(self, rpc: Rpc, host: RouterHost) -> bool:  # True where the host was told something
        now, tries = self.now, len(rpc.txs)
        if rpc.lost or rpc.vain or tries >= self.max_txs or rpc.until - now <= self.margin:
            return self._give_up(rpc, host)
        if self.origin_kind >= 0 and (
            rpc.write or rpc.missed or rpc.slow or 0 < tries == self.max_txs - 1
        ):
            return self._offer(rpc, self.origin, host)
        s = rpc.bucket.at
        if tries or rpc.onward or s is None or not s.ok or not self._room(s):
            s = self._along(rpc)
            if rpc.lost:
                return self._give_up(rpc, host)
        return self._offer(rpc, s, host)

    def _offer(
        self, rpc: Rpc, s: Server | None, host: RouterHost
    ) -> bool:  # send, stand in line or give up
        # Danger: what is over a share crowds the others out.
        crowds = s is not None and rpc.over and (len(s.live) >= s.limit or s.limit < 1)
        if s is None or s.state != EndpointState.READY or crowds or not self._may_send(rpc, s):
            return self._give_up(rpc, host)
        if not s.first and not s.again and self._room(s):
            self._send(rpc, s, host)
            return True
        left = min(rpc.until, rpc.aim) - self.now
        heapq.heappush(s.again if rpc.txs else s.first, (rpc.over, -rpc.method.gain, rpc.n, rpc))
        rpc.queued, rpc.line = s, self.now + max(0.0, min(WAIT * left, left - s.latency))
        for at in (rpc.line, max(s.rest_until, self.now)):
            heapq.heappush(self.wakes, (at, next(self.draws), rpc, None))
        room = max(1.0, s.limit * WAIT * rpc.method.soft_ms / max(s.latency, 1.0))
        if (
            len(s.first) + len(s.again) > room
        ):  # Danger: a long line makes everyone late; its last goes.
            line = s.again or s.first
            worst = max(line)
            line.remove(worst)
            heapq.heapify(line)
            if worst[3].line:
                worst[3].line, worst[3].lost = 0.0, True
                self.todo.append(worst[3])
        return False

    def _next_in_line(self, s: Server) -> Rpc | None:
        while s.first or s.again:
            rpc = heapq.heappop(s.first or s.again)[3]
            if rpc.line and not rpc.closed:
                rpc.line = 0.0
                if self._may_send(rpc, s) and s.state == EndpointState.READY:
                    return rpc
                self.todo.append(rpc)
        return None

    def _send(self, rpc: Rpc, s: Server, host: RouterHost) -> None:
        now, tx, again = self.now, Tx(rpc, s, len(rpc.txs), self.now), self._again_until(rpc)
        if (
            s.open and not s.live and now - s.last > self.idle < 0.9 * self.held
        ):  # Danger: dropped unseen
            host.close_idle(s.id)
        self.trials, rpc.live = self.trials - (rpc.accused is not None), rpc.live + 1
        rpc.txs.append(tx)
        s.live[tx] = None
        s.sent, s.open, s.last, s.tokens = s.sent + 1, True, now, s.tokens - (now < s.cold_until)
        soft = (
            rpc.method.soft_ms
        )  # Danger: a server that fails or is slow is waited for to the end.
        usual = min(2 * self.work / s.size, COPY_BY * soft) if self.copies else 4 * s.latency
        usual *= not (self.copies and s.failures)
        heapq.heappush(self.wakes, (now + max(PATIENCE * soft, usual), next(self.draws), rpc, tx))
        host.send(rpc.id, s.id, rpc.until - now, again - now)

    def _open(
        self, to: Bucket | Method, s: Server
    ) -> bool:  # placement; no kind or zone listed: fits none
        if (
            to.kinds
            and (self.kinds[s.kind] if 0 <= s.kind < len(self.kinds) else "") not in to.kinds
        ):
            return s is self.origin
        return not to.zones or s.zone in to.zones or s is self.origin

    def _again_until(
        self, rpc: Rpc
    ) -> float:  # rule 2: by then a further transmission has to be begun
        kind = rpc.method.idempotency  # none of these is zero but RETRIABLE
        ran = next((tx.sent for tx in rpc.txs if tx.ran and kind), FAR)
        return (
            ran + rpc.method.dedup_window_ms - self.margin
            if kind <= Idempotency.IDEMPOTENT_WITH_KEY or ran == FAR
            else -FAR
        )

    def _may_send(
        self, rpc: Rpc, s: Server
    ) -> bool:  # placement; rule 2, for a further transmission
        # Danger: an effect carried out twice. Only servers that drop repeats, and only while they
        # remember.
        m, a = (
            rpc.method,
            next((tx.server for tx in rpc.txs if tx.ran and rpc.method.idempotency), s),
        )
        alike = (
            s is a
            or m.dedup_scope == "all"
            or (s.zone == a.zone if m.dedup_scope == "zone" else s.cell == a.cell)
        )
        return alike and self._open(m, s) and self.now < self._again_until(rpc)

    def _give_up(self, rpc: Rpc, host: RouterHost) -> bool:
        if rpc.live:  # what is still out may answer
            rpc.lost = False
            return False
        m = rpc.method
        # Danger: what one slow home's line gives up while others stand idle, taken for a fleet that
        # is full.
        idle = rpc.lost and sum(self._eased(s, m) for s in self._chain(rpc.bucket)) > 1
        turned = rpc.lost or any(not t.ran for t in rpc.txs[-1:])
        self.turned += turned and not (rpc.over or rpc.missed or idle or rpc.vain)
        if (
            rpc.vain and rpc.share
        ):  # Danger: a customer's good RPCs pay for those that are worth nothing.
            rpc.share.tokens += 1
        harmless = m.idempotency == Idempotency.IDEMPOTENT or not any(tx.ran for tx in rpc.txs)
        if harmless or (
            m.idempotency == Idempotency.IDEMPOTENT_WITH_KEY and m.dedup_scope == "all"
        ):
            host.reject(rpc.id, min(self.retry_after, m.soft_ms) * (0.5 + self._chance() / 2))
        else:
            host.fail(rpc.id)
        self._close(rpc)
        return True

    def _close(self, rpc: Rpc) -> None:
        rpc.closed, rpc.line = True, 0.0
        if not rpc.live:
            self.rpcs.pop(rpc.id, None)
        self.retract.extend(tx for tx in rpc.txs if not tx.done)

    # ---- off the ordinary path: along the ring

    def _along(
        self, rpc: Rpc
    ) -> Server | None:  # the first fit server; else one whose line to stand in
        now, busy, crowded = self.now, None, self._crowded()
        for s in self._chain(rpc.bucket):
            tried = any(tx.server is s and not tx.spoilt for tx in rpc.txs) or not self._may_send(
                rpc, s
            )
            if (
                s.state != EndpointState.READY
                or tried
                or (now < s.cold_until and not self._cold_room(s))
            ):
                continue
            if (
                s.off
            ):  # Danger: shut out for good. After its pause it is tried with one RPC at a time.
                if now < s.off_until or s.live or rpc.over:
                    continue
                s.off_until = now + s.backoff
                return s
            # Danger: going on means a miss, and misses flood the origin.
            if self._room(s) or (crowded and not rpc.onward):
                return s
            busy = busy or s
        rpc.lost |= rpc.onward
        return busy

    def _crowded(self) -> bool:  # the origin has no room for more misses
        o = self.origin
        return o is not None and (
            bool(o.again) or 2 * len(o.live) >= o.limit and o.latency > EASE * o.usual
        )

    def _eased(
        self, s: Server, m: Method
    ) -> bool:  # it takes what it is sent, at once, and could take more
        return (
            s.ok
            and max(START_LIMIT, 2 * len(s.live)) < s.limit
            and s.latency < TARGET * m.soft_ms / 2
        )

    def _room(self, s: Server) -> bool:
        # A limit under one is kept by rests: one transmission is out for that part of the time.
        free = len(s.live) < max(1, int(s.limit)) and (s.limit >= 1 or self.now >= s.rest_until)
        return free and (self.now >= s.cold_until or self._cold_room(s))

    def _cold_room(self, s: Server) -> bool:
        # Danger: rule 4, by the sum of nodes. It gets, as tokens, a warm one's part, cut by its
        # warm-up.
        grown = (
            max(0.0, 1 - (s.cold_until - self.now) / self.slow_start_ms)
            if self.slow_start_ms
            else 1.0
        )
        share = self.slow_start_fraction + (1 - self.slow_start_fraction) * grown
        share *= max(1.0, s.boost * self.boost) * self.part
        gain = (self.now - s.refilled) * share * self.warm_rate * s.size / 1000
        s.tokens, s.refilled = min(max(1.0, s.tokens), s.tokens + gain), self.now
        return s.tokens >= 1

    def _chain(self, bucket: Bucket) -> list[Server]:
        if (
            bucket.chain is None
        ):  # Danger: what is turned away goes to the same next one from all nodes.
            met = dict.fromkeys(([bucket.at] if bucket.at else []) + self._taking(bucket)[:CHAIN])
            for s in self._ready_from(bucket):
                met[s] = None
                if len(met) >= min(CHAIN, self.able.get((bucket.kinds, bucket.zones), CHAIN)):
                    break
            bucket.chain = list(met)
        return bucket.chain

    # ---- health

    def _answered(self, tx: Tx, took: float, full_work: bool) -> None:
        s = tx.server
        s.answered_at, s.failures, s.heard = self.now, 0, s.heard + 1
        self.trials = min(TRIALS, self.trials + TRIAL)
        if tx.sent < self.away_at:
            took, full_work = min(took, s.latency), False
        if s.off:
            s.off, s.back_at, s.limit = False, self.now, min(s.limit, START_LIMIT)
            self.news.append(f"{s.id} back on the path")
        s.ok = s.state == EndpointState.READY and self.now >= s.cold_until
        if full_work:
            s.latency += (took - s.latency) * (0.1 if s.latency else 1.0)
            s.usual = min(s.usual * 1.001 or s.latency, s.latency)
            if s is not self.origin:
                self.work += (took * s.size - self.work) * (0.02 if self.work else 1.0)
        slow = (
            TARGET * tx.rpc.method.soft_ms
        )  # Danger: work at the origin that varies, taken for congestion.
        # Danger: RPCs turned away before idle cold caches. One that answers at once tells of all of
        # them.
        s.boost = min(1.0, s.boost * 1.1) if took < slow / 2 else 1 / self.boost_most
        if self.now < s.cold_until:
            self.boost = min(
                self.boost_most, max(1.0, self.boost * (1.1 if took < slow / 2 else 0.8))
            )
        if (
            full_work and took > slow < s.latency / 0.7
            if s is self.origin
            else took > slow * SLOW / TARGET
        ):
            s.limit, s.growth = max(s.least, s.limit * 0.9), 0.25
        elif len(s.live) + 2 > s.limit:
            s.limit += (1.0 if s is self.origin else s.growth) * min(s.limit, 1 / s.limit)

    def _strike(self, s: Server) -> None:
        # Danger: tables full of idle connections, and such as were dropped unseen: all hold them
        # for less.
        self.idle, self.ramp = max(self.brief, 0.8 * self.idle), 1.05
        if s is self.origin:  # there is no other: it is asked less, never left
            s.limit = max(s.least, min(s.limit, len(s.live) + 1) * (0.8 if s.live else 0.5))
            return
        s.failures, s.struck_at = s.failures + 1, self.now
        # Danger: what fails and recovers by turns takes three of each node's RPCs at every turn.
        again = self.now < s.back_at + 8 * self.pause
        if s.failures >= (1 if again else STRIKES) and (not s.off or self.now >= s.off_until):
            if not s.off:
                self.news.append(f"{s.id} off the path after {s.failures} failures in a row")
                s.backoff *= again
            self._off(s)

    def _off(self, s: Server) -> None:
        s.off, s.ok, s.limit = True, False, START_LIMIT
        s.backoff = min(self.pause * 8, max(self.pause, 2 * s.backoff))
        s.off_until = self.now + s.backoff
        self._leave(s, True)

    def _cool(self, s: Server, since: float) -> None:
        first, s.boost = (
            self.now >= s.cold_until,
            1.0,
        )  # else it fell while cold, maybe by what it was sent
        s.tokens, s.refilled = (self._chance(), self.now) if first else (s.tokens, s.refilled)
        self.boost = (
            self.boost if first and any(self.now < c.cold_until for c in self.caches) else 1.0
        )
        s.cold_until = since + self.slow_start_ms

    def _abandon(self, tx: Tx) -> None:  # call it off where another server may still answer in time
        rpc = tx.rpc  # Danger: it may not go out again.
        if (
            rpc.closed
            or len(rpc.txs) >= self.max_txs
            or self.now >= self._again_until(rpc) - self.margin
        ):
            return
        if self.copies and not tx.slow:  # Danger: called off, what is only slow has run for nothing
            tx.slow, rpc.slow = True, rpc.slow + 1
            self.todo.append(rpc)
        else:
            self.retract.append(tx)

    def _leave(
        self, s: Server, dead: bool
    ) -> None:  # its line, and all that is out, is decided anew
        for tx in s.live if dead else ():
            self._abandon(tx)
        for rpc in [place[3] for place in s.first + s.again if place[3].line]:
            rpc.line = 0.0
            self.todo.append(rpc)
        s.first, s.again = [], []

    # ---- the list and the ring

    def _state(self, s: Server, state: EndpointState) -> None:
        # Danger: a list that lags what goes and comes by turns. Gone alone: off the path, to be
        # tried.
        s.advised = (
            state == EndpointState.REMOVED
            and self.advice
            and (s.listed == EndpointState.READY or s.advised)
        )
        s.listed, state = state, EndpointState.READY if s.advised else state
        if s.advised and not s.off and self.now - s.answered_at > self.pause:
            self._off(s)
        state = (
            EndpointState.DRAINING if s.id in self.bans and state == EndpointState.READY else state
        )
        if state != EndpointState.READY and s.state == EndpointState.READY:
            self._leave(s, state == EndpointState.REMOVED)
        s.state, s.ok = (
            state,
            state == EndpointState.READY and not s.off and self.now >= s.cold_until,
        )

    def _rebuild(self, resized: list[Server]) -> None:  # the ring; points go by listed size alone
        ready = [s for s in self.servers.values() if s.state == EndpointState.READY]
        if self.origin not in ready:
            self.origin = next((s for s in ready if s.kind == self.origin_kind), self.origin)
        resized = [s for s in resized if s.kind != self.origin_kind]
        if resized and not self.points_per_size:
            self.points_per_size = RING_POINTS * len(resized) / sum(s.size for s in resized)
        # Danger: a large ring made anew at each change of the list. Caches not ready stay till most
        # are gone.
        gone = sum(s.state == EndpointState.REMOVED for s in self.caches)
        if 2 * gone > len(self.caches) or any(s.points for s in resized):
            for s in self.caches:
                s.points = 0
            self.servers = {
                s.id: s for s in self.servers.values() if s.state != EndpointState.REMOVED or s.live
            }
            self.caches, self.ring, resized = (
                [],
                array("Q"),
                [s for s in ready if s.kind != self.origin_kind],
            )
        ring = list(self.ring) if resized else []
        for s in resized:
            s.points, n = (
                int(min(8 * RING_POINTS, 8 + self.points_per_size * s.size)),
                len(self.caches),
            )
            self.caches.append(s)
            ring += [p << 16 | n for p in array("I", shake_128(s.id.encode()).digest(4 * s.points))]
        if resized:
            self.ring = array("Q", sorted(ring))
        self.size = sum(s.size for s in self.caches if s.state != EndpointState.REMOVED)
        # Danger: the whole ring gone through for each bucket at each list, where few are left for a
        # method.
        self.able = {
            (m.kinds, m.zones): sum(
                s.state == EndpointState.READY and self._open(m, s) for s in self.caches
            )
            for m in self.methods.values()
        }
        self._relieve()
        for b in self.buckets.values():
            self._home(b)

    def _bucket(self, number: int, kinds: Places = (), zones: Places = ()) -> Bucket:
        bucket = self.buckets.get((number, kinds, zones))
        if bucket is None:
            bucket = self.buckets[number, kinds, zones] = Bucket(number, kinds, zones)
            self._home(bucket)
        return bucket

    def _home(self, b: Bucket) -> None:
        moved, b.chain, b.home = b.at is not b.home, None, next(iter(self._taking(b)), None)
        if (
            not moved
            or b.at is None
            or b.at.state != EndpointState.READY
            or not self._open(b, b.at)
        ):
            b.at = b.home

    def _taking(self, b: Bucket) -> list[Server]:  # its caches, as this node prefers them
        met, room = dict[Server, float](), b.wide
        for s in self._ready_from(b):
            if s not in met:
                drawn = crc32(b"%d/%d/" % (self.seed, b.point) + s.id.encode()) / 2**32
                met[s], room = drawn ** (1 / s.size), room - s.size
                if room <= 0:
                    break
        return sorted(met, key=met.__getitem__, reverse=True)

    def _heavy(self, b: Bucket) -> None:  # Danger: one key is more than its cache can do
        b.seen, self.seen = b.seen + 1, self.seen + 1
        wide = SPREAD * self.size * max(0.0, b.seen - 1 - b.seen**0.5) / max(self.seen, RECALL / 4)
        if b.home and (wide > max(1.5 * b.wide, b.home.size) or wide < b.wide / 4):
            b.wide = wide
            self._home(b)

    def _ready_from(self, b: Bucket) -> Iterator[Server]:
        start, n, bound = bisect_left(self.ring, b.point), len(self.ring), b.kinds or b.zones
        for i in range(start, start + n * (self.able.get((b.kinds, b.zones), 1) > 0)):
            point = self.ring[i % n]
            s = self.caches[point & 0xFFFF]
            if s.state == EndpointState.READY and (
                self._open(b, s) if bound else point >> 16 & 0xFF < s.free * 256
            ):
                yield s

    def _relieve(
        self,
    ) -> bool:  # True where a server keeps more or less of its points for what is not bound
        # Danger: what is bound to a few servers finds them full of what any could do.
        bound = [m for m in self.methods.values() if m.kinds or m.zones]
        ready, changed = [s for s in self.caches if s.state == EndpointState.READY], False
        if not bound or not ready:
            return False
        rooms = [(m, sum(s.size for s in ready if self._open(m, s))) for m in bound]
        mean = sum(self.flow.values(), PRIOR * len(self.flow)) / sum(s.size for s in ready)
        for s in ready:
            mine = [(PRIOR + self.flow[m.name]) / room for m, room in rooms if self._open(m, s)]
            free = max(LEAST_FREE, 1 - sum(mine) / mean)
            if abs(free - s.free) > SLACK:
                s.free, changed = free, True
        return changed

    def _beat(self) -> None:  # rates, once a window of rule 4
        now, span, self.beat_at = self.now, max(self.now - self.beat_at, 1.0), self.now
        self.next_beat = now + self.window
        late, asked, self.asked, self.turned = self.turned / self.asked, self.asked, 1, 0
        self.pressure, self.idle = (
            max(late, self.pressure / 2),
            min(self.held, self.ramp * self.idle),
        )
        # Danger: more than the fleet can do, from nodes that never fill a server, is late as a
        # whole.
        self.shed = min(
            0.9, max(0.0, self.shed + (late / 4 if late > SHED_FROM else -SHED_FROM / 4))
        )
        for s in self.servers.values():
            s.rate, s.sent = s.rate / 2 + s.sent * 500 / span, 0
            for line in (
                s.first,
                s.again,
            ):  # Danger: a line of RPCs that have long had their answer
                line[:] = sorted(place for place in line if place[3].line)
            if (
                s.open and not s.live and now - s.last > self.idle
            ):  # Danger: full tables of connections
                s.open = False
                self.closing.append(s)
            s.ok = s.state == EndpointState.READY and not s.off and now >= s.cold_until
        warm = [s for s in self.servers.values() if s.ok and s is not self.origin]
        # Danger: a node that starts among cold caches alone would send them nothing until they are
        # warm.
        known = self.warm_rate or 1000 * asked / span / max(1.0, sum(s.size for s in self.caches))
        self.warm_rate = sum(s.rate for s in warm) / sum(s.size for s in warm) if warm else known

    def _round(
        self,
    ) -> None:  # the mechanism's, over caches heard and warm; others count at the mean
        self.flow = {name: 0.85 * flow for name, flow in self.flow.items()}
        for b in self.buckets.values() if self._relieve() else ():
            self._home(b)
        # Danger: hundreds of nodes each move keys on a few answers' noise, and every cache misses
        # them.
        heard = (
            s
            for s in self.servers.values()
            if s.ok and s.heard >= EVIDENCE and s is not self.origin
        )
        held: dict[Server, list[Bucket]] = {s: [] for s in heard}
        if len(self.young) >= KEYS_KEPT or self.now >= self.aged_at + AGE * ROUND_MS:
            for key, bucket in self.old.items():
                bucket.keys -= key not in self.young
            self.old, self.young, self.aged_at = self.young, {}, self.now
        fade = min(1.0, RECALL / max(1.0, self.seen))
        self.seen *= fade
        for b in self.buckets.values():
            b.rate, b.count, b.seen = b.rate / 2 + b.count / 2, 0, b.seen * fade
            if b.at in held:
                held[b.at].append(b)
        caches = list(held)
        if len(caches) < 2:
            return
        for s in caches:  # Danger: an overloaded cache is sent little, so the rate calls it light.
            own = s.rate * max(1.0, s.latency) / 1000  # Danger: what is told may be untrue.
            s.c = (max(s.load + len(s.first), own * self.nodes) if s.load >= 0 else own) / s.size
            s.m = float(sum(b.keys for b in held[s]))
        mean_c, mean_m = (
            sum(s.c for s in caches) / len(caches),
            sum(s.m for s in caches) / len(caches),
        )
        loads: dict[Server, list[Load]] = {}
        for s in caches:
            s.c, s.m = s.c / mean_c if mean_c else 1.0, s.m / mean_m if mean_m else 1.0
            r, k = sum(b.rate for b in held[s]) or 1.0, sum(b.keys for b in held[s]) or 1
            loads[s] = [(s.c * b.rate / r, s.m * b.keys / k, b) for b in held[s]]
        for bucket, to in migrate(caches, loads, self._open):
            bucket.at.heard = to.heard = 0
            bucket.at, bucket.chain = to, None

    def _chance(self) -> float:
        return crc32(b"%d" % next(self.draws)) / 2**32
