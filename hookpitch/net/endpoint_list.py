"""Discovery's wire format: one JSON object with the version of the endpoint list and its endpoints.

Stateless. Every reader of an endpoint list uses it: the discovery watch, the configuration file's
list of known servers, and the lists that members of a fleet exchange.
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
UNKNOWN_KIND = -2  # of an endpoint whose class is not among the deployment's kinds


class EndpointListError(InputError):
    """An object of discovery's that cannot be read as an endpoint list."""


class EndpointList(NamedTuple):
    """One object as discovery wrote it."""

    version: int
    complete: bool  # the whole list; otherwise the endpoints that changed
    endpoints: list[Endpoint]
    addresses: dict[str, str]  # "host:port" to connect to, by endpoint id


def parse_endpoint_list(
    text: bytes | str | Mapping[str, Any], kinds: Sequence[str]
) -> EndpointList:
    """The endpoint list in a JSON text, or in an object that was parsed before.

    `kinds` are the deployment's names of the kinds of servers, in their order. Raises
    EndpointListError.
    """
    try:
        top = text if isinstance(text, Mapping) else json.loads(text)
        endpoints = list[Endpoint]()
        addresses = dict[str, str]()
        for entry in top["hosts"]:
            endpoint = _parse_endpoint(entry, kinds)
            endpoints.append(endpoint)
            addresses[endpoint.id] = entry["dial"]
        return EndpointList(int(top["seq"]), bool(top["whole"]), endpoints, addresses)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
        OverflowError,
    ) as fault:
        raise EndpointListError(f"a bad list of servers: {fault!r}") from None


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
    finite = abs(endpoint.started_ms + endpoint.size) < float("inf")
    if not host or not 0 < int(port) < 65536 or not finite:
        raise ValueError("a bad entry")
    return endpoint
