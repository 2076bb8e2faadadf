"""Clients on Twisted: open-loop arrivals, timeouts, retries, and some that leave or read slowly.

An RPC is sent when it is due, however late the answers are. What a client saw goes into the
history: `asked` when its last byte was written, and then at most one of `answered`, `lost` or
`left`; the run's checks decide about an RPC that has none of them by its deadline.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.core.resp import (
    MAX_BULK_BYTES,
    NEED_DATA,
    ErrorReply,
    NeedData,
    Parser,
    ProtocolError,
    command,
)
from hookpitch.core.ring import Ring
from hookpitch.fakes.history import History
from hookpitch.fakes.timer import MS_PER_S
from hookpitch.fakes.traffic import ClientBehavior, ClientMethod, ClientRpc, KeyDistribution

GRACE_MS = 300.0  # past its wait, a client closes the connection
READ_PAUSE_S = 0.004  # of a slow reader, after each read
CONNECT_TIMEOUT_S = 3.0
MIN_RATE_PER_S = 1e-9  # a rate of zero has no exponential distribution
BULK_HEADER_BYTES = 16  # enough for the length of any value
COMPLETED = "completed"


class ClientConnection(Protocol):
    """One connection to a node, with one RPC at a time."""

    def __init__(self, clients: LoadClients, node: str, first: ClientRpc, single_use: bool) -> None:
        behavior = clients.behavior
        self.clients = clients
        self.node = node
        self.first = first
        self.single_use = single_use
        self.parser_input = Ring()
        self.parser = Parser(self.parser_input)
        self.in_flight: deque[ClientRpc] = deque()
        self.lost = False
        self.port = 0
        self.reads_slowly = (
            behavior.slow_reader_fraction > 0
            and clients.chance.random() < behavior.slow_reader_fraction
        )

    def connectionMade(self) -> None:
        """Send the RPC for which the connection was opened."""
        self.port = self.transport.getHost().port
        self.send(self.first)

    def send(self, rpc: ClientRpc) -> None:
        """Send an RPC and draw how its client behaves."""
        clients = self.clients
        behavior = clients.behavior
        wait_ms = rpc.method.wait_ms
        self.record_sent(rpc)
        self.transport.write(encode_request(rpc))
        if clients.chance.random() < behavior.leaving_fraction:
            leave_ms = wait_ms * clients.chance.random()
            clients.reactor.callLater(leave_ms / MS_PER_S, self._leave, rpc)
        clients.reactor.callLater((wait_ms + GRACE_MS) / MS_PER_S, self.give_up, rpc)
        if self.single_use and behavior.half_close_fraction:
            if clients.chance.random() < behavior.half_close_fraction:
                self.transport.loseWriteConnection()

    def record_sent(self, rpc: ClientRpc) -> None:
        """Add a sent RPC to those in flight and to the history."""
        clients = self.clients
        method = rpc.method
        self.in_flight.append(rpc)
        clients.history.add(
            clients.now(), "asked", self.node, rpc.id, method.name, method.wait_ms, self.port
        )

    def dataReceived(self, data: bytes) -> None:
        """Match the answers with the RPCs in flight."""
        self.parser_input.write(data)
        if self.reads_slowly:
            self.transport.pauseProducing()
            self.clients.reactor.callLater(READ_PAUSE_S, self._resume_reading)
        try:
            while True:
                answer = self._next_answer()
                if answer is NEED_DATA:
                    return
                if not self.in_flight:
                    self._record("answered", "", "nobody asked")
                    continue
                self._answered(self.in_flight.popleft(), answer)
        except ProtocolError:
            self.transport.loseConnection()

    def _next_answer(self) -> object:
        answer = self._large_value()
        if answer is None:
            return self.parser.next_value()
        return answer

    def _large_value(self) -> bytes | NeedData | None:
        """Return a value too large for the parser once it is complete; None if another answer
        comes next."""
        header = self.parser_input.peek(BULK_HEADER_BYTES)
        end = header.find(b"\r\n")
        if header[:1] != b"$" or not header[1:end].isdigit():
            return None
        size = int(header[1:end])
        if size <= MAX_BULK_BYTES:
            return None
        frame_bytes = end + 2 + size + 2
        if len(self.parser_input) < frame_bytes:
            return NEED_DATA
        return self.parser_input.read(frame_bytes)[end + 2 : -2]

    def _resume_reading(self) -> None:
        if not self.lost:
            self.transport.resumeProducing()

    def _answered(self, rpc: ClientRpc, answer: object) -> None:
        rpc.open = False
        result = classify_answer(rpc, answer)
        self._record("answered", rpc.id, result)
        self.clients.finished(rpc, result)
        if self.single_use:
            self.transport.loseConnection()
        else:
            self.clients.idle_connections[self.node].append(self)

    def _leave(self, rpc: ClientRpc) -> None:
        if rpc.open and not self.lost:
            self._record("left", rpc.id)
            self.give_up(rpc)

    def give_up(self, rpc: ClientRpc) -> None:
        """Abort the connection, if the RPC is still open."""
        if rpc.open and not self.lost:
            rpc.open = False
            self.in_flight.clear()
            self.transport.abortConnection()

    def _record(self, kind: str, rpc_id: str, what: str = "") -> None:
        self.clients.history.add(self.clients.now(), kind, self.node, rpc_id, what)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Record the RPCs in flight as lost."""
        clients = self.clients
        self.lost = True
        for rpc in self.in_flight:
            rpc.open = False
            clients.history.add(clients.now(), "lost", self.node, rpc.id, port=self.port)
            clients.finished(rpc, "lost")
        self.in_flight.clear()
        clients.open_connections[self.node] -= 1


def encode_request(rpc: ClientRpc) -> bytes:
    """Return an RPC's RESP2 command."""
    method = rpc.method
    words = [
        b"OBJ.SET" if method.write else b"OBJ.GET",
        rpc.key.encode(),
        rpc.id.encode(),
        f"c={method.name},d={method.wait_ms:.0f}".encode(),
    ]
    if method.write:
        words.append(b"w" * method.size)
    return command(*words)


def classify_answer(rpc: ClientRpc, answer: object) -> str:
    """Return what the history calls this answer to the RPC."""
    if isinstance(answer, ErrorReply):
        return "exhausted" if answer.startswith(b"BUSY") else "errored"
    if isinstance(answer, bytes) and answer.startswith(f"{rpc.id}:{rpc.key}:".encode()):
        return COMPLETED
    return "wrong"


class ClientConnector(ClientFactory):
    """Opens one connection for one RPC."""

    noisy = False

    def __init__(self, clients: LoadClients, node: str, rpc: ClientRpc, single_use: bool) -> None:
        self.clients = clients
        self.node = node
        self.rpc = rpc
        self.single_use = single_use

    def buildProtocol(self, addr: object) -> ClientConnection:
        """Return the protocol of the connection."""
        return ClientConnection(self.clients, self.node, self.rpc, self.single_use)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Finish the RPC as refused."""
        self.clients.open_connections[self.node] -= 1
        self.clients.finished(self.rpc, "refused")


class LoadClients:
    """All clients of a run. `rate_per_s` and `nodes_in_use` may be changed while it runs."""

    def __init__(
        self,
        reactor: Any,
        history: History,
        seed: int,
        nodes: dict[str, tuple[str, int]],
        methods: Sequence[ClientMethod],
        keys: KeyDistribution,
        rate_per_s: float,
        behavior: ClientBehavior,
        begun: float,
    ) -> None:
        """`nodes`: addresses by name; `rate_per_s`: of all nodes; `begun`: reactor seconds."""
        self.reactor = reactor
        self.history = history
        self.nodes = nodes
        self.methods = methods
        self.keys = keys
        self.chance = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.behavior = behavior
        self.begun = begun
        self.idle_connections: dict[str, deque[ClientConnection]] = {
            name: deque() for name in nodes
        }
        self.open_connections = dict.fromkeys(nodes, 0)
        self.nodes_in_use = list(nodes)  # that new RPCs are sent to
        self.rpc_count = 0  # of RPCs, retries included
        self.connection_limit_hits = 0
        self._stopped = False
        self._due_ms = 0.0

    def now(self) -> float:
        """Return milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.begun) * MS_PER_S

    def start(self) -> None:
        """Begin to send RPCs."""
        self._due_ms = self.now()
        self._schedule_arrival()

    def stop(self) -> None:
        """Send no more RPCs."""
        self._stopped = True

    def _schedule_arrival(self) -> None:
        self._due_ms += self.chance.expovariate(max(MIN_RATE_PER_S, self.rate_per_s)) * MS_PER_S
        self.reactor.callLater(max(0.0, self._due_ms - self.now()) / MS_PER_S, self._arrive)

    def _arrive(self) -> None:
        if self._stopped:
            return
        weights = [method.share for method in self.methods]
        method = self.chance.choices(self.methods, weights)[0]
        self._send(method, self.keys.draw(self.chance), 0)
        self._schedule_arrival()

    def next_rpc_id(self) -> str:
        """Return a new RPC's name."""
        self.rpc_count += 1
        return f"q{self.rpc_count}"

    def _send(self, method: ClientMethod, key: str, retries: int) -> None:
        if not self.nodes_in_use:
            return
        rpc = ClientRpc(self.next_rpc_id(), method, key, retries)
        node = self.nodes_in_use[self.chance.randrange(len(self.nodes_in_use))]
        single_use = self.chance.random() < self.behavior.single_use_fraction
        idle = self.idle_connections[node]
        while idle and not single_use:
            connection = idle.pop()
            if not connection.lost:
                connection.send(rpc)
                return
        if self.open_connections[node] >= self.behavior.max_connections:
            self.connection_limit_hits += 1
            return
        self.connect(node, ClientConnector(self, node, rpc, single_use))

    def connect(self, node: str, connector: ClientConnector) -> None:
        """Open a connection to a node and count it."""
        self.open_connections[node] += 1
        host, port = self.nodes[node]
        self.reactor.connectTCP(host, port, connector, timeout=CONNECT_TIMEOUT_S)

    def finished(self, rpc: ClientRpc, result: str) -> None:
        """Retry an RPC that was not completed, if its client does."""
        behavior = self.behavior
        if result == COMPLETED or rpc.retries >= behavior.retries or self._stopped:
            return
        pause_s = behavior.retry_pause_ms / MS_PER_S
        self.reactor.callLater(pause_s, self._send, rpc.method, rpc.key, rpc.retries + 1)
