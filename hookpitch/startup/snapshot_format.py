"""What a node has learned, as bytes: a head that says what it is, a checksum, and a body by
msgspec.

    HKPS | format, 2 bytes | length of the body, 4 bytes | blake2b of the body, 16 bytes | body (msgpack)

Invariants: `read(write(x)) == x`; a body that was cut, turned or added to is never taken (`read`
raises); a
snapshot is at most `BYTES_MOST` long, and what does not fit is left out, the least used first.
Unknown fields
are skipped, so a later version may add some without another format number. No I/O, no clock: times
are Unix
milliseconds, told. msgspec is an extra (`hookpitch[snapshot]`), imported with this module alone.
"""  # noqa: E501

from __future__ import annotations

import struct
from hashlib import blake2b

import msgspec

MAGIC, FORMAT = b"HKPS", 1
HEAD = struct.Struct(">4sHI16s")
BYTES_MOST = 1 << 18
SERVERS_MOST, MOVED_MOST, HEAVY_MOST = 1000, 2000, 500


class BackendSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One cache server, or the origin. Spans in ms; times in Unix ms, 0 for never."""

    id: str
    started: float  # as the list had it; 0: long ago
    limit: float  # transmissions out at once
    latency: float  # its mean answer
    usual: float  # the least that this has been
    failures: int  # in a row
    backoff: float  # the last pause off the path
    off_until: float
    cold_until: float


class MovedBucket(msgspec.Struct, array_like=True, frozen=True):
    """A bucket that a round has moved away from its home."""

    number: int
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    to: str


class HotBucket(msgspec.Struct, array_like=True, frozen=True):
    """A bucket that is asked for much: its sightings among `Learned.sighted`."""

    number: int
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    seen: float


class EndpointSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the list, with where to dial it."""

    id: str
    zone: str
    cell: int
    started: float
    state: int
    kind: int
    size: float
    dial: str


class Snapshot(msgspec.Struct, frozen=True):
    """What one node had learned when it was written."""

    fleet: (
        str  # of whom: a snapshot of another fleet, node or set of machine kinds says nothing here
    )
    node: str
    kinds: tuple[str, ...]
    written: float  # Unix ms
    seq: int  # the list's version
    listed: tuple[EndpointSnapshot, ...]
    servers: tuple[BackendSnapshot, ...]
    moved: tuple[MovedBucket, ...] = ()
    heavy: tuple[HotBucket, ...] = ()
    sighted: float = 0.0
    work: float = 0.0  # the usual time of an answer by a server of size one, ms
    warm_rate: float = 0.0  # RPCs a second that a warm server of size one answers for this node
    idle: float = 0.0  # how long a connection may be idle, ms
    bans: tuple[str, ...] = ()  # servers that an operator has left out


def write(x: Snapshot) -> bytes:
    """The snapshot; what does not fit is left out, heavy buckets last."""
    x = msgspec.structs.replace(
        x, servers=x.servers[:SERVERS_MOST], moved=x.moved[:MOVED_MOST], heavy=x.heavy[:HEAVY_MOST]
    )
    body = msgspec.msgpack.encode(x)
    while len(body) + HEAD.size > BYTES_MOST:
        most = len(x.moved) // 2
        halves = {"moved": x.moved[:most]} if x.moved else {"servers": (), "listed": (), "seq": 0}
        x = msgspec.structs.replace(x, **halves)
        body = msgspec.msgpack.encode(x)
    return HEAD.pack(MAGIC, FORMAT, len(body), blake2b(body, digest_size=16).digest()) + body


def read(data: bytes) -> Snapshot:
    """ValueError says in one line why it is none."""
    if len(data) < HEAD.size:
        raise ValueError(f"torn: {len(data)} bytes")
    magic, form, length, check = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise ValueError("no snapshot of this program")
    if form > FORMAT:
        raise ValueError(f"of a newer version: format {form}, {FORMAT} is known")
    body = data[HEAD.size :]
    if len(body) != length or length > BYTES_MOST:
        raise ValueError(f"torn: {len(body)} of {length} bytes")
    if blake2b(body, digest_size=16).digest() != check:
        raise ValueError("its checksum is wrong")
    try:
        x = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as fault:
        raise ValueError(f"cannot be read: {fault}") from None
    figures = [x.written, x.sighted, x.work, x.warm_rate, x.idle, *(h.seen for h in x.heavy)]
    figures += [f for s in x.servers for f in msgspec.structs.astuple(s)[1:]]
    figures += [f for e in x.listed for f in (e.started, e.size)]
    if not all(0 <= f < 1e18 for f in figures):  # nor is 'nan' a figure
        raise ValueError("holds a figure that no node learns")
    return x
