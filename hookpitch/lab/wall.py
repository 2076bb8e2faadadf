"""An experiment on loopback in real time: stand-ins in this process, each node a process of its own.

Each node has a net of its own (127.10.x.x, 127.11.x.x, ...): servers, origin and discovery listen in
all of them, so they know a node by the address at which it came. What the network alone can do
(silence, vanishing, far) is for virtual time; a file that asks for it is refused. Sources: the
platform's protocol; signal(7).
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.error import CannotListenError

from hookpitch.lab.experiment import bound_methods, Experiment, Fault
from hookpitch.lab.judge import Broken, Judge, Rules
from hookpitch.lab.run import BEFORE_S, SETTLE_S, Ended, Happening, Run
from hookpitch.standin.cache_server import CacheServer
from hookpitch.standin.crowd import Keys
from hookpitch.standin.discovery import Listed
from hookpitch.standin.web import DiscoveryServer, OriginServer

CACHE_PORT, ORIGIN_PORT, DISCOVERY_PORT, NODE_PORT = 26379, 28080, 28500, 26380
FIRST_NET = 10
NODES_MOST = 100
ONLY_VIRTUAL = (
    "vanish", "silence", "half_silence", "far", "node_slow", "suspend", "node_drain", "callers",
    "node_upgrade",
)  # fmt: skip
READY_S = 20.0  # for all nodes to answer after their start


class _WallWorld:
    """What `Happening` asks of a world: the time since the start, and events at a time."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.begun = reactor, reactor.seconds()
        self.epoch, self.faults, self.events = time.time(), list[str](), 0

    @property
    def now(self) -> float:
        return self.reactor.seconds() - self.begun

    def at(self, when: float, machine: object, func: Callable[..., object], *args: object) -> None:
        self.reactor.callLater(max(0.0, when - self.now), func, *args)


class _Process:
    """A node's process; stands where `Happening` sees a node's machine and the node itself."""

    def __init__(self, run: WallRun, name: str, net: str) -> None:
        self.run, self.name, self.net, self.address = run, name, net, f"{net}.0.1"
        self.starts = 0
        self.popen: subprocess.Popen[bytes] | None = None
        self.node: _Process | None = None  # itself while it runs
        self.machine = self
        self.log = run.folder / f"{name}.log"

    def start(self) -> None:
        run, self.starts = self.run, self.starts + 1
        told = run.told(self, f"{self.net}.2.1:{DISCOVERY_PORT}", self.net)
        told["listen"] = f"{self.address}:{NODE_PORT}"
        path = run.folder / f"{self.name}.json"
        path.write_text(json.dumps(told))
        run.history.add(run.now(), "start", self.name)
        flags = [] if run.x.nodes.debug else ["-O"]
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *flags, "-m", "hookpitch"],
                env=os.environ | {"PROXY_CONFIG": str(path)},
                stderr=log,
            )
        self.node = self

    def kill(self) -> None:
        if self.popen is not None:
            self.run.history.add(self.run.now(), "stop", self.name)
            self.popen.kill()
            self.popen.wait()
        self.popen = self.node = None

    def leave(self) -> None:
        if self.popen is not None:
            self.popen.send_signal(signal.SIGTERM)

    def stop(self, seconds: float) -> None:
        """Stopped for so long, then gone on with."""
        popen = self.popen
        if popen is not None:
            popen.send_signal(signal.SIGSTOP)
            self.run.world.at(self.run.world.now + seconds, None, popen.send_signal, signal.SIGCONT)

    def lines(self) -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_text().splitlines() if self.log.exists() else ():
            try:
                found.append(json.loads(line))
            except ValueError:
                self.run.world.faults.append(f"{self.name}: {line[:200]}")
        return found


class WallRun(Run):
    """The same run on loopback."""

    def __init__(self, x: Experiment, seed: int, reactor: Any, folder: Path) -> None:
        for n, fault in enumerate(x.fault):
            if fault.what in ONLY_VIRTUAL:
                raise ValueError(f"{x.name}: fault[{n}].what: '{fault.what}' is for virtual time alone")
        if x.nodes.count > NODES_MOST:
            raise ValueError(f"{x.name}: nodes.count: wants at most {NODES_MOST} on loopback")
        self.reactor, self.folder = reactor, folder
        super().__init__(x, seed, _WallWorld(reactor))

    def _build(self) -> None:
        x, reactor, begun = self.x, self.reactor, self.world.begun
        self.nets = {f"n{n}": f"127.{FIRST_NET + n}" for n in range(x.nodes.count)}
        self.nodes = {name: _Process(self, name, net) for name, net in self.nets.items()}
        self.names = {net: name for name, net in self.nets.items()}
        self.origin_server = OriginServer(
            self.origin, reactor, self.history, self.chance, self._whose, begun
        )
        self.discovery = DiscoveryServer(self.directory, reactor, self.history, self._whose, begun)
        self.discovery.nets = self.nets
        for net in self.nets.values():
            self._listen(ORIGIN_PORT, self.origin_server, f"{net}.2.2")
            self._listen(DISCOVERY_PORT, self.discovery, f"{net}.2.1")
        self.keys = Keys(x.traffic.keys, x.traffic.skew)
        for n in range(x.fleet.caches):
            self.add_server(f"s{n}", cold=False)
        self.directory.put(Listed("o1", f"{{net}}.2.2:{ORIGIN_PORT}", "origin"))
        if x.fleet.warm:
            self._warm()
        self.crowd = self._clients(reactor, NODE_PORT, begun)

    def _listen(self, port: int, factory: Any, address: str) -> None:
        try:
            self.reactor.listenTCP(port, factory, interface=address, backlog=4096)
        except CannotListenError as fault:
            raise ValueError(f"cannot listen on {address}:{port}: {fault.socketError}") from None

    def _whose(self, transport: Any) -> str:
        net = ".".join(transport.getHost().host.split(".")[:2])
        return self.names.get(net, net)

    def ways(self, server: str) -> list[str]:
        return [f"{net}.{self.addresses[server]}" for net in self.nets.values()]

    def add_server(self, name: str, cold: bool) -> None:
        f, n = self.x.fleet, len(self.addresses)
        self.addresses.setdefault(name, f"{100 + (n >> 8)}.{1 + n % 250}")
        make = self.make(f.speeds[n % len(f.speeds)])
        server = CacheServer(
            name, make, self.reactor, self.history, self.origin, self.chance, self._whose, self.world.begun
        )
        server.size_of = self.size_of
        self.servers[name] = server
        server.start(self.ways(name), CACHE_PORT, cold)
        self.list_server(name, n, cold)

    def dial(self, name: str) -> str:
        return f"{{net}}.{self.addresses[name]}:{CACHE_PORT}"

    def happening(self, fault: Fault) -> Happening:
        return WallHappening(self, fault)

    def rules(self) -> Rules:
        retriable = {m.name: m.idempotency == "retryable" for m in self.x.method}
        bound = bound_methods(self.x)
        return Rules(retriable=retriable, overlap_ms=50.0, crossing_ms=20.0, bound=bound)

    def run(self) -> Ended:
        begun = time.perf_counter()
        faults: list[BaseException] = []
        try:
            for node in self.nodes.values():
                node.start()
            self._ready(self.world.now + READY_S, faults)
            self.reactor.run()
            if faults:
                raise faults[0]
            return self._ended(begun)
        finally:
            for node in self.nodes.values():
                if node.popen is not None:
                    node.popen.kill()
                    node.popen.wait()

    def _ready(self, until: float, faults: list[BaseException]) -> None:
        """Wait until each node serves, then begin; what was before does not count."""
        serving = [any(e.get("event") == "serving" for e in n.lines()) for n in self.nodes.values()]
        if all(serving):
            return self._begin()
        dead = [n for n in self.nodes.values() if n.popen is not None and n.popen.poll() is not None]
        if dead or self.world.now > until:
            faults.append(ValueError(f"{(dead or list(self.nodes.values()))[0].name} did not start"))
            self.reactor.stop()
            return
        self.reactor.callLater(0.05, self._ready, until, faults)

    def _begin(self) -> None:
        x, at = self.x, self.world.now
        self.offset = at
        self.world.at(at + BEFORE_S, None, self.crowd.start)
        for fault in x.fault:
            self.happening(fault).plan(at)
        self.world.at(at + x.seconds, None, self.crowd.stop)
        longest = max(m.hard_ms for m in x.method) / 1000
        self.world.at(at + x.seconds + longest + SETTLE_S, None, self._leave)

    def _leave(self) -> None:
        for node in self.nodes.values():
            node.leave()
        longest = max(m.hard_ms for m in self.x.method) / 1000
        self.world.at(self.world.now + longest + 2.0, None, self.reactor.stop)

    def _ended(self, begun: float) -> Ended:
        x, offset = self.x, self.offset * 1000
        shifted = [e._replace(at=e.at - offset) for e in self.history.events]
        self.history.events[:] = shifted
        for node in self.nodes.values():
            for line in node.lines():
                event = line.get("event", "")
                self.logs.append((0.0, node.name, event))
                if event == "left":
                    plain = ("event", "node", "level", "timestamp")
                    counts = {k: v for k, v in line.items() if k not in plain}
                    mine = self.counters.setdefault(node.name, {})
                    for name, count in counts.items():
                        mine[name] = mine.get(name, 0) + count
                elif event == "fault":
                    self.world.faults.append(f"{node.name}: {line.get('text', '')[-300:]}")
        broken = Judge(self.rules()).judge(self.history, self.now() - offset)
        for name, mine in self.counters.items():
            for counter in sorted(mine):
                if counter.startswith("broken.") or counter == "faults":
                    broken.append(Broken("invariant", 0.0, "", f"{name}: {counter} {mine[counter]} times"))
        kept = [ms for rudes in self.rudes for ms in rudes.kept_ms]
        real = time.perf_counter() - begun
        return Ended(
            x,
            self.seed,
            self.history,
            broken,
            self.logs,
            self.counters,
            self.world.faults,
            len(self.history.events),
            real,
            kept,
            self.crowd.no_room,
        )


class WallHappening(Happening):
    """Faults as a machine can have them: sockets closed, processes stopped."""

    def crash(self) -> None:
        for server in self.servers:
            if server.process is None:
                continue
            ports, open_now = server.ports, list(server.connections)
            server.die()
            for port in ports:
                port.stopListening()
            for connection in open_now:
                connection.transport.abortConnection()


def run_on_loopback(x: Experiment, seed: int) -> Ended:
    """One run in this process, whose reactor can run only once."""
    from twisted.internet import reactor

    with tempfile.TemporaryDirectory() as folder:
        return WallRun(x, seed, reactor, Path(folder)).run()


def serve_fleet(x: Experiment, post: Path | None, tell: Callable[[str], None]) -> None:
    """Stand-ins on loopback until the process is ended; `post`: where a node's JSON file for them is
    written."""
    from twisted.internet import reactor

    with tempfile.TemporaryDirectory() as folder:
        run = WallRun(x, x.seed, reactor, Path(folder))
        node = run.nodes["n0"]
        told = run.told(node, f"{node.net}.2.1:{DISCOVERY_PORT}", node.net)
        told["listen"] = f"{node.address}:{NODE_PORT}"
        if post is not None:
            post.write_text(json.dumps(told, indent=1))
            tell(f"a node's file: {post}")
        tell(f"{len(run.servers)} cache servers, the origin and discovery are up; a node: {told['listen']}")
        for fault in x.fault:
            run.happening(fault).plan(run.world.now)
        reactor.run()
