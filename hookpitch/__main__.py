"""`python -m hookpitch`: one node on sockets."""

from __future__ import annotations

import gc
import json
import os
import resource
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from twisted.internet import reactor

from hookpitch.balancer.deployment import deployment
from hookpitch.balancer.interface import Deployment, Entry, ListKind
from hookpitch.core.counters import Counters
from hookpitch.core.host import Host
from hookpitch.net import log
from hookpitch.net.caches import Pools
from hookpitch.net.clients import Clients
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery, read
from hookpitch.net.origin import OriginConnection

BACKLOG = 4096
SERVE_ON_MS = 500.0  # after SIGTERM, while clients still come
REPLY_MS = 150.0  # past the longest deadline, for the last answers to be written


@dataclass(frozen=True, slots=True)
class Birth:
    """All that a node is told when it starts."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    sockets: int
    deployment: Deployment
    seq: int
    known: tuple[Entry, ...]
    dials: Mapping[str, str]


def birth(environment: Mapping[str, str]) -> Birth:
    """ValueError says in one line what is wrong."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ValueError("PROXY_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            top = json.load(file)
    except (OSError, ValueError, RecursionError) as fault:
        raise ValueError(f"{path}: {fault}") from None
    if not isinstance(top, dict):
        raise ValueError(f"{path}: no JSON object")

    def told(name: str) -> str:
        value = environment.get(f"PROXY_{name.upper()}") or top.get(name)
        if not isinstance(value, str) or not value:
            raise ValueError(f"{name} is missing")
        return value

    seed, limits = top.get("seed", "0"), top.get("limits") or {}
    try:
        number = seed if isinstance(seed, int) else int(seed, 16)
        sockets = int(limits.get("sockets") or 1024)
    except (TypeError, ValueError, AttributeError):
        raise ValueError("seed or limits are of a wrong form") from None
    if sockets < 64:
        raise ValueError("limits.sockets is under 64")
    # On sockets the list always has to be asked for.
    d = replace(deployment(number, top.get("settings")), must_ask=True)
    known = top.get("known") or {"seq": 0, "whole": True, "hosts": []}
    seq, _, entries, dials = read(known, d.kinds)
    return Birth(told("name"), _address(told("listen")), _address(told("discovery")), sockets, d, seq,
                 tuple(entries), dials)  # fmt: skip


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"'{text}' is no address with a port")
    return host.strip("[]"), int(port)


def main() -> int:
    try:
        told = birth(os.environ)
    except ValueError as fault:
        print(f"hookpitch: cannot start: {fault}", file=sys.stderr)
        return 2
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = told.sockets if hard == resource.RLIM_INFINITY else min(told.sockets, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    counters = Counters()
    logger = log.start(told.name, counters)
    clock = Clock(reactor)
    host = Host(clock.now(), told.deployment, clock.deadlines, counters, logger)
    host.carrier = Pools(reactor, clock, host, most // 2, OriginConnection)
    host.watcher = Discovery(reactor, clock, host, told.discovery, told.seq)
    clients = Clients(host, clock)
    host.listed(clock.now(), ListKind.CACHED, list(told.known), told.dials)
    address, port = told.listen
    try:
        listener: Any = reactor.listenTCP(port, clients, backlog=BACKLOG, interface=address)
    except Exception as fault:
        print(f"hookpitch: cannot start: {fault}", file=sys.stderr)
        return 2
    leaving: list[int] = []

    def leave() -> None:
        """Serve on, then listen no more, answer what was taken, and end."""
        if leaving:
            return
        leaving.append(1)
        logger.info("leaving")
        longest = max((m.hard_ms for m in told.deployment.methods), default=0.0)
        until = clock.now() + SERVE_ON_MS
        clock.deadlines.add(until, lambda _: (listener.stopListening(), clients.leave(reactor.stop)))
        clock.deadlines.add(until + longest + REPLY_MS, lambda _: reactor.running and reactor.stop())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(leave))
    gc.collect()
    gc.freeze()
    logger.info("serving", listen=f"{address}:{port}", servers=len(told.known))
    reactor.run(installSignalHandlers=False)
    logger.info("left", **counters.counts)
    return 0


if __name__ == "__main__":
    sys.exit(main())
