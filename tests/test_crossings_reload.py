"""A reload at the same time as another event, on real sockets; see docs/crossings.md."""

import signal
import time
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest
from peers import MISS, VALUE, NodeProcess, PeerConnection, method_settings
from socket_node import get_command

from hookpitch.core.resp import ErrorReply

METHODS = [
    method_settings("read"),
    method_settings("once", "fragile"),
    method_settings("known", "dedup", window_s=4.0, group="all"),
]


def start_node(folder: Path, caches: int = 1) -> NodeProcess:
    """Return a node with the methods of this file and one tenant."""
    return NodeProcess(
        folder, caches, methods=METHODS, customers=[{"name": "small", "quota_per_s": 1.0}]
    )


def reload(node: NodeProcess, **settings: Any) -> None:  # noqa: ANN401
    """Reload the node with these settings changed, and wait until it has."""
    previous_count = node.counter("config_reloads")
    node.configuration["settings"] = deepcopy(node.settings) | settings
    node.write_configuration()
    node.signal(signal.SIGHUP)
    node.wait_until(lambda: node.counter("config_reloads") == previous_count + 1)


def send_rpc(node: NodeProcess, method: str) -> tuple[PeerConnection, PeerConnection]:
    """Send an RPC; return the connections of its client and of its attempt."""
    client = node.connect_client()
    client.send(get_command("r1", method=method, wait=5000))
    connection = node.caches[0].accept()
    assert connection.receive_value()[2] == b"r1"
    return client, connection


def test_rpcs_in_flight_of_a_removed_method_finish_under_the_old_settings(tmp_path: Path) -> None:
    with start_node(tmp_path) as node:
        client, connection = send_rpc(node, "read")
        reload(node, methods=[method_settings("other")])
        connection.send(MISS)
        origin = node.origin.accept()
        assert b"X-Request-Id: r1\r\n" in origin.receive_head()
        origin.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.receive_value() == b"v"
        client.send(get_command("r2", method="read"))  # the method was removed
        assert isinstance(client.receive_value(), ErrorReply)
        client.send(get_command("r3", method="other", wait=5000))
        assert connection.receive_value()[2] == b"r3"
        connection.send(VALUE)
        assert client.receive_value() == b"v"


@pytest.mark.parametrize(
    "new",
    [
        method_settings("known", "dedup", window_s=0.001, group="all"),
        method_settings("known", "fragile"),
        method_settings("known", "dedup", window_s=4.0, group="cell"),
    ],
)
def test_an_rpc_that_may_have_executed_is_retried_only_if_both_settings_allow(
    tmp_path: Path, new: dict[str, Any]
) -> None:
    with start_node(tmp_path, 2) as node:
        client = node.connect_client()
        client.send(get_command("r1", method="known", wait=5000))
        index, connection = node.accept_from_any_cache()
        assert connection.receive_value()[2] == b"r1"
        # The servers are in different cells, so they do not deduplicate each other's requests.
        node.hosts[1 - index]["block"], node.hosts[2]["block"] = (5, 9)
        node.answer_poll({"seq": 6, "whole": True, "hosts": node.hosts})
        node.wait_until(lambda: node.counter("lists.full") == 1)
        reload(node, methods=[METHODS[0], new])
        if new.get("group") == "cell":  # the server of the first attempt cannot be reached
            node.caches[index].listener.close()
        connection.reset()
        assert isinstance(client.receive_value(), ErrorReply)
        assert node.counter("upstream_requests") == 1 and not node.caches[
            1 - index
        ].has_pending_connection(0)


def test_a_relaxed_retry_rule_does_not_apply_to_an_rpc_in_flight(tmp_path: Path) -> None:
    with start_node(tmp_path) as node:
        client, connection = send_rpc(node, "once")
        # From now on, retries of the method are allowed.
        reload(node, methods=[method_settings("read"), method_settings("once")])
        connection.reset()
        assert (
            isinstance(client.receive_value(), ErrorReply)
            and node.counter("upstream_requests") == 1
        )


@pytest.mark.parametrize(
    "order", [[signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP]]
)
def test_a_reload_during_a_shutdown_loses_nothing(
    tmp_path: Path, order: list[signal.Signals]
) -> None:
    with start_node(tmp_path) as node:
        client, connection = send_rpc(node, "read")
        node.configuration["settings"]["methods"] = [method_settings("other", soft_s=0.1)]
        node.write_configuration()
        node.suspend()  # both signals are pending when the node resumes
        for number in order:
            node.signal(number)
        node.resume()
        node.wait_for_log("reloaded")
        node.wait_for_log("graceful_shutdown_started")
        connection.send(VALUE)
        assert client.receive_value() == b"v" and client.wait_for_close() == "fin"
        assert node.wait_for_exit() == 0


@pytest.mark.parametrize(
    "text", ["", "{", '{"discovery": "127.0.0.1:1", "settings": {"methods": []}}', "[]"]
)
def test_a_truncated_file_or_one_without_methods_changes_nothing(tmp_path: Path, text: str) -> None:
    with start_node(tmp_path) as node:
        client, connection = send_rpc(node, "read")
        node.path.write_text(text)
        node.signal(signal.SIGHUP)
        node.wait_for_log("reload_failed")
        connection.send(VALUE)
        assert client.receive_value() == b"v" and node.counter("config_reload_errors") == 1


def test_a_reload_with_a_new_discovery_address_polls_there_at_once(
    tmp_path: Path,
) -> None:
    with start_node(tmp_path) as node:
        old = node.answer_poll(node.endpoint_change(6, 0))
        node.wait_until(lambda: node.counter("lists.delta") == 1)
        # The origin's peer acts as the new discovery.
        node.configuration["discovery"] = f"127.0.0.1:{node.origin.port}"
        node.write_configuration()
        node.signal(signal.SIGHUP)
        new = node.origin.accept()
        assert b"since=0 " in new.receive_head()
        assert old.wait_for_close() in ("fin", "reset")
        started_at = time.monotonic()
        node.origin.close()  # the node polls again and keeps the previous list meanwhile
        node.wait_until(lambda: node.counter("lists.failed") >= 2)
        assert time.monotonic() - started_at < 6.0
        client, connection = send_rpc(node, "read")
        connection.send(VALUE)
        assert client.receive_value() == b"v"


def test_quotas_and_counters_go_by_name_and_not_by_position(tmp_path: Path) -> None:
    with start_node(tmp_path) as node:
        connection = None
        for index in range(3):
            client = node.connect_client()
            client.send(get_command(f"a{index}", method="read", wait=5000))
            connection = connection or node.caches[0].accept()
            assert connection.receive_value()[2] == b"a%d" % index
            connection.send(VALUE)
            assert client.receive_value() == b"v"
        previous_count = node.counter("completed.read")
        tenants = [{"name": "new", "quota_per_s": 5.0}, {"name": "small", "quota_per_s": 1.0}]
        family_info = {"mode": "aside", "origin_kind": 2}
        reload(
            node,
            methods=[method_settings("first"), *reversed(METHODS)],
            customers=tenants,
            host_types=["box", "std", "origin"],
            family_info=family_info,
        )
        assert (
            node.counter("completed.read") == previous_count == 3
            and node.counter("completed.first") == 0
        )
        client = node.connect_client()
        client.send(get_command("b1", method="first", wait=5000))
        # The origin and the cache keep their roles although the host types are renumbered.
        assert connection.receive_value()[2] == b"b1"
        connection.send(VALUE)
        assert client.receive_value() == b"v" and node.counter("completed.first") == 1
