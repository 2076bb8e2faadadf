"""What a decoded file of an experiment may hold: each mistake is a line that names its place."""

from __future__ import annotations

import re
from collections.abc import Iterator

from hookpitch.testbed.experiment_schema import (
    FAULTS,
    LINK_FAULTS,
    NODE_FAULTS,
    PROCESS_FAULTS,
    SERVER_FAULTS,
    SHARE_FAULTS,
    ExperimentFile,
    Fault,
    fleet_names,
    group_draw_id,
)
from hookpitch.testbed.groups import directions, group_members

NAME = re.compile(r"[a-z0-9]+(-[a-z0-9]+)+")
MOST_SECONDS = 3600
MOST_CACHES = 500
MOST_NODES = 1000
LEAST_SOCKETS = 64


def validation_errors(file: ExperimentFile) -> Iterator[str]:
    """All mistakes, in the order of the file's tables."""
    yield from _mistakes_of_fleet(file)
    yield from _mistakes_of_nodes(file)
    yield from _mistakes_of_methods(file)
    for number, fault in enumerate(file.fault):
        yield from _mistakes_of_fault(file, number, fault)


def _check(place: str, holds: bool, text: str) -> Iterator[str]:
    if not holds:
        yield f"{place}: {text}"


def _mistakes_of_fleet(file: ExperimentFile) -> Iterator[str]:
    fleet = file.fleet
    named = NAME.fullmatch(file.name) is not None
    yield from _check("name", named, "wants subsystem-words, in small letters")
    in_range = 0 < file.seconds <= MOST_SECONDS
    yield from _check("seconds", in_range, "wants more than 0, at most 3600")
    yield from _check("fleet.caches", 1 <= fleet.caches <= MOST_CACHES, "wants 1 to 500")
    fast = min(fleet.speeds, default=0) > 0
    yield from _check("fleet.speeds", fast, "wants figures over 0")
    yield from _check("fleet.cold_from", 0 < fleet.cold_from <= 1, "wants more than 0, at most 1")
    named_kinds = bool(fleet.kinds) and "origin" not in fleet.kinds
    yield from _check("fleet.kinds", named_kinds, "wants names, not origin")


def _mistakes_of_nodes(file: ExperimentFile) -> Iterator[str]:
    nodes = file.nodes
    yield from _check("nodes.count", 1 <= nodes.count <= MOST_NODES, "wants 1 to 1000")
    reachable = nodes.peer_port > 0 or not nodes.members
    yield from _check("nodes.members", reachable, "wants a peer_port")
    writes = nodes.snapshot_s == 0 or 0.5 <= nodes.snapshot_s <= 3600
    yield from _check("nodes.snapshot_s", writes, "wants 0, or 0.5 to 3600")
    yield from _check("nodes.sockets", nodes.sockets >= LEAST_SOCKETS, "wants 64 or more")


def _mistakes_of_methods(file: ExperimentFile) -> Iterator[str]:
    yield from _check("traffic.rate", file.traffic.rate > 0, "wants more than 0")
    yield from _check("traffic.keys", file.traffic.keys >= 1, "wants 1 or more")
    once = len({method.name for method in file.method}) == len(file.method) > 0
    yield from _check("method", once, "wants one at least, each name once")
    for number, method in enumerate(file.method):
        ordered = method.hard_ms >= method.soft_ms > 0
        place = f"method[{number}]"
        yield from _check(f"{place}.hard_ms", ordered, "wants soft_ms > 0 and no hard_ms under it")
        yield from _check(f"{place}.share", method.share >= 0, "wants 0 or more")


# ---- faults


def _mistakes_of_fault(file: ExperimentFile, number: int, fault: Fault) -> Iterator[str]:
    place = f"fault[{number}]"
    length = f"{file.seconds:g}"
    known = fault.what in FAULTS
    yield from _check(f"{place}.what", known, f"'{fault.what}' is none of {', '.join(FAULTS)}")
    in_run = 0 <= fault.at <= file.seconds
    yield from _check(f"{place}.at", in_run, f"wants 0 to {length}, the run's length")
    yield from _check(f"{place}.for", fault.lasting >= 0, "wants 0 or more")
    yield from _mistakes_of_target(file, place, fault)
    spread = 0 <= fault.spread <= file.seconds
    yield from _check(f"{place}.spread", spread, f"wants 0 to {length}")
    if fault.what in SHARE_FAULTS:
        yield from _check(f"{place}.by", 0 <= fault.by < 1, "wants a part, 0 to under 1")
    if fault.what in PROCESS_FAULTS + LINK_FAULTS:
        yield from _mistakes_of_groups(file, number, fault)
    elif fault.to or fault.spread or not fault.kept:
        yield f"{place}: {fault.what} has no `to`, `spread` or `kept`"
    yield from _mistakes_of_replacement(file, place, fault)


def _mistakes_of_target(file: ExperimentFile, place: str, fault: Fault) -> Iterator[str]:
    names = fleet_names(file)
    if fault.what in SERVER_FAULTS and fault.what != "add":
        known = fault.whom in {*names.servers, "all"}
        yield from _check(f"{place}.whom", known, f"no server is named '{fault.whom}'")
    if fault.what in NODE_FAULTS:
        known = fault.whom in names.nodes
        yield from _check(f"{place}.whom", known, f"no node is named '{fault.whom}'")


def _mistakes_of_groups(file: ExperimentFile, number: int, fault: Fault) -> Iterator[str]:
    """Of a fault of processes or links, whose `whom` and `to` are groups."""
    place = f"fault[{number}]"
    nodes, servers = fleet_names(file)
    try:
        group = group_members(fault.whom, nodes, servers, file.seed, group_draw_id(number, False))
        if fault.what in LINK_FAULTS:
            there = group_members(fault.to, nodes, servers, file.seed, group_draw_id(number, True))
    except ValueError as error:
        yield f"{place}.whom: {error}"
        return
    if fault.what in LINK_FAULTS:
        linked = bool(directions(group, there, nodes, True))
        reason = "no link goes from there to there; one end is a node"
        yield from _check(f"{place}.to", linked, reason)
        return
    processes = "clients" not in group
    yield from _check(f"{place}.whom", processes, "clients are no process of their own")
    reloadable = fault.what != "reload" or set(group) <= set(nodes)
    yield from _check(f"{place}.whom", reloadable, "only nodes read their file anew")
    yield from _check(f"{place}.to", not fault.to, f"{fault.what} is no link's")


def _mistakes_of_replacement(file: ExperimentFile, place: str, fault: Fault) -> Iterator[str]:
    """A socket that outlasts its processes goes with no fault after which nobody accepts there."""
    upgraded = [other.whom for other in file.fault if other.what == "node_upgrade"]
    if fault.what == "restart" and upgraded:
        yield (f"{place}.whom: no restart beside a node_upgrade: its socket outlasts its processes")
    if fault.what in ("node_kill", "node_leave") and fault.whom in upgraded:
        yield f"{place}.whom: '{fault.whom}' is replaced by node_upgrade"
