"""One client's connection: reads RESP2 commands and replies to each in the order of the commands.

State: a parser, a queue with one slot for each command's reply, the open RPCs, and the responses
that are streamed instead of buffered. Invariants: replies are sent in the order of the commands; of
several streamed responses only the one at the head of the queue is being sent; nothing is read
while `is_closing`. A command that is still unread in the kernel counts as received, and its
deadlines run.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.resp import NEED_DATA, Parser, ProtocolError, bulk
from hookpitch.core.rpc import Rpc
from hookpitch.core.stream import MAX_STREAMED_BYTES, ChunkedValue, Stream
from hookpitch.net.buffered_protocol import WRITE_CHUNK_BYTES, BufferedProtocol

if TYPE_CHECKING:
    from hookpitch.net.client_registry import ClientRegistry

RPC_WORD_COUNTS = {b"OBJ.GET": 4, b"OBJ.SET": 5}

# While reading is paused, a client's commands wait in the kernel while their deadlines run, and may
# be forwarded after their deadlines. These two bounds are therefore far above what a well-behaved
# client has in flight.
MAX_UNREAD_REPLY_BYTES = 1 << 23
MAX_PENDING_COMMANDS = 4096

COMMANDS_PER_TURN = 32  # commands of one connection per turn of the event loop
VALUE_PROGRESS_BYTES = 4096  # bytes of a large value after which its client counts as active
# From when the client's kernel has acknowledged the last reply until the close, so that the client
# can read it.
LINGER_MS = 100.0
DELIVERY_CHECK_MS = 20.0  # interval at which the acknowledgement of the last reply is checked
STALE_READ_MS = 50.0  # the client of a command read later than this may have disconnected
REFUSED_VALUE = ChunkedValue()  # placeholder for a large value that exceeds the memory budget

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


@implementer(IHalfCloseableProtocol)
class ClientConnection(BufferedProtocol):
    """Reads commands, passes RPCs to the host and sends its responses; times are Unix ms."""

    def __init__(self, registry: ClientRegistry) -> None:
        super().__init__()
        self.registry = registry
        self.host = registry.host
        self.clock = registry.clock
        self.parser = Parser(
            self.input_buffer, commands_only=True, max_value_bytes=MAX_STREAMED_BYTES
        )
        self.number = -1  # the connection's slot in the host's connection table

        self.pending_replies: deque[ReplySlot] = deque()  # one for each command, in order
        self.rpcs: dict[ReplySlot, Rpc] = {}  # open RPCs
        self.streams: dict[ReplySlot, Stream] = {}  # responses whose first bytes have arrived
        self.current_stream: Stream | None = None  # the stream that is being sent
        self.value: ChunkedValue | None = None  # the large value of a command, while it arrives

        self.is_closing = False  # nothing more is read
        self.is_lost = False  # the connection has closed
        self.is_over_limit = False  # answered with -BUSY, then closed
        self.has_sent_command = False  # at least one complete command
        self.is_close_scheduled = False  # a drain closes this connection at a later time
        self.client_has_left = False  # the client had stopped sending when its commands were read
        self.peer_half_closed = False  # the client has stopped sending, and all bytes were read
        self._is_finished = False  # the sending side is shut down, or the close has begun
        self._delivered_at: float | None = None  # when the last reply was seen to be acknowledged
        self._is_parsing = False

        self.active_at = 0.0  # time of the connect, the last reply or a command's first byte
        self.last_byte_at = 0.0

    def connectionMade(self) -> None:
        """Register the connection; the registry may close another connection for it."""
        super().connectionMade()
        self.number = self.host.connections.add(self)
        self.active_at = self.last_byte_at = self.clock.now()
        self.registry.connection_made(self)

    @property
    def is_idle(self) -> bool:
        """Whether no command is in progress and no part of a command has arrived."""
        return (
            not self.pending_replies
            and not len(self.output_buffer)
            and not self.is_closing
            and self.parser.at_boundary
        )

    @property
    def is_between_commands(self) -> bool:
        """Whether a complete command has arrived, and no part of another one since."""
        return self.has_sent_command and self.parser.at_boundary

    # ---- commands

    def rawDataReceived(self, data: bytes) -> None:
        """Store the received bytes; large values bypass the ring buffer."""
        self.last_byte_at = self.clock.now()
        if self.has_sent_command and self.parser.at_boundary:
            self.active_at = self.last_byte_at
        if self.parser.body_remaining and not len(self.input_buffer) and not self.is_closing:
            remaining = self.parser.body_remaining
            part = data if len(data) <= remaining else data[:remaining]
            self.parser.body_remaining -= len(part)
            self._store_value_bytes(part)
            data = data[len(part) :]
            if not data:
                return
        super().rawDataReceived(data)

    def _store_value_bytes(self, data: bytes) -> None:
        if self.value is None:
            size = self.parser.body_remaining + len(data)
            has_memory = self.host.value_budget.reserve(size)
            self.value = ChunkedValue() if has_memory else REFUSED_VALUE
            self.active_at = self.clock.now()
        if self.value is not REFUSED_VALUE:
            before = self.value.length // VALUE_PROGRESS_BYTES
            self.value.append(data)
            if self.value.length // VALUE_PROGRESS_BYTES > before:
                # A client that sends a large value slowly must not be taken for a silent one.
                self.active_at = self.clock.now()

    def _release_value(self) -> None:
        """Release the memory of a large value that no RPC has taken over."""
        if self.value is not None and self.value is not REFUSED_VALUE:
            self.host.value_budget.release(self.value.length + self.parser.body_remaining)
        self.value = None

    def bytes_received(self) -> None:
        """Run the complete commands, `COMMANDS_PER_TURN` at a time."""
        if self._is_parsing or self.is_lost:
            return
        self._is_parsing = True
        try:
            age_ms = self.unread_age_ms()
            # An RPC that was read too late would be forwarded for a client that has disconnected.
            self.client_has_left = age_ms > STALE_READ_MS and self.peer_has_closed()
            self._run_commands(age_ms)
        except ProtocolError as error:
            self.host.counters.add("clients.malformed")
            self._reply(b"-ERR %b\r\n" % str(error).encode())
            self.is_closing = True
        finally:
            self._is_parsing = False
        self._stop_reading_if_draining()
        if self.is_closing:
            self.input_buffer.skip(len(self.input_buffer))
        self._send_replies()
        self.update_eviction_order()

    def _run_commands(self, age_ms: float) -> None:
        for _ in range(COMMANDS_PER_TURN):
            if self.is_closing or self.paused:
                return
            words = self.parser.next_value()
            if words is NEED_DATA:
                if self.parser.body_remaining and len(self.input_buffer):
                    self._store_value_bytes(self.parser.read_body(WRITE_CHUNK_BYTES))
                    continue
                return
            if words:
                self.has_sent_command = True
                self._run_command(words, age_ms)
                if len(self.pending_replies) >= MAX_PENDING_COMMANDS:
                    self.host.counters.add("clients.paused")
                    self.pauseProducing()
        # The remaining commands run in the next turn: hundreds of pipelined commands handled in one
        # turn would delay all deadlines.
        self.clock.deadlines.add(self.clock.now(), lambda _: self.bytes_received())

    def _run_command(self, words: list[bytes], age_ms: float) -> None:
        words[0] = words[0].upper()
        handle = HANDLERS.get(words[0], ClientConnection._handle_unknown)
        handle(self, words, age_ms)
        self._release_value()

    def _handle_rpc(self, words: list[bytes], age_ms: float) -> None:
        slot = ReplySlot()
        self.pending_replies.append(slot)
        if self.client_has_left or self.registry.fails_new_requests:
            self.host.counters.add("rpcs.client_left")
            slot.answer = FAILED
            return
        if self.is_over_limit:
            self._reject_rpc(slot, words, "rpcs.no_room")
            self.is_closing = True
            return
        if self.value is REFUSED_VALUE:
            self._reject_rpc(slot, words, "rpcs.no_memory")
            return
        rpc = None
        if len(words) == RPC_WORD_COUNTS[words[0]]:
            if self.value is not None:
                words[4] = self.value
            rpc = self.host.accept(self.clock.now(), self, slot, words, age_ms)
            if rpc is not None:
                self.value = None  # the RPC owns the value now
        if slot.answer is not None:
            return
        if rpc is None:
            self.host.counters.add("clients.wrong")
            slot.answer = b"-ERR wrong number of words, unknown class or bad wait\r\n"
        elif rpc.pending:
            self.rpcs[slot] = rpc

    def _reject_rpc(self, slot: ReplySlot, words: list[bytes], counter: str) -> None:
        self.host.counters.add(counter)
        self.host.record_rejected(words)
        slot.answer = BUSY

    def _handle_ping(self, words: list[bytes], _: float) -> None:
        if self.registry.reports_draining:
            self._reply(b"-ERR draining\r\n")
        elif len(words) > 1:
            self._reply(bulk(words[1]))
        else:
            self._reply(b"+PONG\r\n")

    def _handle_info(self, _words: list[bytes], _: float) -> None:
        self._reply(bulk(self.registry.info()))

    def _handle_ignored(self, _words: list[bytes], _: float) -> None:
        """Accept a command that client libraries send after connecting and that has no effect."""
        self._reply(b"+OK\r\n")

    def _handle_quit(self, _words: list[bytes], _: float) -> None:
        self._reply(b"+OK\r\n")
        self.is_closing = True

    def _handle_unknown(self, _words: list[bytes], _: float) -> None:
        self.host.counters.add("clients.wrong")
        self._reply(b"-ERR unknown command\r\n")

    # ---- replies

    def _reply(self, answer: bytes) -> None:
        self.pending_replies.append(ReplySlot(answer))

    def reply(self, slot: ReplySlot, answer: bytes) -> None:
        """Set the final response to the RPC of a slot."""
        slot.answer = answer
        self.rpcs.pop(slot, None)
        if self.streams.pop(slot, None) is not None:
            self.registry.active_streams -= 1
            self.current_stream = None  # `answer` holds the rest of the stream
        if not self.is_lost:
            self._send_replies()

    def _send_replies(self) -> None:
        """Send the available replies, up to the first command that has no reply yet."""
        while self.pending_replies and self.pending_replies[0].answer is not None:
            self.send(self.pending_replies.popleft().answer)
            self.registry.mark_active(self)
        if self.pending_replies and self.current_stream is None:
            stream = self.streams.get(self.pending_replies[0])
            if stream is not None:
                self._start_stream(stream)
        if len(self.output_buffer) > MAX_UNREAD_REPLY_BYTES:
            if not self.paused and not self.is_closing:
                self.pauseProducing()
            self.registry.limit_reply_memory()
        self._resume_reading()
        if not self.pending_replies:
            self.update_eviction_order()
        self._close_if_done()

    # ---- streamed responses

    def stream_started(self, slot: ReplySlot, stream: Stream) -> None:
        """Register a stream: the response to the RPC of a slot has begun to arrive in chunks."""
        self.streams[slot] = stream
        self.registry.active_streams += 1
        if self.is_lost or self.pending_replies[0] is not slot:
            stream.source.pause()  # replies to earlier commands are sent first
        else:
            self._start_stream(stream)

    def _start_stream(self, stream: Stream) -> None:
        self.current_stream = stream
        self.send(b"$%d\r\n" % stream.length)
        stream.source.resume()

    def stream_chunk(self, slot: ReplySlot, data: bytes) -> None:
        """Send the next chunk of the current stream."""
        self.send(data)
        # Without the pause, a backend that is faster than the client would fill this buffer with
        # the whole value.
        buffered = len(self.output_buffer)
        if buffered > self.registry.stream_buffer_bytes and self.current_stream is not None:
            self.current_stream.source.pause()

    def resume_writing(self) -> None:
        """Write more output, and resume a paused stream once enough of it has been read."""
        super().resume_writing()
        if self.current_stream is not None:
            self.current_stream.last_progress = self.clock.now()
            if 2 * len(self.output_buffer) <= self.registry.stream_buffer_bytes:
                self.current_stream.source.resume()

    def stream_aborted(self, slot: ReplySlot) -> None:
        """Fail a streamed response whose remaining chunks will not arrive."""
        self.rpcs.pop(slot, None)
        stream = self.streams.pop(slot, None)
        if stream is not None:
            self.registry.active_streams -= 1
        if self.current_stream is not stream:
            slot.answer = FAILED  # no chunk of this stream was sent
        else:
            # No error can be sent: the client would read it as part of the value.
            self.current_stream = None
            self.is_closing = True
            self.pending_replies.clear()
        if not self.is_lost:
            self._send_replies()

    # ---- back-pressure and draining

    def _resume_reading(self) -> None:
        has_eased = (
            2 * len(self.output_buffer) <= MAX_UNREAD_REPLY_BYTES
            and 2 * len(self.pending_replies) <= MAX_PENDING_COMMANDS
        )
        if self.paused and has_eased and not self.is_closing and not self.is_lost:
            self.resumeProducing()
            self.bytes_received()  # commands that were buffered before the pause

    def update_eviction_order(self) -> None:
        """Move to the end of the registry's queue of eviction candidates, or leave that queue."""
        self.registry.remove_eviction_candidate(self)
        if (
            not self.pending_replies
            and not self.is_closing
            and not self.is_lost
            and not len(self.output_buffer)
        ):
            self.registry.add_eviction_candidate(self)

    def _stop_reading_if_draining(self) -> None:
        """Stop reading in a drain, once no command is partially received.

        Otherwise a client that pipelines without a pause would keep its connection open forever,
        and commands read after the sending side is shut down would get no reply.
        """
        if (
            self.registry.is_draining
            and self.has_sent_command
            and self.pending_replies
            and not self.is_closing
            and self.parser.at_boundary
        ):
            self.is_closing = True
            self.pauseProducing()

    def all_written(self) -> None:
        """Continue once all buffered replies have been written."""
        self.advance()

    def advance(self) -> None:
        """Take the next step that is due: resume reading, drain or close."""
        if self.registry.is_draining and not self.is_lost and not self.is_closing:
            self.read_now()  # a command that is unread in the kernel counts as received
            if not self.is_lost:
                self._stop_reading_if_draining()
        self._resume_reading()
        self.update_eviction_order()
        self._close_if_done()

    def drain_now(self, now: float) -> None:
        """Close an idle connection, or a busy one once all its commands are answered."""
        self.is_close_scheduled = False
        self.advance()

    # ---- ending

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its connection or its sending side.

        Bytes that are still unread make no difference.
        """
        return self.is_lost or self.peer_has_closed()

    def _close_if_done(self) -> None:
        # A client that has sent part of a command waits for its reply, so a draining node reads the
        # rest of the command before it closes the connection.
        if self.is_lost:
            return
        if self.is_closing and not self.pending_replies and not len(self.output_buffer):
            self.finish()
        elif (
            self.registry.is_draining
            and self.is_idle
            and self.has_sent_command
            and not self.is_close_scheduled
        ):
            self.is_close_scheduled = True
            self.clock.deadlines.add(self.clock.now(), self._close_if_idle)

    def _close_if_idle(self, now: float) -> None:
        self.is_close_scheduled = False
        if not self.is_lost and self.is_idle and self.registry.is_draining:
            # An RPC that arrived since the last read would be lost with the connection.
            if self.has_kernel_bytes():
                self.read_now()
            if not self.is_lost and self.is_idle:
                self.finish()

    def finish(self) -> None:
        """Shut down the sending side at once, and close once the client has the last reply.

        Closing a socket that has unread bytes resets the connection, and the kernel drops what it
        has not delivered. Reading these bytes is no way out: a command that was read and gets no
        reply is lost, while the client retries one that was not read.
        """
        self.is_closing = True
        if self._is_finished or (self.write_pending and self._plain_transport is not None):
            return  # buffered output is written first
        self._is_finished = True
        if not self.peer_half_closed and self.shutdown_write():
            self._check_delivery_later()
        else:
            self.transport.loseConnection()

    def _check_delivery_later(self) -> None:
        self.clock.deadlines.add(self.clock.now() + DELIVERY_CHECK_MS, self._check_delivery)

    def _check_delivery(self, now: float) -> None:
        """Close if the client has closed too, or has had `LINGER_MS` to read the last reply.

        The registry's sweep ends a connection whose client does not read.
        """
        if self.is_lost:
            return
        if self.has_undelivered_bytes():
            self._check_delivery_later()
            return
        if self._delivered_at is None:
            self._delivered_at = now
        if self.peer_has_closed() or now - self._delivered_at >= LINGER_MS:
            self.close_now()
        else:
            self._check_delivery_later()

    def readConnectionLost(self) -> None:
        """Handle a half-close: the client has stopped sending and may still read."""
        self.host.client_disconnected(self.clock.now(), list(self.rpcs.values()), still_reads=True)
        self.peer_half_closed = True
        with suppress(ProtocolError):
            # Commands that have not started fail, as nothing more is sent to backends.
            while not self.is_closing and self.parser.next_value() is not NEED_DATA:
                self._reply(FAILED)
        self.is_closing = True
        self._send_replies()

    def writeConnectionLost(self) -> None:
        """Ignore the shutdown of this node's own sending side."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Release the connection's resources, and let the host drop its RPCs."""
        self.is_lost = True
        self._release_value()
        self.host.connections.free(self.number)
        self.registry.connection_lost(self)
        self.pending_replies.clear()
        self.current_stream = None
        self.registry.active_streams -= len(self.streams)
        self.streams.clear()
        self.host.client_disconnected(self.clock.now(), list(self.rpcs.values()), still_reads=False)
        self.rpcs.clear()
        self.release_buffers()
        self.registry.check_all_closed()


Handler = Callable[[ClientConnection, list[bytes], float], None]

HANDLERS: dict[bytes, Handler] = {
    b"OBJ.GET": ClientConnection._handle_rpc,
    b"OBJ.SET": ClientConnection._handle_rpc,
    b"PING": ClientConnection._handle_ping,
    b"INFO": ClientConnection._handle_info,
    b"CLIENT": ClientConnection._handle_ignored,
    b"SELECT": ClientConnection._handle_ignored,
    b"QUIT": ClientConnection._handle_quit,
}
