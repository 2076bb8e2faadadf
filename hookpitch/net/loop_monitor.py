"""The node's pulse: a beat a window, by which the node sees how late its own loop is."""

from __future__ import annotations

from collections.abc import Callable

from hookpitch.core.host import Host
from hookpitch.net.clock import Clock


class LoopMonitor:
    """Tells the host of each beat, and at once of a loop that was away."""

    def __init__(self, clock: Clock, host: Host, cpu: Callable[[], float]) -> None:
        """`cpu` tells the process's CPU time in seconds."""
        self.clock, self.host, self._cpu, self._used = clock, host, cpu, cpu()
        clock.on_late = self._late
        self.reconfigured()
        self._next()

    def reconfigured(self) -> None:
        """How late counts as away, by the settings' shortest soft deadline."""
        self.clock.late_threshold_ms = self.host.admission.pause_threshold_ms

    def _next(self) -> None:
        due = self.clock.now() + self.host.admission.window_ms
        self.clock.deadlines.add(due, lambda now: self._beat(now, now - due))

    def _beat(self, now: float, late: float) -> None:
        self._next()
        self._used = self._cpu()
        self.host.end_window(now, late, self._used * 1000)

    def _late(self, now: float, by: float) -> None:
        self.host.loop_late(now, by, (self._cpu() - self._used) * 1000)
