"""Holds the state that the checks of a history share: outages, partitions and violations.

A process is not blamed for what it did or missed during an outage or a partition. Both were
recorded by the testbed, not reported by nodes, and include the tolerance. Times are in
milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.fakes.history import Event, History
from hookpitch.testbed.rules import Rules, Violation


class Outage(NamedTuple):
    """A span of time in which a process was paused, or around the moment at which it ended."""

    process: str
    begin: float
    end: float


class Partition(NamedTuple):
    """A span of time in which the link between a node and its clients or discovery was broken."""

    peer: str  # `clients` or `discovery`
    node: str
    begin: float
    end: float


class Outages:
    """Holds the outages and partitions of a history, for queries by time."""

    def __init__(self, history: History, tolerance_ms: float) -> None:
        events = history.events
        self._outages = [
            Outage(event.who, event.at, event.at + event.value + tolerance_ms)
            for event in events
            if event.kind == "away"
        ]
        self._outages += [
            Outage(event.who, event.at - tolerance_ms, event.at + tolerance_ms)
            for event in events
            if event.kind == "stop"
        ]
        self._partitions = [
            Partition(event.what, event.who, event.at, event.at + event.value + tolerance_ms)
            for event in events
            if event.kind == "apart"
        ]

    def had_outage(self, process: str, since: float, until: float) -> bool:
        """Return whether a process was paused or ended at any time from `since` to `until`."""
        return any(
            outage.process == process and outage.begin <= until and outage.end >= since
            for outage in self._outages
        )

    def restored_at(self, peer: str, node: str, since: float, until: float) -> float:
        """Return the end of the last partition that overlaps a span of time.

        Returns `since` if no partition overlaps the span from `since` to `until`.
        """
        ends = (
            partition.end
            for partition in self._partitions
            if (partition.peer, partition.node) == (peer, node)
            and partition.begin <= until
            and partition.end >= since
        )
        return max(ends, default=since)


class CheckContext:
    """Holds a history, its events by RPC, its outages and the violations found so far."""

    def __init__(self, rules: Rules, history: History) -> None:
        self.rules = rules
        self.history = history
        self.violations: list[Violation] = []
        self.outages = Outages(history, rules.tolerance_ms)
        self.events_by_rpc: dict[str, list[Event]] = {}
        for event in history.events:
            if event.rpc:
                self.events_by_rpc.setdefault(event.rpc, []).append(event)

    def report_violation(self, rule: str, at: float, rpc: str, reason: str) -> None:
        """Record a violation, together with all events of its RPC."""
        events = tuple(self.events_by_rpc.get(rpc, ()))
        self.violations.append(Violation(rule, at, rpc, reason, events))
