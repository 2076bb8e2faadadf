"""JSON objects out of a stream of bytes: one a line, indented over many, or in pieces cut anywhere.

Feed what comes; take what has come whole: an object's text, or a beat (a line with nothing on it
between
two objects). Invariants: a byte is scanned once, whatever the pieces; what is held is the
beginning of one
object; a byte that can begin none is a ValueError at once. Whether it is good JSON its reader
finds out.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

BLANK = b" \t\r\n"
OUTSIDE = re.compile(
    rb'(?:[^"{}\[\]]|"[^"\\]*")*+(.)', re.DOTALL
)  # whole strings are passed over in one go
INSIDE = re.compile(rb'[^"\\]*+(.)', re.DOTALL)


class JsonStream:
    """The objects of one stream, in order. `most`: bytes of one object, at the most."""

    __slots__ = ("_held", "_at", "_depth", "_text", "_most", "_fresh")

    def __init__(self, most: int) -> None:
        self._held, self._at, self._most = bytearray(), 0, most  # `_at`: scanned up to here
        self._depth, self._text = 0, False  # open braces and brackets; within a string
        self._fresh = True  # nothing stands on the present line yet

    def __len__(self) -> int:
        """Bytes held of an object that has not come whole."""
        return len(self._held)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The whole objects, and an empty string for each beat. ValueError where no object begins,
        or one is
        too long; nothing may be fed after that."""
        self._held += data
        while True:
            if not self._depth:
                yield from self._between()
                if not self._held:
                    return
            if (end := self._scan()) < 0:
                if len(self._held) > self._most:
                    raise ValueError("an object too long")
                return
            text = bytes(self._held[:end])
            del self._held[:end]
            self._at, self._fresh = 0, False
            yield text

    def _between(self) -> Iterator[bytes]:
        """Past what stands between two objects."""
        beats = 0
        rest = self._held.lstrip(BLANK)
        for byte in self._held[: len(self._held) - len(rest)]:
            if byte == 0x0A:
                beats += self._fresh
                self._fresh = True
        if rest and rest[:1] != b"{":
            raise ValueError(f"no object begins with {bytes(rest[:20])!r}")
        self._held = rest
        for _ in range(beats):
            yield b""

    def _scan(self) -> int:
        """Where the object ends; -1 until it has come whole."""
        held, at = self._held, self._at
        while True:
            found = (INSIDE if self._text else OUTSIDE).match(held, at)
            if found is None:
                self._at = len(held)
                return -1
            at = found.end()
            byte = held[at - 1]
            if byte == 0x5C:  # a backslash, and what it stands before
                if at == len(held):
                    self._at = at - 1
                    return -1
                at += 1
            elif byte == 0x22:
                self._text = not self._text
            elif byte in b"{[":
                self._depth += 1
            else:
                self._depth -= 1
                if not self._depth:
                    return at
