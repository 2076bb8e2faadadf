"""Impairments of one direction of a link, the same in both clocks, and how several add up.

A direction is a pair of names: from whom, to whom. Each fault puts its own `Impairment` on a
direction and takes it off, so that two that overlap neither undo nor outlast one another.

Sources: RFC 9293 (what is lost is sent again, late), RFC 768 (a datagram is not), RFC 6298 (how
late).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

UNLIMITED = float("inf")
# TCP sends again what was lost after so long (the least that Linux waits), each time after twice
# as long as the time before.
RETRANSMIT_MS = 200.0
MOST_RETRANSMITS = 9


class Impairment(msgspec.Struct, frozen=True, omit_defaults=True):
    """One direction's state. Times in ms, shares from 0 to 1."""

    delay_ms: float = 0.0  # on top of the link's own
    jitter_ms: float = 0.0  # at the most, on top
    loss: float = 0.0  # datagrams are lost; of a stream, the share that is sent again
    repeat: float = 0.0  # datagrams that come twice
    reorder: float = 0.0  # datagrams that later ones overtake
    bandwidth: float = UNLIMITED  # bytes a second
    silent: bool = False  # nothing gets through, and connections stay open
    # What a silence holds back comes when it ends; False: never, and its connection breaks.
    kept: bool = True
    refusing: bool = False  # dials are refused
    deaf: bool = False  # a dial gets no answer


CLEAN = Impairment()


def combine(impairments: Iterable[Impairment]) -> Impairment:
    """What several impairments make of one direction."""
    delay_ms = 0.0
    jitter_ms = 0.0
    not_lost = 1.0
    not_repeated = 1.0
    in_order = 1.0
    bandwidth = UNLIMITED
    silent = False
    kept = True
    refusing = False
    deaf = False
    for one in impairments:
        delay_ms += one.delay_ms
        jitter_ms += one.jitter_ms
        not_lost *= 1 - one.loss
        not_repeated *= 1 - one.repeat
        in_order *= 1 - one.reorder
        bandwidth = min(bandwidth, one.bandwidth)
        silent = silent or one.silent
        kept = kept and (one.kept or not one.silent)
        refusing = refusing or one.refusing
        deaf = deaf or one.deaf
    return Impairment(
        delay_ms=delay_ms,
        jitter_ms=jitter_ms,
        loss=1 - not_lost,
        repeat=1 - not_repeated,
        reorder=1 - in_order,
        bandwidth=bandwidth,
        silent=silent,
        kept=kept,
        refusing=refusing,
        deaf=deaf,
    )


class Impairments:
    """What each fault has put on each direction."""

    def __init__(self) -> None:
        self._by_direction: dict[tuple[str, str], dict[object, Impairment]] = {}

    def put(self, direction: tuple[str, str], owner: object, impairment: Impairment) -> Impairment:
        """Set the owner's impairment of a direction; what the direction is like now."""
        here = self._by_direction.setdefault(direction, {})
        here[owner] = impairment
        return combine(here.values())

    def remove(self, direction: tuple[str, str], owner: object) -> Impairment:
        """Take off the owner's impairment of a direction; what the direction is like now."""
        here = self._by_direction.get(direction, {})
        here.pop(owner, None)
        return combine(here.values())
