"""When a node polls discovery: random times over spans that grow with the fleet and with failures.

What is harmless for one node is harmful for a fleet: nodes that lose their watches together, or
start together, must not poll together. They cannot coordinate, so each draws a time over a span
that is wide enough for all of them. The span follows from the number of nodes (configured) and from
how often in a row discovery has failed this node. The list of before serves meanwhile.

The bound that comes first: a change counts as notified `NOTIFY_LIMIT_MS` after discovery had it and
could be reached, and what a silent watch misses, that long after it fell silent. So no more than
`MAX_POLL_GAP_MS` pass from one poll to the next, and the rest is left for the response.

With N nodes, I = the interval within which a node has to poll (configured), and
S = min(I/2, N x SPACING_PER_NODE, MAX_POLL_GAP):

- first polls are spread over min(I/2, MAX_POLL_GAP) x (1 - 1/N); over S where no endpoint of the
  cached list answers;
- a poll after a failed one comes a third to the whole of a backoff later: 1.5 x max(I/20, S), twice
  that after each further failure, at most 1.5 x max(I/4, 2 S); and never later than MAX_POLL_GAP
  after the failed poll began, except by SILENT_WATCH_SPREAD after one that took long to fail;
- a watch that was lost after it had served is reopened over S; one that fell silent over
  SILENT_WATCH_SPREAD at most, as the silence timeout has passed already;
- a poll without a response within min(I/2, RESPONSE_TIMEOUT) has failed.

Where lists are pushed by a local agent (configured), what the agent has counts as notified at once,
with or without an open watch: there the first poll is made at once, and any other within
`MAX_AGENT_DELAY_MS` of a loss.

The cost: N refused nodes make N / (2/3 MAX_POLL_GAP) polls a second in the mean, where the span
would grow without that bound. A refusal with a Retry-After is respected, up to MAX_POLL_GAP.

Times are milliseconds of the caller's clock. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

NEVER = float("inf")

# Each node's part of a span: twenty polls a second over the fleet.
SPACING_PER_NODE_MS = 50.0
# From discovery's knowing a change and being reachable until it counts as notified.
NOTIFY_LIMIT_MS = 6000.0
# From the start of one poll to the start of the next, where none has succeeded.
MAX_POLL_GAP_MS = 4500.0
# An overloaded discovery service answers by 3 s.
RESPONSE_TIMEOUT_MS = 3200.0
# One and a half times the interval of heartbeats: a watch that is silent for longer is lost.
SILENCE_TIMEOUT_MS = 3000.0
# The widest span after a watch that fell silent, or a poll that took long to fail.
SILENT_WATCH_SPREAD_MS = 1000.0
# The widest span of nodes that resume after they were suspended.
RESUME_SPREAD_MS = 1500.0
# After a loss, where a local agent pushes the lists.
MIN_AGENT_DELAY_MS = 60.0
MAX_AGENT_DELAY_MS = 180.0
# A node so late with its poll was suspended, or is very busy.
STALL_THRESHOLD_MS = 500.0
MAX_BACKOFF_DOUBLINGS = 16


class WatchLoss(IntEnum):
    """How a watch, or the poll that was to open one, came to its end."""

    REFUSED = 0  # the poll failed: rejected, reset, unreachable, no response in time
    ENDED = 1  # the watch had served, and its connection ended
    SILENT = 2  # the watch had served, and nothing came for too long


class PollSchedule:
    """One node's polls: `due_at` is when the next is due, NEVER while a watch is open.

    `failures`: failed polls in a row.
    """

    __slots__ = (
        "due_at",
        "failures",
        "_expedited",
        "_node_count",
        "_poll_interval_ms",
        "_polled_at",
        "_has_local_agent",
        "_random",
        "_served",
    )

    def __init__(
        self,
        now: float,
        node_count: int,
        poll_interval_ms: float,
        random: Callable[[], float],
        has_local_agent: bool = False,
    ) -> None:
        """`poll_interval_ms`: a node has to poll so often. `random`: draws from 0 to under 1.
        `has_local_agent`: a local agent pushes the lists."""
        self._random = random
        self.reconfigure(node_count, poll_interval_ms, has_local_agent)
        self.failures = 0
        self._served = False  # the present watch has delivered a list
        self._expedited = False
        self._polled_at = now
        spread_ms = 0.0
        if not has_local_agent:
            spread_ms = min(poll_interval_ms / 2, MAX_POLL_GAP_MS) * (1 - 1 / self._node_count)
        self.due_at = now + spread_ms * random()

    def reconfigure(
        self, node_count: int, poll_interval_ms: float, has_local_agent: bool = False
    ) -> None:
        """Take new settings; a poll that is scheduled stays scheduled."""
        self._node_count = max(1, node_count)
        self._poll_interval_ms = poll_interval_ms
        self._has_local_agent = has_local_agent

    @property
    def spread_ms(self) -> float:
        """The span over which the whole fleet may poll once."""
        if self._has_local_agent:
            return 0.0
        return min(
            self._poll_interval_ms / 2, self._node_count * SPACING_PER_NODE_MS, MAX_POLL_GAP_MS
        )

    @property
    def response_timeout_ms(self) -> float:
        """How long to wait for the response to a poll."""
        return min(self._poll_interval_ms / 2, RESPONSE_TIMEOUT_MS)

    def is_due(self, now: float) -> bool:
        """Whether to poll now.

        Nodes that were all suspended find their times past and would poll together as they resume:
        a node that is so late draws another time, once.
        """
        if now < self.due_at + STALL_THRESHOLD_MS:
            return now >= self.due_at
        self.due_at = now + min(self.spread_ms, RESUME_SPREAD_MS) * self._random()
        return False

    def expedite(self, now: float) -> bool:
        """Draw the first poll over `spread_ms`, as no endpoint of the cached list answers.

        Once a start; whether the poll comes sooner by it.
        """
        if self._expedited or self._served or self.failures:
            return False
        self._expedited = True
        at = now + self.spread_ms * self._random()
        sooner = at < self.due_at
        self.due_at = min(self.due_at, at)
        return sooner

    def poll_started(self, now: float) -> None:
        """A poll has been sent; without a response the next is due after half the interval."""
        self._served = False
        self._polled_at = now
        self.due_at = now + self._poll_interval_ms / 2

    def endpoints_received(self) -> None:
        """The watch has delivered a list."""
        self.failures = 0
        self._served = True
        self.due_at = NEVER

    def poll_failed(self, now: float, loss: WatchLoss, retry_after_ms: float = 0.0) -> float:
        """The watch or the poll has ended; returns when the next poll is due."""
        if loss == WatchLoss.REFUSED or not self._served:
            earliest, latest = self._backoff_range(now, retry_after_ms)
        else:
            earliest, latest = self._reopen_range(loss)
        self._served = False
        self.due_at = now + earliest + (latest - earliest) * self._random()
        return self.due_at

    def _backoff_range(self, now: float, retry_after_ms: float) -> tuple[float, float]:
        """The least and the longest wait after a failed poll, in ms."""
        first = max(self._poll_interval_ms / 20, self.spread_ms)
        ceiling = max(self._poll_interval_ms / 4, 2 * self.spread_ms)
        latest = 1.5 * min(ceiling, first * 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS))
        self.failures += 1
        if self._has_local_agent and retry_after_ms <= 0:
            return MIN_AGENT_DELAY_MS, MAX_AGENT_DELAY_MS
        if retry_after_ms > 0:
            latest = max(latest, 2 * min(retry_after_ms, self._poll_interval_ms))
        # A poll that hung has used up most of the gap already: the wait after it is shorter.
        gap_left = self._polled_at + MAX_POLL_GAP_MS - now
        latest = max(min(latest, gap_left), min(latest, SILENT_WATCH_SPREAD_MS))
        # Nodes that were all given the same Retry-After need a span to spread over, too.
        earliest = max(latest / 3, min(retry_after_ms, latest * 2 / 3))
        return earliest, latest

    def _reopen_range(self, loss: WatchLoss) -> tuple[float, float]:
        """The least and the longest wait after a watch that had served, in ms."""
        if self._has_local_agent:
            return MIN_AGENT_DELAY_MS, MAX_AGENT_DELAY_MS
        # Watches often end together; the first node to poll gains nothing over the last.
        earliest = self._poll_interval_ms / 40
        widest = MAX_POLL_GAP_MS - earliest
        if loss == WatchLoss.SILENT:
            widest = SILENT_WATCH_SPREAD_MS
        return earliest, earliest + max(earliest, min(self.spread_ms, widest))
