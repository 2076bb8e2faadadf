"""The state of every backend (cache server or origin), and the table of all backends.

State: `Backend` holds plain values; a comment above each group of values names the module that
maintains them. Times are milliseconds of the host's clock; `NEVER` stands for an event that has not
happened yet. `update_availability` keeps `available` current, so that the hot path has to check
this field alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hookpitch.balancer.interface import EndpointState, Report

if TYPE_CHECKING:
    from hookpitch.balancer.rpc import Attempt, Rpc

FOREVER = float("inf")
NEVER = -FOREVER
INITIAL_CONCURRENCY_LIMIT = 2.0  # attempts in flight at a new or recovered backend
REPORT_SMOOTHING_DIVISOR = 8  # a load report moves the smoothed load by 1/8 of the difference


class QueueEntry(NamedTuple):
    """An RPC in a backend's queue; the smallest entry is sent first."""

    over_quota: bool
    negated_gain: float
    number: int  # arrival number; unique, so that RPCs are never compared
    rpc: Rpc


class Backend:
    """The state of one cache server or of the origin."""

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
        # Listed values (endpoints.py). Bans and advisory removals also affect `state`.
        self.id = id
        self.zone = ""
        self.cell = 0
        self.size = 1.0
        self.kind = 0
        self.started_at = NEVER
        self.listed_state = EndpointState.REMOVED
        self.removal_advised = False  # listed as removed, but removal is advisory: still tried
        self.state = EndpointState.REMOVED
        self.available = False  # ready, not ejected and not warming up
        # Traffic (router.py).
        self.in_flight: dict[Attempt, None] = {}  # oldest first
        self.connected = False  # at least one connection is assumed to be open
        self.last_send_at = NEVER
        self.send_count = 0  # since the last rate update
        self.send_rate = 0.0  # sends per second
        self.reported_load = -1.0  # by the backend itself, smoothed; -1 if it reports none
        self.response_count = 0  # since a bucket was last moved from or to this backend
        # Queues (queueing.py).
        self.fresh_queue: list[QueueEntry] = []
        self.retry_queue: list[QueueEntry] = []
        # Adaptive concurrency (concurrency.py).
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.min_concurrency_limit = 1.0
        self.limit_growth = 1.0  # factor of the limit's growth; reduced by the first slow answer
        self.latency_ms = 0.0  # moving average over answers
        self.baseline_latency_ms = 0.0  # lowest value of the moving average, rising slowly
        self.paused_until = NEVER  # implements a limit below one
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
        self.warmup_gain = 1.0  # multiplied by the gain of the router
        # Rebalancing and the ring (rebalancing.py, ring.py, placement.py).
        self.cpu_load = 0.0
        self.memory_load = 0.0
        self.ring_points = 0
        # The part of its ring points that is open to buckets without constraints.
        self.unconstrained_fraction = 1.0

    def update_availability(self, now: float) -> None:
        """Recompute `available` from the state, the ejection and the warm-up."""
        self.available = (
            self.state == EndpointState.READY and not self.ejected and now >= self.warmup_until
        )

    def cap_concurrency(self) -> None:
        """Lower the limit to at most that of a new backend."""
        self.concurrency_limit = min(self.concurrency_limit, INITIAL_CONCURRENCY_LIMIT)

    def record_report(self, report: Report) -> None:
        """Update the smoothed load from a load report.

        The load is the reported utilisation, else the RPCs in flight, else the queue length plus
        one; without any of these it is -1, the value of an unknown load.
        """
        load = report.get("utilisation", report.get("inflight", report.get("queue", -2.0) + 1))
        if self.reported_load >= 0:
            self.reported_load += (load - self.reported_load) / REPORT_SMOOTHING_DIVISOR
        else:
            self.reported_load += load + 1

    def update_send_rate(self, span_ms: float) -> None:
        """Set the send rate to the mean of its value and the sends per second of the last span."""
        self.send_rate = self.send_rate / 2 + self.send_count * 500 / span_ms
        self.send_count = 0


class BackendTable:
    """All backends by id, in the order in which they were first listed.

    `backends` is the same dict for the router's lifetime, changed in place. `origin` is one of the
    backends, or None before the origin is listed and where caches fetch from the origin themselves.
    """

    __slots__ = ("backends", "kind_names", "origin", "origin_kind")

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.origin: Backend | None = None
        self.origin_kind = -1
        self.kind_names: tuple[str, ...] = ()

    def kind_name(self, kind: int) -> str:
        """Return the name of a machine kind, or an empty string if the number is unknown."""
        return self.kind_names[kind] if 0 <= kind < len(self.kind_names) else ""
