"""Operators' clients of a node's admin endpoint: complete requests and requests without an end.

The answers to complete requests are checked. The result of a check goes into the history as a
`call` event: `well`, `wrong: ...` or `late: ...`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.history import History

ANSWER_TIMEOUT_S = 1.0
METRICS_PREFIX = b"svc."
MAX_QUOTED_REQUEST_BYTES = 20  # in the history
MAX_QUOTED_ANSWER_BYTES = 40  # in the history


class AdminRequest(NamedTuple):
    """Bytes to send, and what the answer may begin with.

    `expected_prefixes` is None if the request is incomplete and no answer is expected.
    """

    data: bytes
    expected_prefixes: bytes | tuple[bytes, ...] | None


REQUESTS = (  # sent one after another, each on its own connection
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
    """Sends one request and records at most one result for it."""

    def __init__(self, clients: AdminClients, request: AdminRequest) -> None:
        self.clients = clients
        self.request = request
        self.received = b""
        self.is_finished = False

    def connectionMade(self) -> None:
        """Send the request and schedule the timeout of its answer."""
        self.transport.write(self.request.data)
        self.clients.reactor.callLater(ANSWER_TIMEOUT_S, self.timed_out)

    def dataReceived(self, data: bytes) -> None:
        """Collect the answer; the node closes the connection after it."""
        self.received += data

    def timed_out(self) -> None:
        """Record the request as late if its answer is incomplete."""
        if self.request.expected_prefixes is None or self.is_finished:
            return
        self.is_finished = True
        self.clients.record(
            f"late: {self._quoted_request()} has {self._quoted_answer()} and no end"
        )

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Compare the complete answer with the expected one and record the result."""
        if self.request.expected_prefixes is None or self.is_finished:
            return
        self.is_finished = True
        if self._answered_as_expected():
            self.clients.record("well")
        else:
            self.clients.record(
                f"wrong: {self._quoted_request()} was answered {self._quoted_answer()}"
            )

    def _answered_as_expected(self) -> bool:
        expected = self.request.expected_prefixes
        end = b"END\n" if expected == METRICS_PREFIX else b"\n"
        return self.received.endswith(end) and self.received.startswith(expected)

    def _quoted_request(self) -> str:
        return repr(self.request.data[:MAX_QUOTED_REQUEST_BYTES])

    def _quoted_answer(self) -> str:
        return repr(self.received[:MAX_QUOTED_ANSWER_BYTES])


class AdminClients(ClientFactory):
    """Sends `REQUESTS` one after another to the admin endpoint of one node."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        history: History,
        node: str,
        address: tuple[str, int],
        run_start_s: float = 0.0,
    ) -> None:
        """Create clients of the admin endpoint at `address`.

        `run_start_s` is the time of the reactor's clock at which the run started.
        """
        self.reactor = reactor
        self.history = history
        self.node = node
        self.address = address
        self.run_start_s = run_start_s
        self.request_count = 0

    def start(self, duration_s: float, rate_per_s: float) -> None:
        """Schedule `rate_per_s` connections a second for `duration_s` seconds."""
        for index in range(int(duration_s * rate_per_s)):
            self.reactor.callLater(index / rate_per_s, self.reactor.connectTCP, *self.address, self)

    def buildProtocol(self, addr: object) -> AdminClientConnection:
        """Return a connection that sends the next request."""
        request = REQUESTS[self.request_count % len(REQUESTS)]
        self.request_count += 1
        return AdminClientConnection(self, request)

    def record(self, result: str) -> None:
        """Add a request's result to the history."""
        now_ms = (self.reactor.seconds() - self.run_start_s) * 1000
        self.history.add(now_ms, "call", self.node, what=result)
