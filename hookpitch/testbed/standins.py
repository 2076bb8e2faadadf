"""A process with fake servers of a run on loopback: cache servers, the origin or discovery.

Cache servers and the origin run in different processes and notify each other over the control
connections: of the cache server in which an RPC missed, and of the keys that the origin stores in
or removes from a cache server.
"""

from __future__ import annotations

import random
import sys
from typing import Any
from zlib import crc32

import msgspec
from twisted.internet.error import CannotListenError

from hookpitch.fakes.cache import Cache, CacheSpec
from hookpitch.fakes.cache_server import CacheServer
from hookpitch.fakes.control_commands import execute_command
from hookpitch.fakes.discovery import EndpointDirectory, FakeEndpoint
from hookpitch.fakes.discovery_server import DiscoveryServer
from hookpitch.fakes.origin import Origin, OriginSpec
from hookpitch.fakes.origin_server import OriginServer
from hookpitch.testbed.child import ControlConnection, EventRecorder, run_child


class RemoteOrigin:
    """Represents the origin in a process with cache servers."""

    def __init__(self, control: ControlConnection) -> None:
        self.control = control
        self.caches = dict[str, Cache]()

    def record_miss(self, rpc: str, cache: Cache) -> None:
        """Report to the origin's process that an RPC missed in a cache server."""
        self.control.send("miss", rpc, cache.name)


class RemoteCache:
    """Represents a cache server in the process of the origin."""

    def __init__(self, control: ControlConnection, name: str) -> None:
        self.control = control
        self.name = name

    def store(self, key: str) -> None:
        """Have the cache server's process store a key."""
        self.control.send("order", self.name, "store", key)

    def drop(self, key: str) -> None:
        """Have the cache server's process remove a key."""
        self.control.send("order", self.name, "drop", key)


class FakeServers:
    """The fake servers of one process."""

    def __init__(
        self,
        reactor: Any,
        options: dict[str, Any],
        history: EventRecorder,
        control: ControlConnection,
    ) -> None:
        """Start a server for each role in the options, with the method named after its kind."""
        self.reactor = reactor
        self.history = history
        self.control = control
        # The start of the run on the reactor's clock, in seconds.
        self.started_at = options["begun"]
        self.nets = options["nets"]  # the nodes' names by subnet
        self.rng = random.Random(options["seed"])
        self.large = options["large"]  # the fraction of keys that have a large value
        self.large_size = options["large_size"]  # bytes of a large value
        self.servers: dict[str, CacheServer | OriginServer | DiscoveryServer] = {}
        for role in options["roles"]:
            getattr(self, f"_{role['kind']}")(role)

    def _node_of(self, transport: Any) -> str:
        """Return the name of the node at the other end.

        The node's subnet is the first two numbers of the address.
        """
        subnet = ".".join(transport.getPeer().host.split(".")[:2])
        return self.nets.get(subnet, subnet)

    def _size_of(self, key: str) -> int:
        return self.large_size if crc32(key.encode()) % 1000 < 1000 * self.large else 0

    def _cache(self, role: dict[str, Any]) -> None:
        spec = msgspec.convert(role["make"], CacheSpec)
        origin = RemoteOrigin(self.control)
        server = CacheServer(
            role["name"],
            spec,
            self.reactor,
            self.history,
            origin,
            self.rng,
            self._node_of,
            self.started_at,
        )
        server.size_of = self._size_of
        self.servers[role["name"]] = server
        server.start_process([role["address"]], role["port"], role["cold"])
        if role["warm"]:
            execute_command(server, "warm", role["warm"])

    def _origin(self, role: dict[str, Any]) -> None:
        origin = Origin(msgspec.convert(role["make"], OriginSpec), 0.0, self.rng)
        for name in role["caches"]:
            origin.caches[name] = RemoteCache(self.control, name)
        server = OriginServer(
            origin, self.reactor, self.history, self.rng, self._node_of, self.started_at
        )
        server.size_of = self._size_of
        self.servers["origin"] = server
        self.reactor.listenTCP(role["port"], server, interface=role["address"], backlog=4096)

    def _discovery(self, role: dict[str, Any]) -> None:
        directory = EndpointDirectory(role["lag_ms"])
        for fields in role["hosts"]:
            directory.put(FakeEndpoint(*fields))
        directory.version = max(directory.version, role["seq"])
        server = DiscoveryServer(
            directory, self.reactor, self.history, self._node_of, self.started_at
        )
        server.calls_per_s = role["calls_per_s"]
        server.network_by_node = {name: subnet for subnet, name in self.nets.items()}
        self.servers["discovery"] = server
        self.reactor.listenTCP(role["port"], server, interface=role["address"], backlog=4096)

    def execute(self, name: str, command: str, *args: Any) -> None:
        """Execute one command of the run for one server."""
        server = self.servers[name]
        if command == "miss" and isinstance(server, OriginServer):
            rpc, cache = args
            origin = server.origin
            origin.record_miss(
                rpc, origin.caches.setdefault(cache, RemoteCache(self.control, cache))
            )
        else:
            execute_command(server, command, *args)


def create_handler(
    reactor: Any, options: dict[str, Any], history: EventRecorder, control: ControlConnection
) -> Any:
    """Start the servers and return the function that executes commands for them.

    ValueError is raised if an address is in use.
    """
    try:
        return FakeServers(reactor, options, history, control).execute
    except CannotListenError as error:
        address = f"{error.interface}:{error.port}"
        raise ValueError(f"cannot listen on {address}: {error.socketError}") from None


if __name__ == "__main__":
    sys.exit(run_child(create_handler))
