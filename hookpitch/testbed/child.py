"""What every child process of the testbed has: a control connection, a history file, a monitor.

The control connection carries JSON over a Unix socket, one list per line; when it is closed, the
child process exits. Events are written to disk one by one, so that a process that is killed has
recorded everything it saw. The monitor records how late the process's own event loop was: a run
whose test environment fell behind is void.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from hookpitch.fakes.history import Event, History

MONITOR_INTERVAL_S = 0.02
MIN_RECORDED_LATENESS_MS = 5.0
MAX_LINE_BYTES = 1 << 22


class EventRecorder(History):
    """A history that writes each event to disk as soon as it is added."""

    def __init__(self, path: str) -> None:
        super().__init__()
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def add(
        self,
        at: float,
        kind: str,
        who: str,
        rpc: str = "",
        what: str = "",
        value: float = 0.0,
        port: int = 0,
    ) -> None:
        """Write the event to disk at once."""
        fields = [round(at, 4), kind, who, rpc, what, value, port]
        os.write(self._file, json.dumps(fields, separators=(",", ":")).encode() + b"\n")


def recorded_events(path: Path) -> list[Event]:
    """Return the events that a process recorded, without a line that was cut off by its death."""
    if not path.exists():
        return []
    events = []
    for line in path.read_text().splitlines():
        try:
            events.append(Event(*json.loads(line)))
        except ValueError:
            continue
    return events


class LoopMonitor:
    """Records how late a reactor's event loop is, as `rig` events in ms."""

    def __init__(self, reactor: Any, history: History, name: str, started_at: float) -> None:
        """Start the monitor; `started_at` is the run's start on the reactor's clock, in seconds."""
        self._reactor = reactor
        self._history = history
        self._name = name
        self._started_at = started_at
        self._due = reactor.seconds() + MONITOR_INTERVAL_S
        reactor.callLater(MONITOR_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self._reactor.seconds()
        late_ms = (now - self._due) * 1000
        if late_ms > MIN_RECORDED_LATENESS_MS:
            at = (now - self._started_at) * 1000
            self._history.add(at, "rig", self._name, value=round(late_ms, 1))
        self._due = now + MONITOR_INTERVAL_S
        self._reactor.callLater(MONITOR_INTERVAL_S, self._check)


class ControlConnection(LineOnlyReceiver):
    """Either end of a control connection."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, on_message: Callable[..., None], on_lost: Callable[[], None]) -> None:
        self._on_message = on_message
        self._on_lost = on_lost

    def lineReceived(self, line: bytes) -> None:
        """Pass one message to its handler."""
        self._on_message(*json.loads(line))

    def send(self, *message: Any) -> None:
        """Send one message."""
        self.sendLine(json.dumps(message, separators=(",", ":")).encode())

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report that the connection is closed."""
        self._on_lost()


class _ControlClientFactory(ClientFactory):
    """Connects a child process to the run that has started it."""

    noisy = False

    def __init__(
        self,
        control: ControlConnection,
        on_connected: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._control = control
        self._on_connected = on_connected
        self._on_lost = on_lost

    def buildProtocol(self, addr: object) -> ControlConnection:
        self._control.connectionMade = self._on_connected  # type: ignore[method-assign]
        return self._control

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._on_lost()


# Creates, in a child process, the function that executes the commands of the run.
CommandHandlerFactory = Callable[
    [Any, dict[str, Any], EventRecorder, ControlConnection], Callable[..., None]
]


def run_child(create_handler: CommandHandlerFactory) -> int:
    """Run a child process of the testbed and return its exit status.

    Reads the JSON file that the command line names, creates the command handler and executes
    commands until the control connection is closed.
    """
    from twisted.internet import reactor

    options = json.loads(Path(sys.argv[1]).read_text())
    reactor.seconds = time.monotonic
    history = EventRecorder(options["history"])
    handlers: list[Callable[..., None]] = []  # the command handler, once it is created
    control = ControlConnection(lambda *message: handlers[0](*message), reactor.stop)

    def on_connected() -> None:
        control.send("hello", options["name"])
        try:
            handlers.append(create_handler(reactor, options, history, control))
        except Exception as error:  # noqa: BLE001 - the run that started this process reports it
            control.send("failed", str(error))
            return
        LoopMonitor(reactor, history, options["name"], options["begun"])
        control.send("ready")

    reactor.connectUNIX(
        options["control"], _ControlClientFactory(control, on_connected, reactor.stop)
    )
    reactor.run(installSignalHandlers=False)
    return 0
