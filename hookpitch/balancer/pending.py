"""The work that waits for a decision, and the timers that add to it.

State: queues that other modules append to and `Router.decide` empties, in the order set there; and
`timers`, a heap of `Timer`. An entry is not a decision yet: it may no longer apply when it is
taken.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.rpc import Attempt, Rpc

MAX_HEALTH_CHANGES = 8  # that wait to be logged; the oldest are dropped


class Timer(NamedTuple):
    """A time at which to check an attempt or, without an attempt, an RPC's wait in a queue."""

    at_ms: float
    number: int  # unique, so that RPCs are never compared
    rpc: Rpc
    attempt: Attempt | None


class HealthChange(NamedTuple):
    """An ejection, with the number of consecutive failures before it, or a recovery."""

    backend_id: str
    ejected: bool
    failures: int = 0


class PendingWork:
    """Everything that waits for a decision."""

    __slots__ = (
        "_next_number",
        "cancellations",
        "freed_backends",
        "idle_to_close",
        "health_changes",
        "rpcs",
        "timers",
    )

    def __init__(self, draws: DrawSequence) -> None:
        self._next_number = draws.next_number
        self.rpcs: deque[Rpc] = deque()
        self.cancellations: deque[Attempt] = deque()
        self.freed_backends: deque[Backend] = deque()  # may have capacity for a queued RPC
        self.idle_to_close: deque[Backend] = deque()
        self.health_changes: deque[HealthChange] = deque(maxlen=MAX_HEALTH_CHANGES)
        self.timers: list[Timer] = []

    def schedule(self, at_ms: float, rpc: Rpc, attempt: Attempt | None) -> None:
        """Schedule a check of an attempt or, without an attempt, of an RPC's wait in a queue."""
        heapq.heappush(self.timers, Timer(at_ms, self._next_number(), rpc, attempt))
