"""The fleet as one member knows it: SWIM with the extensions of Lifeguard, as a state machine.

From SWIM come indirect probes (`failure_detector.py`), suspicions (`suspicion.py`) that the
suspected member refutes by a higher incarnation (`identity.py`), and gossip that is carried by the
probes (`dissemination.py`). From Lifeguard come three rules: a member that is itself slow trusts
its own findings less; a suspicion times out sooner if other members confirm it; and a probe tells a
suspected member about the suspicion. In addition there are anti-entropy for what gossip missed
(`anti_entropy.py`), flap damping (`flap_damping.py`) and views that are published once changes have
settled (`view.py`). The reasons for this design are in docs/members.md.

Invariants:

- the incarnation of a member never decreases, and only the member itself raises it;
- of two records of one member the one with the higher incarnation prevails, and at equal
  incarnations the one with the higher state: a member that was declared dead returns only with a
  higher incarnation;
- before this member declares another one dead, it has suspected it for at least
  `suspicion.MIN_SUSPICION_MS` of its own running time; time in which this member was suspended or
  its event loop was stalled does not count;
- at any fleet size there is one probe per period, with at most `INDIRECT_PROBES` requests for
  indirect probes, and a datagram carries at most `MAX_RECORDS_PER_DATAGRAM` records.

The caller calls `tick(now)` at `due`, calls `receive(now, source, message)` for each datagram, and
sends the datagrams in `outbox`. Times are milliseconds. No I/O and no clock.
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

# A tick that is later than this shows that this member was suspended or its event loop stalled.
STALL_THRESHOLD_MS = 250.0
# After this time without any datagram, this member has missed the refutations sent meanwhile.
ISOLATION_MS = 3000.0
# Each member that learns of a change sends it to this number of members at its next tick.
PUSH_FANOUT = 2
# A refutation or a departure is sent to this number of members at once.
URGENT_FANOUT = 2 * INDIRECT_PROBES
MAX_FIRST_INCARNATION = 1000


class Membership:
    """One member's knowledge of the fleet.

    `members` holds all known members, including this one and dead ones. `due` is when to call
    `tick`. `outbox` holds the datagrams to send. `is_silenced`: another member has the same name,
    and this one has stopped taking part.
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
        """Create the member `name`; `log` is called with a log event and its fields."""
        self.name = name
        self.address = address
        self.events = EventLog(log)
        self.is_silenced = False
        self.is_leaving = False
        # A new process must not have the incarnation of the process before it under this name. This
        # random draw or the records of other members make the difference, never a clock.
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

    # ---- access for callers

    @property
    def counts(self) -> dict[str, int]:
        """The number of events by counter name."""
        return self.events.counts

    @property
    def view(self) -> View:
        """The last published view."""
        return self.views.view

    @property
    def outbox(self) -> list[tuple[Address, Message]]:
        """The datagrams to send; `take_outbox` clears them."""
        return self.dissemination.outbox

    def take_outbox(self) -> list[tuple[Address, Message]]:
        """Return the datagrams to send, and clear the outbox."""
        outbox = self.dissemination.outbox
        self.dissemination.outbox = []
        return outbox

    def state_of(self, name: str) -> MemberState | None:
        """Return the state of a member, or None if it is unknown."""
        known = self.members.get(name)
        return known.record.state if known is not None else None

    def active_members(self) -> list[str]:
        """Return the names of all members that are part of the fleet, including suspected ones."""
        return sorted(name for name, known in self.members.items() if known.is_active)

    def digest(self) -> int:
        """Return a digest of all records: equal at two members that hold the same records."""
        return member.digest(self.members)

    def partition_digests(self) -> tuple[int, ...]:
        """Return a digest for each partition of the members."""
        return member.partition_digests(self.members)

    def set_metadata(self, metadata: bytes) -> None:
        """Send a few bytes about this member to all members, in place of the previous ones."""
        self.identity.set_metadata(metadata)
        self.dissemination.announce(self.name)

    def leave(self, now: float) -> None:
        """Announce the departure of this member to some members, which gossip it."""
        self.is_leaving = True
        self.identity.leave()
        departure = self._gossip(self.identity.record)
        for name in self.dissemination.sample(URGENT_FANOUT):
            self.dissemination.send(name, departure)

    # ---- timers

    def tick(self, now: float) -> None:
        """Do what is due; to be called at `due` or later."""
        self._compensate_for_stall(now)
        self._ticked_at = now
        if self.is_silenced or self.is_leaving:
            self.due = now + PROBE_PERIOD_MS
            return
        self._run_probes(now)
        self.roster.expire_timeouts(now, self.detector.health.penalty)
        self.anti_entropy.tick(now)
        self._push_changes()
        self._settle_view(now)
        self.due = max(now + 1.0, self.detector.next_due(now + PROBE_PERIOD_MS / 2))

    def _compensate_for_stall(self, now: float) -> None:
        """Extend the timeouts by a time in which this member was suspended.

        Otherwise it would suspect all other members, while only this one did not run.
        """
        late_ms = now - max(self.due, self._ticked_at)
        if late_ms <= STALL_THRESHOLD_MS:
            return
        self.events.count("late")
        self.detector.health.worsen(1 + int(late_ms / PROBE_PERIOD_MS))
        self.roster.extend_timeouts(late_ms)
        self.detector.extend_timeouts(late_ms)

    def _run_probes(self, now: float) -> None:
        detector = self.detector
        detector.probe_indirectly(now)
        if detector.is_period_over(now):
            probe = detector.probe
            if probe is None or probe.is_answered:
                detector.probe_next(now)
            elif detector.can_retry():
                detector.retry(now)
            else:
                detector.health.worsen()
                self._suspect(now, probe)
                detector.probe_next(now)
        detector.expire_relayed(now)

    def _suspect(self, now: float, probe: Probe) -> None:
        """Suspect a member that answered neither direct nor indirect probes."""
        target = self.members.get(probe.target)
        if target is None or not target.is_active:
            return
        if suspicion.is_suppressed(target, now):
            self.events.count("held_back")
            return
        self.events.count("accusations")
        evidence = "no answer here"
        if probe.helpers:
            evidence = f"no answer here nor to {' '.join(probe.helpers)}"
        record = replace(target.record, state=MemberState.SUSPECTED, accuser=self.name)
        self._apply_record(now, record, evidence)

    def _push_changes(self) -> None:
        """Send changes to some members at once.

        Gossip that is carried by probes alone would be slow to reach the last member.
        """
        if not self.roster.has_unsent_changes:
            return
        self.roster.has_unsent_changes = False
        for name in self.dissemination.sample(PUSH_FANOUT):
            self.dissemination.send(name, self._gossip())

    def _settle_view(self, now: float) -> None:
        self.views.settle(now, self.members)

    # ---- datagrams

    def receive(self, now: float, source: Address, message: Message) -> None:
        """Process a datagram from `source`."""
        if self.is_silenced or message.sender == self.name:
            return
        sender = self.members.get(message.sender)
        self._compensate_for_isolation(now)
        for record in message.records:
            self._apply_gossip(now, source, message.sender, sender, record)
        self._correct_stale_records(source, message)
        if message.kind == MessageKind.PROBE and message.target != self.name:
            # The probe is for a member that had this address before.
            self.events.count("misdirected")
            return
        self._dispatch(now, source, message)
        if message.full_sync:
            self.dissemination.send_known_records(source, False, message.partition_digests)
        self._inform_sender(source, message.sender, sender)

    def _compensate_for_isolation(self, now: float) -> None:
        """Restart suspicions after a time without datagrams, in which refutations were missed."""
        if now - self._received_at > ISOLATION_MS:
            self.events.count("deaf")
            self.roster.restart_timeouts(now)
        self._received_at = now

    def _apply_gossip(
        self, now: float, source: Address, sender_name: str, sender: Member | None, record: Record
    ) -> None:
        """Apply one record of a datagram, and send a restarted sender its own newer record."""
        is_relayed = record.accuser not in ("", sender_name)
        self._apply_record(now, record, f"told by {sender_name}" if is_relayed else "")
        if sender is None or record.name != sender_name:
            return
        if sender.record.incarnation > record.incarnation:
            # The sender is a new process under that name, which does not know the incarnation of
            # the process before it.
            self.dissemination.send_to(source, self._gossip(sender.record))

    def _correct_stale_records(self, source: Address, message: Message) -> None:
        """Send the newer records to a sender of suspicions that have been refuted.

        A sender that was suspended has missed the refutations, and gossip does not repeat them.
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

    def _dispatch(self, now: float, source: Address, message: Message) -> None:
        if message.kind == MessageKind.PROBE:
            answer = Message(MessageKind.ACK, self.name, message.sequence, self.name)
            self.dissemination.send_to(source, answer)
        elif message.kind == MessageKind.ACK:
            self.detector.ack_received(message)
        elif message.kind == MessageKind.PROBE_REQUEST:
            self.detector.probe_requested(now, source, message)
        elif message.kind == MessageKind.DIGEST:
            self.anti_entropy.digest_received(now, source, message)

    def _inform_sender(self, source: Address, sender_name: str, sender: Member | None) -> None:
        """Send all records to a new member, and its own record to one that was declared dead."""
        if sender is None and sender_name not in self.members:
            self.dissemination.send_known_records(source, True)
        elif sender is not None and sender.record.state >= MemberState.DEAD:
            self.dissemination.send_to(source, self._gossip(sender.record))

    # ---- records

    def _apply_record(self, now: float, record: Record, evidence: str = "") -> None:
        """Apply a record of any member; `evidence` is written to the log."""
        if record.name == self.name:
            self._apply_own_record(now, record)
        else:
            self.roster.apply(now, record, evidence)

    def _apply_own_record(self, now: float, record: Record) -> None:
        """Process a record of this member, and refute it if it is wrong."""
        if self.is_leaving:
            return
        if self.identity.loses_name_conflict(now, record):
            self.is_silenced = True
            self.events.count("clash")
            host, port = record.address
            self.events.report("member_name_conflict", member=self.name, other=f"{host}:{port}")
        elif self.identity.needs_refutation(record):
            self._refute(record)

    def _refute(self, record: Record) -> None:
        self.events.count("refuted")
        if record.state == MemberState.SUSPECTED:
            self.detector.health.worsen()
        self.identity.refute(record)
        self.dissemination.announce(self.name)
        # The refutation is sent directly, because gossip alone could reach the accuser too late.
        recipients = []
        if record.accuser in self.members and record.accuser != self.name:
            recipients.append(record.accuser)
        recipients += self.dissemination.sample(URGENT_FANOUT)
        for name in dict.fromkeys(recipients):
            self.dissemination.send(name, self._gossip(self.identity.record))

    # ---- helpers

    def _gossip(self, *records: Record) -> Message:
        return Message(MessageKind.GOSSIP, self.name, records=records)
