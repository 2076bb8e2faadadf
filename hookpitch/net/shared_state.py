"""The file that all processes of one node share, with one operator command per line.

Each command that changes something (the start or end of a ban, the start or end of a drain, the
start of a process) is a line with its own checksum:

    1 SUSPEND s-5be2a07c 6d1f03b2

Lines are appended under a lock, so all readers see the same order, and each reader continues from
its previous position. While a process runs, it holds a lock on its own file, by which the
other processes find it. A line that is incomplete, of another version or wrong is skipped; only
the first such line is reported. See docs/design.md.
"""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os
from collections.abc import Callable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote, unquote
from zlib import crc32

from hookpitch.core.id_table import TABLE_BYTES

VERSION = "1"
NO_TARGET = "-"
COMPACT_BYTES = 1 << 16  # above this size the file is rewritten, if no other process reads it
MAX_READ_BYTES = 1 << 20  # per read
LOGGED_LINE_BYTES = 80
OWNER_ONLY = 0o600


class Verb(StrEnum):
    """The kind of a command, as written in the file."""

    SUSPEND = "SUSPEND"
    RESTORE = "RESTORE"
    PAUSE = "PAUSE"
    RESUME = "RESUME"
    START = "START"  # a process has started


class Command(NamedTuple):
    """One line of the file; `target` is the id of a backend or a process, or ''."""

    verb: Verb
    target: str = ""


class SharedStateError(OSError):
    """The file cannot be used in its present state."""


def encode_command(command: Command) -> bytes:
    """Return the line of a command."""
    body = f"{VERSION} {command.verb} {quote(command.target, safe='') or NO_TARGET}"
    return f"{body} {crc32(body.encode()):08x}\n".encode()


def decode_command(line: bytes) -> Command | None:
    """Return the command of a line without its line end; None where the line is not valid."""
    body, _, checksum = line.rpartition(b" ")
    words = body.split(b" ")
    if len(words) != 3 or words[0] != VERSION.encode() or checksum != b"%08x" % crc32(body):
        return None
    verb, target = words[1].decode("latin-1"), words[2].decode("latin-1")
    if verb not in Verb.__members__:
        return None
    return Command(Verb(verb), "" if target == NO_TARGET else unquote(target))


class SharedState:
    """Reads and writes the shared file of a node for one process."""

    def __init__(
        self, directory: str, name: str, on_damage: Callable[[str], None], process_id: str = ""
    ) -> None:
        """Open the file. Raises OSError where the directory cannot be used; methods raise none.

        `on_damage` is called once, with a reason, if the file cannot be read or written or a line
        is wrong. `process_id` defaults to the operating system's process id.
        """
        self._on_damage = on_damage
        self._has_reported_damage = False
        self._process_id = process_id or str(os.getpid())
        self._stem = Path(directory) / f"hookpitch-{quote(name, safe='')}"
        self._file = _open(f"{self._stem}.calls", os.O_RDWR | os.O_CREAT | os.O_APPEND)
        self._read_bytes = 0  # position of this reader in the file
        self.other_processes: list[str] = []  # ids of those that ran at the last check
        self._own_lock = _open(self._lock_path, os.O_RDWR | os.O_CREAT)
        fcntl.flock(self._own_lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.find_other_processes()
        self.append(Command(Verb.START, self._process_id))

    @property
    def _lock_path(self) -> str:
        return f"{self._stem}.{self._process_id}.live"

    def read_new(self) -> Iterator[Command]:
        """Yield all commands since the last call in order, including this process's own."""
        try:
            data = self._read_data()
        except OSError as error:
            self._report_damage(str(error))
            return
        complete_bytes = data.rfind(b"\n") + 1
        self._read_bytes += complete_bytes
        for line in data[:complete_bytes].split(b"\n"):
            if not line:
                continue
            command = decode_command(line)
            if command is None:
                self._report_damage(f"line is not a valid command: {line[:LOGGED_LINE_BYTES]!r}")
            else:
                yield command

    def _read_data(self) -> bytes:
        size = os.fstat(self._file).st_size
        if size < self._read_bytes:  # another process has rewritten the file
            self._read_bytes = 0
        unread_bytes = size - self._read_bytes
        if unread_bytes == 0:
            return b""
        return os.pread(self._file, min(unread_bytes, MAX_READ_BYTES), self._read_bytes)

    def append(self, command: Command) -> bool:
        """Add a command; return False where that failed and other processes do not see it."""
        try:
            with _locked(self._file):
                self._write_line(encode_command(command))
        except OSError as error:
            self._report_damage(str(error))
            return False
        return True

    def _write_line(self, line: bytes) -> None:
        size = os.fstat(self._file).st_size
        # A process that was killed during a write leaves an incomplete line, which must not be
        # joined with this one.
        is_incomplete = size > 0 and os.pread(self._file, 1, size - 1) != b"\n"
        data = b"\n" + line if is_incomplete else line
        if os.write(self._file, data) != len(data):
            raise SharedStateError(
                f"short write to {self._stem}.calls, expected to write {len(data)} bytes"
            )

    def compact(self, active_commands: list[Command]) -> None:
        """Replace the content of a long file with the active commands, if nobody else reads it."""
        with contextlib.suppress(OSError), _locked(self._file):
            if os.fstat(self._file).st_size <= COMPACT_BYTES or self.find_other_processes():
                return
            data = b"".join(encode_command(command) for command in active_commands)
            os.ftruncate(self._file, 0)
            os.write(self._file, data)
            self._read_bytes = len(data)

    def map_ids(self) -> mmap.mmap | None:
        """Return the ids that the processes share (`core/id_table.py`); None where that fails."""
        try:
            descriptor = _open(f"{self._stem}.ids", os.O_RDWR | os.O_CREAT)
            try:
                os.posix_fallocate(descriptor, 0, TABLE_BYTES)
                return mmap.mmap(descriptor, TABLE_BYTES)
            finally:
                os.close(descriptor)
        except OSError as error:
            self._report_damage(str(error))
            return None

    def find_other_processes(self) -> list[str]:
        """Return the ids of the node's other running processes; remove lock files of ended ones."""
        self.other_processes = []
        for path in sorted(self._stem.parent.glob(f"{self._stem.name}.*.live")):
            process_id = path.name.rsplit(".", 2)[1]
            if process_id != self._process_id and _is_locked_by_another(path):
                self.other_processes.append(process_id)
        return self.other_processes

    def close(self) -> None:
        """Release this process's lock and close the file."""
        with contextlib.suppress(OSError):
            os.unlink(self._lock_path)
        os.close(self._own_lock)
        os.close(self._file)

    def _report_damage(self, reason: str) -> None:
        if self._has_reported_damage:  # otherwise a damaged file would be reported at each read
            return
        self._has_reported_damage = True
        self._on_damage(reason)


def _is_locked_by_another(path: Path) -> bool:
    """Return whether a running process holds the lock; remove the lock file of an ended one."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_NOFOLLOW | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path.unlink(missing_ok=True)
    except OSError:
        return True
    finally:
        os.close(descriptor)
    return False


def _open(path: str, flags: int) -> int:
    descriptor = os.open(path, flags | os.O_NOFOLLOW | os.O_CLOEXEC, OWNER_ONLY)
    if os.fstat(descriptor).st_uid != os.geteuid():
        os.close(descriptor)
        raise SharedStateError(f"{path} belongs to another user")
    return descriptor


@contextlib.contextmanager
def _locked(descriptor: int) -> Iterator[None]:
    """Hold the file's lock, if it is free, for the duration of the context.

    A process that was stopped while it held the lock must not block this one. Each write is a
    single call, so without the lock the only risk is an incomplete line before the written one.
    """
    is_locked = False
    with contextlib.suppress(OSError):
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        is_locked = True
    try:
        yield
    finally:
        if is_locked:
            fcntl.flock(descriptor, fcntl.LOCK_UN)
