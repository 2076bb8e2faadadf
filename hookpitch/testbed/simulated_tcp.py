"""TCP in virtual time: a connection is a pair of `Endpoint` objects.

Bytes that a program writes go through a bounded send buffer and over a link into the bounded
receive buffer of the peer's kernel, and are read in an event of the peer's process.

Invariants: the bytes in flight and the unread bytes of a direction together never exceed
`MAX_BUFFERED_BYTES` by a whole segment; every `Endpoint` that a program has opened ends with
exactly one `connectionLost`, unless its process dies or its machine stays off the network.

Sources: Twisted's interfaces; RFC 9293 for resets, half-closes and zero windows; socket(7) and
tcp(7) of Linux for the effect of closing a socket with unread bytes.
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

from hookpitch.testbed.interfaces import Connector, Machine

MAX_BUFFERED_BYTES = 1 << 18  # of one direction: in flight and unread
MAX_SEGMENT_BYTES = 1 << 14
MAX_READ_BYTES = 1 << 16  # per read event


def create_connection(
    client: Machine, server: Machine, server_port: int
) -> tuple[Endpoint, Endpoint]:
    """Create a connection and return its two endpoints: of the client and of the server."""
    client_end = Endpoint(client, client.next_port(), server.address, server_port)
    server_end = Endpoint(server, server_port, client.address, 0)
    client_end.peer = server_end
    server_end.peer = client_end
    server_end.peer_port = client_end.port
    return client_end, server_end


class _SocketView:
    """What programs query of an endpoint's socket: unread bytes, and when bytes last arrived."""

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint

    def recv(self, count: int, flags: int = 0) -> bytes:
        if self.endpoint.receive_buffer:
            return bytes(self.endpoint.receive_buffer[0][:count])
        if self.endpoint.received_fin or self.endpoint.received_reset:
            return b""
        raise BlockingIOError

    def getsockopt(self, level: int, option: int, size: int = 0) -> bytes:
        """Return TCP_INFO with only tcpi_last_data_recv of Linux' struct tcp_info set, in ms."""
        age = max(0.0, self.endpoint.machine.network.now - self.endpoint.last_received_at) * 1000
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
        self.connector: Connector | None = None
        self.socket = _SocketView(self)
        self.send_buffer: deque[bytes] = deque()  # written by the program, not yet sent
        self.receive_buffer: deque[bytes] = deque()  # arrived, unread
        self.unread_bytes = 0  # in the receive buffer
        self.bytes_in_flight = 0  # sent, not yet arrived at the peer
        self.last_received_at = machine.network.now
        self.last_arrival_at = 0.0  # when the last packet sent from here arrives at the peer
        self.received_fin = False  # the peer will send no more
        self.received_reset = False
        self.is_closed = self.sent_reset = False
        self.connected = True
        self.disconnecting = False
        self.is_reading = True
        self.sent_fin = False
        self.producer: Any = None
        self.streaming = False
        self._read_scheduled = self._producer_scheduled = False
        self._fin_reported = False  # to the program
        machine.endpoints[self] = None

    # ---- called by programs

    def getHost(self) -> IPv4Address:
        """Return the address of this end."""
        return IPv4Address("TCP", self.machine.address, self.port)

    def getPeer(self) -> IPv4Address:
        """Return the address of the other end."""
        return IPv4Address("TCP", self.peer_address, self.peer_port)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: bytes are always sent at once."""
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing: keep-alive is not simulated."""
        pass

    def write(self, data: bytes) -> None:
        """Send bytes, through the send buffer."""
        if self.is_closed or self.disconnecting or self.sent_fin or not data:
            return
        self.send_buffer.append(bytes(data))
        self.pump()

    def writeSequence(self, data: list[bytes]) -> None:
        """Send several byte strings."""
        self.write(b"".join(data))

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Ask a producer for data whenever the send buffer is empty."""
        if self.producer is not None:
            raise RuntimeError(f"producer {self.producer!r} is registered already")
        if self.is_closed:
            producer.stopProducing()
            return
        self.producer = producer
        self.streaming = streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Remove the producer, which has written everything."""
        self.producer = None
        if self.disconnecting:
            self._close_if_sent()

    def pauseProducing(self) -> None:
        """Stop reading."""
        self.is_reading = False

    stopReading = pauseProducing  # noqa: N815 - Twisted's name

    def resumeProducing(self) -> None:
        """Start reading again."""
        if not self.is_closed and not self.disconnecting:
            self.is_reading = True
            self._schedule_read()

    startReading = resumeProducing  # noqa: N815 - Twisted's name

    def loseConnection(self) -> None:
        """Close the connection once everything is sent."""
        if not self.is_closed and not self.disconnecting:
            self.disconnecting = True
            self.is_reading = False
            self._close_if_sent()

    def loseWriteConnection(self) -> None:
        """Half-close the connection once everything is sent."""
        if not self.is_closed and not self.sent_fin:
            self._is_half_closing = True
            self._send_fin_if_sent()

    def abortConnection(self) -> None:
        """Close the connection with a reset."""
        if not self.is_closed:
            self.disconnecting = True
            self.is_reading = False
            self.machine.network.call_at(self.machine.network.now, self.machine, self._abort)

    _is_half_closing = False

    def connectionLost(self, reason: Failure) -> None:
        """Close the connection at once, for the given reason, as Twisted's transports do."""
        self._close(reason.value, reset=reason.check(ConnectionAborted) is not None)

    # ---- internal

    def open(self, protocol: Any) -> None:
        """Hand the connection to its program."""
        self.protocol = protocol
        protocol.makeConnection(self)
        self._schedule_read()

    def _abort(self) -> None:
        self._close(ConnectionAborted(), reset=True)

    def pump(self) -> None:
        """Send as much as fits into the peer's receive buffer."""
        network = self.machine.network
        while (
            self.send_buffer
            and self.bytes_in_flight + self.peer.unread_bytes < MAX_BUFFERED_BYTES
            and not self.is_closed
        ):
            data = self.send_buffer.popleft()
            if len(data) > MAX_SEGMENT_BYTES:
                self.send_buffer.appendleft(data[MAX_SEGMENT_BYTES:])
                data = data[:MAX_SEGMENT_BYTES]
            self.bytes_in_flight += len(data)
            # The headers of IP and TCP add 40 bytes.
            network.send(
                self.machine.address,
                self.peer_address,
                len(data) + 40,
                self._delivery_of(data),
                self,
            )
        if not self.send_buffer:
            if self.producer is not None and not self._producer_scheduled:
                self._producer_scheduled = True
                network.call_at(network.now, self.machine, self._resume_producer)
            if self.disconnecting:
                self._close_if_sent()
            elif self._is_half_closing and not self.sent_fin:
                self._send_fin_if_sent()

    def _delivery_of(self, data: bytes) -> Callable[[], None]:
        return lambda: self.peer.data_arrives(data)

    def _resume_producer(self) -> None:
        self._producer_scheduled = False
        if self.producer is not None and not self.send_buffer and not self.is_closed:
            self.producer.resumeProducing()

    def data_arrives(self, data: bytes) -> None:
        """Handle bytes that have arrived at this machine's kernel."""
        peer = self.peer
        network = self.machine.network
        if not self.machine.attached:
            return
        peer.bytes_in_flight -= len(data)
        if self.is_closed:
            if network.on_data_after_close is not None:
                network.on_data_after_close(self)
            peer.reset_by(self.machine)
            return
        self.receive_buffer.append(data)
        self.unread_bytes += len(data)
        self.last_received_at = self.machine.network.now
        self._schedule_read()

    def _schedule_read(self) -> None:
        ready = (
            self.receive_buffer
            or (self.received_fin and not self._fin_reported)
            or self.received_reset
        )
        if (
            ready
            and self.is_reading
            and self.protocol is not None
            and not self._read_scheduled
            and not self.is_closed
        ):
            self._read_scheduled = True
            self.machine.network.call_at(self.machine.network.now, self.machine, self._read_event)

    def _read_event(self) -> None:
        self._read_scheduled = False
        if self.is_reading and not self.is_closed:
            self.doRead()
            self._schedule_read()

    def doRead(self) -> None:
        """Read once, as the reactor does when the socket is readable."""
        if self.is_closed or self.protocol is None:
            return
        if self.receive_buffer:
            data = self.receive_buffer.popleft()
            while self.receive_buffer and len(data) + len(self.receive_buffer[0]) <= MAX_READ_BYTES:
                data += self.receive_buffer.popleft()
            self.unread_bytes -= len(data)
            peer = self.peer
            network = self.machine.network
            if peer.send_buffer:
                # A window update: the peer continues to send once it arrives.
                network.send(self.machine.address, self.peer_address, 40, peer.pump)
            self.protocol.dataReceived(data)
        elif self.received_reset:
            self._close(ConnectionLost(), peer_knows=True)
        elif self.received_fin and not self._fin_reported:
            self._fin_reported = True
            half_closeable = IHalfCloseableProtocol(self.protocol, None)
            if half_closeable is not None:
                half_closeable.readConnectionLost()
            else:
                self._close(ConnectionDone())

    def _send_fin_if_sent(self) -> None:
        """Send a FIN if the send buffer is empty."""
        if not self.send_buffer and not self.sent_fin:
            self.sent_fin = True
            self.machine.network.send(
                self.machine.address, self.peer_address, 40, self.peer.fin_arrives, self
            )

    def fin_arrives(self) -> None:
        """Handle the peer's FIN."""
        if self.machine.attached and not self.is_closed:
            self.received_fin = True
            self._schedule_read()

    def _close_if_sent(self) -> None:
        if not self.send_buffer and self.producer is None and not self.is_closed:
            self.machine.network.call_at(self.machine.network.now, self.machine, self._finish_close)

    def _finish_close(self) -> None:
        if not self.is_closed and not self.send_buffer:
            self._close(ConnectionDone())

    def reset_by(self, machine: Machine) -> None:
        """Have the other machine, which no longer knows the connection, answer with a reset."""
        machine.network.send(machine.address, self.machine.address, 40, self.reset_arrives)

    def reset_arrives(self) -> None:
        """Handle the peer's reset."""
        if self.machine.attached and not self.is_closed:
            self.received_reset = True
            self.send_buffer.clear()
            if self.protocol is None:
                self._release()
            elif self.is_reading:
                self._schedule_read()
            else:
                # A program that does not read is notified of a reset all the same.
                self.machine.network.call_at(
                    self.machine.network.now,
                    self.machine,
                    self._close,
                    ConnectionLost(),
                    False,
                    True,
                )

    def _close(self, error: Exception, reset: bool = False, peer_knows: bool = False) -> None:
        """Close this end; notify the peer, unless it knows, and the program."""
        if self.is_closed:
            return
        # Linux sends a reset when a socket with unread bytes is closed.
        self._notify_peer(reset or bool(self.receive_buffer), peer_knows)
        self._release()
        if self.producer is not None:
            producer = self.producer
            self.producer = None
            producer.stopProducing()
        protocol = self.protocol
        self.protocol = None
        if protocol is not None:
            failure = Failure(error)
            protocol.connectionLost(failure)
            if self.connector is not None:
                self.connector.factory.clientConnectionLost(self.connector, failure)

    def _notify_peer(self, reset: bool, peer_knows: bool) -> None:
        if peer_knows or not self.machine.attached:
            return
        network = self.machine.network
        peer = self.peer
        if reset:
            self.sent_reset = True
            network.send(
                self.machine.address,
                self.peer_address,
                40,
                peer.reset_arrives,
                self,
                no_retransmit=True,
            )
        elif not self.sent_fin:
            self.sent_fin = True
            network.send(self.machine.address, self.peer_address, 40, peer.fin_arrives, self)

    def _release(self) -> None:
        """Mark this end as closed and free its buffers and its descriptor."""
        if self.machine.network.on_endpoint_closed is not None:
            self.machine.network.on_endpoint_closed(self)
        self.is_closed = True
        self.connected = False
        self.is_reading = False
        self.send_buffer.clear()
        self.receive_buffer.clear()
        self.unread_bytes = 0
        self.machine.endpoints.pop(self, None)

    def drop(self, reset: bool, notify_program: bool = False) -> None:
        """Close this end in the kernel, without the program: it died or never had the connection.

        With `notify_program` the program is alive and gets `connectionLost` in a separate event.
        """
        if not self.is_closed:
            if self.machine.attached:
                self._notify_peer(reset or bool(self.receive_buffer), False)
            program = self.protocol if notify_program else None
            self._release()
            if program is not None:
                self.protocol = None
                failure = Failure(ConnectionLost())
                self.machine.network.call_at(
                    self.machine.network.now, self.machine, program.connectionLost, failure
                )
