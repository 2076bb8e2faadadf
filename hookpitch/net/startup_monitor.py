"""Observes the phases of a node's start (`startup/phases.py`), logs and counts them, and polls
discovery early where the cached endpoints are of no use."""

from __future__ import annotations

from typing import Any

from hookpitch.balancer.interface import EndpointState
from hookpitch.core.host import Host
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.startup.phases import Phase, StartupPhases, StartupProgress

OBSERVE_INTERVAL_MS = 250.0
KNOWN_BACKEND_RESPONSES = 4  # of one backend, from which on its latency counts as known
# Failures without a response from any backend, after which the cached endpoints count as outdated.
OUTDATED_FAILURES = 3


class StartupMonitor:
    """Follows one start until its last phase."""

    def __init__(self, clock: Clock, host: Host, discovery: Discovery, logger: Any) -> None:  # noqa: ANN401 - see SocketNode
        self._clock = clock
        self._host = host
        self._discovery = discovery
        self._logger = logger
        self._phases = StartupPhases(clock.now())

    @property
    def phase(self) -> Phase:
        """The phase at the last observation."""
        return self._phases.phase

    def start(self) -> None:
        """Observe every `OBSERVE_INTERVAL_MS` until the start is over."""
        self._schedule(self._clock.now())

    def _schedule(self, now: float) -> None:
        self._clock.deadlines.add(now + OBSERVE_INTERVAL_MS, self._observe)

    def _observe(self, now: float) -> None:
        caches = [c for c in self._host.router.caches if c.state == EndpointState.READY]
        if self._phases.advance(now, self._progress(caches)):
            self._report(now)
        # Without this, a cached list whose servers have all been replaced would be used until the
        # next regular poll.
        if (
            self._phases.phase == Phase.AWAITING_ENDPOINTS
            and _outdated(caches)
            and self._discovery.poll_schedule.expedite(now)
        ):
            self._discovery.schedule_poll()
        if self._phases.phase != Phase.STEADY:
            self._schedule(now)

    def _progress(self, caches: list[Any]) -> StartupProgress:
        counts = self._host.counters.counts
        contacted = [c for c in caches if c.send_count or c.send_rate or c.response_count]
        return StartupProgress(
            endpoints_received="lists.full" in counts or "lists.delta" in counts,
            contacted=len(contacted),
            answered=sum(c.response_count > 0 for c in contacted),
            warmed_up=sum(c.response_count >= KNOWN_BACKEND_RESPONSES for c in contacted),
        )

    def _report(self, now: float) -> None:
        phases = self._phases
        elapsed_ms = round(now - phases.started_at)
        if phases.missing:
            self._host.counters.add(f"start.{phases.missing}")
        elif phases.phase == Phase.CONNECTING:
            self._host.counters.add("start.listed_ms", elapsed_ms)
        self._logger.info(
            "start_phase_changed",
            phase=phases.phase.name.lower(),
            elapsed_ms=elapsed_ms,
            missing=phases.missing or "nothing",
        )


def _outdated(caches: list[Any]) -> bool:
    """Whether the backends that are known give no responses at all."""
    if not caches:
        return True
    failures = sum(c.consecutive_failures for c in caches)
    return failures >= OUTDATED_FAILURES and not any(c.response_count for c in caches)
