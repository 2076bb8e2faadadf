"""Tests of impaired links in virtual time.

They cover overlapping cuts, the data that a cut blocks or loses, datagrams, and the groups that
faults name.
"""

import pytest
from test_lab import ConnectedPair
from twisted.internet.protocol import DatagramProtocol

from hookpitch.testbed.experiment import read
from hookpitch.testbed.groups import directions, group_members
from hookpitch.testbed.links import Impairment, combine
from hookpitch.testbed.reactor import MAX_UNREAD_DATAGRAM_BYTES
from hookpitch.testbed.simulation import SimulatedNetwork

ADDRESS_A, ADDRESS_B = "1.1.1.1", "2.2.2.2"


def connected_pair() -> ConnectedPair:
    """Return two machines between which the connection is established."""
    pair = ConnectedPair()
    pair.network.run(0.25)
    return pair


def test_overlapping_cuts_of_one_direction_end_with_the_later_one() -> None:
    pair = connected_pair()
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(silent=True))
    pair.network.impair(ADDRESS_A, ADDRESS_B, 2, Impairment(silent=True))
    pair.client.transport.write(b"late")
    pair.network.run(1.0)
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, None)
    pair.network.run(2.0)
    assert not pair.server_events, "the second cut is still on"
    pair.network.impair(ADDRESS_A, ADDRESS_B, 2, None)
    pair.network.run(3.0)
    assert pair.server_events == [(2.1, 4)]


def test_a_cut_that_discards_data_breaks_a_connection_only_if_it_sent_data() -> None:
    pair = connected_pair()
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(silent=True, kept=False))
    pair.network.run(1.0)
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, None)
    pair.client.transport.write(b"well")
    pair.network.run(2.0)
    # Nothing was sent during the cut: the connection is intact.
    assert pair.server_events == [(1.1, 4)] and not pair.client_events
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(silent=True, kept=False))
    pair.client.transport.write(b"gone")
    pair.network.run(3.0)
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, None)
    pair.network.run(4.0)
    assert pair.server_events == [(1.1, 4), (3.0, "ConnectionLost")] and pair.client_events == [
        (3.0, "ConnectionLost")
    ]


def test_a_lossy_link_delivers_a_stream_late_but_complete_and_nothing_after_a_reset() -> None:
    pair = connected_pair()
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(loss=0.3))
    for _ in range(40):
        pair.client.transport.write(b"x" * 10)
    pair.network.run(30.0)
    assert sum(size for _, size in pair.server_events) == 400 and pair.server_events[-1][0] >= 0.55
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(loss=0.999))
    before = len(pair.server_events)
    pair.client.transport.write(b"x")
    pair.client.transport.abortConnection()
    pair.network.run(60.0)
    assert all(not isinstance(event, int) for _, event in pair.server_events[before:])


@pytest.mark.parametrize(
    ("impairment", "events"),
    [
        (Impairment(refusing=True), [(1.2, "failed")]),
        (Impairment(deaf=True), []),
        (Impairment(delay_ms=100.0), []),
    ],
)
def test_a_connect_is_refused_or_gets_no_answer(impairment: Impairment, events: list) -> None:
    pair = connected_pair()
    pair.network.run(1.0)
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, impairment)
    pair.client_machine.reactor.connectTCP(ADDRESS_B, 80, pair.client_factory, timeout=None)
    pair.network.run(5.0)
    assert pair.client_events == events


def test_a_severed_link_drops_its_connections_and_a_low_bandwidth_delays_data() -> None:
    pair = connected_pair()
    pair.network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(bandwidth=100.0))
    pair.client.transport.write(b"x" * 60)  # The packet has 40 bytes of headers as well.
    pair.network.run(3.0)
    assert pair.server_events == [(1.35, 60)]
    pair.network.sever(ADDRESS_A, ADDRESS_B)
    pair.network.run(4.0)
    assert pair.server_events[1:] == [(3.0, "ConnectionLost")] and pair.client_events == [
        (3.0, "ConnectionLost")
    ]


class RecordingDatagramProtocol(DatagramProtocol):
    """Records the datagrams that it receives, with the times and the senders."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self.network, self.received = network, list[tuple[float, bytes, tuple[str, int]]]()

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Record the time, the datagram and its sender."""
        self.received.append((round(self.network.now, 4), data, addr))


def datagram_network() -> tuple[
    SimulatedNetwork, RecordingDatagramProtocol, RecordingDatagramProtocol
]:
    """Return a network of two machines, and a datagram socket on each."""
    network = SimulatedNetwork(5)
    network.connect(ADDRESS_A, ADDRESS_B, 0.01)
    socket_a, socket_b = RecordingDatagramProtocol(network), RecordingDatagramProtocol(network)
    network.machine(ADDRESS_A).reactor.listenUDP(7, socket_a, interface=ADDRESS_A)
    network.machine(ADDRESS_B).reactor.listenUDP(7, socket_b, interface=ADDRESS_B)
    return network, socket_a, socket_b


def test_datagrams_travel_both_ways_and_each_impairment_has_its_effect() -> None:
    network, socket_a, socket_b = datagram_network()
    socket_a.transport.write(b"to", (ADDRESS_B, 7))
    socket_b.transport.write(b"back", (ADDRESS_A, 7))
    socket_a.transport.write(b"nobody", (ADDRESS_B, 8))
    network.run(1.0)
    assert socket_b.received == [(0.01, b"to", (ADDRESS_A, 7))] and socket_a.received == [
        (0.01, b"back", (ADDRESS_B, 7))
    ]
    cases = (
        (Impairment(loss=0.5), 60, 140),
        (Impairment(repeat=0.5), 260, 340),
        (Impairment(silent=True), 0, 0),
    )
    for impairment, least, most in cases:
        network.impair(ADDRESS_A, ADDRESS_B, 1, impairment)
        before = len(socket_b.received)
        for _ in range(200):
            socket_a.transport.write(b"x", (ADDRESS_B, 7))
        network.run(network.now + 1.0)
        assert least <= len(socket_b.received) - before <= most
    network.impair(ADDRESS_A, ADDRESS_B, 1, Impairment(reorder=0.3))
    before = len(socket_b.received)
    for index in range(100):
        network.call_at(
            network.now + index * 0.005,
            None,
            socket_a.transport.write,
            b"%d" % index,
            (ADDRESS_B, 7),
        )
    network.run(network.now + 2.0)
    numbers = [int(data) for _, data, _ in socket_b.received[before:]]
    assert sorted(numbers) == list(range(100)) != numbers


def test_a_paused_process_reads_what_its_socket_buffer_held_and_loses_the_rest() -> None:
    network, socket_a, socket_b = datagram_network()
    network.machine(ADDRESS_B).pause(5.0)
    for _ in range(300):
        socket_a.transport.write(b"x" * 1024, (ADDRESS_B, 7))
    network.run(4.0)
    assert not socket_b.received
    network.run(6.0)
    assert len(
        socket_b.received
    ) == MAX_UNREAD_DATAGRAM_BYTES // 1024 and socket_b.transport.dropped == 300 - len(
        socket_b.received
    )
    network.machine(ADDRESS_B).kill()
    socket_a.transport.write(b"dead", (ADDRESS_B, 7))
    network.run(7.0)
    assert len(socket_b.received) == MAX_UNREAD_DATAGRAM_BYTES // 1024


def test_groups_are_drawn_by_the_seed_and_links_have_a_node_at_one_end() -> None:
    nodes, servers = [f"n{index}" for index in range(6)], ["s0", "s1", "s2"]

    def group(text: str, seed: int = 1) -> list[str]:
        """Return the members of the group that the text describes."""
        return group_members(text, nodes, servers, seed, 0)

    assert group("n4 s1, origin") == ["n4", "s1", "origin"] and group("servers") == servers
    assert len(group("0.33 of nodes")) == 2 and len(group("0.01 of servers")) == 1
    assert group("3 of nodes") == group("3 of nodes")
    assert len({tuple(group("3 of nodes", seed)) for seed in range(20)}) > 5
    for text, reason in (
        ("9 of nodes", "'9 of nodes': the count must be from 1 to 6"),
        ("", "no name is given"),
        ("n77", "'n77' is neither a node, a server nor one of origin, discovery, clients"),
        ("0 of servers", "'0 of servers': the count must be from 1 to 3"),
    ):
        with pytest.raises(ValueError, match=f"^{reason}$"):
            group(text)
    assert directions(["s0", "origin"], ["s1", "n0"], nodes, True) == [
        ("s0", "n0"),
        ("n0", "s0"),
        ("origin", "n0"),
        ("n0", "origin"),
    ]
    assert directions(["n0"], ["n0", "n1"], nodes, False) == [("n0", "n1")]


def test_impairments_add_up() -> None:
    impairments = (
        Impairment(delay_ms=5, loss=0.5, bandwidth=10),
        Impairment(delay_ms=3, loss=0.5, silent=True, kept=False),
    )
    combined = combine(impairments)
    assert (
        combined.delay_ms,
        combined.loss,
        combined.bandwidth,
        combined.silent,
        combined.kept,
    ) == (
        8,
        0.75,
        10,
        True,
        False,
    )


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ("what = 'cut'\nwhom = 'n0'\nto = 'n7'", r"fault\[0\].whom: 'n7' is neither a node"),
        ("what = 'cut'\nwhom = 's0'\nto = 'servers'", r"fault\[0\].to: there is no link"),
        (
            "what = 'stall'\nwhom = '9 of nodes'",
            r"fault\[0\].whom: '9 of nodes': the count must be from 1 to 1",
        ),
        ("what = 'stall'\nwhom = 'clients'", "the clients have no process of their own"),
        ("what = 'lossy'\nwhom = 'n0'\nto = 's0'\nby = 2.0", r"fault\[0\].by: must be a fraction"),
        ("what = 'crash'\nwhom = 's0'\nto = 'n0'", "crash does not support `to`"),
    ],
)
def test_an_invalid_group_fault_is_rejected_with_the_location_of_the_error(
    fault: str, message: str
) -> None:
    with pytest.raises(ValueError, match=message):
        read(f"name = 'a-b'\n[[fault]]\nat = 1.0\n{fault}")
