"""One watch on discovery: an HTTP/1.1 response that stays open, with JSON objects and heartbeats.

The watch ends once: by its connection, a response that can't be read, a silence, or because another
replaces it. Silence is put off by complete objects and heartbeats, and by progress within a long
object, but not by a byte now and then.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from hookpitch.core.deadlines import Deadline
from hookpitch.core.json_stream import JsonStream
from hookpitch.net.buffered_protocol import BufferedProtocol
from hookpitch.startup.poll_schedule import SILENCE_TIMEOUT_MS, WatchLoss

if TYPE_CHECKING:
    from hookpitch.net.discovery import Discovery

PROGRESS_BYTES = 512  # of a long object, which put its watch's silence off
MAX_RETRY_AFTER_S = 3600.0
MAX_ERROR_CHARACTERS = 200  # in a log line


def retry_after_ms(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """An HTTP response's Retry-After, in ms; 0 where it has none that is given in seconds."""
    values = (value for name, value in headers if name.lower() == b"retry-after")
    value = next(values, b"")
    if not value.isdigit() or len(value) >= 10:
        return 0.0
    return min(MAX_RETRY_AFTER_S, float(value)) * 1000


class Watch(BufferedProtocol):
    """The connection of one watch; it hands each object to its Discovery."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery
        self.connector: Any = None
        self.ended = False
        self._http = h11.Connection(h11.CLIENT)
        self._objects = JsonStream(discovery.max_object_bytes)
        self._bytes_seen = 0  # of an incomplete object, when the silence was last put off
        self._silence: Deadline | None = None

    def connectionMade(self) -> None:
        """Asks for all changes since the version that is held."""
        super().connectionMade()
        # A discovery that was cut off never answers, and its watch would hang for good.
        self.set_silence_timeout(self.discovery.poll_schedule.response_timeout_ms)
        host, port = self.discovery.address
        target = f"/v1/servers?follow=1&since={self.discovery.version}"
        headers = [("Host", f"{host}:{port}")]
        request = self._http.send(h11.Request(method="GET", target=target, headers=headers))
        self.send(request + self._http.send(h11.EndOfMessage()))

    def bytes_received(self) -> None:
        """Reads the response as far as it has come."""
        self._http.receive_data(self.input_buffer.read(len(self.input_buffer)))
        try:
            self._read_events()
        except (h11.RemoteProtocolError, ValueError) as fault:
            error = str(fault)[:MAX_ERROR_CHARACTERS]
            self.discovery.host.logger.info("discovery_response_invalid", error=error)
            self.end(WatchLoss.ENDED)

    def _read_events(self) -> None:
        while not self.ended:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    self.end(WatchLoss.REFUSED, retry_after_ms(event.headers))
            elif isinstance(event, h11.Data):
                self._read_objects(bytes(event.data))
            elif event is h11.NEED_DATA:
                return
            else:
                self.end(WatchLoss.ENDED)

    def _read_objects(self, data: bytes) -> None:
        count = 0
        for text in self._objects.feed(data):
            count += 1
            if text:
                self.discovery.list_received(text)
            else:
                self.discovery.heartbeat_received()
        # Half an object, or a byte now and then, tells nothing and would put silence off for good.
        if count or abs(len(self._objects) - self._bytes_seen) >= PROGRESS_BYTES:
            self._bytes_seen = len(self._objects)
            self.set_silence_timeout(SILENCE_TIMEOUT_MS)

    def set_silence_timeout(self, timeout_ms: float) -> None:
        """How long the watch may be silent from now on."""
        clock = self.discovery.clock
        clock.deadlines.cancel(self._silence)
        until = clock.now() + timeout_ms
        self._silence = clock.deadlines.add(until, lambda _: self.end(WatchLoss.SILENT))

    def end(self, cause: WatchLoss, retry_after: float = 0.0) -> None:
        """The watch is lost. `retry_after`: ms before which discovery wants no further poll."""
        if self.ended:
            return
        self.close()
        self.discovery.watch_lost(self, cause, retry_after)

    def close(self) -> None:
        """Ends the watch without a loss, as another replaces it."""
        if self.ended:
            return
        self.ended = True
        self.discovery.clock.deadlines.cancel(self._silence)
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()  # it still connects

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The watch is lost, if it had not ended before."""
        self.end(WatchLoss.ENDED)


class WatchFactory(ClientFactory):
    """The connect of one watch."""

    noisy = False

    def __init__(self, watch: Watch) -> None:
        self._watch = watch

    def buildProtocol(self, addr: Any) -> Watch:  # noqa: ANN401 - Twisted's address types
        """The watch that asked for the connect."""
        return self._watch

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401 - Twisted's connector types
        """The watch is lost before it began."""
        self._watch.end(WatchLoss.ENDED)
