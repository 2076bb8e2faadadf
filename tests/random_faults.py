"""Random faults for a node on a network in memory, and the rules that it has to keep.

What clients, caches, origin, discovery and the network do is drawn from a seed, several faults at
once. Values are made for one RPC alone, so that a wrong one is seen.
"""

from __future__ import annotations

import json
import random

from memory_network import MemoryConnection
from socket_node import DISCOVERY_PORT, ORIGIN_PORT, NodeOnMemoryNetwork, get_command, listed_host

from hookpitch.core.resp import NEED_DATA, ErrorReply, Parser, command
from hookpitch.core.ring import Ring

CACHE_PORTS = [7000, 7001, 7002]
# So long after it was listed as not ready nothing may be sent to a backend.
REMOVAL_MS = 3050
# For the answer to an RPC, past its hard deadline.
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
        """Milliseconds of the network's clock."""
        return self.network.seconds() * 1000

    # ---- what the node does

    def output_written(self, line: MemoryConnection, data: bytes) -> None:
        """The node has written to a connection."""
        if line.port == DISCOVERY_PORT:
            return
        if line.port == ORIGIN_PORT:
            for head in data.split(b"X-Request-Id: ")[1:]:
                self.attempt_sent(line, head.split(b"\r\n")[0].decode())
            return
        parser = self.parsers.setdefault(id(line), Parser(Ring()))
        parser.ring.write(data)
        while (value := parser.next_value()) is not NEED_DATA:
            if line.port == 0:
                self.reply_received(line, value)
            else:
                self.attempt_sent(line, value[2].decode())

    def attempt_sent(self, line: MemoryConnection, rpc: str) -> None:
        """An attempt has been sent to a backend."""
        over = rpc in self.answers or rpc not in self.deadlines or self.now > self.deadlines[rpc]
        assert not over, "rule 1: sent for an RPC that is over"
        before = self.in_flight.get(rpc)
        assert before is None or before.is_closed or before.disconnecting, "two out at once"
        assert not self.non_idempotent.get(rpc, False), "rule 2: it may have run before"
        assert self.now <= self.not_ready_since.get(line.port, self.now) + REMOVAL_MS, "rule 3"
        self.in_flight[rpc] = line
        if rpc in self.non_idempotent:
            self.non_idempotent[rpc] = True

    def reply_received(self, line: MemoryConnection, answer: object) -> None:
        """A client has got the answer to its oldest RPC."""
        rpc = self.unanswered[id(line)].pop(0)
        assert rpc not in self.answers, "rule 1: a second answer"
        if isinstance(answer, bytes) and not isinstance(answer, ErrorReply):
            assert answer.startswith(f"{rpc}:".encode()), "a value made for another RPC"
        self.answers[rpc] = answer

    # ---- what happens to it

    def step(self) -> None:
        """One random event, and the check of the rules."""
        act = self.rng.random()
        if act < 0.25:
            self.send_commands()
        elif act < 0.7 and self.in_flight:
            for rpc in self.rng.sample(sorted(self.in_flight), min(len(self.in_flight), 9)):
                self.send_reply(rpc, self.in_flight.pop(rpc))
        elif act < 0.74:
            self.change_dials()
        elif act < 0.78 and self.clients:
            self.disconnect_client()
        elif act < 0.82:
            self.send_endpoint_change()
        elif act < 0.83 and self.clients:
            line = self.rng.choice(self.clients)
            line.is_reading = not line.is_reading
        elif act < 0.86:
            self.complete_silent_dials()
        elif act < 0.88 and self.network.connections:
            self.rng.choice(self.network.connections).close()
        else:
            self.node.pass_time(self.rng.choice([1, 5, 30, 100, 300]))
        self.deliver_output()

    def deliver_output(self) -> None:
        """All peers that read take what was written; no RPC may be late."""
        for line in self.network.connections + self.clients:
            line.receive()
        for line in self.clients:
            # RPCs of a client are answered in order: the others wait behind the first.
            heads = [self.deadlines[rpc] for rpc in self.unanswered[id(line)][:1]]
            overdue = any(self.now > at + ANSWER_GRACE_MS for at in heads)
            late = line.is_reading and not line.is_paused and overdue
            assert not late, "rule 1: not answered before the hard deadline"
        for line in [line for line in self.clients if line.disconnecting]:
            assert not self.unanswered[id(line)], (
                "a client's connection was closed with an RPC open"
            )
            self.clients.remove(line)

    def change_dials(self) -> None:
        """From now on dials to some backend come up, fail or hang."""
        port = self.rng.choice([*CACHE_PORTS, ORIGIN_PORT])
        self.network.dial_outcomes[port] = self.rng.choice(["up"] * 6 + ["refused", "silent"])

    def complete_silent_dials(self) -> None:
        """Some dials that hang come up late."""
        for dial in self.network.dials:
            if not dial.is_finished and self.rng.random() < 0.3:
                dial.complete()

    def disconnect_client(self) -> None:
        """A client's connection ends, or only its sending side."""
        line = self.rng.choice(self.clients)
        if self.rng.random() < 0.5:
            self.forget_client(line)
            line.close()
        else:
            line.protocol.readConnectionLost()
            self.forget_client(line)

    def forget_client(self, line: MemoryConnection) -> None:
        """From now on nothing may be sent for what the client asked."""
        for rpc in self.unanswered[id(line)]:
            del self.deadlines[rpc]
        self.clients.remove(line)

    def send_commands(self) -> None:
        """A client, an old or a new one, sends commands, cut anywhere."""
        rng = self.rng
        if not self.clients or rng.random() < 0.15:
            line = self.node.connect_client()
            self.clients.append(line)
            self.unanswered[id(line)] = []
        line = rng.choice(self.clients)
        data = b"".join(self.random_command(line) for _ in range(rng.choice([1, 1, 1, 8])))
        while data:
            piece = rng.choice([len(data), len(data), rng.randint(1, len(data))])
            line.send(data[:piece])
            data = data[piece:]

    def random_command(self, line: MemoryConnection) -> bytes:
        """A command of the client, which counts as asked."""
        rng = self.rng
        self.rpc_count += 1
        rpc = f"r{self.rpc_count}"
        wait = rng.choice([30, 300, 900])
        method = rng.choice(["read", "once"])
        if method == "once":
            self.non_idempotent[rpc] = False
        self.unanswered[id(line)].append(rpc)
        self.deadlines[rpc] = self.now + wait
        if rng.random() < 0.2:
            value = rng.randbytes(rng.choice([0, 10, 65536]))
            extras = f"c={method},d={wait},size={len(value)}"
            return command(b"OBJ.SET", b"key", rpc.encode(), extras.encode(), value)
        return get_command(rpc, f"key{rng.randrange(40)}", method, wait)

    def send_reply(self, rpc: str, line: MemoryConnection) -> None:
        """A backend answers, well or badly, its reply cut anywhere, or stays silent."""
        rng = self.rng
        if line.is_closed or line.disconnecting:
            return
        value = f"{rpc}:".encode() + rng.randbytes(rng.choice([3, 3, 65000]))
        kind = rng.choice(REPLY_KINDS)
        data = _reply(kind, value, from_origin=line.port == ORIGIN_PORT)
        if kind == "rubbish":
            data = rng.randbytes(20) + b"\r\n"
        if kind == "silence":
            self.in_flight[rpc] = line
            return
        not_executed = kind == "busy" or kind == "miss" and line.port != ORIGIN_PORT
        if not_executed and rpc in self.non_idempotent:
            self.non_idempotent[rpc] = False
        cut = rng.randint(0, len(data))
        line.send(data[:cut])
        if kind == "break":
            line.close()
        else:
            line.send(data[cut:])

    def send_endpoint_change(self) -> None:
        """Discovery sends a change, a heartbeat or rubbish, and may end the watch."""
        rng = self.rng
        for line in self.network.connections_to(DISCOVERY_PORT):
            line.send(
                b"" if line.output else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            line.output = b"called"
            port = rng.choice(CACHE_PORTS)
            health = rng.choice(["in_service"] * 8 + ["terminating", "terminated"])
            change = {
                "seq": 6,
                "whole": False,
                "hosts": [listed_host(f"s{port - CACHE_PORTS[0]}", port, health=health)],
            }
            text = rng.choice([json.dumps(change).encode()] * 4 + [b"", b"{"]) + b"\n"
            line.send(b"%x\r\n%b\r\n" % (len(text), text))
            if len(text) > 5 and not line.disconnecting:
                self.not_ready_since.pop(port, None)
                if health != "in_service":
                    self.not_ready_since[port] = self.now
            if rng.random() < 0.1:
                line.close()


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
