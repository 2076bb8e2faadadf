"""What can be wrong with one direction of a link, the same in both clocks, and how several faults
add up.

A direction is a pair of names: from whom, to whom. Faults put a `Spoil` on it and take it off
again, each its
own, so that two that overlap neither undo nor outlast one another.

Sources: RFC 9293 (what is lost is sent again, late), RFC 768 (a datagram is not), RFC 6298 (how
late).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

FAR = float("inf")
AGAIN_MS = 200.0  # after so long TCP sends again what was lost: the least that Linux waits
AGAIN_MOST = 9  # times, each after twice as long as the one before


class Spoil(msgspec.Struct, frozen=True, omit_defaults=True):
    """One direction's state. Times in ms, parts from 0 to 1."""

    delay_ms: float = 0.0  # on top of the link's own
    jitter_ms: float = 0.0  # at the most, on top
    loss: float = 0.0  # datagrams are lost; of a stream, the part that comes `AGAIN_MS` late
    repeat: float = 0.0  # datagrams that come twice
    reorder: float = 0.0  # datagrams that later ones overtake
    bandwidth: float = FAR  # bytes a second
    silent: bool = False  # nothing gets through, and connections stay open
    # what a silence holds back comes when it ends; False: never, and its connection breaks
    kept: bool = True
    refusing: bool = False  # dials are refused
    deaf: bool = False  # a dial gets no answer


CLEAN = Spoil()


def together(spoils: Iterable[Spoil]) -> Spoil:
    """What several make of one direction."""
    delay = jitter = 0.0
    through, once, straight, width = 1.0, 1.0, 1.0, FAR
    silent = refusing = deaf = False
    kept = True
    for s in spoils:
        delay, jitter = delay + s.delay_ms, jitter + s.jitter_ms
        through, once, straight = (
            through * (1 - s.loss),
            once * (1 - s.repeat),
            straight * (1 - s.reorder),
        )
        width = min(width, s.bandwidth)
        silent, refusing, deaf = silent or s.silent, refusing or s.refusing, deaf or s.deaf
        kept = kept and (s.kept or not s.silent)
    return Spoil(
        delay, jitter, 1 - through, 1 - once, 1 - straight, width, silent, kept, refusing, deaf
    )


class Spoils:
    """What each fault has put on each direction."""

    def __init__(self) -> None:
        self._by: dict[tuple[str, str], dict[object, Spoil]] = {}

    def put(self, way: tuple[str, str], by: object, spoil: Spoil) -> Spoil:
        """`by` tells whose it is. What the direction is now like."""
        here = self._by.setdefault(way, {})
        here[by] = spoil
        return together(here.values())

    def lift(self, way: tuple[str, str], by: object) -> Spoil:
        here = self._by.get(way, {})
        here.pop(by, None)
        return together(here.values())
