"""Who is in the fleet, as one member knows it: probes, suspicion, gossip. No I/O, no clock; times
are told.

The ground is SWIM (indirect probes, suspicion that its subject refutes, gossip carried by the
probes) with
Lifeguard's three changes (a member that is itself slow trusts itself less; a suspicion ends sooner
when
others confirm it; a suspect is told so by whoever probes it). What was added, and why:
docs/members.md.

Invariants, asserted where they are cheap and checked by the tests' explorer:

- an incarnation in a record never falls, and only its owner raises one (`_refute`, `_begin`);
- of two records of one member the one with the higher incarnation goes; of equal ones the worse
  state
  (ALIVE < SUSPECTED < DEAD, LEFT): what was told dead at an incarnation does not return at that
  one;
- a member is suspected for at least `SUSPECT_MS` of this member's own running time before it is
  called dead
  here; time in which this member was stopped, or its loop stood, is not counted;
- one probe a period, twice at most, `INDIRECT` wishes a probe, `MAX_RECORDS_PER_DATAGRAM`
  records a datagram, at any size.

A caller tells `tick(now)` at `due` and `receive(now, source, message)`, and sends what `out` holds:
addresses
with messages. Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import IntEnum
from math import log, log2
from zlib import crc32

PROBE_PERIOD_MS = 500.0  # one probe in each
DIRECT_MS = 200.0  # for an answer, before others are asked to probe
TRIES = (
    2  # probes in a row that are not answered, each with its detours, before a member is accused
)
INDIRECT = 4  # others that are asked
# the shortest suspicion: longer than a pause of 2 s and the refutation's way through 400
SUSPECT_MS = 3300.0
SUSPECT_LONGEST = 2.0  # times as long, where nobody else confirms it
CONFIRMED = 2  # others that suspect the same; from here on the shortest
SLOW_MOST = (
    4  # the most by which a member trusts itself less: its times are 1 + this many times as long
)
DEAF_MS = 3000.0  # with no datagram from anybody: what others refuted meanwhile has not been heard
LATE_MS = 250.0  # a tick so much late: this member was stopped, or its loop stands
REPEAT = 3.0  # times log2 of the fleet that a change is told on
PUSHED = 2  # members that a change is told at once, by each that hears of it, at its next tick
MAX_RECORDS_PER_DATAGRAM = 10  # records in one datagram
SYNC_MS = (1000.0, 16000.0)  # between two comparisons of all that is known; less where it differs
SYNC_MOST = 12  # records in each datagram of one
# parts of all that is known that are compared by themselves, so that only what differs is told
PARTITIONS = 32
REACH_MS = 5000.0  # between two tries to reach one that is dead, or a seed, in case a cut has ended
KEPT_MS = 600000.0  # a dead or left member's record, so that older news of it changes nothing
FLAPS, FLAP_MS = (
    3,
    60000.0,
)  # so many returns in so long, and a member is left out of views (`flapping`),
HELD_MS = 30000.0  # until it has been well for so long
MAX_UNCONFIRMED, UNCONFIRMED_WINDOW_MS = (
    3,
    180000.0,
)  # so many refuted accusations of one by one in so long: its way there is cut,
SPARED_MS = 120000.0  # and it leaves that one to others for so long
CLASHES, CLASH_MS = (
    3,
    10000.0,
)  # that another claims this member's name in so long: this one falls silent
SILENCE_TIMEOUT_MS, LONGEST_MS = (
    1000.0,
    5000.0,
)  # a view changes once nothing has for so long, or so long at most
MAX_MEMBERS = 2000  # records that are kept
MAX_METADATA_BYTES = 64  # bytes
MAX_PAYLOAD_BYTES = 1000  # bytes
FIRST_MOST = 1000  # incarnations that a process may begin at
FAR = float("inf")
Address = tuple[str, int]


def part(name: str) -> int:
    """The part of all that is known to which a member belongs."""
    return crc32(name.encode()) % PARTITIONS


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """The kind of a datagram, by its number on the wire."""

    PROBE = 0
    ACK = 1
    PROBE_REQUEST = 2
    GOSSIP = 3
    DIGEST = 4  # its number is the sender's digest of all that it knows
    LIST_REQUEST = 5
    LIST_CHUNK = 6


@dataclass(frozen=True, slots=True)
class Record:
    """What is told of one member. `metadata` is its owner's latest, by `metadata_version`."""

    name: str
    address: Address
    incarnation: int
    state: MemberState
    accuser: str = ""
    metadata_version: int = 0
    metadata: bytes = b""


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram: a probe, an answer, a wish that another be probed, news alone, or a digest.
    `number` ties
    an answer to its probe; `of` names who is to be probed, or was."""

    kind: MessageKind
    sender: str
    number: int = 0
    of: str = ""
    records: tuple[Record, ...] = ()
    full_sync: bool = False  # the sender tells all that it knows, and wants to be told
    partition_digests: tuple[
        int, ...
    ] = ()  # of each part of what it knows; then only parts that differ are meant
    payload: bytes = b""  # of a wish for a list, or of a part of one (`lists.py`)


@dataclass(slots=True)
class Member:
    record: Record
    since: float  # in this state, by this member's running time
    accusers: dict[str, None] = field(default_factory=dict)
    seen: float = 0.0  # when a datagram of its own last came
    returns: deque[float] = field(default_factory=lambda: deque(maxlen=FLAPS))
    # When accusations of it by this member were refuted.
    unconfirmed_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_UNCONFIRMED))
    held: float = -FAR  # as flapping, since


@dataclass(frozen=True, slots=True)
class View:
    """What users act on: a version, who is in the fleet, and which part of the last full fleet
    that is."""

    version: int
    members: tuple[str, ...]
    visible_fraction: float


@dataclass(slots=True)
class _Probe:
    of: str
    number: int
    at: float
    tries: int = 1
    asked: tuple[str, ...] = ()  # others that were asked to
    waited: bool = False  # long enough for a direct answer: again, and by those others
    answered: bool = False


class Membership:
    def __init__(
        self,
        now: float,
        name: str,
        address: Address,
        seeds: tuple[Address, ...],
        chance: Callable[[], float],
        log: Callable[[str], None] = str,
    ) -> None:
        self.name, self.address, self.seeds, self.chance, self.log = (
            name,
            address,
            seeds,
            chance,
            log,
        )
        self.outbox: list[tuple[Address, Message]] = []
        # After another process under its name it is new, by this draw or by what it is told, by no
        # clock.
        first = Record(name, address, 1 + int(chance() * FIRST_MOST), MemberState.ALIVE)
        self.members: dict[str, Member] = {name: Member(first, now)}
        self.counts: dict[str, int] = {}
        self.health_penalty, self.silenced, self.leaving, self._urgent = 0, False, False, False
        self._path = ""  # by which news of a suspect came here, for the log
        self._order: list[str] = []
        self._watched: dict[str, None] = {}  # who is not simply alive
        self._news: dict[str, int] = {}  # by member: how often its record has been told on
        self._probe: _Probe | None = None
        self._wishes: dict[
            int, tuple[float, Address, int]
        ] = {}  # probes for others: until, whom to tell
        self._number = int(chance() * 1e6)
        self._last, self._stopped = (
            now,
            0.0,
        )  # the last tick; for how long this member has not run, in all
        self.due = now + PROBE_PERIOD_MS * chance()
        self._sync_at, self._reach_at, self._sync_span = now, now, SYNC_MS[0]
        self._clashes: deque[float] = deque(maxlen=CLASHES)
        self._heard_at = now  # from anybody
        self._changed_at, self._unsettled = (
            now,
            FAR,
        )  # the last change, and the first that no view has
        self._full = 1
        self.view = View(0, (name,), 1.0)

    # ---- what users see

    def state_of(self, name: str) -> MemberState | None:
        m = self.members.get(name)
        return m.record.state if m is not None else None

    def alive(self) -> list[str]:
        """All that are in the fleet as far as is known, suspects among them: they are not dead
        yet."""
        return sorted(n for n, m in self.members.items() if m.record.state <= MemberState.SUSPECTED)

    def digest(self) -> int:
        """Of all that is known: equal where two members know the same."""
        known = sorted(
            (n, m.record.incarnation, int(m.record.state), m.record.metadata_version)
            for n, m in self.members.items()
        )
        return crc32(repr(known).encode())

    def partition_digests(self) -> tuple[int, ...]:
        """A digest of 16 bits for each part; members' names tell their part, alike at all."""
        parts = [0] * PARTITIONS
        for n, m in self.members.items():  # in any order: the sum is the same
            r = m.record
            parts[part(n)] += crc32(
                f"{n} {r.incarnation} {int(r.state)} {r.metadata_version}".encode()
            )
        return tuple(p & 0xFFFF for p in parts)

    def set_metadata(self, metadata: bytes) -> None:
        """A small fact for all to know of this member; the last one goes."""
        if len(metadata) > MAX_METADATA_BYTES:
            raise ValueError(f"a fact has at most {MAX_METADATA_BYTES} bytes")
        mine = self.members[self.name]
        mine.record = replace(
            mine.record, metadata=metadata, metadata_version=mine.record.metadata_version + 1
        )
        self._tell(self.name)

    def leave(self, now: float) -> None:
        """Say goodbye to some, who tell the rest."""
        self.leaving = True
        mine = self.members[self.name]
        mine.record = replace(mine.record, state=MemberState.LEFT)
        for other in self._some(2 * INDIRECT, ()):
            self._say(other, Message(MessageKind.GOSSIP, self.name, records=(mine.record,)))

    # ---- time

    def tick(self, now: float) -> None:
        """At `due`, or later. Danger: a member that was stopped finds everybody silent: it is the
        one."""
        late = now - max(self.due, self._last)
        if late > LATE_MS:
            self._count("late")
            self._stopped += late
            self.health_penalty = min(
                SLOW_MOST, self.health_penalty + 1 + int(late / PROBE_PERIOD_MS)
            )
            for name in self._watched:
                self.members[name].since += late
            if self._probe is not None:
                self._probe.at += late
        self._last = now
        if self.silenced or self.leaving:
            self.due = now + PROBE_PERIOD_MS
            return
        scale = 1 + self.health_penalty
        probe = self._probe
        if (
            probe is not None
            and not (probe.waited or probe.answered)
            and now >= probe.at + DIRECT_MS * scale
        ):
            probe.waited = True
            probe.asked = tuple(self._some(INDIRECT, (probe.of,)))
            target = self.members[probe.of].record
            told = (target,) if target.state == MemberState.SUSPECTED else ()
            self._say(probe.of, Message(MessageKind.PROBE, self.name, probe.number, probe.of, told))
            for other in probe.asked:
                self._say(
                    other,
                    Message(
                        MessageKind.PROBE_REQUEST, self.name, probe.number, probe.of, (target,)
                    ),
                )
        if probe is None or now >= probe.at + PROBE_PERIOD_MS * scale:
            if probe is None or probe.answered:
                self._begin_probe(now)
            elif probe.tries < TRIES and self.state_of(probe.of) == MemberState.ALIVE:
                # Danger: with a fifth of the datagrams lost, one probe in sixty is not answered by
                # chance, and each false accusation and its refutation are told round the whole
                # fleet.
                self._begin_probe(now, probe)
            else:
                self.health_penalty = min(SLOW_MOST, self.health_penalty + 1)
                self._accuse(now, probe.of, probe.asked)
                self._begin_probe(now)
        self._wishes = {n: w for n, w in self._wishes.items() if w[0] > now}
        for name in list(self._watched):
            m = self.members[name]
            if m.record.state == MemberState.SUSPECTED and now - m.since >= self._patience(m):
                self._take(now, replace(m.record, state=MemberState.DEAD, accuser=self.name))
            elif m.record.state >= MemberState.DEAD and now - m.since > KEPT_MS:
                del self.members[name], self._watched[name]
            elif m.held > -FAR and now - m.held > HELD_MS:
                m.held = -FAR
                m.returns.clear()
                self._change(now)
            elif m.record.state == MemberState.ALIVE and m.held == -FAR:
                del self._watched[name]
        if now >= self._sync_at:
            self._sync_span = min(SYNC_MS[1], 2 * self._sync_span)
            self._sync_at = now + self._sync_span * (0.5 + self.chance())
            for other in self._some(1, ()):
                self._say(
                    other,
                    Message(
                        MessageKind.DIGEST,
                        self.name,
                        self.digest(),
                        partition_digests=self.partition_digests(),
                    ),
                )
        if now >= self._reach_at:
            self._reach_at = now + REACH_MS * (0.5 + self.chance())
            self._reach()
        if self._urgent:  # Danger: gossip that waits for probes takes longest to the last member.
            self._urgent = False
            for other in self._some(PUSHED, ()):
                self._say(other, Message(MessageKind.GOSSIP, self.name))
        self._settle(now)
        self.due = now + PROBE_PERIOD_MS / 2
        if (probe := self._probe) is not None:
            asks = not (probe.waited or probe.answered)
            next_ = probe.at + (DIRECT_MS if asks else PROBE_PERIOD_MS) * (1 + self.health_penalty)
            self.due = max(now + 1.0, min(next_, self.due))

    def _begin_probe(self, now: float, again: _Probe | None = None) -> None:
        """The next of a round in drawn order, so that each is met once a round; or the same one
        `again`."""
        self._probe = None
        if again is not None:
            self._order.append(again.of)
        while True:
            if not self._order:
                some = [
                    n
                    for n, m in self.members.items()
                    if n != self.name and m.record.state <= MemberState.SUSPECTED
                ]
                if not some:
                    return
                self._order = sorted(some, key=lambda _: self.chance())
            name = self._order.pop()
            m = self.members.get(name)
            if m is not None and m.record.state <= MemberState.SUSPECTED:
                break
        self._number += 1
        self._probe = _Probe(name, self._number, now, 1 if again is None else again.tries + 1)
        # Danger: a suspect that never hears so cannot refute it: it is told first.
        told = (m.record,) if m.record.state == MemberState.SUSPECTED else ()
        self._say(name, Message(MessageKind.PROBE, self.name, self._number, name, told))

    def _patience(self, m: Member) -> float:
        """How long a suspicion lasts: longer while few share it, and for a member that trusts
        itself less."""
        confirmed = min(CONFIRMED, max(0, len(m.accusers) - 1))
        spare = 1 - log(confirmed + 1) / log(CONFIRMED + 1)
        grown = max(1.0, log2(max(2, len(self.members))) / 9)  # SUSPECT_MS is meant for up to 512
        return (
            SUSPECT_MS * grown * (1 + (SUSPECT_LONGEST - 1) * spare) * (1 + self.health_penalty / 2)
        )

    def _accuse(self, now: float, name: str, asked: tuple[str, ...] = ()) -> None:
        """No answer to this member's own probes, nor by the detours through those that were
        asked."""
        m = self.members.get(name)
        if m is None or m.record.state > MemberState.SUSPECTED:
            return
        often = (
            len(m.unconfirmed_at) == MAX_UNCONFIRMED
            and m.unconfirmed_at[-1] - m.unconfirmed_at[0] < UNCONFIRMED_WINDOW_MS + SPARED_MS
        )
        if often and now - m.unconfirmed_at[-1] < SPARED_MS:
            # Danger: a cut one way between the two, and a member that all hear is accused for ever.
            self._count("held_back")
            return
        self._count("accusations")
        self._path = f"no answer here nor to {' '.join(asked)}" if asked else "no answer here"
        self._take(now, replace(m.record, state=MemberState.SUSPECTED, accuser=self.name))
        self._path = ""

    # ---- datagrams

    def receive(self, now: float, source: Address, message: Message) -> None:
        if self.silenced or message.sender == self.name:
            return
        sender = self.members.get(message.sender)
        if now - self._heard_at > DEAF_MS:
            # Danger: those who refuted long since, unheard, are called dead just as they are heard
            # again.
            self._count("deaf")
            for name in self._watched:
                self.members[name].since = now
        self._heard_at = now
        if sender is not None:
            sender.seen = now
        for record in message.records:
            self._path = (
                f"told by {message.sender}" if record.accuser not in ("", message.sender) else ""
            )
            self._take(now, record)
            self._path = ""
            known = sender.record.incarnation if sender is not None else 0
            if record.name == message.sender and known > record.incarnation:
                # A new process under that name, which does not know what the one before it had come
                # to.
                self._post(source, Message(MessageKind.GOSSIP, self.name, records=(sender.record,)))
        # Danger: one that was stopped suspects what has been refuted meanwhile, and that is told no
        # more.
        newer = tuple(
            self.members[r.name].record
            for r in message.records
            if r.state in (MemberState.SUSPECTED, MemberState.DEAD)
            and r.name in self.members
            and r.incarnation < self.members[r.name].record.incarnation
        )
        if newer:
            self._count("corrected")
            self._post(
                source,
                Message(MessageKind.GOSSIP, self.name, records=newer[:MAX_RECORDS_PER_DATAGRAM]),
            )
        back = (
            sender.record.address
            if sender is not None and sender.record.address == source
            else source
        )
        if message.kind == MessageKind.PROBE:
            if message.of != self.name:  # meant for one that was here before
                self._count("misdirected")
                return
            self._post(back, Message(MessageKind.ACK, self.name, message.number, self.name))
        elif message.kind == MessageKind.ACK:
            wish = self._wishes.pop(message.number, None)
            if wish is not None:
                self._post(wish[1], Message(MessageKind.ACK, self.name, wish[2], message.of))
            probe = self._probe
            if probe is not None and probe.number == message.number and probe.of == message.of:
                probe.answered = True
                self.health_penalty = max(0, self.health_penalty - 1)
        elif message.kind == MessageKind.PROBE_REQUEST:
            target = self.members.get(message.of)
            if target is not None and target.record.state <= MemberState.SUSPECTED:
                self._number += 1
                self._wishes[self._number] = (now + PROBE_PERIOD_MS * 2, back, message.number)
                self._say(
                    message.of, Message(MessageKind.PROBE, self.name, self._number, message.of)
                )
        elif message.kind == MessageKind.DIGEST and message.number != self.digest():
            self._sync_span = max(SYNC_MS[0], self._sync_span / 4)
            self._sync_at = min(self._sync_at, now + self._sync_span * (0.5 + self.chance()))
            self._all(back, True, message.partition_digests)
        if message.full_sync:
            self._all(back, False, message.partition_digests)
        if sender is None and message.sender not in self.members:
            self._all(back, True)  # a newcomer that was not told of yet
        elif sender is not None and sender.record.state >= MemberState.DEAD:
            # It lives, and does not know what is said of it.
            self._post(back, Message(MessageKind.GOSSIP, self.name, records=(sender.record,)))

    def _take(self, now: float, r: Record) -> None:
        """News of one member, from whomever."""
        if r.name == self.name:
            return self._of_me(now, r)
        m = self.members.get(r.name)
        if m is None:
            if len(self.members) >= MAX_MEMBERS and not self._room():
                self._count("crowded")
                return
            if r.state >= MemberState.DEAD:
                self.members[r.name] = Member(r, now)  # so that older news of it changes nothing
                self._watched[r.name] = None
                return
            m = self.members[r.name] = Member(r, now)
            self._turned(now, m, None)
            return
        old = m.record
        if r.incarnation < old.incarnation:
            self._count("stale")
            return
        if r.incarnation == old.incarnation:
            both = r.state == MemberState.SUSPECTED == old.state
            if both and r.accuser not in m.accusers and len(m.accusers) < 8:
                m.accusers[r.accuser] = None
                self._tell(r.name, again=True)
            if r.metadata_version > old.metadata_version and r.address == old.address:
                m.record = old = replace(
                    old, metadata=r.metadata, metadata_version=r.metadata_version
                )
                self._tell(r.name)
            if r.state <= old.state:
                return
            r = replace(r, metadata_version=old.metadata_version, metadata=old.metadata)
        if r.metadata_version < old.metadata_version and r.address == old.address:
            r = replace(r, metadata_version=old.metadata_version, metadata=old.metadata)
        m.record = r
        self._turned(now, m, old)

    def _room(self) -> bool:
        """One that has been gone for longest is forgotten for a newcomer."""
        # Danger: forged names, or a fleet that is made anew again and again, fill the memory.
        gone = [n for n in self._watched if self.members[n].record.state >= MemberState.DEAD]
        if gone:
            oldest = min(gone, key=lambda n: self.members[n].since)
            del self.members[oldest], self._watched[oldest]
            self._news.pop(oldest, None)
        return bool(gone)

    def _turned(self, now: float, m: Member, old: Record | None) -> None:
        r = m.record
        m.since = now
        if r.state == MemberState.ALIVE and self.name in m.accusers:
            m.unconfirmed_at.append(now)
            if (
                len(m.unconfirmed_at) == MAX_UNCONFIRMED
                and now - m.unconfirmed_at[0] < UNCONFIRMED_WINDOW_MS
            ):
                self.log(
                    f"{r.name} was accused from here {MAX_UNCONFIRMED} times in vain: "
                    "left to others"
                )
        m.accusers = {r.accuser: None} if r.state == MemberState.SUSPECTED else {}
        if r.state != MemberState.ALIVE:
            self._watched[r.name] = None
        if old is None or old.state != r.state:
            if old is not None and old.state >= MemberState.DEAD and r.state == MemberState.ALIVE:
                m.returns.append(now)
                if len(m.returns) == FLAPS and now - m.returns[0] < FLAP_MS and m.held == -FAR:
                    self._count("flapping")
                    self.log(f"{r.name} comes and goes: held back for {HELD_MS / 1000:.0f} s")
                if len(m.returns) == FLAPS and now - m.returns[0] < FLAP_MS:
                    m.held = now
                    self._watched[r.name] = None
            self._count(r.state.name.lower())
            by = f" by {r.accuser}" if r.accuser else ""
            path = f", {self._path}" if self._path and r.state != MemberState.ALIVE else ""
            self.log(f"{r.name} {r.state.name.lower()}{by}{path}, incarnation {r.incarnation}")
        self._tell(r.name)
        self._change(now)
        self._urgent = True

    def _of_me(self, now: float, r: Record) -> None:
        mine = self.members[self.name]
        if self.leaving:
            return
        other = r.address != self.address and r.state <= MemberState.SUSPECTED
        if other and r.incarnation >= mine.record.incarnation:
            self._clashes.append(now)
            often = len(self._clashes) == CLASHES and now - self._clashes[0] < CLASH_MS
            if often and r.address > self.address:
                # Danger: two members of one name would raise each other's incarnation for ever.
                self.silenced = True
                self._count("clash")
                at = f"{r.address[0]}:{r.address[1]}"
                self.log(f"another member is named {self.name}, at {at}: this one is silent")
                return
        same = (r.incarnation, r.state, r.address) == (
            mine.record.incarnation,
            MemberState.ALIVE,
            self.address,
        )
        if r.incarnation < mine.record.incarnation or same:
            return
        # What is said of this member at its incarnation or a later one, a former process's among
        # it.
        self._count("refuted")
        if r.state == MemberState.SUSPECTED:
            self.health_penalty = min(SLOW_MOST, self.health_penalty + 1)
        count = max(mine.record.metadata_version, r.metadata_version) + 1
        mine.record = replace(mine.record, incarnation=r.incarnation + 1, metadata_version=count)
        self._tell(self.name)
        # Danger: those who wait for it call this member dead before the gossip has come round.
        accuser = [r.accuser] if r.accuser in self.members and r.accuser != self.name else []
        for other in dict.fromkeys(accuser + self._some(2 * INDIRECT, ())):
            self._say(other, Message(MessageKind.GOSSIP, self.name, records=(mine.record,)))

    # ---- telling

    def _tell(self, name: str, again: bool = False) -> None:
        self._news[name] = self._news.get(name, 0) // 2 if again else 0

    def _gossip(self, most: int) -> tuple[Record, ...]:
        """What was told least often so far; each change about REPEAT x log2 of the fleet times."""
        if not self._news:
            return ()
        limit = REPEAT * log2(len(self.members) + 1)
        some = sorted(self._news, key=lambda n: (self._news[n], n))[:most]
        for name in some:
            self._news[name] += 1
            if self._news[name] > limit:
                del self._news[name]
        return tuple(self.members[n].record for n in some if n in self.members)

    def _say(self, name: str, message: Message) -> None:
        self._post(self.members[name].record.address, message)

    def _post(self, to: Address, message: Message) -> None:
        mine = self.members[self.name].record
        known = {r.name for r in message.records}
        more = tuple(
            r
            for r in self._gossip(MAX_RECORDS_PER_DATAGRAM - len(message.records) - 1)
            if r.name not in known
        )
        first = () if self.name in known | {r.name for r in more} else (mine,)
        self.outbox.append(
            (
                to,
                replace(
                    message, records=(message.records + first + more)[:MAX_RECORDS_PER_DATAGRAM]
                ),
            )
        )

    def _all(self, to: Address, whole: bool, marks: tuple[int, ...] = ()) -> None:
        """All that is known, or of it the parts that differ from `marks`, in datagrams of bounded
        size."""
        records, mine = [m.record for m in self.members.values()], ()
        if len(marks) == PARTITIONS:
            # Danger: with datagrams lost, two members never know the same, and all was told each
            # time.
            mine = self.partition_digests()
            records = [r for r in records if mine[part(r.name)] != marks[part(r.name)]]
        for at in range(0, max(1, len(records)) if whole else len(records), SYNC_MOST):
            some, first = tuple(records[at : at + SYNC_MOST]), whole and at == 0
            told = mine if first else ()
            self.outbox.append(
                (
                    to,
                    Message(
                        MessageKind.GOSSIP,
                        self.name,
                        records=some,
                        full_sync=first,
                        partition_digests=told,
                    ),
                )
            )

    def _reach(self) -> None:
        """One that is dead, or a seed that is not known: a cut may have ended, a fleet may be
        met."""
        dead = [
            m.record.address for m in self.members.values() if m.record.state == MemberState.DEAD
        ]
        known = {
            m.record.address
            for m in self.members.values()
            if m.record.state <= MemberState.SUSPECTED
        }
        far = [a for a in (*self.seeds, *dead) if a not in known]
        if far:
            to = far[int(self.chance() * len(far)) % len(far)]
            self._post(to, Message(MessageKind.GOSSIP, self.name, full_sync=True))

    def _some(self, most: int, but: tuple[str, ...]) -> list[str]:
        some = [
            n
            for n, m in self.members.items()
            if n != self.name and n not in but and m.record.state == MemberState.ALIVE
        ]
        return sorted(some, key=lambda _: self.chance())[:most]

    # ---- the view

    def _change(self, now: float) -> None:
        self._changed_at, self._unsettled = now, min(self._unsettled, now)

    def _settle(self, now: float) -> None:
        # Danger: a change in the very moment of a settling, or the first after a long calm: the one
        # was never in a view, and the other in one of its own, before the rest of what fails with
        # it.
        if (
            now < min(self._changed_at + SILENCE_TIMEOUT_MS, self._unsettled + LONGEST_MS)
            or self._unsettled == FAR
        ):
            return
        self._unsettled = FAR
        who = tuple(n for n in self.alive() if self.members[n].held == -FAR)
        gone = sum(m.record.state == MemberState.DEAD for m in self.members.values())
        if who != self.view.members:
            self.view = View(self.view.version + 1, who, len(who) / max(1, len(who) + gone))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
