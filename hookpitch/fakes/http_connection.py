"""The server side of an HTTP/1.1 connection on Twisted; h11 parses the requests."""

from __future__ import annotations

import h11
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure


class HttpConnection(Protocol):
    """One connection of a server; each request is read after the previous one is answered."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER)
        self.is_closed = False
        self._request: h11.Request | None = None
        self._body = b""

    def dataReceived(self, data: bytes) -> None:
        """Parse the received data."""
        self.http.receive_data(data)
        self._read()

    def _read(self) -> None:
        try:
            while not self.is_closed:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self._request = event
                    self._body = b""
                elif isinstance(event, h11.Data):
                    self._body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.handle(self._request, self._body)
                else:
                    return  # h11 needs more data, an answer is pending, or the connection ends
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def handle(self, request: h11.Request, body: bytes) -> None:
        """Handle a complete request; the answer may be written later."""
        raise NotImplementedError

    def answer(
        self, status: int, body: bytes, extra_headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Write a complete answer to the request, then read the next request."""
        if self.is_closed:
            return
        headers = [("Content-Length", str(len(body))), *(extra_headers or [])]
        parts = [
            self.http.send(h11.Response(status_code=status, headers=headers)),
            self.http.send(h11.Data(data=body)),
            self.http.send(h11.EndOfMessage()),
        ]
        self.transport.write(b"".join(parts))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Mark the connection as closed, so that nothing more is written."""
        self.is_closed = True
