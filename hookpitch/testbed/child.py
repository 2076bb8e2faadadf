"""What every process of the rig has: a control line to the run, a history on disk, a pulse.

The control line is JSON, a list a line, over a Unix socket; where it ends, the process ends.
Events are
written one by one, so that a process that is killed has told all it saw. The pulse tells how late
the process
itself was: a run whose rig fell behind is void.
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

PULSE_S = 0.02
LATE_MS = 5.0  # what is less is not told
LINE_MOST = 1 << 22  # bytes of a control line


class Witness(History):
    """A history that is on disk as soon as it is told."""

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
        line = json.dumps([round(at, 4), kind, who, rpc, what, value, port], separators=(",", ":"))
        os.write(self._file, line.encode() + b"\n")


def witnessed(path: Path) -> list[Event]:
    """What a process told; a line that it was killed in is left out."""
    events = []
    for line in path.read_text().splitlines() if path.exists() else ():
        try:
            events.append(Event(*json.loads(line)))
        except ValueError:
            continue
    return events


class LoopMonitor:
    """How late a loop is: told as `rig` events, in ms."""

    def __init__(self, reactor: Any, history: History, name: str, begun: float) -> None:  # noqa: ANN401
        self.reactor, self.history, self.name, self.begun = reactor, history, name, begun
        self._due = reactor.seconds() + PULSE_S
        reactor.callLater(PULSE_S, self._beat)

    def _beat(self) -> None:
        now = self.reactor.seconds()
        late = (now - self._due) * 1000
        if late > LATE_MS:
            self.history.add((now - self.begun) * 1000, "rig", self.name, value=round(late, 1))
        self._due = now + PULSE_S
        self.reactor.callLater(PULSE_S, self._beat)


class Line(LineOnlyReceiver):
    """A control line, at either end."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_MOST

    def __init__(self, told: Callable[..., None], lost: Callable[[], None]) -> None:
        self.told, self.lost = told, lost

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self.told(*json.loads(line))

    def say(self, *words: Any) -> None:  # noqa: ANN401
        self.sendLine(json.dumps(words, separators=(",", ":")).encode())

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.lost()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, line: Line, made: Callable[[], None], lost: Callable[[], None]) -> None:
        self.line, self.made, self.lost = line, made, lost

    def buildProtocol(self, addr: object) -> Line:  # noqa: N802
        self.line.connectionMade = self.made  # type: ignore[method-assign]
        return self.line

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802
        self.lost()


def run_child(make: Callable[[Any, dict[str, Any], Witness, Line], Callable[..., None]]) -> int:
    """The main function of a process of the rig: reads the file that it is given, makes what it is
    for and
    does what it is told until its line ends. `make` answers with what carries out orders."""
    from twisted.internet import reactor

    given = json.loads(Path(sys.argv[1]).read_text())
    reactor.seconds = time.monotonic
    history = Witness(given["history"])
    orders: list[Callable[..., None]] = []
    line = Line(lambda *words: orders[0](*words), reactor.stop)

    def made() -> None:
        line.say("hello", given["name"])
        try:
            orders.append(make(reactor, given, history, line))
        except Exception as fault:  # noqa: BLE001 - told whole to whoever started it
            line.say("cannot", str(fault))
            return
        LoopMonitor(reactor, history, given["name"], given["begun"])
        line.say("ready")

    reactor.connectUNIX(given["control"], _Dial(line, made, reactor.stop))
    reactor.run(installSignalHandlers=False)
    return 0
