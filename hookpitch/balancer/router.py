"""The router: accepts inputs, and hands one decision per call to its host.

State: the open RPCs, and the times of the next rate update, rebalancing round and wake-up; all
other state belongs to the module that maintains it. Inputs update state and append to
`PendingWork`; the host calls `decide` until it returns False. Times are milliseconds (float) of the
host's clock. Each router is one instance, which shares nothing with any other.
"""

from __future__ import annotations

import heapq
from zlib import crc32

from hookpitch.balancer.attempt_outcomes import AttemptOutcomes
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
from hookpitch.balancer.queueing import BackendQueues, drop_stale_entries
from hookpitch.balancer.quotas import Quotas
from hookpitch.balancer.rebalancing import ROUND_INTERVAL_MS, Rebalancer
from hookpitch.balancer.retries import RetryPolicy
from hookpitch.balancer.ring import HashRing
from hookpitch.balancer.rpc import Attempt, Rpc
from hookpitch.balancer.slow_start import SlowStart

DEFAULT_RATE_WINDOW_MS = 1000.0
DEFAULT_TICK_MS = 1.0


class Router:
    """Decides which backend each RPC is sent to, or how the RPC is answered without one."""

    def __init__(self, now: float, deployment: Deployment) -> None:
        self.now = now
        self.methods: dict[str, Method] = {}
        self.rpcs: dict[str, Rpc] = {}
        self._seed = deployment.seed
        self._draws = draws = DrawSequence(deployment.seed)
        self.work = work = PendingWork(draws)
        self.table = table = BackendTable()
        self.backends = table.backends
        self._create_components(now, draws, work, table)
        self._wakeup_at = FOREVER
        self._rates_updated_at = now
        self._rate_window_ms = DEFAULT_RATE_WINDOW_MS
        self._tick_ms = DEFAULT_TICK_MS
        self.reconfigured(now, deployment)
        self.next_rate_update = now + self._rate_window_ms
        self.next_rebalance = now + ROUND_INTERVAL_MS * (1 + draws.fraction())

    def _create_components(
        self, now: float, draws: DrawSequence, work: PendingWork, table: BackendTable
    ) -> None:
        """Create the objects that hold one concern each; each knows only those created before."""
        self.ring = ring = HashRing()
        self.method_load = method_load = MethodLoad()
        self.placement = placement = Placement(self._seed, table, ring, method_load)
        self.quotas = Quotas()
        self.load_shedder = shedder = LoadShedder(draws, self.quotas)
        self.local_delay = local_delay = LocalDelay()
        self.idle_connections = IdleConnections()
        self.slow_start = slow_start = SlowStart(draws, table, ring)
        self.concurrency = concurrency = ConcurrencyLimits(draws, table, slow_start)
        self.retries = retries = RetryPolicy(work, placement)
        self.outliers = outliers = OutlierDetector(
            table, ring, work, concurrency, slow_start, retries, self.idle_connections
        )
        self.endpoints = EndpointList(
            table, ring, placement, outliers, slow_start, concurrency, retries
        )
        self.failover = Failover(placement, concurrency, slow_start, retries)
        self.queues = BackendQueues(table, work, concurrency, retries)
        self.attempt_timers = AttemptTimers(
            table, work, concurrency, retries, outliers, shedder, local_delay
        )
        self.outcomes = AttemptOutcomes(table, outliers, concurrency, slow_start, local_delay)
        self.rebalancer = Rebalancer(now, table, placement, method_load)

    @property
    def origin(self) -> Backend | None:
        """The origin, or None if it is not listed or caches fetch from it themselves."""
        return self.table.origin

    @property
    def caches(self) -> list[Backend]:
        """The caches on the ring, whether they are ready or not."""
        return self.ring.caches

    @property
    def bans(self) -> dict[str, None]:
        """The ids that an operator has banned, in the order of the bans."""
        return self.endpoints.banned

    # ---- inputs: they update state and decide nothing

    def reconfigured(self, now: float, deployment: Deployment) -> None:
        """Apply new settings; RPCs in flight keep their deadlines, and learned values stay."""
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
        """Apply an update of the endpoint list."""
        self.now = now
        self.endpoints.update(kind, endpoints, now)

    def set_banned(self, now: float, id: str, banned: bool) -> None:
        """Ban a backend for an operator, or lift the ban; a ban outlives endpoint updates."""
        self.now = now
        self.endpoints.set_banned(id, banned, now)

    def set_process_count(self, now: float, processes: float) -> None:
        """Divide the node's quotas and budgets by the number of its processes."""
        self.now = now
        previous_share = self.quotas.process_share
        share = 1 / processes
        self.concurrency.scale_origin(share / previous_share)
        self.slow_start.process_share = share
        self.quotas.set_process_share(now, share)

    def rpc_arrived(
        self,
        now: float,
        id: str,
        key: str,
        method_name: str,
        tenant: str,
        write: bool,
        client_timeout_ms: float,
        age_ms: float = 0.0,
        work_ms: float = 0.0,
    ) -> None:
        """Accept an RPC.

        `client_timeout_ms` is how long the client waits for the answer, `age_ms` how long the RPC
        waited before this node read it, and `work_ms` the work that the RPC states (0: none).
        """
        self.now = now
        if id in self.rpcs:
            return
        method_settings = self.methods.get(method_name) or Method(
            method_name, client_timeout_ms, client_timeout_ms, 0.0, 0.0, Idempotency.NON_IDEMPOTENT
        )
        bucket = self._bucket_of(key, method_settings)
        if key:
            self.rebalancer.keys.record(key, bucket)
        self.method_load.record(method_name, work_ms)
        self.placement.track_hot_bucket(bucket)
        bucket.request_count += 1
        rpc = Rpc(self._draws.next_number(), id, bucket, method_settings, write)
        useful_ms = (
            client_timeout_ms
            if method_settings.late_gain > 0
            else min(client_timeout_ms, method_settings.soft_ms)
        )
        margin_ms = self.retries.margin_ms
        rpc.deadline = now + useful_ms - age_ms - margin_ms
        rpc.objective = now + method_settings.soft_ms - age_ms - margin_ms
        has_quota = self.quotas.charge(rpc, tenant, now)
        self.load_shedder.admit(rpc, has_quota)
        self.rpcs[id] = rpc
        self.work.rpcs.append(rpc)

    def attempt_ended(
        self,
        now: float,
        id: str,
        attempt_number: int,
        outcome: Outcome,
        is_last: bool,
        latency_ms: float,
        report: Report,
    ) -> None:
        """Record how an attempt of an RPC ended; `is_last`: the RPC ends with this attempt."""
        self.now = now
        attempt = self._open_attempt(id, attempt_number)
        if attempt is None:
            return
        rpc = attempt.rpc
        backend = attempt.backend
        attempt.finish(outcome)
        if self.outcomes.is_late(attempt, outcome, now):
            self.load_shedder.record_rejected()
        if report and self.endpoints.nominal_sizes is None:
            backend.record_report(report)
        self.outcomes.record(attempt, outcome, latency_ms, now)
        self.concurrency.pause(backend, rpc.method, outcome, latency_ms, now)
        if backend.fresh_queue or backend.retry_queue:
            self.work.freed_backends.append(backend)
        if outcome == Outcome.MISS:
            rpc.missed = True
        elif outcome == Outcome.NO_MEMORY:
            rpc.rejected = True  # the same answer would not fit a moment later either
        if is_last or rpc.closed:
            self._close(rpc)
        else:
            self.work.rpcs.append(rpc)

    def stream_started(self, now: float, id: str, attempt_number: int) -> None:
        """Record the first bytes of an answer, and cancel the other attempts of the RPC."""
        self.now = now
        attempt = self._open_attempt(id, attempt_number)
        if attempt is None:
            return
        attempt.start_stream()
        self.work.cancellations.extend(
            other for other in attempt.rpc.attempts if not other.done and other is not attempt
        )
        self.outcomes.record_response(attempt, now - attempt.sent_at, False, now)

    def client_disconnected(self, now: float, id: str) -> None:
        """Close an RPC whose client has disconnected."""
        self.now = now
        rpc = self.rpcs.get(id)
        if rpc is not None and not rpc.closed:
            self._close(rpc)

    def timer_fired(self, now: float) -> None:
        """Record that the wake-up requested by `schedule_wakeup` is due."""
        self.now = now

    def overload_measured(self, now: float, overload: float, read_delay_ms: float = 0.0) -> None:
        """Record the fraction of arrivals above this node's capacity, and the read delay."""
        self.now = now
        self.local_delay.read_delay_ms = read_delay_ms
        self.load_shedder.overload_measured(overload)

    def event_loop_stalled(self, now: float) -> None:
        """Record a stall of this process; attempts in flight then count against no backend."""
        self.now = now
        self.local_delay.stalled_at = now

    def repeat_deadline(self, id: str) -> float:
        """Return the time by which the host has to end all attempts of an RPC."""
        rpc = self.rpcs.get(id)
        return FOREVER if rpc is None else self.retries.repeat_deadline(rpc)

    def shed_delay(self, now: float, method_name: str, tenant: str, age_ms: float) -> float:
        """Return the ms after which a client may retry an RPC; below 0 if the RPC is admitted."""
        self.now = now
        return self.load_shedder.shed_delay(now, method_name, tenant, age_ms)

    # ---- decisions, one per call

    def decide(self, now: float, host: RouterHost) -> bool:
        """Hand at most one decision to the host; return False if none is left."""
        self.now = now
        work = self.work
        self._run_due()
        if work.cancellations and self._cancel_one(host):
            return True
        if work.idle_to_close:
            host.close_idle(work.idle_to_close.popleft().id)
            return True
        if work.rpcs and self._route_one(host):
            return True
        if work.freed_backends and self._dequeue_one(host):
            return True
        if work.health_changes:
            self._report_health_change(host)
            return True
        return self._schedule_wakeup(host)

    def _report_health_change(self, host: RouterHost) -> None:
        change = self.work.health_changes.popleft()
        if change.ejected:
            host.backend_ejected(change.backend_id, change.failures)
        else:
            host.backend_recovered(change.backend_id)

    def _cancel_one(self, host: RouterHost) -> bool:
        cancellations = self.work.cancellations
        while cancellations:
            attempt = cancellations.popleft()
            if not attempt.done and self.retries.cancellation_enabled:
                host.cancel(attempt.rpc.id, attempt.number)
                return True
        return False

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
        freed_backends = self.work.freed_backends
        while freed_backends:
            backend = freed_backends[0]
            if self.concurrency.has_capacity(backend, self.now):
                rpc = self.queues.pop(backend, self.now)
                if rpc is not None:
                    self._send(rpc, backend, host)
                    return True
            freed_backends.popleft()
        return False

    def _schedule_wakeup(self, host: RouterHost) -> bool:
        timers = self.work.timers
        due_at = min(
            timers[0].at_ms if timers else FOREVER, self.next_rate_update, self.next_rebalance
        )
        due_at = max(due_at, self.now + self._tick_ms / 2)
        # A new wake-up is requested when the pending one is due: a wake-up that came late, or was
        # rounded to just before its time, must not leave an RPC without an answer.
        is_earlier = due_at < self._wakeup_at - self._tick_ms / 4
        if not is_earlier and self._wakeup_at > self.now + self._tick_ms / 4:
            return False
        self._wakeup_at = due_at
        host.schedule_wakeup(due_at)
        return True

    # ---- timers and periodic updates

    def _run_due(self) -> None:
        now = self.now
        timers = self.work.timers
        while timers and timers[0].at_ms <= now:
            timer = heapq.heappop(timers)
            if timer.attempt is None:
                self.queues.timer_fired(timer.rpc, now)
            else:
                self.attempt_timers.timer_fired(timer.attempt, now)
        if now >= self.next_rate_update:
            self._update_rates()
        if now >= self.next_rebalance:
            self.next_rebalance = now + ROUND_INTERVAL_MS
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
            drop_stale_entries(backend)
            if self.idle_connections.is_idle(backend, now):
                backend.connected = False
                self.work.idle_to_close.append(backend)
            backend.update_availability(now)
        self.slow_start.update_warm_rate(arrivals, span_ms)

    # ---- routing: `_route`, `_send_or_enqueue` and `reject` return True if they handed the host a
    # decision

    def _route(self, rpc: Rpc, host: RouterHost) -> bool:
        if self._must_be_rejected(rpc):
            return self.reject(rpc, host)
        if self.table.origin_kind >= 0 and self._needs_origin(rpc):
            return self._send_or_enqueue(rpc, self.table.origin, host)
        backend = rpc.bucket.assigned
        if (
            rpc.attempts
            or rpc.queue_timed_out
            or backend is None
            or not backend.available
            or not self.concurrency.has_capacity(backend, self.now)
        ):
            backend = self.failover.select(rpc, self.now)
            if rpc.rejected:
                return self.reject(rpc, host)
        return self._send_or_enqueue(rpc, backend, host)

    def _must_be_rejected(self, rpc: Rpc) -> bool:
        """Return whether no further attempt may be made."""
        return (
            rpc.rejected
            or rpc.unservable
            or len(rpc.attempts) >= self.retries.max_attempts
            or rpc.deadline - self.now <= self.retries.margin_ms
        )

    def _needs_origin(self, rpc: Rpc) -> bool:
        """Return whether the RPC goes to the origin: a write, miss, hedge or last attempt."""
        if rpc.write or rpc.missed or rpc.hedgeable_count:
            return True
        return 0 < len(rpc.attempts) == self.retries.max_attempts - 1

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
        """Return whether an RPC over quota would displace one within quota."""
        limit = backend.concurrency_limit
        return len(backend.in_flight) >= limit or limit < 1

    def _send(self, rpc: Rpc, backend: Backend, host: RouterHost) -> None:
        now = self.now
        start_deadline = self.retries.retry_deadline(rpc)  # computed before this attempt is added
        attempt = Attempt(rpc, backend, len(rpc.attempts), now)
        if self.idle_connections.may_be_stale(backend, now):
            host.close_idle(backend.id)
        if rpc.suspect is not None:
            self.outliers.spend_confirmation_token()
        rpc.in_flight += 1
        rpc.attempts.append(attempt)
        backend.in_flight[attempt] = None
        backend.send_count += 1
        backend.connected = True
        backend.last_send_at = now
        if now < backend.warmup_until:
            backend.warmup_tokens -= 1
        self.attempt_timers.start(attempt, now)
        host.send(rpc.id, backend.id, rpc.deadline - now, start_deadline - now)

    def reject(self, rpc: Rpc, host: RouterHost) -> bool:
        """Give an RPC its final answer, unless an attempt in flight may still answer it."""
        if rpc.in_flight:
            rpc.rejected = False
            return False
        if self._indicates_overload(rpc):
            self.load_shedder.record_rejected()
        if rpc.unservable and rpc.token_bucket:
            # Tenants are not charged for RPCs that no backend can serve.
            rpc.token_bucket.tokens += 1
        if self.retries.may_be_repeated_by_client(rpc):
            host.reject(rpc.id, self.load_shedder.retry_after_ms(rpc.method))
        else:
            host.fail(rpc.id)
        self._close(rpc)
        return True

    def _indicates_overload(self, rpc: Rpc) -> bool:
        """Return whether rejecting an RPC indicates that the fleet is overloaded.

        A rejection from the queue of a slow cache does not, while other caches have spare capacity.
        """
        others_have_capacity = rpc.rejected and self.failover.count_with_spare_capacity(rpc) > 1
        if others_have_capacity or rpc.over_quota or rpc.missed or rpc.unservable:
            return False
        return rpc.rejected or (bool(rpc.attempts) and not rpc.attempts[-1].may_have_run)

    def _close(self, rpc: Rpc) -> None:
        rpc.closed = True
        rpc.queue_deadline = 0.0
        if not rpc.in_flight:
            self.rpcs.pop(rpc.id, None)
        self.work.cancellations.extend(attempt for attempt in rpc.attempts if not attempt.done)

    # ---- helpers of the inputs

    def _bucket_of(self, key: str, method: Method) -> Bucket:
        """Return the bucket of a key, or a random bucket for an RPC without a key."""
        hash_input = key.encode() or b"%d/%d" % (self._seed, self._draws.next_number())
        return self.placement.bucket(crc32(hash_input) % BUCKETS, method.kinds, method.zones)

    def _open_attempt(self, id: str, number: int) -> Attempt | None:
        rpc = self.rpcs.get(id)
        if rpc is None or not 0 <= number < len(rpc.attempts) or rpc.attempts[number].done:
            return None
        return rpc.attempts[number]
