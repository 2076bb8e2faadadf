"""A node in virtual time: its machine and the processes that run on it."""

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
UPGRADE_READY_TIMEOUT_S = 6.0  # for the new process of an upgrade to be ready
POLL_INTERVAL_S = 0.1  # between two checks of whether the new process is ready
SEED_MEMBERS = 3  # members whose addresses all others are configured with
SNAPSHOT_WRITE_S = 0.005  # the time that writing a snapshot takes
# An old process that still runs this long after the longest deadline is killed.
TERMINATION_GRACE_S = 0.7


class NodeHost(BaseRun):
    """The attributes of a run in virtual time that its nodes use; the run is in `run.py`."""

    nodes: dict[str, Node]
    descriptor: int  # represents the listening socket that processes of an upgraded node inherit
    folder: TemporaryDirectory[str]  # for the files of the nodes


class _Log:
    """Records the log lines of a node with their times."""

    def __init__(self, run: NodeHost, name: str) -> None:
        self.run = run
        self.name = name

    def info(self, event: str, **values: object) -> None:
        """Record one log line; lines beyond the limit are dropped."""
        if len(self.run.logs) < 10000:
            text = f"{event}: {values['what']}" if "what" in values else event
            self.run.logs.append((self.run.now(), self.name, text))


class Node:
    """A node: its machine and the process that runs now.

    The attribute `node` is this process, or None while no process runs. Faults read this attribute,
    which the nodes of a run on real processes have as well.
    """

    def __init__(self, run: NodeHost, name: str, address: str) -> None:
        self.run = run
        self.name = name
        self.address = address
        self.machine = run.network.machine(address, descriptors=run.experiment.nodes.sockets)
        self.machine.event_cpu_s = run.experiment.nodes.event_us / 1e6
        self.starts = self.reloads = 0
        self.node: SocketNode | None = None
        # During an upgrade: the old process, while it still serves.
        self.previous_process: SocketNode | None = None
        self.counters = Counters()
        # If the experiment upgrades this node, all its processes inherit the platform's socket.
        self.inherits_socket = any(
            fault.what == "node_upgrade" and fault.whom == name for fault in run.experiment.fault
        )
        if self.inherits_socket:
            self.machine.add_inherited_listener(run.descriptor, NODE_PORT, LISTEN_BACKLOG)
        self.admin_port = ADMIN_PORT

    def start(self) -> None:
        """Start a process with the current configuration and its own admin port."""
        run = self.run
        self.starts = self.starts + 1
        run.history.add(run.now(), "start", self.name)
        machine = self.machine
        self.admin_port = ADMIN_PORT + self.starts - 1
        reactor = machine.start()
        fields = run.node_config(self, f"10.2.0.1:{DISCOVERY_PORT}")
        config = parse_node_config(fields | {"management": f"{self.address}:{self.admin_port}"}, {})
        if self.inherits_socket:
            own_id = f"{self.starts}"
            config = replace(
                config,
                inherited_descriptor=run.descriptor,
                shared_directory=run.folder.name,
                process_id=own_id,
            )
        network = run.network
        self.counters = Counters()
        clock = Clock(reactor, reactor.seconds, lambda: network.epoch + network.now)
        log = _Log(run, self.name)
        self.node = SocketNode(
            reactor, clock, config, self.counters, log, lambda: machine.cpu_used_s
        )
        if run.experiment.nodes.snapshot_s:
            settings = SnapshotSettings(
                f"{run.folder.name}/{{name}}.snapshot",
                run.experiment.name,
                run.experiment.nodes.snapshot_s,
            )
            self.node.snapshot_store = SnapshotStore(
                settings, self.node, partial(self._write_in_background, reactor)
            )
        if run.experiment.nodes.members:
            port = run.experiment.nodes.peer_port
            seeds = tuple((node.address, port) for node in list(run.nodes.values())[:SEED_MEMBERS])
            attach(MemberSettings((self.address, port), run.experiment.name, seeds), self.node)
        self.node.start()

    @staticmethod
    def _write_in_background(
        reactor: Any, write: Callable[[], None], on_done: Callable[[str], None]
    ) -> None:
        # The disk takes a moment: a process that is killed in the meantime has written nothing.
        reactor.callLater(SNAPSHOT_WRITE_S, lambda: on_done(run_and_return_error(write)))

    def upgrade(self) -> None:
        """Start a second process; the first one gets SIGTERM once the second is ready."""
        if self.node is None or self.previous_process is not None:
            return
        old = self.node
        machine = self.machine
        counters = self.counters
        self.previous_process = old
        self.machine = machine.add_process()
        self.start()
        self._poll_upgrade(old, machine, counters, self.run.now() + UPGRADE_READY_TIMEOUT_S * 1000)

    def fail_upgrade(self) -> None:
        """Start a second process that is killed right away; the first one continues to serve."""
        if self.node is None or self.previous_process is not None:
            return
        old = self.node
        machine = self.machine
        counters = self.counters
        admin_port = self.admin_port
        self.machine = machine.add_process()
        self.start()
        self.run.add_counters(self, self.counters)
        self.machine.kill()
        # The kernel releases the locks of a process that has died.
        if self.node.hot_restart.shared_state is not None:
            self.node.hot_restart.shared_state.close()
        self.node = old
        self.machine = machine
        self.counters = counters
        self.admin_port = admin_port

    def _poll_upgrade(
        self, old: SocketNode, machine: Machine, counters: Counters, latest_ms: float
    ) -> None:
        """Shut the old process down once the new one is ready; until then, check again.

        Each check after `latest_ms` records that the new process is late.
        """
        run = self.run
        if self.node is None:
            return
        if self.node.commands.not_ready_reason():
            if run.now() > latest_ms:
                run.history.add(
                    run.now(), "call", self.name, what="late: a new process says no for 6 s"
                )
            run.network.call_at(
                run.network.now + POLL_INTERVAL_S,
                None,
                self._poll_upgrade,
                old,
                machine,
                counters,
                latest_ms,
            )
            return

        def finish_upgrade() -> None:
            if self.previous_process is old:
                self.previous_process = None
                run.add_counters(self, counters)
                machine.kill()

        machine.reactor.on_stopped = lambda: run.network.call_at(
            run.network.now, None, finish_upgrade
        )
        old.shut_down()
        run.network.call_at(
            run.network.now + old.host.longest_deadline_ms / 1000 + TERMINATION_GRACE_S,
            None,
            finish_upgrade,
        )

    def kill(self) -> None:
        """Kill the process."""
        self.run.history.add(self.run.now(), "stop", self.name)
        self.run.add_counters(self, self.counters)
        self.machine.kill()
        self.node = None

    def processes(self) -> list[SocketNode]:
        """Return the processes that serve now, the older one first."""
        return [process for process in (self.previous_process, self.node) if process is not None]

    def reload(self, malformed: int) -> None:
        """Write a new configuration file and have the process load it.

        `malformed` from 1 selects one of the malformed texts of `config_text`.
        """
        path = Path(self.run.folder.name) / f"{self.name}.json"
        path.write_text(
            self.run.config_text(
                self, self.run.node_config(self, f"10.2.0.1:{DISCOVERY_PORT}"), malformed
            )
        )
        if self.node is not None:
            self.node.reload(partial(load_reloaded_config, {"PROXY_CONFIG": str(path)}))

    def terminate(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""
        if self.node is not None:
            self.node.shut_down()

    def admin_address(self) -> tuple[str, int]:
        """Return the address of the admin endpoint."""
        return self.address, self.admin_port

    def execute_admin_command(self, command: str) -> str:
        """Execute an admin command and return the reason for a NO, or an empty text.

        During an upgrade, a command with an argument reaches one of the two processes at random.
        """
        words = command.split()
        if len(words) == 1:
            return getattr(self.node.commands, words[0].lower())()
        process = self.run.rng.choice(self.processes())
        return getattr(process.commands, words[0].lower())(words[1])
