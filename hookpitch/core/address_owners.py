"""Finds the servers whose address belongs to another server by now.

A server that comes up at the address of one that is gone may be listed before discovery has noticed
that the old one is gone. Until then both are listed there, but whatever is sent to that address
arrives at the new one: requests for the old one would reach a server that is cold and lacks their
keys. Invariant: of the ready servers at one address, only those that started last are passed on as
ready.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate


class _Listing(NamedTuple):
    endpoint: Endpoint
    address: str


class AddressOwners:
    """The servers that discovery lists as ready, and those of them that were replaced."""

    def __init__(self) -> None:
        self._ready: dict[str, _Listing] = {}  # by id
        self._replaced: set[str] = set()

    def apply(
        self,
        kind: EndpointUpdate,
        endpoints: Sequence[Endpoint],
        addresses: Mapping[str, str],
        replaced_state: EndpointState,
    ) -> tuple[list[Endpoint], dict[str, str]]:
        """Record an update; return its endpoints and addresses with what follows for others.

        An endpoint that was replaced is returned in the state `replaced_state`. Where an update
        changes whether other endpoints are replaced, these are added to it.
        """
        self._record(kind, endpoints, addresses)
        before = self._replaced
        self._replaced = self._find_replaced()
        updated = {endpoint.id: endpoint for endpoint in endpoints}
        changed = (before ^ self._replaced) & self._ready.keys()
        for endpoint_id in changed | (self._replaced & updated.keys()):
            endpoint = self._ready[endpoint_id].endpoint
            if endpoint_id in self._replaced:
                endpoint = replace(endpoint, state=replaced_state)
            updated[endpoint_id] = endpoint
        others = {id: self._ready[id].address for id in changed if id not in addresses}
        return list(updated.values()), {**addresses, **others}

    def _record(
        self, kind: EndpointUpdate, endpoints: Sequence[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        if kind is not EndpointUpdate.DELTA:
            self._ready = {}
        for endpoint in endpoints:
            self._ready.pop(endpoint.id, None)
            if endpoint.state is EndpointState.READY:
                self._ready[endpoint.id] = _Listing(endpoint, addresses[endpoint.id])

    def _find_replaced(self) -> set[str]:
        latest_start: dict[str, float] = {}
        for endpoint, address in self._ready.values():
            started_ms = latest_start.get(address, endpoint.started_ms)
            latest_start[address] = max(started_ms, endpoint.started_ms)
        if len(latest_start) == len(self._ready):
            return set()  # each has an address of its own
        return {
            endpoint.id
            for endpoint, address in self._ready.values()
            if endpoint.started_ms < latest_start[address]
        }
