"""The tests' one helper: a host that draws troubles from a seed and checks the four rules at every step."""

from __future__ import annotations

import random

from hookpitch.balancer.decisions import Node
from hookpitch.balancer.interface import (
    NEVER_RAN,
    Customer,
    Deployment,
    Entry,
    Idempotency,
    ListKind,
    Method,
    Outcome,
    State,
)

ORIGIN = 9


def deployment(**changes: object) -> Deployment:
    """A plain deployment: caches aside, one retriable method, one node."""
    base: dict[str, object] = {
        "seed": 7,
        "nodes": 1,
        "methods": (Method("read", 400.0, 1000.0, 1.0),),
        "customers": (),
        "must_ask": True,
        "origin_kind": ORIGIN,
        "tick_ms": 1.0,
        "max_transmissions": 3,
        "second_copies": False,
        "cancelling": True,
        "max_retry_after_ms": 0.0,
        "ask_within_ms": 10000.0,
        "cold_share": 0.2,
        "cold_ms": 20000.0,
        "overload_factor": 3.0,
        "tip_after_ms": 1500.0,
        "hold_cost": 0.0,
        "dial_cost": 0.0,
        "overage_gain": 0.1,
    }
    return Deployment(**(base | changes))  # type: ignore[arg-type]


def entry(id: str, state: State = State.READY, started: float = 0.0, size: float = 1.0, kind: int = 0
          ) -> Entry:  # fmt: skip
    return Entry(id, "zone" + id[-1], int(id[-1]), started, state, kind, size)


def drawn(rng: random.Random) -> Deployment:
    """A deployment of any kind the wire allows."""
    methods = []
    for i in range(rng.randint(1, 4)):
        soft = rng.choice([50.0, 200.0, 600.0])
        methods.append(
            Method(
                f"m{i}",
                soft,
                soft * rng.uniform(1, 5),
                rng.choice([1.0, 2.0, 5.0]),
                rng.choice([0.0, 0.3]),
                rng.choice(list(Idempotency)),
                rng.choice(["all", "zone", "cell"]),
                rng.choice([10.0, 300.0, 2000.0]),
            )
        )
    return deployment(
        seed=rng.randrange(2**31),
        nodes=rng.choice([0, 1, 3, 5, 400]),
        hold_cost=rng.choice([0.0, 0.03]),
        dial_cost=rng.choice([0.0, 0.03]),
        methods=tuple(methods),
        customers=tuple(Customer(f"c{i}", rng.choice([0.0, 5.0, 40.0])) for i in range(rng.randint(0, 3))),
        must_ask=rng.random() < 0.7,
        origin_kind=rng.choice([ORIGIN, -1]),
        max_transmissions=rng.randint(1, 6),
        second_copies=rng.random() < 0.3,
        cancelling=rng.random() < 0.7,
        max_retry_after_ms=rng.choice([0.0, 400.0]),
        cold_share=rng.choice([0.1, 0.3]),
        cold_ms=rng.choice([0.0, 5000.0, 20000.0]),
    )


class Fleet:
    """Carries a node's decisions out and fails the test where one breaks a rule."""

    def __init__(self, d: Deployment, seed: int = 1) -> None:
        self.rng, self.d, self.now = random.Random(seed), d, 1000.0
        self.node = Node(self.now, d)
        self.methods = {m.name: m for m in d.methods}
        self.told: dict[str, Entry] = {}  # what the node was last told of each server
        self.open: dict[str, tuple[Method, float]] = {}  # RPC -> method, hard deadline
        self.txs: dict[str, list[dict]] = {}
        self.out: list[tuple[str, int]] = []
        self.answers: dict[str, str] = {}
        self.sends: list[tuple[float, str, str]] = []
        self.wakes: list[float] = []
        self.told_from: dict[str, int] = {}
        self.asked, self.logs, self.closed, self.count = 0, [], [], 0
        self.moods: dict[str, str] = {}

    # the host's side

    def send(self, rpc_id: str, server_id: str, limit_ms: float) -> None:
        assert rpc_id in self.open, "rule 1: sent after the RPC's end"
        method, deadline = self.open[rpc_id]
        earlier = self.txs[rpc_id]
        assert limit_ms > 0 and self.now + limit_ms <= deadline, "a limit past the hard deadline"
        assert len(earlier) < self.d.max_transmissions
        assert self.d.second_copies or all(t["done"] for t in earlier), "two out at once"
        assert self.told[server_id].state == State.READY, "rule 3: sent to a draining or gone server"
        ran = [t for t in earlier if t["ran"]]
        if ran and method.idempotency == Idempotency.NON_RETRIABLE:
            raise AssertionError("rule 2: a non-retriable RPC that may have run was sent again")
        if ran and method.idempotency == Idempotency.DEDUPED:
            a, b = self.told[ran[0]["server"]], self.told[server_id]
            same = {"all": True, "zone": a.zone == b.zone, "cell": a.cell == b.cell}[method.group]
            assert same and self.now < ran[0]["at"] + method.window_ms, "rule 2: outside group or window"
        self.sends.append((self.now, server_id, rpc_id))
        self._check_cold(server_id)
        earlier.append(
            {"server": server_id, "at": self.now, "until": self.now + limit_ms, "done": False, "ran": True}
        )
        self.out.append((rpc_id, len(earlier) - 1))

    def _check_cold(self, server_id: str) -> None:
        """Rule 4: in any window no more than the multiple of a warm server's load, cut by the warm-up."""
        e, d = self.told[server_id], self.d
        age = self.now - e.started_ms
        if e.started_ms <= 0 or age >= d.cold_ms or e.kind == d.origin_kind:
            return
        share = d.cold_share + (1 - d.cold_share) * age / d.cold_ms
        counts: dict[str, int] = {}
        for at, to, _ in self.sends:
            if at > self.now - 4 * d.tip_after_ms:
                counts[to] = counts.get(to, 0) + 1
        warm = max(counts.values(), default=0)  # over four windows, so no less than one window's
        known = self.sends[self.told_from.get(server_id, 0) :]  # since the node could know of the start
        mine = sum(1 for at, to, _ in known if to == server_id and at > self.now - d.tip_after_ms)
        assert mine <= max(1.0, d.overload_factor * share * warm), "rule 4: a cold server pushed over"

    def cancel(self, rpc_id: str, tx: int) -> None:
        assert self.d.cancelling
        self.txs[rpc_id][tx]["until"] = self.now

    def _final(self, rpc_id: str, answer: str) -> None:
        assert rpc_id in self.open, "rule 1: a second final answer"
        assert self.now <= self.open[rpc_id][1], "rule 1: answered past the hard deadline"
        del self.open[rpc_id]
        self.answers[rpc_id] = answer

    def exhaust(self, rpc_id: str, retry_after_ms: float) -> None:
        method = self.methods_of(rpc_id)
        assert 0 <= retry_after_ms <= self.d.max_retry_after_ms
        if method.idempotency != Idempotency.RETRIABLE and any(t["ran"] for t in self.txs[rpc_id]):
            deduped = method.idempotency == Idempotency.DEDUPED
            assert deduped and method.group == "all", "rule 2: exhausted though it may have run"
        self._final(rpc_id, "exhausted")

    def methods_of(self, rpc_id: str) -> Method:
        assert rpc_id in self.open, "rule 1: a second final answer"
        return self.open[rpc_id][0]

    def error(self, rpc_id: str) -> None:
        self._final(rpc_id, "errored")

    def close(self, server_id: str) -> None:
        assert server_id in self.told and all(self.txs[r][n]["server"] != server_id for r, n in self.out)
        self.closed.append(server_id)

    def watch(self) -> None:
        self.asked += 1

    def wake(self, at_ms: float) -> None:
        self.wakes.append(at_ms)

    def log(self, text: str) -> None:
        self.logs.append(text)

    # what happens to the node

    def settle(self) -> None:
        for _ in range(100000):
            if not self.node.decide(self.now, self):
                break
        else:
            raise AssertionError("decisions without end")
        for rpc_id, (_, deadline) in self.open.items():
            assert self.now <= deadline, f"rule 1: {rpc_id} lost"

    def listed(self, entries: list[Entry], kind: ListKind = ListKind.FULL) -> None:
        if kind != ListKind.DELTA and kind != ListKind.FAILED:
            for id, e in self.told.items():
                self.told[id] = Entry(id, e.zone, e.cell, e.started_ms, State.GONE, e.kind, e.size)
        for e in entries:
            if e.id not in self.told or self.told[e.id].started_ms != e.started_ms:
                self.told_from[e.id] = len(self.sends)
            self.told[e.id] = e
        self.node.servers_listed(self.now, kind, entries)
        self.settle()

    def arrive(self, key: str = "k", method: str = "", customer: str = "", write: bool = False,
               grace: float = 0.0) -> str:  # fmt: skip
        self.count += 1
        rpc_id, m = f"rpc{self.count}", self.methods[method or self.d.methods[0].name]
        grace = grace or m.hard_ms
        self.open[rpc_id], self.txs[rpc_id] = (m, self.now + grace), []
        self.node.rpc_arrived(self.now, rpc_id, key, m.name, customer, write, grace)
        self.settle()
        return rpc_id

    def end(self, rpc_id: str, outcome: Outcome, n: int = -1) -> None:
        n = n if n >= 0 else len(self.txs[rpc_id]) - 1
        tx = self.txs[rpc_id][n]
        tx["done"], tx["ran"] = True, tx["ran"] and outcome not in NEVER_RAN
        self.out.remove((rpc_id, n))
        if outcome == Outcome.COMPLETED and rpc_id in self.open:
            self._final(rpc_id, "completed")
        last = rpc_id not in self.open
        self.node.tx_ended(self.now, rpc_id, n, outcome, last, self.now - tx["at"], {})
        self.settle()

    def pass_time(self, span: float) -> None:
        """Let time pass, with time-outs, cancels and wakes in their order."""
        end = self.now + span
        while True:
            limits = [(self.txs[r][n]["until"], r, n) for r, n in self.out]
            at, r, n = min(limits, default=(float("inf"), "", 0))
            wake = min(self.wakes, default=float("inf"))
            if min(at, wake) > end:
                break
            self.now = max(self.now, min(at, wake))
            if at <= wake:
                self.end(r, Outcome.TIMEOUT, n)
            else:
                self.wakes.remove(wake)
                self.node.woken(self.now)
                self.settle()
        self.now = end

    def step(self) -> None:
        """One draw of what can happen, several troubles at once."""
        rng = self.rng
        act = rng.random()
        if act < 0.4:
            key = "" if rng.random() < 0.1 else f"key{int(rng.paretovariate(0.7)) % 50}"
            m = rng.choice(self.d.methods)
            customer = rng.choice([c.name for c in self.d.customers] or [""])
            for _ in range(rng.choice([1, 1, 1, 30])):
                grace = m.hard_ms * rng.choice([0.02, 0.5, 1.0])
                self.arrive(key, m.name, customer, rng.random() < 0.1, grace)
        elif act < 0.8 and self.out:
            for r, n in rng.sample(self.out, min(len(self.out), 8)):
                mood = self.moods.get(self.txs[r][n]["server"], "well")
                if (r, n) in self.out and mood != "silent":
                    odds = {"well": [8, 2, 1], "full": [1, 0, 8], "dead": [0, 0, 1], "aside": [1, 8, 1]}[mood]
                    bad = {"full": Outcome.FULL, "dead": rng.choice([Outcome.RESET, Outcome.CONNECT_FAILED])}
                    last = bad.get(mood, rng.choice([Outcome.ERROR, Outcome.CANCELLED, Outcome.FULL]))
                    self.end(r, rng.choices([Outcome.COMPLETED, Outcome.MISS, last], odds)[0], n)
        elif act < 0.84 and self.told:
            server = rng.choice(sorted(self.told))
            self.moods[server] = rng.choice(["well", "silent", "full", "dead", "aside"])
        elif act < 0.87 and self.told:
            e = self.told[rng.choice(sorted(self.told))]
            state = rng.choice([State.READY, State.READY, State.DRAINING, State.GONE])
            started = self.now - 1 if e.state == State.GONE else e.started_ms
            changed = Entry(e.id, e.zone, e.cell, started, state, e.kind, e.size)
            self.listed([changed], ListKind.DELTA)
        elif act < 0.88:
            self.listed([], ListKind.FAILED)
        elif act < 0.89 and self.open:
            rpc_id = rng.choice(sorted(self.open))
            del self.open[rpc_id]
            self.node.client_left(self.now, rpc_id)
            self.settle()
        elif act < 0.9:  # calls that cannot be
            self.node.tx_ended(self.now, "nobody", 0, Outcome.COMPLETED, True, 1.0, {})
            self.node.client_left(self.now, "nobody")
            self.settle()
        else:
            self.pass_time(rng.choice([1.0, 20.0, 200.0]))
