"""Carries the decisions out: RPCs in numbered slots, their transmissions, and one final answer to
each."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Protocol

from hookpitch.balancer.decisions import Router
from hookpitch.balancer.interface import (
    Deployment,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Report,
)
from hookpitch.core.admission import Admission
from hookpitch.core.counters import Counters
from hookpitch.core.deadlines import Deadline, Deadlines
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.resp import bulk
from hookpitch.core.slot_table import SlotTable
from hookpitch.core.stream import ChunkedValue, MemoryBudget, Source, Stream

# Danger: a cache closes the whole connection on what it cannot read, whatever else waits there.
KEY = re.compile(rb"[^\x00-\x1f\x7f]{1,1024}")
ID = re.compile(rb"[!-~]{1,128}")
EXTRAS = re.compile(rb"\w+=[^\x00-\x20\x7f,]*(?:,\w+=[^\x00-\x20\x7f,]*)*")
FIGURE = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
FIGURES = (b"d", b"r", b"size")
TENANT = b"t"  # the name under which an RPC tells its customer
NO_REPORT: Report = {}
EXTRAS_KEPT = 512  # of what clients said beside their keys, with how it was read
EXTRAS_MOST = 512  # bytes
HELD_MOST = 1 << 24  # bytes of large writes, where nothing else is said
ODD_LOGGED = 3  # lines for each kind of odd input
FINAL = {
    "completed": "completed",
    "exhausted": "rejected",
    "errored": "failed",
}  # in operators' words
OUTCOME_COUNTERS = {
    Outcome.COMPLETED: "tx.completed",
    Outcome.MISS: "tx.miss",
    Outcome.OBSOLETE: "tx.moot",
    Outcome.CANCELLED: "tx.cancelled",
    Outcome.RESET: "tx.reset",
    Outcome.CONNECT_FAILED: "tx.connect_failed",
    Outcome.TIMEOUT: "tx.timeout",
    Outcome.OVERLOADED: "tx.full",
    Outcome.ERROR: "tx.error",
    Outcome.MALFORMED: "tx.spoilt",
}
UPDATE_COUNTERS = {
    EndpointUpdate.CACHED: "lists.cached",
    EndpointUpdate.DELTA: "lists.delta",
    EndpointUpdate.SNAPSHOT: "lists.full",
    EndpointUpdate.FAILED: "lists.failed",
}


class Transport(Protocol):
    """The pools of connections to caches and origin."""

    def dispatch(
        self, now: float, attempt: Attempt
    ) -> bool: ...  # False where no connection can be had
    def cancel(self, now: float, attempt: Attempt) -> None: ...
    def close_idle(self, backend_id: str) -> None: ...
    def stop_sending(self, backend_id: str) -> None: ...  # nothing new may be sent to it
    def update_endpoints(
        self, kind: EndpointUpdate, entries: Sequence[Endpoint], dials: Mapping[str, str]
    ) -> None: ...

    def has_unread_response(
        self, attempt: Attempt
    ) -> bool: ...  # whether its answer has come and is only unread


class Logger(Protocol):
    def info(self, event: str) -> None: ...


class Client(Protocol):
    """A client's connection; the place is what it gave with the RPC."""

    def reply(self, slot: ReplySlot, answer: bytes) -> None: ...
    def stream_started(self, slot: ReplySlot, stream: Stream) -> None: ...
    def stream_chunk(self, slot: ReplySlot, data: bytes) -> None: ...
    def stream_aborted(self, slot: ReplySlot) -> None: ...  # what was begun cannot be finished
    def disconnected(
        self,
    ) -> bool: ...  # its client has gone, or has ended its sending, as far as this machine knows


class Attempt:
    """One transmission of an RPC."""

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
        self.rpc, self.index, self.backend_id = rpc, index, backend_id
        self.sent_at, self.deadline = sent_at, deadline
        self.start_by = start_by  # later it is not begun any more
        self.carrier: object | None = (
            None  # the pool in which it waits, or the connection that it is on
        )
        self.written = self.done = False  # written: maybe

    def extras(self, now: float) -> bytes:
        """The RPC's names and values, with how long this node will wait from now on."""
        # Danger: a server that is told of more time than is left works on for nobody.
        wait = b"d=%d" % max(1, int(self.deadline - now))
        pairs = [wait if p[:2] == b"d=" else p for p in self.rpc.extras.split(b",") if p]
        return b",".join(pairs if wait in pairs else [*pairs, wait])


class Rpc:
    """An RPC from the time it is taken until it is answered and no transmission is out."""

    __slots__ = (
        "number",
        "client",
        "slot",
        "command",
        "key",
        "id",
        "extras",
        "value",
        "hard_deadline",
        "timer",
        "attempts",
        "in_flight",
        "pending",
        "client_half_closed",
        "method",
        "stream",
        "streaming_attempt",
        "accepted_at",
    )

    def __init__(
        self, client: Client, slot: ReplySlot, words: Sequence[bytes], method: str
    ) -> None:
        self.client, self.slot, self.method = client, slot, method
        self.command, self.key, self.id, self.extras = words[:4]
        self.value: bytes | ChunkedValue | None = words[4] if len(words) > 4 else None
        self.stream: Stream | None = None  # its answer, once it has begun to pass in pieces,
        self.streaming_attempt: Attempt | None = None  # and by which transmission
        self.number, self.in_flight, self.hard_deadline = -1, 0, 0.0
        self.accepted_at = 0.0
        self.pending, self.client_half_closed = True, False  # half closed: it may also have gone
        self.timer: Deadline | None = None
        self.attempts: list[Attempt] = []


class Host:
    """One node's host. Adapters tell it what happens; it hands on what the decisions say."""

    def __init__(
        self,
        now: float,
        deployment: Deployment,
        deadlines: Deadlines,
        counters: Counters,
        logger: Logger,
    ) -> None:
        self.now, self.deployment = now, deployment
        self.deadlines, self.counters, self.logger = deadlines, counters, logger
        self.methods = {m.name.encode(): m for m in deployment.methods}
        self.router = Router(now, deployment)
        self.admission = Admission(
            now, min((m.soft_ms for m in deployment.methods), default=1000.0)
        )
        self.rpcs: SlotTable[Rpc] = SlotTable()
        self.rpc_ids: set[bytes] = set()  # of all RPCs in slots
        self.pending_rpcs = 0  # RPCs taken and not ended
        self.value_budget = MemoryBudget(HELD_MOST)
        self.stream_timeout_ms = max(
            (m.hard_ms for m in deployment.methods), default=1000.0
        )  # with a silent stream
        self.connections: SlotTable[object] = SlotTable()
        self.transport: Transport
        self._unsent: deque[Attempt] = deque()
        self._wake: Deadline | None = None
        self._deciding = False

    # ---- inputs

    def accept(
        self,
        now: float,
        client: Client,
        slot: ReplySlot,
        words: Sequence[bytes],
        age: float = 0.0,
    ) -> Rpc | None:
        """An RPC as a client wrote it, read `age` ms after it came. None where its words are
        wrong, or where
        it was turned away: then the place holds its answer."""
        pairs = read_pairs(words[3])
        method = self.methods.get(pairs.get(b"c", b""))
        readable = KEY.fullmatch(words[1]) and ID.fullmatch(words[2])
        if method is None or not readable or words[2] in self.rpc_ids:
            return None
        grace = min(float(pairs.get(b"d", method.hard_ms)), method.hard_ms)
        if not grace > 0:
            return None
        self.admission.record_arrival(age)
        tenant = pairs.get(TENANT, b"").decode("latin-1")
        wait = self.router.shed_delay(now, method.name, tenant, age)
        if wait >= 0 or age >= grace:
            # Danger: in a surge, what is refused must cost next to nothing: no slot, deadline or
            # bucket.
            self.admission.record_rejected()
            self.counters.add("rpcs.turned_away")
            self.counters.add(f"rejected.{method.name}")
            slot.answer = self._busy(max(0.0, wait))
            return None
        rpc = Rpc(client, slot, words, method.name)
        self.rpc_ids.add(rpc.id)
        rpc.number, rpc.hard_deadline, rpc.accepted_at = self.rpcs.add(rpc), now + grace - age, now
        self.counters.add("rpcs.taken")
        self.pending_rpcs += 1
        key, write = rpc.key.decode("latin-1"), rpc.value is not None
        self.router.rpc_arrived(now, str(rpc.number), key, method.name, tenant, write, grace, age)
        self.decide(now)
        if rpc.pending and rpc.timer is None:  # it waits in a line
            self._watch(rpc, rpc.hard_deadline)
        return rpc

    def record_rejected(self, words: Sequence[bytes]) -> None:
        """An RPC was refused before it was looked at; counted where its method can be told."""
        method = self.methods.get(read_pairs(words[3]).get(b"c", b"")) if len(words) > 3 else None
        if method is not None:
            self.counters.add(f"rejected.{method.name}")

    def _watch(self, rpc: Rpc, at: float) -> None:
        """The RPC's one place among the deadlines: the next time at which something of it may be
        over."""
        if rpc.timer is None or rpc.timer.call is None or at < rpc.timer.at:
            self.deadlines.cancel(rpc.timer)
            rpc.timer = self.deadlines.add(at, lambda now: self._due(now, rpc))

    def _due(self, now: float, rpc: Rpc) -> None:
        if rpc.stream is not None and rpc.pending:
            if now - rpc.stream.last_progress < self.stream_timeout_ms:
                return self._watch(rpc, rpc.stream.last_progress + self.stream_timeout_ms)
            attempt = rpc.streaming_attempt
            # Danger: a server or a reader that has gone without a word holds both connections for
            # good.
            self.counters.add("streams.silent")
            self.transport.cancel(now, attempt)
            return self.attempt_finished(now, attempt, Outcome.TIMEOUT)
        for attempt in rpc.attempts:
            if not attempt.done and attempt.deadline <= now:
                self._waited_out(now, attempt)
        if rpc.pending and now >= rpc.hard_deadline:
            self._overdue(now, rpc)
        out = [attempt.deadline for attempt in rpc.attempts if not attempt.done]
        if rpc.pending or out:
            self._watch(rpc, min(out + [rpc.hard_deadline] if rpc.pending else out))

    def attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        report: Report = NO_REPORT,
        age: float = 0.0,
    ) -> None:
        """A transmission is over, as was read `age` ms after it came; a value with it is the RPC's
        answer."""
        self.counters.check(not attempt.done, "a transmission ends once")
        if attempt.done:
            return
        attempt.done, rpc = True, attempt.rpc
        rpc.in_flight -= 1
        self.counters.add(OUTCOME_COUNTERS[outcome])
        if rpc.stream is not None:
            if rpc.pending and attempt is rpc.streaming_attempt:
                self._streamed(rpc, outcome)
        elif outcome == Outcome.COMPLETED and rpc.pending:
            self._answer(rpc, bulk(value), "completed")
        elif rpc.client_half_closed and rpc.pending:
            self._answer(rpc, b"-ERR failed\r\n", "errored")
        # Danger: the time for which an answer stood unread here taken for its server's.
        streamed = rpc.stream is not None and attempt is rpc.streaming_attempt
        took = rpc.stream.first_byte_ms if streamed else max(0.0, now - attempt.sent_at - age)
        self.router.attempt_ended(
            now, str(rpc.number), attempt.index, outcome, not rpc.pending, took, report
        )
        self._free(rpc)
        self.decide(now)

    def stream_started(self, now: float, attempt: Attempt, length: int, source: Source) -> bool:
        """The first bytes of an answer that passes in pieces; False where its RPC is over."""
        rpc = attempt.rpc
        if (
            attempt.done or not rpc.pending or rpc.stream is not None
        ):  # of two copies the first one passes
            return False
        self.counters.add("streams")
        rpc.stream, rpc.streaming_attempt = (
            Stream(source, length, max(0.0, now - attempt.sent_at), now),
            attempt,
        )
        self.router.stream_started(now, str(rpc.number), attempt.index)
        # Danger: its deadline was for the first bytes; what the server still gives is passed on to
        # the end.
        self.deadlines.cancel(rpc.timer)
        self._watch(rpc, now + self.stream_timeout_ms)
        rpc.client.stream_started(rpc.slot, rpc.stream)
        self.decide(now)  # Danger: a second copy that runs on, until something else happens
        return True

    def stream_chunk(self, now: float, attempt: Attempt, data: bytes) -> None:
        """More of it."""
        rpc = attempt.rpc
        if rpc.stream is not None and rpc.pending and attempt is rpc.streaming_attempt:
            rpc.stream.last_progress = now
            data = rpc.stream.feed(data)
            if data:
                rpc.client.stream_chunk(rpc.slot, data)

    def _streamed(self, rpc: Rpc, outcome: Outcome) -> None:
        whole = outcome == Outcome.COMPLETED and rpc.stream is not None and not rpc.stream.remaining
        self.counters.check(whole or outcome != Outcome.COMPLETED, "a value passed whole")
        how = "completed" if whole else "errored"
        self.counters.add(f"rpcs.{how}")
        self.counters.add(f"{FINAL[how]}.{rpc.method}")
        self._end(rpc)
        if whole:
            rpc.client.reply(rpc.slot, rpc.stream.tail + b"\r\n")
        else:
            rpc.client.stream_aborted(rpc.slot)

    def client_disconnected(self, now: float, rpcs: Sequence[Rpc], reads: bool) -> None:
        """A client has gone or (reads) has ended its sending: then it has gone, too, or still
        reads."""
        # Danger: all of its RPCs are told of before anything is decided. Room that the first one
        # leaves would go to the next in line, and nothing may be sent for a client that has gone.
        deciding, self._deciding = self._deciding, True
        try:
            for rpc in rpcs:
                if rpc.pending and not (rpc.client_half_closed and reads):
                    self._left(now, rpc, reads)
        finally:
            self._deciding = deciding
        self.decide(now)

    def _left(self, now: float, rpc: Rpc, reads: bool) -> None:
        # Danger: both ends of sending look alike. One who reads must get its answer, so what is out
        # may end; for one who has gone nothing further may be sent.
        rpc.client_half_closed = reads
        if not reads:
            self.counters.add("rpcs.client_left")
            self._end(rpc)
        elif not any(attempt.written and not attempt.done for attempt in rpc.attempts):
            self._answer(rpc, b"-ERR failed\r\n", "errored")
        self.router.client_disconnected(now, str(rpc.number))
        stop = self.deployment.cancellation_enabled or rpc.stream is not None
        for attempt in rpc.attempts if not rpc.pending else ():
            # Danger: what only waits for a dial would be begun for nobody once that comes up.
            if not attempt.done and (stop or not attempt.written):
                self.transport.cancel(now, attempt)
                self.attempt_finished(now, attempt, Outcome.CANCELLED)
        self._free(rpc)

    def update_endpoints(
        self, now: float, kind: EndpointUpdate, entries: list[Endpoint], dials: Mapping[str, str]
    ) -> None:
        """A list of servers, or that none could be had."""
        self.counters.add(UPDATE_COUNTERS[kind])
        if kind == EndpointUpdate.FAILED:  # what was told before stands
            return
        # Danger: what waited for a dial is decided anew by the list of before.
        deciding, self._deciding = self._deciding, True
        try:
            self.transport.update_endpoints(kind, entries, dials)
            self.router.update_endpoints(now, kind, entries)
        finally:
            self._deciding = deciding
        self.decide(now)

    def reconfigured(self, now: float, deployment: Deployment) -> None:
        """New settings, for what comes from now on; RPCs that were taken keep method and
        deadlines."""
        self.deployment, self.methods = deployment, {m.name.encode(): m for m in deployment.methods}
        # Danger: a stream or a leave cut short that began under longer deadlines.
        self.stream_timeout_ms = max(
            self.stream_timeout_ms, *(m.hard_ms for m in deployment.methods)
        )
        self.admission.set_soft_deadline(min(m.soft_ms for m in deployment.methods))
        self.router.reconfigured(now, deployment)
        self.decide(now)

    def fail_all(self, now: float) -> None:
        """The node ends: what is open is answered now."""
        # Danger: a connection that ends with no answer on it loses its RPC.
        for rpc in self.rpcs.values():
            if rpc.pending and rpc.stream is None:
                self._answer(rpc, b"-ERR failed\r\n", "errored")
                self.router.client_disconnected(now, str(rpc.number))

    def ban(self, now: float, id: str, banned: bool) -> None:
        """An operator leaves a server out, or takes it back."""
        self.router.set_banned(now, id, banned)
        if banned:
            self.transport.stop_sending(id)
        self.decide(now)

    def bannable(self, id: str) -> bool:
        """Whether an operator may name it: a listed cache server, or one that is out by hand
        already."""
        s = self.router.backends.get(id)
        listed = (
            s is not None
            and s.listed_state != EndpointState.REMOVED
            and s.kind != self.deployment.origin_kind
        )
        return id in self.router.bans or listed

    def endpoint_counts(self) -> tuple[int, int]:
        """Cache servers in the list, and those of them that are avoided now, by hand or by
        choice."""
        servers = (
            s for s in self.router.backends.values() if s.kind != self.deployment.origin_kind
        )
        listed = [s for s in servers if s.listed_state != EndpointState.REMOVED]
        return len(listed), sum(s.state != EndpointState.READY or s.ejected for s in listed)

    def decide(self, now: float) -> None:
        """Pull decisions until there is none."""
        if self._deciding:  # an input that came of a decision: the loop that is on goes on
            return
        self.now, self._deciding = now, True
        try:
            while True:
                while self.router.decide(now, self):
                    pass
                if not self._unsent:
                    break
                attempt = self._unsent.popleft()
                if attempt.rpc.client_half_closed and attempt.rpc.pending:
                    self._left(now, attempt.rpc, True)
                if not attempt.done:
                    self.attempt_finished(
                        now,
                        attempt,
                        Outcome.CANCELLED if attempt.rpc.client_half_closed else Outcome.OVERLOADED,
                    )
        finally:
            self._deciding = False

    # ---- decisions

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        rpc = self.rpcs.get(int(rpc_id))
        self.counters.check(
            rpc is not None and rpc.pending, "nothing is sent for an RPC that is over"
        )
        if rpc is None:
            return
        until = min(self.now + timeout_ms, rpc.hard_deadline)
        attempt = Attempt(
            rpc, len(rpc.attempts), backend_id, self.now, until, self.now + start_within_ms
        )
        rpc.attempts.append(attempt)
        rpc.in_flight += 1
        # Danger: its client has gone while it waited, and that stands unread behind what else
        # happens.
        if rpc.pending and self.now > rpc.accepted_at and rpc.client.disconnected():
            rpc.client_half_closed = True
            self.counters.add("tx.for_nobody")
            self._unsent.append(attempt)
            return
        self.counters.add("tx.sent")
        if not rpc.pending or not self.transport.dispatch(self.now, attempt):
            self._unsent.append(attempt)
            return
        self._watch(rpc, until)

    def cancel(self, rpc_id: str, attempt: int) -> None:
        rpc = self.rpcs.get(int(rpc_id))
        if rpc is not None and attempt < len(rpc.attempts) and not rpc.attempts[attempt].done:
            if rpc.pending and (
                rpc.client_half_closed or rpc.attempts[attempt] is rpc.streaming_attempt
            ):
                return
            self.transport.cancel(self.now, rpc.attempts[attempt])
            self.attempt_finished(self.now, rpc.attempts[attempt], Outcome.CANCELLED)

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        self._final(rpc_id, self._busy(retry_after_ms), "exhausted")

    def _busy(self, retry_after_ms: float) -> bytes:
        wait = min(retry_after_ms, self.deployment.max_retry_after_ms)
        return b"-BUSY %d\r\n" % wait if wait >= 1 else b"-BUSY\r\n"

    def fail(self, rpc_id: str) -> None:
        self._final(rpc_id, b"-ERR failed\r\n", "errored")

    def close_idle(self, backend_id: str) -> None:
        self.transport.close_idle(backend_id)

    def schedule_wakeup(self, at_ms: float) -> None:
        self.deadlines.cancel(self._wake)
        self._wake = self.deadlines.add(at_ms, self._timer_fired)

    def log(self, text: str) -> None:
        self.logger.info(text)

    def loop_late(self, now: float, late: float, used: float) -> None:
        """The loop is late with its deadlines, which wait for one more look at the sockets; CPU
        time used
        since the last beat. All in ms."""
        if self.admission.detect_pause(late, used):
            self.counters.add("node.away")
            self.router.event_loop_stalled(now)

    def end_window(self, now: float, late: float, cpu: float) -> None:
        """A window of the admission has ended, seen `late` ms after; `cpu` ms of CPU time used so
        far."""
        before = self.admission.shed_fraction
        self.admission.end_window(now, late, cpu)
        burden = self.admission.shed_fraction
        self.router.overload_measured(now, burden, self.admission.mean_wait_ms)
        if burden or before:
            self.counters.add("node.burdened")
            if bool(burden) != bool(before):
                self.log(
                    "more comes in than this node can do"
                    if burden
                    else "the node can do what comes in"
                )

    def record_malformed(self, what: str, text: str) -> None:
        """Something came in a form that is not known: counted, the first of them logged."""
        self.counters.add(f"odd.{what}")
        if self.counters.counts[f"odd.{what}"] <= ODD_LOGGED:
            self.logger.info(f"odd {what}: {text[:200]!r}")

    # ---- deadlines and answers

    def _timer_fired(self, now: float) -> None:
        self.router.timer_fired(now)
        self.decide(now)

    def _waited_out(self, now: float, attempt: Attempt) -> None:
        # Danger: after a pause of the node, answers that came in time stand unread.
        if now < attempt.rpc.hard_deadline and self.transport.has_unread_response(attempt):
            return
        self.transport.cancel(now, attempt)
        if attempt.written:
            outcome = Outcome.TIMEOUT
        else:  # a node that was away has not let its dials come up
            outcome = (
                Outcome.OBSOLETE
                if attempt.sent_at < self.router.stalled_at
                else Outcome.CONNECT_FAILED
            )
        self.attempt_finished(now, attempt, outcome)

    def _overdue(self, now: float, rpc: Rpc) -> None:
        # Danger: rule 1. No RPC passes its hard deadline unanswered, whatever went wrong in the
        # decisions.
        self._answer(rpc, b"-ERR failed\r\n", "errored")
        self.router.client_disconnected(now, str(rpc.number))
        self._free(rpc)
        self.decide(now)
        self.counters.check(False, "the decisions answer before the hard deadline")

    def _final(self, rpc_id: str, answer: bytes, how: str) -> None:
        rpc = self.rpcs.get(int(rpc_id))
        self.counters.check(rpc is not None and rpc.pending, "one final answer")
        if rpc is not None and rpc.pending:
            self._answer(rpc, answer, how)
            self._free(rpc)

    def _answer(self, rpc: Rpc, answer: bytes, how: str) -> None:
        self.counters.add(f"rpcs.{how}")
        self.counters.add(f"{FINAL[how]}.{rpc.method}")
        self._end(rpc)
        rpc.client.reply(rpc.slot, answer)

    def _end(self, rpc: Rpc) -> None:
        rpc.pending = False
        self.pending_rpcs -= 1
        if not rpc.in_flight:
            self.deadlines.cancel(rpc.timer)

    def _free(self, rpc: Rpc) -> None:
        if not rpc.pending and not rpc.in_flight:
            self.deadlines.cancel(rpc.timer)
            self.rpcs.free(rpc.number)
            if isinstance(rpc.value, ChunkedValue):
                self.value_budget.release(len(rpc.value))
                rpc.value = b""
            self.rpc_ids.discard(rpc.id)


@lru_cache(maxsize=EXTRAS_KEPT)
def read_pairs(extras: bytes) -> Mapping[bytes, bytes]:
    """An RPC's names and values; none where one comes twice or cannot be read. Clients say the
    same often."""
    if len(extras) > EXTRAS_MOST or not EXTRAS.fullmatch(extras):
        return {}
    listed = [pair.partition(b"=")[::2] for pair in extras.split(b",")]
    pairs = dict(listed)
    good = all(name not in pairs or FIGURE.fullmatch(pairs[name]) for name in FIGURES)
    return pairs if good and len(pairs) == len(listed) else {}
