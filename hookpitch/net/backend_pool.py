"""The connections to one server: idle ones, connects under way, and the attempts that wait for one.

Invariants: at most one attempt on a connection; every attempt that waits has a connect of its own,
so that none waits for nothing; what may no longer be sent is not begun, however late a connection
comes up.
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
    """One connect under way."""

    noisy = False

    def __init__(self, pool: BackendPool) -> None:
        self.pool = pool
        self.connection: BackendConnection | None = None
        self.connector: Any = None
        self.deadline: Deadline | None = None
        self.abandoned = False  # nothing is to be sent there any more

    def buildProtocol(self, addr: Any) -> BackendConnection:  # noqa: ANN401 - Twisted's address types
        self.connection = self.pool.connection_type(self.pool)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401 - Twisted's connector types
        # No descriptor or port left here, taken for the server's fault, would eject all in turn.
        is_own_fault = reason.check(ConnectBindError) is not None
        outcome = Outcome.OBSOLETE if is_own_fault else Outcome.CONNECT_FAILED
        self.pool.connect_failed(self, outcome)


class BackendPool:
    """The connections to one server at one address."""

    def __init__(
        self, pools: BackendPools, address: tuple[str, int], connection_type: ConnectionType
    ) -> None:
        self.pools = pools
        self.host = pools.host
        self.clock = pools.clock
        self.address = address
        self.connection_type = connection_type
        self.idle: list[BackendConnection] = []  # the latest used last
        self.waiting: deque[Attempt] = deque()
        self.connects: dict[_Connect, None] = {}
        self.expiry: Deadline | None = None
        self.server_started_ms = 0.0  # of the server's process, in Unix ms
        self.retired = False  # the server moved, drains or was removed: nothing is kept for it

    # ---- attempts

    def dispatch(self, attempt: Attempt) -> bool:
        """Begins an attempt or lets it wait for a connect; False where none can be had."""
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

    def _is_clean(self, connection: BackendConnection) -> bool:
        """Whether nothing came since the last response: it would answer the next RPC."""
        if connection.has_unread_bytes():
            self.host.counters.add("connections.unclean")
            connection.transport.abortConnection()
            return False
        return True

    def _begin_first(self, connection: BackendConnection) -> None:
        """Begins the first waiting attempt that may still be sent."""
        now = self.clock.now()
        while self.waiting:
            attempt = self.waiting.popleft()
            if now < attempt.start_by:
                connection.begin(attempt)
                return
            # Rule 2: when it was decided on, its servers would still have recognized a repeat.
            self.host.counters.add("tx.begun_too_late")
            self.host.attempt_finished(now, attempt, Outcome.OBSOLETE)
        self.release(connection)

    def _fail_unserved(self, outcome: Outcome) -> None:
        """Ends what waits without a connect of its own, the first of it first."""
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

    def _forget_connect(self, connect: _Connect) -> None:
        self.connects.pop(connect, None)
        self.clock.deadlines.cancel(connect.deadline)

    def connect_failed(self, connect: _Connect, outcome: Outcome) -> None:
        """A connect has failed, was abandoned, or (OBSOLETE) had no descriptor here."""
        self._forget_connect(connect)
        self.pools.descriptors_used -= 1
        if connect.abandoned:
            counter = "dials.given_up"
        elif outcome != Outcome.CONNECT_FAILED:
            counter = "dials.no_descriptor"
        else:
            counter = "dials.failed"
        self.host.counters.add(counter)
        self._fail_unserved(outcome)

    def connection_made(self, connection: BackendConnection) -> None:
        """A connect has succeeded."""
        self._forget_connect(next(c for c in self.connects if c.connection is connection))
        self.release(connection)

    # ---- connections

    def release(self, connection: BackendConnection) -> None:
        """A connection is free: for what waits, or idle."""
        if connection.lost:
            return
        if self.waiting:  # what waits has a connect of its own, too
            if self._is_clean(connection):
                self._begin_first(connection)
            # What waits for a connection that came up with bytes on it would wait for nothing.
            self._fail_unserved(Outcome.CONNECT_FAILED)
        elif self.retired:
            connection.transport.loseConnection()
        else:
            connection.idle_since = self.host.now
            self.idle.append(connection)
            self._schedule_expiry()

    def connection_lost(self, connection: BackendConnection) -> None:
        """A connection has closed, at whichever end."""
        self.pools.descriptors_used -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def _schedule_expiry(self) -> None:
        """One deadline for all that are idle: that of the longest idle one."""
        if self.expiry is None and self.idle:
            until = self.idle[0].idle_since + self.pools.idle_timeout_ms
            self.expiry = self.clock.deadlines.add(until, self._expire)

    def _expire(self, now: float) -> None:
        self.expiry = None
        while self.idle and self.idle[0].idle_since + self.pools.idle_timeout_ms <= now:
            self.close(self.idle[0])
        self._schedule_expiry()

    def close(self, connection: BackendConnection, at_once: bool = False) -> None:
        """Closes a connection if it is idle; `at_once`: in this very turn of the loop."""
        if connection in self.idle:
            self.idle.remove(connection)
            if at_once:
                connection.close_now()
            else:
                connection.transport.loseConnection()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.idle):
            self.close(connection)

    def stop(self) -> None:
        """Nothing new may be sent: what waits is decided again, connects and idle ones end.

        Rules 3 and 4: a connect may come up late, when its server drains, is removed or is cold.
        """
        waiting = self.waiting
        self.waiting = deque()
        for connect in list(self.connects):
            connect.abandoned = True
            connect.connector.disconnect()
        self.close_idle()
        for attempt in waiting:
            self.host.attempt_finished(self.clock.now(), attempt, Outcome.OBSOLETE)
