"""A relay process carries every link of a run on loopback and impairs it: delay, loss, cuts.

A TCP link has an address at which it is dialled and one to which it is carried; each connection is
two sides and two flows, and each flow obeys its direction's `Impairment` (`links.py`). What a cut
holds back stays in a bounded buffer and then in the kernels, as on a network. A dial that is never
answered is one that the kernel drops: the listening socket's backlog is kept full. Datagrams go
between pairs of sockets.

Invariants: bytes of a direction come in order, whole or not at all; a reset discards what is in
flight; `closed` is recorded when a node's end of a connection ends, under the port at which the
server sees it.

Sources: tcp(7), listen(2) of Linux (a full backlog drops SYNs); RFC 9293.
"""

from __future__ import annotations

import random
import socket
import sys
from collections import deque
from typing import Any

import msgspec
from twisted.internet.error import CannotListenError, ConnectBindError, ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import (
    ClientFactory,
    DatagramProtocol,
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure
from zope.interface import implementer

from hookpitch.fakes.history import History
from hookpitch.testbed.child import ControlConnection, EventRecorder, run_child
from hookpitch.testbed.links import CLEAN, MAX_RETRANSMITS, RETRANSMIT_MS, UNLIMITED, Impairment

HELD = 1 << 18  # bytes of a flow that are under way; what is more waits in the kernels
BACKLOG = 4096
# of what the relay dials from: under those that the kernel deals out
FIRST_PORT = 10000
LAST_PORT = 32000
DIAL_S = 10.0


class Way:
    """One direction between two parties."""

    __slots__ = ("a", "b", "impairment", "free_at", "flows")

    def __init__(self, a: str, b: str) -> None:
        self.a = a
        self.b = b
        self.impairment = CLEAN
        self.free_at = 0.0
        self.flows: dict[Flow, None] = {}


class Flow:
    """One direction of one connection, from the side that reads it to the side that writes it."""

    __slots__ = (
        "relay",
        "way",
        "source",
        "sink",
        "queue",
        "size",
        "last",
        "timer",
        "torn",
        "full",
        "shut",
        "over",
    )

    def __init__(self, relay: Relay, way: Way, source: Side, sink: Side) -> None:
        self.relay = relay
        self.way = way
        self.source = source
        self.sink = sink
        self.queue: deque[tuple[float, bytes | None]] = deque()  # when it is due; None: the end
        self.size = 0
        self.last = 0.0
        self.timer: Any = None
        self.torn = self.full = self.shut = self.over = False
        way.flows[self] = None

    def came(self, data: bytes | None) -> None:
        """Take bytes that the source has read; None: the end."""
        impairment = self.way.impairment
        now = self.relay.reactor.seconds()
        if impairment is CLEAN and not self.queue and self.sink.transport is not None:
            self._write(data)
            return
        if impairment.silent and not impairment.kept:
            self.torn = True
            return
        self.last = due = max(self.last, now + self._takes(impairment, now, len(data or b"")))
        self.queue.append((due, data))
        self.size += len(data or b"")
        self._gate()
        self.pump()

    def _takes(self, impairment: Impairment, now: float, size: int) -> float:
        """Seconds that it is on its way."""
        chance = self.relay.chance
        way = self.way
        takes = impairment.delay_ms / 1000 + (
            chance.random() * impairment.jitter_ms / 1000 if impairment.jitter_ms else 0.0
        )
        if impairment.bandwidth < UNLIMITED:
            way.free_at = max(now, way.free_at) + (size + 40) / impairment.bandwidth
            takes += way.free_at - now
        for n in range(MAX_RETRANSMITS if impairment.loss else 0):
            if chance.random() >= impairment.loss:
                break
            takes += RETRANSMIT_MS / 1000 * 2**n
        return takes

    def pump(self) -> None:
        """Pass on what is due; a cut lets nothing through."""
        if self.over or self.sink.transport is None or self.way.impairment.silent:
            return
        now = self.relay.reactor.seconds()
        while self.queue and self.queue[0][0] <= now + 1e-6:
            data = self.queue.popleft()[1]
            self.size -= len(data or b"")
            self._write(data)
        self._gate()
        if self.queue and (self.timer is None or not self.timer.active()):
            self.timer = self.relay.reactor.callLater(self.queue[0][0] - now, self.pump)

    def _write(self, data: bytes | None) -> None:
        if data is None:
            self.sink.transport.loseWriteConnection()
        else:
            self.sink.transport.write(data)

    def _gate(self) -> None:
        """The source is read while there is room."""
        shut = self.full or self.size > HELD
        if shut == self.shut or self.source.transport is None or self.over:
            return
        self.shut = shut
        # A socket whose end was read stays readable: reading it again would spin.
        if shut:
            self.source.transport.pauseProducing()
        elif not self.source.ended:
            self.source.transport.resumeProducing()

    # What the sink's transport tells of its buffer.

    def pauseProducing(self) -> None:
        """The sink's buffer is full."""
        self.full = True
        self._gate()

    def resumeProducing(self) -> None:
        """The sink's buffer has room."""
        self.full = False
        self._gate()

    def stopProducing(self) -> None:
        """The sink is closed; its side reports that."""
        pass

    def end(self) -> None:
        """Drop what is under way."""
        self.over = True
        self.queue.clear()
        self.way.flows.pop(self, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


@implementer(IHalfCloseableProtocol)
class Side(Protocol):
    """One socket of a connection."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair
        self.out = None
        self.ended = self.lost = False  # the peer's end was read; the socket is closed
        self.back: Flow | None = None  # the flow that this side writes

    transport: Any = None
    out: Flow | None

    def connectionMade(self) -> None:
        """The socket is open."""
        self.transport.setTcpNoDelay(True)
        if self.back is not None:
            self.transport.registerProducer(self.back, True)
        self.pair.made(self)

    def dataReceived(self, data: bytes) -> None:
        """Bytes were read."""
        if self.out is not None and not self.out.over:
            self.out.came(data)

    def readConnectionLost(self) -> None:
        """The peer's end was read."""
        self.ended = True
        self.pair.ending(self)
        if self.out is not None and not self.out.over:
            self.out.came(None)

    def writeConnectionLost(self) -> None:
        """Nothing: the other side's end was written."""
        pass

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The socket is closed."""
        self.ended = self.lost = True
        self.pair.ending(self)
        self.pair.gone(self, reason.check(ConnectionDone) is None)


class Pair:
    """One connection through a link."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.relay = link.relay
        self.near = Side(self)
        self.far = Side(self)
        there = Flow(self.relay, link.there, self.near, self.far)
        back = Flow(self.relay, link.back, self.far, self.near)
        self.near.out = self.far.back = there
        self.far.out = self.near.back = back
        self.port = self.client_port = (
            0  # at which the listening party sees it; at which the dialling one is
        )
        self.told = self.over = False
        self.reset_from: Side | None = None  # a reset that a cut keeps from the other side

    def made(self, side: Side) -> None:
        """One side's socket is open."""
        if side is self.near:
            self.client_port = side.transport.getPeer().port
            self.relay.dial(self)
            return
        if self.over or self.near.lost:
            side.transport.abortConnection()
            return
        self.near.out.pump()

    def ending(self, side: Side) -> None:
        """The first sign that a node's end is no more."""
        if side is self.near and not self.told and self.link.a in self.relay.nodes and self.port:
            self.told = True
            self.relay.tell("closed", self.link.a, port=self.port)

    def unreached(self) -> None:
        """The listening party could not be dialled."""
        if self.link.a == "clients":
            self.relay.tell("unread", self.link.b, port=self.client_port)
        self.end()

    def gone(self, side: Side, reset: bool) -> None:
        """One socket is closed: a reset discards what is under way, and goes on where the way is
        open."""
        if self.over:
            return
        other = self.far if side is self.near else self.near
        if not reset:  # it has read and written its ends; what is under way goes on
            if other.lost:
                self.end()
            return
        if (
            side.out.way.impairment.silent
        ):  # the reset is lost; what the other side sends meets nobody
            side.out.queue.clear()
            self.reset_from = side
            return
        self.end()

    def healed(self) -> None:
        """A cut of one of its directions has ended."""
        if self.over:
            return
        torn = any(
            flow.torn and not flow.way.impairment.silent for flow in (self.near.out, self.far.out)
        )
        if torn or (self.reset_from is not None and not self.reset_from.out.way.impairment.silent):
            self.end()
            return
        self.near.out.pump()
        self.far.out.pump()

    def end(self) -> None:
        """Both sides are reset."""
        if self.over:
            return
        self.over = True
        for flow in (self.near.out, self.far.out):
            flow.end()
        for side in (self.near, self.far):
            if side.transport is not None and not side.lost:
                side.transport.abortConnection()
        self.link.pairs.pop(self, None)


class Link(Factory):
    """A TCP link: dialled at one address, carried to another."""

    noisy = False

    def __init__(
        self, relay: Relay, a: str, b: str, at: tuple[str, int], to: tuple[str, int], whence: str
    ) -> None:
        """`a` dials, `b` listens; `whence`: the address that b sees."""
        self.relay = relay
        self.a = a
        self.b = b
        self.at = at
        self.to = to
        self.whence = whence
        self.there = relay.way(a, b)
        self.back = relay.way(b, a)
        self.pairs: dict[Pair, None] = {}
        self.plugs: dict[tuple[str, int], socket.socket] = {}
        self.port: Any = None
        self.mode = "shut"
        self.changed()

    def buildProtocol(self, addr: Any) -> Side | None:
        """Accept a connection; the plugs of a full backlog are none."""
        if (addr.host, addr.port) in self.plugs:
            return None
        pair = Pair(self)
        self.pairs[pair] = None
        return pair.near

    def changed(self) -> None:
        """A direction's state is another: how are dials met now, and what may go on?"""
        there = self.there.impairment
        back = self.back.impairment
        mode = "shut" if there.refusing else "open"
        if there.deaf or there.silent or back.silent:
            mode = "deaf"
        if mode != self.mode:
            self._meet(mode)
        for pair in list(self.pairs):
            pair.healed()

    def _meet(self, mode: str) -> None:
        before = self.mode
        self.mode = mode
        if before == "deaf":
            for plug in self.plugs.values():
                plug.close()
            if mode == "open":
                self.port.socket.listen(BACKLOG)
                self.port.startReading()
        if mode == "shut" and self.port is not None:
            self.port.stopListening()
            self.port = None
        if mode != "shut" and self.port is None:
            host, number = self.at
            self.port = self.relay.reactor.listenTCP(number, self, backlog=BACKLOG, interface=host)
        if mode == "deaf":
            self.port.stopReading()
            self.port.socket.listen(0)
            self.plugs = {}
            for _ in range(2):  # one is enough to fill the line; the other tells whether it is
                plug = socket.socket()
                plug.setblocking(False)
                plug.bind((self.whence, 0))
                plug.connect_ex(self.at)
                self.plugs[plug.getsockname()[:2]] = plug

    def sever(self) -> None:
        """Reset all its connections."""
        if self.a == "clients" or self.b == "clients":
            for pair in self.pairs:
                self.relay.tell("unread", self.b, port=pair.client_port)
        for pair in list(self.pairs):
            pair.end()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, relay: Relay, pair: Pair) -> None:
        self.relay = relay
        self.pair = pair

    def buildProtocol(self, addr: object) -> Side:
        return self.pair.far

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        if reason.check(ConnectBindError) is not None and not self.pair.over:
            self.relay.dial(self.pair)  # the port is still in use; the next one
        else:
            self.pair.unreached()


class Datagrams(DatagramProtocol):
    """Where one node finds another: what comes here leaves from where the other finds this one."""

    def __init__(self, relay: Relay, a: str, b: str, to: tuple[str, int]) -> None:
        self.relay = relay
        self.way = relay.way(a, b)
        self.to = to
        self.other: Datagrams | None = None

    def datagramReceived(self, data: bytes, addr: object) -> None:
        """Pass a datagram on, as its direction's state has it."""
        impairment = self.way.impairment
        relay = self.relay
        chance = self.relay.chance
        if impairment.silent or (impairment.loss and chance.random() < impairment.loss):
            return
        for _ in range(2 if impairment.repeat and chance.random() < impairment.repeat else 1):
            takes = impairment.delay_ms + (
                chance.random() * impairment.jitter_ms if impairment.jitter_ms else 0.0
            )
            if impairment.reorder and chance.random() < impairment.reorder:
                takes += 2 * impairment.delay_ms + 5.0
            if impairment.bandwidth < UNLIMITED:
                now = relay.reactor.seconds()
                self.way.free_at = (
                    max(now, self.way.free_at) + (len(data) + 28) / impairment.bandwidth
                )
                takes += (self.way.free_at - now) * 1000
            if takes:
                relay.reactor.callLater(takes / 1000, self.pass_on, data)
            else:
                self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Write the datagram where the other node receives it."""
        if (
            not self.way.impairment.silent
            and self.other is not None
            and self.other.transport is not None
        ):
            self.other.transport.write(data, self.to)


class Relay:
    """All links of one relay process."""

    def __init__(
        self, reactor: Any, history: History, begun: float, nodes: list[str], seed: int
    ) -> None:
        """`begun`: the run's start on the reactor's clock, in seconds."""
        self.reactor = reactor
        self.history = history
        self.begun = begun
        self.nodes = frozenset(nodes)
        self.chance = random.Random(seed)
        self.ways: dict[tuple[str, str], Way] = {}
        self.links: dict[tuple[str, str], list[Link]] = {}
        self._ports: dict[str, int] = {}

    def tell(self, kind: str, who: str, port: int) -> None:
        """Record an event of the network."""
        self.history.add((self.reactor.seconds() - self.begun) * 1000, kind, who, port=port)

    def way(self, a: str, b: str) -> Way:
        """The state of one direction."""
        return self.ways.setdefault((a, b), Way(a, b))

    def tcp(self, a: str, b: str, at: tuple[str, int], to: tuple[str, int], whence: str) -> Link:
        """ValueError where the address is taken."""
        try:
            link = Link(self, a, b, at, to, whence)
        except CannotListenError as fault:
            raise ValueError(f"cannot listen on {at[0]}:{at[1]}: {fault.socketError}") from None
        self.links.setdefault((a, b), []).append(link)
        return link

    def udp(
        self,
        a: str,
        b: str,
        at: tuple[str, int],
        back: tuple[str, int],
        to: dict[str, tuple[str, int]],
    ) -> None:
        """Datagrams between two nodes: a finds b at `at`, b finds a at `back`; `to`: where each
        is."""
        there = Datagrams(self, a, b, to[b])
        here = Datagrams(self, b, a, to[a])
        there.other = here
        here.other = there
        self.reactor.listenUDP(at[1], there, interface=at[0])
        self.reactor.listenUDP(back[1], here, interface=back[0])

    def dial(self, pair: Pair) -> None:
        """Dial the listening party for a connection that was accepted."""
        link = pair.link
        port = self._ports.get(link.whence, FIRST_PORT) + 1
        self._ports[link.whence] = FIRST_PORT if port >= LAST_PORT else port
        pair.port = port  # what the other party will see, also where this one leaves before that
        host, number = link.to
        factory = _Dial(self, pair)
        self.reactor.connectTCP(
            host, number, factory, timeout=DIAL_S, bindAddress=(link.whence, port)
        )

    def order(self, what: str, *args: Any) -> None:
        """`impair` A B STATE: what that direction is like from now on; `sever` A B: its connections
        end; `tcp`: a new link."""
        if what == "impair":
            a, b, state = args
            way = self.ways.get((a, b))
            if way is not None:
                impairment = msgspec.convert(state, Impairment)
                way.impairment = CLEAN if impairment == CLEAN else impairment
                for link in self._between(a, b):
                    link.changed()
        elif what == "tcp":
            a, b, at, to, whence = args
            self.tcp(a, b, tuple(at), tuple(to), whence)
        elif what == "sever":
            for link in self._between(*args):
                link.sever()

    def _between(self, a: str, b: str) -> list[Link]:
        return [*self.links.get((a, b), ()), *self.links.get((b, a), ())]


def made(
    reactor: Any, given: dict[str, Any], history: EventRecorder, line: ControlConnection
) -> Any:
    """What carries out orders."""
    relay = Relay(reactor, history, given["begun"], given["nodes"], given["seed"])
    for a, b, at, to, whence in given["tcp"]:
        relay.tcp(a, b, tuple(at), tuple(to), whence)
    for a, b, at, back, there, here in given["udp"]:
        relay.udp(a, b, tuple(at), tuple(back), {b: tuple(there), a: tuple(here)})

    def order(what: str, *args: Any) -> None:
        if what == "sync":  # all that was ordered before is done
            line.send("done", *args)
        else:
            relay.order(what, *args)

    return order


if __name__ == "__main__":
    sys.exit(run_child(made))
