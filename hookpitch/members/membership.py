"""Who is in the fleet, as one member knows it: SWIM with Lifeguard's changes, as a state machine.

SWIM: indirect probes (`failure_detector.py`), suspicion (`suspicion.py`) that its subject refutes
by a higher incarnation (`identity.py`), gossip carried by the probes (`dissemination.py`).
Lifeguard: a member that is itself slow trusts itself less; a suspicion ends sooner when others
confirm it; a suspect learns of it from whoever probes it. Further: comparisons for what gossip
missed (`anti_entropy.py`), flap damping (`flap_damping.py`) and views that settle (`view.py`).
Reasons: docs/members.md.

Invariants:

- an incarnation in a record never falls, and only its owner raises one;
- of two records of one member the one with the higher incarnation prevails; of equal ones the one
  with the higher state: what was called dead at an incarnation does not return at that one;
- a member is suspected for at least `suspicion.MIN_SUSPICION_MS` of this member's own running time
  before it is called dead here; time in which this member was suspended, or its loop stalled, does
  not count;
- one probe a period, with `INDIRECT_PROBES` requests, and `MAX_RECORDS_PER_DATAGRAM` records a
  datagram, at any size of the fleet.

The caller calls `tick(now)` at `due` and `receive(now, source, message)`, and sends what `outbox`
holds. Times are milliseconds. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from hookpitch.members import member, suspicion
from hookpitch.members.anti_entropy import AntiEntropy
from hookpitch.members.dissemination import Dissemination
from hookpitch.members.events import EventLog
from hookpitch.members.failure_detector import (
    INDIRECT_PROBES,
    PROBE_PERIOD_MS,
    FailureDetector,
    Probe,
)
from hookpitch.members.identity import Identity
from hookpitch.members.member import Member
from hookpitch.members.messages import (
    MAX_RECORDS_PER_DATAGRAM,
    Address,
    MemberState,
    Message,
    MessageKind,
    Record,
)
from hookpitch.members.roster import Roster
from hookpitch.members.view import View, ViewPublisher

# A tick so much late: this member was suspended, or its loop stalled.
STALL_THRESHOLD_MS = 250.0
# Without a datagram from anybody: what others refuted meanwhile was missed.
ISOLATION_MS = 3000.0
# Members that a change is sent to at the next tick, by each that learns of it.
PUSH_FANOUT = 2
# Members that a refutation or a goodbye is sent to at once.
URGENT_FANOUT = 2 * INDIRECT_PROBES
MAX_FIRST_INCARNATION = 1000


class Membership:
    """One member's knowledge of the fleet.

    `members`: all that are known, this one and the dead ones among them. `due`: when to tick.
    `outbox`: what is to be sent. `silenced`: another member has this name, and this one gave way.
    """

    def __init__(
        self,
        now: float,
        name: str,
        address: Address,
        seeds: tuple[Address, ...],
        random: Callable[[], float],
        log: Callable[..., None] | None = None,
    ) -> None:
        """`log` takes an event and its fields."""
        self.name = name
        self.address = address
        self.events = EventLog(log)
        self.silenced = False
        self.leaving = False
        # A process that follows another one under its name has to differ from it: by this draw, or
        # by what others know, never by a clock.
        incarnation = 1 + int(random() * MAX_FIRST_INCARNATION)
        own_record = Record(name, address, incarnation, MemberState.ALIVE)
        own = Member(own_record, now)
        self.members: dict[str, Member] = {name: own}
        self.identity = Identity(own)
        self.dissemination = Dissemination(name, self.members, random)
        self.detector = FailureDetector(name, self.members, self.dissemination, random)
        self.anti_entropy = AntiEntropy(now, name, self.members, seeds, self.dissemination, random)
        self.views = ViewPublisher(now, name)
        self.roster = Roster(name, self.members, self.dissemination, self.views, self.events)
        self.due = now + PROBE_PERIOD_MS * random()
        self._ticked_at = now
        self._received_at = now

    # ---- for users

    @property
    def counts(self) -> dict[str, int]:
        """How often things happened, by name."""
        return self.events.counts

    @property
    def view(self) -> View:
        """What users act on."""
        return self.views.view

    @property
    def outbox(self) -> list[tuple[Address, Message]]:
        """Datagrams to send; `take_outbox` empties it."""
        return self.dissemination.outbox

    def take_outbox(self) -> list[tuple[Address, Message]]:
        """The datagrams to send, which are the caller's from now on."""
        outbox = self.dissemination.outbox
        self.dissemination.outbox = []
        return outbox

    def state_of(self, name: str) -> MemberState | None:
        """The state of a member, None where it is not known."""
        known = self.members.get(name)
        return known.record.state if known is not None else None

    def active_members(self) -> list[str]:
        """All that are part of the fleet as far as is known, suspects among them."""
        return sorted(name for name, known in self.members.items() if known.is_active)

    def digest(self) -> int:
        """Over all that is known: equal where two members know the same."""
        return member.digest(self.members)

    def partition_digests(self) -> tuple[int, ...]:
        """A digest for each partition of what is known."""
        return member.partition_digests(self.members)

    def set_metadata(self, metadata: bytes) -> None:
        """Tell all members a few bytes about this one; the latest replace those before."""
        self.identity.set_metadata(metadata)
        self.dissemination.announce(self.name)

    def leave(self, now: float) -> None:
        """Say goodbye to some members, who pass it on."""
        self.leaving = True
        self.identity.leave()
        goodbye = self._gossip(self.identity.record)
        for name in self.dissemination.sample(URGENT_FANOUT):
            self.dissemination.send(name, goodbye)

    # ---- time

    def tick(self, now: float) -> None:
        """Do what is due. To be called at `due`, or later."""
        self._allow_for_stall(now)
        self._ticked_at = now
        if self.silenced or self.leaving:
            self.due = now + PROBE_PERIOD_MS
            return
        self._run_probes(now)
        self.roster.review(now, self.detector.health.penalty)
        self.anti_entropy.tick(now)
        self._push_changes()
        self._settle_view(now)
        self.due = max(now + 1.0, self.detector.next_due(now + PROBE_PERIOD_MS / 2))

    def _allow_for_stall(self, now: float) -> None:
        """A member that was suspended finds all others silent, while it is the one that was."""
        late_ms = now - max(self.due, self._ticked_at)
        if late_ms <= STALL_THRESHOLD_MS:
            return
        self.events.count("late")
        self.detector.health.worsen(1 + int(late_ms / PROBE_PERIOD_MS))
        self.roster.postpone(late_ms)
        self.detector.postpone(late_ms)

    def _run_probes(self, now: float) -> None:
        detector = self.detector
        detector.probe_indirectly(now)
        if detector.period_over(now):
            probe = detector.probe
            if probe is None or probe.answered:
                detector.probe_next(now)
            elif detector.may_retry():
                detector.retry(now)
            else:
                detector.health.worsen()
                self._suspect(now, probe)
                detector.probe_next(now)
        detector.expire_relayed(now)

    def _suspect(self, now: float, probe: Probe) -> None:
        """Neither this member's probes were answered nor those of its helpers."""
        target = self.members.get(probe.target)
        if target is None or not target.is_active:
            return
        if suspicion.is_held_back(target, now):
            self.events.count("held_back")
            return
        self.events.count("accusations")
        evidence = "no answer here"
        if probe.helpers:
            evidence = f"no answer here nor to {' '.join(probe.helpers)}"
        record = replace(target.record, state=MemberState.SUSPECTED, accuser=self.name)
        self._apply_record(now, record, evidence)

    def _push_changes(self) -> None:
        """Gossip that waited for probes alone would be slow to reach the last member."""
        if not self.roster.has_unsent_changes:
            return
        self.roster.has_unsent_changes = False
        for name in self.dissemination.sample(PUSH_FANOUT):
            self.dissemination.send(name, self._gossip())

    def _settle_view(self, now: float) -> None:
        self.views.settle(now, self.members)

    # ---- datagrams

    def receive(self, now: float, source: Address, message: Message) -> None:
        """Take a datagram from `source`."""
        if self.silenced or message.sender == self.name:
            return
        sender = self.members.get(message.sender)
        self._allow_for_isolation(now)
        for record in message.records:
            self._take_gossip(now, source, message.sender, sender, record)
        self._correct_stale_records(source, message)
        if message.kind == MessageKind.PROBE and message.target != self.name:
            # It was meant for a member that had this address before.
            self.events.count("misdirected")
            return
        self._answer(now, source, message)
        if message.full_sync:
            self.dissemination.send_known_records(source, False, message.partition_digests)
        self._inform_sender(source, message.sender, sender)

    def _allow_for_isolation(self, now: float) -> None:
        """Restart suspicions after a time without datagrams: refutations were missed meanwhile."""
        if now - self._received_at > ISOLATION_MS:
            self.events.count("deaf")
            self.roster.restart_timeouts(now)
        self._received_at = now

    def _take_gossip(
        self, now: float, source: Address, sender_name: str, sender: Member | None, record: Record
    ) -> None:
        second_hand = record.accuser not in ("", sender_name)
        self._apply_record(now, record, f"told by {sender_name}" if second_hand else "")
        if sender is None or record.name != sender_name:
            return
        if sender.record.incarnation > record.incarnation:
            # A new process under that name, which does not know its last incarnation.
            self.dissemination.send_to(source, self._gossip(sender.record))

    def _correct_stale_records(self, source: Address, message: Message) -> None:
        """Tell a sender that suspects by old records what was refuted since.

        One that was suspended missed the refutations, and gossip does not repeat them.
        """
        newer = tuple(
            self.members[record.name].record
            for record in message.records
            if record.state in (MemberState.SUSPECTED, MemberState.DEAD)
            and record.name in self.members
            and record.incarnation < self.members[record.name].record.incarnation
        )
        if newer:
            self.events.count("corrected")
            self.dissemination.send_to(source, self._gossip(*newer[:MAX_RECORDS_PER_DATAGRAM]))

    def _answer(self, now: float, source: Address, message: Message) -> None:
        if message.kind == MessageKind.PROBE:
            answer = Message(MessageKind.ACK, self.name, message.sequence, self.name)
            self.dissemination.send_to(source, answer)
        elif message.kind == MessageKind.ACK:
            self.detector.answer_received(message)
        elif message.kind == MessageKind.PROBE_REQUEST:
            self.detector.probe_requested(now, source, message)
        elif message.kind == MessageKind.DIGEST:
            self.anti_entropy.digest_received(now, source, message)

    def _inform_sender(self, source: Address, sender_name: str, sender: Member | None) -> None:
        """Send a newcomer all that is known, and a member that is called dead that it is."""
        if sender is None and sender_name not in self.members:
            self.dissemination.send_known_records(source, True)
        elif sender is not None and sender.record.state >= MemberState.DEAD:
            self.dissemination.send_to(source, self._gossip(sender.record))

    # ---- records

    def _apply_record(self, now: float, record: Record, evidence: str = "") -> None:
        """Take a record of a member, from whomever; `evidence` is for the log."""
        if record.name == self.name:
            self._apply_own_record(now, record)
        else:
            self.roster.apply(now, record, evidence)

    def _apply_own_record(self, now: float, record: Record) -> None:
        """What others hold of this member; refuted where it is wrong."""
        if self.leaving:
            return
        if self.identity.must_give_way(now, record):
            self.silenced = True
            self.events.count("clash")
            host, port = record.address
            self.events.report("member_name_conflict", member=self.name, other=f"{host}:{port}")
        elif self.identity.is_wrong(record):
            self._refute(record)

    def _refute(self, record: Record) -> None:
        self.events.count("refuted")
        if record.state == MemberState.SUSPECTED:
            self.detector.health.worsen()
        self.identity.refute(record)
        self.dissemination.announce(self.name)
        # By gossip alone the refutation could reach the accuser too late.
        recipients = []
        if record.accuser in self.members and record.accuser != self.name:
            recipients.append(record.accuser)
        recipients += self.dissemination.sample(URGENT_FANOUT)
        for name in dict.fromkeys(recipients):
            self.dissemination.send(name, self._gossip(self.identity.record))

    # ----

    def _gossip(self, *records: Record) -> Message:
        return Message(MessageKind.GOSSIP, self.name, records=records)
