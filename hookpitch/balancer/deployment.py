"""What a node is told at its start and in load reports, read into the types of the interface."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from math import isfinite
from typing import Any

from hookpitch.balancer.interface import Deployment, Idempotency, Method, Report, Tenant

IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
FIELDS = {
    "utilization": "utilisation",
    "outstanding": "inflight",
    "backlog": "queue",
    "recent_ms": "recent_ms",
    "throughput": "rate",
    "errors_per_s": "errors_per_s",
    "x0": "x0",
    "x1": "x1",
}
WEIGHTS = ("silent", "nominal", "rough", "live")  # what the sizes in a list tell
DEDUP_SCOPES = ("all", "zone", "cell")
NO_REPORT: Report = {}
FIGURE_MOST = 1e7  # nothing that a server reports is larger: an hour has fewer milliseconds


def report(text: str, mark: str) -> Report:
    """A load report: names and values set apart by commas, a name from its value by the mark."""
    if text == "-" or not text:
        return NO_REPORT
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, between, value = pair.partition(mark)
        if not between:
            raise ValueError(f"'{pair}' is no name{mark}value pair")
        if name in FIELDS:
            values[FIELDS[name]] = figure = float(value)
            if not 0 <= figure <= FIGURE_MOST:  # nor is 'nan' a figure
                raise ValueError(f"'{pair}' is no figure that a server can have")
    return values


def deployment(seed: int, top: object) -> Deployment:
    """The settings as a node is given them, parsed from their JSON. ValueError names what is
    wrong."""
    try:
        return _deployment(seed, top)
    except (TypeError, AttributeError, OverflowError) as fault:
        raise ValueError(f"a setting of a wrong type: {fault}") from None


def _deployment(seed: int, top: object) -> Deployment:
    if not isinstance(top, dict):
        raise ValueError("settings are no JSON object")

    def need(table: Mapping[str, Any], name: str, where: str) -> Any:  # noqa: ANN401
        if not isinstance(table, dict) or name not in table:
            raise ValueError(f"setting {where}{name} is missing")
        return table[name]

    def figure(table: Mapping[str, Any], name: str) -> float:
        value = float(table.get(name) or 0.0)
        if not (isfinite(value) and value >= 0):
            raise ValueError(f"setting {name} is no figure from 0 up: {value}")
        return value

    def span(table: Mapping[str, Any], name: str, default: float = 0.0) -> float:
        return default if table.get(name) is None else figure(table, name) * 1000

    def word(table: Mapping[str, Any], name: str, known: Collection[str], default: str) -> str:
        value = table.get(name, default)
        if value not in known:
            raise ValueError(f"setting {name} has an unknown value '{value}'")
        return str(value)

    def names(table: Mapping[str, Any], name: str) -> tuple[str, ...]:
        value = table.get(name) or []
        # Danger: a placement read as none at all lets an RPC go anywhere.
        if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
            raise ValueError(f"setting {name} is no list of names: {value!r}")
        return tuple(value)

    limits, rules, tariffs, goal = (
        top.get(name) or {} for name in ("limits", "rules", "tariffs", "goal")
    )
    family = top.get("family_info") or {}
    methods = []
    for m in need(top, "methods", ""):
        need(m, "hard_deadline_s", "methods[].")
        hard = span(m, "hard_deadline_s")
        methods.append(
            Method(
                name=str(need(m, "name", "methods[].")),
                soft_ms=span(m, "soft_deadline_s", hard) or hard,
                hard_ms=hard,
                gain=figure(m, "gain") if "gain" in m else 1.0,
                late_gain=figure(m, "overdue_gain"),
                idempotency=IDEMPOTENCY[word(m, "idempotency", IDEMPOTENCY, "fragile")],
                dedup_scope=word(m, "group", DEDUP_SCOPES, "all"),
                dedup_window_ms=span(m, "window_s"),
                streamed=bool(m.get("streamed", False)),
                kinds=names(m, "allowed_on"),
                zones=names(m, "runs_in"),
            )
        )
    tenants = tuple(
        Tenant(str(need(c, "name", "customers[].")), figure(c, "quota_per_s"))
        for c in top.get("customers") or []
    )
    return Deployment(
        seed=seed,
        nodes=int(top.get("balancers") or 1),
        methods=tuple(methods),
        tenants=tenants,
        polling_required=top.get("discovery", "pushed") == "on_request",
        origin_kind=int(family.get("origin_kind", -1)) if family.get("mode") == "aside" else -1,
        tick_ms=span(top, "tick_s", 1.0),
        max_attempts=int(limits.get("most_transmissions") or 1),
        hedging_allowed=bool(limits.get("second_copies", False)),
        cancellation_enabled=bool(limits.get("cancelling", False)),
        max_retry_after_ms=span(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0,
        poll_interval_ms=span(rules, "ask_within_s"),
        slow_start_fraction=figure(rules, "cold_from"),
        slow_start_ms=span(rules, "cold_s"),
        overload_factor=figure(rules, "overload_factor") or 1.0,
        overload_window_ms=span(rules, "tip_after_s"),
        connection_hold_cost=figure(tariffs, "connection"),
        connection_open_cost=figure(tariffs, "handshake"),
        over_quota_gain_factor=figure(top, "overage_gain"),
        weights_reflect_load=word(top, "weights", WEIGHTS, "nominal") == "live",
        kinds=tuple(str(k) for k in top.get("host_types") or []),
        connect_timeout_ms=span(limits, "dial_timeout_s") or 250.0,
        connection_idle_timeout_ms=span(limits, "conn_idle_s") or 15000.0,
        removal_is_advisory=bool(rules.get("gone_is_advice", False)),
        availability_bonus_per_nine=figure(goal, "log_loss_part"),
        availability_bonus_nines=figure(goal, "nines_wanted") or 3.0,
    )
