"""The base of every connection: a LineReceiver in raw mode with one ring buffer per direction.

Received bytes go into `input_buffer`, and `bytes_received` is called. Bytes to send go straight to
the socket where the kernel takes them at once, and otherwise into `output_buffer`, from which the
transport pulls them as fast as the peer reads. Invariants: bytes leave in the order of the calls of
`send` and `send_chunks`; `all_written` is called each time after buffered output has left.
"""

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

WRITE_CHUNK_BYTES = 65536  # given to the transport at a time, once it has written those before

# Linux' struct tcp_info (linux/tcp.h). Its first byte is the connection's state.
TCP_INFO_BYTES = 56
LAST_DATA_RECEIVED_OFFSET = 52  # tcpi_last_data_recv, in ms
PEER_ENDED_STATES = (6, 7, 8, 9, 11)  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


class _OutputProducer:
    """Feeds the transport from a protocol's output whenever it can write more."""

    def __init__(self, protocol: BufferedProtocol) -> None:
        self._protocol = protocol

    def resumeProducing(self) -> None:
        self._protocol.resume_writing()

    def stopProducing(self) -> None:
        pass


class BufferedProtocol(LineReceiver):
    """A connection with buffered input and output; subclasses define `bytes_received`."""

    line_mode = 0  # RESP2's lines are cut by the core's parser, straight from the ring

    def __init__(self) -> None:
        self.input_buffer = Ring()
        self.output_buffer = Ring()
        self.write_pending = False  # a producer is registered: output waits for the transport
        self.reading = False  # received bytes are being handled further up the call stack
        self._chunks = deque[bytes]()  # large pieces, sent uncopied after the output buffer
        self._plain_transport: Any = None  # set where bytes can go straight to the socket

    def connectionMade(self) -> None:
        """Prepares the transport."""
        transport = self.transport
        if isinstance(transport, TcpConnection) and not transport.TLS:
            self._plain_transport = transport
        if hasattr(transport, "setTcpNoDelay"):
            transport.setTcpNoDelay(True)

    # ---- receiving

    def dataReceived(self, data: bytes) -> None:
        """Past LineReceiver's own buffer, which would be a second copy of the ring's content."""
        self.reading = True
        try:
            self.rawDataReceived(data)
        finally:
            self.reading = False

    def rawDataReceived(self, data: bytes) -> None:
        """Buffers what came."""
        self.input_buffer.write(data)
        self.bytes_received()

    def bytes_received(self) -> None:
        """Called when the input buffer has grown."""
        raise NotImplementedError

    def unread_age_ms(self) -> float:
        """Milliseconds since the newest byte reached this machine; 0 where that is not known."""
        socket = getattr(self.transport, "socket", None)
        if socket is None:
            return 0.0
        try:
            info = socket.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)
            return float(unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)[0])
        except (OSError, ValueError):
            return 0.0

    def peer_ended(self) -> bool:
        """Whether the peer has ended its sending or has reset, also behind bytes still unread."""
        socket = getattr(self.transport, "socket", None)
        if socket is None:
            return False
        try:
            state = socket.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)[0]
            return state in PEER_ENDED_STATES if state else socket.recv(1, MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def has_unread_bytes(self) -> bool:
        """Whether bytes of the peer, or its end, are unread in the input buffer or the kernel."""
        return len(self.input_buffer) > 0 or self.has_kernel_bytes()

    def has_kernel_bytes(self) -> bool:
        """Whether bytes of the peer, or its end, are unread in the kernel."""
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

    # ---- sending

    def send(self, data: bytes) -> None:
        """Sends at once what the kernel takes, and buffers the rest."""
        if not self.write_pending:
            plain = self._plain_transport
            if plain is not None and plain.connected and not plain.disconnecting:
                # What the kernel takes at once costs no turn of the loop and no poll for
                # writability.
                try:
                    sent = plain.socket.send(data)
                except OSError:  # the transport finds out why
                    sent = 0
                if sent == len(data):
                    return
                data = data[sent:]
        self.output_buffer.write(data)
        if not self.write_pending:
            self._start_writing()

    def send_chunks(self, chunks: Iterable[bytes]) -> None:
        """Sends large pieces without a copy. Nothing else may be sent until they have left."""
        self._chunks.extend(chunks)
        if not self.write_pending:
            self._start_writing()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether output still waits here for the transport."""
        return len(self.output_buffer) > 0 or len(self._chunks) > 0

    def resume_writing(self) -> None:
        """Gives the transport its next piece; called by it whenever it has written the last."""
        if len(self.output_buffer):
            self.transport.write(self.output_buffer.read(WRITE_CHUNK_BYTES))
        elif self._chunks:
            self.transport.write(self._chunks.popleft())
        elif self.write_pending:
            self.write_pending = False
            self.transport.unregisterProducer()
            self.all_written()

    def _start_writing(self) -> None:
        self.write_pending = True
        self.transport.registerProducer(_OutputProducer(self), False)

    def all_written(self) -> None:
        """Called once all buffered output has been written."""

    # ---- ending

    @property
    def can_end_now(self) -> bool:
        """Whether nothing waits that a direct close or shutdown of the socket would cut off."""
        plain = self._plain_transport
        return plain is not None and plain.connected and not self.write_pending

    def close_now(self) -> None:
        """Closes in this very turn of the loop; not to be called while the transport is read.

        Twisted closes in a later turn, and what comes in between is lost with the connection.
        """
        if self.can_end_now:
            self._plain_transport.connectionLost(Failure(ConnectionDone()))
        else:
            self.transport.loseConnection()

    def shutdown_write(self) -> bool:
        """Ends our sending in this very turn and stops reading; False where it can't be done."""
        if not self.can_end_now:
            return False
        try:
            self._plain_transport.socket.shutdown(SHUT_WR)
        except OSError:
            return False
        self.pauseProducing()
        return True

    def reset_now(self) -> None:
        """Resets in this very turn. A transport in the middle of a read sees that it is over.

        Twisted resets in a later turn, and a request sent elsewhere before that would be a second
        copy of one that may still run here.
        """
        self.transport.abortConnection()
        connection_lost = getattr(self.transport, "connectionLost", None)
        if connection_lost is not None:
            connection_lost(Failure(ConnectionAborted()))
