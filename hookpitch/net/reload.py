"""SIGHUP: a running node takes the new settings and discovery's new address from its file.

What cannot change without a restart is logged and stays. A file that cannot be read or is wrong
changes nothing.
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

# Settings by which discovery's list is read: where one changes, the whole list is read again.
LIST_SETTINGS = frozenset({"kinds", "origin_kind", "weights_reflect_load"})
# With another seed, draws and with them the caches of all keys would move.
RESTART_ONLY_SETTING = "seed"


class ReloadableNode(Protocol):
    """What a reload needs of its node."""

    clock: Clock
    config: NodeConfig
    host: Host
    pools: BackendPools
    loop_monitor: LoopMonitor
    discovery: Discovery
    logger: Any


def reload_config(node: ReloadableNode, read_config: Callable[[], ReloadedConfig]) -> None:
    """Apply what `read_config` returns; its ValueError is logged, and the node serves as before."""
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
    """The names of the settings that differ, except the one that a running node keeps."""
    return [
        field.name
        for field in fields(after)
        if field.name != RESTART_ONLY_SETTING
        and getattr(after, field.name) != getattr(before, field.name)
    ]


def _apply_deployment(node: ReloadableNode, deployment: Deployment) -> None:
    kept = replace(deployment, seed=node.host.deployment.seed)
    node.host.reconfigured(node.clock.now(), kept)
    node.pools.reconfigured()
    node.loop_monitor.reconfigured()
    node.discovery.reconfigured()
    node.host.counters.add("config_changes")
