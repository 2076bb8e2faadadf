"""Discovery's model: the endpoint list, its versions, and the changes since a version."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import NamedTuple

TERMINATED = "terminated"  # the other health values: "in_service", "terminating"
FIRST_VERSION = 1


@dataclass(slots=True)
class FakeEndpoint:
    """One server as discovery lists it. `born_ms`: Unix time; 0: long ago."""

    host: str
    dial: str
    kind: str = "std"
    site: str = "a"
    block: int = 0
    health: str = "in_service"
    share: float = 1.0
    born_ms: float = 0.0

    def wire(self, net: str = "") -> dict[str, object]:
        """Return the endpoint's JSON object; `net` replaces `{net}` in the address."""
        return {
            "host": self.host,
            "dial": self.dial.replace("{net}", net),
            "site": self.site,
            "class": self.kind,
            "block": self.block,
            "health": self.health,
            "share": self.share,
            "born_ms": round(self.born_ms),
        }


class EndpointChanges(NamedTuple):
    """A list update: the version it leads to, and the whole list or what changed."""

    version: int
    is_snapshot: bool
    endpoints: list[FakeEndpoint]


class EndpointDirectory:
    """The endpoint list and its versions; `lag_ms`: how late watchers are notified."""

    def __init__(self, lag_ms: float = 100.0) -> None:
        self.lag_ms = lag_ms
        self.seq = FIRST_VERSION
        self.hosts: dict[str, FakeEndpoint] = {}
        self._changed_in: dict[str, int] = {}  # the version in which an endpoint last changed
        self._removed: dict[str, FakeEndpoint] = {}

    def put(self, endpoint: FakeEndpoint) -> None:
        """Add an endpoint, or replace the one of the same name."""
        self.seq += 1
        self.hosts[endpoint.host] = endpoint
        self._removed.pop(endpoint.host, None)
        self._changed_in[endpoint.host] = self.seq

    def health(self, host: str, health: str) -> None:
        """Set an endpoint's health; a terminated one leaves the list."""
        endpoint = self.hosts[host]
        self.seq += 1
        endpoint.health = health
        self._changed_in[host] = self.seq
        if health == TERMINATED:
            self._removed[host] = self.hosts.pop(host)

    def restart(self) -> None:
        """Start versions from the first again, without the removed endpoints."""
        self.seq = FIRST_VERSION
        self._removed.clear()
        self._changed_in = dict.fromkeys(self.hosts, FIRST_VERSION)

    def whole(self) -> tuple[int, list[FakeEndpoint]]:
        """Return the version and the whole list."""
        return self.seq, list(self.hosts.values())

    def since(self, seq: int) -> EndpointChanges:
        """Return what changed after version `seq`; the whole list if `seq` is not known."""
        if seq <= 0 or seq > self.seq:
            return EndpointChanges(self.seq, True, list(self.hosts.values()))
        known = [*self.hosts.values(), *self._removed.values()]
        changed = [endpoint for endpoint in known if self._changed_in[endpoint.host] > seq]
        return EndpointChanges(self.seq, False, changed)


def encode_list(seq: int, whole: bool, hosts: list[FakeEndpoint], net: str = "") -> bytes:
    """Return one line of discovery's JSON, without its end of line."""
    message = {"seq": seq, "whole": whole, "hosts": [host.wire(net) for host in hosts]}
    return json.dumps(message, separators=(",", ":")).encode()
