"""Computes figures of membership from what member nodes logged about one another.

A log line such as `n4 dead by n3, incarnation 7` reports that the node which logged the line
changed its view of the state of member `n4`. Starts, kills and graceful shutdowns of nodes come
from the history, which the testbed records. Times are in milliseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from hookpitch.fakes.history import Event

LOG_PREFIX = "members: "
STATES = ("alive", "suspected", "dead", "left")
# Real processes that are killed together end some milliseconds after one another.
KILLED_TOGETHER_MS = 1


class StateChange(NamedTuple):
    """Holds the new state of a member, as another member reported it."""

    at: float
    reporter: str
    member: str
    state: str


class Span(NamedTuple):
    """Holds what a figure is computed from: a run, and the span from `since` to `until`."""

    changes: Sequence[StateChange]
    events: Sequence[Event]
    since: float
    until: float

    def changes_within(self) -> list[StateChange]:
        """Return the changes that were reported in the span."""
        return [change for change in self.changes if self.since <= change.at < self.until]


def state_changes(logs: Iterable[tuple[float, str, str]]) -> list[StateChange]:
    """Return all changes of state that members reported, ordered by time."""
    changes = []
    for at, reporter, text in logs:
        words = text.removeprefix(LOG_PREFIX).split()
        if text.startswith(LOG_PREFIX) and len(words) > 1 and words[1].rstrip(",") in STATES:
            changes.append(StateChange(at, reporter, words[0], words[1].rstrip(",")))
    return sorted(changes)


def running_nodes(events: Sequence[Event], at: float) -> set[str]:
    """Return the nodes that run at a time and have not begun a graceful shutdown."""
    nodes: set[str] = set()
    for event in events:
        if event.at > at:
            break
        if event.kind == "start":
            nodes.add(event.who)
        elif event.kind in ("stop", "leaving"):
            nodes.discard(event.who)
    return nodes


def figure(
    name: str,
    changes: Sequence[StateChange],
    events: Sequence[Event],
    since: float,
    until: float,
) -> float:
    """Return a figure over a span; raise ValueError if there is no figure of that name."""
    compute = _FIGURES.get(name)
    if compute is None:
        raise ValueError(f"unknown figure of membership {name!r}")
    return compute(Span(changes, events, since, until))


def _declared_dead(span: Span) -> float:
    """Return how many members were declared dead by at least one other member."""
    return float(len({change.member for change in span.changes_within() if change.state == "dead"}))


def _seconds_to_suspicion(span: Span) -> float:
    """Return the time from the first kill until every killed member was noticed by some member.

    Noticed means suspected or declared dead.
    """
    return _seconds_from_kill(span, ("suspected", "dead"), min)


def _seconds_to_agreement(span: Span) -> float:
    """Return the time from the first kill until all members declared every killed member dead.

    If a member did not, the time up to the end of the span is returned.
    """
    return _seconds_from_kill(span, ("dead",), max)


def _seconds_from_kill(span: Span, states: tuple[str, ...], choose: Callable[..., float]) -> float:
    """Return the seconds from the first kill until every killed member was reported in a state.

    A report of any of `states` counts. `choose` is `min` if one member that still runs has to
    report a killed member, and `max` if all of them have to.
    """
    changes = span.changes_within()
    killed = {
        event.who: event.at
        for event in span.events
        if event.kind == "stop" and span.since <= event.at < span.until
    }
    if not killed:
        return 0.0
    latest = 0.0
    for member, killed_at in killed.items():
        reporters = running_nodes(span.events, killed_at + KILLED_TOGETHER_MS) - killed.keys()
        first_reports = [
            min(
                (
                    change.at
                    for change in changes
                    if (change.reporter, change.member) == (reporter, member)
                    and change.at >= killed_at
                    and change.state in states
                ),
                default=span.until,
            )
            for reporter in reporters
        ]
        latest = max(latest, choose(first_reports, default=span.until))
    return (latest - min(killed.values())) / 1000


def _wrong_views(span: Span) -> float:
    """Return in how many pairs of running members the first does not see the second as alive.

    The last report of the first member before the end of the span counts. Pairs are ordered.
    """
    members = running_nodes(span.events, span.until)
    started_at = {
        event.who: event.at
        for event in span.events
        if event.kind == "start" and event.at < span.until
    }
    wrong = 0
    for reporter in members:
        for member in members - {reporter}:
            reports = [
                change
                for change in span.changes
                if (change.reporter, change.member) == (reporter, member)
                and started_at[reporter] <= change.at < span.until
            ]
            if not reports or reports[-1].state != "alive":
                wrong += 1
    return float(wrong)


def _most_changes(span: Span) -> float:
    """Return the largest number of changes that one member reported of another."""
    counts = Counter((change.reporter, change.member) for change in span.changes_within())
    return float(max(counts.values(), default=0))


_FIGURES: dict[str, Callable[[Span], float]] = {
    "called_dead": _declared_dead,
    "found_s": _seconds_to_suspicion,
    "agreed_s": _seconds_to_agreement,
    "views_wrong": _wrong_views,
    "turns": _most_changes,
}
FIGURES = tuple(_FIGURES)
