"""Connections to the origin: HTTP/1.1 with h11, one attempt at a time on each connection.

State: the h11 connection, and the status, headers and body of the response. A value of more than
`MAX_BULK_BYTES` bytes with a Content-Length is streamed as it arrives. A value without one, or with
commands of its client read behind it, is collected under the budget of large values first. The body
of any other response is dropped.
"""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from urllib.parse import quote

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from hookpitch.balancer.interface import Outcome
from hookpitch.core.resp import MAX_BULK_BYTES
from hookpitch.core.rpc import Attempt
from hookpitch.core.stream import MAX_STREAMED_BYTES, ChunkedValue
from hookpitch.core.streamed_replies import StreamStart
from hookpitch.net.backend_connection import BackendConnection
from hookpitch.net.backend_pool import BackendPool
from hookpitch.net.stored_reply import OUTCOMES_WITHOUT_STREAM

BODY_TOO_LONG = "response body exceeds the limit for streamed values"


class OriginConnection(BackendConnection):
    """Sends a GET for each read and a PUT for each write."""

    def __init__(self, pool: BackendPool) -> None:
        super().__init__(pool)
        self.http = h11.Connection(h11.CLIENT)
        self._reset_response()

    def _reset_response(self) -> None:
        self.body.discard()
        self.status = 0  # 0 until the response's head has been received
        self.headers: dict[bytes, bytes] = {}
        self.body_length = 0  # bytes received, whether or not they are kept
        self.is_streaming = False  # the body is being forwarded in chunks

    # ---- the request

    def encode_request(self, attempt: Attempt) -> Sequence[bytes]:
        """Return the request's head and body; a large body follows in chunks."""
        value = attempt.rpc.value
        parts = [self.http.send(self._request_head(attempt))]
        if isinstance(value, ChunkedValue):
            parts += [self.http.send(h11.Data(data=part)) for part in value.chunks]
        elif value is not None:
            parts.append(self.http.send(h11.Data(data=value)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self._reset_response()
        if isinstance(value, ChunkedValue) and value.chunks:
            return [part for part in parts if part]
        return (b"".join(part for part in parts if part),)

    def _request_head(self, attempt: Attempt) -> h11.Request:
        rpc = attempt.rpc
        host, port = self.pool.address
        headers = [
            ("Host", f"{host}:{port}"),
            ("X-Request-Id", rpc.id),
            ("X-Extras", attempt.extras(self.clock.now())),
        ]
        method = "GET"
        if rpc.value is not None:
            method = "PUT"
            headers.append(("Content-Length", str(len(rpc.value))))
        return h11.Request(method=method, target="/" + quote(rpc.key, safe=""), headers=headers)

    # ---- the response

    def bytes_received(self) -> None:
        """Read the part of the response that has been received."""
        if self.attempt is None:
            self.fail_malformed("unsolicited response")
            return
        if not self.paused:
            if len(self.input_buffer):
                self.http.receive_data(self.input_buffer.read(len(self.input_buffer)))
            try:
                self._read_events()
            except h11.RemoteProtocolError as error:
                self.fail_malformed(str(error))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Complete a body without a length on a clean close, then end the attempt if it is open."""
        if self.attempt is not None and self.status and reason.check(ConnectionDone):
            with suppress(h11.RemoteProtocolError):
                self.http.receive_data(b"")
                self._read_events(ignore_pause=True)
        super().connectionLost(reason)
        self._reset_response()

    def _read_events(self, ignore_pause: bool = False) -> None:
        while ignore_pause or not self.paused:
            event = self.http.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = dict(event.headers)
                if not self._handle_head():
                    return
            elif isinstance(event, h11.Data):
                if not self._handle_data(bytes(event.data)):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()
                return
            elif not isinstance(event, h11.InformationalResponse):
                return  # more bytes are needed, or the connection ends

    def _handle_head(self) -> bool:
        """Begin a stream where the body is large; return False where the attempt has ended."""
        length = self.headers.get(b"content-length", b"")
        is_sized = self.status == 200 and length.isdigit() and len(length) < 20
        size = int(length) if is_sized else 0
        if size > MAX_STREAMED_BYTES:
            self.fail_malformed(BODY_TOO_LONG)
            return False
        if size > MAX_BULK_BYTES:
            start = self.start_stream(size)
            self.is_streaming = start is StreamStart.STARTED
            return start not in OUTCOMES_WITHOUT_STREAM
        return True

    def _handle_data(self, data: bytes) -> bool:
        """Forward or keep a part of the body; return False where the attempt has ended."""
        if self.is_streaming and self.attempt is not None:
            self.host.stream_chunk(self.clock.now(), self.attempt, data)
            return True
        self.body_length += len(data)
        if self.body_length > MAX_STREAMED_BYTES:
            self.fail_malformed(BODY_TOO_LONG)
            return False
        return self.status != 200 or self.collect(data)

    def _handle_end(self) -> None:
        is_complete = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Bytes after a response would be taken for the response to the next RPC.
        reuse = is_complete and not self.http.trailing_data[0]
        if reuse:
            self.http.start_next_cycle()
        load = self.headers.get(b"x-load", b"").decode("latin-1")
        if len(self.body) > MAX_BULK_BYTES:
            self.forward_collected(load, reuse)
            return
        value = self.body.to_bytes() if self.status == 200 else None
        self.body.discard()
        self.finish(self._outcome(), value, load, reuse)

    def _outcome(self) -> Outcome:
        if self.status == 200:
            return Outcome.COMPLETED
        if self.status in (503, 504) and self.headers.get(b"x-not-run") == b"1":
            return Outcome.OVERLOADED
        return Outcome.ERROR
