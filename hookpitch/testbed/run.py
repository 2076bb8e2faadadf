"""Runs an experiment in virtual time: fake servers and real nodes on a simulated network.

The nodes are unmodified `SocketNode`s; their reactor, clock and CPU time come from the simulated
network. The judge takes the history from the fakes and the network, never from a node; the nodes'
counters are compared with it and reported separately.
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

    def __init__(self, experiment: Experiment, seed: int) -> None:
        super().__init__(experiment, seed, SimulatedNetwork(seed))
        self.origin = Origin(self.origin_spec(), 0.0, self.rng)
        self.servers: dict[str, CacheServer] = {}
        self.nodes: dict[str, Node] = {}
        self._build()

    def _on_endpoint_closed(self, endpoint: Endpoint) -> None:
        """Record that a node closed a connection to a server, or left a client's bytes unread."""
        name = self.node_names.get(endpoint.machine.address)
        if name is None:
            return
        if endpoint.port != NODE_PORT:
            self.history.add(self.now(), "closed", name, port=endpoint.port)
        elif endpoint.receive_buffer:
            self.history.add(self.now(), "unread", name, port=endpoint.peer_port)

    def _on_data_after_close(self, endpoint: Endpoint) -> None:
        """Record that bytes of a client have arrived after the node closed the connection."""
        name = self.node_names.get(endpoint.machine.address)
        if name is not None and endpoint.port == NODE_PORT:
            self.history.add(self.now(), "unread", name, port=endpoint.peer_port)

    # ---- building

    def _build(self) -> None:
        experiment = self.experiment
        network = self.network
        # The processes of a node share a descriptor and a folder, which are not simulated.
        self.descriptor = os.open(os.devnull, os.O_RDONLY)
        self.folder = tempfile.TemporaryDirectory(prefix="hookpitch-lab-")
        network.on_endpoint_closed = self._on_endpoint_closed
        network.on_data_after_close = self._on_data_after_close
        network.default_link.delay = experiment.net.delay_ms / 1000
        network.default_link.jitter = experiment.net.jitter_ms / 1000
        origin_reactor = network.machine("10.2.0.2").reactor
        self.origin_server = OriginServer(
            self.origin, origin_reactor, self.history, self.rng, self._node_of, 0.0
        )
        self.origin_server.size_of = self.size_of
        discovery_reactor = network.machine("10.2.0.1").reactor
        self.discovery = DiscoveryServer(
            self.directory, discovery_reactor, self.history, self._node_of, 0.0
        )
        self.discovery.calls_per_s = experiment.discovery.calls_per_s
        self._listen()
        for index in range(experiment.fleet.caches):
            self.add_server(f"s{index}", cold=False)
        self.directory.put(FakeEndpoint("o1", f"10.2.0.2:{ORIGIN_PORT}", "origin"))
        # A warm server holds the keys from the start, because the ring may place any key there.
        if experiment.fleet.warm:
            for name in self.servers:
                self.send_command(name, "warm", experiment.traffic.keys)
        for index in range(experiment.nodes.count):
            address = f"10.0.{index >> 8}.{1 + (index & 255)}"
            self.node_names[address] = f"n{index}"
            self.nodes[f"n{index}"] = Node(self, f"n{index}", address)
        # Clients are close to the nodes: a longer delay of the default link does not affect them.
        for node in self.nodes.values():
            network.connect(
                "10.3.0.1",
                node.address,
                experiment.net.delay_ms / 1000,
                experiment.net.jitter_ms / 1000,
            )
        self.load_clients = self.create_load_clients(network.machine("10.3.0.1").reactor, 0.0)

    def _listen(self, started: str = "") -> None:
        """Have the origin and discovery listen, or only the one that was `started`."""
        for name, server, address, port in (
            ("origin", self.origin_server, "10.2.0.2", ORIGIN_PORT),
            ("discovery", self.discovery, "10.2.0.1", DISCOVERY_PORT),
        ):
            if started in ("", name):
                server.reactor = self.network.machine(address).start()
                server.reactor.listenTCP(port, server, interface=address, backlog=4096)

    def address(self, name: str) -> str:
        """Return the address of a node, a server or the clients."""
        fixed = {"origin": "10.2.0.2", "discovery": "10.2.0.1", "clients": "10.3.0.1"}
        return fixed.get(name) or self.addresses.get(name) or self.nodes[name].address

    def add_server(self, name: str, cold: bool) -> None:
        """Start a new cache server and have discovery list it."""
        index = len(self.addresses)
        address = self.addresses.setdefault(name, f"10.1.{index >> 8}.{1 + (index & 255)}")
        spec = self.cache_spec(index)
        reactor = self.network.machine(address).reactor
        server = CacheServer(
            name, spec, reactor, self.history, self.origin, self.rng, self._node_of, 0.0
        )
        server.size_of = self.size_of
        self.servers[name] = server
        server.start_process([address], CACHE_PORT, cold)
        self.list_server(name, cold)

    def _node_of(self, transport: Any) -> str:
        """Return the name of the node at the other end."""
        address = transport.getPeer().host
        return self.node_names.get(address, address)

    # ---- called by faults

    def send_command(self, name: str, command: str, *args: Any) -> None:
        """Execute a command of a fake server at once."""
        single_servers = {"origin": self.origin_server, "discovery": self.discovery}
        execute_command(single_servers.get(name) or self.servers[name], command, *args)

    def kill(self, name: str) -> bool:
        """Kill the process of a fake server; return False if none runs."""
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
        """Start the process of a fake server, unless it runs."""
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
        """Pause the process of a node or a fake server."""
        if name in self.nodes:
            self.nodes[name].machine.pause(seconds)
        else:
            self.network.machine(self.address(name)).pause(seconds)

    def set_detached(self, name: str, is_detached: bool) -> None:
        """Detach a server's machine from the network, or attach it again."""
        machine = self.network.machine(self.address(name))
        if is_detached:
            machine.detach()
        else:
            machine.reattach()

    def impair(
        self, directions: Iterable[tuple[str, str]], owner: object, impairment: Impairment | None
    ) -> None:
        """Set the impairment that `owner`, a fault, applies to directions; None removes it."""
        for source, destination in directions:
            self.network.impair(self.address(source), self.address(destination), owner, impairment)

    def sever(self, directions: Iterable[tuple[str, str]]) -> None:
        """Reset all connections between the two ends of each direction.

        A node may not have read all bytes of a client, so the client's connections are recorded as
        unread.
        """
        for source, destination in directions:
            if "clients" in (source, destination):
                node = source if destination == "clients" else destination
                for endpoint in [
                    open_endpoint
                    for machine in self.network.machines_at(self.address(node))
                    for open_endpoint in machine.endpoints
                ]:
                    if endpoint.peer_address == self.address("clients"):
                        self.history.add(self.now(), "unread", node, port=endpoint.peer_port)
            self.network.sever(self.address(source), self.address(destination))

    def run_admin_command(
        self, node: str, command: str, event_kind: str = "", server: str = ""
    ) -> None:
        """Execute an admin command at once and record its answer."""
        self.record_admin_answer(
            node, command, not self.nodes[node].execute_admin_command(command), event_kind, server
        )

    # ---- running

    def run(self) -> RunResult:
        """Run the whole experiment and judge it."""
        started_at = time.perf_counter()
        experiment = self.experiment
        network = self.network
        for node in self.nodes.values():
            network.call_at(0.0, None, node.start)
        network.call_at(LOAD_START_DELAY_S, None, self.load_clients.start)
        schedule_faults(self)
        network.call_at(experiment.seconds, None, self.load_clients.stop)
        network.run(experiment.seconds + self.settling_time_s())
        for node in self.nodes.values():
            # The counters of a process that was killed were added when it was killed.
            if node.node is not None:
                self.add_counters(node, node.counters)
        os.close(self.descriptor)
        self.folder.cleanup()
        judge = Judge(self.rules())
        violations = judge.judge(self.history, self.now()) + judge.check_counters(
            self.history, self.counters
        )
        return self.create_result(
            violations, network.events_executed, time.perf_counter() - started_at
        )
