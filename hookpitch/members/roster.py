"""The records of the other members: applies received records, and expires old states.

Of two records of one member the one with the higher incarnation prevails, and at equal incarnations
the one with the higher state. A member is suspected for at least `suspicion.MIN_SUSPICION_MS` of
this member's own running time before it is declared dead. Memory is bounded: there are at most
`MAX_MEMBERS` members, and the one that has been dead for longest is removed first. Times are
milliseconds given by the caller.
"""

from __future__ import annotations

from dataclasses import replace

from hookpitch.members import flap_damping, suspicion
from hookpitch.members.dissemination import Dissemination
from hookpitch.members.events import EventLog
from hookpitch.members.member import MAX_REFUTED_SUSPICIONS, Member
from hookpitch.members.messages import MemberState, Record
from hookpitch.members.view import ViewPublisher

# The time for which the record of a dead member is retained, so that older records have no effect.
TOMBSTONE_MS = 600000.0
MAX_MEMBERS = 2000


class Roster:
    """The other members as one member knows them.

    `members` also has this member's own record, which only `identity.py` changes.
    `has_unsent_changes`: a record has changed since the caller last cleared this flag.
    """

    __slots__ = (
        "has_unsent_changes",
        "members",
        "_dissemination",
        "_events",
        "_own_name",
        "_views",
        "_with_timeout",
    )

    def __init__(
        self,
        own_name: str,
        members: dict[str, Member],
        dissemination: Dissemination,
        views: ViewPublisher,
        events: EventLog,
    ) -> None:
        self.members = members
        self.has_unsent_changes = False
        self._own_name = own_name
        self._dissemination = dissemination
        self._views = views
        self._events = events
        # The members that are suspected, dead, left or damped, in order of that change.
        self._with_timeout: dict[str, None] = {}

    # ---- timeouts

    def extend_timeouts(self, suspended_ms: float) -> None:
        """Extend all timeouts by a time in which this member was suspended."""
        for name in self._with_timeout:
            self.members[name].state_since += suspended_ms

    def restart_timeouts(self, now: float) -> None:
        """Restart all timeouts."""
        for name in self._with_timeout:
            self.members[name].state_since = now

    def expire_timeouts(self, now: float, health_penalty: int) -> None:
        """End the suspicions, tombstones and damping whose timeouts have passed."""
        for name in list(self._with_timeout):
            known = self.members[name]
            state = known.record.state
            if self._is_suspicion_expired(now, known, health_penalty):
                dead = replace(known.record, state=MemberState.DEAD, accuser=self._own_name)
                self.apply(now, dead)
            elif state >= MemberState.DEAD and now - known.state_since > TOMBSTONE_MS:
                del self.members[name]
                del self._with_timeout[name]
            elif flap_damping.has_stabilized(known, now):
                flap_damping.end_damping(known)
                self._views.note_change(now)
            elif state == MemberState.ALIVE and known.damped_since is None:
                del self._with_timeout[name]

    def _is_suspicion_expired(self, now: float, suspect: Member, health_penalty: int) -> bool:
        """Return whether the member has been suspected for long enough to declare it dead."""
        if suspect.record.state != MemberState.SUSPECTED:
            return False
        timeout_ms = suspicion.timeout_ms(suspect, len(self.members), health_penalty)
        return now - suspect.state_since >= timeout_ms

    # ---- records

    def apply(self, now: float, record: Record, evidence: str = "") -> None:
        """Apply a record of another member; `evidence` is written to the log."""
        known = self.members.get(record.name)
        if known is None:
            self._add_member(now, record, evidence)
            return
        if record.incarnation < known.record.incarnation:
            self._events.count("stale")
            return
        if record.incarnation == known.record.incarnation:
            self._merge_same_incarnation(known, record)
            if record.state <= known.record.state:
                return
            record = _with_metadata_of(record, known.record)
        elif _has_older_metadata(record, known.record):
            record = _with_metadata_of(record, known.record)
        previous = known.record
        known.record = record
        self._record_changed(now, known, previous, evidence)

    def _add_member(self, now: float, record: Record, evidence: str) -> None:
        if len(self.members) >= MAX_MEMBERS and not self._evict_tombstone():
            self._events.count("crowded")
            return
        added = Member(record, now)
        self.members[record.name] = added
        if record.state >= MemberState.DEAD:
            self._with_timeout[record.name] = None  # retained against older records
            return
        self._record_changed(now, added, None, evidence)

    def _evict_tombstone(self) -> bool:
        """Remove the member that has been dead for longest, and return whether there was one."""
        tombstones = [name for name in self._with_timeout if not self.members[name].is_active]
        if not tombstones:
            return False
        oldest = min(tombstones, key=lambda name: self.members[name].state_since)
        del self.members[oldest]
        del self._with_timeout[oldest]
        self._dissemination.forget(oldest)
        return True

    def _merge_same_incarnation(self, known: Member, record: Record) -> None:
        """Take over a further accuser and newer metadata from a record of equal incarnation."""
        are_both_suspected = record.state == MemberState.SUSPECTED == known.record.state
        if are_both_suspected and suspicion.confirm(known, record.accuser):
            self._dissemination.reannounce(record.name)
        if _has_older_metadata(known.record, record):
            known.record = _with_metadata_of(known.record, record)
            self._dissemination.announce(record.name)

    def _record_changed(
        self, now: float, changed: Member, previous: Record | None, evidence: str
    ) -> None:
        """Update all state after a record has changed; `previous` is None for a new member."""
        record = changed.record
        changed.state_since = now
        if record.state == MemberState.ALIVE and self._own_name in changed.accusers:
            self._suspicion_refuted(now, changed)
        is_suspected = record.state == MemberState.SUSPECTED
        changed.accusers = {record.accuser: None} if is_suspected else {}
        if record.state != MemberState.ALIVE:
            self._with_timeout[record.name] = None
        if previous is None or previous.state != record.state:
            was_dead = previous is not None and previous.state >= MemberState.DEAD
            if was_dead and record.state == MemberState.ALIVE:
                self._note_recovery(now, changed)
            self._report_state(record, evidence)
        self._dissemination.announce(record.name)
        self._views.note_change(now)
        self.has_unsent_changes = True

    def _suspicion_refuted(self, now: float, refuter: Member) -> None:
        if suspicion.note_refutation(refuter, now):
            self._events.report(
                "member_suspicions_held_back",
                member=refuter.record.name,
                unconfirmed=MAX_REFUTED_SUSPICIONS,
            )

    def _note_recovery(self, now: float, recovered: Member) -> None:
        """Omit a member from views if it has recovered too often."""
        if not flap_damping.note_recovery(recovered, now):
            return
        name = recovered.record.name
        if recovered.damped_since is None:
            self._events.count("flapping")
            self._events.report("member_damped", member=name, ms=flap_damping.DAMPED_MS)
        recovered.damped_since = now
        self._with_timeout[name] = None

    def _report_state(self, record: Record, evidence: str) -> None:
        state = record.state.name.lower()
        self._events.count(state)
        accuser = f" by {record.accuser}" if record.accuser else ""
        details = f", {evidence}" if evidence and record.state != MemberState.ALIVE else ""
        text = f"{record.name} {state}{accuser}{details}, incarnation {record.incarnation}"
        self._events.report("members", what=text)


def _has_older_metadata(record: Record, other: Record) -> bool:
    """Return whether `other` has newer metadata and is of the same address."""
    return record.metadata_version < other.metadata_version and record.address == other.address


def _with_metadata_of(record: Record, other: Record) -> Record:
    return replace(record, metadata=other.metadata, metadata_version=other.metadata_version)
