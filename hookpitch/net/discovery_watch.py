"""One watch on discovery: an HTTP/1.1 response that stays open, with JSON objects and heartbeats.

A watch ends exactly once: when its connection closes, on an invalid response, after a silence
timeout, or when another watch replaces it. Complete objects, heartbeats and progress within a long
object restart the silence timeout; a few bytes now and then do not.
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

PROGRESS_BYTES = 512  # bytes of a long object that restart the silence timeout
MAX_RETRY_AFTER_S = 3600.0
MAX_REASON_CHARACTERS = 200  # of an error message in a log line


def retry_after_ms(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return an HTTP response's Retry-After in ms; 0 where absent or not given in seconds."""
    values = (value for name, value in headers if name.lower() == b"retry-after")
    value = next(values, b"")
    if not value.isdigit() or len(value) >= 10:
        return 0.0
    return min(MAX_RETRY_AFTER_S, float(value)) * 1000


class Watch(BufferedProtocol):
    """The connection of one watch; passes each JSON object to its Discovery."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery
        self.connector: Any = None
        self.has_ended = False
        self._http = h11.Connection(h11.CLIENT)
        self._objects = JsonStream(discovery.max_object_bytes)
        # The length of the incomplete object when the silence timeout was last restarted.
        self._bytes_at_restart = 0
        self._silence_deadline: Deadline | None = None

    def connectionMade(self) -> None:
        """Request all changes since the current version."""
        super().connectionMade()
        # A discovery service that is unreachable never responds, and the watch would hang forever.
        self.set_silence_timeout(self.discovery.poll_schedule.response_timeout_ms)
        host, port = self.discovery.address
        target = f"/v1/servers?follow=1&since={self.discovery.version}"
        headers = [("Host", f"{host}:{port}")]
        request = self._http.send(h11.Request(method="GET", target=target, headers=headers))
        self.send(request + self._http.send(h11.EndOfMessage()))

    def bytes_received(self) -> None:
        """Read the part of the response that has been received."""
        self._http.receive_data(self.input_buffer.read(len(self.input_buffer)))
        try:
            self._read_events()
        except (h11.RemoteProtocolError, ValueError) as error:
            reason = str(error)[:MAX_REASON_CHARACTERS]
            self.discovery.host.logger.info("discovery_response_invalid", reason=reason)
            self.end(WatchLoss.ENDED)

    def _read_events(self) -> None:
        while not self.has_ended:
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
        # A partial object, or a few bytes now and then, is no update and must not postpone the
        # silence timeout forever.
        if count or abs(len(self._objects) - self._bytes_at_restart) >= PROGRESS_BYTES:
            self._bytes_at_restart = len(self._objects)
            self.set_silence_timeout(SILENCE_TIMEOUT_MS)

    def set_silence_timeout(self, timeout_ms: float) -> None:
        """Restart the silence timeout with the given duration."""
        clock = self.discovery.clock
        clock.deadlines.cancel(self._silence_deadline)
        until = clock.now() + timeout_ms
        self._silence_deadline = clock.deadlines.add(until, lambda _: self.end(WatchLoss.SILENT))

    def end(self, cause: WatchLoss, retry_after: float = 0.0) -> None:
        """End the watch as lost; `retry_after` is the shortest time in ms until the next poll."""
        if self.has_ended:
            return
        self.close()
        self.discovery.watch_lost(self, cause, retry_after)

    def close(self) -> None:
        """End the watch without reporting a loss, as another watch replaces this one."""
        if self.has_ended:
            return
        self.has_ended = True
        self.discovery.clock.deadlines.cancel(self._silence_deadline)
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()  # the connect is still in progress

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the watch as lost, if it has not ended before."""
        self.end(WatchLoss.ENDED)


class WatchFactory(ClientFactory):
    """Connects one watch to discovery."""

    noisy = False

    def __init__(self, watch: Watch) -> None:
        self._watch = watch

    def buildProtocol(self, addr: Any) -> Watch:  # noqa: ANN401 - Twisted's address types
        """Return the watch, which is the protocol of the connection."""
        return self._watch

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401 - Twisted's connector types
        """End the watch as lost, as the connect has failed."""
        self._watch.end(WatchLoss.ENDED)
