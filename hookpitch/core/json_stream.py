"""Splits a stream of bytes into JSON objects.

An object may take one line or be indented over many lines, and the stream may be split at any byte.
This module only finds where each object ends; its caller has to parse the object. Invariants: a
byte is scanned once, however the stream is split; at most one unfinished object is buffered; a byte
that cannot begin an object raises `JsonStreamError` at once.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from hookpitch.core.errors import InputError

WHITESPACE = b" \t\r\n"
LINE_FEED = 0x0A
QUOTE = 0x22
BACKSLASH = 0x5C
HEARTBEAT = b""  # represents a blank line between two objects
MAX_QUOTED_BYTES = 20  # of the input, in the message of an error
# These match up to the next significant character; outside of a string, OUTSIDE_STRING skips whole
# strings in one step.
OUTSIDE_STRING = re.compile(rb'(?:[^"{}\[\]]|"[^"\\]*")*+(.)', re.DOTALL)
INSIDE_STRING = re.compile(rb'[^"\\]*+(.)', re.DOTALL)


class JsonStreamError(InputError):
    """Raised where the stream holds anything but objects, or an object that is too long."""


class JsonStream:
    """The objects of one stream, in order, each at most `max_object_bytes` long."""

    __slots__ = ("_buffer", "_scanned", "_depth", "_in_string", "_max_bytes", "_line_is_blank")

    def __init__(self, max_object_bytes: int) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_object_bytes
        self._scanned = 0  # offset in the buffer up to which it has been scanned
        self._depth = 0  # open braces and brackets
        self._in_string = False
        self._line_is_blank = True  # whether the current line has held only whitespace so far

    def __len__(self) -> int:
        """Return the number of buffered bytes of an unfinished object."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each object that is complete now, and `HEARTBEAT` for each blank line.

        Raises JsonStreamError if no object begins at the current byte or the object is too long;
        `feed` must not be called after that.
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
                    raise JsonStreamError(
                        f"JSON object is longer than the limit of {self._max_bytes} bytes"
                    )
                return
            text = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._scanned = 0
            self._line_is_blank = False
            yield text

    def _skip_whitespace(self) -> Iterator[bytes]:
        """Drop the whitespace between two objects, and yield `HEARTBEAT` for each blank line."""
        heartbeats = 0
        rest = self._buffer.lstrip(WHITESPACE)
        for byte in self._buffer[: len(self._buffer) - len(rest)]:
            if byte == LINE_FEED:
                if self._line_is_blank:
                    heartbeats += 1
                self._line_is_blank = True
        if rest and rest[:1] != b"{":
            raise JsonStreamError(
                f"a JSON object begins with '{{', got {bytes(rest[:MAX_QUOTED_BYTES])!r}"
            )
        self._buffer = rest
        for _ in range(heartbeats):
            yield HEARTBEAT

    def _find_object_end(self) -> int:
        """Return the offset after the end of the object; -1 until the object is complete."""
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
                if offset == len(buffer):  # the escaped character has not arrived yet
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
