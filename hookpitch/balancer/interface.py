"""Plain types that stand between a host (the bench's adapter, later a node on sockets) and the
decisions.

A host makes one `Node` (see decisions.py) per instance from a `Deployment`, tells it what happens
through
its input calls, then calls `decide(now, host)` until that returns False; a call hands at most one
decision to
the host. Times are float milliseconds of the host's clock. Ids are used at this door only.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Protocol

Report = Mapping[str, float]  # utilisation, inflight, queue, recent_ms, rate, errors_per_s, x0, x1


class Outcome(IntEnum):
    """How a transmission ended."""

    COMPLETED = 0
    MISS = 1
    OBSOLETE = 2
    CANCELLED = 3
    RESET = 4
    CONNECT_FAILED = 5
    TIMEOUT = 6
    OVERLOADED = 7
    ERROR = 8
    MALFORMED = 9  # an answer came that cannot be read; it may have run


# A tuple: an enum's hash is a call of Python code, its identity is not.
NOT_EXECUTED = (Outcome.MISS, Outcome.OBSOLETE, Outcome.CONNECT_FAILED, Outcome.OVERLOADED)


class EndpointState(IntEnum):
    """What the list of servers says of one."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdate(IntEnum):
    """What a message from discovery holds."""

    CACHED = 0
    DELTA = 2
    SNAPSHOT = 3
    FAILED = 4


class Idempotency(IntEnum):
    """Whether an RPC may run again."""

    IDEMPOTENT = 0
    IDEMPOTENT_WITH_KEY = 1
    NON_IDEMPOTENT = 2


DEDUP_SCOPES = (
    "cell",
    "zone",
    "all",
)  # of servers that drop each other's repeats, the smallest first


@dataclass(frozen=True, slots=True)
class Method:
    """A class of RPCs."""

    name: str
    soft_ms: float
    hard_ms: float
    gain: float
    late_gain: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: str = "all"  # of the servers that drop its repeats: all, zone or cell
    dedup_window_ms: float = 0.0
    streamed: bool = False
    kinds: tuple[str, ...] = ()  # the only kinds of machine, and
    zones: tuple[
        str, ...
    ] = ()  # the only locations it may be sent to; empty: any. The origin is always open

    def under(self, new: Method | None) -> Method:
        """For an RPC in flight, once the settings say otherwise of its method, or know it no more:
        its
        deadlines and gain stay, and of what binds a further transmission the stricter holds."""
        if new is None or new == self:
            return self
        return replace(
            self,
            idempotency=max(self.idempotency, new.idempotency),
            dedup_scope=min(self.dedup_scope, new.dedup_scope, key=DEDUP_SCOPES.index),
            dedup_window_ms=min(self.dedup_window_ms, new.dedup_window_ms),
            kinds=new.kinds or self.kinds,
            zones=new.zones or self.zones,
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota over all nodes."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as the list has it."""

    id: str
    zone: str
    cell: int
    started_ms: float
    state: EndpointState
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a node is told of its deployment when it starts."""

    seed: int
    nodes: int
    methods: tuple[Method, ...]
    tenants: tuple[Tenant, ...]
    polling_required: bool  # discovery tells nothing unasked
    origin_kind: int  # the kind of the origin's entry, -1 where caches fetch for themselves
    tick_ms: float
    max_attempts: int
    hedging_allowed: bool
    cancellation_enabled: bool
    max_retry_after_ms: float  # 0 where clients are not told
    poll_interval_ms: float
    slow_start_fraction: float
    slow_start_ms: float
    overload_factor: float
    overload_window_ms: float
    connection_hold_cost: float  # points for a hundred connections held at each server, and
    connection_open_cost: float  # for a new connection with each RPC
    over_quota_gain_factor: (
        float  # the part of its gain that an RPC over its customer's share keeps
    )
    weights_reflect_load: bool = (
        False  # listed sizes are cut by the load: nominal / (1 + RPCs held a core)
    )
    kinds: tuple[str, ...] = ()  # names of the machine kinds, in the order of their numbers
    connect_timeout_ms: float = 250.0
    connection_idle_timeout_ms: float = (
        15000.0  # a server closes a connection that was idle for so long
    )
    removal_is_advisory: bool = (
        False  # only a server seen draining is sent nothing new; gone alone binds nothing
    )
    availability_bonus_per_nine: float = (
        0.0  # what the goal gives for each tenfold step by which little is lost, and
    )
    availability_bonus_nines: float = 3.0  # how many such steps earn it in full


class RouterHost(Protocol):
    """What carries the decisions out."""

    # `limit_ms`: until it is waited for; `begin_ms`: until it has to be begun, or never
    def send(
        self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float
    ) -> None: ...
    def cancel(self, rpc_id: str, attempt: int) -> None: ...
    def reject(self, rpc_id: str, retry_after_ms: float) -> None: ...
    def fail(self, rpc_id: str) -> None: ...
    def close_idle(self, backend_id: str) -> None: ...
    def schedule_wakeup(self, at_ms: float) -> None: ...
    def log(self, text: str) -> None: ...
