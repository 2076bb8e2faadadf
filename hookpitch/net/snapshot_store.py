"""One node's snapshot file, which the section `[snapshot]` of the operator's file turns on.

Without the section this module is not imported.

    [snapshot]
    path = "/var/lib/hookpitch/{name}.snapshot"   # {name}: node's name; the directory has to exist
    fleet = "sydney"                              # snapshots of another fleet are ignored
    every_s = 10.0
    oldest_s = 3600.0

A snapshot is written to a new file next to the old one, synced to the disk, and renamed over the
old one, so a reader sees either of the two completely. A separate thread writes the file, as a disk
that stalls must not stop RPCs. An unreadable file is logged once, and stays until the next write.
Invariants: at most one write is in progress; a file has at most `MAX_BYTES` bytes after its head.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import quote

from hookpitch.balancer.interface import Endpoint
from hookpitch.core.host import Host
from hookpitch.core.seeded_random import seeded_random
from hookpitch.net.backend_pools import BackendPools
from hookpitch.net.clock import Clock
from hookpitch.net.config_error import ConfigError
from hookpitch.net.discovery import Discovery
from hookpitch.net.node_config import NodeConfig

if TYPE_CHECKING:
    from hookpitch.startup.snapshot_format import Snapshot

MIN_EVERY_S = 0.5
MAX_EVERY_S = 3600.0
MIN_OLDEST_S = 1.0
MAX_OLDEST_S = 1e9
# A snapshot whose time is further ahead of this clock is not restored, as its age is unknown.
MAX_CLOCK_SKEW_MS = 3600000.0
# The time between two writes is the interval times a random factor from INTERVAL_BASE to
# INTERVAL_BASE + INTERVAL_JITTER, so that nodes that share a disk do not all write at once.
INTERVAL_BASE = 0.9
INTERVAL_JITTER = 0.2
OWNER_ONLY = 0o600


class SnapshotError(ValueError):
    """There is no snapshot to restore; the message says why in one line."""


@dataclass(frozen=True, slots=True)
class SnapshotSettings:
    """The operator's `[snapshot]` section."""

    path: str
    fleet: str = ""
    every_s: float = 10.0
    oldest_s: float = 3600.0


def parse_settings(table: Mapping[str, Any]) -> SnapshotSettings:
    """Check the section. Raises ConfigError with a text that begins with the wrong name."""
    known = SnapshotSettings.__slots__
    for name in table:
        if name not in known:
            raise ConfigError(f"{name}: unknown setting, expected one of {', '.join(known)}")
    path = table.get("path")
    if not isinstance(path, str) or not path or "\0" in path:
        raise ConfigError(f"path: expected the path of a file, found {path!r:.80}")
    fleet = table.get("fleet", "")
    if not isinstance(fleet, str):
        raise ConfigError(f"fleet: expected a string, found {fleet!r:.80}")
    defaults = SnapshotSettings(path)
    every_s = _parse_seconds(table, "every_s", defaults.every_s, MIN_EVERY_S, MAX_EVERY_S)
    oldest_s = _parse_seconds(table, "oldest_s", defaults.oldest_s, MIN_OLDEST_S, MAX_OLDEST_S)
    try:
        import msgspec  # noqa: F401 - an extra that only snapshots need
    except ImportError:
        raise ConfigError(
            "path: snapshots need msgspec, which comes with hookpitch[snapshot]"
        ) from None
    return SnapshotSettings(path, fleet, every_s, oldest_s)


def _parse_seconds(
    table: Mapping[str, Any], name: str, default: float, minimum: float, maximum: float
) -> float:
    value = table.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not minimum <= value <= maximum:
        raise ConfigError(
            f"{name}: expected {minimum:g} to {maximum:g} seconds, found {value!r:.80}"
        )
    return float(value)


# ---- files


def load_snapshot(path: str) -> Snapshot:
    """Read and check a file. Raises ValueError with a one-line message if it holds no snapshot."""
    from hookpitch.startup.snapshot_format import HEADER, MAX_BYTES, decode

    max_bytes = MAX_BYTES + HEADER.size
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
    except OSError as error:
        raise SnapshotError(_error_text(error)) from None
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise SnapshotError("not a regular file")
        data = b""
        while part := os.read(descriptor, max_bytes + 1 - len(data)):
            data += part
    except OSError as error:
        raise SnapshotError(_error_text(error)) from None
    finally:
        os.close(descriptor)
    if len(data) > max_bytes:
        raise SnapshotError(f"snapshot is longer than the limit of {MAX_BYTES} bytes")
    return decode(data)


def replace_file(path: str, data: bytes) -> None:
    """Replace a file atomically: readers see the old or the new content. Raises OSError."""
    temporary = f"{path}.new"
    with suppress(FileNotFoundError):  # left by a process that ended during a write
        os.unlink(temporary)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
    descriptor = os.open(temporary, flags, OWNER_ONLY)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    directory = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def run_in_thread(reactor: Any, work: Callable[[], None], on_done: Callable[[str], None]) -> None:  # noqa: ANN401 - see Clock
    """Run `work` in a new thread, then call `on_done` with its error in the reactor's thread."""
    from threading import Thread

    def work_and_report() -> None:
        reactor.callFromThread(on_done, run_and_return_error(work))

    # A daemon thread: a disk that does not respond must not keep the process from ending.
    Thread(target=work_and_report, name="snapshot", daemon=True).start()


def run_and_return_error(work: Callable[[], None]) -> str:
    """Run `work`; return why it failed, or ''."""
    try:
        work()
    except OSError as error:
        return _error_text(error)
    return ""


def _error_text(error: OSError) -> str:
    return error.strerror or str(error)


# ---- the snapshot of a node


class SnapshotNode(Protocol):
    """The components of a node that a snapshot store uses."""

    config: NodeConfig
    clock: Clock
    host: Host
    pools: BackendPools
    discovery: Discovery
    logger: Any

    def apply_cached_endpoints(
        self, version: int, endpoints: list[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Use these endpoints until discovery sends a list."""


class SnapshotStore:
    """Restores one node's snapshot at the start, and writes it periodically and at shutdown."""

    def __init__(
        self,
        settings: SnapshotSettings,
        node: SnapshotNode,
        run_in_background: Callable[[Callable[[], None], Callable[[str], None]], None],
    ) -> None:
        """Create the store of one node.

        `run_in_background(work, on_done)` runs `work` without blocking, and then calls `on_done` in
        the reactor's thread with the reason of a failure, or ''.
        """
        self._settings = settings
        self._node = node
        self.run_in_background = run_in_background
        self.path = settings.path.replace("{name}", quote(node.config.name, safe=""))
        self.is_writing = False
        self._last_write_failed = False
        self._random = seeded_random(node.config.deployment.seed, "keep")

    def restore(self) -> None:
        """Apply the file's snapshot; called once, after the initial endpoints and before RPCs."""
        node = self._node
        now = node.clock.now()
        try:
            snapshot = load_snapshot(self.path)
            self._check(snapshot, now)
        except ValueError as error:
            node.logger.info("snapshot_not_restored", path=self.path, reason=str(error))
            node.host.counters.add("snapshot.none")
        else:
            self._apply(snapshot, now)
        first_interval_ms = self._settings.every_s * 1000 * self._random()
        node.clock.deadlines.add(now + first_interval_ms, self._save_periodically)

    def _check(self, snapshot: Snapshot, now: float) -> None:
        """Raise SnapshotError where the snapshot is of another node or fleet, or too old."""
        config = self._node.config
        if (snapshot.fleet, snapshot.node) != (self._settings.fleet, config.name):
            raise SnapshotError(
                f"snapshot is of node {snapshot.node!r} of fleet {snapshot.fleet!r}, expected "
                f"{config.name!r} of {self._settings.fleet!r}"
            )
        if snapshot.kinds != config.deployment.kinds:
            raise SnapshotError(
                f"snapshot has kinds {snapshot.kinds!r:.80}, "
                f"expected {config.deployment.kinds!r:.80}"
            )
        age_ms = now - snapshot.written_at_ms
        if not -MAX_CLOCK_SKEW_MS <= age_ms <= self._settings.oldest_s * 1000:
            raise SnapshotError(
                f"snapshot is {age_ms / 1000:.0f} s old, oldest_s is {self._settings.oldest_s:g}"
            )

    def _apply(self, snapshot: Snapshot, now: float) -> None:
        from hookpitch.startup.snapshot_state import restore, stored_endpoints

        node = self._node
        listed, addresses = stored_endpoints(snapshot)
        if snapshot.version > node.discovery.version and listed:
            node.apply_cached_endpoints(snapshot.version, listed, addresses)
        restored = restore(node.host.router, now, snapshot)
        node.logger.info("snapshot_restored", path=self.path, summary=restored)
        node.host.counters.add("snapshot.recalled")

    def _save_periodically(self, now: float) -> None:
        self.save()
        interval_ms = (
            self._settings.every_s * 1000 * (INTERVAL_BASE + INTERVAL_JITTER * self._random())
        )
        self._node.clock.deadlines.add(now + interval_ms, self._save_periodically)

    def save(self) -> None:
        """Begin to write a snapshot, unless a write is in progress or there are no endpoints.

        An empty snapshot would replace the state that was learned before.
        """
        from hookpitch.startup.snapshot_format import encode
        from hookpitch.startup.snapshot_state import capture

        node = self._node
        if self.is_writing or not node.host.router.backends:
            return
        snapshot = capture(
            node.host.router,
            node.clock.now(),
            self._settings.fleet,
            node.config.name,
            node.discovery.version,
            node.pools.addresses(),
        )
        data = encode(snapshot)
        self.is_writing = True
        self.run_in_background(lambda: replace_file(self.path, data), self._on_written)

    def _on_written(self, failure: str) -> None:
        self.is_writing = False
        self._node.host.counters.add("snapshot.failed" if failure else "snapshot.written")
        # A full disk is logged once, not at each write.
        if bool(failure) == self._last_write_failed:
            return
        self._last_write_failed = bool(failure)
        if failure:
            self._node.logger.info("snapshot_write_failed", path=self.path, reason=failure)
        else:
            self._node.logger.info("snapshot_write_recovered", path=self.path)
