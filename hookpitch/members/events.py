"""Counters and log events of one member."""

from __future__ import annotations

from collections.abc import Callable


class EventLog:
    """Counts events and writes log events.

    `counts` holds the number of events by counter name. `log` is called with the name of a log
    event and its fields.
    """

    __slots__ = ("counts", "_log")

    def __init__(self, log: Callable[..., None] | None) -> None:
        self.counts: dict[str, int] = {}
        self._log = log

    def count(self, name: str) -> None:
        """Add one to the counter `name`."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def report(self, event: str, **fields: object) -> None:
        """Write a log event, if there is a log."""
        if self._log is not None:
            self._log(event, **fields)
