"""All deadlines of a node, in one ordered structure."""

from __future__ import annotations

import heapq
from collections.abc import Callable

FAR = float("inf")


class Deadline:
    """One place in the order; `cancel` takes it out."""

    __slots__ = ("at", "call")

    def __init__(self, at: float, call: Callable[[float], None]) -> None:
        self.at = at
        self.call: Callable[[float], None] | None = call


class Deadlines:
    def __init__(self, arm: Callable[[float], None]) -> None:
        self._arm, self._armed = arm, FAR  # asks for the one wake-up, at a time
        self._heap: list[tuple[float, int, Deadline]] = []  # the number keeps the order of adding
        self._count = self._dropped = 0

    def __len__(self) -> int:
        return len(self._heap) - self._dropped

    def add(self, at: float, call: Callable[[float], None]) -> Deadline:
        """`call(now)` is due at `at`."""
        self._count += 1
        deadline = Deadline(at, call)
        heapq.heappush(self._heap, (at, self._count, deadline))
        if at < self._armed:
            self._armed = at
            self._arm(at)
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self._dropped += 1
        if self._dropped > 64 and 2 * self._dropped > len(self._heap):
            # Danger: RPCs answered in a millisecond leave their deadlines of seconds behind.
            self._heap = [place for place in self._heap if place[2].call is not None]
            heapq.heapify(self._heap)
            self._dropped = 0

    @property
    def next_due(self) -> float:
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._dropped -= 1
        return self._heap[0][0] if self._heap else FAR

    def run(self, now: float) -> None:
        """The wake-up: call all that is due, in order, and ask for the next."""
        try:
            while self.next_due <= now:
                deadline = heapq.heappop(self._heap)[2]
                call, deadline.call = deadline.call, None
                if call is not None:
                    call(now)
        finally:  # Danger: a fault in one call must not leave the node without a wake-up.
            self._armed = self.next_due
            if self._armed < FAR:
                self._arm(self._armed)
