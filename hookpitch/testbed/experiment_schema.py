"""The schema of an experiment file: fleet, nodes, methods, traffic, faults, expectations.

msgspec decodes a file into these frozen types, whose fields are the keys of the file. Times are in
milliseconds where the name ends in `_ms`, and in seconds otherwise.
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
# Available only if `nodes.members` is set.
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
# The fuzzer draws the kinds in this order, and error messages list them in it.
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
SHARE_FAULTS = ("lossy", "doubled", "shuffled", "starved")  # the `by` of these is a fraction
# By kind: why a run on processes cannot have this fault.
VIRTUAL_ONLY = {
    "node_slow": (
        "a process's events cannot be charged one by one; `starved` takes CPU away in both clocks"
    ),
}


class StrictTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename={"lasting": "for"}
):
    """A table of the file; an unknown key in it is an error.

    The key `for`, a keyword of Python, is the field `lasting`.
    """


class Fleet(StrictTable):
    """The cache servers."""

    caches: int = 6
    cores: int = 1
    line: int = 20  # RPCs that can wait at a server
    keys: int = 4000  # keys that a server can hold
    cold_from: float = 0.2  # the fraction of its speed at which a cold server starts
    cold_s: float = 20.0  # the time until a cold server has its full speed
    # A cold server counts as crashed when its load is above this multiple of its capacity.
    fall_multiple: float = 3.0
    tip_s: float = 1.5  # the time over which the load of a cold server is measured
    connections: int = 100  # connections that a server accepts
    dial_ms: float = 0.2  # CPU time of a new connection
    zones: int = 3
    warm: bool = True  # whether servers hold the most popular keys at the start
    speeds: tuple[float, ...] = (1.0,)  # assigned to the servers in rotation
    kinds: tuple[str, ...] = ("std",)  # server types, also assigned in rotation


class Origin(StrictTable):
    """The origin."""

    cores: int = 8
    line: int = 40  # fetches that can wait
    work_ms: float = 15.0  # CPU time of a fetch


class Discovery(StrictTable):
    """The discovery server."""

    calls_per_s: float = 0.0  # requests above this rate are answered 503; 0: no limit


class Nodes(StrictTable):
    """The nodes."""

    count: int = 1
    sockets: int = 1024  # descriptors of a node
    memory_mb: int = 192
    event_us: float = 0.0  # CPU time of each event of a node, in microseconds
    # The port at which nodes reach one another by TCP and UDP; 0: there are no links between nodes.
    peer_port: int = 0
    debug: bool = True  # whether node processes run with assertions enabled
    # The interval at which a node writes a snapshot to a disk that outlives it; 0: never.
    snapshot_s: float = 0.0
    members: bool = False  # whether the nodes are members of one fleet
    # The endpoint list in a node's configuration when it starts: the current one, an outdated one
    # whose servers are all gone, or none.
    known: Literal["now", "yesterday", "none"] = "now"


class Method(StrictTable):
    """One RPC method."""

    name: str
    soft_ms: float = 300.0  # the soft deadline
    hard_ms: float = 900.0  # the hard deadline
    gain: float = 1.0
    idempotency: Literal["retryable", "dedup", "fragile"] = "retryable"
    work_ms: float = 2.0  # CPU time of an RPC at a cache server
    share: float = 1.0  # the weight with which clients choose this method
    write: bool = False
    size: int = 64  # bytes of the value of a write
    wait_ms: float = 0.0  # how long clients wait for the answer; 0: until the hard deadline
    allowed_on: tuple[str, ...] = ()  # the only server types for its RPCs; empty: any
    runs_in: tuple[str, ...] = ()  # the only zones (z0, z1, ...) for its RPCs; empty: any


class Traffic(StrictTable):
    """The load; fractions are between 0 and 1."""

    rate: float = 200.0  # RPCs per second over all nodes
    keys: int = 1000
    skew: float = 0.9  # the exponent of the power law of the keys' popularity
    tries: int = 0  # retries of an RPC that is not completed
    pause_ms: float = 30.0  # the delay before a retry
    leaving: float = 0.0  # the fraction of RPCs whose client closes its connection early
    fresh: float = 0.0  # the fraction of RPCs that have their own connection
    connections: int = 200  # the most open connections to one node
    large: float = 0.0  # the fraction of keys that have a large value
    large_kb: float = 256.0  # the size of a large value
    slow_readers: float = 0.0  # the fraction of connections that read in small pieces, with pauses
    halving: float = 0.0  # the fraction of `fresh` connections that half-close after the request


class Net(StrictTable):
    """The delay of every link."""

    delay_ms: float = 0.3
    jitter_ms: float = 0.1  # the maximum of the random part, in addition to the delay


class Fault(StrictTable):
    """One fault; `faults.py` says what each kind does."""

    at: float  # seconds of the run
    what: str  # the kind
    whom: str = ""  # the target: a name, or a group as described in `groups.py`
    # The key `for` of the file, in seconds. With 0, a fault lasts until the end of the run or, if
    # `faults.py` states a default for its kind, for that time.
    lasting: float = 0.0
    by: float = 0.0  # the strength, of kinds that have one; 0: the kind's default
    to: str = ""  # the other end of the links, a name or a group
    spread: float = 0.0  # the time over which the members of a group are affected, one by one
    kept: bool = True  # whether data that a cut blocks is delivered when the cut ends

    @property
    def end(self) -> float:
        """When the fault ends, in seconds of the run; equal to `at` if `lasting` is 0."""
        return self.at + self.lasting


class Expectation(StrictTable):
    """One line of the form that `experiment.EXPECTATION` matches."""

    figure: str
    least: bool  # whether `bound` is a minimum; if not, it is a maximum
    bound: float
    method: str  # empty: all methods
    since: float
    until: float
    text: str  # the line in the file


class ExperimentFile(StrictTable):
    """A whole file, decoded but not validated."""

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
    """A whole file that has been validated, and its parsed expectations."""

    expected: tuple[Expectation, ...] = ()

    def group(self, number: int, seed: int, is_other_end: bool = False) -> list[str]:
        """Return the names of a fault's targets, or of the group at the other end of its links.

        `number` is the fault's index, and `seed` the run's seed, with which a group is drawn.
        """
        fault = self.fault[number]
        names = fleet_names(self)
        text = fault.to if is_other_end else fault.whom
        return group_members(
            text, names.nodes, names.servers, seed, group_draw_id(number, is_other_end)
        )

    def directions(self, number: int, seed: int) -> list[tuple[str, str]]:
        """Return the directions of links that a fault affects."""
        targets = self.group(number, seed)
        other_end = self.group(number, seed, is_other_end=True)
        both_ways = self.fault[number].what != "half_cut"
        return directions(targets, other_end, fleet_names(self).nodes, both_ways)


class FleetNames(NamedTuple):
    """All nodes and servers of an experiment, including those that are added during the run."""

    nodes: list[str]
    servers: list[str]


def fleet_names(file: ExperimentFile) -> FleetNames:
    """Return the names that faults may use."""
    added = dict.fromkeys(fault.whom for fault in file.fault if fault.what == "add")
    servers = dict.fromkeys([*(f"s{index}" for index in range(file.fleet.caches)), *added])
    return FleetNames([f"n{index}" for index in range(file.nodes.count)], list(servers))


def group_draw_id(number: int, is_other_end: bool) -> int:
    """Return a number that is different for each end of each fault, to draw its group with."""
    return 2 * number + is_other_end


def placement_by_method(
    file: ExperimentFile,
) -> dict[str, tuple[tuple[str, ...], tuple[str, ...]]]:
    """Return the only server types and zones of each method that has such a constraint."""
    return {
        method.name: (method.allowed_on, method.runs_in)
        for method in file.method
        if method.allowed_on or method.runs_in
    }
