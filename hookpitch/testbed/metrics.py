"""Figures of a run, from its history alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from hookpitch.fakes.history import Event
from hookpitch.testbed import membership
from hookpitch.testbed.experiment import FIGURES, OF_MEMBERS, Expectation, Experiment
from hookpitch.testbed.run import Ended

ORIGIN = "origin"


@dataclass(slots=True)
class Seen:
    """One RPC as its client and the servers saw it. Times in ms."""

    rpc: str
    method: str
    node: str
    at: float
    soft: float
    gain: float
    answer: str = ""  # empty: none; left: its client went
    took: float = 0.0
    transmissions: int = 0


def seen(x: Experiment, events: Sequence[Event]) -> list[Seen]:
    """All RPCs of a history, in the order in which they were asked."""
    methods = {m.name: m for m in x.method}
    found: dict[str, Seen] = {}
    for e in events:
        if e.kind == "asked":
            m = methods[e.what]
            found[e.rpc] = Seen(e.rpc, e.what, e.who, e.at, m.soft_ms, m.gain)
        elif e.rpc in found:
            s = found[e.rpc]
            if e.kind == "came":
                s.transmissions += 1
            elif e.kind in ("answered", "lost", "left") and not s.answer:
                s.answer, s.took = (e.what if e.kind == "answered" else e.kind), e.at - s.at
    return list(found.values())


def quantile(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def figure(name: str, ended: Ended, rpcs: Sequence[Seen], since_s: float, until_s: float) -> float:
    """One figure over RPCs asked in a span of seconds. Parts are of gain for `served`, of RPCs
    otherwise."""
    since, until = since_s * 1000, until_s * 1000
    stay = [s for s in rpcs if s.answer != "left"]
    total = max(1, len(stay))
    took = sorted(s.took for s in stay if s.answer == "completed")
    if name == "served":
        gain = sum(s.gain for s in stay)
        return (
            sum(s.gain for s in stay if s.answer == "completed" and s.took <= s.soft) / gain
            if gain
            else 1.0
        )
    if name in ("completed", "exhausted", "errored"):
        return sum(s.answer == name for s in stay) / total
    if name == "late":
        return sum(s.answer == "completed" and s.took > s.soft for s in stay) / total
    if name in ("p50_ms", "p99_ms", "p999_ms"):
        return quantile(took, {"p50_ms": 0.5, "p99_ms": 0.99, "p999_ms": 0.999}[name])
    if name == "transmissions":
        return sum(s.transmissions for s in rpcs) / max(1, len(rpcs))
    events = [e for e in ended.history.events if since <= e.at < until]
    if name == "fetches_per_s":
        return sum(e.kind == "came" and e.who == ORIGIN for e in events) / max(
            1e-9, until_s - since_s
        )
    if name == "misses":
        sent = [e.what for e in events if e.kind == "sent" and e.who != ORIGIN]
        return sum(w in ("miss", "pending") for w in sent) / max(1, len(sent))
    if name == "worst_cold":
        return max((e.value for e in events if e.kind == "fell"), default=0.0)
    if name == "rude_told":
        return sum(ms <= 3000.0 for ms in ended.rude_kept_ms) / max(1, len(ended.rude_kept_ms))
    if name == "dials":
        return float(sum(c.get("dials", 0) for c in ended.counters.values()))
    if name == "list_calls":
        return most_a_second(e.at for e in events if e.kind == "called")
    if name == "dials_at_one":
        servers = dict.fromkeys(e.who for e in events if e.kind == "dialled")
        dials = (
            most_a_second(e.at for e in events if (e.kind, e.who) == ("dialled", s))
            for s in servers
        )
        return max(dials, default=0.0)
    if name == "listed_s":
        return listed_s(ended.history.events)
    if name == "steady_s":
        return steady_s(rpcs, since_s, until_s)
    if name == "lists_taken":
        return float(sum(c.get("members.lists_taken", 0) for c in ended.counters.values()))
    if name in membership.FIGURES:
        return membership.figure(
            name, membership.said(ended.logs), ended.history.events, since, until
        )
    raise ValueError(name)


def most_a_second(times: Iterable[float]) -> float:
    """The most that fell into one second, of times in ms."""
    return float(max(Counter(int(at // 1000) for at in times).values(), default=0))


def listed_s(events: Iterable[Event]) -> float:
    """Seconds from its start to its first list, of the node for which that took longest; a node
    that was
    killed before, or never told, counts to the end."""
    started: dict[str, float] = {}
    worst = end = 0.0
    for e in events:
        end = e.at
        if e.kind == "start":
            started[e.who] = e.at
        elif e.kind == "stop":
            started.pop(e.who, None)
        elif e.kind == "told" and e.who in started:
            worst = max(worst, e.at - started.pop(e.who))
    return max([worst, *(end - at for at in started.values())]) / 1000


def steady_s(rpcs: Sequence[Seen], since_s: float, until_s: float) -> float:
    """Seconds until the served gain of each second stays at 95% of what it is in the last five."""

    def served(first: float, last: float) -> float:
        some = [s for s in rpcs if first * 1000 <= s.at < last * 1000 and s.answer != "left"]
        good = sum(s.gain for s in some if s.answer == "completed" and s.took <= s.soft)
        return good / max(1e-9, sum(s.gain for s in some)) if some else 1.0

    aim = 0.95 * served(until_s - 5, until_s)
    below = [n for n in range(int(since_s), int(until_s) - 5) if served(n, n + 1) < aim]
    return float(below[-1] + 1 - since_s) if below else 0.0


def expected(ended: Ended) -> list[tuple[Expectation, float, bool]]:
    """Each expectation with its figure, and whether it holds."""
    rpcs, found = seen(ended.experiment, ended.history.events), []
    for e in ended.experiment.expected:
        some = [
            s
            for s in rpcs
            if e.since * 1000 <= s.at < e.until * 1000 and e.method in ("", s.method)
        ]
        value = figure(e.figure, ended, some, e.since, e.until)
        found.append((e, value, value >= e.bound if e.least else value <= e.bound))
    return found


def summary(ended: Ended) -> dict[str, Any]:
    """All figures as plain data, for `--json` and for comparisons."""
    x, rpcs = ended.experiment, seen(ended.experiment, ended.history.events)
    names = FIGURES[: FIGURES.index("misses") + 1]
    whole = {n: round(figure(n, ended, rpcs, 0.0, x.seconds), 4) for n in names}
    by_method = {
        m.name: {
            n: round(figure(n, ended, [s for s in rpcs if s.method == m.name], 0.0, x.seconds), 4)
            for n in ("served", "p50_ms", "p99_ms")
        }
        for m in x.method
    }
    seconds = []
    for second in range(int(x.seconds)):
        some = [s for s in rpcs if second * 1000 <= s.at < (second + 1) * 1000]
        seconds.append(
            {
                "asked": len(some),
                **{
                    n: round(figure(n, ended, some, second, second + 1), 4)
                    for n in (
                        "served",
                        "exhausted",
                        "p99_ms",
                        "transmissions",
                        "fetches_per_s",
                        "misses",
                    )
                },
            }
        )
    more = [
        n for n in FIGURES[FIGURES.index("list_calls") :] if x.nodes.members or n not in OF_MEMBERS
    ]
    whole |= {n: round(figure(n, ended, rpcs, 0.0, x.seconds), 4) for n in more}
    sent: dict[str, int] = {}
    for e in ended.history.events:
        if e.kind == "came":
            sent[e.who] = sent.get(e.who, 0) + 1
    return {
        "name": x.name,
        "seed": ended.seed,
        "digest": ended.history.digest(),
        "rpcs": len(rpcs),
        "whole": whole,
        "methods": by_method,
        "seconds": seconds,
        "sent_to": dict(sorted(sent.items())),
        "broken": [str(b) for b in ended.broken],
        "programs": ended.faults,
        "void": ended.void,
        "rig": ended.rig,
        "no_room": ended.no_room,
        "expected": [
            {"text": e.text, "figure": round(v, 4), "holds": h} for e, v, h in expected(ended)
        ],
        "faults": [{"what": f.what, "whom": f.whom, "at": f.at, "end": f.end} for f in x.fault],
        "counters": ended.counters,
        "events": ended.events,
        "real_s": round(ended.real_s, 2),
    }
