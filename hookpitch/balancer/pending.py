"""What is waiting to be decided, and the timers that bring more of it.

State: queues that other modules append to and `Router.decide` takes from, in the order of
`decide`; `timers` is a heap of `Timer`. Nothing here is a decision: an entry may be void by the
time it is taken.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.rpc import Attempt, Rpc

MAX_HEALTH_CHANGES = 8  # waiting to be logged; the oldest are dropped


class Timer(NamedTuple):
    """A time at which an RPC is looked at: for its attempt, or for its stay in a queue."""

    at_ms: float
    number: int  # no two are alike, so RPCs are never compared
    rpc: Rpc
    attempt: Attempt | None


class HealthChange(NamedTuple):
    """A backend was ejected, after so many failures in a row, or has recovered."""

    backend_id: str
    ejected: bool
    failures: int = 0


class PendingWork:
    """All that is to be decided."""

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
        self.freed_backends: deque[Backend] = deque()  # where a queued RPC may have its turn
        self.idle_to_close: deque[Backend] = deque()
        self.health_changes: deque[HealthChange] = deque(maxlen=MAX_HEALTH_CHANGES)
        self.timers: list[Timer] = []

    def schedule(self, at_ms: float, rpc: Rpc, attempt: Attempt | None) -> None:
        """Have an RPC looked at again."""
        heapq.heappush(self.timers, Timer(at_ms, self._next_number(), rpc, attempt))
