"""Machines and links in virtual time: a single event queue drives all of them.

A `SimulatedNetwork` holds one heap of events, ordered by time and then by the order in which they
were scheduled; only the execution of events advances time. A `Machine` has an address, listeners,
descriptors and, optionally, a CPU whose time its events consume. The reactor for the programs of a
machine is in `reactor.py`, connections are in `simulated_tcp.py`. A `Link` is one direction between
two machines. Times are in seconds.

Invariants: the bytes of one direction of a connection arrive in order, once and complete, or not at
all. The same seed always produces the same history: all random numbers come from one generator, and
nothing reads the wall clock.

Sources: RFC 9293 for what is retransmitted, RFC 768 for what is not.
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
    MAX_RETRANSMITS,
    RETRANSMIT_MS,
    UNLIMITED,
    Impairment,
    ImpairmentRegistry,
)
from hookpitch.testbed.reactor import (
    Connector,
    DatagramPort,
    ListeningPort,
    ListeningSocket,
    SimulatedReactor,
)
from hookpitch.testbed.simulated_tcp import Endpoint

# A lost SYN is retransmitted after this multiple of the usual retransmission timeout.
SYN_RETRANSMIT_FACTOR = 5


class ScheduledCall:
    """One scheduled event: Twisted's `IDelayedCall`."""

    __slots__ = ("network", "machine", "time", "number", "func", "args", "kwargs", "incarnation")

    def __init__(
        self,
        network: SimulatedNetwork,
        machine: Machine | None,
        time: float,
        func: Callable[..., object],
        args: tuple[Any, ...],
        kwargs: dict[str, Any],
    ) -> None:
        self.network = network
        self.machine = machine
        self.time = time
        self.func = func
        self.args = args
        self.kwargs = kwargs
        self.number = network.next_number()
        self.incarnation = machine.incarnation if machine is not None else 0

    def getTime(self) -> float:
        """Return the time at which the call is due, in seconds."""
        return self.time

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.func is not None

    def cancel(self) -> None:
        """Cancel the call; raise AlreadyCalled if it is no longer pending."""
        if self.func is None:
            raise AlreadyCalled
        self.func = None  # type: ignore[assignment]

    def reset(self, seconds: float) -> None:
        """Reschedule the call to `seconds` from now."""
        self._reschedule(self.network.now + seconds)

    def delay(self, seconds: float) -> None:
        """Postpone the call by `seconds`."""
        self._reschedule(self.time + seconds)

    def _reschedule(self, time: float) -> None:
        if self.func is None:
            raise AlreadyCalled
        replacement = ScheduledCall(
            self.network, self.machine, time, self.func, self.args, self.kwargs
        )
        # An entry cannot move within the heap: the old entry is emptied and this call is pushed
        # again, under a new number.
        old_entry = self.network.entries.pop(self.number, None)
        if old_entry is not None:
            old_entry[2] = None
        self.time = time
        self.number = replacement.number
        self.network.push(self)


class SimulatedNetwork:
    """All machines and links, and the event queue that drives them. Times are in seconds."""

    def __init__(self, seed: int, epoch: float = 1.7e9) -> None:
        """Create an empty network; `epoch` is the Unix time at its start, in seconds."""
        self.seed = seed
        self.epoch = epoch
        self.now = 0.0
        self.rng = random.Random(seed)
        self._heap: list[list[Any]] = []
        self.entries: dict[int, list[Any]] = {}  # of the heap, by the number of their call
        self._last_number = 0
        self.events_executed = 0
        self.machines: dict[str, Machine] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link(0.0002)
        self._impairments = ImpairmentRegistry()
        self.program_errors: list[str] = []  # exceptions that programs did not catch
        # Called with each endpoint that is closed.
        self.on_endpoint_closed: Callable[[Endpoint], None] | None = None
        # Called with a closed endpoint for which more bytes have arrived.
        self.on_data_after_close: Callable[[Endpoint], None] | None = None

    def next_number(self) -> int:
        """Return the number of a new call."""
        self._last_number += 1
        return self._last_number

    def push(self, call: ScheduledCall) -> None:
        """Add a call to the event queue."""
        entry = [call.time, call.number, call]
        self.entries[call.number] = entry
        heapq.heappush(self._heap, entry)

    def call_at(
        self,
        time: float,
        machine: Machine | None,
        func: Callable[..., object],
        *args: Any,
        **kwargs: Any,
    ) -> ScheduledCall:
        """Schedule `func(*args, **kwargs)` as an event of `machine`, or of the network for None."""
        call = ScheduledCall(self, machine, max(time, self.now), func, args, kwargs)
        self.push(call)
        return call

    def run(self, until: float) -> None:
        """Execute all events up to the time `until`."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            time, number, call = heapq.heappop(heap)
            self.entries.pop(number, None)
            if call is None or call.func is None:
                continue
            machine = call.machine
            if machine is not None:
                if call.incarnation != machine.incarnation:
                    # The process that scheduled the call has died.
                    continue
                if machine.busy_until > time or machine.deferred:
                    # The machine is busy or paused: its events are deferred, in their order.
                    machine.deferred.append((call, number))
                    machine.schedule_deferred()
                    continue
            self.now = max(self.now, time)
            self._execute(call, machine)
        self.now = max(self.now, until)

    def _execute(self, call: ScheduledCall, machine: Machine | None) -> None:
        func = call.func
        call.func = None  # type: ignore[assignment]
        self.events_executed += 1
        try:
            func(*call.args, **call.kwargs)
            if machine is not None and machine.event_cpu_s:
                machine.use_cpu(machine.event_cpu_s)
        except Exception as error:  # noqa: BLE001 - recorded as a reactor logs it; the loop goes on
            self.program_errors.append(f"{self.now:.6f} {error!r}")
            if self.raises_program_errors:
                raise

    raises_program_errors = True  # an exception that a program does not catch ends the run

    # ---- machines and links

    def machine(self, address: str, **options: Any) -> Machine:
        """Return the machine at an address; create it, with the options, if there is none."""
        if address not in self.machines:
            self.machines[address] = Machine(self, address, **options)
        return self.machines[address]

    def link(self, source: str, destination: str) -> Link:
        """Return the link from one machine to another."""
        found = self.links.get((source, destination))
        return found if found is not None else self.default_link

    def connect(
        self,
        first: str,
        second: str,
        delay: float,
        jitter: float = 0.0,
        bandwidth: float = UNLIMITED,
    ) -> None:
        """Set the links between two machines, in both directions.

        `delay` and `jitter` (the maximum) are in seconds, `bandwidth` is in bytes per second.
        """
        for direction in ((first, second), (second, first)):
            self.links[direction] = Link(delay, jitter, bandwidth)

    def dedicated_link(self, source: str, destination: str) -> Link:
        """Return the link of this direction; create it if the direction has only the default link.

        Impairing it affects no other direction.
        """
        if (source, destination) not in self.links:
            default = self.default_link
            self.links[source, destination] = Link(default.delay, default.jitter, default.bandwidth)
        return self.links[source, destination]

    # ---- packets

    def send(
        self,
        source: str,
        destination: str,
        size: int,
        deliver: Callable[[], None],
        endpoint: Endpoint | None = None,
        no_retransmit: bool = False,
    ) -> None:
        """Send a packet of `size` bytes; `deliver` is called when it arrives.

        A lost packet is retransmitted, as by TCP, unless its `endpoint` has sent a reset meanwhile.
        `no_retransmit` is for the reset itself: a silent link drops it for good.
        """
        link = self.link(source, destination)
        sender = self.machines.get(source)
        if (sender is not None and not sender.attached) or destination not in self.machines:
            return
        if link.impairment.silent:
            self._block(link, (source, destination, size, deliver, endpoint), no_retransmit)
            return
        arrives_at = self._arrival_time(link, size)
        was_lost = False
        if link.impairment.loss:
            timeout = RETRANSMIT_MS / 1000 * (1 if endpoint is not None else SYN_RETRANSMIT_FACTOR)
            for attempt in range(MAX_RETRANSMITS):
                if self.rng.random() >= link.impairment.loss:
                    break
                arrives_at = arrives_at + timeout * 2**attempt
                was_lost = True
        if endpoint is not None:
            # TCP delivers the bytes of a direction in order.
            arrives_at = endpoint.last_arrival_at = max(arrives_at, endpoint.last_arrival_at)
        self.call_at(
            arrives_at,
            None,
            self._packet_arrives,
            source,
            destination,
            size,
            deliver,
            endpoint,
            no_retransmit,
            was_lost,
        )

    def _packet_arrives(
        self,
        source: str,
        destination: str,
        size: int,
        deliver: Callable[[], None],
        endpoint: Endpoint | None,
        no_retransmit: bool,
        was_lost: bool,
    ) -> None:
        link = self.link(source, destination)
        # A kernel that has reset a connection retransmits nothing of it.
        if was_lost and endpoint is not None and endpoint.sent_reset and not no_retransmit:
            return
        if link.impairment.silent:
            # The link was cut while the packet was in flight.
            self._block(link, (source, destination, size, deliver, endpoint), no_retransmit)
        elif self.machines[destination].attached:
            deliver()

    def _arrival_time(self, link: Link, size: int) -> float:
        """Return when a packet that is sent now arrives if it is not lost."""
        impairment = link.impairment
        start = max(self.now, link.busy_until)
        bandwidth = min(link.bandwidth, impairment.bandwidth)
        if bandwidth < UNLIMITED:
            link.busy_until = start = start + size / bandwidth
        jitter = link.jitter + impairment.jitter_ms / 1000
        return (
            start
            + link.delay
            + impairment.delay_ms / 1000
            + (self.rng.random() * jitter if jitter else 0.0)
        )

    def _block(self, link: Link, packet: tuple[Any, ...], no_retransmit: bool) -> None:
        """Handle a packet that meets a silent link: queue it, or lose it for good."""
        endpoint = packet[4]
        if no_retransmit:
            return
        if endpoint is not None and not link.impairment.kept:
            link.broken_endpoints[endpoint] = None
        else:
            link.blocked_packets.append(packet)

    def datagram(
        self, source: str, destination: str, size: int, deliver: Callable[[], None]
    ) -> None:
        """Send a datagram, which is never retransmitted: it arrives once, twice, late or never."""
        link = self.link(source, destination)
        sender = self.machines.get(source)
        if (sender is not None and not sender.attached) or destination not in self.machines:
            return
        impairment = link.impairment
        if impairment.silent or (impairment.loss and self.rng.random() < impairment.loss):
            return
        for _ in range(2 if impairment.repeat and self.rng.random() < impairment.repeat else 1):
            arrives_at = self._arrival_time(link, size)
            if impairment.reorder and self.rng.random() < impairment.reorder:
                # Datagrams that are sent in the meantime overtake it.
                arrives_at += 2 * (link.delay + impairment.delay_ms / 1000)
            self.call_at(arrives_at, None, self._datagram_arrives, source, destination, deliver)

    def _datagram_arrives(self, source: str, destination: str, deliver: Callable[[], None]) -> None:
        if not self.link(source, destination).impairment.silent and (
            self.machines[destination].attached
        ):
            deliver()

    def impair(
        self, source: str, destination: str, owner: object, impairment: Impairment | None
    ) -> None:
        """Set the owner's impairment of a direction; None removes it.

        When the direction stops being silent, the packets that were blocked are sent in their
        order, and connections whose bytes were lost for good are broken.
        """
        link = self.dedicated_link(source, destination)
        was_silent = link.impairment.silent
        link.impairment = (
            self._impairments.remove((source, destination), owner)
            if impairment is None
            else self._impairments.put((source, destination), owner, impairment)
        )
        if not was_silent or link.impairment.silent:
            return
        blocked_packets = link.blocked_packets
        broken_endpoints = link.broken_endpoints
        link.blocked_packets = []
        link.broken_endpoints = {}
        for endpoint in broken_endpoints:
            for end in (endpoint, endpoint.peer):
                end.drop(reset=False, notify_program=True)
        for packet in blocked_packets:
            endpoint = packet[4]
            # A kernel that has reset a connection retransmits nothing of it.
            if endpoint is None or not (endpoint.sent_reset or endpoint in broken_endpoints):
                self.send(*packet)

    def silence(self, source: str, destination: str) -> None:
        """Let nothing through in a direction until `restore` is called for it."""
        self.impair(source, destination, "silence", Impairment(silent=True))

    def restore(self, source: str, destination: str) -> None:
        """Undo `silence`."""
        self.impair(source, destination, "silence", None)

    def sever(self, first: str, second: str) -> None:
        """Reset all connections between two machines, at both ends."""
        for endpoint in [
            endpoint for machine in self.machines_at(first) for endpoint in machine.endpoints
        ]:
            if endpoint.peer_address == second:
                for end in (endpoint, endpoint.peer):
                    end.drop(reset=False, notify_program=True)

    def machines_at(self, address: str) -> list[Machine]:
        """Return the machine at an address and the further processes there."""
        machine = self.machines.get(address)
        return [] if machine is None else [machine, *machine.siblings]


@dataclass(slots=True)
class Link:
    """One direction between two machines."""

    delay: float  # seconds
    jitter: float = 0.0  # maximum in seconds, in addition to the delay
    bandwidth: float = UNLIMITED  # bytes per second
    impairment: Impairment = CLEAN  # the combined effect of the faults
    busy_until: float = 0.0  # when the last packet will have left, at a limited bandwidth
    # Arguments of `send` for the packets that a silent link retransmits once it is restored.
    blocked_packets: list[tuple[Any, ...]] = field(default_factory=list)
    # Endpoints of which a silent link has lost bytes for good.
    broken_endpoints: dict[Endpoint, None] = field(default_factory=dict)


class Machine:
    """One address and one process there, with its descriptors and its CPU.

    A second process at the same address is a separate `Machine`, created by `add_process`; both
    share the listening sockets of the kernel.
    """

    def __init__(self, network: SimulatedNetwork, address: str, descriptors: int = 1 << 20) -> None:
        self.network = network
        self.address = address
        self.descriptors = descriptors  # how many a process may have open
        self.listeners: dict[int, ListeningSocket] = {}  # by port, of all processes here
        # By descriptor: sockets that every process here inherits.
        self.inherited_listeners: dict[int, ListeningSocket] = {}
        self.listening_ports: dict[ListeningPort, None] = {}  # of this process
        self.datagram_ports: dict[int, DatagramPort] = {}  # by port, of all processes here
        self.siblings: list[Machine] = []  # further processes at this address
        self.endpoints: dict[Endpoint, None] = {}
        self.connectors: dict[Connector, None] = {}  # connection attempts in progress
        self.attached = True  # to the network
        self.running = True
        self.incarnation = 0  # of the process; calls that an earlier one scheduled are dropped
        self.busy_until = 0.0  # until then the process executes an event or is paused
        self.cpu_used_s = 0.0
        self.event_cpu_s = 0.0  # CPU time of each of its events
        # Events that were due while the machine was busy, with the numbers of their heap entries.
        self.deferred: deque[tuple[ScheduledCall, int]] = deque()
        self._deferred_scheduled = False
        self._last_port = [40000]  # shared by all processes here
        self.reactor = SimulatedReactor(self)

    @property
    def open_descriptors(self) -> int:
        """The number of descriptors in use."""
        return len(self.endpoints) + len(self.connectors) + len(self.listening_ports)

    def add_process(self) -> Machine:
        """Create another process at this address, with its own descriptors and CPU."""
        other = Machine(self.network, self.address, self.descriptors)
        other.listeners = self.listeners
        other.inherited_listeners = self.inherited_listeners
        other._last_port = self._last_port
        other.datagram_ports = self.datagram_ports
        other.siblings = self.siblings
        self.siblings.append(other)
        other.event_cpu_s = self.event_cpu_s
        return other

    def add_inherited_listener(self, descriptor: int, port: int, backlog: int) -> None:
        """Open a listening socket that each process here can adopt and that outlives them all."""
        self.inherited_listeners[descriptor] = self.listeners[port] = ListeningSocket(
            self.network, port, backlog, outlives_processes=True
        )

    def use_cpu(self, seconds: float) -> None:
        """Charge CPU time to the current event, which delays the next one."""
        self.cpu_used_s += seconds
        self.busy_until = max(self.busy_until, self.network.now) + seconds

    def schedule_deferred(self) -> None:
        """Schedule the execution of the deferred events for when the machine is free."""
        if not self._deferred_scheduled and self.deferred:
            self._deferred_scheduled = True
            self.network.call_at(
                max(self.busy_until, self.network.now), None, self._execute_deferred
            )

    def _execute_deferred(self) -> None:
        self._deferred_scheduled = False
        while self.deferred and self.busy_until <= self.network.now:
            call, number = self.deferred.popleft()
            # Skip calls that were cancelled or rescheduled, and calls of a process that has died.
            if (
                call.func is not None
                and call.number == number
                and call.incarnation == self.incarnation
            ):
                self.network._execute(call, self)
        self.schedule_deferred()

    def pause(self, seconds: float) -> None:
        """Stop the process for a while; it uses no CPU time meanwhile."""
        self.busy_until = max(self.busy_until, self.network.now + seconds)

    def kill(self) -> None:
        """Kill the process: its connections are reset and new ones are refused."""
        self.incarnation += 1
        self.running = False
        self.busy_until = self.network.now
        for endpoint in list(self.endpoints):
            endpoint.drop(reset=True)
        for connector in list(self.connectors):
            connector.abandon()
        for port in list(self.listening_ports):
            port.close()
        for socket in [
            candidate for candidate in self.datagram_ports.values() if candidate.machine is self
        ]:
            socket.close()
        self.reactor = SimulatedReactor(self)

    def start(self) -> SimulatedReactor:
        """Start a new process and return its reactor."""
        self.running = True
        return self.reactor

    def detach(self) -> None:
        """Disconnect the machine from the network without closing its connections."""
        self.attached = False

    def reattach(self) -> None:
        """Connect the machine to the network again.

        Packets that were sent to it in the meantime are lost, and its open connections are reset.
        """
        self.attached = True
        for endpoint in list(self.endpoints):
            endpoint.drop(reset=True, notify_program=True)

    def next_port(self) -> int:
        """Return the next unused local port."""
        self._last_port[0] += 1
        return self._last_port[0]
