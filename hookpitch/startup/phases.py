"""The phases of a node's start: what each phase waits for, and when it times out.

| phase | what the node has | complete when | times out after |
| --- | --- | --- | --- |
| AWAITING_ENDPOINTS | configured or cached endpoints, or none | discovery sent a list | 15 s |
| CONNECTING | a current list | half of the contacted backends have answered | 10 s |
| WARMING_UP | connections | half of the contacted backends have answered often enough | 30 s |
| STEADY | everything that a node learns during its start | | |

The node serves in every phase, as an old list is better than none. A phase that times out records
what was missing in `missing`, which the caller counts and logs; if no backend was contacted,
nothing is missing. A process that was suspended finds its phase timed out and moves on.

Invariant: a call advances the phase by at most one, and no call moves it back. Times are in
milliseconds. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

# The timeouts are measured from the start of their phase.
ENDPOINTS_TIMEOUT_MS = 15000.0
CONNECT_TIMEOUT_MS = 10000.0
WARMUP_TIMEOUT_MS = 30000.0


class Phase(IntEnum):
    """The phase of a start; its number is one of the node's metrics."""

    AWAITING_ENDPOINTS = 0
    CONNECTING = 1
    WARMING_UP = 2
    STEADY = 3


TIMEOUT_MS = {
    Phase.AWAITING_ENDPOINTS: ENDPOINTS_TIMEOUT_MS,
    Phase.CONNECTING: CONNECT_TIMEOUT_MS,
    Phase.WARMING_UP: WARMUP_TIMEOUT_MS,
}
# What was missing, as part of the names of counters (`start.unlisted` and so on).
MISSING_BY_PHASE = {
    Phase.AWAITING_ENDPOINTS: "unlisted",
    Phase.CONNECTING: "unanswered",
    Phase.WARMING_UP: "unknown",
}


@dataclass(frozen=True, slots=True)
class StartupProgress:
    """How far a start has progressed.

    `endpoints_received`: whether discovery has sent a list. `contacted`: the number of caches to
    which something was sent. `answered`: the number of these that have answered. `warmed_up`: the
    number that have answered often enough for their statistics to be usable.
    """

    endpoints_received: bool
    contacted: int
    answered: int
    warmed_up: int

    def completes(self, phase: Phase) -> bool:
        """Return whether this progress completes `phase`."""
        if phase == Phase.AWAITING_ENDPOINTS:
            return self.endpoints_received
        reached = self.answered if phase == Phase.CONNECTING else self.warmed_up
        return 0 < self.contacted <= 2 * reached


class StartupPhases:
    """The phase of one node's start; `missing` names what the last phase lacked, or is empty."""

    __slots__ = ("missing", "phase", "phase_started_at", "started_at")

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.phase_started_at = now
        self.phase = Phase.AWAITING_ENDPOINTS
        self.missing = ""

    def advance(self, now: float, progress: StartupProgress) -> bool:
        """Move on if the current phase is complete or timed out; return whether it moved."""
        if self.phase == Phase.STEADY:
            return False
        complete = progress.completes(self.phase)
        timed_out = now - self.phase_started_at >= TIMEOUT_MS[self.phase]
        if not complete and not timed_out:
            return False
        # Without RPCs no backend could have answered, so nothing is missing.
        sent_nothing = self.phase != Phase.AWAITING_ENDPOINTS and progress.contacted == 0
        self.missing = "" if complete or sent_nothing else MISSING_BY_PHASE[self.phase]
        self.phase = Phase(self.phase + 1)
        self.phase_started_at = now
        return True
