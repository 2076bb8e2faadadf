"""Encodes and decodes the datagrams between members.

    HKM | format, 1 byte | fleet, 8 bytes | check, 8 bytes | body (msgpack array)

`fleet` is a hash of the fleet's name: datagrams of another fleet are rejected before their body is
decoded. `check` is a keyed hash of the body, at present with an empty key. It detects corruption in
transit but not forgery, so the network has to be trusted. Authentication would need a key here and
no other change.

Messages and records are arrays that later versions may extend: unknown fields at the end are
skipped. There is no I/O and no clock here. Invariants:

- `read(write(message)) == message` for a message that fits into a datagram;
- a datagram has at most `MAX_BYTES` bytes; records that do not fit are omitted, the last ones
  first;
- for any input, `read` raises DatagramError or returns a message within the limits of
  `messages.py`.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any

import msgspec

from hookpitch.members.errors import MembersError
from hookpitch.members.messages import (
    MAX_METADATA_BYTES,
    MAX_PAYLOAD_BYTES,
    PARTITIONS,
    MemberState,
    Message,
    MessageKind,
    Record,
)

MAGIC = b"HKM"
FORMAT = 1
HEADER = struct.Struct(">3sB8s8s")
HASH_BYTES = 8
MAX_BYTES = 1200
MAX_DATAGRAM_BYTES = 65535
MAX_NAME_CHARS = 100
# These limits are exclusive.
INTEGER_LIMIT = 1 << 62
PARTITION_DIGEST_LIMIT = 1 << 16
PORT_LIMIT = 65536
KINDS = tuple(MessageKind)

# Why a datagram is rejected. Each reason is the suffix of a counter (such as `members.torn`) and
# the `reason` of a log event, so these texts must not change.
REASON_FOREIGN = "foreign"  # sent by another program or another fleet
REASON_VERSION = "version"  # the format number is not FORMAT
REASON_CORRUPTED = "torn"  # the length is impossible, or the checksum does not match
REASON_MALFORMED = "wrong"  # the body is not a valid message, or a field is out of bounds


class DatagramError(MembersError):
    """A rejected datagram; the text is one of the `REASON_` constants."""


class Codec:
    """Encodes and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        self.fleet_hash = blake2b(fleet.encode(), digest_size=HASH_BYTES).digest()
        self.key = key

    def write(self, message: Message) -> bytes:
        """Return the datagram of a message, without the records that do not fit."""
        records = [_encode_record(record) for record in message.records]
        while True:
            fields = (
                int(message.kind),
                message.sender,
                message.sequence,
                message.target,
                message.full_sync,
                records,
                message.partition_digests,
                message.payload,
            )
            body = msgspec.msgpack.encode(fields)
            if HEADER.size + len(body) <= MAX_BYTES or not records:
                return HEADER.pack(MAGIC, FORMAT, self.fleet_hash, self.checksum(body)) + body
            records.pop()

    def read(self, data: bytes) -> Message:
        """Return the message that `data` holds. Raise DatagramError if it is rejected."""
        body = self._verified_body(data)
        try:
            return _parse_message(msgspec.msgpack.decode(body))
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise DatagramError(REASON_MALFORMED) from error

    def checksum(self, body: bytes) -> bytes:
        """Return the keyed hash of a body."""
        return blake2b(body, digest_size=HASH_BYTES, key=self.key).digest()

    def _verified_body(self, data: bytes) -> bytes:
        if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramError(REASON_CORRUPTED)
        magic, format_number, fleet_hash, checksum = HEADER.unpack_from(data)
        if magic != MAGIC or fleet_hash != self.fleet_hash:
            raise DatagramError(REASON_FOREIGN)
        if format_number != FORMAT:
            raise DatagramError(REASON_VERSION)
        body = data[HEADER.size :]
        if self.checksum(body) != checksum:
            raise DatagramError(REASON_CORRUPTED)
        return body


def _encode_record(record: Record) -> tuple[Any, ...]:
    host, port = record.address
    return (
        record.name,
        host,
        port,
        record.incarnation,
        int(record.state),
        record.accuser,
        record.metadata_version,
        record.metadata,
    )


def _parse_message(fields: Any) -> Message:  # noqa: ANN401 - any msgpack value
    """Return the message. Raise ValueError or TypeError if a field is out of bounds."""
    kind, sender, sequence, target, full_sync, records, *optional_fields = fields
    # Earlier versions send neither the digests nor the payload.
    digests = tuple(optional_fields[0]) if len(optional_fields) > 0 else ()
    payload = optional_fields[1] if len(optional_fields) > 1 else b""
    _require(len(digests) in (0, PARTITIONS))
    _require(
        all(type(digest) is int and 0 <= digest < PARTITION_DIGEST_LIMIT for digest in digests)
    )
    _require(_is_bytes(payload, MAX_PAYLOAD_BYTES))
    _require(_is_name(sender) and _is_unsigned_integer(sequence) and _is_text(target))
    _require(type(full_sync) is bool)
    _require(type(kind) is int and 0 <= kind < len(KINDS))
    return Message(
        kind=KINDS[kind],
        sender=sender,
        sequence=sequence,
        target=target,
        records=tuple(_parse_record(record) for record in records),
        full_sync=full_sync,
        partition_digests=digests,
        payload=payload,
    )


def _parse_record(fields: Sequence[Any]) -> Record:
    name, host, port, incarnation, state, accuser, metadata_version, metadata, *_ = fields
    _require(_is_name(name) and _is_name(host))
    _require(_is_unsigned_integer(port) and port < PORT_LIMIT)
    _require(_is_unsigned_integer(incarnation) and _is_unsigned_integer(metadata_version))
    _require(_is_text(accuser) and _is_bytes(metadata, MAX_METADATA_BYTES))
    return Record(
        name, (host, port), incarnation, MemberState(state), accuser, metadata_version, metadata
    )


def _is_text(value: object) -> bool:
    return type(value) is str and len(value) <= MAX_NAME_CHARS


def _is_name(value: object) -> bool:
    return _is_text(value) and value != ""


def _is_unsigned_integer(value: object) -> bool:
    return type(value) is int and 0 <= value < INTEGER_LIMIT


def _is_bytes(value: object, max_length: int) -> bool:
    return type(value) is bytes and len(value) <= max_length


def _require(condition: bool) -> None:
    if not condition:
        raise ValueError("a field of the datagram is out of bounds")
