"""Outlier detection. Look here when a healthy backend is ejected, or a faulty one is not.

State: for each backend, its consecutive failures, its ejection and the time of its last answer;
here, the budget for confirming errors and the delays of this process itself. Invariants: the origin
is never ejected, because there is no other; an ejected backend is probed with one RPC at a time
once its ejection is over; an error counts against a backend only after another backend has answered
the same RPC. Times are in milliseconds.
"""

from __future__ import annotations

from hookpitch.balancer.backend import INITIAL_CONCURRENCY_LIMIT, NEVER, Backend, BackendTable
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.idle_connections import IdleConnections
from hookpitch.balancer.interface import Deployment, Outcome
from hookpitch.balancer.pending import HealthChange, PendingWork
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.ring import HashRing
from hookpitch.balancer.rpc import Attempt, Rpc
from hookpitch.balancer.slow_start import SlowStart

EJECTION_THRESHOLD = 3  # consecutive failures
# Multiple of the base ejection: the longest ejection, and how long a recovery counts as recent.
MAX_EJECTION_FACTOR = 8
# The most tokens that are saved; each attempt that may confirm an error costs one.
MAX_CONFIRMATION_TOKENS = 10.0
CONFIRMATION_TOKENS_PER_RESPONSE = 0.05  # earned by each answer


class LocalDelay:
    """Delays of this process, which count against no backend."""

    __slots__ = ("read_delay_ms", "stalled_at")

    def __init__(self) -> None:
        self.read_delay_ms = 0.0  # time that received data waits before it is read
        self.stalled_at = NEVER  # end of the last event loop stall

    def overlaps_stall(self, attempt: Attempt) -> bool:
        """Return whether an attempt was in flight during an event loop stall."""
        return attempt.sent_at < self.stalled_at


class OutlierDetector:
    """Counts failures, ejects outliers and detects recoveries."""

    def __init__(
        self,
        table: BackendTable,
        ring: HashRing,
        work: PendingWork,
        concurrency: ConcurrencyLimits,
        slow_start: SlowStart,
        retries: RetryPolicy,
        idle_connections: IdleConnections,
    ) -> None:
        self.confirmation_tokens = MAX_CONFIRMATION_TOKENS
        self.base_ejection_ms = 0.0
        self._table = table
        self._ring = ring
        self._work = work
        self._concurrency = concurrency
        self._slow_start = slow_start
        self._retries = retries
        self._idle_connections = idle_connections

    def configure(self, deployment: Deployment) -> None:
        """Apply new settings; ejections in progress keep their length."""
        shortest_ms = min((method.soft_ms for method in deployment.methods), default=1000.0)
        self.base_ejection_ms = 2 * shortest_ms

    # ---- outcomes of attempts

    def record_response(self, backend: Backend, now: float) -> None:
        """Record an answer, and end the ejection of the backend that gave it."""
        backend.last_response_at = now
        backend.consecutive_failures = 0
        backend.response_count += 1
        self.confirmation_tokens = min(
            MAX_CONFIRMATION_TOKENS, self.confirmation_tokens + CONFIRMATION_TOKENS_PER_RESPONSE
        )
        if backend.ejected:
            backend.ejected = False
            backend.recovered_at = now
            backend.cap_concurrency()
            self._work.health_changes.append(HealthChange(backend.id, ejected=False))
        backend.update_availability(now)

    def confirm_suspect(self, rpc: Rpc, backend: Backend, now: float) -> None:
        """Count a suspect's error as a failure once another backend has answered the RPC."""
        if rpc.unservable or rpc.suspect in (None, backend, self._table.origin):
            return
        self.record_failure(rpc.suspect, now)
        rpc.suspect = None

    def needs_confirmation(self, backend: Backend, outcome: Outcome, now: float) -> bool:
        """Return whether an error may be caused by the RPC instead of the backend."""
        if outcome != Outcome.ERROR:
            return False
        return backend is not self._table.origin or not self._is_unresponsive(backend, now)

    def suspect(self, rpc: Rpc, backend: Backend) -> None:
        """Mark a backend as suspect after an error; a second error shows that the RPC is at fault.

        Otherwise RPCs that fail on every backend would eject all of them, and the retries of these
        RPCs would take capacity from the others.
        """
        rpc.unservable = rpc.suspect is not None or self.confirmation_tokens < 1
        rpc.suspect = backend

    def spend_confirmation_token(self) -> None:
        """Spend a token on an attempt that may confirm an error."""
        self.confirmation_tokens -= 1

    def record_failed_attempt(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record an attempt that ended in an error or without a readable answer."""
        backend = attempt.backend
        if (
            outcome == Outcome.CONNECT_FAILED
            and self._has_restarted(backend, now)
            and backend.started_at < attempt.sent_at
        ):
            self._slow_start.start_warmup(backend, now, now)
        # Failures that can affect any backend, and those of the only origin, are tolerated while
        # the backend still answers: a limit lowered at each of them would starve all RPCs.
        tolerated = backend is self._table.origin or outcome == Outcome.MALFORMED
        if not tolerated or self._is_unresponsive(backend, now):
            self.record_failure(backend, now)

    def record_timeout(self, attempt: Attempt, now: float, local_delay: LocalDelay) -> None:
        """Record an attempt that timed out; attempts in flight together count as one failure."""
        backend = attempt.backend
        if max(backend.last_response_at, backend.last_failure_at) >= attempt.sent_at:
            return
        if not attempt.silence_recorded and not local_delay.overlaps_stall(attempt):
            self.record_failure(backend, now)

    # ---- ejection

    def record_failure(self, backend: Backend, now: float) -> None:
        """Count a failure, and eject the backend if its failures reach the threshold."""
        self._idle_connections.record_failure()
        if backend is self._table.origin:
            self._concurrency.record_origin_failure(backend)
            return
        backend.consecutive_failures += 1
        backend.last_failure_at = now
        # A backend that alternates between failing and recovering would otherwise cost several RPCs
        # each time, so one failure after a recent recovery is enough.
        recently_recovered = self._recovered_recently(backend, now)
        if backend.consecutive_failures < (1 if recently_recovered else EJECTION_THRESHOLD):
            return
        if backend.ejected and now < backend.ejected_until:
            return
        if not backend.ejected:
            failures = backend.consecutive_failures
            self._work.health_changes.append(HealthChange(backend.id, True, failures))
            if not recently_recovered:
                backend.ejection_ms = 0.0
        self.eject(backend, now)

    def eject(self, backend: Backend, now: float) -> None:
        """Eject a backend for a time that doubles with each ejection, up to the maximum."""
        backend.ejected = True
        backend.available = False
        backend.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        backend.ejection_ms = min(
            self.base_ejection_ms * MAX_EJECTION_FACTOR,
            max(self.base_ejection_ms, 2 * backend.ejection_ms),
        )
        backend.ejected_until = now + backend.ejection_ms
        self._retries.reroute_pending(backend, now, True)

    def reset(self, backend: Backend) -> None:
        """Clear the failures and the ejection of a backend that may have restarted."""
        backend.consecutive_failures = 0
        backend.ejected = False
        backend.cap_concurrency()

    def _is_unresponsive(self, backend: Backend, now: float) -> bool:
        return now - backend.last_response_at > self.base_ejection_ms

    def _recovered_recently(self, backend: Backend, now: float) -> bool:
        return now < backend.recovered_at + MAX_EJECTION_FACTOR * self.base_ejection_ms

    def _has_restarted(self, backend: Backend, now: float) -> bool:
        """Return whether a refused connection shows that the backend's process has restarted.

        A backend that refuses connections after failures has restarted and is warming up, even if
        the endpoint list does not say so. If most caches fail, the fault is in the network of this
        node.
        """
        if backend.consecutive_failures <= 1 and not self._recovered_recently(backend, now):
            return False
        caches = self._ring.caches
        failing = sum(cache.consecutive_failures > 0 for cache in caches)
        return 2 * failing <= len(caches)
