"""What a node is told when it starts, from the environment and the file that it names."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from hookpitch.balancer.deployment import parse_deployment
from hookpitch.balancer.interface import Deployment, Endpoint
from hookpitch.net.endpoint_list import parse_endpoint_list

RESTART_ONLY = ("name", "listen", "management", "seed", "limits")  # a running node keeps these
MIN_DESCRIPTORS = 64
MIN_MEMORY_MB = 32  # MB


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """One node's place in the deployment."""

    name: str
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int]
    descriptor_limit: int
    memory_mb: int
    deployment: Deployment
    endpoints_version: int
    initial_endpoints: tuple[Endpoint, ...]
    addresses: Mapping[str, str]
    admin_address: tuple[str, int] | None = (
        None  # the operators' door; None where neither place names one
    )
    inherited_descriptor: int | None = (
        None  # the descriptor of the clients' listening socket, if inherited
    )
    shared_directory: str = ""  # a folder that this node's processes share
    process_id: str = (
        ""  # what tells this process from the node's others; its number, where nothing is said
    )
    restart_only: Mapping[str, Any] = field(
        default_factory=dict
    )  # as the file had what only a restart changes


def load_node_config(environment: Mapping[str, str]) -> NodeConfig:
    """ValueError says in one line what is wrong."""
    return parse_node_config(_read_file(environment), environment)


def parse_node_config(top: Mapping[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """The same from the file's JSON object."""

    def told(name: str) -> str:
        value = environment.get(f"PROXY_{name.upper()}") or top.get(name)
        if not isinstance(value, str) or not value:
            raise ValueError(f"{name} is missing")
        return value

    number, limits = _seed(top), top.get("limits") or {}
    if not isinstance(limits, dict):
        raise ValueError("limits is no JSON object")
    d = _deployment(number, top.get("settings"))
    known = top.get("known")
    version, _, endpoints, addresses = parse_endpoint_list(
        {"seq": 0, "whole": True, "hosts": []} if known is None else known, d.kinds
    )
    return NodeConfig(
        name=told("name"),
        listen_address=_address(told("listen"), "listen"),
        discovery_address=_address(told("discovery"), "discovery"),
        descriptor_limit=_integer(limits.get("sockets", 1024), "limits.sockets", MIN_DESCRIPTORS),
        memory_mb=_integer(limits.get("memory_mb", 192), "limits.memory_mb", MIN_MEMORY_MB),
        deployment=d,
        endpoints_version=version,
        initial_endpoints=tuple(endpoints),
        addresses=addresses,
        admin_address=_admin_address(environment.get("PROXY_MANAGEMENT") or top.get("management")),
        inherited_descriptor=check_inherited_descriptor(
            environment.get("PROXY_INHERITED_FD"), _address(told("listen"), "listen")
        ),
        shared_directory=environment.get("TMPDIR", ""),
        restart_only={name: top[name] for name in RESTART_ONLY if name in top},
    )


@dataclass(frozen=True, slots=True)
class ReloadedConfig:
    """What a running node takes from its file when it is read anew."""

    discovery_address: tuple[str, int]
    deployment: Deployment | None  # None where the file has no settings: those that act stay
    restart_only: Mapping[str, Any]  # what only a restart changes, as the file has it


def load_reloaded_config(environment: Mapping[str, str]) -> ReloadedConfig:
    """The file, read and checked whole. ValueError says in one line what is wrong; the environment
    is as old
    as the process, so here the file alone counts."""
    top = _read_file(environment)
    value = top.get("discovery")
    if not isinstance(value, str):
        raise ValueError("discovery is missing")
    settings = top.get("settings")
    d = None if settings is None else _deployment(_seed(top), settings)
    if d is not None and not d.methods:
        raise ValueError("settings have no methods")
    fixed = {name: top[name] for name in RESTART_ONLY if name in top}
    return ReloadedConfig(_address(value, "discovery"), d, fixed)


def _deployment(seed: int, settings: object) -> Deployment:
    """On sockets a list has to be asked for, where the settings don't say that it is pushed."""
    d = parse_deployment(seed, settings)
    pushed = isinstance(settings, dict) and settings.get("discovery") == "pushed"
    return replace(d, polling_required=not pushed)


def _seed(top: Mapping[str, Any]) -> int:
    seed = top.get("seed", 0)
    return _integer(int(seed, 16) if isinstance(seed, str) and _hex(seed) else seed, "seed", 0)


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ValueError("PROXY_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            top = json.load(file)
    except (OSError, ValueError, RecursionError) as fault:
        raise ValueError(f"{path}: {fault}") from None
    if not isinstance(top, dict):
        raise ValueError(f"{path}: no JSON object")
    return top


def _hex(text: str) -> bool:
    return 0 < len(text) <= 64 and all(c in "0123456789abcdefABCDEF" for c in text)


def _admin_address(value: Any) -> tuple[str, int] | None:  # noqa: ANN401
    if value is None or value == "":
        return None
    if not isinstance(value, str):
        raise ValueError("management is no address with a port")
    return _address(value, "management")


def check_inherited_descriptor(text: str | None, listen: tuple[str, int]) -> int | None:
    """A descriptor that holds the clients' listening socket, checked and left as it is."""
    if not text:
        return None
    if not text.isdigit() or len(text) > 9:
        raise ValueError(f"inherited_fd '{text}' is no descriptor's number")
    number = int(text)
    try:
        with socket.socket(
            fileno=os.dup(number)
        ) as held:  # closing the duplicate leaves the socket as it is
            listens = held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            tcp, address = held.type == socket.SOCK_STREAM, held.getsockname()
    except (OSError, ValueError) as fault:
        raise ValueError(f"inherited_fd {number} is no open socket: {fault}") from None
    if not listens or not tcp:
        raise ValueError(f"inherited_fd {number} is no listening socket")
    if not isinstance(address, tuple) or address[:2] != listen:
        raise ValueError(
            f"inherited_fd {number} listens at {address}, not at {listen[0]}:{listen[1]}"
        )
    return number


def _integer(value: Any, name: str, least: int) -> int:  # noqa: ANN401
    if not isinstance(value, int | float) or not least <= value < float("inf"):
        raise ValueError(f"{name} is no number from {least} up")
    return int(value)


def _address(text: str, name: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{name} '{text}' is no address with a port")
    return host.strip("[]"), int(port)
