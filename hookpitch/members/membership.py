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

from hookpitch.members import flap_damping, member, suspicion
from hookpitch.members.anti_entropy import AntiEntropy
from hookpitch.members.dissemination import Dissemination
from hookpitch.members.failure_detector import (
    INDIRECT_PROBES,
    PROBE_PERIOD_MS,
    FailureDetector,
    Probe,
)
from hookpitch.members.identity import Identity
from hookpitch.members.member import MAX_UNCONFIRMED, Member
from hookpitch.members.messages import (
    MAX_RECORDS_PER_DATAGRAM,
    Address,
    MemberState,
    Message,
    MessageKind,
    Record,
)
from hookpitch.members.view import View, ViewPublisher

# A tick so much late: this member was suspended, or its loop stalled.
STALL_THRESHOLD_MS = 250.0
# Without a datagram from anybody: what others refuted meanwhile was missed.
ISOLATION_MS = 3000.0
# Members that a change is sent to at the next tick, by each that learns of it.
PUSH_FANOUT = 2
# Members that a refutation or a goodbye is sent to at once.
URGENT_FANOUT = 2 * INDIRECT_PROBES
# How long a dead member's record is kept, so that older news of it changes nothing.
TOMBSTONE_MS = 600000.0
MAX_MEMBERS = 2000
MAX_FIRST_INCARNATION = 1000


class Membership:
    """One member's knowledge of the fleet.

    `members`: all that are known, this one and the dead ones among them. `due`: when to tick.
    `outbox`: what is to be sent. `silenced`: another member has this name, and this one gave way.
    `counts`: how often things happened, by name.
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
        self._log = log
        self.counts: dict[str, int] = {}
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
        self.due = now + PROBE_PERIOD_MS * random()
        self._watched: dict[str, None] = {}  # who is not simply alive
        self._push_pending = False
        self._ticked_at = now
        self._received_at = now

    # ---- for users

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

    def alive(self) -> list[str]:
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
        self._review_members(now)
        self.anti_entropy.tick(now)
        self._push_changes()
        self._settle_view(now)
        self.due = max(now + 1.0, self.detector.next_due(now + PROBE_PERIOD_MS / 2))

    def _allow_for_stall(self, now: float) -> None:
        """A member that was suspended finds all others silent, while it is the one that was."""
        late_ms = now - max(self.due, self._ticked_at)
        if late_ms <= STALL_THRESHOLD_MS:
            return
        self._count("late")
        self.detector.health.worsen(1 + int(late_ms / PROBE_PERIOD_MS))
        for name in self._watched:
            self.members[name].state_since += late_ms
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
            self._count("held_back")
            return
        self._count("accusations")
        evidence = "no answer here"
        if probe.helpers:
            evidence = f"no answer here nor to {' '.join(probe.helpers)}"
        record = replace(target.record, state=MemberState.SUSPECTED, accuser=self.name)
        self._apply_record(now, record, evidence)

    def _review_members(self, now: float) -> None:
        """End suspicions, tombstones and damping that have lasted long enough."""
        for name in list(self._watched):
            known = self.members[name]
            state = known.record.state
            if state == MemberState.SUSPECTED and self._suspicion_is_over(now, known):
                dead = replace(known.record, state=MemberState.DEAD, accuser=self.name)
                self._apply_record(now, dead)
            elif state >= MemberState.DEAD and now - known.state_since > TOMBSTONE_MS:
                del self.members[name]
                del self._watched[name]
            elif flap_damping.has_stabilized(known, now):
                flap_damping.release(known)
                self.views.note_change(now)
            elif state == MemberState.ALIVE and known.damped_since is None:
                del self._watched[name]

    def _suspicion_is_over(self, now: float, suspect: Member) -> bool:
        penalty = self.detector.health.penalty
        timeout_ms = suspicion.timeout_ms(suspect, len(self.members), penalty)
        return now - suspect.state_since >= timeout_ms

    def _push_changes(self) -> None:
        """Gossip that waited for probes alone would be slow to reach the last member."""
        if not self._push_pending:
            return
        self._push_pending = False
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
            self._count("misdirected")
            return
        self._answer(now, source, message)
        if message.full_sync:
            self.dissemination.send_known_records(source, False, message.partition_digests)
        self._inform_sender(source, message.sender, sender)

    def _allow_for_isolation(self, now: float) -> None:
        """Restart suspicions after a time without datagrams: refutations were missed meanwhile."""
        if now - self._received_at > ISOLATION_MS:
            self._count("deaf")
            for name in self._watched:
                self.members[name].state_since = now
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
            self._count("corrected")
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
            return
        known = self.members.get(record.name)
        if known is None:
            self._add_member(now, record, evidence)
            return
        if record.incarnation < known.record.incarnation:
            self._count("stale")
            return
        if record.incarnation == known.record.incarnation:
            self._merge_same_incarnation(known, record)
            if record.state <= known.record.state:
                return
            record = _with_metadata_of(record, known.record)
        elif _has_older_metadata(record, known.record):
            record = _with_metadata_of(record, known.record)
        before = known.record
        known.record = record
        self._record_changed(now, known, before, evidence)

    def _add_member(self, now: float, record: Record, evidence: str) -> None:
        if len(self.members) >= MAX_MEMBERS and not self._evict_tombstone():
            self._count("crowded")
            return
        added = Member(record, now)
        self.members[record.name] = added
        if record.state >= MemberState.DEAD:
            self._watched[record.name] = None  # kept so that older records of it change nothing
            return
        self._record_changed(now, added, None, evidence)

    def _evict_tombstone(self) -> bool:
        """Forget the member that has been dead for longest, to bound memory; whether one was."""
        tombstones = [name for name in self._watched if not self.members[name].is_active]
        if not tombstones:
            return False
        oldest = min(tombstones, key=lambda name: self.members[name].state_since)
        del self.members[oldest]
        del self._watched[oldest]
        self.dissemination.forget(oldest)
        return True

    def _merge_same_incarnation(self, known: Member, record: Record) -> None:
        """Take another accuser, and newer metadata, of a record that is otherwise known."""
        both_suspect = record.state == MemberState.SUSPECTED == known.record.state
        if both_suspect and suspicion.confirm(known, record.accuser):
            self.dissemination.reannounce(record.name)
        if _has_older_metadata(known.record, record):
            known.record = _with_metadata_of(known.record, record)
            self.dissemination.announce(record.name)

    def _record_changed(
        self, now: float, changed: Member, before: Record | None, evidence: str
    ) -> None:
        """Do all that follows from a new record; `before` is None for a newcomer."""
        record = changed.record
        changed.state_since = now
        if record.state == MemberState.ALIVE and self.name in changed.accusers:
            self._suspicion_refuted(now, changed)
        suspected = record.state == MemberState.SUSPECTED
        changed.accusers = {record.accuser: None} if suspected else {}
        if record.state != MemberState.ALIVE:
            self._watched[record.name] = None
        if before is None or before.state != record.state:
            was_dead = before is not None and before.state >= MemberState.DEAD
            if was_dead and record.state == MemberState.ALIVE:
                self._note_recovery(now, changed)
            self._report_state(record, evidence)
        self.dissemination.announce(record.name)
        self.views.note_change(now)
        self._push_pending = True

    def _suspicion_refuted(self, now: float, refuter: Member) -> None:
        if suspicion.note_refutation(refuter, now):
            self._report(
                "member_suspicions_held_back",
                member=refuter.record.name,
                unconfirmed=MAX_UNCONFIRMED,
            )

    def _note_recovery(self, now: float, recovered: Member) -> None:
        """Damp a member that has recovered too often."""
        if not flap_damping.note_recovery(recovered, now):
            return
        name = recovered.record.name
        if recovered.damped_since is None:
            self._count("flapping")
            self._report("member_damped", member=name, ms=flap_damping.DAMPED_MS)
        recovered.damped_since = now
        self._watched[name] = None

    def _report_state(self, record: Record, evidence: str) -> None:
        state = record.state.name.lower()
        self._count(state)
        by = f" by {record.accuser}" if record.accuser else ""
        path = f", {evidence}" if evidence and record.state != MemberState.ALIVE else ""
        text = f"{record.name} {state}{by}{path}, incarnation {record.incarnation}"
        self._report("members", what=text)

    # ---- records of this member

    def _apply_own_record(self, now: float, record: Record) -> None:
        """What others hold of this member; refuted where it is wrong."""
        if self.leaving:
            return
        if self.identity.must_give_way(now, record):
            self.silenced = True
            self._count("clash")
            host, port = record.address
            self._report("member_name_conflict", member=self.name, other=f"{host}:{port}")
        elif self.identity.is_wrong(record):
            self._refute(record)

    def _refute(self, record: Record) -> None:
        self._count("refuted")
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

    def _report(self, event: str, **fields: object) -> None:
        if self._log is not None:
            self._log(event, **fields)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _has_older_metadata(record: Record, other: Record) -> bool:
    """Whether `other`, of the same process, has newer metadata."""
    return record.metadata_version < other.metadata_version and record.address == other.address


def _with_metadata_of(record: Record, other: Record) -> Record:
    return replace(record, metadata=other.metadata, metadata_version=other.metadata_version)
