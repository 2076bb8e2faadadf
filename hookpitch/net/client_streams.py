"""The streamed responses of one client's connection, of which one at a time is being sent.

Invariants: `registry.active_streams` counts the streams of all connections; the source of a stream
that is not the current one is paused; a source is paused while more of its value waits for the
client than the registry allows for one stream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.stream import Stream

if TYPE_CHECKING:
    from hookpitch.net.client_registry import ClientRegistry


class ClientStreams:
    """Streams by the slot of their command's reply."""

    __slots__ = ("_registry", "by_slot", "current", "has_memory")

    def __init__(self, registry: ClientRegistry) -> None:
        self._registry = registry
        self.by_slot: dict[ReplySlot, Stream] = {}  # responses whose first bytes have arrived
        self.current: Stream | None = None  # the one that is being sent
        self.has_memory = False  # reserved for the streams of this connection

    @property
    def may_break_off(self) -> bool:
        """Whether a backend may break off one of the streams."""
        return any(not stream.source.is_complete for stream in self.by_slot.values())

    def add(self, slot: ReplySlot, stream: Stream) -> None:
        """Add a stream; its source has to be paused until its turn comes."""
        self.by_slot[slot] = stream
        self._registry.active_streams += 1

    def get(self, slot: ReplySlot | None) -> Stream | None:
        """Return the stream of a slot, if there is one."""
        return self.by_slot.get(slot)

    def remove(self, slot: ReplySlot) -> Stream | None:
        """Remove the stream of a slot and return it; None if there is none."""
        stream = self.by_slot.pop(slot, None)
        if stream is not None:
            self._registry.active_streams -= 1
            if stream is self.current:
                self.current = None
        return stream

    def clear(self) -> None:
        """Remove all streams, as the connection has ended."""
        self._registry.active_streams -= len(self.by_slot)
        self.by_slot.clear()
        self.current = None

    # ---- the pauses of the current stream

    def chunk_sent(self, unsent_bytes: int) -> None:
        """Pause the source if its client has left so much unread.

        Otherwise a backend that is faster than the client would fill the buffer with its value.
        """
        if unsent_bytes > self._registry.stream_buffer_bytes and self.current is not None:
            self.current.source.pause()

    def client_progressed(self, now: float, unsent_bytes: int) -> None:
        """Record that the client has taken something, and resume the source if little is unsent."""
        if self.current is None:
            return
        self.current.last_progress = now
        if 2 * unsent_bytes <= self._registry.stream_buffer_bytes:
            self.current.source.resume()
