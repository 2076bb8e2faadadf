"""The configuration of one node: a JSON file that `PROXY_CONFIG` names, and the environment.

`load_node_config` reads both when the node starts. `load_reloaded_config` reads the file again on
SIGHUP and ignores the environment, which cannot have changed since the process started. Both check
the whole file, and raise ValueError (usually ConfigError) with a one-line message that names the
wrong value.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from hookpitch.balancer.deployment import parse_deployment
from hookpitch.balancer.interface import Deployment, Endpoint
from hookpitch.net.config_error import ConfigError
from hookpitch.net.endpoint_list import parse_endpoint_list

Address = tuple[str, int]

RESTART_ONLY = ("name", "listen", "management", "seed", "limits")  # not changed by a reload
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 32
MAX_SEED_DIGITS = 64
MAX_DESCRIPTOR_DIGITS = 9
NO_ENDPOINTS: Mapping[str, Any] = {"seq": 0, "whole": True, "hosts": []}


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration with which one process of one node starts."""

    name: str
    listen_address: Address  # to which clients connect
    discovery_address: Address
    descriptor_limit: int
    memory_mb: int
    deployment: Deployment
    endpoints_version: int  # version of the initial endpoint list
    initial_endpoints: tuple[Endpoint, ...]
    addresses: Mapping[str, str]  # "host:port" of the initial endpoints, by endpoint id
    admin_address: Address | None = None
    inherited_descriptor: int | None = None  # an inherited listening socket's file descriptor
    shared_directory: str = ""  # shared by all processes of this node; empty: not shared
    process_id: str = ""  # unique among this node's processes; empty: the operating system's id
    # The values that the file has for the names in RESTART_ONLY, to be compared on a reload.
    restart_only: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReloadedConfig:
    """The part of the configuration file that a running node applies on reload."""

    discovery_address: Address
    deployment: Deployment | None  # None where the file has no settings: the current ones stay
    restart_only: Mapping[str, Any]  # the values that the file has for the names in RESTART_ONLY


def load_node_config(environment: Mapping[str, str]) -> NodeConfig:
    """Read the file that the environment names.

    Values of the environment take precedence over those of the file.
    """
    return parse_node_config(_read_file(environment), environment)


def parse_node_config(document: Mapping[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """Return the configuration from the file's JSON object and the environment."""
    seed = _parse_seed(document)
    limits = document.get("limits") or {}
    if not isinstance(limits, dict):
        raise ConfigError(f"limits is a {type(limits).__name__}, expected a JSON object")
    settings = _parse_deployment(seed, document.get("settings"))
    known = document.get("known")
    version, _, endpoints, addresses = parse_endpoint_list(
        NO_ENDPOINTS if known is None else known, settings.kinds
    )
    name = _required_text(document, environment, "name")
    listen_address = _parse_required_address(document, environment, "listen")
    return NodeConfig(
        name=name,
        listen_address=listen_address,
        discovery_address=_parse_required_address(document, environment, "discovery"),
        descriptor_limit=_parse_integer(
            limits.get("sockets", DEFAULT_DESCRIPTORS), "limits.sockets", MIN_DESCRIPTORS
        ),
        memory_mb=_parse_integer(
            limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb", MIN_MEMORY_MB
        ),
        deployment=settings,
        endpoints_version=version,
        initial_endpoints=tuple(endpoints),
        addresses=addresses,
        admin_address=_parse_admin_address(
            environment.get("PROXY_MANAGEMENT") or document.get("management")
        ),
        inherited_descriptor=check_inherited_descriptor(
            environment.get("PROXY_INHERITED_FD"), listen_address
        ),
        shared_directory=environment.get("TMPDIR", ""),
        restart_only=_restart_only_values(document),
    )


def load_reloaded_config(environment: Mapping[str, str]) -> ReloadedConfig:
    """Read the file that the environment names; other values of the environment are ignored."""
    document = _read_file(environment)
    discovery = document.get("discovery")
    if not isinstance(discovery, str):
        raise ConfigError("discovery is missing or not a string")
    settings = document.get("settings")
    reloaded = None if settings is None else _parse_deployment(_parse_seed(document), settings)
    if reloaded is not None and not reloaded.methods:
        raise ConfigError("settings.methods is empty, expected at least one method")
    return ReloadedConfig(
        discovery_address=_parse_address(discovery, "discovery"),
        deployment=reloaded,
        restart_only=_restart_only_values(document),
    )


def check_inherited_descriptor(text: str | None, listen_address: Address) -> int | None:
    """Return the descriptor whose number `text` gives; None where the text is empty or None.

    The descriptor stays open and unchanged. Raises ConfigError where it is not a TCP socket that
    listens at `listen_address`.
    """
    if not text:
        return None
    if not text.isdigit() or len(text) > MAX_DESCRIPTOR_DIGITS:
        raise ConfigError(f"inherited_fd {text!r:.80} is not the number of a file descriptor")
    descriptor = int(text)
    try:
        # The check uses a duplicate: closing the duplicate leaves the inherited socket open.
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            listens = duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            is_tcp = duplicate.type == socket.SOCK_STREAM
            address = duplicate.getsockname()
    except (OSError, ValueError) as error:
        raise ConfigError(f"inherited_fd {descriptor} is not an open socket: {error}") from None
    if not listens or not is_tcp:
        raise ConfigError(f"inherited_fd {descriptor} is not a listening TCP socket")
    if not isinstance(address, tuple) or address[:2] != listen_address:
        host, port = listen_address
        raise ConfigError(f"inherited_fd {descriptor} listens at {address}, not at {host}:{port}")
    return descriptor


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is empty or not set, expected the path of a file")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path}: expected a JSON object, found {type(document).__name__}")
    return document


def _parse_deployment(seed: int, settings: object) -> Deployment:
    """Return the parsed settings; discovery is polled unless the settings say that it pushes."""
    pushed = isinstance(settings, dict) and settings.get("discovery") == "pushed"
    return replace(parse_deployment(seed, settings), polling_required=not pushed)


def _restart_only_values(document: Mapping[str, Any]) -> dict[str, Any]:
    return {name: document[name] for name in RESTART_ONLY if name in document}


def _parse_seed(document: Mapping[str, Any]) -> int:
    seed = document.get("seed", 0)
    if isinstance(seed, str) and _is_hexadecimal(seed):
        seed = int(seed, 16)
    return _parse_integer(seed, "seed", 0)


def _is_hexadecimal(text: str) -> bool:
    return 0 < len(text) <= MAX_SEED_DIGITS and all(
        digit in "0123456789abcdefABCDEF" for digit in text
    )


def _required_text(document: Mapping[str, Any], environment: Mapping[str, str], name: str) -> str:
    value = environment.get(f"PROXY_{name.upper()}") or document.get(name)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name} is missing or not a string")
    return value


def _parse_required_address(
    document: Mapping[str, Any], environment: Mapping[str, str], name: str
) -> Address:
    return _parse_address(_required_text(document, environment, name), name)


def _parse_admin_address(value: object) -> Address | None:
    if value is None or value == "":
        return None
    if not isinstance(value, str):
        raise ConfigError(f"management {value!r:.80} is not an address of the form host:port")
    return _parse_address(value, "management")


def _parse_integer(value: object, name: str, minimum: int) -> int:
    if not isinstance(value, int | float) or not minimum <= value < float("inf"):
        raise ConfigError(f"{name} is {value!r:.80}, expected a number of at least {minimum}")
    return int(value)


def _parse_address(text: str, name: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{name} {text!r:.80} is not an address of the form host:port")
    return host.strip("[]"), int(port)
