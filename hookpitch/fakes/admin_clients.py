"""Operators' clients of a node's admin port: requests whose answers are checked, and requests that
are never finished.

The result of a request goes into the history as `call`: `well`, `wrong: ...` or `late: ...`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.history import History

ANSWER_TIMEOUT_S = 1.0
METRICS_PREFIX = b"svc."
MAX_QUOTED_REQUEST_BYTES = 20  # of a request, in the history
MAX_QUOTED_ANSWER_BYTES = 40


class AdminRequest(NamedTuple):
    """Bytes to send, and what the answer may begin with; None: no answer is expected."""

    data: bytes
    expected_prefixes: bytes | tuple[bytes, ...] | None


REQUESTS = (  # sent in turn, each on a connection of its own
    AdminRequest(b"STATUS\n", (b"YES\n", b"NO draining\n", b"NO leaving\n")),
    AdminRequest(b"METRICS\n", METRICS_PREFIX),
    AdminRequest(b"SUSPEND no-such-server\n", b"NO"),
    AdminRequest(b"STAT", None),
    AdminRequest(b"", None),
    AdminRequest(b"rubbish\r\n", b"NO"),
    AdminRequest(b"x" * 3000, b"NO"),
    AdminRequest(b"STATUS now\n", b"NO"),
)


class AdminClientConnection(Protocol):
    """Sends one request and records once how it was answered."""

    def __init__(self, clients: AdminClients, request: AdminRequest) -> None:
        self.clients = clients
        self.request = request
        self.received = b""
        self.finished = False

    def connectionMade(self) -> None:
        """Send the request and start the answer's timeout."""
        self.transport.write(self.request.data)
        self.clients.reactor.callLater(ANSWER_TIMEOUT_S, self.timed_out)

    def dataReceived(self, data: bytes) -> None:
        """Collect the answer: the node closes the connection at its end."""
        self.received += data

    def timed_out(self) -> None:
        """Record the request as late, if an answer is still expected."""
        if self.request.expected_prefixes is None or self.finished:
            return
        self.finished = True
        self.clients.record(
            f"late: {self._quoted_request()} has {self._quoted_answer()} and no end"
        )

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Compare the whole answer with what was expected."""
        if self.request.expected_prefixes is None or self.finished:
            return
        self.finished = True
        if self._answered_as_expected():
            self.clients.record("well")
        else:
            self.clients.record(
                f"wrong: {self._quoted_request()} was answered {self._quoted_answer()}"
            )

    def _answered_as_expected(self) -> bool:
        expected = self.request.expected_prefixes
        ending = b"END\n" if expected == METRICS_PREFIX else b"\n"
        return self.received.endswith(ending) and self.received.startswith(expected)

    def _quoted_request(self) -> str:
        return repr(self.request.data[:MAX_QUOTED_REQUEST_BYTES])

    def _quoted_answer(self) -> str:
        return repr(self.received[:MAX_QUOTED_ANSWER_BYTES])


class AdminClients(ClientFactory):
    """Sends `REQUESTS` in turn to the admin port of one node."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        history: History,
        node: str,
        address: tuple[str, int],
        begun: float = 0.0,
    ) -> None:
        """`address`: of the admin port; `begun`: the run's start on the reactor's clock, s."""
        self.reactor = reactor
        self.history = history
        self.node = node
        self.address = address
        self.begun = begun
        self.count = 0

    def start(self, seconds: float, per_s: float) -> None:
        """Connect `per_s` times a second for so many seconds."""
        for n in range(int(seconds * per_s)):
            self.reactor.callLater(n / per_s, self.reactor.connectTCP, *self.address, self)

    def buildProtocol(self, addr: object) -> AdminClientConnection:
        """Return a connection that sends the next request."""
        request = REQUESTS[self.count % len(REQUESTS)]
        self.count += 1
        return AdminClientConnection(self, request)

    def record(self, result: str) -> None:
        """Add a request's result to the history."""
        now_ms = (self.reactor.seconds() - self.begun) * 1000
        self.history.add(now_ms, "call", self.node, what=result)
