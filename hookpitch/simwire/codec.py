"""What stands on the wire, turned into the types of the interface."""

from __future__ import annotations

from hookpitch.balancer.interface import Endpoint, EndpointState, Outcome

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


def entry(parts: list[str]) -> Endpoint:
    if len(parts) != 8 or parts[0] != "ENTRY":
        raise WireError("an ENTRY line with seven values was due")
    _, zone, cell, started, server, condition, kind, size = parts
    return Endpoint(
        id=server,
        zone=zone,
        cell=0 if cell == "-" else int(cell),
        started_ms=ms(started),
        state=EndpointState(int(condition)),
        kind=-2 if kind == "-" else int(kind) if kind.isdigit() else kind,  # type: ignore[arg-type]
        size=1.0 if size == "-" else float(size),
    )
