"""This member's own record, which no other member may change.

Other members may hold a wrong record of this member: suspected, dead, at another address, or left
over from an earlier process of this name. If such a record has this member's incarnation or a
higher one, this member refutes it by raising its own incarnation above it. Two members with the
same name would raise each other's incarnation forever, so the one with the lower address goes
silent.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from hookpitch.members.errors import MembersError
from hookpitch.members.member import Member
from hookpitch.members.messages import MAX_METADATA_BYTES, MemberState, Record

# This number of claims by another member to this member's name within the window is a conflict.
NAME_CLAIMS_FOR_CONFLICT = 3
NAME_CONFLICT_WINDOW_MS = 10000.0


class Identity:
    """The own record; `member` is its entry in the table of all members."""

    __slots__ = ("member", "_claims")

    def __init__(self, member: Member) -> None:
        self.member = member
        self._claims: deque[float] = deque(maxlen=NAME_CLAIMS_FOR_CONFLICT)

    @property
    def record(self) -> Record:
        """The own record, as it is sent to other members."""
        return self.member.record

    def set_metadata(self, metadata: bytes) -> None:
        """Replace the metadata. Raise MembersError if it is too long."""
        if len(metadata) > MAX_METADATA_BYTES:
            raise MembersError(
                f"metadata of {len(metadata)} bytes exceeds the limit of {MAX_METADATA_BYTES}"
            )
        version = self.record.metadata_version + 1
        self.member.record = replace(self.record, metadata=metadata, metadata_version=version)

    def leave(self) -> None:
        """Mark this member as having left the fleet."""
        self.member.record = replace(self.record, state=MemberState.LEFT)

    def needs_refutation(self, record: Record) -> bool:
        """Return whether a record of this member, received from another one, has to be refuted."""
        if record.incarnation < self.record.incarnation:
            return False
        is_consistent = record.state == MemberState.ALIVE and record.address == self.record.address
        return record.incarnation > self.record.incarnation or not is_consistent

    def refute(self, record: Record) -> None:
        """Raise the own incarnation above that of a wrong record."""
        version = max(self.record.metadata_version, record.metadata_version) + 1
        self.member.record = replace(
            self.record, incarnation=record.incarnation + 1, metadata_version=version
        )

    def loses_name_conflict(self, now: float, record: Record) -> bool:
        """Return whether this member has to go silent because another member has its name.

        A record of this name at another address counts as a claim to the name.
        """
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
