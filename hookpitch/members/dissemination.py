"""Outgoing datagrams and the gossip that is piggybacked on them.

Each changed record is sent about `RETRANSMIT_FACTOR` * log2(fleet size) times, the records with the
fewest transmissions first. A datagram carries at most `MAX_RECORDS_PER_DATAGRAM` records at any
fleet size. The sender's own record is included in every datagram that has space for it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from math import log2

from hookpitch.members.member import Member, partition_digests
from hookpitch.members.messages import (
    MAX_RECORDS_PER_DATAGRAM,
    PARTITIONS,
    Address,
    MemberState,
    Message,
    MessageKind,
    Record,
    partition_of,
)

# A changed record is sent this factor times log2(fleet size) times.
RETRANSMIT_FACTOR = 3.0
# The number of records in each datagram of a full sync.
SYNC_RECORDS_PER_DATAGRAM = 12


class Dissemination:
    """The send queue and the gossip queue of one member.

    `outbox` holds the datagrams to send; the caller sends and clears them. `transmissions` maps the
    name of a member to the number of times that its record was sent since it last changed.
    """

    __slots__ = ("outbox", "transmissions", "_members", "_own_name", "_random")

    def __init__(
        self, own_name: str, members: Mapping[str, Member], random: Callable[[], float]
    ) -> None:
        self.outbox: list[tuple[Address, Message]] = []
        self.transmissions: dict[str, int] = {}
        self._own_name = own_name
        self._members = members
        self._random = random

    def announce(self, name: str) -> None:
        """Queue the changed record of a member for gossip."""
        self.transmissions[name] = 0

    def reannounce(self, name: str) -> None:
        """Send a record more often, because another member has confirmed it."""
        self.transmissions[name] = self.transmissions.get(name, 0) // 2

    def forget(self, name: str) -> None:
        """Remove a member that is no longer known from the gossip queue."""
        self.transmissions.pop(name, None)

    def select_gossip(self, limit: int) -> tuple[Record, ...]:
        """Return the records with the fewest transmissions, and count them as sent."""
        if not self.transmissions:
            return ()
        max_transmissions = RETRANSMIT_FACTOR * log2(len(self._members) + 1)
        names = sorted(self.transmissions, key=lambda name: (self.transmissions[name], name))
        chosen = names[:limit]
        for name in chosen:
            self.transmissions[name] += 1
            if self.transmissions[name] > max_transmissions:
                del self.transmissions[name]
        return tuple(self._members[name].record for name in chosen if name in self._members)

    def send(self, name: str, message: Message) -> None:
        """Queue a message to a known member."""
        self.send_to(self._members[name].record.address, message)

    def send_to(self, address: Address, message: Message) -> None:
        """Queue a message, and add the own record and gossip while there is space for them."""
        included = {record.name for record in message.records}
        limit = MAX_RECORDS_PER_DATAGRAM - len(message.records) - 1
        gossip = tuple(
            queued for queued in self.select_gossip(limit) if queued.name not in included
        )
        included.update(record.name for record in gossip)
        own = () if self._own_name in included else (self._members[self._own_name].record,)
        records = (message.records + own + gossip)[:MAX_RECORDS_PER_DATAGRAM]
        self.outbox.append((address, replace(message, records=records)))

    def send_known_records(
        self, address: Address, full_sync: bool, remote_digests: tuple[int, ...] = ()
    ) -> None:
        """Send all known records, in datagrams of bounded size.

        If the digests of the other member's partitions are given, send only the partitions that
        differ: while datagrams are lost, the records of two members always differ in a few places.
        `full_sync` requests the same in return.
        """
        records = [member.record for member in self._members.values()]
        own_digests: tuple[int, ...] = ()
        if len(remote_digests) == PARTITIONS:
            own_digests = partition_digests(self._members)
            differs = [
                own != remote for own, remote in zip(own_digests, remote_digests, strict=True)
            ]
            records = [record for record in records if differs[partition_of(record.name)]]
        end = max(1, len(records)) if full_sync else len(records)
        for start in range(0, end, SYNC_RECORDS_PER_DATAGRAM):
            requests_sync = full_sync and start == 0
            message = Message(
                MessageKind.GOSSIP,
                self._own_name,
                records=tuple(records[start : start + SYNC_RECORDS_PER_DATAGRAM]),
                full_sync=requests_sync,
                partition_digests=own_digests if requests_sync else (),
            )
            self.outbox.append((address, message))

    def sample(self, count: int, excluding: Collection[str] = ()) -> list[str]:
        """Return at most `count` random other members that are alive and not suspected."""
        candidates = [
            name
            for name, member in self._members.items()
            if name != self._own_name
            and name not in excluding
            and member.record.state == MemberState.ALIVE
        ]
        return sorted(candidates, key=lambda _: self._random())[:count]
