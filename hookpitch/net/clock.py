"""The clock: one monotonic clock, its offset to Unix time fixed at the start, and the one
wake-up."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from hookpitch.core.deadlines import Deadlines


class Clock:
    """Tells milliseconds of Unix time that never jump, and runs the deadlines."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        monotonic: Callable[[], float] = time.monotonic,  # noqa: ANN401
        unix: Callable[[], float] = time.time,
    ) -> None:
        self._reactor, self._monotonic = reactor, monotonic
        self._offset = unix() - monotonic()
        self._call: Any = None
        self.deadlines = Deadlines(self._arm)
        self.on_late: Callable[[float, float], None] | None = None  # told the time and by how much
        self.late_threshold_ms = float("inf")

    def now(self) -> float:
        return (self._monotonic() + self._offset) * 1000

    def _arm(self, at: float) -> None:
        delay = max(0.0, at - self.now()) / 1000
        if self._call is not None and self._call.active():
            self._call.reset(delay)
        else:
            self._call = self._reactor.callLater(delay, self._run)

    def _run(self) -> None:
        self._call = None
        now = self.now()
        by = now - self.deadlines.next_due
        if by > self.late_threshold_ms and self.on_late is not None:
            # Danger: after a pause, what came in time stands unread, and its deadline would be seen
            # first.
            self.on_late(now, by)
            self._call = self._reactor.callLater(0, self._run_all)
            return
        self.deadlines.run(now)

    def _run_all(self) -> None:
        self._call = None
        self.deadlines.run(self.now())
