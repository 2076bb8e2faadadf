"""A cache server on Twisted: RESP2 as the platform's protocol has it, around the model of one
process.

Faults are its `mood`: "well"; "mute" (takes work, answers nothing); "garbled" (spoils a part of
its answers);
"resets" (breaks a part of its connections under an RPC). `part` is the part of RPCs that meet it.
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
from hookpitch.fakes.cache import FAR, Cache, Job, Make, value
from hookpitch.fakes.history import History
from hookpitch.fakes.origin import Origin

COMMANDS = {b"OBJ.GET": 4, b"OBJ.SET": 5}
PIECE_S = 0.002  # between two pieces of an answer
AT_ONCE = 8  # RPCs of a connection that are begun, one behind the other
RUBBISH = (
    b"$7\r\nshort\r\n",
    b"*3\r\n:1\r\n",
    b"!what\r\n",
    b"$3000000000\r\nv",
    b"*3\r\n$1\r\nv\r\n$-1\r\n$9\r\nx=1\r\n",
)


class Connection(Protocol):
    """One connection: RPCs are begun as they come and answered in their order."""

    def __init__(self, server: CacheServer) -> None:
        self.server, self.ring = server, Ring()
        self.parser = Parser(self.ring, commands_only=True)
        self.due: deque[list[Any]] = deque()  # [job or None, answer or None]
        self.pieces: deque[bytes] = deque()  # of answers: the first is on its way, the others wait
        self.counted = False
        self.node = ""

    def connectionMade(self) -> None:
        server = self.server
        server.history.add(server.now(), "dialled", server.name, what=server.whose(self.transport))
        if server.process is None or not server.process.connected(server.now()):
            self.transport.abortConnection()
            return
        self.counted = True
        server.connections[self] = None
        self.node = server.whose(self.transport)

    def dataReceived(self, data: bytes) -> None:
        self.ring.write(data)
        try:
            while len(self.due) < AT_ONCE:
                words = self.parser.next_value()
                if words is NEED_DATA:
                    break
                if words:
                    self.command(words)
        except ProtocolError:
            self.transport.loseConnection()
        self.flush()

    def command(self, words: list[bytes]) -> None:
        name = words[0].upper()
        if COMMANDS.get(name) != len(words):
            self.due.append(
                [
                    None,
                    b"+OK\r\n" if name in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n",
                ]
            )
            return
        server = self.server
        pairs = dict(p.split(b"=", 1) for p in words[3].split(b",") if b"=" in p)
        job = Job(
            words[2].decode(),
            words[1].decode("latin-1"),
            pairs.get(b"c", b"").decode(),
            self.node,
            server.now(),
        )
        place = [job, None]
        self.due.append(place)
        server.came(job, place, self)

    def flush(self) -> None:
        while self.due and self.due[0][1] is not None:
            self.write(self.due.popleft()[1])
        if len(self.due) < AT_ONCE and len(self.ring) and not self.parser.at_boundary:
            self.dataReceived(b"")

    def write(self, data: bytes) -> None:
        """At once; or in small pieces, each `PIECE_S` after the one before."""
        if not self.server.piece and not self.pieces:
            self.transport.write(data)
            return
        size, idle = self.server.piece or len(data), not self.pieces
        self.pieces.extend(data[at : at + size] for at in range(0, len(data), size))
        if idle:
            self.write_next()

    def write_next(self) -> None:
        if self.pieces and self.transport.connected:
            self.transport.write(self.pieces[0])
            self.server.reactor.callLater(PIECE_S, self.written)

    def written(self) -> None:
        if self.pieces:
            self.pieces.popleft()
            self.write_next()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        server = self.server
        self.pieces.clear()
        server.connections.pop(self, None)
        if self.counted and server.process is not None:
            server.process.disconnected()
        for job, answer in self.due:
            if job is not None and answer is None:
                server.dropped(job)
        self.due.clear()


class CacheServer(Factory):
    """A name in the list, with the process that is behind it now."""

    noisy = False

    def __init__(
        self,
        name: str,
        make: Make,
        reactor: Any,
        history: History,
        origin: Origin,
        chance: random.Random,
        whose: Callable[[Any], str],
        begun: float,
    ) -> None:
        """`whose` names the node behind a transport; `begun`: the run's start on the reactor's
        clock, in
        seconds."""
        self.name, self.make, self.reactor, self.history, self.origin = (
            name,
            make,
            reactor,
            history,
            origin,
        )
        self.chance, self.whose, self.begun = chance, whose, begun
        self.process: Cache | None = None
        self.connections: dict[Connection, None] = {}
        self.places: dict[Job, tuple[list[Any], Connection]] = {}
        self.mood, self.part, self.draining = "well", 1.0, False
        self.piece = 0  # bytes written at a time; 0: an answer at once
        self.size_of: Callable[[str], int] = lambda key: 0  # bytes of a key's value
        self.ports: list[Any] = []
        self._timer: Any = None
        self._timer_at = FAR

    def now(self) -> float:
        return (self.reactor.seconds() - self.begun) * 1000

    def start(self, addresses: Sequence[str], port: int, cold: bool) -> None:
        """A new process listens, on the port at each address."""
        self.process = Cache(self.name, self.make, self.now(), cold, self.chance)
        self.origin.caches[self.name] = self.process
        self.draining = False
        self.ports = [
            self.reactor.listenTCP(port, self, backlog=4096, interface=a) for a in addresses
        ]
        self.history.add(self.now(), "up", self.name, value=self.process.speed(self.now()))

    def die(self) -> None:
        """The process is gone at once, with its keys; whoever runs the machine ends its
        connections."""
        self.history.add(self.now(), "down", self.name)
        for job in list(self.places):
            self.dropped(job)
        self.process = None
        self.origin.caches.pop(self.name, None)
        self.ports = []
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer, self._timer_at = None, FAR
        self.connections.clear()

    def buildProtocol(self, addr: object) -> Connection:
        return Connection(self)

    def came(self, job: Job, place: list[Any], connection: Connection) -> None:
        now, process = self.now(), self.process
        port = connection.transport.getPeer().port
        self.history.add(now, "came", self.name, job.rpc, job.node, port=port)
        if process is None:
            return
        self.places[job] = place, connection
        if self.draining or not process.begin(now, job):
            self.answer(job, b"-BUSY\r\n", "busy")
            return
        if process.fallen():
            self.history.add(now, "fell", self.name, job.rpc, value=process.worst)
            process.worst = 0.0
        self.arm()

    def arm(self) -> None:
        due = self.process.due if self.process is not None else FAR
        if due >= self._timer_at:
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer_at = due
        self._timer = self.reactor.callLater(max(0.0, due - self.now()) / 1000, self.woken)

    def woken(self) -> None:
        self._timer, self._timer_at = None, FAR
        process, now = self.process, self.now()
        if process is None:
            return
        for job in process.ended(now + 1e-6):
            how = process.look_up(now, job)
            if how != "hit":
                self.origin.miss(job.rpc, process)
            if self.mood == "mute" and self.chance.random() < self.part:
                continue
            made = bulk(
                value(job.rpc, job.key, self.name, self.size_of(job.key)) if how == "hit" else None
            )
            self.answer(
                job, b"*3\r\n" + made + bulk(how.encode()) + bulk(process.report(now).encode()), how
            )
        self.arm()

    def answer(self, job: Job, answer: bytes, how: str) -> None:
        place, connection = self.places.pop(job, (None, None))
        if place is None:
            return
        if self.mood == "resets" and self.chance.random() < self.part:
            self.history.add(self.now(), "sent", self.name, job.rpc, "reset")
            job.over = True
            connection.transport.abortConnection()
            return
        if self.mood == "garbled" and how != "busy" and self.chance.random() < self.part:
            answer, how = self.chance.choice(RUBBISH), "rubbish"
        self.history.add(self.now(), "sent", self.name, job.rpc, how)
        job.over = True
        place[1] = answer
        connection.flush()

    def dropped(self, job: Job) -> None:
        self.places.pop(job, None)
        if not job.over:
            self.history.add(self.now(), "dropped", self.name, job.rpc)
            if self.process is not None:
                self.process.dropped(self.now(), job)
