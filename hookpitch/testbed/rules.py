"""Defines the rules of a deployment and the record of a violation. Times are in milliseconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hookpitch.fakes.history import Event

TOLERANCE_MS = 50.0
REUSE_WITHIN_MS = 5000.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Holds the limits and permissions of a deployment."""

    drain_grace_ms: float = 3000.0
    # After this time, a node counts as informed of a change in discovery, whether or not discovery
    # notified the node.
    notified_within_ms: float = 6000.0
    # Within this time, a node uses a server again that an operator restored.
    reuse_within_ms: float = REUSE_WITHIN_MS
    # Whether a node has a descriptor for every client that follows the protocol.
    has_descriptors_for_all_clients: bool = True
    most_transmissions: int = 3
    hedging_allowed: bool = False
    # By method: whether an RPC may be executed more than once; true for a method without an entry.
    retriable: Mapping[str, bool] = field(default_factory=dict)
    # By method: the types and the zones of servers that RPCs may be sent to; empty: any.
    placement: Mapping[str, tuple[Sequence[str], Sequence[str]]] = field(default_factory=dict)
    # The loopback network does not report when a node closes a connection. Two transmissions may
    # therefore seem to be in flight at once for up to `overlap_ms`, and a connection that ends
    # within `crossing_ms` after an RPC was sent counts as closed before the node read the RPC.
    overlap_ms: float = 0.0
    crossing_ms: float = 0.0
    tolerance_ms: float = TOLERANCE_MS  # added to each time limit


@dataclass(frozen=True, slots=True)
class Violation:
    """Holds a broken rule; its text is the rule, the reason and all events of the RPC."""

    rule: str
    at: float
    rpc: str
    reason: str
    events: tuple[Event, ...] = ()

    def __str__(self) -> str:
        rpc = f", RPC {self.rpc}" if self.rpc else ""
        headline = f"{self.rule} at {self.at:.1f} ms{rpc}: {self.reason}"
        lines = [
            (
                f"    {event.at:10.3f}  {event.kind:9} {event.who:10} {event.what} {event.value:g}"
            ).rstrip()
            for event in self.events
        ]
        return "\n".join([headline, *lines])
