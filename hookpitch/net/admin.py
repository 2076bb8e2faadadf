"""The admin endpoint: each connection of an operator carries one command line and one answer.

Invariants: at most `MAX_WAITING_CONNECTIONS` connections wait for their line at the same time, each
for at most `CONNECTION_TIMEOUT_MS` and `MAX_LINE_BYTES`; the cost of a command does not grow with
the number of open RPCs or clients. The operators' page specifies the commands and their answers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from hookpitch.core.deadlines import Deadline
from hookpitch.net.clock import Clock

MAX_WAITING_CONNECTIONS = 8  # a further connection closes the one that has waited longest
MAX_CLOSING_CONNECTIONS = 4  # further connections, whose answers are still being read
CONNECTION_TIMEOUT_MS = 3000.0  # from the accept of a connection until it is aborted
MAX_LINE_BYTES = 512
YES = b"YES"
NO = b"NO "
END = b"END"
USAGE = "calls are STATUS, METRICS, MEMBERS, SUSPEND ID, RESTORE ID, PAUSE, RESUME"


class AdminTarget(Protocol):
    """Carries out operators' commands; methods that return a reason return '' on success."""

    def not_ready_reason(self) -> str:
        """Return why health checks should fail."""

    def metrics(self) -> list[tuple[str, int]]:
        """Return names and values, in the order in which they are sent."""

    def membership_lines(self) -> list[str]:
        """Return one line per member of the fleet; none where the node is not a member."""

    def suspend(self, backend_id: str) -> str:
        """Ban a backend, or return why the command is rejected."""

    def restore(self, backend_id: str) -> str:
        """End a backend's ban, or return why the command is rejected."""

    def pause(self) -> str:
        """Drain the node, or return why the command is rejected."""

    def resume(self) -> str:
        """End the drain, or return why the command is rejected."""


class AdminConnection(LineOnlyReceiver):
    """One operator's connection."""

    MAX_LENGTH = MAX_LINE_BYTES
    delimiter = b"\n"

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self.deadline: Deadline | None = None

    def connectionMade(self) -> None:
        """Register the connection, which counts towards the limits."""
        self._server.connection_opened(self)

    def lineReceived(self, line: bytes) -> None:
        """Answer the first line and ignore further lines."""
        if self in self._server.waiting:
            self._server.count("door.calls")
            self._answer_and_close(self._server.answer(line.removesuffix(b"\r")))

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reject a line that is too long."""
        if self in self._server.waiting:
            self._answer_and_close(NO + b"a line has at most %d bytes" % MAX_LINE_BYTES)

    def _answer_and_close(self, answer: bytes) -> None:
        """Send an answer and close; the deadline discards bytes that the operator has not read."""
        self._server.waiting.pop(self, None)
        self.transport.write(answer + b"\n")
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the server."""
        self._server.connection_closed(self)


class AdminServer(Factory):
    """Accepts operators' connections and answers their commands."""

    noisy = False

    def __init__(self, clock: Clock, target: AdminTarget, count: Callable[[str], None]) -> None:
        self._clock = clock
        self._target = target
        self.count = count
        self.waiting: dict[AdminConnection, None] = {}  # those without a line, the oldest first
        self.connection_count = 0  # open ones, also those whose answer is being written
        self._commands: dict[bytes, Callable[[], str]] = {
            b"STATUS": target.not_ready_reason,
            b"PAUSE": target.pause,
            b"RESUME": target.resume,
        }
        self._commands_with_id: dict[bytes, Callable[[str], str]] = {
            b"SUSPEND": target.suspend,
            b"RESTORE": target.restore,
        }
        self._listings: dict[bytes, Callable[[], bytes]] = {
            b"METRICS": self._metrics,
            b"MEMBERS": self._members,
        }

    def buildProtocol(self, addr: Any) -> AdminConnection | None:  # noqa: ANN401 - Twisted's own type
        """Return a protocol, or None to close the connection where too many are open.

        Operators that do not read their answers could otherwise hold any number of connections
        until their deadlines.
        """
        if self.connection_count >= MAX_WAITING_CONNECTIONS + MAX_CLOSING_CONNECTIONS:
            return None
        return AdminConnection(self)

    def connection_opened(self, connection: AdminConnection) -> None:
        """Wait for a connection's line; abort the oldest one where too many wait."""
        self.connection_count += 1
        self.waiting[connection] = None
        if len(self.waiting) > MAX_WAITING_CONNECTIONS:
            oldest = next(iter(self.waiting))
            del self.waiting[oldest]
            oldest.transport.abortConnection()
        connection.deadline = self._clock.deadlines.add(
            self._clock.now() + CONNECTION_TIMEOUT_MS,
            lambda _: connection.transport.abortConnection(),
        )

    def connection_closed(self, connection: AdminConnection) -> None:
        """Remove a closed connection."""
        self.waiting.pop(connection, None)
        self.connection_count -= 1
        self._clock.deadlines.cancel(connection.deadline)

    def answer(self, line: bytes) -> bytes:
        """Return the answer to one line, both without a line end."""
        words = line.split()
        name = words[0] if words else b""
        if name in self._listings and len(words) == 1:
            return self._listings[name]()
        reason = self._run(name, words[1:])
        return NO + reason.encode() if reason else YES

    def _run(self, name: bytes, arguments: list[bytes]) -> str:
        """Run one command; return why it was rejected, or ''."""
        if name in self._commands_with_id:
            if len(arguments) != 1:
                return f"{name.decode()} takes one id"
            try:
                backend_id = arguments[0].decode()
            except UnicodeDecodeError:
                return "the id cannot be read"
            return self._commands_with_id[name](backend_id)
        if name in self._commands and not arguments:
            return self._commands[name]()
        if name in self._commands or name == b"METRICS":
            return f"{name.decode()} takes nothing"
        return USAGE

    def _metrics(self) -> bytes:
        lines = [f"svc.{name}={value}\n" for name, value in self._target.metrics()]
        return "".join(lines).encode() + END

    def _members(self) -> bytes:
        lines = self._target.membership_lines()
        if not lines:
            return NO + b"no members here"
        return "\n".join(lines).encode() + b"\n" + END
