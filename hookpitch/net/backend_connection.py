"""Connections to backends: the part that all kinds share, and the caches' protocol, RESP2.

A connection carries at most one attempt at a time. Invariants: a connection returns to its pool
only when the backend has the request completely and the response was received completely, with no
bytes after it; nothing of a request is written once its attempt has ended; every attempt that was
started ends by exactly one of `finish`, `connectionLost`, or a cancellation by `BackendPools`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from hookpitch.balancer.deployment import parse_load_report
from hookpitch.balancer.interface import Outcome, Report
from hookpitch.core.collected_body import CollectedBody
from hookpitch.core.host import NO_REPORT
from hookpitch.core.memory_budget import MemoryUse
from hookpitch.core.resp import NEED_DATA, ErrorReply, Parser, ProtocolError, Value, command
from hookpitch.core.rpc import Attempt
from hookpitch.core.stream import MAX_STREAMED_BYTES, ChunkedValue
from hookpitch.core.streamed_replies import StreamStart
from hookpitch.net.buffered_protocol import (
    WRITE_CHUNK_BYTES,
    BufferedProtocol,
    allocated_bytes,
)
from hookpitch.net.stored_reply import OUTCOMES_WITHOUT_STREAM, StoredReply

if TYPE_CHECKING:
    from hookpitch.net.backend_pool import BackendPool


class BackendConnection(BufferedProtocol):
    """One connection to a backend; subclasses encode a request and read its response."""

    is_complete = False  # as the source of a stream (core.stream.Source)

    def __init__(self, pool: BackendPool) -> None:
        super().__init__()
        self.pool = pool
        self.host = pool.host
        self.clock = pool.clock
        self.number = -1  # the connection's slot in the host's connection table
        self.attempt: Attempt | None = None
        self._has_large_request = False  # which may exceed the buffers of both kernels
        self.body = CollectedBody(self.host.value_budget)  # of a value that is collected first
        self._input_memory = MemoryUse(self.host.reply_budget)
        self.pool_generation = pool.generation
        self.idle_since = 0.0
        self.is_lost = False

    def connectionMade(self) -> None:
        """Register the connection and hand it to its pool."""
        super().connectionMade()
        self.limit_reads(self.pool.pools.read_bytes)
        self.number = self.host.connections.add(self)
        self.pool.connection_made(self)

    # ---- the request

    def begin(self, attempt: Attempt) -> None:
        """Send the request of an attempt."""
        self.attempt = attempt
        attempt.carrier = self
        attempt.written = True
        head, *chunks = self.encode_request(attempt)
        self._has_large_request = bool(chunks)
        self.send(head)
        if chunks:
            self.send_chunks(chunks)
        if not self.write_pending:
            self._request_written()

    def encode_request(self, attempt: Attempt) -> Sequence[bytes]:
        """Return the bytes to send: a head, and then the chunks of a large value."""
        raise NotImplementedError

    def _request_written(self) -> None:
        self.host.counters.add("upstream_requests")

    def all_written(self) -> None:
        """Count a request whose buffered part has now been written completely."""
        if self.attempt is not None:
            self._request_written()

    def has_undelivered_request(self) -> bool:
        """Return whether the backend's kernel has not acknowledged the whole request.

        A connection that is reset then never delivers the rest.
        """
        return self.has_unsent_bytes or self.has_undelivered_bytes()

    # ---- the memory of a response

    def account_input(self) -> None:
        """Reserve the memory of an incomplete response; end its attempt where there is none."""
        if not len(self.input_buffer) and not self._input_memory.held:
            return
        held = allocated_bytes(self.input_buffer)
        if held == self._input_memory.held:
            return
        if self.attempt is None:
            self._input_memory.set(held)
        elif not self._input_memory.try_set(held):
            self.finish(Outcome.NO_MEMORY, reuse=False)

    # ---- a streamed response (core.stream.Source)

    def pause(self) -> None:
        """Stop reading until `resume` is called."""
        if not self.paused and not self.is_lost:
            self.pauseProducing()

    def resume(self) -> None:
        """Continue reading."""
        if self.paused and not self.is_lost:
            self.resumeProducing()

    def start_stream(self, length: int) -> StreamStart:
        """Begin to forward a value in chunks, or to collect it first.

        Otherwise the attempt has ended when this returns.
        """
        attempt = self.attempt
        if attempt is None:
            self.fail_malformed("unsolicited response")
            return StreamStart.NOT_NEEDED
        start = self.host.stream_started(self.clock.now(), attempt, length, self)
        if start in OUTCOMES_WITHOUT_STREAM:
            self.finish(OUTCOMES_WITHOUT_STREAM[start], reuse=False)
        return start

    def collect(self, data: bytes) -> bool:
        """Keep a part of a value; return False where there is no memory and the attempt ends."""
        if self.body.append(data):
            return True
        self.body.discard()  # at once: the bodies beside it need the memory
        self.finish(Outcome.NO_MEMORY, reuse=False)
        return False

    def forward_collected(self, load: str, reuse: bool) -> None:
        """Hand the collected value over, so that the connection is free while the client reads."""
        body = self.body
        self.body = CollectedBody(self.host.value_budget)
        attempt = self._detach_attempt(reuse)
        if attempt is None:
            body.discard()
            return
        report = self._parse_report(load)
        StoredReply(self.host, self.clock, attempt, body, report).start()

    # ---- the end of an attempt

    def finish(
        self, outcome: Outcome, value: bytes | None = None, load: str = "", reuse: bool = True
    ) -> None:
        """End the attempt; with `reuse`, return the connection to its pool.

        `load` is the text of the backend's load report; empty where the response has none.
        """
        now = self.clock.now()
        attempt = self._detach_attempt(reuse)
        if attempt is None:
            return
        age_ms = self.unread_age_ms() if not self.is_lost else 0.0
        report = self._parse_report(load)
        self.host.attempt_finished(now, attempt, outcome, value, report, age_ms)

    def _detach_attempt(self, reuse: bool) -> Attempt | None:
        """Free the connection of its attempt and return that; without `reuse`, reset it."""
        attempt = self.attempt
        self.attempt = None
        is_large = self._has_large_request
        is_delivered = not (self.has_undelivered_request() if is_large else self.has_unsent_bytes)
        if reuse and is_delivered:
            self.pool.release(self)
        else:
            # Without the reset, a response that never ends would stay open while the next attempt
            # of the same RPC runs.
            self.reset_now()
        return attempt

    def _parse_report(self, load: str) -> Report:
        if not load:
            return NO_REPORT
        try:
            return parse_load_report(load, "=")
        except ValueError:
            self.host.record_malformed("reports", load)
            return NO_REPORT

    def cancel(self, attempt: Attempt) -> None:
        """Reset the connection if it carries this attempt."""
        if self.attempt is attempt:
            self.attempt = None
            self.reset_now()

    def fail_malformed(self, reason: str) -> None:
        """End the attempt after a malformed response; the RPC may have been executed."""
        if self.attempt is not None:
            self.host.record_malformed("answers", reason)
        self.finish(Outcome.MALFORMED, reuse=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the attempt that the connection carried."""
        self.is_lost = True
        attempt = self.attempt
        self.attempt = None
        self.host.connections.free(self.number)
        self.pool.connection_lost(self)
        if attempt is not None:
            self._end_interrupted_attempt(attempt)
        self.release_buffers()
        self.body.discard()
        self._input_memory.set(0)

    def _end_interrupted_attempt(self, attempt: Attempt) -> None:
        # An RPC that ran must not be reported as not executed, or it would run twice. The backend
        # may have received the whole request unless part of it is still in the output buffer.
        if self.has_unsent_bytes:
            outcome = Outcome.CONNECT_FAILED
        else:
            # A backend that was unreachable for a time may reset every older connection at its next
            # use, which would fail one RPC per connection.
            self.pool.close_idle()
            outcome = Outcome.RESET
        self.host.attempt_finished(self.clock.now(), attempt, outcome)


class CacheConnection(BackendConnection):
    """RESP2 to a cache: sends a command and reads an array of value, state and load report."""

    def __init__(self, pool: BackendPool) -> None:
        super().__init__(pool)
        self.parser = Parser(self.input_buffer, max_value_bytes=MAX_STREAMED_BYTES)
        # How the response's value is passed on while it arrives in chunks; None before its start.
        self._value_start: StreamStart | None = None

    def encode_request(self, attempt: Attempt) -> Sequence[bytes]:
        """Return the command; a large value follows it in the chunks in which it was received."""
        rpc = attempt.rpc
        words = (rpc.command, rpc.key, rpc.id, attempt.extras(self.clock.now()))
        if rpc.value is None:
            return (command(*words),)
        if isinstance(rpc.value, ChunkedValue):
            head = command(*words).replace(b"*4", b"*5", 1) + b"$%d\r\n" % len(rpc.value)
            return (head, *rpc.value.chunks, b"\r\n")
        return (command(*words, rpc.value),)

    def rawDataReceived(self, data: bytes) -> None:
        """Store the received bytes; a large value bypasses the ring buffer."""
        attempt = self.attempt
        has_begun = self._value_start is not None
        if has_begun and attempt is not None and not len(self.input_buffer) and not self.paused:
            part, data = self.parser.take_body(data)
            if part and not self._value_part_received(attempt, part):
                return
            if not data:
                return
        super().rawDataReceived(data)
        self.account_input()

    def bytes_received(self) -> None:
        """Read the part of the response that has been received."""
        while not self.paused:
            try:
                reply = self.parser.next_value()
            except ProtocolError as error:
                self.fail_malformed(str(error))
                return
            if reply is not NEED_DATA:
                self._value_start = None
                # Bytes after a response would be taken for the response to the next RPC, so the
                # connection is not reused; the response itself is valid.
                self._handle_reply(reply, self.attempt is not None and self.parser.at_boundary)
                return
            if not self.parser.body_remaining:
                return
            if self._value_start is None:
                start = self.start_stream(self.parser.body_remaining)
                if start in OUTCOMES_WITHOUT_STREAM:
                    return
                self._value_start = start
            if self.paused or not len(self.input_buffer):
                return
            part = self.parser.read_body(WRITE_CHUNK_BYTES)
            if not self._value_part_received(self.attempt, part):
                return

    def _value_part_received(self, attempt: Attempt, part: bytes) -> bool:
        """Pass on or keep a part of a large value; return False where the attempt has ended."""
        if self._value_start is StreamStart.COLLECT:
            return self.collect(part)
        self.host.stream_chunk(self.clock.now(), attempt, part)
        return True

    def _handle_reply(self, reply: Value, reuse: bool) -> None:
        if isinstance(reply, list) and len(reply) == 3:
            value, _, report_word = reply
            if value is None or type(value) is bytes:
                load = report_word.decode("latin-1") if isinstance(report_word, bytes) else ""
                if len(self.body):
                    self.forward_collected(load, reuse)
                    return
                outcome = Outcome.MISS if value is None else Outcome.COMPLETED
                self.finish(outcome, value, load, reuse)
                return
        elif isinstance(reply, ErrorReply):
            words = reply.decode("latin-1").split(" ")
            if words[0] in ("BUSY", "ERR"):
                load = words[-1] if "=" in words[-1] else ""
                outcome = Outcome.OVERLOADED if words[0] == "BUSY" else Outcome.ERROR
                self.finish(outcome, load=load, reuse=reuse)
                return
        self.fail_malformed(repr(reply))
