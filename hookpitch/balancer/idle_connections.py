"""Limits the idle time of connections. Look here when backends close connections unnoticed.

State: `idle_limit_ms`, between `min_idle_ms` and `max_idle_ms`; it grows in each rate window and
shrinks with each failure. Routers that never close connections keep the connection tables of the
backends full, and routers that start later find no free slot in them.
"""

from __future__ import annotations

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.interface import Deployment

INITIAL_GROWTH = 1.3  # factor per rate window, until the first failure
GROWTH_AFTER_FAILURE = 1.05  # factor per rate window, after the first failure
SHRINK_FACTOR = 0.8  # per failure


class IdleConnections:
    """Maintains the limit on the idle time of connections."""

    __slots__ = ("_growth", "idle_limit_ms", "max_idle_ms", "min_idle_ms")

    def __init__(self) -> None:
        self.idle_limit_ms = 0.0
        self.max_idle_ms = 0.0
        self.min_idle_ms = 0.0
        self._growth = INITIAL_GROWTH

    def configure(self, deployment: Deployment, base_ejection_ms: float) -> None:
        """Apply new settings.

        Where holding a connection has a cost, the limit is the idle time that costs as much as a
        new handshake.
        """
        if deployment.connection_hold_cost > 0:
            self.max_idle_ms = (
                base_ejection_ms * deployment.connection_open_cost / deployment.connection_hold_cost
            )
            self.min_idle_ms = self.max_idle_ms
        else:
            self.max_idle_ms = deployment.connection_idle_timeout_ms
            self.min_idle_ms = min(self.max_idle_ms, base_ejection_ms)
        self.idle_limit_ms = min(max(self.idle_limit_ms, self.min_idle_ms), self.max_idle_ms)

    def record_failure(self) -> None:
        """Lower the limit: tables may be full, or idle connections were closed unnoticed."""
        self.idle_limit_ms = max(self.min_idle_ms, SHRINK_FACTOR * self.idle_limit_ms)
        self._growth = GROWTH_AFTER_FAILURE

    def grow(self) -> None:
        """Raise the limit, once per rate window."""
        self.idle_limit_ms = min(self.max_idle_ms, self._growth * self.idle_limit_ms)

    def is_idle(self, backend: Backend, now: float) -> bool:
        """Return whether a backend's connections have been idle for longer than the limit."""
        return (
            backend.connected
            and not backend.in_flight
            and now - backend.last_send_at > self.idle_limit_ms
        )

    def may_be_stale(self, backend: Backend, now: float) -> bool:
        """Return whether the backend may have closed its idle connections unnoticed."""
        return self.is_idle(backend, now) and self.idle_limit_ms < 0.9 * self.max_idle_ms
