"""Tests of a node that is itself the bottleneck: overload, pauses, and no file descriptor left."""

import json
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from fleet import Fleet, make_deployment, make_endpoint
from hypothesis import example, given, settings
from hypothesis import strategies as st
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command
from test_sockets import VALUE, answer_caches
from test_start import NODE_FILE
from twisted.internet.tcp import Client

from hookpitch.balancer.interface import Method, Tenant
from hookpitch.core.admission import UNLIMITED, Admission
from hookpitch.net.prioritized_reactor import (
    EVENTS_PER_TURN,
    AdminPort,
    AdminTransport,
    PrioritizedReactor,
    Server,
)

SOFT_DEADLINE_MS = 200.0
ADMITTED_CPU_MS, REJECTED_CPU_MS = 0.5, 0.06  # CPU time of an RPC
MAX_ARRIVALS_PER_WINDOW = 1000  # 20,000 RPCs a second
# Two windows are skipped after a pause, and a rate of one RPC per window grows by 1.15 per window:
# it needs 50 windows to reach the arrivals. Three more let the mean of the arrivals settle.
QUIET_WINDOWS = 55


class SimulatedNode:
    """A simulated node that serves RPCs one after the other, the oldest first."""

    def __init__(self, max_waiting: int = 10**6, retries: bool = False) -> None:
        self.admission, self.now, self.cpu_ms, self.retries = (
            Admission(0.0, SOFT_DEADLINE_MS),
            0.0,
            0.0,
            retries,
        )
        self.max_waiting = max_waiting  # the number of connections of all clients
        self.waiting: list[float] = []  # arrival times
        self.due_arrivals, self.window_end, self.credit = 0.0, self.admission.window_ms, 0.0
        self.admitted, self.arrived, self.waits = 0, 0, list[float]()

    def run(self, ms: float, per_ms: float, core: float = 1.0) -> float:
        """Run at this rate of arrivals, and return the fraction of the RPCs read that was admitted.

        `core`: the fraction of a CPU core that the node gets.
        """
        admission, end, busy_until = self.admission, self.now + ms, self.now
        self.admitted = self.arrived = 0
        self.waits = []
        while self.now < end:
            self.now += 1.0
            self.due_arrivals += per_ms
            self.waiting += [self.now] * min(
                int(self.due_arrivals), self.max_waiting - len(self.waiting)
            )
            self.due_arrivals -= int(self.due_arrivals)
            busy_until = max(busy_until, self.now - 1.0)
            while busy_until < self.now and self.waiting:
                arrival, self.arrived = self.waiting.pop(0), self.arrived + 1
                admission.record_arrival(max(0.0, busy_until - arrival))
                self.credit += 1 - admission.shed_fraction
                # The router rejects RPCs that waited that long, too.
                is_admitted = self.credit >= 1 and busy_until - arrival < 0.7 * SOFT_DEADLINE_MS
                cost_ms = ADMITTED_CPU_MS if is_admitted else REJECTED_CPU_MS
                if is_admitted:
                    self.credit, self.admitted = self.credit - 1, self.admitted + 1
                    self.waits.append(busy_until - arrival)
                else:
                    admission.record_rejected()
                    if self.retries:
                        self.waiting.append(busy_until)
                busy_until, self.cpu_ms = busy_until + cost_ms / core, self.cpu_ms + cost_ms
            if self.now >= self.window_end:
                admission.end_window(self.now, 0.0, self.cpu_ms)
                self.window_end = self.now + admission.window_ms
        return self.admitted / max(1, self.arrived)


WINDOW = st.one_of(
    st.tuples(
        st.just("window"),
        st.integers(0, MAX_ARRIVALS_PER_WINDOW),  # arrivals
        st.floats(0.0, 1.0),  # the fraction of them that is rejected
        st.floats(0.0, 2000.0),  # mean wait in ms
        st.floats(0.0, 5000.0),  # how late the window's end is seen, in ms
        st.floats(0.0, 1.0),  # the fraction of the time in which the process used its core
    ),
    st.tuples(st.just("pause"), st.floats(0.0, 5000.0)),
    st.tuples(st.just("reload"), st.floats(50.0, 2000.0)),  # another shortest soft deadline
)


class DrawnWindows:
    """Feeds an admission controller window by window."""

    def __init__(self) -> None:
        self.admission = Admission(0.0, SOFT_DEADLINE_MS)
        self.now = self.cpu_ms = 0.0

    def end_window(
        self, arrivals: int, rejected: float, wait_ms: float, late_ms: float, cpu: float
    ) -> None:
        """Let RPCs arrive, and end the window late."""
        for index in range(arrivals):
            self.admission.record_arrival(wait_ms)
            if index < rejected * arrivals:
                self.admission.record_rejected()
        span_ms = self.admission.window_ms + late_ms
        self.now += span_ms
        self.cpu_ms += cpu * span_ms
        self.admission.end_window(self.now, late_ms, self.cpu_ms)

    def apply(self, drawn: tuple) -> None:
        """Apply a drawn window, pause or reload."""
        kind, *values = drawn
        if kind == "window":
            self.end_window(*values)
        elif kind == "pause":
            self.admission.detect_pause(values[0], 0.0)
        else:
            self.admission.set_soft_deadline(values[0])


@settings(max_examples=300, deadline=None)
@given(st.lists(WINDOW, max_size=12), st.integers(0, MAX_ARRIVALS_PER_WINDOW))
@example([("window", 0, 0.0, 0.0, 5000.0, 1.0)], 10)  # a late window without arrivals
@example([("window", 50, 1.0, 2000.0, 0.0, 1.0)] * 12, MAX_ARRIVALS_PER_WINDOW)
def test_whatever_was_measured_quiet_windows_end_the_shedding(
    drawn: list[tuple], arrivals: int
) -> None:
    # Guards against a rate of 0, which no factor raises: 98% were shed for good (review's report).
    windows = DrawnWindows()
    for one in drawn:
        windows.apply(one)
    for _ in range(QUIET_WINDOWS):
        # The router rejects the shed fraction of what arrives.
        windows.end_window(arrivals, windows.admission.shed_fraction, 0.0, 0.0, 0.5)
    assert windows.admission.shed_fraction == 0.0


def test_everything_is_admitted_below_capacity() -> None:
    node = SimulatedNode()
    assert (
        node.run(5000, 1.2) == 1.0
        and node.admission.admitted_per_ms == UNLIMITED
        and node.admission.shed_fraction == 0.0
    )


@pytest.mark.parametrize("core", [1.0, 0.5])
def test_at_four_times_capacity_the_wait_stays_bounded_and_most_cpu_time_serves(
    core: float,
) -> None:
    node = SimulatedNode()
    node.run(1000, 1.2 * core, core)
    node.run(3000, 8.0 * core, core)
    node.run(5000, 8.0 * core, core)
    assert max(node.waits) < 0.6 * SOFT_DEADLINE_MS
    # Over half of the CPU time serves RPCs.
    assert node.admitted / 5000 > 0.5 / ADMITTED_CPU_MS * core
    # After the surge, all RPCs are admitted again within this time.
    node.run(1500, 1.2 * core, core)
    assert node.run(1000, 1.2 * core, core) == 1.0 and node.admission.admitted_per_ms == UNLIMITED


def test_rejecting_immediate_retries_leaves_cpu_time_for_admitted_rpcs() -> None:
    node = SimulatedNode(max_waiting=1200, retries=True)
    node.run(1000, 1.2)
    node.run(1000, 4.0)
    node.run(4000, 4.0)
    assert node.admitted / 4000 > 0.4 / ADMITTED_CPU_MS, (
        "a rate that follows the waiting time alone drops to zero"
    )


def test_a_pause_of_the_process_does_not_count_as_overload() -> None:
    admission = Admission(0.0, SOFT_DEADLINE_MS)
    admission.end_window(50.0, 0.0, 20.0)
    assert (
        admission.detect_pause(300.0, cpu_ms=10.0)
        and not admission.detect_pause(300.0, cpu_ms=250.0)
        and not admission.detect_pause(20.0, cpu_ms=0.0)
    )
    for index in range(100):
        admission.record_arrival(3.0 * index)
    admission.end_window(350.0, 300.0, 30.0)
    assert admission.shed_fraction == 0.0 and admission.admitted_per_ms == UNLIMITED


def test_the_start_and_the_end_of_an_overload_are_logged_once_each() -> None:
    node = NodeOnMemoryNetwork()
    host, now = node.socket_node.host, node.clock.now()
    for _ in range(3):
        for _ in range(100):
            host.admission.record_arrival(1000.0)
        now += 50.0
        host.end_window(now, 0.0, 0.0)
    assert host.admission.shed_fraction > 0
    while host.admission.shed_fraction > 0:
        now += 50.0
        host.end_window(now, 0.0, 0.0)
    assert [event for event in node.logged_events if "overload" in event] == [
        "overload_started",
        "overload_ended",
    ]


METHODS = (Method("low", 400.0, 1000.0, 1.0), Method("high", 400.0, 1000.0, 5.0))


def test_rpcs_of_the_least_gain_and_over_quota_are_shed_first() -> None:
    fleet = Fleet(
        make_deployment(methods=METHODS, tenants=(Tenant("small", 1e-6),), max_retry_after_ms=300.0)
    )
    fleet.receive_endpoints([make_endpoint("s0")])
    counts = {"low": 0, "high": 0, "small": 0}
    for index in range(4000):
        fleet.now += 1
        if index % 50 == 0:
            fleet.router.overload_measured(fleet.now, 0.5 if index else 0.0)
        for name, arrivals in (("low", 3), ("high", 1)):
            counts[name] += sum(
                fleet.router.shed_delay(fleet.now, name, "", 0.0) >= 0 for _ in range(arrivals)
            )
        fleet.router.quotas.token_buckets["small"].tokens = 0.0
        counts["small"] += fleet.router.shed_delay(fleet.now, "high", "small", 0.0) >= 0
    assert counts["high"] == 0 and 0.5 < counts["low"] / 12000 < 0.95, (
        "half of all, each of low gain"
    )
    assert (
        counts["small"] > 3900
        and 0 < fleet.router.shed_delay(fleet.now, "low", "small", 0.0) <= 300
    )
    assert (
        fleet.router.shed_delay(fleet.now, "high", "", 0.0)
        < 0
        <= fleet.router.shed_delay(fleet.now, "high", "", 399.0)
    )


def test_a_pause_counts_no_failures_and_restarts_the_wait_for_silent_backends() -> None:
    fleet = Fleet(make_deployment())
    fleet.receive_endpoints([make_endpoint(f"s{number}") for number in range(4)])
    for index in range(12):
        fleet.arrive(f"k{index}")
    fleet.now += 150.0
    fleet.router.event_loop_stalled(fleet.now)
    fleet.pass_time(150.0)
    assert fleet.in_flight and not any(
        backend.consecutive_failures for backend in fleet.router.backends.values()
    )
    fleet.pass_time(20.0)  # backends that are silent from then on do count as failed
    assert any(backend.consecutive_failures for backend in fleet.router.backends.values())


def test_answers_that_came_during_a_pause_are_read_before_deadlines_are_run() -> None:
    node, client = NodeOnMemoryNetwork(), None
    for index in range(4):  # as many RPCs as are sent at once
        client = node.connect_client()
        client.send(get_command(f"r{index}", f"key{index}"))
    node.pass_time(1)
    connections = [
        connection
        for port in (7000, 7001)
        for connection in node.network.connections_to(port)
        if connection.receive()
    ]
    for connection in connections:
        connection.unread_input = VALUE
    sent_before = node.counters.counts["tx.sent"]
    # Longer than the silence timeout of each attempt, and shorter than the hard deadlines.
    node.suspend_process(600, *connections)
    node.pass_time(1)
    assert node.counters.counts["rpcs.completed"] == 4 and node.counters.counts["node.away"] == 1
    assert node.counters.counts["tx.sent"] == sent_before and not any(
        "backend_ejected" in text for text in node.logged_events
    )


def test_the_time_an_rpc_waited_unread_counts_against_its_deadlines() -> None:
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.ms_since_receive = 150.0
    client.send(get_command("r1", wait=900))
    node.pass_time(1)
    (request,) = filter(None, (node.receive_request(port) for port in (7000, 7001)))
    assert 240 < int(request[3].partition(b"d=")[2]) <= 250, (
        "250 ms of the soft deadline of 400 ms are left"
    )
    node.pass_time(251)
    assert client.receive() in (b"-BUSY\r\n", b"-ERR failed\r\n")
    client.ms_since_receive, sent_before = 950.0, node.counters.counts["tx.sent"]
    client.send(get_command("r2", wait=900))
    assert client.receive() == b"-BUSY\r\n" and node.counters.counts["tx.sent"] == sent_before, (
        "the deadline had passed when the RPC was read"
    )


def test_a_shed_rpc_leaves_no_state_behind() -> None:
    node = NodeOnMemoryNetwork()
    node.socket_node.host.router.load_shedder.overload = 1.0
    deadlines_before = len(node.clock.deadlines)
    client = node.connect_client()
    for index in range(20):
        client.send(get_command(f"r{index}"))
    assert client.receive() == 20 * b"-BUSY\r\n" and node.counters.counts["rpcs.turned_away"] == 20
    assert (
        not len(node.socket_node.host.rpcs)
        and not node.socket_node.host.rpcs.ids
        and not node.socket_node.host.router.rpcs
    )
    assert len(node.clock.deadlines) == deadlines_before


def test_a_connect_without_a_file_descriptor_counts_no_failure() -> None:
    node = NodeOnMemoryNetwork()
    node.network.dial_outcomes |= dict.fromkeys((7000, 7001, ORIGIN_PORT), "descriptor")
    client = node.connect_client()
    for index in range(12):
        client.send(get_command(f"r{index}", f"key{index}"))
        node.pass_time(2)
    assert (
        node.counters.counts["dials.no_descriptor"] > 5
        and node.counters.counts["rpcs.exhausted"] == 12
    )
    assert not any("backend_ejected" in text for text in node.logged_events)
    node.network.dial_outcomes.clear()
    node.pass_time(500)
    client.receive()
    client.send(get_command("r99"))
    assert answer_caches(node) and b"v" in client.receive()


def test_at_the_connection_limit_new_clients_are_rejected_and_backends_can_be_reached() -> None:
    node = NodeOnMemoryNetwork(sockets=64)
    node.network.dial_outcomes |= {7000: "silent", 7001: "silent"}
    clients = [node.connect_client() for _ in range(node.socket_node.clients.max_connections)]
    for index, connection in enumerate(clients):
        connection.send(get_command(f"r{index}", f"key{index}"))
    rejected = [node.connect_client(get_command(f"l{index}", f"key{index}")) for index in range(40)]
    assert all(connection.receive() == b"-BUSY\r\n" for connection in rejected)
    silent = [node.connect_client() for _ in range(8)]
    node.pass_time(120)
    assert all(connection.is_closed for connection in rejected + silent) and not any(
        connection.is_closed for connection in clients
    )
    node.network.dial_outcomes.clear()
    assert node.network.dials, "descriptors for servers are reserved"
    node.pass_time(1000)
    answers = [connection.receive() for connection in clients]
    assert all(answers) and len(answers) == node.socket_node.clients.max_connections, (
        "one final answer to each"
    )
    clients[0].send(get_command("again"))
    assert answer_caches(node) and b"v" in clients[0].receive()


def test_a_graceful_shutdown_serves_what_the_kernel_has_accepted() -> None:
    node, clients = NodeOnMemoryNetwork(), []

    class Port:
        """A listening port with 40 connections that the kernel has accepted."""

        sessionno = 0

        def doRead(self) -> None:  # noqa: N802
            """Accept one of the connections, on which a request has arrived."""
            if len(clients) < 40:
                clients.append(node.connect_client())
                clients[-1].unread_input = get_command(f"late{len(clients)}", f"key{len(clients)}")
                self.sessionno += 1

        def stopListening(self) -> None:  # noqa: N802
            """Do nothing; the port is no real socket."""

    node.socket_node.lifecycle.listening_port = Port()
    node.socket_node.shut_down()
    node.pass_time(501)
    for _ in range(20):
        answer_caches(node)
    node.pass_time(1200)
    assert len(clients) == 40 and all(
        connection.receive() and connection.is_closed for connection in clients
    )


class ReadableSocket:
    """A socket with unread input; it records in `order` when it is read.

    `selectable` is what the reactor handles. It has exactly the given type, as the reactor tells
    clients' connections from others by it.
    """

    def __init__(self, selectable_type: type, order: list[str], name: str) -> None:
        self.polled_end, self.peer_end = socket.socketpair()
        self.peer_end.send(b"x")
        self.selectable = selectable_type.__new__(selectable_type)
        self.selectable.fileno = self.polled_end.fileno
        self.selectable.doRead = lambda: order.append(name)
        self.selectable.connectionLost = lambda reason: None

    def close(self) -> None:
        """Close both ends."""
        self.polled_end.close()
        self.peer_end.close()


@contextmanager
def polled(*sockets: ReadableSocket) -> Iterator[PrioritizedReactor]:
    """Return a reactor that polls these sockets, in this order."""
    reactor = PrioritizedReactor()
    for readable in sockets:
        reactor.addReader(readable.selectable)
    yield reactor
    for readable in sockets:
        reactor.removeReader(readable.selectable)
        readable.close()


def test_reactor_iterations_are_short_and_read_every_socket() -> None:
    order = list[str]()
    sockets = [ReadableSocket(Server, order, "client") for _ in range(3 * EVENTS_PER_TURN)]
    sockets.append(ReadableSocket(Client, order, "server"))
    with polled(*sockets) as reactor:
        reactor.doPoll(0)
        assert 0 < len(order) <= EVENTS_PER_TURN
        for _ in range(3):
            reactor.doPoll(0)
    assert order.count("server") >= 1 and len(order) >= 3 * EVENTS_PER_TURN, "each socket was read"


@pytest.mark.parametrize("first_type", [Client, AdminTransport, AdminPort])
def test_a_reactor_iteration_reads_backends_and_operators_before_clients(first_type: type) -> None:
    # The kernel reports the sockets in the order in which they were added.
    order = list[str]()
    clients = [ReadableSocket(Server, order, "client") for _ in range(EVENTS_PER_TURN - 1)]
    with polled(*clients, ReadableSocket(first_type, order, "first")) as reactor:
        reactor.doPoll(0)
    assert order == ["first"] + ["client"] * (EVENTS_PER_TURN - 1)


def test_more_connections_than_descriptors_are_all_answered(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    with socket.create_server(("127.0.0.1", 0)) as free_socket:
        port = free_socket.getsockname()[1]
    settings = NODE_FILE | {
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "limits": {"sockets": 64},
    }
    path.write_text(json.dumps(settings))
    node = subprocess.Popen(
        [sys.executable, "-m", "hookpitch"],
        env={"PROXY_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    clients = []
    try:
        assert any('"serving"' in line for line in node.stderr)
        for index in range(150):  # the kernel accepts all of these
            clients.append(socket.create_connection(("127.0.0.1", port), timeout=10))
            clients[-1].sendall(get_command(f"r{index}", f"key{index}"))
        answers = [client.recv(100) for client in clients]
        assert all(answer.startswith((b"-BUSY", b"-ERR")) for answer in answers), answers.count(b"")
    finally:
        node.kill()
        node.stderr.close()
        for client in clients:
            client.close()
