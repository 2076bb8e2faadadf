"""What the processes of one node must all know, as lines in a file that they share; see
docs/design.md.

Each call that changes something (a ban, its end, the drain, its end) is a line with its own
checksum:

    1 SUSPEND s-5be2a07c 6d1f03b2

Lines are appended under a lock, so their order is the same for all readers, and each reader
follows from
where it was. A process holds a lock on a file of its own for as long as it lives, by which the
others see it.
A line that is torn, of another version or wrong is passed over and told once.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from urllib.parse import quote, unquote
from zlib import crc32

VERSION = "1"
VERBS = ("SUSPEND", "RESTORE", "PAUSE", "RESUME", "START")
FILE_MOST = 1 << 16  # bytes, from which on the file is written anew when no other process reads it
READ_MOST = 1 << 20  # bytes of a file that are read at all


def encode_command(verb: str, what: str) -> bytes:
    """One call as it stands in the file."""
    body = f"{VERSION} {verb} {quote(what, safe='') or '-'}"
    return f"{body} {crc32(body.encode()):08x}\n".encode()


def decode_command(text: bytes) -> tuple[str, str] | None:
    """The call of one line without its end; None where it is none of ours."""
    body, _, check = text.rpartition(b" ")
    words = body.split(b" ")
    if len(words) != 3 or words[0] != VERSION.encode() or check != b"%08x" % crc32(body):
        return None
    verb, what = words[1].decode("latin-1"), words[2].decode("latin-1")
    return (verb, "" if what == "-" else unquote(what)) if verb in VERBS else None


class SharedState:
    """The shared file of one node, as one of its processes sees it.

    Raises OSError from the constructor alone, where the folder cannot be used.
    """

    def __init__(self, folder: str, name: str, log: Callable[[str], None], me: str = "") -> None:
        """`me`: what tells this process from the others; its number, where nothing is said."""
        self._log, self._me = log, me or str(os.getpid())
        self._stem = Path(folder) / f"hookpitch-{quote(name, safe='')}"
        self._file = _open(f"{self._stem}.calls", os.O_RDWR | os.O_CREAT | os.O_APPEND)
        self._at, self._told = 0, False
        self.other_processes: list[
            str
        ] = []  # processes of this node that were alive at the last look
        self._alive = _open(f"{self._stem}.{self._me}.live", os.O_RDWR | os.O_CREAT)
        fcntl.flock(self._alive, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.find_other_processes()
        self.append("START", self._me)

    def read_new(self) -> Iterator[tuple[str, str]]:
        """All calls since the last time, in order, those of this process among them."""
        try:
            size = os.fstat(self._file).st_size
            if size < self._at:  # written anew by another
                self._at = 0
            text = (
                os.pread(self._file, min(size - self._at, READ_MOST), self._at)
                if size > self._at
                else b""
            )
        except OSError as fault:
            self._odd(str(fault))
            return
        whole = text.rfind(b"\n") + 1
        self._at += whole
        for part in text[:whole].split(b"\n"):
            if part:
                call = decode_command(part)
                if call is None:
                    self._odd(f"a line that is none: {part[:80]!r}")
                else:
                    yield call

    def append(self, verb: str, what: str = "") -> bool:
        """Append a call; False where that failed, and it holds in this process alone."""
        try:
            with _locked(self._file):
                size = os.fstat(self._file).st_size
                # Danger: what a process began to write as it was killed would spoil the next line.
                torn = size > 0 and os.pread(self._file, 1, size - 1) != b"\n"
                data = (b"\n" if torn else b"") + encode_command(verb, what)
                if os.write(self._file, data) != len(data):
                    raise OSError("no room")
            return True
        except OSError as fault:
            self._odd(str(fault))
            return False

    def compact(self, calls: list[tuple[str, str]]) -> None:
        """Where no other process reads it and it has grown, the file holds just these calls from
        now on."""
        with contextlib.suppress(OSError), _locked(self._file):
            if os.fstat(self._file).st_size > FILE_MOST and not self.find_other_processes():
                data = b"".join(encode_command(*call) for call in calls)
                os.ftruncate(self._file, 0)
                os.write(self._file, data)
                self._at = len(data)

    def find_other_processes(self) -> list[str]:
        """The other processes of this node that live."""
        self.other_processes = []
        for path in sorted(self._stem.parent.glob(f"{self._stem.name}.*.live")):
            who = path.name.rsplit(".", 2)[1]
            if who == self._me:
                continue
            try:
                held = os.open(path, os.O_RDWR | os.O_NOFOLLOW | os.O_CLOEXEC)
            except OSError:
                continue
            try:
                fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                path.unlink(missing_ok=True)
            except OSError:
                self.other_processes.append(who)
            finally:
                os.close(held)
        return self.other_processes

    def close(self) -> None:
        with contextlib.suppress(OSError):
            os.unlink(f"{self._stem}.{self._me}.live")
        os.close(self._alive)
        os.close(self._file)

    def _odd(self, why: str) -> None:
        if not self._told:  # Danger: a spoilt file told of at each look
            self._told = True
            self._log(f"the file that this node's processes share: {why}")


def _open(path: str, flags: int) -> int:
    held = os.open(path, flags | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
    if os.fstat(held).st_uid != os.geteuid():
        os.close(held)
        raise OSError(f"{path} belongs to somebody else")
    return held


@contextlib.contextmanager
def _locked(file: int) -> Iterator[None]:
    # Danger: a process that was stopped with the lock in hand must not stop this one: the write is
    # one call, so without the lock only a torn line before it can do harm.
    held = False
    with contextlib.suppress(OSError):
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        held = True
    try:
        yield
    finally:
        if held:
            fcntl.flock(file, fcntl.LOCK_UN)
