"""Measures how late the event loop runs its timers, once per admission window."""

from __future__ import annotations

from collections.abc import Callable

from hookpitch.core.host import Host
from hookpitch.net.clock import Clock


class LoopMonitor:
    """Ends the host's admission windows, and reports each stall of the event loop after it."""

    def __init__(self, clock: Clock, host: Host, cpu_time: Callable[[], float]) -> None:
        """Start monitoring; `cpu_time` returns the CPU seconds that the process has used."""
        self._clock = clock
        self._host = host
        self._cpu_time = cpu_time
        self._window_start_cpu_s = cpu_time()
        clock.on_late = self._report_stall
        self.reconfigured()
        self._schedule()

    def reconfigured(self) -> None:
        """Apply the current settings: the delay above which a late timer counts as a stall."""
        self._clock.late_threshold_ms = self._host.admission.pause_threshold_ms

    def _schedule(self) -> None:
        due = self._clock.now() + self._host.admission.window_ms
        self._clock.deadlines.add(due, lambda now: self._end_window(now, now - due))

    def _end_window(self, now: float, late_ms: float) -> None:
        self._schedule()
        self._window_start_cpu_s = self._cpu_time()
        self._host.end_window(now, late_ms, self._window_start_cpu_s * 1000)

    def _report_stall(self, now: float, late_ms: float) -> None:
        cpu_ms = (self._cpu_time() - self._window_start_cpu_s) * 1000
        self._host.loop_late(now, late_ms, cpu_ms)
