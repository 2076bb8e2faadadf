"""Splits a stream of bytes into JSON objects: one a line, indented over many lines, cut anywhere.

Only the extent of each object is found here; whether it is valid JSON is its reader's concern.
Invariants: a byte is scanned once, however the stream is cut; only the beginning of one object is
held; a byte that cannot begin an object raises `JsonStreamError` at once.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from hookpitch.core.errors import InputError

WHITESPACE = b" \t\r\n"
LINE_FEED = 0x0A
QUOTE = 0x22
BACKSLASH = 0x5C
HEARTBEAT = b""  # stands for a blank line between two objects
SHOWN_BYTES = 20  # of the input, in an error's message
# Up to the next character that matters; outside of a string, whole strings are skipped in one step.
OUTSIDE_STRING = re.compile(rb'(?:[^"{}\[\]]|"[^"\\]*")*+(.)', re.DOTALL)
INSIDE_STRING = re.compile(rb'[^"\\]*+(.)', re.DOTALL)


class JsonStreamError(InputError):
    """The stream holds something that is no object, or an object that is too long."""


class JsonStream:
    """The objects of one stream, in order, each of at most `max_object_bytes`."""

    __slots__ = ("_buffer", "_scanned", "_depth", "_in_string", "_max_bytes", "_line_is_blank")

    def __init__(self, max_object_bytes: int) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_object_bytes
        self._scanned = 0  # offset in the buffer
        self._depth = 0  # open braces and brackets
        self._in_string = False
        self._line_is_blank = True  # so far, of the line between two objects

    def __len__(self) -> int:
        """Bytes held of an unfinished object."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each object that is complete now, and `HEARTBEAT` for each blank line.

        Raises JsonStreamError where no object begins or one is too long; after that nothing may be
        fed any more.
        """
        self._buffer += data
        while True:
            if not self._depth:
                yield from self._skip_whitespace()
                if not self._buffer:
                    return
            end = self._find_object_end()
            if end < 0:
                if len(self._buffer) > self._max_bytes:
                    raise JsonStreamError("an object too long")
                return
            text = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._scanned = 0
            self._line_is_blank = False
            yield text

    def _skip_whitespace(self) -> Iterator[bytes]:
        """Drop what stands between two objects."""
        heartbeats = 0
        rest = self._buffer.lstrip(WHITESPACE)
        for byte in self._buffer[: len(self._buffer) - len(rest)]:
            if byte == LINE_FEED:
                if self._line_is_blank:
                    heartbeats += 1
                self._line_is_blank = True
        if rest and rest[:1] != b"{":
            raise JsonStreamError(f"no object begins with {bytes(rest[:SHOWN_BYTES])!r}")
        self._buffer = rest
        for _ in range(heartbeats):
            yield HEARTBEAT

    def _find_object_end(self) -> int:
        """Return the offset behind the object; -1 until it is complete."""
        buffer = self._buffer
        offset = self._scanned
        while True:
            pattern = INSIDE_STRING if self._in_string else OUTSIDE_STRING
            found = pattern.match(buffer, offset)
            if found is None:
                self._scanned = len(buffer)
                return -1
            offset = found.end()
            byte = buffer[offset - 1]
            if byte == BACKSLASH:
                if offset == len(buffer):  # the escaped character has not come yet
                    self._scanned = offset - 1
                    return -1
                offset += 1
            elif byte == QUOTE:
                self._in_string = not self._in_string
            elif byte in b"{[":
                self._depth += 1
            else:
                self._depth -= 1
                if not self._depth:
                    return offset
