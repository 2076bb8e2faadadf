"""A relay process carries the links of a run on loopback and impairs them: delay, loss, cuts.

A TCP link has an address on which the relay listens and one to which it forwards. Each connection
through it has two endpoints and two forwarding buffers, and each buffer obeys the `Impairment` of
its direction (`links.py`). Bytes that a cut blocks stay in the bounded buffer and then in the
kernels, as on a network. A connection attempt that is to get no answer is dropped by the kernel:
the backlog of the listening socket is kept full. Datagrams are forwarded between pairs of sockets.

Invariants: the bytes of one direction arrive in order, complete or not at all; a reset discards
what is in flight; `closed` is recorded when a node's end of a connection ends, under the port that
the server sees.

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

MAX_BUFFERED_BYTES = 1 << 18  # of one forwarding buffer; bytes beyond it wait in the kernels
BACKLOG = 4096
# Local ports of the connections to servers: below the range that the kernel assigns by itself.
FIRST_PORT = 10000
LAST_PORT = 32000
CONNECT_TIMEOUT_S = 10.0


class Direction:
    """The impairment of one direction between two parties, and its buffers."""

    __slots__ = ("source", "destination", "impairment", "busy_until", "buffers")

    def __init__(self, source: str, destination: str) -> None:
        self.source = source
        self.destination = destination
        self.impairment = CLEAN
        self.busy_until = 0.0  # when the last packet will have left, at a limited bandwidth
        self.buffers: dict[ForwardingBuffer, None] = {}


class ForwardingBuffer:
    """One direction of one connection: from the endpoint that reads to the one that writes.

    The buffer is the producer of the writer's transport, which pauses it while the transport's own
    buffer is full.
    """

    __slots__ = (
        "relay",
        "direction",
        "reader",
        "writer",
        "queue",
        "queued_bytes",
        "last_due_at",
        "timer",
        "has_lost_data",
        "is_writer_full",
        "is_reader_paused",
        "is_closed",
    )

    def __init__(
        self, relay: Relay, direction: Direction, reader: RelayEndpoint, writer: RelayEndpoint
    ) -> None:
        self.relay = relay
        self.direction = direction
        self.reader = reader
        self.writer = writer
        # When each piece is due, and its bytes; None stands for the end of the stream.
        self.queue: deque[tuple[float, bytes | None]] = deque()
        self.queued_bytes = 0
        self.last_due_at = 0.0
        self.timer: Any = None
        self.has_lost_data = self.is_writer_full = self.is_reader_paused = self.is_closed = False
        direction.buffers[self] = None

    def bytes_received(self, data: bytes | None) -> None:
        """Queue bytes that the reader has received, or None for the end of its stream."""
        impairment = self.direction.impairment
        now = self.relay.reactor.seconds()
        if impairment is CLEAN and not self.queue and self.writer.transport is not None:
            self._write(data)
            return
        if impairment.silent and not impairment.kept:
            self.has_lost_data = True
            return
        self.last_due_at = due_at = max(
            self.last_due_at, now + self._transit_time(impairment, now, len(data or b""))
        )
        self.queue.append((due_at, data))
        self.queued_bytes += len(data or b"")
        self._pause_or_resume_reader()
        self.pump()

    def _transit_time(self, impairment: Impairment, now: float, size: int) -> float:
        """Return how many seconds `size` bytes take, with any retransmissions."""
        rng = self.relay.rng
        direction = self.direction
        transit_s = impairment.delay_ms / 1000 + (
            rng.random() * impairment.jitter_ms / 1000 if impairment.jitter_ms else 0.0
        )
        if impairment.bandwidth < UNLIMITED:
            # The headers of IP and TCP add 40 bytes.
            direction.busy_until = (
                max(now, direction.busy_until) + (size + 40) / impairment.bandwidth
            )
            transit_s += direction.busy_until - now
        for attempt in range(MAX_RETRANSMITS if impairment.loss else 0):
            if rng.random() >= impairment.loss:
                break
            transit_s += RETRANSMIT_MS / 1000 * 2**attempt
        return transit_s

    def pump(self) -> None:
        """Write everything that is due, unless the direction is silent."""
        if self.is_closed or self.writer.transport is None or self.direction.impairment.silent:
            return
        now = self.relay.reactor.seconds()
        while self.queue and self.queue[0][0] <= now + 1e-6:
            data = self.queue.popleft()[1]
            self.queued_bytes -= len(data or b"")
            self._write(data)
        self._pause_or_resume_reader()
        if self.queue and (self.timer is None or not self.timer.active()):
            self.timer = self.relay.reactor.callLater(self.queue[0][0] - now, self.pump)

    def _write(self, data: bytes | None) -> None:
        if data is None:
            self.writer.transport.loseWriteConnection()
        else:
            self.writer.transport.write(data)

    def _pause_or_resume_reader(self) -> None:
        """Let the reader read only while the buffer has room."""
        should_pause = self.is_writer_full or self.queued_bytes > MAX_BUFFERED_BYTES
        if should_pause == self.is_reader_paused or self.reader.transport is None or self.is_closed:
            return
        self.is_reader_paused = should_pause
        # A socket whose end of stream was read stays readable: resuming it would spin.
        if should_pause:
            self.reader.transport.pauseProducing()
        elif not self.reader.received_fin:
            self.reader.transport.resumeProducing()

    # Called by the writer's transport (IPushProducer).

    def pauseProducing(self) -> None:
        """Stop reading, because the writer's transport is full."""
        self.is_writer_full = True
        self._pause_or_resume_reader()

    def resumeProducing(self) -> None:
        """Read again, because the writer's transport has room."""
        self.is_writer_full = False
        self._pause_or_resume_reader()

    def stopProducing(self) -> None:
        """Do nothing: the writer's endpoint reports that it is closed."""
        pass

    def discard(self) -> None:
        """Close the buffer and drop what is queued."""
        self.is_closed = True
        self.queue.clear()
        self.direction.buffers.pop(self, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


@implementer(IHalfCloseableProtocol)
class RelayEndpoint(Protocol):
    """One of the two sockets of a connection through the relay."""

    def __init__(self, connection: ProxiedConnection) -> None:
        self.connection = connection
        self.read_buffer = None
        self.received_fin = self.is_disconnected = False
        self.write_buffer: ForwardingBuffer | None = None  # what this endpoint is to write

    transport: Any = None
    read_buffer: ForwardingBuffer | None  # what this endpoint has read

    def connectionMade(self) -> None:
        """Start forwarding: the socket is open."""
        self.transport.setTcpNoDelay(True)
        if self.write_buffer is not None:
            self.transport.registerProducer(self.write_buffer, True)
        self.connection.connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Forward bytes."""
        if self.read_buffer is not None and not self.read_buffer.is_closed:
            self.read_buffer.bytes_received(data)

    def readConnectionLost(self) -> None:
        """Forward the peer's end of stream."""
        self.received_fin = True
        self.connection.half_closed(self)
        if self.read_buffer is not None and not self.read_buffer.is_closed:
            self.read_buffer.bytes_received(None)

    def writeConnectionLost(self) -> None:
        """Do nothing: the end of stream of the other side was written."""
        pass

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report that the socket is closed, and whether it was reset."""
        self.received_fin = self.is_disconnected = True
        self.connection.half_closed(self)
        self.connection.disconnected(self, reason.check(ConnectionDone) is None)


class ProxiedConnection:
    """One connection through a listener: the endpoints towards its client and its server."""

    def __init__(self, listener: ProxyListener) -> None:
        self.listener = listener
        self.relay = listener.relay
        self.client_side = RelayEndpoint(self)
        self.server_side = RelayEndpoint(self)
        to_server = ForwardingBuffer(
            self.relay, listener.to_server, self.client_side, self.server_side
        )
        to_client = ForwardingBuffer(
            self.relay, listener.to_client, self.server_side, self.client_side
        )
        self.client_side.read_buffer = self.server_side.write_buffer = to_server
        self.server_side.read_buffer = self.client_side.write_buffer = to_client
        # The remote port that the server sees, and that of the client.
        self.upstream_port = self.client_port = 0
        self.is_close_recorded = self.is_closed = False
        # The endpoint whose socket was reset while the direction away from it was silent: the other
        # side does not know of the reset yet.
        self.reset_side: RelayEndpoint | None = None

    def connected(self, side: RelayEndpoint) -> None:
        """Connect to the server once the client is accepted, and forward once both are open."""
        if side is self.client_side:
            self.client_port = side.transport.getPeer().port
            self.relay.connect_upstream(self)
            return
        if self.is_closed or self.client_side.is_disconnected:
            side.transport.abortConnection()
            return
        self.client_side.read_buffer.pump()

    def half_closed(self, side: RelayEndpoint) -> None:
        """Record the first sign that a node has closed its end."""
        if (
            side is self.client_side
            and not self.is_close_recorded
            and self.listener.client in self.relay.nodes
            and self.upstream_port
        ):
            self.is_close_recorded = True
            self.relay.record("closed", self.listener.client, port=self.upstream_port)

    def connect_failed(self) -> None:
        """Reset the client, because the server cannot be reached."""
        if self.listener.client == "clients":
            self.relay.record("unread", self.listener.server, port=self.client_port)
        self.tear_down()

    def disconnected(self, side: RelayEndpoint, was_reset: bool) -> None:
        """Handle a closed socket.

        A reset discards what is in flight and is forwarded, unless its direction is silent.
        """
        if self.is_closed:
            return
        other = self.server_side if side is self.client_side else self.client_side
        if not was_reset:
            # Both streams of this socket have ended; bytes in flight are still forwarded.
            if other.is_disconnected:
                self.tear_down()
            return
        if side.read_buffer.direction.impairment.silent:
            # The reset is lost, and bytes that the other side sends from now on are discarded.
            side.read_buffer.queue.clear()
            self.reset_side = side
            return
        self.tear_down()

    def impairment_changed(self) -> None:
        """Forward what the new impairments let through.

        If a direction that is no longer silent has lost data or a reset, reset the connection.
        """
        if self.is_closed:
            return
        is_broken = any(
            buffer.has_lost_data and not buffer.direction.impairment.silent
            for buffer in (self.client_side.read_buffer, self.server_side.read_buffer)
        )
        if is_broken or (
            self.reset_side is not None
            and not self.reset_side.read_buffer.direction.impairment.silent
        ):
            self.tear_down()
            return
        self.client_side.read_buffer.pump()
        self.server_side.read_buffer.pump()

    def tear_down(self) -> None:
        """End the connection: reset each side that is still open."""
        if self.is_closed:
            return
        self.is_closed = True
        for buffer in (self.client_side.read_buffer, self.server_side.read_buffer):
            buffer.discard()
        for side in (self.client_side, self.server_side):
            if side.transport is not None and not side.is_disconnected:
                side.transport.abortConnection()
        self.listener.connections.pop(self, None)


class ProxyListener(Factory):
    """A TCP link: listens on one address and forwards to another.

    How connection attempts are handled depends on the impairments of both directions: they are
    accepted (mode `open`), refused (`shut`) or get no answer (`deaf`).
    """

    noisy = False

    def __init__(
        self,
        relay: Relay,
        client: str,
        server: str,
        listen_address: tuple[str, int],
        server_address: tuple[str, int],
        source_host: str,
    ) -> None:
        """Start to listen; `client` and `server` are names, the server sees `source_host`."""
        self.relay = relay
        self.client = client
        self.server = server
        self.listen_address = listen_address
        self.server_address = server_address
        self.source_host = source_host
        self.to_server = relay.direction(client, server)
        self.to_client = relay.direction(server, client)
        self.connections: dict[ProxiedConnection, None] = {}
        # Sockets that fill the backlog while attempts get no answer, by their addresses.
        self.backlog_fillers: dict[tuple[str, int], socket.socket] = {}
        self.port: Any = None
        self.mode = "shut"
        self.update()

    def buildProtocol(self, addr: Any) -> RelayEndpoint | None:
        """Accept a connection, unless its only purpose was to fill the backlog."""
        if (addr.host, addr.port) in self.backlog_fillers:
            return None
        connection = ProxiedConnection(self)
        self.connections[connection] = None
        return connection.client_side

    def update(self) -> None:
        """Apply the current impairments of both directions."""
        to_server = self.to_server.impairment
        to_client = self.to_client.impairment
        mode = "shut" if to_server.refusing else "open"
        if to_server.deaf or to_server.silent or to_client.silent:
            mode = "deaf"
        if mode != self.mode:
            self._set_mode(mode)
        for connection in list(self.connections):
            connection.impairment_changed()

    def _set_mode(self, mode: str) -> None:
        """Change how connection attempts are handled."""
        previous = self.mode
        self.mode = mode
        if previous == "deaf":
            for filler in self.backlog_fillers.values():
                filler.close()
            if mode == "open":
                self.port.socket.listen(BACKLOG)
                self.port.startReading()
        if mode == "shut" and self.port is not None:
            self.port.stopListening()
            self.port = None
        if mode != "shut" and self.port is None:
            host, port = self.listen_address
            self.port = self.relay.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        if mode == "deaf":
            self.port.stopReading()
            self.port.socket.listen(0)
            self.backlog_fillers = {}
            # The first connection fills a backlog of 0; the second one gets no answer, which shows
            # that the backlog is full.
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.bind((self.source_host, 0))
                filler.connect_ex(self.listen_address)
                self.backlog_fillers[filler.getsockname()[:2]] = filler

    def sever(self) -> None:
        """Reset all connections of this listener."""
        if self.client == "clients" or self.server == "clients":
            for connection in self.connections:
                self.relay.record("unread", self.server, port=connection.client_port)
        for connection in list(self.connections):
            connection.tear_down()


class _UpstreamConnector(ClientFactory):
    """Connects to the server of one proxied connection."""

    noisy = False

    def __init__(self, relay: Relay, connection: ProxiedConnection) -> None:
        self.relay = relay
        self.connection = connection

    def buildProtocol(self, addr: object) -> RelayEndpoint:
        return self.connection.server_side

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        if reason.check(ConnectBindError) is not None and not self.connection.is_closed:
            # The local port is still in use: the next one is tried.
            self.relay.connect_upstream(self.connection)
        else:
            self.connection.connect_failed()


class DatagramForwarder(DatagramProtocol):
    """The socket at which one node reaches another by UDP.

    A datagram that arrives here is forwarded from the opposite socket, the one at which the other
    node reaches the first.
    """

    def __init__(
        self, relay: Relay, source: str, destination: str, destination_address: tuple[str, int]
    ) -> None:
        self.relay = relay
        self.direction = relay.direction(source, destination)
        self.destination_address = destination_address
        self.opposite: DatagramForwarder | None = None

    def datagramReceived(self, data: bytes, addr: object) -> None:
        """Forward a datagram; its direction's impairment may lose, duplicate or delay it."""
        impairment = self.direction.impairment
        relay = self.relay
        rng = self.relay.rng
        if impairment.silent or (impairment.loss and rng.random() < impairment.loss):
            return
        for _ in range(2 if impairment.repeat and rng.random() < impairment.repeat else 1):
            transit_ms = impairment.delay_ms + (
                rng.random() * impairment.jitter_ms if impairment.jitter_ms else 0.0
            )
            if impairment.reorder and rng.random() < impairment.reorder:
                # Datagrams that are sent in the meantime overtake it.
                transit_ms += 2 * impairment.delay_ms + 5.0
            if impairment.bandwidth < UNLIMITED:
                now = relay.reactor.seconds()
                # The headers of IP and UDP add 28 bytes.
                self.direction.busy_until = (
                    max(now, self.direction.busy_until) + (len(data) + 28) / impairment.bandwidth
                )
                transit_ms += (self.direction.busy_until - now) * 1000
            if transit_ms:
                relay.reactor.callLater(transit_ms / 1000, self.forward, data)
            else:
                self.forward(data)

    def forward(self, data: bytes) -> None:
        """Send a datagram to its destination, unless the direction is silent by now."""
        if (
            not self.direction.impairment.silent
            and self.opposite is not None
            and self.opposite.transport is not None
        ):
            self.opposite.transport.write(data, self.destination_address)


class Relay:
    """All links of one relay process."""

    def __init__(
        self, reactor: Any, history: History, started_at: float, nodes: list[str], seed: int
    ) -> None:
        """Create a relay without links.

        `started_at`: the run's start on the reactor's clock, in seconds.
        """
        self.reactor = reactor
        self.history = history
        self.started_at = started_at
        self.nodes = frozenset(nodes)
        self.rng = random.Random(seed)
        self.directions: dict[tuple[str, str], Direction] = {}
        self.listeners: dict[tuple[str, str], list[ProxyListener]] = {}
        self._last_ports: dict[str, int] = {}  # local ports of upstream connections, by host

    def record(self, kind: str, who: str, port: int) -> None:
        """Record an event of the network."""
        self.history.add((self.reactor.seconds() - self.started_at) * 1000, kind, who, port=port)

    def direction(self, source: str, destination: str) -> Direction:
        """Return the state of one direction."""
        return self.directions.setdefault((source, destination), Direction(source, destination))

    def add_tcp_link(
        self,
        client: str,
        server: str,
        listen_address: tuple[str, int],
        server_address: tuple[str, int],
        source_host: str,
    ) -> ProxyListener:
        """Add a TCP link; raise ValueError if its address is in use."""
        try:
            listener = ProxyListener(
                self, client, server, listen_address, server_address, source_host
            )
        except CannotListenError as error:
            raise ValueError(
                f"cannot listen on {listen_address[0]}:{listen_address[1]}: {error.socketError}"
            ) from None
        self.listeners.setdefault((client, server), []).append(listener)
        return listener

    def add_udp_link(
        self,
        first: str,
        second: str,
        address_for_first: tuple[str, int],
        address_for_second: tuple[str, int],
        node_addresses: dict[str, tuple[str, int]],
    ) -> None:
        """Forward datagrams between two nodes.

        `address_for_first` is where the first node reaches the second, and `address_for_second` is
        where the second reaches the first; `node_addresses` are the nodes' own.
        """
        to_second = DatagramForwarder(self, first, second, node_addresses[second])
        to_first = DatagramForwarder(self, second, first, node_addresses[first])
        to_second.opposite = to_first
        to_first.opposite = to_second
        self.reactor.listenUDP(address_for_first[1], to_second, interface=address_for_first[0])
        self.reactor.listenUDP(address_for_second[1], to_first, interface=address_for_second[0])

    def connect_upstream(self, connection: ProxiedConnection) -> None:
        """Connect to the server for a connection that was accepted."""
        listener = connection.listener
        port = self._last_ports.get(listener.source_host, FIRST_PORT) + 1
        self._last_ports[listener.source_host] = FIRST_PORT if port >= LAST_PORT else port
        # The port is recorded even if the client closes before the server is reached.
        connection.upstream_port = port
        host, server_port = listener.server_address
        factory = _UpstreamConnector(self, connection)
        self.reactor.connectTCP(
            host,
            server_port,
            factory,
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(listener.source_host, port),
        )

    def execute(self, command: str, *args: Any) -> None:
        """Execute a command of the run.

        `impair` A B STATE sets the impairment of the direction from A to B, `sever` A B resets the
        connections between A and B, and `tcp` adds a link.
        """
        if command == "impair":
            source, destination, state = args
            direction = self.directions.get((source, destination))
            if direction is not None:
                impairment = msgspec.convert(state, Impairment)
                direction.impairment = CLEAN if impairment == CLEAN else impairment
                for listener in self._listeners_between(source, destination):
                    listener.update()
        elif command == "tcp":
            client, server, listen_address, server_address, source_host = args
            self.add_tcp_link(
                client, server, tuple(listen_address), tuple(server_address), source_host
            )
        elif command == "sever":
            for listener in self._listeners_between(*args):
                listener.sever()

    def _listeners_between(self, first: str, second: str) -> list[ProxyListener]:
        return [
            *self.listeners.get((first, second), ()),
            *self.listeners.get((second, first), ()),
        ]


def create_relay(
    reactor: Any, options: dict[str, Any], history: EventRecorder, control: ControlConnection
) -> Any:
    """Create the relay of this process and return its command handler."""
    relay = Relay(reactor, history, options["begun"], options["nodes"], options["seed"])
    for client, server, listen_address, server_address, source_host in options["tcp"]:
        relay.add_tcp_link(
            client, server, tuple(listen_address), tuple(server_address), source_host
        )
    for (
        first,
        second,
        address_for_first,
        address_for_second,
        second_address,
        first_address,
    ) in options["udp"]:
        relay.add_udp_link(
            first,
            second,
            tuple(address_for_first),
            tuple(address_for_second),
            {second: tuple(second_address), first: tuple(first_address)},
        )

    def execute(command: str, *args: Any) -> None:
        if command == "sync":  # Confirms that all earlier commands are executed.
            control.send("done", *args)
        else:
            relay.execute(command, *args)

    return execute


if __name__ == "__main__":
    sys.exit(run_child(create_relay))
