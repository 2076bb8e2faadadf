"""Operators' commands to a node: the admin endpoint, bans, drains and hot restarts."""

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


def send_admin_command(node: NodeOnMemoryNetwork, line: bytes) -> bytes:
    """Send bytes to the admin endpoint on a connection that it then closes; return its answer."""
    connection = MemoryConnection(
        node.network, node.socket_node.admin_server.buildProtocol(None), 0
    )
    connection.send(line)
    answer = connection.receive()
    node.pass_time(0)
    assert connection.is_closed
    assert connection.protocol not in node.socket_node.admin_server.waiting
    return answer


def read_metrics(node: NodeOnMemoryNetwork) -> dict[str, int]:
    """Return the metrics that the admin endpoint reports."""
    lines = send_admin_command(node, b"METRICS\n").decode().splitlines()
    assert lines.pop() == "END"
    assert all(line.startswith("svc.") for line in lines)
    return {name[4:]: int(value) for name, _, value in (line.partition("=") for line in lines)}


# ---- the admin endpoint


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
    assert send_admin_command(NodeOnMemoryNetwork(), line) == answer


@pytest.mark.parametrize(
    "line", [b"\n", b"status\n", b"\x00\xff\n", b"GET / HTTP/1.1\r\n", b"x" * 100_000]
)
def test_an_unknown_command_is_refused(line: bytes) -> None:
    assert send_admin_command(NodeOnMemoryNetwork(), line).startswith(b"NO ")


def test_silent_admin_connections_are_bounded_and_delay_no_other() -> None:
    node = NodeOnMemoryNetwork()
    silent_callers = [
        MemoryConnection(node.network, node.socket_node.admin_server.buildProtocol(None), 0)
        for _ in range(MAX_WAITING_CONNECTIONS)
    ]
    silent_callers[0].send(b"STAT")
    assert send_admin_command(node, b"STATUS\n") == b"YES\n"
    assert node.socket_node.admin_server.connection_count == MAX_WAITING_CONNECTIONS - 1
    while (protocol := node.socket_node.admin_server.buildProtocol(None)) is not None:
        MemoryConnection(node.network, protocol, 0)
    assert (
        node.socket_node.admin_server.connection_count
        == MAX_WAITING_CONNECTIONS + MAX_CLOSING_CONNECTIONS
    )
    node.pass_time(CONNECTION_TIMEOUT_MS + 1)
    assert node.socket_node.admin_server.connection_count == 0
    assert not node.socket_node.admin_server.waiting


# ---- metrics


def test_metrics_count_final_responses_by_method_and_completely_written_attempts() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(get_command("a"))
    node.pass_time(1)
    assert read_metrics(node)["upstream_requests"] == 0  # no attempt is completely written yet
    assert node.receive_request(7000) or node.receive_request(7001)
    values = read_metrics(node)
    assert values["pending"] == 1
    assert values["members"] == 2
    assert values["members_unavailable"] == 0
    assert values["upstream_requests"] == 1
    assert values["completed.read"] == 0
    connection = next(
        connection for port in (7000, 7001) for connection in node.network.connections_to(port)
    )
    connection.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    values = read_metrics(node)
    assert values["pending"] == 0
    assert values["completed.read"] == 1
    assert client.receive() == b"$1\r\nv\r\n"
    client.send(get_command("b", wait=40))
    node.pass_time(50)
    values = read_metrics(node)
    assert values["rejected.read"] + values["failed.read"] == 1
    assert values["pending"] == 0


def test_metrics_count_backends_that_are_banned_or_draining_as_unavailable() -> None:
    node = NodeOnMemoryNetwork(3)
    send_admin_command(node, b"SUSPEND s1\n")
    assert (read_metrics(node)["members"], read_metrics(node)["members_unavailable"]) == (3, 1)
    node.socket_node.discovery.list_received(
        b'{"seq":6,"whole":false,"hosts":[%s]}'
        % (str(listed_host("s2", 7002, health="terminating")).replace("'", '"').encode())
    )
    assert read_metrics(node)["members_unavailable"] == 2


# ---- bans


def servers_used(fleet: Fleet, count: int = 200) -> set[str]:
    """Send RPCs for `count` keys; return the servers that they were sent to."""
    previous_sends = len(fleet.sends)
    for index in range(count):
        rpc = fleet.arrive(key=f"k{index}")
        if rpc in fleet.open_rpcs and fleet.attempts[rpc]:
            fleet.end_attempt(rpc, Outcome.COMPLETED)
        fleet.pass_time(5)
    return {server for _, server, _ in fleet.sends[previous_sends:]}


def fleet_with_ban() -> Fleet:
    """Return a fleet of three servers, of which s2 is banned."""
    fleet = Fleet(make_deployment(hedging_allowed=False))
    fleet.receive_endpoints([make_endpoint("s1"), make_endpoint("s2"), make_endpoint("s3")])
    assert servers_used(fleet) == {"s1", "s2", "s3"}
    fleet.router.set_banned(fleet.now, "s2", True)
    fleet.decide_until_idle()
    return fleet


def test_a_ban_outlasts_snapshots_deltas_and_a_return_under_the_same_id() -> None:
    fleet = fleet_with_ban()
    assert "s2" not in servers_used(fleet)
    fleet.receive_endpoints(
        [make_endpoint("s1"), make_endpoint("s2", started=fleet.now), make_endpoint("s3")]
    )
    assert "s2" not in servers_used(fleet)
    fleet.receive_endpoints([make_endpoint("s2", EndpointState.REMOVED)], EndpointUpdate.DELTA)
    fleet.receive_endpoints([make_endpoint("s2")], EndpointUpdate.DELTA)
    fleet.receive_endpoints([make_endpoint("s1"), make_endpoint("s3")])
    fleet.receive_endpoints([make_endpoint("s1"), make_endpoint("s2"), make_endpoint("s3")])
    assert "s2" not in servers_used(fleet)
    assert fleet.router.backends["s2"].state != EndpointState.READY


def test_one_restore_undoes_two_bans_and_the_backend_returns_warming_up_and_without_failures() -> (
    None
):
    fleet = fleet_with_ban()
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
    assert "s2" in servers_used(fleet, 400)


def test_the_queue_of_a_banned_backend_is_rerouted_and_the_last_cache_may_be_banned() -> None:
    fleet = Fleet(make_deployment(hedging_allowed=False))
    fleet.receive_endpoints([make_endpoint("s1")])
    for index in range(30):
        fleet.arrive(key=f"k{index}")
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
    node = NodeOnMemoryNetwork()
    idle, busy, late = node.connect_client(), node.connect_client(), node.connect_client()
    idle.send(b"PING\r\n".join([b"*1\r\n$4\r\n", b""]))
    assert idle.receive() == b"+PONG\r\n"
    late.unread_input = get_command("b")  # still unread in the kernel
    assert send_admin_command(node, b"PAUSE\n") == b"YES\n"
    assert send_admin_command(node, b"STATUS\n") == b"NO draining\n"
    health_check = node.connect_client()
    health_check.send(b"*1\r\n$4\r\nPING\r\n")
    assert health_check.receive().startswith(b"-")
    node.pass_time(400)
    busy.send(get_command("a"))  # still served
    node.pass_time(105)
    assert idle.is_closed
    assert not busy.is_closed
    assert not late.is_closed
    for cache in node.network.connections_to(7000) + node.network.connections_to(7001):
        cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    node.pass_time(1)
    assert busy.receive() == late.receive() == b"$1\r\nv\r\n"
    assert busy.is_closed
    assert late.is_closed
    silent = node.connect_client()
    node.pass_time(1500)
    assert silent.is_closed
    assert node.socket_node.lifecycle.state is State.SERVING
    assert send_admin_command(node, b"RESUME\n") == b"YES\n"
    later_health_check = node.connect_client()
    later_health_check.send(b"*1\r\n$4\r\nPING\r\n")
    node.pass_time(1500)
    assert later_health_check.receive() == b"+PONG\r\n"
    assert not later_health_check.is_closed
    assert send_admin_command(node, b"STATUS\n") == b"YES\n"


def test_a_drain_that_is_resumed_at_once_closes_nothing() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(b"*1\r\n$4\r\nPING\r\n")
    for line in (b"PAUSE\n", b"PAUSE\n", b"RESUME\n", b"RESUME\n"):
        assert send_admin_command(node, line) == b"YES\n"
    node.pass_time(1500)
    assert not client.is_closed
    assert client.receive() == b"+PONG\r\n"


# ---- hot restart


def open_shared_state(folder: Path, damage: list[str]) -> SharedState:
    """Open the shared state of a node; it adds a text to `damage` for what is damaged."""
    return SharedState(str(folder), "n/0", damage.append)


def read_new_commands(process: SharedState) -> list[Command]:
    """Return the commands that the process has not read yet, without START."""
    return [command for command in process.read_new() if command.verb is not Verb.START]


def test_both_processes_read_the_commands_in_one_order(tmp_path: Path) -> None:
    first = open_shared_state(tmp_path, [])
    damage = []
    first.append(Command(Verb.SUSPEND, "s 1/é"))
    first.append(Command(Verb.PAUSE))
    file = os.open(next(tmp_path.glob("*.calls")), os.O_RDWR | os.O_APPEND)
    # The writer was killed during this write.
    os.write(file, encode_command(Command(Verb.RESTORE, "s2"))[:9])
    first.append(Command(Verb.RESUME))
    second = SharedState(str(tmp_path), "n/0", damage.append, "2")
    assert second.other_processes
    assert first.find_other_processes() == ["2"]
    commands = [("SUSPEND", "s 1/é"), ("PAUSE", ""), ("RESUME", "")]
    assert read_new_commands(first) == commands
    assert read_new_commands(first) == []
    assert read_new_commands(second) == commands
    assert len(damage) == 1
    second.close()
    assert first.find_other_processes() == []
    os.close(file)


@pytest.mark.parametrize("verb", ["SUSPEND", "PAUSE"])
def test_a_line_truncated_or_altered_at_any_byte_is_not_a_command(verb: str) -> None:
    target = "s-5be2a07c" if verb == "SUSPEND" else ""
    line = encode_command(Command(Verb(verb), target)).rstrip(b"\n")
    assert decode_command(line) is not None
    for index in range(len(line)):
        assert decode_command(line[:index]) is None
        assert decode_command(line[:index] + bytes([line[index] ^ 1]) + line[index + 1 :]) is None
    assert decode_command(line.replace(b"1 ", b"2 ", 1)) is None


def test_a_long_shared_file_is_compacted_only_while_no_other_process_reads_it(
    tmp_path: Path,
) -> None:
    first = open_shared_state(tmp_path, [])
    for _ in range(1500):
        first.append(Command(Verb.SUSPEND, "s1"))
        first.append(Command(Verb.RESTORE, "s1"))
    assert len(read_new_commands(first)) == 3000
    first.compact([Command(Verb.SUSPEND, "s2")])
    assert not list(first.read_new())
    first._read_bytes = 0
    assert list(first.read_new()) == [("SUSPEND", "s2")]


def test_a_folder_that_cannot_be_used_raises_oserror(tmp_path: Path) -> None:
    with pytest.raises(FileNotFoundError):
        open_shared_state(tmp_path / "none", [])
    (tmp_path / "hookpitch-n%2F0.calls").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError, match="symbolic link"):
        open_shared_state(tmp_path, [])


def test_two_processes_share_the_capacity_of_one_and_the_last_gets_all_of_it(
    tmp_path: Path,
) -> None:
    node = NodeOnMemoryNetwork(shared=str(tmp_path), sockets=384)
    node.pass_time(300)
    max_descriptors, max_connections = (
        node.socket_node.pools.max_descriptors,
        node.socket_node.clients.max_connections,
    )
    other = SharedState(str(tmp_path), "n0", node.logged_events.append, "2")
    other.append(Command(Verb.SUSPEND, "s1"))
    node.pass_time(250)
    assert node.socket_node.hot_restart.process_count == 2
    assert node.socket_node.pools.max_descriptors == max_descriptors // 2
    assert node.socket_node.clients.max_connections == max_connections // 2
    assert node.socket_node.host.router.quotas.process_share == 0.5
    assert read_metrics(node)["members_unavailable"] == 1
    send_admin_command(node, b"PAUSE\n")
    send_admin_command(node, b"RESTORE s1\n")
    assert [verb for verb, _ in other.read_new()][-3:] == ["SUSPEND", "PAUSE", "RESTORE"]
    other.close()
    node.pass_time(250)
    assert node.socket_node.hot_restart.process_count == 1
    assert node.socket_node.pools.max_descriptors == max_descriptors
    assert node.socket_node.host.router.quotas.process_share == 1.0
    node.socket_node.hot_restart.shared_state.close()


def test_a_second_process_inherits_bans_and_drain_and_a_single_process_only_bans(
    tmp_path: Path,
) -> None:
    other = SharedState(str(tmp_path), "n0", print, "2")
    other.append(Command(Verb.SUSPEND, "s1"))
    other.append(Command(Verb.PAUSE))
    second = NodeOnMemoryNetwork(shared=str(tmp_path))
    assert send_admin_command(second, b"STATUS\n") == b"NO draining\n"
    assert read_metrics(second)["members_unavailable"] == 1
    second.socket_node.hot_restart.shared_state.close()
    second.socket_node.hot_restart.shared_state = None
    other.close()
    single = NodeOnMemoryNetwork(shared=str(tmp_path))
    assert send_admin_command(single, b"STATUS\n") == b"YES\n"
    assert read_metrics(single)["members_unavailable"] == 1
    single.socket_node.hot_restart.shared_state.close()


# ---- the inherited socket


def test_a_descriptor_that_does_not_listen_at_the_address_is_refused() -> None:
    with (
        socket.socket() as listening,
        socket.socket() as unbound,
        socket.socket(type=socket.SOCK_DGRAM) as datagram,
    ):
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        address = listening.getsockname()
        assert check_inherited_descriptor(str(listening.fileno()), address) == listening.fileno()
        assert check_inherited_descriptor(None, address) is None
        assert listening.fileno() >= 0
        wrong = ["x", "-1", "4" * 12, "900", str(unbound.fileno()), str(datagram.fileno())]
        for text in wrong:
            with pytest.raises(ValueError, match="inherited_fd"):
                check_inherited_descriptor(text, address)
        with pytest.raises(ValueError, match="not at"):
            check_inherited_descriptor(str(listening.fileno()), ("127.0.0.1", 1))


# ---- many connections


def test_among_many_connections_the_longest_silent_is_closed_and_a_slow_request_is_kept() -> None:
    node = NodeOnMemoryNetwork(sockets=128)
    slow, busy = node.connect_client(), node.connect_client()
    busy.send(get_command("busy"))
    data, served = get_command("slow"), 0
    for index in range(400):
        partial = node.connect_client()
        partial.send(get_command(f"h{index}")[: index % 40])
        if index % 24 == 0 and index < 240:  # the slow request is sent over two seconds
            slow.send(data[index * len(data) // 240 : (index + 24) * len(data) // 240])
        complete = node.connect_client()
        complete.send(get_command(f"t{index}"))
        node.pass_time(8)
        for cache in node.network.connections_to(7000) + node.network.connections_to(7001):
            if b"t%d" % index in cache.receive():
                cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        served += complete.receive() == b"$1\r\nv\r\n"  # its connection stays open
    node.pass_time(1)
    assert served == 400
    assert slow.receive()
    assert node.counters.counts["rpcs.taken"] == 402
    assert node.counters.counts.get("clients.guests", 0) == 0


def test_the_admin_server_answers_among_many_connections() -> None:
    node = NodeOnMemoryNetwork(sockets=96)
    for index in range(300):
        node.connect_client().send(get_command(f"h{index}")[:30])
    assert send_admin_command(node, b"STATUS\n") == b"YES\n"
    assert read_metrics(node)["pending"] == 0


def test_a_replaced_process_closes_idle_connections_gradually_and_serves_requests() -> None:
    # When hundreds of connections close at once, clients still write to some of them.
    node = NodeOnMemoryNetwork()
    finished = []
    idle = [node.connect_client() for _ in range(20)]
    for client in idle:
        client.send(b"*1\r\n$4\r\nPING\r\n")
        assert client.receive() == b"+PONG\r\n"
    node.socket_node.clients.shut_down(lambda: finished.append(1), 400.0)
    node.pass_time(100)
    assert 3 <= sum(client.is_closed for client in idle) <= 7
    late = next(client for client in reversed(idle) if not client.is_closed)
    late.send(get_command("a"))
    node.pass_time(350)
    assert [client for client in idle if not client.is_closed] == [late]
    assert not finished
    for cache in node.network.connections_to(7000) + node.network.connections_to(7001):
        cache.send(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    node.pass_time(1)
    assert late.receive() == b"$1\r\nv\r\n"
    assert late.is_closed
    assert finished
