"""The stored form of a snapshot: a header that identifies it, a checksum, and a msgpack body.

    HKPS | format, 2 bytes | body length, 4 bytes | blake2b of the body, 16 bytes | body (msgpack)

Invariants: `decode(encode(snapshot)) == snapshot` for a snapshot that fits; a body that was
truncated, altered or extended is never accepted; the encoded form is at most `MAX_BYTES` long, and
data that does not fit is left out, the least used first.

Unknown fields are skipped, so a later version may add fields without changing the format number.
The stored form contains the keys of `Snapshot` and, for the other records, the order of the fields.
A field of `Snapshot` that is renamed keeps its key by `msgspec.field(name=...)`.

This module does no I/O and reads no clock: times are Unix milliseconds given by the caller,
durations are in milliseconds. msgspec is an optional dependency (`hookpitch[snapshot]`), imported
by this module only.
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
MAX_NUMBER = 1e18


class SnapshotFormatError(ValueError):
    """Raised for bytes that are no snapshot of a known format; the one-line message says why."""


class BackendSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What was learned of one cache server, or of the origin. A time of 0 means never."""

    id: str
    started_at_ms: float  # as reported by discovery; 0: long ago
    concurrency_limit: float
    latency_ms: float  # the mean
    baseline_latency_ms: float  # the lowest mean seen
    consecutive_failures: int
    ejection_ms: float  # length of the last ejection
    ejected_until_ms: float
    warmup_until_ms: float


class MovedBucket(msgspec.Struct, array_like=True, frozen=True):
    """A bucket that rebalancing has moved from its primary backend to another one."""

    number: int
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    backend_id: str


class HotBucket(msgspec.Struct, array_like=True, frozen=True):
    """A bucket with many requests; its `request_count` is a part of `Snapshot.request_count`."""

    number: int
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    request_count: float


class EndpointSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the endpoint list, with the address to connect to."""

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

    `fleet`, `node` and `kinds` (machine kinds) identify the writer: another node has no use for its
    snapshot.
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
    # The usual service time of a backend of size one.
    work_ms: float = msgspec.field(name="work", default=0.0)
    # The requests per second that a backend of size one serves for this node once it is warm.
    warm_rate_per_s: float = msgspec.field(name="warm_rate", default=0.0)
    # How long a connection may stay idle.
    max_idle_ms: float = msgspec.field(name="idle", default=0.0)
    # The backends that an operator has banned.
    banned_ids: tuple[str, ...] = msgspec.field(name="bans", default=())


def encode(snapshot: Snapshot) -> bytes:
    """Return the stored form, at most `MAX_BYTES` long; data that does not fit is left out."""
    snapshot = msgspec.structs.replace(
        snapshot,
        backends=snapshot.backends[:MAX_BACKENDS],
        moved_buckets=snapshot.moved_buckets[:MAX_MOVED_BUCKETS],
        hot_buckets=snapshot.hot_buckets[:MAX_HOT_BUCKETS],
    )
    body = msgspec.msgpack.encode(snapshot)
    while HEADER.size + len(body) > MAX_BYTES:
        snapshot = _reduce(snapshot)
        body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, FORMAT, len(body), _checksum(body)) + body


def _reduce(snapshot: Snapshot) -> Snapshot:
    """Drop half of the moved buckets or, without any, the backends and endpoints; keep the rest."""
    if snapshot.moved_buckets:
        kept_count = len(snapshot.moved_buckets) // 2
        return msgspec.structs.replace(snapshot, moved_buckets=snapshot.moved_buckets[:kept_count])
    return msgspec.structs.replace(snapshot, backends=(), endpoints=(), version=0)


def decode(data: bytes) -> Snapshot:
    """Return the snapshot that `data` contains; raise SnapshotFormatError if there is none."""
    body = _verified_body(data)
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotFormatError(f"invalid body: {error}") from None
    # This rejects NaN, too, as every comparison with NaN is false.
    if not all(0 <= number < MAX_NUMBER for number in _numbers(snapshot)):
        raise SnapshotFormatError(f"contains a number outside the range 0 to {MAX_NUMBER:g}")
    return snapshot


def _verified_body(data: bytes) -> bytes:
    """Verify the header and the checksum, and return the body."""
    if len(data) < HEADER.size:
        raise SnapshotFormatError(
            f"truncated: {len(data)} bytes, but the header alone has {HEADER.size}"
        )
    magic, format_number, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotFormatError(f"not a snapshot: begins with {magic!r}, expected {MAGIC!r}")
    if format_number > FORMAT:
        raise SnapshotFormatError(
            f"written by a newer version: format {format_number}, this build reads up to {FORMAT}"
        )
    body = data[HEADER.size :]
    if len(body) != length or length > MAX_BYTES:
        raise SnapshotFormatError(
            f"body of {len(body)} bytes, but the header states {length} (limit {MAX_BYTES})"
        )
    if _checksum(body) != checksum:
        raise SnapshotFormatError("checksum mismatch: the body was altered")
    return body


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def _numbers(snapshot: Snapshot) -> Iterator[float]:
    """Yield all measurements and times, each of which has to be finite and not negative."""
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
