"""The consistent-hash ring of the caches. Look here when keys move after a change of the list.

State: `points`, sorted; each point is a 32-bit hash above the 16-bit index of its cache in
`caches`. Invariants: the points depend on the listed sizes alone, so a list that repeats itself
moves nothing; a cache that is no longer ready keeps its points until most caches are removed, so
one change of the list does not rebuild a large ring, unless the fleet has outgrown the number of
points. The origin is not on the ring.
"""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from hashlib import shake_128

from hookpitch.balancer.backend import Backend
from hookpitch.balancer.interface import EndpointState

RING_POINTS = 150  # for a cache of mean size
MIN_RING_POINTS = 8
# Of all caches in proportion to their sizes. Keys move as buckets, so that points beyond a few for
# each bucket even nothing out, while sorting them delays every RPC.
MAX_SCALED_POINTS = 1 << 16
INDEX_BITS = 16
INDEX_MASK = 0xFFFF


class HashRing:
    """The points on the ring, and the caches that they belong to."""

    __slots__ = ("caches", "points", "points_per_size")

    def __init__(self) -> None:
        self.caches: list[Backend] = []  # the same list for the router's lifetime, changed in place
        self.points: Sequence[int] = array("Q")
        self.points_per_size = 0.0  # set when the first caches are listed

    def needs_rebuild(self, resized: list[Backend]) -> bool:
        """Return whether the ring has to be built anew before these caches are added.

        It has to if most caches are removed, if a cache that has points changed its size, or if the
        fleet has outgrown the number of points.
        """
        removed = sum(cache.state == EndpointState.REMOVED for cache in self.caches)
        return (
            2 * removed > len(self.caches)
            or any(cache.ring_points for cache in resized)
            or self._is_outgrown(resized)
        )

    def _is_outgrown(self, added: list[Backend]) -> bool:
        total_size = sum(cache.size for cache in self._remaining(added))
        return self.points_per_size * total_size > 2 * MAX_SCALED_POINTS

    def _remaining(self, added: list[Backend]) -> list[Backend]:
        """Return the caches that are on the ring once these are added and others have left."""
        return [
            cache
            for cache in dict.fromkeys(self.caches + added)
            if cache.state != EndpointState.REMOVED
        ]

    def clear(self) -> None:
        """Remove every cache from the ring."""
        for cache in self.caches:
            cache.ring_points = 0
        self.caches.clear()
        self.points = array("Q")

    def set_scale(self, caches: list[Backend]) -> None:
        """Set the number of points per unit of size from the first caches.

        The scale stays, so that a cache keeps its points, until the fleet has outgrown it.
        """
        if not caches or (self.points_per_size and not self._is_outgrown(caches)):
            return
        remaining = self._remaining(caches)
        total_size = sum(cache.size for cache in remaining)
        scaled_points = min(MAX_SCALED_POINTS, RING_POINTS * len(remaining))
        self.points_per_size = scaled_points / total_size

    def add(self, caches: list[Backend]) -> None:
        """Add caches that have no points on the ring yet."""
        if not caches:
            return
        points = list(self.points)
        for cache in caches:
            wanted = MIN_RING_POINTS + self.points_per_size * cache.size
            cache.ring_points = int(min(8 * RING_POINTS, wanted))
            index = len(self.caches)
            self.caches.append(cache)
            digest = shake_128(cache.id.encode()).digest(4 * cache.ring_points)
            points += [point << INDEX_BITS | index for point in array("I", digest)]
        self.points = array("Q", sorted(points))
