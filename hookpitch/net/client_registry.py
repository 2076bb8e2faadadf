"""All clients' connections: how many there may be, which are closed for others, and draining.

Up to `idle_eviction_threshold` connections nothing is closed. Above it, idle ones give way to new
ones; at `max_connections` so do those that have not sent a complete command; and up to
`max_over_limit` more are only answered that there is no room. Invariants: `connections` is ordered
by the last reply; `idle` and `incomplete` hold connections with no command in work, the longest
silent first.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from itertools import islice
from typing import Any

from twisted.internet.protocol import Factory

from hookpitch.core.host import Host
from hookpitch.core.stream import MAX_UNSENT_BYTES, MIN_UNSENT_BYTES
from hookpitch.net.client_connection import LINGER_MS, ClientConnection
from hookpitch.net.clock import Clock

SWEEP_INTERVAL_MS = 250.0
FIRST_COMMAND_MS = 2500.0  # a first command, or one begun, has to be complete by then
MIN_IDLE_MS = 2000.0  # an idle connection is kept for at least so long
MIN_IDLE_DRAINING_MS = 1000.0  # in a drain, also one that has sent nothing yet
OVER_LIMIT_MS = 100.0  # for a connection over the limit to send its command and be answered
LAST_REPLY_MS = 5000.0  # for the last replies of a closing connection to be read
MIN_SILENCE_MS = 250.0  # without a byte, before one without a complete command gives way
EVICTION_CANDIDATES = 16  # connections looked at when one has to give way


class CloseReason(Enum):
    """Why a connection was closed here; the values are the counters' names."""

    IDLE = "clients.closed_idle"
    SILENT = "clients.closed_silent"
    DRAINED = "clients.closed_drained"


class ClientRegistry(Factory):
    """The factory of clients' connections, and the set of open ones."""

    noisy = False

    def __init__(
        self,
        host: Host,
        clock: Clock,
        idle_eviction_threshold: int,
        max_reply_bytes: int,
        max_connections: int,
        max_over_limit: int,
    ) -> None:
        """`max_reply_bytes`: memory that unread replies of all clients may hold."""
        self.host = host
        self.clock = clock
        self.idle_eviction_threshold = idle_eviction_threshold
        self.max_reply_bytes = max_reply_bytes
        self.max_connections = max_connections
        self.max_over_limit = max_over_limit
        self.connections: dict[ClientConnection, None] = {}  # the latest answered is the last
        self.idle: dict[ClientConnection, None] = {}  # between two commands
        self.incomplete: dict[ClientConnection, None] = {}  # without a complete command
        self.active_streams = 0  # answers that are streamed now
        self.draining = False  # idle connections are closed
        self.reports_draining = False  # PING answers that this node drains
        self.fails_new_requests = False  # no time is left to send anything on
        self.on_all_closed: Callable[[], None] | None = None
        clock.deadlines.add(clock.now() + SWEEP_INTERVAL_MS, self.sweep)

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: ANN401 - Twisted's address types
        """A connection for a client that was accepted."""
        return ClientConnection(self)

    def info(self) -> bytes:
        """The reply to INFO: gauges and counters, one a line."""
        gauges = f"clients.open:{len(self.connections)}\r\nrpcs.open:{len(self.host.rpcs)}\r\n"
        return (gauges + self.host.counters.render()).encode()

    # ---- the set of connections

    def connection_made(self, client: ClientConnection) -> None:
        """Adds a connection, which may close another or be refused itself."""
        self.connections[client] = None
        self.incomplete[client] = None
        self.host.counters.add("clients.connected")
        self.make_room(client)

    def connection_lost(self, client: ClientConnection) -> None:
        """Removes a connection; `check_all_closed` follows once its RPCs are dropped."""
        self.connections.pop(client, None)
        self.forget_eviction(client)

    def mark_active(self, client: ClientConnection) -> None:
        """A reply was sent: the connection becomes the latest active one."""
        if client in self.connections:
            del self.connections[client]
            self.connections[client] = None
            client.active_at = self.clock.now()

    def add_eviction_candidate(self, client: ClientConnection) -> None:
        """No command of it is in work."""
        line = self.idle if client.is_between_commands else self.incomplete
        line[client] = None

    def forget_eviction(self, client: ClientConnection) -> None:
        """It may not be closed to make room."""
        self.idle.pop(client, None)
        self.incomplete.pop(client, None)

    # ---- limits

    def make_room(self, newcomer: ClientConnection) -> None:
        """Closes one connection for a new one, or refuses the new one.

        Clients that keep connections without using them, or send half of a request, would shut all
        others out.
        """
        if len(self.connections) <= self.idle_eviction_threshold:
            return
        for client in islice(self.idle, EVICTION_CANDIDATES):
            if client.is_idle and not client.has_unread_bytes():
                self.close(client, CloseReason.IDLE)
                return
        if len(self.connections) <= self.max_connections:
            return
        # A slow but honest client goes on writing, so the one that has been silent for longest
        # gives way, not the one that came first.
        for client in islice(self.incomplete, EVICTION_CANDIDATES):
            if client.last_byte_at > newcomer.last_byte_at - MIN_SILENCE_MS:
                break
            if not client.has_kernel_bytes():
                self.close(client, CloseReason.SILENT)
                return
        if len(self.connections) > self.max_connections:
            self._refuse(newcomer)

    def _refuse(self, newcomer: ClientConnection) -> None:
        """Answers its first command that there is no room, and closes it.

        With no descriptor left, Twisted would close what it accepts, with an RPC on it.
        """
        newcomer.over_limit = True
        self.host.counters.add("clients.guests")
        newcomer.read_now()
        # Those that send nothing would use up the descriptors that are left.
        if newcomer.closing or len(self.connections) > self.max_connections + self.max_over_limit:
            self._close_over_limit(newcomer)
        else:
            until = self.clock.now() + OVER_LIMIT_MS
            self.clock.deadlines.add(until, lambda _: self._close_over_limit(newcomer))

    def _close_over_limit(self, client: ClientConnection) -> None:
        """Closes at once: others need its descriptor and must not wait for another turn."""
        is_answered = not client.pending_replies and not len(client.output_buffer)
        if client.lost or not is_answered or not client.parser.at_boundary:
            return
        if not client.closing:
            self.host.counters.add(CloseReason.SILENT.value)
        client.closing = True
        client.close_now()

    @property
    def stream_buffer_bytes(self) -> int:
        """Bytes that each streamed answer may have unread: less with more of them."""
        share = self.max_reply_bytes // (4 * max(1, self.active_streams))
        return max(MIN_UNSENT_BYTES, min(MAX_UNSENT_BYTES, share))

    def limit_reply_memory(self) -> None:
        """Aborts the connection with most unread replies once all together hold too much.

        Clients that ask and never read would let the node be killed for its memory.
        """
        if sum(client.output_buffer.capacity for client in self.connections) > self.max_reply_bytes:
            worst = max(self.connections, key=lambda client: client.output_buffer.capacity)
            self.host.counters.add("clients.cut_off")
            worst.transport.abortConnection()

    def sweep(self, now: float) -> None:
        """Closes connections that have been silent too long, and repeats."""
        self.clock.deadlines.add(now + SWEEP_INTERVAL_MS, self.sweep)
        count = len(self.connections)
        kept_ms = MIN_IDLE_DRAINING_MS if self.draining else MIN_IDLE_MS
        for client in list(self.connections):
            if client.active_at > now - kept_ms:
                break
            is_unread = client.closing and not client.pending_replies
            if is_unread and client.active_at < now - LAST_REPLY_MS:
                # Its close waits for a peer that does not read.
                client.transport.abortConnection()
            reason = self._sweep_reason(client, now, count)
            if reason is not None:
                self.close(client, reason)
            if reason is CloseReason.IDLE:
                count -= 1

    def _sweep_reason(self, client: ClientConnection, now: float, count: int) -> CloseReason | None:
        """Why a connection is to be closed while `count` are open; None where it stays."""
        is_busy = client.pending_replies or len(client.output_buffer)
        if is_busy or client.closing or client.paused:
            return None
        if self.draining and client.is_idle and not client.has_unread_bytes():
            return CloseReason.DRAINED
        if not client.is_between_commands:
            # Hundreds that connect and say nothing, or half of a command, hold every descriptor.
            is_late = client.active_at <= now - FIRST_COMMAND_MS
            return CloseReason.SILENT if is_late and not client.has_kernel_bytes() else None
        # Clients that ask once and keep the connection use up what the others need.
        exceeds_half = 2 * count > self.idle_eviction_threshold
        return CloseReason.IDLE if exceeds_half and not client.has_unread_bytes() else None

    def close(self, client: ClientConnection, reason: CloseReason) -> None:
        """Closes at once, or, where the last reply may still be under way, after it."""
        self.host.counters.add(reason.value)
        client.closing = True
        client.update_eviction_order()
        if client.active_at > self.clock.now() - LINGER_MS:
            client.finish()
        else:
            client.close_now()

    # ---- draining

    def shut_down(self, on_all_closed: Callable[[], None], spread_ms: float = 0.0) -> None:
        """Drains, also connections that have sent nothing; calls back when all are closed."""
        self.on_all_closed = on_all_closed
        self.drain(include_unused=True, spread_ms=spread_ms)
        self.check_all_closed()

    def drain(self, include_unused: bool = False, spread_ms: float = 0.0) -> None:
        """Closes idle connections, spread over `spread_ms`, and the others once they are idle.

        Clients that see hundreds of closes at once would still write to some of those connections.
        """
        self.draining = True
        now = self.clock.now()
        clients = list(self.connections)
        for place, client in enumerate(clients):
            if include_unused:
                client.has_sent_command = True
            if spread_ms and place and client.is_idle:
                client.close_scheduled = True
                at = now + spread_ms * place / len(clients)
                self.clock.deadlines.add(at, client.drain_now)
            else:
                client.advance()

    def close_all(self) -> None:
        """Ends all connections but those on which a command stands in part: no time is left."""
        self.fails_new_requests = True  # a command that is complete only now is answered at once
        for client in list(self.connections):
            if client.pending_replies or client.parser.at_boundary:
                client.closing = True
                client.pending_replies.clear()
                client.finish()

    def check_all_closed(self) -> None:
        """Calls back after a shutdown once the last connection has closed."""
        if self.on_all_closed is not None and not self.connections:
            on_all_closed = self.on_all_closed
            self.on_all_closed = None
            on_all_closed()
