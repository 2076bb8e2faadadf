"""The model of discovery: the endpoint list, its versions, and the changes since a version."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import NamedTuple

TERMINATED = "terminated"  # the other health values are "in_service" and "terminating"
FIRST_VERSION = 1


@dataclass(slots=True)
class FakeEndpoint:
    """One server as discovery lists it.

    `born_ms` is the Unix time at which the server started; 0 stands for an old server.
    """

    host: str
    dial: str  # the address; `{net}` in it stands for the requesting node's network
    kind: str = "std"  # `class` in JSON
    site: str = "a"
    block: int = 0
    health: str = "in_service"
    share: float = 1.0
    born_ms: float = 0.0

    def to_json(self, network: str = "") -> dict[str, object]:
        """Return the JSON object of the endpoint, with `network` in place of `{net}`."""
        return {
            "host": self.host,
            "dial": self.dial.replace("{net}", network),
            "site": self.site,
            "class": self.kind,
            "block": self.block,
            "health": self.health,
            "share": self.share,
            "born_ms": round(self.born_ms),
        }


class EndpointChanges(NamedTuple):
    """An update of the endpoint list.

    `version` is the version after the update. `endpoints` holds all endpoints if `is_snapshot`
    is set, and otherwise the changed ones.
    """

    version: int
    is_snapshot: bool
    endpoints: list[FakeEndpoint]


class EndpointDirectory:
    """The endpoint list and its versions.

    `lag_ms` is the time from a change to the notification of the watchers.
    """

    def __init__(self, lag_ms: float = 100.0) -> None:
        self.lag_ms = lag_ms
        self.version = FIRST_VERSION
        self.endpoints: dict[str, FakeEndpoint] = {}
        self._changed_in: dict[str, int] = {}  # the version of an endpoint's last change, by host
        self._removed: dict[str, FakeEndpoint] = {}

    def put(self, endpoint: FakeEndpoint) -> None:
        """Add an endpoint or replace the endpoint of the same host."""
        self.version += 1
        self.endpoints[endpoint.host] = endpoint
        self._removed.pop(endpoint.host, None)
        self._changed_in[endpoint.host] = self.version

    def set_health(self, host: str, health: str) -> None:
        """Set the health of an endpoint; remove a terminated endpoint from the list."""
        endpoint = self.endpoints[host]
        self.version += 1
        endpoint.health = health
        self._changed_in[host] = self.version
        if health == TERMINATED:
            self._removed[host] = self.endpoints.pop(host)

    def restart(self) -> None:
        """Restart the versions at the first one and forget the removed endpoints."""
        self.version = FIRST_VERSION
        self._removed.clear()
        self._changed_in = dict.fromkeys(self.endpoints, FIRST_VERSION)

    def snapshot(self) -> tuple[int, list[FakeEndpoint]]:
        """Return the current version and all endpoints."""
        return self.version, list(self.endpoints.values())

    def changes_since(self, version: int) -> EndpointChanges:
        """Return the changes after `version`, or a snapshot if that version is unknown."""
        if version <= 0 or version > self.version:
            return EndpointChanges(self.version, True, list(self.endpoints.values()))
        known = [*self.endpoints.values(), *self._removed.values()]
        changed = [endpoint for endpoint in known if self._changed_in[endpoint.host] > version]
        return EndpointChanges(self.version, False, changed)


def encode_list(
    version: int, is_snapshot: bool, endpoints: list[FakeEndpoint], network: str = ""
) -> bytes:
    """Return one line of discovery's JSON without the end of line."""
    message = {
        "seq": version,
        "whole": is_snapshot,
        "hosts": [endpoint.to_json(network) for endpoint in endpoints],
    }
    return json.dumps(message, separators=(",", ":")).encode()
