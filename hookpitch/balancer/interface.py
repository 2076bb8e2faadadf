"""The types that the router and its host exchange.

A host (the node on sockets, or the adapter of the simulator) creates one `router.Router` for each
instance from a `Deployment` and calls its input methods as events occur. It then calls
`decide(now, host)` until that returns False; each call hands at most one decision to the host.
Times are milliseconds (float) of the host's clock. The host chooses the ids of RPCs and backends,
which are strings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Protocol

# A load report by field: utilisation, inflight, queue, recent_ms, rate, errors_per_s, x0, x1.
Report = Mapping[str, float]


class Outcome(IntEnum):
    """How an attempt ended."""

    COMPLETED = 0
    MISS = 1
    OBSOLETE = 2  # not sent, for a reason within this node
    CANCELLED = 3
    RESET = 4
    CONNECT_FAILED = 5
    TIMEOUT = 6
    OVERLOADED = 7
    ERROR = 8
    MALFORMED = 9  # the answer cannot be parsed; the RPC may have run
    NO_MEMORY = 10  # this node cannot hold the answer; the RPC may have run


# A tuple, because hashing an enum member calls Python code and comparing identities does not.
NOT_EXECUTED = (Outcome.MISS, Outcome.OBSOLETE, Outcome.CONNECT_FAILED, Outcome.OVERLOADED)


class EndpointState(IntEnum):
    """The state of a backend in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdate(IntEnum):
    """The kind of an endpoint update."""

    CACHED = 0  # a list to use until discovery sends one
    DELTA = 2  # the endpoints that have changed
    SNAPSHOT = 3  # all endpoints
    FAILED = 4  # discovery sent no list; the list in use stays


class Idempotency(IntEnum):
    """Whether an RPC may run more than once."""

    IDEMPOTENT = 0
    IDEMPOTENT_WITH_KEY = 1
    NON_IDEMPOTENT = 2


# The groups of backends that drop repeats of each other's RPCs, the smallest group first.
DEDUP_SCOPES = ("cell", "zone", "all")


@dataclass(frozen=True, slots=True)
class Method:
    """The settings of one class of RPCs."""

    name: str
    soft_ms: float
    hard_ms: float
    gain: float
    late_gain: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: str = "all"  # the backends that drop repeats: one of DEDUP_SCOPES
    dedup_window_ms: float = 0.0
    streamed: bool = False
    # The machine kinds and the zones that its RPCs may be sent to; empty: any. The origin is
    # always allowed.
    kinds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()

    def restricted_by(self, new: Method | None) -> Method:
        """Return the method for an RPC in flight after its settings have changed or been removed.

        The deadlines and the gain stay. Of the settings that restrict further attempts, the
        stricter ones apply.
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
    """One entry of the endpoint list."""

    id: str
    zone: str
    cell: int
    started_ms: float
    state: EndpointState
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of a node, at its start or after a reload."""

    seed: int
    nodes: int
    methods: tuple[Method, ...]
    tenants: tuple[Tenant, ...]
    polling_required: bool  # discovery sends updates only when polled
    origin_kind: int  # kind of the origin's endpoint; -1 where caches fetch from it themselves
    tick_ms: float
    max_attempts: int
    hedging_allowed: bool
    cancellation_enabled: bool
    max_retry_after_ms: float  # 0: clients are given no Retry-After time
    poll_interval_ms: float
    slow_start_fraction: float
    slow_start_ms: float
    overload_factor: float
    overload_window_ms: float
    connection_hold_cost: float  # points for a hundred connections held open to each backend
    connection_open_cost: float  # points for a new connection with each RPC
    over_quota_gain_factor: float  # fraction of its gain that an RPC over quota keeps
    # If set, listed sizes are reduced by load: nominal / (1 + RPCs in flight per core).
    weights_reflect_load: bool = False
    kinds: tuple[str, ...] = ()  # names of the machine kinds, by kind number
    connect_timeout_ms: float = 250.0
    connection_idle_timeout_ms: float = 15000.0  # backends close connections idle for longer
    # If set, removal from the list alone is not binding: only a backend seen draining is sent
    # nothing new.
    removal_is_advisory: bool = False
    # The bonus in the operators' goal for each tenfold reduction of the loss (one more "nine" of
    # availability), and the number of such reductions that earn it in full.
    availability_bonus_per_nine: float = 0.0
    availability_bonus_nines: float = 3.0


class RouterHost(Protocol):
    """Carries out the decisions of a router."""

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        """Send the next attempt of an RPC.

        The attempt times out after `timeout_ms`. If it cannot start within `start_within_ms`, it
        must not start at all.
        """

    def cancel(self, rpc_id: str, attempt: int) -> None:
        """Cancel an attempt; its end is reported like that of any other attempt."""

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        """Answer an RPC as rejected; the client may retry."""

    def fail(self, rpc_id: str) -> None:
        """Answer an RPC as failed; it may have run."""

    def close_idle(self, backend_id: str) -> None:
        """Close a backend's idle connections."""

    def schedule_wakeup(self, at_ms: float) -> None:
        """Call `timer_fired` and `decide` at `at_ms`; each call replaces the one before."""

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        """Log that a backend was ejected after so many consecutive failures."""

    def backend_recovered(self, backend_id: str) -> None:
        """Log that an ejected backend has answered again."""
