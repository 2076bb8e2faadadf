"""Tests of the parser of discovery's wire format, without I/O."""

import pytest

from hookpitch.balancer.interface import EndpointState
from hookpitch.net.endpoint_list import EndpointListError, parse_endpoint_list

HOST = {"host": "s0", "dial": "127.0.0.1:7000", "health": "in_service", "class": "std"}


def test_an_endpoint_list_has_its_version_endpoints_and_addresses() -> None:
    hosts = [HOST, HOST | {"host": "s1", "health": "terminating", "class": "unknown"}]
    parsed = parse_endpoint_list({"seq": 7, "whole": True, "hosts": hosts}, ["std"])
    assert (parsed.version, parsed.complete) == (7, True)
    states = [(endpoint.id, endpoint.state, endpoint.kind) for endpoint in parsed.endpoints]
    assert states == [("s0", EndpointState.READY, 0), ("s1", EndpointState.DRAINING, -2)]
    assert parsed.addresses == {"s0": "127.0.0.1:7000", "s1": "127.0.0.1:7000"}


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"health": "unwell"}, "invalid list of servers: KeyError('unwell')"),
        (
            {"dial": "127.0.0.1:0"},
            "invalid list of servers: ValueError(\"host 's0' has dial '127.0.0.1:0', share 1, "
            'born_ms 0; expected host:port, finite numbers")',
        ),
        (
            {"share": float("inf")},
            "invalid list of servers: ValueError(\"host 's0' has dial '127.0.0.1:7000', share inf, "
            'born_ms 0; expected host:port, finite numbers")',
        ),
    ],
)
def test_an_invalid_endpoint_raises_a_value_error_that_names_the_cause(
    change: dict[str, object], message: str
) -> None:
    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_list({"seq": 7, "whole": True, "hosts": [HOST | change]}, ["std"])
    assert str(raised.value) == message and isinstance(raised.value, ValueError)
