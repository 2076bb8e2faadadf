"""A host for the router that draws faults from a seed and checks the four rules at every step."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from hookpitch.balancer.interface import (
    NOT_EXECUTED,
    Deployment,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Method,
    Outcome,
    Tenant,
)
from hookpitch.balancer.router import Router

ORIGIN_KIND = 9


def make_deployment(**changes: object) -> Deployment:
    """A plain deployment: caches aside, one retriable method, one node."""
    base: dict[str, object] = {
        "seed": 7,
        "nodes": 1,
        "methods": (Method("read", 400.0, 1000.0, 1.0),),
        "tenants": (),
        "polling_required": True,
        "origin_kind": ORIGIN_KIND,
        "tick_ms": 1.0,
        "max_attempts": 3,
        "hedging_allowed": False,
        "cancellation_enabled": True,
        "max_retry_after_ms": 0.0,
        "poll_interval_ms": 10000.0,
        "slow_start_fraction": 0.2,
        "slow_start_ms": 20000.0,
        "overload_factor": 3.0,
        "overload_window_ms": 1500.0,
        "connection_hold_cost": 0.0,
        "connection_open_cost": 0.0,
        "over_quota_gain_factor": 0.1,
    }
    return Deployment(**(base | changes))  # type: ignore[arg-type]


def make_endpoint(
    id: str,
    state: EndpointState = EndpointState.READY,
    started: float = 0.0,
    size: float = 1.0,
    kind: int = 0,
) -> Endpoint:
    return Endpoint(id, "zone" + id[-1], int(id[-1]), started, state, kind, size)


def random_deployment(rng: random.Random) -> Deployment:
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
    plain = make_deployment(
        seed=rng.randrange(2**31),
        nodes=rng.choice([0, 1, 3, 5, 400]),
        connection_hold_cost=rng.choice([0.0, 0.03]),
        connection_open_cost=rng.choice([0.0, 0.03]),
        methods=tuple(methods),
        tenants=tuple(
            Tenant(f"c{i}", rng.choice([0.0, 5.0, 40.0])) for i in range(rng.randint(0, 3))
        ),
        polling_required=rng.random() < 0.7,
        origin_kind=rng.choice([ORIGIN_KIND, -1]),
        max_attempts=rng.randint(1, 6),
        hedging_allowed=rng.random() < 0.3,
        cancellation_enabled=rng.random() < 0.7,
        max_retry_after_ms=rng.choice([0.0, 400.0]),
        slow_start_fraction=rng.choice([0.1, 0.3]),
        slow_start_ms=rng.choice([0.0, 5000.0, 20000.0]),
    )
    bound = [
        replace(
            m,
            kinds=rng.choice([(), (), ("std",), ("none",)]),
            zones=rng.choice([(), (), ("zone0", "zone2")]),
        )
        for m in methods
    ]
    return replace(
        plain,
        methods=tuple(bound),
        kinds=("fast", "std"),
        removal_is_advisory=rng.random() < 0.5,
        weights_reflect_load=rng.random() < 0.2,
    )


@dataclass
class SentAttempt:
    """An attempt as the host carries it out."""

    server: str
    sent_at: float
    ends_at: float  # it times out, or its cancellation is carried out
    done: bool = False
    may_have_run: bool = True
    cancelled: bool = False

    def cancel(self, now: float) -> None:
        self.ends_at = now
        self.cancelled = True


class Fleet:
    """Carries a node's decisions out and fails the test where one breaks a rule."""

    def __init__(self, deployment: Deployment, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.now = 1000.0
        self.router = Router(self.now, deployment)
        self.methods = {method.name: method for method in deployment.methods}
        self.endpoints: dict[str, Endpoint] = {}  # as the router was last told of each
        self.draining_ids: set[str] = set()  # seen draining, and not ready since
        self.open_rpcs: dict[str, tuple[Method, float]] = {}  # RPC -> method, hard deadline
        self.attempts: dict[str, list[SentAttempt]] = {}
        self.in_flight: list[tuple[str, int]] = []  # RPC, number of its attempt
        self.answers: dict[str, str] = {}
        self.sends: list[tuple[float, str, str]] = []  # time, backend, RPC
        self.wakeups: list[float] = []
        self.arrivals: list[float] = []
        self.sends_before_start: dict[str, int] = {}  # by backend: when its start was listed
        self.logs: list[str] = []
        self.closed_backends: list[str] = []
        self.rpc_count = 0
        self.behaviors: dict[str, str] = {}  # by backend, drawn

    # the host's side

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        assert rpc_id in self.open_rpcs, "rule 1: sent after the RPC's end"
        method, deadline = self.open_rpcs[rpc_id]
        earlier = self.attempts[rpc_id]
        assert start_within_ms > 0
        assert timeout_ms > 0 and self.now + timeout_ms <= deadline, (
            "a limit past the hard deadline"
        )
        assert len(earlier) < self.deployment.max_attempts
        assert self.deployment.hedging_allowed or all(t.done for t in earlier), "two out at once"
        e = self.endpoints[backend_id]
        advice = (
            self.deployment.removal_is_advisory
            and e.state == EndpointState.REMOVED
            and backend_id not in self.draining_ids
        )
        assert e.state == EndpointState.READY or advice, "rule 3: sent to a draining or gone server"
        if e.kind != self.deployment.origin_kind:
            name = self.deployment.kinds[e.kind] if 0 <= e.kind < len(self.deployment.kinds) else ""
            assert not method.kinds or name in method.kinds, "placement: a kind that is not open"
            assert not method.zones or e.zone in method.zones, (
                "placement: a location that is not open"
            )
        ran = [t for t in earlier if t.may_have_run]
        if ran and method.idempotency == Idempotency.NON_IDEMPOTENT:
            raise AssertionError("rule 2: a non-retriable RPC that may have run was sent again")
        if ran and method.idempotency == Idempotency.IDEMPOTENT_WITH_KEY:
            a, b = self.endpoints[ran[0].server], self.endpoints[backend_id]
            same = {"all": True, "zone": a.zone == b.zone, "cell": a.cell == b.cell}[
                method.dedup_scope
            ]
            assert same and self.now < ran[0].sent_at + method.dedup_window_ms, (
                "rule 2: outside group or window"
            )
        self.sends.append((self.now, backend_id, rpc_id))
        self._check_slow_start_limit(backend_id)
        earlier.append(SentAttempt(backend_id, self.now, self.now + timeout_ms))
        self.in_flight.append((rpc_id, len(earlier) - 1))

    def _check_slow_start_limit(self, backend_id: str) -> None:
        """Rule 4: in any window no more than the multiple of a warm server's load, cut by the
        warm-up."""
        e, d = self.endpoints[backend_id], self.deployment
        age = self.now - e.started_ms
        if e.started_ms <= 0 or age >= d.slow_start_ms or e.kind == d.origin_kind:
            return
        share = d.slow_start_fraction + (1 - d.slow_start_fraction) * age / d.slow_start_ms
        counts: dict[str, int] = {}
        for at, to, _ in self.sends:
            if at > self.now - 4 * d.overload_window_ms:
                counts[to] = counts.get(to, 0) + 1
        warm = float(max(counts.values(), default=0))  # over four windows: at least one window's
        caches = [e for e in self.endpoints.values() if e.kind != d.origin_kind]
        if all(
            0 < e.started_ms > self.now - d.slow_start_ms for e in caches
        ):  # none warm: its part of what came
            warm = sum(at > self.now - 2 * d.overload_window_ms for at in self.arrivals) / len(
                caches
            )
        known = self.sends[
            self.sends_before_start.get(backend_id, 0) :
        ]  # since the node could know of the start
        mine = sum(
            1 for at, to, _ in known if to == backend_id and at > self.now - d.overload_window_ms
        )
        assert mine <= max(1.0, d.overload_factor * share * warm), (
            "rule 4: a cold server pushed over"
        )

    def cancel(self, rpc_id: str, attempt: int) -> None:
        assert self.deployment.cancellation_enabled
        self.attempts[rpc_id][attempt].cancel(self.now)

    def _close_rpc(self, rpc_id: str, answer: str) -> None:
        assert rpc_id in self.open_rpcs, "rule 1: a second final answer"
        assert self.now <= self.open_rpcs[rpc_id][1], "rule 1: answered past the hard deadline"
        del self.open_rpcs[rpc_id]
        self.answers[rpc_id] = answer

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        method = self.open_method(rpc_id)
        assert 0 <= retry_after_ms <= self.deployment.max_retry_after_ms
        if method.idempotency != Idempotency.IDEMPOTENT and any(
            t.may_have_run for t in self.attempts[rpc_id]
        ):
            deduped = method.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            assert deduped and method.dedup_scope == "all", (
                "rule 2: exhausted though it may have run"
            )
        self._close_rpc(rpc_id, "exhausted")

    def open_method(self, rpc_id: str) -> Method:
        assert rpc_id in self.open_rpcs, "rule 1: a second final answer"
        return self.open_rpcs[rpc_id][0]

    def fail(self, rpc_id: str) -> None:
        self._close_rpc(rpc_id, "errored")

    def close_idle(self, backend_id: str) -> None:
        assert backend_id in self.endpoints and all(
            self.attempts[r][n].server != backend_id for r, n in self.in_flight
        )
        self.closed_backends.append(backend_id)

    def schedule_wakeup(self, at_ms: float) -> None:
        self.wakeups.append(at_ms)

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        assert failures > 0, "ejected without a failure"
        self.logs.append(f"backend_ejected {backend_id}")

    def backend_recovered(self, backend_id: str) -> None:
        self.logs.append(f"backend_recovered {backend_id}")

    # what happens to the node

    def decide_until_idle(self) -> None:
        for _ in range(100000):
            if not self.router.decide(self.now, self):
                break
        else:
            raise AssertionError("decisions without end")
        for rpc_id, (_, deadline) in self.open_rpcs.items():
            assert self.now <= deadline, f"rule 1: {rpc_id} lost"

    def update_endpoints(
        self, entries: list[Endpoint], kind: EndpointUpdate = EndpointUpdate.SNAPSHOT
    ) -> None:
        if kind != EndpointUpdate.DELTA and kind != EndpointUpdate.FAILED:
            for id, e in self.endpoints.items():
                self.endpoints[id] = Endpoint(
                    id, e.zone, e.cell, e.started_ms, EndpointState.REMOVED, e.kind, e.size
                )
        for e in entries:
            if e.id not in self.endpoints or self.endpoints[e.id].started_ms != e.started_ms:
                self.sends_before_start[e.id] = len(self.sends)
            self.endpoints[e.id] = e
            if e.state == EndpointState.DRAINING:
                self.draining_ids.add(e.id)
            elif e.state == EndpointState.READY:
                self.draining_ids.discard(e.id)
        if kind != EndpointUpdate.FAILED:  # what was told before stands
            self.router.update_endpoints(self.now, kind, entries)
        self.decide_until_idle()

    def arrive(
        self,
        key: str = "k",
        method: str = "",
        tenant: str = "",
        write: bool = False,
        grace: float = 0.0,
    ) -> str:
        self.rpc_count += 1
        rpc_id, m = f"rpc{self.rpc_count}", self.methods[method or self.deployment.methods[0].name]
        grace = grace or m.hard_ms
        self.arrivals.append(self.now)
        self.open_rpcs[rpc_id], self.attempts[rpc_id] = (m, self.now + grace), []
        self.router.rpc_arrived(self.now, rpc_id, key, m.name, tenant, write, grace)
        self.decide_until_idle()
        return rpc_id

    def request_hot_key(self) -> None:
        """A quarter of 200 RPCs is for one key; all are served at once."""
        for i in range(200):
            self.end_attempt(self.arrive("hot" if i % 4 == 0 else f"k{i}"), Outcome.COMPLETED)

    def end_attempt(self, rpc_id: str, outcome: Outcome, n: int = -1) -> None:
        n = n if n >= 0 else len(self.attempts[rpc_id]) - 1
        tx = self.attempts[rpc_id][n]
        tx.done, tx.may_have_run = True, tx.may_have_run and outcome not in NOT_EXECUTED
        self.in_flight.remove((rpc_id, n))
        if outcome == Outcome.COMPLETED and rpc_id in self.open_rpcs:
            self._close_rpc(rpc_id, "completed")
        last = rpc_id not in self.open_rpcs
        self.router.attempt_ended(self.now, rpc_id, n, outcome, last, self.now - tx.sent_at, {})
        self.decide_until_idle()

    def pass_time(self, span: float) -> None:
        """Let time pass, with time-outs, cancels and wakes in their order."""
        end = self.now + span
        while True:
            limits = [(self.attempts[r][n].ends_at, r, n) for r, n in self.in_flight]
            at, r, n = min(limits, default=(float("inf"), "", 0))
            wake = min(self.wakeups, default=float("inf"))
            if min(at, wake) > end:
                break
            self.now = max(self.now, min(at, wake))
            if at <= wake:
                self.end_attempt(
                    r,
                    Outcome.CANCELLED if self.attempts[r][n].cancelled else Outcome.TIMEOUT,
                    n,
                )
            else:
                self.wakeups.remove(wake)
                self.router.timer_fired(self.now)
                self.decide_until_idle()
        self.now = end

    def step(self) -> None:
        """One draw of what can happen, several troubles at once."""
        rng = self.rng
        act = rng.random()
        if act < 0.4:
            key = "" if rng.random() < 0.1 else f"key{int(rng.paretovariate(0.7)) % 50}"
            m = rng.choice(self.deployment.methods)
            tenant = rng.choice([c.name for c in self.deployment.tenants] or [""])
            for _ in range(rng.choice([1, 1, 1, 30])):
                grace = m.hard_ms * rng.choice([0.02, 0.5, 1.0])
                self.arrive(key, m.name, tenant, rng.random() < 0.1, grace)
        elif act < 0.8 and self.in_flight:
            for r, n in rng.sample(self.in_flight, min(len(self.in_flight), 8)):
                mood = self.behaviors.get(self.attempts[r][n].server, "well")
                if (r, n) in self.in_flight and mood != "silent":
                    odds = {
                        "well": [8, 2, 1],
                        "full": [1, 0, 8],
                        "dead": [0, 0, 1],
                        "aside": [1, 8, 1],
                    }[mood]
                    bad = {
                        "full": Outcome.OVERLOADED,
                        "dead": rng.choice([Outcome.RESET, Outcome.CONNECT_FAILED]),
                    }
                    last = bad.get(
                        mood, rng.choice([Outcome.ERROR, Outcome.CANCELLED, Outcome.OVERLOADED])
                    )
                    self.end_attempt(
                        r, rng.choices([Outcome.COMPLETED, Outcome.MISS, last], odds)[0], n
                    )
        elif act < 0.84 and self.endpoints:
            server = rng.choice(sorted(self.endpoints))
            self.behaviors[server] = rng.choice(["well", "silent", "full", "dead", "aside"])
        elif act < 0.87 and self.endpoints:
            e = self.endpoints[rng.choice(sorted(self.endpoints))]
            state = rng.choice(
                [
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.REMOVED,
                ]
            )
            started = self.now - 1 if e.state == EndpointState.REMOVED else e.started_ms
            kind = (
                e.kind
                if rng.random() < 0.7 or e.kind == self.deployment.origin_kind
                else rng.choice([0, 1, -2])
            )
            changed = Endpoint(e.id, e.zone, e.cell, started, state, kind, e.size)
            self.update_endpoints([changed], EndpointUpdate.DELTA)
        elif act < 0.88:
            self.update_endpoints([], EndpointUpdate.FAILED)
        elif act < 0.89 and self.open_rpcs:
            rpc_id = rng.choice(sorted(self.open_rpcs))
            del self.open_rpcs[rpc_id]
            self.router.client_disconnected(self.now, rpc_id)
            self.decide_until_idle()
        elif act < 0.9:  # calls that cannot be
            self.router.attempt_ended(self.now, "nobody", 0, Outcome.COMPLETED, True, 1.0, {})
            self.router.client_disconnected(self.now, "nobody")
            self.decide_until_idle()
        else:
            self.pass_time(rng.choice([1.0, 20.0, 200.0]))
