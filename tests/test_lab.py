"""Tests of the lab: reproducible histories, the faults the judge finds, files, virtual time."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from hookpitch.core.counters import Counters
from hookpitch.fakes.history import History
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.shared_state import SharedState
from hookpitch.testbed.experiment import read
from hookpitch.testbed.judge import Judge
from hookpitch.testbed.metrics import summary
from hookpitch.testbed.rules import Rules
from hookpitch.testbed.run import Run
from hookpitch.testbed.simulated_tcp import MAX_BUFFERED_BYTES
from hookpitch.testbed.simulation import SimulatedNetwork

ROOT = Path(__file__).parent.parent
SMALL = """
name = "test-small"
seconds = 3.0
[fleet]
caches = 3
[traffic]
rate = 100.0
[[fault]]
at = 1.5
what = "crash"
whom = "s1"
for = 0.5
"""


def test_a_seed_gives_the_same_history_for_any_hash_seed() -> None:
    code = (
        "from hookpitch.testbed.experiment import read; from hookpitch.testbed.run import Run; import sys; "  # noqa: E501
        "print(Run(read(sys.argv[1]), int(sys.argv[2])).run().history.digest())"
    )
    digests = []
    for hash_seed, seed in (("1", "5"), ("2", "5"), ("1", "6")):
        command = [sys.executable, "-c", code, SMALL, seed]
        environment = os.environ | {"PYTHONHASHSEED": hash_seed}
        completed = subprocess.run(
            command, env=environment, cwd=ROOT, capture_output=True, text=True, check=True
        )
        digests.append(completed.stdout)
    assert digests[0] == digests[1] != digests[2]


# ---- the judge

NODE, SERVER = "n0", "s0"


def violated_rules(*events: tuple) -> list[str]:
    """Return the names of the rules that a history violates.

    The history begins with one RPC that is sent at 1000 ms with a deadline of 500 ms.
    """
    history = History()
    history.add(1000.0, "asked", NODE, "q1", "read", 500.0, 7)
    for event in events:
        history.add(*event)
    return [
        violation.rule
        for violation in Judge(Rules(retriable={"read": False})).judge(history, 60000.0)
    ]


CAME = (1001.0, "came", SERVER, "q1", NODE, 0.0, 1)
SENT = (1010.0, "sent", SERVER, "q1", "hit")
ANSWERED = (1011.0, "answered", NODE, "q1", "completed")


@pytest.mark.parametrize(
    ("rules", "events"),
    [
        ([], [CAME, SENT, ANSWERED]),
        # No answer.
        (["rule 1"], [CAME]),
        # A late answer.
        (["rule 1"], [CAME, SENT, (1560.0, *ANSWERED[1:])]),
        # Two answers.
        (
            ["rule 1"],
            [CAME, SENT, ANSWERED, (1012.0, "answered", NODE, "q1", "exhausted")],
        ),
        # The value of another key.
        (
            ["rule 1"],
            [CAME, SENT, (1011.0, "answered", NODE, "q1", "wrong")],
        ),
        (["rule 1"], [CAME, SENT, (1011.0, "lost", NODE, "q1", "", 0.0, 7)]),
        # The node has not read the RPC.
        (
            [],
            [(1001.0, "unread", NODE, "", "", 0.0, 7), (1002.0, "lost", NODE, "q1", "", 0.0, 7)],
        ),
        (
            ["rule 1"],
            [
                CAME,
                (1002.0, "sent", SERVER, "q1", "miss"),
                (1003.0, "answered", NODE, "q1", "exhausted"),
                (1100.0, "came", "s1", "q1", NODE, 0.0, 2),
                (1101.0, "sent", "s1", "q1", "miss"),
            ],
        ),
        (
            ["second copy"],
            [
                CAME,
                (1005.0, "came", "s1", "q1", NODE, 0.0, 2),
                (1006.0, "sent", "s1", "q1", "miss"),
                SENT,
                ANSWERED,
            ],
        ),
        (
            [],
            [
                CAME,
                (1004.0, "closed", NODE, "", "", 0.0, 1),
                (1011.0, "answered", NODE, "q1", "errored"),
            ],
        ),
        (
            ["rule 2"],
            [
                CAME,
                (1004.0, "sent", SERVER, "q1", "error"),
                (1005.0, "came", "s1", "q1", NODE, 0.0, 2),
                (1006.0, "sent", "s1", "q1", "hit"),
                ANSWERED,
            ],
        ),
        (
            ["rule 2"],
            [
                CAME,
                (1002.0, "effect", SERVER, "q1"),
                (1003.0, "effect", SERVER, "q1"),
                SENT,
                ANSWERED,
            ],
        ),
        (["rule 4"], [CAME, SENT, ANSWERED, (1100.0, "fell", SERVER, "", "", 3.5)]),
        (["unknown"], [CAME, SENT, ANSWERED, (1100.0, "came", SERVER, "q9", NODE, 0.0, 2)]),
    ],
)
def test_the_judge_reports_exactly_the_violated_rules(
    rules: list[str], events: list[tuple]
) -> None:
    assert violated_rules(*events) == rules


def test_the_judge_times_a_drain_from_the_notification_or_six_seconds_after_the_change() -> None:
    for at, notified_at, rules in (
        (4040.0, 1000.0, []),
        (4060.0, 1000.0, ["rule 3"]),
        (9900.0, None, []),
        (10100.0, None, ["rule 3"]),
    ):
        history = History()
        history.add(1000.0, "listed", SERVER, what="terminating")
        if notified_at is not None:
            history.add(notified_at, "told", NODE, what=f"{SERVER} terminating")
        history.add(at, "asked", NODE, "q1", "read", 500.0, 7)
        history.add(at, "came", SERVER, "q1", NODE, 0.0, 1)
        history.add(at + 1, "sent", SERVER, "q1", "hit")
        history.add(at + 2, "answered", NODE, "q1", "completed")
        assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == rules
    (violation,) = Judge(Rules()).judge(history, 60000.0)
    assert "answered" in str(violation) and "came" in str(violation), (
        "the violation contains the whole history of the RPC"
    )


def add_answered_rpc(history: History, at: float, rpc: str, server: str = SERVER) -> None:
    """Add the events of an RPC that a server answers."""
    history.add(at, "asked", NODE, rpc, "read", 500.0, 7)
    history.add(at, "came", server, rpc, NODE, 0.0, 1)
    history.add(at + 1, "sent", server, rpc, "hit")
    history.add(at + 2, "answered", NODE, rpc, "completed")


@pytest.mark.parametrize(("at", "rules"), [(4040.0, []), (4060.0, ["rule 3"])])
def test_the_judge_enforces_a_ban_regardless_of_the_endpoint_list(
    at: float, rules: list[str]
) -> None:
    history = History()
    history.add(1000.0, "banned", NODE, what=SERVER)
    history.add(1500.0, "told", NODE, what=f"{SERVER} in_service")
    history.add(1500.0, "listed", SERVER, what="in_service")
    add_answered_rpc(history, at, "q1")
    history.add(at + 100, "back", NODE, what=SERVER)
    add_answered_rpc(history, at + 200, "q2")
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == rules


@pytest.mark.parametrize(
    ("end", "rules"), [("back", []), ("banned", ["rule 3"]), ("none", ["rule 3"])]
)
def test_the_judge_allows_a_banned_server_from_the_command_that_restores_it_if_that_is_accepted(
    end: str, rules: list[str]
) -> None:
    # Guards against a false violation where the node acts before the operator has its answer.
    history = History()
    history.add(1000.0, "banned", NODE, what=SERVER)
    history.add(9000.0, "restoring", NODE, what=SERVER)
    add_answered_rpc(history, 9001.0, "q1")
    if end != "none":
        history.add(9006.0, end, NODE, what=SERVER)
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == rules


@pytest.mark.parametrize(("closed_at", "rules"), [(1120.0, []), (0.0, ["second copy"])])
def test_the_judge_takes_no_attempt_for_a_second_copy_that_is_read_after_its_node_closed_it(
    closed_at: float, rules: list[str]
) -> None:
    # Guards against a false violation where a paused server reads a closed attempt late.
    history = History()
    history.add(1000.0, "asked", NODE, "q1", "read", 500.0, 7)
    history.add(1000.0, "away", SERVER, value=250.0)
    if closed_at:
        history.add(closed_at, "closed", NODE, port=1)
    history.add(1241.0, "came", "s9", "q1", NODE, 0.0, 3)
    history.add(1250.0, "came", SERVER, "q1", NODE, 0.0, 1)  # it was sent at 1000
    history.add(1250.5, "dropped", SERVER, "q1")
    history.add(1286.0, "sent", "s9", "q1", "hit")
    history.add(1287.0, "answered", NODE, "q1", "completed")
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == rules


def test_the_judge_reports_unused_servers_undrained_clients_and_admin_endpoint_failures() -> None:
    history = History()
    history.add(1000.0, "back", NODE, what=SERVER)
    for index in range(300):
        add_answered_rpc(history, 1100.0 + 20 * index, f"q{index}", "s1")
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == ["unused"]
    history.add(8000.0, "held", NODE, value=2.0)
    history.add(8100.0, "call", NODE, what="well")
    history.add(8200.0, "call", NODE, what="late: b'STATUS' has b'' and no end")
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == [
        "unused",
        "drain",
        "door",
    ]
    history.add(8150.0, "stop", NODE)  # a killed node answers nobody
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == [
        "unused",
        "drain",
    ]


def test_the_judge_compares_node_counters_with_the_history_and_reports_cut_off_clients() -> None:
    history = History()
    for index in range(10):
        add_answered_rpc(history, 1000.0 + 20 * index, f"q{index}")
    history.add(2000.0, "asked", NODE, "q99", "read", 500.0, 7)
    history.add(2100.0, "left", NODE, "q99")  # The node may or may not count q99.
    for completed, sent, violations in (
        (10, 10, 0),
        (13, 10, 0),
        (15, 10, 1),
        (6, 10, 1),
        (11, 14, 1),
        (10, 6, 1),
    ):
        counters = {NODE: {"completed.read": completed, "upstream_requests": sent}}
        assert [
            violation.rule for violation in Judge(Rules()).check_counters(history, counters)
        ] == ["figures"] * violations, (completed, sent)
    history.add(3000.0, "cut", NODE)
    assert [violation.rule for violation in Judge(Rules()).judge(history, 60000.0)] == ["head"]
    assert not Judge(Rules(has_descriptors_for_all_clients=False)).judge(history, 60000.0)


def test_the_judge_allows_attempts_that_cross_a_close_and_bans_that_end_with_a_process() -> None:
    history = History()
    history.add(1000.0, "asked", NODE, "q1", "read", 500.0, 7)
    history.add(1000.5, "closed", NODE, port=1)  # while the attempt was in flight
    history.add(1001.0, "came", SERVER, "q1", NODE, 0.0, 1)
    history.add(1005.0, "came", "s1", "q1", NODE, 0.0, 2)
    history.add(1006.0, "sent", "s1", "q1", "hit")
    history.add(1007.0, "answered", NODE, "q1", "completed")
    history.add(1009.0, "dropped", SERVER, "q1")
    history.add(2000.0, "banned", NODE, what=SERVER)
    history.add(3000.0, "stop", NODE)
    history.add(3500.0, "start", NODE)
    add_answered_rpc(history, 9000.0, "q2")  # the new process was not notified
    assert not Judge(Rules()).judge(history, 60000.0)


def test_rules_require_no_reuse_with_few_keys_and_no_free_descriptor_with_few_sockets() -> None:
    def rules(lines: str) -> Rules:
        """Return the rules for an experiment with these lines."""
        return Run(read("name = 'a-b'\n" + lines), 1).rules()

    assert rules("").reuse_within_ms == 5000.0 and rules("").has_descriptors_for_all_clients
    assert (
        rules("[traffic]\nkeys = 1").reuse_within_ms == float("inf")
        and not rules("[nodes]\nsockets = 64").has_descriptors_for_all_clients
    )


UPGRADE = """
name = "test-upgrade"
seconds = 8.0
[traffic]
rate = 200.0
fresh = 0.3
[[fault]]
at = 2.0
what = "suspend"
whom = "s1"
for = 5.5
[[fault]]
at = 2.5
what = "node_upgrade"
whom = "n0"
"""


def abort_all_clients(self: ClientRegistry, done: object, spread_ms: float = 0.0) -> None:
    """Abort the clients' connections in place of a graceful shutdown."""
    for client in list(self.connections):
        client.transport.abortConnection()


@pytest.mark.parametrize(
    ("owner", "method", "replacement", "rules"),
    [
        # The new process does not know of the ban.
        (
            SharedState,
            "read_new",
            lambda self: iter(()),
            {"rule 3"},
        ),
        # The old process aborts its clients' connections.
        (
            ClientRegistry,
            "shut_down",
            abort_all_clients,
            {"rule 1"},
        ),
        (Counters, "add", lambda self, name, by=1: None, {"figures"}),
        (None, "", None, set()),
    ],
)
def test_a_faulty_upgrade_is_reported_and_a_correct_one_is_not(
    owner: type | None,
    method: str,
    replacement: object,
    rules: set[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if owner is not None:
        monkeypatch.setattr(owner, method, replacement)
    run = Run(read(UPGRADE), 1)
    result = run.run()
    assert {violation.rule for violation in result.violations} == rules, str(result.violations[:1])
    # The old process has ended.
    assert run.nodes["n0"].starts == 2 and run.nodes["n0"].previous_process is None


def test_only_a_replaced_process_closes_its_connections_gradually(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    close_spans_ms, shut_down = list[float](), ClientRegistry.shut_down

    def recording_shut_down(self: ClientRegistry, done: object, spread_ms: float = 0.0) -> None:
        """Record the time over which connections are closed, and close them."""
        close_spans_ms.append(spread_ms)
        shut_down(self, done, spread_ms)

    monkeypatch.setattr(ClientRegistry, "shut_down", recording_shut_down)
    alone = UPGRADE.replace("node_upgrade", "node_leave").replace("suspend", "flush")
    for text in (UPGRADE, alone):
        assert not Run(read(text), 1).run().violations
    assert close_spans_ms[0] > 0 and close_spans_ms[1:] == [0.0]


# ---- files


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("name = 'x'", "name: must be lowercase words joined by hyphens"),
        ("name = 'a-b'\nsecond = 3", "second"),
        (
            "name = 'a-b'\n[[fault]]\nat = 1.0\nwhat = 'boom'",
            r"fault\[0\].what: 'boom' is not one of",
        ),
        ("name = 'a-b'\n[[fault]]\nat = 'x'\nwhat = 'crash'", r"fault\[0\].at: Expected `float`"),
        (
            "name = 'a-b'\n[[fault]]\nat = 99.0\nwhat = 'crash'\nwhom = 's0'",
            r"fault\[0\].at: must be from 0 to",
        ),
        (
            "name = 'a-b'\n[[fault]]\nat = 1.0\nwhat = 'crash'\nwhom = 's77'",
            r"fault\[0\].whom: there is no server",
        ),
        ("name = 'a-b'\n[[method]]\nname = 'r'\nhard_ms = 1.0", r"method\[0\].hard_ms"),
        (
            "name = 'a-b'\n[[fault]]\nat = 1.0\nwhat = 'node_kill'\nwhom = 'n0'\n[[fault]]\nat = 2.0\n"  # noqa: E501
            "what = 'node_upgrade'\nwhom = 'n0'",
            r"fault\[0\].whom: 'n0' is also the target of node_upgrade",
        ),
        (
            "name = 'a-b'\nexpect = ['served > 1']",
            r"expect\[0\]: 'served > 1' does not have the form",
        ),
        ("name = 'a-b'\nexpect = ['joy >= 1']", r"expect\[0\]: 'joy' is not one of"),
        (
            "name = 'a-b'\nexpect = ['served >= 1 within 2 s of the end of fault 0']",
            r"expect\[0\]: there is no",
        ),
        ("name = ", "Invalid"),
    ],
)
def test_an_invalid_experiment_is_rejected_with_the_location_of_the_error(
    text: str, message: str
) -> None:
    with pytest.raises(ValueError, match=message) as error:
        read(text)
    assert "\n" not in str(error.value)


# ---- virtual time


class RecordingProtocol(Protocol):
    """Records what it receives, and the end of its connection, with the times."""

    def __init__(self, events: list) -> None:
        self.events = events

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record the time and the number of bytes."""
        self.events.append((round(self.network.now, 4), len(data)))

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Record the time and the reason."""
        self.events.append((round(self.network.now, 4), type(reason.value).__name__))


class ConnectedPair:
    """Two machines with a connection between them and a delay of a tenth of a second."""

    def __init__(self) -> None:
        self.network, self.client_events, self.server_events = SimulatedNetwork(3), [], []
        RecordingProtocol.network = self.network
        self.client_machine, self.server_machine = (
            self.network.machine("1.1.1.1"),
            self.network.machine("2.2.2.2"),
        )
        self.network.connect("1.1.1.1", "2.2.2.2", 0.1)
        self.server = RecordingProtocol(self.server_events)
        self.client = RecordingProtocol(self.client_events)
        factory = Factory()
        factory.buildProtocol = lambda _: self.server
        self.server_machine.reactor.listenTCP(80, factory)
        client_factory = ClientFactory()
        client_factory.buildProtocol = lambda _: self.client
        client_factory.clientConnectionFailed = lambda _, reason: self.client_events.append(
            (round(self.network.now, 4), "failed")
        )
        self.client_factory = client_factory
        self.connector = self.client_machine.reactor.connectTCP(
            "2.2.2.2", 80, client_factory, timeout=None
        )


def test_bytes_arrive_after_the_link_delay_and_a_close_arrives_after_them() -> None:
    pair = ConnectedPair()
    pair.network.run(0.25)
    pair.client.transport.write(b"x" * 10)
    pair.client.transport.loseConnection()
    pair.network.run(1.0)
    assert pair.server_events == [(0.35, 10), (0.35, "ConnectionDone")] and pair.client_events == [
        (0.25, "ConnectionDone")
    ]


def test_a_reader_that_stops_reading_pauses_the_writer() -> None:
    pair = ConnectedPair()
    pair.network.run(0.25)
    pair.server.transport.pauseProducing()
    pair.client.transport.write(b"x" * (3 * MAX_BUFFERED_BYTES))
    pair.network.run(5.0)
    assert not pair.server_events and pair.server.transport.unread_bytes == MAX_BUFFERED_BYTES
    assert sum(map(len, pair.client.transport.send_buffer)) == 2 * MAX_BUFFERED_BYTES
    pair.server.transport.resumeProducing()
    pair.network.run(20.0)
    assert (
        sum(size for _, size in pair.server_events) == 3 * MAX_BUFFERED_BYTES
        and not pair.client.transport.send_buffer
    )


def test_a_silent_link_delays_data_until_restored_and_a_reset_discards_unsent_data() -> None:
    pair = ConnectedPair()
    pair.network.run(0.25)
    pair.network.silence("1.1.1.1", "2.2.2.2")
    pair.client.transport.write(b"late")
    pair.network.run(3.0)
    assert not pair.server_events
    pair.network.restore("1.1.1.1", "2.2.2.2")
    pair.network.run(4.0)
    assert pair.server_events == [(3.1, 4)]
    pair.network.silence("1.1.1.1", "2.2.2.2")
    pair.client.transport.write(b"never")
    pair.client.transport.abortConnection()
    pair.network.run(5.0)
    pair.network.restore("1.1.1.1", "2.2.2.2")
    pair.network.run(6.0)
    assert pair.server_events == [(3.1, 4)] and pair.client_events == [(4.0, "ConnectionAborted")]


def test_a_detached_machine_is_silent_then_resets_and_a_killed_one_fails_connects() -> None:
    pair = ConnectedPair()
    pair.network.run(0.25)
    pair.server_machine.detach()
    pair.client.transport.write(b"x")
    pair.network.run(1.0)
    assert not pair.client_events
    pair.server_machine.reattach()
    pair.network.run(2.0)
    assert pair.client_events == [(1.1, "ConnectionLost")]
    pair.server_machine.kill()
    pair.client_machine.reactor.connectTCP("2.2.2.2", 80, pair.client_factory, timeout=None)
    pair.network.run(3.0)
    assert pair.client_events[1:] == [(2.2, "failed")]


def test_a_busy_machine_runs_its_events_in_order_once_it_is_idle() -> None:
    network, events = SimulatedNetwork(1), []
    machine = network.machine("1.1.1.1")
    machine.event_cpu_s = 0.01
    for index in range(5):
        machine.reactor.callLater(
            0.001 * index, lambda index=index: events.append((round(network.now, 3), index))
        )
    cancelled = machine.reactor.callLater(0.002, events.append, "cancelled")
    moved = machine.reactor.callLater(
        0.0025, lambda: events.append((round(network.now, 3), "moved"))
    )
    network.call_at(0.004, None, cancelled.cancel)
    network.call_at(0.005, None, moved.reset, 0.2)
    network.run(1.0)
    assert events == [(0.0, 0), (0.01, 1), (0.02, 2), (0.03, 3), (0.04, 4), (0.205, "moved")]
    assert round(machine.cpu_used_s, 3) == 0.06


def test_figures_are_plain_data() -> None:
    figures = summary(Run(read(SMALL), 1).run())
    assert (
        figures["whole"]["served"] > 0.9 and len(figures["seconds"]) == 3 and not figures["broken"]
    )
