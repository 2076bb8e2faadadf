"""The stored form of a snapshot: a header that identifies it, a checksum, and a msgpack body.

    HKPS | format, 2 bytes | body length, 4 bytes | blake2b of the body, 16 bytes | body (msgpack)

Invariants: `decode(encode(snapshot)) == snapshot`, for a snapshot that fits; a body that was
truncated, altered or extended is never accepted; the encoded form is at most `MAX_BYTES` long, and
what does not fit is left out, the least used first.

Unknown fields are skipped, so a later version may add fields without another format number. Keys
(`Snapshot`) and the order of fields (the other records) are stored: a field that is renamed keeps
its key by `msgspec.field(name=...)`.

No I/O and no clock: times are Unix milliseconds given by the caller, spans are milliseconds.
msgspec is an extra (`hookpitch[snapshot]`), imported by this module alone.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from hashlib import blake2b

import msgspec

MAGIC = b"HKPS"
FORMAT = 1
HEADER = struct.Struct(">4sHI16s")
CHECKSUM_BYTES = 16
MAX_BYTES = 1 << 18
MAX_BACKENDS = 1000
MAX_MOVED_BUCKETS = 2000
MAX_HOT_BUCKETS = 500
MAX_FIGURE = 1e18


class SnapshotFormatError(ValueError):
    """The bytes are no snapshot that this build can use; the text says why in one line."""


class BackendSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What was learned of one cache server, or of the origin. A time of 0 means never."""

    id: str
    started_at_ms: float  # as discovery reported it; 0: long ago
    concurrency_limit: float
    latency_ms: float  # mean
    baseline_latency_ms: float  # the lowest mean seen
    consecutive_failures: int
    ejection_ms: float  # length of the last ejection
    ejected_until_ms: float
    warmup_until_ms: float


class MovedBucket(msgspec.Struct, array_like=True, frozen=True):
    """A bucket that rebalancing has moved away from its primary."""

    number: int
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    backend_id: str


class HotBucket(msgspec.Struct, array_like=True, frozen=True):
    """A bucket with many requests: its part of `Snapshot.request_count`."""

    number: int
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    request_count: float


class EndpointSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the endpoint list, with the address to dial."""

    id: str
    zone: str
    cell: int
    started_at_ms: float
    state: int
    kind: int
    size: float
    address: str


class Snapshot(msgspec.Struct, frozen=True):
    """What one node had learned at the time of writing.

    `fleet`, `node` and `kinds` (machine kinds) identify the writer: a snapshot of another one is of
    no use here.
    """

    fleet: str
    node: str
    kinds: tuple[str, ...]
    written_at_ms: float = msgspec.field(name="written")
    version: int = msgspec.field(name="seq")  # of the endpoint list
    endpoints: tuple[EndpointSnapshot, ...] = msgspec.field(name="listed")
    backends: tuple[BackendSnapshot, ...] = msgspec.field(name="servers")
    moved_buckets: tuple[MovedBucket, ...] = msgspec.field(name="moved", default=())
    hot_buckets: tuple[HotBucket, ...] = msgspec.field(name="heavy", default=())
    request_count: float = msgspec.field(name="sighted", default=0.0)
    # Usual service time of a backend of size one.
    work_ms: float = msgspec.field(name="work", default=0.0)
    # Requests a second that a warm backend of size one serves for this node.
    warm_rate_per_s: float = msgspec.field(name="warm_rate", default=0.0)
    # How long a connection may stay idle.
    max_idle_ms: float = msgspec.field(name="idle", default=0.0)
    # Backends that an operator has banned.
    banned_ids: tuple[str, ...] = msgspec.field(name="bans", default=())


def encode(snapshot: Snapshot) -> bytes:
    """The stored form, at most `MAX_BYTES` long; what does not fit is left out."""
    snapshot = msgspec.structs.replace(
        snapshot,
        backends=snapshot.backends[:MAX_BACKENDS],
        moved_buckets=snapshot.moved_buckets[:MAX_MOVED_BUCKETS],
        hot_buckets=snapshot.hot_buckets[:MAX_HOT_BUCKETS],
    )
    body = msgspec.msgpack.encode(snapshot)
    while HEADER.size + len(body) > MAX_BYTES:
        snapshot = _reduced(snapshot)
        body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, FORMAT, len(body), _checksum(body)) + body


def _reduced(snapshot: Snapshot) -> Snapshot:
    """Less to store: moved buckets first, then backends and endpoints; hot buckets stay."""
    if snapshot.moved_buckets:
        kept = len(snapshot.moved_buckets) // 2
        return msgspec.structs.replace(snapshot, moved_buckets=snapshot.moved_buckets[:kept])
    return msgspec.structs.replace(snapshot, backends=(), endpoints=(), version=0)


def decode(data: bytes) -> Snapshot:
    """The snapshot that `data` holds. Raises SnapshotFormatError."""
    body = _verified_body(data)
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as fault:
        raise SnapshotFormatError(f"cannot be read: {fault}") from None
    # A NaN is refused, too: no comparison holds for it.
    if not all(0 <= figure < MAX_FIGURE for figure in _figures(snapshot)):
        raise SnapshotFormatError("holds a figure that no node learns")
    return snapshot


def _verified_body(data: bytes) -> bytes:
    """The body, once the header and the checksum have been verified."""
    if len(data) < HEADER.size:
        raise SnapshotFormatError(f"torn: {len(data)} bytes")
    magic, format_number, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotFormatError("no snapshot of this program")
    if format_number > FORMAT:
        raise SnapshotFormatError(f"of a newer version: format {format_number}, {FORMAT} is known")
    body = data[HEADER.size :]
    if len(body) != length or length > MAX_BYTES:
        raise SnapshotFormatError(f"torn: {len(body)} of {length} bytes")
    if _checksum(body) != checksum:
        raise SnapshotFormatError("its checksum is wrong")
    return body


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def _figures(snapshot: Snapshot) -> Iterator[float]:
    """All measurements and times, each of which has to be finite and not negative."""
    yield snapshot.written_at_ms
    yield snapshot.request_count
    yield snapshot.work_ms
    yield snapshot.warm_rate_per_s
    yield snapshot.max_idle_ms
    for bucket in snapshot.hot_buckets:
        yield bucket.request_count
    for backend in snapshot.backends:
        yield from msgspec.structs.astuple(backend)[1:]
    for endpoint in snapshot.endpoints:
        yield endpoint.started_at_ms
        yield endpoint.size
