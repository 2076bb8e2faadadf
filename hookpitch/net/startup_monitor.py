"""Observes the phases of a node's start (`startup/phases.py`), logs and counts them, and polls
discovery early where the cached endpoints are of no use."""

from __future__ import annotations

from typing import Any

from hookpitch.balancer.interface import EndpointState
from hookpitch.core.host import Host
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.startup.phases import Phase, Seen, Start

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
        self._phases = Start(clock.now())

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
        if self._phases.look(now, self._progress(caches)):
            self._report(now)
        # Without this, a cached list whose servers have all been replaced would be used until the
        # next regular poll.
        if (
            self._phases.phase == Phase.KNOWN
            and _outdated(caches)
            and self._discovery.poll_schedule.expedite(now)
        ):
            self._discovery.begin()
        if self._phases.phase != Phase.ORDINARY:
            self._schedule(now)

    def _progress(self, caches: list[Any]) -> Seen:
        counts = self._host.counters.counts
        asked = [c for c in caches if c.sent or c.rate or c.heard]
        return Seen(
            listed="lists.full" in counts or "lists.delta" in counts,
            asked=len(asked),
            answered=sum(c.heard > 0 for c in asked),
            known=sum(c.heard >= KNOWN_BACKEND_RESPONSES for c in asked),
        )

    def _report(self, now: float) -> None:
        phases = self._phases
        elapsed_ms = round(now - phases.begun)
        if phases.lacked:
            self._host.counters.add(f"start.{phases.lacked}")
        elif phases.phase == Phase.DIALLING:
            self._host.counters.add("start.listed_ms", elapsed_ms)
        self._logger.info(
            "start_phase_changed",
            phase=phases.phase.name.lower(),
            elapsed_ms=elapsed_ms,
            missing=phases.lacked or "nothing",
        )


def _outdated(caches: list[Any]) -> bool:
    """Whether the backends that are known give no responses at all."""
    if not caches:
        return True
    failures = sum(c.failures for c in caches)
    return failures >= OUTDATED_FAILURES and not any(c.heard for c in caches)
