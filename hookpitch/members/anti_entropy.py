"""Anti-entropy: repairs what gossip missed, and reconnects after network partitions.

Each member periodically sends a digest of all its records to another member. If the other member's
digest differs, the two exchange the records of the partitions (`PARTITIONS` in `messages.py`) that
differ. The interval between digests doubles up to `MAX_SYNC_INTERVAL_MS` while all digests agree,
and is divided by 4 down to `MIN_SYNC_INTERVAL_MS` when one differs. Times are milliseconds given by
the caller.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from hookpitch.members.dissemination import Dissemination
from hookpitch.members.member import Member, digest, partition_digests
from hookpitch.members.messages import Address, MemberState, Message, MessageKind

MIN_SYNC_INTERVAL_MS = 1000.0
MAX_SYNC_INTERVAL_MS = 16000.0
# Time between two attempts to reach a dead member or an unknown seed, because a network partition
# may have ended.
RECONNECT_INTERVAL_MS = 5000.0


class AntiEntropy:
    """Periodic digest comparisons and reconnect attempts of one member."""

    __slots__ = (
        "_dissemination",
        "_members",
        "_own_name",
        "_random",
        "_reconnect_at",
        "_seeds",
        "_sync_at",
        "_sync_interval_ms",
    )

    def __init__(
        self,
        now: float,
        own_name: str,
        members: Mapping[str, Member],
        seeds: tuple[Address, ...],
        dissemination: Dissemination,
        random: Callable[[], float],
    ) -> None:
        self._own_name = own_name
        self._members = members
        self._seeds = seeds
        self._dissemination = dissemination
        self._random = random
        self._sync_at = now
        self._sync_interval_ms = MIN_SYNC_INTERVAL_MS
        self._reconnect_at = now

    def tick(self, now: float) -> None:
        """Send a digest and attempt to reconnect, each if it is due."""
        if now >= self._sync_at:
            self._sync_interval_ms = min(MAX_SYNC_INTERVAL_MS, 2 * self._sync_interval_ms)
            self._sync_at = self._next_sync(now)
            self.send_digest()
        if now >= self._reconnect_at:
            self._reconnect_at = now + RECONNECT_INTERVAL_MS * (0.5 + self._random())
            self.reconnect()

    def digest_received(self, now: float, source: Address, message: Message) -> None:
        """Exchange the records that differ from the sender's, and send the next digest sooner."""
        if message.sequence == digest(self._members):
            return
        self._sync_interval_ms = max(MIN_SYNC_INTERVAL_MS, self._sync_interval_ms / 4)
        self._sync_at = min(self._sync_at, self._next_sync(now))
        self._dissemination.send_known_records(source, True, message.partition_digests)

    def send_digest(self) -> None:
        """Send the digest of all known records to a random member."""
        for name in self._dissemination.sample(1):
            message = Message(
                MessageKind.DIGEST,
                self._own_name,
                digest(self._members),
                partition_digests=partition_digests(self._members),
            )
            self._dissemination.send(name, message)

    def reconnect(self) -> None:
        """Contact a dead member or an unknown seed, because a network partition may have ended."""
        known = self._members.values()
        dead = [
            member.record.address for member in known if member.record.state == MemberState.DEAD
        ]
        active = {member.record.address for member in known if member.is_active}
        candidates = [address for address in (*self._seeds, *dead) if address not in active]
        if candidates:
            chosen = candidates[int(self._random() * len(candidates)) % len(candidates)]
            message = Message(MessageKind.GOSSIP, self._own_name, full_sync=True)
            self._dissemination.send_to(chosen, message)

    def _next_sync(self, now: float) -> float:
        return now + self._sync_interval_ms * (0.5 + self._random())
