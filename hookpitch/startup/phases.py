"""A node's start in stated phases: what it has, what ends each phase, and by when it goes on all
the same.

| phase | what it has | ends when | goes on after |
| --- | --- | --- | --- |
| AWAITING_ENDPOINTS | the list told at its start, or its snapshot's, or none | discovery has told one | ENDPOINTS_TIMEOUT_MS |
| CONNECTING | a list of now | half of the servers that it sent to have answered | CONNECT_TIMEOUT_MS |
| WARMING_UP | connections | half of the servers that it sent to are known: `enough` answers each | WARMUP_TIMEOUT_MS |
| STEADY | all that a node learns | | |

It serves in every phase: a list of before is better than none. What a phase lacked when its time
was over
is counted (`start.unlisted`, `start.unanswered`, `start.unknown`) and told; where nothing was
sent, nothing
is lacking. A process that was stopped has its time over, and goes on. Invariant: phases only rise.
No I/O.
"""  # noqa: E501

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

ENDPOINTS_TIMEOUT_MS, CONNECT_TIMEOUT_MS, WARMUP_TIMEOUT_MS = (
    15000.0,
    10000.0,
    30000.0,
)  # each since the phase began
MISSING = ("unlisted", "unanswered", "unknown")


class Phase(IntEnum):
    AWAITING_ENDPOINTS = 0
    CONNECTING = 1
    WARMING_UP = 2
    STEADY = 3


@dataclass(frozen=True, slots=True)
class StartupProgress:
    """What is so far: whether discovery has told a list; cache servers that something was sent to,
    of these
    those that have answered, and those with enough answers to be known."""

    endpoints_received: bool
    contacted: int
    answered: int
    warmed_up: int


class StartupPhases:
    """Told what is seen; tells the phase."""

    __slots__ = ("started_at", "phase", "phase_started_at", "missing")

    def __init__(self, now: float) -> None:
        self.started_at = self.phase_started_at = now
        self.phase, self.missing = (
            Phase.AWAITING_ENDPOINTS,
            "",
        )  # lacked: what the last phase ended without

    def advance(self, now: float, seen: StartupProgress) -> bool:
        """Whether a phase has ended; at most one a call."""
        if self.phase == Phase.STEADY:
            return False
        over, bound = (
            (seen.endpoints_received, ENDPOINTS_TIMEOUT_MS),
            (0 < seen.contacted <= 2 * seen.answered, CONNECT_TIMEOUT_MS),
            (0 < seen.contacted <= 2 * seen.warmed_up, WARMUP_TIMEOUT_MS),
        )[self.phase]
        late = now - self.phase_started_at >= bound
        if not over and not late:
            return False
        idle = (
            self.phase != Phase.AWAITING_ENDPOINTS and not seen.contacted
        )  # nobody asked anything: nothing is lacking
        self.missing = "" if over or idle else MISSING[self.phase]
        self.phase, self.phase_started_at = Phase(self.phase + 1), now
        return True
