"""The records of an RPC and of its attempts.

They exist for every RPC in flight, so they use `__slots__` and do nothing beyond their own fields.
Times are in milliseconds of the host's clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hookpitch.balancer.backend import FOREVER
from hookpitch.core.deadlines import Deadline
from hookpitch.core.interfaces import Client
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.stream import ChunkedValue, Stream


class AttemptCarrier(Protocol):
    """What an attempt is at: its pool's queue, its connection, or its stored reply."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop the attempt if it is still here; the host is not notified of its end."""


class Attempt:
    """One sending of an RPC to one backend."""

    __slots__ = (
        "rpc",
        "index",
        "backend_id",
        "sent_at",
        "deadline",
        "start_by",
        "carrier",
        "written",
        "done",
    )

    def __init__(
        self,
        rpc: Rpc,
        index: int,
        backend_id: str,
        sent_at: float,
        deadline: float,
        start_by: float,
    ) -> None:
        self.rpc = rpc
        self.index = index  # in `rpc.attempts`
        self.backend_id = backend_id
        self.sent_at = sent_at
        self.deadline = deadline  # until then the node waits for the reply
        self.start_by = start_by  # an attempt without a connection by then is not sent any more
        self.carrier: AttemptCarrier | None = None
        self.written = False  # at least in part, so the backend may have executed the RPC
        self.done = False

    def extras(self, now: float) -> bytes:
        """Return the RPC's extras with `d`, the timeout, set to the remaining time."""
        # A backend that was given more time would go on working after the node stopped waiting.
        limit = b"d=%d" % max(1, int(self.deadline - now))
        pairs = [
            limit if pair[:2] == b"d=" else pair for pair in self.rpc.extras.split(b",") if pair
        ]
        if limit not in pairs:
            pairs.append(limit)
        return b",".join(pairs)


class Rpc:
    """An RPC, from when it is accepted until it is answered and no attempt is in flight."""

    __slots__ = (
        "number",
        "client",
        "slot",
        "command",
        "key",
        "id",
        "extras",
        "value",
        "method",
        "accepted_at",
        "hard_deadline",
        "repeat_deadline",
        "timer",
        "attempts",
        "in_flight",
        "pending",
        "client_half_closed",
        "has_kept_id",
        "may_have_run",
        "stream",
        "streaming_attempt",
    )

    def __init__(
        self, client: Client, slot: ReplySlot, words: Sequence[bytes], method: str
    ) -> None:
        """Create an RPC from `words`: the name of the client's command, and its arguments."""
        self.client = client
        self.slot = slot
        self.command, self.key, self.id, self.extras = words[:4]
        self.value: bytes | ChunkedValue | None = words[4] if len(words) > 4 else None
        self.method = method
        self.number = -1  # the RPC's number in the `RpcTable`
        self.accepted_at = 0.0
        self.hard_deadline = 0.0
        # From then on backends may have forgotten an attempt, and would run another one again.
        self.repeat_deadline = FOREVER
        self.timer: Deadline | None = None
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # number of attempts that are not done
        self.pending = True  # not answered yet
        self.client_half_closed = False  # the client sends no more, and may have disconnected
        self.has_kept_id = False  # no other RPC with this id is accepted
        self.may_have_run = False  # some attempt may have been executed
        self.stream: Stream | None = None  # the reply, once it is being streamed
        self.streaming_attempt: Attempt | None = None  # the attempt whose reply is streamed
