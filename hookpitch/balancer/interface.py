"""The types between a host and the decisions.

A host (the node on sockets, or the bench's adapter) makes one `router.Router` for an instance from
a `Deployment`, calls its inputs as things happen, then calls `decide(now, host)` until that returns
False; a call hands at most one decision to the host. Times are float milliseconds of the host's
clock. Ids of RPCs and backends are strings of the host's choice.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Protocol

# By field: utilisation, inflight, queue, recent_ms, rate, errors_per_s, x0, x1.
Report = Mapping[str, float]


class Outcome(IntEnum):
    """How an attempt ended."""

    COMPLETED = 0
    MISS = 1
    OBSOLETE = 2
    CANCELLED = 3
    RESET = 4
    CONNECT_FAILED = 5
    TIMEOUT = 6
    OVERLOADED = 7
    ERROR = 8
    MALFORMED = 9  # an answer came that cannot be read; the RPC may have run


# A tuple: an enum's hash is a call of Python code, its identity is not.
NOT_EXECUTED = (Outcome.MISS, Outcome.OBSOLETE, Outcome.CONNECT_FAILED, Outcome.OVERLOADED)


class EndpointState(IntEnum):
    """What the endpoint list says of a backend."""

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


# Of backends that drop each other's repeats, the smallest first.
DEDUP_SCOPES = ("cell", "zone", "all")


@dataclass(frozen=True, slots=True)
class Method:
    """A class of RPCs."""

    name: str
    soft_ms: float
    hard_ms: float
    gain: float
    late_gain: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: str = "all"  # of the backends that drop its repeats: one of DEDUP_SCOPES
    dedup_window_ms: float = 0.0
    streamed: bool = False
    # The only kinds of machine and the only zones it may be sent to; empty: any. The origin is
    # always allowed.
    kinds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()

    def restricted_by(self, new: Method | None) -> Method:
        """Return the method for an RPC in flight once its settings have changed or are gone.

        Its deadlines and gain stay; of what binds a further attempt the stricter holds.
        """
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
    """One backend as the endpoint list has it."""

    id: str
    zone: str
    cell: int
    started_ms: float
    state: EndpointState
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of a node, as it starts or reloads."""

    seed: int
    nodes: int
    methods: tuple[Method, ...]
    tenants: tuple[Tenant, ...]
    polling_required: bool  # discovery sends nothing by itself
    origin_kind: int  # the kind of the origin's endpoint, -1 where caches fetch for themselves
    tick_ms: float
    max_attempts: int
    hedging_allowed: bool
    cancellation_enabled: bool
    max_retry_after_ms: float  # 0 where clients are given no time
    poll_interval_ms: float
    slow_start_fraction: float
    slow_start_ms: float
    overload_factor: float
    overload_window_ms: float
    connection_hold_cost: float  # points for a hundred connections held at each server, and
    connection_open_cost: float  # for a new connection with each RPC
    over_quota_gain_factor: float  # the part of its gain that an RPC over quota keeps
    # Listed sizes are cut by the load: nominal / (1 + RPCs in flight for each core).
    weights_reflect_load: bool = False
    kinds: tuple[str, ...] = ()  # names of the machine kinds, in the order of their numbers
    connect_timeout_ms: float = 250.0
    connection_idle_timeout_ms: float = 15000.0  # a backend closes connections idle for so long
    # Only a backend seen draining is sent nothing new; removal alone binds nothing.
    removal_is_advisory: bool = False
    # What the goal gives for each tenfold fall of the loss, and how many falls earn it in full.
    availability_bonus_per_nine: float = 0.0
    availability_bonus_nines: float = 3.0


class RouterHost(Protocol):
    """Carries the decisions out."""

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        """Send an RPC's next attempt.

        It is waited for until `timeout_ms`, and has to be started within `start_within_ms` or not
        at all.
        """

    def cancel(self, rpc_id: str, attempt: int) -> None:
        """Cancel an attempt; its end is an input as any other."""

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        """Answer an RPC as rejected; its client may retry."""

    def fail(self, rpc_id: str) -> None:
        """Answer an RPC as failed; it may have run."""

    def close_idle(self, backend_id: str) -> None:
        """Close a backend's idle connections."""

    def schedule_wakeup(self, at_ms: float) -> None:
        """Call `timer_fired` and `decide` at a time; the latest call counts."""

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        """Log that a backend was ejected after so many failures in a row."""

    def backend_recovered(self, backend_id: str) -> None:
        """Log that an ejected backend has answered again."""
