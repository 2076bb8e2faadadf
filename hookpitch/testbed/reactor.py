"""What the programs of a machine in virtual time are given in place of Twisted's reactor.

`Reactor` is `IReactorTime` and the parts of `IReactorTCP` and `IReactorUDP` that they use; a
`Port` is a
process's hold on a listening socket, a `Connector` one dial, a `DatagramPort` a socket for
datagrams.

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
from hookpitch.testbed.simulated_tcp import End, pair

DATAGRAMS = 1 << 18  # bytes of them that wait at a socket; what comes beyond is lost
DATAGRAM_MOST = 65507  # bytes


class Reactor:
    """`IReactorTime` and the used part of `IReactorTCP` for the programs of one machine."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.world, self.running = machine, machine.world, True

    def seconds(self) -> float:
        return self.world.now

    def callLater(
        self, delay: float, func: Callable[..., object], *args: Any, **kw: Any
    ) -> DelayedCall:  # noqa: ANN401, N802
        return self.world.at(self.world.now + max(0.0, delay), self.machine, func, *args, **kw)

    def callFromThread(self, func: Callable[..., object], *args: Any, **kw: Any) -> None:  # noqa: ANN401, N802
        self.callLater(0, func, *args, **kw)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: ANN401, N802
        if port == 0:
            port = self.machine.port()
        if port in self.machine.listeners:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        listening = self.machine.listeners[port] = Listening(self.world, port, backlog)
        return Port(self.machine, listening, factory)

    def listenUDP(  # noqa: N802
        self,
        port: int,
        protocol: Any,
        interface: str = "",
        maxPacketSize: int = 8192,  # noqa: ANN401, N803
    ) -> DatagramPort:
        if port == 0:
            port = self.machine.port()
        if port in self.machine.sockets:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        made = self.machine.sockets[port] = DatagramPort(
            self.machine, port, protocol, maxPacketSize
        )
        protocol.makeConnection(made)
        return made

    def adoptStreamPort(self, fileno: int, family: int, factory: Any) -> Port:  # noqa: ANN401, N802
        return Port(self.machine, self.machine.handed[fileno], factory)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float | None = 30,  # noqa: ANN401, N802
        bindAddress: object = None,
    ) -> Connector:  # noqa: N803
        connector = Connector(self.machine, host, port, factory, timeout)
        connector.connect()
        return connector

    def stop(self) -> None:
        self.running = False
        self.machine.running = False
        if self.stopped is not None:
            self.stopped()

    stopped: Callable[[], None] | None = None  # told when the process ends by itself

    def addSystemEventTrigger(self, *args: object) -> None:  # noqa: N802
        pass


class Listening:
    """A listening socket in the kernel: what it has accepted waits for one of the processes that
    hold it."""

    def __init__(self, world: Network, port: int, backlog: int, kept: bool = False) -> None:
        """`kept`: somebody holds it beside the processes that read it, so it outlasts them."""
        self.world, self.port, self.backlog, self.kept = world, port, backlog, kept
        self.line: deque[End] = deque()
        self.ports: list[Port] = []

    def arrived(self, end: End) -> None:
        end.machine.ends.pop(end)  # no process's descriptor yet
        self.line.append(end)
        for port in self.ports:  # all wake, the first takes it
            self.world.at(self.world.now, port.machine, port.doRead)


class Port:
    """A process's hold on a listening socket."""

    def __init__(self, machine: Machine, listening: Listening, factory: Any) -> None:  # noqa: ANN401
        self.machine, self.listening, self.factory = machine, listening, factory
        self.sessionno = 0
        machine.ports[self] = None
        listening.ports.append(self)
        for _ in listening.line:  # accepted while nobody read
            machine.world.at(machine.world.now, machine, self.doRead)
        factory.doStart()

    def getHost(self) -> IPv4Address:  # noqa: N802
        return IPv4Address("TCP", self.machine.address, self.listening.port)

    def doRead(self) -> None:  # noqa: N802
        """Take one connection that the kernel has accepted."""
        line, machine = self.listening.line, self.machine
        if not line or self not in machine.ports:
            return
        end = line.popleft()
        if end.over:
            return
        end.machine = machine
        machine.ends[end] = None
        self.sessionno += 1
        if machine.held > machine.descriptors:
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
        self.machine.ports.pop(self, None)
        listening.ports.remove(self)
        if not listening.ports and not listening.kept:
            self.machine.listeners.pop(listening.port, None)
            while listening.line:
                listening.line.popleft().drop(reset=True)

    def stopListening(self) -> None:  # noqa: N802
        if self in self.machine.ports:
            self.close()
            self.factory.doStop()


class DatagramPort:
    """A socket for datagrams: Twisted's `IUDPTransport`. What comes unread waits, up to a bound."""

    def __init__(self, machine: Machine, port: int, protocol: Any, most: int) -> None:  # noqa: ANN401
        self.machine, self.port, self.protocol, self.most = machine, port, protocol, most
        self.kernel: deque[tuple[bytes, tuple[str, int]]] = deque()
        self.unread = self.overrun = 0

    def getHost(self) -> IPv4Address:  # noqa: N802
        return IPv4Address("UDP", self.machine.address, self.port)

    def write(self, data: bytes, addr: tuple[str, int] | None = None) -> None:
        if addr is None or len(data) > DATAGRAM_MOST:
            raise OSError(errno.EMSGSIZE if addr else errno.EDESTADDRREQ, "cannot be sent")
        world, here, (host, port) = self.machine.world, (self.machine.address, self.port), addr

        def arrive() -> None:
            there = world.machines[host].sockets.get(port)
            if there is not None:
                there.arrived(bytes(data), here)

        world.datagram(self.machine.address, host, len(data) + 28, arrive)

    def arrived(self, data: bytes, whence: tuple[str, int]) -> None:
        """It has come to this machine's kernel."""
        if self.unread + len(data) > DATAGRAMS:
            self.overrun += 1
            return
        self.kernel.append((data[: self.most], whence))
        self.unread += len(data)
        self.machine.world.at(self.machine.world.now, self.machine, self._read)

    def _read(self) -> None:
        if self.kernel and self.protocol is not None:
            data, whence = self.kernel.popleft()
            self.unread -= len(data)
            self.protocol.datagramReceived(data, whence)

    def close(self) -> None:
        self.machine.sockets.pop(self.port, None)
        self.protocol = None

    def stopListening(self) -> Deferred[None]:  # noqa: N802
        protocol = self.protocol
        if protocol is not None:
            self.close()
            protocol.doStop()
        return succeed(None)


class Connector:
    """One dial."""

    def __init__(
        self, machine: Machine, host: str, port: int, factory: Any, timeout: float | None
    ) -> None:  # noqa: ANN401
        self.machine, self.host, self.port, self.factory, self.timeout = (
            machine,
            host,
            port,
            factory,
            timeout,
        )
        self.end: End | None = None
        self.over = False
        self._timer: DelayedCall | None = None

    def getDestination(self) -> IPv4Address:  # noqa: N802
        return IPv4Address("TCP", self.host, self.port)

    def connect(self) -> None:
        machine, world = self.machine, self.machine.world
        self.factory.doStart()
        self.factory.startedConnecting(self)
        if machine.held >= machine.descriptors:
            fault = ConnectBindError(errno.EMFILE, "too many open files")
            world.at(world.now, machine, self.failed, fault)
            return
        machine.dials[self] = None
        if self.timeout is not None:
            self._timer = world.at(world.now + self.timeout, machine, self.failed, TimeoutError())
        world.send(machine.address, self.host, 60, self._knock)

    def _knock(self) -> None:
        """The first packet has come to the other machine, seen by its kernel alone."""
        if self.over:
            return
        world, there = self.machine.world, self.machine.world.machines.get(self.host)
        if there is None or not there.present:
            return  # nobody answers
        port = there.listeners.get(self.port)
        spoil = world.link(self.machine.address, self.host).spoil
        if spoil.deaf:
            return
        if port is None or spoil.refusing:
            world.send(self.host, self.machine.address, 60, self._refused)
            return
        if len(port.line) >= port.backlog:
            return  # the kernel drops it
        near, far = pair(self.machine, there, self.port)
        port.arrived(far)
        world.send(self.host, self.machine.address, 60, lambda: self._up(near))

    def _refused(self) -> None:
        self.machine.world.at(
            self.machine.world.now, self.machine, self.failed, ConnectionRefusedError()
        )

    def _up(self, near: End) -> None:
        if self.over or not self.machine.present:
            near.drop(reset=True)
            return
        self.end = near
        self.machine.world.at(self.machine.world.now, self.machine, self._made, near)

    def _made(self, near: End) -> None:
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
        self.machine.dials.pop(self, None)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def failed(self, fault: Exception) -> None:
        if not self.over:
            self._finish()
            self.factory.clientConnectionFailed(self, Failure(fault))

    def disconnect(self) -> None:
        if self.end is not None and self.over:
            self.end.loseConnection()
        else:
            self.failed(UserError())

    stopConnecting = disconnect  # noqa: N815

    def forget(self) -> None:
        """Its process is no more."""
        if not self.over:
            self._finish()
        if self.end is not None and not self.end.over:
            self.end.drop(reset=True)
