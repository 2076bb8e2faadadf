"""Adaptive concurrency limits. Look here when a backend is sent too much or too little at once.

State: on each backend, its limit on attempts in flight, its mean latency and the least that mean
has been; here, the usual latency of a cache of size one. A limit grows by one for each limit of
answers while it is in use, and shrinks with slow answers. Invariant: a limit under one is kept by
pauses: one attempt is in flight for that part of the time.
"""

from __future__ import annotations

from hookpitch.balancer.backend import INITIAL_CONCURRENCY_LIMIT, Backend, BackendTable
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.interface import Method, Outcome
from hookpitch.balancer.slow_start import SlowStart

SLOW_ORIGIN_FRACTION = 0.5  # of the soft deadline: slower answers shrink the origin's limit
SLOW_CACHE_FRACTION = 0.2  # of the soft deadline: slower answers shrink a cache's limit
CONGESTED_LATENCY = 1.5  # times the baseline: from here on the origin is congested
INITIAL_ORIGIN_LIMITS = (64.0, 12.0)  # at the start: over all nodes; at one node
MIN_ORIGIN_LIMITS = (6.0, 0.25)  # over all nodes; at one node


class ConcurrencyLimits:
    """Limits on attempts in flight, learned from latency."""

    def __init__(self, draws: DrawSequence, table: BackendTable, slow_start: SlowStart) -> None:
        self.unit_latency_ms = 0.0
        self._draws = draws
        self._table = table
        self._slow_start = slow_start

    def has_capacity(self, backend: Backend, now: float) -> bool:
        """Return whether a backend may be sent one more attempt now."""
        limit = backend.concurrency_limit
        if len(backend.in_flight) >= max(1, int(limit)):
            return False
        if limit < 1 and now < backend.paused_until:
            return False
        return now >= backend.warmup_until or self._slow_start.has_token(backend, now)

    def has_spare_capacity(self, backend: Backend, method: Method) -> bool:
        """Return whether a backend answers fast and could take more."""
        return (
            backend.available
            and max(INITIAL_CONCURRENCY_LIMIT, 2 * len(backend.in_flight))
            < backend.concurrency_limit
            and backend.latency_ms < SLOW_ORIGIN_FRACTION * method.soft_ms / 2
        )

    def origin_congested(self) -> bool:
        """Return whether the origin has no capacity for further misses."""
        origin = self._table.origin
        if origin is None:
            return False
        if origin.retry_queue:
            return True
        half_used = 2 * len(origin.in_flight) >= origin.concurrency_limit
        return half_used and origin.latency_ms > CONGESTED_LATENCY * origin.baseline_latency_ms

    def start_origin(self, origin: Backend, nodes: int) -> None:
        """Give the origin its first limits: a sum over all nodes, but no more than one's own."""
        if origin.min_concurrency_limit == 1.0:
            fleet_limit, node_limit = MIN_ORIGIN_LIMITS
            origin.min_concurrency_limit = min(node_limit, fleet_limit / nodes)
            fleet_limit, node_limit = INITIAL_ORIGIN_LIMITS
            origin.concurrency_limit = min(node_limit, fleet_limit / nodes)

    def scale_origin(self, factor: float) -> None:
        """Follow a change of this process's share, while the origin has answered nothing yet.

        A process that starts beside an older one would otherwise ask for as much again.
        """
        origin = self._table.origin
        if origin and not origin.response_count:
            origin.concurrency_limit *= factor

    def record_latency(self, backend: Backend, latency_ms: float) -> None:
        """Fold an answer that took a backend's full work into the means."""
        backend.latency_ms += (latency_ms - backend.latency_ms) * (
            0.1 if backend.latency_ms else 1.0
        )
        # The baseline rises slowly, so that it follows a backend that has become slower for good.
        raised_ms = backend.baseline_latency_ms * 1.001 or backend.latency_ms
        backend.baseline_latency_ms = min(raised_ms, backend.latency_ms)
        if backend is not self._table.origin:
            weight = 0.02 if self.unit_latency_ms else 1.0
            self.unit_latency_ms += (latency_ms * backend.size - self.unit_latency_ms) * weight

    def adapt(self, backend: Backend, latency_ms: float, soft_ms: float, full_work: bool) -> None:
        """Move a backend's limit after an answer."""
        if self._is_slow(backend, latency_ms, soft_ms, full_work):
            backend.concurrency_limit = max(
                backend.min_concurrency_limit, backend.concurrency_limit * 0.9
            )
            backend.limit_growth = 0.25
        elif len(backend.in_flight) + 2 > backend.concurrency_limit:
            growth = 1.0 if backend is self._table.origin else backend.limit_growth
            limit = backend.concurrency_limit
            backend.concurrency_limit += growth * min(limit, 1 / limit)

    def _is_slow(
        self, backend: Backend, latency_ms: float, soft_ms: float, full_work: bool
    ) -> bool:
        slow_ms = SLOW_ORIGIN_FRACTION * soft_ms
        if backend is not self._table.origin:
            return latency_ms > slow_ms * SLOW_CACHE_FRACTION / SLOW_ORIGIN_FRACTION
        # Work at the origin varies: one slow answer is no congestion unless the mean is slow too.
        return full_work and latency_ms > slow_ms and slow_ms < backend.latency_ms / 0.7

    def record_origin_failure(self, origin: Backend) -> None:
        """Ask the origin for less: there is no other to ask."""
        in_flight = len(origin.in_flight)
        reduced = min(origin.concurrency_limit, in_flight + 1) * (0.8 if in_flight else 0.5)
        origin.concurrency_limit = max(origin.min_concurrency_limit, reduced)

    def pause(
        self, backend: Backend, method: Method, outcome: Outcome, took_ms: float, now: float
    ) -> None:
        """Keep a limit under one by a pause after an attempt has ended.

        One attempt in flight from each of hundreds of nodes overloads a single backend.
        """
        typical_ms = (
            backend.latency_ms if outcome <= Outcome.MISS else SLOW_ORIGIN_FRACTION * method.soft_ms
        )
        span_ms = max(took_ms, typical_ms)
        pause_factor = 1 / min(backend.concurrency_limit, 1.0) - 1
        backend.paused_until = now + span_ms * pause_factor * (0.5 + self._draws.fraction())
