"""An experiment on loopback in real time: each node, fake server and relay is a process.

Each node has its own loopback subnet (127.10.x.x, 127.11.x.x, ...), in which relays take the
place of everything it talks to: servers, the origin, discovery, its clients, the other nodes. So
the testbed controls every link, and the node's program is unchanged. Subnets are reserved in
blocks, so that several runs can take place at the same time. This process holds the clients and
schedules the faults, and merges the histories of all processes. A run whose test environment fell
behind is void. Sources: signal(7).
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
from hookpitch.fakes.history import RESTORED, RESTORING
from hookpitch.fakes.load_clients import LoadClients
from hookpitch.testbed.base_run import RunResult
from hookpitch.testbed.child import ControlConnection, LoopMonitor, recorded_events
from hookpitch.testbed.experiment_schema import PROCESS_FAULTS, VIRTUAL_ONLY, Experiment
from hookpitch.testbed.faults import LOAD_START_DELAY_S, schedule_faults
from hookpitch.testbed.judge import Judge
from hookpitch.testbed.links import Impairment, ImpairmentRegistry
from hookpitch.testbed.processes import DISCOVERY_PORT, NODE_PORT, Child, NodeProcess, ProcessHost
from hookpitch.testbed.rules import Rules, Violation

CACHE_PORT = 26379
ORIGIN_PORT = 28080
# The second numbers of the loopback addresses in a run whose first block is block 0: of the first
# node's subnet, and of the fake servers' subnet.
FIRST_NODE_SUBNET = 10
FIRST_FAKES_SUBNET = 200
BLOCK_COUNT = 8
SUBNETS_PER_BLOCK = 13
MAX_NODES = BLOCK_COUNT * SUBNETS_PER_BLOCK
NODES_PER_RELAY = 16
CACHES_PER_PROCESS = 8  # of the caches that need no separate process
# Faults that stop or kill the process of a server, which then must not be shared.
SERVER_PROCESS_FAULTS = ("crash", "drain", "suspend")
SHUTDOWN_TIMEOUT_S = 3.0  # for a node to exit, in addition to its longest deadline
START_TIMEOUT_S = 60.0  # for all processes to be ready
MAX_LATENESS_MS = 150.0  # a run with a process of the test environment later than this is void
OVERLAP_MS = 5.0  # how far a relay's and a server's records of the same moment may differ
# If a connection ends this soon after an RPC was sent on it, the two may have crossed on the way.
CROSSING_MS = 20.0
ADMIN_TIMEOUT_S = 1.0


class _WallClock:
    """The clock of a run in real time.

    It has the part of a `SimulatedNetwork` that runs and faults use: the time, scheduled calls and
    the list of program errors.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.started_at = reactor.seconds()
        self.epoch = time.time()
        self.program_errors = list[str]()

    @property
    def now(self) -> float:
        return self.reactor.seconds() - self.started_at

    def call_at(
        self, time: float, machine: object, func: Callable[..., object], *args: object
    ) -> None:
        self.reactor.callLater(max(0.0, time - self.now), func, *args)


class _AdminRequest(Protocol):
    """One command to a node's admin endpoint."""

    def __init__(self, command: str, on_answer: Callable[[bool], None]) -> None:
        self.command = command
        self.on_answer = on_answer
        self.answer = b""
        self.is_finished = False

    def connectionMade(self) -> None:
        self.transport.write(self.command.encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        self.answer += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.on_answer(self.answer.startswith(b"YES"))


class _AdminRequestFactory(ClientFactory):
    """Connects to a node's admin endpoint for one command."""

    noisy = False

    def __init__(self, command: str, on_answer: Callable[[bool], None]) -> None:
        self.command = command
        self.on_answer = on_answer

    def buildProtocol(self, addr: object) -> _AdminRequest:
        return _AdminRequest(self.command, self.on_answer)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.on_answer(False)


class _ControlServer(Factory):
    """Accepts the control connections of the child processes."""

    noisy = False

    def __init__(self, run: ProcessRun) -> None:
        self.run = run

    def buildProtocol(self, addr: object) -> ControlConnection:
        sender: list[Child] = []  # the child, once it has sent its name

        def on_message(kind: str, *args: Any) -> None:
            if kind == "hello":
                sender.append(self.run.children[args[0]])
            elif kind == "ready":
                sender[0].set_ready(control)
            else:
                self.run.message_received(sender[0], kind, *args)

        control = ControlConnection(
            on_message, lambda: self.run.control_lost(sender[0], control) if sender else None
        )
        return control


class ProcessRun(ProcessHost):
    """A run on real processes, on loopback."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        reactor: Any,
        folder: Path,
        progress: Callable[[str], None] | None = None,
    ) -> None:
        """Prepare a run; `progress` is called once per second with a line on its progress."""
        for index, fault in enumerate(experiment.fault):
            if fault.what in VIRTUAL_ONLY:
                reason = f"'{fault.what}' is for virtual time alone: {VIRTUAL_ONLY[fault.what]}"
                raise ValueError(f"{experiment.name}: fault[{index}].what: {reason}")
        if experiment.nodes.count > MAX_NODES:
            raise ValueError(
                f"{experiment.name}: nodes.count: {experiment.nodes.count} exceeds the maximum "
                f"of {MAX_NODES} on loopback"
            )
        self.reactor = reactor
        self.folder = folder
        self.progress = progress
        super().__init__(experiment, seed, _WallClock(reactor))
        self.started_at = self.network.started_at
        self.control_path = str(folder / "control")
        self.subnets: dict[str, str] = {}  # by node
        self.fakes_subnet = ""
        self.nodes: dict[str, NodeProcess] = {}
        self.children: dict[str, Child] = {}
        self.server_processes: dict[str, Child] = {}  # by fake server: the process it runs in
        self.relays: dict[str, Child] = {}  # by node
        self.void_reasons: list[str] = []
        self.failures: list[str] = []  # why the run could not be completed
        self.offset = 0.0  # when the experiment began on the run's clock, in seconds
        self.is_finished = False
        self.is_closing = False
        self._locks: list[Any] = []
        self._impairments = ImpairmentRegistry()
        self._isolated_servers = self._find_isolated_servers()
        # Pauses of testbed processes that faults asked for: process, begin and end in ms.
        self._excused_pauses: list[tuple[str, float, float]] = []

    # ---- building

    def _find_isolated_servers(self) -> set[str]:
        """Return the servers that a fault stops or kills: each gets its own process."""
        found = {
            fault.whom for fault in self.experiment.fault if fault.what in SERVER_PROCESS_FAULTS
        }
        if "all" in found:
            found |= {f"s{index}" for index in range(self.experiment.fleet.caches)}
        for index, process_fault in enumerate(self.experiment.fault):
            if process_fault.what in PROCESS_FAULTS:
                found |= set(self.experiment.group(index, self.seed))
        return found

    def build(self) -> None:
        """Start all processes except the nodes; raise ValueError if the subnets are in use."""
        experiment = self.experiment
        first_block = self._reserve_blocks()
        self.subnets = {
            f"n{index}": f"127.{FIRST_NODE_SUBNET + first_block * SUBNETS_PER_BLOCK + index}"
            for index in range(experiment.nodes.count)
        }
        self.node_names = {subnet: name for name, subnet in self.subnets.items()}
        self.fakes_subnet = f"127.{FIRST_FAKES_SUBNET + first_block}"
        self.reactor.listenUNIX(self.control_path, _ControlServer(self))
        self.directory.put(FakeEndpoint("o1", f"{{net}}.2.2:{ORIGIN_PORT}", "origin"))
        for index in range(experiment.fleet.caches):
            self._assign_address(f"s{index}")
            self.list_server(f"s{index}", cold=False)
        names = list(self.addresses)
        shared = [name for name in names if name not in self._isolated_servers]
        for first in range(0, len(shared), CACHES_PER_PROCESS):
            self._add_cache_process(
                f"caches{first // CACHES_PER_PROCESS}",
                shared[first : first + CACHES_PER_PROCESS],
                cold=False,
            )
        for name in names:
            if name in self._isolated_servers:
                self._add_cache_process(name, [name], cold=False)
        self._add_child("origin", "standins", self._origin_options)
        self._add_child("discovery", "standins", self._discovery_options)
        for name, subnet in self.subnets.items():
            self.nodes[name] = NodeProcess(self, name, subnet)
        for first in range(0, experiment.nodes.count, NODES_PER_RELAY):
            nodes = [
                f"n{node_index}"
                for node_index in range(first, min(experiment.nodes.count, first + NODES_PER_RELAY))
            ]
            number = first // NODES_PER_RELAY
            child = self._add_child(
                f"relay{number}", "relay", lambda nodes=nodes: self._relay_options(nodes)
            )
            self.relays |= dict.fromkeys(nodes, child)
        for child in self.children.values():
            child.start()
        self.load_clients: LoadClients = self.create_load_clients(self.reactor, self.started_at)
        LoopMonitor(self.reactor, self.history, "clients", self.started_at)

    def _reserve_blocks(self) -> int:
        """Lock as many adjacent blocks of subnets as the nodes need; return the first one.

        The locks are held until the end of the run.
        """
        needed = -(-self.experiment.nodes.count // SUBNETS_PER_BLOCK)
        for block in range(BLOCK_COUNT):
            lock = (Path(tempfile.gettempdir()) / f"hookpitch-lab-{block}.lock").open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                while self._locks:
                    self._locks.pop().close()
                continue
            self._locks.append(lock)
            if len(self._locks) == needed:
                return block + 1 - needed
        while self._locks:
            self._locks.pop().close()
        raise ValueError(
            f"other runs hold the loopback subnets: {needed} adjacent blocks of {BLOCK_COUNT} are "
            "needed"
        )

    def _add_child(
        self, name: str, module: str, create_options: Callable[[], dict[str, Any]]
    ) -> Child:
        child = self.children[name] = Child(
            self, name, f"hookpitch.testbed.{module}", create_options
        )
        if module == "standins" and name in ("origin", "discovery"):
            self.server_processes[name] = child
        return child

    def _assign_address(self, name: str) -> None:
        """Assign a cache server the last two numbers of its address, the same in all subnets."""
        index = len(self.addresses)
        self.addresses.setdefault(name, f"{100 + index // 250}.{1 + index % 250}")

    def _listen_host(self, name: str) -> str:
        """Return the address on which a cache server itself listens."""
        index = list(self.addresses).index(name)
        return f"{self.fakes_subnet}.{4 + index // 250}.{1 + index % 250}"

    def _fakes_options(self, roles: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the options of a process with fake servers."""
        traffic = self.experiment.traffic
        return {
            "nets": self.node_names,
            "roles": roles,
            "large": traffic.large,
            "large_size": int(traffic.large_kb * 1024),
        }

    def _add_cache_process(self, name: str, servers: list[str], cold: bool) -> Child:
        """Add a process for some cache servers; after a restart they are always cold."""

        def create_options() -> dict[str, Any]:
            is_cold = cold or child.starts > 1
            roles = []
            for server in servers:
                spec = msgspec.to_builtins(self.cache_spec(list(self.addresses).index(server)))
                warm_keys = (
                    self.experiment.traffic.keys
                    if self.experiment.fleet.warm and not is_cold
                    else 0
                )
                roles.append(
                    {
                        "kind": "cache",
                        "name": server,
                        "make": spec,
                        "address": self._listen_host(server),
                        "port": CACHE_PORT,
                        "cold": is_cold,
                        "warm": warm_keys,
                    }
                )
            return self._fakes_options(roles)

        child = self._add_child(name, "standins", create_options)
        self.server_processes |= dict.fromkeys(servers, child)
        return child

    def _origin_options(self) -> dict[str, Any]:
        spec = msgspec.to_builtins(self.origin_spec())
        names = list(self.addresses)
        host = f"{self.fakes_subnet}.3.2"
        role = {
            "kind": "origin",
            "make": spec,
            "address": host,
            "port": ORIGIN_PORT,
            "caches": names,
        }
        return self._fakes_options([role])

    def _discovery_options(self) -> dict[str, Any]:
        seq, endpoints = self.directory.snapshot()
        fields = [list(msgspec.to_builtins(endpoint).values()) for endpoint in endpoints]
        is_restart = self.children["discovery"].starts > 1
        role = {
            "kind": "discovery",
            "address": f"{self.fakes_subnet}.3.1",
            "port": DISCOVERY_PORT,
            "hosts": fields,
            "seq": 1 if is_restart else seq,
            "lag_ms": self.directory.lag_ms,
            "calls_per_s": self.experiment.discovery.calls_per_s,
        }
        return self._fakes_options([role])

    def _relay_options(self, nodes: list[str]) -> dict[str, Any]:
        """Return the links of some nodes.

        A TCP link is a list: client, server, the address on which the relay listens, the server's
        address, and the host from which the relay connects to the server. A UDP link is a list:
        both nodes, the address at which each reaches the other, and the own addresses, that of the
        second node first.

        A node connects only to addresses in its own subnet. Servers see its connections come from
        that subnet; a peer sees them come from the address at which the peer reaches the node.
        """
        tcp: list[list[Any]] = []
        udp: list[list[Any]] = []
        for name in nodes:
            subnet = self.subnets[name]
            peer_port = self.experiment.nodes.peer_port
            source_host = f"{subnet}.9.9"
            tcp.append(
                [
                    "clients",
                    name,
                    [f"{subnet}.3.1", NODE_PORT],
                    [f"{subnet}.0.1", NODE_PORT],
                    f"{subnet}.3.2",
                ]
            )
            for host_number, target, port in (
                (2, "origin", ORIGIN_PORT),
                (1, "discovery", DISCOVERY_PORT),
            ):
                target_address = [f"{self.fakes_subnet}.3.{host_number}", port]
                tcp.append(
                    [name, target, [f"{subnet}.2.{host_number}", port], target_address, source_host]
                )
            for server in self.addresses:
                tcp.append(self._server_link(name, server))
            for peer in self.subnets if peer_port else ():
                if peer == name:
                    continue
                own_address = [f"{subnet}.0.1", peer_port]
                address_of_peer = [f"{self.subnets[peer]}.0.1", peer_port]
                peer_for_node = self.peer_address(name, peer)
                node_for_peer = self.peer_address(peer, name)
                tcp.append([name, peer, list(peer_for_node), address_of_peer, node_for_peer[0]])
                if int(name[1:]) < int(peer[1:]):
                    udp.append(
                        [
                            name,
                            peer,
                            list(peer_for_node),
                            list(node_for_peer),
                            address_of_peer,
                            own_address,
                        ]
                    )
        return {"nodes": nodes, "tcp": tcp, "udp": udp}

    def _server_link(self, node: str, server: str) -> list[Any]:
        """Return the TCP link from a node to a cache server."""
        subnet = self.subnets[node]
        listen_address = [f"{subnet}.{self.addresses[server]}", CACHE_PORT]
        return [
            node,
            server,
            listen_address,
            [self._listen_host(server), CACHE_PORT],
            f"{subnet}.9.9",
        ]

    def peer_address(self, node: str, peer: str) -> tuple[str, int]:
        """Return the address at which a node reaches another, by TCP and by UDP."""
        return f"{self.subnets[node]}.200.{1 + int(peer[1:])}", self.experiment.nodes.peer_port

    def server_addresses(self, subnet: str) -> list[str]:
        """Return the addresses at which a node reaches the origin and each present cache server."""
        return [
            f"{subnet}.2.2:{ORIGIN_PORT}",
            *(f"{subnet}.{host}:{CACHE_PORT}" for host in self.addresses.values()),
        ]

    def listed_address(self, name: str) -> str:
        """Return a server's address in the endpoint list; each node's subnet replaces `{net}`."""
        return f"{{net}}.{self.addresses[name]}:{CACHE_PORT}"

    def address_for_clients(self, node: NodeProcess) -> tuple[str, int]:
        """Return the relay's address for a node's clients."""
        return f"{node.subnet}.3.1", NODE_PORT

    def add_server(self, name: str, cold: bool) -> None:
        """Start a process for a new server, with links to all nodes."""
        self._assign_address(name)
        child = self._add_cache_process(name, [name], cold)
        for node, relay in self.relays.items():
            relay.send_command("tcp", *self._server_link(node, name))
        child.on_ready.append(lambda: self.list_server(name, cold))
        child.start()

    # ---- called by faults

    def send_command(self, name: str, command: str, *args: Any) -> None:
        """Send a command to the process of a fake server."""
        if name == "discovery":
            self._update_directory(command, *args)
        child = self.server_processes.get(name)
        if child is not None:
            child.send_command(name, command, *args)

    def _update_directory(self, command: str, *args: Any) -> None:
        """Apply a command for discovery to this process's directory as well.

        The configuration of nodes that start is written from it.
        """
        if command == "put":
            self.directory.put(FakeEndpoint(*args))
        elif command == "health" and args[0] in self.directory.endpoints:
            self.directory.set_health(*args)
        elif command == "lag":
            self.directory.lag_ms = args[0]
        elif command == "up" and args[0]:
            self.directory.restart()

    def kill(self, name: str) -> bool:
        """Kill the process of a fake server; return False if none runs."""
        child = self.server_processes[name]
        if child.process is None or not child.is_ready:
            return False
        self.refuse_connections(name, True)
        child.kill()
        self.history.add(self.now(), "down", name)
        return True

    def start_server(self, name: str) -> None:
        """Start the process of a fake server, unless it runs."""
        child = self.server_processes[name]
        if child.is_ready:
            return
        if name == "discovery":
            self.directory.restart()
        if name in self.addresses:
            child.on_ready.append(lambda: self.list_server(name, cold=True))
        child.on_ready.append(lambda: self.refuse_connections(name, False))
        child.start()

    def refuse_connections(self, name: str, is_refusing: bool) -> None:
        """Set whether the links to a process refuse connections, as its kernel would."""
        if name in self.nodes:
            peers = self.nodes if self.experiment.nodes.peer_port else ()
            directions = [("clients", name), *((peer, name) for peer in peers if peer != name)]
        else:
            directions = [(node, name) for node in self.nodes]
        self.impair(directions, "down", Impairment(refusing=True) if is_refusing else None)

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process; the lateness of a paused testbed process is excused."""
        if name in self.nodes:
            self.nodes[name].pause(seconds)
            return
        child = self.server_processes[name]
        process = child.process
        if process is None or not child.is_ready:
            return
        self._excused_pauses.append(
            (child.name, self.now(), self.now() + seconds * 1000 + MAX_LATENESS_MS)
        )
        process.pause()
        self.network.call_at(self.network.now + seconds, None, process.resume)

    def set_detached(self, name: str, is_detached: bool) -> None:
        """Silence all links of a server, or restore them and reset its connections."""
        directions = [
            direction for node in self.nodes for direction in ((node, name), (name, node))
        ]
        self.impair(
            directions, "vanished", Impairment(silent=True, kept=False) if is_detached else None
        )
        if not is_detached:
            self.sever(directions)

    def impair(
        self,
        directions: Iterable[tuple[str, str]],
        owner: object,
        impairment: Impairment | None,
    ) -> None:
        """Have the relays set the owner's impairment of directions; None removes it."""
        for source, destination in directions:
            state = (
                self._impairments.remove((source, destination), owner)
                if impairment is None
                else self._impairments.put((source, destination), owner, impairment)
            )
            for relay in dict.fromkeys(
                self.relays[name] for name in (source, destination) if name in self.relays
            ):
                relay.send_command("impair", source, destination, msgspec.to_builtins(state))

    def sever(self, directions: Iterable[tuple[str, str]]) -> None:
        """Have the relays reset all connections of directions."""
        for source, destination in directions:
            for relay in dict.fromkeys(
                self.relays[name] for name in (source, destination) if name in self.relays
            ):
                relay.send_command("sever", source, destination)

    def send_admin_command(
        self, address: tuple[str, int], command: str, on_answer: Callable[[bool], None]
    ) -> None:
        """Send an admin command; `on_answer` is called with whether the answer is YES."""
        self.reactor.connectTCP(
            *address, _AdminRequestFactory(command, on_answer), timeout=ADMIN_TIMEOUT_S
        )

    def run_admin_command(
        self, node: str, command: str, event_kind: str = "", server: str = ""
    ) -> None:
        """Send an operator's command to a node and record its answer."""
        if event_kind == RESTORED:
            self.history.add(self.now(), RESTORING, node, what=server)
        self.send_admin_command(
            self.nodes[node].admin_address(),
            command,
            lambda is_yes: self.record_admin_answer(node, command, is_yes, event_kind, server),
        )

    def accept_when_serving(self, node: NodeProcess) -> None:
        """Stop refusing connections to a node once its new process serves."""
        if node.node is None:
            return
        if sum(line.get("event") == "serving" for line in node.log_lines()) >= node.starts:
            self.refuse_connections(node.name, False)
        else:
            self.reactor.callLater(0.05, self.accept_when_serving, node)

    # ---- messages of child processes

    def message_received(self, child: Child, kind: str, *args: Any) -> None:
        """Handle a message of a child process.

        `miss` is for the origin: an RPC missed in a cache server. `order` is for the fake server
        that it names. `failed` ends the run.
        """
        if kind == "miss":
            self.server_processes["origin"].send_command("origin", "miss", *args)
        elif kind == "order":
            name, *command = args
            if name in self.server_processes:
                self.server_processes[name].send_command(name, *command)
        elif kind == "failed":
            self._finish(f"{child.name}: {args[0]}")

    def control_lost(self, child: Child, control: ControlConnection) -> None:
        """Handle the end of a control connection: the run is void if the child died by itself."""
        end_requested = self.is_closing or child.process is None or child.process.end_requested
        if child.control is control and child.is_ready and not end_requested:
            child.is_ready = False
            self.void_reasons.append(f"{child.name} died at {self.network.now - self.offset:.1f} s")
            self._finish("")

    def _finish(self, failure: str) -> None:
        """End the run; `failure` says why it could not be completed, or is empty."""
        self.is_finished = True
        if failure:
            self.failures.append(failure)
        if self.reactor.running:
            self.reactor.stop()

    # ---- running

    def rules(self) -> Rules:
        """Return the judge's rules, with bounds that allow for the lateness of the testbed."""
        rules = super().rules()
        # The worst lateness counts twice: an RPC passes its relay on the way there and back.
        allowance = 2 * max(self.worst_lateness().values(), default=0.0)
        return replace(
            rules,
            overlap_ms=OVERLAP_MS + allowance,
            crossing_ms=CROSSING_MS + allowance,
            tolerance_ms=rules.tolerance_ms + allowance,
        )

    def worst_lateness(self) -> dict[str, float]:
        """Return by testbed process how late it was at worst, in ms, without excused pauses."""
        worst: dict[str, float] = dict.fromkeys([*self.children, "clients"], 0.0)
        # After this time the nodes shut down, and no RPC is sent.
        end = (self.experiment.seconds + self.settling_time_s()) * 1000
        for event in self.history.events:
            if event.kind != "rig" or not 0 <= event.at <= end:
                continue
            if any(
                process == event.who and pause_begin <= event.at <= pause_end + event.value
                for process, pause_begin, pause_end in self._excused_pauses
            ):
                continue
            worst[event.who] = max(worst.get(event.who, 0.0), event.value)
        return worst

    def run(self) -> RunResult:
        """Run the whole experiment and judge it; raise ValueError if it could not be run."""
        started_at = time.perf_counter()
        try:
            self.build()
            self._wait_for_children(self.network.now + START_TIMEOUT_S)
            # When the run is interrupted, its own shutdown closes the control connections: this is
            # not taken for the death of a child.
            self.reactor.addSystemEventTrigger(
                "before", "shutdown", setattr, self, "is_closing", True
            )
            self.reactor.run()
            if self.failures or not self.is_finished:
                raise ValueError(
                    self.failures[0] if self.failures else f"{self.experiment.name}: interrupted"
                )
            return self._result(started_at)
        finally:
            self.clean_up()

    def clean_up(self) -> None:
        """Kill every process that was started and release the subnets."""
        for node in self.nodes.values():
            node.clean_up()
        for child in self.children.values():
            child.kill()
        for lock in self._locks:
            lock.close()

    def _wait_for_children(self, until: float) -> None:
        """Start the nodes once all child processes are ready."""
        if not all(child.is_ready for child in self.children.values()):
            self._retry(
                until,
                self._wait_for_children,
                "relays and fake servers were not ready in time",
            )
            return
        for node in self.nodes.values():
            node.start()
        self._wait_for_nodes(until)

    def _wait_for_nodes(self, until: float) -> None:
        """Start the experiment once all nodes serve; what they did before does not count."""
        for node in self.nodes.values():
            if not any(line.get("event") == "serving" for line in node.log_lines()):
                if node.process is None or not node.process.is_running:
                    self._finish(f"{node.name} did not start: its process ended")
                else:
                    self._retry(
                        until,
                        self._wait_for_nodes,
                        f"{node.name} did not start in time",
                    )
                return
        self._start_experiment()

    def _retry(self, until: float, wait: Callable[[float], None], failure: str) -> None:
        """Call `wait` again in a moment, or end the run after the time `until`."""
        if self.network.now > until:
            self._finish(failure)
        else:
            self.reactor.callLater(0.05, wait, until)

    def _start_experiment(self) -> None:
        experiment = self.experiment
        now = self.network.now
        self.offset = now
        self.network.call_at(now + LOAD_START_DELAY_S, None, self.load_clients.start)
        schedule_faults(self, now)
        self.network.call_at(now + experiment.seconds, None, self.load_clients.stop)
        self.network.call_at(
            now + experiment.seconds + self.settling_time_s(), None, self._shut_down_nodes
        )
        if self.progress is not None:
            self._report_progress()

    def _report_progress(self) -> None:
        now = self.network.now - self.offset
        self.progress(
            f"{now:5.1f} s of {self.experiment.seconds + self.settling_time_s():g}, "
            f"{self.load_clients.rpc_count} RPCs"
        )
        self.reactor.callLater(1.0, self._report_progress)

    def _shut_down_nodes(self) -> None:
        """Send SIGTERM to all nodes, which log their counters when they exit."""
        for node in self.nodes.values():
            for process in (node.process, node.previous_process):
                if process is not None and process.pause_count:
                    process.pause_count = 1
                    process.resume()
            if node.node is not None:
                if not node.process.is_running and not node.process.end_requested:
                    self.network.program_errors.append(f"{node.name} ended by itself")
                node.terminate()
        self._wait_for_shutdown(self.network.now + self.settling_time_s() + SHUTDOWN_TIMEOUT_S)

    def _wait_for_shutdown(self, until: float) -> None:
        """End the run once all nodes have exited, or after the time `until`."""
        if self.network.now > until or not any(
            node.process.is_running for node in self.nodes.values() if node.process
        ):
            self._finish("")
        else:
            self.reactor.callLater(0.05, self._wait_for_shutdown, until)

    def _result(self, started_at: float) -> RunResult:
        """Merge the histories of all processes and judge the run."""
        offset_ms = self.offset * 1000
        for name in self.children:
            self.history.events += recorded_events(self.folder / f"{name}.history")
        events = [event._replace(at=event.at - offset_ms) for event in self.history.events]
        self._excused_pauses = [
            (process, pause_begin - offset_ms, pause_end - offset_ms)
            for process, pause_begin, pause_end in self._excused_pauses
        ]
        self.history.events[:] = _with_drops_at_deaths(sorted(events, key=lambda event: event.at))
        for node in self.nodes.values():
            self._read_log(node)
        lateness = self.worst_lateness()
        for name, late_ms in sorted(lateness.items()):
            if late_ms > MAX_LATENESS_MS:
                self.void_reasons.append(
                    f"{name} was {late_ms:.0f} ms late, over {MAX_LATENESS_MS:g}"
                )
        end = self.now() - offset_ms
        judge = Judge(self.rules())
        broken: list[Violation] = judge.judge(self.history, end)
        # The counters of a killed process were lost with it.
        killed = {event.who for event in self.history.events if event.kind == "stop"}
        comparable = {name: counts for name, counts in self.counters.items() if name not in killed}
        broken += judge.check_counters(self.history, comparable)
        real_s = time.perf_counter() - started_at
        return self.create_result(
            broken,
            len(self.history.events),
            real_s,
            void_reasons=self.void_reasons,
            lateness_ms=lateness,
        )

    def _read_log(self, node: NodeProcess) -> None:
        """Collect the events, the counters and the errors in a node's log."""
        common_fields = ("event", "node", "level", "timestamp")
        for line in node.log_lines():
            event = line.get("event", "")
            timestamp = datetime.fromisoformat(
                line.get("timestamp", "1970-01-01T00:00:00+00:00")
            ).timestamp()
            at = 1000 * (timestamp - self.network.epoch - self.offset)
            self.logs.append(
                (at, node.name, f"{event}: {line['what']}" if "what" in line else event)
            )
            if event == "shutdown_complete":
                counters = self.counters.setdefault(node.name, {})
                for name, count in line.items():
                    if name not in common_fields:
                        counters[name] = counters.get(name, 0) + count
            elif event == "fault":
                self.network.program_errors.append(f"{node.name}: {line.get('text', '')[-300:]}")


def _with_drops_at_deaths(events: list[Any]) -> list[Any]:
    """Add a `dropped` event for each RPC that a server was working on when it was killed."""
    open_rpcs: dict[str, dict[str, int]] = {}  # by server: how often it works on each RPC
    result: list[Any] = []
    for event in events:
        if event.kind == "came":
            counts = open_rpcs.setdefault(event.who, {})
            counts[event.rpc] = counts.get(event.rpc, 0) + 1
        elif event.kind in ("sent", "dropped"):
            counts = open_rpcs.setdefault(event.who, {})
            counts[event.rpc] = counts.get(event.rpc, 0) - 1
        result.append(event)
        if event.kind == "down":
            for rpc, count in open_rpcs.pop(event.who, {}).items():
                result += [event._replace(kind="dropped", rpc=rpc)] * max(0, count)
    return result


def run_on_loopback(
    experiment: Experiment,
    seed: int,
    logs: Path | None = None,
    progress: Callable[[str], None] | None = None,
) -> RunResult:
    """Run an experiment in this process, whose reactor can run only once.

    `logs`: a folder that receives the logs, histories and configurations of all processes.
    """
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory(prefix="hookpitch-lab-") as folder:
        run = ProcessRun(experiment, seed, reactor, Path(folder), progress)
        try:
            return run.run()
        finally:
            if logs is not None:
                logs.mkdir(parents=True, exist_ok=True)
                for path in Path(folder).iterdir():
                    if path.suffix in (".log", ".history", ".json"):
                        (logs / path.name).write_bytes(path.read_bytes())


def serve_fleet(
    experiment: Experiment, node_file: Path | None, report: Callable[[str], None]
) -> None:
    """Run the fake servers and the faults of an experiment on loopback until the process is ended.

    `node_file`: where to write the configuration of a node that can use them.
    """
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory(prefix="hookpitch-lab-") as folder:
        run = ProcessRun(experiment, experiment.seed, reactor, Path(folder))

        def report_when_ready() -> None:
            if not all(child.is_ready for child in run.children.values()):
                reactor.callLater(0.05, report_when_ready)
                return
            node = run.nodes["n0"]
            config = run.node_config(node, f"{node.subnet}.2.1:{DISCOVERY_PORT}", node.subnet)
            config["listen"] = f"{node.address}:{NODE_PORT}"
            if node_file is not None:
                node_file.write_text(json.dumps(config, indent=1))
                report(f"node configuration file: {node_file}")
            summary = f"{len(run.addresses)} cache servers, the origin and discovery are ready"
            report(f"{summary}; a node is to listen on {config['listen']}")
            schedule_faults(run, run.network.now)

        try:
            run.build()
            report_when_ready()
            reactor.run()
            if run.failures:
                raise ValueError(run.failures[0])
        finally:
            run.clean_up()
