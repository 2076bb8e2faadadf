"""What the host expects of the adapters around it. Times are in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from hookpitch.balancer.interface import Endpoint, EndpointUpdate
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.stream import Stream

if TYPE_CHECKING:
    from hookpitch.core.rpc import Attempt


class Transport(Protocol):
    """The pools of connections to caches and origin."""

    def dispatch(self, now: float, attempt: Attempt) -> bool:
        """Send an attempt, or queue it for a new connection; False where none can be had."""

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Stop an attempt; nothing is reported of it any more."""

    def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend."""

    def stop_sending(self, backend_id: str) -> None:
        """Start nothing new at a backend: fail what is queued for it and end its dials."""

    def update_endpoints(
        self, kind: EndpointUpdate, entries: Sequence[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Take an endpoint list; `addresses`: each endpoint's address by its id."""

    def read_pending_response(self, attempt: Attempt) -> bool:
        """Read what has arrived for an attempt; whether that was its reply."""


class Logger(Protocol):
    """A structured logger."""

    def info(self, event: str, **fields: object) -> None:
        """Write one line: a stable event name, and the values that belong to it."""


class Client(Protocol):
    """A client's connection. The slots are those it passed to `Host.accept`."""

    def reply(self, slot: ReplySlot, answer: bytes) -> None:
        """Answer an RPC; for a streamed one this is the end of its reply."""

    def stream_started(self, slot: ReplySlot, stream: Stream) -> None:
        """A reply starts to be passed on in pieces."""

    def stream_chunk(self, slot: ReplySlot, data: bytes) -> None:
        """The next piece of a streamed reply."""

    def stream_aborted(self, slot: ReplySlot) -> None:
        """A streamed reply cannot be completed."""

    def is_disconnected(self) -> bool:
        """Whether the peer closed or half-closed the connection, as far as the kernel knows."""
