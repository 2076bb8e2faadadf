"""An experiment on loopback in real time: each node, fake server and relay is a process.

Each node has a loopback network of its own (127.10.x.x, 127.11.x.x, ...), in which relays stand for
all that it talks to: servers, the origin, discovery, its clients, the other nodes. So the testbed
controls each link and the node's program is unchanged. Networks are allotted in blocks, so that
several runs fit beside one another. This process has the clients and the time line, and merges the
histories of all. A run in which the testbed fell behind is void. Sources: signal(7).
"""

from __future__ import annotations

import fcntl
import json
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.discovery import FakeEndpoint
from hookpitch.fakes.load_clients import LoadClients
from hookpitch.testbed.base_run import RunResult
from hookpitch.testbed.child import Line, LoopMonitor, recorded_events
from hookpitch.testbed.experiment_schema import PROCESS_FAULTS, VIRTUAL_ONLY, Experiment
from hookpitch.testbed.faults import BEFORE_S, schedule_faults
from hookpitch.testbed.judge import Judge
from hookpitch.testbed.links import Impairment, Impairments
from hookpitch.testbed.processes import DISCOVERY_PORT, NODE_PORT, Child, NodeProcess, ProcessHost
from hookpitch.testbed.rules import Rules, Violation

CACHE_PORT = 26379
ORIGIN_PORT = 28080
# of nodes; of the stand-ins themselves
FIRST_NET = 10
STANDIN_NET = 200
# blocks of nets, and nodes in one
BLOCKS = 8
BLOCK = 13
NODES_MOST = BLOCKS * BLOCK
RELAY_NODES = 16  # at a relay
TOGETHER = 8  # servers in one process, of those that no fault needs alone
OWN_PROCESS = ("crash", "drain", "suspend")  # faults of a server that its process dies of
LEFT_S = 3.0  # more than its longest deadline, for a node to leave
READY_S = 60.0  # for all processes to be up after their start
VOID_MS = 150.0  # a rig that is later than this judges nothing
OVERLAP_MS = 5.0  # between what a relay and a server tell of one moment
CROSSING_MS = 20.0  # after it was asked, an RPC may meet its connection's end on the way
CALL_S = 1.0


class _WallClock:
    """What a happening asks of a network: the time since the start, and events at a time."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.begun = reactor.seconds()
        self.epoch = time.time()
        self.faults = list[str]()

    @property
    def now(self) -> float:
        return self.reactor.seconds() - self.begun

    def at(self, when: float, machine: object, func: Callable[..., object], *args: object) -> None:
        self.reactor.callLater(max(0.0, when - self.now), func, *args)


class _Ask(Protocol):
    """One call at a node's door."""

    def __init__(self, line: str, answered: Callable[[bool], None]) -> None:
        self.line = line
        self.answered = answered
        self.got = b""
        self.over = False

    def connectionMade(self) -> None:
        self.transport.write(self.line.encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        self.got += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.answered(self.got.startswith(b"YES"))


class _Asks(ClientFactory):
    noisy = False

    def __init__(self, line: str, answered: Callable[[bool], None]) -> None:
        self.line = line
        self.answered = answered

    def buildProtocol(self, addr: object) -> _Ask:
        return _Ask(self.line, self.answered)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.answered(False)


class _Control(Factory):
    """Where the rig's processes find this one."""

    noisy = False

    def __init__(self, run: WallRun) -> None:
        self.run = run

    def buildProtocol(self, addr: object) -> Line:
        whose: list[Child] = []

        def received(what: str, *args: Any) -> None:
            if what == "hello":
                whose.append(self.run.children[args[0]])
            elif what == "ready":
                whose[0].is_ready(line)
            else:
                self.run.told_by(whose[0], what, *args)

        line = Line(received, lambda: self.run.lost(whose[0], line) if whose else None)
        return line


class WallRun(ProcessHost):
    """The same run on loopback."""

    def __init__(
        self,
        x: Experiment,
        seed: int,
        reactor: Any,
        folder: Path,
        tell: Callable[[str], None] | None = None,
    ) -> None:
        """`tell` is given a line a second of how the run goes."""
        for n, fault in enumerate(x.fault):
            if fault.what in VIRTUAL_ONLY:
                why = f"'{fault.what}' is for virtual time alone: {VIRTUAL_ONLY[fault.what]}"
                raise ValueError(f"{x.name}: fault[{n}].what: {why}")
        if x.nodes.count > NODES_MOST:
            raise ValueError(f"{x.name}: nodes.count: wants at most {NODES_MOST} on loopback")
        self.reactor = reactor
        self.folder = folder
        self.tell = tell
        super().__init__(x, seed, _WallClock(reactor))
        self.begun = self.network.begun
        self.control = str(folder / "control")
        self.nets: dict[str, str] = {}  # by node
        self.own = ""  # the stand-ins' net
        self.nodes: dict[str, NodeProcess] = {}
        self.children: dict[str, Child] = {}
        self.home: dict[str, Child] = {}  # by stand-in: where it runs
        self.relays: dict[str, Child] = {}  # by node
        self.void: list[str] = []
        self.failed: list[str] = []  # why the run could not go on
        self.offset = 0.0
        self.over = False
        self.closing = False
        self._locks: list[Any] = []
        self._impairments = Impairments()
        self._alone = self._on_their_own()
        self._excused: list[
            tuple[str, float, float]
        ] = []  # rig processes that were stopped, and when: in ms

    # ---- building

    def _on_their_own(self) -> set[str]:
        """Servers that a fault stops or kills: each has a process of its own."""
        found = {f.whom for f in self.experiment.fault if f.what in OWN_PROCESS}
        if "all" in found:
            found |= {f"s{n}" for n in range(self.experiment.fleet.caches)}
        for n, fault in enumerate(self.experiment.fault):
            if fault.what in PROCESS_FAULTS:
                found |= set(self.experiment.group(n, self.seed))
        return found

    def build(self) -> None:
        """All processes but the nodes are started. ValueError says in one line why not."""
        x = self.experiment
        first = self._block()
        self.nets = {f"n{n}": f"127.{FIRST_NET + first * BLOCK + n}" for n in range(x.nodes.count)}
        self.names = {net: name for name, net in self.nets.items()}
        self.own = f"127.{STANDIN_NET + first}"
        self.reactor.listenUNIX(self.control, _Control(self))
        self.directory.put(FakeEndpoint("o1", f"{{net}}.2.2:{ORIGIN_PORT}", "origin"))
        for n in range(x.fleet.caches):
            self._place(f"s{n}")
            self.list_server(f"s{n}", cold=False)
        names = list(self.addresses)
        shared = [name for name in names if name not in self._alone]
        for n in range(0, len(shared), TOGETHER):
            self._standin(f"caches{n // TOGETHER}", shared[n : n + TOGETHER], cold=False)
        for name in names:
            if name in self._alone:
                self._standin(name, [name], cold=False)
        self._child("origin", "standins", self._origin_given)
        self._child("discovery", "standins", self._discovery_given)
        for name, net in self.nets.items():
            self.nodes[name] = NodeProcess(self, name, net)
        for n in range(0, x.nodes.count, RELAY_NODES):
            some = [f"n{i}" for i in range(n, min(x.nodes.count, n + RELAY_NODES))]
            number = n // RELAY_NODES
            child = self._child(
                f"relay{number}", "relay", lambda some=some: self._relay_given(some)
            )
            self.relays |= dict.fromkeys(some, child)
        for child in self.children.values():
            child.start()
        self.crowd: LoadClients = self.clients(self.reactor, self.begun)
        LoopMonitor(self.reactor, self.history, "clients", self.begun)

    def _block(self) -> int:
        """The first of as many free blocks of nets as the nodes need, held until the run's end."""
        need = -(-self.experiment.nodes.count // BLOCK)
        for n in range(BLOCKS):
            held = (Path(tempfile.gettempdir()) / f"hookpitch-lab-{n}.lock").open("w")
            try:
                fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                held.close()
                while self._locks:
                    self._locks.pop().close()
                continue
            self._locks.append(held)
            if len(self._locks) == need:
                return n + 1 - need
        while self._locks:
            self._locks.pop().close()
        raise ValueError("other runs on loopback are on: too few addresses are free")

    def _child(self, name: str, module: str, given: Callable[[], dict[str, Any]]) -> Child:
        child = self.children[name] = Child(self, name, f"hookpitch.testbed.{module}", given)
        if module == "standins" and name in ("origin", "discovery"):
            self.home[name] = child
        return child

    def _place(self, name: str) -> None:
        n = len(self.addresses)
        self.addresses.setdefault(name, f"{100 + n // 250}.{1 + n % 250}")

    def _at(self, name: str) -> str:
        """Where a server itself listens."""
        n = list(self.addresses).index(name)
        return f"{self.own}.{4 + n // 250}.{1 + n % 250}"

    def _standins_given(self, roles: list[dict[str, Any]]) -> dict[str, Any]:
        t = self.experiment.traffic
        return {
            "nets": self.names,
            "roles": roles,
            "large": t.large,
            "large_size": int(t.large_kb * 1024),
        }

    def _standin(self, name: str, servers: list[str], cold: bool) -> Child:
        """A process for some servers; what starts again is cold."""

        def given() -> dict[str, Any]:
            again = cold or child.starts > 1
            roles = []
            for server in servers:
                make = msgspec.to_builtins(self.make(list(self.addresses).index(server)))
                warm = (
                    self.experiment.traffic.keys if self.experiment.fleet.warm and not again else 0
                )
                roles.append(
                    {
                        "kind": "cache",
                        "name": server,
                        "make": make,
                        "address": self._at(server),
                        "port": CACHE_PORT,
                        "cold": again,
                        "warm": warm,
                    }
                )
            return self._standins_given(roles)

        child = self._child(name, "standins", given)
        self.home |= dict.fromkeys(servers, child)
        return child

    def _origin_given(self) -> dict[str, Any]:
        make = msgspec.to_builtins(self.origin_make())
        names = list(self.addresses)
        host = f"{self.own}.3.2"
        role = {
            "kind": "origin",
            "make": make,
            "address": host,
            "port": ORIGIN_PORT,
            "caches": names,
        }
        return self._standins_given([role])

    def _discovery_given(self) -> dict[str, Any]:
        seq, hosts = self.directory.snapshot()
        fields = [list(msgspec.to_builtins(h).values()) for h in hosts]
        again = self.children["discovery"].starts > 1
        role = {
            "kind": "discovery",
            "address": f"{self.own}.3.1",
            "port": DISCOVERY_PORT,
            "hosts": fields,
            "seq": 1 if again else seq,
            "lag_ms": self.directory.lag_ms,
            "calls_per_s": self.experiment.discovery.calls_per_s,
        }
        return self._standins_given([role])

    def _relay_given(self, some: list[str]) -> dict[str, Any]:
        """The links of some nodes: a node dials in its own net, and is seen at an address of it."""
        tcp: list[list[Any]] = []
        udp: list[list[Any]] = []
        for name in some:
            net = self.nets[name]
            port = self.experiment.nodes.peer_port
            whence = f"{net}.9.9"
            tcp.append(
                [
                    "clients",
                    name,
                    [f"{net}.3.1", NODE_PORT],
                    [f"{net}.0.1", NODE_PORT],
                    f"{net}.3.2",
                ]
            )
            for at, other, port_there in (
                (2, "origin", ORIGIN_PORT),
                (1, "discovery", DISCOVERY_PORT),
            ):
                there = [f"{self.own}.3.{at}", port_there]
                tcp.append([name, other, [f"{net}.2.{at}", port_there], there, whence])
            for server in self.addresses:
                tcp.append(self._link(name, server))
            for other in self.nets if port else ():
                if other == name:
                    continue
                home = [f"{net}.0.1", port]
                whole = [f"{self.nets[other]}.0.1", port]
                here = self.peer(name, other)
                there = self.peer(other, name)
                tcp.append([name, other, list(here), whole, there[0]])
                if int(name[1:]) < int(other[1:]):
                    udp.append([name, other, list(here), list(there), whole, home])
        return {"nodes": some, "tcp": tcp, "udp": udp}

    def _link(self, node: str, server: str) -> list[Any]:
        net = self.nets[node]
        at = [f"{net}.{self.addresses[server]}", CACHE_PORT]
        return [node, server, at, [self._at(server), CACHE_PORT], f"{net}.9.9"]

    def peer(self, a: str, b: str) -> tuple[str, int]:
        """Where node a finds node b, by TCP and by UDP."""
        return f"{self.nets[a]}.200.{1 + int(b[1:])}", self.experiment.nodes.peer_port

    def dials(self, net: str) -> list[str]:
        """Where a node of that net finds the origin and each server that is there by now."""
        return [
            f"{net}.2.2:{ORIGIN_PORT}",
            *(f"{net}.{at}:{CACHE_PORT}" for at in self.addresses.values()),
        ]

    def dial(self, name: str) -> str:
        """Where a server is dialled, for a network that is filled in later."""
        return f"{{net}}.{self.addresses[name]}:{CACHE_PORT}"

    def client_dial(self, node: NodeProcess) -> tuple[str, int]:
        """The relay's address for a node's clients."""
        return f"{node.net}.3.1", NODE_PORT

    def add_server(self, name: str, cold: bool) -> None:
        """Start a process for a new server, with links to all nodes."""
        self._place(name)
        child = self._standin(name, [name], cold)
        for node, relay in self.relays.items():
            relay.order("tcp", *self._link(node, name))
        child.then.append(lambda: self.list_server(name, cold))
        child.start()

    # ---- what faults ask for

    def order(self, name: str, what: str, *args: Any) -> None:
        """Send an order to the process of a fake server."""
        if name == "discovery":
            self._mirror(what, *args)
        child = self.home.get(name)
        if child is not None:
            child.order(name, what, *args)

    def _mirror(self, what: str, *args: Any) -> None:
        """What is ordered of discovery is known here, too: for nodes that start."""
        if what == "put":
            self.directory.put(FakeEndpoint(*args))
        elif what == "health" and args[0] in self.directory.endpoints:
            self.directory.set_health(*args)
        elif what == "lag":
            self.directory.lag_ms = args[0]
        elif what == "up" and args[0]:
            self.directory.restart()

    def kill(self, name: str) -> bool:
        """Kill the process of a fake server."""
        child = self.home[name]
        if child.process is None or not child.ready:
            return False
        self.refuse(name, True)
        child.kill()
        self.history.add(self.now(), "down", name)
        return True

    def begin(self, name: str) -> None:
        """Start the process of a fake server."""
        child = self.home[name]
        if child.ready:
            return
        if name == "discovery":
            self.directory.restart()
        if name in self.addresses:
            child.then.append(lambda: self.list_server(name, cold=True))
        child.then.append(lambda: self.refuse(name, False))
        child.start()

    def refuse(self, name: str, on: bool) -> None:
        """While a process is down, its links refuse dials as its kernel would."""
        if name in self.nodes:
            peers = self.nodes if self.experiment.nodes.peer_port else ()
            ways = [("clients", name), *((n, name) for n in peers if n != name)]
        else:
            ways = [(n, name) for n in self.nodes]
        self.impair(ways, "down", Impairment(refusing=True) if on else None)

    def stall(self, name: str, seconds: float) -> None:
        """Stop a process; the relay or server it holds back is excused."""
        if name in self.nodes:
            self.nodes[name].stop(seconds)
            return
        child = self.home[name]
        process = child.process
        if process is None or not child.ready:
            return
        self._excused.append((child.name, self.now(), self.now() + seconds * 1000 + VOID_MS))
        process.stop()
        self.network.at(self.network.now + seconds, None, process.go_on)

    def vanish(self, name: str, gone: bool) -> None:
        """Silence all links of a server."""
        ways = [way for n in self.nodes for way in ((n, name), (name, n))]
        self.impair(ways, "vanished", Impairment(silent=True, kept=False) if gone else None)
        if not gone:
            self.sever(ways)

    def impair(
        self, ways: Iterable[tuple[str, str]], by: object, impairment: Impairment | None
    ) -> None:
        """Have the relays impair directions."""
        for a, b in ways:
            state = (
                self._impairments.remove((a, b), by)
                if impairment is None
                else self._impairments.put((a, b), by, impairment)
            )
            for relay in dict.fromkeys(self.relays[name] for name in (a, b) if name in self.relays):
                relay.order("impair", a, b, msgspec.to_builtins(state))

    def sever(self, ways: Iterable[tuple[str, str]]) -> None:
        """Have the relays reset connections."""
        for a, b in ways:
            for relay in dict.fromkeys(self.relays[name] for name in (a, b) if name in self.relays):
                relay.order("sever", a, b)

    def ask(self, door: tuple[str, int], line: str, answered: Callable[[bool], None]) -> None:
        """An operator's call: whether the answer is yes."""
        self.reactor.connectTCP(*door, _Asks(line, answered), timeout=CALL_S)

    def call(self, node: str, line: str, kind: str = "", what: str = "") -> None:
        """Send an operator's call to a node."""
        self.ask(
            self.nodes[node].admin_address(),
            line,
            lambda yes: self.called(node, line, yes, kind, what),
        )

    def when_serving(self, node: NodeProcess) -> None:
        """Its links are open again once a process of it serves."""
        if node.node is None:
            return
        if sum(line.get("event") == "serving" for line in node.lines()) >= node.starts:
            self.refuse(node.name, False)
        else:
            self.reactor.callLater(0.05, self.when_serving, node)

    # ---- what the rig's processes tell

    def told_by(self, child: Child, what: str, *args: Any) -> None:
        """Carry out what a child process asks for."""
        if what == "miss":
            self.home["origin"].order("origin", "miss", *args)
        elif what == "order":
            name, *rest = args
            if name in self.home:
                self.home[name].order(name, *rest)
        elif what == "cannot":
            self._stop(f"{child.name}: {args[0]}")

    def lost(self, child: Child, line: Line) -> None:
        """A control line has ended; the run is void where nobody asked for that."""
        asked = self.closing or child.process is None or child.process.asked
        if child.line is line and child.ready and not asked:
            child.ready = False
            self.void.append(f"{child.name} died at {self.network.now - self.offset:.1f} s")
            self._stop("")

    def _stop(self, why: str) -> None:
        self.over = True
        if why:
            self.failed.append(why)
        if self.reactor.running:
            self.reactor.stop()

    # ---- running

    def rules(self) -> Rules:
        """Bounds are wider by how late the rig was, twice."""
        # An RPC meets its relay on the way there and back.
        plain = super().rules()
        late = 2 * max(self.late().values(), default=0.0)
        return replace(
            plain,
            overlap_ms=OVERLAP_MS + late,
            crossing_ms=CROSSING_MS + late,
            tolerance_ms=plain.tolerance_ms + late,
        )

    def late(self) -> dict[str, float]:
        """By process of the rig: how late it was at the worst, in ms; a stop that was asked for is
        none."""
        worst: dict[str, float] = dict.fromkeys([*self.children, "clients"], 0.0)
        end = (
            self.experiment.seconds + self.span()
        ) * 1000  # from then on nodes leave, and nothing is asked
        for e in self.history.events:
            if e.kind != "rig" or not 0 <= e.at <= end:
                continue
            if any(who == e.who and a <= e.at <= b + e.value for who, a, b in self._excused):
                continue
            worst[e.who] = max(worst.get(e.who, 0.0), e.value)
        return worst

    def run(self) -> RunResult:
        """Run the whole experiment and judge it; ValueError where it could not be run."""
        begun = time.perf_counter()
        try:
            self.build()
            self._up(self.network.now + READY_S)
            # A run that is interrupted closes its lines itself: none of its processes has died.
            self.reactor.addSystemEventTrigger("before", "shutdown", setattr, self, "closing", True)
            self.reactor.run()
            if self.failed or not self.over:
                raise ValueError(
                    self.failed[0] if self.failed else f"{self.experiment.name}: interrupted"
                )
            return self._ended(begun)
        finally:
            self.end()

    def end(self) -> None:
        """No process that was started is left."""
        for node in self.nodes.values():
            node.end()
        for child in self.children.values():
            child.kill()
        for lock in self._locks:
            lock.close()

    def _up(self, until: float) -> None:
        """Wait until the rig is up, then for the nodes; what was before does not count."""
        if not all(child.ready for child in self.children.values()):
            self._wait(until, self._up, "the rig is not up")
            return
        for node in self.nodes.values():
            node.start()
        self._serving(until)

    def _serving(self, until: float) -> None:
        for node in self.nodes.values():
            if not any(line.get("event") == "serving" for line in node.lines()):
                if node.process is None or not node.process.running:
                    self._stop(f"{node.name} did not start")
                else:
                    self._wait(until, self._serving, f"{node.name} did not start")
                return
        self._begin()

    def _wait(self, until: float, call: Callable[[float], None], why: str) -> None:
        if self.network.now > until:
            self._stop(why)
        else:
            self.reactor.callLater(0.05, call, until)

    def _begin(self) -> None:
        x = self.experiment
        at = self.network.now
        self.offset = at
        self.network.at(at + BEFORE_S, None, self.crowd.start)
        schedule_faults(self, at)
        self.network.at(at + x.seconds, None, self.crowd.stop)
        self.network.at(at + x.seconds + self.span(), None, self._leave)
        if self.tell is not None:
            self._progress()

    def _progress(self) -> None:
        now = self.network.now - self.offset
        self.tell(
            f"{now:5.1f} s of {self.experiment.seconds + self.span():g}, "
            f"{self.crowd.rpc_count} RPCs"
        )
        self.reactor.callLater(1.0, self._progress)

    def _leave(self) -> None:
        for node in self.nodes.values():
            for process in (node.process, node.elder):
                if process is not None and process.stopped:
                    process.stopped = 1
                    process.go_on()
            if node.node is not None:
                if not node.process.running and not node.process.asked:
                    self.network.faults.append(f"{node.name} ended by itself")
                node.leave()
        self._gone(self.network.now + self.span() + LEFT_S)

    def _gone(self, until: float) -> None:
        """Nodes that leave have their time; what they counted is logged at their end."""
        if self.network.now > until or not any(
            n.process.running for n in self.nodes.values() if n.process
        ):
            self._stop("")
        else:
            self.reactor.callLater(0.05, self._gone, until)

    def _ended(self, begun: float) -> RunResult:
        offset = self.offset * 1000
        for name in self.children:
            self.history.events += recorded_events(self.folder / f"{name}.history")
        events = [e._replace(at=e.at - offset) for e in self.history.events]
        self._excused = [(who, a - offset, b - offset) for who, a, b in self._excused]
        self.history.events[:] = _with_deaths(sorted(events, key=lambda e: e.at))
        for node in self.nodes.values():
            self._read(node)
        late = self.late()
        for name, ms in sorted(late.items()):
            if ms > VOID_MS:
                self.void.append(f"{name} was {ms:.0f} ms late, over {VOID_MS:g}")
        end = self.now() - offset
        judge = Judge(self.rules())
        broken: list[Violation] = judge.judge(self.history, end)
        killed = {
            e.who for e in self.history.events if e.kind == "stop"
        }  # what they counted died with them
        comparable = {name: counts for name, counts in self.counters.items() if name not in killed}
        broken += judge.check_counters(self.history, comparable)
        real = time.perf_counter() - begun
        return self.ended(broken, len(self.history.events), real, void=self.void, rig=late)

    def _read(self, node: NodeProcess) -> None:
        """What a node's log tells of its counters and of faults."""
        plain = ("event", "node", "level", "timestamp")
        for line in node.lines():
            event = line.get("event", "")
            stamp = datetime.fromisoformat(
                line.get("timestamp", "1970-01-01T00:00:00+00:00")
            ).timestamp()
            at = 1000 * (stamp - self.network.epoch - self.offset)
            self.logs.append(
                (at, node.name, f"{event}: {line['what']}" if "what" in line else event)
            )
            if event == "shutdown_complete":
                mine = self.counters.setdefault(node.name, {})
                for name, count in line.items():
                    if name not in plain:
                        mine[name] = mine.get(name, 0) + count
            elif event == "fault":
                self.network.faults.append(f"{node.name}: {line.get('text', '')[-300:]}")


def _with_deaths(events: list[Any]) -> list[Any]:
    """What was at work in a process that was killed is dropped with it."""
    open_at: dict[str, dict[str, int]] = {}
    whole: list[Any] = []
    for e in events:
        if e.kind == "came":
            here = open_at.setdefault(e.who, {})
            here[e.rpc] = here.get(e.rpc, 0) + 1
        elif e.kind in ("sent", "dropped"):
            here = open_at.setdefault(e.who, {})
            here[e.rpc] = here.get(e.rpc, 0) - 1
        whole.append(e)
        if e.kind == "down":
            for rpc, count in open_at.pop(e.who, {}).items():
                whole += [e._replace(kind="dropped", rpc=rpc)] * max(0, count)
    return whole


def run_on_loopback(
    x: Experiment, seed: int, logs: Path | None = None, tell: Callable[[str], None] | None = None
) -> RunResult:
    """One run in this process, whose reactor can run only once. `logs`: a folder that keeps all of
    them."""
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory(prefix="hookpitch-lab-") as folder:
        run = WallRun(x, seed, reactor, Path(folder), tell)
        try:
            return run.run()
        finally:
            if logs is not None:
                logs.mkdir(parents=True, exist_ok=True)
                for path in Path(folder).iterdir():
                    if path.suffix in (".log", ".history", ".json"):
                        (logs / path.name).write_bytes(path.read_bytes())


def serve_fleet(x: Experiment, post: Path | None, tell: Callable[[str], None]) -> None:
    """Stand-ins on loopback until the process is ended; `post`: where a node's JSON file for them
    is
    written."""
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory(prefix="hookpitch-lab-") as folder:
        run = WallRun(x, x.seed, reactor, Path(folder))

        def look() -> None:
            if not all(child.ready for child in run.children.values()):
                reactor.callLater(0.05, look)
                return
            node = run.nodes["n0"]
            config = run.node_config(node, f"{node.net}.2.1:{DISCOVERY_PORT}", node.net)
            config["listen"] = f"{node.address}:{NODE_PORT}"
            if post is not None:
                post.write_text(json.dumps(config, indent=1))
                tell(f"a node's file: {post}")
            up = f"{len(run.addresses)} cache servers, the origin and discovery are up"
            tell(f"{up}; a node: {config['listen']}")
            schedule_faults(run, run.network.now)

        try:
            run.build()
            look()
            reactor.run()
            if run.failed:
                raise ValueError(run.failed[0])
        finally:
            run.end()
