"""Counts the distinct keys recently requested in each bucket, to estimate its memory use.

State: two generations of requested keys, each key with its bucket. A key counts once in the
`key_count` of its bucket, until it is in neither generation. A generation ends when it is full or
too old.
"""

from __future__ import annotations

from hookpitch.balancer.placement import BUCKETS, Bucket

MAX_KEYS = 16 * BUCKETS  # per generation


class KeyGenerations:
    """The recently requested keys."""

    __slots__ = ("_max_age_ms", "_older", "_recent", "_rotated_at")

    def __init__(self, now: float, max_age_ms: float) -> None:
        self._recent: dict[str, Bucket] = {}
        self._older: dict[str, Bucket] = {}
        self._rotated_at = now
        self._max_age_ms = max_age_ms

    def record(self, key: str, bucket: Bucket) -> None:
        """Count a requested key."""
        if key in self._recent:
            return
        if key not in self._older:
            bucket.key_count += 1
        self._recent[key] = self._older.get(key, bucket)

    def rotate_if_due(self, now: float) -> None:
        """End a generation that is full or too old, and drop the keys not requested during it."""
        if len(self._recent) < MAX_KEYS and now < self._rotated_at + self._max_age_ms:
            return
        for key, bucket in self._older.items():
            if key not in self._recent:
                bucket.key_count -= 1
        self._older = self._recent
        self._recent = {}
        self._rotated_at = now
