"""Timers of unanswered attempts. Look here when a lost answer holds its RPC until the deadline.

State: one timer for each attempt, in `PendingWork`. An attempt is silent if it has no answer after
a fraction of its method's soft deadline, counted from when this process could have read an answer.
The silence may then count as a failure of the backend, and the RPC may be hedged or retried at
another backend. Times are in milliseconds.
"""

from __future__ import annotations

from hookpitch.balancer.backend import BackendTable
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.health import LocalDelay, OutlierDetector
from hookpitch.balancer.load_shedding import LoadShedder
from hookpitch.balancer.pending import PendingWork
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.rpc import Attempt

SILENT_FRACTION = 0.4  # of the soft deadline: a longer silence counts against the backend
HEDGE_FRACTION = 0.65  # of the soft deadline: a hedged request is sent no later


class AttemptTimers:
    """Starts the timers of attempts and handles their expiry."""

    def __init__(
        self,
        table: BackendTable,
        work: PendingWork,
        concurrency: ConcurrencyLimits,
        retries: RetryPolicy,
        outliers: OutlierDetector,
        load_shedder: LoadShedder,
        local_delay: LocalDelay,
    ) -> None:
        self._table = table
        self._work = work
        self._concurrency = concurrency
        self._retries = retries
        self._outliers = outliers
        self._load_shedder = load_shedder
        self._local_delay = local_delay

    def start(self, attempt: Attempt, now: float) -> None:
        """Schedule a check of an attempt for the time at which its answer is overdue."""
        backend, soft_ms = attempt.backend, attempt.rpc.method.soft_ms
        if not self._retries.hedging_allowed:
            expected_ms = 4 * backend.latency_ms
        elif backend.consecutive_failures:
            expected_ms = 0.0  # a failing backend gets the minimum wait
        else:
            usual_ms = 2 * self._concurrency.unit_latency_ms / backend.size
            expected_ms = min(usual_ms, HEDGE_FRACTION * soft_ms)
        overdue_at = now + max(SILENT_FRACTION * soft_ms, expected_ms)
        self._work.schedule(overdue_at, attempt.rpc, attempt)

    def timer_fired(self, attempt: Attempt, now: float) -> None:
        """Handle an attempt that is silent.

        If this process could not read answers for a part of the wait, extend the wait by that part.
        """
        rpc, delay = attempt.rpc, self._local_delay
        readable_from = max(attempt.sent_at + delay.read_delay_ms, delay.stalled_at)
        silent_at = readable_from + SILENT_FRACTION * rpc.method.soft_ms
        if now < silent_at:
            if not attempt.done:
                self._work.schedule(silent_at, rpc, attempt)
        elif (
            not attempt.done
            and not attempt.silence_recorded
            and not self._is_silence_ignored(attempt)
        ):
            self._record_silence(attempt, now)

    def _is_silence_ignored(self, attempt: Attempt) -> bool:
        """Return whether the silence of an attempt is ignored.

        The origin's is, as long as the origin has answered nothing since the attempt was sent.
        """
        backend = attempt.backend
        return backend is self._table.origin and backend.last_response_at < attempt.sent_at

    def _record_silence(self, attempt: Attempt, now: float) -> None:
        backend = attempt.backend
        is_first_silence = not any(other.silence_recorded for other in attempt.rpc.attempts)
        attempt.silence_recorded = True
        if backend.last_response_at < attempt.sent_at >= backend.last_failure_at:
            self._outliers.record_failure(backend, now)
        if self._should_try_another(
            attempt, is_first_silence and self._load_shedder.has_low_pressure()
        ):
            self._retries.cancel_or_hedge(attempt, now)

    def _should_try_another(self, attempt: Attempt, has_low_pressure: bool) -> bool:
        """Return whether to try another backend; retries must not add to an overload."""
        backend, origin = attempt.backend, self._table.origin
        if self._retries.hedging_allowed:
            if origin is None:
                return has_low_pressure
            return origin.latency_ms < attempt.rpc.method.soft_ms / 3
        if backend.last_response_at > attempt.sent_at:
            return has_low_pressure  # the backend answers other RPCs, so this answer is lost
        return backend.consecutive_failures > 1
