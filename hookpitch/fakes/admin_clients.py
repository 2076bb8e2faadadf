"""Operators at a node's door: calls whose answers are checked, and callers that finish none.

What came of a call goes into the history as `call`: `well`, `wrong: ...` or `late: ...`.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.history import History

WAIT_MS = 1000.0  # for an answer
CALLS = (  # in turn: what is said, and how the answer may begin; None: nothing is asked
    (b"STATUS\n", (b"YES\n", b"NO draining\n", b"NO leaving\n")),
    (b"METRICS\n", b"svc."),
    (b"SUSPEND no-such-server\n", b"NO"),
    (b"STAT", None),
    (b"", None),
    (b"rubbish\r\n", b"NO"),
    (b"x" * 3000, b"NO"),
    (b"STATUS now\n", b"NO"),
)


class Call(Protocol):
    def __init__(self, calls: Calls, said: bytes, due: bytes | tuple[bytes, ...] | None) -> None:
        self.calls, self.said, self.due, self.got, self.over = calls, said, due, b"", False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(self.said)
        self.calls.reactor.callLater(WAIT_MS / 1000, self.waited)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.got += data

    def waited(self) -> None:
        if self.due is not None and not self.over:
            self.over = True
            self.calls.told(f"late: {self.said[:20]!r} has {self.got[:40]!r} and no end")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.due is None or self.over:
            return
        self.over = True
        whole = self.got.endswith(b"END\n" if self.due == b"svc." else b"\n")
        well = whole and self.got.startswith(self.due)
        self.calls.told(
            "well" if well else f"wrong: {self.said[:20]!r} was answered {self.got[:40]!r}"
        )


class Calls(ClientFactory):
    noisy = False

    def __init__(
        self, reactor: Any, history: History, node: str, door: tuple[str, int], begun: float = 0.0
    ) -> None:
        """`begun`: the run's start on the reactor's clock, in seconds."""
        self.reactor, self.history, self.node, self.door = reactor, history, node, door
        self.begun, self.count = begun, 0

    def start(self, seconds: float, per_s: float) -> None:
        for n in range(int(seconds * per_s)):
            self.reactor.callLater(n / per_s, self.reactor.connectTCP, *self.door, self)

    def buildProtocol(self, addr: object) -> Call:  # noqa: N802
        self.count += 1
        return Call(self, *CALLS[(self.count - 1) % len(CALLS)])

    def told(self, how: str) -> None:
        self.history.add((self.reactor.seconds() - self.begun) * 1000, "call", self.node, what=how)
