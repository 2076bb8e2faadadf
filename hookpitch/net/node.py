"""One node put together, and how it leaves."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from hookpitch.balancer.interface import ListKind
from hookpitch.core.counters import Counters
from hookpitch.core.host import Host
from hookpitch.net.caches import Pools
from hookpitch.net.clients import Clients
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.net.origin import OriginConnection
from hookpitch.net.pulse import Pulse
from hookpitch.net.start import Post

BACKLOG = 4096
OWN = 14  # descriptors: standard ones, the poller's, discovery's two, Twisted's reserve
SERVE_ON_MS = 500.0  # after being asked to leave, while clients still come
REPLY_MS = 150.0  # past the longest deadline, for the last answers to be written


class SocketNode:
    def __init__(self, reactor: Any, clock: Clock, post: Post, counters: Counters,  # noqa: ANN401
                 logger: Any, cpu: Callable[[], float] = time.process_time) -> None:  # noqa: ANN401  # fmt: skip
        """`cpu` tells the CPU time used so far, in seconds."""
        self.reactor, self.clock, self.post, self.logger = reactor, clock, post, logger
        self.host = Host(clock.now(), post.deployment, clock.deadlines, counters, logger)
        # Half of the descriptors for servers, the rest for clients; some for the log, discovery and the like,
        # and some for clients that are only told that there is no room.
        third, guests = post.sockets // 3, max(4, post.sockets // 32)
        servers = min(post.sockets // 2, post.sockets - third - guests - OWN)
        self.pools = Pools(reactor, clock, self.host, servers, OriginConnection)
        room = post.sockets - servers - guests - OWN
        self.clients = Clients(self.host, clock, third, post.memory_mb << 19, room, guests)
        self.pulse = Pulse(clock, self.host, cpu)
        self.discovery = Discovery(reactor, clock, self.host, post.discovery, post.seq)
        self.host.carrier, self.host.watcher = self.pools, self.discovery
        self.leaving = False
        self.port: Any = None

    def start(self) -> None:
        address, port = self.post.listen
        self.port = self.reactor.listenTCP(port, self.clients, backlog=BACKLOG, interface=address)
        self.host.listed(self.clock.now(), ListKind.CACHED, list(self.post.known), self.post.dials)
        self.logger.info("serving", listen=f"{address}:{port}", servers=len(self.post.known))

    def reload(self, discovery: Callable[[], tuple[str, int]]) -> None:
        """The file of the configuration was replaced: of what it holds, discovery's address may change."""
        try:
            address = discovery()
        except ValueError as fault:
            # Danger: a file half written, or with a slip in it, must not stop a node that serves.
            self.logger.info("not reloaded", why=str(fault))
            return
        self.logger.info("reloaded", discovery=f"{address[0]}:{address[1]}")
        self.discovery.move(address)

    def leave(self) -> None:
        """Serve on for a while, then listen no more, answer what was taken, and end."""
        if self.leaving:
            return
        self.leaving = True
        self.logger.info("leaving")
        longest = max((m.hard_ms for m in self.post.deployment.methods), default=0.0)
        until, deadlines = self.clock.now() + SERVE_ON_MS, self.clock.deadlines
        deadlines.add(until, lambda _: self._close())
        deadlines.add(until + longest + REPLY_MS, lambda _: self._end())

    def _close(self) -> None:
        # Danger: the kernel has taken connections that a busy loop has not; they would be reset.
        sessions = -1
        while sessions != getattr(self.port, "sessionno", -1):
            sessions = self.port.sessionno
            self.port.doRead()
        self.port.stopListening()
        self.clients.leave(self._end)

    def _end(self) -> None:
        if self.reactor.running:
            self.reactor.stop()
