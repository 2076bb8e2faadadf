"""Decides whether an RPC may be attempted again. Look here when an effect is carried out twice.

State: the deployment's limits on attempts, hedging and cancellation. Invariants: a non-idempotent
RPC that may have run is never sent again; an RPC with an idempotency key is sent again only to
backends that drop its repeats, and all its attempts end within their deduplication window. Times
are in milliseconds; attempts keep a distance of `margin_ms` from every deadline.
"""

from __future__ import annotations

from hookpitch.balancer.backend import FOREVER, NEVER, Backend
from hookpitch.balancer.interface import Deployment, Idempotency, Method
from hookpitch.balancer.pending import PendingWork
from hookpitch.balancer.placement import Placement
from hookpitch.balancer.rpc import Attempt, Rpc


class RetryPolicy:
    """Limits attempts, retries and hedged requests."""

    def __init__(self, work: PendingWork, placement: Placement) -> None:
        self.max_attempts = 1
        self.hedging_allowed = False
        self.cancellation_enabled = False
        self.margin_ms = 0.0
        self._work = work
        self._placement = placement

    def configure(self, deployment: Deployment) -> None:
        """Apply new settings."""
        self.max_attempts = deployment.max_attempts
        self.hedging_allowed = deployment.hedging_allowed
        self.cancellation_enabled = deployment.cancellation_enabled
        self.margin_ms = 2 * deployment.tick_ms + 1

    def update_in_flight(self, rpc: Rpc, method: Method | None) -> None:
        """Apply the stricter of the old and the new settings to an RPC in flight.

        The deduplication window of the backends, for example, may now be shorter.
        """
        rpc.method = rpc.method.restricted_by(method)

    def cancel_hedged(self, rpc: Rpc) -> None:
        """Cancel the hedged attempts of an RPC that are not done, after hedging was disabled."""
        self._work.cancellations.extend(
            attempt for attempt in rpc.attempts if attempt.hedgeable and not attempt.done
        )

    def retry_deadline(self, rpc: Rpc) -> float:
        """Return the time by which a further attempt has to start at its backend."""
        idempotency = rpc.method.idempotency
        if idempotency == Idempotency.IDEMPOTENT:
            return FOREVER
        for attempt in rpc.attempts:
            if attempt.may_have_run:
                if idempotency == Idempotency.NON_IDEMPOTENT:
                    return NEVER
                return attempt.sent_at + rpc.method.dedup_window_ms - self.margin_ms
        return FOREVER

    def repeat_deadline(self, rpc: Rpc) -> float:
        """Return the time by which all attempts have to be over, lest one runs as a repeat."""
        candidates = [attempt for attempt in rpc.attempts if attempt.may_have_run]
        return self.retry_deadline(rpc) if len(candidates) > 1 else FOREVER

    def may_attempt(self, rpc: Rpc, backend: Backend, now: float) -> bool:
        """Return whether constraints and idempotency allow sending an RPC to a backend."""
        method = rpc.method
        return (
            self._drops_repeats(rpc, backend)
            and self._placement.allows(method, backend)
            and now < self.retry_deadline(rpc)
        )

    def _drops_repeats(self, rpc: Rpc, backend: Backend) -> bool:
        method = rpc.method
        if method.idempotency == Idempotency.IDEMPOTENT or method.dedup_scope == "all":
            return True
        first_backend = next(
            (attempt.backend for attempt in rpc.attempts if attempt.may_have_run), backend
        )
        if first_backend is backend:
            return True
        if method.dedup_scope == "zone":
            return backend.zone == first_backend.zone
        return backend.cell == first_backend.cell

    def may_be_repeated_by_client(self, rpc: Rpc) -> bool:
        """Return whether the client may retry the RPC without harm."""
        method = rpc.method
        if method.idempotency == Idempotency.IDEMPOTENT:
            return True
        if method.idempotency == Idempotency.IDEMPOTENT_WITH_KEY and method.dedup_scope == "all":
            return True
        return not any(attempt.may_have_run for attempt in rpc.attempts)

    def cancel_or_hedge(self, attempt: Attempt, now: float) -> None:
        """Cancel or hedge an attempt if another backend may still answer in time.

        Where hedging is allowed, the attempt continues alongside the hedged request: if the
        attempt is only slow, cancelling it would waste the work already done.
        """
        rpc = attempt.rpc
        if (
            rpc.closed
            or len(rpc.attempts) >= self.max_attempts
            or now >= self.retry_deadline(rpc) - self.margin_ms
        ):
            return
        if self.hedging_allowed and not attempt.hedgeable:
            attempt.hedgeable = True
            rpc.hedgeable_count += 1
            self._work.rpcs.append(rpc)
        else:
            self._work.cancellations.append(attempt)

    def reroute_pending(self, backend: Backend, now: float, include_in_flight: bool) -> None:
        """Reroute the RPCs queued for a backend and, with `include_in_flight`, those sent to it."""
        if include_in_flight:
            for attempt in backend.in_flight:
                self.cancel_or_hedge(attempt, now)
        for entry in backend.fresh_queue + backend.retry_queue:
            if entry.rpc.queue_deadline:
                entry.rpc.queue_deadline = 0.0
                self._work.rpcs.append(entry.rpc)
        backend.fresh_queue = []
        backend.retry_queue = []
