"""The state of one RPC and of its attempts.

State: an `Rpc` exists from its arrival until it is closed and its last attempt has ended. Times are
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

# Faults of a single connection, after which the same backend may be tried again.
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
        self.number = number  # index among the RPC's attempts
        self.sent_at = sent_at
        self.done = False
        self.silence_recorded = False  # the silence was handled, or the answer has begun
        self.stream_started = False
        self.hedgeable = False  # silent for long enough that a hedged request may be sent
        self.connection_fault = False
        self.may_have_run = True  # unless the outcome rules it out

    def finish(self, outcome: Outcome) -> None:
        """Record how the attempt ended, here and on its RPC and its backend."""
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
        """Record that the answer has begun: from now on the attempt is not silent or hedgeable."""
        self.silence_recorded = True
        self.stream_started = True
        if self.hedgeable:
            self.hedgeable = False
            self.rpc.hedgeable_count -= 1
        self.rpc.queue_deadline = 0.0


class Rpc:
    """The state of one RPC of a client."""

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
        self.number = number  # arrival number
        self.id = id
        self.bucket = bucket
        self.method = method
        self.write = write
        self.deadline = 0.0  # an answer after this time is useless
        self.objective = 0.0  # an answer after this time counts as late
        self.queue_deadline = 0.0
        self.queued_at: Backend | None = None
        self.over_quota = False
        self.missed = False  # a cache has answered with a miss
        self.closed = False
        self.rejected = False  # no further attempt is made
        self.queue_timed_out = False  # the RPC has waited in a queue for as long as allowed
        self.unservable = False  # presumed to fail on every backend
        self.suspect: Backend | None = None  # its error answer is not confirmed yet
        self.token_bucket: TokenBucket | None = None  # the bucket that its token was taken from
        self.attempts: list[Attempt] = []
        self.in_flight = 0
        self.hedgeable_count = 0  # hedgeable attempts in flight
