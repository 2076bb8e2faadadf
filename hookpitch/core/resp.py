"""RESP2: a parser that takes bytes as they come, and the few forms that are written."""

from __future__ import annotations

from hookpitch.core.ring import Ring

MAX_BULK_BYTES = 65536  # bytes in a bulk string
LINE_MOST = 4096  # bytes in any other line
ITEMS_MOST = 16  # in an array
DEPTH_MOST = 4  # of arrays within arrays
QUICK = 2048  # bytes of an array of bulk strings that are looked at in one go


class ProtocolError(ValueError):
    """What came is no RESP2, or more than is taken."""


class SimpleString(bytes):
    """A simple string: `+OK`."""


class ErrorReply(bytes):
    """An error line, without its dash."""


Value = bytes | int | None | list["Value"]


class Parser:
    """Takes whole values off a ring. `commands_only`: arrays of bulk strings, as clients send them.

    The value in a command or an answer may have up to `max_value_bytes`. One over `MAX_BULK_BYTES`
    is not taken whole: `body_remaining` tells how many bytes of it are still to come, the caller
    takes them (off the ring with `read_body`, or past it) and counts them off, and an empty string
    stands in the value's place.
    """

    __slots__ = ("ring", "commands_only", "body_remaining", "_most", "_arrays", "_bulk", "_seen")

    def __init__(self, ring: Ring, commands_only: bool = False, max_value_bytes: int = 0) -> None:
        self.ring, self.commands_only, self._most, self.body_remaining = (
            ring,
            commands_only,
            max_value_bytes,
            0,
        )
        self._arrays: list[
            tuple[list[Value], int]
        ] = []  # open ones, outermost first, with their lengths
        self._bulk, self._seen = -1, 0  # the bulk string's length; where the line's end is sought

    @property
    def at_boundary(self) -> bool:
        """True where nothing has come of a next value."""
        return not self._arrays and self._bulk < 0 and not len(self.ring)

    def next(self) -> tuple[bool, Value]:
        """(True, a value), or (False, None) until more has come."""
        if self.body_remaining or not len(self.ring):
            return False, None
        if (
            self._bulk < 0
            and not self._arrays
            and not self._seen
            and (words := self._quick()) is not None
        ):
            return True, words
        while True:
            found, value = self._one()
            if not found:
                return False, None
            if isinstance(value, tuple):  # an array was opened
                if len(self._arrays) >= DEPTH_MOST:
                    raise ProtocolError("arrays too deep")
                self._arrays.append(value)
                if value[1]:
                    continue
                value = self._arrays.pop()[0]
            while self._arrays:
                items, count = self._arrays[-1]
                items.append(value)
                if len(items) < count:
                    break
                value = self._arrays.pop()[0]
            else:
                return True, value

    def read_body(self, most: int) -> bytes:
        """Bytes of the value that passes, off the ring, counted off."""
        data = self.ring.read(min(self.body_remaining, most))
        self.body_remaining -= len(data)
        return data

    def _quick(self) -> list[Value] | None:
        """A short array of bulk strings that has come whole; of all else None, and nothing is
        taken."""
        data = self.ring.peek(QUICK)
        if data.startswith(b"*4\r\n$"):  # nearly all commands
            parts = data.split(b"\r\n", 9)
            if len(parts) == 10:
                _, sa, a, sb, b, sc, c, sd, d, rest = parts
                sized = b"$%d$%d$%d$%d" % (len(a), len(b), len(c), len(d))
                if sa + sb + sc + sd == sized:  # else a word holds a line's end, or a length is odd
                    self.ring.skip(len(data) - len(rest))
                    return [a, b, c, d]
        if data[:1] != b"*" or data[2:4] != b"\r\n" or not data[1:2].isdigit():
            return None
        words: list[Value] = []
        at, length = 4, len(data)
        for _ in range(data[1] - 48):
            end = data.find(b"\r\n", at, at + 8)
            if end < 0 or data[at] != 36:  # "$"
                return None
            text = data[at + 1 : end]
            if text.isdigit():
                start = end + 2
                at = start + int(text) + 2
                if at > length or data[at - 2 : at] != b"\r\n":
                    return None
                words.append(data[start : at - 2])
            elif text == b"-1" and not self.commands_only:
                words.append(None)
                at = end + 2
            else:
                return None
        self.ring.skip(at)
        return words

    def _one(self) -> tuple[bool, Value | tuple[list[Value], int]]:
        ring = self.ring
        if self._bulk >= 0:
            return self._body()
        end = ring.find_line_end(self._seen)
        if end < 0:
            self._seen = len(ring)
            if self._seen > LINE_MOST:
                raise ProtocolError("line too long")
            if self.commands_only and self._seen and ring.peek(1) not in (b"*", b"$"):
                raise ProtocolError("an array of bulk strings was due")
            return False, None
        self._seen = 0
        if end > LINE_MOST:
            raise ProtocolError("line too long")
        line = ring.read(end + 1)
        if line[-2:] != b"\r\n":
            raise ProtocolError("a line ends without CR")
        kind, text = line[:1], line[1:-2]
        if self.commands_only and kind != (b"$" if self._arrays else b"*"):
            raise ProtocolError("an array of bulk strings was due")
        if kind == b"$":
            place = len(self._arrays[-1][0]) if len(self._arrays) == 1 else -1
            most = self._most if place == (4 if self.commands_only else 0) else 0
            length = _count(text, max(MAX_BULK_BYTES, most))
            if length < 0:
                if self.commands_only:
                    raise ProtocolError("null in a command")
                return True, None
            if length > MAX_BULK_BYTES:
                self.body_remaining, self._bulk = length, 0
                return False, None
            self._bulk = length
            return self._body()
        if kind == b"*":
            length = _count(text, ITEMS_MOST)
            return True, None if length < 0 else ([], length)
        if kind == b"+":
            return True, SimpleString(text)
        if kind == b"-":
            return True, ErrorReply(text)
        if kind == b":":
            return True, _count(text, 2**63 - 1, -(2**63))
        raise ProtocolError("no such type")

    def _body(self) -> tuple[bool, Value]:
        if len(self.ring) < self._bulk + 2:  # with its line end
            return False, None
        value = self.ring.read(self._bulk + 2)
        if value[-2:] != b"\r\n":
            raise ProtocolError("a bulk string is longer than told")
        self._bulk = -1
        return True, value[:-2]


def _count(text: bytes, most: int, least: int = -1) -> int:
    if not text.isdigit() and not (text[:1] == b"-" and text[1:].isdigit()):
        raise ProtocolError("a bad number")
    if len(text) > 20 or not least <= (count := int(text)) <= most:
        raise ProtocolError("a number out of bounds")
    return count


def bulk(value: bytes | None) -> bytes:
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    if len(words) == 4:  # nearly all of them
        a, b, c, d = words
        sized = (len(a), a, len(b), b, len(c), c, len(d), d)
        return b"*4\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % sized
    return b"".join([b"*%d\r\n" % len(words), *map(bulk, words)])
