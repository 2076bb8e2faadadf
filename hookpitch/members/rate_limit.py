"""A bound on how often something is done in a second."""


class RateLimit:
    """Allows `per_second` events in each whole second of the caller's clock."""

    __slots__ = ("_count", "_per_second", "_second")

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._count = 0

    def allow(self, now: float) -> bool:
        """Count one event at `now` (ms); whether it is within the bound."""
        second = int(now // 1000)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._per_second
