"""What every process of the testbed has: a control line to the run, a history on disk, a monitor.

The control line is JSON, a list a line, over a Unix socket; where it ends, the process ends.
Events are written one by one, so that a process that is killed has recorded all it saw. The
monitor records how late the process itself was: a run whose testbed fell behind is void.
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
LEAST_LATENESS_MS = 5.0  # what is less is not recorded
MAX_LINE_BYTES = 1 << 22


class EventRecorder(History):
    """A history that is on disk as soon as an event is added."""

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
    """What a process recorded; a line that it was killed in is left out."""
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
    """Records how late a reactor's loop is, as `rig` events in ms."""

    def __init__(self, reactor: Any, history: History, name: str, begun: float) -> None:
        """`begun`: the run's start on the reactor's clock, in seconds."""
        self._reactor = reactor
        self._history = history
        self._name = name
        self._begun = begun
        self._due = reactor.seconds() + MONITOR_INTERVAL_S
        reactor.callLater(MONITOR_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self._reactor.seconds()
        late_ms = (now - self._due) * 1000
        if late_ms > LEAST_LATENESS_MS:
            at = (now - self._begun) * 1000
            self._history.add(at, "rig", self._name, value=round(late_ms, 1))
        self._due = now + MONITOR_INTERVAL_S
        self._reactor.callLater(MONITOR_INTERVAL_S, self._check)


class ControlConnection(LineOnlyReceiver):
    """A control line, at either end."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, received: Callable[..., None], lost: Callable[[], None]) -> None:
        self._received = received
        self._lost = lost

    def lineReceived(self, line: bytes) -> None:
        """Hand over one message."""
        self._received(*json.loads(line))

    def send(self, *message: Any) -> None:
        """Send one message."""
        self.sendLine(json.dumps(message, separators=(",", ":")).encode())

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The other end is closed."""
        self._lost()


class _LineFactory(ClientFactory):
    """Dials the run with one line."""

    noisy = False

    def __init__(
        self, line: ControlConnection, made: Callable[[], None], lost: Callable[[], None]
    ) -> None:
        self._line = line
        self._made = made
        self._lost = lost

    def buildProtocol(self, addr: object) -> ControlConnection:
        self._line.connectionMade = self._made  # type: ignore[method-assign]
        return self._line

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._lost()


MakeOrders = Callable[[Any, dict[str, Any], EventRecorder, ControlConnection], Callable[..., None]]


def run_child(make: MakeOrders) -> int:
    """The main function of a process of the testbed; returns its exit status.

    Reads the file that it is given, makes what it is for and carries out orders until its line
    ends. `make` returns what carries out orders.
    """
    from twisted.internet import reactor

    given = json.loads(Path(sys.argv[1]).read_text())
    reactor.seconds = time.monotonic
    history = EventRecorder(given["history"])
    orders: list[Callable[..., None]] = []
    line = ControlConnection(lambda *message: orders[0](*message), reactor.stop)

    def made() -> None:
        line.send("hello", given["name"])
        try:
            orders.append(make(reactor, given, history, line))
        except Exception as error:  # noqa: BLE001 - reported whole to the run that started it
            line.send("cannot", str(error))
            return
        LoopMonitor(reactor, history, given["name"], given["begun"])
        line.send("ready")

    reactor.connectUNIX(given["control"], _LineFactory(line, made, reactor.stop))
    reactor.run(installSignalHandlers=False)
    return 0
