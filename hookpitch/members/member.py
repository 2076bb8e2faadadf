"""What one member keeps of another, and digests over all of it."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from zlib import crc32

from hookpitch.members.messages import PARTITIONS, MemberState, Record, partition_of

# Recoveries within `flap_damping.FLAP_WINDOW_MS` that damp a member.
FLAP_RECOVERIES = 3
# Refuted suspicions within `suspicion.REFUTED_SUSPICIONS_WINDOW_MS` after which another is
# suppressed.
MAX_REFUTED_SUSPICIONS = 3


@dataclass(slots=True)
class Member:
    """A member as it is known here. Times are milliseconds of this member's own running time."""

    record: Record
    state_since: float
    accusers: dict[str, None] = field(default_factory=dict)  # who suspects it, in order
    recovered_at: deque[float] = field(default_factory=lambda: deque(maxlen=FLAP_RECOVERIES))
    # When suspicions that were raised here were refuted.
    refuted_suspicions_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_REFUTED_SUSPICIONS)
    )
    damped_since: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether it counts as part of the fleet: a suspect is not dead yet."""
        return self.record.state <= MemberState.SUSPECTED


def digest(members: Mapping[str, Member]) -> int:
    """Over all that is known: equal where two members know the same."""
    known = sorted(
        (name, member.record.incarnation, int(member.record.state), member.record.metadata_version)
        for name, member in members.items()
    )
    return crc32(repr(known).encode())


def partition_digests(members: Mapping[str, Member]) -> tuple[int, ...]:
    """A digest of 16 bits for each partition, independent of the members' order."""
    sums = [0] * PARTITIONS
    for name, member in members.items():
        record = member.record
        text = f"{name} {record.incarnation} {int(record.state)} {record.metadata_version}"
        sums[partition_of(name)] += crc32(text.encode())
    return tuple(total & 0xFFFF for total in sums)
