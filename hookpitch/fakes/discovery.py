"""Discovery's model: the list of servers, its versions, and what each watcher has been told."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

HEALTHS = ("in_service", "terminating", "terminated")


@dataclass(slots=True)
class Listed:
    """One server as discovery has it. `born_ms`: Unix time, 0 for long ago."""

    host: str
    dial: str
    kind: str = "std"
    site: str = "a"
    block: int = 0
    health: str = "in_service"
    share: float = 1.0
    born_ms: float = 0.0

    def wire(self, net: str = "") -> dict[str, object]:
        """As discovery tells it; `net` takes the place of `{net}` in where to dial."""
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


class Directory:
    """The list and its versions; `lag_ms` late with what it tells."""

    def __init__(self, lag_ms: float = 100.0) -> None:
        self.lag_ms, self.seq = lag_ms, 1
        self.hosts: dict[str, Listed] = {}
        self._changed: dict[str, int] = {}  # the version in which a server last changed
        self._gone: dict[str, Listed] = {}

    def put(self, listed: Listed) -> None:
        self.seq += 1
        self.hosts[listed.host] = listed
        self._gone.pop(listed.host, None)
        self._changed[listed.host] = self.seq

    def health(self, host: str, health: str) -> None:
        """One of `HEALTHS`; one that is terminated leaves the list."""
        listed = self.hosts[host]
        self.seq += 1
        listed.health = health
        self._changed[host] = self.seq
        if health == "terminated":
            self._gone[host] = self.hosts.pop(host)

    def restart(self) -> None:
        """It counts versions anew and has forgotten what is gone."""
        self.seq = 1
        self._gone.clear()
        self._changed = dict.fromkeys(self.hosts, 1)

    def whole(self) -> tuple[int, list[Listed]]:
        return self.seq, list(self.hosts.values())

    def since(self, seq: int) -> tuple[int, bool, list[Listed]]:
        """Version, whether whole, and what changed after `seq`; the whole list where that is not
        known."""
        if seq <= 0 or seq > self.seq:
            return self.seq, True, list(self.hosts.values())
        both = [*self.hosts.values(), *self._gone.values()]
        return self.seq, False, [h for h in both if self._changed[h.host] > seq]


def line(seq: int, whole: bool, hosts: list[Listed], net: str = "") -> bytes:
    told: Mapping[str, object] = {"seq": seq, "whole": whole, "hosts": [h.wire(net) for h in hosts]}
    return json.dumps(told, separators=(",", ":")).encode()
