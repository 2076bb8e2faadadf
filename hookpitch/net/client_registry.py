"""All clients' connections: their limits, the eviction of idle connections, and draining.

Up to `idle_eviction_threshold` connections, none is closed for a new one. Above the threshold, a
new connection evicts an idle one. Above `max_connections`, it also evicts a connection that has not
sent a complete command. Up to `max_over_limit` further connections are answered with -BUSY and
closed. Invariants: `connections` is ordered by the time of the last reply; `idle` and `incomplete`
hold connections that have no command in progress, the longest silent first.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from itertools import islice
from typing import Any

from twisted.internet.protocol import Factory

from hookpitch.core.host import Host
from hookpitch.core.stream import MAX_UNSENT_BYTES, MIN_UNSENT_BYTES
from hookpitch.net.backlog import Backlog
from hookpitch.net.client_connection import ClientConnection
from hookpitch.net.clock import Clock
from hookpitch.net.graceful_close import LINGER_MS

SWEEP_INTERVAL_MS = 250.0
FIRST_COMMAND_MS = 2500.0  # timeout for completing the first command, or any command begun
MIN_IDLE_MS = 2000.0  # an idle connection stays open for at least this time
MIN_IDLE_DRAINING_MS = 1000.0  # the same in a drain, also for a connection that has sent nothing
OVER_LIMIT_MS = 100.0  # time for a connection over the limit to send a command and be answered
# Without progress for so long, the client of a closing connection no longer reads its replies.
LAST_REPLY_MS = 5000.0
MIN_SILENCE_MS = 250.0  # silence after which a connection without a complete command is evictable
# While less of the memory of unread replies is available, clients that read nothing are cut off.
MIN_AVAILABLE_FRACTION = 0.25
EVICTION_CANDIDATES = 16  # connections examined in search of one to evict


class CloseReason(Enum):
    """Why the node closed a connection; the values are names of counters."""

    IDLE = "clients.closed_idle"
    SILENT = "clients.closed_silent"
    DRAINED = "clients.closed_drained"


class ClientRegistry(Factory):
    """The factory of clients' connections, and the set of open connections."""

    noisy = False

    def __init__(
        self,
        host: Host,
        clock: Clock,
        idle_eviction_threshold: int,
        max_connections: int,
        max_over_limit: int,
        read_bytes: int,
    ) -> None:
        """Create a registry; `read_bytes` are read from a connection at a time."""
        self.host = host
        self.clock = clock
        self.idle_eviction_threshold = idle_eviction_threshold
        self.max_connections = max_connections
        self.max_over_limit = max_over_limit
        self.read_bytes = read_bytes
        self.backlog = Backlog(clock)
        self.connections: dict[ClientConnection, None] = {}  # the latest reply at the end
        self.idle: dict[ClientConnection, None] = {}  # connections between two commands
        self.incomplete: dict[ClientConnection, None] = {}  # connections without a complete command
        # Connections that have sent a part of a large value, the longest without progress first.
        self.unfinished_values: dict[ClientConnection, None] = {}
        self.active_streams = 0  # responses that are being streamed
        self.is_draining = False  # idle connections are closed
        self.reports_draining = False  # PING is answered with an error
        self.fails_new_requests = False  # a shutdown leaves no time to forward RPCs
        self.on_all_closed: Callable[[], None] | None = None
        self._delivering: set[ClientConnection] = set()  # those that a shutdown waits for
        self._on_delivered: Callable[[], None] | None = None
        clock.deadlines.add(clock.now() + SWEEP_INTERVAL_MS, self.sweep)

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: ANN401 - Twisted's address types
        """Return the protocol of an accepted connection."""
        return ClientConnection(self)

    def info(self) -> bytes:
        """Return the reply to INFO: gauges and counters, one per line."""
        host = self.host
        gauges = {
            "clients.open": len(self.connections),
            "rpcs.open": len(host.rpcs),
            "memory.limit": host.memory.limit,
            "memory.used": host.memory.used,
            "memory.values": host.value_budget.used,
            "memory.replies": host.reply_budget.used,
        }
        lines = "".join(f"{name}:{value}\r\n" for name, value in gauges.items())
        return (lines + host.counters.render()).encode()

    # ---- the set of connections

    def connection_made(self, client: ClientConnection) -> None:
        """Add a connection, which may evict another one or be rejected."""
        self.connections[client] = None
        self.incomplete[client] = None
        self.host.counters.add("clients.connected")
        self.enforce_connection_limit(client)

    def connection_lost(self, client: ClientConnection) -> None:
        """Remove a connection; its RPCs are dropped before `check_all_closed` is called."""
        self.connections.pop(client, None)
        self._delivering.discard(client)
        self.remove_eviction_candidate(client)

    def mark_active(self, client: ClientConnection) -> None:
        """Move a connection that has sent a reply to the end of `connections`."""
        if client in self.connections:
            del self.connections[client]
            self.connections[client] = None
            client.active_at = self.clock.now()

    def add_eviction_candidate(self, client: ClientConnection) -> None:
        """Add a connection that has no command in progress to `idle` or `incomplete`."""
        candidates = self.idle if client.is_between_commands else self.incomplete
        candidates[client] = None

    def remove_eviction_candidate(self, client: ClientConnection) -> None:
        """Remove a connection from `idle` and `incomplete`."""
        self.idle.pop(client, None)
        self.incomplete.pop(client, None)

    # ---- limits

    def enforce_connection_limit(self, new_client: ClientConnection) -> None:
        """Evict one connection for a new one, or reject the new one.

        Clients that hold unused connections, or send only part of a command, could otherwise lock
        out all other clients.
        """
        if len(self.connections) <= self.idle_eviction_threshold:
            return
        for client in islice(self.idle, EVICTION_CANDIDATES):
            if client.is_idle and not client.has_unread_bytes():
                self.close(client, CloseReason.IDLE)
                return
        if len(self.connections) <= self.max_connections:
            return
        # A slow but well-behaved client keeps sending, so the connection that has been silent for
        # longest is evicted, not the oldest one.
        for client in islice(self.incomplete, EVICTION_CANDIDATES):
            if client.last_byte_at > new_client.last_byte_at - MIN_SILENCE_MS:
                break
            if not client.has_kernel_bytes():
                self.close(client, CloseReason.SILENT)
                return
        if len(self.connections) > self.max_connections:
            self._reject(new_client)

    def _reject(self, new_client: ClientConnection) -> None:
        """Answer the first RPC of a connection over the limit with -BUSY, and close it.

        If the process ran out of descriptors, Twisted would close accepted connections unread, and
        their RPCs would be lost.
        """
        new_client.is_over_limit = True
        self.host.counters.add("clients.guests")
        new_client.read_now()
        # Connections that send nothing would use up the remaining descriptors.
        if (
            new_client.is_closing
            or len(self.connections) > self.max_connections + self.max_over_limit
        ):
            self._close_over_limit(new_client)
        else:
            until = self.clock.now() + OVER_LIMIT_MS
            self.clock.deadlines.add(until, lambda _: self._close_over_limit(new_client))

    def _close_over_limit(self, client: ClientConnection) -> None:
        """Close a connection in this turn of the event loop: others need its descriptor now."""
        if not client.is_lost and client.has_kernel_bytes():
            client.read_now()
        is_answered = not client.pending_replies and not len(client.output_buffer)
        has_commands = client.has_commands_left or not client.parser.at_boundary
        if client.is_lost or not is_answered or has_commands:
            return
        if not client.is_closing:
            self.host.counters.add(CloseReason.SILENT.value)
        client.stop_reading()
        client.close_now()

    @property
    def stream_buffer_bytes(self) -> int:
        """The limit of unread bytes per streamed response, which falls as streams are added."""
        bytes_per_stream = self.host.reply_budget.limit // (4 * max(1, self.active_streams))
        return max(MIN_UNSENT_BYTES, min(MAX_UNSENT_BYTES, bytes_per_stream))

    @property
    def is_reply_memory_short(self) -> bool:
        """Whether little memory is left for replies that clients have not read."""
        budget = self.host.reply_budget
        return not budget.has(int(MIN_AVAILABLE_FRACTION * budget.limit))

    def reclaim_value_memory(self, count: int) -> None:
        """Drop the unfinished values of clients that have fallen silent, until there is memory.

        Clients that stop in the middle of a large write could otherwise hold the memory that the
        writes of all others need. Such a client is answered that it was rejected, should it go on.
        """
        budget = self.host.value_budget
        silent_since = self.clock.now() - MIN_SILENCE_MS
        for client in list(self.unfinished_values):
            if budget.has(count) or client.last_byte_at > silent_since:
                return
            del self.unfinished_values[client]
            if client.value is not None:
                self.host.counters.add("clients.value_dropped")
                client.value.refuse()

    def sweep(self, now: float) -> None:
        """Close connections that have been silent too long, and schedule the next sweep."""
        self.clock.deadlines.add(now + SWEEP_INTERVAL_MS, self.sweep)
        self._delivering = {
            client for client in self._delivering if client.is_closing or client.is_delivering
        }
        self._check_delivered()
        count = len(self.connections)
        min_idle_ms = MIN_IDLE_DRAINING_MS if self.is_draining else MIN_IDLE_MS
        for client in list(self.connections):
            if client.active_at > now - min_idle_ms:
                break
            if client.is_closing or client.holds_unread_replies:
                client.check_delivery()
            is_unread = client.is_closing and not client.pending_replies
            progress_at = max(client.active_at, client.write_progress_at)
            if is_unread and progress_at < now - LAST_REPLY_MS:
                # A regular close would wait for a client that does not read.
                client.transport.abortConnection()
            if self._holds_memory_for_nothing(client, now):
                self.host.counters.add("clients.cut_off")
                client.transport.abortConnection()
            reason = self._sweep_reason(client, now, count)
            if reason is not None:
                self.close(client, reason)
            if reason is CloseReason.IDLE:
                count -= 1

    def _holds_memory_for_nothing(self, client: ClientConnection, now: float) -> bool:
        """Return whether a client reads nothing while the memory of unread replies is short."""
        is_stalled = client.write_progress_at < now - LAST_REPLY_MS
        return client.holds_unread_replies and is_stalled and self.is_reply_memory_short

    def _sweep_reason(self, client: ClientConnection, now: float, count: int) -> CloseReason | None:
        """Return why a connection is to be closed while `count` are open, or None."""
        is_busy = client.pending_replies or len(client.output_buffer)
        if is_busy or client.is_closing or client.paused:
            return None
        if self.is_draining and client.is_idle and not client.has_unread_bytes():
            return CloseReason.DRAINED
        if not client.is_between_commands:
            # Hundreds of clients that send nothing, or only part of a command, would hold every
            # descriptor.
            is_late = client.active_at <= now - FIRST_COMMAND_MS
            return CloseReason.SILENT if is_late and not client.has_kernel_bytes() else None
        # Clients that send one command and leave the connection open use up the descriptors that
        # other clients need.
        exceeds_half = 2 * count > self.idle_eviction_threshold
        return CloseReason.IDLE if exceeds_half and not client.has_unread_bytes() else None

    def close(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection at once, or later where the client may not have its last reply."""
        self.host.counters.add(reason.value)
        client.stop_reading()
        client.update_eviction_order()
        just_replied = client.active_at > self.clock.now() - LINGER_MS
        if just_replied or client.has_undelivered_bytes():
            client.finish()
        else:
            client.close_now()

    # ---- draining

    def shut_down(self, on_all_closed: Callable[[], None], spread_ms: float = 0.0) -> None:
        """Drain all connections, also unused ones; call `on_all_closed` once all are closed."""
        self.on_all_closed = on_all_closed
        self.drain(include_unused=True, spread_ms=spread_ms)
        self.check_all_closed()

    def drain(self, include_unused: bool = False, spread_ms: float = 0.0) -> None:
        """Close idle connections over `spread_ms`, and busy ones once they are idle.

        If hundreds were closed at once, clients would still write to some closed connections.
        """
        self.is_draining = True
        now = self.clock.now()
        clients = list(self.connections)
        for index, client in enumerate(clients):
            if include_unused:
                client.has_sent_command = True
            if spread_ms and index and client.is_idle:
                client.is_close_scheduled = True
                at = now + spread_ms * index / len(clients)
                self.clock.deadlines.add(at, client.drain_now)
            else:
                client.advance()

    def close_all(self) -> None:
        """Close all connections at the end of a shutdown, as soon as all replies are delivered.

        Those with a partial command stay open.
        """
        self.fails_new_requests = True  # RPCs that become complete from now on fail at once
        for client in list(self.connections):
            client.run_commands_left()
            if client.pending_replies or client.parser.at_boundary:
                client.close_when_answered()

    def wait_for_deliveries(self, on_delivered: Callable[[], None]) -> int:
        """Call `on_delivered` once each client has the response that it is receiving now.

        Returns the number of these clients; the call may come before that.
        """
        self._delivering = {client for client in self.connections if client.is_delivering}
        self._on_delivered = on_delivered
        count = len(self._delivering)
        self._check_delivered()
        return count

    def _check_delivered(self) -> None:
        if self._on_delivered is not None and not self._delivering:
            on_delivered = self._on_delivered
            self._on_delivered = None
            on_delivered()

    def check_all_closed(self) -> None:
        """Tell a shutdown that the last connection, or the last that it waits for, has closed."""
        self._check_delivered()
        if self.on_all_closed is not None and not self.connections:
            on_all_closed = self.on_all_closed
            self.on_all_closed = None
            on_all_closed()
