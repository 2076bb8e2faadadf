"""Counts the distinct keys recently requested in each bucket, to estimate its memory use.

State: two generations of requested keys, each a bitmap with one bit for each hash of a key, and the
number of keys of each bucket in the newer one. A key counts once in the `key_count` of its bucket,
until it is in neither generation. A generation ends when it is full or too old. Invariant: the
memory is fixed, however many keys clients ask for; a full generation counts some 12% too few, as
keys with the same hash count once.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from hookpitch.balancer.placement import BUCKETS, Bucket

MAX_KEYS = 16 * BUCKETS  # per generation
HASH_BITS = 18
HASH_SHIFT = 32 - HASH_BITS
BITMAP_BYTES = 1 << (HASH_BITS - 3)


class KeyGenerations:
    """The recently requested keys."""

    __slots__ = (
        "_max_age_ms",
        "_older",
        "_recent",
        "_recent_counts",
        "_recent_total",
        "_rotated_at",
    )

    def __init__(self, now: float, max_age_ms: float) -> None:
        self._recent = bytearray(BITMAP_BYTES)
        self._older = bytearray(BITMAP_BYTES)
        self._recent_counts: dict[Bucket, int] = {}
        self._recent_total = 0
        self._rotated_at = now
        self._max_age_ms = max_age_ms

    def record(self, key: str, bucket: Bucket) -> None:
        """Count a requested key."""
        hashed = crc32(key.encode()) >> HASH_SHIFT
        index = hashed >> 3
        bit = 1 << (hashed & 7)
        if self._recent[index] & bit:
            return
        self._recent[index] |= bit
        self._recent_total += 1
        self._recent_counts[bucket] = self._recent_counts.get(bucket, 0) + 1
        if not self._older[index] & bit:
            bucket.key_count += 1

    def rotate_if_due(self, now: float, buckets: Iterable[Bucket]) -> None:
        """End a generation that is full or too old, and drop the keys not requested during it.

        `buckets`: all that exist.
        """
        if self._recent_total < MAX_KEYS and now < self._rotated_at + self._max_age_ms:
            return
        for bucket in buckets:
            bucket.key_count = self._recent_counts.get(bucket, 0)
        self._older = self._recent
        self._recent = bytearray(BITMAP_BYTES)
        self._recent_counts = {}
        self._recent_total = 0
        self._rotated_at = now
