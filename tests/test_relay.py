"""The relay alone, as a process, between plain sockets: each fault of a link is what it says."""

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

NET = "127.9"  # no run's
AT, TO, WHENCE = (f"{NET}.1.1", 29100), (f"{NET}.2.1", 29101), f"{NET}.9.9"
PEERS = {"n0": (f"{NET}.0.1", 29102), "n1": (f"{NET}.0.2", 29102)}
SEEN = {
    "n0": (f"{NET}.200.1", 29102),
    "n1": (f"{NET}.200.2", 29102),
}  # n0 as n1 finds it, n1 as n0 does
MORE_S = 2.0  # that a loaded machine may take


class Rig:
    """One relay with a TCP link from n0 to s0, and datagrams between n0 and n1."""

    def __init__(self, folder: Path) -> None:
        self.folder, control = folder, socket.socket(socket.AF_UNIX)
        control.bind(str(folder / "control"))
        control.listen()
        given = {
            "name": "relay0",
            "control": str(folder / "control"),
            "begun": time.monotonic(),
            "seed": 1,
            "history": str(folder / "history"),
            "nodes": ["n0"],
            "tcp": [["n0", "s0", AT, TO, WHENCE]],
            "udp": [["n0", "n1", SEEN["n1"], SEEN["n0"], PEERS["n1"], PEERS["n0"]]],
        }
        (folder / "given").write_text(json.dumps(given))
        words = [sys.executable, "-m", "hookpitch.testbed.relay", str(folder / "given")]
        self.process = subprocess.Popen(words)
        control.settimeout(20)
        self.line = control.accept()[0].makefile("rw")
        control.close()
        assert [json.loads(self.line.readline())[0] for _ in range(2)] == ["hello", "ready"]
        self.server = socket.create_server(TO)
        self.server.settimeout(3)

    def say(self, *words: object) -> None:
        for said in (words, ("sync",)):
            self.line.write(json.dumps(said) + "\n")
        self.line.flush()
        assert json.loads(self.line.readline()) == ["done"]

    def impair(
        self, impairment: Impairment = CLEAN, back: bool = False, a: str = "n0", b: str = "s0"
    ) -> None:
        self.say("impair", *((b, a) if back else (a, b)), msgspec.to_builtins(impairment))

    def connect(self) -> tuple[socket.socket, socket.socket]:
        near = socket.create_connection(AT, 3)
        far = self.server.accept()[0]
        far.settimeout(3)
        return near, far

    def end(self) -> None:
        self.line.close()  # a relay whose line ends, ends
        assert self.process.wait(5) == 0
        self.server.close()


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path)
    try:
        yield made
        made.end()
    finally:
        made.process.kill()
        made.process.wait()


def silent(peer: socket.socket, seconds: float = 0.15) -> bool:
    peer.settimeout(seconds)
    try:
        return peer.recv(100) is None
    except TimeoutError:
        return True
    finally:
        peer.settimeout(3)


def test_a_clean_link_passes_bytes_ends_and_resets_on_and_tells_of_a_nodes_end(rig: Rig) -> None:
    near, far = rig.connect()
    assert far.getpeername()[0] == WHENCE
    near.sendall(b"x" * 300000 + b"end")
    got = b""
    while not got.endswith(b"end"):
        got += far.recv(65536)
    assert len(got) == 300003
    near.shutdown(socket.SHUT_WR)
    assert far.recv(10) == b""  # half closed: the answer still comes
    far.sendall(b"answer")
    assert near.recv(10) == b"answer"
    far.close()
    assert near.recv(10) == b""
    near.close()
    near, far = rig.connect()
    port = far.getpeername()[1]
    near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    near.close()
    with pytest.raises(ConnectionResetError):
        far.recv(10)
    rig.say("sever", "n0", "s0")
    assert port in [
        e.port
        for e in recorded_events(rig.folder / "history")
        if (e.kind, e.who) == ("closed", "n0")
    ]


def test_a_cut_holds_what_is_sent_and_passes_it_on_in_order_when_it_ends(rig: Rig) -> None:
    near, far = rig.connect()
    rig.impair(Impairment(silent=True))
    near.sendall(b"one ")
    near.sendall(b"two")
    far.sendall(b"the other way is open")
    assert near.recv(100) == b"the other way is open" and silent(far)
    rig.impair()
    assert far.recv(100) + (b"" if silent(far) else b"?") == b"one two"


def test_what_a_cut_swallows_breaks_its_connection_alone(rig: Rig) -> None:
    torn, idle = rig.connect(), rig.connect()
    rig.impair(Impairment(silent=True, kept=False))
    torn[0].sendall(b"gone")
    assert silent(torn[1])
    rig.impair()
    for peer in torn:
        with pytest.raises(ConnectionResetError):
            peer.recv(10)
    idle[0].sendall(b"well")
    assert idle[1].recv(10) == b"well"


def test_a_reset_in_a_cut_is_told_when_it_ends_and_an_end_comes_behind_the_bytes(rig: Rig) -> None:
    reset, ended = rig.connect(), rig.connect()
    rig.impair(Impairment(silent=True))
    reset[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    reset[0].sendall(b"never")
    reset[0].close()
    ended[0].sendall(b"late")
    ended[0].close()
    assert silent(reset[1]) and silent(ended[1])
    rig.impair()
    with pytest.raises(ConnectionResetError):
        reset[1].recv(10)
    assert ended[1].recv(10) == b"late" and ended[1].recv(10) == b""


@pytest.mark.parametrize("impairment", [Impairment(deaf=True), Impairment(silent=True)])
def test_a_dial_through_a_dead_link_never_comes_up_and_does_when_it_is_well(
    rig: Rig, impairment: Impairment
) -> None:
    rig.impair(impairment, back=impairment.silent)  # a cut of the way back is enough
    with pytest.raises(TimeoutError):
        socket.create_connection(AT, 0.4)
    rig.impair(back=impairment.silent)
    near, far = rig.connect()
    near.sendall(b"well")
    assert far.recv(10) == b"well"


def test_dials_are_refused_while_told_so_and_a_severed_link_resets_all(rig: Rig) -> None:
    first = rig.connect()
    rig.impair(Impairment(refusing=True))
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(AT, 3)
    first[0].sendall(b"stands")
    assert first[1].recv(10) == b"stands"
    rig.impair()
    second = rig.connect()
    rig.say("sever", "n0", "s0")
    for peer in (*first, *second):
        with pytest.raises(ConnectionResetError):
            peer.recv(10)


def test_a_dial_to_a_dead_server_is_reset_at_once(rig: Rig) -> None:
    rig.server.close()
    with pytest.raises(ConnectionResetError):  # by then, or as soon as it is up
        socket.create_connection(AT, 3).recv(10)


@pytest.mark.parametrize(
    ("impairment", "least_s", "size"),
    [
        (Impairment(delay_ms=120.0), 0.12, 10),
        (Impairment(bandwidth=20000.0), 0.2, 4000),
        (Impairment(loss=0.95), 0.2, 10),  # a stream's bytes come late
    ],
)
def test_a_slow_narrow_or_lossy_link_takes_its_time(
    rig: Rig, impairment: Impairment, least_s: float, size: int
) -> None:
    near, far = rig.connect()
    rig.impair(impairment)
    begun = time.monotonic()
    near.sendall(b"x" * size)
    if impairment.loss:
        assert silent(far, least_s * 0.9)
        return
    got = 0
    while got < size:
        got += len(far.recv(65536))
    assert least_s * 0.95 <= time.monotonic() - begun < least_s + MORE_S


def test_a_reader_that_stops_holds_the_writer_back(rig: Rig) -> None:
    near, _ = rig.connect()
    rig.impair(Impairment(silent=True))
    near.settimeout(0.5)
    sent = 0
    with pytest.raises(TimeoutError):
        while sent < 1 << 26:
            sent += near.send(b"x" * 65536)
    assert sent < 1 << 25


def test_datagrams_find_both_ways_and_are_lost_doubled_and_overtaken(rig: Rig) -> None:
    a, b = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    a.bind(PEERS["n0"])
    b.bind(PEERS["n1"])
    for peer in (a, b):
        peer.settimeout(0.4)

    def heard() -> list[int]:
        got = []
        try:
            while True:
                got.append(int(b.recv(100)))
        except TimeoutError:
            return got

    def burst(count: int = 60) -> list[int]:
        for n in range(count):
            a.sendto(b"%d" % n, SEEN["n1"])
            time.sleep(0.001)
        return heard()

    a.sendto(b"7", SEEN["n1"])
    data, whence = b.recvfrom(100)
    assert data == b"7" and whence == SEEN["n0"]
    b.sendto(b"back", whence)
    assert a.recvfrom(100) == (b"back", SEEN["n1"])
    assert burst() == list(range(60))
    rig.impair(Impairment(silent=True), b="n1")
    assert not burst(5)
    rig.impair(Impairment(loss=0.5), b="n1")
    assert 10 < len(burst()) < 50
    rig.impair(Impairment(repeat=0.5), b="n1")
    assert 70 < len(burst()) < 110
    rig.impair(Impairment(reorder=0.3), b="n1")
    got = burst()
    assert sorted(got) == list(range(60)) != got
    a.close()
    b.close()
