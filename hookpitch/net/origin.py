"""The origin: HTTP/1.1, one RPC at a time on each connection."""

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
from hookpitch.net.backend_pools import BackendConnection, BackendPool


class OriginConnection(BackendConnection):
    def __init__(self, pool: BackendPool) -> None:
        super().__init__(pool)
        self.http = h11.Connection(h11.CLIENT)
        self.status, self.headers, self.body = 0, dict[bytes, bytes](), bytearray()
        self.passing = False  # the body passes in pieces

    def request(self, attempt: Attempt) -> Sequence[bytes]:
        rpc, write = attempt.rpc, attempt.rpc.value is not None
        host, port = self.pool.address
        extras = attempt.extras(self.pool.pools.clock.now())
        headers = [("Host", f"{host}:{port}"), ("X-Request-Id", rpc.id), ("X-Extras", extras)]
        if write:
            headers.append(("Content-Length", str(len(rpc.value))))
        request = h11.Request(
            method="PUT" if write else "GET", target="/" + quote(rpc.key, safe=""), headers=headers
        )
        parts = [self.http.send(request)]
        large = rpc.value.chunks if isinstance(rpc.value, ChunkedValue) else ()
        for part in large or ((rpc.value,) if write else ()):
            parts.append(self.http.send(h11.Data(data=part)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self.status, self.headers, self.body, self.passing = 0, {}, bytearray(), False
        return (
            [part for part in parts if part]
            if large
            else (b"".join(part for part in parts if part),)
        )

    def bytes_received(self) -> None:
        if self.attempt is None:
            return self.spoilt("nobody asked")
        if not self.paused:
            if len(self.inward):
                self.http.receive_data(self.inward.read(len(self.inward)))
            self._read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.attempt is not None and self.status and reason.check(ConnectionDone):
            with suppress(h11.RemoteProtocolError):  # a body that only the connection's end ends
                self.http.receive_data(b"")
                while not isinstance(event := self.http.next_event(), h11.EndOfMessage):
                    if isinstance(event, h11.Data):
                        self._data(bytes(event.data))
                self._whole()
        super().connectionLost(reason)

    def _read(self) -> None:
        try:
            while not self.paused:
                event = self.http.next_event()
                if isinstance(event, h11.Response):
                    self.status, self.headers = event.status_code, dict(event.headers)
                    if not self._begin():
                        return
                elif isinstance(event, h11.Data):
                    self._data(bytes(event.data))
                    if len(self.body) > MAX_STREAMED_BYTES:
                        return self.spoilt("a body too long")
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                elif not isinstance(event, h11.InformationalResponse):
                    return  # more is needed, or the connection ends
        except h11.RemoteProtocolError as fault:
            self.spoilt(str(fault))

    def _begin(self) -> bool:
        length = self.headers.get(b"content-length", b"")
        size = int(length) if self.status == 200 and length.isdigit() and len(length) < 20 else 0
        if size > MAX_STREAMED_BYTES:
            self.spoilt("a body too long")
        elif size > MAX_BULK_BYTES:
            self.passing = self.begun(size)
            return self.passing
        return size <= MAX_STREAMED_BYTES

    def _data(self, data: bytes) -> None:
        if self.passing and self.attempt is not None:
            self.pool.pools.host.stream_chunk(self.pool.pools.clock.now(), self.attempt, data)
        else:
            self.body += data

    def _whole(self) -> None:
        never = self.headers.get(b"x-not-run") == b"1"
        if self.status == 200:
            outcome = Outcome.COMPLETED
        else:
            outcome = Outcome.OVERLOADED if self.status in (503, 504) and never else Outcome.ERROR
        reuse = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        reuse = (
            reuse and not self.http.trailing_data[0]
        )  # what comes behind would answer the next RPC
        if reuse:
            self.http.start_next_cycle()
        value = bytes(self.body) if outcome == Outcome.COMPLETED else None
        self.over(outcome, value, self.headers.get(b"x-load", b"").decode("latin-1"), reuse)
