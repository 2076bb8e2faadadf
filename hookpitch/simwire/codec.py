"""The bench's lines, without I/O: values of a line into messages, decisions into lines.

A line is a word and values set apart by blanks; `-` stands for no value, times are decimal seconds.
Messages have milliseconds and the types of the decisions' interface.
"""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple

from hookpitch.balancer.deployment import parse_load_report
from hookpitch.balancer.interface import Endpoint, EndpointState, Outcome, Report

OUTCOMES = {
    "0": Outcome.COMPLETED,
    "1": Outcome.MISS,
    "249": Outcome.OBSOLETE,
    "250": Outcome.CANCELLED,
    "251": Outcome.RESET,
    "252": Outcome.CONNECT_FAILED,
    "253": Outcome.TIMEOUT,
    "254": Outcome.OVERLOADED,
    "255": Outcome.ERROR,
}
ABSENT = "-"
UNKNOWN_KIND = -2
REQUEST_STATES_WORK = 1  # a bit of a REQUEST's options
REQUEST_IS_WRITE = 4
REPORT_SEPARATOR = ":"


class WireError(ValueError):
    """A line that cannot be read."""


# ---- messages


class Request(NamedTuple):
    """REQUEST: an RPC arrived."""

    rpc_id: str
    key: str  # empty: none
    method: str
    tenant: str  # empty: none
    write: bool
    patience_ms: float  # how long its client waits
    work_ms: float  # that it states; 0: none


class Settled(NamedTuple):
    """SETTLED: an attempt ended."""

    rpc_id: str
    attempt: int
    outcome: Outcome
    last: bool  # the RPC ended with it
    took_ms: float
    report: Report


class StreamStarted(NamedTuple):
    """ACCEPTED: an attempt's answer began."""

    rpc_id: str
    attempt: int


# ---- reading


def split_values(rest: str, count: int) -> list[str]:
    """Split the values of a line; the last may hold blanks. Raises WireError if some lack."""
    values = rest.split(" ", count - 1)
    if len(values) != count:
        raise WireError(f"{count} values were due, {len(values)} came")
    return values


def parse_request(values: list[str]) -> Request:
    """Read the nine values of a REQUEST."""
    _, rpc_id, key, options, patience, _, tenant, work, method = values
    bits = int(options) if options != ABSENT else 0
    return Request(
        rpc_id=rpc_id,
        key="" if key == ABSENT else key,
        method=method,
        tenant="" if tenant == ABSENT else tenant,
        work_ms=parse_ms(work) if bits & REQUEST_STATES_WORK else 0.0,
        write=bool(bits & REQUEST_IS_WRITE),
        patience_ms=parse_ms(patience),
    )


def parse_settled(values: list[str]) -> Settled:
    """Read the nine values of a SETTLED."""
    _, rpc_id, took, _, code, last, _, attempt, load = values
    return Settled(
        rpc_id=rpc_id,
        attempt=int(attempt),
        outcome=parse_outcome(code),
        last=parse_flag(last),
        took_ms=parse_ms(took),
        report=parse_load_report(load, REPORT_SEPARATOR),
    )


def parse_accepted(values: list[str]) -> StreamStarted:
    """Read the five values of an ACCEPTED."""
    _, rpc_id, _, _, attempt = values
    return StreamStarted(rpc_id, int(attempt))


def parse_endpoint(line: str, kind_names: tuple[str, ...]) -> Endpoint:
    """Read an ENTRY line; a kind is a number or one of the names."""
    values = line.split(" ")
    if len(values) != 8 or values[0] != "ENTRY":
        raise WireError("an ENTRY line with seven values was due")
    _, zone, cell, started, server, condition, kind, size = values
    return Endpoint(
        id=server,
        zone=zone,
        cell=0 if cell == ABSENT else int(cell),
        started_ms=parse_ms(started),
        state=EndpointState(int(condition)),
        kind=_parse_kind(kind, kind_names),
        size=1.0 if size == ABSENT else float(size),
    )


def _parse_kind(text: str, kind_names: tuple[str, ...]) -> int:
    if text.isdigit():
        return int(text)
    if text == ABSENT or text not in kind_names:
        return UNKNOWN_KIND
    return kind_names.index(text)


def parse_ms(text: str) -> float:
    """Read seconds as milliseconds; no value is 0."""
    if text == ABSENT:
        return 0.0
    value = float(text) * 1000
    if not isfinite(value):
        raise WireError(f"'{text}' is no time")
    return value


def parse_flag(text: str) -> bool:
    """Read a flag; no value is False."""
    if text not in ("0", "1", ABSENT):
        raise WireError(f"'{text}' is no bool")
    return text == "1"


def parse_outcome(text: str) -> Outcome:
    """Read an outcome's number."""
    if text not in OUTCOMES:
        raise WireError(f"'{text}' is no outcome")
    return OUTCOMES[text]


# ---- writing


def format_seconds(value_ms: float) -> str:
    """Write milliseconds as seconds."""
    return f"{value_ms / 1000:.6f}"
