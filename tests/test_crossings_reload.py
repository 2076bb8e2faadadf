"""A reload beside what else happens, on real sockets; see docs/crossings.md."""

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


def real(folder: Path, caches: int = 1) -> NodeProcess:
    return NodeProcess(
        folder, caches, methods=METHODS, customers=[{"name": "small", "quota_per_s": 1.0}]
    )


def reload(r: NodeProcess, **settings: Any) -> None:  # noqa: ANN401
    before = r.counter("config_reloads")
    r.configuration["settings"] = deepcopy(r.settings) | settings
    r.write_configuration()
    r.signal(signal.SIGHUP)
    r.wait_until(lambda: r.counter("config_reloads") == before + 1)


def asked(r: NodeProcess, name: str) -> tuple[PeerConnection, PeerConnection]:
    client = r.connect_client()
    client.send(get_command("r1", method=name, wait=5000))
    line = r.caches[0].accept()
    assert line.receive_value()[2] == b"r1"
    return client, line


def test_rpcs_in_flight_of_a_removed_method_finish_under_the_old_settings(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "read")
        reload(r, methods=[method_settings("other")])
        line.send(MISS)
        origin = r.origin.accept()
        assert b"X-Request-Id: r1\r\n" in origin.receive_head()
        origin.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.receive_value() == b"v"
        client.send(get_command("r2", method="read"))  # nobody knows it any more
        assert isinstance(client.receive_value(), ErrorReply)
        client.send(get_command("r3", method="other", wait=5000))
        assert line.receive_value()[2] == b"r3"
        line.send(VALUE)
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
    with real(tmp_path, 2) as r:
        client = r.connect_client()
        client.send(get_command("r1", method="known", wait=5000))
        n, line = r.accept_from_any_cache()
        assert line.receive_value()[2] == b"r1"
        r.hosts[1 - n]["block"], r.hosts[2]["block"] = (
            5,
            9,
        )  # each of another cell: it knows no repeats
        r.answer_poll({"seq": 6, "whole": True, "hosts": r.hosts})
        r.wait_until(lambda: r.counter("lists.full") == 1)
        reload(r, methods=[METHODS[0], new])
        if new.get("group") == "cell":  # nor is it asked where it cannot be
            r.caches[n].listener.close()
        line.reset()
        assert isinstance(client.receive_value(), ErrorReply)
        assert r.counter("upstream_requests") == 1 and not r.caches[1 - n].has_pending_connection(0)


def test_a_relaxed_retry_rule_does_not_apply_to_an_rpc_in_flight(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "once")
        reload(
            r, methods=[method_settings("read"), method_settings("once")]
        )  # it may run again, from now on
        line.reset()
        assert (
            isinstance(client.receive_value(), ErrorReply) and r.counter("upstream_requests") == 1
        )


@pytest.mark.parametrize(
    "order", [[signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP]]
)
def test_a_reload_during_a_shutdown_loses_nothing(
    tmp_path: Path, order: list[signal.Signals]
) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "read")
        r.configuration["settings"]["methods"] = [method_settings("other", soft_s=0.1)]
        r.write_configuration()
        r.suspend()  # both stand before it as it goes on
        for number in order:
            r.signal(number)
        r.resume()
        r.wait_for_log("reloaded")
        r.wait_for_log("graceful_shutdown_started")
        line.send(VALUE)
        assert client.receive_value() == b"v" and client.wait_for_close() == "fin"
        assert r.wait_for_exit() == 0


@pytest.mark.parametrize(
    "text", ["", "{", '{"discovery": "127.0.0.1:1", "settings": {"methods": []}}', "[]"]
)
def test_a_truncated_file_or_one_without_methods_changes_nothing(tmp_path: Path, text: str) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "read")
        r.path.write_text(text)
        r.signal(signal.SIGHUP)
        r.wait_for_log("reload_failed")
        line.send(VALUE)
        assert client.receive_value() == b"v" and r.counter("config_reload_errors") == 1


def test_a_reload_with_a_new_discovery_address_polls_there_at_once(
    tmp_path: Path,
) -> None:
    with real(tmp_path) as r:
        old = r.answer_poll(r.endpoint_change(6, 0))
        r.wait_until(lambda: r.counter("lists.delta") == 1)
        r.configuration["discovery"] = f"127.0.0.1:{r.origin.port}"  # another peer
        r.write_configuration()
        r.signal(signal.SIGHUP)
        new = r.origin.accept()
        assert b"since=0 " in new.receive_head()
        assert old.wait_for_close() in ("fin", "reset")
        began = time.monotonic()
        r.origin.close()  # and it is asked again, while the list of before stands
        r.wait_until(lambda: r.counter("lists.failed") >= 2)
        assert time.monotonic() - began < 6.0
        client, line = asked(r, "read")
        line.send(VALUE)
        assert client.receive_value() == b"v"


def test_quotas_and_counters_go_by_name_and_not_by_position(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        line = None
        for n in range(3):
            client = r.connect_client()
            client.send(get_command(f"a{n}", method="read", wait=5000))
            line = line or r.caches[0].accept()
            assert line.receive_value()[2] == b"a%d" % n
            line.send(VALUE)
            assert client.receive_value() == b"v"
        counted = r.counter("completed.read")
        shares = [{"name": "new", "quota_per_s": 5.0}, {"name": "small", "quota_per_s": 1.0}]
        aside = {"mode": "aside", "origin_kind": 2}
        reload(
            r,
            methods=[method_settings("first"), *reversed(METHODS)],
            customers=shares,
            host_types=["box", "std", "origin"],
            family_info=aside,
        )
        assert r.counter("completed.read") == counted == 3 and r.counter("completed.first") == 0
        client = r.connect_client()
        client.send(get_command("b1", method="first", wait=5000))
        assert line.receive_value()[2] == b"b1"  # the origin is still the origin, the cache a cache
        line.send(VALUE)
        assert client.receive_value() == b"v" and r.counter("completed.first") == 1
