"""What a node took in, sent and answered; and what must hold."""

from __future__ import annotations


class Counters:
    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def add(self, name: str, by: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + by

    def check(self, holds: bool, what: str) -> None:
        """Asserted in debug builds, counted in release (`python -O`)."""
        if not holds:
            self.add("broken." + what.replace(" ", "_"))
            assert holds, what

    def render(self) -> str:
        return "".join(f"{name}:{self.counts[name]}\r\n" for name in sorted(self.counts))
