"""Fake servers in a process of their own: cache servers, the origin or discovery of a loopback run.

What one process reports to another goes over the control line: which server missed an RPC, and
what the origin has stored where.
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


class FarOrigin:
    """The origin as a cache server's process knows it."""

    def __init__(self, line: ControlConnection) -> None:
        self.line = line
        self.caches = dict[str, Cache]()

    def record_miss(self, rpc: str, cache: Cache) -> None:
        """Report a miss to the origin's process."""
        self.line.send("miss", rpc, cache.name)


class FarCache:
    """A cache server as the origin's process knows it."""

    def __init__(self, line: ControlConnection, name: str) -> None:
        self.line = line
        self.name = name

    def store(self, key: str) -> None:
        """Ask the cache's process to store a key."""
        self.line.send("order", self.name, "store", key)

    def drop(self, key: str) -> None:
        """Ask the cache's process to drop a key."""
        self.line.send("order", self.name, "drop", key)


class Standins:
    """Those of one process."""

    def __init__(
        self, reactor: Any, given: dict[str, Any], history: EventRecorder, line: ControlConnection
    ) -> None:
        self.reactor = reactor
        self.history = history
        self.line = line
        self.begun = given["begun"]
        self.nets = given["nets"]
        self.chance = random.Random(given["seed"])
        self.large = given["large"]
        self.large_size = given["large_size"]
        self.there: dict[str, CacheServer | OriginServer | DiscoveryServer] = {}
        for role in given["roles"]:
            getattr(self, f"_{role['kind']}")(role)

    def _whose(self, transport: Any) -> str:
        """The node at the other end, by its net: the first two numbers of the address."""
        net = ".".join(transport.getPeer().host.split(".")[:2])
        return self.nets.get(net, net)

    def _size(self, key: str) -> int:
        return self.large_size if crc32(key.encode()) % 1000 < 1000 * self.large else 0

    def _cache(self, role: dict[str, Any]) -> None:
        make = msgspec.convert(role["make"], CacheSpec)
        origin = FarOrigin(self.line)
        server = CacheServer(
            role["name"],
            make,
            self.reactor,
            self.history,
            origin,
            self.chance,
            self._whose,
            self.begun,
        )
        server.size_of = self._size
        self.there[role["name"]] = server
        server.start_process([role["address"]], role["port"], role["cold"])
        if role["warm"]:
            execute_command(server, "warm", role["warm"])

    def _origin(self, role: dict[str, Any]) -> None:
        origin = Origin(msgspec.convert(role["make"], OriginSpec), 0.0, self.chance)
        for name in role["caches"]:
            origin.caches[name] = FarCache(self.line, name)
        server = OriginServer(
            origin, self.reactor, self.history, self.chance, self._whose, self.begun
        )
        server.size_of = self._size
        self.there["origin"] = server
        self.reactor.listenTCP(role["port"], server, interface=role["address"], backlog=4096)

    def _discovery(self, role: dict[str, Any]) -> None:
        directory = EndpointDirectory(role["lag_ms"])
        for fields in role["hosts"]:
            directory.put(FakeEndpoint(*fields))
        directory.version = max(directory.version, role["seq"])
        server = DiscoveryServer(directory, self.reactor, self.history, self._whose, self.begun)
        server.calls_per_s = role["calls_per_s"]
        server.network_by_node = {name: net for net, name in self.nets.items()}
        self.there["discovery"] = server
        self.reactor.listenTCP(role["port"], server, interface=role["address"], backlog=4096)

    def order(self, name: str, what: str, *args: Any) -> None:
        """Carry out one order of the run."""
        server = self.there[name]
        if what == "miss" and isinstance(server, OriginServer):
            rpc, cache = args
            origin = server.origin
            origin.record_miss(rpc, origin.caches.setdefault(cache, FarCache(self.line, cache)))
        else:
            execute_command(server, what, *args)


def made(
    reactor: Any, given: dict[str, Any], history: EventRecorder, line: ControlConnection
) -> Any:
    """What carries out orders; ValueError where an address is taken."""
    try:
        return Standins(reactor, given, history, line).order
    except CannotListenError as fault:
        place = f"{fault.interface}:{fault.port}"
        raise ValueError(f"cannot listen on {place}: {fault.socketError}") from None


if __name__ == "__main__":
    sys.exit(run_child(made))
