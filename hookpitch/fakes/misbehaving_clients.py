"""Clients that send malformed requests, unfinished requests or nothing at all."""

from __future__ import annotations

import random
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.fakes.load_clients import CONNECT_TIMEOUT_S, LoadClients
from hookpitch.fakes.timer import MS_PER_S

MALFORMED_REQUESTS = (
    b"*1\r\n$-5\r\n",
    b"\x00\xff\x13\x37" * 20 + b"\r\n",
    b"*4\r\n$7\r\nOBJ.GET\r\n$99999999999\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$7\r\nOBJ.GET\r\n$3\r\nabcdef\r\n",
    b"*2000000\r\n",
)
UNFINISHED_REQUESTS = (
    b"*4\r\n$7\r\nOBJ.GET\r\n$3\r\nk",
    b"*4\r\n",
    b"*5\r\n$7\r\nOBJ.SET\r\n$3\r\nkey\r\n$2\r\nr1\r\n$6\r\nc=read\r\n$500000\r\nww",
)
SILENT_FRACTION = 1 / 3  # fraction of the connections on which nothing is sent
SEED_OFFSET = 7


class MisbehavingConnection(Protocol):
    """Sends its data and measures how long the node keeps the connection open."""

    def __init__(self, clients: MisbehavingClients, data: bytes) -> None:
        self.clients = clients
        self.data = data
        self.opened_ms = 0.0

    def connectionMade(self) -> None:
        """Send the data, if any."""
        self.opened_ms = self.clients.load_clients.now()
        if self.data:
            self.transport.write(self.data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Record how long the connection was open."""
        self.clients.lifetimes_ms.append(self.clients.load_clients.now() - self.opened_ms)


class MisbehavingClients(ClientFactory):
    """Opens `rate_per_s` connections a second to the nodes in use.

    A connection sends a malformed request or, if `unfinished` is set, only the beginning of a
    request. `lifetimes_ms` holds how long each closed connection was open.
    """

    noisy = False

    def __init__(
        self, load_clients: LoadClients, rate_per_s: float, unfinished: bool = False
    ) -> None:
        self.load_clients = load_clients
        self.rate_per_s = rate_per_s
        self.end_ms = 0.0
        self.requests = UNFINISHED_REQUESTS if unfinished else MALFORMED_REQUESTS
        self.rng = random.Random(load_clients.rpc_count + SEED_OFFSET)
        self.lifetimes_ms: list[float] = []

    def start(self, duration_s: float) -> None:
        """Open connections for `duration_s` seconds."""
        self.end_ms = self.load_clients.now() + duration_s * MS_PER_S
        self._connect_next()

    def _connect_next(self) -> None:
        clients = self.load_clients
        if clients.now() >= self.end_ms:
            return
        node = self.rng.choice(clients.nodes_in_use or list(clients.nodes))
        host, port = clients.nodes[node]
        clients.reactor.connectTCP(host, port, self, timeout=CONNECT_TIMEOUT_S)
        clients.reactor.callLater(self.rng.expovariate(self.rate_per_s), self._connect_next)

    def buildProtocol(self, addr: object) -> MisbehavingConnection:
        """Return a connection that sends a random request or nothing."""
        if self.rng.random() < SILENT_FRACTION:
            return MisbehavingConnection(self, b"")
        return MisbehavingConnection(self, self.rng.choice(self.requests))

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Ignore the failure: a node may refuse such clients."""
