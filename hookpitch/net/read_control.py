"""Decides when one client's commands are read and run, and which of them come too late.

Nothing is read while commands that were read are left for later turns of the event loop, or while
too many commands wait for replies or too many replies are unread: a client that sends faster than
its commands run, or that does not read, then waits in the kernel and takes no memory here. Nor is
anything read while a response is streamed that may break off: such a connection can only be closed,
and commands that were read behind the response would get no answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hookpitch.net.client_connection import ClientConnection

# While a client's commands wait unread in the kernel, their deadlines run. These two bounds are
# therefore far above what a well-behaved client has in flight.
MAX_UNREAD_REPLY_BYTES = 1 << 23
MAX_PENDING_COMMANDS = 4096
# The same while the node is short of memory.
MAX_UNREAD_WITHOUT_MEMORY_BYTES = 1 << 16
MAX_PENDING_WITHOUT_MEMORY = 32
STALE_READ_MS = 50.0  # the client of a command read later than this may have disconnected


class ReadControl:
    """The reading of one client's connection."""

    __slots__ = (
        "_behind_since",
        "_connection",
        "_unread_since",
        "client_has_left",
        "has_backlog",
        "is_end_hidden",
        "is_throttled",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self._connection: ClientConnection | None = connection
        self.has_backlog = False  # complete commands are left for later turns of the event loop
        self.is_throttled = False  # too much is pending or unread for a further command
        self.client_has_left = False  # the client had stopped sending when its commands were read
        self.is_end_hidden = False  # the client may have left, which unread bytes hide
        self._behind_since: float | None = None  # when commands were first left in the kernel
        # Behind a streamed response: when the kernel was last seen to hold nothing unread.
        self._unread_since: float | None = None

    def release(self) -> None:
        """Drop the connection, which has ended: a cycle would exist until it is collected."""
        if self._connection is not None:
            self._leave_backlog()
            self._connection = None

    # ---- commands that come too late

    def command_age_ms(self) -> float:
        """Return for how long the commands read next may have waited to be read."""
        connection = self._connection
        now = connection.clock.now()
        age_ms = max(connection.unread_age_ms(), now - connection.last_byte_at)
        if self._unread_since is not None:
            age_ms = max(age_ms, now - self._unread_since)
        return age_ms

    @property
    def was_behind_stream(self) -> bool:
        """Whether the commands read next may have waited behind a streamed response."""
        return self._unread_since is not None

    def check_unread(self) -> None:
        """Note, while a streamed response keeps commands unread, that none has come so far."""
        connection = self._connection
        if self._unread_since is not None and not connection.has_kernel_bytes():
            self._unread_since = connection.clock.now()

    def check_client(self, age_ms: float) -> None:
        """Find out whether the RPCs read next, which came `age_ms` ago, are forwarded for nobody.

        The end of a client's connection shows only once all that it has sent before has reached
        this machine. While more is unread than this connection buffers, a client that has left
        looks like one that sends at full speed, so its RPCs are rejected until that is read.
        """
        connection = self._connection
        behind_ms = 0.0
        if self._behind_since is not None:
            behind_ms = connection.clock.now() - self._behind_since
        is_stale = max(age_ms, behind_ms) > STALE_READ_MS
        self.client_has_left = is_stale and connection.peer_has_closed()
        self.is_end_hidden = is_stale and not self.client_has_left and connection.has_kernel_bytes()

    # ---- commands left for later

    def leave_for_later(self) -> None:
        """Run the commands that are left in later turns of the event loop."""
        if self.is_throttled or self._connection is None:
            return
        self._fall_behind()
        self._connection.registry.backlog.add(self._connection)
        if not self.has_backlog:
            self.has_backlog = True
            self.update()

    def caught_up(self) -> None:
        """Read on, as all commands that were read have been run."""
        if self._connection is None:
            return
        is_behind = self._behind_since is not None or self._unread_since is not None
        if is_behind and not self._connection.has_kernel_bytes():
            self._behind_since = None
            self._unread_since = None
        if self.has_backlog:
            self._leave_backlog()
            self.update()

    def _fall_behind(self) -> None:
        if self._behind_since is None:
            self._behind_since = self._connection.clock.now()

    def _leave_backlog(self) -> None:
        self.has_backlog = False
        self._connection.registry.backlog.remove(self._connection)

    # ---- too much in progress

    def throttle_if_too_much(self) -> None:
        """Run no further command while too many wait for replies, or too much is unread."""
        connection = self._connection
        if self.is_throttled or connection is None:
            return
        if (
            len(connection.pending_replies) < MAX_PENDING_WITHOUT_MEMORY
            and len(connection.output_buffer) <= MAX_UNREAD_WITHOUT_MEMORY_BYTES
        ):
            return
        if (
            len(connection.pending_replies) >= self._max_pending_commands
            or len(connection.output_buffer) > self._max_unread_bytes
        ):
            connection.host.counters.add("clients.paused")
            self.is_throttled = True
            self._fall_behind()
            self._leave_backlog()
            self.update()

    def end_throttling(self) -> bool:
        """Read on once the reasons to throttle have eased; return whether that is so now."""
        connection = self._connection
        if not self.is_throttled or connection is None:
            return False
        has_eased = (
            2 * len(connection.output_buffer) <= self._max_unread_bytes
            and 2 * len(connection.pending_replies) <= self._max_pending_commands
        )
        if has_eased:
            self.is_throttled = False
            self.update()
        return has_eased

    @property
    def _max_pending_commands(self) -> int:
        has_room = self._connection.host.rpcs.has_room
        return MAX_PENDING_COMMANDS if has_room else MAX_PENDING_WITHOUT_MEMORY

    @property
    def _max_unread_bytes(self) -> int:
        is_short = self._connection.registry.is_reply_memory_short
        return MAX_UNREAD_WITHOUT_MEMORY_BYTES if is_short else MAX_UNREAD_REPLY_BYTES

    def update(self) -> None:
        """Read from the socket unless there is a reason not to."""
        connection = self._connection
        if connection is None or connection.is_lost or connection.is_closing:
            return
        is_behind_stream = connection.streams.may_break_off
        if is_behind_stream and self._unread_since is None:
            self._unread_since = connection.clock.now()
        is_paused = self.is_throttled or self.has_backlog or is_behind_stream
        if is_paused and not connection.paused:
            connection.pauseProducing()
        elif not is_paused and connection.paused:
            connection.resumeProducing()
