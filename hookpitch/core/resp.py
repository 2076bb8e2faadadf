"""RESP2, the Redis protocol: an incremental parser, and encoders for commands and bulk strings.

The parser reads bytes from a `Ring` and returns one complete value at a time, however the bytes
were split. Invariants: the size of an unfinished value is bounded by the limits below; input that
violates the format or a limit raises `ProtocolError`, after which the parser must not be used.

The message of a `ProtocolError` that a client's command can raise is sent to the client as
`-ERR <message>`. These messages are part of the protocol and must not change.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Final

from hookpitch.core.errors import InputError
from hookpitch.core.ring import Ring

MAX_BULK_BYTES = 65536
MAX_LINE_BYTES = 4096
MAX_COMMAND_LINE_BYTES = 512  # the lines of a command are the headers of its words alone
MAX_ARRAY_ITEMS = 16
MAX_ARRAY_DEPTH = 4
MAX_COMMAND_WORD_BYTES = 2048  # a longer word of a command is dropped, as no command has one
MAX_BUFFERED_VALUE_BYTES = 4096  # the value of a command up to this size is read with its words
MAX_SHORT_ARRAY_BYTES = 2048  # an array of bulk strings of up to this size is read in one step
MAX_INTEGER_DIGITS = 20  # including the sign
MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)
# The index in the outermost array at which a value longer than `MAX_BULK_BYTES` is allowed.
COMMAND_VALUE_INDEX = 4  # OBJ.SET key id extras VALUE
REPLY_VALUE_INDEX = 0
# The headers of a command and of its first word, of which the second may be malformed again.
COMMAND_START = re.compile(rb"\*\d{1,2}\r\n\$-?\d{1,9}\r\n")
DOLLAR = ord("$")
ZERO = ord("0")


class ProtocolError(InputError):
    """Raised for input that is not valid RESP2, or exceeds a limit."""


class SimpleString(bytes):
    """A simple string: `+OK`."""


class ErrorReply(bytes):
    """An error reply, without the leading dash."""


class DroppedWord(bytes):
    """The empty placeholder of a command's word that was too long, or one too many, to be kept."""


class NeedData(Enum):
    """The type of `NEED_DATA`."""

    NEED_DATA = "need data"


DROPPED_WORD: Final = DroppedWord()
NEED_DATA: Final = NeedData.NEED_DATA  # no complete value yet (`None` is a value: a null)

Value = bytes | int | None | list["Value"]


class _OpenArray:
    """An array whose items have not all arrived yet."""

    __slots__ = ("items", "length")

    def __init__(self, length: int) -> None:
        self.items: list[Value] = []
        self.length = length


class Parser:
    """Reads complete values from a ring.

    With `commands_only` only arrays of bulk strings are accepted, as clients send them. The words
    of a command that could not be used anyway are dropped as they arrive, so that a client that
    stops in the middle of a command leaves a few kilobytes at the most.

    The value in a command or a reply may have up to `max_value_bytes`. A value over
    `MAX_BUFFERED_VALUE_BYTES` in a command, or over `MAX_BULK_BYTES` in a reply, is not collected:
    `body_remaining` is set to its length and an empty string takes its place in the array. The
    caller has to consume that many bytes: either it reads them from the ring with `read_body`, or
    it takes them with `take_body` before they are written to the ring.
    """

    __slots__ = (
        "ring",
        "commands_only",
        "body_remaining",
        "_max_line_bytes",
        "_max_value_bytes",
        "_open_arrays",
        "_bulk_length",
        "_dropped_remaining",
        "_placeholder",
        "_scanned",
    )

    def __init__(self, ring: Ring, commands_only: bool = False, max_value_bytes: int = 0) -> None:
        self.ring = ring
        self.commands_only = commands_only
        self.body_remaining = 0
        self._max_value_bytes = max_value_bytes
        self._max_line_bytes = MAX_COMMAND_LINE_BYTES if commands_only else MAX_LINE_BYTES
        self._open_arrays: list[_OpenArray] = []  # the outermost array first
        self._bulk_length = -1  # of the bulk string whose header has been read; -1: none
        self._dropped_remaining = 0  # bytes of a word that are still to be dropped
        self._placeholder: bytes | None = None  # takes the place of a word that is dropped
        self._scanned = 0  # offset up to which the ring holds no line end

    @property
    def at_boundary(self) -> bool:
        """Whether the input ends exactly at the end of a value."""
        return not self._open_arrays and self._bulk_length < 0 and not len(self.ring)

    def next_value(self) -> Value | NeedData:
        """Return the next complete value or `NEED_DATA`; raise ProtocolError on invalid input."""
        if self.body_remaining or not len(self.ring):
            return NEED_DATA
        if self._bulk_length < 0 and not self._open_arrays and not self._scanned:
            words = self._read_short_array()
            if words is not None:
                return words
        while True:
            item = self._read_item()
            if item is NEED_DATA:
                return NEED_DATA
            if isinstance(item, _OpenArray):
                self._open_arrays.append(item)
                continue
            value = self._add_to_open_array(item)
            if value is not NEED_DATA:
                return value

    def read_body(self, limit: int) -> bytes:
        """Read up to `limit` bytes of an oversized value from the ring."""
        data = self.ring.read(min(self.body_remaining, limit))
        self.body_remaining -= len(data)
        return data

    def take_body(self, data: bytes) -> tuple[bytes, bytes]:
        """Split received bytes into the part that belongs to an oversized value, and the rest.

        The ring has to be empty.
        """
        part = data if len(data) <= self.body_remaining else data[: self.body_remaining]
        self.body_remaining -= len(part)
        return part, data[len(part) :]

    def _read_short_array(self) -> list[Value] | None:
        """Read an array of bulk strings if it is short and complete; otherwise consume nothing."""
        data = self.ring.peek(MAX_SHORT_ARRAY_BYTES)
        if data.startswith(b"*4\r\n$"):
            words = self._read_four_words(data)
            if words is not None:
                return words
        if data[:1] != b"*" or data[2:4] != b"\r\n" or not data[1:2].isdigit():
            return None
        return self._read_words(data, count=data[1] - ZERO)

    def _read_words(self, data: bytes, count: int) -> list[Value] | None:
        """Read the bulk strings of an array, which follow its header of 4 bytes."""
        words: list[Value] = []
        offset = 4
        size = len(data)
        for _ in range(count):
            header_end = data.find(b"\r\n", offset, offset + 8)
            if header_end < 0 or data[offset] != DOLLAR:
                return None
            text = data[offset + 1 : header_end]
            if text.isdigit():
                start = header_end + 2
                offset = start + int(text) + 2
                if offset > size or data[offset - 2 : offset] != b"\r\n":
                    return None
                words.append(data[start : offset - 2])
            elif text == b"-1" and not self.commands_only:
                words.append(None)
                offset = header_end + 2
            else:
                return None
        self.ring.skip(offset)
        return words

    def _read_four_words(self, data: bytes) -> list[Value] | None:
        """Read an array of four bulk strings, as nearly all commands are, with one split."""
        parts = data.split(b"\r\n", 9)
        if len(parts) != 10:
            return None
        _, header1, word1, header2, word2, header3, word3, header4, word4, rest = parts
        expected = b"$%d$%d$%d$%d" % (len(word1), len(word2), len(word3), len(word4))
        if header1 + header2 + header3 + header4 != expected:
            return None  # a word contains a line end, or a length is not in canonical form
        self.ring.skip(len(data) - len(rest))
        return [word1, word2, word3, word4]

    def _add_to_open_array(self, value: Value) -> Value | NeedData:
        """Add a value; return the outermost value if it is complete now, else `NEED_DATA`."""
        while self._open_arrays:
            array = self._open_arrays[-1]
            array.items.append(value)
            if len(array.items) < array.length:
                return NEED_DATA
            value = self._open_arrays.pop().items
        return value

    def _read_item(self) -> Value | _OpenArray | NeedData:
        """Read one value, or the header of an array."""
        if self._dropped_remaining and not self._drop_word():
            return NEED_DATA
        if self._bulk_length >= 0:
            return self._read_bulk_body()
        line = self._read_line()
        if line is None:
            return NEED_DATA
        kind = line[:1]
        text = line[1:-2]
        if self.commands_only and kind != (b"$" if self._open_arrays else b"*"):
            raise ProtocolError("an array of bulk strings was due")
        if kind == b"$":
            return self._read_bulk(text)
        if kind == b"*":
            return self._open_array(text)
        if kind == b"+":
            return SimpleString(text)
        if kind == b"-":
            return ErrorReply(text)
        if kind == b":":
            return _parse_integer(text, MIN_INTEGER, MAX_INTEGER)
        raise ProtocolError(f"expected one of $ * + - : at the start of a value, got {kind!r}")

    def _open_array(self, length_text: bytes) -> Value | _OpenArray:
        """Return the array that a header begins; a null or empty array is complete at once."""
        length = _parse_integer(length_text, -1, MAX_ARRAY_ITEMS)
        if length < 0:
            return None
        if len(self._open_arrays) >= MAX_ARRAY_DEPTH:
            raise ProtocolError("arrays too deep")
        return _OpenArray(length) if length else []

    def _read_line(self) -> bytes | None:
        """Read a line with its line end; return None until the line is complete."""
        end = self.ring.find_line_end(self._scanned)
        if end < 0:
            self._scanned = len(self.ring)
            if self._scanned > self._max_line_bytes:
                raise ProtocolError("line too long")
            if self.commands_only and self._scanned and self.ring.peek(1) not in (b"*", b"$"):
                raise ProtocolError("an array of bulk strings was due")
            return None
        self._scanned = 0
        if end > self._max_line_bytes:
            raise ProtocolError("line too long")
        line = self.ring.read(end + 1)
        if line[-2:] != b"\r\n":
            raise ProtocolError("a line ends without CR")
        return line

    def _read_bulk(self, length_text: bytes) -> Value | NeedData:
        """Read a bulk string whose header has been read."""
        length = _parse_integer(length_text, -1, self._max_bulk_bytes())
        if length < 0:
            if self.commands_only:
                raise ProtocolError("null in a command")
            return None
        if self._is_unused_word(length):
            self._dropped_remaining = length
            self._placeholder = DROPPED_WORD
            self._bulk_length = 0
            return self._read_item()
        if length > (MAX_BUFFERED_VALUE_BYTES if self.commands_only else MAX_BULK_BYTES):
            self.body_remaining = length
            self._bulk_length = 0
            return NEED_DATA
        self._bulk_length = length
        return self._read_bulk_body()

    def _is_unused_word(self, length: int) -> bool:
        """Return whether the bulk string at the current position is a word that no command has."""
        if not self.commands_only:
            return False
        index = len(self._open_arrays[0].items)
        return index > COMMAND_VALUE_INDEX or (
            index < COMMAND_VALUE_INDEX and length > MAX_COMMAND_WORD_BYTES
        )

    def _drop_word(self) -> bool:
        """Drop the bytes of an unused word that have arrived; return whether it is complete."""
        count = min(self._dropped_remaining, len(self.ring))
        self.ring.skip(count)
        self._dropped_remaining -= count
        return not self._dropped_remaining

    def _max_bulk_bytes(self) -> int:
        """Return the size limit for a bulk string at the current position."""
        if len(self._open_arrays) == 1:
            value_index = COMMAND_VALUE_INDEX if self.commands_only else REPLY_VALUE_INDEX
            if len(self._open_arrays[0].items) == value_index:
                return max(MAX_BULK_BYTES, self._max_value_bytes)
        return MAX_BULK_BYTES

    def _read_bulk_body(self) -> bytes | NeedData:
        size = self._bulk_length + 2  # including the line end
        if len(self.ring) < size:
            return NEED_DATA
        body = self.ring.read(size)
        if body[-2:] != b"\r\n":
            raise ProtocolError("a bulk string is longer than told")
        self._bulk_length = -1
        placeholder = self._placeholder
        self._placeholder = None
        return body[:-2] if placeholder is None else placeholder


def _parse_integer(text: bytes, minimum: int, maximum: int) -> int:
    if not text.isdigit() and not (text[:1] == b"-" and text[1:].isdigit()):
        raise ProtocolError("a bad number")
    if len(text) > MAX_INTEGER_DIGITS or not minimum <= (number := int(text)) <= maximum:
        raise ProtocolError("a number out of bounds")
    return number


def skip_to_next_command(ring: Ring) -> None:
    """Skip the bytes up to what looks like the start of a command, or all bytes if nothing does.

    After malformed input nobody can tell for sure where the next command begins. A new parser has
    to be used from there on, and what it reads must not be forwarded.
    """
    start = COMMAND_START.search(ring.peek(len(ring)))
    ring.skip(len(ring) if start is None else start.start())


def bulk(value: bytes | None) -> bytes:
    """Encode a bulk string; None is encoded as null."""
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    if len(words) == 4:  # nearly all commands: one formatting step
        name, key, request_id, extras = words
        return b"*4\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
            len(name),
            name,
            len(key),
            key,
            len(request_id),
            request_id,
            len(extras),
            extras,
        )
    return b"".join([b"*%d\r\n" % len(words), *map(bulk, words)])
