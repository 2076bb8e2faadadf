"""What a deployment allows, and the record of one rule that a run violated. Times in ms."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hookpitch.fakes.history import Event

TOLERANCE_MS = 50.0
REUSE_WITHIN_MS = 5000.0


@dataclass(frozen=True, slots=True)
class Rules:
    """What the deployment allows."""

    drain_grace_ms: float = 3000.0
    # A change of discovery counts as known by then, whether or not the node was notified.
    notified_within_ms: float = 6000.0
    # A server that an operator restored is used again by then.
    reuse_within_ms: float = REUSE_WITHIN_MS
    has_descriptors_for_all_clients: bool = True  # nodes have descriptors for every honest client
    most_transmissions: int = 3
    hedging_allowed: bool = False
    # By method: whether it may run more than once. A method that is missing may.
    retriable: Mapping[str, bool] = field(default_factory=dict)
    # By method: the only kinds and the only zones that it may be sent to; an empty one: any.
    placement: Mapping[str, tuple[Sequence[str], Sequence[str]]] = field(default_factory=dict)
    # On loopback nothing reports what the network did. `overlap_ms`: for how long two
    # transmissions may seem to be in flight; `crossing_ms`: how soon after an RPC was sent its
    # connection's end counts as one that crossed it.
    overlap_ms: float = 0.0
    crossing_ms: float = 0.0
    tolerance_ms: float = TOLERANCE_MS  # on each time limit


@dataclass(frozen=True, slots=True)
class Violation:
    """One rule that was broken; its text is the rule, the reason and the RPC's whole history."""

    rule: str
    at: float
    rpc: str
    reason: str
    events: tuple[Event, ...] = ()

    def __str__(self) -> str:
        rpc = f", RPC {self.rpc}" if self.rpc else ""
        head = f"{self.rule} at {self.at:.1f} ms{rpc}: {self.reason}"
        lines = [
            f"    {e.at:10.3f}  {e.kind:9} {e.who:10} {e.what} {e.value:g}".rstrip()
            for e in self.events
        ]
        return "\n".join([head, *lines])
