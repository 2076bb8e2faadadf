"""Discovery on Twisted: polls and watches of the endpoint list over HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.discovery import EndpointDirectory, FakeEndpoint, encode_list
from hookpitch.fakes.history import History
from hookpitch.fakes.http_connection import HttpConnection
from hookpitch.fakes.timer import MS_PER_S

HEARTBEAT_S = 2.0  # between two empty lines to a watcher
LIST_PATH = "/v1/servers"
NOT_WATCHING = -1


class DiscoveryConnection(HttpConnection):
    """One connection of a node; `seq`: the version its watch was last notified of."""

    def __init__(self, server: DiscoveryServer) -> None:
        super().__init__()
        self.server = server
        self.seq = NOT_WATCHING
        self.node = ""

    def handle(self, request: h11.Request, body: bytes) -> None:
        """Answer a poll, or begin a watch."""
        server = self.server
        url = urlsplit(request.target.decode())
        query = parse_qs(url.query)
        self.node = server.whose(self.transport)
        if url.path != LIST_PATH:
            self.answer(404, b"")
            return
        if not server.up or not server.take_token():
            server.record_call(self.node, "refused")
            self.answer(503, b"")
            return
        server.record_call(self.node, "served")
        if query.get("follow") != ["1"]:
            seq, hosts = server.directory.snapshot()
            self.answer(
                200, encode_list(seq, True, hosts, server.network_by_node.get(self.node, ""))
            )
            return
        headers = [("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=headers)))
        self.seq = int(query.get("since", ["0"])[0])
        server.watchers[self] = None
        server.notify(self, first=True)

    def write_line(self, text: bytes) -> None:
        """Write one line of a watch."""
        if not self.lost:
            self.transport.write(self.http.send(h11.Data(data=text + b"\n")))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the watch."""
        super().connectionLost(reason)
        self.server.watchers.pop(self, None)


class DiscoveryServer(Factory):
    """Discovery. `up` False: watches are ended and requests answered 503. `calls_per_s`: the rate
    and the burst of the token bucket for requests; 0: unlimited."""

    noisy = False

    def __init__(
        self,
        directory: EndpointDirectory,
        reactor: Any,
        history: History,
        whose: Callable[[Any], str],
        begun: float,
    ) -> None:
        """`whose`: the node behind a transport; `begun`: the run's start, reactor seconds."""
        self.directory = directory
        self.reactor = reactor
        self.history = history
        self.whose = whose
        self.begun = begun
        self.up = True
        self.network_by_node: dict[str, str] = {}  # by node: what replaces `{net}` in addresses
        self.watchers: dict[DiscoveryConnection, None] = {}
        self.calls_per_s = 0.0
        self._tokens = 0.0
        self._refilled = 0.0
        reactor.callLater(HEARTBEAT_S, self._heartbeat)

    def take_token(self) -> bool:
        """Return whether the rate limit allows one more request, and count it."""
        if not self.calls_per_s:
            return True
        now = self.now()
        tokens = self._tokens + (now - self._refilled) * self.calls_per_s / MS_PER_S
        self._tokens = min(max(1.0, self.calls_per_s), tokens)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def record_call(self, node: str, result: str) -> None:
        """Add a node's request to the history."""
        self.history.add(self.now(), "called", node, what=result)

    def start_process(self) -> None:
        """Start a new process, which counts versions from the first."""
        self.watchers.clear()
        self.reactor.callLater(HEARTBEAT_S, self._heartbeat)
        self.resume_serving(restarted=True)

    def now(self) -> float:
        """Return milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.begun) * MS_PER_S

    def buildProtocol(self, addr: object) -> DiscoveryConnection:
        """Return the protocol of a new connection."""
        return DiscoveryConnection(self)

    def put(self, endpoint: FakeEndpoint) -> None:
        """Add or replace an endpoint and notify the watchers."""
        self.directory.put(endpoint)
        self._changed(endpoint.host, endpoint.health)

    def set_health(self, host: str, health: str) -> None:
        """Set an endpoint's health and notify the watchers."""
        self.directory.set_health(host, health)
        self._changed(host, health)

    def _changed(self, host: str, health: str) -> None:
        self.history.add(self.now(), "listed", host, what=health)
        self.reactor.callLater(self.directory.lag_ms / MS_PER_S, self._notify_all)

    def _notify_all(self) -> None:
        for watcher in list(self.watchers):
            self.notify(watcher)

    def notify(self, watcher: DiscoveryConnection, first: bool = False) -> None:
        """Write what changed since the watcher's version; `first`: even if nothing did."""
        changes = self.directory.changes_since(watcher.seq)
        endpoints = changes.endpoints
        if not endpoints and not first:
            return
        watcher.seq = changes.version
        for endpoint in endpoints:
            self._record_notified(watcher, f"{endpoint.host} {endpoint.health}")
        if changes.is_snapshot:
            self._record_notified(watcher, "whole")
        elif not endpoints:
            self._record_notified(watcher, "nothing")
        net = self.network_by_node.get(watcher.node, "")
        watcher.write_line(encode_list(changes.version, changes.is_snapshot, endpoints, net))

    def _record_notified(self, watcher: DiscoveryConnection, what: str) -> None:
        self.history.add(self.now(), "told", watcher.node, what=what)

    def _heartbeat(self) -> None:
        self.reactor.callLater(HEARTBEAT_S, self._heartbeat)
        for watcher in list(self.watchers):
            watcher.write_line(b"")

    def stop_serving(self) -> None:
        """End all watches and refuse requests."""
        self.up = False
        for watcher in list(self.watchers):
            watcher.transport.loseConnection()

    def resume_serving(self, restarted: bool = False) -> None:
        """Serve requests again; `restarted`: as a new process, from the first version."""
        self.up = True
        if restarted:
            self.directory.restart()
