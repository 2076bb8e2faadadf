"""Members' datagrams, as bytes. No I/O, no clock.

    HKM | format, 1 byte | fleet, 8 bytes | check, 8 bytes | body (msgpack array)

`fleet` is a hash of the fleet's name: another fleet's datagrams are refused unread. `check` is a
keyed hash
of the body; the key is empty now. It finds what was cut or turned on the way, and no forger: the
network has
to be trusted. A sign-in would fill the key, and nothing else would change here. Records and
messages are
arrays that later versions may make longer: what is behind the known fields is skipped. Invariants:
`read(write(x))` is x; at most `MAX_BYTES` bytes, records that do not fit are left out, the last
first;
whatever comes, `read` raises ValueError or gives a message whose fields have the bounds of
`state.py`.
"""

from __future__ import annotations

import struct
from hashlib import blake2b

import msgspec

from hookpitch.members.state import (
    MAX_METADATA_BYTES,
    MAX_PAYLOAD_BYTES,
    PARTITIONS,
    MemberState,
    Message,
    MessageKind,
    Record,
)

MAGIC, FORMAT = b"HKM", 1
HEAD = struct.Struct(">3sB8s8s")
MAX_BYTES = 1200
MAX_NAME_CHARS = 100
KINDS = tuple(MessageKind)


class Codec:
    """Of one fleet."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        self.fleet, self.key = blake2b(fleet.encode(), digest_size=8).digest(), key

    def write(self, m: Message) -> bytes:
        news = [
            (
                r.name,
                r.address[0],
                r.address[1],
                r.incarnation,
                int(r.state),
                r.accuser,
                r.metadata_version,
                r.metadata,
            )
            for r in m.records
        ]
        while True:
            fields = [
                int(m.kind),
                m.sender,
                m.number,
                m.of,
                m.full_sync,
                news,
                m.partition_digests,
                m.payload,
            ]
            body = msgspec.msgpack.encode(fields)
            if len(body) + HEAD.size <= MAX_BYTES or not news:
                return HEAD.pack(MAGIC, FORMAT, self.fleet, self._check(body)) + body
            news.pop()

    def _check(self, body: bytes) -> bytes:
        return blake2b(body, digest_size=8, key=self.key).digest()

    def read(self, data: bytes) -> Message:
        """ValueError says in one word why it is none: foreign, version, torn or wrong."""
        if len(data) < HEAD.size or len(data) > 65535:
            raise ValueError("torn")
        magic, form, fleet, check = HEAD.unpack_from(data)
        if magic != MAGIC or fleet != self.fleet:
            raise ValueError("foreign")
        if form != FORMAT:
            raise ValueError("version")
        body = data[HEAD.size :]
        if self._check(body) != check:
            raise ValueError("torn")
        try:
            kind, sender, number, of, whole, news, *more = msgspec.msgpack.decode(body)
            marks, data, *_ = *more, *((), b"")[len(more) :]  # earlier versions tell neither
            marks = tuple(marks)
            _fits(
                len(marks) in (0, PARTITIONS)
                and all(type(m) is int and 0 <= m < 1 << 16 for m in marks)
            )
            _fits(type(data) is bytes and len(data) <= MAX_PAYLOAD_BYTES)
            name = lambda x: type(x) is str and 0 < len(x) <= MAX_NAME_CHARS  # noqa: E731
            count = lambda x: type(x) is int and 0 <= x < 1 << 62  # noqa: E731
            records = tuple(
                Record(n, (h, p), i, MemberState(s), a, c, f)
                for n, h, p, i, s, a, c, f, *_ in news
                if _fits(name(n) and name(h) and count(p) and p < 65536 and count(i) and count(c))
                and _fits(
                    type(a) is str
                    and len(a) <= MAX_NAME_CHARS
                    and type(f) is bytes
                    and len(f) <= MAX_METADATA_BYTES
                )
            )
            _fits(name(sender) and count(number) and type(of) is str and len(of) <= MAX_NAME_CHARS)
            _fits(type(whole) is bool and type(kind) is int and 0 <= kind < len(KINDS))
        except (msgspec.MsgspecError, ValueError, TypeError) as fault:
            raise ValueError("wrong") from fault
        return Message(KINDS[kind], sender, number, of, records, whole, marks, data)


def _fits(holds: bool) -> bool:
    if not holds:
        raise ValueError("out of bounds")
    return True
