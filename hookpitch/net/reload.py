"""Reload on SIGHUP: a running node applies new settings and discovery's new address from its file.

A changed value that requires a restart is logged and not applied. A file that is unreadable or
wrong changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any, Protocol

from hookpitch.balancer.interface import Deployment
from hookpitch.core.host import Host
from hookpitch.net.backend_pools import BackendPools
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.net.loop_monitor import LoopMonitor
from hookpitch.net.node_config import NodeConfig, ReloadedConfig

# Settings that affect how discovery's list is parsed; if one changes, the whole list is requested.
LIST_SETTINGS = frozenset({"kinds", "origin_kind", "weights_reflect_load"})
# Another seed would change the random draws, and with them the caches of all keys.
RESTART_ONLY_SETTING = "seed"


class ReloadableNode(Protocol):
    """The components of a node that a reload uses."""

    clock: Clock
    config: NodeConfig
    host: Host
    pools: BackendPools
    loop_monitor: LoopMonitor
    discovery: Discovery
    logger: Any


def reload_config(node: ReloadableNode, read_config: Callable[[], ReloadedConfig]) -> None:
    """Apply the configuration that `read_config` returns.

    Where `read_config` raises ValueError, the error is logged and nothing changes.
    """
    counters = node.host.counters
    try:
        config = read_config()
    except ValueError as error:
        node.logger.info("reload_failed", reason=str(error))
        counters.add("config_reload_errors")
        return
    counters.add("config_reloads")
    for name, value in config.restart_only.items():
        if value != node.config.restart_only.get(name):
            node.logger.info("change_requires_restart", setting=name)
    changed: list[str] = []
    if config.deployment is not None:
        changed = changed_settings(node.host.deployment, config.deployment)
        if changed:
            _apply_deployment(node, config.deployment)
    host, port = config.discovery_address
    node.logger.info("reloaded", discovery=f"{host}:{port}", changed=",".join(changed) or "nothing")
    node.discovery.change_address(config.discovery_address, not LIST_SETTINGS.isdisjoint(changed))


def changed_settings(before: Deployment, after: Deployment) -> list[str]:
    """Return the names of the settings that differ, except `RESTART_ONLY_SETTING`."""
    return [
        field.name
        for field in fields(after)
        if field.name != RESTART_ONLY_SETTING
        and getattr(after, field.name) != getattr(before, field.name)
    ]


def _apply_deployment(node: ReloadableNode, deployment: Deployment) -> None:
    with_current_seed = replace(deployment, seed=node.host.deployment.seed)
    node.host.reconfigured(node.clock.now(), with_current_seed)
    node.pools.reconfigured()
    node.loop_monitor.reconfigured()
    node.discovery.reconfigured()
    node.host.counters.add("config_changes")
