"""Faults: what each kind does when it begins and when it ends.

They are the same in both clocks: in virtual time (`run.py`) and in real time (`process_run.py`).
Each kind is a small method of `ScheduledFault` with the name that experiment files use, and
`NAME_ends` undoes it. A fault asks its run for what depends on the clock (`kill`, `start_server`,
`pause`, `impair`, `sever`) and sends commands to fake servers (`fakes/control_commands.py`). Doc
comments state the default of `by` in parentheses. Times are in seconds.
"""

from __future__ import annotations

from typing import Any

from hookpitch.fakes.admin_clients import AdminClients
from hookpitch.fakes.misbehaving_clients import MisbehavingClients
from hookpitch.fakes.slow_header_clients import SlowHeaderClients
from hookpitch.testbed.base_run import BaseRun
from hookpitch.testbed.experiment_schema import LINK_FAULTS, PROCESS_FAULTS, Fault
from hookpitch.testbed.links import Impairment

RESTART_DELAY_S = 0.5  # from the end of a process to its restart
LOAD_START_DELAY_S = 1.0  # from the start of the nodes to the first RPC
DRAIN_CHECK_DELAY_S = 0.3  # until the load balancer notices that a node was drained or resumed
DRAIN_TIMEOUT_S = 4.0  # after this time a drained node must hold no client connection
LOAD_BALANCER_DETECTION_S = 3.0  # until the load balancer notices that a node has died
CPU_SLICE_S = 0.1  # a fraction of each slice is taken away
# A fault of the link between a node and one of these goes into the history as an `apart` event,
# because the judge's rules depend on it.
RECORDED_PARTITION_PEERS = ("clients", "discovery")


class ScheduledFault:
    """One fault of a run; `index` is its place in the experiment file."""

    def __init__(self, run: BaseRun, index: int, fault: Fault) -> None:
        self.run = run
        self.index = index
        self.fault = fault

    def schedule(self, offset: float = 0.0) -> None:
        """Schedule the beginning and the end of the fault.

        `offset` is the time on the network's clock at which the experiment began.
        """
        run = self.run
        fault = self.fault
        if fault.what in PROCESS_FAULTS:
            targets = run.experiment.group(self.index, run.seed)
            for position, name in enumerate(targets):
                at = offset + fault.at + fault.spread * position / len(targets)
                run.network.call_at(
                    at, None, self._record_and_call, "begins", getattr(self, fault.what), name
                )
            return
        is_link_state = fault.what in LINK_FAULTS and fault.what != "sever"
        begin = self._begin_link_fault if is_link_state else getattr(self, fault.what)
        end = self._end_link_fault if is_link_state else getattr(self, f"{fault.what}_ends", None)
        run.network.call_at(offset + fault.at, None, self._record_and_call, "begins", begin)
        if fault.lasting and end is not None:
            run.network.call_at(offset + fault.end, None, self._record_and_call, "ends", end)

    def _record_and_call(self, phase: str, action: Any, *args: str) -> None:
        target = args[0] if args else self.fault.whom or "-"
        self.run.history.add(self.run.now(), "fault", target, what=f"{self.fault.what} {phase}")
        action(*args)

    def _call_later(self, seconds: float, func: Any, *args: Any) -> None:
        self.run.network.call_at(self.run.network.now + seconds, None, func, *args)

    @property
    def servers(self) -> list[str]:
        """The names of the targeted cache servers."""
        return list(self.run.addresses) if self.fault.whom == "all" else [self.fault.whom]

    @property
    def node(self) -> Any:
        """The targeted node."""
        return self.run.nodes[self.fault.whom]

    def _send_command(self, command: str, *args: Any) -> None:
        for server in self.servers:
            self.run.send_command(server, command, *args)

    # ---- links

    def _directions(self) -> list[tuple[str, str]]:
        return self.run.experiment.directions(self.index, self.run.seed)

    def _impairment(self) -> Impairment:
        fault = self.fault
        return {
            "cut": Impairment(silent=True, kept=fault.kept),
            "half_cut": Impairment(silent=True, kept=fault.kept),
            "flap": Impairment(silent=True, kept=fault.kept),
            "lossy": Impairment(loss=fault.by or 0.1),
            "lag": Impairment(delay_ms=fault.by or 20.0),
            "narrow": Impairment(bandwidth=1024 * (fault.by or 64.0)),
            "refuse": Impairment(refusing=True),
            "deaf": Impairment(deaf=True),
            "doubled": Impairment(repeat=fault.by or 0.3),
            "shuffled": Impairment(reorder=fault.by or 0.3),
        }[fault.what]

    def _begin_link_fault(self) -> None:
        directions = self._directions()
        self._record_partition(directions)
        if self.fault.what == "flap":
            self._toggle(
                directions,
                True,
                self.run.network.now + (self.fault.lasting or self.run.experiment.seconds),
            )
        else:
            self.run.impair(directions, self.index, self._impairment())

    def _end_link_fault(self) -> None:
        self.run.impair(self._directions(), self.index, None)

    def _toggle(self, directions: list[tuple[str, str]], is_down: bool, until: float) -> None:
        """Cut the links for `by` seconds (1), restore them for as long, and so on."""
        if self.run.network.now < until - 1e-9:
            self.run.impair(directions, self.index, self._impairment() if is_down else None)
            self._call_later(self.fault.by or 1.0, self._toggle, directions, not is_down, until)

    def _record_partition(self, directions: list[tuple[str, str]]) -> None:
        """Record which nodes have impaired links to clients or discovery, and for how long."""
        duration_ms = 1000 * (self.fault.lasting or self.run.experiment.seconds)
        for pair in dict.fromkeys(tuple(sorted(direction)) for direction in directions):
            for peer in RECORDED_PARTITION_PEERS:
                if peer in pair:
                    node = next(name for name in pair if name != peer)
                    self.run.history.add(
                        self.run.now(), "apart", node, what=peer, value=duration_ms
                    )

    def sever(self) -> None:
        """Reset all connections between the two groups, once."""
        self.run.sever(self._directions())

    # ---- processes of any kind

    def stall(self, name: str) -> None:
        """Pause the process for `for` seconds (1)."""
        self._pause(name, self.fault.lasting or 1.0)

    def _pause(self, name: str, seconds: float) -> None:
        if name in self.run.nodes and self.run.nodes[name].node is None:
            return
        self.run.history.add(self.run.now(), "away", name, value=seconds * 1000)
        self.run.pause(name, seconds)

    def starved(self, name: str) -> None:
        """Pause the process for the fraction `by` (0.5) of each slice, for `for` seconds (2)."""
        self._take_cpu(name, self.run.network.now + (self.fault.lasting or 2.0))

    def _take_cpu(self, name: str, until: float) -> None:
        if self.run.network.now < until:
            self._pause(name, (self.fault.by or 0.5) * CPU_SLICE_S)
            self._call_later(CPU_SLICE_S, self._take_cpu, name, until)

    def restart(self, name: str) -> None:
        """Kill the process, and start it again under its name and address `by` seconds (0.5) later.

        A cache server restarts cold and empty, and discovery with its first version.
        """
        run = self.run
        if name in run.nodes:
            if run.nodes[name].node is None:
                return
            run.nodes[name].kill()
            self._call_later(LOAD_BALANCER_DETECTION_S, self._update_load_balancer, name, False)
            self._call_later(self.fault.by or RESTART_DELAY_S, self._start_node, name)
        elif run.kill(name):
            self._call_later(self.fault.by or RESTART_DELAY_S, run.start_server, name)

    def _start_node(self, name: str) -> None:
        if self.run.nodes[name].node is None:
            self.run.nodes[name].start()
            self._call_later(LOAD_START_DELAY_S, self._update_load_balancer, name, True)

    def reload(self, name: str) -> None:
        """Rewrite the node's configuration file and have the node reload it.

        The first reload changes some settings, the second changes them back, and so on. `by` from 1
        selects a malformed file: truncated, not an object, an empty object, or without methods.
        """
        if self.run.nodes[name].node is not None:
            self.run.nodes[name].reload(int(self.fault.by))

    # ---- cache servers

    def crash(self) -> None:
        """Kill the server's process."""
        for server in self.servers:
            self.run.kill(server)

    def crash_ends(self) -> None:
        """Start the server again under its name and address, cold and empty."""
        for server in self.servers:
            self.run.start_server(server)

    def vanish(self) -> None:
        """Disconnect the server's machine from the network."""
        self.run.set_detached(self.fault.whom, True)

    def vanish_ends(self) -> None:
        """Connect the server's machine to the network again."""
        self.run.set_detached(self.fault.whom, False)

    def _node_directions(self, both_ways: bool) -> list[tuple[str, str]]:
        """Return the directions from the server to each node, and back if `both_ways`."""
        server = self.fault.whom
        to_nodes = [(server, name) for name in self.run.nodes]
        return (
            [*to_nodes, *((node, source) for source, node in to_nodes)] if both_ways else to_nodes
        )

    def silence(self) -> None:
        """Let nothing pass between the server and the nodes."""
        self.run.impair(self._node_directions(True), self.index, Impairment(silent=True))

    def silence_ends(self) -> None:
        """Restore the server's links."""
        self.run.impair(self._node_directions(True), self.index, None)

    def half_silence(self) -> None:
        """Let nothing pass from the server to the nodes: only its answers are lost."""
        self.run.impair(self._node_directions(False), self.index, Impairment(silent=True))

    def half_silence_ends(self) -> None:
        """Restore the server's links."""
        self.run.impair(self._node_directions(False), self.index, None)

    def slow(self) -> None:
        """Slow the server's work down by the factor `by` (10)."""
        self._send_command("slow", self.fault.by or 10.0)

    def slow_ends(self) -> None:
        """Return the server to its own speed."""
        self._send_command("slow", 1.0)

    def drain(self) -> None:
        """List the server as terminating, and remove and kill it `by` seconds (5) later.

        At the end, the server starts again, cold.
        """
        if self.fault.whom not in self.run.directory.endpoints:
            # The server was removed before.
            return
        self.run.send_command("discovery", "health", self.fault.whom, "terminating")
        self._call_later(self.fault.by or 5.0, self._remove_server)

    def _remove_server(self) -> None:
        if self.fault.whom in self.run.directory.endpoints:
            self.run.send_command("discovery", "health", self.fault.whom, "terminated")
            self.crash()

    def drain_ends(self) -> None:
        """Start the server again; do nothing if it has not been removed yet."""
        # A server that still runs is left as it is.
        self.crash_ends()

    def add(self) -> None:
        """Add a new server to the fleet, cold."""
        self.run.add_server(self.fault.whom, cold=True)

    def flush(self) -> None:
        """Delete all keys of the server."""
        self._send_command("flush")

    def mute(self) -> None:
        """Leave the fraction `by` (1) of the server's answers unsent."""
        self._send_command("mood", "mute", self.fault.by or 1.0)

    def garble(self) -> None:
        """Send the fraction `by` (1) of the server's answers malformed."""
        self._send_command("mood", "garbled", self.fault.by or 1.0)

    def reset(self) -> None:
        """Reset the connection in place of the fraction `by` (1) of the server's answers."""
        self._send_command("mood", "resets", self.fault.by or 1.0)

    def mute_ends(self) -> None:
        """Have the server answer normally again."""
        self._send_command("mood", "well", 1.0)

    garble_ends = reset_ends = mute_ends

    def pieces(self) -> None:
        """Write the server's answers in pieces of `by` bytes (4096), with pauses between them."""
        self._send_command("piece", int(self.fault.by or 4096))

    def pieces_ends(self) -> None:
        """Write the server's answers at once again."""
        self._send_command("piece", 0)

    # ---- the origin and discovery

    def origin_slow(self) -> None:
        """Slow the origin's work down by the factor `by` (5)."""
        self.run.send_command("origin", "slow", self.fault.by or 5.0)

    def origin_slow_ends(self) -> None:
        """Return the origin to its own speed."""
        self.run.send_command("origin", "slow", 1.0)

    def origin_fails(self) -> None:
        """Have the origin answer the fraction `by` (0.3) of requests with an error."""
        self.run.send_command("origin", "failing", self.fault.by or 0.3)

    def origin_fails_ends(self) -> None:
        """Have the origin answer normally again."""
        self.run.send_command("origin", "failing", 0.0)

    def discovery_down(self) -> None:
        """Stop discovery from serving requests."""
        self.run.send_command("discovery", "down")

    def discovery_down_ends(self) -> None:
        """Have discovery serve requests again, with the versions it had."""
        self.run.send_command("discovery", "up", False)

    discovery_restart = discovery_down

    def discovery_restart_ends(self) -> None:
        """Have discovery serve requests again, with versions that restart at the first one."""
        self.run.send_command("discovery", "up", True)

    def discovery_lag(self) -> None:
        """Delay discovery's notifications of changes by `by` seconds (3)."""
        self.run.send_command("discovery", "lag", 1000 * (self.fault.by or 3.0))

    def discovery_lag_ends(self) -> None:
        """Return discovery's notifications to their usual delay of 100 ms."""
        self.run.send_command("discovery", "lag", 100.0)

    # ---- nodes

    def node_kill(self) -> None:
        """Kill the node's process; the load balancer notices it later."""
        if self.node.node is not None:
            self.node.kill()
        self._call_later(
            LOAD_BALANCER_DETECTION_S, self._update_load_balancer, self.fault.whom, False
        )

    def node_kill_ends(self) -> None:
        """Start the node again, unless it runs."""
        self._start_node(self.fault.whom)

    def _update_load_balancer(self, name: str, is_up: bool) -> None:
        """Have clients use a node that has started, or no longer use a node that has died.

        Nothing is changed if the node's state has changed again in the meantime.
        """
        nodes_in_use = self.run.load_clients.nodes_in_use
        if is_up and name not in nodes_in_use and self.run.nodes[name].node is not None:
            nodes_in_use.append(name)
            nodes_in_use.sort()
        elif not is_up and name in nodes_in_use and self.run.nodes[name].node is None:
            nodes_in_use.remove(name)

    def node_leave(self) -> None:
        """Send SIGTERM to the node; new connections continue to arrive for a moment."""
        if self.node.node is None:
            return
        self.run.history.add(self.run.now(), "leaving", self.fault.whom)
        self.node.terminate()
        self._call_later(0.3, self._disconnect_clients, self.fault.whom)

    def _disconnect_clients(self, name: str) -> None:
        """Have clients no longer use a node, and close their idle connections to it."""
        if name in self.run.load_clients.nodes_in_use:
            self.run.load_clients.nodes_in_use.remove(name)
        for connection in list(self.run.load_clients.idle_connections[name]):
            if not connection.is_closed:
                connection.transport.loseConnection()

    def node_leave_ends(self) -> None:
        """Kill the node's process if it still runs, and start a new one."""
        if self.node.node is not None:
            self.node.kill()
        self.node_kill_ends()

    def node_drain(self) -> None:
        """Send PAUSE to the node, and RESUME at the end.

        The load balancer continues to send new connections for a moment.
        """
        name = self.fault.whom
        if self.node.node is None:
            return
        self.run.run_admin_command(name, "PAUSE")
        self._call_later(DRAIN_CHECK_DELAY_S, self._remove_from_load_balancer, name)
        self._call_later(DRAIN_TIMEOUT_S, self._record_held_connections, name, self.node.starts)

    def _remove_from_load_balancer(self, name: str) -> None:
        if name in self.run.load_clients.nodes_in_use:
            self.run.load_clients.nodes_in_use.remove(name)

    def _record_held_connections(self, name: str, starts: int) -> None:
        """Record the client connections that a drained process still holds.

        `starts` identifies the process that was drained.
        """
        node = self.run.nodes[name]
        held = self.run.load_clients.open_connections[name]
        if (
            node.starts == starts
            and node.node is not None
            and name in self.run.drained_nodes
            and held
        ):
            self.run.history.add(self.run.now(), "held", name, value=held)

    def node_drain_ends(self) -> None:
        """Send RESUME to the node."""
        if self.node.node is not None:
            self.run.run_admin_command(self.fault.whom, "RESUME")
            self._call_later(DRAIN_CHECK_DELAY_S, self._update_load_balancer, self.fault.whom, True)

    def suspend(self) -> None:
        """Send SUSPEND for the server to all nodes, and RESTORE at the end.

        The server is restarted `by` seconds (1) after the beginning.
        """
        for name, node in self.run.nodes.items():
            if node.node is not None:
                self.run.run_admin_command(
                    name, f"SUSPEND {self.fault.whom}", "banned", self.fault.whom
                )
        self._call_later(self.fault.by or 1.0, self._restart_server)

    def _restart_server(self) -> None:
        self.crash()
        self._call_later(RESTART_DELAY_S, self.crash_ends)

    def suspend_ends(self) -> None:
        """Send RESTORE for the server to all nodes."""
        for name, node in self.run.nodes.items():
            if node.node is not None:
                self.run.run_admin_command(
                    name, f"RESTORE {self.fault.whom}", "back", self.fault.whom
                )

    def callers(self) -> None:
        """Connect `by` times per second (5) to the admin endpoint of each node.

        The requests are valid, invalid, unfinished or empty.
        """
        for name, node in self.run.nodes.items():
            clients = AdminClients(
                self.run.load_clients.reactor,
                self.run.history,
                name,
                node.admin_address(),
                self.run.started_at,
            )
            clients.start(self.fault.lasting or 1.0, self.fault.by or 5.0)

    def node_upgrade(self) -> None:
        """Start a second process that replaces the first.

        With `by` over 0, the second process is killed before it is ready.
        """
        if self.fault.by:
            self.node.fail_upgrade()
        else:
            self.node.upgrade()

    def node_pause(self) -> None:
        """Pause the node's process for `for` seconds (0.3)."""
        self._pause(self.fault.whom, self.fault.lasting or 0.3)

    def node_slow(self) -> None:
        """Charge `by` microseconds (500) of CPU time to each event of the node."""
        self.node.machine.event_cpu_s = (self.fault.by or 500.0) / 1e6

    def node_slow_ends(self) -> None:
        """Charge the CPU time that the experiment sets to each event of the node."""
        self.node.machine.event_cpu_s = self.run.experiment.nodes.event_us / 1e6

    # ---- traffic and the network

    def crowd(self) -> None:
        """Open `by` connections per second (100) that stay open with an unfinished request."""
        self._start_misbehaving_clients(
            MisbehavingClients(self.run.load_clients, self.fault.by or 100.0, unfinished=True)
        )

    def slow_heads(self) -> None:
        """Start `by` clients per second (5) that take up to 1.8 s to write a valid request."""
        SlowHeaderClients(self.run.load_clients, self.fault.by or 5.0).start(
            self.fault.lasting or 1.0
        )

    def surge(self) -> None:
        """Multiply the load by `by` (3)."""
        self.run.load_clients.rate_per_s = self.run.experiment.traffic.rate * (self.fault.by or 3.0)

    def surge_ends(self) -> None:
        """Return the load to the rate of the experiment."""
        self.run.load_clients.rate_per_s = self.run.experiment.traffic.rate

    def hot_key(self) -> None:
        """Request the same key in the fraction `by` (0.2) of RPCs."""
        self.run.keys.hot_fraction = self.fault.by or 0.2

    def hot_key_ends(self) -> None:
        """Draw all keys as the experiment defines them."""
        self.run.keys.hot_fraction = 0.0

    def rude(self) -> None:
        """Start `by` clients per second (20) that violate the protocol."""
        self._start_misbehaving_clients(
            MisbehavingClients(self.run.load_clients, self.fault.by or 20.0)
        )

    def _start_misbehaving_clients(self, clients: MisbehavingClients) -> None:
        self.run.misbehaving_clients.append(clients)
        clients.start(self.fault.lasting or 1.0)

    def _server_directions(self) -> list[tuple[str, str]]:
        servers = [*self.run.addresses, "origin", "discovery"]
        return [
            direction
            for node in self.run.nodes
            for server in servers
            for direction in ((node, server), (server, node))
        ]

    def far(self) -> None:
        """Delay all links between nodes and servers, origin and discovery by `by` ms (20)."""
        self.run.impair(
            self._server_directions(), self.index, Impairment(delay_ms=self.fault.by or 20.0)
        )

    def far_ends(self) -> None:
        """Remove the delay."""
        self.run.impair(self._server_directions(), self.index, None)


def schedule_faults(run: BaseRun, offset: float = 0.0) -> None:
    """Schedule all faults of an experiment that begins `offset` seconds into the run's clock."""
    for index, fault in enumerate(run.experiment.fault):
        ScheduledFault(run, index, fault).schedule(offset)
