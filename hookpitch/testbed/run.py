"""Runs an experiment in virtual time: simulated servers and real nodes on a simulated network.

The nodes are `SocketNode` as it is; their reactor, clock and CPU time come from the simulated
network. The judge uses nothing that a node says of itself; a node's counters are reported apart.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Iterable
from typing import Any

from hookpitch.fakes.cache_server import CacheServer
from hookpitch.fakes.control_commands import execute_command
from hookpitch.fakes.discovery import FakeEndpoint
from hookpitch.fakes.discovery_server import DiscoveryServer
from hookpitch.fakes.origin import Origin
from hookpitch.fakes.origin_server import OriginServer
from hookpitch.testbed.base_run import CACHE_PORT, NODE_PORT, RunResult
from hookpitch.testbed.experiment_schema import Experiment
from hookpitch.testbed.faults import LOAD_START_DELAY_S, schedule_faults
from hookpitch.testbed.judge import Judge
from hookpitch.testbed.links import Impairment
from hookpitch.testbed.nodes import DISCOVERY_PORT, Node, NodeHost
from hookpitch.testbed.simulated_tcp import Endpoint
from hookpitch.testbed.simulation import SimulatedNetwork

ORIGIN_PORT = 8080


class Run(NodeHost):
    """A run in virtual time."""

    def __init__(self, x: Experiment, seed: int) -> None:
        super().__init__(x, seed, SimulatedNetwork(seed))
        self.origin = Origin(self.origin_spec(), 0.0, self.rng)
        self.servers: dict[str, CacheServer] = {}
        self.nodes: dict[str, Node] = {}
        self._build()

    def _closed(self, end: Endpoint) -> None:
        """What the network sees of a node's connections."""
        name = self.node_names.get(end.machine.address)
        if name is None:
            return
        if end.port != NODE_PORT:
            self.history.add(self.now(), "closed", name, port=end.port)
        elif end.receive_buffer:
            self.history.add(self.now(), "unread", name, port=end.peer_port)

    def _unheard(self, end: Endpoint) -> None:
        name = self.node_names.get(end.machine.address)
        if name is not None and end.port == NODE_PORT:
            self.history.add(self.now(), "unread", name, port=end.peer_port)

    # ---- building

    def _build(self) -> None:
        x = self.experiment
        network = self.network
        # What the processes of one node share outside of the network: a descriptor's number and a
        # folder.
        self.descriptor = os.open(os.devnull, os.O_RDONLY)
        self.folder = tempfile.TemporaryDirectory(prefix="hookpitch-lab-")
        network.on_endpoint_closed = self._closed
        network.on_data_after_close = self._unheard
        network.default_link.delay = x.net.delay_ms / 1000
        network.default_link.jitter = x.net.jitter_ms / 1000
        web = network.machine("10.2.0.2").reactor
        self.origin_server = OriginServer(
            self.origin, web, self.history, self.rng, self._whose, 0.0
        )
        self.origin_server.size_of = self.size_of
        there = network.machine("10.2.0.1").reactor
        self.discovery = DiscoveryServer(self.directory, there, self.history, self._whose, 0.0)
        self.discovery.calls_per_s = x.discovery.calls_per_s
        self._listen()
        for n in range(x.fleet.caches):
            self.add_server(f"s{n}", cold=False)
        self.directory.put(FakeEndpoint("o1", f"10.2.0.2:{ORIGIN_PORT}", "origin"))
        if x.fleet.warm:  # nodes find their keys wherever the ring puts them
            for name in self.servers:
                self.send_command(name, "warm", x.traffic.keys)
        for n in range(x.nodes.count):
            address = f"10.0.{n >> 8}.{1 + (n & 255)}"
            self.node_names[address] = f"n{n}"
            self.nodes[f"n{n}"] = Node(self, f"n{n}", address)
        for (
            node
        ) in self.nodes.values():  # clients sit beside the nodes: a far network is not between them
            network.connect("10.3.0.1", node.address, x.net.delay_ms / 1000, x.net.jitter_ms / 1000)
        self.load_clients = self.create_load_clients(network.machine("10.3.0.1").reactor, 0.0)

    def _listen(self, which: str = "") -> None:
        """The origin and discovery, or the one that has just started."""
        for name, server, address, port in (
            ("origin", self.origin_server, "10.2.0.2", ORIGIN_PORT),
            ("discovery", self.discovery, "10.2.0.1", DISCOVERY_PORT),
        ):
            if which in ("", name):
                server.reactor = self.network.machine(address).start()
                server.reactor.listenTCP(port, server, interface=address, backlog=4096)

    def address(self, name: str) -> str:
        """The address of anything that has a name."""
        fixed = {"origin": "10.2.0.2", "discovery": "10.2.0.1", "clients": "10.3.0.1"}
        return fixed.get(name) or self.addresses.get(name) or self.nodes[name].address

    def add_server(self, name: str, cold: bool) -> None:
        """Start a cache server and list it."""
        n = len(self.addresses)
        address = self.addresses.setdefault(name, f"10.1.{n >> 8}.{1 + (n & 255)}")
        make = self.cache_spec(n)
        reactor = self.network.machine(address).reactor
        server = CacheServer(
            name, make, reactor, self.history, self.origin, self.rng, self._whose, 0.0
        )
        server.size_of = self.size_of
        self.servers[name] = server
        server.start_process([address], CACHE_PORT, cold)
        self.list_server(name, cold)

    def _whose(self, transport: Any) -> str:
        """The node at the other end."""
        address = transport.getPeer().host
        return self.node_names.get(address, address)

    # ---- what faults ask for

    def send_command(self, name: str, command: str, *args: Any) -> None:
        """Carry out an order at once."""
        fixed = {"origin": self.origin_server, "discovery": self.discovery}
        execute_command(fixed.get(name) or self.servers[name], command, *args)

    def kill(self, name: str) -> bool:
        """Kill the machine's process; False where none runs."""
        machine = self.network.machine(self.address(name))
        if not machine.running:
            return False
        if name == "origin":
            self.origin_server.stop_process()
        elif name == "discovery":
            self.discovery.stop_serving()
        else:
            self.servers[name].stop_process()
        machine.kill()
        return True

    def start_server(self, name: str) -> None:
        """Start a process on the machine."""
        machine = self.network.machine(self.address(name))
        if machine.running:
            return
        if name in self.servers:
            server = self.servers[name]
            server.reactor = machine.start()
            server.start_process([machine.address], CACHE_PORT, cold=True)
            self.list_server(name, cold=True)
            return
        self._listen(name)
        if name == "discovery":
            self.discovery.restart_process()

    def pause(self, name: str, seconds: float) -> None:
        """Stop the machine's process for so long."""
        if name in self.nodes:
            self.nodes[name].machine.pause(seconds)
        else:
            self.network.machine(self.address(name)).pause(seconds)

    def set_detached(self, name: str, is_detached: bool) -> None:
        """Take the machine off the network, or bring it back."""
        machine = self.network.machine(self.address(name))
        if is_detached:
            machine.detach()
        else:
            machine.reattach()

    def impair(
        self, directions: Iterable[tuple[str, str]], owner: object, impairment: Impairment | None
    ) -> None:
        """Impair directions between machines."""
        for source, destination in directions:
            self.network.impair(self.address(source), self.address(destination), owner, impairment)

    def sever(self, directions: Iterable[tuple[str, str]]) -> None:
        """Reset all connections between machines."""
        for source, destination in directions:
            if "clients" in (source, destination):
                node = source if destination == "clients" else destination
                for end in [
                    e for m in self.network.machines_at(self.address(node)) for e in m.endpoints
                ]:
                    if end.peer_address == self.address("clients"):
                        self.history.add(self.now(), "unread", node, port=end.peer_port)
            self.network.sever(self.address(source), self.address(destination))

    def run_admin_command(
        self, node: str, command: str, event_kind: str = "", server: str = ""
    ) -> None:
        """Carry out an operator's call at once."""
        self.record_admin_answer(
            node, command, not self.nodes[node].execute_admin_command(command), event_kind, server
        )

    # ---- running

    def run(self) -> RunResult:
        """Run the whole experiment and judge it."""
        begun = time.perf_counter()
        x = self.experiment
        network = self.network
        for node in self.nodes.values():
            network.call_at(0.0, None, node.start)
        network.call_at(LOAD_START_DELAY_S, None, self.load_clients.start)
        schedule_faults(self)
        network.call_at(x.seconds, None, self.load_clients.stop)
        network.run(x.seconds + self.settling_time_s())
        for node in self.nodes.values():
            if node.node is not None:  # of one that was killed, the figures were taken then
                self.add_counters(node, node.counters)
        os.close(self.descriptor)
        self.folder.cleanup()
        judge = Judge(self.rules())
        broken = judge.judge(self.history, self.now()) + judge.check_counters(
            self.history, self.counters
        )
        return self.create_result(broken, network.events_executed, time.perf_counter() - begun)
