"""Operators' commands: the admin server, bans, drains, and hot restarts of a node."""

import os
import socket
from pathlib import Path

import pytest
from fleet import Fleet, make_deployment, make_endpoint
from memory_network import MemoryConnection
from socket_node import NodeOnMemoryNetwork, get_command, listed_host

from hookpitch.balancer.interface import EndpointState, EndpointUpdate, Outcome
from hookpitch.net.admin import (
    CONNECTION_TIMEOUT_MS,
    MAX_CLOSING_CONNECTIONS,
    MAX_WAITING_CONNECTIONS,
)
from hookpitch.net.lifecycle import State
from hookpitch.net.node_config import check_inherited_descriptor
from hookpitch.net.shared_state import Command, SharedState, Verb, decode_command, encode_command


def command(sockets: NodeOnMemoryNetwork, line: bytes) -> bytes:
    """The admin server's answer to bytes on a new connection, which it then closes."""
    connection = MemoryConnection(
        sockets.network, sockets.socket_node.admin_server.buildProtocol(None), 0
    )
    connection.send(line)
    answer = connection.receive()
    sockets.pass_time(0)
    assert connection.is_closed
    assert connection.protocol not in sockets.socket_node.admin_server.waiting
    return answer


def metrics(sockets: NodeOnMemoryNetwork) -> dict[str, int]:
    lines = command(sockets, b"METRICS\n").decode().splitlines()
    assert lines.pop() == "END"
    assert all(line.startswith("svc.") for line in lines)
    return {name[4:]: int(value) for name, _, value in (line.partition("=") for line in lines)}


# ---- the admin server


@pytest.mark.parametrize(
    ("line", "answer"),
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
def test_each_command_has_one_answer_and_the_connection_is_closed(
    line: bytes, answer: bytes
) -> None:
    assert command(NodeOnMemoryNetwork(), line) == answer


@pytest.mark.parametrize(
    "line", [b"\n", b"status\n", b"\x00\xff\n", b"GET / HTTP/1.1\r\n", b"x" * 100_000]
)
def test_an_unknown_command_is_refused(line: bytes) -> None:
    assert command(NodeOnMemoryNetwork(), line).startswith(b"NO ")


def test_silent_admin_connections_are_bounded_and_delay_no_other() -> None:
    sockets = NodeOnMemoryNetwork()
    mute = [
        MemoryConnection(sockets.network, sockets.socket_node.admin_server.buildProtocol(None), 0)
        for _ in range(MAX_WAITING_CONNECTIONS)
    ]
    mute[0].send(b"STAT")
    assert command(sockets, b"STATUS\n") == b"YES\n"
    assert sockets.socket_node.admin_server.connections == MAX_WAITING_CONNECTIONS - 1
    while (protocol := sockets.socket_node.admin_server.buildProtocol(None)) is not None:
        MemoryConnection(sockets.network, protocol, 0)
    assert (
        sockets.socket_node.admin_server.connections
        == MAX_WAITING_CONNECTIONS + MAX_CLOSING_CONNECTIONS
    )
    sockets.pass_time(CONNECTION_TIMEOUT_MS + 1)
    assert sockets.socket_node.admin_server.connections == 0
    assert not sockets.socket_node.admin_server.waiting


# ---- metrics


def test_metrics_count_final_responses_by_method_and_completely_written_attempts() -> None:
    sockets = NodeOnMemoryNetwork()
    client = sockets.connect_client()
    client.send(get_command("a"))
    sockets.pass_time(1)
    assert metrics(sockets)["upstream_requests"] == 0  # nothing is written whole yet
    assert sockets.receive_request(7000) or sockets.receive_request(7001)
    figures = metrics(sockets)
    assert figures["pending"] == 1
    assert figures["members"] == 2
    assert figures["members_unavailable"] == 0
    assert figures["upstream_requests"] == 1
    assert figures["completed.read"] == 0
    line = next(line for port in (7000, 7001) for line in sockets.network.connections_to(port))
    line.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    figures = metrics(sockets)
    assert figures["pending"] == 0
    assert figures["completed.read"] == 1
    assert client.receive() == b"$1\r\nv\r\n"
    client.send(get_command("b", wait=40))
    sockets.pass_time(50)
    figures = metrics(sockets)
    assert figures["rejected.read"] + figures["failed.read"] == 1
    assert figures["pending"] == 0


def test_metrics_count_backends_that_are_banned_or_draining_as_unavailable() -> None:
    sockets = NodeOnMemoryNetwork(3)
    command(sockets, b"SUSPEND s1\n")
    assert (metrics(sockets)["members"], metrics(sockets)["members_unavailable"]) == (3, 1)
    sockets.socket_node.discovery.list_received(
        b'{"seq":6,"whole":false,"hosts":[%s]}'
        % (str(listed_host("s2", 7002, health="terminating")).replace("'", '"').encode())
    )
    assert metrics(sockets)["members_unavailable"] == 2


# ---- bans


def asked(fleet: Fleet, count: int = 200) -> set[str]:
    """The servers that so many keys are sent to."""
    before = len(fleet.sends)
    for n in range(count):
        rpc = fleet.arrive(key=f"k{n}")
        if rpc in fleet.open_rpcs and fleet.attempts[rpc]:
            fleet.end_attempt(rpc, Outcome.COMPLETED)
        fleet.pass_time(5)
    return {server for _, server, _ in fleet.sends[before:]}


def banned_fleet() -> Fleet:
    fleet = Fleet(make_deployment(hedging_allowed=False))
    fleet.receive_endpoints([make_endpoint("s1"), make_endpoint("s2"), make_endpoint("s3")])
    assert asked(fleet) == {"s1", "s2", "s3"}
    fleet.router.set_banned(fleet.now, "s2", True)
    fleet.decide_until_idle()
    return fleet


def test_a_ban_outlasts_snapshots_deltas_and_a_return_under_the_same_id() -> None:
    fleet = banned_fleet()
    assert "s2" not in asked(fleet)
    fleet.receive_endpoints(
        [make_endpoint("s1"), make_endpoint("s2", started=fleet.now), make_endpoint("s3")]
    )
    assert "s2" not in asked(fleet)
    fleet.receive_endpoints([make_endpoint("s2", EndpointState.REMOVED)], EndpointUpdate.DELTA)
    fleet.receive_endpoints([make_endpoint("s2")], EndpointUpdate.DELTA)
    fleet.receive_endpoints([make_endpoint("s1"), make_endpoint("s3")])
    fleet.receive_endpoints([make_endpoint("s1"), make_endpoint("s2"), make_endpoint("s3")])
    assert "s2" not in asked(fleet)
    assert fleet.router.backends["s2"].state != EndpointState.READY


def test_one_restore_undoes_two_bans_and_the_backend_returns_warming_up_and_without_failures() -> (
    None
):
    fleet = banned_fleet()
    fleet.router.set_banned(fleet.now, "s2", True)
    backend = fleet.router.backends["s2"]
    backend.consecutive_failures = 3
    backend.ejected = True
    backend.ejected_until = fleet.now + 1e6
    backend.ejection_ms = 1e6
    fleet.router.set_banned(fleet.now, "s2", False)
    assert backend.state == EndpointState.READY
    assert fleet.now < backend.warmup_until
    assert not backend.ejected
    assert backend.consecutive_failures == 0
    assert "s2" in asked(fleet, 400)


def test_the_queue_of_a_banned_backend_is_rerouted_and_the_last_cache_may_be_banned() -> None:
    fleet = Fleet(make_deployment(hedging_allowed=False))
    fleet.receive_endpoints([make_endpoint("s1")])
    for n in range(30):
        fleet.arrive(key=f"k{n}")
    fleet.decide_until_idle()
    backend = fleet.router.backends["s1"]
    assert backend.fresh_queue
    fleet.router.set_banned(fleet.now, "s1", True)
    fleet.decide_until_idle()
    assert not backend.fresh_queue
    assert not backend.retry_queue
    assert not [rpc for rpc in fleet.router.rpcs.values() if not rpc.in_flight and not rpc.closed]


# ---- drains


def test_a_draining_node_fails_health_checks_serves_requests_and_closes_idle_connections() -> None:
    sockets = NodeOnMemoryNetwork()
    idle, busy, late = sockets.connect_client(), sockets.connect_client(), sockets.connect_client()
    idle.send(b"PING\r\n".join([b"*1\r\n$4\r\n", b""]))
    assert idle.receive() == b"+PONG\r\n"
    late.unread_input = get_command("b")  # stands unread in the kernel
    assert command(sockets, b"PAUSE\n") == b"YES\n"
    assert command(sockets, b"STATUS\n") == b"NO draining\n"
    front = sockets.connect_client()
    front.send(b"*1\r\n$4\r\nPING\r\n")
    assert front.receive().startswith(b"-")
    sockets.pass_time(400)
    busy.send(get_command("a"))  # still served
    sockets.pass_time(105)
    assert idle.is_closed
    assert not busy.is_closed
    assert not late.is_closed
    for cache in sockets.network.connections_to(7000) + sockets.network.connections_to(7001):
        cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    sockets.pass_time(1)
    assert busy.receive() == late.receive() == b"$1\r\nv\r\n"
    assert busy.is_closed
    assert late.is_closed
    mute = sockets.connect_client()
    sockets.pass_time(1500)
    assert mute.is_closed
    assert sockets.socket_node.lifecycle.state is State.SERVING
    assert command(sockets, b"RESUME\n") == b"YES\n"
    back = sockets.connect_client()
    back.send(b"*1\r\n$4\r\nPING\r\n")
    sockets.pass_time(1500)
    assert back.receive() == b"+PONG\r\n"
    assert not back.is_closed
    assert command(sockets, b"STATUS\n") == b"YES\n"


def test_a_drain_that_is_resumed_at_once_closes_nothing() -> None:
    sockets = NodeOnMemoryNetwork()
    client = sockets.connect_client()
    client.send(b"*1\r\n$4\r\nPING\r\n")
    for line in (b"PAUSE\n", b"PAUSE\n", b"RESUME\n", b"RESUME\n"):
        assert command(sockets, line) == b"YES\n"
    sockets.pass_time(1500)
    assert not client.is_closed
    assert client.receive() == b"+PONG\r\n"


# ---- hot restart


def shared_state(folder: Path, damage: list[str]) -> SharedState:
    return SharedState(str(folder), "n/0", damage.append)


def new_commands(process: SharedState) -> list[Command]:
    return [command for command in process.read_new() if command.verb is not Verb.START]


def test_both_processes_read_the_commands_in_one_order(tmp_path: Path) -> None:
    one = shared_state(tmp_path, [])
    damage = []
    one.append(Command(Verb.SUSPEND, "s 1/é"))
    one.append(Command(Verb.PAUSE))
    file = os.open(next(tmp_path.glob("*.calls")), os.O_RDWR | os.O_APPEND)
    os.write(file, encode_command(Command(Verb.RESTORE, "s2"))[:9])  # killed as it wrote
    one.append(Command(Verb.RESUME))
    two = SharedState(str(tmp_path), "n/0", damage.append, "2")
    assert two.other_processes
    assert one.find_other_processes() == ["2"]
    calls = [("SUSPEND", "s 1/é"), ("PAUSE", ""), ("RESUME", "")]
    assert new_commands(one) == calls
    assert new_commands(one) == []
    assert new_commands(two) == calls
    assert len(damage) == 1
    two.close()
    assert one.find_other_processes() == []
    os.close(file)


@pytest.mark.parametrize("verb", ["SUSPEND", "PAUSE"])
def test_a_line_cut_or_changed_at_any_byte_is_no_command(verb: str) -> None:
    target = "s-5be2a07c" if verb == "SUSPEND" else ""
    whole = encode_command(Command(Verb(verb), target)).rstrip(b"\n")
    assert decode_command(whole) is not None
    for n in range(len(whole)):
        assert decode_command(whole[:n]) is None
        assert decode_command(whole[:n] + bytes([whole[n] ^ 1]) + whole[n + 1 :]) is None
    assert decode_command(whole.replace(b"1 ", b"2 ", 1)) is None


def test_a_long_shared_file_is_compacted_only_while_no_other_process_reads_it(
    tmp_path: Path,
) -> None:
    one = shared_state(tmp_path, [])
    for _ in range(1500):
        one.append(Command(Verb.SUSPEND, "s1"))
        one.append(Command(Verb.RESTORE, "s1"))
    assert len(new_commands(one)) == 3000
    one.compact([Command(Verb.SUSPEND, "s2")])
    assert not list(one.read_new())
    one._read_bytes = 0
    assert list(one.read_new()) == [("SUSPEND", "s2")]


def test_a_folder_that_cannot_be_used_raises_oserror(tmp_path: Path) -> None:
    with pytest.raises(FileNotFoundError):
        shared_state(tmp_path / "none", [])
    (tmp_path / "hookpitch-n%2F0.calls").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError, match="symbolic link"):
        shared_state(tmp_path, [])


def test_two_processes_share_the_capacity_of_one_and_the_last_gets_all_of_it(
    tmp_path: Path,
) -> None:
    sockets = NodeOnMemoryNetwork(shared=str(tmp_path), sockets=384)
    sockets.pass_time(300)
    servers, room = (
        sockets.socket_node.pools.max_descriptors,
        sockets.socket_node.clients.max_connections,
    )
    other = SharedState(str(tmp_path), "n0", sockets.logged_events.append, "2")
    other.append(Command(Verb.SUSPEND, "s1"))
    sockets.pass_time(250)
    assert sockets.socket_node.hot_restart.process_count == 2
    assert sockets.socket_node.pools.max_descriptors == servers // 2
    assert sockets.socket_node.clients.max_connections == room // 2
    assert sockets.socket_node.host.router.quotas.process_share == 0.5
    assert metrics(sockets)["members_unavailable"] == 1
    command(sockets, b"PAUSE\n")
    command(sockets, b"RESTORE s1\n")
    assert [verb for verb, _ in other.read_new()][-3:] == ["SUSPEND", "PAUSE", "RESTORE"]
    other.close()
    sockets.pass_time(250)
    assert sockets.socket_node.hot_restart.process_count == 1
    assert sockets.socket_node.pools.max_descriptors == servers
    assert sockets.socket_node.host.router.quotas.process_share == 1.0
    sockets.socket_node.hot_restart.shared_state.close()


def test_a_second_process_takes_over_bans_and_drain_and_one_that_starts_alone_only_bans(
    tmp_path: Path,
) -> None:
    other = SharedState(str(tmp_path), "n0", print, "2")
    other.append(Command(Verb.SUSPEND, "s1"))
    other.append(Command(Verb.PAUSE))
    beside = NodeOnMemoryNetwork(shared=str(tmp_path))
    assert command(beside, b"STATUS\n") == b"NO draining\n"
    assert metrics(beside)["members_unavailable"] == 1
    beside.socket_node.hot_restart.shared_state.close()
    beside.socket_node.hot_restart.shared_state = None
    other.close()
    alone = NodeOnMemoryNetwork(shared=str(tmp_path))
    assert command(alone, b"STATUS\n") == b"YES\n"
    assert metrics(alone)["members_unavailable"] == 1
    alone.socket_node.hot_restart.shared_state.close()


# ---- the inherited socket


def test_a_descriptor_that_does_not_listen_at_the_address_is_refused() -> None:
    with (
        socket.socket() as held,
        socket.socket() as plain,
        socket.socket(type=socket.SOCK_DGRAM) as other,
    ):
        held.bind(("127.0.0.1", 0))
        held.listen()
        address = held.getsockname()
        assert check_inherited_descriptor(str(held.fileno()), address) == held.fileno()
        assert check_inherited_descriptor(None, address) is None
        assert held.fileno() >= 0
        wrong = ["x", "-1", "4" * 12, "900", str(plain.fileno()), str(other.fileno())]
        for text in wrong:
            with pytest.raises(ValueError, match="inherited_fd"):
                check_inherited_descriptor(text, address)
        with pytest.raises(ValueError, match="not at"):
            check_inherited_descriptor(str(held.fileno()), ("127.0.0.1", 1))


# ---- many connections


def test_among_many_connections_the_longest_silent_is_closed_and_a_slow_request_is_kept() -> None:
    sockets = NodeOnMemoryNetwork(sockets=128)
    honest, busy = sockets.connect_client(), sockets.connect_client()
    busy.send(get_command("busy"))
    data, served = get_command("slow"), 0
    for n in range(400):
        half = sockets.connect_client()
        half.send(get_command(f"h{n}")[: n % 40])
        if n % 24 == 0 and n < 240:  # two seconds for one head
            honest.send(data[n * len(data) // 240 : (n + 24) * len(data) // 240])
        true = sockets.connect_client()
        true.send(get_command(f"t{n}"))
        sockets.pass_time(8)
        for cache in sockets.network.connections_to(7000) + sockets.network.connections_to(7001):
            if b"t%d" % n in cache.receive():
                cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        served += true.receive() == b"$1\r\nv\r\n"  # and it stays
    sockets.pass_time(1)
    assert served == 400
    assert honest.receive()
    assert sockets.counters.counts["rpcs.taken"] == 402
    assert sockets.counters.counts.get("clients.guests", 0) == 0


def test_the_admin_server_answers_among_many_connections() -> None:
    sockets = NodeOnMemoryNetwork(sockets=96)
    for n in range(300):
        sockets.connect_client().send(get_command(f"h{n}")[:30])
    assert command(sockets, b"STATUS\n") == b"YES\n"
    assert metrics(sockets)["pending"] == 0


def test_a_replaced_process_closes_idle_connections_gradually_and_serves_requests() -> None:
    # Clients that see hundreds of closes at once still write to some of those connections.
    sockets = NodeOnMemoryNetwork()
    done = []
    idle = [sockets.connect_client() for _ in range(20)]
    for client in idle:
        client.send(b"*1\r\n$4\r\nPING\r\n")
        assert client.receive() == b"+PONG\r\n"
    sockets.socket_node.clients.shut_down(lambda: done.append(1), 400.0)
    sockets.pass_time(100)
    assert 3 <= sum(client.is_closed for client in idle) <= 7
    late = next(client for client in reversed(idle) if not client.is_closed)
    late.send(get_command("a"))
    sockets.pass_time(350)
    assert [client for client in idle if not client.is_closed] == [late]
    assert not done
    for cache in sockets.network.connections_to(7000) + sockets.network.connections_to(7001):
        cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    sockets.pass_time(1)
    assert late.receive() == b"$1\r\nv\r\n"
    assert late.is_closed
    assert done
