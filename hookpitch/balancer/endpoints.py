"""Applies endpoint updates and bans. Look here when a backend is used that should not be.

State: the listed values of the backends, the ids that an operator has banned, and, where listed
sizes are reduced by load, the nominal size of each machine kind. Invariants: a backend that is not
ready is sent nothing new; a ban holds whatever a list says; a backend whose process has restarted
is treated as new and warms up. The ring changes only with the set of ready backends and their
sizes.
"""

from __future__ import annotations

from hookpitch.balancer.backend import NEVER, Backend, BackendTable
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.health import OutlierDetector
from hookpitch.balancer.interface import Deployment, Endpoint, EndpointState, EndpointUpdate
from hookpitch.balancer.placement import Placement
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.ring import HashRing
from hookpitch.balancer.slow_start import SlowStart

MIN_SIZE = 1e-3
UNKNOWN_KIND = -2


class EndpointList:
    """Applies endpoint updates and bans to the backends."""

    def __init__(
        self,
        table: BackendTable,
        ring: HashRing,
        placement: Placement,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        concurrency: ConcurrencyLimits,
        retries: RetryPolicy,
    ) -> None:
        self.banned: dict[str, None] = {}  # in the order of the bans
        # By kind; None where listed sizes do not depend on load.
        self.nominal_sizes: dict[int, float] | None = None
        self._nodes = 1
        self._removal_is_advisory = False
        self._table = table
        self._ring = ring
        self._placement = placement
        self._outliers = outliers
        self._slow_start = slow_start
        self._concurrency = concurrency
        self._retries = retries

    def configure(self, deployment: Deployment, nodes: int) -> None:
        """Apply new settings; backends get the new numbers of their kinds, matched by name."""
        table = self._table
        self._nodes = nodes
        self._removal_is_advisory = deployment.removal_is_advisory
        kind_names = [table.kind_name(backend.kind) for backend in table.backends.values()]
        table.kind_names = deployment.kinds
        table.origin_kind = deployment.origin_kind
        self.nominal_sizes = {} if deployment.weights_reflect_load else None
        for backend, name in zip(table.backends.values(), kind_names, strict=True):
            is_known = name in deployment.kinds
            backend.kind = deployment.kinds.index(name) if is_known else UNKNOWN_KIND
            backend.reported_load = -1.0
            if self.nominal_sizes is not None:
                largest = self.nominal_sizes.get(backend.kind, 0.0)
                self.nominal_sizes[backend.kind] = max(backend.size, largest)

    def update(self, kind: EndpointUpdate, endpoints: list[Endpoint], now: float) -> None:
        """Apply an update; any update but a delta removes the backends that it does not list."""
        changed = False
        resized: list[Backend] = []
        for endpoint in endpoints:
            backend = self._table.backends.get(endpoint.id)
            if backend is None:
                backend = self._table.backends[endpoint.id] = Backend(endpoint.id)
            self._reset_if_restarted(backend, endpoint, now)
            changed |= backend.listed_state != endpoint.state
            changed |= (backend.zone, backend.kind) != (endpoint.zone, endpoint.kind)
            if self._apply_listed_values(backend, endpoint):
                resized.append(backend)
            if endpoint.kind == self._table.origin_kind:
                self._concurrency.start_origin(backend, self._nodes)
            self.set_state(backend, endpoint.state, now)
        if kind != EndpointUpdate.DELTA:
            listed_ids = {endpoint.id for endpoint in endpoints}
            for backend in self._table.backends.values():
                if backend.id not in listed_ids and backend.listed_state != EndpointState.REMOVED:
                    changed = True
                    self.set_state(backend, EndpointState.REMOVED, now)
        if changed or resized:
            self.rebuild_ring(resized)

    def set_banned(self, id: str, banned: bool, now: float) -> None:
        """Ban a backend or lift its ban; a backend may be banned before it is listed."""
        was_banned = id in self.banned
        self.banned.pop(id, None)
        if banned:
            self.banned[id] = None
        backend = self._table.backends.get(id)
        if backend is None or banned == was_banned:
            return
        if not banned:
            # The backend may have restarted while banned, and old failures would delay its use.
            self._outliers.reset(backend)
            backend.ejection_ms = 0.0
            self._slow_start.start_warmup(backend, now, now)
        self.set_state(backend, backend.listed_state, now)
        needs_no_points = backend.ring_points or backend.state != EndpointState.READY
        self.rebuild_ring([] if needs_no_points else [backend])

    def set_state(self, backend: Backend, listed: EndpointState, now: float) -> None:
        """Store a listed state, and derive the state that decides how the backend is used.

        Where removal is advisory, following an outdated list would remove and restore a backend
        again and again. A backend that was ready is therefore still tried, but it is ejected if it
        has not answered for a while.
        """
        backend.removal_advised = (
            listed == EndpointState.REMOVED
            and self._removal_is_advisory
            and (backend.listed_state == EndpointState.READY or backend.removal_advised)
        )
        backend.listed_state = listed
        state = listed
        if backend.removal_advised:
            state = EndpointState.READY
            silent_ms = now - backend.last_response_at
            if not backend.ejected and silent_ms > self._outliers.base_ejection_ms:
                self._outliers.eject(backend, now)
        if state == EndpointState.READY and backend.id in self.banned:
            state = EndpointState.DRAINING
        if state != EndpointState.READY and backend.state == EndpointState.READY:
            self._retries.reroute_pending(backend, now, state == EndpointState.REMOVED)
        backend.state = state
        backend.update_availability(now)

    def rebuild_ring(self, resized: list[Backend]) -> None:
        """Update the origin, the ring and all assignments after the backends have changed.

        `resized`: the backends that have no ring points yet, or the points for another size.
        """
        table, ring = self._table, self._ring
        ready = [
            backend for backend in table.backends.values() if backend.state == EndpointState.READY
        ]
        if table.origin not in ready:
            origins = (backend for backend in ready if backend.kind == table.origin_kind)
            table.origin = next(origins, table.origin)
        caches = [backend for backend in resized if backend.kind != table.origin_kind]
        needs_rebuild = ring.needs_rebuild(caches)
        ring.set_scale(caches)
        if needs_rebuild:
            ring.clear()
            self._forget_removed()
            caches = [backend for backend in ready if backend.kind != table.origin_kind]
        ring.add(caches)
        self._placement.ring_changed()

    def _reset_if_restarted(self, backend: Backend, endpoint: Endpoint, now: float) -> None:
        """Reset a backend if the list shows that its process has restarted."""
        usable = endpoint.state == EndpointState.READY or self._removal_is_advisory
        started_at = endpoint.started_ms if endpoint.started_ms > 0 else NEVER
        if not usable or started_at <= backend.started_at:
            return
        self._retries.reroute_pending(backend, now, True)
        backend.started_at = started_at
        self._outliers.reset(backend)
        backend.last_response_at = NEVER
        self._slow_start.start_warmup(backend, started_at, now)

    def _apply_listed_values(self, backend: Backend, endpoint: Endpoint) -> bool:
        """Store the listed values; return whether the backend needs new ring points."""
        size = max(endpoint.size, MIN_SIZE)
        if self.nominal_sizes is not None:
            # Sizes that vary with load would change the ring with every list. So the largest size
            # seen is used, and the RPCs in flight are computed from the reduction of the listed
            # size (see `Deployment.weights_reflect_load`).
            nominal = max(size, self.nominal_sizes.get(endpoint.kind, 0.0))
            self.nominal_sizes[endpoint.kind] = nominal
            backend.reported_load = (nominal / size - 1) * nominal
            size = nominal
        resized = endpoint.state == EndpointState.READY and (
            not backend.ring_points or backend.size != size
        )
        backend.zone = endpoint.zone
        backend.cell = endpoint.cell
        backend.size = size
        backend.kind = endpoint.kind
        return resized

    def _forget_removed(self) -> None:
        """Delete the records of removed backends that have nothing in flight."""
        backends = self._table.backends
        for backend in list(backends.values()):
            if backend.state == EndpointState.REMOVED and not backend.in_flight:
                del backends[backend.id]
