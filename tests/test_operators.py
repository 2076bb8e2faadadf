"""What operators do: the door, bans, drains, and what two processes of one node share."""

import os
import socket
from pathlib import Path

import pytest
from fleet import Fleet, deployment, entry
from memory_network import MemoryConnection
from socket_node import Sockets, get, listed_host

from hookpitch.balancer.interface import EndpointState, EndpointUpdate, Outcome
from hookpitch.net.admin import CALL_TIMEOUT_MS, MAX_CALLERS, MAX_CLOSING
from hookpitch.net.node_config import check_inherited_descriptor
from hookpitch.net.shared_state import SharedState, decode_command, encode_command


def call(s: Sockets, text: bytes) -> bytes:
    caller = MemoryConnection(s.network, s.node.admin_server.buildProtocol(None), 0)
    caller.say(text)
    got = caller.take()
    s.pass_time(0)
    assert caller.ended and caller.protocol not in s.node.admin_server.waiting
    return got


def figures(s: Sockets) -> dict[str, int]:
    got = call(s, b"METRICS\n").decode().splitlines()
    assert got.pop() == "END" and all(text.startswith("svc.") for text in got)
    return {name[4:]: int(value) for name, _, value in (text.partition("=") for text in got)}


# ---- the door


@pytest.mark.parametrize(
    ("said", "answer"),
    [
        (b"STATUS\n", b"YES\n"),
        (b"STATUS\r\n", b"YES\n"),
        (b"SUSPEND s0\n", b"YES\n"),
        (b"RESTORE s0\n", b"YES\n"),
        (b"PAUSE\n", b"YES\n"),
        (b"RESUME\n", b"YES\n"),
        (b"STATUS now\n", b"NO STATUS takes nothing\n"),
        (b"SUSPEND\n", b"NO SUSPEND takes one id\n"),
        (b"SUSPEND a b\n", b"NO SUSPEND takes one id\n"),
        (b"SUSPEND nobody\n", b"NO no such cache server\n"),
        (b"SUSPEND o1\n", b"NO no such cache server\n"),
        (b"SUSPEND \xff\n", b"NO the id cannot be read\n"),
        (b"RESTORE nobody\n", b"NO no such cache server\n"),
        (b"PAUSE\nRESUME\nSTATUS\n", b"YES\n"),
    ],
)
def test_each_call_has_one_answer_and_the_connection_ends(said: bytes, answer: bytes) -> None:
    assert call(Sockets(), said) == answer


@pytest.mark.parametrize(
    "said", [b"\n", b"status\n", b"\x00\xff\n", b"GET / HTTP/1.1\r\n", b"x" * 100_000]
)
def test_what_is_no_call_is_told_so(said: bytes) -> None:
    assert call(Sockets(), said).startswith(b"NO ")


def test_callers_that_say_nothing_are_bounded_and_delay_nobody() -> None:
    s = Sockets()
    mute = [
        MemoryConnection(s.network, s.node.admin_server.buildProtocol(None), 0)
        for _ in range(MAX_CALLERS)
    ]
    mute[0].say(b"STAT")
    assert (
        call(s, b"STATUS\n") == b"YES\n" and s.node.admin_server.connections == MAX_CALLERS - 1
    )  # the oldest gave way
    while (protocol := s.node.admin_server.buildProtocol(None)) is not None:
        MemoryConnection(s.network, protocol, 0)
    assert s.node.admin_server.connections == MAX_CALLERS + MAX_CLOSING
    s.pass_time(CALL_TIMEOUT_MS + 1)
    assert s.node.admin_server.connections == 0 and not s.node.admin_server.waiting


# ---- figures


def test_figures_count_final_answers_by_method_and_attempts_written_whole() -> None:
    s = Sockets()
    client = s.client()
    client.say(get("a"))
    s.pass_time(1)
    assert figures(s)["upstream_requests"] == 0  # nothing is written whole yet
    assert s.request(7000) or s.request(7001)
    told = figures(s)
    assert told["pending"] == 1 and told["members"] == 2 and told["members_unavailable"] == 0
    assert told["upstream_requests"] == 1 and told["completed.read"] == 0
    line = next(line for port in (7000, 7001) for line in s.network.to(port))
    line.say(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    told = figures(s)
    assert told["pending"] == 0 and told["completed.read"] == 1 and client.take() == b"$1\r\nv\r\n"
    client.say(get("b", wait=40))
    s.pass_time(50)
    told = figures(s)
    assert told["rejected.read"] + told["failed.read"] == 1 and told["pending"] == 0


def test_members_avoided_by_hand_or_by_list_are_told() -> None:
    s = Sockets(3)
    call(s, b"SUSPEND s1\n")
    assert (figures(s)["members"], figures(s)["members_unavailable"]) == (3, 1)
    s.node.discovery.list_received(
        b'{"seq":6,"whole":false,"hosts":[%s]}'
        % (str(listed_host("s2", 7002, health="terminating")).replace("'", '"').encode())
    )
    assert figures(s)["members_unavailable"] == 2


# ---- bans


def asked(fleet: Fleet, count: int = 200) -> set[str]:
    """The servers that so many keys are sent to."""
    before = len(fleet.sends)
    for n in range(count):
        rpc = fleet.arrive(key=f"k{n}")
        if rpc in fleet.open and fleet.attempts[rpc]:
            fleet.end(rpc, Outcome.COMPLETED)
        fleet.pass_time(5)
    return {server for _, server, _ in fleet.sends[before:]}


def banned_fleet() -> Fleet:
    fleet = Fleet(deployment(hedging_allowed=False))
    fleet.listed([entry("s1"), entry("s2"), entry("s3")])
    assert asked(fleet) == {"s1", "s2", "s3"}
    fleet.router.set_banned(fleet.now, "s2", True)
    fleet.settle()
    return fleet


def test_a_ban_outlasts_whole_lists_changes_and_a_return_under_the_same_id() -> None:
    fleet = banned_fleet()
    assert "s2" not in asked(fleet)
    fleet.listed([entry("s1"), entry("s2", started=fleet.now), entry("s3")])
    assert "s2" not in asked(fleet)
    fleet.listed([entry("s2", EndpointState.REMOVED)], EndpointUpdate.DELTA)
    fleet.listed([entry("s2")], EndpointUpdate.DELTA)
    fleet.listed([entry("s1"), entry("s3")])
    fleet.listed([entry("s1"), entry("s2"), entry("s3")])
    assert "s2" not in asked(fleet) and fleet.router.backends["s2"].state != EndpointState.READY


def test_two_bans_are_undone_by_one_call_and_the_server_comes_back_cold_and_without_strikes() -> (
    None
):
    fleet = banned_fleet()
    fleet.router.set_banned(fleet.now, "s2", True)
    b = fleet.router.backends["s2"]
    b.consecutive_failures, b.ejected, b.ejected_until, b.ejection_ms = (
        3,
        True,
        fleet.now + 1e6,
        1e6,
    )
    fleet.router.set_banned(fleet.now, "s2", False)
    assert (
        b.state == EndpointState.READY
        and fleet.now < b.warmup_until
        and not b.ejected
        and b.consecutive_failures == 0
    )
    assert "s2" in asked(fleet, 400)


def test_lines_before_a_banned_server_are_decided_anew_and_the_last_cache_may_be_banned() -> None:
    fleet = Fleet(deployment(hedging_allowed=False))
    fleet.listed([entry("s1")])
    for n in range(30):
        fleet.arrive(key=f"k{n}")
    fleet.settle()
    a = fleet.router.backends["s1"]
    assert a.fresh_queue
    fleet.router.set_banned(fleet.now, "s1", True)
    fleet.settle()
    assert not a.fresh_queue and not a.retry_queue
    assert not [rpc for rpc in fleet.router.rpcs.values() if not rpc.in_flight and not rpc.closed]


# ---- drains


def test_a_paused_node_says_no_serves_what_comes_and_closes_what_is_idle() -> None:
    s = Sockets()
    idle, busy, late = s.client(), s.client(), s.client()
    idle.say(b"PING\r\n".join([b"*1\r\n$4\r\n", b""]))
    assert idle.take() == b"+PONG\r\n"
    late.pending = get("b")  # stands unread in the kernel
    assert call(s, b"PAUSE\n") == b"YES\n" and call(s, b"STATUS\n") == b"NO draining\n"
    front = s.client()
    front.say(b"*1\r\n$4\r\nPING\r\n")
    assert front.take().startswith(b"-")
    s.pass_time(400)
    busy.say(get("a"))  # still served
    s.pass_time(105)
    assert idle.ended and not busy.ended and not late.ended
    for cache in s.network.to(7000) + s.network.to(7001):
        cache.say(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    s.pass_time(1)
    assert busy.take() == late.take() == b"$1\r\nv\r\n" and busy.ended and late.ended
    mute = s.client()
    s.pass_time(1500)
    assert mute.ended and not s.node.shutting_down
    assert call(s, b"RESUME\n") == b"YES\n"
    back = s.client()
    back.say(b"*1\r\n$4\r\nPING\r\n")
    s.pass_time(1500)
    assert back.take() == b"+PONG\r\n" and not back.ended and call(s, b"STATUS\n") == b"YES\n"


def test_a_drain_ended_at_once_closes_nothing() -> None:
    s = Sockets()
    client = s.client()
    client.say(b"*1\r\n$4\r\nPING\r\n")
    for said in (b"PAUSE\n", b"PAUSE\n", b"RESUME\n", b"RESUME\n"):
        assert call(s, said) == b"YES\n"
    s.pass_time(1500)
    assert not client.ended and client.take() == b"+PONG\r\n"


# ---- what processes share


def handover(folder: Path, told: list[str]) -> SharedState:
    return SharedState(str(folder), "n/0", told.append)


def news(process: SharedState) -> list[tuple[str, str]]:
    return [call for call in process.read_new() if call[0] != "START"]


def test_calls_are_seen_by_both_in_one_order(tmp_path: Path) -> None:
    one, told = handover(tmp_path, []), []
    one.append("SUSPEND", "s 1/é")
    one.append("PAUSE")
    file = os.open(next(tmp_path.glob("*.calls")), os.O_RDWR | os.O_APPEND)
    os.write(file, encode_command("RESTORE", "s2")[:9])  # killed as it wrote
    one.append("RESUME")
    two = SharedState(str(tmp_path), "n/0", told.append, "2")
    assert two.other_processes and one.find_other_processes() == ["2"]
    calls = [("SUSPEND", "s 1/é"), ("PAUSE", ""), ("RESUME", "")]
    assert news(one) == calls and news(one) == []
    assert news(two) == calls and len(told) == 1
    two.close()
    assert one.find_other_processes() == []
    os.close(file)


@pytest.mark.parametrize("verb", ["SUSPEND", "PAUSE"])
def test_a_record_cut_or_changed_at_any_byte_is_none(verb: str) -> None:
    whole = encode_command(verb, "s-5be2a07c" if verb == "SUSPEND" else "").rstrip(b"\n")
    assert decode_command(whole) is not None
    for n in range(len(whole)):
        assert decode_command(whole[:n]) is None
        assert decode_command(whole[:n] + bytes([whole[n] ^ 1]) + whole[n + 1 :]) is None
    assert decode_command(whole.replace(b"1 ", b"2 ", 1)) is None


def test_a_file_that_grew_is_written_anew_only_where_nobody_else_reads_it(tmp_path: Path) -> None:
    one = handover(tmp_path, [])
    for _ in range(1500):
        one.append("SUSPEND", "s1")
        one.append("RESTORE", "s1")
    assert len(news(one)) == 3000
    one.compact([("SUSPEND", "s2")])
    assert not list(one.read_new())
    one._at = 0
    assert list(one.read_new()) == [("SUSPEND", "s2")]


def test_a_folder_that_cannot_be_used_is_told_and_the_node_serves(tmp_path: Path) -> None:
    with pytest.raises(OSError):
        handover(tmp_path / "none", [])
    (tmp_path / "hookpitch-n%2F0.calls").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError):
        handover(tmp_path, [])


def test_two_processes_hold_what_one_may_and_the_last_gets_all_back(tmp_path: Path) -> None:
    s = Sockets(shared=str(tmp_path), sockets=384)
    s.pass_time(300)
    servers, room = s.node.pools.max_descriptors, s.node.clients.max_connections
    other = SharedState(str(tmp_path), "n0", s.logs.append, "2")
    other.append("SUSPEND", "s1")
    s.pass_time(250)
    assert (
        s.node.process_count == 2
        and s.node.pools.max_descriptors == servers // 2
        and s.node.clients.max_connections == room // 2
    )
    assert s.node.host.router.quotas.process_share == 0.5 and figures(s)["members_unavailable"] == 1
    call(s, b"PAUSE\n")
    call(s, b"RESTORE s1\n")
    assert [verb for verb, _ in other.read_new()][-3:] == ["SUSPEND", "PAUSE", "RESTORE"]
    other.close()
    s.pass_time(250)
    assert (
        s.node.process_count == 1
        and s.node.pools.max_descriptors == servers
        and s.node.host.router.quotas.process_share == 1.0
    )
    s.node.shared_state.close()


def test_a_process_that_starts_beside_another_has_its_bans_and_its_drain_and_one_alone_its_bans(
    tmp_path: Path,
) -> None:
    other = SharedState(str(tmp_path), "n0", print, "2")
    other.append("SUSPEND", "s1")
    other.append("PAUSE")
    beside = Sockets(shared=str(tmp_path))
    assert (
        call(beside, b"STATUS\n") == b"NO draining\n"
        and figures(beside)["members_unavailable"] == 1
    )
    beside.node.shared_state.close()
    beside.node.shared_state = None
    other.close()
    alone = Sockets(shared=str(tmp_path))
    assert call(alone, b"STATUS\n") == b"YES\n" and figures(alone)["members_unavailable"] == 1
    alone.node.shared_state.close()


# ---- the inherited socket


def test_a_wrong_descriptor_is_refused_in_one_line() -> None:
    with (
        socket.socket() as held,
        socket.socket() as plain,
        socket.socket(type=socket.SOCK_DGRAM) as other,
    ):
        held.bind(("127.0.0.1", 0))
        held.listen()
        address = held.getsockname()
        assert check_inherited_descriptor(str(held.fileno()), address) == held.fileno()
        assert check_inherited_descriptor(None, address) is None and held.fileno() >= 0
        wrong = ["x", "-1", "4" * 12, "900", str(plain.fileno()), str(other.fileno())]
        for text in wrong:
            with pytest.raises(ValueError, match="inherited_fd"):
                check_inherited_descriptor(text, address)
        with pytest.raises(ValueError, match="not at"):
            check_inherited_descriptor(str(held.fileno()), ("127.0.0.1", 1))


# ---- a crowd


def test_in_a_crowd_the_longest_silent_gives_way_and_a_slow_but_honest_head_is_kept() -> None:
    s = Sockets(sockets=128)
    honest, busy = s.client(), s.client()
    busy.say(get("busy"))
    data, served = get("slow"), 0
    for n in range(400):
        half = s.client()
        half.say(get(f"h{n}")[: n % 40])
        if n % 24 == 0 and n < 240:  # two seconds for one head
            honest.say(data[n * len(data) // 240 : (n + 24) * len(data) // 240])
        true = s.client()
        true.say(get(f"t{n}"))
        s.pass_time(8)
        for cache in s.network.to(7000) + s.network.to(7001):
            if b"t%d" % n in cache.take():
                cache.say(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        served += true.take() == b"$1\r\nv\r\n"  # and it stays
    s.pass_time(1)
    assert served == 400 and honest.take() and s.counters.counts["rpcs.taken"] == 402
    assert s.counters.counts.get("clients.guests", 0) == 0


def test_the_door_answers_in_a_crowd() -> None:
    s = Sockets(sockets=96)
    for n in range(300):
        s.client().say(get(f"h{n}")[:30])
    assert call(s, b"STATUS\n") == b"YES\n" and figures(s)["pending"] == 0


def test_a_process_that_another_follows_closes_what_is_idle_by_turns_and_serves_what_comes() -> (
    None
):
    # Danger: clients that hear of hundreds of closes at once still write to some of those
    # connections.
    s, done = Sockets(), []
    idle = [s.client() for _ in range(20)]
    for client in idle:
        client.say(b"*1\r\n$4\r\nPING\r\n")
        assert client.take() == b"+PONG\r\n"
    s.node.clients.shut_down(lambda: done.append(1), 400.0)
    s.pass_time(100)
    assert 3 <= sum(client.ended for client in idle) <= 7
    late = next(client for client in reversed(idle) if not client.ended)
    late.say(get("a"))
    s.pass_time(350)
    assert [client for client in idle if not client.ended] == [late] and not done
    for cache in s.network.to(7000) + s.network.to(7001):
        cache.say(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    s.pass_time(1)
    assert late.take() == b"$1\r\nv\r\n" and late.ended and done
