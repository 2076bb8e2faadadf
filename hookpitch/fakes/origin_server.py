"""The origin on Twisted: HTTP/1.1 around the origin's model."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote, urlsplit

import h11
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.cache import Job, make_value, no_minimum_size
from hookpitch.fakes.history import History
from hookpitch.fakes.http_connection import HttpConnection
from hookpitch.fakes.origin import Origin
from hookpitch.fakes.timer import EARLY_WAKE_MS, MS_PER_S, JobTimer

HEALTH_PATHS = ("healthz", "load")  # answered at once, if the request names no RPC
NOT_EXECUTED_HEADERS = [("X-Not-Run", "1")]


class OriginConnection(HttpConnection):
    """One connection of a node to the origin; one job at a time."""

    def __init__(self, server: OriginServer) -> None:
        super().__init__()
        self.server = server
        self.job: Job | None = None
        self.is_write = False

    def handle(self, request: h11.Request, body: bytes) -> None:
        """Begin a fetch or a write, or answer a health check."""
        headers = {
            name.decode().lower(): value.decode("latin-1") for name, value in request.headers
        }
        key = unquote(urlsplit(request.target.decode()).path[1:], encoding="latin-1")
        if key in HEALTH_PATHS and "x-request-id" not in headers:
            self.answer(200, b"ok")
            return
        extras = headers.get("x-extras", "").split(",")
        pairs = dict(pair.split("=", 1) for pair in extras if "=" in pair)
        self.is_write = request.method == b"PUT"
        node = self.server.whose(self.transport)
        self.job = Job(headers.get("x-request-id", ""), key, pairs.get("c", ""), node)
        self.server.begin(self.job, self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the job that is not answered."""
        super().connectionLost(reason)
        if self.job is not None and not self.job.over:
            self.server.cancel(self.job)


class OriginServer(Factory):
    """The one origin. `failing`: a fault, the fraction of RPCs that end with status 500."""

    noisy = False
    name = "origin"

    def __init__(
        self,
        origin: Origin,
        reactor: Any,
        history: History,
        chance: random.Random,
        whose: Callable[[Any], str],
        begun: float,
    ) -> None:
        """`whose`: the node behind a transport; `begun`: the run's start, reactor seconds."""
        self.origin = origin
        self.reactor = reactor
        self.history = history
        self.chance = chance
        self.whose = whose
        self.begun = begun
        self.failing = 0.0
        self.size_of: Callable[[str], int] = no_minimum_size  # bytes of a key's value
        self._connections: dict[Job, OriginConnection] = {}  # of the jobs in flight
        self._timer = JobTimer(self)

    def now(self) -> float:
        """Return milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.begun) * MS_PER_S

    def buildProtocol(self, addr: object) -> OriginConnection:
        """Return the protocol of a new connection."""
        return OriginConnection(self)

    def begin(self, job: Job, connection: OriginConnection) -> None:
        """Queue a job, or answer 503 if the queue is full."""
        now = self.now()
        port = connection.transport.getPeer().port
        self.history.add(now, "came", self.name, job.rpc, job.node, port=port)
        self._connections[job] = connection
        if not self.origin.queue.begin(now, job):
            self._answer(job, 503, b"busy", "busy", NOT_EXECUTED_HEADERS)
            return
        self._timer.arm(self.origin.queue.due)

    def finish_jobs(self) -> None:
        """Answer the jobs that are finished by now."""
        for job in self.origin.queue.finish_jobs(self.now() + EARLY_WAKE_MS):
            connection = self._connections.get(job)
            if connection is not None:
                self._finish(job, connection.is_write)
        self._timer.arm(self.origin.queue.due)

    def _finish(self, job: Job, is_write: bool) -> None:
        if is_write:
            self.history.add(self.now(), "effect", self.name, job.rpc)
        if self.chance.random() < self.failing:
            self._answer(job, 500, b"failed", "error")
            return
        if is_write:
            self.origin.written(job.key)
        else:
            self.origin.fetched(job.rpc, job.key)
        value = make_value(job.rpc, job.key, self.name, self.size_of(job.key))
        self._answer(job, 200, value, "stored" if is_write else "fetched")

    def _answer(
        self,
        job: Job,
        status: int,
        body: bytes,
        result: str,
        extra_headers: list[tuple[str, str]] | None = None,
    ) -> None:
        connection = self._connections.pop(job, None)
        if connection is None:
            return
        job.over = True
        self.history.add(self.now(), "sent", self.name, job.rpc, result)
        connection.answer(status, body, extra_headers)

    def cancel(self, job: Job) -> None:
        """Drop the answer to a job whose connection has ended."""
        if self._connections.pop(job, None) is not None:
            self.history.add(self.now(), "dropped", self.name, job.rpc)
            self.origin.queue.cancel(job)

    def stop_process(self) -> None:
        """End the process with all its jobs; the machine's runner ends its connections."""
        for job in list(self._connections):
            self.cancel(job)
        self._timer.cancel()
        self.origin.restart()
