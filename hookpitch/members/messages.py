"""What members send one another: records about members, and the messages that carry them.

All times are the receiver's own: no record or message holds a time. The limits bound what the
codec accepts and what a member sends.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

Address = tuple[str, int]

MAX_METADATA_BYTES = 64
MAX_PAYLOAD_BYTES = 1000
MAX_RECORDS_PER_DATAGRAM = 10
# Parts of the membership that are compared by themselves, so that only what differs is sent.
PARTITIONS = 32


def partition_of(name: str) -> int:
    """The partition that a member belongs to, the same one at every member."""
    return crc32(name.encode()) % PARTITIONS


class MemberState(IntEnum):
    """Of two records with one incarnation the one with the higher state prevails."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """The kind of a message, by its number on the wire."""

    PROBE = 0
    ACK = 1
    PROBE_REQUEST = 2
    GOSSIP = 3
    DIGEST = 4
    LIST_REQUEST = 5
    LIST_CHUNK = 6


@dataclass(frozen=True, slots=True)
class Record:
    """What is known of one member.

    `accuser` is who suspects it or called it dead. `metadata` is the owner's latest, numbered by
    `metadata_version`.
    """

    name: str
    address: Address
    incarnation: int
    state: MemberState
    accuser: str = ""
    metadata_version: int = 0
    metadata: bytes = b""


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram.

    `sequence` ties an ACK to its probe; of a DIGEST it is the digest of all that the sender knows.
    `target` is the member that is to be probed, or was. `full_sync`: the sender sends all that it
    knows and wants the same in return, of all partitions or, where `partition_digests` are given,
    of those that differ. `payload` belongs to the exchange of endpoint lists
    (`endpoint_exchange.py`).
    """

    kind: MessageKind
    sender: str
    sequence: int = 0
    target: str = ""
    records: tuple[Record, ...] = ()
    full_sync: bool = False
    partition_digests: tuple[int, ...] = ()
    payload: bytes = b""
