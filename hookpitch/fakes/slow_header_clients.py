"""Honest clients that write a request slowly, a few bytes at a time."""

from __future__ import annotations

import random

from hookpitch.fakes.load_clients import (
    GRACE_MS,
    ClientConnection,
    ClientConnector,
    LoadClients,
    encode_request,
)
from hookpitch.fakes.timer import MS_PER_S
from hookpitch.fakes.traffic import ClientRpc

# No pause between two pieces may reach 250 ms: after it, the node may close the connection.
PIECES = 12
MAX_WRITE_MS = 1800.0  # for a whole request: the node must wait 2 s for one
SEED_OFFSET = 11


class SlowHeaderConnection(ClientConnection):
    """Writes its request in pieces; the RPC counts as sent with the last of them."""

    def send(self, rpc: ClientRpc) -> None:
        """Schedule the pieces of the request."""
        request = encode_request(rpc)
        span_s = self.clients.chance.random() * MAX_WRITE_MS / MS_PER_S
        for n in range(PIECES):
            piece = request[len(request) * n // PIECES : len(request) * (n + 1) // PIECES]
            is_last = n == PIECES - 1
            delay_s = span_s * n / (PIECES - 1)
            self.clients.reactor.callLater(delay_s, self._write_piece, rpc, piece, is_last)

    def _write_piece(self, rpc: ClientRpc, piece: bytes, is_last: bool) -> None:
        clients = self.clients
        if self.lost:
            if is_last:
                clients.history.add(clients.now(), "cut", self.node, what=rpc.id)
            return
        self.transport.write(piece)
        if is_last:
            self.record_sent(rpc)
            timeout_s = (rpc.method.wait_ms + GRACE_MS) / MS_PER_S
            clients.reactor.callLater(timeout_s, self.give_up, rpc)


class SlowHeaderConnector(ClientConnector):
    """Opens one slowly writing connection for one RPC."""

    def buildProtocol(self, addr: object) -> SlowHeaderConnection:
        """Return the protocol of the connection."""
        return SlowHeaderConnection(self.clients, self.node, self.rpc, self.single_use)


class SlowHeaderClients:
    """`per_s` RPCs a second, each on a connection of its own."""

    def __init__(self, load_clients: LoadClients, per_s: float) -> None:
        self.load_clients = load_clients
        self.per_s = per_s
        self.until_ms = 0.0
        self.chance = random.Random(load_clients.rpc_count + SEED_OFFSET)

    def start(self, seconds: float) -> None:
        """Open connections for so many seconds."""
        self.until_ms = self.load_clients.now() + seconds * MS_PER_S
        self._connect_next()

    def _connect_next(self) -> None:
        clients = self.load_clients
        if clients.now() >= self.until_ms:
            return
        rpc_id = clients.next_rpc_id()
        method = next(method for method in clients.methods if not method.write)
        node = self.chance.choice(clients.nodes_in_use or list(clients.nodes))
        key = clients.keys.draw(self.chance)
        rpc = ClientRpc(rpc_id, method, key, clients.behavior.retries)
        clients.connect(node, SlowHeaderConnector(clients, node, rpc, single_use=True))
        clients.reactor.callLater(self.chance.expovariate(self.per_s), self._connect_next)
