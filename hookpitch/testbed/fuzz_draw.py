"""Draws experiments from a seed, and writes an experiment as a file.

The order of the draws is part of the interface: the same seed is the same experiment.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from hookpitch.testbed.experiment_schema import (
    FAULTS,
    LASTING_SERVER_FAULTS,
    LINK_FAULTS,
    NODE_FAULTS,
    PROCESS_FAULTS,
    SERVER_FAULTS,
    VIRTUAL_ONLY,
    Experiment,
    Fault,
    Fleet,
    Method,
    Net,
    Nodes,
    Origin,
    Traffic,
)

FAULT_KINDS = tuple(what for what in FAULTS if what not in VIRTUAL_ONLY)
GROUP_FAULT_KINDS = LINK_FAULTS + PROCESS_FAULTS  # whose targets are groups
SINGLE_FAULT_KINDS = tuple(what for what in FAULT_KINDS if what not in GROUP_FAULT_KINDS)
ENDING = ("node_kill", "node_leave", "node_upgrade")
SECONDS = 8.0
FIRST_FAULT_S = 1.5
# SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
LEAVING_S = 4.0


class Target(NamedTuple):
    """Whom a drawn fault meets."""

    whom: str = ""
    to: str = ""
    spread: float = 0.0
    kept: bool = True


def draw_experiment(seed: int, kinds: Sequence[str] = SINGLE_FAULT_KINDS) -> Experiment:
    """An experiment of any form that a file may have; the same for the same seed and `kinds` of
    faults."""
    rng = random.Random(seed)
    caches = rng.randint(1, 8)
    nodes = rng.randint(1, 3)
    methods = [_draw_method(rng, number) for number in range(rng.randint(1, 3))]
    faults = _FaultDraw(rng, nodes, caches).draw_all(kinds)
    fleet = _draw_fleet(rng, caches)
    # A core that events take up whole has nothing left to answer with, which is no fault.
    event_us = rng.choice([0.0, 0.0, 100.0])
    traffic = _draw_traffic(rng)
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
        fault=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def _draw_method(rng: random.Random, number: int) -> Method:
    soft = rng.choice([60.0, 200.0, 500.0])
    write = number > 0 and rng.random() < 0.4
    idempotency = rng.choice(["retryable", "dedup", "fragile"]) if write else "retryable"
    return Method(
        name=f"m{number}",
        soft_ms=soft,
        hard_ms=soft * rng.choice([1.5, 3.0]),
        write=write,
        gain=rng.choice([1.0, 4.0]),
        idempotency="fragile" if idempotency == "dedup" else idempotency,
        work_ms=rng.choice([0.5, 2.0, 8.0]),
        share=rng.choice([1.0, 0.2]),
    )


def _draw_fleet(rng: random.Random, caches: int) -> Fleet:
    return Fleet(
        caches=caches,
        cold_s=rng.choice([3.0, 20.0]),
        keys=rng.choice([50, 4000]),
        warm=rng.random() < 0.5,
        speeds=rng.choice([(1.0,), (1.0, 0.5)]),
        connections=rng.choice([8, 100]),
    )


def _draw_traffic(rng: random.Random) -> Traffic:
    return Traffic(
        rate=rng.choice([20.0, 100.0, 400.0]),
        tries=rng.choice([0, 3]),
        keys=rng.choice([1, 300]),
        leaving=rng.choice([0.0, 0.1]),
        fresh=rng.choice([0.0, 0.5]),
        connections=rng.choice([10, 200]),
    )


class _FaultDraw:
    """Draws the faults of one experiment, one after the other."""

    def __init__(self, rng: random.Random, nodes: int, caches: int) -> None:
        self._rng = rng
        self._nodes = nodes
        self._caches = caches
        self._added = 0
        self._faults: list[Fault] = []

    def draw_all(self, kinds: Sequence[str]) -> list[Fault]:
        """One to six faults, fewer where some go with no other."""
        for _ in range(self._rng.randint(1, 6)):
            what = self._rng.choice(kinds)
            target = self._target(what)
            lasting = self._lasting(what)
            if not self._conflicts(what, target.whom):
                self._faults.append(self._fault(what, target, lasting))
        return self._faults

    def _fault(self, what: str, target: Target, lasting: float) -> Fault:
        by = float(self._rng.random() < 0.3) if what == "node_upgrade" else 0.0
        return Fault(
            at=round(self._rng.uniform(FIRST_FAULT_S, SECONDS), 2),
            what=what,
            whom=target.whom,
            lasting=lasting,
            by=by,
            to=target.to,
            spread=target.spread,
            kept=target.kept,
        )

    def _target(self, what: str) -> Target:
        if what == "add":
            self._added += 1
            return Target(f"x{self._added - 1}")
        if what in NODE_FAULTS:
            return Target(f"n{self._rng.randrange(self._nodes)}")
        if what in SERVER_FAULTS:
            return Target(f"s{self._rng.randrange(self._caches)}")
        if what in GROUP_FAULT_KINDS:
            return self._group_target(what)
        return Target()

    def _group_target(self, what: str) -> Target:
        rng = self._rng
        some = rng.choice([f"n{rng.randrange(self._nodes)}", "nodes", "0.5 of nodes"])
        server = f"s{rng.randrange(self._caches)}"
        other = rng.choice([server, "0.4 of servers", "origin", "discovery"])
        if what in PROCESS_FAULTS:
            whom = some if what == "reload" else rng.choice([some, other])
            return Target(whom, spread=rng.choice([0.0, 1.0]))
        other = rng.choice([other, other, "clients"])
        forward = rng.random() < 0.5
        whom = some if forward else other
        to = other if forward else some
        return Target(whom, to, kept=rng.random() < 0.6)

    def _lasting(self, what: str) -> float:
        longest = 0.0 if what in LASTING_SERVER_FAULTS else 2.0  # 0: to the run's end
        lasting = self._rng.choice([0.2, 1.0, 3.0, longest])
        return LEAVING_S if what == "node_leave" else lasting

    def _conflicts(self, what: str, whom: str) -> bool:
        """A node is either replaced or ends, and a restart goes with no upgrade."""
        if what in ENDING:
            others = [f for f in self._faults if f.whom == whom and f.what != what]
            if any(fault.what in ENDING for fault in others):
                return True
        drawn = {fault.what for fault in self._faults}
        if what == "restart":
            return "node_upgrade" in drawn
        return what == "node_upgrade" and "restart" in drawn


# ---- files


def experiment_text(experiment: Experiment) -> str:
    """The experiment as a file; what has its default is left out."""
    top = msgspec.to_builtins(experiment)
    top.pop("expected", None)
    defaults = msgspec.to_builtins(Experiment(name="a-b"))
    lines = [
        f"{name} = {_toml(value)}"
        for name, value in top.items()
        if not isinstance(value, dict | list | tuple)
    ]
    if top.get("expect"):
        lines.append(f"expect = {_toml(list(top['expect']))}")
    for name, table in top.items():
        if not isinstance(table, dict):
            continue
        changed = {key: v for key, v in table.items() if v != defaults[name].get(key)}
        if changed:
            lines += ["", f"[{name}]", *_table_lines(changed)]
    for name in ("method", "fault"):
        for table in top.get(name, ()):
            lines += ["", f"[[{name}]]", *_table_lines(table)]
    return "\n".join(lines) + "\n"


def _table_lines(table: dict[str, Any]) -> list[str]:
    return [f"{key} = {_toml(value)}" for key, value in table.items()]


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    return repr(value)
