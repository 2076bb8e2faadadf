"""A cache server on Twisted: RESP2 around the model of one process.

`CacheServer.fault_mode` selects a fault: "well" (none), "mute" (jobs run but are not answered),
"garbled" (answers are malformed) or "resets" (the connection is aborted instead of an answer).
`CacheServer.fault_fraction` is the fraction of RPCs that the fault affects.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.core.resp import NEED_DATA, Parser, ProtocolError, bulk
from hookpitch.core.ring import Ring
from hookpitch.fakes.cache import HIT, Cache, CacheSpec, Job, make_value, no_minimum_size
from hookpitch.fakes.history import History
from hookpitch.fakes.origin import Origin
from hookpitch.fakes.timer import EARLY_WAKE_MS, MS_PER_S, JobTimer

WORD_COUNT_BY_COMMAND = {b"OBJ.GET": 4, b"OBJ.SET": 5}
NO_OP_COMMANDS = (b"CLIENT", b"SELECT")  # answered with OK; they have no effect
OK_ANSWER = b"+OK\r\n"
UNKNOWN_COMMAND_ANSWER = b"-ERR unknown command\r\n"
BUSY_ANSWER = b"-BUSY\r\n"
PIECE_INTERVAL_S = 0.002  # time between two pieces of an answer
MAX_PIPELINED_RPCS = 8  # RPCs of one connection that are begun and not yet answered
LISTEN_BACKLOG = 4096
MALFORMED_ANSWERS = (
    b"$7\r\nshort\r\n",
    b"*3\r\n:1\r\n",
    b"!what\r\n",
    b"$3000000000\r\nv",
    b"*3\r\n$1\r\nv\r\n$-1\r\n$9\r\nx=1\r\n",
)


class PendingReply:
    """The place of an answer in the order in which a connection sends its answers."""

    __slots__ = ("answer", "connection", "job")

    def __init__(
        self, connection: CacheConnection, job: Job | None, answer: bytes | None = None
    ) -> None:
        self.connection = connection
        self.job = job  # None if the command is answered without a job
        self.answer = answer


class CacheConnection(Protocol):
    """One connection: RPCs begin as they arrive and are answered in the order of arrival."""

    def __init__(self, server: CacheServer) -> None:
        self.server = server
        self.ring = Ring()
        self.parser = Parser(self.ring, commands_only=True)
        self.replies: deque[PendingReply] = deque()
        self.pieces: deque[bytes] = deque()  # pieces of answers; the first one is being sent
        self.is_in_table = False
        self.node = ""

    def connectionMade(self) -> None:
        """Enter the connection table, or abort the connection if the table is full."""
        server = self.server
        node = server.node_of(self.transport)
        server.history.add(server.now(), "dialled", server.name, what=node)
        if server.process is None or not server.process.accept_connection():
            self.transport.abortConnection()
            return
        self.is_in_table = True
        server.connections[self] = None
        self.node = node

    def dataReceived(self, data: bytes) -> None:
        """Begin the complete commands, up to `MAX_PIPELINED_RPCS` unanswered ones."""
        self.ring.write(data)
        try:
            while len(self.replies) < MAX_PIPELINED_RPCS:
                words = self.parser.next_value()
                if words is NEED_DATA:
                    break
                if words:
                    self._begin_command(words)
        except ProtocolError:
            self.transport.loseConnection()
        self.flush()

    def _begin_command(self, words: list[bytes]) -> None:
        name = words[0].upper()
        if WORD_COUNT_BY_COMMAND.get(name) != len(words):
            answer = OK_ANSWER if name in NO_OP_COMMANDS else UNKNOWN_COMMAND_ANSWER
            self.replies.append(PendingReply(self, None, answer))
            return
        _, key, rpc, extras = words[:4]
        pairs = dict(pair.split(b"=", 1) for pair in extras.split(b",") if b"=" in pair)
        method = pairs.get(b"c", b"").decode()
        job = Job(rpc.decode(), key.decode("latin-1"), method, self.node)
        reply = PendingReply(self, job)
        self.replies.append(reply)
        self.server.begin(job, reply)

    def flush(self) -> None:
        """Write the answers that are next in order, then continue to read."""
        while self.replies and self.replies[0].answer is not None:
            self._write(self.replies.popleft().answer)
        has_room = len(self.replies) < MAX_PIPELINED_RPCS
        if has_room and len(self.ring) and not self.parser.at_boundary:
            self.dataReceived(b"")

    def _write(self, data: bytes) -> None:
        """Write all data at once, or in pieces at intervals of `PIECE_INTERVAL_S`."""
        if not self.server.piece_bytes and not self.pieces:
            self.transport.write(data)
            return
        size = self.server.piece_bytes or len(data)
        was_idle = not self.pieces
        self.pieces.extend(data[start : start + size] for start in range(0, len(data), size))
        if was_idle:
            self._write_piece()

    def _write_piece(self) -> None:
        if self.pieces and self.transport.connected:
            self.transport.write(self.pieces[0])
            self.server.reactor.callLater(PIECE_INTERVAL_S, self._piece_written)

    def _piece_written(self) -> None:
        if self.pieces:
            self.pieces.popleft()
            self._write_piece()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Leave the connection table and cancel the unanswered jobs."""
        server = self.server
        self.pieces.clear()
        server.connections.pop(self, None)
        if self.is_in_table and server.process is not None:
            server.process.release_connection()
        for reply in self.replies:
            if reply.job is not None and reply.answer is None:
                server.cancel(reply.job)
        self.replies.clear()


class CacheServer(Factory):
    """A cache server of the endpoint list, and the process that currently runs for it, if any."""

    noisy = False

    def __init__(
        self,
        name: str,
        spec: CacheSpec,
        reactor: Any,
        history: History,
        origin: Origin,
        rng: random.Random,
        node_of: Callable[[Any], str],
        run_start_s: float,
    ) -> None:
        """Create a server without a process.

        `node_of` returns the name of the node at the other end of a transport. `run_start_s` is
        the time of the reactor's clock at which the run started.
        """
        self.name = name
        self.spec = spec
        self.reactor = reactor
        self.history = history
        self.origin = origin
        self.rng = rng
        self.node_of = node_of
        self.run_start_s = run_start_s
        self.process: Cache | None = None
        self.connections: dict[CacheConnection, None] = {}
        self.fault_mode = "well"
        self.fault_fraction = 1.0
        self.piece_bytes = 0  # bytes of a piece; 0: an answer is written at once
        self.size_of: Callable[[str], int] = no_minimum_size  # minimum bytes of a key's value
        self._replies: dict[Job, PendingReply] = {}
        self._timer = JobTimer(self)

    def now(self) -> float:
        """Return the milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.run_start_s) * MS_PER_S

    def start_process(self, addresses: Sequence[str], port: int, cold: bool) -> None:
        """Start a new process that listens on `port` at each address."""
        self.process = Cache(self.name, self.spec, self.now(), cold, self.rng)
        self.origin.caches[self.name] = self.process
        for address in addresses:
            self.reactor.listenTCP(port, self, backlog=LISTEN_BACKLOG, interface=address)
        self.history.add(self.now(), "up", self.name, value=self.process.speed(self.now()))

    def stop_process(self) -> None:
        """End the process and discard its keys.

        The machine on which the process runs closes the connections.
        """
        self.history.add(self.now(), "down", self.name)
        for job in list(self._replies):
            self.cancel(job)
        self.process = None
        self.origin.caches.pop(self.name, None)
        self._timer.cancel()
        self.connections.clear()

    def buildProtocol(self, addr: object) -> CacheConnection:
        """Return the protocol of a new connection."""
        return CacheConnection(self)

    def begin(self, job: Job, reply: PendingReply) -> None:
        """Pass a job to the process, or answer BUSY if its queue is full."""
        now = self.now()
        process = self.process
        port = reply.connection.transport.getPeer().port
        self.history.add(now, "came", self.name, job.rpc, job.node, port=port)
        if process is None:
            return
        self._replies[job] = reply
        if not process.begin(now, job):
            self._answer(job, BUSY_ANSWER, "busy")
            return
        if process.is_overloaded():
            self.history.add(now, "fell", self.name, job.rpc, value=process.peak_overload)
            process.peak_overload = 0.0
        self._timer.arm(process.next_due_ms)

    def finish_jobs(self) -> None:
        """Answer the jobs that have finished."""
        process = self.process
        now = self.now()
        if process is None:
            return
        for job in process.finish_jobs(now + EARLY_WAKE_MS):
            self._finish(process, job, now)
        if self.process is not None:
            self._timer.arm(self.process.next_due_ms)

    def _finish(self, process: Cache, job: Job, now: float) -> None:
        result = process.look_up(now, job)
        if result != HIT:
            self.origin.record_miss(job.rpc, process)
        if self.fault_mode == "mute" and self.rng.random() < self.fault_fraction:
            return
        value = None
        if result == HIT:
            value = make_value(job.rpc, job.key, self.name, self.size_of(job.key))
        report = process.load_report(now)
        answer = b"*3\r\n" + bulk(value) + bulk(result.encode()) + bulk(report.encode())
        self._answer(job, answer, result)

    def _answer(self, job: Job, answer: bytes, result: str) -> None:
        reply = self._replies.pop(job, None)
        if reply is None:
            return
        if self.fault_mode == "resets" and self.rng.random() < self.fault_fraction:
            self.history.add(self.now(), "sent", self.name, job.rpc, "reset")
            job.is_done = True
            reply.connection.transport.abortConnection()
            return
        if (
            self.fault_mode == "garbled"
            and result != "busy"
            and self.rng.random() < self.fault_fraction
        ):
            answer = self.rng.choice(MALFORMED_ANSWERS)
            result = "rubbish"
        self.history.add(self.now(), "sent", self.name, job.rpc, result)
        job.is_done = True
        reply.answer = answer
        reply.connection.flush()

    def cancel(self, job: Job) -> None:
        """Drop the answer to a job whose connection has closed."""
        self._replies.pop(job, None)
        if not job.is_done:
            self.history.add(self.now(), "dropped", self.name, job.rpc)
            if self.process is not None:
                self.process.cancel(job)
