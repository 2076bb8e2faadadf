"""What the programs of a machine in virtual time are given in place of Twisted's reactor.

`Reactor` is `IReactorTime` and the parts of `IReactorTCP` and `IReactorUDP` that they use; a `Port`
is a process's hold on a listening socket, a `Connector` one dial, a `DatagramPort` a socket for
datagrams. Times in seconds.

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
from hookpitch.testbed.simulated_tcp import Endpoint, pair

MAX_UNREAD_DATAGRAM_BYTES = (
    1 << 18
)  # bytes of them that wait at a socket; what comes beyond is lost
DATAGRAM_MOST = 65507  # bytes


class Reactor:
    """`IReactorTime` and the used part of `IReactorTCP` for the programs of one machine."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.network = machine.network
        self.running = True

    def seconds(self) -> float:
        """The time, in seconds."""
        return self.network.now

    def callLater(
        self, delay: float, func: Callable[..., object], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Schedule a call for this machine's process."""
        return self.network.call_at(
            self.network.now + max(0.0, delay), self.machine, func, *args, **kw
        )

    def callFromThread(self, func: Callable[..., object], *args: Any, **kw: Any) -> None:
        """Schedule a call for now."""
        self.callLater(0, func, *args, **kw)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:
        """Listen; CannotListenError where the port is taken."""
        if port == 0:
            port = self.machine.next_port()
        if port in self.machine.listeners:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        listening = self.machine.listeners[port] = Listening(self.network, port, backlog)
        return Port(self.machine, listening, factory)

    def listenUDP(
        self,
        port: int,
        protocol: Any,
        interface: str = "",
        maxPacketSize: int = 8192,  # noqa: N803 - Twisted's name
    ) -> DatagramPort:
        """Bind a datagram socket; CannotListenError where the port is taken."""
        if port == 0:
            port = self.machine.next_port()
        if port in self.machine.datagram_ports:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        made = self.machine.datagram_ports[port] = DatagramPort(
            self.machine, port, protocol, maxPacketSize
        )
        protocol.makeConnection(made)
        return made

    def adoptStreamPort(self, fileno: int, family: int, factory: Any) -> Port:
        """Accept at a listening socket that was handed down."""
        return Port(self.machine, self.machine.inherited_listeners[fileno], factory)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float | None = 30,
        bindAddress: object = None,  # noqa: N803 - Twisted's name
    ) -> Connector:
        """Dial."""
        connector = Connector(self.machine, host, port, factory, timeout)
        connector.connect()
        return connector

    def stop(self) -> None:
        """The process ends by itself."""
        self.running = False
        self.machine.running = False
        if self.stopped is not None:
            self.stopped()

    stopped: Callable[[], None] | None = None  # told when the process ends by itself

    def addSystemEventTrigger(self, *args: object) -> None:
        """Nothing: a simulated process has no shutdown of its own."""
        pass


class Listening:
    """A listening socket in the kernel: what it has accepted waits for one of the processes that
    hold it."""

    def __init__(self, network: Network, port: int, backlog: int, kept: bool = False) -> None:
        """`kept`: somebody holds it beside the processes that read it, so it outlasts them."""
        self.network = network
        self.port = port
        self.backlog = backlog
        self.kept = kept
        self.line: deque[Endpoint] = deque()
        self.ports: list[Port] = []

    def arrived(self, end: Endpoint) -> None:
        """A connection was accepted by the kernel."""
        end.machine.endpoints.pop(end)  # no process's descriptor yet
        self.line.append(end)
        for port in self.ports:  # all wake, the first takes it
            self.network.call_at(self.network.now, port.machine, port.doRead)


class Port:
    """A process's hold on a listening socket."""

    def __init__(self, machine: Machine, listening: Listening, factory: Any) -> None:
        self.machine = machine
        self.listening = listening
        self.factory = factory
        self.sessionno = 0
        machine.listening_ports[self] = None
        listening.ports.append(self)
        for _ in listening.line:  # accepted while nobody read
            machine.network.call_at(machine.network.now, machine, self.doRead)
        factory.doStart()

    def getHost(self) -> IPv4Address:
        """The address it is bound to."""
        return IPv4Address("TCP", self.machine.address, self.listening.port)

    def doRead(self) -> None:
        """Take one connection that the kernel has accepted."""
        line = self.listening.line
        machine = self.machine
        if not line or self not in machine.listening_ports:
            return
        end = line.popleft()
        if end.over:
            return
        end.machine = machine
        machine.endpoints[end] = None
        self.sessionno += 1
        if machine.open_descriptors > machine.descriptors:
            end.drop(reset=False)  # Twisted's way out of EMFILE: accept and close
            return
        protocol = self.factory.buildProtocol(end.getPeer())
        if protocol is None:
            end.drop(reset=False)
            return
        end.open(protocol)

    def close(self) -> None:
        """Where nobody else holds the socket, what the kernel had accepted is reset with it."""
        listening = self.listening
        self.machine.listening_ports.pop(self, None)
        listening.ports.remove(self)
        if not listening.ports and not listening.kept:
            self.machine.listeners.pop(listening.port, None)
            while listening.line:
                listening.line.popleft().drop(reset=True)

    def stopListening(self) -> None:
        """Close it."""
        if self in self.machine.listening_ports:
            self.close()
            self.factory.doStop()


class DatagramPort:
    """A socket for datagrams: Twisted's `IUDPTransport`. What comes unread waits, up to a bound."""

    def __init__(self, machine: Machine, port: int, protocol: Any, most: int) -> None:
        self.machine = machine
        self.port = port
        self.protocol = protocol
        self.most = most
        self.kernel: deque[tuple[bytes, tuple[str, int]]] = deque()
        self.unread = self.dropped = 0

    def getHost(self) -> IPv4Address:
        """The address it is bound to."""
        return IPv4Address("UDP", self.machine.address, self.port)

    def write(self, data: bytes, addr: tuple[str, int] | None = None) -> None:
        """Send one datagram; OSError where it cannot be sent."""
        if addr is None or len(data) > DATAGRAM_MOST:
            raise OSError(errno.EMSGSIZE if addr else errno.EDESTADDRREQ, "cannot be sent")
        network, here, (host, port) = self.machine.network, (self.machine.address, self.port), addr

        def arrive() -> None:
            there = network.machines[host].datagram_ports.get(port)
            if there is not None:
                there.arrived(bytes(data), here)

        network.datagram(self.machine.address, host, len(data) + 28, arrive)

    def arrived(self, data: bytes, whence: tuple[str, int]) -> None:
        """It has come to this machine's kernel."""
        if self.unread + len(data) > MAX_UNREAD_DATAGRAM_BYTES:
            self.dropped += 1
            return
        self.kernel.append((data[: self.most], whence))
        self.unread += len(data)
        self.machine.network.call_at(self.machine.network.now, self.machine, self._read)

    def _read(self) -> None:
        if self.kernel and self.protocol is not None:
            data, whence = self.kernel.popleft()
            self.unread -= len(data)
            self.protocol.datagramReceived(data, whence)

    def close(self) -> None:
        """Close it; what it held is lost."""
        self.machine.datagram_ports.pop(self.port, None)
        self.protocol = None

    def stopListening(self) -> Deferred[None]:
        """Close it."""
        protocol = self.protocol
        if protocol is not None:
            self.close()
            protocol.doStop()
        return succeed(None)


class Connector:
    """One dial."""

    def __init__(
        self, machine: Machine, host: str, port: int, factory: Any, timeout: float | None
    ) -> None:
        self.machine = machine
        self.host = host
        self.port = port
        self.factory = factory
        self.timeout = timeout
        self.end: Endpoint | None = None
        self.over = False
        self._timer: DelayedCall | None = None

    def getDestination(self) -> IPv4Address:
        """The address it dials."""
        return IPv4Address("TCP", self.host, self.port)

    def connect(self) -> None:
        """Begin the dial."""
        machine = self.machine
        network = self.machine.network
        self.factory.doStart()
        self.factory.startedConnecting(self)
        if machine.open_descriptors >= machine.descriptors:
            fault = ConnectBindError(errno.EMFILE, "too many open files")
            network.call_at(network.now, machine, self.failed, fault)
            return
        machine.connectors[self] = None
        if self.timeout is not None:
            self._timer = network.call_at(
                network.now + self.timeout, machine, self.failed, TimeoutError()
            )
        network.send(machine.address, self.host, 60, self._knock)

    def _knock(self) -> None:
        """The first packet has come to the other machine, seen by its kernel alone."""
        if self.over:
            return
        network = self.machine.network
        there = self.machine.network.machines.get(self.host)
        if there is None or not there.attached:
            return  # nobody answers
        port = there.listeners.get(self.port)
        impairment = network.link(self.machine.address, self.host).impairment
        if impairment.deaf:
            return
        if port is None or impairment.refusing:
            network.send(self.host, self.machine.address, 60, self._refused)
            return
        if len(port.line) >= port.backlog:
            return  # the kernel drops it
        near, far = pair(self.machine, there, self.port)
        port.arrived(far)
        network.send(self.host, self.machine.address, 60, lambda: self._up(near))

    def _refused(self) -> None:
        self.machine.network.call_at(
            self.machine.network.now, self.machine, self.failed, ConnectionRefusedError()
        )

    def _up(self, near: Endpoint) -> None:
        if self.over or not self.machine.attached:
            near.drop(reset=True)
            return
        self.end = near
        self.machine.network.call_at(self.machine.network.now, self.machine, self._made, near)

    def _made(self, near: Endpoint) -> None:
        if self.over:
            near.drop(reset=True)
            return
        self._finish()
        if near.over:
            self.factory.clientConnectionFailed(self, Failure(ConnectionLost()))
            return
        protocol = self.factory.buildProtocol(near.getPeer())
        if protocol is None:
            near.drop(reset=False)
            return
        near.connector = self
        near.open(protocol)

    def _finish(self) -> None:
        self.over = True
        self.machine.connectors.pop(self, None)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def failed(self, fault: Exception) -> None:
        """The dial has failed, unless it is over."""
        if not self.over:
            self._finish()
            self.factory.clientConnectionFailed(self, Failure(fault))

    def disconnect(self) -> None:
        """Give up the dial, or close its connection."""
        if self.end is not None and self.over:
            self.end.loseConnection()
        else:
            self.failed(UserError())

    stopConnecting = disconnect  # noqa: N815 - Twisted's name

    def forget(self) -> None:
        """Its process is no more."""
        if not self.over:
            self._finish()
        if self.end is not None and not self.end.over:
            self.end.drop(reset=True)
