"""Tests of a relay process between plain sockets: every impairment of a link has its effect."""

import json
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from hookpitch.testbed.child import recorded_events
from hookpitch.testbed.links import CLEAN, Impairment

SUBNET = "127.9"  # not used by runs on loopback
LISTEN_ADDRESS, SERVER_ADDRESS, SOURCE_HOST = (
    (f"{SUBNET}.1.1", 29100),
    (f"{SUBNET}.2.1", 29101),
    f"{SUBNET}.9.9",
)
NODE_ADDRESSES = {"n0": (f"{SUBNET}.0.1", 29102), "n1": (f"{SUBNET}.0.2", 29102)}
# The addresses at which n1 reaches n0, and n0 reaches n1.
ADDRESSES_FOR_PEER = {"n0": (f"{SUBNET}.200.1", 29102), "n1": (f"{SUBNET}.200.2", 29102)}
LOADED_MACHINE_S = 2.0  # by which a transfer may be late on a loaded machine


class RelayProcess:
    """A relay with a TCP link from n0 to s0, and datagrams between n0 and n1."""

    def __init__(self, folder: Path) -> None:
        self.folder, control = folder, socket.socket(socket.AF_UNIX)
        control.bind(str(folder / "control"))
        control.listen()
        options = {
            "name": "relay0",
            "control": str(folder / "control"),
            "begun": time.monotonic(),
            "seed": 1,
            "history": str(folder / "history"),
            "nodes": ["n0"],
            "tcp": [["n0", "s0", LISTEN_ADDRESS, SERVER_ADDRESS, SOURCE_HOST]],
            "udp": [
                [
                    "n0",
                    "n1",
                    ADDRESSES_FOR_PEER["n1"],
                    ADDRESSES_FOR_PEER["n0"],
                    NODE_ADDRESSES["n1"],
                    NODE_ADDRESSES["n0"],
                ]
            ],
        }
        (folder / "given").write_text(json.dumps(options))
        command = [sys.executable, "-m", "hookpitch.testbed.relay", str(folder / "given")]
        self.process = subprocess.Popen(command)
        control.settimeout(20)
        self.control = control.accept()[0].makefile("rw")
        control.close()
        assert [json.loads(self.control.readline())[0] for _ in range(2)] == ["hello", "ready"]
        self.server = socket.create_server(SERVER_ADDRESS)
        self.server.settimeout(3)

    def execute(self, *command: object) -> None:
        """Send a command to the relay and wait until it is executed."""
        for message in (command, ("sync",)):
            self.control.write(json.dumps(message) + "\n")
        self.control.flush()
        assert json.loads(self.control.readline()) == ["done"]

    def impair(
        self,
        impairment: Impairment = CLEAN,
        backwards: bool = False,
        source: str = "n0",
        destination: str = "s0",
    ) -> None:
        """Impair one direction of a link; with `backwards`, the direction to the source."""
        self.execute(
            "impair",
            *((destination, source) if backwards else (source, destination)),
            msgspec.to_builtins(impairment),
        )

    def connect(self) -> tuple[socket.socket, socket.socket]:
        """Connect through the relay, and return the client's and the server's socket."""
        client = socket.create_connection(LISTEN_ADDRESS, 3)
        server = self.server.accept()[0]
        server.settimeout(3)
        return client, server

    def end(self) -> None:
        """End the relay and check that it exits without an error."""
        self.control.close()  # A relay exits when its control connection is closed.
        assert self.process.wait(5) == 0
        self.server.close()


@pytest.fixture
def relay(tmp_path: Path) -> Iterator[RelayProcess]:
    """Run a relay for the duration of a test."""
    started = RelayProcess(tmp_path)
    try:
        yield started
        started.end()
    finally:
        started.process.kill()
        started.process.wait()


def receives_nothing(peer: socket.socket, seconds: float = 0.15) -> bool:
    """Return whether no bytes arrive within this time."""
    peer.settimeout(seconds)
    try:
        return peer.recv(100) is None
    except TimeoutError:
        return True
    finally:
        peer.settimeout(3)


def test_a_link_forwards_bytes_half_closes_and_resets_and_records_a_nodes_close(
    relay: RelayProcess,
) -> None:
    client, server = relay.connect()
    assert server.getpeername()[0] == SOURCE_HOST
    client.sendall(b"x" * 300000 + b"end")
    received = b""
    while not received.endswith(b"end"):
        received += server.recv(65536)
    assert len(received) == 300003
    client.shutdown(socket.SHUT_WR)
    assert server.recv(10) == b""
    # The connection is half-closed: the answer still arrives.
    server.sendall(b"answer")
    assert client.recv(10) == b"answer"
    server.close()
    assert client.recv(10) == b""
    client.close()
    client, server = relay.connect()
    port = server.getpeername()[1]
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    with pytest.raises(ConnectionResetError):
        server.recv(10)
    relay.execute("sever", "n0", "s0")
    assert port in [
        event.port
        for event in recorded_events(relay.folder / "history")
        if (event.kind, event.who) == ("closed", "n0")
    ]


def test_a_cut_holds_what_is_sent_and_passes_it_on_in_order_when_it_ends(
    relay: RelayProcess,
) -> None:
    client, server = relay.connect()
    relay.impair(Impairment(silent=True))
    client.sendall(b"one ")
    client.sendall(b"two")
    server.sendall(b"the other way is open")
    assert client.recv(100) == b"the other way is open" and receives_nothing(server)
    relay.impair()
    assert server.recv(100) + (b"" if receives_nothing(server) else b"?") == b"one two"


def test_a_cut_that_discards_data_breaks_only_connections_that_sent_data(
    relay: RelayProcess,
) -> None:
    broken, idle = relay.connect(), relay.connect()
    relay.impair(Impairment(silent=True, kept=False))
    broken[0].sendall(b"gone")
    assert receives_nothing(broken[1])
    relay.impair()
    for peer in broken:
        with pytest.raises(ConnectionResetError):
            peer.recv(10)
    idle[0].sendall(b"well")
    assert idle[1].recv(10) == b"well"


def test_a_reset_during_a_cut_arrives_after_it_and_a_close_arrives_after_the_data(
    relay: RelayProcess,
) -> None:
    reset, ended = relay.connect(), relay.connect()
    relay.impair(Impairment(silent=True))
    reset[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    reset[0].sendall(b"never")
    reset[0].close()
    ended[0].sendall(b"late")
    ended[0].close()
    assert receives_nothing(reset[1]) and receives_nothing(ended[1])
    relay.impair()
    with pytest.raises(ConnectionResetError):
        reset[1].recv(10)
    assert ended[1].recv(10) == b"late" and ended[1].recv(10) == b""


@pytest.mark.parametrize("impairment", [Impairment(deaf=True), Impairment(silent=True)])
def test_a_connect_through_a_dead_link_times_out_and_succeeds_once_it_is_restored(
    relay: RelayProcess, impairment: Impairment
) -> None:
    # A cut of the opposite direction suffices.
    relay.impair(impairment, backwards=impairment.silent)
    with pytest.raises(TimeoutError):
        socket.create_connection(LISTEN_ADDRESS, 0.4)
    relay.impair(backwards=impairment.silent)
    client, server = relay.connect()
    client.sendall(b"well")
    assert server.recv(10) == b"well"


def test_connects_are_refused_on_command_and_severing_a_link_resets_all(
    relay: RelayProcess,
) -> None:
    first = relay.connect()
    relay.impair(Impairment(refusing=True))
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(LISTEN_ADDRESS, 3)
    first[0].sendall(b"stands")
    assert first[1].recv(10) == b"stands"
    relay.impair()
    second = relay.connect()
    relay.execute("sever", "n0", "s0")
    for peer in (*first, *second):
        with pytest.raises(ConnectionResetError):
            peer.recv(10)


def test_a_connect_to_a_dead_server_is_reset_at_once(relay: RelayProcess) -> None:
    relay.server.close()
    # The reset arrives while the connection is established, or right afterwards.
    with pytest.raises(ConnectionResetError):
        socket.create_connection(LISTEN_ADDRESS, 3).recv(10)


@pytest.mark.parametrize(
    ("impairment", "least_s", "size"),
    [
        (Impairment(delay_ms=120.0), 0.12, 10),
        (Impairment(bandwidth=20000.0), 0.2, 4000),
        (Impairment(loss=0.95), 0.2, 10),  # Lost bytes of a stream arrive late.
    ],
)
def test_a_slow_low_bandwidth_or_lossy_link_delays_data(
    relay: RelayProcess, impairment: Impairment, least_s: float, size: int
) -> None:
    client, server = relay.connect()
    relay.impair(impairment)
    started_at = time.monotonic()
    client.sendall(b"x" * size)
    if impairment.loss:
        assert receives_nothing(server, least_s * 0.9)
        return
    received_count = 0
    while received_count < size:
        received_count += len(server.recv(65536))
    assert least_s * 0.95 <= time.monotonic() - started_at < least_s + LOADED_MACHINE_S


def test_a_reader_that_stops_reading_pauses_the_writer(relay: RelayProcess) -> None:
    client, _ = relay.connect()
    relay.impair(Impairment(silent=True))
    client.settimeout(0.5)
    sent = 0

    def send_until_blocked() -> None:
        """Send 64 MiB, unless the socket blocks for longer than its timeout."""
        nonlocal sent
        while sent < 1 << 26:
            sent += client.send(b"x" * 65536)

    with pytest.raises(TimeoutError):
        send_until_blocked()
    assert sent < 1 << 25


def test_datagrams_travel_both_ways_and_can_be_lost_duplicated_or_reordered(
    relay: RelayProcess,
) -> None:
    n0, n1 = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    n0.bind(NODE_ADDRESSES["n0"])
    n1.bind(NODE_ADDRESSES["n1"])
    for peer in (n0, n1):
        peer.settimeout(0.4)

    def received() -> list[int]:
        """Return the numbers that n1 receives until no datagram arrives for 0.4 s."""
        numbers = []
        try:
            while True:
                numbers.append(int(n1.recv(100)))
        except TimeoutError:
            return numbers

    def burst(count: int = 60) -> list[int]:
        """Send numbered datagrams from n0 to n1, and return the numbers received."""
        for number in range(count):
            n0.sendto(b"%d" % number, ADDRESSES_FOR_PEER["n1"])
            time.sleep(0.001)
        return received()

    n0.sendto(b"7", ADDRESSES_FOR_PEER["n1"])
    data, source = n1.recvfrom(100)
    assert data == b"7" and source == ADDRESSES_FOR_PEER["n0"]
    n1.sendto(b"back", source)
    assert n0.recvfrom(100) == (b"back", ADDRESSES_FOR_PEER["n1"])
    assert burst() == list(range(60))
    relay.impair(Impairment(silent=True), destination="n1")
    assert not burst(5)
    relay.impair(Impairment(loss=0.5), destination="n1")
    assert 10 < len(burst()) < 50
    relay.impair(Impairment(repeat=0.5), destination="n1")
    assert 70 < len(burst()) < 110
    relay.impair(Impairment(reorder=0.3), destination="n1")
    numbers = burst()
    assert sorted(numbers) == list(range(60)) != numbers
    n0.close()
    n1.close()
