"""A cache server on Twisted: RESP2 around the model of one process.

Its faults are its `mood`: "well"; "mute" (jobs run and are not answered); "garbled" (some answers
are malformed); "resets" (some connections are aborted in place of an answer). `part` is the
fraction of RPCs that meet the fault.
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

WORDS_OF_COMMANDS = {b"OBJ.GET": 4, b"OBJ.SET": 5}
ACCEPTED_COMMANDS = (b"CLIENT", b"SELECT")  # answered with OK, without effect
OK_ANSWER = b"+OK\r\n"
UNKNOWN_COMMAND_ANSWER = b"-ERR unknown command\r\n"
BUSY_ANSWER = b"-BUSY\r\n"
PIECE_INTERVAL_S = 0.002  # between two pieces of an answer
MAX_PIPELINED_RPCS = 8  # of a connection, begun and not yet answered
LISTEN_BACKLOG = 4096
MALFORMED_ANSWERS = (
    b"$7\r\nshort\r\n",
    b"*3\r\n:1\r\n",
    b"!what\r\n",
    b"$3000000000\r\nv",
    b"*3\r\n$1\r\nv\r\n$-1\r\n$9\r\nx=1\r\n",
)


class PendingReply:
    """The place of an answer in a connection's order of answers."""

    __slots__ = ("answer", "connection", "job")

    def __init__(
        self, connection: CacheConnection, job: Job | None, answer: bytes | None = None
    ) -> None:
        self.connection = connection
        self.job = job  # None: answered without one
        self.answer = answer


class CacheConnection(Protocol):
    """One connection: RPCs are begun as they come and answered in their order."""

    def __init__(self, server: CacheServer) -> None:
        self.server = server
        self.ring = Ring()
        self.parser = Parser(self.ring, commands_only=True)
        self.replies: deque[PendingReply] = deque()
        self.pieces: deque[bytes] = deque()  # of answers: the first is being sent, the others wait
        self.in_table = False
        self.node = ""

    def connectionMade(self) -> None:
        """Take a place in the connection table, or abort the connection if it is full."""
        server = self.server
        node = server.whose(self.transport)
        server.history.add(server.now(), "dialled", server.name, what=node)
        if server.process is None or not server.process.accept_connection():
            self.transport.abortConnection()
            return
        self.in_table = True
        server.connections[self] = None
        self.node = node

    def dataReceived(self, data: bytes) -> None:
        """Begin the commands that are complete, up to `MAX_PIPELINED_RPCS`."""
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
        if WORDS_OF_COMMANDS.get(name) != len(words):
            answer = OK_ANSWER if name in ACCEPTED_COMMANDS else UNKNOWN_COMMAND_ANSWER
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
        """Write the answers whose turn it is, then read on."""
        while self.replies and self.replies[0].answer is not None:
            self._write(self.replies.popleft().answer)
        has_room = len(self.replies) < MAX_PIPELINED_RPCS
        if has_room and len(self.ring) and not self.parser.at_boundary:
            self.dataReceived(b"")

    def _write(self, data: bytes) -> None:
        """Write at once, or in small pieces, `PIECE_INTERVAL_S` after each other."""
        if not self.server.piece and not self.pieces:
            self.transport.write(data)
            return
        size = self.server.piece or len(data)
        idle = not self.pieces
        self.pieces.extend(data[at : at + size] for at in range(0, len(data), size))
        if idle:
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
        """Leave the connection table and cancel the jobs that are not answered."""
        server = self.server
        self.pieces.clear()
        server.connections.pop(self, None)
        if self.in_table and server.process is not None:
            server.process.release_connection()
        for reply in self.replies:
            if reply.job is not None and reply.answer is None:
                server.cancel(reply.job)
        self.replies.clear()


class CacheServer(Factory):
    """A server of the endpoint list, with the process that runs behind its name now, if any."""

    noisy = False

    def __init__(
        self,
        name: str,
        spec: CacheSpec,
        reactor: Any,
        history: History,
        origin: Origin,
        chance: random.Random,
        whose: Callable[[Any], str],
        begun: float,
    ) -> None:
        """`whose`: the node behind a transport; `begun`: the run's start, reactor seconds."""
        self.name = name
        self.spec = spec
        self.reactor = reactor
        self.history = history
        self.origin = origin
        self.chance = chance
        self.whose = whose
        self.begun = begun
        self.process: Cache | None = None
        self.connections: dict[CacheConnection, None] = {}
        self.mood = "well"
        self.part = 1.0
        self.piece = 0  # bytes written at a time; 0: a whole answer
        self.size_of: Callable[[str], int] = no_minimum_size  # bytes of a key's value
        self._replies: dict[Job, PendingReply] = {}
        self._timer = JobTimer(self)

    def now(self) -> float:
        """Return milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.begun) * MS_PER_S

    def start_process(self, addresses: Sequence[str], port: int, cold: bool) -> None:
        """Start a new process that listens on the port at each address."""
        self.process = Cache(self.name, self.spec, self.now(), cold, self.chance)
        self.origin.caches[self.name] = self.process
        for address in addresses:
            self.reactor.listenTCP(port, self, backlog=LISTEN_BACKLOG, interface=address)
        self.history.add(self.now(), "up", self.name, value=self.process.speed(self.now()))

    def stop_process(self) -> None:
        """End the process with its keys; the machine's runner ends its connections."""
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
        """Give a job to the process, or answer BUSY if its queue is full."""
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
        if process.has_crashed():
            self.history.add(now, "fell", self.name, job.rpc, value=process.overload)
            process.overload = 0.0
        self._timer.arm(process.due)

    def finish_jobs(self) -> None:
        """Answer the jobs that are finished by now."""
        process = self.process
        now = self.now()
        if process is None:
            return
        for job in process.finish_jobs(now + EARLY_WAKE_MS):
            self._finish(process, job, now)
        if self.process is not None:
            self._timer.arm(self.process.due)

    def _finish(self, process: Cache, job: Job, now: float) -> None:
        result = process.look_up(now, job)
        if result != HIT:
            self.origin.record_miss(job.rpc, process)
        if self.mood == "mute" and self.chance.random() < self.part:
            return
        value = None
        if result == HIT:
            value = make_value(job.rpc, job.key, self.name, self.size_of(job.key))
        report = process.report(now)
        answer = b"*3\r\n" + bulk(value) + bulk(result.encode()) + bulk(report.encode())
        self._answer(job, answer, result)

    def _answer(self, job: Job, answer: bytes, result: str) -> None:
        reply = self._replies.pop(job, None)
        if reply is None:
            return
        if self.mood == "resets" and self.chance.random() < self.part:
            self.history.add(self.now(), "sent", self.name, job.rpc, "reset")
            job.over = True
            reply.connection.transport.abortConnection()
            return
        if self.mood == "garbled" and result != "busy" and self.chance.random() < self.part:
            answer = self.chance.choice(MALFORMED_ANSWERS)
            result = "rubbish"
        self.history.add(self.now(), "sent", self.name, job.rpc, result)
        job.over = True
        reply.answer = answer
        reply.connection.flush()

    def cancel(self, job: Job) -> None:
        """Drop the answer to a job whose connection has ended."""
        self._replies.pop(job, None)
        if not job.over:
            self.history.add(self.now(), "dropped", self.name, job.rpc)
            if self.process is not None:
                self.process.cancel(job)
