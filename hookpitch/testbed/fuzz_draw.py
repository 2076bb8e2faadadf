"""Draws random experiments from a seed, and formats experiments as files.

The order of the draws must not change, so that a seed yields the same experiment in every version.
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

FAULT_KINDS = tuple(kind for kind in FAULTS if kind not in VIRTUAL_ONLY)
GROUP_FAULT_KINDS = LINK_FAULTS + PROCESS_FAULTS  # their targets are groups
SINGLE_FAULT_KINDS = tuple(kind for kind in FAULT_KINDS if kind not in GROUP_FAULT_KINDS)
NODE_EXIT_FAULTS = ("node_kill", "node_leave", "node_upgrade")
RUN_S = 8.0
FIRST_FAULT_S = 1.5
# SIGKILL is sent this long after SIGTERM: at least the longest deadline plus 0.7 s.
GRACEFUL_SHUTDOWN_S = 4.0


class Target(NamedTuple):
    """Holds what a random fault applies to: four fields of `Fault`."""

    name: str = ""  # `Fault.whom`: a node, a server or a group
    peer: str = ""  # `Fault.to`
    spread: float = 0.0
    is_kept: bool = True  # `Fault.kept`


def draw_experiment(seed: int, kinds: Sequence[str] = SINGLE_FAULT_KINDS) -> Experiment:
    """Return a random experiment with faults of the given kinds.

    The same seed and the same kinds give the same experiment.
    """
    rng = random.Random(seed)
    caches = rng.randint(1, 8)
    nodes = rng.randint(1, 3)
    methods = [_draw_method(rng, number) for number in range(rng.randint(1, 3))]
    faults = _FaultDraw(rng, nodes, caches).draw_all(kinds)
    fleet = _draw_fleet(rng, caches)
    # With a longer time per event, a node could need its whole core for events and answer nothing,
    # which is no defect.
    event_us = rng.choice([0.0, 0.0, 100.0])
    traffic = _draw_traffic(rng)
    return Experiment(
        name=f"fuzz-{seed}",
        about="drawn",
        seconds=RUN_S,
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
    soft_ms = rng.choice([60.0, 200.0, 500.0])
    write = number > 0 and rng.random() < 0.4
    idempotency = rng.choice(["retryable", "dedup", "fragile"]) if write else "retryable"
    return Method(
        name=f"m{number}",
        soft_ms=soft_ms,
        hard_ms=soft_ms * rng.choice([1.5, 3.0]),
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
        self._added_servers = 0
        self._faults: list[Fault] = []

    def draw_all(self, kinds: Sequence[str]) -> list[Fault]:
        """Draw one to six faults, and return those that do not conflict with an earlier one."""
        for _ in range(self._rng.randint(1, 6)):
            kind = self._rng.choice(kinds)
            target = self._draw_target(kind)
            duration_s = self._draw_duration_s(kind)
            if not self._conflicts(kind, target.name):
                self._faults.append(self._draw_fault(kind, target, duration_s))
        return self._faults

    def _draw_fault(self, kind: str, target: Target, duration_s: float) -> Fault:
        strength = float(self._rng.random() < 0.3) if kind == "node_upgrade" else 0.0
        return Fault(
            at=round(self._rng.uniform(FIRST_FAULT_S, RUN_S), 2),
            what=kind,
            whom=target.name,
            lasting=duration_s,
            by=strength,
            to=target.peer,
            spread=target.spread,
            kept=target.is_kept,
        )

    def _draw_target(self, kind: str) -> Target:
        if kind == "add":
            self._added_servers += 1
            return Target(f"x{self._added_servers - 1}")
        if kind in NODE_FAULTS:
            return Target(f"n{self._rng.randrange(self._nodes)}")
        if kind in SERVER_FAULTS:
            return Target(f"s{self._rng.randrange(self._caches)}")
        if kind in GROUP_FAULT_KINDS:
            return self._draw_group_target(kind)
        return Target()

    def _draw_group_target(self, kind: str) -> Target:
        rng = self._rng
        nodes = rng.choice([f"n{rng.randrange(self._nodes)}", "nodes", "0.5 of nodes"])
        server = f"s{rng.randrange(self._caches)}"
        other = rng.choice([server, "0.4 of servers", "origin", "discovery"])
        if kind in PROCESS_FAULTS:
            name = nodes if kind == "reload" else rng.choice([nodes, other])
            return Target(name, spread=rng.choice([0.0, 1.0]))
        other = rng.choice([other, other, "clients"])
        from_nodes = rng.random() < 0.5
        name = nodes if from_nodes else other
        peer = other if from_nodes else nodes
        return Target(name, peer, is_kept=rng.random() < 0.6)

    def _draw_duration_s(self, kind: str) -> float:
        # With 0, the fault lasts to the end of the run.
        last_choice_s = 0.0 if kind in LASTING_SERVER_FAULTS else 2.0
        duration_s = self._rng.choice([0.2, 1.0, 3.0, last_choice_s])
        return GRACEFUL_SHUTDOWN_S if kind == "node_leave" else duration_s

    def _conflicts(self, kind: str, name: str) -> bool:
        """Return whether a fault conflicts with the faults drawn so far.

        A node is killed, leaves or is upgraded, but not several of these, and an experiment has
        no restart together with an upgrade.
        """
        if kind in NODE_EXIT_FAULTS:
            others = [fault for fault in self._faults if fault.whom == name and fault.what != kind]
            if any(fault.what in NODE_EXIT_FAULTS for fault in others):
                return True
        drawn_kinds = {fault.what for fault in self._faults}
        if kind == "restart":
            return "node_upgrade" in drawn_kinds
        return kind == "node_upgrade" and "restart" in drawn_kinds


# ---- files


def experiment_text(experiment: Experiment) -> str:
    """Return an experiment as the text of its file, without settings that have their defaults."""
    document = msgspec.to_builtins(experiment)
    document.pop("expected", None)
    defaults = msgspec.to_builtins(Experiment(name="a-b"))
    lines = [
        f"{name} = {_toml(value)}"
        for name, value in document.items()
        if not isinstance(value, dict | list | tuple)
    ]
    if document.get("expect"):
        lines.append(f"expect = {_toml(list(document['expect']))}")
    for name, table in document.items():
        if not isinstance(table, dict):
            continue
        changed = {key: value for key, value in table.items() if value != defaults[name].get(key)}
        if changed:
            lines += ["", f"[{name}]", *_table_lines(changed)]
    for name in ("method", "fault"):
        for table in document.get(name, ()):
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
