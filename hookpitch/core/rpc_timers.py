"""The timer of each RPC: for its deadlines, those of its attempts, and stalled streams.

Invariant: an RPC that is pending or has an attempt in flight has a timer, which fires no later than
the earliest of these times. So every RPC is answered by its hard deadline, whatever the router
does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hookpitch.balancer.backend import FOREVER
from hookpitch.balancer.interface import Outcome
from hookpitch.core.router_view import was_sent_before_pause
from hookpitch.core.rpc import Attempt, Rpc

if TYPE_CHECKING:
    from hookpitch.core.host import Host

STREAM_CHECK_INTERVAL_MS = 500.0


class RpcTimers:
    """The RPC timers of one host."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def watch(self, rpc: Rpc, at: float) -> None:
        """Make sure that the timer of an RPC fires at `at` or earlier."""
        if rpc.timer is None or rpc.timer.call is None or at < rpc.timer.at:
            deadlines = self._host.deadlines
            deadlines.cancel(rpc.timer)
            rpc.timer = deadlines.add(at, lambda now: self._fire(now, rpc))

    def limit_repeats(self, rpc: Rpc, at: float) -> None:
        """End all attempts of an RPC at `at`, when a backend may run it a second time."""
        if at < rpc.repeat_deadline:
            rpc.repeat_deadline = at
            self.watch(rpc, max(at, self._host.now))

    def _fire(self, now: float, rpc: Rpc) -> None:
        if rpc.stream is not None and rpc.pending:
            self._check_stream(now, rpc)
            return
        for attempt in rpc.attempts:
            if not attempt.done and attempt.deadline <= now:
                self._attempt_timed_out(now, attempt)
        if now >= rpc.repeat_deadline:
            self._repeat_deadline_passed(now, rpc)
        if rpc.pending and now >= rpc.hard_deadline:
            self._hard_deadline_passed(now, rpc)
        self._rearm(rpc)

    def _rearm(self, rpc: Rpc) -> None:
        due = [attempt.deadline for attempt in rpc.attempts if not attempt.done]
        if due:
            due.append(rpc.repeat_deadline)
        if rpc.pending:
            due.append(rpc.hard_deadline)
        if due:
            self.watch(rpc, min(due))

    def _check_stream(self, now: float, rpc: Rpc) -> None:
        """End a stream without progress: its backend or its reader may have disconnected."""
        host = self._host
        # A reader that is slow takes nothing from the node for seconds while its kernel does.
        last_progress = max(rpc.stream.last_progress, rpc.client.delivery_progress_at())
        times_out_at = last_progress + host.stream_timeout_ms
        if now < times_out_at:
            self.watch(rpc, min(times_out_at, now + STREAM_CHECK_INTERVAL_MS))
            return
        host.counters.add("streams.silent")
        host.transport.cancel(now, rpc.streaming_attempt)
        host.attempt_finished(now, rpc.streaming_attempt, Outcome.TIMEOUT)

    def _attempt_timed_out(self, now: float, attempt: Attempt) -> None:
        host = self._host
        # After a pause of this process, replies that arrived in time may still be unread.
        if now < attempt.rpc.hard_deadline and host.transport.read_pending_response(attempt):
            return
        host.transport.cancel(now, attempt)
        if attempt.written:
            outcome = Outcome.TIMEOUT
        elif was_sent_before_pause(host.router, attempt):
            outcome = Outcome.OBSOLETE  # no connection could be established during the pause
        else:
            outcome = Outcome.CONNECT_FAILED
        host.attempt_finished(now, attempt, outcome)

    def _repeat_deadline_passed(self, now: float, rpc: Rpc) -> None:
        """End the attempts that a backend may yet receive, or read, after it forgot the others."""
        rpc.repeat_deadline = FOREVER
        host = self._host
        for attempt in rpc.attempts:
            if attempt.done or host.transport.read_pending_response(attempt):
                continue
            host.counters.add("tx.window_over" if attempt.written else "tx.begun_too_late")
            host.transport.cancel(now, attempt)
            outcome = Outcome.TIMEOUT if attempt.written else Outcome.OBSOLETE
            host.attempt_finished(now, attempt, outcome)

    def _hard_deadline_passed(self, now: float, rpc: Rpc) -> None:
        """Fail an RPC that the router should have answered before its hard deadline."""
        host = self._host
        host.rpcs.fail(rpc)
        host.router.client_disconnected(now, str(rpc.number))
        host.cancel_attempts(now, rpc)
        host.rpcs.release(rpc)
        host.decide(now)
        host.counters.check(False, "the decisions answer before the hard deadline")
