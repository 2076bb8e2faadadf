"""Members alone in virtual time: their state machines over a network of datagrams.

For fleets at which whole nodes would take too long (400), and for tests. The state machine and the
codec are the program's; around them are one heap of events, seeded draws, loss, one-way partitions
by pair, and suspensions. Spans of the public functions are seconds, times are milliseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable

from hookpitch.core.seeded_random import seeded_random
from hookpitch.members.codec import Codec
from hookpitch.members.membership import Membership
from hookpitch.members.messages import Address, MemberState

DELAY_MS = (0.3, 2.0)
PORT = 7000
IP_UDP_HEADER_BYTES = 28
# Between the starts of members that do not start together.
START_INTERVAL_MS = 50.0
# For a datagram that stood unread while its member was suspended.
UNREAD_DELAY_MS = 0.1


class MembershipSimulation:
    """A fleet of members named m0, m1 and so on, and the network between them.

    `loss`: of all datagrams; `extra_loss`: more, of those that a member sends or receives.
    `partitioned`: pairs of sender and receiver. `suspended_until` and `down`: by member. `bytes`
    and `datagrams`: sent by each member. `logs`: time, member and text.
    """

    def __init__(self, count: int, seed: int = 1, together: bool = True, seeds: int = 3) -> None:
        """`together`: all start at once. `seeds`: how many members all others know at first."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.codec = Codec("lab")
        self.loss = 0.0
        self.extra_loss: dict[str, float] = {}
        self.partitioned: set[tuple[str, str]] = set()
        self.suspended_until: dict[str, float] = {}
        self.down: set[str] = set()
        self.bytes: dict[str, int] = {}
        self.datagrams: dict[str, int] = {}
        self.members: dict[str, Membership] = {}
        self.logs: list[tuple[float, str, str]] = []
        self.seeds = tuple(self.address_of(f"m{n}") for n in range(seeds))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._starts = 0
        for n in range(count):
            self.start(f"m{n}", 0.0 if together else n * START_INTERVAL_MS)

    def address_of(self, name: str) -> Address:
        """Where a member listens."""
        number = int(name[1:])
        return f"10.0.{number >> 8}.{number & 255}", PORT

    def name_at(self, address: Address) -> str:
        """The member that listens there."""
        high, low = address[0].split(".")[2:]
        return f"m{int(high) * 256 + int(low)}"

    # ---- members

    def start(self, name: str, after_ms: float = 0.0) -> None:
        """Start a new process under that name and address, which knows its seeds alone."""
        self._starts += 1
        seed = self._starts * 7919 + self.rng.randrange(1 << 30)
        self.down.discard(name)
        member = Membership(
            self.now + after_ms,
            name,
            self.address_of(name),
            self.seeds,
            seeded_random(seed, "members"),
            self.logger(name),
        )
        self.members[name] = member
        self.schedule(after_ms, lambda: self.run(name, member))

    def logger(self, name: str) -> Callable[..., None]:
        """A member's log: changes of state by their text, other events with their fields."""

        def log(event: str, **fields: object) -> None:
            text = " ".join([event, *(f"{field}={value}" for field, value in fields.items())])
            self.logs.append((self.now, name, str(fields.get("what", text))))

        return log

    def schedule(self, after_ms: float, call: Callable[[], None]) -> None:
        """Call later; calls of one time keep their order."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + after_ms, self._event_count, call))

    def run(self, name: str, member: Membership) -> None:
        """Tick the member when it is due, for as long as it runs."""
        if self.members.get(name) is not member or name in self.down:
            return
        resumes_at = self.suspended_until.get(name, 0.0)
        if self.now < resumes_at:
            self.schedule(resumes_at - self.now, lambda: self.run(name, member))
            return
        if self.now >= member.due:
            member.tick(self.now)
        self.flush(name, member)
        self.schedule(max(1.0, member.due - self.now), lambda: self.run(name, member))

    # ---- datagrams

    def flush(self, name: str, member: Membership) -> None:
        """Send what the member wants to send."""
        for address, message in member.take_outbox():
            data = self.codec.write(message)
            self.bytes[name] = self.bytes.get(name, 0) + len(data) + IP_UDP_HEADER_BYTES
            self.datagrams[name] = self.datagrams.get(name, 0) + 1
            receiver = self.name_at(address)
            lost = self.rng.random() < self._loss_between(name, receiver)
            if not lost and (name, receiver) not in self.partitioned:
                self._send(name, receiver, data)

    def _loss_between(self, sender: str, receiver: str) -> float:
        arrives = 1 - self.loss
        arrives *= 1 - self.extra_loss.get(sender, 0.0)
        arrives *= 1 - self.extra_loss.get(receiver, 0.0)
        return 1 - arrives

    def _send(self, sender: str, receiver: str, data: bytes) -> None:
        delay_ms = self.rng.uniform(*DELAY_MS)
        self.schedule(delay_ms, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        member = self.members.get(receiver)
        if member is None or receiver in self.down:
            return
        resumes_at = self.suspended_until.get(receiver, 0.0)
        if self.now < resumes_at:
            wait_ms = resumes_at - self.now + UNREAD_DELAY_MS
            self.schedule(wait_ms, lambda: self._deliver(sender, receiver, data))
            return
        member.receive(self.now, self.address_of(sender), self.codec.read(data))
        self.flush(receiver, member)

    # ---- time

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds * 1000
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def advance_until(
        self, holds: Callable[[], bool], limit_s: float, step_s: float = 0.25
    ) -> float:
        """Seconds until the condition holds; `limit_s` where it does not."""
        started_at = self.now
        while not holds() and self.now - started_at < limit_s * 1000:
            self.advance(step_s)
        return (self.now - started_at) / 1000

    # ---- faults

    def kill(self, names: Iterable[str]) -> None:
        """These members run no more."""
        self.down.update(names)

    def suspend(self, names: Iterable[str], seconds: float) -> None:
        """These members do nothing for so long."""
        for name in names:
            self.suspended_until[name] = self.now + seconds * 1000

    def partition(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """No datagram of `some` reaches `others`, nor the other way where `both`."""
        others = list(others)
        for sender in some:
            for receiver in others:
                self.partitioned.add((sender, receiver))
                if both:
                    self.partitioned.add((receiver, sender))

    # ---- what is so

    def running(self) -> list[str]:
        """All members that have not been killed."""
        return [name for name in self.members if name not in self.down]

    def believers(self, subject: str, state: MemberState) -> list[str]:
        """The running members that hold the subject to be in that state."""
        return [
            name
            for name in self.running()
            if name != subject and self.members[name].state_of(subject) == state
        ]

    def agreed(self) -> bool:
        """Whether all running members see all running members, and nobody else."""
        running = sorted(self.running())
        return all(self.members[name].active_members() == running for name in running)
