"""Impairments of one direction of a link, and how overlapping ones combine.

They are the same in both clocks: in virtual time (`simulation.py`) and in real time (`relay.py`).

A direction is a pair of names: source and destination. Each fault sets and removes its own
`Impairment` of a direction, so that the end of one fault does not undo another that overlaps it.

Sources: RFC 9293 (lost segments are retransmitted), RFC 768 (lost datagrams are not), RFC 6298 (the
retransmission timeout).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

UNLIMITED = float("inf")
# A lost segment is retransmitted after this timeout (the minimum of Linux), which doubles with each
# retransmission.
RETRANSMIT_MS = 200.0
MAX_RETRANSMITS = 9


class Impairment(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of one direction. Times are in ms, probabilities from 0 to 1.

    Relays receive it as JSON under these field names.
    """

    delay_ms: float = 0.0  # in addition to the link's own delay
    jitter_ms: float = 0.0  # maximum, in addition to the delay
    loss: float = 0.0  # probability that a packet is lost; TCP retransmits it
    repeat: float = 0.0  # probability that a datagram is duplicated
    reorder: float = 0.0  # probability that a datagram is overtaken by later ones
    bandwidth: float = UNLIMITED  # bytes per second
    silent: bool = False  # nothing is delivered, and connections stay open
    # Whether data that a silent direction blocks is delivered afterwards; if not, it is lost for
    # good, and its connection is broken when the silence ends.
    kept: bool = True
    refusing: bool = False  # connection attempts are refused
    deaf: bool = False  # connection attempts get no answer


CLEAN = Impairment()


def combine(impairments: Iterable[Impairment]) -> Impairment:
    """Combine several impairments of one direction into one with the same effect."""
    delay_ms = 0.0
    jitter_ms = 0.0
    delivery_probability = 1.0
    single_probability = 1.0
    in_order_probability = 1.0
    bandwidth = UNLIMITED
    silent = False
    kept = True
    refusing = False
    deaf = False
    for impairment in impairments:
        delay_ms += impairment.delay_ms
        jitter_ms += impairment.jitter_ms
        delivery_probability *= 1 - impairment.loss
        single_probability *= 1 - impairment.repeat
        in_order_probability *= 1 - impairment.reorder
        bandwidth = min(bandwidth, impairment.bandwidth)
        silent = silent or impairment.silent
        kept = kept and (impairment.kept or not impairment.silent)
        refusing = refusing or impairment.refusing
        deaf = deaf or impairment.deaf
    return Impairment(
        delay_ms=delay_ms,
        jitter_ms=jitter_ms,
        loss=1 - delivery_probability,
        repeat=1 - single_probability,
        reorder=1 - in_order_probability,
        bandwidth=bandwidth,
        silent=silent,
        kept=kept,
        refusing=refusing,
        deaf=deaf,
    )


class ImpairmentRegistry:
    """The impairments of all directions, by the owner that has set each of them."""

    def __init__(self) -> None:
        self._by_direction: dict[tuple[str, str], dict[object, Impairment]] = {}

    def put(self, direction: tuple[str, str], owner: object, impairment: Impairment) -> Impairment:
        """Set the owner's impairment of a direction and return the direction's combined state."""
        by_owner = self._by_direction.setdefault(direction, {})
        by_owner[owner] = impairment
        return combine(by_owner.values())

    def remove(self, direction: tuple[str, str], owner: object) -> Impairment:
        """Remove the owner's impairment of a direction and return the combined state."""
        by_owner = self._by_direction.get(direction, {})
        by_owner.pop(owner, None)
        return combine(by_owner.values())
