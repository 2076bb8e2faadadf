"""Compares the counters of nodes with what clients and servers observed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from hookpitch.fakes.history import History
from hookpitch.testbed.rules import Violation

# A node's counter may differ from the observed count by this number or by this fraction of the
# observed count, whichever is larger.
TOLERATED_COUNT = 3
TOLERATED_FRACTION = 0.01
# The counter of a node for each outcome at a client.
COUNTERS = {"completed": "completed", "exhausted": "rejected", "errored": "failed"}


class Comparison(NamedTuple):
    """Holds the name of a node's counter and the count that clients and servers observed."""

    counter: str
    observed: int
    tolerated_fraction: float
    uncertain: int  # events that the node may or may not have counted


class Observations:
    """Holds what clients and servers observed of each node."""

    def __init__(self, history: History) -> None:
        self.methods = {event.rpc: event.what for event in history.events if event.kind == "asked"}
        self._outcomes: Counter[tuple[str, str]] = Counter()  # by node and counter
        self._unanswered: Counter[tuple[str, str]] = Counter()  # by node and method
        self._transmissions: Counter[str] = Counter()  # by node
        self._closed: Counter[str] = Counter()  # by node: connections that the node closed
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
        """Return the counters of a node whose values clients and servers observed.

        The node may or may not have counted an RPC whose client left, and a transmission whose
        connection was closed while it was on its way.
        """
        comparisons = [
            Comparison(
                "upstream_requests",
                self._transmissions[node],
                2 * TOLERATED_FRACTION,
                self._closed[node],
            )
        ]
        for method in sorted(set(self.methods.values())):
            for outcome in COUNTERS.values():
                counter = f"{outcome}.{method}"
                observed = self._outcomes[node, counter]
                unanswered = self._unanswered[node, method]
                comparisons.append(Comparison(counter, observed, TOLERATED_FRACTION, unanswered))
        return comparisons


def check_counters(history: History, counters: Mapping[str, Mapping[str, int]]) -> list[Violation]:
    """Return a violation for each counter that differs too much from what was observed.

    `counters` has, by node, the sums over all its processes.
    """
    observations = Observations(history)
    violations = []
    for node, counts in sorted(counters.items()):
        for counter, observed, fraction, uncertain in observations.comparisons(node):
            count = counts.get(counter, 0)
            tolerated = max(TOLERATED_COUNT, fraction * observed)
            if observed - tolerated <= count <= observed + tolerated + uncertain:
                continue
            reason = (
                f"{node} counted {counter} {count} times, but clients and servers observed "
                f"{observed} and at most {uncertain} more"
            )
            violations.append(Violation("figures", 0.0, "", reason))
    return violations
