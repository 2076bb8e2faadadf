"""The form of an experiment's file: fleet, nodes, methods, traffic, faults, expectations.

msgspec decodes a file into these frozen types; their fields are the names in the file. Times are
seconds where a name says `_s` or nothing, and milliseconds where it says `_ms`.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

import msgspec

from hookpitch.testbed.groups import directions, group_members

RUN_FIGURES = (
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
)
# Only where nodes are members.
MEMBER_FIGURES = ("called_dead", "found_s", "agreed_s", "views_wrong", "turns", "lists_taken")
FIGURES = RUN_FIGURES + MEMBER_FIGURES

LASTING_SERVER_FAULTS = (
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
)
OTHER_FAULTS = (
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
)
LINK_FAULTS = (
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
)
PROCESS_FAULTS = ("stall", "starved", "restart", "reload")
# The order is that in which a fuzz draws and error texts list them.
FAULTS = LASTING_SERVER_FAULTS + OTHER_FAULTS + LINK_FAULTS + PROCESS_FAULTS
SERVER_FAULTS = (*LASTING_SERVER_FAULTS, "suspend", "pieces")
NODE_FAULTS = (
    "node_kill",
    "node_leave",
    "node_pause",
    "node_slow",
    "node_drain",
    "node_upgrade",
)
SHARE_FAULTS = ("lossy", "doubled", "shuffled", "starved")  # whose `by` is a share
VIRTUAL_ONLY = {  # why a process cannot have it
    "node_slow": (
        "a process's events cannot be charged one by one; `starved` takes CPU away in both clocks"
    ),
}


class StrictTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename={"lasting": "for"}
):
    """A table of the file: an unknown field is an error."""


class Fleet(StrictTable):
    """The cache servers. `line`: RPCs that wait at one; `keys`: kept by each; `warm`: whether they
    hold the keys at the start."""

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


class Origin(StrictTable):
    """The origin. `line`: fetches that wait at it; `work_ms`: CPU time of one."""

    cores: int = 8
    line: int = 40
    work_ms: float = 15.0


class Discovery(StrictTable):
    """`calls_per_s`: polls that it answers; what is more gets 503. 0: no bound."""

    calls_per_s: float = 0.0


class Nodes(StrictTable):
    """The nodes.

    `event_us`: CPU that each event of a node takes, in microseconds. `peer_port`: where nodes
    reach one another, TCP and UDP; 0: no links between them. `snapshot_s`: how often each writes a
    snapshot to a disk that outlasts it; 0: never. `known`: the list in its configuration at its
    start: the present one, yesterday's (every server in it is gone) or none. `members`: nodes are
    members of one fleet, by their peer port.
    """

    count: int = 1
    sockets: int = 1024
    memory_mb: int = 192
    event_us: float = 0.0
    peer_port: int = 0
    debug: bool = True
    snapshot_s: float = 0.0
    members: bool = False
    known: Literal["now", "yesterday", "none"] = "now"


class Method(StrictTable):
    """One RPC method. `wait_ms`: how long its clients wait; 0: to the hard deadline. `allowed_on`,
    `runs_in`: the only kinds of cache and the only zones (z0, z1, ...) that it may be sent to;
    none: any."""

    name: str
    soft_ms: float = 300.0
    hard_ms: float = 900.0
    gain: float = 1.0
    idempotency: Literal["retryable", "dedup", "fragile"] = "retryable"
    work_ms: float = 2.0
    share: float = 1.0
    write: bool = False
    size: int = 64
    wait_ms: float = 0.0
    allowed_on: tuple[str, ...] = ()
    runs_in: tuple[str, ...] = ()


class Traffic(StrictTable):
    """The load. `rate`: RPCs a second over all nodes. `fresh`, `leaving`: shares of connections
    that are new and of clients that leave early; `halving`: of the fresh connections, the share
    that half-closes with the RPC. `large`: the share of keys whose values have `large_kb`;
    `slow_readers`: the share of connections that read in small pieces, with pauses."""

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


class Net(StrictTable):
    """Every link's own delay, and the most that is added at random."""

    delay_ms: float = 0.3
    jitter_ms: float = 0.1


class Fault(StrictTable):
    """One fault on the time line.

    `for`: seconds that it lasts; 0: to the end. `by`: its strength, where it has one. `whom`, `to`:
    names or groups (`groups.py`). `spread`: seconds over which the members of a group meet it, one
    after the other. `kept`: whether what a cut holds back is delivered when it ends.
    """

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
        """When it ends, in seconds of the run."""
        return self.at + self.lasting


class Expectation(StrictTable):
    """One line: FIGURE >= NUMBER [of METHOD] [from S to S | within S s of the end of fault N]."""

    figure: str
    least: bool
    bound: float
    method: str
    since: float
    until: float
    text: str


class ExperimentFile(StrictTable):
    """The whole file, decoded but not checked."""

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


class Experiment(ExperimentFile, frozen=True):
    """A file that has been checked whole."""

    expected: tuple[Expectation, ...] = ()

    def group(self, number: int, seed: int, to: bool = False) -> list[str]:
        """Whom a fault means, by name, drawn by the run's seed; `to`: at its links' other side."""
        fault = self.fault[number]
        names = fleet_names(self)
        text = fault.to if to else fault.whom
        return group_members(text, names.nodes, names.servers, seed, group_draw_id(number, to))

    def directions(self, number: int, seed: int) -> list[tuple[str, str]]:
        """The directions of links that a fault means."""
        here = self.group(number, seed)
        there = self.group(number, seed, to=True)
        both = self.fault[number].what != "half_cut"
        return directions(here, there, fleet_names(self).nodes, both)


class FleetNames(NamedTuple):
    """All nodes and all servers of an experiment, also those that are added during the run."""

    nodes: list[str]
    servers: list[str]


def fleet_names(file: ExperimentFile) -> FleetNames:
    """The names that faults may use."""
    added = dict.fromkeys(fault.whom for fault in file.fault if fault.what == "add")
    servers = dict.fromkeys([*(f"s{n}" for n in range(file.fleet.caches)), *added])
    return FleetNames([f"n{n}" for n in range(file.nodes.count)], list(servers))


def group_draw_id(number: int, to: bool) -> int:
    """What a group is drawn by beside the seed: the fault's number and which side of it."""
    return 2 * number + to


def placement_by_method(
    file: ExperimentFile,
) -> dict[str, tuple[tuple[str, ...], tuple[str, ...]]]:
    """By method that is bound: the only kinds and the only zones that it may be sent to."""
    return {m.name: (m.allowed_on, m.runs_in) for m in file.method if m.allowed_on or m.runs_in}
