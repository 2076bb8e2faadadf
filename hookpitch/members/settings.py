"""The section `[members]` of the operator's file.

[members]
listen = "10.0.0.4:7946"                    # the address at which other members reach this node
fleet = "sydney"
seeds = ["10.0.0.5:7946", "10.0.0.6:7946"]  # some members that are usually up

[members.dial]                              # only for addresses that this node cannot reach as sent
"10.9.0.7:7946" = "10.0.0.7:7946"           # address that members send = address to dial instead
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hookpitch.members.errors import MembersError
from hookpitch.members.messages import Address

PORT_LIMIT = 65536


class SettingsError(MembersError):
    """An invalid setting; the text begins with the name of the setting."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The checked section; `dial` maps an address from other members to the one to dial here."""

    listen: Address
    fleet: str = ""
    seeds: tuple[Address, ...] = ()
    dial: Mapping[Address, Address] = field(default_factory=dict)


def parse_settings(table: Mapping[str, Any]) -> Settings:
    """Check the section as read from the file. Raise SettingsError if a setting is invalid."""
    known = Settings.__slots__
    for name in table:
        if name not in known:
            raise SettingsError(f"{name}: unknown setting, expected one of {', '.join(known)}")
    fleet = table.get("fleet", "")
    seeds = table.get("seeds", [])
    dial = table.get("dial", {})
    if not isinstance(fleet, str):
        raise SettingsError(f"fleet: expected a string, found {fleet!r:.80}")
    if not isinstance(seeds, list):
        raise SettingsError(f"seeds: expected a list of addresses, found {seeds!r:.80}")
    if not isinstance(dial, dict):
        raise SettingsError(f"dial: expected a table of addresses by address, found {dial!r:.80}")
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
        raise SettingsError(
            f"{name}: expected an address of the form host:port, found {text!r:.80}"
        )
    return parse_host(host), int(port)


def parse_host(text: str) -> str:
    """Return a host without the brackets of an IPv6 address."""
    return text.strip("[]")
