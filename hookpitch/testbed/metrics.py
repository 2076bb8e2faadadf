"""Figures of a run, computed from its history and, where a figure says so, from nodes' counters.

Times of events are in ms, spans of figures in seconds.
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
RUDE_TIMEOUT_MS = 3000.0  # in which a client that breaks the protocol has to be closed
STEADY_SHARE = 0.95
STEADY_LAST_S = 5  # seconds at a span's end whose served gain counts as the steady one
SMALLEST_SPAN_S = 1e-9
QUANTILES = {"p50_ms": 0.5, "p99_ms": 0.99, "p999_ms": 0.999}
SECOND_FIGURES = ("served", "exhausted", "p99_ms", "transmissions", "fetches_per_s", "misses")
METHOD_FIGURES = ("served", "p50_ms", "p99_ms")


@dataclass(slots=True)
class RpcRecord:
    """One RPC as its client and the servers saw it. Times in ms."""

    rpc: str
    method: str
    node: str
    asked_at: float
    soft_deadline_ms: float
    gain: float
    outcome: str = ""  # empty: none; left: its client went away
    latency_ms: float = 0.0
    transmissions: int = 0

    @property
    def is_served(self) -> bool:
        """Whether it was completed before its soft deadline."""
        return self.outcome == "completed" and self.latency_ms <= self.soft_deadline_ms


class Span(NamedTuple):
    """What one figure is computed from: a run, and its RPCs that were asked in a span."""

    ended: RunResult
    rpcs: Sequence[RpcRecord]
    since_s: float
    until_s: float

    def kept(self) -> list[RpcRecord]:
        """RPCs whose clients waited for an answer."""
        return [rpc for rpc in self.rpcs if rpc.outcome != "left"]

    def events(self) -> list[Event]:
        """All events of the span."""
        since, until = self.since_s * 1000, self.until_s * 1000
        return [e for e in self.ended.history.events if since <= e.at < until]


class CheckedExpectation(NamedTuple):
    """An expectation, its figure and whether it holds."""

    expectation: Expectation
    value: float
    holds: bool


def rpc_records(experiment: Experiment, events: Sequence[Event]) -> list[RpcRecord]:
    """All RPCs of a history, in the order in which they were asked."""
    methods = {method.name: method for method in experiment.method}
    found: dict[str, RpcRecord] = {}
    for event in events:
        if event.kind == "asked":
            method = methods[event.what]
            found[event.rpc] = RpcRecord(
                event.rpc, event.what, event.who, event.at, method.soft_ms, method.gain
            )
            continue
        record = found.get(event.rpc)
        if record is None:
            continue
        if event.kind == "came":
            record.transmissions += 1
        elif event.kind in ("answered", "lost", "left") and not record.outcome:
            record.outcome = event.what if event.kind == "answered" else event.kind
            record.latency_ms = event.at - record.asked_at
    return list(found.values())


def figure(
    name: str, ended: RunResult, rpcs: Sequence[RpcRecord], since_s: float, until_s: float
) -> float:
    """One figure over RPCs asked in a span of seconds; ValueError where there is none of that
    name. Shares are of gain for `served`, of RPCs otherwise."""
    if name in membership.FIGURES:
        changes = membership.state_changes(ended.logs)
        events = ended.history.events
        return membership.figure(name, changes, events, since_s * 1000, until_s * 1000)
    compute = _FIGURES.get(name)
    if compute is None:
        raise ValueError(name)
    return compute(Span(ended, rpcs, since_s, until_s))


# ---- figures of RPCs


def quantile(ordered: Sequence[float], share: float) -> float:
    """The value below which that share of an ordered sequence lies; 0 where it is empty."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _served(span: Span) -> float:
    kept = span.kept()
    gain = sum(rpc.gain for rpc in kept)
    if not gain:
        return 1.0
    return sum(rpc.gain for rpc in kept if rpc.is_served) / gain


def _share_answered(answer: str) -> Callable[[Span], float]:
    def share(span: Span) -> float:
        kept = span.kept()
        return sum(rpc.outcome == answer for rpc in kept) / max(1, len(kept))

    return share


def _late(span: Span) -> float:
    kept = span.kept()
    late = sum(rpc.outcome == "completed" and rpc.latency_ms > rpc.soft_deadline_ms for rpc in kept)
    return late / max(1, len(kept))


def _latency(share: float) -> Callable[[Span], float]:
    def latency(span: Span) -> float:
        took = sorted(rpc.latency_ms for rpc in span.kept() if rpc.outcome == "completed")
        return quantile(took, share)

    return latency


def _transmissions(span: Span) -> float:
    return sum(rpc.transmissions for rpc in span.rpcs) / max(1, len(span.rpcs))


def _seconds_to_steady(span: Span) -> float:
    return time_to_steady_s(span.rpcs, span.since_s, span.until_s)


def time_to_steady_s(rpcs: Sequence[RpcRecord], since_s: float, until_s: float) -> float:
    """Seconds until the served gain of each second stays at 95% of what it is in the last five."""

    def served(first: float, last: float) -> float:
        some = [r for r in rpcs if first * 1000 <= r.asked_at < last * 1000 and r.outcome != "left"]
        if not some:
            return 1.0
        return sum(r.gain for r in some if r.is_served) / max(1e-9, sum(r.gain for r in some))

    aim = STEADY_SHARE * served(until_s - STEADY_LAST_S, until_s)
    seconds = range(int(since_s), int(until_s) - STEADY_LAST_S)
    below = [second for second in seconds if served(second, second + 1) < aim]
    return float(below[-1] + 1 - since_s) if below else 0.0


# ---- figures of servers and of discovery


def _fetches_per_second(span: Span) -> float:
    fetches = sum(e.kind == "came" and e.who == ORIGIN for e in span.events())
    return fetches / max(SMALLEST_SPAN_S, span.until_s - span.since_s)


def _misses(span: Span) -> float:
    sent = [e.what for e in span.events() if e.kind == "sent" and e.who != ORIGIN]
    return sum(what in ("miss", "pending") for what in sent) / max(1, len(sent))


def _worst_cold(span: Span) -> float:
    return max((e.value for e in span.events() if e.kind == "fell"), default=0.0)


def _rude_clients_closed(span: Span) -> float:
    kept_ms = span.ended.misbehaving_kept_ms
    return sum(ms <= RUDE_TIMEOUT_MS for ms in kept_ms) / max(1, len(kept_ms))


def _sum_of_counter(counter: str) -> Callable[[Span], float]:
    def total(span: Span) -> float:
        return float(sum(counts.get(counter, 0) for counts in span.ended.counters.values()))

    return total


def _list_calls(span: Span) -> float:
    return max_per_second(e.at for e in span.events() if e.kind == "called")


def _dials_at_one(span: Span) -> float:
    by_server: dict[str, list[float]] = {}
    for event in span.events():
        if event.kind == "dialled":
            by_server.setdefault(event.who, []).append(event.at)
    return max((max_per_second(times) for times in by_server.values()), default=0.0)


def max_per_second(times: Iterable[float]) -> float:
    """The most that fell into one second, of times in ms."""
    return float(max(Counter(int(at // 1000) for at in times).values(), default=0))


def _seconds_to_list(span: Span) -> float:
    return longest_time_to_list_s(span.ended.history.events)


def longest_time_to_list_s(events: Iterable[Event]) -> float:
    """Seconds from its start to its first list, of the node for which that took longest; a node
    that never got one counts to the end, unless it was killed before."""
    started: dict[str, float] = {}
    worst = end = 0.0
    for event in events:
        end = event.at
        if event.kind == "start":
            started[event.who] = event.at
        elif event.kind == "stop":
            started.pop(event.who, None)
        elif event.kind == "told" and event.who in started:
            worst = max(worst, event.at - started.pop(event.who))
    return max([worst, *(end - at for at in started.values())]) / 1000


_FIGURES: dict[str, Callable[[Span], float]] = {
    "served": _served,
    "completed": _share_answered("completed"),
    "exhausted": _share_answered("exhausted"),
    "errored": _share_answered("errored"),
    "late": _late,
    **{name: _latency(share) for name, share in QUANTILES.items()},
    "transmissions": _transmissions,
    "fetches_per_s": _fetches_per_second,
    "misses": _misses,
    "worst_cold": _worst_cold,
    "rude_told": _rude_clients_closed,
    "dials": _sum_of_counter("dials"),
    "list_calls": _list_calls,
    "dials_at_one": _dials_at_one,
    "listed_s": _seconds_to_list,
    "steady_s": _seconds_to_steady,
    "lists_taken": _sum_of_counter("members.lists_taken"),
}


# ---- expectations and the summary


def check_expectations(ended: RunResult) -> list[CheckedExpectation]:
    """Each expectation of the experiment with its figure, and whether it holds."""
    rpcs = rpc_records(ended.experiment, ended.history.events)
    found = []
    for expectation in ended.experiment.expected:
        since_ms, until_ms = expectation.since * 1000, expectation.until * 1000
        some = [
            rpc
            for rpc in rpcs
            if since_ms <= rpc.asked_at < until_ms and expectation.method in ("", rpc.method)
        ]
        value = figure(expectation.figure, ended, some, expectation.since, expectation.until)
        holds = value >= expectation.bound if expectation.least else value <= expectation.bound
        found.append(CheckedExpectation(expectation, value, holds))
    return found


def summary(ended: RunResult) -> dict[str, Any]:
    """All figures as plain data, for `--json` and for comparisons."""
    experiment = ended.experiment
    rpcs = rpc_records(experiment, ended.history.events)
    return {
        "name": experiment.name,
        "seed": ended.seed,
        "digest": ended.history.digest(),
        "rpcs": len(rpcs),
        "whole": _whole_figures(ended, rpcs),
        "methods": _figures_by_method(ended, rpcs),
        "seconds": _figures_by_second(ended, rpcs),
        "sent_to": _transmissions_by_server(ended),
        "broken": [str(violation) for violation in ended.violations],
        "programs": ended.program_errors,
        "void": ended.void_reasons,
        "rig": ended.lateness_ms,
        "no_room": ended.connection_limit_hits,
        "expected": [
            {"text": one.expectation.text, "figure": round(one.value, 4), "holds": one.holds}
            for one in check_expectations(ended)
        ],
        "faults": [
            {"what": fault.what, "whom": fault.whom, "at": fault.at, "end": fault.end}
            for fault in experiment.fault
        ],
        "counters": ended.counters,
        "events": ended.event_count,
        "real_s": round(ended.real_s, 2),
    }


def _figures(
    names: Iterable[str],
    ended: RunResult,
    rpcs: Sequence[RpcRecord],
    since_s: float,
    until_s: float,
) -> dict[str, float]:
    return {name: round(figure(name, ended, rpcs, since_s, until_s), 4) for name in names}


def _whole_figures(ended: RunResult, rpcs: Sequence[RpcRecord]) -> dict[str, float]:
    """The figures that every run has, then those of starting and, for members, of membership."""
    names = list(FIGURES[: FIGURES.index("misses") + 1])
    for name in FIGURES[FIGURES.index("list_calls") :]:
        if ended.experiment.nodes.members or name not in MEMBER_FIGURES:
            names.append(name)
    return _figures(names, ended, rpcs, 0.0, ended.experiment.seconds)


def _figures_by_method(ended: RunResult, rpcs: Sequence[RpcRecord]) -> dict[str, dict[str, float]]:
    found = {}
    for method in ended.experiment.method:
        some = [rpc for rpc in rpcs if rpc.method == method.name]
        found[method.name] = _figures(METHOD_FIGURES, ended, some, 0.0, ended.experiment.seconds)
    return found


def _figures_by_second(ended: RunResult, rpcs: Sequence[RpcRecord]) -> list[dict[str, float]]:
    found = []
    for second in range(int(ended.experiment.seconds)):
        some = [rpc for rpc in rpcs if second * 1000 <= rpc.asked_at < (second + 1) * 1000]
        figures = _figures(SECOND_FIGURES, ended, some, second, second + 1)
        found.append({"asked": len(some), **figures})
    return found


def _transmissions_by_server(ended: RunResult) -> dict[str, int]:
    sent = Counter(event.who for event in ended.history.events if event.kind == "came")
    return dict(sorted(sent.items()))
