"""The operator's section `[members]`.

[members]
listen = "10.0.0.4:7946"                    # this node's own address, as the others dial it
fleet = "sydney"
seeds = ["10.0.0.5:7946", "10.0.0.6:7946"]  # some that are usually up

[members.dial]                              # where an address that others send is reached
"10.9.0.7:7946" = "10.0.0.7:7946"           # from here, if elsewhere
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hookpitch.members.errors import MembersError
from hookpitch.members.messages import Address

PORT_LIMIT = 65536


class SettingsError(MembersError):
    """A setting that is refused; the text begins with its name."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The section, checked. `dial`: where an address that others send is reached from here."""

    listen: Address
    fleet: str = ""
    seeds: tuple[Address, ...] = ()
    dial: Mapping[Address, Address] = field(default_factory=dict)


def parse_settings(table: Mapping[str, Any]) -> Settings:
    """The section as it stands in the file, checked. Raises SettingsError."""
    known = Settings.__slots__
    for name in table:
        if name not in known:
            raise SettingsError(f"{name}: no such setting; known are {', '.join(known)}")
    fleet = table.get("fleet", "")
    seeds = table.get("seeds", [])
    dial = table.get("dial", {})
    if not isinstance(fleet, str):
        raise SettingsError("fleet: wants a name")
    if not isinstance(seeds, list):
        raise SettingsError("seeds: wants a list of addresses")
    if not isinstance(dial, dict):
        raise SettingsError("dial: wants addresses by address")
    return Settings(
        listen=_address(table.get("listen"), "listen"),
        fleet=fleet,
        seeds=tuple(_address(seed, "seeds") for seed in seeds),
        dial={
            _address(address, "dial"): _address(dial_address, "dial")
            for address, dial_address in dial.items()
        },
    )


def _address(text: object, name: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise SettingsError(f"{name}: '{text}' is no address with a port")
    return parse_host(host), int(port)


def parse_host(text: str) -> str:
    """A host without the brackets of an IPv6 address."""
    return text.strip("[]")
