"""The origin on Twisted: HTTP/1.1 around the model of the origin."""

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

HEALTH_PATHS = ("healthz", "load")  # answered at once if the request names no RPC
NOT_EXECUTED_HEADERS = [("X-Not-Run", "1")]


class OriginConnection(HttpConnection):
    """One connection of a node to the origin, with one job at a time."""

    def __init__(self, server: OriginServer) -> None:
        super().__init__()
        self.server = server
        self.job: Job | None = None
        self.is_write = False

    def handle(self, request: h11.Request, body: bytes) -> None:
        """Begin a fetch or a write, or answer a health check at once."""
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
        node = self.server.node_of(self.transport)
        self.job = Job(headers.get("x-request-id", ""), key, pairs.get("c", ""), node)
        self.server.begin(self.job, self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the job if it is unanswered."""
        super().connectionLost(reason)
        if self.job is not None and not self.job.is_done:
            self.server.cancel(self.job)


class OriginServer(Factory):
    """The origin server of a run.

    `failure_fraction` is a fault: the fraction of executed RPCs that are answered with status 500.
    """

    noisy = False
    name = "origin"

    def __init__(
        self,
        origin: Origin,
        reactor: Any,
        history: History,
        rng: random.Random,
        node_of: Callable[[Any], str],
        run_start_s: float,
    ) -> None:
        """Create a server without jobs.

        `node_of` returns the name of the node at the other end of a transport. `run_start_s` is
        the time of the reactor's clock at which the run started.
        """
        self.origin = origin
        self.reactor = reactor
        self.history = history
        self.rng = rng
        self.node_of = node_of
        self.run_start_s = run_start_s
        self.failure_fraction = 0.0
        self.size_of: Callable[[str], int] = no_minimum_size  # minimum bytes of a key's value
        self._connections: dict[Job, OriginConnection] = {}  # by job in flight
        self._timer = JobTimer(self)

    def now(self) -> float:
        """Return the milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.run_start_s) * MS_PER_S

    def buildProtocol(self, addr: object) -> OriginConnection:
        """Return the protocol of a new connection."""
        return OriginConnection(self)

    def begin(self, job: Job, connection: OriginConnection) -> None:
        """Run or queue a job, or answer 503 if the queue is full."""
        now = self.now()
        port = connection.transport.getPeer().port
        self.history.add(now, "came", self.name, job.rpc, job.node, port=port)
        self._connections[job] = connection
        if not self.origin.job_queue.begin(now, job):
            self._answer(job, 503, b"busy", "busy", NOT_EXECUTED_HEADERS)
            return
        self._timer.arm(self.origin.job_queue.next_due_ms)

    def finish_jobs(self) -> None:
        """Answer the jobs that have finished."""
        for job in self.origin.job_queue.finish_jobs(self.now() + EARLY_WAKE_MS):
            connection = self._connections.get(job)
            if connection is not None:
                self._finish(job, connection.is_write)
        self._timer.arm(self.origin.job_queue.next_due_ms)

    def _finish(self, job: Job, is_write: bool) -> None:
        if is_write:
            self.history.add(self.now(), "effect", self.name, job.rpc)
        if self.rng.random() < self.failure_fraction:
            self._answer(job, 500, b"failed", "error")
            return
        if is_write:
            self.origin.invalidate(job.key)
        else:
            self.origin.store_fetched(job.rpc, job.key)
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
        job.is_done = True
        self.history.add(self.now(), "sent", self.name, job.rpc, result)
        connection.answer(status, body, extra_headers)

    def cancel(self, job: Job) -> None:
        """Drop the answer to a job whose connection has closed."""
        if self._connections.pop(job, None) is not None:
            self.history.add(self.now(), "dropped", self.name, job.rpc)
            self.origin.job_queue.cancel(job)

    def stop_process(self) -> None:
        """End the process and cancel all its jobs.

        The machine on which the process runs closes the connections.
        """
        for job in list(self._connections):
            self.cancel(job)
        self._timer.cancel()
        self.origin.restart()
