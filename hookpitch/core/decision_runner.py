"""Requests decisions from the router and carries them out."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from hookpitch.balancer.backend import FOREVER
from hookpitch.balancer.interface import Outcome
from hookpitch.core.counter_names import FinalResult
from hookpitch.core.deadlines import Deadline
from hookpitch.core.rpc import Attempt
from hookpitch.core.rpc_table import FAILED_REPLY

if TYPE_CHECKING:
    from hookpitch.core.host import Host


class DecisionRunner:
    """The `RouterHost` of one host's router.

    Carrying out a decision may cause an event, such as the end of an attempt in the very call that
    sends it. Such an event does not start another loop over the decisions: the running loop
    continues until there are none left.
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._running = False  # also true while decisions are deferred
        self._unsent: deque[Attempt] = deque()  # attempts that could not be sent
        self._wakeup: Deadline | None = None

    def run(self, now: float) -> None:
        """Carry out decisions until there are none."""
        if self._running:
            return
        host = self._host
        host.now = now
        self._running = True
        try:
            while True:
                while host.router.decide(now, self):
                    pass
                if not self._unsent:
                    break
                self._finish_unsent(now, self._unsent.popleft())
        finally:
            self._running = False

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Defer all decisions while the block of this context manager runs."""
        was_running = self._running
        self._running = True
        try:
            yield
        finally:
            self._running = was_running

    def _finish_unsent(self, now: float, attempt: Attempt) -> None:
        host = self._host
        rpc = attempt.rpc
        if rpc.client_half_closed and rpc.pending:
            host.end_after_disconnect(now, rpc, half_closed=True)
        if not attempt.done:
            outcome = Outcome.CANCELLED if rpc.client_half_closed else Outcome.OVERLOADED
            host.attempt_finished(now, attempt, outcome)

    # ---- RouterHost

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        """Send an attempt of an RPC to a backend."""
        host = self._host
        now = host.now
        rpc = host.rpcs.get(rpc_id)
        host.counters.check(
            rpc is not None and rpc.pending, "nothing is sent for an RPC that is over"
        )
        if rpc is None:
            return
        deadline = min(now + timeout_ms, rpc.hard_deadline)
        start_by = now + start_within_ms
        attempt = Attempt(rpc, len(rpc.attempts), backend_id, now, deadline, start_by)
        rpc.attempts.append(attempt)
        rpc.in_flight += 1
        # The client may have disconnected while the RPC was queued, and that may still be unread in
        # the kernel.
        if rpc.pending and now > rpc.accepted_at and rpc.client.is_disconnected():
            rpc.client_half_closed = True
            host.counters.add("tx.for_nobody")
            self._unsent.append(attempt)
            return
        host.counters.add("tx.sent")
        if not rpc.pending or not host.transport.dispatch(now, attempt):
            self._unsent.append(attempt)
            return
        host.timers.watch(rpc, deadline)
        if rpc.in_flight > 1 or start_within_ms < FOREVER:
            host.timers.limit_repeats(rpc, host.router.repeat_deadline(rpc_id))

    def cancel(self, rpc_id: str, attempt: int) -> None:
        """Cancel an attempt, unless its reply is still needed."""
        host = self._host
        rpc = host.rpcs.get(rpc_id)
        if rpc is None or attempt >= len(rpc.attempts):
            return
        cancelled = rpc.attempts[attempt]
        if cancelled.done:
            return
        if rpc.pending and (rpc.client_half_closed or cancelled is rpc.streaming_attempt):
            return
        host.transport.cancel(host.now, cancelled)
        host.attempt_finished(host.now, cancelled, Outcome.CANCELLED)

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        """Answer an RPC as rejected: the client may retry it later."""
        self._answer(rpc_id, self._host.busy_reply(retry_after_ms), FinalResult.REJECTED)

    def fail(self, rpc_id: str) -> None:
        """Answer that an RPC failed."""
        self._answer(rpc_id, FAILED_REPLY, FinalResult.FAILED)

    def _answer(self, rpc_id: str, answer: bytes, result: FinalResult) -> None:
        rpcs = self._host.rpcs
        rpc = rpcs.get(rpc_id)
        self._host.counters.check(rpc is not None and rpc.pending, "one final answer")
        if rpc is not None and rpc.pending:
            rpcs.answer(rpc, answer, result)
            self._host.cancel_attempts(self._host.now, rpc)
            rpcs.release(rpc)

    def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend."""
        self._host.transport.close_idle(backend_id)

    def schedule_wakeup(self, at_ms: float) -> None:
        """Schedule the router's wake-up; this replaces the wake-up scheduled before."""
        host = self._host
        host.deadlines.cancel(self._wakeup)
        self._wakeup = host.deadlines.add(at_ms, self._wake_up)

    def _wake_up(self, now: float) -> None:
        self._host.router.timer_fired(now)
        self.run(now)

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        """Log an ejection and the number of consecutive failures that caused it."""
        self._host.logger.info("backend_ejected", backend=backend_id, failures=failures)

    def backend_recovered(self, backend_id: str) -> None:
        """Log that an ejected backend has recovered."""
        self._host.logger.info("backend_recovered", backend=backend_id)
