"""All pools of connections to servers, by endpoint, and the bound on their descriptors.

It is the host's transport. Invariant: `descriptors_used` counts every connection and every connect
under way, and a new connect is begun only while it is below `max_descriptors`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate
from hookpitch.core.host import Host
from hookpitch.core.rpc import Attempt
from hookpitch.net.backend_connection import BackendConnection, CacheConnection
from hookpitch.net.backend_pool import BackendPool, ConnectionType
from hookpitch.net.clock import Clock

# Of the time after which a server closes an idle connection: later it is not used again.
IDLE_TIMEOUT_FRACTION = 0.9


class BackendPools:
    """The pools, and what the host asks of them."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - real or simulated, without a common type
        clock: Clock,
        host: Host,
        max_descriptors: int,
        origin_connection_type: ConnectionType,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.host = host
        self.max_descriptors = max_descriptors
        self.descriptors_used = 0
        self.by_backend: dict[str, BackendPool] = {}
        self._origin_connection_type = origin_connection_type
        self.reconfigured()

    def reconfigured(self) -> None:
        """Takes over the settings' times, for connects and idle connections from now on."""
        deployment = self.host.deployment
        self.connect_timeout_ms = deployment.connect_timeout_ms
        self.idle_timeout_ms = IDLE_TIMEOUT_FRACTION * deployment.connection_idle_timeout_ms

    # ---- attempts

    def dispatch(self, now: float, attempt: Attempt) -> bool:
        """Sends an attempt to its server; False where no connection can be had."""
        pool = self.by_backend.get(attempt.backend_id)
        return pool is not None and pool.dispatch(attempt)

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Withdraws an attempt: its connection is reset, or it waits no longer."""
        carrier = attempt.carrier
        if isinstance(carrier, BackendConnection) and carrier.attempt is attempt:
            carrier.attempt = None
            carrier.reset_now()
        elif isinstance(carrier, BackendPool) and attempt in carrier.waiting:
            carrier.waiting.remove(attempt)

    def read_pending_response(self, attempt: Attempt) -> bool:
        """Reads what stands unread for an attempt; whether that has ended it."""
        carrier = attempt.carrier
        is_sent = isinstance(carrier, BackendConnection) and carrier.attempt is attempt
        if is_sent and carrier.has_kernel_bytes():
            carrier.read_now()
        return attempt.done

    # ---- servers

    def addresses(self) -> dict[str, str]:
        """The "host:port" of each server, by endpoint id."""
        result = dict[str, str]()
        for backend_id, pool in self.by_backend.items():
            host, port = pool.address
            result[backend_id] = f"{host}:{port}"
        return result

    def stop_sending(self, backend_id: str) -> None:
        """Nothing new may be sent to it, by an operator's command."""
        if backend_id in self.by_backend:
            self.by_backend[backend_id].stop()

    def close_idle(self, backend_id: str) -> None:
        """Closes the idle connections to a server."""
        if backend_id in self.by_backend:
            self.by_backend[backend_id].close_idle()

    def reserve_descriptor(self) -> bool:
        """Whether one more descriptor may be used; where need be an idle connection is closed.

        A node without descriptors could accept no clients.
        """
        if self.descriptors_used < self.max_descriptors:
            return True
        for pool in self.by_backend.values():
            for connection in pool.idle:
                if not connection.reading:
                    # A turn later it would hold a descriptor beside the one that takes its place.
                    pool.close(connection, at_once=True)
                    return True
        return self.descriptors_used < self.max_descriptors

    def update_endpoints(
        self, kind: EndpointUpdate, endpoints: Sequence[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Follows the endpoint list; `addresses` has the "host:port" of each entry by its id."""
        for endpoint in endpoints:
            self._update_endpoint(endpoint, addresses[endpoint.id])
        if kind != EndpointUpdate.DELTA:
            listed = {endpoint.id for endpoint in endpoints}
            for backend_id in [known for known in self.by_backend if known not in listed]:
                self._forget(backend_id)

    def _update_endpoint(self, endpoint: Endpoint, text: str) -> None:
        pool = self.by_backend.get(endpoint.id)
        host, _, port = text.rpartition(":")
        address = (host.strip("[]"), int(port))
        if endpoint.state != EndpointState.READY:
            if pool is not None:
                _retire(pool)
                if endpoint.state == EndpointState.REMOVED:
                    self._forget(endpoint.id)
            return
        if pool is None or pool.address != address:
            is_origin = endpoint.kind == self.host.deployment.origin_kind
            connection_type = self._origin_connection_type if is_origin else CacheConnection
            replacement = BackendPool(self, address, connection_type)
            if pool is not None:
                _retire(pool)
            self.by_backend[endpoint.id] = replacement
        elif pool.server_started_ms != endpoint.started_ms:
            # Connections to the process before: they fall silent if its machine vanished.
            pool.stop()
        self.by_backend[endpoint.id].server_started_ms = endpoint.started_ms
        self.by_backend[endpoint.id].retired = False

    def _forget(self, backend_id: str) -> None:
        """Removes a pool: with ever new servers they would pile up. What is out ends by itself."""
        _retire(self.by_backend.pop(backend_id))


def _retire(pool: BackendPool) -> None:
    pool.retired = True
    pool.stop()
