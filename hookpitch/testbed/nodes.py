"""A node in virtual time: its place, and the processes that run there."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from hookpitch.core.counters import Counters
from hookpitch.members.port import Settings as MemberSettings
from hookpitch.members.port import attach
from hookpitch.net.clock import Clock
from hookpitch.net.lifecycle import LISTEN_BACKLOG
from hookpitch.net.node import SocketNode
from hookpitch.net.node_config import load_reloaded_config, parse_node_config
from hookpitch.net.snapshot_store import SnapshotSettings, SnapshotStore, run_and_return_error
from hookpitch.testbed.base_run import NODE_PORT, BaseRun
from hookpitch.testbed.simulation import Machine

DISCOVERY_PORT = 8500
ADMIN_PORT = 15000
READY_S = 6.0  # by then a new process beside an old one serves
LOOK_S = 0.1  # between two looks at whether it does
SEEDS = 3  # nodes that all others know at first
DISK_S = 0.005  # that a snapshot takes to be written
ENDED_S = 0.7  # past its longest deadline, an old process is killed


class NodeHost(BaseRun):
    """What the nodes of a run in virtual time ask of it; `run.py` has the run itself."""

    nodes: dict[str, Node]
    descriptor: int  # stands for the listening socket that an upgraded node's processes inherit
    folder: TemporaryDirectory[str]  # of the nodes' files


class _Log:
    """A node's log lines, kept with their times."""

    def __init__(self, run: NodeHost, name: str) -> None:
        self.run = run
        self.name = name

    def info(self, event: str, **values: object) -> None:
        """Keep one log line; lines beyond the bound are dropped."""
        if len(self.run.logs) < 10000:
            what = f"{event}: {values['what']}" if "what" in values else event
            self.run.logs.append((self.run.now(), self.name, what))


class Node:
    """A node's place: its machine, and the process that runs there now."""

    def __init__(self, run: NodeHost, name: str, address: str) -> None:
        self.run = run
        self.name = name
        self.address = address
        self.machine = run.network.machine(address, descriptors=run.experiment.nodes.sockets)
        self.machine.event_cpu_s = run.experiment.nodes.event_us / 1e6
        self.starts = self.reloads = 0
        self.node: SocketNode | None = None
        self.previous_process: SocketNode | None = (
            None  # the process before it, while it still serves
        )
        self.counters = Counters()
        # Where an upgrade is due, the socket is the platform's and every process inherits it.
        self.upgraded = any(
            f.what == "node_upgrade" and f.whom == name for f in run.experiment.fault
        )
        if self.upgraded:
            self.machine.add_inherited_listener(run.descriptor, NODE_PORT, LISTEN_BACKLOG)
        self.admin_port = ADMIN_PORT

    def start(self) -> None:
        """Start a process with a configuration of now."""
        run = self.run
        self.starts = self.starts + 1
        run.history.add(run.now(), "start", self.name)
        machine = self.machine
        self.admin_port = ADMIN_PORT + self.starts - 1
        reactor = machine.start()
        top = run.node_config(self, f"10.2.0.1:{DISCOVERY_PORT}")
        config = parse_node_config(top | {"management": f"{self.address}:{self.admin_port}"}, {})
        if self.upgraded:
            process = f"{self.starts}"
            config = replace(
                config,
                inherited_descriptor=run.descriptor,
                shared_directory=run.folder.name,
                process_id=process,
            )
        network = run.network
        self.counters = Counters()
        clock = Clock(reactor, reactor.seconds, lambda: network.epoch + network.now)
        log = _Log(run, self.name)
        self.node = SocketNode(
            reactor, clock, config, self.counters, log, lambda: machine.cpu_used_s
        )
        if run.experiment.nodes.snapshot_s:
            kept = SnapshotSettings(
                f"{run.folder.name}/{{name}}.snapshot",
                run.experiment.name,
                run.experiment.nodes.snapshot_s,
            )
            self.node.snapshot_store = SnapshotStore(kept, self.node, partial(self._away, reactor))
        if run.experiment.nodes.members:
            port = run.experiment.nodes.peer_port
            seeds = tuple((n.address, port) for n in list(run.nodes.values())[:SEEDS])
            attach(MemberSettings((self.address, port), run.experiment.name, seeds), self.node)
        self.node.start()

    @staticmethod
    def _away(reactor: Any, work: Callable[[], None], then: Callable[[str], None]) -> None:
        # A disk that takes a moment: what is killed meanwhile has written nothing.
        reactor.callLater(DISK_S, lambda: then(run_and_return_error(work)))

    def upgrade(self) -> None:
        """A second process beside the first, which gets SIGTERM once the new one says yes."""
        if self.node is None or self.previous_process is not None:
            return
        old = self.node
        machine = self.machine
        counters = self.counters
        self.previous_process = old
        self.machine = machine.add_process()
        self.start()
        self._when_ready(old, machine, counters, self.run.now() + READY_S * 1000)

    def fail_upgrade(self) -> None:
        """A second process that dies as soon as it has begun; the first serves on."""
        if self.node is None or self.previous_process is not None:
            return
        old = self.node
        machine = self.machine
        counters = self.counters
        door = self.admin_port
        self.machine = machine.add_process()
        self.start()
        self.run.add_counters(self, self.counters)
        self.machine.kill()
        if (
            self.node.hot_restart.shared_state is not None
        ):  # the kernel lets go of a dead process's locks
            self.node.hot_restart.shared_state.close()
        self.node = old
        self.machine = machine
        self.counters = counters
        self.admin_port = door

    def _when_ready(
        self, old: SocketNode, machine: Machine, counters: Counters, latest: float
    ) -> None:
        run = self.run
        if self.node is None:
            return
        if self.node.commands.not_ready_reason():
            if run.now() > latest:
                run.history.add(
                    run.now(), "call", self.name, what="late: a new process says no for 6 s"
                )
            run.network.call_at(
                run.network.now + LOOK_S, None, self._when_ready, old, machine, counters, latest
            )
            return

        def ended() -> None:
            if self.previous_process is old:
                self.previous_process = None
                run.add_counters(self, counters)
                machine.kill()

        machine.reactor.on_stopped = lambda: run.network.call_at(run.network.now, None, ended)
        old.shut_down()
        run.network.call_at(
            run.network.now + old.host.stream_timeout_ms / 1000 + ENDED_S, None, ended
        )

    def kill(self) -> None:
        """Its process dies."""
        self.run.history.add(self.run.now(), "stop", self.name)
        self.run.add_counters(self, self.counters)
        self.machine.kill()
        self.node = None

    def processes(self) -> list[SocketNode]:
        """Those that serve now, the elder first."""
        return [one for one in (self.previous_process, self.node) if one is not None]

    def reload(self, wrong: int) -> None:
        """SIGHUP, with its file written anew."""
        path = Path(self.run.folder.name) / f"{self.name}.json"
        path.write_text(
            self.run.config_text(
                self, self.run.node_config(self, f"10.2.0.1:{DISCOVERY_PORT}"), wrong
            )
        )
        if self.node is not None:
            self.node.reload(partial(load_reloaded_config, {"PROXY_CONFIG": str(path)}))

    def terminate(self) -> None:
        """SIGTERM."""
        if self.node is not None:
            self.node.shut_down()

    def admin_address(self) -> tuple[str, int]:
        """Where its admin port listens."""
        return self.address, self.admin_port

    def execute_admin_command(self, line: str) -> str:
        """An operator's call, answered at once; while two processes are one node, either may be
        called."""
        words = line.split()
        if len(words) == 1:
            return getattr(self.node.commands, words[0].lower())()
        process = self.run.rng.choice(self.processes())
        return getattr(process.commands, words[0].lower())(words[1])
