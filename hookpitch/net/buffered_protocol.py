"""What all connections share: a LineReceiver in raw mode, with one ring buffer a direction."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from socket import IPPROTO_TCP, MSG_PEEK, SHUT_WR, TCP_INFO
from struct import unpack_from
from typing import Any

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.tcp import Connection as TcpConnection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from hookpitch.core.ring import Ring

WRITE_CHUNK_BYTES = (
    65536  # bytes handed to the transport at a time, once it has written those before
)
ENDED = (
    6,
    7,
    8,
    9,
    11,
)  # its first byte, of a peer that has ended its sending: CLOSE, CLOSE_WAIT and so on
INFO_BYTES, LAST_RECEIVED = (
    56,
    52,
)  # of Linux' struct tcp_info (linux/tcp.h): tcpi_last_data_recv, in ms


class _Outflow:
    """Feeds the transport from the ring as fast as the peer reads."""

    def __init__(self, wire: BufferedProtocol) -> None:
        self._wire = wire

    def resumeProducing(self) -> None:  # noqa: N802
        self._wire.resume_writing()

    def stopProducing(self) -> None:  # noqa: N802
        pass


class BufferedProtocol(LineReceiver):
    line_mode = 0  # RESP2's lines are cut by the core's parser, straight from the ring

    def __init__(self) -> None:
        self.inward, self.outward = Ring(), Ring()
        self._flowing = False
        self._behind = deque[
            bytes
        ]()  # large pieces that are written from where they are, after the ring
        self._plain: Any = None  # the transport, where bytes can go straight to its socket
        self.reading = False  # what came is being read in this very turn

    def connectionMade(self) -> None:  # noqa: N802
        transport = self.transport
        if isinstance(transport, TcpConnection) and not transport.TLS:
            self._plain = transport
        if hasattr(transport, "setTcpNoDelay"):
            transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Past the class's own line buffer, which would be a second copy of what the ring holds."""
        self.reading = True
        try:
            self.rawDataReceived(data)
        finally:
            self.reading = False

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        self.inward.write(data)
        self.bytes_received()

    def unread_age_ms(self) -> float:
        """Milliseconds since the newest byte came to this machine; 0 where that cannot be known."""
        socket = getattr(self.transport, "socket", None)
        if socket is None:
            return 0.0
        try:
            info = socket.getsockopt(IPPROTO_TCP, TCP_INFO, INFO_BYTES)
            return float(unpack_from("I", info, LAST_RECEIVED)[0])
        except (OSError, ValueError):
            return 0.0

    def peer_ended(self) -> bool:
        """Whether the peer has ended its sending, or is gone: also behind bytes that stand
        unread."""
        socket = getattr(self.transport, "socket", None)
        if socket is None:
            return False
        try:
            state = socket.getsockopt(IPPROTO_TCP, TCP_INFO, INFO_BYTES)[0]
            return state in ENDED if state else socket.recv(1, MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def bytes_received(self) -> None:
        """More stands in the inward ring."""
        raise NotImplementedError

    def has_unread_bytes(self) -> bool:
        """Whether bytes of the peer, or its end, stand unread, here or in the kernel."""
        return len(self.inward) > 0 or self.has_kernel_bytes()

    def has_kernel_bytes(self) -> bool:
        """The same of the kernel alone."""
        socket = getattr(self.transport, "socket", None)
        if socket is None:
            return False
        try:
            socket.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def send(self, data: bytes) -> None:
        if not self._flowing:
            plain = self._plain
            if plain is not None and plain.connected and not plain.disconnecting:
                # What the kernel takes at once costs no turn of the loop and no call for room to
                # write.
                try:
                    sent = plain.socket.send(data)
                except OSError:  # the transport finds out why
                    sent = 0
                if sent == len(data):
                    return
                data = data[sent:]
        self.outward.write(data)
        if not self._flowing:
            self._flowing = True
            self.transport.registerProducer(_Outflow(self), False)

    def send_chunks(self, pieces: Iterable[bytes]) -> None:
        """More to be written, without a copy. Nothing else may be put until it is."""
        self._behind.extend(pieces)
        if not self._flowing:
            self._flowing = True
            self.transport.registerProducer(_Outflow(self), False)

    @property
    def waiting(self) -> bool:
        """Whether something still waits here to be written."""
        return len(self.outward) > 0 or len(self._behind) > 0

    def resume_writing(self) -> None:
        if len(self.outward):
            self.transport.write(self.outward.read(WRITE_CHUNK_BYTES))
        elif self._behind:
            self.transport.write(self._behind.popleft())
        elif self._flowing:
            self._flowing = False
            self.transport.unregisterProducer()
            self.all_written()

    def close_now(self) -> None:
        """Close in this very turn; not to be called while the transport is being read."""
        # Danger: Twisted closes in a later turn, and what comes in between is lost with the
        # connection.
        if self._plain is not None and self._plain.connected and not self._flowing:
            self._plain.connectionLost(Failure(ConnectionDone()))
        else:
            self.transport.loseConnection()

    def shutdown_write(self) -> bool:
        """Tell the peer in this very turn that no more comes, and read no more; False where it
        can't be."""
        if self._plain is None or not self._plain.connected or self._flowing:
            return False
        try:
            self._plain.socket.shutdown(SHUT_WR)
        except OSError:
            return False
        self.pauseProducing()
        return True

    def reset_now(self) -> None:
        """Reset in this very turn. The transport may be in the middle of a read: it sees that it
        is over."""
        # Danger: Twisted resets in a later turn, and until then what is sent elsewhere is a second
        # copy.
        self.transport.abortConnection()
        lost = getattr(self.transport, "connectionLost", None)
        if lost is not None:
            lost(Failure(ConnectionAborted()))

    def all_written(self) -> None:
        """All that was put has been written."""
