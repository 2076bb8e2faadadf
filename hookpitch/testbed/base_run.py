"""The common part of a run in virtual time (`run.py`) and on real processes (`process_run.py`).

A run uses one of two clocks: virtual time, or the wall clock for real processes. `BaseRun` holds
the state of a run and what is the same in both clocks: the configurations of nodes, cache servers
and the origin, the load clients, and the judge's rules. Methods whose implementation depends on the
clock are declared here and raise `NotImplementedError`. Times are in ms unless a name says
otherwise.
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
CLOSED_PORT = 9  # nothing listens here
SETTLE_S = 2.0  # time from the hard deadline of the last RPC to the end of the run
# A node with fewer descriptors closes new connections without reading from them while all of its
# sockets are busy.
MIN_SOCKETS_FOR_ALL_CLIENTS = 256


@dataclass(slots=True)
class RunResult:
    """The result of a run."""

    experiment: Experiment
    seed: int
    history: History
    violations: list[Violation]
    logs: list[tuple[float, str, str]]  # time in ms, node, text
    counters: dict[str, dict[str, int]]  # by node: the sums over all its processes
    program_errors: list[str]  # exceptions that programs did not catch
    event_count: int
    real_s: float  # how long the run took
    # How long each connection of a misbehaving client was kept open.
    misbehaving_lifetimes_ms: list[float] = field(default_factory=list)
    connection_limit_hits: int = 0  # RPCs not sent because of the limit of client connections
    # Why the verdict is void, for example because the test environment was late.
    void_reasons: list[str] = field(default_factory=list)
    # How late each process of the test environment was at worst.
    lateness_ms: dict[str, float] = field(default_factory=dict)


class BaseRun:
    """One run of one experiment with one seed, in either clock."""

    started_at = 0.0  # the start of the run on its reactors' clock, in seconds
    load_clients: LoadClients
    nodes: dict[str, Any]

    def __init__(self, experiment: Experiment, seed: int, network: Any) -> None:
        """Prepare a run.

        `network` schedules calls: it is the simulated network, or the wall clock on loopback.
        """
        self.experiment = experiment
        self.seed = seed
        self.network = network
        self.history = History()
        self.logs: list[tuple[float, str, str]] = []  # time in ms, node, text
        self.rng = random.Random(seed * 7919 + 1)
        self.directory = EndpointDirectory()
        self.counters: dict[str, dict[str, int]] = {}
        self.addresses: dict[str, str] = {}  # of cache servers, by name
        self.node_names: dict[str, str] = {}  # of nodes, by address or, on loopback, by subnet
        self.misbehaving_clients: list[MisbehavingClients] = []
        self.keys = KeyDistribution(experiment.traffic.keys, experiment.traffic.skew)
        self.drained_nodes: dict[str, None] = {}  # nodes that have accepted PAUSE

    def now(self) -> float:
        """Return the time since the start of the run, in ms."""
        return self.network.now * 1000

    # ---- implemented for each clock

    def send_command(self, name: str, command: str, *args: Any) -> None:
        """Send a fake server a command of `fakes/control_commands.py`."""
        raise NotImplementedError

    def kill(self, name: str) -> bool:
        """Kill the process of a fake server; return False if none runs."""
        raise NotImplementedError

    def start_server(self, name: str) -> None:
        """Start a killed fake server again under its name and address.

        A cache server starts cold, and discovery with its first version.
        """
        raise NotImplementedError

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process for a number of seconds."""
        raise NotImplementedError

    def set_detached(self, name: str, is_detached: bool) -> None:
        """Detach a server's machine from the network, or attach it again."""
        raise NotImplementedError

    def impair(
        self, directions: Iterable[tuple[str, str]], owner: object, impairment: Impairment | None
    ) -> None:
        """Set the impairment that `owner`, a fault, applies to directions; None removes it.

        A direction is a source and a destination, by name.
        """
        raise NotImplementedError

    def sever(self, directions: Iterable[tuple[str, str]]) -> None:
        """Reset all connections between the two ends of each direction."""
        raise NotImplementedError

    def add_server(self, name: str, cold: bool) -> None:
        """Start a new cache server and have discovery list it."""
        raise NotImplementedError

    def run_admin_command(
        self, node: str, command: str, event_kind: str = "", server: str = ""
    ) -> None:
        """Send an admin command to a node and record its answer.

        If the node accepts it, an event of `event_kind` about `server` is added to the history.
        """
        raise NotImplementedError

    def record_admin_answer(
        self, node: str, command: str, is_yes: bool, event_kind: str, server: str
    ) -> None:
        """Record whether a node has accepted an admin command."""
        if not is_yes:
            return
        if event_kind:
            self.history.add(self.now(), event_kind, node, what=server)
        elif command == "PAUSE":
            self.drained_nodes[node] = None
        elif command == "RESUME":
            self.drained_nodes.pop(node, None)

    # ---- the same in both clocks

    def listed_address(self, name: str) -> str:
        """Return a cache server's address as discovery lists it."""
        return f"{self.addresses[name]}:{CACHE_PORT}"

    def create_load_clients(self, reactor: Any, started_at: float) -> LoadClients:
        """Return the load clients, which use all nodes."""
        traffic = self.experiment.traffic
        methods = [
            ClientMethod(
                method.name,
                method.share,
                method.wait_ms or method.hard_ms,
                method.write,
                method.size,
            )
            for method in self.experiment.method
        ]
        behavior = ClientBehavior(
            traffic.tries,
            traffic.pause_ms,
            traffic.leaving,
            traffic.fresh,
            traffic.connections,
            traffic.slow_readers,
            traffic.halving,
        )
        addresses = {name: self.address_for_clients(node) for name, node in self.nodes.items()}
        return LoadClients(
            reactor,
            self.history,
            self.seed,
            addresses,
            methods,
            self.keys,
            traffic.rate,
            behavior,
            started_at,
        )

    def address_for_clients(self, node: Any) -> tuple[str, int]:
        """Return the address at which clients connect to a node."""
        return node.address, NODE_PORT

    def cache_spec(self, index: int) -> CacheSpec:
        """Return the specification of the cache server with this index."""
        fleet = self.experiment.fleet
        work_ms = {method.name: method.work_ms for method in self.experiment.method}
        return CacheSpec(
            fleet.cores,
            fleet.line,
            work_ms,
            1.0,
            fleet.keys,
            fleet.speeds[index % len(fleet.speeds)],
            fleet.cold_from,
            fleet.cold_s * 1000,
            fleet.fall_multiple,
            fleet.tip_s * 1000,
            fleet.connections,
            connect_work_ms=fleet.dial_ms,
        )

    def origin_spec(self) -> OriginSpec:
        """Return the specification of the origin."""
        return OriginSpec(
            self.experiment.origin.cores,
            self.experiment.origin.line,
            self.experiment.origin.work_ms,
        )

    def size_of(self, key: str) -> int:
        """Return the minimum size of a key's value in bytes; 0 for a small value."""
        traffic = self.experiment.traffic
        return (
            int(traffic.large_kb * 1024) if crc32(key.encode()) % 1000 < 1000 * traffic.large else 0
        )

    def list_server(self, name: str, cold: bool) -> None:
        """Have discovery list a cache server as in service."""
        index = list(self.addresses).index(name)
        zone = index % self.experiment.fleet.zones
        born_ms = (self.network.epoch * 1000 + self.now()) if cold else 0.0
        kind = self.experiment.fleet.kinds[index % len(self.experiment.fleet.kinds)]
        self.history.add(self.now(), "place", name, what=f"{kind} z{zone}")
        self.send_command(
            "discovery",
            "put",
            name,
            self.listed_address(name),
            kind,
            f"z{zone}",
            index,
            "in_service",
            1.0,
            born_ms,
        )

    def node_config(self, node: Any, discovery: str, net: str = "") -> dict[str, Any]:
        """Return a node's configuration in the platform's JSON form.

        `net` is the node's loopback subnet, which replaces `{net}` in the listed addresses.
        """
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
        """Return the endpoint list in a node's configuration: current, outdated or empty."""
        known = self.experiment.nodes.known
        sequence, endpoints = self.directory.snapshot()
        hosts = [endpoint.to_json(net) for endpoint in endpoints] if known != "none" else []
        if known == "yesterday":
            hosts = [_outdated_host(host) for host in hosts if host["class"] != "origin"]
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
        """Return the text of a node's configuration file for a reload.

        Every second reload changes some settings, and the next one changes them back. `malformed`
        from 1 selects a form that a node must reject: truncated, not an object, an empty object, or
        without methods.
        """
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
        """Return the judge's rules for this run."""
        experiment = self.experiment
        return Rules(
            retriable={
                method.name: method.idempotency == "retryable" for method in experiment.method
            },
            # With fewer keys than caches, a node does not need all caches.
            reuse_within_ms=float("inf")
            if experiment.traffic.keys < experiment.fleet.caches
            else REUSE_WITHIN_MS,
            has_descriptors_for_all_clients=(
                experiment.nodes.sockets >= MIN_SOCKETS_FOR_ALL_CLIENTS
            ),
            placement=placement_by_method(experiment),
            # Data that arrives over a link with an additional delay was sent earlier by this delay.
            tolerance_ms=TOLERANCE_MS
            + sum(fault.by or 20.0 for fault in experiment.fault if fault.what in ("lag", "far")),
        )

    def add_counters(self, node: Any, counters: Counters) -> None:
        """Add the counters of a process that has ended to the sums of its node."""
        totals = self.counters.setdefault(node.name, {})
        for name, count in counters.counts.items():
            totals[name] = totals.get(name, 0) + count

    def settling_time_s(self) -> float:
        """Return the seconds from the last RPC to the end of the run."""
        return max(method.hard_ms for method in self.experiment.method) / 1000 + SETTLE_S

    def counter_violations(self) -> list[Violation]:
        """Return a violation for each counter of a node that counts internal errors."""
        return [
            Violation(
                "invariant", self.now(), "", f"{name}: counter {counter} is {counts[counter]}"
            )
            for name, counts in self.counters.items()
            for counter in sorted(counts)
            if counter.startswith("broken.") or counter == "faults"
        ]

    def create_result(
        self,
        violations: list[Violation],
        event_count: int,
        real_s: float,
        **testbed_fields: Any,
    ) -> RunResult:
        """Return the result of the run.

        `testbed_fields` are the fields of the result that only a run on loopback has.
        """
        lifetimes_ms = [
            lifetime_ms
            for clients in self.misbehaving_clients
            for lifetime_ms in clients.lifetimes_ms
        ]
        return RunResult(
            self.experiment,
            self.seed,
            self.history,
            violations + self.counter_violations(),
            self.logs,
            self.counters,
            self.network.program_errors,
            event_count,
            real_s,
            lifetimes_ms,
            self.load_clients.connection_limit_hits,
            **testbed_fields,
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


def _outdated_host(host: dict[str, Any]) -> dict[str, Any]:
    """Return a listed server as one that is gone: renamed, at a port on which nothing listens."""
    address = host["dial"].rpartition(":")[0]
    return host | {"host": f"y{host['host']}", "dial": f"{address}:{CLOSED_PORT}"}
