"""The router: takes what happens, and hands one decision a call to its host.

State: RPCs that are open, and the times of the next rate update, round and wake-up; everything
else belongs to the module that maintains it. Inputs update what is known and append to
`PendingWork`; `decide` is called until it returns False. Times are float milliseconds of the
host's clock. One router is one instance: it shares nothing with any other.
"""

from __future__ import annotations

from zlib import crc32

from hookpitch.balancer.attempt_timers import AttemptTimers
from hookpitch.balancer.backend import FOREVER, Backend, BackendTable
from hookpitch.balancer.concurrency import ConcurrencyLimits
from hookpitch.balancer.draws import DrawSequence
from hookpitch.balancer.endpoints import EndpointList
from hookpitch.balancer.failover import Failover
from hookpitch.balancer.health import LocalDelay, OutlierDetector
from hookpitch.balancer.idle_connections import IdleConnections
from hookpitch.balancer.interface import (
    Deployment,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Method,
    Outcome,
    Report,
    RouterHost,
)
from hookpitch.balancer.load_shedding import LoadShedder
from hookpitch.balancer.method_load import MethodLoad
from hookpitch.balancer.pending import PendingWork
from hookpitch.balancer.placement import BUCKETS, Bucket, Placement
from hookpitch.balancer.queueing import BackendQueues, drop_finished
from hookpitch.balancer.quotas import Quotas
from hookpitch.balancer.rebalancing import ROUND_MS, Rebalancer
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.ring import HashRing
from hookpitch.balancer.rpc import Attempt, Rpc
from hookpitch.balancer.slow_start import SlowStart

DEFAULT_RATE_WINDOW_MS = 1000.0
DEFAULT_TICK_MS = 1.0


class Router:
    """Decides which backend each RPC is sent to, and what becomes of it otherwise."""

    def __init__(self, now: float, deployment: Deployment) -> None:
        self.now = now
        self.methods: dict[str, Method] = {}
        self.rpcs: dict[str, Rpc] = {}
        self._seed = deployment.seed
        self._draws = DrawSequence(deployment.seed)
        self.work = PendingWork(self._draws)
        self.table = BackendTable()
        self.backends = self.table.backends
        self.ring = HashRing()
        self.method_load = MethodLoad()
        self.placement = Placement(deployment.seed, self.table, self.ring, self.method_load)
        self.quotas = Quotas()
        self.load_shedder = LoadShedder(self._draws, self.quotas)
        self.local_delay = LocalDelay()
        self.idle_connections = IdleConnections()
        self.slow_start = SlowStart(self._draws, self.table, self.ring)
        self.concurrency = ConcurrencyLimits(self._draws, self.table, self.slow_start)
        self.retries = RetryPolicy(self.work, self.placement)
        self.outliers = OutlierDetector(
            self.table,
            self.ring,
            self.work,
            self.concurrency,
            self.slow_start,
            self.retries,
            self.idle_connections,
        )
        self.endpoints = EndpointList(
            self.table,
            self.ring,
            self.placement,
            self.outliers,
            self.slow_start,
            self.concurrency,
            self.retries,
        )
        self.failover = Failover(self.placement, self.concurrency, self.slow_start, self.retries)
        self.queues = BackendQueues(self.table, self.work, self.concurrency, self.retries)
        self.attempt_timers = AttemptTimers(
            self.table,
            self.work,
            self.concurrency,
            self.retries,
            self.outliers,
            self.load_shedder,
            self.local_delay,
        )
        self.rebalancer = Rebalancer(now, self.table, self.placement, self.method_load)
        self._wakeup_at = FOREVER
        self._rates_updated_at = now
        self._rate_window_ms = DEFAULT_RATE_WINDOW_MS
        self._tick_ms = DEFAULT_TICK_MS
        self.reconfigured(now, deployment)
        self.next_rate_update = now + self._rate_window_ms
        self.next_rebalance = now + ROUND_MS * (1 + self._draws.fraction())

    @property
    def origin(self) -> Backend | None:
        """The origin, where caches are beside it and it is listed."""
        return self.table.origin

    @property
    def caches(self) -> list[Backend]:
        """The caches on the ring, ready or not."""
        return self.ring.caches

    @property
    def bans(self) -> dict[str, None]:
        """The ids an operator has banned, in the order of the bans."""
        return self.endpoints.banned

    # ---- inputs: they update what is known, nothing else

    def reconfigured(self, now: float, deployment: Deployment) -> None:
        """Take new settings. RPCs in flight keep their deadlines; what was learned stays."""
        self.now = now
        self.methods = {method.name: method for method in deployment.methods}
        self._tick_ms = deployment.tick_ms or DEFAULT_TICK_MS
        self._rate_window_ms = deployment.overload_window_ms or DEFAULT_RATE_WINDOW_MS
        nodes = max(1, deployment.nodes)
        self.quotas.configure(deployment.tenants, nodes)
        self.set_process_count(now, 1 / self.quotas.process_share)
        self.retries.configure(deployment)
        for rpc in self.rpcs.values():
            self.retries.update_in_flight(rpc, self.methods.get(rpc.method.name))
            if not deployment.hedging_allowed:
                self.retries.cancel_hedged(rpc)
        self.outliers.configure(deployment)
        self.slow_start.configure(deployment)
        self.idle_connections.configure(deployment, self.outliers.base_ejection_ms)
        self.load_shedder.configure(deployment, self.methods)
        self.method_load.configure(self.methods)
        self.placement.configure(tuple(self.methods.values()))
        self.endpoints.configure(deployment, nodes)
        self.rebalancer.configure(nodes)

    def update_endpoints(self, now: float, kind: EndpointUpdate, endpoints: list[Endpoint]) -> None:
        """Take an update of the endpoint list."""
        self.now = now
        self.endpoints.update(kind, endpoints, now)

    def set_banned(self, now: float, id: str, banned: bool) -> None:
        """Keep a backend out for an operator, or take it back; whatever any list says."""
        self.now = now
        self.endpoints.set_banned(id, banned, now)

    def set_process_count(self, now: float, processes: float) -> None:
        """Share the node's quotas and budgets with so many processes, this one among them."""
        self.now = now
        share_before = self.quotas.process_share
        share = 1 / processes
        self.concurrency.scale_origin(share / share_before)
        self.slow_start.process_share = share
        self.quotas.set_process_share(now, share)

    def rpc_arrived(
        self,
        now: float,
        id: str,
        key: str,
        method: str,
        tenant: str,
        write: bool,
        grace: float,
        age: float = 0.0,
        work: float = 0.0,
    ) -> None:
        """Take an RPC; `grace` is what its client waits, `age` how long it stood unread, in ms.

        `work` is the work it states in ms, 0 where it states none.
        """
        self.now = now
        if id in self.rpcs:
            return
        known = self.methods.get(method) or Method(
            method, grace, grace, 0.0, 0.0, Idempotency.NON_IDEMPOTENT
        )
        bucket = self._bucket_of(key, known)
        if key:
            self.rebalancer.keys.record(key, bucket)
        self.method_load.record(method, work)
        self.placement.track_hot_bucket(bucket)
        bucket.count += 1
        rpc = Rpc(self._draws.next_number(), id, bucket, known, write)
        useful = grace if known.late_gain > 0 else min(grace, known.soft_ms)
        margin_ms = self.retries.margin_ms
        rpc.deadline = now + useful - age - margin_ms
        rpc.objective = now + known.soft_ms - age - margin_ms
        token_bucket = self.quotas.token_buckets.get(tenant)
        if token_bucket is not None:
            if token_bucket.exhausted(now):
                rpc.over_quota = True
            else:
                token_bucket.tokens -= 1
                rpc.token_bucket = token_bucket
        self.load_shedder.admit(rpc, token_bucket is not None)
        self.rpcs[id] = rpc
        self.work.rpcs.append(rpc)

    def attempt_ended(
        self, now: float, id: str, n: int, outcome: Outcome, last: bool, took: float, report: Report
    ) -> None:
        """Take the end of attempt `n` of an RPC, after `took` ms; `last`: the RPC ends with it."""
        self.now = now
        attempt = self._open_attempt(id, n)
        if attempt is None:
            return
        rpc, backend = attempt.rpc, attempt.backend
        attempt.finish(outcome)
        if self._is_late(attempt, outcome):
            self.load_shedder.record_rejected()
        if report and self.endpoints.nominal_sizes is None:
            backend.record_report(report)
        self._judge(attempt, outcome, took)
        self.concurrency.pause(backend, rpc.method, outcome, took, now)
        if backend.fresh_queue or backend.retry_queue:
            self.work.freed_backends.append(backend)
        if outcome == Outcome.MISS:
            rpc.missed = True
        if last or rpc.closed:
            self._close(rpc)
        else:
            self.work.rpcs.append(rpc)

    def stream_started(self, now: float, id: str, n: int) -> None:
        """Take the first bytes of an answer; other attempts of its RPC are cancelled."""
        self.now = now
        attempt = self._open_attempt(id, n)
        if attempt is None:
            return
        attempt.start_stream()
        self.work.cancellations.extend(
            other for other in attempt.rpc.attempts if not other.done and other is not attempt
        )
        self._record_response(attempt, now - attempt.sent_at, False)

    def client_disconnected(self, now: float, id: str) -> None:
        """Take an RPC that nobody waits for any more."""
        self.now = now
        rpc = self.rpcs.get(id)
        if rpc is not None and not rpc.closed:
            self._close(rpc)

    def timer_fired(self, now: float) -> None:
        """Take the time that was asked for by `schedule_wakeup`."""
        self.now = now

    def overload_measured(self, now: float, overload: float, read_delay_ms: float = 0.0) -> None:
        """Take the part of what arrives that this node cannot do, and how long it stood unread."""
        self.now = now
        self.local_delay.read_delay_ms = read_delay_ms
        self.load_shedder.overload_measured(overload)

    def event_loop_stalled(self, now: float) -> None:
        """Take a pause of this process: what was in flight then tells nothing of its backends."""
        self.now = now
        self.local_delay.stalled_at = now

    def shed_delay(self, now: float, method: str, tenant: str, age: float) -> float:
        """Return the ms after which a client may retry; under 0 where its RPC is admitted."""
        self.now = now
        return self.load_shedder.shed_delay(now, method, tenant, age)

    # ---- decisions, one a call

    def decide(self, now: float, host: RouterHost) -> bool:
        """Hand at most one decision to the host; return False when there is none left."""
        self.now = now
        self._run_due()
        return (
            self._cancel_one(host)
            or self._close_one_idle(host)
            or self._route_one(host)
            or self._dequeue_one(host)
            or self._log_one(host)
            or self._schedule_wakeup(host)
        )

    def _cancel_one(self, host: RouterHost) -> bool:
        cancellations = self.work.cancellations
        while cancellations:
            attempt = cancellations.popleft()
            if not attempt.done and self.retries.cancellation_enabled:
                host.cancel(attempt.rpc.id, attempt.number)
                return True
        return False

    def _close_one_idle(self, host: RouterHost) -> bool:
        if not self.work.idle_to_close:
            return False
        host.close_idle(self.work.idle_to_close.popleft().id)
        return True

    def _route_one(self, host: RouterHost) -> bool:
        rpcs = self.work.rpcs
        while rpcs:
            rpc = rpcs.popleft()
            if rpc.closed or rpc.queue_deadline:
                continue
            hedgeable = rpc.hedgeable_count if self.retries.hedging_allowed else 0
            if rpc.in_flight <= hedgeable and self._route(rpc, host):
                return True
        return False

    def _dequeue_one(self, host: RouterHost) -> bool:
        freed = self.work.freed_backends
        while freed:
            backend = freed[0]
            if self.concurrency.has_capacity(backend, self.now):
                rpc = self.queues.pop(backend, self.now)
                if rpc is not None:
                    self._send(rpc, backend, host)
                    return True
            freed.popleft()
        return False

    def _log_one(self, host: RouterHost) -> bool:
        if not self.work.log_lines:
            return False
        host.log(self.work.log_lines.popleft())
        return True

    def _schedule_wakeup(self, host: RouterHost) -> bool:
        timers = self.work.timers
        due = min(
            timers[0].at_ms if timers else FOREVER, self.next_rate_update, self.next_rebalance
        )
        due = max(due, self.now + self._tick_ms / 2)
        # A wake-up that is late, or rounded to just before its time, must cost no RPC its answer.
        earlier = due < self._wakeup_at - self._tick_ms / 4
        if not earlier and self._wakeup_at > self.now + self._tick_ms / 4:
            return False
        self._wakeup_at = due
        host.schedule_wakeup(due)
        return True

    # ---- what is due

    def _run_due(self) -> None:
        now = self.now
        while (timer := self.work.pop_due_timer(now)) is not None:
            if timer.attempt is None:
                self.queues.timer_fired(timer.rpc, now)
            else:
                self.attempt_timers.timer_fired(timer.attempt, now)
        if now >= self.next_rate_update:
            self._update_rates()
        if now >= self.next_rebalance:
            self.next_rebalance = now + ROUND_MS
            self.rebalancer.rebalance(now)

    def _update_rates(self) -> None:
        now = self.now
        span_ms = max(now - self._rates_updated_at, 1.0)
        self._rates_updated_at = now
        self.next_rate_update = now + self._rate_window_ms
        arrivals = self.load_shedder.update()
        self.idle_connections.grow()
        for backend in self.backends.values():
            backend.update_send_rate(span_ms)
            drop_finished(backend)
            if self.idle_connections.is_idle(backend, now):
                backend.connected = False
                self.work.idle_to_close.append(backend)
            backend.update_availability(now)
        self.slow_start.update_warm_rate(arrivals, span_ms)

    # ---- one RPC; each returns True where the host was handed a decision

    def _route(self, rpc: Rpc, host: RouterHost) -> bool:
        now, attempts = self.now, len(rpc.attempts)
        max_attempts = self.retries.max_attempts
        if (
            rpc.rejected
            or rpc.unservable
            or attempts >= max_attempts
            or rpc.deadline - now <= self.retries.margin_ms
        ):
            return self.reject(rpc, host)
        if self.table.origin_kind >= 0 and (
            rpc.write
            or rpc.missed
            or rpc.hedgeable_count
            or 0 < attempts == max_attempts - 1  # the last attempt
        ):
            return self._send_or_enqueue(rpc, self.table.origin, host)
        backend = rpc.bucket.assigned
        if (
            attempts
            or rpc.overflowed
            or backend is None
            or not backend.available
            or not self.concurrency.has_capacity(backend, now)
        ):
            backend = self.failover.select(rpc, now)
            if rpc.rejected:
                return self.reject(rpc, host)
        return self._send_or_enqueue(rpc, backend, host)

    def _send_or_enqueue(self, rpc: Rpc, backend: Backend | None, host: RouterHost) -> bool:
        if (
            backend is None
            or backend.state != EndpointState.READY
            or (rpc.over_quota and self._is_full(backend))
            or not self.retries.may_attempt(rpc, backend, self.now)
        ):
            return self.reject(rpc, host)
        if (
            not backend.fresh_queue
            and not backend.retry_queue
            and self.concurrency.has_capacity(backend, self.now)
        ):
            self._send(rpc, backend, host)
            return True
        self.queues.enqueue(rpc, backend, self.now)
        return False

    @staticmethod
    def _is_full(backend: Backend) -> bool:
        """Tell whether an RPC over quota would take the place of one within."""
        limit = backend.concurrency_limit
        return len(backend.in_flight) >= limit or limit < 1

    def _send(self, rpc: Rpc, backend: Backend, host: RouterHost) -> None:
        now = self.now
        start_by = self.retries.retry_deadline(rpc)  # before this attempt counts as one
        attempt = Attempt(rpc, backend, len(rpc.attempts), now)
        if self.idle_connections.may_be_dropped(backend, now):
            host.close_idle(backend.id)
        if rpc.suspect is not None:
            self.outliers.spend_second_opinion()
        rpc.in_flight += 1
        rpc.attempts.append(attempt)
        backend.in_flight[attempt] = None
        backend.send_count += 1
        backend.connected = True
        backend.last_send_at = now
        if now < backend.warmup_until:
            backend.warmup_tokens -= 1
        self.attempt_timers.start(attempt, now)
        host.send(rpc.id, backend.id, rpc.deadline - now, start_by - now)

    def reject(self, rpc: Rpc, host: RouterHost) -> bool:
        """Give an RPC its final answer, unless an attempt in flight may still do so."""
        if rpc.in_flight:
            rpc.rejected = False
            return False
        if self._counts_as_rejected(rpc):
            self.load_shedder.record_rejected()
        if rpc.unservable and rpc.token_bucket:
            rpc.token_bucket.tokens += 1  # a tenant does not pay for what no backend can serve
        if self.retries.may_be_repeated_by_client(rpc):
            host.reject(rpc.id, self.load_shedder.retry_after_ms(rpc.method))
        else:
            host.fail(rpc.id)
        self._close(rpc)
        return True

    def _counts_as_rejected(self, rpc: Rpc) -> bool:
        """Tell whether a rejection tells of an overloaded fleet.

        What one slow cache's queue gives up while others have spare capacity does not.
        """
        elsewhere = rpc.rejected and self.failover.count_spare(rpc) > 1
        if elsewhere or rpc.over_quota or rpc.missed or rpc.unservable:
            return False
        return rpc.rejected or (bool(rpc.attempts) and not rpc.attempts[-1].may_have_run)

    def _close(self, rpc: Rpc) -> None:
        rpc.closed = True
        rpc.queue_deadline = 0.0
        if not rpc.in_flight:
            self.rpcs.pop(rpc.id, None)
        self.work.cancellations.extend(attempt for attempt in rpc.attempts if not attempt.done)

    # ---- what inputs have in common

    def _bucket_of(self, key: str, method: Method) -> Bucket:
        """Return the bucket of a key; one without a key goes to any."""
        hashed = key.encode() or b"%d/%d" % (self._seed, self._draws.next_number())
        return self.placement.bucket(crc32(hashed) % BUCKETS, method.kinds, method.zones)

    def _open_attempt(self, id: str, number: int) -> Attempt | None:
        rpc = self.rpcs.get(id)
        if rpc is None or not 0 <= number < len(rpc.attempts) or rpc.attempts[number].done:
            return None
        return rpc.attempts[number]

    def _is_late(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Tell whether a cache's answer came after the objective, by the fleet's fault."""
        rpc = attempt.rpc
        if outcome > Outcome.MISS and outcome != Outcome.TIMEOUT:
            return False
        if rpc.over_quota or attempt.stream_started or attempt.backend is self.table.origin:
            return False
        if self.local_delay.covers(attempt):
            return False
        return self.now - self.local_delay.read_delay_ms >= rpc.objective

    def _judge(self, attempt: Attempt, outcome: Outcome, took: float) -> None:
        """Learn from how an attempt ended."""
        now, rpc, backend = self.now, attempt.rpc, attempt.backend
        if outcome <= Outcome.MISS:
            # A miss is no full work, nor is a write that the origin takes without carrying it out.
            full_work = outcome == Outcome.COMPLETED and not (
                rpc.write and backend is self.table.origin
            )
            self._record_response(attempt, took, full_work)
            self.outliers.confirm_suspect(rpc, backend, now)
        elif outcome == Outcome.OVERLOADED:
            self._record_overload(attempt)
        elif self.outliers.needs_second_opinion(backend, outcome, now):
            self.outliers.suspect(rpc, backend)
        elif outcome in (
            Outcome.ERROR,
            Outcome.RESET,
            Outcome.CONNECT_FAILED,
            Outcome.MALFORMED,
        ):
            self.outliers.record_broken_attempt(attempt, outcome, now)
        elif outcome == Outcome.TIMEOUT:
            self.outliers.record_timeout(attempt, now, self.local_delay)

    def _record_response(self, attempt: Attempt, took: float, full_work: bool) -> None:
        now, backend, soft_ms = self.now, attempt.backend, attempt.rpc.method.soft_ms
        self.outliers.record_response(backend, now)
        if self.local_delay.covers(attempt):
            took = min(took, backend.latency_ms)
            full_work = False
        if full_work:
            self.concurrency.record_latency(backend, took)
        self.slow_start.record_response(backend, took, soft_ms, now)
        self.concurrency.adapt(backend, took, soft_ms, full_work)

    def _record_overload(self, attempt: Attempt) -> None:
        """Take a backend's refusal; it counts as no send.

        What warm backends refuse, taken for what they can do, would push those that warm up over.
        """
        backend = attempt.backend
        backend.last_response_at = self.now
        backend.response_count += 1
        backend.send_count -= 1
        backend.latency_ms += (attempt.rpc.method.soft_ms - backend.latency_ms) * 0.1
        self.slow_start.record_overload(backend)
