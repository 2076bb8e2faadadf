"""Records how attempts end. Look here when a concurrency limit or a failure count is wrong.

This module has no state: it passes each outcome to the modules that maintain the backend's values.
A delay in this process counts against no backend. Times are in milliseconds.
"""

from __future__ import annotations

from hookpitch.balancer.backend import BackendTable
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.health import LocalDelay, OutlierDetector
from hookpitch.balancer.interface import Outcome
from hookpitch.balancer.rpc import Attempt
from hookpitch.balancer.slow_start import SlowStart

REJECTION_WEIGHT = 0.1  # in the mean latency, where a rejection counts as the soft deadline
FAILURE_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MALFORMED)


class AttemptOutcomes:
    """Evaluates the outcomes of attempts and updates their backends."""

    def __init__(
        self,
        table: BackendTable,
        outliers: OutlierDetector,
        concurrency: ConcurrencyLimits,
        slow_start: SlowStart,
        local_delay: LocalDelay,
    ) -> None:
        self._table = table
        self._outliers = outliers
        self._concurrency = concurrency
        self._slow_start = slow_start
        self._local_delay = local_delay

    def record(self, attempt: Attempt, outcome: Outcome, latency_ms: float, now: float) -> None:
        """Record how an attempt ended."""
        rpc = attempt.rpc
        backend = attempt.backend
        if outcome <= Outcome.MISS:
            # A miss is less than a cache's full work; a write is not the origin's usual work.
            write_at_origin = rpc.write and backend is self._table.origin
            full_work = outcome == Outcome.COMPLETED and not write_at_origin
            self.record_response(attempt, latency_ms, full_work, now)
            self._outliers.confirm_suspect(rpc, backend, now)
        elif outcome == Outcome.OVERLOADED:
            self._record_rejection(attempt, now)
        elif self._outliers.needs_confirmation(backend, outcome, now):
            self._outliers.suspect(rpc, backend)
        elif outcome in FAILURE_OUTCOMES:
            self._outliers.record_failed_attempt(attempt, outcome, now)
        elif outcome == Outcome.TIMEOUT:
            self._outliers.record_timeout(attempt, now, self._local_delay)

    def record_response(
        self, attempt: Attempt, latency_ms: float, full_work: bool, now: float
    ) -> None:
        """Record an answer; `full_work`: the answer took the backend's usual amount of work."""
        backend = attempt.backend
        soft_ms = attempt.rpc.method.soft_ms
        self._outliers.record_response(backend, now)
        if self._local_delay.overlaps_stall(attempt):
            latency_ms = min(latency_ms, backend.latency_ms)
            full_work = False
        if full_work:
            self._concurrency.record_latency(backend, latency_ms)
        self._slow_start.record_response(backend, latency_ms, soft_ms, now)
        self._concurrency.adapt(backend, latency_ms, soft_ms, full_work)

    def is_late(self, attempt: Attempt, outcome: Outcome, now: float) -> bool:
        """Return whether a cache's answer or timeout came too late for the latency objective.

        Only lateness caused by the fleet counts. Left out are RPCs over quota, streams that have
        begun, the origin, and attempts in flight during a stall of this process.
        """
        rpc = attempt.rpc
        if outcome > Outcome.MISS and outcome != Outcome.TIMEOUT:
            return False
        if rpc.over_quota or attempt.stream_started or attempt.backend is self._table.origin:
            return False
        if self._local_delay.overlaps_stall(attempt):
            return False
        return now - self._local_delay.read_delay_ms >= rpc.objective

    def _record_rejection(self, attempt: Attempt, now: float) -> None:
        """Record that an overloaded backend rejected an attempt, and leave its send uncounted.

        The send rate of warm backends sets what warming backends are sent. With the rejected sends
        in that rate, the warming backends would be overloaded.
        """
        backend = attempt.backend
        backend.last_response_at = now
        backend.response_count += 1
        backend.send_count -= 1
        soft_ms = attempt.rpc.method.soft_ms
        backend.latency_ms += (soft_ms - backend.latency_ms) * REJECTION_WEIGHT
        self._slow_start.record_overload(backend)
