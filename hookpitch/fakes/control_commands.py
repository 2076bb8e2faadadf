"""Commands that change a fake during a run: its faults, contents or endpoint list.

A command consists of a name and JSON values, so that it can be sent to a fake in another process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hookpitch.fakes.cache_server import CacheServer
from hookpitch.fakes.discovery import FakeEndpoint
from hookpitch.fakes.discovery_server import DiscoveryServer
from hookpitch.fakes.origin_server import OriginServer


def _slow_cache(server: CacheServer, factor: float) -> None:
    if server.process is not None:
        server.process.slowdown = factor


def _set_fault(server: CacheServer, mode: str, fraction: float) -> None:
    server.fault_mode, server.fault_fraction = mode, fraction


def _set_piece_size(server: CacheServer, size: int) -> None:
    server.piece_bytes = size


def _flush_keys(server: CacheServer) -> None:
    if server.process is not None:
        server.process.flush()


def _store_key(server: CacheServer, key: str) -> None:
    if server.process is not None:
        server.process.store(key)


def _drop_key(server: CacheServer, key: str) -> None:
    if server.process is not None:
        server.process.drop(key)


def _warm_up(server: CacheServer, key_count: int) -> None:
    """Store the most popular keys, in order of increasing popularity."""
    if server.process is not None:
        for index in reversed(range(min(key_count, server.spec.max_keys))):
            server.process.store(f"key{index}")


def _slow_origin(origin: OriginServer, factor: float) -> None:
    origin.origin.job_queue.slowdown = factor


def _fail_origin(origin: OriginServer, fraction: float) -> None:
    origin.failure_fraction = fraction


def _put_endpoint(discovery: DiscoveryServer, *fields: Any) -> None:
    discovery.put(FakeEndpoint(*fields))


def _set_health(discovery: DiscoveryServer, host: str, health: str) -> None:
    if host in discovery.directory.endpoints:
        discovery.set_health(host, health)


def _stop_discovery(discovery: DiscoveryServer) -> None:
    discovery.stop_serving()


def _start_discovery(discovery: DiscoveryServer, restarted: bool) -> None:
    discovery.resume_serving(restarted)


def _set_lag(discovery: DiscoveryServer, lag_ms: float) -> None:
    discovery.directory.lag_ms = lag_ms


COMMANDS: dict[type, dict[str, Callable[..., None]]] = {
    CacheServer: {
        "slow": _slow_cache,
        "mood": _set_fault,
        "piece": _set_piece_size,
        "flush": _flush_keys,
        "store": _store_key,
        "drop": _drop_key,
        "warm": _warm_up,
    },
    OriginServer: {"slow": _slow_origin, "failing": _fail_origin},
    DiscoveryServer: {
        "put": _put_endpoint,
        "health": _set_health,
        "down": _stop_discovery,
        "up": _start_discovery,
        "lag": _set_lag,
    },
}


def execute_command(
    fake: CacheServer | OriginServer | DiscoveryServer, command: str, *args: Any
) -> None:
    """Execute a command that is defined for the fake's type.

    Raise KeyError if the type has no command of this name.
    """
    COMMANDS[type(fake)][command](fake, *args)
