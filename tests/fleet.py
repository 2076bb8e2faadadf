"""A simulated host of the router, with faults drawn from a seed and checks of the four rules."""

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
    """Return a deployment with one idempotent method and one node; `changes` replace fields."""
    defaults: dict[str, object] = {
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
    return Deployment(**(defaults | changes))  # type: ignore[arg-type]


def make_endpoint(
    id: str,
    state: EndpointState = EndpointState.READY,
    started: float = 0.0,
    size: float = 1.0,
    kind: int = 0,
) -> Endpoint:
    """Return an endpoint whose zone and cell follow from the last digit of its id."""
    return Endpoint(id, "zone" + id[-1], int(id[-1]), started, state, kind, size)


def random_deployment(rng: random.Random) -> Deployment:
    """Return a random deployment within the limits of the wire format."""
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
    deployment = make_deployment(
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
    placed_methods = [
        replace(
            method,
            kinds=rng.choice([(), (), ("std",), ("none",)]),
            zones=rng.choice([(), (), ("zone0", "zone2")]),
        )
        for method in methods
    ]
    return replace(
        deployment,
        methods=tuple(placed_methods),
        kinds=("fast", "std"),
        removal_is_advisory=rng.random() < 0.5,
        weights_reflect_load=rng.random() < 0.2,
    )


@dataclass
class SentAttempt:
    """An attempt that the host has sent."""

    server: str
    sent_at: float
    ends_at: float  # when it times out or its cancellation takes effect
    done: bool = False
    may_have_run: bool = True
    cancelled: bool = False

    def cancel(self, now: float) -> None:
        """End the attempt now, as cancelled."""
        self.ends_at = now
        self.cancelled = True


class Fleet:
    """Carries out the decisions of a router and fails the test if one breaks a rule.

    It stands in for the host of the router, and for the clients and servers around it.
    """

    def __init__(self, deployment: Deployment, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.now = 1000.0
        self.router = Router(self.now, deployment)
        self.methods = {method.name: method for method in deployment.methods}
        self.endpoints: dict[str, Endpoint] = {}  # as last passed to the router
        self.draining_ids: set[str] = set()  # seen draining and not ready since then
        self.open_rpcs: dict[str, tuple[Method, float]] = {}  # RPC -> method, hard deadline
        self.attempts: dict[str, list[SentAttempt]] = {}
        self.in_flight: list[tuple[str, int]] = []  # RPC, index of its attempt
        self.answers: dict[str, str] = {}
        self.sends: list[tuple[float, str, str]] = []  # time, backend, RPC
        self.wakeups: list[float] = []
        self.arrivals: list[float] = []
        # By backend: the length of `sends` when its start was listed.
        self.sends_before_start: dict[str, int] = {}
        self.logs: list[str] = []
        self.closed_backends: list[str] = []
        self.rpc_count = 0
        self.behaviors: dict[str, str] = {}  # by backend, drawn

    # ---- the router's host

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        """Send an attempt, if no rule forbids it."""
        assert rpc_id in self.open_rpcs, "rule 1: sent after the RPC's end"
        method, deadline = self.open_rpcs[rpc_id]
        earlier = self.attempts[rpc_id]
        assert start_within_ms > 0
        assert timeout_ms > 0 and self.now + timeout_ms <= deadline, (
            "a timeout past the hard deadline"
        )
        assert len(earlier) < self.deployment.max_attempts
        assert self.deployment.hedging_allowed or all(attempt.done for attempt in earlier), (
            "two attempts in flight at once"
        )
        endpoint = self.endpoints[backend_id]
        is_removal_ignored = (
            self.deployment.removal_is_advisory
            and endpoint.state == EndpointState.REMOVED
            and backend_id not in self.draining_ids
        )
        assert endpoint.state == EndpointState.READY or is_removal_ignored, (
            "rule 3: sent to a draining or removed server"
        )
        if endpoint.kind != self.deployment.origin_kind:
            kind = (
                self.deployment.kinds[endpoint.kind]
                if 0 <= endpoint.kind < len(self.deployment.kinds)
                else ""
            )
            assert not method.kinds or kind in method.kinds, "placement: a kind that is not allowed"
            assert not method.zones or endpoint.zone in method.zones, (
                "placement: a zone that is not allowed"
            )
        executed = [attempt for attempt in earlier if attempt.may_have_run]
        if executed and method.idempotency == Idempotency.NON_IDEMPOTENT:
            raise AssertionError(
                "rule 2: a retry of a non-idempotent RPC that may have been executed"
            )
        if executed and method.idempotency == Idempotency.IDEMPOTENT_WITH_KEY:
            first, retry = self.endpoints[executed[0].server], self.endpoints[backend_id]
            in_scope = {
                "all": True,
                "zone": first.zone == retry.zone,
                "cell": first.cell == retry.cell,
            }[method.dedup_scope]
            assert in_scope and self.now < executed[0].sent_at + method.dedup_window_ms, (
                "rule 2: a retry outside the deduplication scope or window"
            )
        self.sends.append((self.now, backend_id, rpc_id))
        self._check_slow_start_limit(backend_id)
        earlier.append(SentAttempt(backend_id, self.now, self.now + timeout_ms))
        self.in_flight.append((rpc_id, len(earlier) - 1))

    def _check_slow_start_limit(self, backend_id: str) -> None:
        """Check rule 4: in any window, a cold server gets a bounded share of a warm server's load.

        The bound is the overload factor, reduced by how far the server has warmed up.
        """
        endpoint, deployment = self.endpoints[backend_id], self.deployment
        age = self.now - endpoint.started_ms
        if (
            endpoint.started_ms <= 0
            or age >= deployment.slow_start_ms
            or endpoint.kind == deployment.origin_kind
        ):
            return
        fraction = (
            deployment.slow_start_fraction
            + (1 - deployment.slow_start_fraction) * age / deployment.slow_start_ms
        )
        counts: dict[str, int] = {}
        for at, to, _ in self.sends:
            if at > self.now - 4 * deployment.overload_window_ms:
                counts[to] = counts.get(to, 0) + 1
        # Counted over four windows, so at least the load of one window.
        warm_load = float(max(counts.values(), default=0))
        caches = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.kind != deployment.origin_kind
        ]
        # If no cache is warm, each is entitled to its part of the arrivals.
        if all(0 < cache.started_ms > self.now - deployment.slow_start_ms for cache in caches):
            warm_load = sum(
                at > self.now - 2 * deployment.overload_window_ms for at in self.arrivals
            ) / len(caches)
        # Only the sends since the router could know of the start.
        sends = self.sends[self.sends_before_start.get(backend_id, 0) :]
        count = sum(
            1
            for at, to, _ in sends
            if to == backend_id and at > self.now - deployment.overload_window_ms
        )
        assert count <= max(1.0, deployment.overload_factor * fraction * warm_load), (
            "rule 4: a cold server is overloaded"
        )

    def cancel(self, rpc_id: str, attempt: int) -> None:
        """Cancel an attempt."""
        assert self.deployment.cancellation_enabled
        self.attempts[rpc_id][attempt].cancel(self.now)

    def _close_rpc(self, rpc_id: str, answer: str) -> None:
        """Record the final answer to an RPC, which must be the first and in time."""
        assert rpc_id in self.open_rpcs, "rule 1: a second final answer"
        assert self.now <= self.open_rpcs[rpc_id][1], "rule 1: answered past the hard deadline"
        del self.open_rpcs[rpc_id]
        self.answers[rpc_id] = answer

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        """Answer that the attempts are exhausted, which must not hide an execution."""
        method = self.open_method(rpc_id)
        assert 0 <= retry_after_ms <= self.deployment.max_retry_after_ms
        if method.idempotency != Idempotency.IDEMPOTENT and any(
            attempt.may_have_run for attempt in self.attempts[rpc_id]
        ):
            is_deduplicated = method.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
            assert is_deduplicated and method.dedup_scope == "all", (
                "rule 2: rejected as exhausted though it may have been executed"
            )
        self._close_rpc(rpc_id, "exhausted")

    def open_method(self, rpc_id: str) -> Method:
        """Return the method of an RPC that must be open."""
        assert rpc_id in self.open_rpcs, "rule 1: a second final answer"
        return self.open_rpcs[rpc_id][0]

    def fail(self, rpc_id: str) -> None:
        """Answer with an error."""
        self._close_rpc(rpc_id, "errored")

    def close_idle(self, backend_id: str) -> None:
        """Close the connections to a backend, which must be idle."""
        assert backend_id in self.endpoints and all(
            self.attempts[rpc_id][index].server != backend_id for rpc_id, index in self.in_flight
        )
        self.closed_backends.append(backend_id)

    def schedule_wakeup(self, at_ms: float) -> None:
        """Schedule a call of the router."""
        self.wakeups.append(at_ms)

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        """Record an ejection, which must follow failures."""
        assert failures > 0, "ejected without a failure"
        self.logs.append(f"backend_ejected {backend_id}")

    def backend_recovered(self, backend_id: str) -> None:
        """Record the end of an ejection."""
        self.logs.append(f"backend_recovered {backend_id}")

    # ---- input of the router

    def decide_until_idle(self) -> None:
        """Run decisions until the router has none left, and check that no RPC is lost."""
        for _ in range(100000):
            if not self.router.decide(self.now, self):
                break
        else:
            raise AssertionError("decisions without end")
        for rpc_id, (_, deadline) in self.open_rpcs.items():
            assert self.now <= deadline, f"rule 1: {rpc_id} lost"

    def receive_endpoints(
        self, endpoints: list[Endpoint], kind: EndpointUpdate = EndpointUpdate.SNAPSHOT
    ) -> None:
        """Pass a list of endpoints, or its failure, to the router."""
        if kind != EndpointUpdate.DELTA and kind != EndpointUpdate.FAILED:
            for id, old in self.endpoints.items():
                self.endpoints[id] = Endpoint(
                    id,
                    old.zone,
                    old.cell,
                    old.started_ms,
                    EndpointState.REMOVED,
                    old.kind,
                    old.size,
                )
        for new in endpoints:
            if new.id not in self.endpoints or self.endpoints[new.id].started_ms != new.started_ms:
                self.sends_before_start[new.id] = len(self.sends)
            self.endpoints[new.id] = new
            if new.state == EndpointState.DRAINING:
                self.draining_ids.add(new.id)
            elif new.state == EndpointState.READY:
                self.draining_ids.discard(new.id)
        if kind != EndpointUpdate.FAILED:  # the previous list stays valid
            self.router.update_endpoints(self.now, kind, endpoints)
        self.decide_until_idle()

    def arrive(
        self,
        key: str = "k",
        method: str = "",
        tenant: str = "",
        write: bool = False,
        deadline_in_ms: float = 0.0,
    ) -> str:
        """Pass a new RPC to the router and return its id; it ends `deadline_in_ms` from now."""
        self.rpc_count += 1
        rpc_id, called = (
            f"rpc{self.rpc_count}",
            self.methods[method or self.deployment.methods[0].name],
        )
        deadline_in_ms = deadline_in_ms or called.hard_ms
        self.arrivals.append(self.now)
        self.open_rpcs[rpc_id], self.attempts[rpc_id] = (called, self.now + deadline_in_ms), []
        self.router.rpc_arrived(self.now, rpc_id, key, called.name, tenant, write, deadline_in_ms)
        self.decide_until_idle()
        return rpc_id

    def request_hot_key(self) -> None:
        """Send 200 RPCs, a quarter of them for one key; all are answered at once."""
        for i in range(200):
            self.end_attempt(self.arrive("hot" if i % 4 == 0 else f"k{i}"), Outcome.COMPLETED)

    def end_attempt(self, rpc_id: str, outcome: Outcome, index: int = -1) -> None:
        """End an attempt of an RPC, by default the last one."""
        index = index if index >= 0 else len(self.attempts[rpc_id]) - 1
        attempt = self.attempts[rpc_id][index]
        attempt.done, attempt.may_have_run = (
            True,
            attempt.may_have_run and outcome not in NOT_EXECUTED,
        )
        self.in_flight.remove((rpc_id, index))
        if outcome == Outcome.COMPLETED and rpc_id in self.open_rpcs:
            self._close_rpc(rpc_id, "completed")
        is_answered = rpc_id not in self.open_rpcs
        self.router.attempt_ended(
            self.now, rpc_id, index, outcome, is_answered, self.now - attempt.sent_at, {}
        )
        self.decide_until_idle()

    def pass_time(self, duration_ms: float) -> None:
        """Let time pass, with timeouts, cancellations and wakeups in their order."""
        end = self.now + duration_ms
        while True:
            attempt_ends = [
                (self.attempts[rpc_id][index].ends_at, rpc_id, index)
                for rpc_id, index in self.in_flight
            ]
            attempt_end, rpc_id, index = min(attempt_ends, default=(float("inf"), "", 0))
            wakeup = min(self.wakeups, default=float("inf"))
            if min(attempt_end, wakeup) > end:
                break
            self.now = max(self.now, min(attempt_end, wakeup))
            if attempt_end <= wakeup:
                self.end_attempt(
                    rpc_id,
                    Outcome.CANCELLED
                    if self.attempts[rpc_id][index].cancelled
                    else Outcome.TIMEOUT,
                    index,
                )
            else:
                self.wakeups.remove(wakeup)
                self.router.timer_fired(self.now)
                self.decide_until_idle()
        self.now = end

    def step(self) -> None:
        """Cause one random event; several faults may overlap."""
        rng = self.rng
        draw = rng.random()
        if draw < 0.4:
            key = "" if rng.random() < 0.1 else f"key{int(rng.paretovariate(0.7)) % 50}"
            method = rng.choice(self.deployment.methods)
            tenant = rng.choice([candidate.name for candidate in self.deployment.tenants] or [""])
            for _ in range(rng.choice([1, 1, 1, 30])):
                deadline_in_ms = method.hard_ms * rng.choice([0.02, 0.5, 1.0])
                self.arrive(key, method.name, tenant, rng.random() < 0.1, deadline_in_ms)
        elif draw < 0.8 and self.in_flight:
            for rpc_id, index in rng.sample(self.in_flight, min(len(self.in_flight), 8)):
                behavior = self.behaviors.get(self.attempts[rpc_id][index].server, "well")
                if (rpc_id, index) in self.in_flight and behavior != "silent":
                    odds = {
                        "well": [8, 2, 1],
                        "full": [1, 0, 8],
                        "dead": [0, 0, 1],
                        "aside": [1, 8, 1],
                    }[behavior]
                    failures = {
                        "full": Outcome.OVERLOADED,
                        "dead": rng.choice([Outcome.RESET, Outcome.CONNECT_FAILED]),
                    }
                    failure = failures.get(
                        behavior, rng.choice([Outcome.ERROR, Outcome.CANCELLED, Outcome.OVERLOADED])
                    )
                    self.end_attempt(
                        rpc_id,
                        rng.choices([Outcome.COMPLETED, Outcome.MISS, failure], odds)[0],
                        index,
                    )
        elif draw < 0.84 and self.endpoints:
            server = rng.choice(sorted(self.endpoints))
            self.behaviors[server] = rng.choice(["well", "silent", "full", "dead", "aside"])
        elif draw < 0.87 and self.endpoints:
            old = self.endpoints[rng.choice(sorted(self.endpoints))]
            state = rng.choice(
                [
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.REMOVED,
                ]
            )
            started = self.now - 1 if old.state == EndpointState.REMOVED else old.started_ms
            kind = (
                old.kind
                if rng.random() < 0.7 or old.kind == self.deployment.origin_kind
                else rng.choice([0, 1, -2])
            )
            changed = Endpoint(old.id, old.zone, old.cell, started, state, kind, old.size)
            self.receive_endpoints([changed], EndpointUpdate.DELTA)
        elif draw < 0.88:
            self.receive_endpoints([], EndpointUpdate.FAILED)
        elif draw < 0.89 and self.open_rpcs:
            rpc_id = rng.choice(sorted(self.open_rpcs))
            del self.open_rpcs[rpc_id]
            self.router.client_disconnected(self.now, rpc_id)
            self.decide_until_idle()
        elif draw < 0.9:  # calls for an unknown RPC
            self.router.attempt_ended(self.now, "nobody", 0, Outcome.COMPLETED, True, 1.0, {})
            self.router.client_disconnected(self.now, "nobody")
            self.decide_until_idle()
        else:
            self.pass_time(rng.choice([1.0, 20.0, 200.0]))
