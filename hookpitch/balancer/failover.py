"""Selects a backend when the assigned cache cannot take an RPC. Look here for misses on failover.

This module has no state. The next cache along the ring does not hold the key, so an RPC that fails
over misses there, and misses load the origin. While the origin is congested, an RPC therefore first
waits for its assigned cache.
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
        """Return the first backend that has capacity, else the first that the RPC may wait for.

        Marks the RPC as rejected if it would wait in a queue for a second time.
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
        """Count the backends in an RPC's failover chain that have spare capacity."""
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
        """Return whether to probe an ejected backend: with one RPC, once its ejection is over."""
        return now >= backend.ejected_until and not backend.in_flight and not rpc.over_quota
