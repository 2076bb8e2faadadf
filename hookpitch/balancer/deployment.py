"""Parses settings and load reports, by their external names, into the types of the interface.

The external names and the texts of the errors are part of the contract with operators and backends.
Durations are in seconds outside and in milliseconds inside.
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
WEIGHTS = ("silent", "nominal", "rough", "live")  # what the sizes in an endpoint list mean
DEDUP_SCOPES = ("all", "zone", "cell")
EMPTY_REPORT: Report = {}
MAX_REPORTED_VALUE = 1e7  # no valid report exceeds this: an hour has fewer milliseconds
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_CONNECTION_IDLE_MS = 15000.0
DEFAULT_AVAILABILITY_NINES = 3.0

JsonObject = Mapping[str, Any]  # the type of each value is checked where the value is read


def parse_load_report(text: str, separator: str) -> Report:
    """Parse a load report of comma-separated pairs, each a name, the separator and a value.

    Raises LoadReportError, or ValueError for a value that is not a number.
    """
    if text == "-" or not text:
        return EMPTY_REPORT
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, has_separator, value = pair.partition(separator)
        if not has_separator:
            raise LoadReportError(f"'{pair}': expected name{separator}value")
        if name not in REPORT_FIELDS:
            continue
        number = float(value)
        if not 0 <= number <= MAX_REPORTED_VALUE:  # a NaN fails this check too
            raise LoadReportError(f"'{pair}': expected a value from 0 to {MAX_REPORTED_VALUE:g}")
        values[REPORT_FIELDS[name]] = number
    return values


def parse_deployment(seed: int, settings: object) -> Deployment:
    """Convert a node's settings, decoded from JSON.

    Raises SettingsError, or ValueError for a value that is not a number; either names the fault.
    """
    if not isinstance(settings, dict):
        raise SettingsError("settings are no JSON object")
    try:
        return _deployment(seed, settings)
    except (TypeError, AttributeError, OverflowError) as error:
        raise SettingsError(f"a setting of a wrong type: {error}") from None


def _deployment(seed: int, settings: JsonObject) -> Deployment:
    limits = settings.get("limits") or {}
    rules = settings.get("rules") or {}
    tariffs = settings.get("tariffs") or {}
    goal = settings.get("goal") or {}
    family = settings.get("family_info") or {}
    methods = tuple(_method(fields) for fields in _required(settings, "methods", ""))
    tenants = tuple(_tenant(fields) for fields in settings.get("customers") or [])
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


def _method(fields: JsonObject) -> Method:
    _required(fields, "hard_deadline_s", "methods[].")
    hard_ms = _milliseconds(fields, "hard_deadline_s")
    return Method(
        name=str(_required(fields, "name", "methods[].")),
        soft_ms=_milliseconds(fields, "soft_deadline_s", hard_ms) or hard_ms,
        hard_ms=hard_ms,
        gain=_number(fields, "gain") if "gain" in fields else 1.0,
        late_gain=_number(fields, "overdue_gain"),
        idempotency=IDEMPOTENCY[_choice(fields, "idempotency", IDEMPOTENCY, "fragile")],
        dedup_scope=_choice(fields, "group", DEDUP_SCOPES, "all"),
        dedup_window_ms=_milliseconds(fields, "window_s"),
        streamed=bool(fields.get("streamed", False)),
        kinds=_name_list(fields, "allowed_on"),
        zones=_name_list(fields, "runs_in"),
    )


def _tenant(fields: JsonObject) -> Tenant:
    return Tenant(
        name=str(_required(fields, "name", "customers[].")),
        quota_per_s=_number(fields, "quota_per_s"),
    )


# ---- readers of a single field; `name` is the external name


def _required(fields: object, name: str, prefix: str) -> Any:  # noqa: ANN401  JSON of any type
    if not isinstance(fields, dict) or name not in fields:
        raise SettingsError(f"setting {prefix}{name} is missing")
    return fields[name]


def _number(fields: JsonObject, name: str) -> float:
    value = float(fields.get(name) or 0.0)
    if not (isfinite(value) and value >= 0):
        raise SettingsError(f"setting {name} is no figure from 0 up: {value}")
    return value


def _milliseconds(fields: JsonObject, name: str, default_ms: float = 0.0) -> float:
    return default_ms if fields.get(name) is None else _number(fields, name) * 1000


def _choice(fields: JsonObject, name: str, choices: Collection[str], default: str) -> str:
    value = fields.get(name, default)
    if value not in choices:
        raise SettingsError(f"setting {name} has an unknown value '{value}'")
    return str(value)


def _name_list(fields: JsonObject, name: str) -> tuple[str, ...]:
    # Strict, because a malformed constraint read as empty would allow an RPC on every backend.
    value = fields.get(name) or []
    if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
        raise SettingsError(f"setting {name} is no list of names: {value!r}")
    return tuple(value)
