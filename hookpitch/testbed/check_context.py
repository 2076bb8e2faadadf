"""State that the checks of one history share: the outages that excuse a node, and the findings.

Times in ms. Nothing here is asked of a node; all of it was recorded by the testbed.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.fakes.history import Event, History
from hookpitch.testbed.rules import Rules, Violation


class Outage(NamedTuple):
    """A span in which a process was stopped or died."""

    process: str
    begin: float
    end: float


class Partition(NamedTuple):
    """A span in which a node's link to clients or discovery was impaired."""

    outside: str  # clients or discovery
    node: str
    begin: float
    end: float


class Outages:
    """The outages and partitions of a history."""

    def __init__(self, history: History, tolerance_ms: float) -> None:
        events = history.events
        self._outages = [
            Outage(e.who, e.at, e.at + e.value + tolerance_ms) for e in events if e.kind == "away"
        ]
        self._outages += [
            Outage(e.who, e.at - tolerance_ms, e.at + tolerance_ms)
            for e in events
            if e.kind == "stop"
        ]
        self._partitions = [
            Partition(e.what, e.who, e.at, e.at + e.value + tolerance_ms)
            for e in events
            if e.kind == "apart"
        ]

    def had_outage(self, process: str, since: float, until: float) -> bool:
        """Whether the process was stopped, or died, in that span."""
        return any(
            outage.process == process and outage.begin <= until and outage.end >= since
            for outage in self._outages
        )

    def restored_at(self, outside: str, node: str, since: float, until: float) -> float:
        """When the last partition that touches the span ends; `since` where there is none."""
        ends = (
            partition.end
            for partition in self._partitions
            if (partition.outside, partition.node) == (outside, node)
            and partition.begin <= until
            and partition.end >= since
        )
        return max(ends, default=since)


class CheckContext:
    """One history under judgement: its RPCs, its outages and the violations found so far."""

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
        """Record a violation, with what is known of its RPC."""
        events = tuple(self.events_by_rpc.get(rpc, ()))
        self.violations.append(Violation(rule, at, rpc, reason, events))
