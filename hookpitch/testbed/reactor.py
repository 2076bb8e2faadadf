"""What the programs of a machine in virtual time get in place of Twisted's reactor.

`SimulatedReactor` implements `IReactorTime` and the parts of `IReactorTCP` and `IReactorUDP` that
the programs use. A `ListeningPort` is one process's reference to a listening socket, a `Connector`
is one outgoing connection attempt, and a `DatagramPort` is a UDP socket. Times are in seconds.

Sources: Twisted's interfaces; listen(2), socket(7) and udp(7) of Linux.
"""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import (
    CannotListenError,
    ConnectBindError,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
    UserError,
)
from twisted.python.failure import Failure

from hookpitch.testbed.interfaces import DelayedCall, Machine, Network
from hookpitch.testbed.simulated_tcp import Endpoint, create_connection

MAX_UNREAD_DATAGRAM_BYTES = 1 << 18  # per socket; datagrams beyond it are dropped
MAX_DATAGRAM_BYTES = 65507


class SimulatedReactor:
    """The reactor of one simulated process."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.network = machine.network
        self.running = True

    def seconds(self) -> float:
        """Return the virtual time, in seconds."""
        return self.network.now

    def callLater(
        self, delay: float, func: Callable[..., object], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Schedule a call as an event of this machine's process."""
        return self.network.call_at(
            self.network.now + max(0.0, delay), self.machine, func, *args, **kwargs
        )

    def callFromThread(self, func: Callable[..., object], *args: Any, **kwargs: Any) -> None:
        """Schedule a call for the current time."""
        self.callLater(0, func, *args, **kwargs)

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> ListeningPort:
        """Listen on a TCP port; raise CannotListenError if it is in use."""
        if port == 0:
            port = self.machine.next_port()
        if port in self.machine.listeners:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        listener = self.machine.listeners[port] = ListeningSocket(self.network, port, backlog)
        return ListeningPort(self.machine, listener, factory)

    def listenUDP(
        self,
        port: int,
        protocol: Any,
        interface: str = "",
        maxPacketSize: int = 8192,  # noqa: N803 - Twisted's name
    ) -> DatagramPort:
        """Bind a UDP socket; raise CannotListenError if the port is in use."""
        if port == 0:
            port = self.machine.next_port()
        if port in self.machine.datagram_ports:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        datagram_port = self.machine.datagram_ports[port] = DatagramPort(
            self.machine, port, protocol, maxPacketSize
        )
        protocol.makeConnection(datagram_port)
        return datagram_port

    def adoptStreamPort(self, fileno: int, family: int, factory: Any) -> ListeningPort:
        """Accept connections on an inherited listening socket."""
        return ListeningPort(self.machine, self.machine.inherited_listeners[fileno], factory)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float | None = 30,
        bindAddress: object = None,  # noqa: N803 - Twisted's name
    ) -> Connector:
        """Start a connection attempt."""
        connector = Connector(self.machine, host, port, factory, timeout)
        connector.connect()
        return connector

    def stop(self) -> None:
        """End the process, at its own request."""
        self.running = False
        self.machine.running = False
        if self.on_stopped is not None:
            self.on_stopped()

    on_stopped: Callable[[], None] | None = None  # called when the process ends by itself

    def addSystemEventTrigger(self, *args: object) -> None:
        """Do nothing: a simulated process has no shutdown events."""
        pass


class ListeningSocket:
    """A listening socket of the kernel.

    Connections that the kernel has accepted wait in a queue until one of the processes that share
    the socket takes them.
    """

    def __init__(
        self, network: Network, port: int, backlog: int, outlives_processes: bool = False
    ) -> None:
        """Create the socket.

        `outlives_processes`: something other than the processes that read from it holds the socket
        open.
        """
        self.network = network
        self.port = port
        self.backlog = backlog
        self.outlives_processes = outlives_processes
        self.accept_queue: deque[Endpoint] = deque()
        self.ports: list[ListeningPort] = []

    def enqueue(self, endpoint: Endpoint) -> None:
        """Queue a connection that the kernel has accepted."""
        # No process has a descriptor for the connection yet.
        endpoint.machine.endpoints.pop(endpoint)
        self.accept_queue.append(endpoint)
        # All processes wake up; the first one takes the connection.
        for port in self.ports:
            self.network.call_at(self.network.now, port.machine, port.doRead)


class ListeningPort:
    """One process's reference to a listening socket."""

    def __init__(self, machine: Machine, listener: ListeningSocket, factory: Any) -> None:
        self.machine = machine
        self.listener = listener
        self.factory = factory
        self.sessionno = 0
        machine.listening_ports[self] = None
        listener.ports.append(self)
        # These connections were accepted by the kernel while no process read from the socket.
        for _ in listener.accept_queue:
            machine.network.call_at(machine.network.now, machine, self.doRead)
        factory.doStart()

    def getHost(self) -> IPv4Address:
        """Return the address that the socket is bound to."""
        return IPv4Address("TCP", self.machine.address, self.listener.port)

    def doRead(self) -> None:
        """Take one connection from the accept queue."""
        accept_queue = self.listener.accept_queue
        machine = self.machine
        if not accept_queue or self not in machine.listening_ports:
            return
        endpoint = accept_queue.popleft()
        if endpoint.is_closed:
            return
        endpoint.machine = machine
        machine.endpoints[endpoint] = None
        self.sessionno += 1
        if machine.open_descriptors > machine.descriptors:
            # On EMFILE, Twisted accepts the connection and closes it.
            endpoint.drop(reset=False)
            return
        protocol = self.factory.buildProtocol(endpoint.getPeer())
        if protocol is None:
            endpoint.drop(reset=False)
            return
        endpoint.open(protocol)

    def close(self) -> None:
        """Close the reference.

        With the last reference the socket is closed, too, and the connections in its accept queue
        are reset, unless the socket outlives its processes.
        """
        listener = self.listener
        self.machine.listening_ports.pop(self, None)
        listener.ports.remove(self)
        if not listener.ports and not listener.outlives_processes:
            self.machine.listeners.pop(listener.port, None)
            while listener.accept_queue:
                listener.accept_queue.popleft().drop(reset=True)

    def stopListening(self) -> None:
        """Close the port and notify its factory."""
        if self in self.machine.listening_ports:
            self.close()
            self.factory.doStop()


class DatagramPort:
    """A UDP socket: Twisted's `IUDPTransport`.

    Unread datagrams are buffered, up to `MAX_UNREAD_DATAGRAM_BYTES`.
    """

    def __init__(self, machine: Machine, port: int, protocol: Any, max_packet_bytes: int) -> None:
        self.machine = machine
        self.port = port
        self.protocol = protocol
        self.max_packet_bytes = max_packet_bytes
        self.receive_buffer: deque[tuple[bytes, tuple[str, int]]] = deque()
        self.unread_bytes = self.dropped = 0

    def getHost(self) -> IPv4Address:
        """Return the address that the socket is bound to."""
        return IPv4Address("UDP", self.machine.address, self.port)

    def write(self, data: bytes, addr: tuple[str, int] | None = None) -> None:
        """Send one datagram; raise OSError if it has no destination or is too long."""
        if addr is None or len(data) > MAX_DATAGRAM_BYTES:
            raise OSError(
                errno.EMSGSIZE if addr else errno.EDESTADDRREQ,
                f"datagram of {len(data)} bytes cannot be sent to {addr}",
            )
        network, source, (host, port) = (
            self.machine.network,
            (self.machine.address, self.port),
            addr,
        )

        def deliver() -> None:
            destination = network.machines[host].datagram_ports.get(port)
            if destination is not None:
                destination.datagram_arrives(bytes(data), source)

        # The headers of IP and UDP add 28 bytes.
        network.datagram(self.machine.address, host, len(data) + 28, deliver)

    def datagram_arrives(self, data: bytes, source: tuple[str, int]) -> None:
        """Buffer a datagram that has arrived at this machine's kernel."""
        if self.unread_bytes + len(data) > MAX_UNREAD_DATAGRAM_BYTES:
            self.dropped += 1
            return
        self.receive_buffer.append((data[: self.max_packet_bytes], source))
        self.unread_bytes += len(data)
        self.machine.network.call_at(self.machine.network.now, self.machine, self._read)

    def _read(self) -> None:
        if self.receive_buffer and self.protocol is not None:
            data, source = self.receive_buffer.popleft()
            self.unread_bytes -= len(data)
            self.protocol.datagramReceived(data, source)

    def close(self) -> None:
        """Close the socket; buffered datagrams are lost."""
        self.machine.datagram_ports.pop(self.port, None)
        self.protocol = None

    def stopListening(self) -> Deferred[None]:
        """Close the socket and notify its protocol."""
        protocol = self.protocol
        if protocol is not None:
            self.close()
            protocol.doStop()
        return succeed(None)


class Connector:
    """One outgoing connection attempt."""

    def __init__(
        self, machine: Machine, host: str, port: int, factory: Any, timeout: float | None
    ) -> None:
        self.machine = machine
        self.host = host
        self.port = port
        self.factory = factory
        self.timeout = timeout
        self.endpoint: Endpoint | None = None
        self.is_finished = False  # the attempt has succeeded or failed
        self._timer: DelayedCall | None = None

    def getDestination(self) -> IPv4Address:
        """Return the address to which the connector connects."""
        return IPv4Address("TCP", self.host, self.port)

    def connect(self) -> None:
        """Start the attempt."""
        machine = self.machine
        network = self.machine.network
        self.factory.doStart()
        self.factory.startedConnecting(self)
        if machine.open_descriptors >= machine.descriptors:
            error = ConnectBindError(errno.EMFILE, "too many open files")
            network.call_at(network.now, machine, self.fail, error)
            return
        machine.connectors[self] = None
        if self.timeout is not None:
            self._timer = network.call_at(
                network.now + self.timeout, machine, self.fail, TimeoutError()
            )
        network.send(machine.address, self.host, 60, self._syn_arrives)

    def _syn_arrives(self) -> None:
        """Handle the SYN in the kernel of the other machine, without an event of its processes."""
        if self.is_finished:
            return
        network = self.machine.network
        destination = self.machine.network.machines.get(self.host)
        if destination is None or not destination.attached:
            # Nobody answers.
            return
        listener = destination.listeners.get(self.port)
        impairment = network.link(self.machine.address, self.host).impairment
        if impairment.deaf:
            return
        if listener is None or impairment.refusing:
            network.send(self.host, self.machine.address, 60, self._refusal_arrives)
            return
        if len(listener.accept_queue) >= listener.backlog:
            # The kernel drops the SYN, as the backlog is full.
            return
        client_end, server_end = create_connection(self.machine, destination, self.port)
        listener.enqueue(server_end)
        network.send(self.host, self.machine.address, 60, lambda: self._syn_ack_arrives(client_end))

    def _refusal_arrives(self) -> None:
        self.machine.network.call_at(
            self.machine.network.now, self.machine, self.fail, ConnectionRefusedError()
        )

    def _syn_ack_arrives(self, client_end: Endpoint) -> None:
        if self.is_finished or not self.machine.attached:
            client_end.drop(reset=True)
            return
        self.endpoint = client_end
        self.machine.network.call_at(
            self.machine.network.now, self.machine, self._connected, client_end
        )

    def _connected(self, client_end: Endpoint) -> None:
        if self.is_finished:
            client_end.drop(reset=True)
            return
        self._finish()
        if client_end.is_closed:
            self.factory.clientConnectionFailed(self, Failure(ConnectionLost()))
            return
        protocol = self.factory.buildProtocol(client_end.getPeer())
        if protocol is None:
            client_end.drop(reset=False)
            return
        client_end.connector = self
        client_end.open(protocol)

    def _finish(self) -> None:
        self.is_finished = True
        self.machine.connectors.pop(self, None)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def fail(self, error: Exception) -> None:
        """Report the failure of the attempt, unless it is finished."""
        if not self.is_finished:
            self._finish()
            self.factory.clientConnectionFailed(self, Failure(error))

    def disconnect(self) -> None:
        """Cancel the attempt, or close its connection."""
        if self.endpoint is not None and self.is_finished:
            self.endpoint.loseConnection()
        else:
            self.fail(UserError())

    stopConnecting = disconnect  # noqa: N815 - Twisted's name

    def abandon(self) -> None:
        """End the attempt because its process died."""
        if not self.is_finished:
            self._finish()
        if self.endpoint is not None and not self.endpoint.is_closed:
            self.endpoint.drop(reset=True)
