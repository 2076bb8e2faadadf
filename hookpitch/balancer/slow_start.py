"""Slow start: how much a backend is sent while it warms up. Look here when a new one is overloaded.

State: for each backend, tokens that refill at the send rate of a warm backend, reduced according to
the progress of the warm-up; for the router, that rate and a gain, which is above 1 while warming
backends answer fast. The budgets hold for all nodes together, so a router uses only its
`process_share` of them. Rates are RPCs per second for each unit of size.
"""

from __future__ import annotations

from hookpitch.balancer.backend import Backend, BackendTable
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.interface import Deployment
from hookpitch.balancer.ring import HashRing

FAST_FRACTION = 0.25  # of the soft deadline: a faster answer raises the gain


class SlowStart:
    """The token budgets of backends that are warming up."""

    def __init__(self, draws: DrawSequence, table: BackendTable, ring: HashRing) -> None:
        self.warm_rate = 0.0
        self.warmup_gain = 1.0
        self.max_warmup_gain = 1.0
        self.duration_ms = 0.0
        self.process_share = 1.0
        self._start_fraction = 0.0
        self._draws = draws
        self._table = table
        self._ring = ring

    def configure(self, deployment: Deployment) -> None:
        """Apply new settings; warm-ups in progress continue."""
        self.max_warmup_gain = max(1.0, deployment.overload_factor / 1.5)
        self._start_fraction = deployment.slow_start_fraction
        self.duration_ms = deployment.slow_start_ms

    def start_warmup(self, backend: Backend, since: float, now: float) -> None:
        """Start a backend's warm-up, which counts from `since`."""
        already_warming = now < backend.warmup_until
        backend.warmup_gain = 1.0
        if not already_warming:
            backend.warmup_tokens = self._draws.fraction()
            backend.warmup_refilled_at = now
        # The router's gain is reset if a backend restarts during its warm-up, because it may have
        # failed under the load that it was sent, or if no other backend is warming up.
        others_warm_up = any(now < cache.warmup_until for cache in self._ring.caches)
        if already_warming or not others_warm_up:
            self.warmup_gain = 1.0
        backend.warmup_until = since + self.duration_ms

    def has_token(self, backend: Backend, now: float) -> bool:
        """Refill a warming backend's tokens, and return whether it may be sent one RPC."""
        progress = 1.0
        if self.duration_ms:
            progress = max(0.0, 1 - (backend.warmup_until - now) / self.duration_ms)
        fraction = self._start_fraction + (1 - self._start_fraction) * progress
        fraction *= max(1.0, backend.warmup_gain * self.warmup_gain) * self.process_share
        elapsed_ms = now - backend.warmup_refilled_at
        refill = elapsed_ms * fraction * self.warm_rate * backend.size / 1000
        tokens = backend.warmup_tokens
        backend.warmup_tokens = min(max(1.0, tokens), tokens + refill)
        backend.warmup_refilled_at = now
        return backend.warmup_tokens >= 1

    def record_response(
        self, backend: Backend, latency_ms: float, soft_ms: float, now: float
    ) -> None:
        """Raise the gains after a fast answer, and lower them after a slow one.

        An answer from one warming backend is taken as evidence for all that are warming up.
        """
        fast = latency_ms < FAST_FRACTION * soft_ms
        if fast:
            backend.warmup_gain = min(1.0, backend.warmup_gain * 1.1)
        else:
            self.record_overload(backend)
        if now < backend.warmup_until:
            gain = self.warmup_gain * (1.1 if fast else 0.8)
            self.warmup_gain = min(self.max_warmup_gain, max(1.0, gain))

    def record_overload(self, backend: Backend) -> None:
        """Lower one backend's gain to cancel the gain of the router, however high that is."""
        backend.warmup_gain = 1 / self.max_warmup_gain

    def update_warm_rate(self, arrivals: int, span_ms: float) -> None:
        """Update the rate at which warm caches are sent RPCs, per unit of size.

        Before any cache has been warm, the arrivals divided by the total size stand in for that
        rate: otherwise a router that starts when all caches are warming up would send them nothing.
        """
        origin = self._table.origin
        warm = [
            backend
            for backend in self._table.backends.values()
            if backend.available and backend is not origin
        ]
        if warm:
            self.warm_rate = sum(backend.send_rate for backend in warm) / sum(
                backend.size for backend in warm
            )
        elif not self.warm_rate:
            total_size = max(1.0, sum(cache.size for cache in self._ring.caches))
            self.warm_rate = 1000 * arrivals / span_ms / total_size
