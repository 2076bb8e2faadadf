"""Draws experiments, runs them, and shrinks one that breaks a rule to a small file that plays
again."""

from __future__ import annotations

import random
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from hookpitch.testbed.experiment import (
    FAULTS,
    ON_LINKS,
    ON_NODES,
    ON_PROCESSES,
    ON_SERVERS,
    ONLY_VIRTUAL,
    Experiment,
    Fault,
    Fleet,
    Method,
    Net,
    Nodes,
    Origin,
    Traffic,
    read,
)
from hookpitch.testbed.run import Ended, Run

KINDS = tuple(what for what in FAULTS if what not in ONLY_VIRTUAL)
ON_SET = KINDS[:11]  # may last to the end
OLDER = KINDS[: KINDS.index("cut")]
FAULTY = ON_LINKS + ON_PROCESSES
ENDING = ("node_kill", "node_leave", "node_upgrade")
SECONDS = 8.0
AT_ONCE = 4  # runs on loopback
VOID = 3  # the exit status of one whose rig fell behind


def draw(seed: int, kinds: Sequence[str] = OLDER) -> Experiment:
    """An experiment of any kind that a file may hold; the same for the same seed and `kinds` of
    faults."""
    rng = random.Random(seed)
    caches, nodes = rng.randint(1, 8), rng.randint(1, 3)
    methods = []
    for n in range(rng.randint(1, 3)):
        soft = rng.choice([60.0, 200.0, 500.0])
        write = n > 0 and rng.random() < 0.4
        kind = rng.choice(["retryable", "dedup", "fragile"]) if write else "retryable"
        methods.append(
            Method(
                name=f"m{n}",
                soft_ms=soft,
                hard_ms=soft * rng.choice([1.5, 3.0]),
                write=write,
                gain=rng.choice([1.0, 4.0]),
                idempotency="fragile" if kind == "dedup" else kind,
                work_ms=rng.choice([0.5, 2.0, 8.0]),
                share=rng.choice([1.0, 0.2]),
            )
        )
    faults = []
    added = 0
    for _ in range(rng.randint(1, 6)):
        what = rng.choice(kinds)
        whom = to = ""
        spread, kept = 0.0, True
        if what == "add":
            whom, added = f"x{added}", added + 1
        elif what in ON_NODES:
            whom = f"n{rng.randrange(nodes)}"
        elif what in ON_SERVERS:
            whom = f"s{rng.randrange(caches)}"
        elif what in FAULTY:
            whom, to, spread, kept = _spoilt(rng, what, nodes, caches)
        lasting = rng.choice([0.2, 1.0, 3.0, 0.0 if what in ON_SET else 2.0])
        if what == "node_leave":
            lasting = 4.0  # SIGKILL comes no sooner than the longest deadline and 0.7 s after
        if what in ENDING and any(
            f.whom == whom and f.what in ENDING and f.what != what for f in faults
        ):
            continue  # a node is either replaced or ends
        if what == "restart" and any(f.what == "node_upgrade" for f in faults):
            continue
        if what == "node_upgrade" and any(f.what == "restart" for f in faults):
            continue
        by = float(rng.random() < 0.3) if what == "node_upgrade" else 0.0
        at = round(rng.uniform(1.5, SECONDS), 2)
        faults.append(
            Fault(
                at=at, what=what, whom=whom, lasting=lasting, by=by, to=to, spread=spread, kept=kept
            )
        )
    fleet = Fleet(
        caches=caches,
        cold_s=rng.choice([3.0, 20.0]),
        keys=rng.choice([50, 4000]),
        warm=rng.random() < 0.5,
        speeds=rng.choice([(1.0,), (1.0, 0.5)]),
        connections=rng.choice([8, 100]),
    )
    # A core that all events take up has nothing left to answer with: that is a measurement, no
    # rule.
    event_us = rng.choice([0.0, 0.0, 100.0])
    traffic = Traffic(
        rate=rng.choice([20.0, 100.0, 400.0]),
        tries=rng.choice([0, 3]),
        keys=rng.choice([1, 300]),
        leaving=rng.choice([0.0, 0.1]),
        fresh=rng.choice([0.0, 0.5]),
        connections=rng.choice([10, 200]),
    )
    return Experiment(
        name=f"fuzz-{seed}",
        about="drawn",
        seconds=SECONDS,
        seed=seed,
        fleet=fleet,
        origin=Origin(cores=rng.choice([1, 8]), work_ms=rng.choice([5.0, 40.0])),
        nodes=Nodes(count=nodes, sockets=rng.choice([64, 1024]), event_us=event_us),
        net=Net(delay_ms=rng.choice([0.1, 2.0]), jitter_ms=rng.choice([0.0, 1.0])),
        method=tuple(methods),
        traffic=traffic,
        fault=tuple(sorted(faults, key=lambda f: f.at)),
    )


def _spoilt(rng: random.Random, what: str, nodes: int, caches: int) -> tuple[str, str, float, bool]:
    """Whom a fault of links or processes meets: whom, to, spread, kept."""
    some = rng.choice([f"n{rng.randrange(nodes)}", "nodes", "0.5 of nodes"])
    other = rng.choice([f"s{rng.randrange(caches)}", "0.4 of servers", "origin", "discovery"])
    if what in ON_PROCESSES:
        return (
            some if what == "reload" else rng.choice([some, other]),
            "",
            rng.choice([0.0, 1.0]),
            True,
        )
    other = rng.choice([other, other, "clients"])
    whom, to = (some, other) if rng.random() < 0.5 else (other, some)
    return whom, to, 0.0, rng.random() < 0.6


def whole(x: Experiment) -> Experiment:
    """The same, checked as a file is: faults may not overlap where one undoes what the other
    needs."""
    return read(text(x), x.name)


def rules_broken(ended: Ended) -> list[str]:
    """The rules that broke, each once, and what programs raised."""
    return sorted({b.rule for b in ended.broken} | ({"program"} if ended.faults else set()))


@dataclass(slots=True)
class Found:
    seed: int
    broken: list[str]
    small: Experiment
    first: str  # the first broken rule, told whole


def fuzz(
    runs: int, seed: int, tell: Callable[[str], None], kinds: Sequence[str] = KINDS
) -> list[Found]:
    """Run so many drawn experiments; what breaks is shrunk."""
    found = []
    for n in range(runs):
        x = draw(seed + n, kinds)
        ended = attempt(x)
        broken = rules_broken(ended)
        if broken:
            tell(f"seed {seed + n}: {', '.join(broken)}")
            small = shrink(x, broken)
            again = attempt(small)
            first = str(again.broken[0]) if again.broken else "; ".join(again.faults[:1])
            found.append(Found(seed + n, broken, small, first))
        elif n % 20 == 19:
            tell(f"{n + 1} runs, {len(found)} found")
    return found


def fuzz_on_processes(
    runs: int,
    seed: int,
    tell: Callable[[str], None],
    kinds: Sequence[str] = KINDS,
    keep: Path | None = None,
) -> tuple[int, int]:
    """The same drawn experiments on loopback, `AT_ONCE` at a time: how many broke a rule, and how
    many were
    void. A file that broke one is kept."""
    broke = void = 0
    with tempfile.TemporaryDirectory(prefix="hookpitch-fuzz-") as folder:
        for n in range(0, runs, AT_ONCE):
            plays = []
            for one in range(seed + n, seed + min(runs, n + AT_ONCE)):
                path = Path(folder) / f"fuzz-{one}.toml"
                path.write_text(text(draw(one, kinds)))
                words = [
                    sys.executable,
                    "-m",
                    "hookpitch.cli",
                    "lab",
                    "run",
                    str(path),
                    "--clock",
                    "wall",
                ]
                popen = partial(
                    subprocess.Popen, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
                )
                plays.append((path, popen(words)))
            for path, play in plays:
                said, _ = play.communicate()
                if play.returncode == VOID:
                    void += 1
                elif play.returncode:
                    broke += 1
                    tell(f"{path.stem}: {said.strip()}")
                    if keep is not None:
                        keep.mkdir(parents=True, exist_ok=True)
                        (keep / path.name).write_text(path.read_text())
            tell(f"{min(runs, n + AT_ONCE)} runs, {broke} found, {void} void")
    return broke, void


def attempt(x: Experiment) -> Ended:
    run = Run(x, x.seed)
    run.world.raising = False
    return run.run()


def shrink(x: Experiment, broken: list[str], most: int = 60) -> Experiment:
    """The smallest that still breaks one of the same rules, of `most` tries."""
    wanted, tries = set(broken), 0
    smaller = True
    while smaller and tries < most:
        smaller = False
        for candidate in _smaller(x):
            tries += 1
            if tries > most:
                break
            try:
                candidate = whole(candidate)
            except ValueError:
                continue
            if wanted & set(rules_broken(attempt(candidate))):
                x, smaller = candidate, True
                break
    return x


def _smaller(x: Experiment) -> Iterator[Experiment]:
    replace = msgspec.structs.replace
    for n in range(len(x.fault)):
        yield replace(x, fault=x.fault[:n] + x.fault[n + 1 :])
    if len(x.method) > 1:
        for n in range(len(x.method)):
            yield replace(x, method=x.method[:n] + x.method[n + 1 :])
    if x.nodes.count > 1:
        yield replace(x, nodes=replace(x.nodes, count=1))
    if x.fleet.caches > 1:
        yield replace(x, fleet=replace(x.fleet, caches=x.fleet.caches - 1))
    if x.traffic.rate > 10:
        yield replace(x, traffic=replace(x.traffic, rate=x.traffic.rate / 2))
    for name, plain in (("tries", 0), ("leaving", 0.0), ("fresh", 0.0)):
        if getattr(x.traffic, name) != plain:
            yield replace(x, traffic=replace(x.traffic, **{name: plain}))
    last = max((f.end for f in x.fault), default=1.0) + 1.0
    if last < x.seconds:
        yield replace(x, seconds=round(last, 2))


def text(x: Experiment) -> str:
    """The experiment as a file."""
    top = msgspec.to_builtins(x)
    top.pop("expected", None)
    plain = msgspec.to_builtins(Experiment(name="a-b"))
    lines = [f"{k} = {_value(v)}" for k, v in top.items() if not isinstance(v, dict | list | tuple)]
    if top.get("expect"):
        lines.append(f"expect = {_value(list(top['expect']))}")
    for k, v in top.items():
        if isinstance(v, dict):
            changed = {a: b for a, b in v.items() if b != plain[k].get(a)}
            if changed:
                lines += ["", f"[{k}]", *(f"{a} = {_value(b)}" for a, b in changed.items())]
    for k in ("method", "fault"):
        for table in top.get(k, ()):
            lines += ["", f"[[{k}]]", *(f"{a} = {_value(b)}" for a, b in table.items())]
    return "\n".join(lines) + "\n"


def _value(v: Any) -> str:  # noqa: ANN401
    if isinstance(v, bool):
        return "true" if v else "false"
    if isinstance(v, str):
        return '"' + v.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(v, list | tuple):
        return "[" + ", ".join(_value(item) for item in v) + "]"
    return repr(v)
