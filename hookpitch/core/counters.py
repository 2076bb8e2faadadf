"""Counters of what a node received, sent and answered, and of violated invariants."""

from __future__ import annotations


class Counters:
    """Holds counters by name; a counter is created by its first use."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def check(self, holds: bool, invariant: str) -> None:
        """Count an invariant that does not hold; without `python -O` also raise AssertionError.

        The text of the invariant becomes part of the counter's name, so it must not change.
        """
        if not holds:
            self.add("broken." + invariant.replace(" ", "_"))
            assert holds, invariant

    def render(self) -> str:
        """Return the counters as `INFO` shows them: `name:count` lines, sorted by name."""
        return "".join(f"{name}:{self.counts[name]}\r\n" for name in sorted(self.counts))
