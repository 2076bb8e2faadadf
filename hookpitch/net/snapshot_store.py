"""One node's snapshot file: `[snapshot]` in the operator's file; off, and not imported, without it.

    [snapshot]
    path = "/var/lib/hookpitch/{name}.snapshot"   # {name}: the node's; the folder has to exist
    fleet = "sydney"                              # snapshots of another fleet are ignored
    every_s = 10.0
    oldest_s = 3600.0

A snapshot is written to a file beside the old one, forced to the disk, and renamed over it: a
reader sees the old or the new one, complete. A thread of its own writes, as a disk that stalls must
not stop RPCs. What cannot be read is logged once, and left until the next write. Invariants: at
most one write is under way; a file has at most `MAX_BYTES` bytes after its head.
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
# A snapshot that is further ahead of this clock has no known age.
MAX_CLOCK_SKEW_MS = 3600000.0
# Part of the interval by which one write follows another; nodes that share a disk must not all
# write at once.
INTERVAL_BASE = 0.9
INTERVAL_JITTER = 0.2
OWNER_ONLY = 0o600


class SnapshotError(ValueError):
    """There is no snapshot to restore; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class SnapshotSettings:
    """The operator's `[snapshot]` section."""

    path: str
    fleet: str = ""
    every_s: float = 10.0
    oldest_s: float = 3600.0


def parse_settings(table: Mapping[str, Any]) -> SnapshotSettings:
    """Check the section. Raises ConfigError, whose text begins with the name that is wrong."""
    known = SnapshotSettings.__slots__
    for name in table:
        if name not in known:
            raise ConfigError(f"{name}: no such setting; known are {', '.join(known)}")
    path = table.get("path")
    if not isinstance(path, str) or not path or "\0" in path:
        raise ConfigError("path: wants a file's name")
    fleet = table.get("fleet", "")
    if not isinstance(fleet, str):
        raise ConfigError("fleet: wants a name")
    defaults = SnapshotSettings(path)
    every_s = _seconds(table, "every_s", defaults.every_s, MIN_EVERY_S, MAX_EVERY_S)
    oldest_s = _seconds(table, "oldest_s", defaults.oldest_s, MIN_OLDEST_S, MAX_OLDEST_S)
    try:
        import msgspec  # noqa: F401 - an extra that only snapshots need
    except ImportError:
        raise ConfigError(
            "path: snapshots need msgspec, which comes with hookpitch[snapshot]"
        ) from None
    return SnapshotSettings(path, fleet, every_s, oldest_s)


def _seconds(
    table: Mapping[str, Any], name: str, default: float, least: float, most: float
) -> float:
    value = table.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not least <= value <= most:
        raise ConfigError(f"{name}: wants {least:g} to {most:g}")
    return float(value)


# ---- files


def load_snapshot(path: str) -> Snapshot:
    """Read and check a file. Raises ValueError with one line where it holds no snapshot."""
    from hookpitch.startup.snapshot_format import HEAD, MAX_BYTES, decode

    max_bytes = MAX_BYTES + HEAD.size
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
    except OSError as error:
        raise SnapshotError(_reason(error)) from None
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise SnapshotError("no regular file")
        data = b""
        while part := os.read(descriptor, max_bytes + 1 - len(data)):
            data += part
    except OSError as error:
        raise SnapshotError(_reason(error)) from None
    finally:
        os.close(descriptor)
    if len(data) > max_bytes:
        raise SnapshotError(f"longer than {MAX_BYTES} bytes")
    return decode(data)


def replace_file(path: str, data: bytes) -> None:
    """Put the data in the file's place: readers see the old file or the new one. Raises OSError."""
    temporary = f"{path}.new"
    with suppress(FileNotFoundError):  # left by a process that died while it wrote
        os.unlink(temporary)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
    descriptor = os.open(temporary, flags, OWNER_ONLY)
    try:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def run_in_thread(reactor: Any, work: Callable[[], None], then: Callable[[str], None]) -> None:  # noqa: ANN401 - see Clock
    """Do the work in a thread of its own; then call `then` with its failure in the reactor's."""
    from threading import Thread

    def work_and_report() -> None:
        reactor.callFromThread(then, run_and_return_error(work))

    # A daemon thread: a disk that does not respond must not keep the process from ending.
    Thread(target=work_and_report, name="snapshot", daemon=True).start()


def run_and_return_error(work: Callable[[], None]) -> str:
    """Do the work. Returns why it failed, or ''."""
    try:
        work()
    except OSError as error:
        return _reason(error)
    return ""


def _reason(error: OSError) -> str:
    return error.strerror or str(error)


# ---- a node's


class SnapshotNode(Protocol):
    """What a snapshot store needs of its node."""

    config: NodeConfig
    clock: Clock
    host: Host
    pools: BackendPools
    discovery: Discovery
    logger: Any

    def apply_cached_endpoints(
        self, version: int, endpoints: list[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Serve by these endpoints until discovery sends a list."""


class SnapshotStore:
    """One node's snapshot: restored at the start, written periodically and at the shutdown."""

    def __init__(
        self,
        settings: SnapshotSettings,
        node: SnapshotNode,
        run_in_background: Callable[[Callable[[], None], Callable[[str], None]], None],
    ) -> None:
        """`run_in_background(work, then)` does the work without blocking, and calls `then` in the
        reactor's thread with why it failed, or ''."""
        self._settings = settings
        self._node = node
        self.run_in_background = run_in_background
        self.path = settings.path.replace("{name}", quote(node.config.name, safe=""))
        self.is_writing = False
        self._last_write_failed = False  # whether the last write failed
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
        """Raise SnapshotError where the snapshot is not this node's, or too old."""
        config = self._node.config
        if (snapshot.fleet, snapshot.node) != (self._settings.fleet, config.name):
            raise SnapshotError(f"of node {snapshot.node!r} of fleet {snapshot.fleet!r}")
        if snapshot.kinds != config.deployment.kinds:
            raise SnapshotError("of a fleet with other kinds of machines")
        age_ms = now - snapshot.written_at_ms
        if not -MAX_CLOCK_SKEW_MS <= age_ms <= self._settings.oldest_s * 1000:
            raise SnapshotError(f"{age_ms / 1000:.0f} s old")

    def _apply(self, snapshot: Snapshot, now: float) -> None:
        from hookpitch.startup.snapshot_state import endpoints, restore

        node = self._node
        listed, addresses = endpoints(snapshot)
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
        """Begin to write a snapshot, unless a write is under way or there are no endpoints: an
        empty snapshot would replace what was learned before."""
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
        if (
            bool(failure) == self._last_write_failed
        ):  # a full disk is logged once, not at each write
            return
        self._last_write_failed = bool(failure)
        if failure:
            self._node.logger.info("snapshot_write_failed", path=self.path, reason=failure)
        else:
            self._node.logger.info("snapshot_write_recovered", path=self.path)
