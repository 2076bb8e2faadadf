"""What nodes that are members said of one another, from their logs: who was called dead, when, by
whom.

A log line tells a change of what one member holds of another: `n4 dead by n3, incarnation 7`.
Restarts, kills
and leaving are taken from the history, which the lab wrote. Times are in ms.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hookpitch.fakes.history import Event

PREFIX = "members: "
STATES = ("alive", "suspected", "dead", "left")
FIGURES = ("called_dead", "found_s", "agreed_s", "views_wrong", "turns")


class Said(NamedTuple):
    at: float
    who: str  # says so
    of: str
    state: str


def said(logs: Iterable[tuple[float, str, str]]) -> list[Said]:
    """All changes of state that members told, in the order of time."""
    found = []
    for at, who, text in logs:
        words = text.removeprefix(PREFIX).split()
        if text.startswith(PREFIX) and len(words) > 1 and words[1].rstrip(",") in STATES:
            found.append(Said(at, who, words[0], words[1].rstrip(",")))
    return sorted(found)


def up(events: Sequence[Event], at: float) -> set[str]:
    """Nodes that run at that time and have not been told to leave."""
    found: set[str] = set()
    for e in events:
        if e.at > at:
            break
        if e.kind == "start":
            found.add(e.who)
        elif e.kind in ("stop", "leaving"):
            found.discard(e.who)
    return found


def figure(
    name: str, changes: Sequence[Said], events: Sequence[Event], since: float, until: float
) -> float:
    """One figure over a span in ms.

    `called_dead`: members that some other called dead. `found_s`: from the first kill in the span
    until each
    that was killed then was suspected or called dead by somebody; `agreed_s`: until all others
    called them
    dead (the span's length where that never came). `views_wrong`: pairs of running members of
    which, at the
    span's end, the one does not hold the other for alive. `turns`: the most changes that one told
    of another.
    """
    some = [c for c in changes if since <= c.at < until]
    if name == "called_dead":
        return float(len({c.of for c in some if c.state == "dead"}))
    if name in ("found_s", "agreed_s"):
        killed = {e.who: e.at for e in events if e.kind == "stop" and since <= e.at < until}
        if not killed:
            return 0.0
        first = min(killed.values())
        worst = 0.0
        for of, at in killed.items():
            here = (
                up(events, at + 1) - killed.keys()
            )  # on processes one dies some ms after the other
            late = []
            bad = ("dead",) if name == "agreed_s" else ("suspected", "dead")
            for who in here:
                mine = [c for c in some if (c.who, c.of) == (who, of) and c.at >= at]
                late.append(min((c.at for c in mine if c.state in bad), default=until))
            worst = max(worst, (max if name == "agreed_s" else min)(late, default=until))
        return (worst - first) / 1000
    if name == "views_wrong":
        here = up(events, until)
        restarted = {e.who: e.at for e in events if e.kind == "start" and e.at < until}
        wrong = 0
        for who in here:
            for of in here - {who}:
                told = [
                    c
                    for c in changes
                    if (c.who, c.of) == (who, of) and restarted[who] <= c.at < until
                ]
                wrong += not told or told[-1].state != "alive"
        return float(wrong)
    if name == "turns":
        counts: dict[tuple[str, str], int] = {}
        for c in some:
            counts[c.who, c.of] = counts.get((c.who, c.of), 0) + 1
        return float(max(counts.values(), default=0))
    raise ValueError(name)
