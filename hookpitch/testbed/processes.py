"""The processes of a run on loopback: nodes, relays and fake servers, from start to end.

Every process dies with the one that has started it, however that one ends (prctl(2),
PR_SET_PDEATHSIG), and gets signals by its own process id alone, never by its name.
"""

from __future__ import annotations

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from hookpitch.testbed.base_run import BaseRun
from hookpitch.testbed.child import ControlConnection

PR_SET_PDEATHSIG = 1
# An old process that still runs this long after the longest deadline is killed.
TERMINATION_GRACE_S = 0.7
UPGRADE_READY_TIMEOUT_S = 6.0  # for the new process of an upgrade to be ready
POLL_INTERVAL_S = 0.05
SEED_MEMBERS = 3  # members whose addresses all others are configured with
NODE_PORT = 26380
DISCOVERY_PORT = 28500
ADMIN_PORT = 25000
_LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """Have the kernel kill this process with its parent; runs in the child, before exec."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process and its log."""

    def __init__(
        self, command: list[str], log: Path, environment: dict[str, str], *fds: int
    ) -> None:
        """Start the process; it inherits the descriptors `fds`."""
        with log.open("ab") as file:
            self.popen = subprocess.Popen(
                command,
                env=os.environ | environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                pass_fds=fds,
                preexec_fn=_die_with_parent,  # noqa: PLW1509 - no thread runs here
            )
        self.pause_count = 0  # pauses that have not ended yet
        self.end_requested = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            self.popen.send_signal(number)

    def pause(self) -> None:
        """Stop the process with SIGSTOP; each pause needs its own `resume`."""
        self.pause_count += 1
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """End one pause; the process continues when none is left."""
        self.pause_count -= 1
        if self.pause_count == 0:
            self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.end_requested = True
        if self.is_running:
            self.popen.kill()
        self.popen.wait()


class ProcessHost(BaseRun):
    """What the processes of a run need of it; the run itself is in `process_run.py`."""

    folder: Path  # of the run's files
    control_path: Any  # of the Unix socket for the control connections of child processes
    subnets: dict[str, str]  # the first two numbers of each node's loopback addresses, by name

    def peer_address(self, node: str, peer: str) -> tuple[str, int]:
        """Return the address at which a node reaches the peer port of another."""
        raise NotImplementedError

    def server_addresses(self, subnet: str) -> list[str]:
        """Return the addresses at which a node reaches the origin and each cache server."""
        raise NotImplementedError

    def refuse_connections(self, name: str, is_refusing: bool) -> None:
        """Set whether connections to a process are refused."""
        raise NotImplementedError

    def send_admin_command(
        self, address: tuple[str, int], command: str, on_answer: Callable[[bool], None]
    ) -> None:
        """Send an admin command; `on_answer` is called with whether the answer is YES."""
        raise NotImplementedError

    def accept_when_serving(self, node: NodeProcess) -> None:
        """Stop refusing connections to a node once its new process serves."""
        raise NotImplementedError


class Child:
    """A process of the testbed, a relay or fake servers, with its control connection."""

    def __init__(
        self, run: ProcessHost, name: str, module: str, create_options: Callable[[], dict[str, Any]]
    ) -> None:
        """Describe the process; `create_options` is called for each start of it."""
        self.run = run
        self.name = name
        self.module = module
        self.create_options = create_options
        self.process: Process | None = None
        self.control: ControlConnection | None = None
        self.is_ready = False
        self.starts = 0
        self.pending_commands: list[tuple[Any, ...]] = []  # sent once the process is ready
        self.on_ready: list[Callable[[], None]] = []  # called once, when the process is ready

    def start(self) -> None:
        """Start the process."""
        run = self.run
        self.starts = self.starts + 1
        options = self.create_options() | {
            "name": self.name,
            "control": run.control_path,
            "begun": run.started_at,
            "seed": run.seed * 100 + self.starts,
            "history": str(run.folder / f"{self.name}.history"),
        }
        path = run.folder / f"{self.name}.json"
        path.write_text(json.dumps(options))
        command = [sys.executable, "-m", self.module, str(path)]
        self.process = Process(command, run.folder / f"{self.name}.log", {})

    def set_ready(self, control: ControlConnection) -> None:
        """Send the pending commands, now that the process is ready."""
        self.control = control
        self.is_ready = True
        for command in self.pending_commands:
            control.send(*command)
        self.pending_commands.clear()
        for callback in self.on_ready:
            callback()
        self.on_ready.clear()

    def send_command(self, *command: Any) -> None:
        """Send a command now, or once the process is ready."""
        if self.is_ready and self.control is not None:
            self.control.send(*command)
        else:
            self.pending_commands.append(command)

    def kill(self) -> None:
        """Kill the process."""
        self.is_ready = False
        self.control = None
        if self.process is not None:
            self.process.kill()


class NodeProcess:
    """A node on loopback: its addresses, its files and the process that runs now.

    `node` is the object itself while a process runs, and None otherwise; faults test it in both
    clocks.
    """

    def __init__(self, run: ProcessHost, name: str, subnet: str) -> None:
        self.run = run
        self.name = name
        self.subnet = subnet
        self.address = f"{subnet}.0.1"
        self.starts = self.reloads = 0
        self.process: Process | None = None
        self.previous_process: Process | None = None  # during an upgrade, while it still serves
        self.node: NodeProcess | None = None
        self.log = run.folder / f"{name}.log"
        # The listening socket for clients, where an upgrade needs the processes to inherit it.
        self.inherited_socket: socket.socket | None = None
        if any(
            fault.what == "node_upgrade" and fault.whom == name for fault in run.experiment.fault
        ):
            self.inherited_socket = socket.socket()
            self.inherited_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.inherited_socket.bind((self.address, NODE_PORT))
            self.inherited_socket.listen(4096)

    def admin_address(self) -> tuple[str, int]:
        """Return the address of the admin endpoint; each process has its own port."""
        return self.address, ADMIN_PORT + self.starts

    def start(self) -> None:
        """Write the configuration files, and start a process with them."""
        run = self.run
        self.starts = self.starts + 1
        path = run.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config()))
        run.history.add(run.now(), "start", self.name)
        shared_folder = run.folder / f"{self.name}.shared"
        shared_folder.mkdir(exist_ok=True)
        environment = {"PROXY_CONFIG": str(path), "TMPDIR": str(shared_folder)}
        if lines := self.operator_config():
            operator_file = run.folder / f"{self.name}.toml"
            operator_file.write_text("\n".join(lines) + "\n")
            environment["HOOKPITCH_CONFIG"] = str(operator_file)
        fds = []
        if self.inherited_socket is not None:
            fds = [self.inherited_socket.fileno()]
            environment["PROXY_INHERITED_FD"] = str(fds[0])
        flags = [] if run.experiment.nodes.debug else ["-O"]
        command = [sys.executable, *flags, "-m", "hookpitch"]
        self.process = Process(command, self.log, environment, *fds)
        self.node = self
        run.accept_when_serving(self)

    def operator_config(self) -> list[str]:
        """Return the lines of the operator's file; none if the experiment enables nothing in it."""
        run = self.run
        nodes = self.run.experiment.nodes
        lines = list[str]()
        if nodes.snapshot_s:
            lines += [
                "[snapshot]",
                f'path = "{run.folder}/{{name}}.snapshot"',
                f'fleet = "{run.experiment.name}"',
                f"every_s = {nodes.snapshot_s}",
            ]
        if nodes.members:
            addresses = {
                other: f"{run.subnets[other]}.0.1:{nodes.peer_port}" for other in run.subnets
            }
            seeds = ", ".join(f'"{address}"' for address in list(addresses.values())[:SEED_MEMBERS])
            lines += [
                "[members]",
                f'listen = "{addresses[self.name]}"',
                f'fleet = "{run.experiment.name}"',
            ]
            # Each node reaches another through a relay, at an address in its own subnet.
            lines += [f"seeds = [{seeds}]", "[members.dial]"]
            for other, address in addresses.items():
                if other != self.name:
                    host, port = run.peer_address(self.name, other)
                    lines.append(f'"{address}" = "{host}:{port}"')
                    # The other node's gossip names a server by its address in the other node's
                    # subnet; here that address stands for the one in this node's subnet.
                    own_addresses = run.server_addresses(self.subnet)
                    their_addresses = run.server_addresses(run.subnets[other])
                    lines += [
                        f'"{theirs}" = "{own}"'
                        for own, theirs in zip(own_addresses, their_addresses, strict=True)
                    ]
        return lines

    def config(self) -> dict[str, Any]:
        """Return the node's configuration, as the platform writes it."""
        host, admin_port = self.admin_address()
        config = self.run.node_config(self, f"{self.subnet}.2.1:{DISCOVERY_PORT}", self.subnet)
        return config | {
            "listen": f"{self.address}:{NODE_PORT}",
            "management": f"{host}:{admin_port}",
        }

    def reload(self, malformed: int) -> None:
        """Rewrite the configuration file and send SIGHUP.

        `malformed` from 1 selects a form of the file that the node must reject; 0 is for a valid
        one.
        """
        (self.run.folder / f"{self.name}.json").write_text(
            self.run.config_text(self, self.config(), malformed)
        )
        for process in (self.process, self.previous_process):
            if process is not None:
                process.signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process; from then on its links refuse connections."""
        if self.process is not None and self.node is not None:
            self.run.history.add(self.run.now(), "stop", self.name)
            self.run.refuse_connections(self.name, True)
            self.process.kill()
        self.node = None

    def terminate(self) -> None:
        """Send SIGTERM, which starts a graceful shutdown."""
        if self.process is not None:
            self.process.end_requested = True
            self.process.signal(signal.SIGTERM)

    def pause(self, seconds: float) -> None:
        """Stop the process for a while."""
        process = self.process
        if process is not None:
            process.pause()
            self.run.network.call_at(self.run.network.now + seconds, None, process.resume)

    def upgrade(self) -> None:
        """Start a second process; the first one gets SIGTERM once the second is ready."""
        if self.node is None or self.previous_process is not None:
            return
        self.previous_process = self.process
        self.start()
        self._poll_upgrade(self.previous_process, self.run.now() + UPGRADE_READY_TIMEOUT_S * 1000)

    def _poll_upgrade(self, old: Process, latest_ms: float) -> None:
        """Ask the new process whether it is ready, until `latest_ms`."""
        run = self.run

        def on_answer(is_ready: bool) -> None:
            if not is_ready:
                if run.now() > latest_ms:
                    run.history.add(
                        run.now(), "call", self.name, what="late: a new process says no for 6 s"
                    )
                    return
                run.network.call_at(
                    run.network.now + POLL_INTERVAL_S, None, self._poll_upgrade, old, latest_ms
                )
                return
            old.end_requested = True
            old.signal(signal.SIGTERM)
            longest_deadline_s = max(method.hard_ms for method in run.experiment.method) / 1000
            run.network.call_at(
                run.network.now + longest_deadline_s + TERMINATION_GRACE_S,
                None,
                self._finish_upgrade,
                old,
            )

        run.send_admin_command(self.admin_address(), "STATUS", on_answer)

    def _finish_upgrade(self, old: Process) -> None:
        old.kill()
        if self.previous_process is old:
            self.previous_process = None

    def fail_upgrade(self) -> None:
        """Start a second process that is killed right away; the first one continues to serve."""
        if self.node is None or self.previous_process is not None:
            return
        first = self.process
        starts = self.starts
        self.start()
        second = self.process
        self.process = first
        self.run.network.call_at(self.run.network.now + POLL_INTERVAL_S, None, second.kill)
        self.starts = starts

    def clean_up(self) -> None:
        """Kill all processes of the node and close its socket."""
        for process in (self.process, self.previous_process):
            if process is not None:
                process.kill()
        if self.inherited_socket is not None:
            self.inherited_socket.close()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the lines of the node's log; a line that is not JSON is recorded as an error."""
        found = []
        for line in self.log.read_text().splitlines() if self.log.exists() else ():
            with suppress(ValueError):
                found.append(json.loads(line))
                continue
            self.run.network.program_errors.append(f"{self.name}: {line[:200]}")
        return found
