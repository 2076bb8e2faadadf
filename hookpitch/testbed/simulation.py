"""Machines and links in virtual time: one order of events for all.

A `SimulatedNetwork` holds one heap of events, ordered by time and by the number in which they were
scheduled; nothing else moves time. A `Machine` has an address, listeners, descriptors and, where
one is given, a CPU that its events use up; its programs' reactor is in `reactor.py`, connections
are in `simulated_tcp.py`. A `Link` is one direction between two machines. Times in seconds.

Invariants: bytes of a direction arrive in order, once, whole, or not at all. One seed is one
history: random numbers come from one generator, and nothing reads the wall clock.

Sources: RFC 9293 for what is sent again, RFC 768 for what is not.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import AlreadyCalled

from hookpitch.testbed.links import (
    CLEAN,
    MOST_RETRANSMITS,
    RETRANSMIT_MS,
    UNLIMITED,
    Impairment,
    Impairments,
)
from hookpitch.testbed.reactor import Connector, DatagramPort, Listening, Port, Reactor
from hookpitch.testbed.simulated_tcp import Endpoint

DIAL_RETRANSMIT_FACTOR = 5  # a dial's first packet is sent again after so many times the usual time


class Call:
    """One event: Twisted's `IDelayedCall`."""

    __slots__ = ("network", "machine", "time", "n", "func", "args", "kw", "life")

    def __init__(
        self,
        network: SimulatedNetwork,
        machine: Machine | None,
        time: float,
        func: Callable[..., object],
        args: tuple[Any, ...],
        kw: dict[str, Any],
    ) -> None:
        self.network = network
        self.machine = machine
        self.time = time
        self.func = func
        self.args = args
        self.kw = kw
        self.n = network.number()
        self.life = machine.life if machine is not None else 0

    def getTime(self) -> float:
        """When it is due, in seconds."""
        return self.time

    def active(self) -> bool:
        """Whether it is still due."""
        return self.func is not None

    def cancel(self) -> None:
        """Give it up; AlreadyCalled where it is not due."""
        if self.func is None:
            raise AlreadyCalled
        self.func = None  # type: ignore[assignment]

    def reset(self, seconds: float) -> None:
        """Have it due so many seconds from now."""
        self._move(self.network.now + seconds)

    def delay(self, seconds: float) -> None:
        """Have it due so many seconds later."""
        self._move(self.time + seconds)

    def _move(self, time: float) -> None:
        if self.func is None:
            raise AlreadyCalled
        again = Call(self.network, self.machine, time, self.func, self.args, self.kw)
        # The place in the heap cannot move: this object takes the new one, a husk keeps the old.
        husk = self.network.places.pop(self.n, None)
        if husk is not None:
            husk[2] = None
        self.time = time
        self.n = again.n
        self.network.push(self)


class SimulatedNetwork:
    """All machines and links, and the one order of events. Times in seconds."""

    def __init__(self, seed: int, epoch: float = 1.7e9) -> None:
        """`epoch`: Unix time at the start, in seconds."""
        self.seed = seed
        self.epoch = epoch
        self.now = 0.0
        self.rng = random.Random(seed)
        self._heap: list[list[Any]] = []
        self.places: dict[int, list[Any]] = {}
        self._count = 0
        self.events = 0  # carried out so far
        self.machines: dict[str, Machine] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link(0.0002)
        self._impairments = Impairments()
        self.program_errors: list[str] = []  # what programs raised
        self.on_endpoint_closed: Callable[[Endpoint], None] | None = (
            None  # told of each end that is closed
        )
        self.on_data_after_close: Callable[[Endpoint], None] | None = (
            None  # and of bytes that came to one that was
        )

    def number(self) -> int:
        """The number of a new event."""
        self._count += 1
        return self._count

    def push(self, call: Call) -> None:
        """Put a call into the order of events."""
        place = [call.time, call.n, call]
        self.places[call.n] = place
        heapq.heappush(self._heap, place)

    def call_at(
        self,
        time: float,
        machine: Machine | None,
        func: Callable[..., object],
        *args: Any,
        **kw: Any,
    ) -> Call:
        """`func(*args)` is due at `time`, as an event of `machine` (None: of the network)."""
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
        # type: ignore[assignment]
        func = call.func
        call.func = None
        self.events += 1
        try:
            func(*call.args, **call.kw)
            if machine is not None and machine.event_cpu_s:
                machine.spend(machine.event_cpu_s)
        except Exception as fault:  # noqa: BLE001 - as a reactor does: recorded, and the next event
            self.program_errors.append(f"{self.now:.6f} {fault!r}")
            if self.raising:
                raise

    raising = True  # a program's fault ends the run

    # ---- machines and links

    def machine(self, address: str, **given: Any) -> Machine:
        """The machine at an address, made where there is none."""
        if address not in self.machines:
            self.machines[address] = Machine(self, address, **given)
        return self.machines[address]

    def link(self, a: str, b: str) -> Link:
        """The way from machine a to machine b."""
        found = self.links.get((a, b))
        return found if found is not None else self.default_link

    def connect(
        self, a: str, b: str, delay: float, jitter: float = 0.0, bandwidth: float = UNLIMITED
    ) -> None:
        """Both ways between two machines: seconds, seconds at the most, bytes a second."""
        for pair in ((a, b), (b, a)):
            self.links[pair] = Link(delay, jitter, bandwidth)

    def own(self, a: str, b: str) -> Link:
        """The way from a to b as one that can be impaired without touching others."""
        if (a, b) not in self.links:
            plain = self.default_link
            self.links[a, b] = Link(plain.delay, plain.jitter, plain.bandwidth)
        return self.links[a, b]

    # ---- packets

    def send(
        self,
        a: str,
        b: str,
        size: int,
        arrive: Callable[[], None],
        end: Endpoint | None = None,
        once: bool = False,
    ) -> None:
        """A packet of so many bytes goes from a to b; `arrive` is called where and when it comes.
        What
        is lost on the way is sent again, as TCP does, as long as its end stands; `once`: it is not
        (a reset)."""
        link = self.link(a, b)
        here = self.machines.get(a)
        if (here is not None and not here.attached) or b not in self.machines:
            return
        if link.impairment.silent:
            self._hold(link, (a, b, size, arrive, end), once)
            return
        when = self._arrival(link, size)
        lost = False
        if link.impairment.loss:
            again = RETRANSMIT_MS / 1000 * (1 if end is not None else DIAL_RETRANSMIT_FACTOR)
            for n in range(MOST_RETRANSMITS):
                if self.rng.random() >= link.impairment.loss:
                    break
                when = when + again * 2**n
                lost = True
        if end is not None:  # TCP keeps the order of a direction
            when = end.last_arrival = max(when, end.last_arrival)
        self.call_at(when, None, self._arrived, a, b, size, arrive, end, once, lost)

    def _arrived(
        self,
        a: str,
        b: str,
        size: int,
        arrive: Callable[[], None],
        end: Endpoint | None,
        once: bool,
        lost: bool,
    ) -> None:
        link = self.link(a, b)
        # A kernel that has reset a connection sends nothing of it again.
        if lost and end is not None and end.aborted and not once:
            return
        if link.impairment.silent:  # cut while it was on its way
            self._hold(link, (a, b, size, arrive, end), once)
        elif self.machines[b].attached:
            arrive()

    def _arrival(self, link: Link, size: int) -> float:
        """When a packet that is sent now comes, if it is not lost."""
        impairment = link.impairment
        start = max(self.now, link.free_at)
        width = min(link.bandwidth, impairment.bandwidth)
        if width < UNLIMITED:
            link.free_at = start = start + size / width
        jitter = link.jitter + impairment.jitter_ms / 1000
        return (
            start
            + link.delay
            + impairment.delay_ms / 1000
            + (self.rng.random() * jitter if jitter else 0.0)
        )

    def _hold(self, link: Link, packet: tuple[Any, ...], once: bool) -> None:
        end = packet[4]
        if once:
            return
        if end is not None and not link.impairment.kept:
            link.torn[end] = None
        else:
            link.held.append(packet)

    def datagram(self, a: str, b: str, size: int, arrive: Callable[[], None]) -> None:
        """Like `send`, for what nobody sends again: it comes once, twice, late or never."""
        link = self.link(a, b)
        here = self.machines.get(a)
        if (here is not None and not here.attached) or b not in self.machines:
            return
        impairment = link.impairment
        if impairment.silent or (impairment.loss and self.rng.random() < impairment.loss):
            return
        for _ in range(2 if impairment.repeat and self.rng.random() < impairment.repeat else 1):
            when = self._arrival(link, size)
            if impairment.reorder and self.rng.random() < impairment.reorder:
                when += 2 * (
                    link.delay + impairment.delay_ms / 1000
                )  # what is sent meanwhile overtakes it
            self.call_at(when, None, self._datagram_arrived, a, b, arrive)

    def _datagram_arrived(self, a: str, b: str, arrive: Callable[[], None]) -> None:
        if not self.link(a, b).impairment.silent and self.machines[b].attached:
            arrive()

    def impair(self, a: str, b: str, by: object, impairment: Impairment | None) -> None:
        """What `by` does to the way from a to b from now on; None: nothing any more. At the end of
        a silence,
        what it held back is sent, in its order, or its connections break."""
        link = self.own(a, b)
        silent = link.impairment.silent
        link.impairment = (
            self._impairments.remove((a, b), by)
            if impairment is None
            else self._impairments.put((a, b), by, impairment)
        )
        if not silent or link.impairment.silent:
            return
        held = link.held
        torn = link.torn
        link.held = []
        link.torn = {}
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
        self.impair(a, b, "silence", Impairment(silent=True))

    def restore(self, a: str, b: str) -> None:
        """Take a silence off."""
        self.impair(a, b, "silence", None)

    def sever(self, a: str, b: str) -> None:
        """All connections between two machines are reset, at both ends."""
        for end in [end for m in self.at_address(a) for end in m.endpoints]:
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
    bandwidth: float = UNLIMITED  # bytes a second
    impairment: Impairment = CLEAN  # what faults make of it
    free_at: float = 0.0
    held: list[tuple[Any, ...]] = field(
        default_factory=list
    )  # what a silence holds back: arguments of `send`
    torn: dict[Endpoint, None] = field(default_factory=dict)  # whose bytes it swallowed


class Machine:
    """One address and one process there: its descriptors and its part of a core. A second process
    at the same
    address is a `Machine` of its own, made by `add_process`: the kernel's listening sockets
    are common to both."""

    def __init__(self, network: SimulatedNetwork, address: str, descriptors: int = 1 << 20) -> None:
        self.network = network
        self.address = address
        self.descriptors = descriptors
        self.listeners: dict[int, Listening] = {}  # the kernel's, of all processes here
        self.inherited_listeners: dict[
            int, Listening
        ] = {}  # by descriptor: handed down to every process here
        self.listening_ports: dict[Port, None] = {}  # this process's
        self.datagram_ports: dict[int, DatagramPort] = {}  # for datagrams, of all processes here
        self.others: list[Machine] = []  # processes beside this one
        self.endpoints: dict[Endpoint, None] = {}
        self.connectors: dict[Connector, None] = {}
        self.attached = True
        self.running = True
        self.life = 0  # of its process; what an earlier one asked for is not done
        # until when it is at work or stopped; seconds of CPU used
        self.free_at = 0.0
        self.cpu_used_s = 0.0
        self.event_cpu_s = 0.0  # seconds of CPU that each of its events takes
        self.waiting: deque[tuple[Call, int]] = (
            deque()
        )  # events that were due while it was not free
        self._waking = False
        self._ports = [40000]
        self.reactor = Reactor(self)

    @property
    def open_descriptors(self) -> int:
        """Descriptors in use."""
        return len(self.endpoints) + len(self.connectors) + len(self.listening_ports)

    def add_process(self) -> Machine:
        """Another process at this address, with descriptors and a part of a core of its own."""
        other = Machine(self.network, self.address, self.descriptors)
        other.listeners = self.listeners
        other.inherited_listeners = self.inherited_listeners
        other._ports = self._ports
        other.datagram_ports = self.datagram_ports
        other.others = self.others
        self.others.append(other)
        other.event_cpu_s = self.event_cpu_s
        return other

    def add_inherited_listener(self, descriptor: int, port: int, backlog: int) -> None:
        """A socket listens that no process here owns; each can adopt it, and it outlasts them
        all."""
        self.inherited_listeners[descriptor] = self.listeners[port] = Listening(
            self.network, port, backlog, kept=True
        )

    def spend(self, seconds: float) -> None:
        """The event that is on takes so much of the CPU: what comes next waits."""
        self.cpu_used_s += seconds
        self.free_at = max(self.free_at, self.network.now) + seconds

    def wake(self) -> None:
        """See to it that what waits is gone on with once the machine is free."""
        if not self._waking and self.waiting:
            self._waking = True
            self.network.call_at(max(self.free_at, self.network.now), None, self._woken)

    def _woken(self) -> None:
        self._waking = False
        while self.waiting and self.free_at <= self.network.now:
            call, n = self.waiting.popleft()
            if (
                call.func is not None and call.n == n and call.life == self.life
            ):  # neither cancelled nor moved
                self.network._do(call, self)
        self.wake()

    def pause(self, seconds: float) -> None:
        """The process is stopped for so long; no CPU is used."""
        self.free_at = max(self.free_at, self.network.now + seconds)

    def kill(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        self.life += 1
        self.running = False
        self.free_at = self.network.now
        for end in list(self.endpoints):
            end.drop(reset=True)
        for dial in list(self.connectors):
            dial.forget()
        for port in list(self.listening_ports):
            port.close()
        for socket in [s for s in self.datagram_ports.values() if s.machine is self]:
            socket.close()
        self.reactor = Reactor(self)

    def start(self) -> Reactor:
        """A new process: its reactor."""
        self.running = True
        return self.reactor

    def detach(self) -> None:
        """The machine is off the network and says nothing."""
        self.attached = False

    def reattach(self) -> None:
        """It is back as it was; what was sent to it meanwhile is lost, and open connections are
        reset."""
        self.attached = True
        for end in list(self.endpoints):
            end.drop(reset=True, told=True)

    def next_port(self) -> int:
        """The next local port."""
        self._ports[0] += 1
        return self._ports[0]
