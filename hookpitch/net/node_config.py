"""The configuration of one node: a JSON file that `PROXY_CONFIG` names, and the environment.

`load_node_config` reads both at the start. `load_reloaded_config` reads the file again on SIGHUP;
the environment is as old as the process, so there the file alone counts. Both check the whole
file, and raise ValueError (mostly ConfigError) with one line that names what is wrong.
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

RESTART_ONLY = ("name", "listen", "management", "seed", "limits")  # a running node keeps these
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 32
MAX_SEED_DIGITS = 64
MAX_DESCRIPTOR_DIGITS = 9
NO_ENDPOINTS: Mapping[str, Any] = {"seq": 0, "whole": True, "hosts": []}


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """What one process of one node is started with."""

    name: str
    listen_address: Address  # the clients'
    discovery_address: Address
    descriptor_limit: int
    memory_mb: int
    deployment: Deployment
    endpoints_version: int  # of the initial endpoints
    initial_endpoints: tuple[Endpoint, ...]
    addresses: Mapping[str, str]  # of the initial endpoints, by id
    admin_address: Address | None = None
    inherited_descriptor: int | None = None  # of the listening socket, where it is inherited
    shared_directory: str = ""  # shared by all processes of this node; '': there is none
    process_id: str = ""  # unlike that of the node's other processes; '': the system's
    restart_only: Mapping[str, Any] = field(default_factory=dict)  # by name, as in the file


@dataclass(frozen=True, slots=True)
class ReloadedConfig:
    """What a running node takes from its file."""

    discovery_address: Address
    deployment: Deployment | None  # None where the file has no settings: those in force stay
    restart_only: Mapping[str, Any]  # by name, as in the file


def load_node_config(environment: Mapping[str, str]) -> NodeConfig:
    """The file that the environment names, with the environment's own values before the file's."""
    return parse_node_config(_read_file(environment), environment)


def parse_node_config(document: Mapping[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """The same from the file's JSON object."""
    seed = _seed(document)
    limits = document.get("limits") or {}
    if not isinstance(limits, dict):
        raise ConfigError("limits is no JSON object")
    settings = _deployment(seed, document.get("settings"))
    known = document.get("known")
    version, _, endpoints, addresses = parse_endpoint_list(
        NO_ENDPOINTS if known is None else known, settings.kinds
    )
    name = _required(document, environment, "name")
    listen_address = _required_address(document, environment, "listen")
    return NodeConfig(
        name=name,
        listen_address=listen_address,
        discovery_address=_required_address(document, environment, "discovery"),
        descriptor_limit=_integer(
            limits.get("sockets", DEFAULT_DESCRIPTORS), "limits.sockets", MIN_DESCRIPTORS
        ),
        memory_mb=_integer(
            limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb", MIN_MEMORY_MB
        ),
        deployment=settings,
        endpoints_version=version,
        initial_endpoints=tuple(endpoints),
        addresses=addresses,
        admin_address=_admin_address(
            environment.get("PROXY_MANAGEMENT") or document.get("management")
        ),
        inherited_descriptor=check_inherited_descriptor(
            environment.get("PROXY_INHERITED_FD"), listen_address
        ),
        shared_directory=environment.get("TMPDIR", ""),
        restart_only=_restart_only(document),
    )


def load_reloaded_config(environment: Mapping[str, str]) -> ReloadedConfig:
    """The file that the environment names; the environment's other values are not used."""
    document = _read_file(environment)
    discovery = document.get("discovery")
    if not isinstance(discovery, str):
        raise ConfigError("discovery is missing")
    settings = document.get("settings")
    reloaded = None if settings is None else _deployment(_seed(document), settings)
    if reloaded is not None and not reloaded.methods:
        raise ConfigError("settings have no methods")
    return ReloadedConfig(
        discovery_address=_address(discovery, "discovery"),
        deployment=reloaded,
        restart_only=_restart_only(document),
    )


def check_inherited_descriptor(text: str | None, listen_address: Address) -> int | None:
    """The number of a descriptor that listens at the address; None where the text names none.

    The descriptor itself is left as it is. Raises ConfigError where it is anything else.
    """
    if not text:
        return None
    if not text.isdigit() or len(text) > MAX_DESCRIPTOR_DIGITS:
        raise ConfigError(f"inherited_fd '{text}' is no descriptor's number")
    descriptor = int(text)
    try:
        # Closing the duplicate leaves the socket open.
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            listens = duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            is_tcp = duplicate.type == socket.SOCK_STREAM
            address = duplicate.getsockname()
    except (OSError, ValueError) as error:
        raise ConfigError(f"inherited_fd {descriptor} is no open socket: {error}") from None
    if not listens or not is_tcp:
        raise ConfigError(f"inherited_fd {descriptor} is no listening socket")
    if not isinstance(address, tuple) or address[:2] != listen_address:
        host, port = listen_address
        raise ConfigError(f"inherited_fd {descriptor} listens at {address}, not at {host}:{port}")
    return descriptor


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path}: no JSON object")
    return document


def _deployment(seed: int, settings: object) -> Deployment:
    """The settings; on sockets discovery is polled unless they say that it pushes."""
    pushed = isinstance(settings, dict) and settings.get("discovery") == "pushed"
    return replace(parse_deployment(seed, settings), polling_required=not pushed)


def _restart_only(document: Mapping[str, Any]) -> dict[str, Any]:
    return {name: document[name] for name in RESTART_ONLY if name in document}


def _seed(document: Mapping[str, Any]) -> int:
    seed = document.get("seed", 0)
    if isinstance(seed, str) and _is_hexadecimal(seed):
        seed = int(seed, 16)
    return _integer(seed, "seed", 0)


def _is_hexadecimal(text: str) -> bool:
    return 0 < len(text) <= MAX_SEED_DIGITS and all(c in "0123456789abcdefABCDEF" for c in text)


def _required(document: Mapping[str, Any], environment: Mapping[str, str], name: str) -> str:
    value = environment.get(f"PROXY_{name.upper()}") or document.get(name)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name} is missing")
    return value


def _required_address(
    document: Mapping[str, Any], environment: Mapping[str, str], name: str
) -> Address:
    return _address(_required(document, environment, name), name)


def _admin_address(value: object) -> Address | None:
    if value is None or value == "":
        return None
    if not isinstance(value, str):
        raise ConfigError("management is no address with a port")
    return _address(value, "management")


def _integer(value: object, name: str, least: int) -> int:
    if not isinstance(value, int | float) or not least <= value < float("inf"):
        raise ConfigError(f"{name} is no number from {least} up")
    return int(value)


def _address(text: str, name: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{name} '{text}' is no address with a port")
    return host.strip("[]"), int(port)
