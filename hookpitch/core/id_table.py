"""The ids of RPCs that must not be forwarded again, for as long as clients may send them again.

A table of fixed size in a buffer of bytes: an anonymous one, or a file that the processes of one
node share. Each slot holds a 64-bit hash of an id and the time until which the id is kept, in
seconds of the machine's monotonic clock, which all processes read alike and no step of the wall
clock moves. Invariants: an id is kept until its time at least; an id that finds no free slot is not
added, so that none is forgotten early. Of two processes that add at the same moment in the same
slot, one may overwrite the other's id.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from struct import Struct
from typing import Protocol

SLOT = Struct("<8sd")
SLOTS = 1 << 14
TABLE_BYTES = SLOTS * SLOT.size
HASH_BYTES = 8
PROBES = 16  # slots that one id may be in


class Buffer(Protocol):
    """A writable buffer, such as a bytearray or a mapped file."""

    def __len__(self) -> int:
        """Return the number of bytes."""


class IdTable:
    """A set of ids that forgets each one after its time."""

    def __init__(self, monotonic: Callable[[], float], buffer: Buffer | None = None) -> None:
        """Use a buffer of `TABLE_BYTES`; without one, the first id to be added allocates it."""
        self._monotonic = monotonic
        self._buffer = buffer

    def __contains__(self, rpc_id: bytes) -> bool:
        return self._buffer is not None and self._find(_hash(rpc_id)) is not None

    def add(self, rpc_id: bytes, keep_s: float) -> bool:
        """Keep an id for `keep_s` seconds; return False if there is no room for it."""
        if self._buffer is None:
            self._buffer = bytearray(TABLE_BYTES)
        hashed = _hash(rpc_id)
        now = self._monotonic()
        offset = self._find(hashed)
        if offset is None:
            offset = self._find_free(hashed, now)
        if offset is None:
            return False
        SLOT.pack_into(self._buffer, offset, hashed, now + keep_s)
        return True

    def remove(self, rpc_id: bytes) -> None:
        """Forget an id."""
        offset = None if self._buffer is None else self._find(_hash(rpc_id))
        if offset is not None:
            SLOT.pack_into(self._buffer, offset, bytes(HASH_BYTES), 0.0)

    def _find(self, hashed: bytes) -> int | None:
        now = self._monotonic()
        for offset in _offsets(hashed):
            kept, until = SLOT.unpack_from(self._buffer, offset)
            if kept == hashed and until > now:
                return offset
        return None

    def _find_free(self, hashed: bytes, now: float) -> int | None:
        for offset in _offsets(hashed):
            if SLOT.unpack_from(self._buffer, offset)[1] <= now:
                return offset
        return None


def _hash(rpc_id: bytes) -> bytes:
    return blake2b(rpc_id, digest_size=HASH_BYTES).digest()


def _offsets(hashed: bytes) -> range:
    """Return the offsets of the slots that an id may be in."""
    first = int.from_bytes(hashed, "little") % (SLOTS - PROBES)
    return range(first * SLOT.size, (first + PROBES) * SLOT.size, SLOT.size)
