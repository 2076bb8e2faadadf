"""Replies that are too large to buffer: forwarded from the backend's connection as they arrive.

Invariants: of the replies to an RPC's attempts, only the one that starts first is forwarded; from
then on no deadline ends it, only a timeout without progress of its backend or its reader. A reply
with commands read behind it is collected first: if it broke off while it is forwarded, its client's
connection could only be closed, and these commands would get no answer.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hookpitch.balancer.interface import Outcome
from hookpitch.core.counter_names import FinalResult
from hookpitch.core.rpc import Attempt, Rpc
from hookpitch.core.rpc_timers import STREAM_CHECK_INTERVAL_MS
from hookpitch.core.stream import Source, Stream

if TYPE_CHECKING:
    from hookpitch.core.host import Host


class StreamStart(Enum):
    """Whether a reply is forwarded as it arrives."""

    STARTED = "started"
    COLLECT = "collect"  # it is forwarded once it is complete
    NOT_NEEDED = "not needed"  # no client waits for it, or another attempt's reply came first
    NO_MEMORY = "no memory"


class StreamedReplies:
    """The streamed replies of one host."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def start(self, now: float, attempt: Attempt, length: int, source: Source) -> StreamStart:
        """Start to forward the reply of an attempt."""
        host = self._host
        rpc = attempt.rpc
        if attempt.done or not rpc.pending or rpc.stream is not None:
            return StreamStart.NOT_NEEDED
        if not source.is_complete and rpc.client.has_commands_behind(rpc.slot):
            return StreamStart.COLLECT
        if not rpc.client.reserve_stream_memory():
            return StreamStart.NO_MEMORY
        host.counters.add("streams")
        rpc.stream = Stream(source, length, max(0.0, now - attempt.sent_at), now)
        rpc.streaming_attempt = attempt
        host.router.stream_started(now, str(rpc.number), attempt.index)
        # The deadlines apply to the first bytes. From now on only lack of progress ends the reply.
        host.deadlines.cancel(rpc.timer)
        host.timers.watch(rpc, now + STREAM_CHECK_INTERVAL_MS)
        rpc.client.stream_started(rpc.slot, rpc.stream)
        host.decide(now)  # so that a hedged attempt is cancelled at once
        return StreamStart.STARTED

    def forward_chunk(self, now: float, attempt: Attempt, data: bytes) -> None:
        """Forward the next chunk of a reply."""
        rpc = attempt.rpc
        if rpc.stream is None or not rpc.pending or attempt is not rpc.streaming_attempt:
            return
        rpc.stream.last_progress = now
        data = rpc.stream.feed(data)
        if data:
            rpc.client.stream_chunk(rpc.slot, data)

    def finish(self, rpc: Rpc, outcome: Outcome) -> None:
        """End a reply: complete it with the retained tail, or abort it."""
        rpcs = self._host.rpcs
        attempt_completed = outcome == Outcome.COMPLETED
        value_is_complete = attempt_completed and not rpc.stream.remaining
        self._host.counters.check(
            value_is_complete or not attempt_completed, "a value passed whole"
        )
        if value_is_complete:
            rpcs.finish(rpc, FinalResult.COMPLETED)
            rpc.client.reply(rpc.slot, rpc.stream.tail + b"\r\n")
        else:
            rpcs.finish(rpc, FinalResult.FAILED)
            rpc.client.stream_aborted(rpc.slot)
