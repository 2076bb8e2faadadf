"""Queues of RPCs that wait for a backend. Look here when RPCs wait too long, or in the wrong order.

State: each backend has a heap of fresh RPCs and one of retries. In each heap RPCs within quota go
first, then those of the highest gain, then the oldest. Invariants: an RPC is in one queue at most,
until its `queue_deadline`; entries of RPCs that no longer wait stay until they are reached. A queue
is no longer than what the backend can answer in a fraction of the soft deadline, because in a
longer queue every RPC is late.
"""

from __future__ import annotations

import heapq

from hookpitch.balancer.backend import Backend, BackendTable, QueueEntry
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.interface import EndpointState
from hookpitch.balancer.load_shedding import MAX_QUEUE_FRACTION
from hookpitch.balancer.pending import PendingWork
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.rpc import Rpc


def drop_stale_entries(backend: Backend) -> None:
    """Drop the entries of RPCs that no longer wait in a backend's queues."""
    for queue in (backend.fresh_queue, backend.retry_queue):
        # A sorted list is a heap.
        queue[:] = sorted(entry for entry in queue if entry.rpc.queue_deadline)


class BackendQueues:
    """Adds RPCs to the queues of backends and takes them out."""

    def __init__(
        self,
        table: BackendTable,
        work: PendingWork,
        concurrency: ConcurrencyLimits,
        retries: RetryPolicy,
    ) -> None:
        self._table = table
        self._work = work
        self._concurrency = concurrency
        self._retries = retries

    def enqueue(self, rpc: Rpc, backend: Backend, now: float) -> None:
        """Add an RPC to a backend's queue; if the queue is full, its last RPC is rejected."""
        remaining_ms = min(rpc.deadline, rpc.objective) - now
        entry = QueueEntry(rpc.over_quota, -rpc.method.gain, rpc.number, rpc)
        heapq.heappush(backend.retry_queue if rpc.attempts else backend.fresh_queue, entry)
        max_wait_ms = min(MAX_QUEUE_FRACTION * remaining_ms, remaining_ms - backend.latency_ms)
        rpc.queued_at = backend
        rpc.queue_deadline = now + max(0.0, max_wait_ms)
        self._work.schedule(rpc.queue_deadline, rpc, None)
        self._work.schedule(max(backend.paused_until, now), rpc, None)
        self._trim(backend, rpc.method.soft_ms)

    def _trim(self, backend: Backend, soft_ms: float) -> None:
        max_length = (
            backend.concurrency_limit * MAX_QUEUE_FRACTION * soft_ms / max(backend.latency_ms, 1.0)
        )
        if len(backend.fresh_queue) + len(backend.retry_queue) <= max(1.0, max_length):
            return
        queue = backend.retry_queue or backend.fresh_queue
        lowest_entry = max(queue)
        queue.remove(lowest_entry)
        heapq.heapify(queue)
        if lowest_entry.rpc.queue_deadline:
            lowest_entry.rpc.queue_deadline = 0.0
            lowest_entry.rpc.rejected = True
            self._work.rpcs.append(lowest_entry.rpc)

    def pop(self, backend: Backend, now: float) -> Rpc | None:
        """Return the next RPC that may still be sent to a backend; reroute those that may not."""
        while backend.fresh_queue or backend.retry_queue:
            rpc = heapq.heappop(backend.fresh_queue or backend.retry_queue).rpc
            if not rpc.queue_deadline or rpc.closed:
                continue
            rpc.queue_deadline = 0.0
            if self._retries.may_attempt(rpc, backend, now) and (
                backend.state == EndpointState.READY
            ):
                return rpc
            self._work.rpcs.append(rpc)
        return None

    def timer_fired(self, rpc: Rpc, now: float) -> None:
        """End a wait that has lasted too long, or recheck a backend whose pause may be over.

        An RPC that waited for its assigned cache fails over along the ring once, because the next
        cache may be idle.
        """
        if rpc.queue_deadline and rpc.queue_deadline <= now and not rpc.closed:
            rpc.rejected = (
                rpc.queue_timed_out
                or rpc.over_quota
                or rpc.queued_at is self._table.origin
                or self._concurrency.origin_congested()
            )
            rpc.queue_deadline = 0.0
            rpc.queue_timed_out = True
            self._work.rpcs.append(rpc)
        elif rpc.queued_at:
            self._work.freed_backends.append(rpc.queued_at)
