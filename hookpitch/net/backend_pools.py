"""All pools of connections to backends, by endpoint id, and the limit on their descriptors.

`BackendPools` is the host's transport. Invariant: `descriptors_used` counts every connection and
every connect in progress, and a new connect is started only while `descriptors_used` is below
`max_descriptors`.
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

DEFAULT_READ_BYTES = 1 << 16
# An idle connection is closed after this fraction of the time after which the backend would close
# it, so that no request meets the backend's close.
IDLE_TIMEOUT_FRACTION = 0.9


class BackendPools:
    """Creates the pools and carries out the host's calls on them."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - Twisted's and the simulation's reactors have no common type
        clock: Clock,
        host: Host,
        max_descriptors: int,
        origin_connection_type: ConnectionType,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.host = host
        self.max_descriptors = max_descriptors
        self.read_bytes = DEFAULT_READ_BYTES  # read from a connection at a time
        self.descriptors_used = 0
        self.by_backend: dict[str, BackendPool] = {}
        self._origin_connection_type = origin_connection_type
        self.reconfigured()

    def reconfigured(self) -> None:
        """Apply the timeouts of the current settings to connects and idle connections."""
        deployment = self.host.deployment
        self.connect_timeout_ms = deployment.connect_timeout_ms
        self.idle_timeout_ms = IDLE_TIMEOUT_FRACTION * deployment.connection_idle_timeout_ms

    # ---- attempts

    def dispatch(self, now: float, attempt: Attempt) -> bool:
        """Send an attempt to its backend; return False where no connection is available."""
        pool = self.by_backend.get(attempt.backend_id)
        return pool is not None and pool.dispatch(attempt)

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Cancel an attempt: reset its connection, or remove it from its pool's queue."""
        if attempt.carrier is not None:
            attempt.carrier.cancel(attempt)

    def is_undelivered(self, attempt: Attempt) -> bool:
        """Return whether an attempt's backend has not received its whole request."""
        carrier = attempt.carrier
        if not attempt.written:
            return True
        is_sent = isinstance(carrier, BackendConnection) and carrier.attempt is attempt
        return is_sent and carrier.has_undelivered_request()

    def read_pending_response(self, attempt: Attempt) -> bool:
        """Read the unread response of an attempt; return whether the attempt has ended."""
        carrier = attempt.carrier
        is_sent = isinstance(carrier, BackendConnection) and carrier.attempt is attempt
        if is_sent and carrier.has_kernel_bytes():
            carrier.read_now()
        return attempt.done

    # ---- backends

    def addresses(self) -> dict[str, str]:
        """Return the "host:port" of each backend, by endpoint id."""
        result = dict[str, str]()
        for backend_id, pool in self.by_backend.items():
            host, port = pool.address
            result[backend_id] = f"{host}:{port}"
        return result

    def stop_sending(self, backend_id: str) -> None:
        """Stop sending to a backend that an operator has banned."""
        if backend_id in self.by_backend:
            self.by_backend[backend_id].stop()

    def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend."""
        if backend_id in self.by_backend:
            self.by_backend[backend_id].close_idle()

    def reserve_descriptor(self) -> bool:
        """Return whether one more descriptor may be used, closing an idle connection if needed.

        A node that ran out of descriptors could not accept clients.
        """
        if self.descriptors_used < self.max_descriptors:
            return True
        for pool in self.by_backend.values():
            for connection in pool.idle:
                if not connection.is_reading:
                    # If closed in a later turn, the connection would still hold its descriptor when
                    # the new connect takes another one.
                    pool.close(connection, at_once=True)
                    return True
        return self.descriptors_used < self.max_descriptors

    def update_endpoints(
        self, kind: EndpointUpdate, endpoints: Sequence[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Apply endpoint updates; `addresses` has the "host:port" of each one by endpoint id."""
        for endpoint in endpoints:
            self._update_endpoint(endpoint, addresses[endpoint.id])
        if kind != EndpointUpdate.DELTA:
            listed = {endpoint.id for endpoint in endpoints}
            for backend_id in [known for known in self.by_backend if known not in listed]:
                self._remove_pool(backend_id)

    def _update_endpoint(self, endpoint: Endpoint, address_text: str) -> None:
        pool = self.by_backend.get(endpoint.id)
        host, _, port = address_text.rpartition(":")
        address = (host.strip("[]"), int(port))
        if endpoint.state != EndpointState.READY:
            if pool is not None:
                _retire(pool)
                if endpoint.state == EndpointState.REMOVED:
                    self._remove_pool(endpoint.id)
            return
        if pool is None or pool.address != address:
            is_origin = endpoint.kind == self.host.deployment.origin_kind
            connection_type = self._origin_connection_type if is_origin else CacheConnection
            replacement = BackendPool(self, address, connection_type)
            if pool is not None:
                _retire(pool)
            self.by_backend[endpoint.id] = replacement
        elif pool.backend_started_ms != endpoint.started_ms:
            # The connections lead to the previous process of the backend. If its machine has
            # vanished, they never get a response.
            pool.backend_restarted()
        self.by_backend[endpoint.id].backend_started_ms = endpoint.started_ms
        self.by_backend[endpoint.id].is_retired = False

    def _remove_pool(self, backend_id: str) -> None:
        """Remove the pool of a backend that is no longer listed.

        Otherwise pools would accumulate as backends are replaced. Open attempts run to their end.
        """
        _retire(self.by_backend.pop(backend_id))


def _retire(pool: BackendPool) -> None:
    pool.is_retired = True
    pool.stop()
