"""Counters of what a node received, sent and answered, and of broken invariants."""

from __future__ import annotations


class Counters:
    """Counters by name, created when they are first used."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + by

    def check(self, holds: bool, invariant: str) -> None:
        """Count an invariant that does not hold; outside `python -O` also raise AssertionError."""
        if not holds:
            self.add("broken." + invariant.replace(" ", "_"))
            assert holds, invariant

    def render(self) -> str:
        """Return the counters as `INFO` gives them: `name:count` lines, sorted by name."""
        return "".join(f"{name}:{self.counts[name]}\r\n" for name in sorted(self.counts))
