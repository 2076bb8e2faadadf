"""A node's configuration: read, or rejected in one line, at the start; reloaded on SIGHUP."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from copy import deepcopy
from functools import partial
from pathlib import Path

import pytest
from memory_network import MemoryConnection
from socket_node import DISCOVERY_PORT, SETTINGS, NodeOnMemoryNetwork, get_command, listed_host

from hookpitch.balancer.interface import EndpointState
from hookpitch.net.node_config import NodeConfig, load_node_config, load_reloaded_config

ROOT = Path(__file__).parent.parent
NODE_FILE = {
    "name": "n3",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {
        "seq": 41,
        "whole": True,
        "hosts": [listed_host("s0", 7000, born_ms=1.7e12, block=3)],
    },
    "settings": SETTINGS,
}


@pytest.fixture
def node_file(tmp_path: Path) -> Path:
    """Return the path of the node's configuration file."""
    return tmp_path / "node.json"


def load(node_file: Path, content: object, **environment: str) -> NodeConfig:
    """Write the configuration file and load it."""
    node_file.write_text(content if isinstance(content, str) else json.dumps(content))
    return load_node_config({"PROXY_CONFIG": str(node_file)} | environment)


def run_until_exit(**environment: str) -> subprocess.CompletedProcess[str]:
    """Run a node's process that exits by itself."""
    return subprocess.run(
        [sys.executable, "-m", "hookpitch"],
        env=environment,
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def reload_on_sighup(
    node: NodeOnMemoryNetwork, node_file: Path, **environment: str
) -> Callable[[], None]:
    """Return a function that reloads the node as SIGHUP does."""
    read_config = partial(load_reloaded_config, {"PROXY_CONFIG": str(node_file)} | environment)
    return partial(node.socket_node.reload, read_config)


def test_the_file_and_the_environment_are_read(node_file: Path) -> None:
    config = load(node_file, NODE_FILE, PROXY_LISTEN="[::1]:7777")
    assert config.name == "n3"
    assert config.listen_address == ("::1", 7777)
    assert config.discovery_address == ("127.0.0.2", 8500)
    assert config.descriptor_limit == 1024
    assert config.memory_mb == 192
    assert config.endpoints_version == 41
    assert config.deployment.seed == 0x8C1F30D27A5BE964
    assert config.deployment.polling_required
    assert config.deployment.origin_kind == 1
    assert config.deployment.connect_timeout_ms == 250.0
    assert config.deployment.connection_idle_timeout_ms == 60000.0
    (endpoint,) = config.initial_endpoints
    assert endpoint.id == "s0"
    assert endpoint.kind == 0
    assert endpoint.cell == 3
    assert endpoint.started_ms == 1.7e12
    assert config.addresses == {"s0": "127.0.0.1:7000"}


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (["listen"], "6379", "listen"),
        (["listen"], None, "listen"),
        (["discovery"], "host:99999", "discovery"),
        (["name"], "", "name"),
        (["seed"], "xyz", "seed"),
        (["limits"], [1], "limits"),
        (["limits", "sockets"], 3, "sockets"),
        (["limits", "memory_mb"], "much", "memory_mb"),
        (["settings"], None, "settings"),
        (["settings", "methods"], [1], "setting"),
        (["settings", "methods"], None, "setting"),
        (["settings", "rules"], 7, "setting"),
        (["known"], [], "list of servers"),
        (["known", "hosts"], [{"host": "s0"}], "list of servers"),
        ([], "{", "node.json"),
        ([], "[1]", "node.json"),
    ],
)
def test_a_wrong_value_is_refused_by_name(
    node_file: Path, path: list[str], value: object, named: str
) -> None:
    content: object = deepcopy(NODE_FILE)
    if path:
        table = content
        for name in path[:-1]:
            table = table[name]
        table[path[-1]] = value
    else:
        content = value
    with pytest.raises(ValueError, match=named) as raised:
        load(node_file, content)
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize("seed", range(30))
def test_a_randomly_changed_file_is_read_or_refused_in_one_line(node_file: Path, seed: int) -> None:
    rng = random.Random(seed)
    content = deepcopy(NODE_FILE)
    for _ in range(3):
        table = content
        while True:
            key = rng.choice(sorted(table) if isinstance(table, dict) else range(len(table)))
            if not isinstance(table[key], dict | list) or not table[key] or rng.random() < 0.3:
                table[key] = rng.choice([None, -1, 1e999, "x", [], {}, [[]], True, "127.0.0.1:80"])
                break
            table = table[key]
    try:
        config = load(node_file, content)
    except ValueError as error:
        reason = str(error)
    else:
        assert config.listen_address
        return
    assert "\n" not in reason


def test_a_wrong_configuration_ends_the_process_with_one_line_and_exit_code_2(
    node_file: Path,
) -> None:
    node_file.write_text(json.dumps(NODE_FILE | {"settings": {}}))
    process = run_until_exit(PROXY_CONFIG=str(node_file))
    assert process.returncode == 2
    assert process.stderr == "hookpitch: cannot start: setting methods is missing\n"


def test_a_reload_changes_the_discovery_address_and_accepts_lower_versions(node_file: Path) -> None:
    node = NodeOnMemoryNetwork()
    events = []
    node.info = lambda event, **fields: events.append(event)
    reload = reload_on_sighup(node, node_file, PROXY_DISCOVERY="h:1")
    for invalid in ("{", "[1]", "{}", '{"discovery": "nowhere"}', '{"discovery": 5}'):
        node_file.write_text(invalid)
        reload()
        assert events.pop() == "reload_failed", invalid
        assert not events, invalid
        assert node.network.connections_to(DISCOVERY_PORT), invalid
    node_file.write_text(json.dumps({"discovery": "127.0.0.3:8600"}))
    reload()
    node.pass_time(1)
    assert not node.network.connections_to(DISCOVERY_PORT)
    assert b"since=0 " in (connection := node.network.connections_to(8600)[0]).receive()
    # The node has version 5.
    answer = json.dumps({"seq": 2, "whole": True, "hosts": node.hosts[1:]}).encode() + b"\n"
    connection.send(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(answer), answer)
    )
    assert node.socket_node.discovery.version == 2
    assert node.socket_node.host.router.backends["s0"].state == EndpointState.REMOVED
    reload()  # the address has not changed: the watch stays open
    node.pass_time(1)
    assert node.network.connections_to(8600) == [connection]
    connection.close()
    node.pass_time(2000)
    assert b"since=2 " in node.network.connections_to(8600)[0].receive()


def test_a_reload_logs_changed_settings_those_that_need_a_restart_and_a_missing_file(
    node_file: Path,
) -> None:
    node = NodeOnMemoryNetwork()
    events: list[tuple[str, str]] = []
    node.info = lambda event, **fields: events.append(
        (event, str(fields.get("changed") or fields.get("setting")))
    )
    reload = reload_on_sighup(node, node_file)
    content = {"discovery": f"127.0.0.1:{DISCOVERY_PORT}", "settings": deepcopy(SETTINGS)}
    reload()
    assert [event for event, _ in events] == ["reload_failed"]
    assert node.counters.counts["config_reload_errors"] == 1
    assert "config_changes" not in node.counters.counts
    content["settings"]["limits"]["second_copies"] = True
    node_file.write_text(
        json.dumps(content | {"seed": 9, "listen": "127.0.0.1:1", "name": "other"})
    )
    events.clear()
    reload()
    ignored = [name for event, name in events if event == "change_requires_restart"]
    assert sorted(ignored) == ["listen", "name", "seed"]
    assert events[-1] == ("reloaded", "hedging_allowed")
    assert node.socket_node.host.deployment.seed == node.config.deployment.seed
    assert node.socket_node.config.listen_address[1] == 6379
    reload()
    assert events[-1] == ("reloaded", "nothing")
    assert node.counters.counts["config_changes"] == 1


def test_sighup_reloads_the_process_and_sigterm_shuts_it_down(node_file: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    node_file.write_text(json.dumps(NODE_FILE | {"listen": listen, "discovery": "127.0.0.1:1"}))
    node = subprocess.Popen(
        [sys.executable, "-m", "hookpitch"],
        env={"PROXY_CONFIG": str(node_file)},
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    try:
        for event, number in (
            ("serving", signal.SIGHUP),
            ("reloaded", signal.SIGTERM),
            ("shutdown_complete", 0),
        ):
            assert any(f'"{event}"' in line for line in node.stderr), event
            node.send_signal(number)
        assert node.wait(60) == 0
    finally:
        node.kill()
        node.stderr.close()


def test_an_unknown_section_of_the_operators_file_ends_the_process_with_exit_code_2(
    tmp_path: Path, node_file: Path
) -> None:
    operator_file = tmp_path / "node.toml"
    node_file.write_text(json.dumps(NODE_FILE))
    operator_file.write_text("[gatewya]\n")
    process = run_until_exit(PROXY_CONFIG=str(node_file), HOOKPITCH_CONFIG=str(operator_file))
    assert process.returncode == 2
    assert process.stderr.count("\n") == 1
    assert "gatewya: unknown section" in process.stderr


def test_reloads_switch_settings_back_and_forth_and_a_wrong_file_changes_nothing(
    node_file: Path,
) -> None:
    node = NodeOnMemoryNetwork()
    reload = reload_on_sighup(node, node_file)
    old = {"discovery": f"127.0.0.1:{DISCOVERY_PORT}", "settings": SETTINGS}
    new = deepcopy(old)
    new["settings"]["weights"] = "live"
    new["settings"]["limits"]["second_copies"] = True
    client = node.connect_client()

    def connections() -> list[MemoryConnection]:
        """Return the connections to both caches."""
        return node.network.connections_to(7000) + node.network.connections_to(7001)

    for step, content in enumerate((new, "{", old, new)):
        client.send(get_command(f"r{step}"))
        node.pass_time(1)
        if content == "{":
            invalid_settings = (
                {"weights": "x"},
                {"overage_gain": -1},
                {"overage_gain": float("nan")},
                {"methods": []},
            )
            for value in ({}, 7, *(SETTINGS | change for change in invalid_settings)):
                node_file.write_text(json.dumps(old | {"settings": value}))
                reload()
                assert node.logged_events[-1] == "reload_failed", value
                assert node.socket_node.host.router.retries.hedging_allowed, value
        else:
            node_file.write_text(json.dumps(content))
            reload()
            assert node.socket_node.host.router.retries.hedging_allowed == (content is new)
            assert (node.socket_node.host.router.endpoints.nominal_sizes is not None) == (
                content is new
            )
        commands = [
            data.split(b"\r\n")[6] for connection in connections() if (data := connection.receive())
        ]
        assert commands == [b"r%d" % step]  # sent exactly once
        for connection in connections():
            connection.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$13\r\noutstanding=1\r\n")
        node.pass_time(1)
        assert client.receive() == b"$1\r\nv\r\n"
    assert node.counters.counts["config_changes"] == 3
    assert node.counters.counts["config_reload_errors"] == 6


def test_sighup_is_ignored_before_the_node_is_imported() -> None:
    script = (
        "import signal, sys, hookpitch.__main__\n"
        "assert 'twisted' not in sys.modules and 'hookpitch.service' not in sys.modules\n"
        "import hookpitch.service\n"
        "hookpitch.service.run = lambda: signal.getsignal(signal.SIGHUP) == signal.SIG_IGN\n"
        "sys.exit(0 if hookpitch.__main__.main() else 1)\n"
    )
    root = Path(__file__).parent.parent
    environment = os.environ | {"PYTHONPATH": str(root)}
    completed = subprocess.run([sys.executable, "-c", script], cwd=root, env=environment)
    assert completed.returncode == 0
