"""The operators' door: one line to a connection, one answer, and the connection ends.

Invariants: at most `MAX_CALLERS` connections wait at once, each for `CALL_TIMEOUT_MS` and with
`MAX_LINE_BYTES` at most; no call's work grows with open RPCs or
clients. Words and answers are the operators' page's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from hookpitch.core.deadlines import Deadline
from hookpitch.net.clock import Clock

MAX_CALLERS = 8  # at once; the one that has been silent for longest gives way
MAX_CLOSING = 4  # more, whose answer is still being read
CALL_TIMEOUT_MS = 3000.0  # a caller has its answer in hand by then, or goes
MAX_LINE_BYTES = 512  # bytes
YES, NO = b"YES", b"NO"


class AdminTarget(Protocol):
    """What the door needs of the node. Each call says why not, or nothing where it is done."""

    def not_ready_reason(self) -> str: ...
    def metrics(self) -> list[tuple[str, int]]: ...
    def membership_lines(self) -> list[str]: ...  # of the members, where it is one
    def suspend(self, id: str) -> str: ...
    def restore(self, id: str) -> str: ...
    def pause(self) -> str: ...
    def resume(self) -> str: ...


class AdminConnection(LineOnlyReceiver):
    MAX_LENGTH = MAX_LINE_BYTES
    delimiter = b"\n"

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.deadline: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.server.came(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        # Danger: a caller that goes on writing would have its further lines done as well.
        if self in self.server.waiting:
            self.server.count("door.calls")
            self.say(self.server.answer(line.removesuffix(b"\r")))

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        if self in self.server.waiting:
            self.say(NO + b" a line has at most %d bytes" % MAX_LINE_BYTES)

    def say(self, answer: bytes) -> None:
        """The answer, and the end. What the caller has not read goes with the connection in the
        end."""
        self.server.waiting.pop(self, None)
        self.transport.write(answer + b"\n")
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.server.waiting.pop(self, None)
        self.server.connections -= 1
        self.server.clock.deadlines.cancel(self.deadline)


class AdminServer(Factory):
    noisy = False

    def __init__(self, clock: Clock, node: AdminTarget, count: Callable[[str], None]) -> None:
        self.clock, self.node, self.count = clock, node, count
        self.waiting: dict[AdminConnection, None] = {}  # without an answer yet, the oldest first
        self.connections = 0  # connections, also those whose answer is still being written
        calls = {b"STATUS": node.not_ready_reason, b"PAUSE": node.pause, b"RESUME": node.resume}
        self._plain: dict[bytes, Callable[[], str]] = calls
        self._named: dict[bytes, Callable[[str], str]] = {
            b"SUSPEND": node.suspend,
            b"RESTORE": node.restore,
        }

    def buildProtocol(self, addr: Any) -> AdminConnection | None:  # noqa: ANN401, N802
        # Danger: callers that read nothing hold their connection until its time is up.
        return AdminConnection(self) if self.connections < MAX_CALLERS + MAX_CLOSING else None

    def came(self, caller: AdminConnection) -> None:
        self.connections += 1
        self.waiting[caller] = None
        if len(self.waiting) > MAX_CALLERS:
            first = next(iter(self.waiting))
            del self.waiting[first]
            first.transport.abortConnection()
        caller.deadline = self.clock.deadlines.add(
            self.clock.now() + CALL_TIMEOUT_MS, lambda _: caller.transport.abortConnection()
        )

    def answer(self, line: bytes) -> bytes:
        """The answer to one call, without its line's end."""
        words = line.split()
        name = words[0] if words else b""
        if name == b"METRICS" and len(words) == 1:
            return (
                b"".join(b"svc.%b=%d\n" % (n.encode(), v) for n, v in self.node.metrics()) + b"END"
            )
        if name == b"MEMBERS" and len(words) == 1:
            lines = self.node.membership_lines()
            return "\n".join([*lines, "END"]).encode() if lines else NO + b" no members here"
        if name in self._plain and len(words) == 1:
            why = self._plain[name]()
        elif name in self._named and len(words) == 2:
            try:
                why = self._named[name](words[1].decode())
            except UnicodeDecodeError:
                why = "the id cannot be read"
        elif name in self._named:
            why = f"{name.decode()} takes one id"
        elif name in self._plain or name == b"METRICS":
            why = f"{name.decode()} takes nothing"
        else:
            why = "calls are STATUS, METRICS, MEMBERS, SUSPEND ID, RESTORE ID, PAUSE, RESUME"
        return NO + b" " + why.encode() if why else YES
