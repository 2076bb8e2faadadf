"""One client's connection: reads RESP2 commands and replies to each in the order of the commands.

State: a parser, a queue with one slot for each command's reply, the open RPCs, and the responses
that are streamed instead of buffered. Invariants: replies are sent in the order of the commands; of
several streamed responses only the one at the head of the queue is being sent; nothing is read
while `is_closing`, nor behind a streamed response that may yet break off. Every command that has
been read is answered before the connection is closed; one that is unread in the kernel makes the
close a reset, after which the client sends it again. Its deadlines run while it is unread.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from hookpitch.core.incoming_value import IncomingValue
from hookpitch.core.memory_budget import MemoryUse
from hookpitch.core.reply_queue import ReplyQueue
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.resp import NEED_DATA, Parser, ProtocolError, skip_to_next_command
from hookpitch.core.rpc import Rpc
from hookpitch.core.rpc_table import FAILED_REPLY
from hookpitch.core.stream import MAX_STREAMED_BYTES, MIN_STREAM_MEMORY_BYTES, Stream
from hookpitch.net.buffered_protocol import (
    WRITE_CHUNK_BYTES,
    BufferedProtocol,
    allocated_bytes,
)
from hookpitch.net.client_commands import run_command
from hookpitch.net.client_streams import ClientStreams
from hookpitch.net.graceful_close import GracefulClose
from hookpitch.net.read_control import MAX_PENDING_WITHOUT_MEMORY, ReadControl

if TYPE_CHECKING:
    from hookpitch.net.client_registry import ClientRegistry

COMMANDS_PER_TURN = 8  # commands of one connection that are run as soon as they are read
VALUE_PROGRESS_BYTES = 4096  # bytes of a large value after which its client counts as active


@implementer(IHalfCloseableProtocol)
class ClientConnection(BufferedProtocol):
    """Reads commands, passes RPCs to the host and sends its responses; times are Unix ms."""

    def __init__(self, registry: ClientRegistry) -> None:
        super().__init__()
        self.registry = registry
        self.host = registry.host
        self.clock = registry.clock
        self.parser = self._new_parser()
        self.number = -1  # the connection's slot in the host's connection table

        self.pending_replies = ReplyQueue(self.host.reply_budget)
        self.rpcs: dict[ReplySlot, Rpc] = {}  # open RPCs
        self.streams = ClientStreams(registry)
        self.value: IncomingValue | None = None  # the large value of a command, while it arrives
        self._input_memory = MemoryUse(self.host.memory)
        self._output_memory = MemoryUse(self.host.reply_budget)

        self.is_closing = False  # nothing more is read, and no RPC is accepted
        self.is_lost = False  # the connection has closed
        self.is_over_limit = False  # answered with -BUSY, then closed
        self.has_sent_command = False  # at least one complete command
        self.is_close_scheduled = False  # a drain closes this connection at a later time
        self.peer_half_closed = False  # the client has stopped sending, and all bytes were read
        self.reading = ReadControl(self)
        self._close = GracefulClose(self)
        self._is_parsing = False

        self.active_at = 0.0  # time of the connect, the last reply or a command's first byte
        self.last_byte_at = 0.0
        self.write_progress_at = 0.0  # when the client last took a part of its unread replies
        self._acknowledged_bytes = 0  # as last seen

    def _new_parser(self) -> Parser:
        return Parser(self.input_buffer, commands_only=True, max_value_bytes=MAX_STREAMED_BYTES)

    def connectionMade(self) -> None:
        """Register the connection; the registry may close another connection for it."""
        super().connectionMade()
        self.limit_reads(self.registry.read_bytes)
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
    def holds_unread_replies(self) -> bool:
        """Whether replies that the client has not read take memory here."""
        return self._output_memory.held > 0

    @property
    def is_delivering(self) -> bool:
        """Whether the client has not received a response completely that has begun."""
        return bool(self.streams.by_slot) or self.has_unsent_bytes or self.has_undelivered_bytes()

    def check_delivery(self) -> None:
        """Record progress if the client's kernel has taken something since the last check."""
        count = self.acknowledged_bytes()
        if count != self._acknowledged_bytes:
            self._acknowledged_bytes = count
            self.write_progress_at = self.clock.now()

    def delivery_progress_at(self) -> float:
        """Return when the client last received something while output waits for it; 0 otherwise."""
        self.check_delivery()
        return self.write_progress_at if self.has_unsent_bytes else 0.0

    @property
    def is_between_commands(self) -> bool:
        """Whether a complete command has arrived, and no part of another one since."""
        return self.has_sent_command and self.parser.at_boundary

    # ---- commands

    def rawDataReceived(self, data: bytes) -> None:
        """Store the received bytes; large values bypass the ring buffer."""
        if data:
            self.last_byte_at = self.clock.now()
        if self.has_sent_command and self.parser.at_boundary:
            self.active_at = self.last_byte_at
        if self.parser.body_remaining and not len(self.input_buffer):
            part, data = self.parser.take_body(data)
            self._store_value_bytes(part)
            if not data:
                return
        super().rawDataReceived(data)

    def _store_value_bytes(self, data: bytes) -> None:
        if self.value is None:
            self.value = IncomingValue(self.host.value_budget)
            self.active_at = self.clock.now()
        value = self.value
        before = value.received_bytes // VALUE_PROGRESS_BYTES
        if not value.append(data):
            self.registry.reclaim_value_memory(len(data))
            if not value.append(data):
                value.refuse()
                value.append(data)
        self.registry.unfinished_values[self] = self.registry.unfinished_values.pop(self, None)
        if value.received_bytes // VALUE_PROGRESS_BYTES > before:
            # A client that sends a large value slowly must not be taken for a silent one.
            self.active_at = self.clock.now()

    def _release_value(self) -> None:
        """Release the memory of a large value, unless an RPC has taken that over."""
        self.registry.unfinished_values.pop(self, None)
        if self.value is not None:
            self.value.discard()
            self.value = None

    def value_taken(self) -> None:
        """Leave the large value of a command to its RPC, which has taken it over."""
        if self.value is not None:
            self.value = None
            self.registry.unfinished_values.pop(self, None)

    def bytes_received(self) -> None:
        """Run the complete commands, up to `COMMANDS_PER_TURN` of them."""
        self.run_commands(COMMANDS_PER_TURN)

    def run_commands(self, limit: int) -> int:
        """Run up to `limit` complete commands, and return how many were run."""
        if self._is_parsing or self.is_lost:
            return 0
        self._is_parsing = True
        count = 0
        try:
            age_ms = self.reading.command_age_ms()
            self.reading.check_client(age_ms)
            count = self._run_commands(limit, age_ms)
        finally:
            self._is_parsing = False
        self._stop_reading_if_draining()
        if len(self.input_buffer) or self._input_memory.held:
            self._input_memory.set(allocated_bytes(self.input_buffer))
        self._send_replies()
        self.update_eviction_order()
        return count

    def run_commands_left(self) -> None:
        """Run the commands that are left for later turns now."""
        while self.has_backlog and self.run_commands(COMMANDS_PER_TURN):
            pass

    def _run_commands(self, limit: int, age_ms: float) -> int:
        for count in range(limit):
            if self.reading.is_throttled:
                return count
            try:
                words = self.parser.next_value()
            except ProtocolError as error:
                self._reject_malformed(error)
                continue
            if words is NEED_DATA:
                if self.parser.body_remaining and len(self.input_buffer):
                    self._store_value_bytes(self.parser.read_body(WRITE_CHUNK_BYTES))
                    continue
                self.reading.caught_up()
                return count
            if words:
                self.has_sent_command = True
                run_command(self, words, age_ms)
                if self.value is not None:
                    self._release_value()
                if len(self.pending_replies) >= MAX_PENDING_WITHOUT_MEMORY:
                    self.reading.throttle_if_too_much()
        # The remaining commands run in later turns: hundreds of pipelined commands handled in one
        # turn would delay all deadlines.
        self.reading.leave_for_later()
        return limit

    def _reject_malformed(self, error: ProtocolError) -> None:
        """Answer malformed input, and go on to the commands that were read behind it."""
        self.host.counters.add("clients.malformed")
        self.add_reply(b"-ERR %b\r\n" % str(error).encode())
        self.stop_reading()
        self._release_value()
        skip_to_next_command(self.input_buffer)
        self.parser = self._new_parser()

    # ---- replies

    def add_reply(self, answer: bytes) -> None:
        """Add a command and the reply to it."""
        self.set_answer(self.pending_replies.add(), answer)

    def set_answer(self, slot: ReplySlot, answer: bytes) -> None:
        """Set the reply to a command, which is sent once it is its turn."""
        is_blocked = self.write_pending or (
            not self.host.reply_budget.has(len(answer)) and self.has_undelivered_bytes()
        )
        if not self.pending_replies.answer(slot, answer, FAILED_REPLY, is_blocked):
            self.host.counters.add("rpcs.reply_no_memory")

    def reply(self, slot: ReplySlot, answer: bytes) -> None:
        """Set the final response to the RPC of a slot."""
        self.rpcs.pop(slot, None)
        if self.streams.remove(slot) is None:
            self.set_answer(slot, answer)
        else:
            slot.answer = answer  # the rest of the stream
            self.reading.update()
        if not self.is_lost:
            self._send_replies()

    def _send_replies(self) -> None:
        """Send the available replies, up to the first command that has no reply yet."""
        pending = self.pending_replies
        while pending and (answers := pending.take_ready()):
            self.send(answers)
            self.registry.mark_active(self)
        if self.streams.by_slot and self.streams.current is None:
            stream = self.streams.get(pending.first)
            if stream is not None:
                self._start_stream(stream)
        if self.write_pending or self._output_memory.held:
            self._account_output()
            self.reading.throttle_if_too_much()
        self._resume_reading()
        if not pending:
            self.update_eviction_order()
        self._close_if_done()

    def _account_output(self) -> None:
        """Hold the memory of the replies that the client has not read."""
        if not self.write_pending and not self._output_memory.held:
            return
        self.streams.has_memory = self.streams.has_memory and bool(self.streams.by_slot)
        count = allocated_bytes(self.output_buffer)
        if self.streams.has_memory:
            count = max(count, MIN_STREAM_MEMORY_BYTES)
        if count != self._output_memory.held:
            if not self._output_memory.held:
                self.write_progress_at = self.clock.now()
            self._output_memory.set(count)

    # ---- streamed responses

    def reserve_stream_memory(self) -> bool:
        """Reserve memory for a streamed response; return False if there is none."""
        if not self.streams.has_memory:
            count = max(self._output_memory.held, MIN_STREAM_MEMORY_BYTES)
            self.streams.has_memory = self._output_memory.try_set(count)
        return self.streams.has_memory

    def has_commands_behind(self, slot: ReplySlot) -> bool:
        """Return whether a command, or a part of one, was read after the command of a slot."""
        return self.pending_replies.last is not slot or not self.parser.at_boundary

    def stream_started(self, slot: ReplySlot, stream: Stream) -> None:
        """Register a stream: the response to the RPC of a slot has begun to arrive in chunks."""
        self.streams.add(slot, stream)
        self.reading.update()
        if self.is_lost or self.pending_replies.first is not slot:
            stream.source.pause()  # replies to earlier commands are sent first
        else:
            self._start_stream(stream)

    def _start_stream(self, stream: Stream) -> None:
        self.streams.current = stream
        self.send(b"$%d\r\n" % stream.length)
        stream.source.resume()

    def stream_chunk(self, slot: ReplySlot, data: bytes) -> None:
        """Send the next chunk of the current stream."""
        self.send(data)
        self._account_output()
        self.reading.check_unread()
        self.streams.chunk_sent(len(self.output_buffer))

    def resume_writing(self) -> None:
        """Write more output, and resume a paused stream once enough of it has been read."""
        unsent_bytes = len(self.output_buffer)
        super().resume_writing()
        self._account_output()
        if len(self.output_buffer) >= unsent_bytes:
            return
        self.write_progress_at = self.clock.now()
        self.streams.client_progressed(self.clock.now(), len(self.output_buffer))

    def stream_aborted(self, slot: ReplySlot) -> None:
        """Fail a streamed response whose remaining chunks will not arrive."""
        self.rpcs.pop(slot, None)
        is_current = self.streams.get(slot) is self.streams.current
        self.streams.remove(slot)
        if not is_current:
            self.set_answer(slot, FAILED_REPLY)  # no chunk of this stream was sent
        else:
            # No error can be sent: the client would read it as part of the value.
            self.stop_reading()
            self.pending_replies.clear()
        self.reading.update()
        if not self.is_lost:
            self._send_replies()

    # ---- back-pressure and draining

    def _resume_reading(self) -> None:
        if self.reading.is_throttled and self.reading.end_throttling():
            self.bytes_received()  # commands that were buffered before the pause

    @property
    def has_backlog(self) -> bool:
        """Whether complete commands are left for later turns of the event loop."""
        return self.reading.has_backlog

    @property
    def has_commands_left(self) -> bool:
        """Whether commands may have been read that have not been run."""
        return self.reading.has_backlog or self.reading.is_throttled

    def read_now(self) -> None:
        """Read what is unread, unless it has to stay unread behind a streamed response."""
        if not self.is_closing and not self.streams.may_break_off:
            super().read_now()

    def update_eviction_order(self) -> None:
        """Move to the end of the registry's queue of eviction candidates, or leave that queue."""
        self.registry.remove_eviction_candidate(self)
        if (
            not self.pending_replies
            and not self.is_closing
            and not self.is_lost
            and not self.has_commands_left
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
            self.stop_reading()

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
        if self.is_closing:
            if not (self.pending_replies or self.has_commands_left or len(self.output_buffer)):
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

    def stop_reading(self) -> None:
        """Read nothing more; the connection closes once all that was read is answered."""
        if not self.is_closing:
            self.is_closing = True
            if not self.is_lost:
                self.pauseProducing()

    def close_when_answered(self) -> None:
        """Read nothing more, and close as soon as all commands that were read are answered."""
        self.stop_reading()
        self._close_if_done()

    def finish(self) -> None:
        """Shut down the sending side at once, and close once the client has the last reply."""
        self.stop_reading()
        if not (self.write_pending and self._plain_transport is not None):
            self._close.begin()  # otherwise buffered output is written first

    def readConnectionLost(self) -> None:
        """Handle a half-close: the client has stopped sending and may still read."""
        self.host.client_disconnected(self.clock.now(), list(self.rpcs.values()), still_reads=True)
        self.peer_half_closed = True
        self.stop_reading()
        self.run_commands(COMMANDS_PER_TURN)  # RPCs fail, as nothing more is sent to backends

    def writeConnectionLost(self) -> None:
        """Ignore the shutdown of this node's own sending side."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Release the connection's resources, and let the host drop its RPCs."""
        self.is_lost = True
        self.reading.release()
        self._close.release()
        self._release_value()
        self.host.connections.free(self.number)
        self.registry.connection_lost(self)
        self.pending_replies.clear()
        self.streams.clear()
        self.host.client_disconnected(self.clock.now(), list(self.rpcs.values()), still_reads=False)
        self.rpcs.clear()
        self.release_buffers()
        self._input_memory.set(0)
        self._output_memory.set(0)
        self.registry.check_all_closed()
