"""What stands on the wire, turned into the types of the interface."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from hookpitch.balancer.interface import Customer, Deployment, Entry, Idempotency, Method, Outcome
from hookpitch.balancer.interface import Report, State

OUTCOMES = {
    "0": Outcome.COMPLETED, "1": Outcome.MISS, "249": Outcome.MOOT, "250": Outcome.CANCELLED,
    "251": Outcome.RESET, "252": Outcome.CONNECT_FAILED, "253": Outcome.TIMEOUT, "254": Outcome.FULL,
    "255": Outcome.ERROR,
}  # fmt: skip
IDEMPOTENCY = {
    "retryable": Idempotency.RETRIABLE,
    "dedup": Idempotency.DEDUPED,
    "fragile": Idempotency.NON_RETRIABLE,
}
FIELDS = {
    "utilization": "utilisation", "outstanding": "inflight", "backlog": "queue", "recent_ms": "recent_ms",
    "throughput": "rate", "errors_per_s": "errors_per_s", "x0": "x0", "x1": "x1",
}  # fmt: skip
NO_REPORT: Report = {}


class WireError(ValueError):
    """A line that cannot be read."""


def ms(text: str) -> float:
    """Seconds as they stand on the wire, in milliseconds; '-' is 0."""
    if text == "-":
        return 0.0
    value = float(text) * 1000
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"'{text}' is no time")
    return value


def seconds(value: float) -> str:
    return f"{value / 1000:.6f}"


def flag(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise WireError(f"'{text}' is no bool")
    return text == "1"


def outcome(text: str) -> Outcome:
    if text not in OUTCOMES:
        raise WireError(f"'{text}' is no outcome")
    return OUTCOMES[text]


def report(text: str) -> Report:
    if text == "-" or not text:
        return NO_REPORT
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"'{pair}' is no name:value pair")
        if name in FIELDS:
            values[FIELDS[name]] = float(value)
    return values


def entry(parts: list[str]) -> Entry:
    if len(parts) != 8 or parts[0] != "ENTRY":
        raise WireError("an ENTRY line with seven values was due")
    _, zone, cell, started, server, condition, kind, size = parts
    return Entry(
        id=server,
        zone=zone,
        cell=0 if cell == "-" else int(cell),
        started_ms=ms(started),
        state=State(int(condition)),
        kind=-2 if kind == "-" else int(kind) if kind.isdigit() else kind,  # type: ignore[arg-type]
        size=1.0 if size == "-" else float(size),
    )


def deployment(seed: str, text: str) -> tuple[Deployment, list[str]]:
    """The settings of HELLO, and the names of machine kinds, which entries use."""
    try:
        top = json.loads(text)
    except ValueError as fault:
        raise WireError(f"settings are no JSON: {fault}") from None
    if not isinstance(top, dict):
        raise WireError("settings are no JSON object")

    def need(table: Mapping[str, Any], name: str, where: str) -> Any:  # noqa: ANN401
        if not isinstance(table, dict) or name not in table:
            raise WireError(f"setting {where}{name} is missing")
        return table[name]

    def span(table: Mapping[str, Any], name: str, default: float = 0.0) -> float:
        value = table.get(name)
        return default if value is None else float(value) * 1000

    limits, rules, tariffs = (top.get(name) or {} for name in ("limits", "rules", "tariffs"))
    family = top.get("family_info") or {}
    methods = []
    for m in need(top, "methods", ""):
        word = m.get("idempotency", "fragile")
        if word not in IDEMPOTENCY:
            raise WireError(f"setting methods[].idempotency has an unknown value '{word}'")
        hard = float(need(m, "hard_deadline_s", "methods[].")) * 1000
        methods.append(
            Method(
                name=str(need(m, "name", "methods[].")),
                soft_ms=span(m, "soft_deadline_s", hard) or hard,
                hard_ms=hard,
                gain=float(m.get("gain", 1.0)),
                late_gain=float(m.get("overdue_gain") or 0.0),
                idempotency=IDEMPOTENCY[word],
                group=str(m.get("group", "all")),
                window_ms=span(m, "window_s"),
                streamed=bool(m.get("streamed", False)),
            )
        )
    customers = tuple(
        Customer(str(need(c, "name", "customers[].")), float(c.get("quota_per_s") or 0.0))
        for c in top.get("customers") or []
    )
    kinds = [str(k) for k in top.get("host_types") or []]
    return Deployment(
        seed=int(seed),
        nodes=int(top.get("balancers") or 1),
        methods=tuple(methods),
        customers=customers,
        must_ask=top.get("discovery", "pushed") == "on_request",
        origin_kind=int(family.get("origin_kind", -1)) if family.get("mode") == "aside" else -1,
        tick_ms=span(top, "tick_s", 1.0),
        max_transmissions=int(limits.get("most_transmissions") or 1),
        second_copies=bool(limits.get("second_copies", False)),
        cancelling=bool(limits.get("cancelling", False)),
        max_retry_after_ms=span(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0,
        ask_within_ms=span(rules, "ask_within_s"),
        cold_share=float(rules.get("cold_from") or 0.0),
        cold_ms=span(rules, "cold_s"),
        overload_factor=float(rules.get("overload_factor") or 1.0),
        tip_after_ms=span(rules, "tip_after_s"),
        hold_cost=float(tariffs.get("connection") or 0.0),
        dial_cost=float(tariffs.get("handshake") or 0.0),
        overage_gain=float(top.get("overage_gain") or 0.0),
    ), kinds
