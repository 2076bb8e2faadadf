"""The few things that the host reads from the router's state."""

from __future__ import annotations

from hookpitch.balancer.interface import EndpointState
from hookpitch.balancer.router import Router
from hookpitch.core.rpc import Attempt


def is_bannable(router: Router, backend_id: str, origin_kind: int) -> bool:
    """Whether an operator may name a backend: a listed cache, or one that is banned already."""
    if backend_id in router.bans:
        return True
    backend = router.backends.get(backend_id)
    if backend is None or backend.kind == origin_kind:
        return False
    return backend.listed_state != EndpointState.REMOVED


def count_endpoints(router: Router, origin_kind: int) -> tuple[int, int]:
    """Return how many caches are listed, and how many of them get no traffic now.

    The latter drain, are banned or ejected.
    """
    listed = [
        backend
        for backend in router.backends.values()
        if backend.kind != origin_kind and backend.listed_state != EndpointState.REMOVED
    ]
    avoided = [
        backend for backend in listed if backend.state != EndpointState.READY or backend.ejected
    ]
    return len(listed), len(avoided)


def was_sent_before_pause(router: Router, attempt: Attempt) -> bool:
    """Whether this process was paused since an attempt was sent."""
    return attempt.sent_at < router.local_delay.stalled_at
