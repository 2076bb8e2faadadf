"""This member's own record, which no other member may change.

A record of this member at its incarnation or a later one that is wrong (it is said to be suspected,
dead or elsewhere, or stems from a process before it) is refuted by a higher incarnation. Two
members of one name would raise each other's incarnation for ever: the one with the lower address
gives way.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from hookpitch.members.errors import MembersError
from hookpitch.members.member import Member
from hookpitch.members.messages import MAX_METADATA_BYTES, MemberState, Record

# So many claims by another member to this one's name in so long are a conflict.
NAME_CLAIMS_FOR_CONFLICT = 3
NAME_CONFLICT_WINDOW_MS = 10000.0


class Identity:
    """The own record; `member` is the entry among all members."""

    __slots__ = ("member", "_claims")

    def __init__(self, member: Member) -> None:
        self.member = member
        self._claims: deque[float] = deque(maxlen=NAME_CLAIMS_FOR_CONFLICT)

    @property
    def record(self) -> Record:
        """The record as it is sent."""
        return self.member.record

    def set_metadata(self, metadata: bytes) -> None:
        """Replace the metadata. Raises MembersError where it is too long."""
        if len(metadata) > MAX_METADATA_BYTES:
            raise MembersError(f"a fact has at most {MAX_METADATA_BYTES} bytes")
        version = self.record.metadata_version + 1
        self.member.record = replace(self.record, metadata=metadata, metadata_version=version)

    def leave(self) -> None:
        """Declare that this member has left."""
        self.member.record = replace(self.record, state=MemberState.LEFT)

    def needs_refutation(self, record: Record) -> bool:
        """Whether another member's record of this one has to be refuted."""
        if record.incarnation < self.record.incarnation:
            return False
        is_consistent = record.state == MemberState.ALIVE and record.address == self.record.address
        return record.incarnation > self.record.incarnation or not is_consistent

    def refute(self, record: Record) -> None:
        """Raise the incarnation above that of a wrong record."""
        version = max(self.record.metadata_version, record.metadata_version) + 1
        self.member.record = replace(
            self.record, incarnation=record.incarnation + 1, metadata_version=version
        )

    def loses_name_conflict(self, now: float, record: Record) -> bool:
        """Note a claim to this name, if the record is one; whether to fall silent for it."""
        is_claim = record.address != self.record.address and record.state <= MemberState.SUSPECTED
        if not is_claim or record.incarnation < self.record.incarnation:
            return False
        self._claims.append(now)
        if (
            len(self._claims) < NAME_CLAIMS_FOR_CONFLICT
            or now - self._claims[0] >= NAME_CONFLICT_WINDOW_MS
        ):
            return False
        return record.address > self.record.address
