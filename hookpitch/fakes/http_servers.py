"""The origin and discovery on Twisted: HTTP/1.1 as the platform's protocol has it, cut by h11."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.cache import FAR, Job, value
from hookpitch.fakes.discovery import EndpointDirectory, FakeEndpoint, encode_list
from hookpitch.fakes.history import History
from hookpitch.fakes.origin import Origin

BEAT_S = 2.0  # an empty line comes this often to a watcher


class Http(Protocol):
    """One connection of a server: requests in, one after the other."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER)
        self.asked: h11.Request | None = None
        self.body = b""
        self.lost = False

    def dataReceived(self, data: bytes) -> None:
        self.http.receive_data(data)
        self.read()

    def read(self) -> None:
        try:
            while not self.lost:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self.asked, self.body = event, b""
                elif isinstance(event, h11.Data):
                    self.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.request(self.asked, self.body)
                else:
                    return  # more is needed, an answer is due, or the connection ends
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def request(self, asked: h11.Request, body: bytes) -> None:
        raise NotImplementedError

    def answer(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        if self.lost:
            return
        headers = [("Content-Length", str(len(body))), *(headers or [])]
        parts = [
            self.http.send(h11.Response(status_code=status, headers=headers)),
            self.http.send(h11.Data(data=body)),
            self.http.send(h11.EndOfMessage()),
        ]
        self.transport.write(b"".join(parts))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True


class OriginConnection(Http):
    def __init__(self, server: OriginServer) -> None:
        super().__init__()
        self.server = server
        self.job: Job | None = None
        self.write = False

    def request(self, asked: h11.Request, body: bytes) -> None:
        headers = {k.decode().lower(): v.decode("latin-1") for k, v in asked.headers}
        key = unquote(urlsplit(asked.target.decode()).path[1:], encoding="latin-1")
        if key in ("healthz", "load") and "x-request-id" not in headers:
            return self.answer(200, b"ok")
        pairs = dict(p.split("=", 1) for p in headers.get("x-extras", "").split(",") if "=" in p)
        self.write = asked.method == b"PUT"
        node = self.server.whose(self.transport)
        self.job = Job(
            headers.get("x-request-id", ""), key, pairs.get("c", ""), node, self.server.now()
        )
        self.server.came(self.job, self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        if self.job is not None and not self.job.over:
            self.server.dropped(self.job)


class OriginServer(Factory):
    """The one origin. `slow`: a fault, so many times as slow; `failing`: the part of fetches that
    end
    with 500."""

    noisy = False

    def __init__(
        self,
        origin: Origin,
        reactor: Any,
        history: History,
        chance: random.Random,
        whose: Callable[[Any], str],
        begun: float,
    ) -> None:
        self.origin, self.reactor, self.history, self.chance = origin, reactor, history, chance
        self.whose, self.begun, self.failing, self.name = whose, begun, 0.0, "origin"
        self.size_of: Callable[[str], int] = lambda key: 0  # bytes of a key's value
        self.open: dict[Job, OriginConnection] = {}
        self._timer: Any = None
        self._timer_at = FAR

    def now(self) -> float:
        return (self.reactor.seconds() - self.begun) * 1000

    def buildProtocol(self, addr: object) -> OriginConnection:
        return OriginConnection(self)

    def came(self, job: Job, connection: OriginConnection) -> None:
        now = self.now()
        port = connection.transport.getPeer().port
        self.history.add(now, "came", self.name, job.rpc, job.node, port=port)
        self.open[job] = connection
        if not self.origin.queue.begin(now, job):
            self.end(job, 503, b"busy", "busy", [("X-Not-Run", "1")])
            return
        self.arm()

    def arm(self) -> None:
        due = self.origin.queue.due
        if due < self._timer_at:
            if self._timer is not None and self._timer.active():
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.reactor.callLater(max(0.0, due - self.now()) / 1000, self.woken)

    def woken(self) -> None:
        self._timer, self._timer_at = None, FAR
        for job in self.origin.queue.ended(self.now() + 1e-6):
            connection = self.open.get(job)
            if connection is None:
                continue
            if connection.write:
                self.history.add(self.now(), "effect", self.name, job.rpc)
            if self.chance.random() < self.failing:
                self.end(job, 500, b"failed", "error")
                continue
            self.origin.answered(job.rpc, job.key, connection.write)
            made = value(job.rpc, job.key, self.name, self.size_of(job.key))
            self.end(job, 200, made, "stored" if connection.write else "fetched")
        self.arm()

    def end(
        self,
        job: Job,
        status: int,
        body: bytes,
        how: str,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        connection = self.open.pop(job, None)
        if connection is not None:
            job.over = True
            self.history.add(self.now(), "sent", self.name, job.rpc, how)
            connection.answer(status, body, headers)

    def dropped(self, job: Job) -> None:
        if self.open.pop(job, None) is not None:
            self.history.add(self.now(), "dropped", self.name, job.rpc)
            self.origin.queue.dropped(self.now(), job)

    def die(self) -> None:
        """The process is gone at once, with all its work; whoever runs the machine ends its
        connections."""
        for job in list(self.open):
            self.dropped(job)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer, self._timer_at = None, FAR
        self.origin.forget()


class DiscoveryConnection(Http):
    def __init__(self, server: DiscoveryServer) -> None:
        super().__init__()
        self.server = server
        self.seq = -1  # of what the watcher was told last; -1: it does not watch
        self.node = ""

    def request(self, asked: h11.Request, body: bytes) -> None:
        url = urlsplit(asked.target.decode())
        words = parse_qs(url.query)
        self.node = self.server.whose(self.transport)
        if url.path != "/v1/servers":
            return self.answer(404, b"")
        if not self.server.up or not self.server.takes():
            self.server.called(self.node, "refused")
            return self.answer(503, b"")
        self.server.called(self.node, "served")
        if words.get("follow") != ["1"]:
            seq, hosts = self.server.directory.whole()
            return self.answer(
                200, encode_list(seq, True, hosts, self.server.nets.get(self.node, ""))
            )
        self.transport.write(
            self.http.send(
                h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
            )
        )
        self.seq = int(words.get("since", ["0"])[0])
        self.server.watchers[self] = None
        self.server.tell(self, first=True)

    def say(self, text: bytes) -> None:
        if not self.lost:
            self.transport.write(self.http.send(h11.Data(data=text + b"\n")))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self.server.watchers.pop(self, None)


class DiscoveryServer(Factory):
    """Discovery. `up` False: it ends watches and answers 503; `lag_ms` of its directory: how late
    it
    tells; `calls_per_s`: what it takes, with as many at once after a rest (0: no bound)."""

    noisy = False

    def __init__(
        self,
        directory: EndpointDirectory,
        reactor: Any,
        history: History,
        whose: Callable[[Any], str],
        begun: float,
    ) -> None:
        self.directory, self.reactor, self.history, self.whose = directory, reactor, history, whose
        self.begun, self.up = begun, True
        self.nets: dict[str, str] = {}  # by node: what its servers' addresses begin with
        self.watchers: dict[DiscoveryConnection, None] = {}
        self.calls_per_s, self._room, self._refilled = 0.0, 0.0, 0.0
        reactor.callLater(BEAT_S, self.beat)

    def takes(self) -> bool:
        """Whether there is room for one more call."""
        if not self.calls_per_s:
            return True
        now = self.now()
        grown = self._room + (now - self._refilled) * self.calls_per_s / 1000
        self._room, self._refilled = min(max(1.0, self.calls_per_s), grown), now
        if self._room < 1:
            return False
        self._room -= 1
        return True

    def called(self, node: str, how: str) -> None:
        self.history.add(self.now(), "called", node, what=how)

    def begin(self) -> None:
        """A new process, which counts versions from one."""
        self.watchers.clear()
        self.reactor.callLater(BEAT_S, self.beat)
        self.come_up(anew=True)

    def now(self) -> float:
        return (self.reactor.seconds() - self.begun) * 1000

    def buildProtocol(self, addr: object) -> DiscoveryConnection:
        return DiscoveryConnection(self)

    def put(self, listed: FakeEndpoint) -> None:
        self.directory.put(listed)
        self.history.add(self.now(), "listed", listed.host, what=listed.health)
        self.changed()

    def health(self, host: str, health: str) -> None:
        self.directory.health(host, health)
        self.history.add(self.now(), "listed", host, what=health)
        self.changed()

    def changed(self) -> None:
        self.reactor.callLater(self.directory.lag_ms / 1000, self.tell_all)

    def tell_all(self) -> None:
        for watcher in list(self.watchers):
            self.tell(watcher)

    def tell(self, watcher: DiscoveryConnection, first: bool = False) -> None:
        seq, whole, hosts = self.directory.since(watcher.seq)
        if not hosts and not first:
            return
        watcher.seq = seq
        for listed in hosts:
            self.history.add(
                self.now(), "told", watcher.node, what=f"{listed.host} {listed.health}"
            )
        if whole or not hosts:
            self.history.add(self.now(), "told", watcher.node, what="whole" if whole else "nothing")
        watcher.say(encode_list(seq, whole, hosts, self.nets.get(watcher.node, "")))

    def beat(self) -> None:
        self.reactor.callLater(BEAT_S, self.beat)
        for watcher in list(self.watchers):
            watcher.say(b"")

    def go_down(self) -> None:
        self.up = False
        for watcher in list(self.watchers):
            watcher.transport.loseConnection()

    def come_up(self, anew: bool = False) -> None:
        """`anew`: as a new process that counts versions from one."""
        self.up = True
        if anew:
            self.directory.restart()
