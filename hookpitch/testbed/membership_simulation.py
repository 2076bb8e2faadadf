"""Simulates a fleet of members in virtual time, without the rest of their nodes.

Used in tests, and for fleets of a size (400) at which simulating whole nodes would take too long.
The state machine and the codec are those of the program. The simulation adds an event queue, seeded
random delays, datagram loss, one-way partitions between pairs of members, and suspensions.
Durations passed to or returned by public functions are in seconds unless a name ends in `_ms`;
points in time are in milliseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable

from hookpitch.core.seeded_random import seeded_random
from hookpitch.members.codec import Codec
from hookpitch.members.membership import Membership
from hookpitch.members.messages import Address, MemberState

DELAY_MS = (0.3, 2.0)  # the shortest and the longest time that a datagram takes
PORT = 7000
IP_UDP_HEADER_BYTES = 28
START_INTERVAL_MS = 50.0  # between the starts of members that do not start together
# A datagram that arrived while its receiver was suspended is read this long after the suspension.
UNREAD_DELAY_MS = 0.1


class MembershipSimulation:
    """Holds a fleet of members named m0, m1 and so on, and the network between them.

    `loss` is the fraction of all datagrams that is lost. `extra_loss` has, by member, a further
    fraction of the datagrams that the member sends or receives. `partitioned` has pairs of a sender
    and a receiver, `suspended_until` a time by member, `killed` the members that do not run.
    `bytes_sent` and `datagrams_sent` are counts by member. `logs` has time, member and text.
    """

    def __init__(
        self, count: int, seed: int = 1, start_together: bool = True, seed_count: int = 3
    ) -> None:
        """Start `count` members, all at once or with `START_INTERVAL_MS` between them.

        `seed_count`: how many members every other member knows at first.
        """
        self.rng = random.Random(seed)
        self.now = 0.0
        self.codec = Codec("lab")
        self.loss = 0.0
        self.extra_loss: dict[str, float] = {}
        self.partitioned: set[tuple[str, str]] = set()
        self.suspended_until: dict[str, float] = {}
        self.killed: set[str] = set()
        self.bytes_sent: dict[str, int] = {}
        self.datagrams_sent: dict[str, int] = {}
        self.members: dict[str, Membership] = {}
        self.logs: list[tuple[float, str, str]] = []
        self.seed_addresses = tuple(self.address_of(f"m{index}") for index in range(seed_count))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._start_count = 0
        for index in range(count):
            self.start(f"m{index}", 0.0 if start_together else index * START_INTERVAL_MS)

    def address_of(self, name: str) -> Address:
        """Return the address at which a member listens."""
        number = int(name[1:])
        return f"10.0.{number >> 8}.{number & 255}", PORT

    def name_at(self, address: Address) -> str:
        """Return the name of the member that listens at an address."""
        high, low = address[0].split(".")[2:]
        return f"m{int(high) * 256 + int(low)}"

    # ---- members

    def start(self, name: str, after_ms: float = 0.0) -> None:
        """Start a new process of a member, which knows only the seeds."""
        self._start_count += 1
        seed = self._start_count * 7919 + self.rng.randrange(1 << 30)
        self.killed.discard(name)
        member = Membership(
            self.now + after_ms,
            name,
            self.address_of(name),
            self.seed_addresses,
            seeded_random(seed, "members"),
            self.make_logger(name),
        )
        self.members[name] = member
        self.schedule(after_ms, lambda: self.run_member(name, member))

    def make_logger(self, name: str) -> Callable[..., None]:
        """Return a member's log function.

        A change of state is logged as its text, any other event with its fields.
        """

        def log(event: str, **fields: object) -> None:
            text = " ".join([event, *(f"{field}={value}" for field, value in fields.items())])
            self.logs.append((self.now, name, str(fields.get("what", text))))

        return log

    def schedule(self, after_ms: float, callback: Callable[[], None]) -> None:
        """Call a function later; functions that are due at the same time keep their order."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + after_ms, self._event_count, callback))

    def run_member(self, name: str, member: Membership) -> None:
        """Tick a member whenever it is due, until it is killed or restarted."""
        if self.members.get(name) is not member or name in self.killed:
            return
        resumes_at = self.suspended_until.get(name, 0.0)
        if self.now < resumes_at:
            self.schedule(resumes_at - self.now, lambda: self.run_member(name, member))
            return
        if self.now >= member.due:
            member.tick(self.now)
        self.send_outbox(name, member)
        self.schedule(max(1.0, member.due - self.now), lambda: self.run_member(name, member))

    # ---- datagrams

    def send_outbox(self, name: str, member: Membership) -> None:
        """Send the messages of a member's outbox."""
        for address, message in member.take_outbox():
            data = self.codec.write(message)
            self.bytes_sent[name] = self.bytes_sent.get(name, 0) + len(data) + IP_UDP_HEADER_BYTES
            self.datagrams_sent[name] = self.datagrams_sent.get(name, 0) + 1
            receiver = self.name_at(address)
            is_lost = self.rng.random() < self._loss_between(name, receiver)
            if not is_lost and (name, receiver) not in self.partitioned:
                self._send(name, receiver, data)

    def _loss_between(self, sender: str, receiver: str) -> float:
        delivered = 1 - self.loss
        delivered *= 1 - self.extra_loss.get(sender, 0.0)
        delivered *= 1 - self.extra_loss.get(receiver, 0.0)
        return 1 - delivered

    def _send(self, sender: str, receiver: str, data: bytes) -> None:
        delay_ms = self.rng.uniform(*DELAY_MS)
        self.schedule(delay_ms, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        member = self.members.get(receiver)
        if member is None or receiver in self.killed:
            return
        resumes_at = self.suspended_until.get(receiver, 0.0)
        if self.now < resumes_at:
            wait_ms = resumes_at - self.now + UNREAD_DELAY_MS
            self.schedule(wait_ms, lambda: self._deliver(sender, receiver, data))
            return
        member.receive(self.now, self.address_of(sender), self.codec.read(data))
        self.send_outbox(receiver, member)

    # ---- time

    def advance(self, seconds: float) -> None:
        """Run all events of the next `seconds`."""
        end = self.now + seconds * 1000
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def advance_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.25
    ) -> float:
        """Advance until the condition holds, or by `limit_s`; return the seconds that passed."""
        started_at = self.now
        while not condition() and self.now - started_at < limit_s * 1000:
            self.advance(step_s)
        return (self.now - started_at) / 1000

    # ---- faults

    def kill(self, names: Iterable[str]) -> None:
        """Stop members until they are started again."""
        self.killed.update(names)

    def suspend(self, names: Iterable[str], seconds: float) -> None:
        """Suspend members for `seconds`: they neither tick nor receive."""
        for name in names:
            self.suspended_until[name] = self.now + seconds * 1000

    def partition(
        self, group: Iterable[str], others: Iterable[str], both_ways: bool = True
    ) -> None:
        """Drop all datagrams from `group` to `others` and, if `both_ways`, those back."""
        others = list(others)
        for sender in group:
            for receiver in others:
                self.partitioned.add((sender, receiver))
                if both_ways:
                    self.partitioned.add((receiver, sender))

    # ---- queries

    def running(self) -> list[str]:
        """Return the names of all members that have not been killed."""
        return [name for name in self.members if name not in self.killed]

    def members_believing(self, subject: str, state: MemberState) -> list[str]:
        """Return the running members that believe the subject to be in a state."""
        return [
            name
            for name in self.running()
            if name != subject and self.members[name].state_of(subject) == state
        ]

    def has_converged(self) -> bool:
        """Return whether every running member sees all running members and no other."""
        running = sorted(self.running())
        return all(self.members[name].active_members() == running for name in running)
