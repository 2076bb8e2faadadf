"""Members' datagrams as bytes.

    HKM | format, 1 byte | fleet, 8 bytes | check, 8 bytes | body (msgpack array)

`fleet` is a hash of the fleet's name: another fleet's datagrams are refused unread. `check` is a
keyed hash of the body, with an empty key at present. It detects damage in transit and no forger:
the network has to be trusted. Authentication would fill the key, and nothing else would change.

Messages and records are arrays that later versions may extend: fields behind the known ones are
skipped. Invariants: `read(write(message)) == message`, for a message that fits; at most `MAX_BYTES`
bytes, records that do not fit are left out, the last first; whatever comes, `read` raises
DatagramError or returns a message within the bounds of `messages.py`. No I/O and no clock.
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
INTEGER_LIMIT = 1 << 62
PARTITION_DIGEST_LIMIT = 1 << 16
PORT_LIMIT = 65536
KINDS = tuple(MessageKind)


class DatagramError(MembersError):
    """A datagram that is refused.

    The text is one word, part of a counter's name: foreign (of another program or fleet), version,
    torn (damaged) or wrong (a body out of bounds).
    """


class Codec:
    """Reads and writes the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        self.fleet_hash = blake2b(fleet.encode(), digest_size=HASH_BYTES).digest()
        self.key = key

    def write(self, message: Message) -> bytes:
        """The datagram, without the records that do not fit."""
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
        """The message that `data` holds. Raises DatagramError."""
        body = self._verified_body(data)
        try:
            return _parse_message(msgspec.msgpack.decode(body))
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise DatagramError("wrong") from error

    def checksum(self, body: bytes) -> bytes:
        """The keyed hash of a body."""
        return blake2b(body, digest_size=HASH_BYTES, key=self.key).digest()

    def _verified_body(self, data: bytes) -> bytes:
        if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramError("torn")
        magic, format_number, fleet_hash, checksum = HEADER.unpack_from(data)
        if magic != MAGIC or fleet_hash != self.fleet_hash:
            raise DatagramError("foreign")
        if format_number != FORMAT:
            raise DatagramError("version")
        body = data[HEADER.size :]
        if self.checksum(body) != checksum:
            raise DatagramError("torn")
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


def _parse_message(fields: Any) -> Message:  # noqa: ANN401 - whatever a datagram holds
    """Raises ValueError or TypeError where a field is out of bounds."""
    kind, sender, sequence, target, full_sync, records, *optional_fields = fields
    # Earlier versions send neither of these.
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
        raise ValueError("out of bounds")
