"""Runs an experiment: stand-ins and real nodes in a world in virtual time, faults on their time line.

The nodes are `SocketNode` as it is; what they are given in place of a reactor, a clock and CPU time
comes from the world. Nothing of what a node says is used for the judgement; its counters go into the
figures apart, as its word.
"""

from __future__ import annotations

import os
import random
import tempfile
import time
from dataclasses import dataclass, field, replace
from typing import Any
from zlib import crc32

from hookpitch.core.counters import Counters
from hookpitch.lab.experiment import bound_methods, Experiment, Fault
from hookpitch.lab.judge import UNUSED_MS, Broken, Judge, Rules
from hookpitch.lab.virtual import End, Machine, World
from hookpitch.net.clock import Clock
from hookpitch.net.node import BACKLOG, SocketNode
from hookpitch.net.start import read_post
from hookpitch.standin.cache import Make
from hookpitch.standin.cache_server import CacheServer
from hookpitch.standin.calls import Calls
from hookpitch.standin.crowd import Crowd, Keys, Kind, Manner, Rudes, SlowHeads
from hookpitch.standin.discovery import Directory, Listed
from hookpitch.standin.history import History
from hookpitch.standin.origin import Origin, OriginMake
from hookpitch.standin.web import DiscoveryServer, OriginServer

CACHE_PORT, ORIGIN_PORT, DISCOVERY_PORT, NODE_PORT, DOOR_PORT = 6379, 8080, 8500, 6379, 15000
SETTLE_S = 2.0  # after the last RPC was asked, before the run ends
RESTART_S = 0.5  # that a restart takes
BEFORE_S = 1.0  # from the nodes' start to the first RPC
ASKED_S = 0.3  # and after so long that a drained one says no
DRAINED_S = 4.0  # after which a drained node holds no client's connection
FRONT_S = 3.0  # a front notices after so long that a node has died
SOCKETS_FOR_ALL = 256  # a node with fewer descriptors turns newcomers back unheard where all are in work
READY_S = 6.0  # by then a new process beside an old one serves
LOOK_S = 0.1  # between two looks at whether it does
ENDED_S = 0.7  # past its longest deadline, an old process is killed


class _Log:
    """A node's log lines, kept with their times."""

    def __init__(self, run: Run, name: str) -> None:
        self.run, self.name = run, name

    def info(self, event: str, **values: object) -> None:
        if len(self.run.logs) < 10000:
            self.run.logs.append((self.run.now(), self.name, event))


@dataclass(slots=True)
class Ended:
    """What came of a run."""

    experiment: Experiment
    seed: int
    history: History
    broken: list[Broken]
    logs: list[tuple[float, str, str]]
    counters: dict[str, dict[str, int]]
    faults: list[str]  # what programs raised
    events: int
    real_s: float
    rude_kept_ms: list[float] = field(default_factory=list)
    no_room: int = 0


class Node:
    """A node's place: its machine, and the process that runs there now."""

    def __init__(self, run: Run, name: str, address: str) -> None:
        self.run, self.name, self.address = run, name, address
        self.machine = run.world.machine(address, descriptors=run.x.nodes.sockets)
        self.machine.event_cost = run.x.nodes.event_us / 1e6
        self.starts = 0
        self.node: SocketNode | None = None
        self.elder: SocketNode | None = None  # the process before it, while it still serves
        self.counters = Counters()
        # Where an upgrade is due, the socket is the platform's and every process inherits it.
        self.upgraded = any(f.what == "node_upgrade" and f.whom == name for f in run.x.fault)
        if self.upgraded:
            self.machine.hand_down(run.descriptor, NODE_PORT, BACKLOG)
        self.door = DOOR_PORT

    def start(self) -> None:
        run, self.starts = self.run, self.starts + 1
        run.history.add(run.now(), "start", self.name)
        machine, self.door = self.machine, DOOR_PORT + self.starts - 1
        reactor = machine.start()
        top = run.told(self, f"10.2.0.1:{DISCOVERY_PORT}")
        told = read_post(top | {"management": f"{self.address}:{self.door}"}, {})
        if self.upgraded:
            process = f"{self.starts}"
            told = replace(told, inherited=run.descriptor, shared=run.folder.name, process=process)
        world, self.counters = run.world, Counters()
        clock = Clock(reactor, reactor.seconds, lambda: world.epoch + world.now)
        log = _Log(run, self.name)
        self.node = SocketNode(reactor, clock, told, self.counters, log, lambda: machine.used)
        self.node.start()

    def upgrade(self) -> None:
        """A second process beside the first, which gets SIGTERM once the new one says yes."""
        if self.node is None or self.elder is not None:
            return
        old, machine, counters = self.node, self.machine, self.counters
        self.elder, self.machine = old, machine.beside()
        self.start()
        self._when_ready(old, machine, counters, self.run.now() + READY_S * 1000)

    def false_start(self) -> None:
        """A second process that dies as soon as it has begun; the first serves on."""
        if self.node is None or self.elder is not None:
            return
        old, machine, counters, door = self.node, self.machine, self.counters, self.door
        self.machine = machine.beside()
        self.start()
        self.run.counted(self, self.counters)
        self.machine.kill()
        if self.node.shared is not None:  # the kernel lets go of a dead process's locks
            self.node.shared.close()
        self.node, self.machine, self.counters, self.door = old, machine, counters, door

    def _when_ready(self, old: SocketNode, machine: Machine, counters: Counters, latest: float) -> None:
        run = self.run
        if self.node is None:
            return
        if self.node.ready():
            if run.now() > latest:
                run.history.add(run.now(), "call", self.name, what="late: a new process says no for 6 s")
            run.world.at(run.world.now + LOOK_S, None, self._when_ready, old, machine, counters, latest)
            return

        def ended() -> None:
            if self.elder is old:
                self.elder = None
                run.counted(self, counters)
                machine.kill()

        machine.reactor.stopped = lambda: run.world.at(run.world.now, None, ended)
        old.leave()
        run.world.at(run.world.now + old.host.patience / 1000 + ENDED_S, None, ended)

    def kill(self) -> None:
        self.run.history.add(self.run.now(), "stop", self.name)
        self.run.counted(self, self.counters)
        self.machine.kill()
        self.node = None

    def processes(self) -> list[SocketNode]:
        """Those that serve now, the elder first."""
        return [one for one in (self.elder, self.node) if one is not None]


class Run:
    """One run of one experiment with one seed."""

    def __init__(self, x: Experiment, seed: int, world: Any = None) -> None:  # noqa: ANN401
        self.x, self.seed = x, seed
        self.world = world
        self.history, self.logs = History(), list[tuple[float, str, str]]()
        self.chance = random.Random(seed * 7919 + 1)
        self.directory = Directory()
        self.counters: dict[str, dict[str, int]] = {}
        self.origin = Origin(OriginMake(x.origin.cores, x.origin.line, x.origin.work_ms), 0.0, self.chance)
        self.servers: dict[str, CacheServer] = {}
        self.addresses: dict[str, str] = {}  # of servers, by name
        self.names: dict[str, str] = {}  # of nodes, by address
        self.nodes: dict[str, Node] = {}
        self.rudes: list[Rudes] = []
        self._build()

    def now(self) -> float:
        return self.world.now * 1000

    def _closed(self, end: End) -> None:
        """What the network sees of a node's connections."""
        name = self.names.get(end.machine.address)
        if name is None:
            return
        if end.port != NODE_PORT:
            self.history.add(self.now(), "closed", name, port=end.port)
        elif end.kernel:
            self.history.add(self.now(), "unread", name, port=end.peer_port)

    def _unheard(self, end: End) -> None:
        name = self.names.get(end.machine.address)
        if name is not None and end.port == NODE_PORT:
            self.history.add(self.now(), "unread", name, port=end.peer_port)

    # ---- building

    def _build(self) -> None:
        x, world = self.x, World(self.seed)
        self.world = world
        # What the processes of one node share outside of the world: a descriptor's number and a folder.
        self.descriptor = os.open(os.devnull, os.O_RDONLY)
        self.folder = tempfile.TemporaryDirectory(prefix="hookpitch-lab-")
        world.closed, world.unheard = self._closed, self._unheard
        world.plain.delay, world.plain.jitter = x.net.delay_ms / 1000, x.net.jitter_ms / 1000
        web = world.machine("10.2.0.2").reactor
        self.origin_server = OriginServer(self.origin, web, self.history, self.chance, self._whose, 0.0)
        self.origin_server.size_of = self.size_of
        web.listenTCP(ORIGIN_PORT, self.origin_server, interface="10.2.0.2", backlog=4096)
        there = world.machine("10.2.0.1").reactor
        self.discovery = DiscoveryServer(self.directory, there, self.history, self._whose, 0.0)
        there.listenTCP(DISCOVERY_PORT, self.discovery, interface="10.2.0.1", backlog=4096)
        self.keys = Keys(x.traffic.keys, x.traffic.skew)
        for n in range(x.fleet.caches):
            self.add_server(f"s{n}", cold=False)
        self.directory.put(Listed("o1", f"10.2.0.2:{ORIGIN_PORT}", "origin"))
        if x.fleet.warm:
            self._warm()
        for n in range(x.nodes.count):
            address = f"10.0.{n >> 8}.{1 + (n & 255)}"
            self.names[address] = f"n{n}"
            self.nodes[f"n{n}"] = Node(self, f"n{n}", address)
        for node in self.nodes.values():  # clients sit beside the nodes: a far network is not between them
            world.connect("10.3.0.1", node.address, x.net.delay_ms / 1000, x.net.jitter_ms / 1000)
        self.crowd = self._clients(world.machine("10.3.0.1").reactor, NODE_PORT, 0.0)

    def _clients(self, reactor: Any, port: int, begun: float) -> Crowd:
        t = self.x.traffic
        kinds = [Kind(m.name, m.share, m.wait_ms or m.hard_ms, m.write, m.size) for m in self.x.method]
        manner = Manner(t.tries, t.pause_ms, t.leaving, t.fresh, t.connections, t.slow_readers)
        dials = {name: (node.address, port) for name, node in self.nodes.items()}
        return Crowd(reactor, self.history, self.seed, dials, kinds, self.keys, t.rate, manner, begun)

    def make(self, speed: float) -> Make:
        f = self.x.fleet
        work = {m.name: m.work_ms for m in self.x.method}
        return Make(
            f.cores,
            f.line,
            work,
            1.0,
            f.keys,
            speed,
            f.cold_from,
            f.cold_s * 1000,
            f.fall_multiple,
            f.tip_s * 1000,
            f.connections,
            dial_ms=f.dial_ms,
        )

    def add_server(self, name: str, cold: bool) -> None:
        """A server new to the list."""
        f, n = self.x.fleet, len(self.addresses)
        address = self.addresses.setdefault(name, f"10.1.{n >> 8}.{1 + (n & 255)}")
        make = self.make(f.speeds[n % len(f.speeds)])
        reactor = self.world.machine(address).reactor
        server = CacheServer(name, make, reactor, self.history, self.origin, self.chance, self._whose, 0.0)
        server.size_of = self.size_of
        self.servers[name] = server
        server.start([address], CACHE_PORT, cold)
        self.list_server(name, n, cold)

    def size_of(self, key: str) -> int:
        """Bytes of a key's value; 0 for a small one."""
        t = self.x.traffic
        return int(t.large_kb * 1024) if crc32(key.encode()) % 1000 < 1000 * t.large else 0

    def dial(self, name: str) -> str:
        """Where a server is dialled, as discovery has it."""
        return f"{self.addresses[name]}:{CACHE_PORT}"

    def happening(self, fault: Fault) -> Happening:
        return Happening(self, fault)

    def list_server(self, name: str, n: int, cold: bool) -> None:
        zone = n % self.x.fleet.zones
        born = (self.world.epoch * 1000 + self.now()) if cold else 0.0
        kind = self.x.fleet.kinds[n % len(self.x.fleet.kinds)]
        listed = Listed(name, self.dial(name), kind, f"z{zone}", n, "in_service", 1.0, born)
        self.history.add(self.now(), "place", name, what=f"{kind} {listed.site}")
        self.discovery.put(listed)

    def _warm(self) -> None:
        """Each cache holds the commonest keys: nodes find theirs wherever the ring puts them."""
        for server in self.servers.values():
            for n in reversed(range(min(self.x.traffic.keys, server.make.keys))):
                server.process.store(f"key{n}")

    def _whose(self, transport: Any) -> str:
        """The node at the other end."""
        address = transport.getPeer().host
        return self.names.get(address, address)

    def ways(self, server: str) -> list[str]:
        """The addresses at which a server listens."""
        return [self.addresses[server]]

    def told(self, node: Node, discovery: str, net: str = "") -> dict[str, Any]:
        """What a node is told at its start, as the platform's JSON; `net` as discovery has it for this
        node."""
        x, seq_hosts = self.x, self.directory.whole()
        kinds = list(dict.fromkeys(x.fleet.kinds))
        methods = [
            {
                "name": m.name,
                "soft_deadline_s": m.soft_ms / 1000,
                "hard_deadline_s": m.hard_ms / 1000,
                "gain": m.gain,
                "idempotency": m.idempotency,
                "allowed_on": list(m.allowed_on),
                "runs_in": list(m.runs_in),
            }
            for m in x.method
        ]
        return {
            "name": node.name,
            "listen": f"{node.address}:{NODE_PORT}",
            "discovery": discovery,
            "seed": self.seed * 1000 + len(self.nodes) * node.starts + int(node.name[1:]),
            "limits": {"memory_mb": x.nodes.memory_mb, "sockets": x.nodes.sockets},
            "known": {"seq": seq_hosts[0], "whole": True, "hosts": [h.wire(net) for h in seq_hosts[1]]},
            "settings": {
                "balancers": x.nodes.count,
                "methods": methods,
                "host_types": [*kinds, "origin"],
                "family_info": {"mode": "aside", "origin_kind": len(kinds)},
                "limits": {
                    "most_transmissions": 3,
                    "cancelling": True,
                    "dial_timeout_s": 0.25,
                    "conn_idle_s": 60.0,
                },
                "rules": {
                    "cold_from": x.fleet.cold_from,
                    "cold_s": x.fleet.cold_s,
                    "tip_after_s": x.fleet.tip_s,
                    "ask_within_s": 10.0,
                    "overload_factor": x.fleet.fall_multiple,
                },
                "tick_s": 0.001,
            },
        }
    def rules(self) -> Rules:
        x = self.x
        return Rules(
            retriable={m.name: m.idempotency == "retryable" for m in x.method},
            # With fewer keys than caches, a node has no use for each of them.
            unused_ms=float("inf") if x.traffic.keys < x.fleet.caches else UNUSED_MS,
            heads=x.nodes.sockets >= SOCKETS_FOR_ALL,
            bound=bound_methods(x),
        )

    def counted(self, node: Node, counters: Counters) -> None:
        """A process of the node has ended; what it counted is added to what those before it did."""
        mine = self.counters.setdefault(node.name, {})
        for name, count in counters.counts.items():
            mine[name] = mine.get(name, 0) + count

    # ---- running

    def run(self) -> Ended:
        begun, x, world = time.perf_counter(), self.x, self.world
        for node in self.nodes.values():
            world.at(0.0, None, node.start)
        world.at(BEFORE_S, None, self.crowd.start)
        for fault in x.fault:
            self.happening(fault).plan()
        end = x.seconds
        world.at(end, None, self.crowd.stop)
        longest = max(m.hard_ms for m in x.method) / 1000
        world.run(end + longest + SETTLE_S)
        for node in self.nodes.values():
            if node.node is not None:  # of one that was killed, the figures were taken then
                self.counted(node, node.counters)
        os.close(self.descriptor)
        self.folder.cleanup()
        judge = Judge(self.rules())
        broken = judge.judge(self.history, self.now()) + judge.figures(self.history, self.counters)
        for name, mine in self.counters.items():
            for counter in sorted(mine):
                if counter.startswith("broken.") or counter == "faults":
                    broken.append(
                        Broken("invariant", self.now(), "", f"{name}: {counter} {mine[counter]} times")
                    )
        kept = [ms for rudes in self.rudes for ms in rudes.kept_ms]
        return Ended(
            x,
            self.seed,
            self.history,
            broken,
            self.logs,
            self.counters,
            world.faults,
            world.events,
            time.perf_counter() - begun,
            kept,
            self.crowd.no_room,
        )


class Happening:
    """One fault: what it does when it comes, and what undoes it."""

    def __init__(self, run: Run, fault: Fault) -> None:
        self.run, self.fault = run, fault

    def plan(self, offset: float = 0.0) -> None:
        """`offset`: seconds of the world's time at which the run's began."""
        run, fault = self.run, self.fault
        begin, end = getattr(self, fault.what), getattr(self, f"{fault.what}_ends", None)
        run.world.at(offset + fault.at, None, self._told, "begins", begin)
        if fault.lasting and end is not None:
            run.world.at(offset + fault.end, None, self._told, "ends", end)

    def _told(self, what: str, call: Any) -> None:  # noqa: ANN401
        self.run.history.add(
            self.run.now(), "fault", self.fault.whom or "-", what=f"{self.fault.what} {what}"
        )
        call()

    @property
    def servers(self) -> list[CacheServer]:
        if self.fault.whom == "all":
            return list(self.run.servers.values())
        return [self.run.servers[self.fault.whom]]

    @property
    def machine(self) -> Machine:
        return self.run.world.machine(self.run.addresses[self.fault.whom])

    @property
    def node(self) -> Node:
        return self.run.nodes[self.fault.whom]

    @property
    def number(self) -> int:
        return list(self.run.addresses).index(self.fault.whom)

    # a cache server's

    def crash(self) -> None:
        for server in self.servers:
            if server.process is None:
                continue
            machine = self.run.world.machine(self.run.addresses[server.name])
            server.die()
            machine.kill()
            server.reactor = machine.reactor
            machine.start()

    def crash_ends(self) -> None:
        """It returns under its old name and address, cold and empty."""
        for server in self.servers:
            if server.process is None:
                server.start(self.run.ways(server.name), CACHE_PORT, cold=True)
                self.run.list_server(server.name, list(self.run.addresses).index(server.name), cold=True)

    def vanish(self) -> None:
        self.machine.vanish()

    def vanish_ends(self) -> None:
        self.machine.come_back()

    def _pairs(self) -> list[tuple[str, str]]:
        """Between each node and the server, towards the server and back."""
        there = self.run.addresses[self.fault.whom]
        return [pair for n in self.run.nodes.values() for pair in ((n.address, there), (there, n.address))]

    def silence(self) -> None:
        for a, b in self._pairs():
            self.run.world.silence(a, b)

    def silence_ends(self) -> None:
        for a, b in self._pairs():
            self.run.world.heal(a, b)

    def half_silence(self) -> None:
        for a, b in self._pairs()[1::2]:  # its answers alone are lost
            self.run.world.silence(a, b)

    def half_silence_ends(self) -> None:
        for a, b in self._pairs()[1::2]:
            self.run.world.heal(a, b)

    def slow(self) -> None:
        for server in self.servers:
            if server.process is not None:
                server.process.slow = self.fault.by or 10.0

    def slow_ends(self) -> None:
        for server in self.servers:
            if server.process is not None:
                server.process.slow = 1.0

    def drain(self) -> None:
        """It is listed as terminating, goes after `by` seconds (5), and comes back new and cold at the
        end."""
        if self.fault.whom not in self.run.directory.hosts:  # it has gone already
            return
        self.run.discovery.health(self.fault.whom, "terminating")
        self.run.world.at(self.run.world.now + (self.fault.by or 5.0), None, self._gone)

    def _gone(self) -> None:
        if self.fault.whom in self.run.directory.hosts:
            self.run.discovery.health(self.fault.whom, "terminated")
            if self.servers[0].process is not None:
                self.crash()

    def drain_ends(self) -> None:
        if self.servers[0].process is not None:  # it has not even gone
            return
        self.crash_ends()

    def add(self) -> None:
        """A server new to the fleet, cold."""
        self.run.add_server(self.fault.whom, cold=True)

    def flush(self) -> None:
        for server in self.servers:
            if server.process is not None:
                server.process.flush()

    def _mood(self, mood: str) -> None:
        for server in self.servers:
            server.mood, server.part = mood, self.fault.by or 1.0

    def mute(self) -> None:
        self._mood("mute")

    def garble(self) -> None:
        self._mood("garbled")

    def reset(self) -> None:
        self._mood("resets")

    def mute_ends(self) -> None:
        self._mood("well")

    garble_ends = reset_ends = mute_ends

    # the origin's, discovery's

    def origin_slow(self) -> None:
        self.run.origin.queue.slow = self.fault.by or 5.0

    def origin_slow_ends(self) -> None:
        self.run.origin.queue.slow = 1.0

    def origin_fails(self) -> None:
        self.run.origin_server.failing = self.fault.by or 0.3

    def origin_fails_ends(self) -> None:
        self.run.origin_server.failing = 0.0

    def discovery_down(self) -> None:
        self.run.discovery.go_down()

    def discovery_down_ends(self) -> None:
        self.run.discovery.come_up()

    def discovery_restart(self) -> None:
        self.run.discovery.go_down()

    def discovery_restart_ends(self) -> None:
        self.run.discovery.come_up(anew=True)

    def discovery_lag(self) -> None:
        self.run.directory.lag_ms = 1000 * (self.fault.by or 3.0)

    def discovery_lag_ends(self) -> None:
        self.run.directory.lag_ms = 100.0

    # a node's

    def node_kill(self) -> None:
        if self.node.node is not None:
            self.node.kill()
        self.run.world.at(self.run.world.now + FRONT_S, None, self._front, self.fault.whom, False)

    def node_kill_ends(self) -> None:
        if self.node.node is not None:
            return
        self.node.start()
        self.run.world.at(self.run.world.now + BEFORE_S, None, self._front, self.fault.whom, True)

    def _front(self, name: str, there: bool) -> None:
        use = self.run.crowd.in_use
        if there and name not in use and self.run.nodes[name].node is not None:
            use.append(name)
            use.sort()
        elif not there and name in use and self.run.nodes[name].node is None:
            use.remove(name)

    def node_leave(self) -> None:
        """SIGTERM: new connections go on coming for a while."""
        if self.node.node is None:
            return
        self.run.history.add(self.run.now(), "leaving", self.fault.whom)
        self.node.node.leave()
        self.run.world.at(self.run.world.now + 0.3, None, self._away, self.fault.whom)

    def _away(self, name: str) -> None:
        if name in self.run.crowd.in_use:
            self.run.crowd.in_use.remove(name)
        for caller in list(self.run.crowd.idle[name]):
            if not caller.lost:
                caller.transport.loseConnection()

    def node_leave_ends(self) -> None:
        if self.node.node is not None:
            self.node.kill()
        self.node_kill_ends()

    def node_drain(self) -> None:
        """An operator's PAUSE, and RESUME at the end. The front sends new connections for a little longer."""
        run, name = self.run, self.fault.whom
        if self.node.node is None:
            return
        self.node.node.pause()
        run.world.at(run.world.now + ASKED_S, None, self._front_away, name)
        run.world.at(run.world.now + DRAINED_S, None, self._still_held, name, self.node.node)

    def _front_away(self, name: str) -> None:
        if name in self.run.crowd.in_use:
            self.run.crowd.in_use.remove(name)

    def _still_held(self, name: str, process: SocketNode) -> None:
        if process.paused and self.run.crowd.held[name]:
            self.run.history.add(self.run.now(), "held", name, value=self.run.crowd.held[name])

    def node_drain_ends(self) -> None:
        if self.node.node is not None:
            self.node.node.resume()
            self.run.world.at(self.run.world.now + ASKED_S, None, self._front, self.fault.whom, True)

    def suspend(self) -> None:
        """By hand, at all nodes, and back at the end; after `by` seconds (1) the server is restarted."""
        run, server = self.run, self.fault.whom
        for node in run.nodes.values():
            # While two processes are one node, either may be called.
            if node.node is not None and not run.chance.choice(node.processes()).suspend(server):
                run.history.add(run.now(), "banned", node.name, what=server)
        run.world.at(run.world.now + (self.fault.by or 1.0), None, self._restarted)

    def _restarted(self) -> None:
        self.crash()
        self.run.world.at(self.run.world.now + RESTART_S, None, self.crash_ends)

    def suspend_ends(self) -> None:
        run, server = self.run, self.fault.whom
        for node in run.nodes.values():
            if node.node is not None and not run.chance.choice(node.processes()).restore(server):
                run.history.add(run.now(), "back", node.name, what=server)

    def callers(self) -> None:
        """Operators' calls, some good and some not, at every node's door, and callers that say nothing."""
        for name, node in self.run.nodes.items():
            calls = Calls(self.run.crowd.reactor, self.run.history, name, (node.address, node.door))
            calls.start(self.fault.lasting or 1.0, self.fault.by or 5.0)

    def node_upgrade(self) -> None:
        """A second process beside the first; `by` over 0: it dies before its yes."""
        if self.fault.by:
            self.node.false_start()
        else:
            self.node.upgrade()

    def crowd(self) -> None:
        """`by` connections a second that never finish a request, and stay."""
        self._rudes(Rudes(self.run.crowd, self.fault.by or 100.0, unfinished=True))

    def slow_heads(self) -> None:
        """`by` honest clients a second that take up to 1.8 s to write their request."""
        SlowHeads(self.run.crowd, self.fault.by or 5.0).start(self.fault.lasting or 1.0)

    def pieces(self) -> None:
        """Answers are written `by` bytes at a time (4096), with a pause between."""
        for server in self.servers:
            server.piece = int(self.fault.by or 4096)

    def pieces_ends(self) -> None:
        for server in self.servers:
            server.piece = 0

    def node_pause(self) -> None:
        span = self.fault.lasting or 0.3
        self.run.history.add(self.run.now(), "away", self.fault.whom, value=span * 1000)
        self.node.machine.stop(span)

    def node_slow(self) -> None:
        self.node.machine.event_cost = (self.fault.by or 500.0) / 1e6

    def node_slow_ends(self) -> None:
        self.node.machine.event_cost = self.run.x.nodes.event_us / 1e6

    # traffic's, the network's

    def surge(self) -> None:
        self.run.crowd.rate = self.run.x.traffic.rate * (self.fault.by or 3.0)

    def surge_ends(self) -> None:
        self.run.crowd.rate = self.run.x.traffic.rate

    def hot_key(self) -> None:
        self.run.keys.hot = self.fault.by or 0.2

    def hot_key_ends(self) -> None:
        self.run.keys.hot = 0.0

    def rude(self) -> None:
        self._rudes(Rudes(self.run.crowd, self.fault.by or 20.0))

    def _rudes(self, rudes: Rudes) -> None:
        self.run.rudes.append(rudes)
        rudes.start(self.fault.lasting or 1.0)

    def far(self) -> None:
        """Every way takes `by` ms longer."""
        self.run.world.plain.delay += (self.fault.by or 20.0) / 1000

    def far_ends(self) -> None:
        self.run.world.plain.delay -= (self.fault.by or 20.0) / 1000
