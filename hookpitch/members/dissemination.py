"""Outgoing datagrams, and the gossip that rides on them.

Each change is sent about `RETRANSMIT_FACTOR` x log2 of the fleet times, the least-sent changes
first, at most `MAX_RECORDS_PER_DATAGRAM` records a datagram whatever the fleet's size. The sender's
own record is on board of every datagram that has room.
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

# Times log2 of the fleet that a change is sent.
RETRANSMIT_FACTOR = 3.0
# Records in each datagram of a full sync.
SYNC_RECORDS_PER_DATAGRAM = 12


class Dissemination:
    """One member's datagrams to come: `outbox`, which the caller sends and empties.

    `transmissions` counts by member how often its record has been sent since it changed.
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
        """Send the member's record on, as it has changed."""
        self.transmissions[name] = 0

    def reannounce(self, name: str) -> None:
        """Send the record on some more, as another member has confirmed it."""
        self.transmissions[name] = self.transmissions.get(name, 0) // 2

    def forget(self, name: str) -> None:
        """The member is no longer known."""
        self.transmissions.pop(name, None)

    def select_gossip(self, limit: int) -> tuple[Record, ...]:
        """The records that were sent least often so far; they count as sent."""
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
        """Send to a known member."""
        self.send_to(self._members[name].record.address, message)

    def send_to(self, address: Address, message: Message) -> None:
        """Send with the own record and gossip on board, as far as there is room."""
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
        """Send all that is known, in datagrams of bounded size.

        With digests of the other's partitions, only what differs: with datagrams lost, two members
        never know quite the same. `full_sync` asks for the same in return.
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
        """At most `count` other members that are alive, at random."""
        candidates = [
            name
            for name, member in self._members.items()
            if name != self._own_name
            and name not in excluding
            and member.record.state == MemberState.ALIVE
        ]
        return sorted(candidates, key=lambda _: self._random())[:count]
