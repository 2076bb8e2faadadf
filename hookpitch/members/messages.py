"""The messages between members, and the records of members that the messages carry.

No record or message holds a time: each receiver uses its own clock. The limits apply to what a
member sends and to what the codec accepts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

Address = tuple[str, int]

MAX_METADATA_BYTES = 64
MAX_PAYLOAD_BYTES = 1000
MAX_RECORDS_PER_DATAGRAM = 10
# Anti-entropy divides the members into this number of partitions by a hash of their names. Each
# partition has its own digest, so that only the partitions that differ are sent.
PARTITIONS = 32


def partition_of(name: str) -> int:
    """Return the partition that a member belongs to, which is the same at every member."""
    return crc32(name.encode()) % PARTITIONS


class MemberState(IntEnum):
    """The state of a member: of two records with equal incarnations the higher state prevails."""

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

    `accuser` is the member that suspects it or declared it dead, empty for other states. `metadata`
    is set by the member itself; `metadata_version` numbers its changes.
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

    `sequence` matches an ACK to its probe; in a DIGEST it is the digest of all records of the
    sender. `target` is the member to probe, or in an ACK the member that was probed. `full_sync`
    requests the receiver's records in return: all of them or, if `partition_digests` are given,
    those of the partitions that differ. `payload` is used by the exchange of endpoint lists
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
