"""Random faults for a node on a network in memory, and checks of the rules that it has to keep.

The behavior of clients, caches, origin, discovery and the network is drawn from a seed; several
faults overlap. Each value is made for one RPC only, so that a wrong value is detected.
"""

from __future__ import annotations

import json
import random

from memory_network import MemoryConnection
from socket_node import DISCOVERY_PORT, ORIGIN_PORT, NodeOnMemoryNetwork, get_command, listed_host

from hookpitch.core.resp import NEED_DATA, ErrorReply, Parser, command
from hookpitch.core.ring import Ring

CACHE_PORTS = [7000, 7001, 7002]
# From this time after a backend was listed as not ready, nothing may be sent to it.
REMOVAL_MS = 3050
# How long after its hard deadline an RPC may be answered.
ANSWER_GRACE_MS = 50
REPLY_KINDS = ["value"] * 12 + ["miss", "miss", "busy", "error", "rubbish", "break", "silence"]


class RandomFaults:
    """One node with its clients, servers and network. Fails the test if the node breaks a rule.

    `unanswered`: by connection, the ids of RPCs in the order of their commands. `deadlines`: the
    hard deadlines of open RPCs. `non_idempotent`: for each RPC that is not idempotent, whether it
    may have been executed. `in_flight`: the connections of attempts that wait for an answer.
    `not_ready_since`: by port, when discovery listed the backend as not ready.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.node = NodeOnMemoryNetwork(len(CACHE_PORTS))
        self.network = self.node.network
        self.network.on_write = self.output_written
        self.rpc_count = 0
        self.clients: list[MemoryConnection] = []
        self.unanswered: dict[int, list[str]] = {}
        self.answers: dict[str, object] = {}
        self.deadlines: dict[str, float] = {}
        self.non_idempotent: dict[str, bool] = {}
        self.in_flight: dict[str, MemoryConnection] = {}
        self.parsers: dict[int, Parser] = {}
        self.not_ready_since: dict[int, float] = {}

    @property
    def now(self) -> float:
        """Return the time of the network's clock, in milliseconds."""
        return self.network.seconds() * 1000

    # ---- output of the node

    def output_written(self, connection: MemoryConnection, data: bytes) -> None:
        """Check what the node has written to a connection."""
        if connection.port == DISCOVERY_PORT:
            return
        if connection.port == ORIGIN_PORT:
            for head in data.split(b"X-Request-Id: ")[1:]:
                self.attempt_sent(connection, head.split(b"\r\n")[0].decode())
            return
        parser = self.parsers.setdefault(id(connection), Parser(Ring()))
        parser.ring.write(data)
        while (value := parser.next_value()) is not NEED_DATA:
            if connection.port == 0:
                self.reply_received(connection, value)
            else:
                self.attempt_sent(connection, value[2].decode())

    def attempt_sent(self, connection: MemoryConnection, rpc: str) -> None:
        """Check that an attempt was allowed to be sent to this backend now."""
        is_over = rpc in self.answers or rpc not in self.deadlines or self.now > self.deadlines[rpc]
        assert not is_over, "rule 1: sent for an RPC that is over"
        previous = self.in_flight.get(rpc)
        assert previous is None or previous.is_closed or previous.disconnecting, (
            "two attempts in flight at once"
        )
        assert not self.non_idempotent.get(rpc, False), "rule 2: it may have been executed before"
        assert self.now <= self.not_ready_since.get(connection.port, self.now) + REMOVAL_MS, (
            "rule 3: sent to a backend that is not ready"
        )
        self.in_flight[rpc] = connection
        if rpc in self.non_idempotent:
            self.non_idempotent[rpc] = True

    def reply_received(self, connection: MemoryConnection, answer: object) -> None:
        """Check the answer that a client received to its oldest RPC."""
        rpc = self.unanswered[id(connection)].pop(0)
        assert rpc not in self.answers, "rule 1: a second answer"
        if isinstance(answer, bytes) and not isinstance(answer, ErrorReply):
            assert answer.startswith(f"{rpc}:".encode()), "a value made for another RPC"
        self.answers[rpc] = answer

    # ---- input of the node

    def step(self) -> None:
        """Cause one random event and check the rules."""
        draw = self.rng.random()
        if draw < 0.25:
            self.send_commands()
        elif draw < 0.7 and self.in_flight:
            for rpc in self.rng.sample(sorted(self.in_flight), min(len(self.in_flight), 9)):
                self.send_reply(rpc, self.in_flight.pop(rpc))
        elif draw < 0.74:
            self.change_dials()
        elif draw < 0.78 and self.clients:
            self.disconnect_client()
        elif draw < 0.82:
            self.send_endpoint_change()
        elif draw < 0.83 and self.clients:
            client = self.rng.choice(self.clients)
            client.is_reading = not client.is_reading
        elif draw < 0.86:
            self.complete_silent_dials()
        elif draw < 0.88 and self.network.connections:
            self.rng.choice(self.network.connections).close()
        else:
            self.node.pass_time(self.rng.choice([1, 5, 30, 100, 300]))
        self.deliver_output()

    def deliver_output(self) -> None:
        """Let all reading peers receive what was written, and check that no RPC is late."""
        for connection in self.network.connections + self.clients:
            connection.receive()
        for client in self.clients:
            # A client's RPCs are answered in order: the others wait behind the first.
            first_deadlines = [self.deadlines[rpc] for rpc in self.unanswered[id(client)][:1]]
            is_overdue = any(self.now > deadline + ANSWER_GRACE_MS for deadline in first_deadlines)
            is_late = client.is_reading and not client.is_paused and is_overdue
            assert not is_late, "rule 1: not answered before the hard deadline"
        for client in [client for client in self.clients if client.disconnecting]:
            assert not self.unanswered[id(client)], (
                "a client's connection was closed with an RPC open"
            )
            self.clients.remove(client)

    def change_dials(self) -> None:
        """Choose whether future dials to some backend connect, fail or hang."""
        port = self.rng.choice([*CACHE_PORTS, ORIGIN_PORT])
        self.network.dial_outcomes[port] = self.rng.choice(["up"] * 6 + ["refused", "silent"])

    def complete_silent_dials(self) -> None:
        """Complete some of the dials that hang."""
        for dial in self.network.dials:
            if not dial.is_finished and self.rng.random() < 0.3:
                dial.complete()

    def disconnect_client(self) -> None:
        """Close a client's connection, or only its sending side."""
        client = self.rng.choice(self.clients)
        if self.rng.random() < 0.5:
            self.forget_client(client)
            client.close()
        else:
            client.protocol.readConnectionLost()
            self.forget_client(client)

    def forget_client(self, client: MemoryConnection) -> None:
        """Forget a client's RPCs: from now on no attempt of them may be sent."""
        for rpc in self.unanswered[id(client)]:
            del self.deadlines[rpc]
        self.clients.remove(client)

    def send_commands(self) -> None:
        """Send commands of a client, which may be new, split at random positions."""
        rng = self.rng
        if not self.clients or rng.random() < 0.15:
            client = self.node.connect_client()
            self.clients.append(client)
            self.unanswered[id(client)] = []
        client = rng.choice(self.clients)
        data = b"".join(self.random_command(client) for _ in range(rng.choice([1, 1, 1, 8])))
        while data:
            length = rng.choice([len(data), len(data), rng.randint(1, len(data))])
            client.send(data[:length])
            data = data[length:]

    def random_command(self, client: MemoryConnection) -> bytes:
        """Return a command of the client, and record its RPC as unanswered."""
        rng = self.rng
        self.rpc_count += 1
        rpc = f"r{self.rpc_count}"
        wait = rng.choice([30, 300, 900])
        method = rng.choice(["read", "once"])
        if method == "once":
            self.non_idempotent[rpc] = False
        self.unanswered[id(client)].append(rpc)
        self.deadlines[rpc] = self.now + wait
        if rng.random() < 0.2:
            value = rng.randbytes(rng.choice([0, 10, 65536]))
            extras = f"c={method},d={wait},size={len(value)}"
            return command(b"OBJ.SET", b"key", rpc.encode(), extras.encode(), value)
        return get_command(rpc, f"key{rng.randrange(40)}", method, wait)

    def send_reply(self, rpc: str, connection: MemoryConnection) -> None:
        """Answer an attempt validly or not, split at a random position, or stay silent."""
        rng = self.rng
        if connection.is_closed or connection.disconnecting:
            return
        value = f"{rpc}:".encode() + rng.randbytes(rng.choice([3, 3, 65000]))
        kind = rng.choice(REPLY_KINDS)
        data = _reply(kind, value, from_origin=connection.port == ORIGIN_PORT)
        if kind == "rubbish":
            data = rng.randbytes(20) + b"\r\n"
        if kind == "silence":
            self.in_flight[rpc] = connection
            return
        not_executed = kind == "busy" or kind == "miss" and connection.port != ORIGIN_PORT
        if not_executed and rpc in self.non_idempotent:
            self.non_idempotent[rpc] = False
        split = rng.randint(0, len(data))
        connection.send(data[:split])
        if kind == "break":
            connection.close()
        else:
            connection.send(data[split:])

    def send_endpoint_change(self) -> None:
        """Send a change, a heartbeat or garbage from discovery, which may then close the watch."""
        rng = self.rng
        for connection in self.network.connections_to(DISCOVERY_PORT):
            connection.send(
                b""
                if connection.output
                else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            connection.output = b"called"
            port = rng.choice(CACHE_PORTS)
            health = rng.choice(["in_service"] * 8 + ["terminating", "terminated"])
            change = {
                "seq": 6,
                "whole": False,
                "hosts": [listed_host(f"s{port - CACHE_PORTS[0]}", port, health=health)],
            }
            text = rng.choice([json.dumps(change).encode()] * 4 + [b"", b"{"]) + b"\n"
            connection.send(b"%x\r\n%b\r\n" % (len(text), text))
            if len(text) > 5 and not connection.disconnecting:
                self.not_ready_since.pop(port, None)
                if health != "in_service":
                    self.not_ready_since[port] = self.now
            if rng.random() < 0.1:
                connection.close()


def _reply(kind: str, value: bytes, from_origin: bool) -> bytes:
    return _origin_reply(kind, value) if from_origin else _cache_reply(kind, value)


def _origin_reply(kind: str, value: bytes) -> bytes:
    replies = {"busy": (503, b"X-Not-Run: 1\r\n"), "error": (500, b"")}
    status, extra = replies.get(kind, (200, b""))
    head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, extra, len(value))
    return head + value


def _cache_reply(kind: str, value: bytes) -> bytes:
    if kind == "miss":
        return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
    if kind == "busy":
        return b"-BUSY\r\n"
    if kind == "error":
        return b"-ERR failed inflight=3\r\n"
    return command(value, b"hit", b"outstanding=1,x=?")
