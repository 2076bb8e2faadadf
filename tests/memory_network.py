"""A network in memory: connections and dials of a node that runs on Twisted's test clock.

Nothing is sent to a socket: a test reads from a connection what the node wrote, and passes in what
the peer would send. Times are the reactor's, in seconds.
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

TCP_INFO_FORMAT = "14I"  # the last field: milliseconds since the newest byte was received


class MemoryConnection(FakeTransport):
    """One connection of the node, seen from the peer's side.

    `output`: the bytes that the node wrote and the peer has not received. `is_reading`: whether the
    peer reads. `unread_input`: the bytes in the kernel that the node has not read.
    `ms_since_receive`: how long the data that is sent next has waited in the kernel. As with a real
    reactor, the protocol is notified of a lost connection in a later call.
    """

    def __init__(
        self, network: MemoryNetwork, protocol: Protocol, port: int, unread_input: bytes = b""
    ) -> None:
        super().__init__(protocol, True)
        self.network = network
        self.port = port
        self.output = b""
        self.is_reading = True
        self.is_closed = False
        self.is_paused = False
        self.unread_input = unread_input
        self.socket = self
        self.ms_since_receive = 0.0
        protocol.makeConnection(self)

    # ---- called by the node

    def write(self, data: bytes) -> None:
        """Store what the node writes."""
        if self.is_closed or self.disconnecting:
            return
        self.output += data
        if self.network.on_write is not None:
            self.network.on_write(self, data)

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return TCP_INFO, of which only the last field is filled."""
        return struct.pack(TCP_INFO_FORMAT, *[0] * 13, int(self.ms_since_receive))

    def recv(self, count: int, flags: int) -> bytes:
        """Peek at the unread bytes in the kernel."""
        if not self.unread_input:
            raise BlockingIOError
        return self.unread_input[:count]

    def pauseProducing(self) -> None:
        """Record that the node stops reading."""
        self.is_paused = True

    def resumeProducing(self) -> None:
        """Record that the node reads again."""
        self.is_paused = False

    def loseConnection(self) -> None:
        """Close the connection in a later call, as the node asks."""
        if not self.disconnecting:
            self.disconnecting = True
            self.network.callLater(0, self.close)

    abortConnection = loseConnection  # noqa: N815 - Twisted's name

    # ---- called by the test

    def receive(self) -> bytes:
        """Return all that the node has written since the last call, as a peer that reads on."""
        while self.producer is not None and self.is_reading and not self.is_closed:
            self.producer.resumeProducing()
        output = self.output
        self.output = b""
        return output

    def doRead(self) -> None:
        """Pass the unread bytes in the kernel to the node."""
        data = self.unread_input
        self.unread_input = b""
        if data:
            self.send(data)

    def send(self, data: bytes) -> None:
        """Pass data from the peer to the node at once."""
        if not self.is_closed and not self.disconnecting:
            self.protocol.dataReceived(data)

    def close(self) -> None:
        """Close the connection and notify the node's protocol."""
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connectionLost(Failure(ConnectionDone()))


class MemoryDial:
    """One dial of the node; `is_finished` once it has connected or failed."""

    def __init__(self, network: MemoryNetwork, port: int, factory: ClientFactory) -> None:
        self.network = network
        self.port = port
        self.factory = factory
        self.is_finished = False

    def disconnect(self, fault: Exception | None = None) -> None:
        """Fail the dial, or abandon it when the node calls this."""
        if not self.is_finished:
            self.is_finished = True
            self.factory.clientConnectionFailed(self, Failure(fault or UserError()))

    def fail_without_descriptor(self) -> None:
        """Fail the dial because no file descriptor is free."""
        self.disconnect(ConnectBindError(errno.EMFILE, "too many open files"))

    def complete(self) -> MemoryConnection:
        """Complete the dial and return its connection."""
        self.is_finished = True
        connection = MemoryConnection(self.network, self.factory.buildProtocol(None), self.port)
        self.network.connections.append(connection)
        return connection


class MemoryNetwork(MemoryReactorClock):
    """A reactor whose connections exist in memory only.

    `dial_outcomes`: by port, how dials end: 'up' (connected at once), 'refused' (at once), 'silent'
    (neither connected nor refused) or 'descriptor' (no free descriptor). `on_write`: called with a
    connection and the bytes that the node writes to it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.running = True
        self.dial_outcomes: dict[int, str] = {}
        self.dials: list[MemoryDial] = []
        self.connections: list[MemoryConnection] = []
        self.on_write: Callable[[MemoryConnection, bytes], None] | None = None

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: ClientFactory,
        timeout: float | None = None,
        bindAddress: object = None,  # noqa: N803 - Twisted's name
    ) -> MemoryDial:
        """Start a dial of the node, which ends as `dial_outcomes` says for its port."""
        dial = MemoryDial(self, port, factory)
        self.dials.append(dial)
        outcome = self.dial_outcomes.get(port, "up")
        if outcome != "silent":
            ends = {"up": dial.complete, "descriptor": dial.fail_without_descriptor}
            end = ends.get(outcome, dial.disconnect)
            self.callLater(0, lambda: dial.is_finished or end())
        return dial

    def connections_to(self, port: int) -> list[MemoryConnection]:
        """Return the open connections to a port."""
        return [
            connection
            for connection in self.connections
            if connection.port == port and not connection.is_closed
        ]
