"""The node's clock: Unix time in milliseconds that never jumps, and the timer of all deadlines.

The offset between the monotonic clock and Unix time is determined once, at construction.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from hookpitch.core.deadlines import Deadlines


class Clock:
    """Returns the time, and runs all deadlines with one timer of the reactor."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - Twisted's and the simulation's reactors have no common type
        monotonic: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
    ) -> None:
        """Create a clock; `monotonic` and `unix` return seconds."""
        self._reactor = reactor
        self.monotonic = monotonic  # seconds, alike in all processes of the machine
        self._offset_s = unix() - monotonic()
        self._timer: Any = None
        self.deadlines = Deadlines(self._arm)
        # Called with the time and the delay, before deadlines run that are late by more than the
        # threshold.
        self.on_late: Callable[[float, float], None] | None = None
        self.late_threshold_ms = float("inf")

    def now(self) -> float:
        """Return the Unix time in milliseconds."""
        return (self.monotonic() + self._offset_s) * 1000

    def _arm(self, at: float) -> None:
        delay_s = max(0.0, at - self.now()) / 1000
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay_s)
        else:
            self._timer = self._reactor.callLater(delay_s, self._run)

    def _run(self) -> None:
        self._timer = None
        now = self.now()
        late_ms = now - self.deadlines.next_due
        if late_ms > self.late_threshold_ms and self.on_late is not None:
            # After a stall, responses that arrived in time may still be unread. They are read
            # first, and the deadlines run in the next turn of the event loop.
            self.on_late(now, late_ms)
            self._timer = self._reactor.callLater(0, self._run_due)
            return
        self.deadlines.run(now)

    def _run_due(self) -> None:
        self._timer = None
        self.deadlines.run(self.now())
