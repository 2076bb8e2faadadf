"""Slow start: how much a backend gets while it warms up. Look here when a new one is pushed over.

State: on each backend, tokens that refill at a warm backend's send rate, cut by how far its
warm-up has come; on the router, that rate and a gain above 1 while warming backends answer fast.
The budgets hold over all nodes together, so a router takes its `process_share` of them. Rates are
RPCs a second for each unit of size.
"""

from __future__ import annotations

from hookpitch.balancer.backend import Backend, BackendTable
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.interface import Deployment
from hookpitch.balancer.ring import HashRing

FAST_FRACTION = 0.25  # of the soft deadline: an answer faster than this raises the gain


class SlowStart:
    """Token budgets of backends that warm up."""

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
        """Apply new settings; warm-ups that have begun go on."""
        self.max_warmup_gain = max(1.0, deployment.overload_factor / 1.5)
        self._start_fraction = deployment.slow_start_fraction
        self.duration_ms = deployment.slow_start_ms

    def start_warmup(self, backend: Backend, since: float, now: float) -> None:
        """Have a backend warm up from `since`."""
        already_warming = now < backend.warmup_until
        backend.warmup_gain = 1.0
        if not already_warming:
            backend.warmup_tokens = self._draws.fraction()
            backend.warmup_refilled_at = now
        # One that starts again while warming may have fallen by what it was sent.
        others_warm_up = any(now < cache.warmup_until for cache in self._ring.caches)
        if already_warming or not others_warm_up:
            self.warmup_gain = 1.0
        backend.warmup_until = since + self.duration_ms

    def has_token(self, backend: Backend, now: float) -> bool:
        """Refill a warming backend's tokens and return whether it may be sent one RPC."""
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
        """Raise or lower the gains; one backend that answers fast speaks for all that warm up."""
        fast = latency_ms < FAST_FRACTION * soft_ms
        if fast:
            backend.warmup_gain = min(1.0, backend.warmup_gain * 1.1)
        else:
            self.record_overload(backend)
        if now < backend.warmup_until:
            gain = self.warmup_gain * (1.1 if fast else 0.8)
            self.warmup_gain = min(self.max_warmup_gain, max(1.0, gain))

    def record_overload(self, backend: Backend) -> None:
        """Take one backend's gain back, whatever the others' is."""
        backend.warmup_gain = 1 / self.max_warmup_gain

    def update_warm_rate(self, arrivals: int, span_ms: float) -> None:
        """Measure what warm caches are sent.

        Where none is warm yet, take an even part of what arrives: a router that starts among
        warming caches alone would otherwise send them nothing.
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
