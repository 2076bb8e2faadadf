"""A reload beside what else happens, on real sockets; see docs/crossings.md."""

import signal
import time
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest
from peers import MISS, VALUE, Line, Real, method
from socket_node import get_command

from hookpitch.core.resp import ErrorReply

METHODS = [
    method("read"),
    method("once", "fragile"),
    method("known", "dedup", window_s=4.0, group="all"),
]


def real(folder: Path, caches: int = 1) -> Real:
    return Real(folder, caches, methods=METHODS, customers=[{"name": "small", "quota_per_s": 1.0}])


def reload(r: Real, **settings: Any) -> None:  # noqa: ANN401
    before = r.count("config_reloads")
    r.told["settings"] = deepcopy(r.settings) | settings
    r.write()
    r.signal(signal.SIGHUP)
    r.until(lambda: r.count("config_reloads") == before + 1)


def asked(r: Real, name: str) -> tuple[Line, Line]:
    client = r.client()
    client.say(get_command("r1", method=name, wait=5000))
    line = r.caches[0].accept()
    assert line.value()[2] == b"r1"
    return client, line


def test_rpcs_in_flight_of_a_removed_method_finish_under_the_old_settings(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "read")
        reload(r, methods=[method("other")])
        line.say(MISS)
        origin = r.origin.accept()
        assert b"X-Request-Id: r1\r\n" in origin.head()
        origin.say(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        assert client.value() == b"v"
        client.say(get_command("r2", method="read"))  # nobody knows it any more
        assert isinstance(client.value(), ErrorReply)
        client.say(get_command("r3", method="other", wait=5000))
        assert line.value()[2] == b"r3"
        line.say(VALUE)
        assert client.value() == b"v"


@pytest.mark.parametrize(
    "new",
    [
        method("known", "dedup", window_s=0.001, group="all"),
        method("known", "fragile"),
        method("known", "dedup", window_s=4.0, group="cell"),
    ],
)
def test_an_rpc_that_may_have_executed_is_retried_only_if_both_settings_allow(
    tmp_path: Path, new: dict[str, Any]
) -> None:
    with real(tmp_path, 2) as r:
        client = r.client()
        client.say(get_command("r1", method="known", wait=5000))
        n, line = r.asked()
        assert line.value()[2] == b"r1"
        r.hosts[1 - n]["block"], r.hosts[2]["block"] = (
            5,
            9,
        )  # each of another cell: it knows no repeats
        r.watch({"seq": 6, "whole": True, "hosts": r.hosts})
        r.until(lambda: r.count("lists.full") == 1)
        reload(r, methods=[METHODS[0], new])
        if new.get("group") == "cell":  # nor is it asked where it cannot be
            r.caches[n].listener.close()
        line.reset()
        assert isinstance(client.value(), ErrorReply)
        assert r.count("upstream_requests") == 1 and not r.caches[1 - n].dialled(0)


def test_a_relaxed_retry_rule_does_not_apply_to_an_rpc_in_flight(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "once")
        reload(r, methods=[method("read"), method("once")])  # it may run again, from now on
        line.reset()
        assert isinstance(client.value(), ErrorReply) and r.count("upstream_requests") == 1


@pytest.mark.parametrize(
    "order", [[signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP]]
)
def test_a_reload_during_a_shutdown_loses_nothing(
    tmp_path: Path, order: list[signal.Signals]
) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "read")
        r.told["settings"]["methods"] = [method("other", soft_s=0.1)]
        r.write()
        r.stop()  # both stand before it as it goes on
        for number in order:
            r.signal(number)
        r.go_on()
        r.log("reloaded")
        r.log("graceful_shutdown_started")
        line.say(VALUE)
        assert client.value() == b"v" and client.ended() == "fin"
        assert r.left() == 0


@pytest.mark.parametrize(
    "text", ["", "{", '{"discovery": "127.0.0.1:1", "settings": {"methods": []}}', "[]"]
)
def test_a_truncated_file_or_one_without_methods_changes_nothing(tmp_path: Path, text: str) -> None:
    with real(tmp_path) as r:
        client, line = asked(r, "read")
        r.path.write_text(text)
        r.signal(signal.SIGHUP)
        r.log("reload_failed")
        line.say(VALUE)
        assert client.value() == b"v" and r.count("config_reload_errors") == 1


def test_a_reload_with_a_new_discovery_address_polls_there_at_once(
    tmp_path: Path,
) -> None:
    with real(tmp_path) as r:
        old = r.watch(r.change(6, 0))
        r.until(lambda: r.count("lists.delta") == 1)
        r.told["discovery"] = f"127.0.0.1:{r.origin.port}"  # another peer
        r.write()
        r.signal(signal.SIGHUP)
        new = r.origin.accept()
        assert b"since=0 " in new.head()
        assert old.ended() in ("fin", "reset")
        began = time.monotonic()
        r.origin.close()  # and it is asked again, while the list of before stands
        r.until(lambda: r.count("lists.failed") >= 2)
        assert time.monotonic() - began < 6.0
        client, line = asked(r, "read")
        line.say(VALUE)
        assert client.value() == b"v"


def test_quotas_and_counters_go_by_name_and_not_by_position(tmp_path: Path) -> None:
    with real(tmp_path) as r:
        line = None
        for n in range(3):
            client = r.client()
            client.say(get_command(f"a{n}", method="read", wait=5000))
            line = line or r.caches[0].accept()
            assert line.value()[2] == b"a%d" % n
            line.say(VALUE)
            assert client.value() == b"v"
        counted = r.count("completed.read")
        shares = [{"name": "new", "quota_per_s": 5.0}, {"name": "small", "quota_per_s": 1.0}]
        aside = {"mode": "aside", "origin_kind": 2}
        reload(
            r,
            methods=[method("first"), *reversed(METHODS)],
            customers=shares,
            host_types=["box", "std", "origin"],
            family_info=aside,
        )
        assert r.count("completed.read") == counted == 3 and r.count("completed.first") == 0
        client = r.client()
        client.say(get_command("b1", method="first", wait=5000))
        assert line.value()[2] == b"b1"  # the origin is still the origin, the cache a cache
        line.say(VALUE)
        assert client.value() == b"v" and r.count("completed.first") == 1
