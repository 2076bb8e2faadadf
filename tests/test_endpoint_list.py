"""The parser of discovery's wire format."""

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
        ({"health": "unwell"}, "a bad list of servers: KeyError('unwell')"),
        ({"dial": "127.0.0.1:0"}, "a bad list of servers: ValueError('a bad entry')"),
        ({"share": float("inf")}, "a bad list of servers: ValueError('a bad entry')"),
    ],
)
def test_an_invalid_endpoint_raises_a_value_error_that_names_the_cause(
    change: dict[str, object], message: str
) -> None:
    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_list({"seq": 7, "whole": True, "hosts": [HOST | change]}, ["std"])
    assert str(raised.value) == message and isinstance(raised.value, ValueError)
