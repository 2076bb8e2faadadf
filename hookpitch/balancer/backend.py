"""What is known of one cache server or of the origin, and the table of all of them.

State: `Backend` holds plain values; the module that maintains a value is named beside it. Times
are milliseconds of the host's clock, `NEVER` where nothing has happened yet. `available` is kept
in step by `update_availability`: the ordinary path looks at nothing else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hookpitch.balancer.interface import EndpointState, Report

if TYPE_CHECKING:
    from hookpitch.balancer.rpc import Attempt, Rpc

FOREVER = float("inf")
NEVER = -FOREVER
INITIAL_CONCURRENCY_LIMIT = 2.0  # attempts in flight at a backend that is new or has recovered
REPORT_SMOOTHING_DIVISOR = 8  # a load report moves the known load by one part in so many


class QueueEntry(NamedTuple):
    """An RPC in a backend's queue; the smallest goes first."""

    over_quota: bool
    negated_gain: float
    number: int  # of arrival; no two are alike, so RPCs are never compared
    rpc: Rpc


class Backend:
    """One cache server, or the origin."""

    __slots__ = (
        "available",
        "baseline_latency_ms",
        "cell",
        "concurrency_limit",
        "connected",
        "consecutive_failures",
        "cpu_load",
        "ejected",
        "ejected_until",
        "ejection_ms",
        "fresh_queue",
        "id",
        "in_flight",
        "kind",
        "last_failure_at",
        "last_response_at",
        "last_send_at",
        "latency_ms",
        "limit_growth",
        "listed_state",
        "memory_load",
        "min_concurrency_limit",
        "paused_until",
        "recovered_at",
        "removal_advised",
        "reported_load",
        "response_count",
        "retry_queue",
        "ring_points",
        "send_count",
        "send_rate",
        "size",
        "started_at",
        "state",
        "unconstrained_fraction",
        "warmup_gain",
        "warmup_refilled_at",
        "warmup_tokens",
        "warmup_until",
        "zone",
    )

    def __init__(self, id: str) -> None:
        # As listed (endpoints.py). `state` also follows bans and advisory removals.
        self.id = id
        self.zone = ""
        self.cell = 0
        self.size = 1.0
        self.kind = 0
        self.started_at = NEVER
        self.listed_state = EndpointState.REMOVED
        self.removal_advised = False  # listed as removed, which binds nothing: it is still tried
        self.state = EndpointState.REMOVED
        self.available = False  # ready, not ejected and warm
        # Traffic (router.py).
        self.in_flight: dict[Attempt, None] = {}  # oldest first
        self.connected = False  # at least one connection is taken to be open
        self.last_send_at = NEVER
        self.send_count = 0  # since the rates were updated
        self.send_rate = 0.0  # sends a second
        self.reported_load = -1.0  # by the backend itself; -1 where it reports none
        self.response_count = 0  # since a bucket moved from or to it
        # Queues (queueing.py).
        self.fresh_queue: list[QueueEntry] = []
        self.retry_queue: list[QueueEntry] = []
        # Adaptive concurrency (concurrency.py).
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.min_concurrency_limit = 1.0
        self.limit_growth = 1.0
        self.latency_ms = 0.0  # mean of answers
        self.baseline_latency_ms = 0.0  # the least that the mean has been
        self.paused_until = NEVER  # keeps a limit under one
        # Outlier detection (health.py).
        self.consecutive_failures = 0
        self.last_failure_at = NEVER
        self.last_response_at = NEVER
        self.ejected = False
        self.ejected_until = 0.0
        self.ejection_ms = 0.0
        self.recovered_at = NEVER
        # Slow start (slow_start.py).
        self.warmup_until = NEVER
        self.warmup_tokens = 0.0
        self.warmup_refilled_at = 0.0
        self.warmup_gain = 1.0  # times the router's own gain
        # Rebalancing and the ring (rebalancing.py, ring.py, placement.py).
        self.cpu_load = 0.0
        self.memory_load = 0.0
        self.ring_points = 0
        self.unconstrained_fraction = 1.0  # of its points, open to buckets without constraints

    def update_availability(self, now: float) -> None:
        """Bring `available` in step with the state, ejection and warm-up."""
        self.available = (
            self.state == EndpointState.READY and not self.ejected and now >= self.warmup_until
        )

    def cap_concurrency(self) -> None:
        """Take the limit down to that of a backend that is new."""
        self.concurrency_limit = min(self.concurrency_limit, INITIAL_CONCURRENCY_LIMIT)

    def record_report(self, report: Report) -> None:
        """Fold in a load report: its use, else what is in flight, else what is queued."""
        load = report.get("utilisation", report.get("inflight", report.get("queue", -2.0) + 1))
        if self.reported_load >= 0:
            self.reported_load += (load - self.reported_load) / REPORT_SMOOTHING_DIVISOR
        else:
            self.reported_load += load + 1

    def update_send_rate(self, span_ms: float) -> None:
        """Fold the sends of the last span into the rate."""
        self.send_rate = self.send_rate / 2 + self.send_count * 500 / span_ms
        self.send_count = 0


class BackendTable:
    """All backends by id, in the order in which they were first listed.

    `backends` is one dict for the router's life; it is changed in place. `origin` is one of them,
    or None before it is listed and where caches fetch for themselves.
    """

    __slots__ = ("backends", "kind_names", "origin", "origin_kind")

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.origin: Backend | None = None
        self.origin_kind = -1
        self.kind_names: tuple[str, ...] = ()

    def kind_name(self, kind: int) -> str:
        """Return the name of a kind number, empty where it is unknown."""
        return self.kind_names[kind] if 0 <= kind < len(self.kind_names) else ""
