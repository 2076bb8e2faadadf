"""Clients on Twisted: an open-loop load with timeouts, retries, early closes and slow readers.

An RPC is sent when it is due, regardless of how late the answers to others are. Each client adds
to the history `asked` when the last byte of the RPC is written, and then at most one of
`answered`, `lost` or `left`. The checks of the run judge the RPCs that have none of these by
their deadline.
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

CLOSE_DELAY_MS = 300.0  # from a client's timeout until it closes the connection
READ_PAUSE_S = 0.004  # pause of a slow reader after each read
CONNECT_TIMEOUT_S = 3.0
MIN_RATE_PER_S = 1e-9  # the exponential distribution is undefined for a rate of zero
BULK_HEADER_BYTES = 16  # enough for the header of a value of any size
COMPLETED = "completed"


class ClientConnection(Protocol):
    """One connection to a node, which carries one RPC at a time."""

    def __init__(
        self, clients: LoadClients, node: str, first_rpc: ClientRpc, single_use: bool
    ) -> None:
        behavior = clients.behavior
        self.clients = clients
        self.node = node
        self.first_rpc = first_rpc
        self.single_use = single_use
        self.parser_input = Ring()
        self.parser = Parser(self.parser_input)
        self.in_flight: deque[ClientRpc] = deque()
        self.is_closed = False
        self.port = 0
        self.reads_slowly = (
            behavior.slow_reader_fraction > 0
            and clients.rng.random() < behavior.slow_reader_fraction
        )

    def connectionMade(self) -> None:
        """Send the RPC that the connection was opened for."""
        self.port = self.transport.getHost().port
        self.send(self.first_rpc)

    def send(self, rpc: ClientRpc) -> None:
        """Send an RPC and choose at random how its client behaves."""
        clients = self.clients
        behavior = clients.behavior
        timeout_ms = rpc.method.timeout_ms
        self.record_sent(rpc)
        self.transport.write(encode_request(rpc))
        if clients.rng.random() < behavior.early_close_fraction:
            close_delay_ms = timeout_ms * clients.rng.random()
            clients.reactor.callLater(close_delay_ms / MS_PER_S, self._close_early, rpc)
        clients.reactor.callLater((timeout_ms + CLOSE_DELAY_MS) / MS_PER_S, self.give_up, rpc)
        if self.single_use and behavior.half_close_fraction:
            if clients.rng.random() < behavior.half_close_fraction:
                self.transport.loseWriteConnection()

    def record_sent(self, rpc: ClientRpc) -> None:
        """Add a sent RPC to those in flight and to the history."""
        clients = self.clients
        method = rpc.method
        self.in_flight.append(rpc)
        clients.history.add(
            clients.now(), "asked", self.node, rpc.id, method.name, method.timeout_ms, self.port
        )

    def dataReceived(self, data: bytes) -> None:
        """Match the received answers with the RPCs in flight."""
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
                self._answer_received(self.in_flight.popleft(), answer)
        except ProtocolError:
            self.transport.loseConnection()

    def _next_answer(self) -> object:
        answer = self._large_value()
        if answer is None:
            return self.parser.next_value()
        return answer

    def _large_value(self) -> bytes | NeedData | None:
        """Return the next answer if it is a value that is too large for the parser.

        Return NEED_DATA while the value is incomplete, and None if another kind of answer is next.
        """
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
        if not self.is_closed:
            self.transport.resumeProducing()

    def _answer_received(self, rpc: ClientRpc, answer: object) -> None:
        rpc.is_open = False
        result = classify_answer(rpc, answer)
        self._record("answered", rpc.id, result)
        self.clients.rpc_finished(rpc, result)
        if self.single_use:
            self.transport.loseConnection()
        else:
            self.clients.idle_connections[self.node].append(self)

    def _close_early(self, rpc: ClientRpc) -> None:
        if rpc.is_open and not self.is_closed:
            self._record("left", rpc.id)
            self.give_up(rpc)

    def give_up(self, rpc: ClientRpc) -> None:
        """Abort the connection if the RPC is still open."""
        if rpc.is_open and not self.is_closed:
            rpc.is_open = False
            self.in_flight.clear()
            self.transport.abortConnection()

    def _record(self, kind: str, rpc_id: str, result: str = "") -> None:
        self.clients.history.add(self.clients.now(), kind, self.node, rpc_id, result)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Record the RPCs in flight as lost and count the connection as closed."""
        clients = self.clients
        self.is_closed = True
        for rpc in self.in_flight:
            rpc.is_open = False
            clients.history.add(clients.now(), "lost", self.node, rpc.id, port=self.port)
            clients.rpc_finished(rpc, "lost")
        self.in_flight.clear()
        clients.open_connections[self.node] -= 1


def encode_request(rpc: ClientRpc) -> bytes:
    """Return the RESP2 command for an RPC."""
    method = rpc.method
    words = [
        b"OBJ.SET" if method.is_write else b"OBJ.GET",
        rpc.key.encode(),
        rpc.id.encode(),
        f"c={method.name},d={method.timeout_ms:.0f}".encode(),
    ]
    if method.is_write:
        words.append(b"w" * method.value_bytes)
    return command(*words)


def classify_answer(rpc: ClientRpc, answer: object) -> str:
    """Return the kind of the answer to an RPC, as the history names it."""
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
        """Finish the RPC with the result `refused`."""
        self.clients.open_connections[self.node] -= 1
        self.clients.rpc_finished(self.rpc, "refused")


class LoadClients:
    """All clients of a run; `rate_per_s` and `nodes_in_use` may be changed during the run."""

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
        run_start_s: float,
    ) -> None:
        """Create clients that do not send yet.

        `nodes` holds the address of each node by its name. `rate_per_s` is the number of RPCs a
        second in total. `run_start_s` is the time of the reactor's clock at which the run started.
        """
        self.reactor = reactor
        self.history = history
        self.nodes = nodes
        self.methods = methods
        self.keys = keys
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.behavior = behavior
        self.run_start_s = run_start_s
        self.idle_connections: dict[str, deque[ClientConnection]] = {
            name: deque() for name in nodes
        }
        self.open_connections = dict.fromkeys(nodes, 0)
        self.nodes_in_use = list(nodes)  # the nodes that new RPCs are sent to
        self.rpc_count = 0  # including retries
        self.connection_limit_hits = 0
        self._is_stopped = False
        self._due_ms = 0.0

    def now(self) -> float:
        """Return the milliseconds since the start of the run."""
        return (self.reactor.seconds() - self.run_start_s) * MS_PER_S

    def start(self) -> None:
        """Start to send RPCs."""
        self._due_ms = self.now()
        self._schedule_next()

    def stop(self) -> None:
        """Stop sending RPCs."""
        self._is_stopped = True

    def _schedule_next(self) -> None:
        self._due_ms += self.rng.expovariate(max(MIN_RATE_PER_S, self.rate_per_s)) * MS_PER_S
        self.reactor.callLater(max(0.0, self._due_ms - self.now()) / MS_PER_S, self._send_next)

    def _send_next(self) -> None:
        if self._is_stopped:
            return
        weights = [method.weight for method in self.methods]
        method = self.rng.choices(self.methods, weights)[0]
        self._send(method, self.keys.draw(self.rng), 0)
        self._schedule_next()

    def next_rpc_id(self) -> str:
        """Return the identifier of a new RPC."""
        self.rpc_count += 1
        return f"q{self.rpc_count}"

    def _send(self, method: ClientMethod, key: str, retry_count: int) -> None:
        if not self.nodes_in_use:
            return
        rpc = ClientRpc(self.next_rpc_id(), method, key, retry_count)
        node = self.nodes_in_use[self.rng.randrange(len(self.nodes_in_use))]
        single_use = self.rng.random() < self.behavior.single_use_fraction
        idle = self.idle_connections[node]
        while idle and not single_use:
            connection = idle.pop()
            if not connection.is_closed:
                connection.send(rpc)
                return
        if self.open_connections[node] >= self.behavior.max_connections:
            self.connection_limit_hits += 1
            return
        self.connect(node, ClientConnector(self, node, rpc, single_use))

    def connect(self, node: str, connector: ClientConnector) -> None:
        """Open a connection to a node and count it as open."""
        self.open_connections[node] += 1
        host, port = self.nodes[node]
        self.reactor.connectTCP(host, port, connector, timeout=CONNECT_TIMEOUT_S)

    def rpc_finished(self, rpc: ClientRpc, result: str) -> None:
        """Schedule a retry of an RPC that was not completed, if its client has retries left."""
        behavior = self.behavior
        if result == COMPLETED or rpc.retry_count >= behavior.max_retries or self._is_stopped:
            return
        delay_s = behavior.retry_delay_ms / MS_PER_S
        self.reactor.callLater(delay_s, self._send, rpc.method, rpc.key, rpc.retry_count + 1)
