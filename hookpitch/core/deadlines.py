"""The timers of a node: one heap of scheduled calls behind a single wake-up of the event loop."""

from __future__ import annotations

import heapq
from collections.abc import Callable

NEVER = float("inf")
MIN_CANCELLED_TO_COMPACT = 64


class Deadline:
    """A call scheduled for the time `at`; `call` is None once it has been made or cancelled."""

    __slots__ = ("at", "call")

    def __init__(self, at: float, call: Callable[[float], None]) -> None:
        self.at = at
        self.call: Callable[[float], None] | None = call


class Deadlines:
    """Scheduled calls, ordered by time and, where times are equal, by when they were added."""

    def __init__(self, arm: Callable[[float], None]) -> None:
        """Start empty; `arm(at)` schedules the single wake-up, which has to call `run`."""
        self._arm = arm
        self._armed_at = NEVER
        # The time, the sequence number that orders calls due at the same time, and the call.
        self._heap: list[tuple[float, int, Deadline]] = []
        self._added = 0
        self._cancelled = 0  # cancelled calls that are still in the heap

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def add(self, at: float, call: Callable[[float], None]) -> Deadline:
        """Schedule `call(now)` for the time `at`."""
        self._added += 1
        deadline = Deadline(at, call)
        heapq.heappush(self._heap, (at, self._added, deadline))
        if at < self._armed_at:
            self._armed_at = at
            self._arm(at)
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a scheduled call; do nothing if there is none, or it was made or cancelled."""
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self._cancelled += 1
        # An RPC that is answered within a millisecond leaves a cancelled call behind that would be
        # due seconds later. Compaction keeps such calls from filling the heap.
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    @property
    def next_due(self) -> float:
        """The time of the earliest scheduled call; `NEVER` if there is none."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else NEVER

    def run(self, now: float) -> None:
        """Make all calls that are due, in order, and schedule the next wake-up."""
        try:
            while self.next_due <= now:
                deadline = heapq.heappop(self._heap)[2]
                call = deadline.call
                deadline.call = None
                if call is not None:
                    call(now)
        finally:
            # An exception in a call must not leave the node without a wake-up.
            self._armed_at = self.next_due
            if self._armed_at < NEVER:
                self._arm(self._armed_at)
