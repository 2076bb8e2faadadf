"""A network in memory: connections and dials for a node that runs on Twisted's test clock.

Nothing is sent anywhere: a test reads what the node wrote from its connection, and says what the
peer would send. Times are the reactor's, in seconds.
"""

from __future__ import annotations

import errno
import struct
from collections.abc import Callable

from twisted.internet.error import ConnectBindError, ConnectionDone, UserError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure
from twisted.test.iosim import FakeTransport

TCP_INFO_FORMAT = "14I"  # the last field: milliseconds since the newest byte came


class MemoryConnection(FakeTransport):
    """One connection of the node, from the peer's side.

    `got`: what the node wrote. `reads`: whether the peer reads on. `pending`: what stands unread in
    the kernel. `aged`: for how many milliseconds what is said next has stood there. Losing the
    connection is notified a moment later, as by a reactor.
    """

    def __init__(
        self, network: MemoryNetwork, protocol: Protocol, port: int, pending: bytes = b""
    ) -> None:
        super().__init__(protocol, True)
        self.network = network
        self.port = port
        self.got = b""
        self.reads = True
        self.ended = False
        self.paused = False
        self.pending = pending
        self.socket = self
        self.aged = 0.0
        protocol.makeConnection(self)

    # ---- what the node calls

    def write(self, data: bytes) -> None:
        """Keep what the node writes."""
        if self.ended or self.disconnecting:
            return
        self.got += data
        if self.network.watcher is not None:
            self.network.watcher(self, data)

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """TCP_INFO, of which only the last field is filled."""
        return struct.pack(TCP_INFO_FORMAT, *[0] * 13, int(self.aged))

    def recv(self, count: int, flags: int) -> bytes:
        """Peek at what stands in the kernel."""
        if not self.pending:
            raise BlockingIOError
        return self.pending[:count]

    def pauseProducing(self) -> None:
        """The node reads no more for now."""
        self.paused = True

    def resumeProducing(self) -> None:
        """The node reads on."""
        self.paused = False

    def loseConnection(self) -> None:
        """The node closes the connection."""
        if not self.disconnecting:
            self.disconnecting = True
            self.network.callLater(0, self.end)

    abortConnection = loseConnection  # noqa: N815 - Twisted's name

    # ---- what the test calls

    def take(self) -> bytes:
        """All that the node has written, the peer reading on."""
        while self.producer is not None and self.reads and not self.ended:
            self.producer.resumeProducing()
        got = self.got
        self.got = b""
        return got

    def doRead(self) -> None:
        """What stands in the kernel reaches the node."""
        data = self.pending
        self.pending = b""
        if data:
            self.say(data)

    def say(self, data: bytes) -> None:
        """The peer sends data, which reaches the node at once."""
        if not self.ended and not self.disconnecting:
            self.protocol.dataReceived(data)

    def end(self) -> None:
        """The connection ends."""
        if not self.ended:
            self.ended = True
            self.protocol.connectionLost(Failure(ConnectionDone()))


class MemoryDial:
    """One dial of the node; `over` once it has come up or failed."""

    def __init__(self, network: MemoryNetwork, port: int, factory: ClientFactory) -> None:
        self.network = network
        self.port = port
        self.factory = factory
        self.over = False

    def disconnect(self, fault: Exception | None = None) -> None:
        """The dial fails, or the node gives it up."""
        if not self.over:
            self.over = True
            self.factory.clientConnectionFailed(self, Failure(fault or UserError()))

    def no_descriptor(self) -> None:
        """The dial fails as no descriptor is free."""
        self.disconnect(ConnectBindError(errno.EMFILE, "too many open files"))

    def up(self) -> MemoryConnection:
        """The dial comes up."""
        self.over = True
        connection = MemoryConnection(self.network, self.factory.buildProtocol(None), self.port)
        self.network.lines.append(connection)
        return connection


class MemoryNetwork(MemoryReactorClock):
    """The reactor. `ways` has by port how dials end: 'up' or 'refused' at once, 'silent', or
    without a free 'descriptor'."""

    def __init__(self) -> None:
        super().__init__()
        self.running = True
        self.ways: dict[int, str] = {}
        self.dials: list[MemoryDial] = []
        self.lines: list[MemoryConnection] = []
        self.watcher: Callable[[MemoryConnection, bytes], None] | None = None

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: ClientFactory,
        timeout: float | None = None,
        bindAddress: object = None,  # noqa: N803 - Twisted's name
    ) -> MemoryDial:
        """The node dials."""
        dial = MemoryDial(self, port, factory)
        self.dials.append(dial)
        way = self.ways.get(port, "up")
        if way != "silent":
            ends = {"up": dial.up, "descriptor": dial.no_descriptor}
            end = ends.get(way, dial.disconnect)
            self.callLater(0, lambda: dial.over or end())
        return dial

    def to(self, port: int) -> list[MemoryConnection]:
        """The open connections to a port."""
        return [line for line in self.lines if line.port == port and not line.ended]
