"""What a member counts and logs of itself."""

from __future__ import annotations

from collections.abc import Callable


class EventLog:
    """`counts`: how often things happened, by name. `log` takes an event and its fields."""

    __slots__ = ("counts", "_log")

    def __init__(self, log: Callable[..., None] | None) -> None:
        self.counts: dict[str, int] = {}
        self._log = log

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def report(self, event: str, **fields: object) -> None:
        """Write a line to the log, where there is one."""
        if self._log is not None:
            self._log(event, **fields)
