"""The node as its own bottleneck: too much work, pauses, and no descriptor left."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from fleet import Fleet, make_deployment, make_endpoint
from socket_node import ORIGIN_PORT, NodeOnMemoryNetwork, get_command
from test_sockets import VALUE, answer_caches
from test_start import NODE_FILE

from hookpitch.balancer.interface import Method, Tenant
from hookpitch.core.admission import UNLIMITED, Admission
from hookpitch.net.prioritized_reactor import EVENTS_PER_TURN, PrioritizedReactor, Server

SOFT = 200.0  # ms: a soft deadline, and the CPU time of an RPC that is let in or turned away
TAKEN, REFUSED = 0.5, 0.06


class Queue:
    """A simulated node that serves RPCs one after the other, the oldest first."""

    def __init__(self, max_waiting: int = 10**6, retries: bool = False) -> None:
        self.admission, self.now, self.cpu, self.retries = Admission(0.0, SOFT), 0.0, 0.0, retries
        self.max_waiting = max_waiting  # connections of all clients
        self.waiting: list[float] = []  # since when
        self.due, self.window_end, self.credit = 0.0, self.admission.window_ms, 0.0
        self.admitted, self.arrived, self.waits = 0, 0, list[float]()

    def run(self, ms: float, per_ms: float, core: float = 1.0) -> float:
        """The fraction admitted of what was read; `core`: the fraction of it that is the node's."""
        a, end, busy = self.admission, self.now + ms, self.now
        self.admitted = self.arrived = 0
        self.waits = []
        while self.now < end:
            self.now += 1.0
            self.due += per_ms
            self.waiting += [self.now] * min(int(self.due), self.max_waiting - len(self.waiting))
            self.due -= int(self.due)
            busy = max(busy, self.now - 1.0)
            while busy < self.now and self.waiting:
                arrival, self.arrived = self.waiting.pop(0), self.arrived + 1
                a.record_arrival(max(0.0, busy - arrival))
                self.credit += 1 - a.shed_fraction
                answer_caches = (
                    self.credit >= 1 and busy - arrival < 0.7 * SOFT
                )  # as the router does
                cost = TAKEN if answer_caches else REFUSED
                if answer_caches:
                    self.credit, self.admitted = self.credit - 1, self.admitted + 1
                    self.waits.append(busy - arrival)
                else:
                    a.record_rejected()
                    if self.retries:
                        self.waiting.append(busy)
                busy, self.cpu = busy + cost / core, self.cpu + cost
            if self.now >= self.window_end:
                a.end_window(self.now, 0.0, self.cpu)
                self.window_end = self.now + a.window_ms
        return self.admitted / max(1, self.arrived)


def test_everything_is_admitted_below_capacity() -> None:
    q = Queue()
    assert (
        q.run(5000, 1.2) == 1.0
        and q.admission.admitted_per_ms == UNLIMITED
        and q.admission.shed_fraction == 0.0
    )


@pytest.mark.parametrize("core", [1.0, 0.5])
def test_at_four_times_capacity_the_wait_stays_bounded_and_most_cpu_time_serves(
    core: float,
) -> None:
    q = Queue()
    q.run(1000, 1.2 * core, core)
    q.run(3000, 8.0 * core, core)
    q.run(5000, 8.0 * core, core)
    assert max(q.waits) < 0.6 * SOFT
    assert q.admitted / 5000 > 0.5 / TAKEN * core  # over half of the core's time serves
    q.run(1500, 1.2 * core, core)  # the surge ends: in this time all are let in again
    assert q.run(1000, 1.2 * core, core) == 1.0 and q.admission.admitted_per_ms == UNLIMITED


def test_immediate_retries_do_not_use_the_core_up_with_rejections() -> None:
    q = Queue(max_waiting=1200, retries=True)
    q.run(1000, 1.2)
    q.run(1000, 4.0)
    q.run(4000, 4.0)
    assert q.admitted / 4000 > 0.4 / TAKEN, "a rate that follows the wait alone falls to nothing"


def test_a_pause_of_the_process_is_no_overload() -> None:
    a = Admission(0.0, SOFT)
    a.end_window(50.0, 0.0, 20.0)
    assert (
        a.detect_pause(300.0, cpu_ms=10.0)
        and not a.detect_pause(300.0, cpu_ms=250.0)
        and not a.detect_pause(20.0, cpu_ms=0.0)
    )
    for n in range(100):
        a.record_arrival(3.0 * n)
    a.end_window(350.0, 300.0, 30.0)
    assert a.shed_fraction == 0.0 and a.admitted_per_ms == UNLIMITED


def test_the_start_and_the_end_of_an_overload_are_logged_once_each() -> None:
    s = NodeOnMemoryNetwork()
    host, now = s.socket_node.host, s.clock.now()
    for _ in range(3):
        for _ in range(100):
            host.admission.record_arrival(1000.0)
        now += 50.0
        host.end_window(now, 0.0, 0.0)
    assert host.admission.shed_fraction > 0
    while host.admission.shed_fraction > 0:
        now += 50.0
        host.end_window(now, 0.0, 0.0)
    assert [line for line in s.logged_events if "overload" in line] == [
        "overload_started",
        "overload_ended",
    ]


METHODS = (Method("low", 400.0, 1000.0, 1.0), Method("high", 400.0, 1000.0, 5.0))


def test_rpcs_of_the_least_gain_and_over_quota_are_shed_first() -> None:
    f = Fleet(
        make_deployment(methods=METHODS, tenants=(Tenant("small", 1e-6),), max_retry_after_ms=300.0)
    )
    f.receive_endpoints([make_endpoint("s0")])
    counts = {"low": 0, "high": 0, "small": 0}
    for n in range(4000):
        f.now += 1
        if n % 50 == 0:
            f.router.overload_measured(f.now, 0.5 if n else 0.0)
        for name, count in (("low", 3), ("high", 1)):
            counts[name] += sum(
                f.router.shed_delay(f.now, name, "", 0.0) >= 0 for _ in range(count)
            )
        f.router.quotas.token_buckets["small"].tokens = 0.0
        counts["small"] += f.router.shed_delay(f.now, "high", "small", 0.0) >= 0
    assert counts["high"] == 0 and 0.5 < counts["low"] / 12000 < 0.95, (
        "half of all, each of low gain"
    )
    assert counts["small"] > 3900 and 0 < f.router.shed_delay(f.now, "low", "small", 0.0) <= 300
    assert (
        f.router.shed_delay(f.now, "high", "", 0.0)
        < 0
        <= f.router.shed_delay(f.now, "high", "", 399.0)
    )


def test_a_pause_counts_no_failures_and_restarts_the_wait_for_silent_backends() -> None:
    f = Fleet(make_deployment())
    f.receive_endpoints([make_endpoint(f"s{i}") for i in range(4)])
    for n in range(12):
        f.arrive(f"k{n}")
    f.now += 150.0
    f.router.event_loop_stalled(f.now)
    f.pass_time(150.0)
    assert f.in_flight and not any(s.consecutive_failures for s in f.router.backends.values())
    f.pass_time(20.0)  # but who is silent from then on is
    assert any(s.consecutive_failures for s in f.router.backends.values())


def test_answers_that_came_during_a_pause_are_read_before_deadlines_are_run() -> None:
    s, c = NodeOnMemoryNetwork(), None
    for n in range(4):  # as many as are sent at once
        c = s.connect_client()
        c.send(get_command(f"r{n}", f"key{n}"))
    s.pass_time(1)
    lines = [
        line for port in (7000, 7001) for line in s.network.connections_to(port) if line.receive()
    ]
    for line in lines:
        line.unread_input = VALUE
    sent = s.counters.counts["tx.sent"]
    s.suspend_process(600, *lines)  # past the wait for each of them, before their hard deadlines
    s.pass_time(1)
    assert s.counters.counts["rpcs.completed"] == 4 and s.counters.counts["node.away"] == 1
    assert s.counters.counts["tx.sent"] == sent and not any(
        "backend_ejected" in text for text in s.logged_events
    )


def test_the_time_an_rpc_waited_unread_counts_against_its_deadlines() -> None:
    s = NodeOnMemoryNetwork()
    c = s.connect_client()
    c.ms_since_receive = 150.0
    c.send(get_command("r1", wait=900))
    s.pass_time(1)
    (words,) = filter(None, (s.receive_request(port) for port in (7000, 7001)))
    assert 240 < int(words[3].partition(b"d=")[2]) <= 250, (
        "of the 400 ms in which it is of use, 250 are left"
    )
    s.pass_time(251)
    assert c.receive() in (b"-BUSY\r\n", b"-ERR failed\r\n")
    c.ms_since_receive, sent = 950.0, s.counters.counts["tx.sent"]
    c.send(get_command("r2", wait=900))
    assert c.receive() == b"-BUSY\r\n" and s.counters.counts["tx.sent"] == sent, (
        "over when it was read"
    )


def test_a_shed_rpc_leaves_no_state_behind() -> None:
    s = NodeOnMemoryNetwork()
    s.socket_node.host.router.load_shedder.overload = 1.0
    before = len(s.clock.deadlines)
    c = s.connect_client()
    for n in range(20):
        c.send(get_command(f"r{n}"))
    assert c.receive() == 20 * b"-BUSY\r\n" and s.counters.counts["rpcs.turned_away"] == 20
    assert (
        not len(s.socket_node.host.rpcs)
        and not s.socket_node.host.rpcs.ids
        and not s.socket_node.host.router.rpcs
    )
    assert len(s.clock.deadlines) == before


def test_a_connect_without_a_file_descriptor_counts_no_failure() -> None:
    s = NodeOnMemoryNetwork()
    s.network.dial_outcomes |= dict.fromkeys((7000, 7001, ORIGIN_PORT), "descriptor")
    c = s.connect_client()
    for n in range(12):
        c.send(get_command(f"r{n}", f"key{n}"))
        s.pass_time(2)
    assert (
        s.counters.counts["dials.no_descriptor"] > 5 and s.counters.counts["rpcs.exhausted"] == 12
    )
    assert not any("backend_ejected" in text for text in s.logged_events)
    s.network.dial_outcomes.clear()
    s.pass_time(500)
    c.receive()
    c.send(get_command("r99"))
    assert answer_caches(s) and b"v" in c.receive()


def test_at_the_connection_limit_new_clients_are_rejected_and_backends_can_be_reached() -> None:
    s = NodeOnMemoryNetwork(sockets=64)
    s.network.dial_outcomes |= {7000: "silent", 7001: "silent"}
    held = [s.connect_client() for _ in range(s.socket_node.clients.max_connections)]
    for n, line in enumerate(held):
        line.send(get_command(f"r{n}", f"key{n}"))
    late = [s.connect_client(get_command(f"l{n}", f"key{n}")) for n in range(40)]
    assert all(line.receive() == b"-BUSY\r\n" for line in late)
    quiet = [s.connect_client() for _ in range(8)]
    s.pass_time(120)
    assert all(line.is_closed for line in late + quiet) and not any(line.is_closed for line in held)
    s.network.dial_outcomes.clear()
    assert s.network.dials, "room for servers is kept apart"
    s.pass_time(1000)
    answers = [line.receive() for line in held]
    assert all(answers) and len(answers) == s.socket_node.clients.max_connections, (
        "one final answer to each"
    )
    held[0].send(get_command("again"))
    assert answer_caches(s) and b"v" in held[0].receive()


def test_a_graceful_shutdown_serves_what_the_kernel_has_accepted() -> None:
    s, late = NodeOnMemoryNetwork(), []

    class Port:
        sessionno = 0

        def doRead(self) -> None:  # noqa: N802
            if len(late) < 40:
                late.append(s.connect_client())
                late[-1].unread_input = get_command(f"late{len(late)}", f"key{len(late)}")
                self.sessionno += 1

        def stopListening(self) -> None:  # noqa: N802
            pass

    s.socket_node.lifecycle.listening_port = Port()
    s.socket_node.shut_down()
    s.pass_time(501)
    for _ in range(20):
        answer_caches(s)
    s.pass_time(1200)
    assert len(late) == 40 and all(line.receive() and line.is_closed for line in late)


class Selectable:
    def __init__(self, order: list[str], name: str) -> None:
        self.ours, theirs = socket.socketpair()
        theirs.send(b"x")
        self.kept, self.order, self.name = theirs, order, name

    def fileno(self) -> int:
        return self.ours.fileno()

    def doRead(self) -> None:  # noqa: N802
        self.order.append(self.name)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        pass


class FromClient(Selectable, Server):
    pass


def test_reactor_iterations_are_short_and_backends_come_first() -> None:
    reactor, order = PrioritizedReactor(), list[str]()
    made = [FromClient(order, "client") for _ in range(3 * EVENTS_PER_TURN)] + [
        Selectable(order, "server")
    ]
    for one in made:
        reactor.addReader(one)
    reactor.doPoll(0)
    assert 0 < len(order) <= EVENTS_PER_TURN
    for _ in range(3):
        reactor.doPoll(0)
    assert order.count("server") >= 1 and len(order) >= 3 * EVENTS_PER_TURN, "each had its turn"
    begun = order.index("server")
    turn = order[begun // EVENTS_PER_TURN * EVENTS_PER_TURN :]
    assert turn[0] == "server" or begun < 3, "before the clients of its turn"
    for one in made:
        reactor.removeReader(one)
        one.ours.close()
        one.kept.close()


def test_more_connections_than_descriptors_are_all_answered(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    told = NODE_FILE | {
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "limits": {"sockets": 64},
    }
    path.write_text(json.dumps(told))
    node = subprocess.Popen(
        [sys.executable, "-m", "hookpitch"],
        env={"PROXY_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    lines = []
    try:
        assert any('"serving"' in line for line in node.stderr)
        for n in range(150):  # the kernel accepts them all
            lines.append(socket.create_connection(("127.0.0.1", port), timeout=10))
            lines[-1].sendall(get_command(f"r{n}", f"key{n}"))
        answers = [line.recv(100) for line in lines]
        assert all(a.startswith((b"-BUSY", b"-ERR")) for a in answers), answers.count(b"")
    finally:
        node.kill()
        node.stderr.close()
        for line in lines:
            line.close()
