"""The phases of a node's start: what each one waits for, and when it is given up.

| phase | what the node has | ends when | given up after |
| --- | --- | --- | --- |
| AWAITING_ENDPOINTS | configured or cached endpoints, or none | discovery sent a list | 15 s |
| CONNECTING | a current list | half of the contacted backends have answered | 10 s |
| WARMING_UP | connections | half of the contacted backends have answered often enough | 30 s |
| STEADY | all that a node learns | | |

The node serves in every phase: an old list is better than none. A phase that is given up records
what was missing (`missing`), which the caller counts and logs; where no backend was contacted,
nothing is missing. A process that was suspended finds its phase expired and moves on.

Invariant: phases only rise, by one a call. Times are milliseconds. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

# Each since its phase began.
ENDPOINTS_TIMEOUT_MS = 15000.0
CONNECT_TIMEOUT_MS = 10000.0
WARMUP_TIMEOUT_MS = 30000.0


class Phase(IntEnum):
    """How far a start has come; the number is part of the node's metrics."""

    AWAITING_ENDPOINTS = 0
    CONNECTING = 1
    WARMING_UP = 2
    STEADY = 3


TIMEOUT_MS = {
    Phase.AWAITING_ENDPOINTS: ENDPOINTS_TIMEOUT_MS,
    Phase.CONNECTING: CONNECT_TIMEOUT_MS,
    Phase.WARMING_UP: WARMUP_TIMEOUT_MS,
}
# The names of counters (`start.unlisted` and so on).
MISSING = {
    Phase.AWAITING_ENDPOINTS: "unlisted",
    Phase.CONNECTING: "unanswered",
    Phase.WARMING_UP: "unknown",
}


@dataclass(frozen=True, slots=True)
class StartupProgress:
    """What has been reached so far.

    `endpoints_received`: discovery has sent a list. `contacted`, `answered`, `warmed_up`: how many
    cache backends something was sent to, how many of these have answered, and how many have
    answered often enough for their figures to be of use.
    """

    endpoints_received: bool
    contacted: int
    answered: int
    warmed_up: int

    def completes(self, phase: Phase) -> bool:
        """Whether what `phase` waits for has been reached."""
        if phase == Phase.AWAITING_ENDPOINTS:
            return self.endpoints_received
        reached = self.answered if phase == Phase.CONNECTING else self.warmed_up
        return 0 < self.contacted <= 2 * reached


class StartupPhases:
    """The phase of one node's start; `missing` is what the last phase ended without, or empty."""

    __slots__ = ("missing", "phase", "phase_started_at", "started_at")

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.phase_started_at = now
        self.phase = Phase.AWAITING_ENDPOINTS
        self.missing = ""

    def advance(self, now: float, progress: StartupProgress) -> bool:
        """Move to the next phase if the present one is complete or expired; whether it moved."""
        if self.phase == Phase.STEADY:
            return False
        complete = progress.completes(self.phase)
        expired = now - self.phase_started_at >= TIMEOUT_MS[self.phase]
        if not complete and not expired:
            return False
        # Without requests no backend could have answered.
        idle = self.phase != Phase.AWAITING_ENDPOINTS and progress.contacted == 0
        self.missing = "" if complete or idle else MISSING[self.phase]
        self.phase = Phase(self.phase + 1)
        self.phase_started_at = now
        return True
