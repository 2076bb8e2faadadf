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
    MOOT = 2
    CANCELLED = 3
    RESET = 4
    CONNECT_FAILED = 5
    TIMEOUT = 6
    FULL = 7
    ERROR = 8
    SPOILT = 9  # an answer came that cannot be read; it may have run


# A tuple: an enum's hash is a call of Python code, its identity is not.
NEVER_RAN = (Outcome.MISS, Outcome.MOOT, Outcome.CONNECT_FAILED, Outcome.FULL)


class State(IntEnum):
    """What the list of servers says of one."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a message from discovery holds."""

    CACHED = 0
    DELTA = 2
    FULL = 3
    FAILED = 4


class Idempotency(IntEnum):
    """Whether an RPC may run again."""

    RETRIABLE = 0
    DEDUPED = 1
    NON_RETRIABLE = 2


GROUPS = ("cell", "zone", "all")  # of servers that drop each other's repeats, the smallest first


@dataclass(frozen=True, slots=True)
class Method:
    """A class of RPCs."""

    name: str
    soft_ms: float
    hard_ms: float
    gain: float
    late_gain: float = 0.0
    idempotency: Idempotency = Idempotency.RETRIABLE
    group: str = "all"  # of the servers that drop its repeats: all, zone or cell
    window_ms: float = 0.0
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
            group=min(self.group, new.group, key=GROUPS.index),
            window_ms=min(self.window_ms, new.window_ms),
            kinds=new.kinds or self.kinds,
            zones=new.zones or self.zones,
        )


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its quota over all nodes."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Entry:
    """One server as the list has it."""

    id: str
    zone: str
    cell: int
    started_ms: float
    state: State
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a node is told of its deployment when it starts."""

    seed: int
    nodes: int
    methods: tuple[Method, ...]
    customers: tuple[Customer, ...]
    must_ask: bool  # discovery tells nothing unasked
    origin_kind: int  # the kind of the origin's entry, -1 where caches fetch for themselves
    tick_ms: float
    max_transmissions: int
    second_copies: bool
    cancelling: bool
    max_retry_after_ms: float  # 0 where clients are not told
    ask_within_ms: float
    cold_share: float
    cold_ms: float
    overload_factor: float
    tip_after_ms: float
    hold_cost: float  # points for a hundred connections held at each server, and
    dial_cost: float  # for a new connection with each RPC
    overage_gain: float  # the part of its gain that an RPC over its customer's share keeps
    live_sizes: bool = False  # listed sizes are cut by the load: nominal / (1 + RPCs held a core)
    kinds: tuple[str, ...] = ()  # names of the machine kinds, in the order of their numbers
    dial_timeout_ms: float = 250.0
    conn_idle_ms: float = 15000.0  # a server closes a connection that was idle for so long
    gone_is_advice: bool = (
        False  # only a server seen draining is sent nothing new; gone alone binds nothing
    )
    nines_part: float = (
        0.0  # what the goal gives for each tenfold step by which little is lost, and
    )
    nines_full: float = 3.0  # how many such steps earn it in full


class Host(Protocol):
    """What carries the decisions out."""

    # `limit_ms`: until it is waited for; `begin_ms`: until it has to be begun, or never
    def send(self, rpc_id: str, server_id: str, limit_ms: float, begin_ms: float) -> None: ...
    def cancel(self, rpc_id: str, tx: int) -> None: ...
    def exhaust(self, rpc_id: str, retry_after_ms: float) -> None: ...
    def error(self, rpc_id: str) -> None: ...
    def close(self, server_id: str) -> None: ...
    def wake(self, at_ms: float) -> None: ...
    def log(self, text: str) -> None: ...
