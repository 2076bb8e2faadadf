"""Compares what nodes counted with what clients and servers saw."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from hookpitch.fakes.history import History
from hookpitch.testbed.rules import Violation

TOLERATED_COUNT = 3  # a node's counter may be off by so many,
TOLERATED_SHARE = 0.01  # or by such a share of what the others saw
# A node's counter by the client's outcome.
COUNTERS = {"completed": "completed", "exhausted": "rejected", "errored": "failed"}


class Comparison(NamedTuple):
    """One counter of a node, as the others saw it."""

    counter: str
    observed: int
    tolerated_share: float
    uncertain: int  # events that the node may have counted or not


class Observed:
    """What clients and servers saw of each node."""

    def __init__(self, history: History) -> None:
        self.methods = {e.rpc: e.what for e in history.events if e.kind == "asked"}
        self._outcomes: Counter[tuple[str, str]] = Counter()  # by node, counter
        self._unanswered: Counter[tuple[str, str]] = Counter()  # by node, method
        self._transmissions: Counter[str] = Counter()
        self._closed: Counter[str] = Counter()  # connections, by node
        for event in history.events:
            if event.kind == "asked":
                self._unanswered[event.who, event.what] += 1
            elif event.kind == "answered" and event.what in COUNTERS and event.rpc in self.methods:
                method = self.methods[event.rpc]
                self._unanswered[event.who, method] -= 1
                self._outcomes[event.who, f"{COUNTERS[event.what]}.{method}"] += 1
            elif event.kind == "came":
                self._transmissions[event.what] += 1
            elif event.kind == "closed":
                self._closed[event.who] += 1

    def comparisons(self, node: str) -> list[Comparison]:
        """All counters of a node that others saw, too. An RPC whose client left may be counted or
        not, and so may a transmission that was cut off on its way."""
        found = [
            Comparison(
                "upstream_requests",
                self._transmissions[node],
                2 * TOLERATED_SHARE,
                self._closed[node],
            )
        ]
        for method in sorted(set(self.methods.values())):
            for outcome in COUNTERS.values():
                counter = f"{outcome}.{method}"
                observed = self._outcomes[node, counter]
                unanswered = self._unanswered[node, method]
                found.append(Comparison(counter, observed, TOLERATED_SHARE, unanswered))
        return found


def check_counters(history: History, counters: Mapping[str, Mapping[str, int]]) -> list[Violation]:
    """Violations of nodes whose counters are off; `counters`: by node, all its processes added."""
    observed = Observed(history)
    violations = []
    for node, counts in sorted(counters.items()):
        for counter, seen, share, uncertain in observed.comparisons(node):
            count = counts.get(counter, 0)
            tolerated = max(TOLERATED_COUNT, share * seen)
            if seen - tolerated <= count <= seen + tolerated + uncertain:
                continue
            reason = (
                f"{node} counted {counter} {count}, the others saw {seen} "
                f"and at most {uncertain} more"
            )
            violations.append(Violation("figures", 0.0, "", reason))
    return violations
