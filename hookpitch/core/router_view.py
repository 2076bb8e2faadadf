"""The queries with which the host reads the router's state."""

from __future__ import annotations

from hookpitch.balancer.interface import EndpointState
from hookpitch.balancer.router import Router
from hookpitch.core.rpc import Attempt


def is_bannable(router: Router, backend_id: str, origin_kind: int) -> bool:
    """Return whether a backend may be banned or unbanned: a listed cache, or a banned backend."""
    if backend_id in router.bans:
        return True
    backend = router.backends.get(backend_id)
    if backend is None or backend.kind == origin_kind:
        return False
    return backend.listed_state != EndpointState.REMOVED


def count_endpoints(router: Router, origin_kind: int) -> tuple[int, int]:
    """Return the number of listed caches, and the number of those that receive no traffic now.

    A cache receives no traffic while it is draining, banned or ejected.
    """
    listed = [
        backend
        for backend in router.backends.values()
        if backend.kind != origin_kind and backend.listed_state != EndpointState.REMOVED
    ]
    without_traffic = [
        backend for backend in listed if backend.state != EndpointState.READY or backend.ejected
    ]
    return len(listed), len(without_traffic)


def was_sent_before_pause(router: Router, attempt: Attempt) -> bool:
    """Return whether this process has been paused since it sent an attempt."""
    return attempt.sent_at < router.local_delay.stalled_at
