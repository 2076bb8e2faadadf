"""When a node polls discovery: random times over spans that grow with the fleet and with failures.

Polls that are harmless from one node can overload discovery when a whole fleet makes them: nodes
that lose their watches together, or start together, must not poll together. They cannot coordinate,
so each node draws a time from a span that is wide enough for all of them. The span follows from the
number of nodes (configured) and from how many polls of this node have failed in a row. Until a poll
succeeds, the node keeps using its last list.

One bound takes precedence over the spreading. A node is expected to know of a change
`NOTIFY_LIMIT_MS` after discovery has the change and is reachable. A change that a silent watch
misses is expected to be known `NOTIFY_LIMIT_MS` after the watch fell silent. So at most
`MAX_POLL_GAP_MS` pass from one poll to the next, and the rest of the limit is left for the
response.

With N nodes, I = the interval within which a node has to poll (configured), and
S = min(I/2, N x SPACING_PER_NODE, MAX_POLL_GAP):

- first polls are spread over min(I/2, MAX_POLL_GAP) x (1 - 1/N); if no endpoint of the cached list
  answers, over S;
- after a failed poll, the next one follows after a third to the whole of a backoff. The backoff is
  1.5 x max(I/20, S) and doubles with each further failure, up to 1.5 x max(I/4, 2 S). The next poll
  starts no later than MAX_POLL_GAP after the failed poll started; if that took long to fail, no
  later than SILENT_WATCH_SPREAD after the failure;
- a watch that was lost after it had delivered a list is reopened over S; a watch that fell silent,
  over SILENT_WATCH_SPREAD at most, as the silence timeout has passed already;
- a poll without a response within min(I/2, RESPONSE_TIMEOUT) has failed.

Where a local agent pushes the lists (configured), a node is expected to know at once what the agent
knows, with or without an open watch. So the first poll is made at once, and any other poll within
`MAX_AGENT_DELAY_MS` of a loss.

The cost of the bound: N nodes whose polls are refused make N / (2/3 MAX_POLL_GAP) polls per second
on average; without the bound the span would grow further. A Retry-After is respected, up to
MAX_POLL_GAP.

Times are in milliseconds of the caller's clock. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

NEVER = float("inf")

# Each node adds this to a span, so that the fleet makes twenty polls per second.
SPACING_PER_NODE_MS = 50.0
# A node is expected to know of a change this long after discovery has it and is reachable.
NOTIFY_LIMIT_MS = 6000.0
# From the start of one poll to the start of the next, while no poll succeeds.
MAX_POLL_GAP_MS = 4500.0
# An overloaded discovery service responds within 3 s.
RESPONSE_TIMEOUT_MS = 3200.0
# One and a half times the heartbeat interval: a watch that is silent for longer is lost.
SILENCE_TIMEOUT_MS = 3000.0
# The widest span for a poll after a watch fell silent, or after a poll that took long to fail.
SILENT_WATCH_SPREAD_MS = 1000.0
# The widest span for the polls of nodes that resume after a suspension.
RESUME_SPREAD_MS = 1500.0
# The delay of a poll after a loss, where a local agent pushes the lists.
MIN_AGENT_DELAY_MS = 60.0
MAX_AGENT_DELAY_MS = 180.0
# A node that is later than this with its poll was suspended or is very busy.
STALL_THRESHOLD_MS = 500.0
MAX_BACKOFF_DOUBLINGS = 16


class WatchLoss(IntEnum):
    """How a watch, or the poll that was to open a watch, ended."""

    REFUSED = 0  # the poll failed: rejected, reset, unreachable or without a response in time
    ENDED = 1  # the watch had delivered a list, and its connection ended
    SILENT = 2  # the watch had delivered a list, and then nothing arrived for too long


class PollSchedule:
    """The schedule of one node's polls.

    `due_at`: when the next poll is due, NEVER while a watch is open. `failures`: the number of
    polls that have failed in a row.
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
        """Schedule the first poll.

        `poll_interval_ms`: the interval within which a node has to poll. `random`: draws a number
        from [0, 1). `has_local_agent`: whether a local agent pushes the lists.
        """
        self._random = random
        self.reconfigure(node_count, poll_interval_ms, has_local_agent)
        self.failures = 0
        self._served = False  # whether the current watch has delivered a list
        self._expedited = False
        self._polled_at = now
        spread_ms = 0.0
        if not has_local_agent:
            spread_ms = min(poll_interval_ms / 2, MAX_POLL_GAP_MS) * (1 - 1 / self._node_count)
        self.due_at = now + spread_ms * random()

    def reconfigure(
        self, node_count: int, poll_interval_ms: float, has_local_agent: bool = False
    ) -> None:
        """Apply new settings; the poll that is scheduled already keeps its time."""
        self._node_count = max(1, node_count)
        self._poll_interval_ms = poll_interval_ms
        self._has_local_agent = has_local_agent

    @property
    def spread_ms(self) -> float:
        """The span over which each node of the fleet may poll once."""
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
        """Return whether to poll now.

        Nodes that were suspended together would find their poll times past and poll together as
        they resume. So a node that is at least `STALL_THRESHOLD_MS` late draws another time, and
        polls then.
        """
        if now < self.due_at + STALL_THRESHOLD_MS:
            return now >= self.due_at
        self.due_at = now + min(self.spread_ms, RESUME_SPREAD_MS) * self._random()
        return False

    def expedite(self, now: float) -> bool:
        """Redraw the first poll within `spread_ms`, as no endpoint of the cached list answers.

        This has an effect once per start. Returns whether the poll is due earlier than before.
        """
        if self._expedited or self._served or self.failures:
            return False
        self._expedited = True
        poll_at = now + self.spread_ms * self._random()
        is_earlier = poll_at < self.due_at
        self.due_at = min(self.due_at, poll_at)
        return is_earlier

    def poll_started(self, now: float) -> None:
        """Record a poll; without a response the next poll is due after half the interval."""
        self._served = False
        self._polled_at = now
        self.due_at = now + self._poll_interval_ms / 2

    def endpoints_received(self) -> None:
        """Record that the watch has delivered a list."""
        self.failures = 0
        self._served = True
        self.due_at = NEVER

    def poll_failed(self, now: float, loss: WatchLoss, retry_after_ms: float = 0.0) -> float:
        """Record that the watch or the poll has ended; return when the next poll is due."""
        if loss == WatchLoss.REFUSED or not self._served:
            earliest, latest = self._backoff_range(now, retry_after_ms)
        else:
            earliest, latest = self._reopen_range(loss)
        self._served = False
        self.due_at = now + earliest + (latest - earliest) * self._random()
        return self.due_at

    def _backoff_range(self, now: float, retry_after_ms: float) -> tuple[float, float]:
        """Return the shortest and the longest wait after a failed poll, in ms."""
        initial = max(self._poll_interval_ms / 20, self.spread_ms)
        ceiling = max(self._poll_interval_ms / 4, 2 * self.spread_ms)
        latest = 1.5 * min(ceiling, initial * 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS))
        self.failures += 1
        if self._has_local_agent and retry_after_ms <= 0:
            return MIN_AGENT_DELAY_MS, MAX_AGENT_DELAY_MS
        if retry_after_ms > 0:
            latest = max(latest, 2 * min(retry_after_ms, self._poll_interval_ms))
        # A poll that got no response has used up most of the gap, so the wait after it is shorter.
        gap_left = self._polled_at + MAX_POLL_GAP_MS - now
        latest = max(min(latest, gap_left), min(latest, SILENT_WATCH_SPREAD_MS))
        # Nodes that all got the same Retry-After need a span over which they spread, too.
        earliest = max(latest / 3, min(retry_after_ms, latest * 2 / 3))
        return earliest, latest

    def _reopen_range(self, loss: WatchLoss) -> tuple[float, float]:
        """Return the shortest and the longest wait after the loss of a watch, in ms."""
        if self._has_local_agent:
            return MIN_AGENT_DELAY_MS, MAX_AGENT_DELAY_MS
        # Many watches often end together, and no node gains from being the first to poll.
        earliest = self._poll_interval_ms / 40
        widest = MAX_POLL_GAP_MS - earliest
        if loss == WatchLoss.SILENT:
            widest = SILENT_WATCH_SPREAD_MS
        return earliest, earliest + max(earliest, min(self.spread_ms, widest))
