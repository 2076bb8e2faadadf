"""A limit on the number of events per second."""


class RateLimit:
    """Allows at most `per_second` events within each whole second of the caller's clock."""

    __slots__ = ("_count", "_per_second", "_second")

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._count = 0

    def allow(self, now: float) -> bool:
        """Count one event at `now` (ms) and return whether it is within the limit."""
        second = int(now // 1000)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._per_second
