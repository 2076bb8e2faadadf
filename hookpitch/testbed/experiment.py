"""An experiment as a file: fleet, nodes, methods, traffic, a time line of faults, expectations.

Decoded with msgspec into frozen types; a slip is told with its place (`fault[2].at: ...`). Times
are
seconds in files and milliseconds inside.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from hookpitch.testbed.groups import directions, members

FIGURES = (
    "served",
    "completed",
    "exhausted",
    "errored",
    "late",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "transmissions",
    "fetches_per_s",
    "misses",
    "worst_cold",
    "dials",
    "rude_told",
    "list_calls",
    "dials_at_one",
    "listed_s",
    "steady_s",
    "called_dead",
    "found_s",
    "agreed_s",
    "views_wrong",
    "turns",
    "lists_taken",
)
OF_MEMBERS = FIGURES[FIGURES.index("called_dead") :]  # where nodes are members
FAULTS = (
    "crash",
    "vanish",
    "silence",
    "half_silence",
    "slow",
    "drain",
    "add",
    "flush",
    "mute",
    "garble",
    "reset",
    "origin_slow",
    "origin_fails",
    "discovery_down",
    "discovery_restart",
    "discovery_lag",
    "node_kill",
    "node_leave",
    "node_pause",
    "node_slow",
    "surge",
    "hot_key",
    "rude",
    "far",
    "suspend",
    "node_drain",
    "callers",
    "node_upgrade",
    "crowd",
    "slow_heads",
    "pieces",
    "cut",
    "half_cut",
    "lossy",
    "flap",
    "lag",
    "narrow",
    "refuse",
    "deaf",
    "sever",
    "doubled",
    "shuffled",
    "stall",
    "starved",
    "restart",
    "reload",
)
ON_SERVERS = (*FAULTS[:11], "suspend", "pieces")
ON_NODES = ("node_kill", "node_leave", "node_pause", "node_slow", "node_drain", "node_upgrade")
ON_LINKS = FAULTS[FAULTS.index("cut") : FAULTS.index("stall")]
ON_PROCESSES = FAULTS[FAULTS.index("stall") :]
PARTS = ("lossy", "doubled", "shuffled", "starved")  # whose `by` is a part
ONLY_VIRTUAL = {  # why a process cannot have it
    "node_slow": "a process's events cannot be charged one by one; `starved` takes CPU away in both clocks",  # noqa: E501
}


class Strict(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename={"lasting": "for"}
):
    """What no file may misspell."""


class Fleet(Strict):
    """`keys`: kept by each cache; `warm`: whether they hold the keys at the start."""

    caches: int = 6
    cores: int = 1
    line: int = 20
    keys: int = 4000
    cold_from: float = 0.2
    cold_s: float = 20.0
    fall_multiple: float = 3.0
    tip_s: float = 1.5
    connections: int = 100
    dial_ms: float = 0.2
    zones: int = 3
    warm: bool = True
    speeds: tuple[float, ...] = (1.0,)  # by turns over the caches
    kinds: tuple[str, ...] = ("std",)  # by turns as well


class Origin(Strict):
    cores: int = 8
    line: int = 40
    work_ms: float = 15.0


class Discovery(Strict):
    """`calls_per_s`: calls for lists that it takes; what is more has 503. 0: no bound."""

    calls_per_s: float = 0.0


class Nodes(Strict):
    """`event_us`: CPU that each event of a node takes, in microseconds of its core. `peer_port`:
    where nodes
    may talk to one another, TCP and UDP; 0: no links between them. `snapshot_s`: how often each
    writes what
    it has learned to a disk that lasts; 0: never. `known`: the list that it is told at its start:
    of
    now, of yesterday (every server in it is gone) or none. `members`: nodes are members of one
    fleet,
    by their peer port."""

    count: int = 1
    sockets: int = 1024
    memory_mb: int = 192
    event_us: float = 0.0
    peer_port: int = 0
    debug: bool = True
    snapshot_s: float = 0.0
    members: bool = False
    known: Literal["now", "yesterday", "none"] = "now"


class Method(Strict):
    name: str
    soft_ms: float = 300.0
    hard_ms: float = 900.0
    gain: float = 1.0
    idempotency: Literal["retryable", "dedup", "fragile"] = "retryable"
    work_ms: float = 2.0
    share: float = 1.0
    write: bool = False
    size: int = 64
    wait_ms: float = 0.0  # how long its clients wait; 0: to the hard deadline
    allowed_on: tuple[str, ...] = ()  # the only kinds of cache, and
    runs_in: tuple[str, ...] = ()  # the only zones (z0, z1, ...) that it may be sent to; none: any


class Traffic(Strict):
    """`rate`: RPCs a second over all nodes. `halving`: of the `fresh` connections, the part that
    closes its
    own way with the RPC. `large`: the part of the keys whose values have `large_kb`;
    `slow_readers`: the part of the connections that read in small pieces, with pauses."""

    rate: float = 200.0
    keys: int = 1000
    skew: float = 0.9
    tries: int = 0
    pause_ms: float = 30.0
    leaving: float = 0.0
    fresh: float = 0.0
    connections: int = 200
    large: float = 0.0
    large_kb: float = 256.0
    slow_readers: float = 0.0
    halving: float = 0.0


class Net(Strict):
    delay_ms: float = 0.3
    jitter_ms: float = 0.1


class Fault(Strict):
    """`for`: seconds that it lasts; 0: to the end. `by`: how strong, where that has a meaning.
    `whom`, `to`:
    names or groups (`lab/groups.py`). `spread`: seconds over which the members of a group are met,
    one after
    the other. `kept`: whether what a cut holds back comes when it ends."""

    at: float
    what: str
    whom: str = ""
    lasting: float = 0.0
    by: float = 0.0
    to: str = ""
    spread: float = 0.0
    kept: bool = True

    @property
    def end(self) -> float:
        return self.at + self.lasting


class Expectation(Strict):
    """One line: FIGURE >= NUMBER [of METHOD] [from S to S | within S s of the end of fault N]."""

    figure: str
    least: bool
    bound: float
    method: str
    since: float
    until: float
    text: str


class _File(Strict):
    name: str
    about: str = ""
    seconds: float = 15.0
    seed: int = 1
    fleet: Fleet = Fleet()
    origin: Origin = Origin()
    discovery: Discovery = Discovery()
    nodes: Nodes = Nodes()
    net: Net = Net()
    method: tuple[Method, ...] = (Method(name="read"),)
    traffic: Traffic = Traffic()
    fault: tuple[Fault, ...] = ()
    expect: tuple[str, ...] = ()


class Experiment(_File, frozen=True):
    """A file that has been checked whole."""

    expected: tuple[Expectation, ...] = ()

    def group(self, n: int, seed: int, to: bool = False) -> list[str]:
        """Whom fault n means, by name, drawn by the run's seed."""
        fault = self.fault[n]
        return members(fault.to if to else fault.whom, *_names(self), seed, 2 * n + to)

    def ways(self, n: int, seed: int) -> list[tuple[str, str]]:
        """The directions of links that fault n means."""
        there, back = self.group(n, seed), self.group(n, seed, True)
        return directions(there, back, _names(self)[0], self.fault[n].what != "half_cut")


def _names(f: _File) -> tuple[list[str], list[str]]:
    """All nodes and all servers, also those that are added."""
    added = dict.fromkeys(x.whom for x in f.fault if x.what == "add")
    servers = dict.fromkeys([*(f"s{i}" for i in range(f.fleet.caches)), *added])
    return [f"n{i}" for i in range(f.nodes.count)], list(servers)


def bound_methods(x: _File) -> dict[str, tuple[tuple[str, ...], tuple[str, ...]]]:
    """By method that is bound: the only kinds and the only zones that it may be sent to."""
    return {m.name: (m.allowed_on, m.runs_in) for m in x.method if m.allowed_on or m.runs_in}


EXPECT = re.compile(
    r"(\w+) (>=|<=) ([\d.]+)(?: of ([\w-]+))?(?: from ([\d.]+) to ([\d.]+)| within ([\d.]+) s of "
    r"the end of fault (\d+))?"
)


def read(text: str, where: str = "experiment") -> Experiment:
    """ValueError says in one line what is wrong, and where."""
    try:
        top = tomllib.loads(text)
        file = msgspec.convert(top, _File)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as fault:
        raise ValueError(f"{where}: {_place(str(fault))}") from None
    for slip in _slips(file):
        raise ValueError(f"{where}: {slip}")
    expected = tuple(_expectation(n, line, file, where) for n, line in enumerate(file.expect))
    return Experiment(
        **{name: getattr(file, name) for name in _File.__struct_fields__}, expected=expected
    )


def load(path: Path) -> Experiment:
    try:
        return read(path.read_text(encoding="utf-8"), str(path))
    except OSError as fault:
        raise ValueError(f"{path}: {fault.strerror}") from None


def _place(text: str) -> str:
    """msgspec's `... - at `$.fault[2].at`` as `fault[2].at: ...`."""
    what, found, path = text.partition(" - at `$")
    return f"{path.strip('`').lstrip('.')}: {what}" if found else text


def _slips(f: _File) -> list[str]:
    found = []

    def bad(place: str, holds: bool, what: str) -> None:
        if not holds:
            found.append(f"{place}: {what}")

    bad(
        "name",
        re.fullmatch(r"[a-z0-9]+(-[a-z0-9]+)+", f.name) is not None,
        "wants subsystem-words, in small letters",
    )
    bad("seconds", 0 < f.seconds <= 3600, "wants more than 0, at most 3600")
    bad("fleet.caches", 1 <= f.fleet.caches <= 500, "wants 1 to 500")
    bad(
        "fleet.speeds",
        bool(f.fleet.speeds) and min(f.fleet.speeds, default=0) > 0,
        "wants figures over 0",
    )
    bad("fleet.cold_from", 0 < f.fleet.cold_from <= 1, "wants more than 0, at most 1")
    bad(
        "fleet.kinds",
        bool(f.fleet.kinds) and "origin" not in f.fleet.kinds,
        "wants names, not origin",
    )
    bad("nodes.count", 1 <= f.nodes.count <= 1000, "wants 1 to 1000")
    kept = f.nodes.snapshot_s
    bad("nodes.members", f.nodes.peer_port > 0 or not f.nodes.members, "wants a peer_port")
    bad("nodes.snapshot_s", kept == 0 or 0.5 <= kept <= 3600, "wants 0, or 0.5 to 3600")
    bad("nodes.sockets", f.nodes.sockets >= 64, "wants 64 or more")
    bad("traffic.rate", f.traffic.rate > 0, "wants more than 0")
    bad("traffic.keys", f.traffic.keys >= 1, "wants 1 or more")
    bad(
        "method",
        len({m.name for m in f.method}) == len(f.method) > 0,
        "wants one at least, each name once",
    )
    for n, m in enumerate(f.method):
        bad(
            f"method[{n}].hard_ms",
            m.hard_ms >= m.soft_ms > 0,
            "wants soft_ms > 0 and no hard_ms under it",
        )
        bad(f"method[{n}].share", m.share >= 0, "wants 0 or more")
    for n, fault in enumerate(f.fault):
        place = f"fault[{n}]"
        bad(f"{place}.what", fault.what in FAULTS, f"'{fault.what}' is none of {', '.join(FAULTS)}")
        bad(
            f"{place}.at", 0 <= fault.at <= f.seconds, f"wants 0 to {f.seconds:g}, the run's length"
        )
        bad(f"{place}.for", fault.lasting >= 0, "wants 0 or more")
        if fault.what in ON_SERVERS and fault.what != "add":
            known = (
                {f"s{i}" for i in range(f.fleet.caches)}
                | {"all"}
                | {x.whom for x in f.fault if x.what == "add"}
            )
            bad(f"{place}.whom", fault.whom in known, f"no server is named '{fault.whom}'")
        if fault.what in ON_NODES:
            known = {f"n{i}" for i in range(f.nodes.count)}
            bad(f"{place}.whom", fault.whom in known, f"no node is named '{fault.whom}'")
        bad(f"{place}.spread", 0 <= fault.spread <= f.seconds, f"wants 0 to {f.seconds:g}")
        if fault.what in PARTS:
            bad(f"{place}.by", 0 <= fault.by < 1, "wants a part, 0 to under 1")
        if fault.what in ON_PROCESSES + ON_LINKS:
            try:
                group = members(fault.whom, *_names(f), f.seed, 2 * n)
                if fault.what in ON_PROCESSES:
                    bad(
                        f"{place}.whom",
                        "clients" not in group,
                        "clients are no process of their own",
                    )
                    fits = fault.what != "reload" or set(group) <= set(_names(f)[0])
                    bad(f"{place}.whom", fits, "only nodes read their file anew")
                    bad(f"{place}.to", not fault.to, f"{fault.what} is no link's")
                else:
                    there = members(fault.to, *_names(f), f.seed, 2 * n + 1)
                    linked = directions(group, there, _names(f)[0], True)
                    bad(
                        f"{place}.to",
                        bool(linked),
                        "no link goes from there to there; one end is a node",
                    )
            except ValueError as fault_:
                bad(f"{place}.whom", False, str(fault_))
        elif fault.to or fault.spread or not fault.kept:
            bad(place, False, f"{fault.what} has no `to`, `spread` or `kept`")
        if fault.what == "restart" and any(other.what == "node_upgrade" for other in f.fault):
            bad(
                f"{place}.whom",
                False,
                "no restart beside a node_upgrade: its socket outlasts its processes",
            )
        if fault.what in ("node_kill", "node_leave"):
            # Nobody would hear what waits at a socket that outlasts its processes.
            replaced = any(
                other.what == "node_upgrade" and other.whom == fault.whom for other in f.fault
            )
            bad(f"{place}.whom", not replaced, f"'{fault.whom}' is replaced by node_upgrade")
    return found


def _expectation(n: int, text: str, f: _File, where: str) -> Expectation:
    match = EXPECT.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{where}: expect[{n}]: '{text}' is not FIGURE >= NUMBER [of METHOD] [from S to S | "
            "within S s of the end of fault N]"
        )
    figure, sign, bound, method, since, until, within, fault = match.groups()
    if figure not in FIGURES:
        raise ValueError(f"{where}: expect[{n}]: '{figure}' is none of {', '.join(FIGURES)}")
    if figure in OF_MEMBERS and not f.nodes.members:
        raise ValueError(f"{where}: expect[{n}]: '{figure}' wants nodes.members")
    if method and method not in {m.name for m in f.method}:
        raise ValueError(f"{where}: expect[{n}]: no method is named '{method}'")
    if within is not None:
        if int(fault) >= len(f.fault):
            raise ValueError(f"{where}: expect[{n}]: there is no fault {fault}; they count from 0")
        since, until = f.fault[int(fault)].end + float(within), f.seconds  # from then on
    return Expectation(
        figure=figure,
        least=sign == ">=",
        bound=float(bound),
        method=method or "",
        since=float(since or 0.0),
        until=float(until or f.seconds),
        text=text,
    )
