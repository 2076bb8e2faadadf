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

    def to_json(self, net: str = "") -> dict[str, object]:
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
        self.version = FIRST_VERSION
        self.endpoints: dict[str, FakeEndpoint] = {}
        self._changed_in: dict[str, int] = {}  # the version in which an endpoint last changed
        self._removed: dict[str, FakeEndpoint] = {}

    def put(self, endpoint: FakeEndpoint) -> None:
        """Add an endpoint, or replace the one of the same name."""
        self.version += 1
        self.endpoints[endpoint.host] = endpoint
        self._removed.pop(endpoint.host, None)
        self._changed_in[endpoint.host] = self.version

    def set_health(self, host: str, health: str) -> None:
        """Set an endpoint's health; a terminated one leaves the list."""
        endpoint = self.endpoints[host]
        self.version += 1
        endpoint.health = health
        self._changed_in[host] = self.version
        if health == TERMINATED:
            self._removed[host] = self.endpoints.pop(host)

    def restart(self) -> None:
        """Start versions from the first again, without the removed endpoints."""
        self.version = FIRST_VERSION
        self._removed.clear()
        self._changed_in = dict.fromkeys(self.endpoints, FIRST_VERSION)

    def snapshot(self) -> tuple[int, list[FakeEndpoint]]:
        """Return the version and the whole list."""
        return self.version, list(self.endpoints.values())

    def changes_since(self, version: int) -> EndpointChanges:
        """Return what changed after `version`; the whole list if that version is not known."""
        if version <= 0 or version > self.version:
            return EndpointChanges(self.version, True, list(self.endpoints.values()))
        known = [*self.endpoints.values(), *self._removed.values()]
        changed = [endpoint for endpoint in known if self._changed_in[endpoint.host] > version]
        return EndpointChanges(self.version, False, changed)


def encode_list(seq: int, whole: bool, hosts: list[FakeEndpoint], net: str = "") -> bytes:
    """Return one line of discovery's JSON, without its end of line."""
    message = {"seq": seq, "whole": whole, "hosts": [host.to_json(net) for host in hosts]}
    return json.dumps(message, separators=(",", ":")).encode()
