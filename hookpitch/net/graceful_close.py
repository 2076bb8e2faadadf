"""Closes a client's connection once the client has its last reply.

Closing a socket that has unread bytes resets the connection, and the kernel drops what it has not
delivered. Reading these bytes is no way out: a command that was read and gets no reply is lost,
while the client retries one that was not read. So the sending side is shut down first, and the
connection is closed when the client has closed too, or has had `LINGER_MS` to read the last reply.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hookpitch.net.client_connection import ClientConnection

# From when the client's kernel has acknowledged the last reply until the close, so that the client
# can read it.
LINGER_MS = 100.0
DELIVERY_CHECK_MS = 20.0  # interval at which the acknowledgement of the last reply is checked


class GracefulClose:
    """The end of one connection, from when its last reply is written."""

    __slots__ = ("_clock", "_connection", "_delivered_at", "_has_begun")

    def __init__(self, connection: ClientConnection) -> None:
        self._connection: ClientConnection | None = connection
        self._clock = connection.clock
        self._has_begun = False
        self._delivered_at: float | None = None  # when the last reply was seen to be acknowledged

    def begin(self) -> None:
        """Shut down the sending side at once, unless that was done; close later."""
        connection = self._connection
        if self._has_begun or connection is None:
            return
        self._has_begun = True
        if not connection.peer_half_closed and connection.shutdown_write():
            self._check_later()
        else:
            connection.transport.loseConnection()

    def release(self) -> None:
        """Drop the connection, which has ended: a cycle would exist until it is collected."""
        self._connection = None

    def _check_later(self) -> None:
        self._clock.deadlines.add(self._clock.now() + DELIVERY_CHECK_MS, self._check)

    def _check(self, now: float) -> None:
        """Close if the client has its last reply.

        The registry's sweep ends a connection whose client does not read.
        """
        connection = self._connection
        if connection is None:
            return
        if connection.has_undelivered_bytes():
            self._check_later()
            return
        if self._delivered_at is None:
            self._delivered_at = now
        if connection.peer_has_closed() or now - self._delivered_at >= LINGER_MS:
            connection.close_now()
        else:
            self._check_later()
