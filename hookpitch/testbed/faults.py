"""Faults: what each does when it begins and what undoes it, the same for both clocks.

A fault asks its run for what only a clock can do (`kill`, `begin`, `stall`, `impair`, `sever`) and
gives fake servers orders by name (`fakes/control_commands.py`); all else is here, one small method
a fault, named as in experiments' files; `NAME_ends` undoes it. Times in seconds.
"""

from __future__ import annotations

from typing import Any

from hookpitch.fakes.admin_clients import AdminClients
from hookpitch.fakes.misbehaving_clients import MisbehavingClients
from hookpitch.fakes.slow_header_clients import SlowHeaderClients
from hookpitch.testbed.base_run import BaseRun
from hookpitch.testbed.experiment_schema import LINK_FAULTS, PROCESS_FAULTS, Fault
from hookpitch.testbed.links import Impairment

RESTART_S = 0.5  # that a restart takes
LOAD_START_DELAY_S = 1.0  # from the nodes' start to the first RPC
ASKED_S = 0.3  # and after so long that a drained one says no
DRAINED_S = 4.0  # after which a drained node holds no client's connection
FRONT_S = 3.0  # a front notices after so long that a node has died
SLICE_S = 0.1  # of which a part of the CPU is taken away
OUTSIDE = ("clients", "discovery")  # whose links to nodes the judge has to know as cut


class ScheduledFault:
    """One fault of a run: `n` is its place in the file."""

    def __init__(self, run: BaseRun, n: int, fault: Fault) -> None:
        self.run = run
        self.n = n
        self.fault = fault

    def plan(self, offset: float = 0.0) -> None:
        """`offset`: seconds of the network's time at which the run's began."""
        run = self.run
        fault = self.fault
        if fault.what in PROCESS_FAULTS:
            whom = run.experiment.group(self.n, run.seed)
            for n, name in enumerate(whom):
                at = offset + fault.at + fault.spread * n / len(whom)
                run.network.call_at(
                    at, None, self._record_and_call, "begins", getattr(self, fault.what), name
                )
            return
        link = fault.what in LINK_FAULTS and fault.what != "sever"
        begin = self._link if link else getattr(self, fault.what)
        end = self._link_ends if link else getattr(self, f"{fault.what}_ends", None)
        run.network.call_at(offset + fault.at, None, self._record_and_call, "begins", begin)
        if fault.lasting and end is not None:
            run.network.call_at(offset + fault.end, None, self._record_and_call, "ends", end)

    def _record_and_call(self, what: str, call: Any, *args: str) -> None:
        whom = args[0] if args else self.fault.whom or "-"
        self.run.history.add(self.run.now(), "fault", whom, what=f"{self.fault.what} {what}")
        call(*args)

    def _later(self, seconds: float, call: Any, *args: Any) -> None:
        self.run.network.call_at(self.run.network.now + seconds, None, call, *args)

    @property
    def servers(self) -> list[str]:
        """The names of the servers that it meets."""
        return list(self.run.addresses) if self.fault.whom == "all" else [self.fault.whom]

    @property
    def node(self) -> Any:
        """The node that it meets."""
        return self.run.nodes[self.fault.whom]

    def _order(self, what: str, *args: Any) -> None:
        for server in self.servers:
            self.run.send_command(server, what, *args)

    # ---- links

    def _ways(self) -> list[tuple[str, str]]:
        return self.run.experiment.directions(self.n, self.run.seed)

    def _impairment(self) -> Impairment:
        f = self.fault
        return {
            "cut": Impairment(silent=True, kept=f.kept),
            "half_cut": Impairment(silent=True, kept=f.kept),
            "flap": Impairment(silent=True, kept=f.kept),
            "lossy": Impairment(loss=f.by or 0.1),
            "lag": Impairment(delay_ms=f.by or 20.0),
            "narrow": Impairment(bandwidth=1024 * (f.by or 64.0)),
            "refuse": Impairment(refusing=True),
            "deaf": Impairment(deaf=True),
            "doubled": Impairment(repeat=f.by or 0.3),
            "shuffled": Impairment(reorder=f.by or 0.3),
        }[f.what]

    def _link(self) -> None:
        ways = self._ways()
        self._apart(ways)
        if self.fault.what == "flap":
            self._turn(
                ways,
                True,
                self.run.network.now + (self.fault.lasting or self.run.experiment.seconds),
            )
        else:
            self.run.impair(ways, self.n, self._impairment())

    def _link_ends(self) -> None:
        self.run.impair(self._ways(), self.n, None)

    def _turn(self, ways: list[tuple[str, str]], down: bool, until: float) -> None:
        """Down for `by` seconds, up for as long, and so on."""
        if self.run.network.now < until - 1e-9:
            self.run.impair(ways, self.n, self._impairment() if down else None)
            self._later(self.fault.by or 1.0, self._turn, ways, not down, until)

    def _apart(self, ways: list[tuple[str, str]]) -> None:
        """What nodes cannot know or answer in that time is told to the judge."""
        span = 1000 * (self.fault.lasting or self.run.experiment.seconds)
        for pair in dict.fromkeys(tuple(sorted(way)) for way in ways):
            for outside in OUTSIDE:
                if outside in pair:
                    node = next(name for name in pair if name != outside)
                    self.run.history.add(self.run.now(), "apart", node, what=outside, value=span)

    def sever(self) -> None:
        """All connections between the two groups are reset, once."""
        self.run.sever(self._ways())

    # ---- processes of any kind

    def stall(self, name: str) -> None:
        """Stopped, and gone on with after `for` seconds (1)."""
        self._stalled(name, self.fault.lasting or 1.0)

    def _stalled(self, name: str, seconds: float) -> None:
        if name in self.run.nodes and self.run.nodes[name].node is None:
            return
        self.run.history.add(self.run.now(), "away", name, value=seconds * 1000)
        self.run.pause(name, seconds)

    def starved(self, name: str) -> None:
        """The part `by` (0.5) of each tenth of a second is taken away, for `for` seconds (2)."""
        self._starve(name, self.run.network.now + (self.fault.lasting or 2.0))

    def _starve(self, name: str, until: float) -> None:
        if self.run.network.now < until:
            self._stalled(name, (self.fault.by or 0.5) * SLICE_S)
            self._later(SLICE_S, self._starve, name, until)

    def restart(self, name: str) -> None:
        """Killed in the middle of its work, and started again under its name and address after
        `by` seconds
        (0.5); a server comes back cold and empty, discovery counts its versions anew."""
        run = self.run
        if name in run.nodes:
            if run.nodes[name].node is None:
                return
            run.nodes[name].kill()
            self._later(FRONT_S, self._front, name, False)
            self._later(self.fault.by or RESTART_S, self._again, name)
        elif run.kill(name):
            self._later(self.fault.by or RESTART_S, run.start_server, name)

    def _again(self, name: str) -> None:
        if self.run.nodes[name].node is None:
            self.run.nodes[name].start()
            self._later(LOAD_START_DELAY_S, self._front, name, True)

    def reload(self, name: str) -> None:
        """Its file is written anew and read: other settings, and back the next time; `by` from 1:
        torn, no
        object, an empty one, no methods."""
        if self.run.nodes[name].node is not None:
            self.run.nodes[name].reload(int(self.fault.by))

    # ---- a cache server's

    def crash(self) -> None:
        """Its process is killed."""
        for server in self.servers:
            self.run.kill(server)

    def crash_ends(self) -> None:
        """It returns under its old name and address, cold and empty."""
        for server in self.servers:
            self.run.start_server(server)

    def vanish(self) -> None:
        """Its machine leaves the network."""
        self.run.set_detached(self.fault.whom, True)

    def vanish_ends(self) -> None:
        """Its machine is back."""
        self.run.set_detached(self.fault.whom, False)

    def _pairs(self, both: bool) -> list[tuple[str, str]]:
        """Between each node and the server: its answers, and with `both` what is sent to it."""
        whom = self.fault.whom
        back = [(whom, name) for name in self.run.nodes]
        return [*back, *((b, a) for a, b in back)] if both else back

    def silence(self) -> None:
        """Nothing passes between it and nodes."""
        self.run.impair(self._pairs(True), self.n, Impairment(silent=True))

    def silence_ends(self) -> None:
        """Its links are healed."""
        self.run.impair(self._pairs(True), self.n, None)

    def half_silence(self) -> None:  # its answers alone are lost
        """Its answers alone are lost."""
        self.run.impair(self._pairs(False), self.n, Impairment(silent=True))

    def half_silence_ends(self) -> None:
        """Its links are healed."""
        self.run.impair(self._pairs(False), self.n, None)

    def slow(self) -> None:
        """Its work takes `by` times as long (10)."""
        self._order("slow", self.fault.by or 10.0)

    def slow_ends(self) -> None:
        """It works at its own speed."""
        self._order("slow", 1.0)

    def drain(self) -> None:
        """It is listed as terminating, goes after `by` seconds (5), and comes back new and cold at
        the
        end."""
        if self.fault.whom not in self.run.directory.endpoints:  # it has gone already
            return
        self.run.send_command("discovery", "health", self.fault.whom, "terminating")
        self._later(self.fault.by or 5.0, self._gone)

    def _gone(self) -> None:
        if self.fault.whom in self.run.directory.endpoints:
            self.run.send_command("discovery", "health", self.fault.whom, "terminated")
            self.crash()

    def drain_ends(self) -> None:
        """It comes back; where it has not left yet, nothing is done."""
        self.crash_ends()  # where it has not even gone, nothing is done

    def add(self) -> None:
        """A server new to the fleet, cold."""
        self.run.add_server(self.fault.whom, cold=True)

    def flush(self) -> None:
        """It loses all its keys."""
        self._order("flush")

    def mute(self) -> None:
        """A share `by` (1) of its answers is never written."""
        self._order("mood", "mute", self.fault.by or 1.0)

    def garble(self) -> None:
        """A share `by` (1) of its answers is malformed."""
        self._order("mood", "garbled", self.fault.by or 1.0)

    def reset(self) -> None:
        """A share `by` (1) of its answers is a reset."""
        self._order("mood", "resets", self.fault.by or 1.0)

    def mute_ends(self) -> None:
        """It answers well again."""
        self._order("mood", "well", 1.0)

    garble_ends = reset_ends = mute_ends

    def pieces(self) -> None:
        """Answers are written `by` bytes at a time (4096), with a pause between."""
        self._order("piece", int(self.fault.by or 4096))

    def pieces_ends(self) -> None:
        """It writes answers whole."""
        self._order("piece", 0)

    # ---- the origin's, discovery's

    def origin_slow(self) -> None:
        """The origin's work takes `by` times as long (5)."""
        self.run.send_command("origin", "slow", self.fault.by or 5.0)

    def origin_slow_ends(self) -> None:
        """It works at its own speed."""
        self.run.send_command("origin", "slow", 1.0)

    def origin_fails(self) -> None:
        """A share `by` (0.3) of the origin's answers is an error."""
        self.run.send_command("origin", "failing", self.fault.by or 0.3)

    def origin_fails_ends(self) -> None:
        """It answers well again."""
        self.run.send_command("origin", "failing", 0.0)

    def discovery_down(self) -> None:
        """Discovery does not answer."""
        self.run.send_command("discovery", "down")

    def discovery_down_ends(self) -> None:
        """It answers, with the versions it had."""
        self.run.send_command("discovery", "up", False)

    discovery_restart = discovery_down

    def discovery_restart_ends(self) -> None:
        """It answers, and counts its versions from the start."""
        self.run.send_command("discovery", "up", True)

    def discovery_lag(self) -> None:
        """Changes reach nodes `by` seconds late (3)."""
        self.run.send_command("discovery", "lag", 1000 * (self.fault.by or 3.0))

    def discovery_lag_ends(self) -> None:
        """Changes reach nodes soon."""
        self.run.send_command("discovery", "lag", 100.0)

    # ---- a node's

    def node_kill(self) -> None:
        """Its process is killed; the front notices later."""
        if self.node.node is not None:
            self.node.kill()
        self._later(FRONT_S, self._front, self.fault.whom, False)

    def node_kill_ends(self) -> None:
        """It is started, unless it runs."""
        self._again(self.fault.whom)

    def _front(self, name: str, there: bool) -> None:
        use = self.run.load_clients.nodes_in_use
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
        self.node.terminate()
        self._later(0.3, self._away, self.fault.whom)

    def _away(self, name: str) -> None:
        if name in self.run.load_clients.nodes_in_use:
            self.run.load_clients.nodes_in_use.remove(name)
        for caller in list(self.run.load_clients.idle_connections[name]):
            if not caller.is_closed:
                caller.transport.loseConnection()

    def node_leave_ends(self) -> None:
        """Its process is killed, and a new one started."""
        if self.node.node is not None:
            self.node.kill()
        self.node_kill_ends()

    def node_drain(self) -> None:
        """An operator's PAUSE, and RESUME at the end. The front sends new connections for a little
        longer."""
        name = self.fault.whom
        if self.node.node is None:
            return
        self.run.run_admin_command(name, "PAUSE")
        self._later(ASKED_S, self._front_away, name)
        self._later(DRAINED_S, self._still_held, name, self.node.starts)

    def _front_away(self, name: str) -> None:
        if name in self.run.load_clients.nodes_in_use:
            self.run.load_clients.nodes_in_use.remove(name)

    def _still_held(self, name: str, starts: int) -> None:
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
        """An operator's RESUME."""
        if self.node.node is not None:
            self.run.run_admin_command(self.fault.whom, "RESUME")
            self._later(ASKED_S, self._front, self.fault.whom, True)

    def suspend(self) -> None:
        """By hand, at all nodes, and back at the end; after `by` seconds (1) the server is
        restarted."""
        for name, node in self.run.nodes.items():
            if node.node is not None:
                self.run.run_admin_command(
                    name, f"SUSPEND {self.fault.whom}", "banned", self.fault.whom
                )
        self._later(self.fault.by or 1.0, self._restarted)

    def _restarted(self) -> None:
        self.crash()
        self._later(RESTART_S, self.crash_ends)

    def suspend_ends(self) -> None:
        """An operator's RESTORE at all nodes."""
        for name, node in self.run.nodes.items():
            if node.node is not None:
                self.run.run_admin_command(
                    name, f"RESTORE {self.fault.whom}", "back", self.fault.whom
                )

    def callers(self) -> None:
        """Operators' calls, some good and some not, at every node's door, and callers that say
        nothing."""
        for name, node in self.run.nodes.items():
            calls = AdminClients(
                self.run.load_clients.reactor,
                self.run.history,
                name,
                node.admin_address(),
                self.run.started_at,
            )
            calls.start(self.fault.lasting or 1.0, self.fault.by or 5.0)

    def node_upgrade(self) -> None:
        """A second process beside the first; `by` over 0: it dies before its yes."""
        if self.fault.by:
            self.node.fail_upgrade()
        else:
            self.node.upgrade()

    def node_pause(self) -> None:
        """It is stopped for `for` seconds (0.3)."""
        self._stalled(self.fault.whom, self.fault.lasting or 0.3)

    def node_slow(self) -> None:
        """Each of its events takes `by` microseconds of CPU (500)."""
        self.node.machine.event_cpu_s = (self.fault.by or 500.0) / 1e6

    def node_slow_ends(self) -> None:
        """Its events take what the experiment says."""
        self.node.machine.event_cpu_s = self.run.experiment.nodes.event_us / 1e6

    # ---- traffic's, the network's

    def crowd(self) -> None:
        """`by` connections a second that never finish a request, and stay."""
        self._rudes(
            MisbehavingClients(self.run.load_clients, self.fault.by or 100.0, unfinished=True)
        )

    def slow_heads(self) -> None:
        """`by` honest clients a second that take up to 1.8 s to write their request."""
        SlowHeaderClients(self.run.load_clients, self.fault.by or 5.0).start(
            self.fault.lasting or 1.0
        )

    def surge(self) -> None:
        """The load is `by` times as high (3)."""
        self.run.load_clients.rate_per_s = self.run.experiment.traffic.rate * (self.fault.by or 3.0)

    def surge_ends(self) -> None:
        """The load is the experiment's."""
        self.run.load_clients.rate_per_s = self.run.experiment.traffic.rate

    def hot_key(self) -> None:
        """A share `by` (0.2) of RPCs is for one key."""
        self.run.keys.hot_fraction = self.fault.by or 0.2

    def hot_key_ends(self) -> None:
        """Keys are drawn as the experiment says."""
        self.run.keys.hot_fraction = 0.0

    def rude(self) -> None:
        """`by` clients a second that break the protocol (20)."""
        self._rudes(MisbehavingClients(self.run.load_clients, self.fault.by or 20.0))

    def _rudes(self, rudes: MisbehavingClients) -> None:
        self.run.misbehaving_clients.append(rudes)
        rudes.start(self.fault.lasting or 1.0)

    def _far(self) -> list[tuple[str, str]]:
        there = [*self.run.addresses, "origin", "discovery"]
        return [way for a in self.run.nodes for b in there for way in ((a, b), (b, a))]

    def far(self) -> None:
        """Every way of a node's, but for those to its clients, takes `by` ms longer."""
        self.run.impair(self._far(), self.n, Impairment(delay_ms=self.fault.by or 20.0))

    def far_ends(self) -> None:
        """The delay is taken off."""
        self.run.impair(self._far(), self.n, None)


def schedule_faults(run: BaseRun, offset: float = 0.0) -> None:
    """Schedule all faults of the run's experiment; it began `offset` seconds into its clock."""
    for number, fault in enumerate(run.experiment.fault):
        ScheduledFault(run, number, fault).plan(offset)
