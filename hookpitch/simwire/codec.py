"""The simulator's line protocol, without I/O: parses the values of a line, and formats times.

A line is the name of a message and its values, separated by spaces; `-` represents an absent value,
and times are decimal seconds. The message classes below hold times in milliseconds and the types of
`balancer.interface`.
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
# Bits of the options of a REQUEST.
STATES_WORK_BIT = 1
IS_WRITE_BIT = 4
REPORT_SEPARATOR = ":"


class WireError(ValueError):
    """Raised for a line that cannot be parsed; the message says why."""


# ---- messages


class RpcArrived(NamedTuple):
    """The message REQUEST: an RPC has arrived."""

    rpc_id: str
    key: str  # empty if absent
    method: str
    tenant: str  # empty if absent
    write: bool
    timeout_ms: float  # how long the client waits
    work_ms: float  # the service time that the RPC states; 0 if it states none


class AttemptEnded(NamedTuple):
    """The message SETTLED: an attempt has ended."""

    rpc_id: str
    attempt: int
    outcome: Outcome
    ends_rpc: bool  # whether the RPC ended with this attempt
    latency_ms: float
    report: Report


class StreamStarted(NamedTuple):
    """The message ACCEPTED: the reply to an attempt has started."""

    rpc_id: str
    attempt: int


# ---- parsing


def split_values(values_text: str, count: int) -> list[str]:
    """Split the values of a line, of which the last may contain spaces.

    Raises WireError if a value is missing.
    """
    values = values_text.split(" ", count - 1)
    if len(values) != count:
        raise WireError(f"expected {count} values, got {len(values)}")
    return values


def parse_request(values: list[str]) -> RpcArrived:
    """Parse the nine values of a REQUEST."""
    _, rpc_id, key, options, timeout, _, tenant, work, method = values
    option_bits = int(options) if options != ABSENT else 0
    return RpcArrived(
        rpc_id=rpc_id,
        key="" if key == ABSENT else key,
        method=method,
        tenant="" if tenant == ABSENT else tenant,
        work_ms=parse_ms(work) if option_bits & STATES_WORK_BIT else 0.0,
        write=bool(option_bits & IS_WRITE_BIT),
        timeout_ms=parse_ms(timeout),
    )


def parse_settled(values: list[str]) -> AttemptEnded:
    """Parse the nine values of a SETTLED."""
    _, rpc_id, latency, _, code, ends_rpc, _, attempt, load = values
    return AttemptEnded(
        rpc_id=rpc_id,
        attempt=int(attempt),
        outcome=parse_outcome(code),
        ends_rpc=parse_flag(ends_rpc),
        latency_ms=parse_ms(latency),
        report=parse_load_report(load, REPORT_SEPARATOR),
    )


def parse_accepted(values: list[str]) -> StreamStarted:
    """Parse the five values of an ACCEPTED."""
    _, rpc_id, _, _, attempt = values
    return StreamStarted(rpc_id, int(attempt))


def parse_endpoint(line: str, kind_names: tuple[str, ...]) -> Endpoint:
    """Parse an ENTRY line; the kind is a number or one of `kind_names`."""
    values = line.split(" ")
    if len(values) != 8 or values[0] != "ENTRY":
        raise WireError(f"expected ENTRY and 7 values, got {values[0]!r} and {len(values) - 1}")
    _, zone, cell, started, backend_id, state_number, kind, size = values
    return Endpoint(
        id=backend_id,
        zone=zone,
        cell=0 if cell == ABSENT else int(cell),
        started_ms=parse_ms(started),
        state=EndpointState(int(state_number)),
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
    """Parse seconds into milliseconds; an absent value is 0."""
    if text == ABSENT:
        return 0.0
    value = float(text) * 1000
    if not isfinite(value):
        raise WireError(f"time {text!r} is not a finite number of seconds")
    return value


def parse_flag(text: str) -> bool:
    """Parse a flag; an absent value is False."""
    if text not in ("0", "1", ABSENT):
        raise WireError(f"flag {text!r} is none of 0, 1 and {ABSENT}")
    return text == "1"


def parse_outcome(text: str) -> Outcome:
    """Parse the number of an outcome."""
    if text not in OUTCOMES:
        raise WireError(f"outcome {text!r} is none of {', '.join(OUTCOMES)}")
    return OUTCOMES[text]


# ---- formatting


def format_seconds(value_ms: float) -> str:
    """Format milliseconds as seconds with six decimals."""
    return f"{value_ms / 1000:.6f}"
