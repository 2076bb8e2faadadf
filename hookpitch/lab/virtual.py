"""Machines, links and TCP in virtual time: a reactor for each machine, one order of events for all.

What it is: a `World` holds one heap of events, ordered by time and by the number in which they were asked
for; nothing else moves time. A `Machine` has an address, listeners, descriptors and, where one is given, a
CPU that its events use up. A `Reactor` is what the programs of one machine are given in place of
Twisted's: `IReactorTime` and the part of `IReactorTCP` that they use. A connection is two `End`s; what one
writes goes through a bounded send buffer, over a link, into the bounded receive buffer of the other's
kernel, and is read in the other's turn.

Invariants: bytes of a direction arrive in order, once, whole, or not at all; what was in flight plus what
stands unread never exceeds `KERNEL`; every `End` ends with exactly one `connectionLost` unless its machine
vanished. One seed is one history: chance comes from one generator, and nothing asks the wall clock.

Sources: Twisted's interfaces; RFC 9293 for resets, half-closes and zero windows; socket(7) and tcp(7)
of Linux for what a close with unread bytes does.
"""

from __future__ import annotations

import errno
import heapq
import random
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import (
    AlreadyCalled,
    CannotListenError,
    ConnectBindError,
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
    UserError,
)
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from hookpitch.lab.links import AGAIN_MOST, AGAIN_MS, CLEAN, Spoil, Spoils

KERNEL = 1 << 18  # bytes of a direction that are in flight or unread at the most
SEGMENT = 1 << 14  # bytes that travel together
READ = 1 << 16  # bytes read in one turn
FAR = float("inf")
DIAL_AGAIN = 5  # times as late as the rest is a dial's first packet sent again
DATAGRAMS = 1 << 18  # bytes of them that wait at a socket; what comes beyond is lost
DATAGRAM_MOST = 65507  # bytes


class Call:
    """One event: Twisted's `IDelayedCall`."""

    __slots__ = ("world", "machine", "time", "n", "func", "args", "kw", "life")

    def __init__(
        self,
        world: World,
        machine: Machine | None,
        time: float,
        func: Callable[..., object],
        args: tuple[Any, ...],
        kw: dict[str, Any],
    ) -> None:
        self.world, self.machine, self.time, self.func, self.args, self.kw = (
            world,
            machine,
            time,
            func,
            args,
            kw,
        )
        self.n = world.number()
        self.life = machine.life if machine is not None else 0

    def getTime(self) -> float:  # noqa: N802
        return self.time

    def active(self) -> bool:
        return self.func is not None

    def cancel(self) -> None:
        if self.func is None:
            raise AlreadyCalled
        self.func = None  # type: ignore[assignment]

    def reset(self, seconds: float) -> None:
        self._move(self.world.now + seconds)

    def delay(self, seconds: float) -> None:
        self._move(self.time + seconds)

    def _move(self, time: float) -> None:
        if self.func is None:
            raise AlreadyCalled
        again = Call(self.world, self.machine, time, self.func, self.args, self.kw)
        # The place in the heap cannot move: this object takes the new one, a husk keeps the old.
        husk = self.world.places.pop(self.n, None)
        if husk is not None:
            husk[2] = None
        self.time, self.n = time, again.n
        self.world.push(self)


class World:
    """All machines and links, and the one order of events. Times in seconds."""

    def __init__(self, seed: int, epoch: float = 1.7e9) -> None:
        """`epoch`: Unix time at the start, in seconds."""
        self.seed, self.epoch, self.now = seed, epoch, 0.0
        self.chance = random.Random(seed)
        self._heap: list[list[Any]] = []
        self.places: dict[int, list[Any]] = {}
        self._count = 0
        self.events = 0  # carried out so far
        self.machines: dict[str, Machine] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.plain = Link(0.0002)
        self._spoils = Spoils()
        self.faults: list[str] = []  # what programs raised
        self.closed: Callable[[End], None] | None = None  # told of each end that is closed
        self.unheard: Callable[[End], None] | None = None  # and of bytes that came to one that was

    def number(self) -> int:
        self._count += 1
        return self._count

    def push(self, call: Call) -> None:
        place = [call.time, call.n, call]
        self.places[call.n] = place
        heapq.heappush(self._heap, place)

    def at(
        self,
        time: float,
        machine: Machine | None,
        func: Callable[..., object],
        *args: Any,  # noqa: ANN401
        **kw: Any,
    ) -> Call:  # noqa: ANN401
        """`func(*args)` is due at `time`, as an event of `machine` (None: of the world itself)."""
        call = Call(self, machine, max(time, self.now), func, args, kw)
        self.push(call)
        return call

    def run(self, until: float) -> None:
        """Carry out all events up to `until`."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            time, n, call = heapq.heappop(heap)
            self.places.pop(n, None)
            if call is None or call.func is None:
                continue
            machine = call.machine
            if machine is not None:
                if call.life != machine.life:  # of a process that is no more
                    continue
                if machine.free_at > time or machine.waiting:
                    # The machine is at work or stopped: its events wait, in their order.
                    machine.waiting.append((call, n))
                    machine.wake()
                    continue
            self.now = max(self.now, time)
            self._do(call, machine)
        self.now = max(self.now, until)

    def _do(self, call: Call, machine: Machine | None) -> None:
        func, call.func = call.func, None  # type: ignore[assignment]
        self.events += 1
        try:
            func(*call.args, **call.kw)
            if machine is not None and machine.event_cost:
                machine.spend(machine.event_cost)
        except Exception as fault:  # noqa: BLE001 - as a reactor does: told, and the next event
            self.faults.append(f"{self.now:.6f} {fault!r}")
            if self.raising:
                raise

    raising = True  # a program's fault ends the run

    # ---- machines and links

    def machine(self, address: str, **given: Any) -> Machine:  # noqa: ANN401
        if address not in self.machines:
            self.machines[address] = Machine(self, address, **given)
        return self.machines[address]

    def link(self, a: str, b: str) -> Link:
        """The way from machine a to machine b."""
        found = self.links.get((a, b))
        return found if found is not None else self.plain

    def connect(self, a: str, b: str, delay: float, jitter: float = 0.0, bandwidth: float = FAR) -> None:
        """Both ways between two machines: seconds, seconds at the most, bytes a second."""
        for pair in ((a, b), (b, a)):
            self.links[pair] = Link(delay, jitter, bandwidth)

    def own(self, a: str, b: str) -> Link:
        """The way from a to b as one that can be spoilt without touching others."""
        if (a, b) not in self.links:
            plain = self.plain
            self.links[a, b] = Link(plain.delay, plain.jitter, plain.bandwidth)
        return self.links[a, b]

    # ---- packets

    def send(
        self,
        a: str,
        b: str,
        size: int,
        arrive: Callable[[], None],
        end: End | None = None,
        once: bool = False,
    ) -> None:
        """A packet of so many bytes goes from a to b; `arrive` is called where and when it comes. What
        is lost on the way is sent again, as TCP does, as long as its end stands; `once`: it is not
        (a reset)."""
        link = self.link(a, b)
        here = self.machines.get(a)
        if (here is not None and not here.present) or b not in self.machines:
            return
        if link.spoil.silent:
            self._hold(link, (a, b, size, arrive, end), once)
            return
        when, lost = self._arrival(link, size), False
        if link.spoil.loss:
            again = AGAIN_MS / 1000 * (1 if end is not None else DIAL_AGAIN)
            for n in range(AGAIN_MOST):
                if self.chance.random() >= link.spoil.loss:
                    break
                when, lost = when + again * 2**n, True
        if end is not None:  # TCP keeps the order of a direction
            when = end.last_arrival = max(when, end.last_arrival)
        self.at(when, None, self._arrived, a, b, size, arrive, end, once, lost)

    def _arrived(
        self,
        a: str,
        b: str,
        size: int,
        arrive: Callable[[], None],
        end: End | None,
        once: bool,
        lost: bool,
    ) -> None:
        link = self.link(a, b)
        # Danger: a kernel that has reset a connection sends nothing of it again.
        if lost and end is not None and end.aborted and not once:
            return
        if link.spoil.silent:  # cut while it was on its way
            self._hold(link, (a, b, size, arrive, end), once)
        elif self.machines[b].present:
            arrive()

    def _arrival(self, link: Link, size: int) -> float:
        """When a packet that is sent now comes, if it is not lost."""
        spoil = link.spoil
        start, width = max(self.now, link.free_at), min(link.bandwidth, spoil.bandwidth)
        if width < FAR:
            link.free_at = start = start + size / width
        jitter = link.jitter + spoil.jitter_ms / 1000
        return start + link.delay + spoil.delay_ms / 1000 + (self.chance.random() * jitter if jitter else 0.0)

    def _hold(self, link: Link, packet: tuple[Any, ...], once: bool) -> None:
        end = packet[4]
        if once:
            return
        if end is not None and not link.spoil.kept:
            link.torn[end] = None
        else:
            link.held.append(packet)

    def datagram(self, a: str, b: str, size: int, arrive: Callable[[], None]) -> None:
        """Like `send`, for what nobody sends again: it comes once, twice, late or never."""
        link, here = self.link(a, b), self.machines.get(a)
        if (here is not None and not here.present) or b not in self.machines:
            return
        spoil = link.spoil
        if spoil.silent or (spoil.loss and self.chance.random() < spoil.loss):
            return
        for _ in range(2 if spoil.repeat and self.chance.random() < spoil.repeat else 1):
            when = self._arrival(link, size)
            if spoil.reorder and self.chance.random() < spoil.reorder:
                when += 2 * (link.delay + spoil.delay_ms / 1000)  # what is sent meanwhile overtakes it
            self.at(when, None, self._datagram_arrived, a, b, arrive)

    def _datagram_arrived(self, a: str, b: str, arrive: Callable[[], None]) -> None:
        if not self.link(a, b).spoil.silent and self.machines[b].present:
            arrive()

    def spoil(self, a: str, b: str, by: object, spoil: Spoil | None) -> None:
        """What `by` does to the way from a to b from now on; None: nothing any more. At the end of a silence,
        what it held back is sent, in its order, or its connections break."""
        link = self.own(a, b)
        silent = link.spoil.silent
        link.spoil = self._spoils.lift((a, b), by) if spoil is None else self._spoils.put((a, b), by, spoil)
        if not silent or link.spoil.silent:
            return
        held, torn = link.held, link.torn
        link.held, link.torn = [], {}
        for end in torn:
            for one in (end, end.peer):
                one.drop(reset=False, told=True)
        for packet in held:
            end = packet[4]
            # A kernel that has reset a connection sends nothing of it again.
            if end is None or not (end.aborted or end in torn):
                self.send(*packet)

    def silence(self, a: str, b: str) -> None:
        """Nothing gets through from a to b until it is healed."""
        self.spoil(a, b, "silence", Spoil(silent=True))

    def heal(self, a: str, b: str) -> None:
        self.spoil(a, b, "silence", None)

    def sever(self, a: str, b: str) -> None:
        """All connections between two machines are reset, at both ends."""
        for end in [end for m in self.at_address(a) for end in m.ends]:
            if end.peer_address == b:
                for one in (end, end.peer):
                    one.drop(reset=False, told=True)

    def at_address(self, address: str) -> list[Machine]:
        """The processes there: a machine, and those beside it."""
        first = self.machines.get(address)
        return [] if first is None else [first, *first.others]


@dataclass(slots=True)
class Link:
    """One direction between two machines."""

    delay: float  # seconds
    jitter: float = 0.0  # seconds at the most, on top
    bandwidth: float = FAR  # bytes a second
    spoil: Spoil = CLEAN  # what faults make of it
    free_at: float = 0.0
    held: list[tuple[Any, ...]] = field(
        default_factory=list
    )  # what a silence holds back: arguments of `send`
    torn: dict[End, None] = field(default_factory=dict)  # whose bytes it swallowed


class Machine:
    """One address and one process there: its descriptors and its part of a core. A second process at the same
    address is a `Machine` of its own, made by `beside`: the kernel's listening sockets are common to both."""

    def __init__(self, world: World, address: str, descriptors: int = 1 << 20) -> None:
        self.world, self.address, self.descriptors = world, address, descriptors
        self.listeners: dict[int, Listening] = {}  # the kernel's, of all processes here
        self.handed: dict[int, Listening] = {}  # by descriptor: handed down to every process here
        self.ports: dict[Port, None] = {}  # this process's
        self.sockets: dict[int, DatagramPort] = {}  # for datagrams, of all processes here
        self.others: list[Machine] = []  # processes beside this one
        self.ends: dict[End, None] = {}
        self.dials: dict[Connector, None] = {}
        self.present, self.running = True, True
        self.life = 0  # of its process; what an earlier one asked for is not done
        self.free_at, self.used = 0.0, 0.0  # until when it is at work or stopped; seconds of CPU used
        self.event_cost = 0.0  # seconds of CPU that each of its events takes
        self.waiting: deque[tuple[Call, int]] = deque()  # events that were due while it was not free
        self._waking = False
        self._ports = [40000]
        self.reactor = Reactor(self)

    @property
    def held(self) -> int:
        return len(self.ends) + len(self.dials) + len(self.ports)

    def beside(self) -> Machine:
        """Another process at this address, with descriptors and a part of a core of its own."""
        other = Machine(self.world, self.address, self.descriptors)
        other.listeners, other.handed, other._ports = self.listeners, self.handed, self._ports
        other.sockets, other.others = self.sockets, self.others
        self.others.append(other)
        other.event_cost = self.event_cost
        return other

    def hand_down(self, descriptor: int, port: int, backlog: int) -> None:
        """A socket listens that no process here owns; each can adopt it, and it outlasts them all."""
        self.handed[descriptor] = self.listeners[port] = Listening(self.world, port, backlog, kept=True)

    def spend(self, seconds: float) -> None:
        """The event that is on takes so much of the CPU: what comes next waits."""
        self.used += seconds
        self.free_at = max(self.free_at, self.world.now) + seconds

    def wake(self) -> None:
        """See to it that what waits is gone on with once the machine is free."""
        if not self._waking and self.waiting:
            self._waking = True
            self.world.at(max(self.free_at, self.world.now), None, self._woken)

    def _woken(self) -> None:
        self._waking = False
        while self.waiting and self.free_at <= self.world.now:
            call, n = self.waiting.popleft()
            if (
                call.func is not None and call.n == n and call.life == self.life
            ):  # neither cancelled nor moved
                self.world._do(call, self)
        self.wake()

    def stop(self, seconds: float) -> None:
        """The process is stopped for so long; no CPU is used."""
        self.free_at = max(self.free_at, self.world.now + seconds)

    def kill(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        self.life += 1
        self.running, self.free_at = False, self.world.now
        for end in list(self.ends):
            end.drop(reset=True)
        for dial in list(self.dials):
            dial.forget()
        for port in list(self.ports):
            port.close()
        for socket in [s for s in self.sockets.values() if s.machine is self]:
            socket.close()
        self.reactor = Reactor(self)

    def start(self) -> Reactor:
        """A new process: its reactor."""
        self.running = True
        return self.reactor

    def vanish(self) -> None:
        """The machine is off the network and says nothing."""
        self.present = False

    def come_back(self) -> None:
        """It is back as it was; what was sent to it meanwhile is lost, and open connections are reset."""
        self.present = True
        for end in list(self.ends):
            end.drop(reset=True, told=True)

    def port(self) -> int:
        self._ports[0] += 1
        return self._ports[0]


class Reactor:
    """`IReactorTime` and the used part of `IReactorTCP` for the programs of one machine."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.world, self.running = machine, machine.world, True

    def seconds(self) -> float:
        return self.world.now

    def callLater(self, delay: float, func: Callable[..., object], *args: Any, **kw: Any) -> Call:  # noqa: ANN401, N802
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
        self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192  # noqa: ANN401, N803
    ) -> DatagramPort:
        if port == 0:
            port = self.machine.port()
        if port in self.machine.sockets:
            raise CannotListenError(interface, port, OSError(errno.EADDRINUSE, "address in use"))
        made = self.machine.sockets[port] = DatagramPort(self.machine, port, protocol, maxPacketSize)
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
    """A listening socket in the kernel: what it has accepted waits for one of the processes that hold it."""

    def __init__(self, world: World, port: int, backlog: int, kept: bool = False) -> None:
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

    def __init__(self, machine: Machine, host: str, port: int, factory: Any, timeout: float | None) -> None:  # noqa: ANN401
        self.machine, self.host, self.port, self.factory, self.timeout = machine, host, port, factory, timeout
        self.end: End | None = None
        self.over = False
        self._timer: Call | None = None

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
        self.machine.world.at(self.machine.world.now, self.machine, self.failed, ConnectionRefusedError())

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


def pair(a: Machine, b: Machine, port: int) -> tuple[End, End]:
    """The two ends of a new connection."""
    near, far = End(a, a.port(), b.address, port), End(b, port, a.address, 0)
    near.peer, far.peer, far.peer_port = far, near, near.port
    return near, far


class _Socket:
    """What programs ask a connection's socket: whether bytes stand unread, and since when."""

    __slots__ = ("end",)

    def __init__(self, end: End) -> None:
        self.end = end

    def recv(self, count: int, flags: int = 0) -> bytes:
        if self.end.kernel:
            return bytes(self.end.kernel[0][:count])
        if self.end.ended or self.end.was_reset:
            return b""
        raise BlockingIOError

    def getsockopt(self, level: int, option: int, size: int = 0) -> bytes:
        """TCP_INFO: of Linux' struct tcp_info only tcpi_last_data_recv, in milliseconds."""
        age = max(0.0, self.end.machine.world.now - self.end.came_at) * 1000
        return struct.pack("14I", *[0] * 13, int(age))


class End:
    """One end of a connection: Twisted's `ITCPTransport`."""

    TLS = False

    def __init__(self, machine: Machine, port: int, peer_address: str, peer_port: int) -> None:
        self.machine, self.port, self.peer_address, self.peer_port = machine, port, peer_address, peer_port
        self.peer: End = self
        self.protocol: Any = None
        self.connector: Connector | None = None
        self.socket = _Socket(self)
        self.out: deque[bytes] = deque()  # handed over by the program, not yet sent
        self.kernel: deque[bytes] = deque()  # arrived, unread
        self.unread, self.travelling = 0, 0  # bytes: arrived here; sent from here and not yet read there
        self.came_at, self.last_arrival = machine.world.now, 0.0
        self.ended = False  # the peer's end of sending has arrived
        self.was_reset = False
        self.over = self.aborted = False  # this end's socket is closed; with a reset
        self.connected, self.disconnecting, self.reading = True, False, True
        self.sent_end = False
        self.producer: Any = None
        self.streaming = False
        self._reading_due = self._feeding = False
        self._told_end = False
        machine.ends[self] = None

    # ---- what programs call

    def getHost(self) -> IPv4Address:  # noqa: N802
        return IPv4Address("TCP", self.machine.address, self.port)

    def getPeer(self) -> IPv4Address:  # noqa: N802
        return IPv4Address("TCP", self.peer_address, self.peer_port)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        pass

    def write(self, data: bytes) -> None:
        if self.over or self.disconnecting or self.sent_end or not data:
            return
        self.out.append(bytes(data))
        self.pump()

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        self.write(b"".join(data))

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: ANN401, N802
        if self.producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.over:
            producer.stopProducing()
            return
        self.producer, self.streaming = producer, streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        self.producer = None
        if self.disconnecting:
            self._close_if_sent()

    def pauseProducing(self) -> None:  # noqa: N802
        self.reading = False

    stopReading = pauseProducing  # noqa: N815

    def resumeProducing(self) -> None:  # noqa: N802
        if not self.over and not self.disconnecting:
            self.reading = True
            self._read_soon()

    startReading = resumeProducing  # noqa: N815

    def loseConnection(self) -> None:  # noqa: N802
        if not self.over and not self.disconnecting:
            self.disconnecting, self.reading = True, False
            self._close_if_sent()

    def loseWriteConnection(self) -> None:  # noqa: N802
        if not self.over and not self.sent_end:
            self._half = True
            self._end_sending()

    def abortConnection(self) -> None:  # noqa: N802
        if not self.over:
            self.disconnecting, self.reading = True, False
            self.machine.world.at(self.machine.world.now, self.machine, self._aborted)

    _half = False

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """As Twisted's transports: closed at once, for the reason given."""
        self._lost(reason.value, reset=reason.check(ConnectionAborted) is not None)

    # ---- within

    def open(self, protocol: Any) -> None:  # noqa: ANN401
        self.protocol = protocol
        protocol.makeConnection(self)
        self._read_soon()

    def _aborted(self) -> None:
        self._lost(ConnectionAborted(), reset=True)

    def pump(self) -> None:
        """Send as much as the other end's buffer takes."""
        world = self.machine.world
        while self.out and self.travelling + self.peer.unread < KERNEL and not self.over:
            data = self.out.popleft()
            if len(data) > SEGMENT:
                self.out.appendleft(data[SEGMENT:])
                data = data[:SEGMENT]
            self.travelling += len(data)
            world.send(self.machine.address, self.peer_address, len(data) + 40, self._carry(data), self)
        if not self.out:
            if self.producer is not None and not self._feeding:
                self._feeding = True
                world.at(world.now, self.machine, self._feed)
            if self.disconnecting:
                self._close_if_sent()
            elif self._half and not self.sent_end:
                self._end_sending()

    def _carry(self, data: bytes) -> Callable[[], None]:
        return lambda: self.peer.arrive(data)

    def _feed(self) -> None:
        self._feeding = False
        if self.producer is not None and not self.out and not self.over:
            self.producer.resumeProducing()

    def arrive(self, data: bytes) -> None:
        """Bytes have come to this machine's kernel."""
        peer, world = self.peer, self.machine.world
        if not self.machine.present:
            return
        peer.travelling -= len(data)
        if self.over:
            if world.unheard is not None:
                world.unheard(self)
            peer.reset_by_peer(self.machine)
            return
        self.kernel.append(data)
        self.unread += len(data)
        self.came_at = self.machine.world.now
        self._read_soon()

    def _read_soon(self) -> None:
        ready = self.kernel or (self.ended and not self._told_end) or self.was_reset
        if ready and self.reading and self.protocol is not None and not self._reading_due and not self.over:
            self._reading_due = True
            self.machine.world.at(self.machine.world.now, self.machine, self._turn)

    def _turn(self) -> None:
        self._reading_due = False
        if self.reading and not self.over:
            self.doRead()
            self._read_soon()

    def doRead(self) -> None:  # noqa: N802
        """One turn of reading, as the reactor does it."""
        if self.over or self.protocol is None:
            return
        if self.kernel:
            data = self.kernel.popleft()
            while self.kernel and len(data) + len(self.kernel[0]) <= READ:
                data += self.kernel.popleft()
            self.unread -= len(data)
            peer, world = self.peer, self.machine.world
            if peer.out:
                world.send(self.machine.address, self.peer_address, 40, peer.pump)
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
        if not self.out and not self.sent_end:
            self.sent_end = True
            self.machine.world.send(self.machine.address, self.peer_address, 40, self.peer.end_arrives, self)

    def end_arrives(self) -> None:
        if self.machine.present and not self.over:
            self.ended = True
            self._read_soon()

    def _close_if_sent(self) -> None:
        if not self.out and self.producer is None and not self.over:
            self.machine.world.at(self.machine.world.now, self.machine, self._closed)

    def _closed(self) -> None:
        if not self.over and not self.out:
            self._lost(ConnectionDone())

    def reset_by_peer(self, there: Machine) -> None:
        """The other machine knows nothing of this connection: its answer takes the way back."""
        there.world.send(there.address, self.machine.address, 40, self.reset_arrives)

    def reset_arrives(self) -> None:
        if self.machine.present and not self.over:
            self.was_reset = True
            self.out.clear()
            if self.protocol is None:
                self._gone()
            elif self.reading:
                self._read_soon()
            else:  # a connection that is not read still learns of a reset
                self.machine.world.at(
                    self.machine.world.now, self.machine, self._lost, ConnectionLost(), False, True
                )

    def _lost(self, fault: Exception, reset: bool = False, told: bool = False) -> None:
        """This end is closed: told to the peer, unless it knows, and to the program."""
        if self.over:
            return
        # As Linux does: a close with bytes unread resets.
        self._tell(reset or bool(self.kernel), told)
        self._gone()
        if self.producer is not None:
            producer, self.producer = self.producer, None
            producer.stopProducing()
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            failure = Failure(fault)
            protocol.connectionLost(failure)
            if self.connector is not None:
                self.connector.factory.clientConnectionLost(self.connector, failure)

    def _tell(self, reset: bool, told: bool) -> None:
        if told or not self.machine.present:
            return
        world, peer = self.machine.world, self.peer
        if reset:
            self.aborted = True
            world.send(self.machine.address, self.peer_address, 40, peer.reset_arrives, self, once=True)
        elif not self.sent_end:
            self.sent_end = True
            world.send(self.machine.address, self.peer_address, 40, peer.end_arrives, self)

    def _gone(self) -> None:
        if self.machine.world.closed is not None:
            self.machine.world.closed(self)
        self.over, self.connected, self.reading = True, False, False
        self.out.clear()
        self.kernel.clear()
        self.unread = 0
        self.machine.ends.pop(self, None)

    def drop(self, reset: bool, told: bool = False) -> None:
        """The kernel closes this end without the program: it is dead, or never took it."""
        if not self.over:
            if self.machine.present:
                self._tell(reset or bool(self.kernel), False)
            program = self.protocol if told else None
            self._gone()
            if program is not None:
                self.protocol = None
                failure = Failure(ConnectionLost())
                self.machine.world.at(self.machine.world.now, self.machine, program.connectionLost, failure)
