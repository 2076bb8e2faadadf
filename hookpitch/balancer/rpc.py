"""The records of one RPC and of its attempts.

State: an `Rpc` lives from its arrival until it is closed and its last attempt has ended. Times are
milliseconds of the host's clock. Invariants: `in_flight` counts the attempts that have not ended;
`queue_deadline` is above 0 exactly while the RPC waits in the queue of `queued_at`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hookpitch.balancer.interface import NOT_EXECUTED, Method, Outcome

if TYPE_CHECKING:
    from hookpitch.balancer.backend import Backend
    from hookpitch.balancer.placement import Bucket
    from hookpitch.balancer.quotas import TokenBucket

# Faults of one connection: the same backend may be tried again.
CONNECTION_FAULTS = (Outcome.MALFORMED, Outcome.RESET)


class Attempt:
    """One send of an RPC to a backend."""

    __slots__ = (
        "backend",
        "connection_fault",
        "done",
        "hedgeable",
        "may_have_run",
        "number",
        "rpc",
        "sent_at",
        "silence_recorded",
        "stream_started",
    )

    def __init__(self, rpc: Rpc, backend: Backend, number: int, sent_at: float) -> None:
        self.rpc = rpc
        self.backend = backend
        self.number = number  # from 0, among the RPC's attempts
        self.sent_at = sent_at
        self.done = False
        self.silence_recorded = False  # its silence was judged, or it has begun to answer
        self.stream_started = False
        self.hedgeable = False  # silent for so long that a hedged request may be sent
        self.connection_fault = False
        self.may_have_run = True  # until proven otherwise

    def finish(self, outcome: Outcome) -> None:
        """Record how it ended, here and on its RPC and backend."""
        backend, rpc = self.backend, self.rpc
        self.done = True
        self.may_have_run = outcome not in NOT_EXECUTED
        self.connection_fault = outcome in CONNECTION_FAULTS or (
            outcome == Outcome.CANCELLED and backend.last_response_at > self.sent_at
        )
        rpc.in_flight -= 1
        if self.hedgeable:
            rpc.hedgeable_count -= 1
        backend.in_flight.pop(self, None)

    def start_stream(self) -> None:
        """Record that its answer has begun: it is neither silent nor hedged from here on."""
        self.silence_recorded = True
        self.stream_started = True
        if self.hedgeable:
            self.hedgeable = False
            self.rpc.hedgeable_count -= 1
        self.rpc.queue_deadline = 0.0


class Rpc:
    """One RPC of a client."""

    __slots__ = (
        "attempts",
        "bucket",
        "closed",
        "deadline",
        "hedgeable_count",
        "id",
        "in_flight",
        "method",
        "missed",
        "number",
        "objective",
        "over_quota",
        "queue_timed_out",
        "queue_deadline",
        "queued_at",
        "rejected",
        "suspect",
        "token_bucket",
        "unservable",
        "write",
    )

    def __init__(self, number: int, id: str, bucket: Bucket, method: Method, write: bool) -> None:
        self.number = number  # of arrival
        self.id = id
        self.bucket = bucket
        self.method = method
        self.write = write
        self.deadline = 0.0  # nothing is worth answering after it
        self.objective = 0.0  # an answer after it counts as late
        self.queue_deadline = 0.0
        self.queued_at: Backend | None = None
        self.over_quota = False
        self.missed = False  # a cache said that it has no value
        self.closed = False
        self.rejected = False  # no further attempt is made
        self.queue_timed_out = False  # its time in one queue has run out
        self.unservable = False  # fails at any backend, as far as is known
        self.suspect: Backend | None = None  # answered with an error; a second opinion decides
        self.token_bucket: TokenBucket | None = None  # that its token was taken from
        self.attempts: list[Attempt] = []
        self.in_flight = 0
        self.hedgeable_count = 0  # of the attempts in flight
