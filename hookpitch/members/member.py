"""The state that one member holds of another member, and digests over all such states."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from zlib import crc32

from hookpitch.members.messages import PARTITIONS, MemberState, Record, partition_of

# A member with this number of recoveries within `flap_damping.FLAP_WINDOW_MS` is damped.
FLAP_RECOVERIES = 3
# Further suspicions are suppressed after this number of refuted suspicions within
# `suspicion.REFUTED_SUSPICIONS_WINDOW_MS`.
MAX_REFUTED_SUSPICIONS = 3


@dataclass(slots=True)
class Member:
    """A member as this member knows it.

    Times are milliseconds. `state_since` is moved forward by the time in which this member was
    suspended, so that only its own running time counts.
    """

    record: Record
    state_since: float
    # The members that suspect this one, in the order in which their suspicions arrived.
    accusers: dict[str, None] = field(default_factory=dict)
    recovered_at: deque[float] = field(default_factory=lambda: deque(maxlen=FLAP_RECOVERIES))
    # When suspicions that this member raised were refuted.
    refuted_suspicions_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_REFUTED_SUSPICIONS)
    )
    damped_since: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether the member counts as part of the fleet: a suspected member still does."""
        return self.record.state <= MemberState.SUSPECTED


def digest(members: Mapping[str, Member]) -> int:
    """Return a digest of all records: equal at two members that hold the same records."""
    known = sorted(
        (
            name,
            member.record.incarnation,
            int(member.record.state),
            member.record.metadata_version,
        )
        for name, member in members.items()
    )
    return crc32(repr(known).encode())


def partition_digests(members: Mapping[str, Member]) -> tuple[int, ...]:
    """Return a digest of 16 bits for each partition, independent of the order of the members."""
    sums = [0] * PARTITIONS
    for name, member in members.items():
        record = member.record
        text = f"{name} {record.incarnation} {int(record.state)} {record.metadata_version}"
        sums[partition_of(name)] += crc32(text.encode())
    return tuple(total & 0xFFFF for total in sums)
