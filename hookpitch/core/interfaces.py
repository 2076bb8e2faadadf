"""The interfaces that the host requires of its adapters. Times are in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from hookpitch.balancer.interface import Endpoint, EndpointUpdate
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.stream import Stream

if TYPE_CHECKING:
    from hookpitch.core.rpc import Attempt


class Transport(Protocol):
    """The connection pools to the caches and the origin."""

    def dispatch(self, now: float, attempt: Attempt) -> bool:
        """Send an attempt or queue it for a new connection; return False if neither is possible."""

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Stop an attempt; the host is not notified of its end."""

    def is_undelivered(self, attempt: Attempt) -> bool:
        """Return whether an attempt's backend has not received its whole request."""

    def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend."""

    def stop_sending(self, backend_id: str) -> None:
        """Send a backend nothing new: fail its queued attempts and stop connecting to it."""

    def update_endpoints(
        self, kind: EndpointUpdate, endpoints: Sequence[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Apply an endpoint list; `addresses` holds the address of each endpoint by its id."""

    def read_pending_response(self, attempt: Attempt) -> bool:
        """Read the bytes that have arrived for an attempt; return whether the attempt has ended."""


class Logger(Protocol):
    """A structured logger."""

    def info(self, event: str, **fields: object) -> None:
        """Write one line: a stable event name and the event's fields."""


class Client(Protocol):
    """A client's connection; each `slot` is one that it passed to `Host.accept`."""

    def reply(self, slot: ReplySlot, answer: bytes) -> None:
        """Answer an RPC; `answer` is the end of the reply where the reply was streamed."""

    def has_commands_behind(self, slot: ReplySlot) -> bool:
        """Return whether a command was read after that of a slot, and has to be answered too."""

    def reserve_stream_memory(self) -> bool:
        """Reserve memory for a reply that arrives in chunks; return False if there is none."""

    def stream_started(self, slot: ReplySlot, stream: Stream) -> None:
        """Prepare for a reply that arrives in chunks."""

    def stream_chunk(self, slot: ReplySlot, data: bytes) -> None:
        """Send the next chunk of a streamed reply."""

    def delivery_progress_at(self) -> float:
        """Return when the client last received something while output waits for it; 0 otherwise."""

    def stream_aborted(self, slot: ReplySlot) -> None:
        """End a streamed reply that cannot be completed."""

    def is_disconnected(self) -> bool:
        """Return whether the client has closed or half-closed, as far as the kernel knows."""
