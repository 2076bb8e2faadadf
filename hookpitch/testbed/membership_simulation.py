"""Members alone in virtual time: their state machines over datagrams with loss, cuts and pauses.

For sizes at which whole nodes would take too long (400), and for the tests. The state machine and
the codec are the program's; here are one heap of events, a seeded generator and one-way cuts by
pair. Times in ms.
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


class Net:
    """Members `m0`, `m1`, ... on one simulated network. Times in ms."""

    def __init__(self, count: int, seed: int = 1, together: bool = True, seeds: int = 3) -> None:
        self.rng, self.now, self.codec = random.Random(seed), 0.0, Codec("lab")
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.loss = 0.0  # of all datagrams
        self.lossy: dict[str, float] = {}  # more, of those that a member sends or gets
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.stopped: dict[str, float] = {}  # until
        self.down: set[str] = set()
        self.bytes: dict[str, int] = {}
        self.datagrams: dict[str, int] = {}
        self.members: dict[str, Membership] = {}
        self.logs: list[tuple[float, str, str]] = []
        self.seeds = tuple(self.address(f"m{n}") for n in range(seeds))
        self.starts = 0
        for n in range(count):
            self.start(f"m{n}", 0.0 if together else n * 50.0)

    def address(self, name: str) -> Address:
        """The address of a member."""
        return f"10.0.{int(name[1:]) >> 8}.{int(name[1:]) & 255}", 7000

    def name(self, address: Address) -> str:
        """The member at an address."""
        a, b = address[0].split(".")[2:]
        return f"m{int(a) * 256 + int(b)}"

    def start(self, name: str, after: float = 0.0) -> None:
        """A new process under that name and address: it knows its seeds alone."""
        self.starts += 1
        chance = seeded_random(self.starts * 7919 + self.rng.randrange(1 << 30), "members")

        def tell(text: str) -> None:
            self.logs.append((self.now, name, text))

        self.down.discard(name)
        m = self.members[name] = Membership(
            self.now + after, name, self.address(name), self.seeds, chance, tell
        )
        self.at(after, lambda: self.run(name, m))

    def at(self, after: float, call: Callable[[], None]) -> None:
        """Schedule a call, `after` so many ms."""
        self.count += 1
        heapq.heappush(self.events, (self.now + after, self.count, call))

    def run(self, name: str, m: Membership) -> None:
        """Let a member do what is due, and schedule its next turn."""
        if self.members.get(name) is not m or name in self.down:
            return
        until = self.stopped.get(name, 0.0)
        if self.now < until:
            self.at(until - self.now, lambda: self.run(name, m))
            return
        if self.now >= m.due:
            m.tick(self.now)
        self.flush(name, m)
        self.at(max(1.0, m.due - self.now), lambda: self.run(name, m))

    def flush(self, name: str, m: Membership) -> None:
        """Send what a member has in its outbox."""
        for to, message in m.take_outbox():
            data = self.codec.write(message)
            self.bytes[name] = self.bytes.get(name, 0) + len(data) + 28
            self.datagrams[name] = self.datagrams.get(name, 0) + 1
            other = self.name(to)
            lost = 1 - (1 - self.loss) * (1 - self.lossy.get(name, 0.0)) * (
                1 - self.lossy.get(other, 0.0)
            )
            if self.rng.random() >= lost and (name, other) not in self.cut:
                self.at(
                    self.rng.uniform(*DELAY_MS), lambda o=other, d=data: self.deliver(name, o, d)
                )

    def deliver(self, source: str, name: str, data: bytes) -> None:
        """A datagram arrives; a stopped process reads it when it continues."""
        m = self.members.get(name)
        if m is None or name in self.down:
            return
        until = self.stopped.get(name, 0.0)
        if self.now < until:  # it stands unread in the socket
            self.at(until - self.now + 0.1, lambda: self.deliver(source, name, data))
            return
        m.receive(self.now, self.address(source), self.codec.read(data))
        self.flush(name, m)

    def go(self, seconds: float) -> None:
        """Let so many seconds pass."""
        end = self.now + seconds * 1000
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    # ---- faults

    def kill(self, names: Iterable[str]) -> None:
        """Their processes die."""
        self.down.update(names)

    def stop(self, names: Iterable[str], seconds: float) -> None:
        """Their processes are stopped for so long."""
        for name in names:
            self.stopped[name] = self.now + seconds * 1000

    def cuts(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """Nothing passes from `some` to `others`, nor back where `both`."""
        others = list(others)
        for a in some:
            for b in others:
                self.cut.add((a, b))
                if both:
                    self.cut.add((b, a))

    # ---- what is so

    def up(self) -> list[str]:
        """Members that run."""
        return [n for n in self.members if n not in self.down]

    def think(self, of: str, state: MemberState) -> list[str]:
        """Who of those that run says so of that member."""
        return [n for n in self.up() if n != of and self.members[n].state_of(of) == state]

    def agreed(self) -> bool:
        """Whether all that run see all that run, and nobody else."""
        up = sorted(self.up())
        return all(self.members[n].alive() == up for n in up)

    def until(self, holds: Callable[[], bool], most: float, step: float = 0.25) -> float:
        """Seconds until it holds; `most` where it does not."""
        begun = self.now
        while not holds() and self.now - begun < most * 1000:
            self.go(step)
        return (self.now - begun) / 1000
