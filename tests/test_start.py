"""What a node is told at its start, read or refused in one clear line."""

import json
import random
import signal
import socket
import subprocess
import sys
from copy import deepcopy
from functools import partial
from pathlib import Path

import pytest
from memory_network import MemoryConnection
from socket_node import DISCOVERY, SETTINGS, Sockets, get, listed_host

from hookpitch.balancer.interface import EndpointState
from hookpitch.net.node_config import NodeConfig, load_node_config, load_reloaded_config

TOLD = {
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


def start(folder: Path, told: object, **environment: str) -> NodeConfig:
    path = folder / "node.json"
    path.write_text(told if isinstance(told, str) else json.dumps(told))
    return load_node_config({"PROXY_CONFIG": str(path)} | environment)


def test_all_that_is_told_is_read(tmp_path: Path) -> None:
    p = start(tmp_path, TOLD, PROXY_LISTEN="[::1]:7777")
    assert (
        p.name,
        p.listen_address,
        p.discovery_address,
        p.descriptor_limit,
        p.memory_mb,
        p.endpoints_version,
    ) == (
        "n3",
        ("::1", 7777),
        ("127.0.0.2", 8500),
        1024,
        192,
        41,
    )
    assert (
        p.deployment.seed == 0x8C1F30D27A5BE964
        and p.deployment.polling_required
        and p.deployment.origin_kind == 1
    )
    assert (
        p.deployment.connect_timeout_ms == 250.0
        and p.deployment.connection_idle_timeout_ms == 60000.0
    )
    (e,) = p.initial_endpoints
    assert (e.id, e.kind, e.cell, e.started_ms, p.addresses) == (
        "s0",
        0,
        3,
        1.7e12,
        {"s0": "127.0.0.1:7000"},
    )


@pytest.mark.parametrize(
    ("path", "value", "said"),
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
def test_what_is_wrong_is_named(tmp_path: Path, path: list[str], value: object, said: str) -> None:
    told: object = deepcopy(TOLD)
    if path:
        table = told
        for name in path[:-1]:
            table = table[name]
        table[path[-1]] = value
    else:
        told = value
    with pytest.raises(ValueError, match=said) as fault:
        start(tmp_path, told)
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize("seed", range(30))
def test_whatever_stands_there_is_read_or_refused(tmp_path: Path, seed: int) -> None:
    rng, told = random.Random(seed), deepcopy(TOLD)
    for _ in range(3):
        table = told
        while True:
            key = rng.choice(sorted(table) if isinstance(table, dict) else range(len(table)))
            if not isinstance(table[key], dict | list) or not table[key] or rng.random() < 0.3:
                table[key] = rng.choice([None, -1, 1e999, "x", [], {}, [[]], True, "127.0.0.1:80"])
                break
            table = table[key]
    try:
        assert start(tmp_path, told).listen_address
    except ValueError as fault:
        assert "\n" not in str(fault)


def test_a_broken_configuration_ends_the_program_with_one_line_and_2(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(TOLD | {"settings": {}}))
    done = subprocess.run(
        [sys.executable, "-m", "hookpitch"],
        env={"PROXY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
        timeout=60,
        check=False,
    )
    assert (
        done.returncode == 2
        and done.stderr == "hookpitch: cannot start: setting methods is missing\n"
    )


def test_a_new_file_moves_discovery_whose_versions_may_count_anew(tmp_path: Path) -> None:
    s, path, said = Sockets(), tmp_path / "node.json", []
    s.info = lambda event, **values: said.append(event)
    reload = partial(
        s.node.reload,
        partial(load_reloaded_config, {"PROXY_CONFIG": str(path), "PROXY_DISCOVERY": "h:1"}),
    )
    for bad in ("{", "[1]", "{}", '{"discovery": "nowhere"}', '{"discovery": 5}'):
        path.write_text(bad)
        reload()
        assert said.pop() == "not reloaded" and not said and s.network.to(DISCOVERY), bad
    path.write_text(json.dumps({"discovery": "127.0.0.3:8600"}))
    reload()
    s.pass_time(1)
    assert not s.network.to(DISCOVERY) and b"since=0 " in (line := s.network.to(8600)[0]).take()
    told = json.dumps({"seq": 2, "whole": True, "hosts": s.hosts[1:]}).encode() + b"\n"  # held: 5
    line.say(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(told), told)
    )
    assert (
        s.node.discovery.version == 2
        and s.node.host.router.backends["s0"].state == EndpointState.REMOVED
    )
    reload()  # the same again: the watch goes on
    s.pass_time(1)
    assert s.network.to(8600) == [line]
    line.end()
    s.pass_time(2000)
    assert b"since=2 " in s.network.to(8600)[0].take()


def test_an_operator_is_told_what_acts_what_stays_and_that_a_file_is_not_there(
    tmp_path: Path,
) -> None:
    s, path, said = Sockets(), tmp_path / "node.json", list[tuple[str, str]]()
    s.info = lambda event, **values: said.append(
        (event, str(values.get("changed") or values.get("what")))
    )
    reload = partial(s.node.reload, partial(load_reloaded_config, {"PROXY_CONFIG": str(path)}))
    told = {"discovery": f"127.0.0.1:{DISCOVERY}", "settings": deepcopy(SETTINGS)}
    reload()
    assert [event for event, _ in said] == ["not reloaded"]
    assert (
        s.counters.counts["config_reload_errors"] == 1 and "config_changes" not in s.counters.counts
    )
    told["settings"]["limits"]["second_copies"] = True
    path.write_text(json.dumps(told | {"seed": 9, "listen": "127.0.0.1:1", "name": "other"}))
    said.clear()
    reload()
    stays = [what for event, what in said if event == "stays until a restart"]
    assert sorted(stays) == ["listen", "name", "seed"] and said[-1] == (
        "reloaded",
        "hedging_allowed",
    )
    assert (
        s.node.host.deployment.seed == s.config.deployment.seed
        and s.node.config.listen_address[1] == 6379
    )
    reload()
    assert said[-1] == ("reloaded", "nothing") and s.counters.counts["config_changes"] == 1


def test_a_node_survives_sighup_and_leaves_on_sigterm(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    path.write_text(json.dumps(TOLD | {"listen": listen, "discovery": "127.0.0.1:1"}))
    node = subprocess.Popen(
        [sys.executable, "-m", "hookpitch"],
        env={"PROXY_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    try:
        for event, number in (
            ("serving", signal.SIGHUP),
            ("reloaded", signal.SIGTERM),
            ("left", 0),
        ):
            assert any(f'"{event}"' in line for line in node.stderr), event
            node.send_signal(number)
        assert node.wait(60) == 0
    finally:
        node.kill()
        node.stderr.close()


def test_the_operators_file_is_checked_whole_at_the_start(tmp_path: Path) -> None:
    path, own = tmp_path / "node.json", tmp_path / "node.toml"
    path.write_text(json.dumps(TOLD))
    own.write_text("[gatewya]\n")
    done = subprocess.run(
        [sys.executable, "-m", "hookpitch"],
        env={"PROXY_CONFIG": str(path), "HOOKPITCH_CONFIG": str(own)},
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
        timeout=60,
        check=False,
    )
    assert (
        done.returncode == 2
        and done.stderr.count("\n") == 1
        and "gatewya: no such section" in done.stderr
    )


def test_settings_are_switched_there_and_back_and_a_bad_file_changes_nothing(
    tmp_path: Path,
) -> None:
    s, path = Sockets(), tmp_path / "node.json"
    reload = partial(s.node.reload, partial(load_reloaded_config, {"PROXY_CONFIG": str(path)}))
    old = {"discovery": f"127.0.0.1:{DISCOVERY}", "settings": SETTINGS}
    new = deepcopy(old)
    new["settings"]["weights"] = "live"
    new["settings"]["limits"]["second_copies"] = True
    c = s.client()

    def lines() -> list[MemoryConnection]:
        return s.network.to(7000) + s.network.to(7001)

    for step, told in enumerate((new, "{", old, new)):
        c.say(get(f"r{step}"))
        s.pass_time(1)
        if told == "{":
            wrong = (
                {"weights": "x"},
                {"overage_gain": -1},
                {"overage_gain": float("nan")},
                {"methods": []},
            )
            for value in ({}, 7, *(SETTINGS | change for change in wrong)):
                path.write_text(json.dumps(old | {"settings": value}))
                reload()
                assert (
                    s.logs[-1] == "not reloaded" and s.node.host.router.retries.hedging_allowed
                ), value
        else:
            path.write_text(json.dumps(told))
            reload()
            assert s.node.host.router.retries.hedging_allowed == (told is new)
            assert (s.node.host.router.endpoints.nominal_sizes is not None) == (told is new)
        asked = [data.split(b"\r\n")[6] for line in lines() if (data := line.take())]
        assert asked == [b"r%d" % step]  # sent once, and not again
        for line in lines():
            line.say(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$13\r\noutstanding=1\r\n")
        s.pass_time(1)
        assert c.take() == b"$1\r\nv\r\n"
    assert (
        s.counters.counts["config_changes"] == 3 and s.counters.counts["config_reload_errors"] == 6
    )
