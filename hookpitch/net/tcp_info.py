"""What the kernel knows of a connection: Linux's `struct tcp_info` (linux/tcp.h).

Each field is 0 where the kernel does not fill it, or where a transport has no socket.
"""

from __future__ import annotations

from socket import IPPROTO_TCP, TCP_INFO
from struct import Struct
from typing import Any

STRUCT_BYTES = 148
UNACKNOWLEDGED_OFFSET = 24  # tcpi_unacked: segments that are sent and not acknowledged
LAST_DATA_RECEIVED_OFFSET = 52  # tcpi_last_data_recv, in ms
BYTES_ACKNOWLEDGED_OFFSET = 120  # tcpi_bytes_acked, of 64 bits
NOT_SENT_OFFSET = 144  # tcpi_notsent_bytes: bytes that the peer has no room for yet
FIELD = Struct("I")
LONG_FIELD = Struct("Q")
LAST_DATA_RECEIVED_END = LAST_DATA_RECEIVED_OFFSET + FIELD.size
FIN_UNACKNOWLEDGED_STATES = (4, 9, 11)  # FIN_WAIT1, LAST_ACK, CLOSING
PEER_ENDED_STATES = (6, 7, 8, 9, 11)  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


class TcpInfo:
    """The state of one connection at the time of the call."""

    __slots__ = ("_struct",)

    def __init__(self, socket: Any) -> None:  # noqa: ANN401 - a socket, or a test's transport
        """Ask the kernel; raises OSError or ValueError where the socket is closed."""
        self._struct: bytes = socket.getsockopt(IPPROTO_TCP, TCP_INFO, STRUCT_BYTES)

    def _field(self, offset: int, field: Struct = FIELD) -> int:
        is_filled = len(self._struct) >= offset + field.size
        return field.unpack_from(self._struct, offset)[0] if is_filled else 0

    @property
    def state(self) -> int:
        """The state of the connection, as Linux numbers them."""
        return self._struct[0]

    @property
    def acknowledged_bytes(self) -> int:
        """The bytes that the peer's kernel has acknowledged so far."""
        return self._field(BYTES_ACKNOWLEDGED_OFFSET, LONG_FIELD)

    @property
    def has_undelivered(self) -> bool:
        """Whether the peer's kernel has not acknowledged all that was written to the socket.

        The end of the stream counts as written once the sending side is shut down.
        """
        return bool(
            self.state in FIN_UNACKNOWLEDGED_STATES
            or self._field(UNACKNOWLEDGED_OFFSET)
            or self._field(NOT_SENT_OFFSET)
        )

    @property
    def peer_has_ended(self) -> bool:
        """Whether the peer has closed its sending side or reset the connection."""
        return self.state in PEER_ENDED_STATES


def ms_since_receive(transport: Any) -> float:  # noqa: ANN401 - any of Twisted's transports
    """Return the milliseconds since the newest byte reached this machine.

    Every RPC asks for this twice, so no `TcpInfo` is made for it.
    """
    socket = getattr(transport, "socket", None)
    if socket is None:
        return 0.0
    try:
        info = socket.getsockopt(IPPROTO_TCP, TCP_INFO, LAST_DATA_RECEIVED_END)
    except (OSError, ValueError):
        return 0.0
    is_filled = len(info) >= LAST_DATA_RECEIVED_END
    return float(FIELD.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)[0]) if is_filled else 0.0


def tcp_info_of(transport: Any) -> TcpInfo | None:  # noqa: ANN401 - any of Twisted's transports
    """Return the state of a transport's connection; None where it has no open socket."""
    socket = getattr(transport, "socket", None)
    if socket is None:
        return None
    try:
        return TcpInfo(socket)
    except (OSError, ValueError):
        return None
