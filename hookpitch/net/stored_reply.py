"""Forwards a large reply that the node holds completely, as fast as its client reads it.

A stored reply is the source of a stream whose backend connection is already free for other
attempts. Invariants: its attempt ends exactly once, by `_forward` or by `cancel`; the memory of a
chunk is returned to the budget when the chunk is forwarded.
"""

from __future__ import annotations

from hookpitch.balancer.interface import Outcome, Report
from hookpitch.core.collected_body import CollectedBody
from hookpitch.core.host import Host
from hookpitch.core.rpc import Attempt
from hookpitch.core.streamed_replies import StreamStart
from hookpitch.net.clock import Clock

OUTCOMES_WITHOUT_STREAM = {
    StreamStart.NOT_NEEDED: Outcome.CANCELLED,
    StreamStart.NO_MEMORY: Outcome.NO_MEMORY,
}


class StoredReply:
    """The complete reply to one attempt (core.stream.Source)."""

    is_complete = True

    def __init__(
        self, host: Host, clock: Clock, attempt: Attempt, body: CollectedBody, report: Report
    ) -> None:
        self._host = host
        self._clock = clock
        self._attempt = attempt
        self._body = body
        self._report = report
        self._is_paused = False
        self._is_scheduled = False

    def start(self) -> None:
        """Begin to forward the reply, or end the attempt where no client waits for it."""
        now = self._clock.now()
        self._attempt.carrier = self
        self._schedule()
        start = self._host.stream_started(now, self._attempt, len(self._body), self)
        if start is not StreamStart.STARTED:
            self._body.discard()
            self._host.attempt_finished(now, self._attempt, OUTCOMES_WITHOUT_STREAM[start])

    def pause(self) -> None:
        """Stop forwarding until `resume` is called."""
        self._is_paused = True

    def resume(self) -> None:
        """Continue in the next turn of the event loop: the caller is inside the client's code."""
        self._is_paused = False
        self._schedule()

    def cancel(self, attempt: Attempt) -> None:
        """Drop the part of the reply that has not been forwarded."""
        self._body.discard()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.deadlines.add(self._clock.now(), self._forward)

    def _forward(self, now: float) -> None:
        self._is_scheduled = False
        attempt = self._attempt
        while not self._is_paused and not attempt.done:
            chunk = self._body.take_chunk()
            if not chunk:
                self._host.attempt_finished(now, attempt, Outcome.COMPLETED, report=self._report)
                return
            self._host.stream_chunk(now, attempt, chunk)
