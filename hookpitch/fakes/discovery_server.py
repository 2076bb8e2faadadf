"""Discovery on Twisted: serves polls and watches of the endpoint list over HTTP/1.1."""

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

HEARTBEAT_S = 2.0  # time between two empty lines to a watcher
LIST_PATH = "/v1/servers"
NOT_WATCHING = -1


class DiscoveryConnection(HttpConnection):
    """One connection of a node.

    `notified_version` is the latest version that was sent to the node's watch.
    """

    def __init__(self, server: DiscoveryServer) -> None:
        super().__init__()
        self.server = server
        self.notified_version = NOT_WATCHING
        self.node = ""

    def handle(self, request: h11.Request, body: bytes) -> None:
        """Answer a poll or begin a watch."""
        server = self.server
        url = urlsplit(request.target.decode())
        query = parse_qs(url.query)
        self.node = server.node_of(self.transport)
        if url.path != LIST_PATH:
            self.answer(404, b"")
            return
        if not server.is_serving or not server.take_token():
            server.record_request(self.node, "refused")
            self.answer(503, b"")
            return
        server.record_request(self.node, "served")
        if query.get("follow") != ["1"]:
            version, endpoints = server.directory.snapshot()
            self.answer(
                200,
                encode_list(version, True, endpoints, server.network_by_node.get(self.node, "")),
            )
            return
        headers = [("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=headers)))
        self.notified_version = int(query.get("since", ["0"])[0])
        server.watchers[self] = None
        server.notify(self, is_first=True)

    def write_line(self, text: bytes) -> None:
        """Write one line of a watch."""
        if not self.is_closed:
            self.transport.write(self.http.send(h11.Data(data=text + b"\n")))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the watch."""
        super().connectionLost(reason)
        self.server.watchers.pop(self, None)


class DiscoveryServer(Factory):
    """The discovery server.

    Requests are answered 503 unless `is_serving` is set. `calls_per_s` is both the rate and the
    burst of the token bucket for requests; 0 stands for no limit.
    """

    noisy = False

    def __init__(
        self,
        directory: EndpointDirectory,
        reactor: Any,
        history: History,
        node_of: Callable[[Any], str],
        run_start_s: float,
    ) -> None:
        """Create a server and start its heartbeat.

        `node_of` returns the name of the node at the other end of a transport. `run_start_s` is
        the time of the reactor's clock at which the run started.
        """
        self.directory = directory
        self.reactor = reactor
        self.history = history
        self.node_of = node_of
        self.run_start_s = run_start_s
        self.is_serving = True
        self.network_by_node: dict[str, str] = {}  # what replaces `{net}` in addresses, by node
        self.watchers: dict[DiscoveryConnection, None] = {}
        self.calls_per_s = 0.0
        self._tokens = 0.0
        self._refilled_ms = 0.0
        reactor.callLater(HEARTBEAT_S, self._heartbeat)

    def take_token(self) -> bool:
        """Take a token for one request; return False if the bucket has none."""
        if not self.calls_per_s:
            return True
        now = self.now()
        tokens = self._tokens + (now - self._refilled_ms) * self.calls_per_s / MS_PER_S
        self._tokens = min(max(1.0, self.calls_per_s), tokens)
        self._refilled_ms = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def record_request(self, node: str, result: str) -> None:
        """Add a request of a node to the history."""
        self.history.add(self.now(), "called", node, what=result)

    def restart_process(self) -> None:
        """Start a new process, whose versions begin at the first one."""
        self.watchers.clear()
        self.reactor.callLater(HEARTBEAT_S, self._heartbeat)
        self.resume_serving(restarted=True)

    def now(self) -> float:
        """Return the milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.run_start_s) * MS_PER_S

    def buildProtocol(self, addr: object) -> DiscoveryConnection:
        """Return the protocol of a new connection."""
        return DiscoveryConnection(self)

    def put(self, endpoint: FakeEndpoint) -> None:
        """Add or replace an endpoint and schedule the notification of the watchers."""
        self.directory.put(endpoint)
        self._record_change(endpoint.host, endpoint.health)

    def set_health(self, host: str, health: str) -> None:
        """Set the health of an endpoint and schedule the notification of the watchers."""
        self.directory.set_health(host, health)
        self._record_change(host, health)

    def _record_change(self, host: str, health: str) -> None:
        self.history.add(self.now(), "listed", host, what=health)
        self.reactor.callLater(self.directory.lag_ms / MS_PER_S, self._notify_all)

    def _notify_all(self) -> None:
        for watcher in list(self.watchers):
            self.notify(watcher)

    def notify(self, watcher: DiscoveryConnection, is_first: bool = False) -> None:
        """Send a watcher the changes since the version that it was last notified of.

        Without changes, a line is written only if `is_first` is set.
        """
        changes = self.directory.changes_since(watcher.notified_version)
        endpoints = changes.endpoints
        if not endpoints and not is_first:
            return
        watcher.notified_version = changes.version
        for endpoint in endpoints:
            self._record_notified(watcher, f"{endpoint.host} {endpoint.health}")
        if changes.is_snapshot:
            self._record_notified(watcher, "whole")
        elif not endpoints:
            self._record_notified(watcher, "nothing")
        network = self.network_by_node.get(watcher.node, "")
        watcher.write_line(encode_list(changes.version, changes.is_snapshot, endpoints, network))

    def _record_notified(self, watcher: DiscoveryConnection, change: str) -> None:
        self.history.add(self.now(), "told", watcher.node, what=change)

    def _heartbeat(self) -> None:
        self.reactor.callLater(HEARTBEAT_S, self._heartbeat)
        for watcher in list(self.watchers):
            watcher.write_line(b"")

    def stop_serving(self) -> None:
        """End all watches and answer requests with 503."""
        self.is_serving = False
        for watcher in list(self.watchers):
            watcher.transport.loseConnection()

    def resume_serving(self, restarted: bool = False) -> None:
        """Serve requests again; if `restarted`, restart the versions at the first one."""
        self.is_serving = True
        if restarted:
            self.directory.restart()
