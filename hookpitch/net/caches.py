"""Connections to the caches and the origin: a pool for each, one RPC at a time on each
connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from twisted.internet.error import ConnectBindError
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from hookpitch.balancer.deployment import report
from hookpitch.balancer.interface import Entry, ListKind, Outcome, State
from hookpitch.core.deadlines import Deadline
from hookpitch.core.host import NO_REPORT, Host, Tx
from hookpitch.core.resp import Fault, Malformed, Parser, Value, command
from hookpitch.core.stream import MOST, Pieces
from hookpitch.net.clock import Clock
from hookpitch.net.wire import CHUNK, Wire

IDLE_SHARE = 0.9  # of the time after which a server closes an idle connection: it is not used again


class Connection(Wire):
    """One connection to a server, with at most one transmission on it."""

    def __init__(self, pool: Pool) -> None:
        super().__init__()
        self.pool, self.number = pool, -1
        self.tx: Tx | None = None
        self.since = 0.0  # idle since
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.number = self.pool.pools.host.connections.add(self)
        self.pool.made(self)

    def begin(self, tx: Tx) -> None:
        self.tx, tx.carrier, tx.written = tx, self, True
        head, *more = self.request(tx)
        self.put(head)
        if more:
            self.put_behind(more)
        if not self._flowing:
            self.whole()

    def request(self, tx: Tx) -> Sequence[bytes]:
        """What is written: a head, and large pieces behind it."""
        raise NotImplementedError

    def hold(self) -> None:
        if not self.paused and not self.lost:
            self.pauseProducing()

    def go(self) -> None:
        if self.paused and not self.lost:
            self.resumeProducing()

    def begun(self, length: int) -> bool:
        """A value begins that passes in pieces; False where nobody waits for it any more."""
        pools, tx = self.pool.pools, self.tx
        if tx is not None and pools.host.begun(pools.clock.now(), tx, length, self):
            return True
        if tx is None:
            self.spoilt("nobody asked")
        else:
            self.over(Outcome.CANCELLED, reuse=False)
        return False

    def whole(self) -> None:
        """The request stands whole in the kernel."""
        self.pool.pools.host.counters.add("upstream_requests")

    def drained(self) -> None:
        if self.tx is not None:
            self.whole()

    def over(
        self, outcome: Outcome, value: bytes | None = None, load: str = "", reuse: bool = True
    ) -> None:
        """The transmission is over; the connection is free for the next."""
        tx, self.tx = self.tx, None
        pools = self.pool.pools
        now = pools.clock.now()
        if reuse and not self.waiting:
            self.pool.free(self)
        else:
            # Danger: an answer without an end is out as long as its connection, beside the next
            # copy.
            self.abort_now()
        if tx is None:
            return
        age = self.age() if not self.lost else 0.0
        values = NO_REPORT
        if load:
            try:
                values = report(load, "=")
            except ValueError:
                pools.host.odd("reports", load)
        pools.host.tx_over(now, tx, outcome, value, values, age)

    def spoilt(self, why: str) -> None:
        """What came cannot be read: the RPC may have run, and the connection is of no further
        use."""
        if self.tx is not None:
            self.pool.pools.host.odd("answers", why)
        self.over(Outcome.SPOILT, reuse=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.lost = True
        pools, tx = self.pool.pools, self.tx
        self.tx = None
        pools.host.connections.free(self.number)
        self.pool.gone(self)
        if tx is not None:
            # Danger: taken for never sent, an RPC that ran would run twice. Only what stands in our
            # own ring was surely not written whole.
            whole = not self.waiting
            if whole:
                # Danger: a machine that was cut off resets all connections from before, RPC after
                # RPC.
                self.pool.shut_idle()
            pools.host.tx_over(
                pools.clock.now(), tx, Outcome.RESET if whole else Outcome.CONNECT_FAILED
            )


class CacheConnection(Connection):
    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.parser = Parser(self.inward, most=MOST)
        self.passing = False  # a value passes in pieces

    def request(self, tx: Tx) -> Sequence[bytes]:
        rpc = tx.rpc
        words = (rpc.command, rpc.key, rpc.id, tx.extras(self.pool.pools.clock.now()))
        if rpc.value is None:
            return (command(*words),)
        if isinstance(rpc.value, Pieces):
            head = command(*words).replace(b"*4", b"*5", 1) + b"$%d\r\n" % len(rpc.value)
            return (head, *rpc.value.parts, b"\r\n")
        return (command(*words, rpc.value),)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.passing and not len(self.inward) and not self.paused and self.tx is not None:
            # A large value goes past the ring.
            most = self.parser.passing
            part = data if len(data) <= most else data[:most]
            self.parser.passing -= len(part)
            self.pool.pools.host.piece(self.pool.pools.clock.now(), self.tx, part)
            data = data[len(part) :]
            if not data:
                return
        super().rawDataReceived(data)

    def came(self) -> None:
        while not self.paused:
            try:
                found, reply = self.parser.next()
            except Malformed as fault:
                return self.spoilt(str(fault))
            if found:
                # Danger: what comes behind an answer would answer the next RPC. The answer itself
                # is good.
                self.passing = False
                return self._reply(reply, self.tx is not None and self.parser.between)
            if not self.parser.passing:
                return
            if not self.passing and not self.begun(self.parser.passing):
                return
            self.passing = True
            if self.paused or not len(self.inward):
                return
            self.pool.pools.host.piece(
                self.pool.pools.clock.now(), self.tx, self.parser.part(CHUNK)
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
        elif isinstance(reply, Fault) and (words := reply.decode("latin-1").split(" "))[0] in (
            "BUSY",
            "ERR",
        ):
            load = words[-1] if "=" in words[-1] else ""
            self.over(Outcome.FULL if words[0] == "BUSY" else Outcome.ERROR, load=load, reuse=alone)
        else:
            self.spoilt(repr(reply))


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.connection: Connection | None = None
        self.connector: Any = None
        self.deadline: Deadline | None = None
        self.vain = False  # given up, as nothing is to be sent there any more

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: ANN401, N802
        self.connection = self.pool.connect(self.pool)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401, N802
        # Danger: no descriptor or port left here, taken for the server's fault, shuts out all in
        # turn.
        own = reason.check(ConnectBindError) is not None
        self.pool.dial_over(self, False, Outcome.MOOT if own else Outcome.CONNECT_FAILED)


class Pool:
    """The connections to one server."""

    def __init__(
        self, pools: Pools, address: tuple[str, int], connect: Callable[[Pool], Connection]
    ) -> None:
        self.pools, self.address, self.connect = pools, address, connect
        self.idle: list[Connection] = []  # the latest used last
        self.waiting: deque[Tx] = deque()
        self.dials: dict[_Dial, None] = {}
        self.expiry: Deadline | None = None
        self.started = 0.0
        self.retired = (
            False  # the server lives elsewhere now, drains or has gone: nothing is kept for it
        )

    def carry(self, tx: Tx) -> bool:
        while self.idle:
            connection = self.idle.pop()
            if self._clean(connection):
                connection.begin(tx)
                return True
        if len(self.dials) <= len(self.waiting) and not self._dial():
            return False
        self.waiting.append(tx)
        tx.carrier = self
        return True

    def _clean(self, connection: Connection) -> bool:
        """Danger: bytes that came since the last answer would be the next RPC's value."""
        if connection.unread():
            self.pools.host.counters.add("connections.unclean")
            connection.transport.abortConnection()
            return False
        return True

    def _dial(self) -> bool:
        pools = self.pools
        if not pools.room():
            pools.host.counters.add("dials.no_room")
            return False
        pools.held += 1
        pools.host.counters.add("dials")
        dial = _Dial(self)
        self.dials[dial] = None
        dial.connector = pools.reactor.connectTCP(*self.address, dial, timeout=None)
        until = pools.clock.now() + pools.dial_ms
        dial.deadline = pools.clock.deadlines.add(until, lambda _: dial.connector.disconnect())
        return True

    def dial_over(self, dial: _Dial, up: bool, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        pools = self.pools
        self.dials.pop(dial, None)
        pools.clock.deadlines.drop(dial.deadline)
        if up:
            return
        pools.held -= 1
        own = outcome != Outcome.CONNECT_FAILED
        how = "given_up" if dial.vain else "no_descriptor" if own else "failed"
        pools.host.counters.add(f"dials.{how}")
        self._lacking(outcome)

    def _lacking(self, outcome: Outcome) -> None:
        """What waits and has no dial any more is over, the first of it first."""
        while len(self.waiting) > len(self.dials):
            self.pools.host.tx_over(self.pools.clock.now(), self.waiting.popleft(), outcome)

    def made(self, connection: Connection) -> None:
        dial = next(d for d in self.dials if d.connection is connection)
        self.dial_over(dial, True)
        self.free(connection)

    def free(self, connection: Connection) -> None:
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

    def _begin(self, connection: Connection) -> None:
        """The first in line that may still be begun."""
        now = self.pools.clock.now()
        while self.waiting:
            tx = self.waiting.popleft()
            if now < tx.begin_by:
                return connection.begin(tx)
            # Danger: rule 2. It was within the time in which its servers know repeats when it was
            # decided on.
            self.pools.host.counters.add("tx.begun_too_late")
            self.pools.host.tx_over(now, tx, Outcome.MOOT)
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
        for tx in waiting:
            pools.host.tx_over(pools.clock.now(), tx, Outcome.MOOT)

    def _expire(self) -> None:
        """One deadline for all that are idle: that of the longest idle one."""
        if self.expiry is None and self.idle:
            until = self.idle[0].since + self.pools.idle_ms
            self.expiry = self.pools.clock.deadlines.add(until, self._expired)

    def _expired(self, now: float) -> None:
        self.expiry = None
        while self.idle and self.idle[0].since + self.pools.idle_ms <= now:
            self.shut(self.idle[0])
        self._expire()

    def shut(self, connection: Connection, at_once: bool = False) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
            if at_once:
                connection.end_now()
            else:
                connection.transport.loseConnection()

    def shut_idle(self) -> None:
        for connection in list(self.idle):
            self.shut(connection)

    def gone(self, connection: Connection) -> None:
        self.pools.held -= 1
        if connection in self.idle:
            self.idle.remove(connection)


class Pools:
    """All pools; `held` counts their descriptors, dials included."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        clock: Clock,
        host: Host,
        most: int,  # noqa: ANN401
        origin: Callable[[Pool], Connection],
    ) -> None:
        self.reactor, self.clock, self.host, self.most, self.origin = (
            reactor,
            clock,
            host,
            most,
            origin,
        )
        self.reconfigured()
        self.pools: dict[str, Pool] = {}
        self.held = 0

    def reconfigured(self) -> None:
        """The settings' times, for dials and idle connections from now on."""
        self.dial_ms = self.host.deployment.dial_timeout_ms
        self.idle_ms = IDLE_SHARE * self.host.deployment.conn_idle_ms

    def carry(self, now: float, tx: Tx) -> bool:
        pool = self.pools.get(tx.server)
        return pool is not None and pool.carry(tx)

    def call_off(self, now: float, tx: Tx) -> None:
        connection = tx.carrier
        if isinstance(connection, Connection) and connection.tx is tx:
            connection.tx = None
            connection.abort_now()
        elif isinstance(connection, Pool) and tx in connection.waiting:
            connection.waiting.remove(tx)

    def answer_stands(self, tx: Tx) -> bool:
        connection = tx.carrier
        if isinstance(connection, Connection) and connection.tx is tx and connection.kernel():
            getattr(connection.transport, "doRead", lambda: None)()
        return tx.done

    def dials(self) -> dict[str, str]:
        """Where each server is dialled."""
        return {
            id: f"{host}:{port}"
            for id, pool in self.pools.items()
            for host, port in (pool.address,)
        }

    def stop(self, server: str) -> None:
        """Nothing new may be sent to it, by an operator's word."""
        if server in self.pools:
            self.pools[server].stop()

    def close_idle(self, server: str) -> None:
        if server in self.pools:
            self.pools[server].shut_idle()

    def room(self) -> bool:
        """Danger: out of descriptors, a node takes no clients. Idle connections go first."""
        for pool in self.pools.values() if self.held >= self.most else ():
            for connection in pool.idle:
                if not connection.reading:
                    # Danger: closed a turn later, it holds a descriptor beside the one that takes
                    # its place.
                    pool.shut(connection, at_once=True)
                    return True
        return self.held < self.most

    def listed(self, kind: ListKind, entries: Sequence[Entry], dials: Mapping[str, str]) -> None:
        for e in entries:
            old = self.pools.get(e.id)
            host, _, port = dials[e.id].rpartition(":")
            address = (host.strip("[]"), int(port))
            if e.state != State.READY:
                if old is not None:
                    old.retired = True
                    old.stop()
                    if e.state == State.GONE:
                        self._forget(e.id)
                continue
            if old is None or old.address != address:
                origin = e.kind == self.host.deployment.origin_kind
                new = Pool(self, address, self.origin if origin else CacheConnection)
                if old is not None:
                    old.retired = True
                    old.stop()
                self.pools[e.id] = new
            elif old.started != e.started_ms:
                # Danger: connections to the process before, silent if its machine vanished.
                old.stop()
            self.pools[e.id].started, self.pools[e.id].retired = e.started_ms, False
        if kind != ListKind.DELTA:
            listed = {e.id for e in entries}
            for id in [id for id in self.pools if id not in listed]:
                self._forget(id)

    def _forget(self, id: str) -> None:
        """Danger: with servers ever new, their pools would pile up. What is out there ends by
        itself."""
        pool = self.pools.pop(id)
        pool.retired = True
        pool.stop()
