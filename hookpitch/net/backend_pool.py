"""The connections to one backend: idle connections, connects in progress, and waiting attempts.

Invariants: a connection carries at most one attempt; every waiting attempt has its own
connect, so that no attempt waits forever; an attempt that may no longer be sent is not started,
however late a connection is established.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectBindError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from hookpitch.balancer.interface import Outcome
from hookpitch.core.deadlines import Deadline
from hookpitch.core.rpc import Attempt
from hookpitch.net.backend_connection import BackendConnection

if TYPE_CHECKING:
    from hookpitch.net.backend_pools import BackendPools

ConnectionType = Callable[["BackendPool"], BackendConnection]


class _Connect(ClientFactory):
    """One connect in progress."""

    noisy = False

    def __init__(self, pool: BackendPool) -> None:
        self.pool = pool
        self.connection: BackendConnection | None = None
        self.connector: Any = None
        self.deadline: Deadline | None = None
        self.is_abandoned = False  # the pool has stopped sending and does not want the connection

    def buildProtocol(self, addr: Any) -> BackendConnection:  # noqa: ANN401 - Twisted's address types
        self.connection = self.pool.connection_type(self.pool)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401 - Twisted's connector types
        # A lack of descriptors or ports on this machine is no fault of the backend: counted as a
        # failure, it would get all backends ejected one after the other.
        is_own_fault = reason.check(ConnectBindError) is not None
        outcome = Outcome.OBSOLETE if is_own_fault else Outcome.CONNECT_FAILED
        self.pool.connect_failed(self, outcome)


class BackendPool:
    """The connections to one backend at one address."""

    def __init__(
        self, pools: BackendPools, address: tuple[str, int], connection_type: ConnectionType
    ) -> None:
        self.pools = pools
        self.host = pools.host
        self.clock = pools.clock
        self.address = address
        self.connection_type = connection_type
        self.idle: list[BackendConnection] = []  # the most recently used last
        self.waiting: deque[Attempt] = deque()
        self.connects: dict[_Connect, None] = {}
        self.expiry: Deadline | None = None
        self.backend_started_ms = 0.0  # when the backend's process started, in Unix ms
        self.generation = 0  # counts the processes of the backend that connections may lead to
        self.is_retired = False  # backend moved, draining or removed: no idle connection is kept

    # ---- attempts

    def dispatch(self, attempt: Attempt) -> bool:
        """Start an attempt or queue it for a connect; return False where neither is possible."""
        while self.idle:
            connection = self.idle.pop()
            if self._is_clean(connection):
                connection.begin(attempt)
                return True
        if len(self.connects) <= len(self.waiting) and not self._connect():
            return False
        self.waiting.append(attempt)
        attempt.carrier = self
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Remove an attempt from the queue if it still waits for a connection."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)

    def _is_clean(self, connection: BackendConnection) -> bool:
        """Return whether a connection has no unread bytes, and abort it if it has some.

        Bytes that arrived after the last response would be taken for the response to the next RPC.
        """
        if connection.has_unread_bytes():
            self.host.counters.add("connections.unclean")
            connection.transport.abortConnection()
            return False
        return True

    def _begin_first(self, connection: BackendConnection) -> None:
        """Start the first waiting attempt that may still be sent."""
        now = self.clock.now()
        while self.waiting:
            attempt = self.waiting.popleft()
            if self.host.drop_for_nobody(now, attempt):
                continue
            if now < attempt.start_by:
                connection.begin(attempt)
                return
            # When the router chose this attempt, the backends still recognized a duplicate of its
            # RPC. By now they may have forgotten the RPC and would run it twice, against rule 2.
            self.host.counters.add("tx.begun_too_late")
            self.host.attempt_finished(now, attempt, Outcome.OBSOLETE)
        self.release(connection)

    def _fail_attempts_without_connect(self, outcome: Outcome) -> None:
        """End attempts, the oldest first, until every waiting attempt has a connect."""
        while len(self.waiting) > len(self.connects):
            self.host.attempt_finished(self.clock.now(), self.waiting.popleft(), outcome)

    # ---- connects

    def _connect(self) -> bool:
        if not self.pools.reserve_descriptor():
            self.host.counters.add("dials.no_room")
            return False
        self.pools.descriptors_used += 1
        self.host.counters.add("dials")
        connect = _Connect(self)
        self.connects[connect] = None
        connect.connector = self.pools.reactor.connectTCP(*self.address, connect, timeout=None)
        until = self.clock.now() + self.pools.connect_timeout_ms
        connect.deadline = self.clock.deadlines.add(until, lambda _: connect.connector.disconnect())
        return True

    def _remove_connect(self, connect: _Connect) -> None:
        self.connects.pop(connect, None)
        self.clock.deadlines.cancel(connect.deadline)

    def connect_failed(self, connect: _Connect, outcome: Outcome) -> None:
        """Handle a connect that failed, was abandoned, or (OBSOLETE) had no local descriptor."""
        self._remove_connect(connect)
        self.pools.descriptors_used -= 1
        if connect.is_abandoned:
            counter = "dials.given_up"
        elif outcome != Outcome.CONNECT_FAILED:
            counter = "dials.no_descriptor"
        else:
            counter = "dials.failed"
        self.host.counters.add(counter)
        self._fail_attempts_without_connect(outcome)

    def connection_made(self, connection: BackendConnection) -> None:
        """Handle a connect that succeeded."""
        connect = next(connect for connect in self.connects if connect.connection is connection)
        connect.connection = None  # Twisted keeps `connect` longer than the connection is open
        self._remove_connect(connect)
        self.release(connection)

    # ---- connections

    def release(self, connection: BackendConnection) -> None:
        """Give a free connection to a waiting attempt, or keep the connection as idle."""
        if connection.is_lost:
            return
        if connection.pool_generation != self.generation:
            connection.transport.loseConnection()  # it leads to the process before a restart
        elif self.waiting:  # a waiting attempt need not wait for its own connect
            if self._is_clean(connection):
                self._begin_first(connection)
            # Where this connection was aborted for its unread bytes, one waiting attempt has no
            # connect left.
            self._fail_attempts_without_connect(Outcome.CONNECT_FAILED)
        elif self.is_retired:
            connection.transport.loseConnection()
        else:
            connection.idle_since = self.host.now
            self.idle.append(connection)
            self._schedule_expiry()

    def connection_lost(self, connection: BackendConnection) -> None:
        """Remove a connection that was closed by either end."""
        self.pools.descriptors_used -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def _schedule_expiry(self) -> None:
        """Schedule the expiry of the connection that has been idle for longest.

        One deadline serves all idle connections.
        """
        if self.expiry is None and self.idle:
            until = self.idle[0].idle_since + self.pools.idle_timeout_ms
            self.expiry = self.clock.deadlines.add(until, self._expire)

    def _expire(self, now: float) -> None:
        self.expiry = None
        while self.idle and self.idle[0].idle_since + self.pools.idle_timeout_ms <= now:
            self.close(self.idle[0])
        self._schedule_expiry()

    def close(self, connection: BackendConnection, at_once: bool = False) -> None:
        """Close a connection if it is idle; with `at_once`, in this turn of the event loop."""
        if connection in self.idle:
            self.idle.remove(connection)
            if at_once:
                connection.close_now()
            else:
                connection.transport.loseConnection()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            self.close(connection)

    def backend_restarted(self) -> None:
        """Use no connection any more that leads to the backend's previous process."""
        self.generation += 1
        self.stop()

    def stop(self) -> None:
        """Stop sending to the backend: return waiting attempts to the host, end unused connections.

        A connect that succeeds late may find its backend draining or removed, which may be sent
        nothing new (rule 3), or warming up, when it must not be overloaded (rule 4).
        """
        waiting = self.waiting
        self.waiting = deque()
        for connect in list(self.connects):
            connect.is_abandoned = True
            connect.connector.disconnect()
        self.close_idle()
        for attempt in waiting:
            self.host.attempt_finished(self.clock.now(), attempt, Outcome.OBSOLETE)
