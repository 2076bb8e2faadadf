"""Discovery's wire format: one JSON object with the version of the endpoint list and its endpoints.

The module is stateless and parses every endpoint list: those of discovery, the list `known` of the
configuration file, and the lists that members of a fleet exchange.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from hookpitch.balancer.interface import Endpoint, EndpointState
from hookpitch.core.errors import InputError

ENDPOINT_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
UNKNOWN_KIND = -2  # the kind of an endpoint whose class the deployment does not name


class EndpointListError(InputError):
    """A JSON object that is not a valid endpoint list."""


class EndpointList(NamedTuple):
    """One complete endpoint list, or the changes to one."""

    version: int
    complete: bool  # all endpoints; otherwise only those that changed
    endpoints: list[Endpoint]
    addresses: dict[str, str]  # "host:port" to connect to, by endpoint id


def parse_endpoint_list(
    text: bytes | str | Mapping[str, Any], kinds: Sequence[str]
) -> EndpointList:
    """Parse an endpoint list from a JSON text, or from an object that is already parsed.

    `kinds` holds the deployment's names of the kinds of backends, in order. Raises
    EndpointListError where the list is not valid.
    """
    try:
        document = text if isinstance(text, Mapping) else json.loads(text)
        endpoints = list[Endpoint]()
        addresses = dict[str, str]()
        for entry in document["hosts"]:
            endpoint = _parse_endpoint(entry, kinds)
            endpoints.append(endpoint)
            addresses[endpoint.id] = entry["dial"]
        return EndpointList(int(document["seq"]), bool(document["whole"]), endpoints, addresses)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
        OverflowError,
    ) as error:
        raise EndpointListError(f"invalid list of servers: {error!r:.300}") from None


def _parse_endpoint(entry: Any, kinds: Sequence[str]) -> Endpoint:  # noqa: ANN401 - untyped JSON
    endpoint = Endpoint(
        id=str(entry["host"]),
        zone=str(entry.get("site") or ""),
        cell=int(entry.get("block") or 0),
        started_ms=float(entry.get("born_ms") or 0),
        state=ENDPOINT_STATES[entry["health"]],
        kind=kinds.index(entry["class"]) if entry.get("class") in kinds else UNKNOWN_KIND,
        size=float(1.0 if entry.get("share") is None else entry["share"]),
    )
    host, _, port = str(entry["dial"]).rpartition(":")
    is_finite = abs(endpoint.started_ms + endpoint.size) < float("inf")
    if not host or not 0 < int(port) < 65536 or not is_finite:
        raise ValueError(
            f"host {endpoint.id!r:.40} has dial {entry['dial']!r:.60}, share {endpoint.size:g}, "
            f"born_ms {endpoint.started_ms:g}; expected host:port, finite numbers"
        )
    return endpoint
