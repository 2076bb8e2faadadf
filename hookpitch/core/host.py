"""One node's host: the class that the network adapters talk to.

The host is notified of events (RPCs, replies, disconnects, endpoint lists, operators' commands),
reports them to the router and has the router's decisions carried out. Times are in milliseconds of
one clock, passed in by the caller. Invariant: each RPC gets one final answer, no later than its
hard deadline. A faulty decision of the router is counted under `broken.` and does not violate this
invariant.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

from hookpitch.balancer.interface import (
    NOT_EXECUTED,
    Deployment,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Method,
    Outcome,
    Report,
)
from hookpitch.balancer.router import Router
from hookpitch.core.address_owners import AddressOwners
from hookpitch.core.admission import Admission
from hookpitch.core.counter_names import OUTCOME_COUNTERS, UPDATE_COUNTERS, FinalResult
from hookpitch.core.counters import Counters
from hookpitch.core.deadlines import Deadlines
from hookpitch.core.decision_runner import DecisionRunner
from hookpitch.core.id_table import IdTable
from hookpitch.core.interfaces import Client, Logger, Transport
from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.repeated_ids import RepeatedIds
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.request_parser import is_forwardable, parse_extras
from hookpitch.core.resp import bulk
from hookpitch.core.router_view import count_endpoints, is_bannable
from hookpitch.core.rpc import Attempt, Rpc
from hookpitch.core.rpc_table import FAILED_REPLY, RpcTable
from hookpitch.core.rpc_timers import RpcTimers
from hookpitch.core.slot_table import SlotTable
from hookpitch.core.stream import Source
from hookpitch.core.streamed_replies import StreamedReplies, StreamStart

NO_REPORT: Report = {}
DEFAULT_DEADLINE_MS = 1000.0  # soft and hard, in a deployment without methods
DEFAULT_MEMORY_BYTES = 1 << 26
# No single use may take all of the memory, so that the others go on.
MAX_FRACTION_OF_ONE_USE = 0.5
# A server that writes a long answer slowly may pause for longer than a deployment's deadlines.
MIN_STREAM_TIMEOUT_MS = 3000.0
MAX_LOGGED_PER_KIND = 3  # log lines per kind of malformed input; every occurrence is counted
MAX_LOGGED_TEXT = 200  # characters of the malformed input in a log line


def _methods_by_name(deployment: Deployment) -> dict[bytes, Method]:
    return {method.name.encode(): method for method in deployment.methods}


class Host:
    """Connects the adapters of one node with its router."""

    def __init__(
        self,
        now: float,
        deployment: Deployment,
        deadlines: Deadlines,
        counters: Counters,
        logger: Logger,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        methods = deployment.methods
        soft_ms = min((method.soft_ms for method in methods), default=DEFAULT_DEADLINE_MS)
        hard_ms = max((method.hard_ms for method in methods), default=DEFAULT_DEADLINE_MS)
        self.now = now  # when decisions were last carried out
        self.deployment = deployment
        self.methods = _methods_by_name(deployment)
        self.deadlines = deadlines
        self.counters = counters
        self.logger = logger
        self.transport: Transport
        self.router = Router(now, deployment)
        self.admission = Admission(now, soft_ms)
        self.memory = MemoryBudget(DEFAULT_MEMORY_BYTES)  # of all that clients make the node hold
        self.rpc_budget = MemoryBudget(0, self.memory)  # records of RPCs
        self.value_budget = MemoryBudget(0, self.memory)  # large values of requests, and bodies
        self.reply_budget = MemoryBudget(0, self.memory)  # responses that clients have not read
        self.limit_memory(DEFAULT_MEMORY_BYTES)
        self.longest_deadline_ms = hard_ms  # of all RPCs that may be in flight
        self.connections: SlotTable[object] = SlotTable()
        self.rpcs = RpcTable(deadlines, counters, self.rpc_budget, self.value_budget)
        self.rpcs.on_removed = lambda rpc: self.repeated_ids.ended(rpc)
        self.timers = RpcTimers(self)
        self.repeated_ids = RepeatedIds(self, IdTable(monotonic))
        self._address_owners = AddressOwners()
        self._streams = StreamedReplies(self)
        self._decisions = DecisionRunner(self)

    def limit_memory(self, limit: int) -> None:
        """Limit the bytes of memory that requests and responses may take in all."""
        self.memory.limit = limit
        for budget in (self.rpc_budget, self.value_budget, self.reply_budget):
            budget.limit = int(MAX_FRACTION_OF_ONE_USE * limit)

    def decide(self, now: float) -> None:
        """Carry out the router's decisions until there are none; a nested call does nothing."""
        self._decisions.run(now)

    @property
    def stream_timeout_ms(self) -> float:
        """How long a streamed reply may make no progress."""
        return max(MIN_STREAM_TIMEOUT_MS, self.longest_deadline_ms)

    # ---- clients

    def accept(
        self,
        now: float,
        client: Client,
        slot: ReplySlot,
        words: Sequence[bytes],
        age_ms: float = 0.0,
        load_wait_ms: float | None = None,
    ) -> Rpc | None:
        """Accept a client's RPC, which was read `age_ms` after it had arrived.

        `load_wait_ms` is the part of that for which the node was too busy to read it, where that
        is not all of it.
        `words` are the command's name and its arguments. Returns None if an argument is invalid or
        if the RPC was shed; in the second case the slot holds the answer.
        """
        fields = parse_extras(words[3])
        method = self.methods.get(fields.method)
        if method is None or not is_forwardable(words) or words[2] in self.rpcs.ids:
            return None
        timeout_ms = fields.timeout_within(method.hard_ms)
        if not timeout_ms > 0:
            return None
        is_repeatable = method.idempotency is Idempotency.IDEMPOTENT
        if not is_repeatable and self.repeated_ids.is_repeated(words[2]):
            self.counters.add("rpcs.repeated_id")
            slot.answer = FAILED_REPLY
            return None
        if not self.rpcs.has_room:
            self.counters.add("rpcs.no_memory")
            self._count_rejected(method)
            slot.answer = self.busy_reply(self.router.load_shedder.retry_after_ms(method))
            return None
        self.admission.record_arrival(age_ms if load_wait_ms is None else load_wait_ms)
        retry_after_ms = self.router.shed_delay(now, method.name, fields.tenant, age_ms)
        if retry_after_ms >= 0 or age_ms >= timeout_ms:
            self._shed(slot, method, retry_after_ms)
            return None
        rpc = Rpc(client, slot, words, method.name)
        rpc.accepted_at = now
        rpc.hard_deadline = now + timeout_ms - age_ms
        if not is_repeatable and not self.repeated_ids.accept(rpc, method):
            self._shed(slot, method, self.router.load_shedder.retry_after_ms(method))
            return None
        self.rpcs.add(rpc)
        self.router.rpc_arrived(
            now,
            str(rpc.number),
            rpc.key.decode("latin-1"),
            method.name,
            fields.tenant,
            rpc.value is not None,
            timeout_ms,
            age_ms,
        )
        self.decide(now)
        if rpc.pending and rpc.timer is None:  # the RPC is queued
            self.timers.watch(rpc, rpc.hard_deadline)
        return rpc

    def _shed(self, slot: ReplySlot, method: Method, retry_after_ms: float) -> None:
        # Under overload a rejection has to cost next to nothing: it needs no RPC record, no timer
        # and no quota.
        self.admission.record_rejected()
        self.counters.add("rpcs.turned_away")
        self._count_rejected(method)
        slot.answer = self.busy_reply(max(0.0, retry_after_ms))

    def record_rejected(self, words: Sequence[bytes]) -> None:
        """Count an RPC that an adapter rejected, under its method if that is known."""
        if len(words) <= 3:
            return
        method = self.methods.get(parse_extras(words[3]).method)
        if method is not None:
            self._count_rejected(method)

    def _count_rejected(self, method: Method) -> None:
        self.counters.add(f"{FinalResult.REJECTED.method_prefix}.{method.name}")

    def busy_reply(self, retry_after_ms: float) -> bytes:
        """Return the answer to a rejected RPC; a delay below one millisecond is left out."""
        retry_after_ms = min(retry_after_ms, self.deployment.max_retry_after_ms)
        return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"-BUSY\r\n"

    def client_disconnected(self, now: float, rpcs: Sequence[Rpc], still_reads: bool) -> None:
        """Handle a client's disconnect, or the half-close of a client that `still_reads`."""
        # The router has to be notified of all RPCs before it decides anything. Otherwise the
        # capacity that the first RPC frees would go to the next RPC in the queue, which would be
        # sent although its client has disconnected.
        with self._decisions.deferred():
            for rpc in rpcs:
                if rpc.pending and not (rpc.client_half_closed and still_reads):
                    self.end_after_disconnect(now, rpc, half_closed=still_reads)
        self.decide(now)

    def end_after_disconnect(self, now: float, rpc: Rpc, half_closed: bool) -> None:
        """End an RPC after its client disconnected or half-closed, as far as its attempts allow.

        The client of a half-closed connection may still read and then has to get its answer, so
        attempts in flight continue; but no further attempt is sent.
        """
        rpc.client_half_closed = half_closed
        if not half_closed:
            self.counters.add("rpcs.client_left")
            self.rpcs.abandon(rpc)
        elif not any(attempt.written and not attempt.done for attempt in rpc.attempts):
            self.rpcs.fail(rpc)
        self.router.client_disconnected(now, str(rpc.number))
        if not rpc.pending:
            is_wasted = self.deployment.cancellation_enabled or rpc.stream is not None
            self.cancel_attempts(now, rpc, include_delivered=is_wasted)
        self.rpcs.release(rpc)

    def drop_for_nobody(self, now: float, attempt: Attempt) -> bool:
        """End an attempt that is not sent yet if its client has left; return whether it has ended.

        The client's end may still be unread in the kernel.
        """
        rpc = attempt.rpc
        if not rpc.pending or not rpc.client.is_disconnected():
            return attempt.done
        rpc.client_half_closed = True
        self.counters.add("tx.for_nobody")
        self.end_after_disconnect(now, rpc, half_closed=True)
        if not attempt.done:
            self.attempt_finished(now, attempt, Outcome.CANCELLED)
        return True

    def cancel_attempts(self, now: float, rpc: Rpc, include_delivered: bool = False) -> None:
        """End the attempts of an answered RPC whose backends have not received them completely.

        An attempt that waits for a connection, or of which a slow backend has read a part, would
        otherwise be sent after the final answer.
        """
        for attempt in rpc.attempts:
            if not attempt.done and (include_delivered or self.transport.is_undelivered(attempt)):
                self.transport.cancel(now, attempt)
                self.attempt_finished(now, attempt, Outcome.CANCELLED)

    def fail_all(self, now: float) -> None:
        """Fail all RPCs as the node shuts down; streamed replies are left to their connections."""
        for rpc in self.rpcs.values():
            if rpc.pending and rpc.stream is None:
                self.rpcs.fail(rpc)
                self.router.client_disconnected(now, str(rpc.number))
                # The kernel would go on delivering after the process has ended.
                self.cancel_attempts(now, rpc)

    # ---- backends

    def attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        report: Report = NO_REPORT,
        age_ms: float = 0.0,
    ) -> None:
        """Handle the end of an attempt; its reply was read `age_ms` after it had arrived.

        `value` is the reply of a completed attempt, unless that was streamed; `report` is the
        backend's load report.
        """
        self.counters.check(not attempt.done, "a transmission ends once")
        if attempt.done:
            return
        rpc = attempt.rpc
        attempt.done = True
        rpc.in_flight -= 1
        rpc.may_have_run |= attempt.written and outcome not in NOT_EXECUTED
        self.counters.add(OUTCOME_COUNTERS[outcome])
        streamed = rpc.stream is not None and attempt is rpc.streaming_attempt
        if rpc.pending:
            if streamed:
                self._streams.finish(rpc, outcome)
            elif rpc.stream is None and outcome == Outcome.COMPLETED:
                self.rpcs.answer(rpc, bulk(value), FinalResult.COMPLETED)
            elif rpc.stream is None and rpc.client_half_closed:
                self.rpcs.fail(rpc)
        # The time for which a reply waited here to be read does not count as the backend's latency.
        latency_ms = (
            rpc.stream.first_byte_ms if streamed else max(0.0, now - attempt.sent_at - age_ms)
        )
        self.router.attempt_ended(
            now, str(rpc.number), attempt.index, outcome, not rpc.pending, latency_ms, report
        )
        if rpc.in_flight and not rpc.pending:
            self.cancel_attempts(now, rpc)
        self.rpcs.release(rpc)
        self.decide(now)

    def stream_started(
        self, now: float, attempt: Attempt, length: int, source: Source
    ) -> StreamStart:
        """Handle the start of a large reply; return whether it is forwarded."""
        return self._streams.start(now, attempt, length, source)

    def stream_chunk(self, now: float, attempt: Attempt, data: bytes) -> None:
        """Handle the next chunk of a large reply."""
        self._streams.forward_chunk(now, attempt, data)

    def update_endpoints(
        self,
        now: float,
        kind: EndpointUpdate,
        endpoints: list[Endpoint],
        addresses: Mapping[str, str],
    ) -> None:
        """Handle an endpoint list; after a failed update the list in use stays."""
        self.counters.add(UPDATE_COUNTERS[kind])
        if kind == EndpointUpdate.FAILED:
            return
        # Where a removal alone is not binding, a server that was replaced would still be tried.
        is_advisory = self.deployment.removal_is_advisory
        replaced_state = EndpointState.DRAINING if is_advisory else EndpointState.REMOVED
        endpoints, addresses = self._address_owners.apply(
            kind, endpoints, addresses, replaced_state
        )
        # The transport ends attempts. The router must have the new list before it acts on that.
        with self._decisions.deferred():
            self.transport.update_endpoints(kind, endpoints, addresses)
            self.router.update_endpoints(now, kind, endpoints)
        self.decide(now)

    # ---- operators

    def reconfigured(self, now: float, deployment: Deployment) -> None:
        """Apply new settings; RPCs in flight keep their method and deadlines."""
        methods = deployment.methods
        self.deployment = deployment
        self.methods = _methods_by_name(deployment)
        # RPCs in flight were accepted under the old settings, perhaps with longer deadlines.
        self.longest_deadline_ms = max(
            self.longest_deadline_ms, *(method.hard_ms for method in methods)
        )
        self.admission.set_soft_deadline(min(method.soft_ms for method in methods))
        self.router.reconfigured(now, deployment)
        for rpc in self.rpcs.values():
            self.timers.limit_repeats(rpc, self.router.repeat_deadline(str(rpc.number)))
        self.decide(now)

    def set_banned(self, now: float, backend_id: str, banned: bool) -> None:
        """Stop sending to a backend, or lift its ban."""
        self.router.set_banned(now, backend_id, banned)
        if banned:
            self.transport.stop_sending(backend_id)
        self.decide(now)

    def can_ban(self, backend_id: str) -> bool:
        """Return whether an operator may ban or unban a backend."""
        return is_bannable(self.router, backend_id, self.deployment.origin_kind)

    def endpoint_counts(self) -> tuple[int, int]:
        """Return the number of listed caches, and of those the number without traffic now."""
        return count_endpoints(self.router, self.deployment.origin_kind)

    # ---- overload of this node

    def loop_late(self, now: float, late_ms: float, cpu_ms: float) -> None:
        """Check whether the event loop is late because the process was paused, and record a pause.

        `late_ms`: how late it runs its timers; `cpu_ms`: CPU time used since the last window.
        """
        if self.admission.detect_pause(late_ms, cpu_ms):
            self.counters.add("node.away")
            self.router.event_loop_stalled(now)

    def end_window(self, now: float, late_ms: float, cpu_ms: float) -> None:
        """End a window of the admission control, `late_ms` after the window was due to end.

        `cpu_ms`: CPU time used since the process started.
        """
        was_overloaded = self.admission.shed_fraction > 0
        self.admission.end_window(now, late_ms, cpu_ms)
        shed_fraction = self.admission.shed_fraction
        mean_wait_ms = self.admission.mean_wait_ms
        self.router.overload_measured(now, shed_fraction, mean_wait_ms)
        overloaded = shed_fraction > 0
        if overloaded or was_overloaded:
            self.counters.add("node.burdened")
        if overloaded != was_overloaded:
            self.log(
                "overload_started" if overloaded else "overload_ended",
                shed_fraction=shed_fraction,
                mean_wait_ms=mean_wait_ms,
            )

    # ---- log

    def record_malformed(self, kind: str, text: str) -> None:
        """Count malformed input; log the first `MAX_LOGGED_PER_KIND` of each kind."""
        counter = f"odd.{kind}"
        self.counters.add(counter)
        if self.counters.counts[counter] <= MAX_LOGGED_PER_KIND:
            self.log("malformed_input", kind=kind, text=text[:MAX_LOGGED_TEXT])

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""
        self.logger.info(event, **fields)
