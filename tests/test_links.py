"""What a link's fault does, in virtual time: cuts that overlap, what they hold or swallow,
datagrams."""

import pytest
from test_lab import Pair
from twisted.internet.protocol import DatagramProtocol

from hookpitch.testbed.experiment import read
from hookpitch.testbed.groups import directions, members
from hookpitch.testbed.links import Impairment, combine
from hookpitch.testbed.reactor import MAX_UNREAD_DATAGRAM_BYTES
from hookpitch.testbed.simulation import SimulatedNetwork

A, B = "1.1.1.1", "2.2.2.2"


def pair() -> Pair:
    p = Pair()
    p.network.run(0.25)
    return p


def test_two_cuts_of_one_way_end_with_the_later_one() -> None:
    p = pair()
    p.network.impair(A, B, 1, Impairment(silent=True))
    p.network.impair(A, B, 2, Impairment(silent=True))
    p.client.transport.write(b"late")
    p.network.run(1.0)
    p.network.impair(A, B, 1, None)
    p.network.run(2.0)
    assert not p.there, "the second cut is still on"
    p.network.impair(A, B, 2, None)
    p.network.run(3.0)
    assert p.there == [(2.1, 4)]


def test_what_a_cut_swallows_never_comes_and_breaks_its_connection_and_no_other() -> None:
    p = pair()
    p.network.impair(A, B, 1, Impairment(silent=True, kept=False))
    p.network.run(1.0)
    p.network.impair(A, B, 1, None)
    p.client.transport.write(b"well")
    p.network.run(2.0)
    assert (
        p.there == [(1.1, 4)] and not p.here
    )  # nothing was sent in the cut: the connection stands
    p.network.impair(A, B, 1, Impairment(silent=True, kept=False))
    p.client.transport.write(b"gone")
    p.network.run(3.0)
    p.network.impair(A, B, 1, None)
    p.network.run(4.0)
    assert p.there == [(1.1, 4), (3.0, "ConnectionLost")] and p.here == [(3.0, "ConnectionLost")]


def test_a_lossy_stream_comes_whole_and_late_and_a_reset_one_comes_no_more() -> None:
    p = pair()
    p.network.impair(A, B, 1, Impairment(loss=0.3))
    for _ in range(40):
        p.client.transport.write(b"x" * 10)
    p.network.run(30.0)
    assert sum(n for _, n in p.there) == 400 and p.there[-1][0] >= 0.55
    p.network.impair(A, B, 1, Impairment(loss=0.999))
    before = len(p.there)
    p.client.transport.write(b"x")
    p.client.transport.abortConnection()
    p.network.run(60.0)
    assert all(not isinstance(n, int) for _, n in p.there[before:])


@pytest.mark.parametrize(
    ("impairment", "seen"),
    [
        (Impairment(refusing=True), [(1.2, "failed")]),
        (Impairment(deaf=True), []),
        (Impairment(delay_ms=100.0), []),
    ],
)
def test_a_dial_is_refused_or_gets_no_answer(impairment: Impairment, seen: list) -> None:
    p = pair()
    p.network.run(1.0)
    p.network.impair(A, B, 1, impairment)
    p.a.reactor.connectTCP(B, 80, p.dial, timeout=None)
    p.network.run(5.0)
    assert p.here == seen


def test_a_severed_link_loses_all_its_connections_and_a_narrow_one_takes_its_time() -> None:
    p = pair()
    p.network.impair(A, B, 1, Impairment(bandwidth=100.0))
    p.client.transport.write(b"x" * 60)  # and 40 of the packet's own
    p.network.run(3.0)
    assert p.there == [(1.35, 60)]
    p.network.sever(A, B)
    p.network.run(4.0)
    assert p.there[1:] == [(3.0, "ConnectionLost")] and p.here == [(3.0, "ConnectionLost")]


class Heard(DatagramProtocol):
    def __init__(self, network: SimulatedNetwork) -> None:
        self.network, self.seen = network, list[tuple[float, bytes, tuple[str, int]]]()

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        self.seen.append((round(self.network.now, 4), data, addr))


def datagrams() -> tuple[SimulatedNetwork, Heard, Heard]:
    network = SimulatedNetwork(5)
    network.connect(A, B, 0.01)
    here, there = Heard(network), Heard(network)
    network.machine(A).reactor.listenUDP(7, here, interface=A)
    network.machine(B).reactor.listenUDP(7, there, interface=B)
    return network, here, there


def test_datagrams_go_both_ways_and_each_fault_is_what_it_says() -> None:
    network, here, there = datagrams()
    here.transport.write(b"to", (B, 7))
    there.transport.write(b"back", (A, 7))
    here.transport.write(b"nobody", (B, 8))
    network.run(1.0)
    assert there.seen == [(0.01, b"to", (A, 7))] and here.seen == [(0.01, b"back", (B, 7))]
    cases = (
        (Impairment(loss=0.5), 60, 140),
        (Impairment(repeat=0.5), 260, 340),
        (Impairment(silent=True), 0, 0),
    )
    for impairment, least, most in cases:
        network.impair(A, B, 1, impairment)
        before = len(there.seen)
        for _ in range(200):
            here.transport.write(b"x", (B, 7))
        network.run(network.now + 1.0)
        assert least <= len(there.seen) - before <= most
    network.impair(A, B, 1, Impairment(reorder=0.3))
    before = len(there.seen)
    for n in range(100):
        network.call_at(network.now + n * 0.005, None, here.transport.write, b"%d" % n, (B, 7))
    network.run(network.now + 2.0)
    came = [int(data) for _, data, _ in there.seen[before:]]
    assert sorted(came) == list(range(100)) != came


def test_a_stopped_process_reads_what_its_socket_held_and_loses_the_rest() -> None:
    network, here, there = datagrams()
    network.machine(B).pause(5.0)
    for _ in range(300):
        here.transport.write(b"x" * 1024, (B, 7))
    network.run(4.0)
    assert not there.seen
    network.run(6.0)
    assert len(
        there.seen
    ) == MAX_UNREAD_DATAGRAM_BYTES // 1024 and there.transport.dropped == 300 - len(there.seen)
    network.machine(B).kill()
    here.transport.write(b"dead", (B, 7))
    network.run(7.0)
    assert len(there.seen) == MAX_UNREAD_DATAGRAM_BYTES // 1024


def test_groups_are_drawn_by_the_seed_and_links_have_a_node_at_one_end() -> None:
    nodes, servers = [f"n{i}" for i in range(6)], ["s0", "s1", "s2"]

    def group(text: str, seed: int = 1) -> list[str]:
        return members(text, nodes, servers, seed, 0)

    assert group("n4 s1, origin") == ["n4", "s1", "origin"] and group("servers") == servers
    assert len(group("0.33 of nodes")) == 2 and len(group("0.01 of servers")) == 1
    assert group("3 of nodes") == group("3 of nodes")
    assert len({tuple(group("3 of nodes", seed)) for seed in range(20)}) > 5
    for text in ("9 of nodes", "", "n77", "0 of servers"):
        with pytest.raises(ValueError):
            group(text)
    assert directions(["s0", "origin"], ["s1", "n0"], nodes, True) == [
        ("s0", "n0"),
        ("n0", "s0"),
        ("origin", "n0"),
        ("n0", "origin"),
    ]
    assert directions(["n0"], ["n0", "n1"], nodes, False) == [("n0", "n1")]


def test_impairments_add_up() -> None:
    two = (
        Impairment(delay_ms=5, loss=0.5, bandwidth=10),
        Impairment(delay_ms=3, loss=0.5, silent=True, kept=False),
    )
    both = combine(two)
    assert (both.delay_ms, both.loss, both.bandwidth, both.silent, both.kept) == (
        8,
        0.75,
        10,
        True,
        False,
    )


@pytest.mark.parametrize(
    ("fault", "said"),
    [
        ("what = 'cut'\nwhom = 'n0'\nto = 'n7'", r"fault\[0\].whom: 'n7' is no node"),
        ("what = 'cut'\nwhom = 's0'\nto = 'servers'", r"fault\[0\].to: no link goes"),
        ("what = 'stall'\nwhom = '9 of nodes'", r"fault\[0\].whom: '9 of nodes': there are 1"),
        ("what = 'stall'\nwhom = 'clients'", "clients are no process"),
        ("what = 'lossy'\nwhom = 'n0'\nto = 's0'\nby = 2.0", r"fault\[0\].by: wants a part"),
        ("what = 'crash'\nwhom = 's0'\nto = 'n0'", "crash has no `to`"),
    ],
)
def test_a_slip_in_a_groups_fault_is_told_with_its_place(fault: str, said: str) -> None:
    with pytest.raises(ValueError, match=said):
        read(f"name = 'a-b'\n[[fault]]\nat = 1.0\n{fault}")
