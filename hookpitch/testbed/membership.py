"""What member nodes reported of one another in their logs: who was declared dead, when, by whom.

A log line reports a change of the state in which one member holds another: `n4 dead by n3,
incarnation 7`. Restarts, kills and leaving come from the history, which the testbed wrote. Times
are in ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from hookpitch.fakes.history import Event

PREFIX = "members: "
STATES = ("alive", "suspected", "dead", "left")
# On processes, those of one kill die some ms after one another.
KILLED_TOGETHER_MS = 1


class StateChange(NamedTuple):
    """One member's new state, as another member reported it."""

    at: float
    reporter: str
    member: str
    state: str


class Span(NamedTuple):
    """What was reported, and what happened, in a run; a figure is over `since` to `until`."""

    changes: Sequence[StateChange]
    events: Sequence[Event]
    since: float
    until: float

    def changes_within(self) -> list[StateChange]:
        """The changes that were reported in the span."""
        return [change for change in self.changes if self.since <= change.at < self.until]


def state_changes(logs: Iterable[tuple[float, str, str]]) -> list[StateChange]:
    """All changes of state that members reported, in the order of time."""
    found = []
    for at, reporter, text in logs:
        words = text.removeprefix(PREFIX).split()
        if text.startswith(PREFIX) and len(words) > 1 and words[1].rstrip(",") in STATES:
            found.append(StateChange(at, reporter, words[0], words[1].rstrip(",")))
    return sorted(found)


def running_nodes(events: Sequence[Event], at: float) -> set[str]:
    """Nodes that run at that time and have not been asked to leave."""
    found: set[str] = set()
    for event in events:
        if event.at > at:
            break
        if event.kind == "start":
            found.add(event.who)
        elif event.kind in ("stop", "leaving"):
            found.discard(event.who)
    return found


def figure(
    name: str,
    changes: Sequence[StateChange],
    events: Sequence[Event],
    since: float,
    until: float,
) -> float:
    """One figure over a span in ms; ValueError where there is none of that name."""
    compute = _FIGURES.get(name)
    if compute is None:
        raise ValueError(name)
    return compute(Span(changes, events, since, until))


def _declared_dead(span: Span) -> float:
    """Members that some other declared dead."""
    return float(len({c.member for c in span.changes_within() if c.state == "dead"}))


def _seconds_to_suspicion(span: Span) -> float:
    """From the first kill until each that was killed was suspected or declared dead by one."""
    return _seconds_from_kill(span, ("suspected", "dead"), min)


def _seconds_to_agreement(span: Span) -> float:
    """From the first kill until each that was killed was declared dead by all others; to the
    span's end where that never came."""
    return _seconds_from_kill(span, ("dead",), max)


def _seconds_from_kill(span: Span, states: tuple[str, ...], choose: Callable[..., float]) -> float:
    changes = span.changes_within()
    killed = {
        e.who: e.at for e in span.events if e.kind == "stop" and span.since <= e.at < span.until
    }
    if not killed:
        return 0.0
    worst = 0.0
    for member, killed_at in killed.items():
        reporters = running_nodes(span.events, killed_at + KILLED_TOGETHER_MS) - killed.keys()
        first_reports = [
            min(
                (
                    c.at
                    for c in changes
                    if (c.reporter, c.member) == (reporter, member)
                    and c.at >= killed_at
                    and c.state in states
                ),
                default=span.until,
            )
            for reporter in reporters
        ]
        worst = max(worst, choose(first_reports, default=span.until))
    return (worst - min(killed.values())) / 1000


def _wrong_views(span: Span) -> float:
    """Pairs of running members of which, at the span's end, one does not hold the other alive."""
    members = running_nodes(span.events, span.until)
    started = {e.who: e.at for e in span.events if e.kind == "start" and e.at < span.until}
    wrong = 0
    for reporter in members:
        for member in members - {reporter}:
            reports = [
                c
                for c in span.changes
                if (c.reporter, c.member) == (reporter, member)
                and started[reporter] <= c.at < span.until
            ]
            if not reports or reports[-1].state != "alive":
                wrong += 1
    return float(wrong)


def _most_changes(span: Span) -> float:
    """The most changes that one member reported of another."""
    counts = Counter((c.reporter, c.member) for c in span.changes_within())
    return float(max(counts.values(), default=0))


_FIGURES: dict[str, Callable[[Span], float]] = {
    "called_dead": _declared_dead,
    "found_s": _seconds_to_suspicion,
    "agreed_s": _seconds_to_agreement,
    "views_wrong": _wrong_views,
    "turns": _most_changes,
}
FIGURES = tuple(_FIGURES)
