"""The processes of a run on loopback: nodes, relays and fake servers, from start to end.

Every process dies with the one that started it, however that one ends (prctl(2),
PR_SET_PDEATHSIG), and is ended by its own process id alone.
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
ENDED_S = 0.7  # past its longest deadline, an old process is killed
READY_S = 6.0  # by then a new process beside an old one says yes
LOOK_S = 0.05
SEEDS = 3  # members that all others know at first
NODE_PORT = 26380
DISCOVERY_PORT = 28500
ADMIN_PORT = 25000
_LIBC = ctypes.CDLL(None, use_errno=True)


def _with_parent() -> None:
    """In the child, before it becomes another program."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process and its log."""

    def __init__(self, words: list[str], log: Path, environment: dict[str, str], *fds: int) -> None:
        with log.open("ab") as file:
            self.popen = subprocess.Popen(
                words,
                env=os.environ | environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                pass_fds=fds,
                preexec_fn=_with_parent,  # noqa: PLW1509 - no thread runs here
            )
        self.stopped = 0  # how many stops are on
        self.asked = False  # its end was asked for

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.running:
            self.popen.send_signal(number)

    def stop(self) -> None:
        """Stop it; stops add up."""
        self.stopped += 1
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Take one stop back."""
        self.stopped -= 1
        if self.stopped == 0:
            self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.asked = True
        if self.running:
            self.popen.kill()
        self.popen.wait()


class ProcessHost(BaseRun):
    """What the processes of a run ask of it; `process_run.py` has the run itself."""

    folder: Path  # of the run's files
    control: Any  # where the control lines of relays and fake servers connect
    nets: dict[str, str]  # the loopback network of each node, by name

    def peer(self, a: str, b: str) -> tuple[str, int]:
        """Where node a reaches node b's peer port."""
        raise NotImplementedError

    def dials(self, net: str) -> list[str]:
        """Where the node of a loopback network reaches the origin and each cache server."""
        raise NotImplementedError

    def refuse(self, name: str, on: bool) -> None:
        """Whether connections to a node are refused from now on."""
        raise NotImplementedError

    def ask(self, door: tuple[str, int], line: str, answered: Callable[[bool], None]) -> None:
        """Send one admin command; `answered` is called with whether the node agreed."""
        raise NotImplementedError

    def when_serving(self, node: NodeProcess) -> None:
        """Begin to ask the node whether it serves yet."""
        raise NotImplementedError


class Child:
    """A process of the rig: a relay or stand-ins, with its control line."""

    def __init__(
        self, run: ProcessHost, name: str, module: str, given: Callable[[], dict[str, Any]]
    ) -> None:
        self.run = run
        self.name = name
        self.module = module
        self.given = given
        self.process: Process | None = None
        self.line: ControlConnection | None = None
        self.ready = False
        self.starts = 0
        self.orders: list[tuple[Any, ...]] = []  # given before it was ready
        self.then: list[Callable[[], None]] = []  # to be done once it is

    def start(self) -> None:
        """Start a process of it."""
        run = self.run
        self.starts = self.starts + 1
        top = self.given() | {
            "name": self.name,
            "control": run.control,
            "begun": run.begun,
            "seed": run.seed * 100 + self.starts,
            "history": str(run.folder / f"{self.name}.history"),
        }
        path = run.folder / f"{self.name}.json"
        path.write_text(json.dumps(top))
        words = [sys.executable, "-m", self.module, str(path)]
        self.process = Process(words, run.folder / f"{self.name}.log", {})

    def is_ready(self, line: ControlConnection) -> None:
        """Its control line is up: send what waited."""
        self.line = line
        self.ready = True
        for words in self.orders:
            line.send(*words)
        self.orders.clear()
        for call in self.then:
            call()
        self.then.clear()

    def order(self, *words: Any) -> None:
        """Send an order, now or once it is ready."""
        if self.ready and self.line is not None:
            self.line.send(*words)
        else:
            self.orders.append(words)

    def kill(self) -> None:
        """Kill its process."""
        self.ready = False
        self.line = None
        if self.process is not None:
            self.process.kill()


class NodeProcess:
    """A node's place on loopback; `node` is itself while a process of it runs."""

    def __init__(self, run: ProcessHost, name: str, net: str) -> None:
        self.run = run
        self.name = name
        self.net = net
        self.address = f"{net}.0.1"
        self.starts = self.reloads = 0
        self.process: Process | None = None
        self.elder: Process | None = None  # the one before it, while it still serves
        self.node: NodeProcess | None = None
        self.log = run.folder / f"{name}.log"
        self.held: socket.socket | None = None  # the clients' socket, where processes inherit it
        if any(f.what == "node_upgrade" and f.whom == name for f in run.experiment.fault):
            self.held = socket.socket()
            self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.held.bind((self.address, NODE_PORT))
            self.held.listen(4096)

    def admin_address(self) -> tuple[str, int]:
        """Where its admin port listens."""
        return self.address, ADMIN_PORT + self.starts

    def start(self) -> None:
        """Start a process with a configuration of now."""
        run = self.run
        self.starts = self.starts + 1
        path = run.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config()))
        run.history.add(run.now(), "start", self.name)
        shared = run.folder / f"{self.name}.shared"
        shared.mkdir(exist_ok=True)
        environment = {"PROXY_CONFIG": str(path), "TMPDIR": str(shared)}
        if sections := self.sections():
            own = run.folder / f"{self.name}.toml"
            own.write_text("\n".join(sections) + "\n")
            environment["HOOKPITCH_CONFIG"] = str(own)
        fds = []
        if self.held is not None:
            fds = [self.held.fileno()]
            environment["PROXY_INHERITED_FD"] = str(fds[0])
        flags = [] if run.experiment.nodes.debug else ["-O"]
        words = [sys.executable, *flags, "-m", "hookpitch"]
        self.process = Process(words, self.log, environment, *fds)
        self.node = self
        run.when_serving(self)

    def sections(self) -> list[str]:
        """The operator's file, by lines; none where nothing is turned on."""
        run = self.run
        x = self.run.experiment.nodes
        lines = list[str]()
        if x.snapshot_s:
            lines += [
                "[snapshot]",
                f'path = "{run.folder}/{{name}}.snapshot"',
                f'fleet = "{run.experiment.name}"',
                f"every_s = {x.snapshot_s}",
            ]
        if x.members:  # each finds another at an address of its own, where a relay listens
            at = {other: f"{run.nets[other]}.0.1:{x.peer_port}" for other in run.nets}
            seeds = ", ".join(f'"{address}"' for address in list(at.values())[:SEEDS])
            lines += [
                "[members]",
                f'listen = "{at[self.name]}"',
                f'fleet = "{run.experiment.name}"',
            ]
            lines += [f"seeds = [{seeds}]", "[members.dial]"]
            for other, address in at.items():
                if other != self.name:
                    host, port = run.peer(self.name, other)
                    lines.append(f'"{address}" = "{host}:{port}"')
                    # What another tells of a server is true in the other's net.
                    mine = run.dials(self.net)
                    theirs = run.dials(run.nets[other])
                    lines += [
                        f'"{there}" = "{here}"' for here, there in zip(mine, theirs, strict=True)
                    ]
        return lines

    def config(self) -> dict[str, Any]:
        """Its file."""
        host, door = self.admin_address()
        config = self.run.node_config(self, f"{self.net}.2.1:{DISCOVERY_PORT}", self.net)
        return config | {"listen": f"{self.address}:{NODE_PORT}", "management": f"{host}:{door}"}

    def reload(self, wrong: int) -> None:
        """SIGHUP, with its file written anew."""
        (self.run.folder / f"{self.name}.json").write_text(
            self.run.config_text(self, self.config(), wrong)
        )
        for process in (self.process, self.elder):
            if process is not None:
                process.signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill its process."""
        if self.process is not None and self.node is not None:
            self.run.history.add(self.run.now(), "stop", self.name)
            self.run.refuse(self.name, True)
            self.process.kill()
        self.node = None

    def leave(self) -> None:
        """SIGTERM."""
        if self.process is not None:
            self.process.asked = True
            self.process.signal(signal.SIGTERM)

    def stop(self, seconds: float) -> None:
        """Stop its process for so many seconds."""
        process = self.process
        if process is not None:
            process.stop()
            self.run.network.call_at(self.run.network.now + seconds, None, process.go_on)

    def upgrade(self) -> None:
        """A second process beside the first, which gets SIGTERM once the new one says yes."""
        if self.node is None or self.elder is not None:
            return
        self.elder = self.process
        self.start()
        self._when_yes(self.elder, self.run.now() + READY_S * 1000)

    def _when_yes(self, old: Process, latest: float) -> None:
        run = self.run

        def answered(yes: bool) -> None:
            if not yes:
                if run.now() > latest:
                    run.history.add(
                        run.now(), "call", self.name, what="late: a new process says no for 6 s"
                    )
                    return
                run.network.call_at(run.network.now + LOOK_S, None, self._when_yes, old, latest)
                return
            old.asked = True
            old.signal(signal.SIGTERM)
            longest = max(m.hard_ms for m in run.experiment.method) / 1000
            run.network.call_at(run.network.now + longest + ENDED_S, None, self._ended, old)

        run.ask(self.admin_address(), "STATUS", answered)

    def _ended(self, old: Process) -> None:
        old.kill()
        if self.elder is old:
            self.elder = None

    def false_start(self) -> None:
        """A second process that dies as soon as it has begun; the first serves on."""
        if self.node is None or self.elder is not None:
            return
        first = self.process
        starts = self.starts
        self.start()
        second = self.process
        self.process = first
        self.run.network.call_at(self.run.network.now + LOOK_S, None, second.kill)
        self.starts = starts

    def end(self) -> None:
        """No process of it is left."""
        for process in (self.process, self.elder):
            if process is not None:
                process.kill()
        if self.held is not None:
            self.held.close()

    def lines(self) -> list[dict[str, Any]]:
        """Its log's lines; what is no JSON is a fault."""
        found = []
        for line in self.log.read_text().splitlines() if self.log.exists() else ():
            with suppress(ValueError):
                found.append(json.loads(line))
                continue
            self.run.network.program_errors.append(f"{self.name}: {line[:200]}")
        return found
