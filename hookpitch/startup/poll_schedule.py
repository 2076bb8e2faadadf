"""When a node asks discovery for the list: its own draws, over spans that grow with the fleet and
refusals.

What is harmless in one node is harmful in all: nodes that lose their watches together, or start
together,
must not ask together. They cannot talk, so each draws a time over a span wide enough for all of
them. The
span follows from two things that a node knows: how many nodes there are (told), and how often in a
row
discovery has failed it (seen). A list of before serves meanwhile.

What goes before all else: a change counts as told `TOLD_MS` after discovery had it and could be
reached,
and what a silent watch misses so long after it fell silent. So from call to call no more than
`NEXT_MS`
pass, and what is left of `TOLD_MS` is for the answer.

Bounds, for N nodes and W = the time within which a node has to ask (told), with S = min(W/2, N x
EACH, NEXT):

- first calls are spread over min(W/2, NEXT) x (1 - 1/N); over S where nobody in the list of before
  serves;
- a call after a failed one comes a third to the whole of 1.5 x max(W/20, S) later, twice that
  after each
  further failure, never more than 1.5 x max(W/4, 2 S); and never later than NEXT after the one
  before began,
  but for SPREAD after one that was long in failing;
- a watch that was lost after it had served is asked for anew over S, one that fell silent over
  SPREAD at the
  most, as QUIET has gone by already;
- a call that is not answered within min(W/2, PATIENCE) has failed.

Where lists are pushed (told), what the agent has counts as told at once, be a watch open or not:
there
the first call is made at once, and any other within AGENT_MS of a loss.

What this gives up: N nodes that are refused call N / (2/3 NEXT) times a second in the mean, where
the span
would grow without NEXT. A refusal that says when to come back is heeded, up to NEXT. Source of the
rules: the
platform's protocol pages.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

SPACING_PER_NODE_MS = 50.0  # of a span, for each node: twenty calls a second over the fleet
NOTIFY_LIMIT_MS = 6000.0  # after discovery had a change and could be reached, it counts as told
MAX_POLL_GAP_MS = (
    4500.0  # from the beginning of one call to that of the next, where nothing has served
)
RESPONSE_TIMEOUT_MS = (
    3200.0  # with a call that is not answered; a service that is asked too much answers by 3 s
)
SILENCE_TIMEOUT_MS = (
    3000.0  # half as long again as between two beats: a watch that says nothing for longer is lost
)
SILENT_WATCH_SPREAD_MS = (
    1000.0  # the widest span after a watch that fell silent, or a call that was long in failing
)
RESUME_SPREAD_MS = 1500.0  # the widest span of nodes that go on after they were stopped
AGENT_MS = 60.0, 180.0  # after a loss, where lists are pushed: by an agent of the node's own
STALL_THRESHOLD_MS = 500.0  # a node so late with its call was stopped, or is very busy
NEVER = float("inf")


class WatchLoss(IntEnum):
    """How a watch, or the call for one, came to its end."""

    REFUSED = 0  # the call failed: turned away, reset, unreachable, not answered in time
    ENDED = 1  # it had served, and its connection ended
    SILENT = 2  # it had served, and said nothing for too long


class PollSchedule:
    """One node's calls. `due_at`: when the next is due, in ms of the host's clock; NEVER while a
    watch is open."""

    __slots__ = (
        "due_at",
        "failures",
        "_within",
        "_nodes",
        "_chance",
        "_served",
        "_expedited",
        "_began",
        "_pushed",
    )

    def __init__(
        self,
        now: float,
        nodes: int,
        within_ms: float,
        chance: Callable[[], float],
        pushed: bool = False,
    ) -> None:
        """`nodes`: over the fleet, as told. `within_ms`: a node has to ask so often. `chance`: a
        draw.
        `pushed`: what discovery has counts as told whether it was asked or not."""
        self._chance = chance
        self.reconfigure(nodes, within_ms, pushed)
        self.failures, self._served, self._expedited = 0, False, False
        self._began = now  # the latest call
        spread = 0.0 if pushed else min(within_ms / 2, MAX_POLL_GAP_MS) * (1 - 1 / self._nodes)
        self.due_at = now + spread * chance()

    def reconfigure(self, nodes: int, within_ms: float, pushed: bool = False) -> None:
        """New settings; what is due stays due."""
        self._nodes, self._within, self._pushed = max(1, nodes), within_ms, pushed

    @property
    def spread_ms(self) -> float:
        """Over which the whole fleet may ask once, in ms."""
        return (
            0.0
            if self._pushed
            else min(self._within / 2, self._nodes * SPACING_PER_NODE_MS, MAX_POLL_GAP_MS)
        )

    @property
    def response_timeout_ms(self) -> float:
        """With a call that is not answered, in ms."""
        return min(self._within / 2, RESPONSE_TIMEOUT_MS)

    def due(self, now: float) -> bool:
        """Whether to ask now. Danger: nodes that were all stopped find their times past, and ask
        together as
        they go on: those draw anew, once."""
        if now < self.due_at + STALL_THRESHOLD_MS:
            return now >= self.due_at
        self.due_at = now + min(self.spread_ms, RESUME_SPREAD_MS) * self._chance()
        return False

    def expedite(self, now: float) -> bool:
        """The list of before has nobody who serves: the first call is drawn over the span that the
        whole
        fleet needs, not over the time that the rules give; once a start. True where that is
        sooner."""
        if self._expedited or self._served or self.failures:
            return False
        self._expedited = True
        at = now + self.spread_ms * self._chance()
        sooner = at < self.due_at
        self.due_at = min(self.due_at, at)
        return sooner

    def poll_started(self, now: float) -> None:
        """The call is made."""
        self._served, self._began = False, now
        self.due_at = now + self._within / 2  # no answer by then: ask again

    def endpoints_received(self) -> None:
        """A list has come."""
        self.failures, self._served, self.due_at = 0, True, NEVER

    def poll_failed(self, now: float, how: WatchLoss, after_ms: float = 0.0) -> float:
        """The watch or the call has ended; when the next call is due. `after_ms`: as discovery
        said."""
        if how == WatchLoss.REFUSED or not self._served:
            first = max(self._within / 20, self.spread_ms)
            most = max(self._within / 4, 2 * self.spread_ms)
            widest = 1.5 * min(most, first * 2 ** min(self.failures, 16))
            self.failures += 1
            if after_ms > 0:
                widest = max(widest, 2 * min(after_ms, self._within))
            # Danger: a call that hung, and then a wait as after one that was refused at once.
            widest = max(
                min(widest, self._began + MAX_POLL_GAP_MS - now),
                min(widest, SILENT_WATCH_SPREAD_MS),
            )
            least = max(
                widest / 3, min(after_ms, widest * 2 / 3)
            )  # all at once at its end is no better
            if self._pushed and after_ms <= 0:
                least, widest = AGENT_MS
        elif self._pushed:
            least, widest = AGENT_MS
        else:
            # Danger: all watches end at once, and the one who asks first is no better off than the
            # last.
            least = self._within / 40
            widest = least + max(
                least,
                min(
                    self.spread_ms,
                    SILENT_WATCH_SPREAD_MS if how == WatchLoss.SILENT else MAX_POLL_GAP_MS - least,
                ),
            )
        self._served = False
        self.due_at = now + least + (widest - least) * self._chance()
        return self.due_at
