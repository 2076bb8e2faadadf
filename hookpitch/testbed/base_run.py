"""What a run in virtual time (`run.py`) and one on real processes (`process_run.py`) share.

`BaseRun` holds a run's state and what both clocks do alike: what nodes, cache servers and the
origin are configured with, the load clients, the judge's rules. What each clock does its own way
is declared here and raises `NotImplementedError`. Times in ms unless a name says otherwise.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from hookpitch.core.counters import Counters
from hookpitch.fakes.cache import CacheSpec
from hookpitch.fakes.discovery import EndpointDirectory
from hookpitch.fakes.history import History
from hookpitch.fakes.load_clients import LoadClients
from hookpitch.fakes.misbehaving_clients import MisbehavingClients
from hookpitch.fakes.origin import OriginSpec
from hookpitch.fakes.traffic import ClientBehavior, ClientMethod, KeyDistribution
from hookpitch.testbed.experiment_schema import Experiment, Method, placement_by_method
from hookpitch.testbed.links import Impairment
from hookpitch.testbed.rules import REUSE_WITHIN_MS, TOLERANCE_MS, Rules, Violation

NODE_PORT = 6379
CACHE_PORT = 6379
CLOSED_PORT = 9
SETTLE_S = 2.0  # after the last RPC was asked, before the run ends
# A node with fewer descriptors closes new connections unread while all of its sockets are busy.
SOCKETS_FOR_ALL = 256


@dataclass(slots=True)
class RunResult:
    """What came of a run."""

    experiment: Experiment
    seed: int
    history: History
    violations: list[Violation]
    logs: list[tuple[float, str, str]]
    counters: dict[str, dict[str, int]]
    program_errors: list[str]  # what programs raised
    event_count: int
    real_s: float
    misbehaving_kept_ms: list[float] = field(default_factory=list)
    connection_limit_hits: int = 0
    # Why the run could not be judged: the testbed fell behind.
    void_reasons: list[str] = field(default_factory=list)
    # How late each of the testbed's processes was, in ms.
    lateness_ms: dict[str, float] = field(default_factory=dict)


class BaseRun:
    """One run of one experiment with one seed, in either clock."""

    begun = 0.0  # the run's start on its reactors' clock, in seconds
    crowd: LoadClients
    nodes: dict[str, Any]

    def __init__(self, experiment: Experiment, seed: int, network: Any) -> None:
        """`network`: schedules calls; the simulated network, or the wall clock on loopback."""
        self.experiment = experiment
        self.seed = seed
        self.network = network
        self.history = History()
        self.logs: list[tuple[float, str, str]] = []  # in ms, node, text
        self.chance = random.Random(seed * 7919 + 1)
        self.directory = EndpointDirectory()
        self.counters: dict[str, dict[str, int]] = {}
        self.addresses: dict[str, str] = {}  # of servers, by name
        self.names: dict[str, str] = {}  # of nodes, by address
        self.rudes: list[MisbehavingClients] = []
        self.keys = KeyDistribution(experiment.traffic.keys, experiment.traffic.skew)
        self.drained: dict[str, None] = {}  # nodes that an operator has paused

    def now(self) -> float:
        """Time since the run's start, in ms."""
        return self.network.now * 1000

    # ---- what a clock does its own way

    def order(self, name: str, what: str, *args: Any) -> None:
        """Give a fake server an order (`fakes/control_commands.py`)."""
        raise NotImplementedError

    def kill(self, name: str) -> bool:
        """Kill the process of a fake server; False where none runs."""
        raise NotImplementedError

    def begin(self, name: str) -> None:
        """Start a fake server that is dead under its name and address: a cache server cold,
        discovery with versions from the start."""
        raise NotImplementedError

    def stall(self, name: str, seconds: float) -> None:
        """Stop a process for so many seconds."""
        raise NotImplementedError

    def vanish(self, name: str, gone: bool) -> None:
        """A server's machine leaves the network, or is back."""
        raise NotImplementedError

    def impair(
        self, ways: Iterable[tuple[str, str]], by: object, impairment: Impairment | None
    ) -> None:
        """Put what `by` does on some directions; None takes it off."""
        raise NotImplementedError

    def sever(self, ways: Iterable[tuple[str, str]]) -> None:
        """Reset all connections of some directions."""
        raise NotImplementedError

    def add_server(self, name: str, cold: bool) -> None:
        """A server new to the list."""
        raise NotImplementedError

    def call(self, node: str, line: str, kind: str = "", what: str = "") -> None:
        """Send an admin command to a node; where it agrees, `kind` goes into the history."""
        raise NotImplementedError

    def called(self, node: str, line: str, yes: bool, kind: str, what: str) -> None:
        """Record the answer to an operator's call."""
        if not yes:
            return
        if kind:
            self.history.add(self.now(), kind, node, what=what)
        elif line == "PAUSE":
            self.drained[node] = None
        elif line == "RESUME":
            self.drained.pop(node, None)

    # ---- what both share

    def dial(self, name: str) -> str:
        """Where a server is dialled, as discovery has it."""
        return f"{self.addresses[name]}:{CACHE_PORT}"

    def clients(self, reactor: Any, begun: float) -> LoadClients:
        """The load clients, for all nodes."""
        t = self.experiment.traffic
        kinds = [
            ClientMethod(m.name, m.share, m.wait_ms or m.hard_ms, m.write, m.size)
            for m in self.experiment.method
        ]
        manner = ClientBehavior(
            t.tries, t.pause_ms, t.leaving, t.fresh, t.connections, t.slow_readers, t.halving
        )
        dials = {name: self.client_dial(node) for name, node in self.nodes.items()}
        return LoadClients(
            reactor, self.history, self.seed, dials, kinds, self.keys, t.rate, manner, begun
        )

    def client_dial(self, node: Any) -> tuple[str, int]:
        """Where clients dial a node."""
        return node.address, NODE_PORT

    def make(self, n: int) -> CacheSpec:
        """Of the server with number n."""
        f = self.experiment.fleet
        work = {m.name: m.work_ms for m in self.experiment.method}
        return CacheSpec(
            f.cores,
            f.line,
            work,
            1.0,
            f.keys,
            f.speeds[n % len(f.speeds)],
            f.cold_from,
            f.cold_s * 1000,
            f.fall_multiple,
            f.tip_s * 1000,
            f.connections,
            connect_work_ms=f.dial_ms,
        )

    def origin_make(self) -> OriginSpec:
        """What the origin is made with."""
        return OriginSpec(
            self.experiment.origin.cores,
            self.experiment.origin.line,
            self.experiment.origin.work_ms,
        )

    def size_of(self, key: str) -> int:
        """Bytes of a key's value; 0 for a small one."""
        t = self.experiment.traffic
        return int(t.large_kb * 1024) if crc32(key.encode()) % 1000 < 1000 * t.large else 0

    def list_server(self, name: str, cold: bool) -> None:
        """Have discovery list a server as in service."""
        n = list(self.addresses).index(name)
        zone = n % self.experiment.fleet.zones
        born = (self.network.epoch * 1000 + self.now()) if cold else 0.0
        kind = self.experiment.fleet.kinds[n % len(self.experiment.fleet.kinds)]
        self.history.add(self.now(), "place", name, what=f"{kind} z{zone}")
        self.order(
            "discovery", "put", name, self.dial(name), kind, f"z{zone}", n, "in_service", 1.0, born
        )

    def node_config(self, node: Any, discovery: str, net: str = "") -> dict[str, Any]:
        """A node's configuration as the platform's JSON; `net`: its loopback network, which fills
        in the addresses that discovery lists."""
        experiment = self.experiment
        return {
            "name": node.name,
            "listen": f"{node.address}:{NODE_PORT}",
            "discovery": discovery,
            "seed": self.seed * 1000 + len(self.nodes) * node.starts + int(node.name[1:]),
            "limits": {
                "memory_mb": experiment.nodes.memory_mb,
                "sockets": experiment.nodes.sockets,
            },
            "known": self._known_list(net),
            "settings": self._node_settings(),
        }

    def _known_list(self, net: str) -> dict[str, Any]:
        """The list in a node's configuration: the present one, an outdated one or none."""
        known = self.experiment.nodes.known
        sequence, listed = self.directory.snapshot()
        hosts = [host.to_json(net) for host in listed] if known != "none" else []
        if known == "yesterday":
            hosts = [_outdated(host) for host in hosts if host["class"] != "origin"]
        return {"seq": sequence if known == "now" else 0, "whole": True, "hosts": hosts}

    def _node_settings(self) -> dict[str, Any]:
        fleet = self.experiment.fleet
        kinds = list(dict.fromkeys(fleet.kinds))
        return {
            "balancers": self.experiment.nodes.count,
            "methods": [_method_settings(method) for method in self.experiment.method],
            "host_types": [*kinds, "origin"],
            "family_info": {"mode": "aside", "origin_kind": len(kinds)},
            "limits": {
                "most_transmissions": 3,
                "cancelling": True,
                "dial_timeout_s": 0.25,
                "conn_idle_s": 60.0,
            },
            "rules": {
                "cold_from": fleet.cold_from,
                "cold_s": fleet.cold_s,
                "tip_after_s": fleet.tip_s,
                "ask_within_s": 10.0,
                "overload_factor": fleet.fall_multiple,
            },
            "tick_s": 0.001,
        }

    def config_text(self, node: Any, config: dict[str, Any], malformed: int) -> str:
        """A node's configuration file, with other settings at each second reload; `malformed`, from
        1: in one of the forms that no node may accept."""
        if not malformed:
            node.reloads += 1
        if node.reloads % 2:
            config["settings"] |= {"weights": "live"}
            config["settings"]["limits"]["dial_timeout_s"] = 0.3
            config["settings"]["methods"][0]["hard_deadline_s"] += 0.1
        text = json.dumps(config)
        if not malformed:
            return text
        no_methods = json.dumps(config | {"settings": {"methods": []}})
        forms = (text[: len(text) // 2], "[]", "{}", no_methods)
        return forms[(malformed - 1) % len(forms)]

    def rules(self) -> Rules:
        """What the judge allows this run."""
        x = self.experiment
        return Rules(
            retriable={m.name: m.idempotency == "retryable" for m in x.method},
            # With fewer keys than caches, a node has no use for each of them.
            reuse_within_ms=float("inf") if x.traffic.keys < x.fleet.caches else REUSE_WITHIN_MS,
            has_descriptors_for_all_clients=x.nodes.sockets >= SOCKETS_FOR_ALL,
            placement=placement_by_method(x),
            # What is on a longer way was sent so much earlier.
            tolerance_ms=TOLERANCE_MS
            + sum(f.by or 20.0 for f in x.fault if f.what in ("lag", "far")),
        )

    def counted(self, node: Any, counters: Counters) -> None:
        """A process of the node has ended; what it counted is added to what those before it did."""
        mine = self.counters.setdefault(node.name, {})
        for name, count in counters.counts.items():
            mine[name] = mine.get(name, 0) + count

    def span(self) -> float:
        """Seconds from the last RPC to the run's end."""
        return max(m.hard_ms for m in self.experiment.method) / 1000 + SETTLE_S

    def invariants(self) -> list[Violation]:
        """What the nodes' own counters tell of them."""
        return [
            Violation("invariant", self.now(), "", f"{name}: {counter} {mine[counter]} times")
            for name, mine in self.counters.items()
            for counter in sorted(mine)
            if counter.startswith("broken.") or counter == "faults"
        ]

    def ended(self, broken: list[Violation], events: int, real_s: float, **rig: Any) -> RunResult:
        """The run's result."""
        kept = [ms for rudes in self.rudes for ms in rudes.lifetimes_ms]
        return RunResult(
            self.experiment,
            self.seed,
            self.history,
            broken + self.invariants(),
            self.logs,
            self.counters,
            self.network.program_errors,
            events,
            real_s,
            kept,
            self.crowd.connection_limit_hits,
            **rig,
        )


def _method_settings(method: Method) -> dict[str, Any]:
    return {
        "name": method.name,
        "soft_deadline_s": method.soft_ms / 1000,
        "hard_deadline_s": method.hard_ms / 1000,
        "gain": method.gain,
        "idempotency": method.idempotency,
        "allowed_on": list(method.allowed_on),
        "runs_in": list(method.runs_in),
    }


def _outdated(host: dict[str, Any]) -> dict[str, Any]:
    """A listed server as one that is gone: another name, and a port where nobody listens."""
    address = host["dial"].rpartition(":")[0]
    return host | {"host": f"y{host['host']}", "dial": f"{address}:{CLOSED_PORT}"}
