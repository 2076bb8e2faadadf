"""A node's start in stated phases: what it has, what ends each phase, and by when it goes on all
the same.

| phase | what it has | ends when | goes on after |
| --- | --- | --- | --- |
| KNOWN | the list told at its start, or its snapshot's, or none | discovery has told one | LISTED_MS |
| DIALLING | a list of now | half of the servers that it sent to have answered | ANSWERED_MS |
| WARMING | connections | half of the servers that it sent to are known: `enough` answers each | KNOWN_MS |
| ORDINARY | all that a node learns | | |

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

LISTED_MS, ANSWERED_MS, KNOWN_MS = 15000.0, 10000.0, 30000.0  # each since the phase began
LACKS = ("unlisted", "unanswered", "unknown")


class Phase(IntEnum):
    KNOWN = 0
    DIALLING = 1
    WARMING = 2
    ORDINARY = 3


@dataclass(frozen=True, slots=True)
class Seen:
    """What is so far: whether discovery has told a list; cache servers that something was sent to,
    of these
    those that have answered, and those with enough answers to be known."""

    listed: bool
    asked: int
    answered: int
    known: int


class Start:
    """Told what is seen; tells the phase."""

    __slots__ = ("begun", "phase", "since", "lacked")

    def __init__(self, now: float) -> None:
        self.begun = self.since = now
        self.phase, self.lacked = Phase.KNOWN, ""  # lacked: what the last phase ended without

    def look(self, now: float, seen: Seen) -> bool:
        """Whether a phase has ended; at most one a call."""
        if self.phase == Phase.ORDINARY:
            return False
        over, bound = (
            (seen.listed, LISTED_MS),
            (0 < seen.asked <= 2 * seen.answered, ANSWERED_MS),
            (0 < seen.asked <= 2 * seen.known, KNOWN_MS),
        )[self.phase]
        late = now - self.since >= bound
        if not over and not late:
            return False
        idle = (
            self.phase != Phase.KNOWN and not seen.asked
        )  # nobody asked anything: nothing is lacking
        self.lacked = "" if over or idle else LACKS[self.phase]
        self.phase, self.since = Phase(self.phase + 1), now
        return True
