"""Reads settings and load reports, by the names they have outside, into the types of the interface.

The names here and the texts of errors are part of the contract with operators and backends. Spans
are in seconds outside and in milliseconds inside.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from math import isfinite
from typing import Any

from hookpitch.balancer.errors import LoadReportError, SettingsError
from hookpitch.balancer.interface import Deployment, Idempotency, Method, Report, Tenant

IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
REPORT_FIELDS = {
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
EMPTY_REPORT: Report = {}
MAX_REPORTED = 1e7  # no backend reports more: an hour has fewer milliseconds
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_CONNECTION_IDLE_MS = 15000.0
DEFAULT_AVAILABILITY_NINES = 3.0

Table = Mapping[str, Any]  # a JSON object: each value's type is checked where it is read


def parse_load_report(text: str, separator: str) -> Report:
    """Read a load report: pairs set apart by commas, a name from its value by the separator.

    Raises LoadReportError, or ValueError for a value that is no number.
    """
    if text == "-" or not text:
        return EMPTY_REPORT
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, found, value = pair.partition(separator)
        if not found:
            raise LoadReportError(f"'{pair}' is no name{separator}value pair")
        if name not in REPORT_FIELDS:
            continue
        number = float(value)
        if not 0 <= number <= MAX_REPORTED:  # a NaN is not in the range either
            raise LoadReportError(f"'{pair}' is no figure that a server can have")
        values[REPORT_FIELDS[name]] = number
    return values


def parse_deployment(seed: int, settings: object) -> Deployment:
    """Read a node's settings, parsed from their JSON.

    Raises SettingsError, or ValueError for a value that is no number; either names what is wrong.
    """
    if not isinstance(settings, dict):
        raise SettingsError("settings are no JSON object")
    try:
        return _deployment(seed, settings)
    except (TypeError, AttributeError, OverflowError) as fault:
        raise SettingsError(f"a setting of a wrong type: {fault}") from None


def _deployment(seed: int, settings: Table) -> Deployment:
    limits = settings.get("limits") or {}
    rules = settings.get("rules") or {}
    tariffs = settings.get("tariffs") or {}
    goal = settings.get("goal") or {}
    family = settings.get("family_info") or {}
    methods = tuple(_method(table) for table in _required(settings, "methods", ""))
    tenants = tuple(_tenant(table) for table in settings.get("customers") or [])
    return Deployment(
        seed=seed,
        nodes=int(settings.get("balancers") or 1),
        methods=methods,
        tenants=tenants,
        polling_required=settings.get("discovery", "pushed") == "on_request",
        origin_kind=int(family.get("origin_kind", -1)) if family.get("mode") == "aside" else -1,
        tick_ms=_milliseconds(settings, "tick_s", 1.0),
        max_attempts=int(limits.get("most_transmissions") or 1),
        hedging_allowed=bool(limits.get("second_copies", False)),
        cancellation_enabled=bool(limits.get("cancelling", False)),
        max_retry_after_ms=(
            _milliseconds(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0
        ),
        poll_interval_ms=_milliseconds(rules, "ask_within_s"),
        slow_start_fraction=_number(rules, "cold_from"),
        slow_start_ms=_milliseconds(rules, "cold_s"),
        overload_factor=_number(rules, "overload_factor") or 1.0,
        overload_window_ms=_milliseconds(rules, "tip_after_s"),
        connection_hold_cost=_number(tariffs, "connection"),
        connection_open_cost=_number(tariffs, "handshake"),
        over_quota_gain_factor=_number(settings, "overage_gain"),
        weights_reflect_load=_choice(settings, "weights", WEIGHTS, "nominal") == "live",
        kinds=tuple(str(kind) for kind in settings.get("host_types") or []),
        connect_timeout_ms=_milliseconds(limits, "dial_timeout_s") or DEFAULT_CONNECT_TIMEOUT_MS,
        connection_idle_timeout_ms=(
            _milliseconds(limits, "conn_idle_s") or DEFAULT_CONNECTION_IDLE_MS
        ),
        removal_is_advisory=bool(rules.get("gone_is_advice", False)),
        availability_bonus_per_nine=_number(goal, "log_loss_part"),
        availability_bonus_nines=_number(goal, "nines_wanted") or DEFAULT_AVAILABILITY_NINES,
    )


def _method(table: Table) -> Method:
    _required(table, "hard_deadline_s", "methods[].")
    hard_ms = _milliseconds(table, "hard_deadline_s")
    return Method(
        name=str(_required(table, "name", "methods[].")),
        soft_ms=_milliseconds(table, "soft_deadline_s", hard_ms) or hard_ms,
        hard_ms=hard_ms,
        gain=_number(table, "gain") if "gain" in table else 1.0,
        late_gain=_number(table, "overdue_gain"),
        idempotency=IDEMPOTENCY[_choice(table, "idempotency", IDEMPOTENCY, "fragile")],
        dedup_scope=_choice(table, "group", DEDUP_SCOPES, "all"),
        dedup_window_ms=_milliseconds(table, "window_s"),
        streamed=bool(table.get("streamed", False)),
        kinds=_names(table, "allowed_on"),
        zones=_names(table, "runs_in"),
    )


def _tenant(table: Table) -> Tenant:
    return Tenant(
        name=str(_required(table, "name", "customers[].")),
        quota_per_s=_number(table, "quota_per_s"),
    )


# ---- one field each; `name` is its name outside


def _required(table: object, name: str, where: str) -> Any:  # noqa: ANN401  JSON of any type
    if not isinstance(table, dict) or name not in table:
        raise SettingsError(f"setting {where}{name} is missing")
    return table[name]


def _number(table: Table, name: str) -> float:
    value = float(table.get(name) or 0.0)
    if not (isfinite(value) and value >= 0):
        raise SettingsError(f"setting {name} is no figure from 0 up: {value}")
    return value


def _milliseconds(table: Table, name: str, default_ms: float = 0.0) -> float:
    return default_ms if table.get(name) is None else _number(table, name) * 1000


def _choice(table: Table, name: str, known: Collection[str], default: str) -> str:
    value = table.get(name, default)
    if value not in known:
        raise SettingsError(f"setting {name} has an unknown value '{value}'")
    return str(value)


def _names(table: Table, name: str) -> tuple[str, ...]:
    # Strict: a constraint that is read as none at all lets an RPC go anywhere.
    value = table.get(name) or []
    if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
        raise SettingsError(f"setting {name} is no list of names: {value!r}")
    return tuple(value)
