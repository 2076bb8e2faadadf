"""The snapshot on a disk that lasts: `[snapshot]` in the operator's file; off where there is none.

    [snapshot]
    path = "/var/lib/hookpitch/{name}.snapshot"   # {name}: the node's; the folder has to be there
    fleet = "sydney"                              # snapshots of another fleet are left alone
    every_s = 10.0
    oldest_s = 3600.0

A file is written beside the old one, forced to the disk, and put in its place by one rename: a
reader sees
the old or the new one, whole. A thread of its own writes: a disk that stalls must not stop RPCs,
and while
one write is out no other begins. What cannot be read is told in one line, and left where it is
until the
next write. Invariants: at most one write is out; the file has at most `MAX_BYTES` bytes.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

if TYPE_CHECKING:
    from hookpitch.net.node import SocketNode
    from hookpitch.startup.snapshot_format import Snapshot

EVERY_LEAST_S, EVERY_MOST_S = 0.5, 3600.0
EARLY_MS = 3600000.0  # a snapshot from so far ahead of this clock is of no known age


@dataclass(frozen=True, slots=True)
class SnapshotSettings:
    path: str
    fleet: str = ""
    every_s: float = 10.0
    oldest_s: float = 3600.0


def parse_settings(table: Mapping[str, Any]) -> SnapshotSettings:
    """The operator's section, checked; ValueError begins with the name that is wrong."""
    for name in table:
        if name not in SnapshotSettings.__slots__:
            raise ValueError(
                f"{name}: no such setting; known are {', '.join(SnapshotSettings.__slots__)}"
            )
    path, fleet = table.get("path"), table.get("fleet", "")
    if not isinstance(path, str) or not path or "\0" in path:
        raise ValueError("path: wants a file's name")
    if not isinstance(fleet, str):
        raise ValueError("fleet: wants a name")
    spans = {}
    for name, least, most in (("every_s", EVERY_LEAST_S, EVERY_MOST_S), ("oldest_s", 1.0, 1e9)):
        value = table.get(name, getattr(SnapshotSettings(""), name))
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not least <= value <= most
        ):
            raise ValueError(f"{name}: wants {least:g} to {most:g}")
        spans[name] = float(value)
    try:
        import msgspec  # noqa: F401
    except ImportError:
        raise ValueError(
            "path: snapshots need msgspec, which comes with hookpitch[snapshot]"
        ) from None
    return SnapshotSettings(path, fleet, **spans)


def load_snapshot(path: str) -> Snapshot:
    """ValueError says in one line why there is none."""
    from hookpitch.startup.snapshot_format import HEAD, MAX_BYTES, decode

    try:
        held = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
    except OSError as fault:
        raise ValueError(fault.strerror or str(fault)) from None
    try:
        if not stat.S_ISREG(os.fstat(held).st_mode):
            raise ValueError("no regular file")
        data = b""
        while part := os.read(held, MAX_BYTES + HEAD.size + 1 - len(data)):
            data += part
    except OSError as fault:
        raise ValueError(fault.strerror or str(fault)) from None
    finally:
        os.close(held)
    if len(data) > MAX_BYTES + HEAD.size:
        raise ValueError(f"longer than {MAX_BYTES} bytes")
    return decode(data)


def replace_file(path: str, data: bytes) -> None:
    """The old file or the new one, never a part. Raises OSError."""
    beside = f"{path}.new"
    with suppress(FileNotFoundError):  # of a process that died as it wrote
        os.unlink(beside)
    held = os.open(
        beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600
    )
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(held, view) :]
        os.fsync(held)
    finally:
        os.close(held)
    os.rename(beside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def run_in_thread(reactor: Any, work: Callable[[], None], then: Callable[[str], None]) -> None:  # noqa: ANN401
    """The work in a thread of its own; then `then` on the reactor's."""
    from threading import Thread

    def both() -> None:
        why = failure_of(work)
        reactor.callFromThread(then, why)

    # Danger: a process that cannot end, as its disk does not answer: the thread does not hold it.
    Thread(target=both, name="snapshot", daemon=True).start()


def failure_of(work: Callable[[], None]) -> str:
    """Why it failed, or nothing."""
    try:
        work()
    except OSError as fault:
        return fault.strerror or str(fault)
    return ""


class SnapshotStore:
    """One node's snapshot: recalled at its start, written by turns and as it leaves."""

    def __init__(
        self,
        told: SnapshotSettings,
        node: SocketNode,
        run_elsewhere: Callable[[Callable[[], None], Callable[[str], None]], None],
    ) -> None:
        """`run_elsewhere(work, then)` does the work elsewhere and calls `then` here with why it
        failed, or nothing."""
        self.told, self.node, self.run_elsewhere = told, node, run_elsewhere
        self.path = told.path.replace("{name}", quote(node.config.name, safe=""))
        self.writing, self._failing = False, False
        from hookpitch.core.seeded_random import seeded_random

        self._chance = seeded_random(node.config.deployment.seed, "keep")

    def restore(self) -> None:
        """Called once, between the list told at the start and the first RPC."""
        from hookpitch.startup.snapshot_state import endpoints, restore

        node, now = self.node, self.node.clock.now()
        try:
            x = load_snapshot(self.path)
            if (x.fleet, x.node) != (self.told.fleet, node.config.name):
                raise ValueError(f"of node {x.node!r} of fleet {x.fleet!r}")
            if x.kinds != node.config.deployment.kinds:
                raise ValueError("of a fleet with other kinds of machines")
            if not -EARLY_MS <= now - x.written_at_ms <= self.told.oldest_s * 1000:
                raise ValueError(f"{(now - x.written_at_ms) / 1000:.0f} s old")
        except ValueError as fault:
            node.logger.info("no snapshot", path=self.path, why=str(fault))
            node.host.counters.add("snapshot.none")
        else:
            listed, dials = endpoints(x)
            if x.version > node.discovery.version and listed:
                node.apply_cached_endpoints(x.version, listed, dials)
            node.logger.info("snapshot", path=self.path, believed=restore(node.host.router, now, x))
            node.host.counters.add("snapshot.recalled")
        # Danger: hundreds of nodes on one disk that write in the same moment.
        node.clock.deadlines.add(now + self.told.every_s * 1000 * self._chance(), self._turn)

    def _turn(self, now: float) -> None:
        self.save()
        span = self.told.every_s * 1000 * (0.9 + 0.2 * self._chance())
        self.node.clock.deadlines.add(now + span, self._turn)

    def save(self) -> None:
        from hookpitch.startup.snapshot_format import encode
        from hookpitch.startup.snapshot_state import capture

        node = self.node
        # Danger: a node without any list would write nothing over what it had learned.
        if self.writing or not node.host.router.backends:
            return
        seq, dials = node.discovery.version, node.pools.addresses()
        data = encode(
            capture(
                node.host.router, node.clock.now(), self.told.fleet, node.config.name, seq, dials
            )
        )
        self.writing = True
        self.run_elsewhere(lambda: replace_file(self.path, data), self._over)

    def _over(self, why: str) -> None:
        self.writing = False
        self.node.host.counters.add("snapshot.failed" if why else "snapshot.written")
        if bool(why) != self._failing:  # Danger: a disk that is full told of at each turn
            self._failing = bool(why)
            self.node.logger.info("snapshot", path=self.path, why=why or "written again")
