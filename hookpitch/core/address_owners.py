"""Finds the servers whose address belongs to another server by now.

A server that comes up at the address of one that is gone may be listed before discovery has noticed
that the old one is gone. Until then both are listed there, but whatever is sent to that address
arrives at the new one: requests for the old one would reach a server that is cold and lacks their
keys, or that drains and may be sent nothing. Invariant: of the servers listed at one address, only
those that came last are passed on as ready, and none while a later one is listed as draining.

Which one came last follows from their start times; where these are equal, as with servers whose
start is not known, from the update that listed them there first.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate


class _Listing(NamedTuple):
    endpoint: Endpoint
    address: str
    update_number: int  # of the update that listed this process at this address first

    @property
    def arrival(self) -> tuple[float, int]:
        """When the server came to its address; compares as later or earlier."""
        return self.endpoint.started_ms, self.update_number


class AddressOwners:
    """The servers that discovery lists, and the ready ones among them that were replaced."""

    def __init__(self) -> None:
        self._listed: dict[str, _Listing] = {}  # ready and draining servers by id
        self._replaced: set[str] = set()
        self._update_count = 0

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
        changed = (before ^ self._replaced) & self._listed.keys()
        for endpoint_id in changed | (self._replaced & updated.keys()):
            endpoint = self._listed[endpoint_id].endpoint
            if endpoint_id in self._replaced:
                endpoint = replace(endpoint, state=replaced_state)
            updated[endpoint_id] = endpoint
        others = {id: self._listed[id].address for id in changed if id not in addresses}
        return list(updated.values()), {**addresses, **others}

    def _record(
        self, kind: EndpointUpdate, endpoints: Sequence[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        self._update_count += 1
        known = self._listed
        self._listed = dict(known) if kind is EndpointUpdate.DELTA else {}
        for endpoint in endpoints:
            self._listed.pop(endpoint.id, None)
            if endpoint.state is not EndpointState.REMOVED:
                address = addresses[endpoint.id]
                number = self._update_number(known.get(endpoint.id), endpoint, address)
                self._listed[endpoint.id] = _Listing(endpoint, address, number)

    def _update_number(self, known: _Listing | None, endpoint: Endpoint, address: str) -> int:
        """Return the number of the update that listed a server's process at its address first."""
        if known is None or known.address != address:
            return self._update_count
        is_same_process = known.endpoint.started_ms == endpoint.started_ms
        return known.update_number if is_same_process else self._update_count

    def _find_replaced(self) -> set[str]:
        latest: dict[str, tuple[float, int]] = {}
        for listing in self._listed.values():
            arrival = latest.get(listing.address, listing.arrival)
            latest[listing.address] = max(arrival, listing.arrival)
        if len(latest) == len(self._listed):
            return set()  # each has an address of its own
        return {
            listing.endpoint.id
            for listing in self._listed.values()
            if listing.endpoint.state is EndpointState.READY
            and listing.arrival < latest[listing.address]
        }
