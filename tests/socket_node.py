"""A node on a network in memory, with the default settings and commands of the tests."""

from __future__ import annotations

from dataclasses import replace

from memory_network import MemoryConnection, MemoryNetwork

from hookpitch.balancer.deployment import parse_deployment
from hookpitch.balancer.interface import Deployment
from hookpitch.core.counters import Counters
from hookpitch.core.resp import NEED_DATA, Parser, command
from hookpitch.core.ring import Ring
from hookpitch.net.clock import Clock
from hookpitch.net.endpoint_list import parse_endpoint_list
from hookpitch.net.node import SocketNode
from hookpitch.net.node_config import NodeConfig

DISCOVERY_PORT = 8500
ORIGIN_PORT = 8080

SETTINGS = {
    "balancers": 1,
    "methods": [
        {
            "name": "read",
            "soft_deadline_s": 0.4,
            "hard_deadline_s": 1.0,
            "idempotency": "retryable",
        },
        {"name": "once", "soft_deadline_s": 0.4, "hard_deadline_s": 1.0, "idempotency": "fragile"},
    ],
    "customers": [{"name": "small", "quota_per_s": 1.0}],
    "host_types": ["std", "origin"],
    "family_info": {"mode": "aside", "origin_kind": 1},
    "limits": {
        "most_transmissions": 3,
        "cancelling": True,
        "dial_timeout_s": 0.25,
        "conn_idle_s": 60.0,
    },
    "rules": {"cold_from": 0.2, "cold_s": 20.0, "tip_after_s": 1.5, "ask_within_s": 10.0},
    "tick_s": 0.001,
}


def listed_host(id: str, port: int, **changes: object) -> dict[str, object]:
    """Return a server's entry in discovery's list, with some fields changed."""
    defaults = {
        "host": id,
        "dial": f"127.0.0.1:{port}",
        "site": "a",
        "class": "std",
        "block": 0,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }
    return defaults | changes


def deployment_from(settings: dict[str, object]) -> Deployment:
    """Return the deployment of a node with these settings."""
    return parse_deployment(7, settings)


def get_command(
    id: str, key: str = "91f03b7c55d20a64", method: str = "read", wait: int = 900
) -> bytes:
    """Return the command that reads a key."""
    return command(b"OBJ.GET", key.encode(), id.encode(), f"c={method},d={wait}".encode())


class NodeOnMemoryNetwork:
    """A node and its network in memory; caches listen on the ports from 7000 on.

    `logged_events`: the names of the events that the node logged. `cpu_seconds`: the CPU time that
    the node reads as its own.
    """

    def __init__(
        self, caches: int = 2, shared: str = "", process_id: str = "", **limits: int
    ) -> None:
        """Start a node; `limits` may hold `sockets` (file descriptors) and `memory_mb`."""
        self.network = MemoryNetwork()
        self.hosts = [listed_host(f"s{i}", 7000 + i) for i in range(caches)]
        self.hosts.append(listed_host("o1", ORIGIN_PORT, **{"class": "origin"}))
        seq, _, entries, dials = parse_endpoint_list(
            {"seq": 5, "whole": True, "hosts": self.hosts}, ("std", "origin")
        )
        self.clock = Clock(self.network, self.network.seconds, lambda: 1e9)
        self.config = NodeConfig(
            "n0",
            ("127.0.0.1", 6379),
            ("127.0.0.1", DISCOVERY_PORT),
            limits.get("sockets", 256),
            limits.get("memory_mb", 64),
            replace(deployment_from(SETTINGS), polling_required=True),
            seq,
            tuple(entries),
            dials,
            ("127.0.0.1", 15000),
            None,
            shared,
            process_id,
        )
        self.counters = Counters()
        self.logged_events: list[str] = []
        self.cpu_seconds = 0.0
        self.socket_node = SocketNode(
            self.network, self.clock, self.config, self.counters, self, lambda: self.cpu_seconds
        )
        self.socket_node.start()
        self.pass_time(0)

    def info(self, event: str, **values: object) -> None:
        """Record an event, as the logger of the node."""
        self.logged_events.append(event)

    def connect_client(self, unread_input: bytes = b"") -> MemoryConnection:
        """Connect a client whose first bytes, `unread_input`, the node has not read yet."""
        return MemoryConnection(
            self.network, self.socket_node.clients.buildProtocol(None), 0, unread_input
        )

    def pass_time(self, ms: float) -> None:
        """Let time pass in steps of a millisecond."""
        for _ in range(max(1, int(ms))):
            self.network.advance(0.001 if ms else 0)
            self.network.advance(0)

    def suspend_process(self, ms: float, *connections: MemoryConnection) -> None:
        """Suspend the process; it reads the connections' `unread_input` when it resumes."""
        for connection in connections:
            connection.ms_since_receive = ms
        self.network.advance(ms / 1000)
        for connection in connections:
            connection.doRead()
            connection.ms_since_receive = 0.0
        self.network.advance(0)

    def receive_request(self, port: int) -> list[bytes] | None:
        """Receive the command written to a cache; None if none is complete."""
        for connection in self.network.connections_to(port):
            data = connection.receive()
            if data:
                ring = Ring()
                ring.write(data)
                arguments = Parser(ring).next_value()
                return None if arguments is NEED_DATA else arguments
        return None
