"""What whoever runs stand-ins may order of them, by name: the same in one process and over a
control line.

An order is a name and plain values, so it can be written as JSON.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hookpitch.fakes.cache_server import CacheServer
from hookpitch.fakes.discovery import Listed
from hookpitch.fakes.http_servers import DiscoveryServer, OriginServer


def _slow(server: CacheServer, by: float) -> None:
    if server.process is not None:
        server.process.slow = by


def _mood(server: CacheServer, mood: str, part: float) -> None:
    server.mood, server.part = mood, part


def _piece(server: CacheServer, size: int) -> None:
    server.piece = size


def _flush(server: CacheServer) -> None:
    if server.process is not None:
        server.process.flush()


def _store(server: CacheServer, key: str) -> None:
    if server.process is not None:
        server.process.store(key)


def _drop(server: CacheServer, key: str) -> None:
    if server.process is not None:
        server.process.drop(key)


def _warm(server: CacheServer, keys: int) -> None:
    """The commonest keys, the commonest of them last."""
    if server.process is not None:
        for n in reversed(range(min(keys, server.make.keys))):
            server.process.store(f"key{n}")


def _origin_slow(origin: OriginServer, by: float) -> None:
    origin.origin.queue.slow = by


def _failing(origin: OriginServer, part: float) -> None:
    origin.failing = part


def _put(discovery: DiscoveryServer, *fields: Any) -> None:  # noqa: ANN401
    discovery.put(Listed(*fields))


def _health(discovery: DiscoveryServer, host: str, health: str) -> None:
    if host in discovery.directory.hosts:
        discovery.health(host, health)


def _down(discovery: DiscoveryServer) -> None:
    discovery.go_down()


def _up(discovery: DiscoveryServer, anew: bool) -> None:
    discovery.come_up(anew)


def _lag(discovery: DiscoveryServer, ms: float) -> None:
    discovery.directory.lag_ms = ms


ORDERS: dict[type, dict[str, Callable[..., None]]] = {
    CacheServer: {
        "slow": _slow,
        "mood": _mood,
        "piece": _piece,
        "flush": _flush,
        "store": _store,
        "drop": _drop,
        "warm": _warm,
    },
    OriginServer: {"slow": _origin_slow, "failing": _failing},
    DiscoveryServer: {"put": _put, "health": _health, "down": _down, "up": _up, "lag": _lag},
}


def carry_out(standin: CacheServer | OriginServer | DiscoveryServer, what: str, *args: Any) -> None:  # noqa: ANN401
    ORDERS[type(standin)][what](standin, *args)
