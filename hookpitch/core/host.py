"""One node's host: the class that the network adapters talk to.

It takes in what happens (RPCs, replies, disconnects, endpoint lists, operators' commands), tells
the router and lets its decisions be carried out. Times are in milliseconds of one clock, passed in
by the caller. Invariants: each RPC gets one final answer, no later than its hard deadline; what
goes wrong in the router's decisions is counted under `broken.` and changes nothing of that.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hookpitch.balancer.interface import (
    Deployment,
    Endpoint,
    EndpointUpdate,
    Method,
    Outcome,
    Report,
)
from hookpitch.balancer.router import Router
from hookpitch.core.admission import Admission
from hookpitch.core.counter_names import OUTCOME_COUNTERS, UPDATE_COUNTERS, FinalResult
from hookpitch.core.counters import Counters
from hookpitch.core.deadlines import Deadlines
from hookpitch.core.decision_runner import DecisionRunner
from hookpitch.core.interfaces import Client, Logger, Transport
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.request_parser import is_forwardable, parse_extras
from hookpitch.core.resp import bulk
from hookpitch.core.router_view import count_endpoints, is_bannable
from hookpitch.core.rpc import Attempt, Rpc
from hookpitch.core.rpc_table import RpcTable
from hookpitch.core.rpc_timers import RpcTimers
from hookpitch.core.slot_table import SlotTable
from hookpitch.core.stream import MemoryBudget, Source
from hookpitch.core.streamed_replies import StreamedReplies

NO_REPORT: Report = {}
DEFAULT_DEADLINE_MS = 1000.0  # soft and hard, in a deployment without methods
DEFAULT_VALUE_BUDGET_BYTES = 1 << 24
MAX_LOGGED_PER_KIND = 3  # log lines for each kind of malformed input; all are counted
MAX_LOGGED_TEXT = 200  # characters of it


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
    ) -> None:
        methods = deployment.methods
        soft_ms = min((method.soft_ms for method in methods), default=DEFAULT_DEADLINE_MS)
        hard_ms = max((method.hard_ms for method in methods), default=DEFAULT_DEADLINE_MS)
        self.now = now  # when decisions were pulled last
        self.deployment = deployment
        self.methods = _methods_by_name(deployment)
        self.deadlines = deadlines
        self.counters = counters
        self.logger = logger
        self.transport: Transport
        self.router = Router(now, deployment)
        self.admission = Admission(now, soft_ms)
        self.value_budget = MemoryBudget(DEFAULT_VALUE_BUDGET_BYTES)
        self.stream_timeout_ms = hard_ms
        self.connections: SlotTable[object] = SlotTable()
        self.rpcs = RpcTable(deadlines, counters, self.value_budget)
        self.timers = RpcTimers(self)
        self._streams = StreamedReplies(self)
        self._decisions = DecisionRunner(self)

    def decide(self, now: float) -> None:
        """Pull the router's decisions until there is none, unless that is being done already."""
        self._decisions.run(now)

    # ---- clients

    def accept(
        self,
        now: float,
        client: Client,
        slot: ReplySlot,
        words: Sequence[bytes],
        age: float = 0.0,
    ) -> Rpc | None:
        """Take a client's RPC, which was read `age` ms after it had arrived.

        Returns None where a word is invalid, and where the RPC was shed: then the slot holds its
        answer.
        """
        fields = parse_extras(words[3])
        method = self.methods.get(fields.method)
        if method is None or not is_forwardable(words) or words[2] in self.rpcs.ids:
            return None
        time_limit_ms = fields.time_limit_within(method.hard_ms)
        if not time_limit_ms > 0:
            return None
        self.admission.record_arrival(age)
        retry_after_ms = self.router.shed_delay(now, method.name, fields.tenant, age)
        if retry_after_ms >= 0 or age >= time_limit_ms:
            self._shed(slot, method, retry_after_ms)
            return None
        rpc = Rpc(client, slot, words, method.name)
        rpc.accepted_at = now
        rpc.hard_deadline = now + time_limit_ms - age
        self.rpcs.add(rpc)
        self.router.rpc_arrived(
            now,
            str(rpc.number),
            rpc.key.decode("latin-1"),
            method.name,
            fields.tenant,
            rpc.value is not None,
            time_limit_ms,
            age,
        )
        self.decide(now)
        if rpc.pending and rpc.timer is None:  # it is queued
            self.timers.watch(rpc, rpc.hard_deadline)
        return rpc

    def _shed(self, slot: ReplySlot, method: Method, retry_after_ms: float) -> None:
        # Under overload a rejection has to cost next to nothing: no RPC record, timer or quota.
        self.admission.record_rejected()
        self.counters.add("rpcs.turned_away")
        self._count_rejected(method)
        slot.answer = self.busy_reply(max(0.0, retry_after_ms))

    def record_rejected(self, words: Sequence[bytes]) -> None:
        """Count an RPC that an adapter rejected, if its method is known."""
        if len(words) <= 3:
            return
        method = self.methods.get(parse_extras(words[3]).method)
        if method is not None:
            self._count_rejected(method)

    def _count_rejected(self, method: Method) -> None:
        self.counters.add(f"{FinalResult.REJECTED.method_prefix}.{method.name}")

    def busy_reply(self, retry_after_ms: float) -> bytes:
        """Return the answer to a rejected RPC; less than a millisecond is not worth telling."""
        retry_after_ms = min(retry_after_ms, self.deployment.max_retry_after_ms)
        return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"-BUSY\r\n"

    def client_disconnected(self, now: float, rpcs: Sequence[Rpc], still_reads: bool) -> None:
        """Take in that a client closed its connection, or half-closed it if `still_reads`."""
        # The router has to know of all RPCs before it decides anything: otherwise the capacity that
        # the first one frees would go to the next in the queue, and be sent for a client that left.
        with self._decisions.deferred():
            for rpc in rpcs:
                if rpc.pending and not (rpc.client_half_closed and still_reads):
                    self.client_left(now, rpc, half_closed=still_reads)
        self.decide(now)

    def client_left(self, now: float, rpc: Rpc, half_closed: bool) -> None:
        """End an RPC whose client left, or may have left, as far as its attempts allow.

        A half-closed connection is either: who still reads has to get its answer, so attempts in
        flight go on; but nothing more is sent.
        """
        rpc.client_half_closed = half_closed
        if not half_closed:
            self.counters.add("rpcs.client_left")
            self.rpcs.abandon(rpc)
        elif not any(attempt.written and not attempt.done for attempt in rpc.attempts):
            self.rpcs.fail(rpc)
        self.router.client_disconnected(now, str(rpc.number))
        if not rpc.pending:
            self._cancel_attempts(now, rpc)
        self.rpcs.release(rpc)

    def _cancel_attempts(self, now: float, rpc: Rpc) -> None:
        cancel_written = self.deployment.cancellation_enabled or rpc.stream is not None
        for attempt in rpc.attempts:
            # What only waits for a connection would otherwise be sent for nobody.
            if not attempt.done and (cancel_written or not attempt.written):
                self.transport.cancel(now, attempt)
                self.attempt_finished(now, attempt, Outcome.CANCELLED)

    def fail_all(self, now: float) -> None:
        """Answer all RPCs because the node ends; streamed replies are left to their connections."""
        for rpc in self.rpcs.values():
            if rpc.pending and rpc.stream is None:
                self.rpcs.fail(rpc)
                self.router.client_disconnected(now, str(rpc.number))

    # ---- backends

    def attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        report: Report = NO_REPORT,
        age: float = 0.0,
    ) -> None:
        """Take in the end of an attempt, which was read `age` ms after it had arrived.

        `value` is the reply of a completed attempt, unless that was streamed; `report` is the
        backend's load report.
        """
        self.counters.check(not attempt.done, "a transmission ends once")
        if attempt.done:
            return
        rpc = attempt.rpc
        attempt.done = True
        rpc.in_flight -= 1
        self.counters.add(OUTCOME_COUNTERS[outcome])
        streamed = rpc.stream is not None and attempt is rpc.streaming_attempt
        if rpc.pending:
            if streamed:
                self._streams.finish(rpc, outcome)
            elif rpc.stream is None and outcome == Outcome.COMPLETED:
                self.rpcs.answer(rpc, bulk(value), FinalResult.COMPLETED)
            elif rpc.stream is None and rpc.client_half_closed:
                self.rpcs.fail(rpc)
        # The time for which a reply stood unread here is not its backend's.
        latency_ms = rpc.stream.first_byte_ms if streamed else max(0.0, now - attempt.sent_at - age)
        self.router.attempt_ended(
            now, str(rpc.number), attempt.index, outcome, not rpc.pending, latency_ms, report
        )
        self.rpcs.release(rpc)
        self.decide(now)

    def stream_started(self, now: float, attempt: Attempt, length: int, source: Source) -> bool:
        """Take in the start of a large reply; False where nobody waits for it any more."""
        return self._streams.start(now, attempt, length, source)

    def stream_chunk(self, now: float, attempt: Attempt, data: bytes) -> None:
        """Take in the next piece of a large reply."""
        self._streams.pass_on(now, attempt, data)

    def update_endpoints(
        self,
        now: float,
        kind: EndpointUpdate,
        entries: list[Endpoint],
        addresses: Mapping[str, str],
    ) -> None:
        """Take in an endpoint list, or that none could be had: then the last one stays."""
        self.counters.add(UPDATE_COUNTERS[kind])
        if kind == EndpointUpdate.FAILED:
            return
        # The transport ends attempts; the router must not decide on them by the list before.
        with self._decisions.deferred():
            self.transport.update_endpoints(kind, entries, addresses)
            self.router.update_endpoints(now, kind, entries)
        self.decide(now)

    # ---- operators

    def reconfigured(self, now: float, deployment: Deployment) -> None:
        """Use new settings from now on; RPCs in flight keep their method and deadlines."""
        methods = deployment.methods
        self.deployment = deployment
        self.methods = _methods_by_name(deployment)
        # Streams in flight started under the settings before, maybe with longer deadlines.
        self.stream_timeout_ms = max(
            self.stream_timeout_ms, *(method.hard_ms for method in methods)
        )
        self.admission.set_soft_deadline(min(method.soft_ms for method in methods))
        self.router.reconfigured(now, deployment)
        self.decide(now)

    def set_banned(self, now: float, backend_id: str, banned: bool) -> None:
        """Send nothing to a backend any more, or lift that."""
        self.router.set_banned(now, backend_id, banned)
        if banned:
            self.transport.stop_sending(backend_id)
        self.decide(now)

    def can_ban(self, backend_id: str) -> bool:
        """Whether an operator may name a backend."""
        return is_bannable(self.router, backend_id, self.deployment.origin_kind)

    def endpoint_counts(self) -> tuple[int, int]:
        """Return how many caches are listed, and how many of them get no traffic now."""
        return count_endpoints(self.router, self.deployment.origin_kind)

    # ---- overload of this node

    def loop_late(self, now: float, late_ms: float, cpu_ms: float) -> None:
        """Take in that the event loop runs its timers late.

        `cpu_ms`: CPU time used since the last window.
        """
        if self.admission.detect_pause(late_ms, cpu_ms):
            self.counters.add("node.away")
            self.router.event_loop_stalled(now)

    def end_window(self, now: float, late_ms: float, cpu_ms: float) -> None:
        """End a window of the admission control; this is seen `late_ms` after its time.

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
        """Count malformed input, and log the first of its kind."""
        counter = f"odd.{kind}"
        self.counters.add(counter)
        if self.counters.counts[counter] <= MAX_LOGGED_PER_KIND:
            self.log("malformed_input", kind=kind, text=text[:MAX_LOGGED_TEXT])

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""
        self.logger.info(event, **fields)
