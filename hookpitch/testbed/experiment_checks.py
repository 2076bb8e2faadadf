"""Validates a decoded experiment file: each error is one line that names its place."""

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

NAME_PATTERN = re.compile(r"[a-z0-9]+(-[a-z0-9]+)+")
MAX_SECONDS = 3600
MAX_CACHES = 500
MAX_NODES = 1000
MIN_SOCKETS = 64


def validation_errors(file: ExperimentFile) -> Iterator[str]:
    """Yield all errors, in the order of the file's tables."""
    yield from _fleet_errors(file)
    yield from _node_errors(file)
    yield from _method_errors(file)
    for number, fault in enumerate(file.fault):
        yield from _fault_errors(file, number, fault)


def _error_unless(place: str, is_valid: bool, text: str) -> Iterator[str]:
    if not is_valid:
        yield f"{place}: {text}"


def _fleet_errors(file: ExperimentFile) -> Iterator[str]:
    fleet = file.fleet
    has_valid_name = NAME_PATTERN.fullmatch(file.name) is not None
    yield from _error_unless(
        "name", has_valid_name, "must be lowercase words joined by hyphens, the first a subsystem"
    )
    in_range = 0 < file.seconds <= MAX_SECONDS
    yield from _error_unless("seconds", in_range, "must be more than 0 and at most 3600")
    yield from _error_unless(
        "fleet.caches", 1 <= fleet.caches <= MAX_CACHES, "must be from 1 to 500"
    )
    are_positive = min(fleet.speeds, default=0) > 0
    yield from _error_unless("fleet.speeds", are_positive, "must be numbers greater than 0")
    yield from _error_unless(
        "fleet.cold_from", 0 < fleet.cold_from <= 1, "must be more than 0 and at most 1"
    )
    are_valid_kinds = bool(fleet.kinds) and "origin" not in fleet.kinds
    yield from _error_unless(
        "fleet.kinds", are_valid_kinds, "must hold at least one name, and not origin"
    )


def _node_errors(file: ExperimentFile) -> Iterator[str]:
    nodes = file.nodes
    yield from _error_unless("nodes.count", 1 <= nodes.count <= MAX_NODES, "must be from 1 to 1000")
    has_port = nodes.peer_port > 0 or not nodes.members
    yield from _error_unless("nodes.members", has_port, "requires nodes.peer_port")
    is_interval = nodes.snapshot_s == 0 or 0.5 <= nodes.snapshot_s <= 3600
    yield from _error_unless("nodes.snapshot_s", is_interval, "must be 0, or from 0.5 to 3600")
    yield from _error_unless("nodes.sockets", nodes.sockets >= MIN_SOCKETS, "must be at least 64")


def _method_errors(file: ExperimentFile) -> Iterator[str]:
    yield from _error_unless("traffic.rate", file.traffic.rate > 0, "must be more than 0")
    yield from _error_unless("traffic.keys", file.traffic.keys >= 1, "must be at least 1")
    are_unique = len({method.name for method in file.method}) == len(file.method) > 0
    yield from _error_unless(
        "method", are_unique, "must hold at least one method, each with a name of its own"
    )
    for number, method in enumerate(file.method):
        are_ordered = method.hard_ms >= method.soft_ms > 0
        place = f"method[{number}]"
        yield from _error_unless(
            f"{place}.hard_ms", are_ordered, "must be at least soft_ms, which must be more than 0"
        )
        yield from _error_unless(f"{place}.share", method.share >= 0, "must be at least 0")


# ---- faults


def _fault_errors(file: ExperimentFile, number: int, fault: Fault) -> Iterator[str]:
    place = f"fault[{number}]"
    length = f"{file.seconds:g}"
    is_known = fault.what in FAULTS
    yield from _error_unless(
        f"{place}.what", is_known, f"'{fault.what}' is not one of {', '.join(FAULTS)}"
    )
    is_in_run = 0 <= fault.at <= file.seconds
    yield from _error_unless(
        f"{place}.at", is_in_run, f"must be from 0 to {length}, the length of the run"
    )
    yield from _error_unless(f"{place}.for", fault.lasting >= 0, "must be at least 0")
    yield from _target_errors(file, place, fault)
    is_in_length = 0 <= fault.spread <= file.seconds
    yield from _error_unless(
        f"{place}.spread", is_in_length, f"must be from 0 to {length}, the length of the run"
    )
    if fault.what in SHARE_FAULTS:
        yield from _error_unless(
            f"{place}.by", 0 <= fault.by < 1, "must be a fraction, at least 0 and less than 1"
        )
    if fault.what in PROCESS_FAULTS + LINK_FAULTS:
        yield from _group_errors(file, number, fault)
    elif fault.to or fault.spread or not fault.kept:
        yield f"{place}: {fault.what} does not support `to`, `spread` or `kept`"
    yield from _upgrade_errors(file, place, fault)


def _target_errors(file: ExperimentFile, place: str, fault: Fault) -> Iterator[str]:
    names = fleet_names(file)
    if fault.what in SERVER_FAULTS and fault.what != "add":
        is_known = fault.whom in {*names.servers, "all"}
        yield from _error_unless(f"{place}.whom", is_known, f"there is no server '{fault.whom}'")
    if fault.what in NODE_FAULTS:
        is_known = fault.whom in names.nodes
        yield from _error_unless(f"{place}.whom", is_known, f"there is no node '{fault.whom}'")


def _group_errors(file: ExperimentFile, number: int, fault: Fault) -> Iterator[str]:
    """Yield the errors in the groups `whom` and `to` of a fault of processes or links."""
    place = f"fault[{number}]"
    nodes, servers = fleet_names(file)
    try:
        targets = group_members(fault.whom, nodes, servers, file.seed, group_draw_id(number, False))
        if fault.what in LINK_FAULTS:
            other_end = group_members(
                fault.to, nodes, servers, file.seed, group_draw_id(number, True)
            )
    except ValueError as error:
        yield f"{place}.whom: {error}"
        return
    if fault.what in LINK_FAULTS:
        has_links = bool(directions(targets, other_end, nodes, True))
        reason = "there is no link between `whom` and `to`: one end must be a node"
        yield from _error_unless(f"{place}.to", has_links, reason)
        return
    are_processes = "clients" not in targets
    yield from _error_unless(
        f"{place}.whom", are_processes, "the clients have no process of their own"
    )
    are_reloadable = fault.what != "reload" or set(targets) <= set(nodes)
    yield from _error_unless(
        f"{place}.whom", are_reloadable, "only nodes can reload their configuration"
    )
    yield from _error_unless(f"{place}.to", not fault.to, f"{fault.what} is not a fault of links")


def _upgrade_errors(file: ExperimentFile, place: str, fault: Fault) -> Iterator[str]:
    """Yield an error for a fault that cannot be combined with an upgrade.

    The listening socket of an upgraded node outlives its processes. After a fault that ends the
    process, the kernel would go on establishing connections that no process accepts.
    """
    upgraded = [other.whom for other in file.fault if other.what == "node_upgrade"]
    if fault.what == "restart" and upgraded:
        yield (
            f"{place}.whom: restart cannot be combined with node_upgrade, whose socket outlives "
            "the processes"
        )
    if fault.what in ("node_kill", "node_leave") and fault.whom in upgraded:
        yield f"{place}.whom: '{fault.whom}' is also the target of node_upgrade"
