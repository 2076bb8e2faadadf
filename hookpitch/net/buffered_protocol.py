"""The base of every connection: a LineReceiver in raw mode with one ring buffer per direction.

Received bytes are written to `input_buffer`, and `bytes_received` is called. Bytes to send are
written directly to the socket if the kernel accepts them at once, and otherwise to `output_buffer`,
from which the transport pulls them as fast as the peer reads. Invariants: bytes are sent in the
order of the calls of `send` and `send_chunks`; `all_written` is called each time after all buffered
output has been written.
"""

from __future__ import annotations

from collections.abc import Iterable
from socket import MSG_PEEK, SHUT_WR
from typing import Any

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.tcp import Connection as TcpConnection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from hookpitch.core.ring import INITIAL_CAPACITY, Ring
from hookpitch.net.tcp_info import TcpInfo, ms_since_receive, tcp_info_of

WRITE_CHUNK_BYTES = 65536  # written to the socket at a time


def allocated_bytes(buffer: Ring) -> int:
    """Return the memory of a buffer beyond the little that every connection is granted."""
    return buffer.capacity if buffer.capacity > INITIAL_CAPACITY else 0


class _OutputProducer:
    """Passes a protocol's buffered output to the transport whenever the transport can write."""

    def __init__(self, protocol: BufferedProtocol) -> None:
        self._protocol = protocol

    def resumeProducing(self) -> None:
        self._protocol.resume_writing()

    def stopProducing(self) -> None:
        pass


class BufferedProtocol(LineReceiver):
    """A connection with buffered input and output; subclasses define `bytes_received`."""

    line_mode = 0  # raw mode: the core's parser splits RESP2 lines directly in the ring buffer

    def __init__(self) -> None:
        self.input_buffer = Ring()
        self.output_buffer = Ring()
        self.write_pending = False  # a producer is registered: output waits for the transport
        self.is_reading = False  # received bytes are being handled further up the call stack
        self._chunks: list[bytes | bytearray] = []  # large, sent one by one after the output buffer
        self._plain_transport: Any = None  # the transport, where its socket may be used directly

    def connectionMade(self) -> None:
        """Prepare the transport."""
        transport = self.transport
        if isinstance(transport, TcpConnection) and not transport.TLS:
            self._plain_transport = transport
        if hasattr(transport, "setTcpNoDelay"):
            transport.setTcpNoDelay(True)

    # ---- receiving

    def dataReceived(self, data: bytes) -> None:
        """Bypass LineReceiver's own buffer, which would copy the ring buffer's content again."""
        self.is_reading = True
        try:
            self.rawDataReceived(data)
        finally:
            self.is_reading = False

    def rawDataReceived(self, data: bytes) -> None:
        """Buffer the received bytes."""
        self.input_buffer.write(data)
        self.bytes_received()

    def bytes_received(self) -> None:
        """Handle new bytes in the input buffer."""
        raise NotImplementedError

    def unread_age_ms(self) -> float:
        """Return the milliseconds since the newest byte reached this machine; 0 where unknown."""
        return ms_since_receive(self.transport)

    def has_undelivered_bytes(self) -> bool:
        """Return whether the peer's kernel has not acknowledged all that was written."""
        info = tcp_info_of(self.transport)
        return info is not None and info.has_undelivered

    def acknowledged_bytes(self) -> int:
        """Return how many bytes the peer's kernel has acknowledged so far; 0 where unknown."""
        info = tcp_info_of(self.transport)
        return info.acknowledged_bytes if info is not None else 0

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed its sending side or reset the connection.

        Bytes that are still unread make no difference.
        """
        socket = getattr(self.transport, "socket", None)
        if socket is None:
            return False
        try:
            info = TcpInfo(socket)
            return info.peer_has_ended if info.state else socket.recv(1, MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def has_unread_bytes(self) -> bool:
        """Return whether the input buffer or the kernel holds unread bytes or an end of stream."""
        return len(self.input_buffer) > 0 or self.has_kernel_bytes()

    def has_kernel_bytes(self) -> bool:
        """Return whether the kernel holds unread bytes or an end of stream."""
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

    def limit_reads(self, count: int) -> None:
        """Read at most `count` bytes from the socket at a time."""
        if self._plain_transport is not None:
            self._plain_transport.bufferSize = count

    def read_now(self) -> None:
        """Read the bytes in the kernel without waiting for the event loop's next turn."""
        getattr(self.transport, "doRead", lambda: None)()

    # ---- sending

    def send(self, data: bytes) -> None:
        """Send the bytes that the kernel accepts at once, and buffer the rest."""
        if not self.write_pending:
            plain = self._plain_transport
            if plain is not None and plain.connected and not plain.disconnecting:
                # A direct write needs no further turn of the event loop and no poll for
                # writability.
                try:
                    sent = plain.socket.send(data)
                except OSError:  # the transport reports the cause when it writes
                    sent = 0
                if sent == len(data):
                    return
                data = data[sent:]
        self.output_buffer.write(data)
        if not self.write_pending:
            self._start_writing()

    def send_chunks(self, chunks: Iterable[bytes | bytearray]) -> None:
        """Send large chunks, one copy at a time; `send` must not be called until they are written.

        The output buffer is written first, so later bytes in the buffer would overtake the chunks.
        """
        self._chunks.extend(chunks)
        if not self.write_pending:
            self._start_writing()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether some output is not in the kernel yet.

        The transport of a socket holds the last part until it asks for more.
        """
        if self._plain_transport is not None:
            return self.write_pending
        return len(self.output_buffer) > 0 or len(self._chunks) > 0

    def resume_writing(self) -> None:
        """Write the next bytes; the transport calls this whenever it has written all it was given.

        The output buffer is written to the socket directly, so that the bytes that a slow peer has
        no room for are not held a second time by the transport.
        """
        if len(self.output_buffer):
            self._write_output()
        elif self._chunks:
            self.transport.write(bytes(self._chunks.pop(0)))  # Twisted accepts no bytearray
        elif self.write_pending:
            self._finish_writing()

    def _write_output(self) -> None:
        plain = self._plain_transport
        data = self.output_buffer.peek(WRITE_CHUNK_BYTES)
        if plain is None or not plain.connected or plain.disconnecting:
            self.output_buffer.skip(len(data))
            self.transport.write(data)
            return
        try:
            self.output_buffer.skip(plain.socket.send(data))
        except BlockingIOError:
            pass
        except OSError:
            self.output_buffer.skip(len(data))
            self.transport.write(data)  # the transport reports the cause when it writes
            return
        if len(self.output_buffer) or self._chunks:
            plain.startWriting()
        else:
            self._finish_writing()

    def _finish_writing(self) -> None:
        self.write_pending = False
        self.transport.unregisterProducer()
        self.all_written()

    def _start_writing(self) -> None:
        self.write_pending = True
        self.transport.registerProducer(_OutputProducer(self), False)

    def all_written(self) -> None:
        """Handle the end of writing: all buffered output has been written."""

    # ---- ending

    def release_buffers(self) -> None:
        """Free the memory of the buffers; to be called when the connection has ended.

        Twisted's objects of a closed connection refer to each other and to this protocol, so it may
        exist until the garbage collector runs, which is seldom.
        """
        self.input_buffer.skip(len(self.input_buffer))
        self.output_buffer.skip(len(self.output_buffer))
        self._chunks.clear()
        self.write_pending = False

    @property
    def can_end_now(self) -> bool:
        """Whether the socket may be closed or shut down directly, without losing output."""
        plain = self._plain_transport
        return plain is not None and plain.connected and not self.write_pending

    def close_now(self) -> None:
        """Close in this turn of the event loop; not to be called while the transport is being read.

        Twisted closes in a later turn, and bytes that arrive in between are lost.
        """
        if self.can_end_now:
            self._plain_transport.connectionLost(Failure(ConnectionDone()))
        else:
            self.transport.loseConnection()

    def shutdown_write(self) -> bool:
        """Shut down the sending side at once and stop reading; return False where that fails."""
        if not self.can_end_now:
            return False
        try:
            self._plain_transport.socket.shutdown(SHUT_WR)
        except OSError:
            return False
        self.pauseProducing()
        return True

    def reset_now(self) -> None:
        """Reset the connection in this turn of the event loop, even while it is being read.

        Twisted resets in a later turn. A retry that is sent elsewhere before that could run while
        the backend still executes the first request.
        """
        self.transport.abortConnection()
        connection_lost = getattr(self.transport, "connectionLost", None)
        if connection_lost is not None:
            connection_lost(Failure(ConnectionAborted()))
