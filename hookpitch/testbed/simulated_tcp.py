"""TCP in virtual time: a connection is two `Endpoint`s.

What one writes goes through a bounded send buffer, over a link, into the bounded receive buffer of
the other's kernel, and is read in an event of the other's process.

Invariants: bytes in flight and bytes unread together never exceed `MAX_BUFFERED_BYTES`; every
`Endpoint` ends with exactly one `connectionLost` unless its machine vanished.

Sources: Twisted's interfaces; RFC 9293 for resets, half-closes and zero windows; socket(7) and
tcp(7) of Linux for what a close with unread bytes does.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from hookpitch.testbed.interfaces import Dialler, Machine

MAX_BUFFERED_BYTES = 1 << 18  # bytes of a direction that are in flight or unread at the most
SEGMENT = 1 << 14  # bytes that travel together
READ = 1 << 16  # bytes read in one turn


def pair(a: Machine, b: Machine, port: int) -> tuple[Endpoint, Endpoint]:
    """The two ends of a new connection."""
    near = Endpoint(a, a.next_port(), b.address, port)
    far = Endpoint(b, port, a.address, 0)
    near.peer = far
    far.peer = near
    far.peer_port = near.port
    return near, far


class _Socket:
    """What programs ask a connection's socket: whether bytes stand unread, and since when."""

    __slots__ = ("end",)

    def __init__(self, end: Endpoint) -> None:
        self.end = end

    def recv(self, count: int, flags: int = 0) -> bytes:
        if self.end.receive_buffer:
            return bytes(self.end.receive_buffer[0][:count])
        if self.end.ended or self.end.was_reset:
            return b""
        raise BlockingIOError

    def getsockopt(self, level: int, option: int, size: int = 0) -> bytes:
        """TCP_INFO: of Linux' struct tcp_info only tcpi_last_data_recv, in milliseconds."""
        age = max(0.0, self.end.machine.network.now - self.end.came_at) * 1000
        return struct.pack("14I", *[0] * 13, int(age))


class Endpoint:
    """One end of a connection: Twisted's `ITCPTransport`."""

    TLS = False

    def __init__(self, machine: Machine, port: int, peer_address: str, peer_port: int) -> None:
        self.machine = machine
        self.port = port
        self.peer_address = peer_address
        self.peer_port = peer_port
        self.peer: Endpoint = self
        self.protocol: Any = None
        self.connector: Dialler | None = None
        self.socket = _Socket(self)
        self.send_buffer: deque[bytes] = deque()  # handed over by the program, not yet sent
        self.receive_buffer: deque[bytes] = deque()  # arrived, unread
        # bytes: arrived here; sent from here and not yet read there
        self.unread_bytes = 0
        self.travelling = 0
        self.came_at = machine.network.now
        self.last_arrival = 0.0
        self.ended = False  # the peer's end of sending has arrived
        self.was_reset = False
        self.over = self.aborted = False  # this end's socket is closed; with a reset
        self.connected = True
        self.disconnecting = False
        self.reading = True
        self.sent_end = False
        self.producer: Any = None
        self.streaming = False
        self._reading_due = self._feeding = False
        self._told_end = False
        machine.endpoints[self] = None

    # ---- what programs call

    def getHost(self) -> IPv4Address:
        """This end's address."""
        return IPv4Address("TCP", self.machine.address, self.port)

    def getPeer(self) -> IPv4Address:
        """The other end's address."""
        return IPv4Address("TCP", self.peer_address, self.peer_port)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Nothing: bytes are sent at once."""
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Nothing: no keep-alive is simulated."""
        pass

    def write(self, data: bytes) -> None:
        """Send bytes, through the send buffer."""
        if self.over or self.disconnecting or self.sent_end or not data:
            return
        self.send_buffer.append(bytes(data))
        self.pump()

    def writeSequence(self, data: list[bytes]) -> None:
        """Send several pieces."""
        self.write(b"".join(data))

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Ask a producer for data whenever the send buffer is empty."""
        if self.producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.over:
            producer.stopProducing()
            return
        self.producer = producer
        self.streaming = streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """The producer has written all."""
        self.producer = None
        if self.disconnecting:
            self._close_if_sent()

    def pauseProducing(self) -> None:
        """Stop reading."""
        self.reading = False

    stopReading = pauseProducing  # noqa: N815 - Twisted's name

    def resumeProducing(self) -> None:
        """Read again."""
        if not self.over and not self.disconnecting:
            self.reading = True
            self._read_soon()

    startReading = resumeProducing  # noqa: N815 - Twisted's name

    def loseConnection(self) -> None:
        """Close once all is sent."""
        if not self.over and not self.disconnecting:
            self.disconnecting = True
            self.reading = False
            self._close_if_sent()

    def loseWriteConnection(self) -> None:
        """Half-close once all is sent."""
        if not self.over and not self.sent_end:
            self._half = True
            self._end_sending()

    def abortConnection(self) -> None:
        """Close with a reset."""
        if not self.over:
            self.disconnecting = True
            self.reading = False
            self.machine.network.call_at(self.machine.network.now, self.machine, self._aborted)

    _half = False

    def connectionLost(self, reason: Failure) -> None:
        """As Twisted's transports: closed at once, for the reason given."""
        self._lost(reason.value, reset=reason.check(ConnectionAborted) is not None)

    # ---- within

    def open(self, protocol: Any) -> None:
        """Hand the connection to its program."""
        self.protocol = protocol
        protocol.makeConnection(self)
        self._read_soon()

    def _aborted(self) -> None:
        self._lost(ConnectionAborted(), reset=True)

    def pump(self) -> None:
        """Send as much as the other end's buffer takes."""
        network = self.machine.network
        while (
            self.send_buffer
            and self.travelling + self.peer.unread_bytes < MAX_BUFFERED_BYTES
            and not self.over
        ):
            data = self.send_buffer.popleft()
            if len(data) > SEGMENT:
                self.send_buffer.appendleft(data[SEGMENT:])
                data = data[:SEGMENT]
            self.travelling += len(data)
            network.send(
                self.machine.address, self.peer_address, len(data) + 40, self._carry(data), self
            )
        if not self.send_buffer:
            if self.producer is not None and not self._feeding:
                self._feeding = True
                network.call_at(network.now, self.machine, self._feed)
            if self.disconnecting:
                self._close_if_sent()
            elif self._half and not self.sent_end:
                self._end_sending()

    def _carry(self, data: bytes) -> Callable[[], None]:
        return lambda: self.peer.arrive(data)

    def _feed(self) -> None:
        self._feeding = False
        if self.producer is not None and not self.send_buffer and not self.over:
            self.producer.resumeProducing()

    def arrive(self, data: bytes) -> None:
        """Bytes have come to this machine's kernel."""
        peer = self.peer
        network = self.machine.network
        if not self.machine.attached:
            return
        peer.travelling -= len(data)
        if self.over:
            if network.on_data_after_close is not None:
                network.on_data_after_close(self)
            peer.reset_by_peer(self.machine)
            return
        self.receive_buffer.append(data)
        self.unread_bytes += len(data)
        self.came_at = self.machine.network.now
        self._read_soon()

    def _read_soon(self) -> None:
        ready = self.receive_buffer or (self.ended and not self._told_end) or self.was_reset
        if (
            ready
            and self.reading
            and self.protocol is not None
            and not self._reading_due
            and not self.over
        ):
            self._reading_due = True
            self.machine.network.call_at(self.machine.network.now, self.machine, self._turn)

    def _turn(self) -> None:
        self._reading_due = False
        if self.reading and not self.over:
            self.doRead()
            self._read_soon()

    def doRead(self) -> None:
        """One turn of reading, as the reactor does it."""
        if self.over or self.protocol is None:
            return
        if self.receive_buffer:
            data = self.receive_buffer.popleft()
            while self.receive_buffer and len(data) + len(self.receive_buffer[0]) <= READ:
                data += self.receive_buffer.popleft()
            self.unread_bytes -= len(data)
            peer = self.peer
            network = self.machine.network
            if peer.send_buffer:
                network.send(self.machine.address, self.peer_address, 40, peer.pump)
            self.protocol.dataReceived(data)
        elif self.was_reset:
            self._lost(ConnectionLost(), told=True)
        elif self.ended and not self._told_end:
            self._told_end = True
            half = IHalfCloseableProtocol(self.protocol, None)
            if half is not None:
                half.readConnectionLost()
            else:
                self._lost(ConnectionDone())

    def _end_sending(self) -> None:
        if not self.send_buffer and not self.sent_end:
            self.sent_end = True
            self.machine.network.send(
                self.machine.address, self.peer_address, 40, self.peer.end_arrives, self
            )

    def end_arrives(self) -> None:
        """The peer's end of sending has arrived."""
        if self.machine.attached and not self.over:
            self.ended = True
            self._read_soon()

    def _close_if_sent(self) -> None:
        if not self.send_buffer and self.producer is None and not self.over:
            self.machine.network.call_at(self.machine.network.now, self.machine, self._closed)

    def _closed(self) -> None:
        if not self.over and not self.send_buffer:
            self._lost(ConnectionDone())

    def reset_by_peer(self, there: Machine) -> None:
        """The other machine knows nothing of this connection: its answer takes the way back."""
        there.network.send(there.address, self.machine.address, 40, self.reset_arrives)

    def reset_arrives(self) -> None:
        """The peer's reset has arrived."""
        if self.machine.attached and not self.over:
            self.was_reset = True
            self.send_buffer.clear()
            if self.protocol is None:
                self._gone()
            elif self.reading:
                self._read_soon()
            else:  # a connection that is not read still learns of a reset
                self.machine.network.call_at(
                    self.machine.network.now,
                    self.machine,
                    self._lost,
                    ConnectionLost(),
                    False,
                    True,
                )

    def _lost(self, fault: Exception, reset: bool = False, told: bool = False) -> None:
        """This end is closed: told to the peer, unless it knows, and to the program."""
        if self.over:
            return
        # As Linux does: a close with bytes unread resets.
        self._tell(reset or bool(self.receive_buffer), told)
        self._gone()
        if self.producer is not None:
            producer = self.producer
            self.producer = None
            producer.stopProducing()
        protocol = self.protocol
        self.protocol = None
        if protocol is not None:
            failure = Failure(fault)
            protocol.connectionLost(failure)
            if self.connector is not None:
                self.connector.factory.clientConnectionLost(self.connector, failure)

    def _tell(self, reset: bool, told: bool) -> None:
        if told or not self.machine.attached:
            return
        network = self.machine.network
        peer = self.peer
        if reset:
            self.aborted = True
            network.send(
                self.machine.address, self.peer_address, 40, peer.reset_arrives, self, once=True
            )
        elif not self.sent_end:
            self.sent_end = True
            network.send(self.machine.address, self.peer_address, 40, peer.end_arrives, self)

    def _gone(self) -> None:
        if self.machine.network.on_endpoint_closed is not None:
            self.machine.network.on_endpoint_closed(self)
        self.over = True
        self.connected = False
        self.reading = False
        self.send_buffer.clear()
        self.receive_buffer.clear()
        self.unread_bytes = 0
        self.machine.endpoints.pop(self, None)

    def drop(self, reset: bool, told: bool = False) -> None:
        """The kernel closes this end without the program: it is dead, or never took it."""
        if not self.over:
            if self.machine.attached:
                self._tell(reset or bool(self.receive_buffer), False)
            program = self.protocol if told else None
            self._gone()
            if program is not None:
                self.protocol = None
                failure = Failure(ConnectionLost())
                self.machine.network.call_at(
                    self.machine.network.now, self.machine, program.connectionLost, failure
                )
