"""Connections to the caches and the origin: a pool for each, one RPC at a time on each
connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from twisted.internet.error import ConnectBindError
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from hookpitch.balancer.deployment import parse_load_report
from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate, Outcome
from hookpitch.core.deadlines import Deadline
from hookpitch.core.host import NO_REPORT, Host
from hookpitch.core.resp import NEED_DATA, ErrorReply, Parser, ProtocolError, Value, command
from hookpitch.core.rpc import Attempt
from hookpitch.core.stream import MAX_STREAMED_BYTES, ChunkedValue
from hookpitch.net.buffered_protocol import WRITE_CHUNK_BYTES, BufferedProtocol
from hookpitch.net.clock import Clock

IDLE_SHARE = 0.9  # of the time after which a server closes an idle connection: it is not used again


class BackendConnection(BufferedProtocol):
    """One connection to a server, with at most one transmission on it."""

    def __init__(self, pool: BackendPool) -> None:
        super().__init__()
        self.pool, self.number = pool, -1
        self.attempt: Attempt | None = None
        self.since = 0.0  # idle since
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.number = self.pool.pools.host.connections.add(self)
        self.pool.made(self)

    def begin(self, attempt: Attempt) -> None:
        self.attempt, attempt.carrier, attempt.written = attempt, self, True
        head, *more = self.request(attempt)
        self.send(head)
        if more:
            self.send_chunks(more)
        if not self._flowing:
            self.whole()

    def request(self, attempt: Attempt) -> Sequence[bytes]:
        """What is written: a head, and large pieces behind it."""
        raise NotImplementedError

    def pause(self) -> None:
        if not self.paused and not self.lost:
            self.pauseProducing()

    def resume(self) -> None:
        if self.paused and not self.lost:
            self.resumeProducing()

    def begun(self, length: int) -> bool:
        """A value begins that passes in pieces; False where nobody waits for it any more."""
        pools, attempt = self.pool.pools, self.attempt
        if attempt is not None and pools.host.stream_started(
            pools.clock.now(), attempt, length, self
        ):
            return True
        if attempt is None:
            self.spoilt("nobody asked")
        else:
            self.over(Outcome.CANCELLED, reuse=False)
        return False

    def whole(self) -> None:
        """The request stands whole in the kernel."""
        self.pool.pools.host.counters.add("upstream_requests")

    def all_written(self) -> None:
        if self.attempt is not None:
            self.whole()

    def over(
        self, outcome: Outcome, value: bytes | None = None, load: str = "", reuse: bool = True
    ) -> None:
        """The transmission is over; the connection is free for the next."""
        attempt, self.attempt = self.attempt, None
        pools = self.pool.pools
        now = pools.clock.now()
        if reuse and not self.waiting:
            self.pool.free(self)
        else:
            # Danger: an answer without an end is out as long as its connection, beside the next
            # copy.
            self.reset_now()
        if attempt is None:
            return
        age = self.unread_age_ms() if not self.lost else 0.0
        values = NO_REPORT
        if load:
            try:
                values = parse_load_report(load, "=")
            except ValueError:
                pools.host.record_malformed("reports", load)
        pools.host.attempt_finished(now, attempt, outcome, value, values, age)

    def spoilt(self, why: str) -> None:
        """What came cannot be read: the RPC may have run, and the connection is of no further
        use."""
        if self.attempt is not None:
            self.pool.pools.host.record_malformed("answers", why)
        self.over(Outcome.MALFORMED, reuse=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.lost = True
        pools, attempt = self.pool.pools, self.attempt
        self.attempt = None
        pools.host.connections.free(self.number)
        self.pool.gone(self)
        if attempt is not None:
            # Danger: taken for never sent, an RPC that ran would run twice. Only what stands in our
            # own ring was surely not written whole.
            whole = not self.waiting
            if whole:
                # Danger: a machine that was cut off resets all connections from before, RPC after
                # RPC.
                self.pool.shut_idle()
            pools.host.attempt_finished(
                pools.clock.now(), attempt, Outcome.RESET if whole else Outcome.CONNECT_FAILED
            )


class CacheConnection(BackendConnection):
    def __init__(self, pool: BackendPool) -> None:
        super().__init__(pool)
        self.parser = Parser(self.inward, max_value_bytes=MAX_STREAMED_BYTES)
        self.passing = False  # a value passes in pieces

    def request(self, attempt: Attempt) -> Sequence[bytes]:
        rpc = attempt.rpc
        words = (rpc.command, rpc.key, rpc.id, attempt.extras(self.pool.pools.clock.now()))
        if rpc.value is None:
            return (command(*words),)
        if isinstance(rpc.value, ChunkedValue):
            head = command(*words).replace(b"*4", b"*5", 1) + b"$%d\r\n" % len(rpc.value)
            return (head, *rpc.value.chunks, b"\r\n")
        return (command(*words, rpc.value),)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.passing and not len(self.inward) and not self.paused and self.attempt is not None:
            # A large value goes past the ring.
            most = self.parser.body_remaining
            part = data if len(data) <= most else data[:most]
            self.parser.body_remaining -= len(part)
            self.pool.pools.host.stream_chunk(self.pool.pools.clock.now(), self.attempt, part)
            data = data[len(part) :]
            if not data:
                return
        super().rawDataReceived(data)

    def bytes_received(self) -> None:
        while not self.paused:
            try:
                reply = self.parser.next_value()
            except ProtocolError as fault:
                return self.spoilt(str(fault))
            if reply is not NEED_DATA:
                # Danger: what comes behind an answer would answer the next RPC. The answer itself
                # is good.
                self.passing = False
                return self._reply(reply, self.attempt is not None and self.parser.at_boundary)
            if not self.parser.body_remaining:
                return
            if not self.passing and not self.begun(self.parser.body_remaining):
                return
            self.passing = True
            if self.paused or not len(self.inward):
                return
            self.pool.pools.host.stream_chunk(
                self.pool.pools.clock.now(), self.attempt, self.parser.read_body(WRITE_CHUNK_BYTES)
            )

    def _reply(self, reply: Value, alone: bool) -> None:
        if (
            isinstance(reply, list)
            and len(reply) == 3
            and (reply[0] is None or type(reply[0]) is bytes)
        ):
            load = reply[2].decode("latin-1") if isinstance(reply[2], bytes) else ""
            self.over(
                Outcome.MISS if reply[0] is None else Outcome.COMPLETED, reply[0], load, alone
            )
        elif isinstance(reply, ErrorReply) and (words := reply.decode("latin-1").split(" "))[0] in (
            "BUSY",
            "ERR",
        ):
            load = words[-1] if "=" in words[-1] else ""
            self.over(
                Outcome.OVERLOADED if words[0] == "BUSY" else Outcome.ERROR, load=load, reuse=alone
            )
        else:
            self.spoilt(repr(reply))


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, pool: BackendPool) -> None:
        self.pool = pool
        self.connection: BackendConnection | None = None
        self.connector: Any = None
        self.deadline: Deadline | None = None
        self.vain = False  # given up, as nothing is to be sent there any more

    def buildProtocol(self, addr: Any) -> BackendConnection:  # noqa: ANN401, N802
        self.connection = self.pool.connect(self.pool)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401, N802
        # Danger: no descriptor or port left here, taken for the server's fault, shuts out all in
        # turn.
        own = reason.check(ConnectBindError) is not None
        self.pool.dial_over(self, False, Outcome.OBSOLETE if own else Outcome.CONNECT_FAILED)


class BackendPool:
    """The connections to one server."""

    def __init__(
        self,
        pools: BackendPools,
        address: tuple[str, int],
        connect: Callable[[BackendPool], BackendConnection],
    ) -> None:
        self.pools, self.address, self.connect = pools, address, connect
        self.idle: list[BackendConnection] = []  # the latest used last
        self.waiting: deque[Attempt] = deque()
        self.dials: dict[_Dial, None] = {}
        self.expiry: Deadline | None = None
        self.started = 0.0
        self.retired = (
            False  # the server lives elsewhere now, drains or has gone: nothing is kept for it
        )

    def dispatch(self, attempt: Attempt) -> bool:
        while self.idle:
            connection = self.idle.pop()
            if self._clean(connection):
                connection.begin(attempt)
                return True
        if len(self.dials) <= len(self.waiting) and not self._dial():
            return False
        self.waiting.append(attempt)
        attempt.carrier = self
        return True

    def _clean(self, connection: BackendConnection) -> bool:
        """Danger: bytes that came since the last answer would be the next RPC's value."""
        if connection.has_unread_bytes():
            self.pools.host.counters.add("connections.unclean")
            connection.transport.abortConnection()
            return False
        return True

    def _dial(self) -> bool:
        pools = self.pools
        if not pools.reserve_descriptor():
            pools.host.counters.add("dials.no_room")
            return False
        pools.descriptors_used += 1
        pools.host.counters.add("dials")
        dial = _Dial(self)
        self.dials[dial] = None
        dial.connector = pools.reactor.connectTCP(*self.address, dial, timeout=None)
        until = pools.clock.now() + pools.connect_timeout_ms
        dial.deadline = pools.clock.deadlines.add(until, lambda _: dial.connector.disconnect())
        return True

    def dial_over(self, dial: _Dial, up: bool, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        pools = self.pools
        self.dials.pop(dial, None)
        pools.clock.deadlines.cancel(dial.deadline)
        if up:
            return
        pools.descriptors_used -= 1
        own = outcome != Outcome.CONNECT_FAILED
        how = "given_up" if dial.vain else "no_descriptor" if own else "failed"
        pools.host.counters.add(f"dials.{how}")
        self._lacking(outcome)

    def _lacking(self, outcome: Outcome) -> None:
        """What waits and has no dial any more is over, the first of it first."""
        while len(self.waiting) > len(self.dials):
            self.pools.host.attempt_finished(
                self.pools.clock.now(), self.waiting.popleft(), outcome
            )

    def made(self, connection: BackendConnection) -> None:
        dial = next(d for d in self.dials if d.connection is connection)
        self.dial_over(dial, True)
        self.free(connection)

    def free(self, connection: BackendConnection) -> None:
        if connection.lost:
            return
        if self.waiting:  # what waits has a dial of its own, too
            if self._clean(connection):
                self._begin(connection)
            # Danger: what waits for a connection that came up with bytes on it waits for nothing.
            self._lacking(Outcome.CONNECT_FAILED)
        elif self.retired:
            connection.transport.loseConnection()
        else:
            connection.since = self.pools.host.now
            self.idle.append(connection)
            self._expire()

    def _begin(self, connection: BackendConnection) -> None:
        """The first in line that may still be begun."""
        now = self.pools.clock.now()
        while self.waiting:
            attempt = self.waiting.popleft()
            if now < attempt.start_by:
                return connection.begin(attempt)
            # Danger: rule 2. It was within the time in which its servers know repeats when it was
            # decided on.
            self.pools.host.counters.add("tx.begun_too_late")
            self.pools.host.attempt_finished(now, attempt, Outcome.OBSOLETE)
        self.free(connection)

    def stop(self) -> None:
        """Nothing new may be sent there: what waits is decided anew, dials and idle connections
        end."""
        # Danger: rules 3 and 4. A dial comes up late, when its server drains, has gone or is cold
        # by now.
        pools, waiting, self.waiting = self.pools, self.waiting, deque()
        for dial in list(self.dials):
            dial.vain = True
            dial.connector.disconnect()
        self.shut_idle()
        for attempt in waiting:
            pools.host.attempt_finished(pools.clock.now(), attempt, Outcome.OBSOLETE)

    def _expire(self) -> None:
        """One deadline for all that are idle: that of the longest idle one."""
        if self.expiry is None and self.idle:
            until = self.idle[0].since + self.pools.idle_timeout_ms
            self.expiry = self.pools.clock.deadlines.add(until, self._expired)

    def _expired(self, now: float) -> None:
        self.expiry = None
        while self.idle and self.idle[0].since + self.pools.idle_timeout_ms <= now:
            self.shut(self.idle[0])
        self._expire()

    def shut(self, connection: BackendConnection, at_once: bool = False) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
            if at_once:
                connection.close_now()
            else:
                connection.transport.loseConnection()

    def shut_idle(self) -> None:
        for connection in list(self.idle):
            self.shut(connection)

    def gone(self, connection: BackendConnection) -> None:
        self.pools.descriptors_used -= 1
        if connection in self.idle:
            self.idle.remove(connection)


class BackendPools:
    """All pools; `held` counts their descriptors, dials included."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        clock: Clock,
        host: Host,
        most: int,  # noqa: ANN401
        origin: Callable[[BackendPool], BackendConnection],
    ) -> None:
        self.reactor, self.clock, self.host, self.max_descriptors, self.origin = (
            reactor,
            clock,
            host,
            most,
            origin,
        )
        self.reconfigured()
        self.by_backend: dict[str, BackendPool] = {}
        self.descriptors_used = 0

    def reconfigured(self) -> None:
        """The settings' times, for dials and idle connections from now on."""
        self.connect_timeout_ms = self.host.deployment.connect_timeout_ms
        self.idle_timeout_ms = IDLE_SHARE * self.host.deployment.connection_idle_timeout_ms

    def dispatch(self, now: float, attempt: Attempt) -> bool:
        pool = self.by_backend.get(attempt.backend_id)
        return pool is not None and pool.dispatch(attempt)

    def cancel(self, now: float, attempt: Attempt) -> None:
        connection = attempt.carrier
        if isinstance(connection, BackendConnection) and connection.attempt is attempt:
            connection.attempt = None
            connection.reset_now()
        elif isinstance(connection, BackendPool) and attempt in connection.waiting:
            connection.waiting.remove(attempt)

    def has_unread_response(self, attempt: Attempt) -> bool:
        connection = attempt.carrier
        if (
            isinstance(connection, BackendConnection)
            and connection.attempt is attempt
            and connection.has_kernel_bytes()
        ):
            getattr(connection.transport, "doRead", lambda: None)()
        return attempt.done

    def addresses(self) -> dict[str, str]:
        """Where each server is dialled."""
        return {
            id: f"{host}:{port}"
            for id, pool in self.by_backend.items()
            for host, port in (pool.address,)
        }

    def stop_sending(self, backend_id: str) -> None:
        """Nothing new may be sent to it, by an operator's word."""
        if backend_id in self.by_backend:
            self.by_backend[backend_id].stop()

    def close_idle(self, backend_id: str) -> None:
        if backend_id in self.by_backend:
            self.by_backend[backend_id].shut_idle()

    def reserve_descriptor(self) -> bool:
        """Danger: out of descriptors, a node takes no clients. Idle connections go first."""
        for pool in (
            self.by_backend.values() if self.descriptors_used >= self.max_descriptors else ()
        ):
            for connection in pool.idle:
                if not connection.reading:
                    # Danger: closed a turn later, it holds a descriptor beside the one that takes
                    # its place.
                    pool.shut(connection, at_once=True)
                    return True
        return self.descriptors_used < self.max_descriptors

    def update_endpoints(
        self, kind: EndpointUpdate, entries: Sequence[Endpoint], dials: Mapping[str, str]
    ) -> None:
        for e in entries:
            old = self.by_backend.get(e.id)
            host, _, port = dials[e.id].rpartition(":")
            address = (host.strip("[]"), int(port))
            if e.state != EndpointState.READY:
                if old is not None:
                    old.retired = True
                    old.stop()
                    if e.state == EndpointState.REMOVED:
                        self._forget(e.id)
                continue
            if old is None or old.address != address:
                origin = e.kind == self.host.deployment.origin_kind
                new = BackendPool(self, address, self.origin if origin else CacheConnection)
                if old is not None:
                    old.retired = True
                    old.stop()
                self.by_backend[e.id] = new
            elif old.started != e.started_ms:
                # Danger: connections to the process before, silent if its machine vanished.
                old.stop()
            self.by_backend[e.id].started, self.by_backend[e.id].retired = e.started_ms, False
        if kind != EndpointUpdate.DELTA:
            listed = {e.id for e in entries}
            for id in [id for id in self.by_backend if id not in listed]:
                self._forget(id)

    def _forget(self, id: str) -> None:
        """Danger: with servers ever new, their pools would pile up. What is out there ends by
        itself."""
        pool = self.by_backend.pop(id)
        pool.retired = True
        pool.stop()
