"""Adaptive concurrency limits. Look here when a backend is sent too much or too little at once.

State: for each backend, the limit on attempts in flight, the mean latency and the baseline of that
mean; here, the usual latency of a cache of size one. While a limit is in use, it grows by one for
every `limit` answers; slow answers shrink it. Invariant: a limit below one is implemented by
pauses, so that one attempt is in flight for that fraction of the time.
"""

from __future__ import annotations

from hookpitch.balancer.backend import INITIAL_CONCURRENCY_LIMIT, Backend, BackendTable
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.interface import Method, Outcome
from hookpitch.balancer.slow_start import SlowStart

SLOW_ORIGIN_FRACTION = 0.5  # of the soft deadline: slower answers shrink the origin's limit
SLOW_CACHE_FRACTION = 0.2  # of the soft deadline: slower answers shrink a cache's limit
CONGESTED_LATENCY_FACTOR = 1.5  # times the baseline: above it the origin is congested
INITIAL_ORIGIN_LIMITS = (64.0, 12.0)  # the sum over all nodes; the maximum at one node
MIN_ORIGIN_LIMITS = (6.0, 0.25)  # the sum over all nodes; the maximum at one node


class ConcurrencyLimits:
    """Adapts the limits on attempts in flight to the measured latency."""

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
        """Return whether a backend answers fast and is well below its limit."""
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
        return (
            half_used and origin.latency_ms > CONGESTED_LATENCY_FACTOR * origin.baseline_latency_ms
        )

    def start_origin(self, origin: Backend, nodes: int) -> None:
        """Set the origin's first limits: this node's part of the sum, up to the node's maximum."""
        if origin.min_concurrency_limit == 1.0:  # the value of a new backend: no limits set yet
            fleet_limit, node_limit = MIN_ORIGIN_LIMITS
            origin.min_concurrency_limit = min(node_limit, fleet_limit / nodes)
            fleet_limit, node_limit = INITIAL_ORIGIN_LIMITS
            origin.concurrency_limit = min(node_limit, fleet_limit / nodes)

    def scale_origin(self, factor: float) -> None:
        """Scale the origin's limit with this process's share, until the origin first answers.

        Otherwise a process that starts alongside an older one would double the load on the origin.
        """
        origin = self._table.origin
        if origin and not origin.response_count:
            origin.concurrency_limit *= factor

    def record_latency(self, backend: Backend, latency_ms: float) -> None:
        """Update the mean latencies from an answer that took the backend's full work."""
        backend.latency_ms += (latency_ms - backend.latency_ms) * (
            0.1 if backend.latency_ms else 1.0
        )
        # The baseline rises slowly, to follow a backend that has become slower permanently.
        raised_ms = backend.baseline_latency_ms * 1.001 or backend.latency_ms
        backend.baseline_latency_ms = min(raised_ms, backend.latency_ms)
        if backend is not self._table.origin:
            weight = 0.02 if self.unit_latency_ms else 1.0
            self.unit_latency_ms += (latency_ms * backend.size - self.unit_latency_ms) * weight

    def adapt(self, backend: Backend, latency_ms: float, soft_ms: float, full_work: bool) -> None:
        """Raise or lower a backend's limit after an answer."""
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
        # Work at the origin varies: a slow answer means congestion only if the mean is slow too.
        return full_work and latency_ms > slow_ms and slow_ms < backend.latency_ms / 0.7

    def record_origin_failure(self, origin: Backend) -> None:
        """Lower the origin's limit after a failure; there is no other origin to use instead."""
        in_flight = len(origin.in_flight)
        reduced = min(origin.concurrency_limit, in_flight + 1) * (0.8 if in_flight else 0.5)
        origin.concurrency_limit = max(origin.min_concurrency_limit, reduced)

    def pause(
        self, backend: Backend, method: Method, outcome: Outcome, latency_ms: float, now: float
    ) -> None:
        """Pause a backend whose limit is below one after an attempt has ended.

        Without pauses, one attempt in flight from each of hundreds of nodes overloads a backend.
        """
        typical_ms = (
            backend.latency_ms if outcome <= Outcome.MISS else SLOW_ORIGIN_FRACTION * method.soft_ms
        )
        span_ms = max(latency_ms, typical_ms)
        pause_factor = 1 / min(backend.concurrency_limit, 1.0) - 1
        backend.paused_until = now + span_ms * pause_factor * (0.5 + self._draws.fraction())
