"""Where an RPC goes when its assigned cache cannot take it. Look here for misses after a failover.

No state of its own. Going on along the ring means a miss at the next cache, and misses load the
origin; so while the origin is congested an RPC waits at its own cache first.
"""

from __future__ import annotations

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.interface import EndpointState
from hookpitch.balancer.placement import Placement
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.rpc import Rpc
from hookpitch.balancer.slow_start import SlowStart


class Failover:
    """Selects backends along a bucket's failover chain."""

    def __init__(
        self,
        placement: Placement,
        concurrency: ConcurrencyLimits,
        slow_start: SlowStart,
        retries: RetryPolicy,
    ) -> None:
        self._placement = placement
        self._concurrency = concurrency
        self._slow_start = slow_start
        self._retries = retries

    def select(self, rpc: Rpc, now: float) -> Backend | None:
        """Return the first backend that can take an RPC, else the first it may wait for.

        Marks the RPC as rejected where it has waited in a queue before and would again.
        """
        first_busy: Backend | None = None
        congested = self._concurrency.origin_congested()
        for backend in self._placement.failover_chain(rpc.bucket):
            if not self._is_eligible(rpc, backend, now):
                continue
            if backend.ejected:
                if self._may_probe(rpc, backend, now):
                    backend.ejected_until = now + backend.ejection_ms
                    return backend
                continue
            if self._concurrency.has_capacity(backend, now) or (
                congested and not rpc.queue_timed_out
            ):
                return backend
            first_busy = first_busy or backend
        rpc.rejected |= rpc.queue_timed_out
        return first_busy

    def count_with_spare_capacity(self, rpc: Rpc) -> int:
        """Count the backends of an RPC's chain that could take more."""
        return sum(
            self._concurrency.has_spare_capacity(backend, rpc.method)
            for backend in self._placement.failover_chain(rpc.bucket)
        )

    def _is_eligible(self, rpc: Rpc, backend: Backend, now: float) -> bool:
        if any(
            attempt.backend is backend and not attempt.connection_fault for attempt in rpc.attempts
        ):
            return False
        if not self._retries.may_attempt(rpc, backend, now):
            return False
        if backend.state != EndpointState.READY:
            return False
        return now >= backend.warmup_until or self._slow_start.has_token(backend, now)

    def _may_probe(self, rpc: Rpc, backend: Backend, now: float) -> bool:
        """Return whether an ejected backend is tried: with one RPC, once its ejection is over."""
        return now >= backend.ejected_until and not backend.in_flight and not rpc.over_quota
