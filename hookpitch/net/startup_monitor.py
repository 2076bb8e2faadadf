"""Observes, logs and counts the phases of a node's start (`startup/phases.py`).

Polls discovery early if the cached endpoints turn out to be outdated.
"""

from __future__ import annotations

from typing import Any

from hookpitch.balancer.interface import EndpointState
from hookpitch.core.host import Host
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.startup.phases import Phase, StartupPhases, StartupProgress

OBSERVE_INTERVAL_MS = 250.0
KNOWN_BACKEND_RESPONSES = 4  # responses of a backend after which its latency counts as known
# Failures without a response from any backend after which the cached endpoints count as outdated.
OUTDATED_FAILURES = 3


class StartupMonitor:
    """Observes one start until its last phase."""

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
        caches = [cache for cache in self._host.router.caches if cache.state == EndpointState.READY]
        if self._phases.advance(now, self._progress(caches)):
            self._report(now)
        # Otherwise a cached list whose backends have all been replaced would be used until the next
        # regular poll.
        if (
            self._phases.phase == Phase.AWAITING_ENDPOINTS
            and _are_outdated(caches)
            and self._discovery.poll_schedule.expedite(now)
        ):
            self._discovery.schedule_poll()
        if self._phases.phase != Phase.STEADY:
            self._schedule(now)

    def _progress(self, caches: list[Any]) -> StartupProgress:
        counts = self._host.counters.counts
        contacted = [
            cache for cache in caches if cache.send_count or cache.send_rate or cache.response_count
        ]
        return StartupProgress(
            endpoints_received="lists.full" in counts or "lists.delta" in counts,
            contacted=len(contacted),
            answered=sum(cache.response_count > 0 for cache in contacted),
            warmed_up=sum(cache.response_count >= KNOWN_BACKEND_RESPONSES for cache in contacted),
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


def _are_outdated(caches: list[Any]) -> bool:
    """Return whether no cache is known, or none has responded and several attempts failed."""
    if not caches:
        return True
    failures = sum(cache.consecutive_failures for cache in caches)
    return failures >= OUTDATED_FAILURES and not any(cache.response_count for cache in caches)
