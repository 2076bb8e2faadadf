"""Connections to servers: what all kinds share, and the cache servers' protocol, RESP2.

A connection carries at most one attempt at a time. Invariants: it goes back to its pool only once
the response has come whole with nothing behind it and the request has left whole; every attempt
that was begun ends by exactly one of `finish`, `connectionLost`, or a cancellation by the pools.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from hookpitch.balancer.deployment import parse_load_report
from hookpitch.balancer.interface import Outcome
from hookpitch.core.host import NO_REPORT
from hookpitch.core.resp import NEED_DATA, ErrorReply, Parser, ProtocolError, Value, command
from hookpitch.core.rpc import Attempt
from hookpitch.core.stream import MAX_STREAMED_BYTES, ChunkedValue
from hookpitch.net.buffered_protocol import WRITE_CHUNK_BYTES, BufferedProtocol

if TYPE_CHECKING:
    from hookpitch.net.backend_pool import BackendPool


class BackendConnection(BufferedProtocol):
    """One connection to a server; subclasses write a request and read its response."""

    def __init__(self, pool: BackendPool) -> None:
        super().__init__()
        self.pool = pool
        self.host = pool.host
        self.clock = pool.clock
        self.number = -1  # of its slot among the host's connections
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.lost = False

    def connectionMade(self) -> None:
        """Offers itself to its pool."""
        super().connectionMade()
        self.number = self.host.connections.add(self)
        self.pool.connection_made(self)

    # ---- the request

    def begin(self, attempt: Attempt) -> None:
        """Sends the request of an attempt."""
        self.attempt = attempt
        attempt.carrier = self
        attempt.written = True
        head, *chunks = self.encode_request(attempt)
        self.send(head)
        if chunks:
            self.send_chunks(chunks)
        if not self.write_pending:
            self._request_written()

    def encode_request(self, attempt: Attempt) -> Sequence[bytes]:
        """What is sent: a head, and large pieces after it."""
        raise NotImplementedError

    def _request_written(self) -> None:
        self.host.counters.add("upstream_requests")

    def all_written(self) -> None:
        """A request that did not fit into the kernel at once has left whole."""
        if self.attempt is not None:
            self._request_written()

    # ---- a streamed response (core.stream.Source)

    def pause(self) -> None:
        """Reads no more for now."""
        if not self.paused and not self.lost:
            self.pauseProducing()

    def resume(self) -> None:
        """Reads on."""
        if self.paused and not self.lost:
            self.resumeProducing()

    def start_stream(self, length: int) -> bool:
        """A value begins that is passed on in pieces; False where nobody waits for it any more."""
        attempt = self.attempt
        if attempt is None:
            self.fail_malformed("nobody asked")
            return False
        if self.host.stream_started(self.clock.now(), attempt, length, self):
            return True
        self.finish(Outcome.CANCELLED, reuse=False)
        return False

    # ---- the end of an attempt

    def finish(
        self, outcome: Outcome, value: bytes | None = None, load: str = "", reuse: bool = True
    ) -> None:
        """Ends the attempt; with `reuse` the connection is free for the next.

        `load` is the server's load report as it wrote it; empty where it gave none.
        """
        attempt = self.attempt
        self.attempt = None
        now = self.clock.now()
        if reuse and not self.has_unsent_bytes:
            self.pool.release(self)
        else:
            # A response without an end would stay open beside the next copy of its request.
            self.reset_now()
        if attempt is None:
            return
        age_ms = self.unread_age_ms() if not self.lost else 0.0
        values = NO_REPORT
        if load:
            try:
                values = parse_load_report(load, "=")
            except ValueError:
                self.host.record_malformed("reports", load)
        self.host.attempt_finished(now, attempt, outcome, value, values, age_ms)

    def fail_malformed(self, reason: str) -> None:
        """What came can't be read: the RPC may have run, and the connection is of no more use."""
        if self.attempt is not None:
            self.host.record_malformed("answers", reason)
        self.finish(Outcome.MALFORMED, reuse=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ends the attempt that was on it."""
        self.lost = True
        attempt = self.attempt
        self.attempt = None
        self.host.connections.free(self.number)
        self.pool.connection_lost(self)
        if attempt is None:
            return
        # Taken for not executed, an RPC that did run would run twice. Only what still stands in our
        # own buffer was surely not written whole.
        if self.has_unsent_bytes:
            outcome = Outcome.CONNECT_FAILED
        else:
            # A machine that was cut off resets all connections from before, RPC after RPC.
            self.pool.close_idle()
            outcome = Outcome.RESET
        self.host.attempt_finished(self.clock.now(), attempt, outcome)


class CacheConnection(BackendConnection):
    """RESP2 to a cache server: a command, then an array of value, state and load report."""

    def __init__(self, pool: BackendPool) -> None:
        super().__init__(pool)
        self.parser = Parser(self.input_buffer, max_value_bytes=MAX_STREAMED_BYTES)
        self.streaming = False  # the response's value is being passed on in pieces

    def encode_request(self, attempt: Attempt) -> Sequence[bytes]:
        """The command; a large value goes after it as it was received."""
        rpc = attempt.rpc
        words = (rpc.command, rpc.key, rpc.id, attempt.extras(self.clock.now()))
        if rpc.value is None:
            return (command(*words),)
        if isinstance(rpc.value, ChunkedValue):
            head = command(*words).replace(b"*4", b"*5", 1) + b"$%d\r\n" % len(rpc.value)
            return (head, *rpc.value.chunks, b"\r\n")
        return (command(*words, rpc.value),)

    def rawDataReceived(self, data: bytes) -> None:
        """A large value goes past the ring."""
        attempt = self.attempt
        is_past_ring = self.streaming and not len(self.input_buffer) and not self.paused
        if is_past_ring and attempt is not None:
            remaining = self.parser.body_remaining
            part = data if len(data) <= remaining else data[:remaining]
            self.parser.body_remaining -= len(part)
            self.host.stream_chunk(self.clock.now(), attempt, part)
            data = data[len(part) :]
            if not data:
                return
        super().rawDataReceived(data)

    def bytes_received(self) -> None:
        """Reads the response as far as it has come."""
        while not self.paused:
            try:
                reply = self.parser.next_value()
            except ProtocolError as fault:
                self.fail_malformed(str(fault))
                return
            if reply is not NEED_DATA:
                self.streaming = False
                # What comes behind a response would answer the next RPC. The response is good.
                self._handle_reply(reply, self.attempt is not None and self.parser.at_boundary)
                return
            if not self.parser.body_remaining:
                return
            if not self.streaming and not self.start_stream(self.parser.body_remaining):
                return
            self.streaming = True
            if self.paused or not len(self.input_buffer):
                return
            part = self.parser.read_body(WRITE_CHUNK_BYTES)
            self.host.stream_chunk(self.clock.now(), self.attempt, part)

    def _handle_reply(self, reply: Value, reuse: bool) -> None:
        if isinstance(reply, list) and len(reply) == 3:
            value, _, report_word = reply
            if value is None or type(value) is bytes:
                load = report_word.decode("latin-1") if isinstance(report_word, bytes) else ""
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
