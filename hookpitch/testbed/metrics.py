"""Computes the figures of a run from its history and, for some, from the counters of its nodes.

Times of events are in milliseconds, the spans over which figures are computed in seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from hookpitch.fakes.history import Event
from hookpitch.testbed import membership
from hookpitch.testbed.base_run import RunResult
from hookpitch.testbed.experiment_schema import FIGURES, MEMBER_FIGURES, Expectation, Experiment

ORIGIN = "origin"
PROTOCOL_ERROR_TIMEOUT_MS = 3000.0  # for a node to close a client that breaks the protocol
STEADY_FRACTION = 0.95  # of the steady served gain; a second below it is not steady
STEADY_WINDOW_S = 5  # at the end of a span; the served gain in this window is the steady one
MIN_SPAN_S = 1e-9  # avoids a division by zero
QUANTILES = {"p50_ms": 0.5, "p99_ms": 0.99, "p999_ms": 0.999}
SECOND_FIGURES = ("served", "exhausted", "p99_ms", "transmissions", "fetches_per_s", "misses")
METHOD_FIGURES = ("served", "p50_ms", "p99_ms")


@dataclass(slots=True)
class RpcRecord:
    """One RPC as its client and the servers saw it, with times in milliseconds."""

    rpc: str
    method: str
    node: str
    asked_at: float
    soft_deadline_ms: float
    gain: float
    # How the RPC was answered (completed, exhausted, errored or wrong); `lost` if its connection
    # ended, `left` if the client closed the connection, empty if the client still waits.
    outcome: str = ""
    latency_ms: float = 0.0
    transmissions: int = 0

    @property
    def is_served(self) -> bool:
        """Whether the RPC was completed within its soft deadline."""
        return self.outcome == "completed" and self.latency_ms <= self.soft_deadline_ms


class Span(NamedTuple):
    """Holds what a figure is computed from: a run, and its RPCs that were sent in a span."""

    result: RunResult
    rpcs: Sequence[RpcRecord]
    since_s: float
    until_s: float

    def awaited_rpcs(self) -> list[RpcRecord]:
        """Return the RPCs whose clients waited for an answer."""
        return [rpc for rpc in self.rpcs if rpc.outcome != "left"]

    def events(self) -> list[Event]:
        """Return all events of the span."""
        since_ms, until_ms = self.since_s * 1000, self.until_s * 1000
        return [event for event in self.result.history.events if since_ms <= event.at < until_ms]


class CheckedExpectation(NamedTuple):
    """Holds an expectation, the value of its figure, and whether the expectation holds."""

    expectation: Expectation
    value: float
    holds: bool


def rpc_records(experiment: Experiment, events: Sequence[Event]) -> list[RpcRecord]:
    """Return a record of each RPC of a history, in the order in which they were sent."""
    methods = {method.name: method for method in experiment.method}
    records: dict[str, RpcRecord] = {}
    for event in events:
        if event.kind == "asked":
            method = methods[event.what]
            records[event.rpc] = RpcRecord(
                event.rpc, event.what, event.who, event.at, method.soft_ms, method.gain
            )
            continue
        record = records.get(event.rpc)
        if record is None:
            continue
        if event.kind == "came":
            record.transmissions += 1
        elif event.kind in ("answered", "lost", "left") and not record.outcome:
            record.outcome = event.what if event.kind == "answered" else event.kind
            record.latency_ms = event.at - record.asked_at
    return list(records.values())


def figure(
    name: str, result: RunResult, rpcs: Sequence[RpcRecord], since_s: float, until_s: float
) -> float:
    """Return a figure over RPCs that were sent in a span, which is given in seconds.

    `served` is a fraction of the gain; other fractions are of the number of RPCs. Raises ValueError
    if there is no figure of that name.
    """
    if name in membership.FIGURES:
        changes = membership.state_changes(result.logs)
        events = result.history.events
        return membership.figure(name, changes, events, since_s * 1000, until_s * 1000)
    compute = _FIGURES.get(name)
    if compute is None:
        raise ValueError(f"unknown figure {name!r}")
    return compute(Span(result, rpcs, since_s, until_s))


# ---- figures of RPCs


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of an ordered sequence lies, 0 if it is empty."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _served(span: Span) -> float:
    awaited = span.awaited_rpcs()
    gain = sum(rpc.gain for rpc in awaited)
    if not gain:
        return 1.0
    return sum(rpc.gain for rpc in awaited if rpc.is_served) / gain


def _fraction_with_outcome(outcome: str) -> Callable[[Span], float]:
    def fraction(span: Span) -> float:
        awaited = span.awaited_rpcs()
        return sum(rpc.outcome == outcome for rpc in awaited) / max(1, len(awaited))

    return fraction


def _late(span: Span) -> float:
    awaited = span.awaited_rpcs()
    late = sum(
        rpc.outcome == "completed" and rpc.latency_ms > rpc.soft_deadline_ms for rpc in awaited
    )
    return late / max(1, len(awaited))


def _latency_quantile(fraction: float) -> Callable[[Span], float]:
    def latency(span: Span) -> float:
        latencies_ms = sorted(
            rpc.latency_ms for rpc in span.awaited_rpcs() if rpc.outcome == "completed"
        )
        return quantile(latencies_ms, fraction)

    return latency


def _transmissions_per_rpc(span: Span) -> float:
    return sum(rpc.transmissions for rpc in span.rpcs) / max(1, len(span.rpcs))


def _seconds_to_steady(span: Span) -> float:
    return time_to_steady_s(span.rpcs, span.since_s, span.until_s)


def time_to_steady_s(rpcs: Sequence[RpcRecord], since_s: float, until_s: float) -> float:
    """Return the seconds until the served gain of each second stays near the steady one.

    The steady served gain is that of the last `STEADY_WINDOW_S` seconds; near means at least
    `STEADY_FRACTION` of it.
    """

    def served(begin_s: float, end_s: float) -> float:
        awaited = [
            rpc
            for rpc in rpcs
            if begin_s * 1000 <= rpc.asked_at < end_s * 1000 and rpc.outcome != "left"
        ]
        if not awaited:
            return 1.0
        return sum(rpc.gain for rpc in awaited if rpc.is_served) / max(
            1e-9, sum(rpc.gain for rpc in awaited)
        )

    threshold = STEADY_FRACTION * served(until_s - STEADY_WINDOW_S, until_s)
    seconds = range(int(since_s), int(until_s) - STEADY_WINDOW_S)
    below = [second for second in seconds if served(second, second + 1) < threshold]
    return float(below[-1] + 1 - since_s) if below else 0.0


# ---- figures of servers and of discovery


def _fetches_per_second(span: Span) -> float:
    fetches = sum(event.kind == "came" and event.who == ORIGIN for event in span.events())
    return fetches / max(MIN_SPAN_S, span.until_s - span.since_s)


def _miss_fraction(span: Span) -> float:
    answers = [
        event.what for event in span.events() if event.kind == "sent" and event.who != ORIGIN
    ]
    return sum(answer in ("miss", "pending") for answer in answers) / max(1, len(answers))


def _worst_overload_while_cold(span: Span) -> float:
    return max((event.value for event in span.events() if event.kind == "fell"), default=0.0)


def _misbehaving_clients_closed(span: Span) -> float:
    lifetimes_ms = span.result.misbehaving_lifetimes_ms
    return sum(ms <= PROTOCOL_ERROR_TIMEOUT_MS for ms in lifetimes_ms) / max(1, len(lifetimes_ms))


def _sum_of_counter(counter: str) -> Callable[[Span], float]:
    def total(span: Span) -> float:
        return float(sum(counts.get(counter, 0) for counts in span.result.counters.values()))

    return total


def _max_list_requests_per_second(span: Span) -> float:
    return max_per_second(event.at for event in span.events() if event.kind == "called")


def _max_dials_per_second_at_one_server(span: Span) -> float:
    by_server: dict[str, list[float]] = {}
    for event in span.events():
        if event.kind == "dialled":
            by_server.setdefault(event.who, []).append(event.at)
    return max((max_per_second(times) for times in by_server.values()), default=0.0)


def max_per_second(times_ms: Iterable[float]) -> float:
    """Return the largest number of times that lie in the same second."""
    return float(max(Counter(int(at // 1000) for at in times_ms).values(), default=0))


def _longest_seconds_to_list(span: Span) -> float:
    return longest_time_to_list_s(span.result.history.events)


def longest_time_to_list_s(events: Iterable[Event]) -> float:
    """Return the longest time from the start of a node to its first endpoint list, in seconds.

    A node that got no list counts up to the end of the history, unless it was killed before.
    """
    waiting_since: dict[str, float] = {}  # by node
    longest = end = 0.0
    for event in events:
        end = event.at
        if event.kind == "start":
            waiting_since[event.who] = event.at
        elif event.kind == "stop":
            waiting_since.pop(event.who, None)
        elif event.kind == "told" and event.who in waiting_since:
            longest = max(longest, event.at - waiting_since.pop(event.who))
    return max([longest, *(end - since for since in waiting_since.values())]) / 1000


_FIGURES: dict[str, Callable[[Span], float]] = {
    "served": _served,
    "completed": _fraction_with_outcome("completed"),
    "exhausted": _fraction_with_outcome("exhausted"),
    "errored": _fraction_with_outcome("errored"),
    "late": _late,
    **{name: _latency_quantile(fraction) for name, fraction in QUANTILES.items()},
    "transmissions": _transmissions_per_rpc,
    "fetches_per_s": _fetches_per_second,
    "misses": _miss_fraction,
    "worst_cold": _worst_overload_while_cold,
    "rude_told": _misbehaving_clients_closed,
    "dials": _sum_of_counter("dials"),
    "list_calls": _max_list_requests_per_second,
    "dials_at_one": _max_dials_per_second_at_one_server,
    "listed_s": _longest_seconds_to_list,
    "steady_s": _seconds_to_steady,
    "lists_taken": _sum_of_counter("members.lists_taken"),
}


# ---- expectations and the summary


def check_expectations(result: RunResult) -> list[CheckedExpectation]:
    """Return each expectation of the experiment with its figure, and whether it holds."""
    rpcs = rpc_records(result.experiment, result.history.events)
    checked = []
    for expectation in result.experiment.expected:
        since_ms, until_ms = expectation.since * 1000, expectation.until * 1000
        matching = [
            rpc
            for rpc in rpcs
            if since_ms <= rpc.asked_at < until_ms and expectation.method in ("", rpc.method)
        ]
        value = figure(expectation.figure, result, matching, expectation.since, expectation.until)
        holds = value >= expectation.bound if expectation.least else value <= expectation.bound
        checked.append(CheckedExpectation(expectation, value, holds))
    return checked


def summary(result: RunResult) -> dict[str, Any]:
    """Return all figures as plain data, for `--json` and for comparisons."""
    experiment = result.experiment
    rpcs = rpc_records(experiment, result.history.events)
    return {
        "name": experiment.name,
        "seed": result.seed,
        "digest": result.history.digest(),
        "rpcs": len(rpcs),
        "whole": _figures_of_run(result, rpcs),
        "methods": _figures_by_method(result, rpcs),
        "seconds": _figures_by_second(result, rpcs),
        "sent_to": _transmissions_by_server(result),
        "broken": [str(violation) for violation in result.violations],
        "programs": result.program_errors,
        "void": result.void_reasons,
        "rig": result.lateness_ms,
        "no_room": result.connection_limit_hits,
        "expected": [
            {
                "text": checked.expectation.text,
                "figure": round(checked.value, 4),
                "holds": checked.holds,
            }
            for checked in check_expectations(result)
        ],
        "faults": [
            {"what": fault.what, "whom": fault.whom, "at": fault.at, "end": fault.end}
            for fault in experiment.fault
        ],
        "counters": result.counters,
        "events": result.event_count,
        "real_s": round(result.real_s, 2),
    }


def _figures(
    names: Iterable[str],
    result: RunResult,
    rpcs: Sequence[RpcRecord],
    since_s: float,
    until_s: float,
) -> dict[str, float]:
    return {name: round(figure(name, result, rpcs, since_s, until_s), 4) for name in names}


def _figures_of_run(result: RunResult, rpcs: Sequence[RpcRecord]) -> dict[str, float]:
    """Return the figures of the whole run.

    These are the figures that every run has, then those of the start of nodes and, in an experiment
    with members, those of membership.
    """
    names = list(FIGURES[: FIGURES.index("misses") + 1])
    for name in FIGURES[FIGURES.index("list_calls") :]:
        if result.experiment.nodes.members or name not in MEMBER_FIGURES:
            names.append(name)
    return _figures(names, result, rpcs, 0.0, result.experiment.seconds)


def _figures_by_method(result: RunResult, rpcs: Sequence[RpcRecord]) -> dict[str, dict[str, float]]:
    figures = {}
    for method in result.experiment.method:
        of_method = [rpc for rpc in rpcs if rpc.method == method.name]
        figures[method.name] = _figures(
            METHOD_FIGURES, result, of_method, 0.0, result.experiment.seconds
        )
    return figures


def _figures_by_second(result: RunResult, rpcs: Sequence[RpcRecord]) -> list[dict[str, float]]:
    rows = []
    for second in range(int(result.experiment.seconds)):
        of_second = [rpc for rpc in rpcs if second * 1000 <= rpc.asked_at < (second + 1) * 1000]
        figures = _figures(SECOND_FIGURES, result, of_second, second, second + 1)
        rows.append({"asked": len(of_second), **figures})
    return rows


def _transmissions_by_server(result: RunResult) -> dict[str, int]:
    sent = Counter(event.who for event in result.history.events if event.kind == "came")
    return dict(sorted(sent.items()))
