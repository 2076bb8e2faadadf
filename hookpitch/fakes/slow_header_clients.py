"""Clients that keep to the protocol but write a request slowly, a few bytes at a time."""

from __future__ import annotations

import random

from hookpitch.fakes.load_clients import (
    CLOSE_DELAY_MS,
    ClientConnection,
    ClientConnector,
    LoadClients,
    encode_request,
)
from hookpitch.fakes.timer import MS_PER_S
from hookpitch.fakes.traffic import ClientRpc

# The pause between two pieces has to stay below 250 ms: after a pause of that length, the node may
# close the connection.
PIECE_COUNT = 12
MAX_WRITE_MS = 1800.0  # time for a whole request: the node has to wait 2 s for a request
SEED_OFFSET = 11


class SlowHeaderConnection(ClientConnection):
    """Writes its request in pieces; the RPC counts as sent once the last piece is written."""

    def send(self, rpc: ClientRpc) -> None:
        """Schedule the writes of all pieces of the request."""
        request = encode_request(rpc)
        span_s = self.clients.rng.random() * MAX_WRITE_MS / MS_PER_S
        for index in range(PIECE_COUNT):
            piece = request[
                len(request) * index // PIECE_COUNT : len(request) * (index + 1) // PIECE_COUNT
            ]
            is_last = index == PIECE_COUNT - 1
            delay_s = span_s * index / (PIECE_COUNT - 1)
            self.clients.reactor.callLater(delay_s, self._write_piece, rpc, piece, is_last)

    def _write_piece(self, rpc: ClientRpc, piece: bytes, is_last: bool) -> None:
        clients = self.clients
        if self.is_closed:
            if is_last:
                clients.history.add(clients.now(), "cut", self.node, what=rpc.id)
            return
        self.transport.write(piece)
        if is_last:
            self.record_sent(rpc)
            timeout_s = (rpc.method.timeout_ms + CLOSE_DELAY_MS) / MS_PER_S
            clients.reactor.callLater(timeout_s, self.give_up, rpc)


class SlowHeaderConnector(ClientConnector):
    """Opens one connection that writes one RPC slowly."""

    def buildProtocol(self, addr: object) -> SlowHeaderConnection:
        """Return the protocol of the connection."""
        return SlowHeaderConnection(self.clients, self.node, self.rpc, self.single_use)


class SlowHeaderClients:
    """Sends `rate_per_s` RPCs a second, each on its own connection."""

    def __init__(self, load_clients: LoadClients, rate_per_s: float) -> None:
        self.load_clients = load_clients
        self.rate_per_s = rate_per_s
        self.end_ms = 0.0
        self.rng = random.Random(load_clients.rpc_count + SEED_OFFSET)

    def start(self, duration_s: float) -> None:
        """Open connections for `duration_s` seconds."""
        self.end_ms = self.load_clients.now() + duration_s * MS_PER_S
        self._connect_next()

    def _connect_next(self) -> None:
        clients = self.load_clients
        if clients.now() >= self.end_ms:
            return
        rpc_id = clients.next_rpc_id()
        method = next(method for method in clients.methods if not method.is_write)
        node = self.rng.choice(clients.nodes_in_use or list(clients.nodes))
        key = clients.keys.draw(self.rng)
        rpc = ClientRpc(rpc_id, method, key, clients.behavior.max_retries)
        clients.connect(node, SlowHeaderConnector(clients, node, rpc, single_use=True))
        clients.reactor.callLater(self.rng.expovariate(self.rate_per_s), self._connect_next)
