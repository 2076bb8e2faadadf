"""Tests of endpoint lists from other members: requests, chunks, and nodes that use such a list."""

import json
import random
import socket
import zlib
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import VALUE, NodeProcess, PeerConnection, method_settings, send_change
from socket_node import get_command
from test_members_properties import REPRODUCIBLE

from hookpitch.core.resp import ErrorReply
from hookpitch.members.codec import MAX_BYTES, Codec
from hookpitch.members.endpoint_exchange import (
    MAX_CHUNKS_PER_S,
    MAX_LIST_AGE_MS,
    EndpointExchange,
    ListStatus,
    ReceivedList,
)
from hookpitch.members.list_chunks import MAX_LIST_BYTES, list_digest
from hookpitch.members.messages import Message, MessageKind

HOLDER_A, HOLDER_B, REQUESTER = ("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)
NO_LIST_STATUS = ListStatus(0, False, False)
SEED = 17  # with this seed a node of a fleet of 400 polls discovery late
TEXT = json.dumps([random.Random(seed).random() for seed in range(2000)]).encode()  # several chunks


class SimulatedExchange:
    """A requester, the members that hold lists, and the messages in flight between them.

    `held_lists` has, by the address of a member, the status and the document of its list, or None.
    """

    def __init__(self, seed: int = 1, **holders: tuple[ListStatus, bytes]) -> None:
        self.rng, self.now, self.counts = random.Random(seed), 0.0, dict[str, int]()
        self.requester = EndpointExchange(0.0, "n0", self.rng.random, self.count)
        self.held_lists = {HOLDER_A: holders.get("a"), HOLDER_B: holders.get("b")}
        self.holders = {
            address: EndpointExchange(0.0, f"n{address}", self.rng.random, self.count)
            for address in self.held_lists
        }
        self.own_status, self.accepted = NO_LIST_STATUS, list[ReceivedList]()
        self.in_flight: list[tuple[tuple, tuple, Message]] = []  # from, to, message

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def tick(self, ms: float = 1000.0) -> None:
        """Let time pass, tick the requester and collect its requests."""
        self.now += ms
        self.requester.tick(
            self.now,
            self.own_status,
            [address for address, status in self.held_lists.items() if status],
        )
        self.in_flight += [
            (REQUESTER, receiver, message) for receiver, message in self.requester.outbox
        ]
        self.requester.outbox = []

    def deliver(self, index: int = 0, keep: bool = False) -> None:
        """Deliver one message in flight; with `keep`, a duplicate of it stays in flight."""
        sender, receiver, message = self.in_flight[index] if keep else self.in_flight.pop(index)
        data = Codec("f").write(message)
        assert len(data) <= MAX_BYTES
        assert Codec("f").read(data) == message
        if receiver == REQUESTER:
            accepted = self.requester.handle_chunk(self.now, sender, message, self.own_status)
            if accepted is not None:
                self.accepted.append(accepted)
                self.own_status = ListStatus(accepted.version, False, False)
            return
        status, document = self.held_lists[receiver]
        self.holders[receiver].handle_request(self.now, sender, message, status, lambda: document)
        self.in_flight += [
            (receiver, sender, answer) for _, answer in self.holders[receiver].outbox
        ]
        self.holders[receiver].outbox = []

    def deliver_all(self) -> None:
        """Deliver all messages in flight, and the answers to them."""
        while self.in_flight:
            self.deliver()


FRESH_STATUS = ListStatus(9, True, True)
EVENTS = ["tick", "deliver", "lose", "duplicate", "new_version", "discovery_list"]


def test_a_list_in_many_chunks_is_completed_by_requests_for_the_missing_ones() -> None:
    exchange = SimulatedExchange(a=(FRESH_STATUS, TEXT))
    exchange.tick(0.0)
    exchange.deliver()  # the request
    # A requester that does not know the list yet is sent only its first chunks.
    assert len(exchange.in_flight) == 4
    del exchange.in_flight[1]
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver()
    assert len(exchange.in_flight) > 8
    assert not exchange.accepted
    exchange.deliver_all()
    (accepted,) = exchange.accepted
    assert (accepted.version, accepted.document, accepted.source) == (9, TEXT, HOLDER_A)
    exchange.deliver_all()
    exchange.tick(5000.0)
    exchange.deliver_all()
    assert len(exchange.accepted) == 1, "a list that is not newer is not sent"


@pytest.mark.parametrize("loss", [0.0, 0.2, 0.5])
def test_lists_survive_loss_reordering_and_duplication(loss: float) -> None:
    for seed in range(20):
        exchange = SimulatedExchange(
            seed, a=(FRESH_STATUS, TEXT), b=(ListStatus(9, True, True), TEXT)
        )
        for _ in range(300):
            exchange.tick(400.0)
            exchange.rng.shuffle(exchange.in_flight)
            while exchange.in_flight:
                is_lost = exchange.rng.random() < loss
                if is_lost:
                    exchange.in_flight.pop()
                else:
                    exchange.deliver(-1, keep=exchange.rng.random() < 0.2)
            if exchange.accepted:
                break
        assert [received.document for received in exchange.accepted] == [TEXT], seed


def test_chunks_of_two_lists_never_mix_and_the_newer_prevails() -> None:
    exchange = SimulatedExchange(a=(FRESH_STATUS, TEXT), b=(ListStatus(10, True, True), TEXT[::-1]))
    exchange.tick(0.0)
    exchange.deliver()
    exchange.deliver()
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver_all()
    assert exchange.accepted[-1].document == TEXT[::-1]
    assert all(received.document in (TEXT, TEXT[::-1]) for received in exchange.accepted)
    # The list changes between two requests for its chunks: the transfer starts again.
    exchange = SimulatedExchange(a=(FRESH_STATUS, TEXT))
    exchange.tick(0.0)
    exchange.deliver_all()
    exchange.held_lists[HOLDER_A] = (ListStatus(11, True, True), TEXT[::-1])
    for _ in range(4):
        exchange.tick()
        exchange.deliver_all()
    assert [(received.version, received.document) for received in exchange.accepted] == [
        (11, TEXT[::-1])
    ]


@pytest.mark.parametrize(
    ("there", "here"),
    [
        # The holder did not receive its list from discovery.
        (ListStatus(9, False, False), NO_LIST_STATUS),
        # The requester's list is equally new.
        (FRESH_STATUS, ListStatus(9, False, False)),
        # The requester's list is newer.
        (FRESH_STATUS, ListStatus(10, False, False)),
    ],
)
def test_a_list_that_is_second_hand_or_no_newer_is_not_sent(
    there: ListStatus, here: ListStatus
) -> None:
    exchange = SimulatedExchange(a=(there, TEXT))
    exchange.own_status = here
    exchange.tick(0.0)
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver_all()
    assert not exchange.accepted
    assert "members.lists_told" not in exchange.counts


def test_a_list_is_not_sent_by_a_holder_without_recent_contact_to_discovery() -> None:
    exchange = SimulatedExchange(a=(FRESH_STATUS, b"[]"))
    exchange.holders[HOLDER_A].tick(0.0, FRESH_STATUS, [])
    exchange.held_lists[HOLDER_A] = (ListStatus(9, True, False), b"[]")
    exchange.tick(MAX_LIST_AGE_MS - 1000.0)
    exchange.deliver_all()
    assert exchange.accepted[0].age_ms == MAX_LIST_AGE_MS - 1000.0
    exchange = SimulatedExchange(a=(FRESH_STATUS, b"[]"))
    exchange.holders[HOLDER_A].tick(0.0, FRESH_STATUS, [])
    exchange.held_lists[HOLDER_A] = (ListStatus(9, True, False), b"[]")
    exchange.tick(MAX_LIST_AGE_MS + 1000.0)
    exchange.deliver_all()
    assert not exchange.accepted
    # This holder never received a list from discovery while its exchange ran.
    exchange = SimulatedExchange(a=(ListStatus(9, True, False), b"[]"))
    exchange.tick(1000.0)
    exchange.deliver_all()
    assert not exchange.accepted


def test_once_discovery_has_sent_a_list_nothing_is_requested_or_accepted() -> None:
    exchange = SimulatedExchange(a=(FRESH_STATUS, b"[]"))
    exchange.tick(0.0)
    exchange.deliver()
    exchange.own_status = ListStatus(3, True, True)  # the list of discovery arrived first
    exchange.deliver_all()
    exchange.tick(60000.0)
    assert not exchange.accepted
    assert not exchange.in_flight


def test_a_flood_of_requests_is_bounded() -> None:
    exchange = SimulatedExchange(a=(FRESH_STATUS, TEXT))
    pack_count = [0]

    def pack_document() -> bytes:
        """Return the document, and count how often it is packed."""
        pack_count[0] += 1
        return TEXT

    request = Message(
        MessageKind.LIST_REQUEST, "n9", payload=msgspec.msgpack.encode((0, b"", (1 << 62) - 1))
    )
    for _ in range(3000):
        exchange.holders[HOLDER_A].handle_request(
            5000.0, HOLDER_B, request, FRESH_STATUS, pack_document
        )
    assert len(exchange.holders[HOLDER_A].outbox) == MAX_CHUNKS_PER_S
    assert pack_count[0] == 1
    assert exchange.counts["members.lists_busy"] > 2000


def chunk_message(
    version: object = 9,
    age: object = 0.0,
    digest: object = None,
    index: object = 0,
    count: object = 1,
    chunk: object = b"x",
) -> Message:
    """Return a message with one chunk; `digest` is that of the complete list."""
    digest = list_digest(chunk) if digest is None else digest
    return Message(
        MessageKind.LIST_CHUNK,
        "n1",
        payload=msgspec.msgpack.encode((version, age, digest, index, count, chunk)),
    )


def test_a_truncated_malformed_or_oversized_list_is_rejected() -> None:
    bomb = zlib.compress(b"\0" * (MAX_LIST_BYTES + 1), 9)
    for message in (
        chunk_message(chunk=bomb[:900], digest=list_digest(bomb)),
        chunk_message(chunk=zlib.compress(b"[]")[:-2]),
        chunk_message(),
        chunk_message(digest=b"12345678"),
        chunk_message(version=-1),
        chunk_message(version="9"),
        chunk_message(age=-1.0),
        chunk_message(index=1),
        chunk_message(count=65),
        chunk_message(chunk=b""),
        chunk_message(chunk=b"x" * 901, digest=b"12345678"),
        chunk_message(age=float("nan")),
        Message(MessageKind.LIST_CHUNK, "n1", payload=b"\xff"),
        Message(MessageKind.LIST_CHUNK, "n1"),
    ):
        exchange = SimulatedExchange()
        assert exchange.requester.handle_chunk(0.0, HOLDER_A, message, NO_LIST_STATUS) is None, (
            message
        )
    exchange = SimulatedExchange()
    chunks = [bomb[index : index + 900] for index in range(0, len(bomb), 900)]
    for index, chunk in enumerate(chunks):
        part = chunk_message(chunk=chunk, index=index, count=len(chunks), digest=list_digest(bomb))
        assert exchange.requester.handle_chunk(0.0, HOLDER_A, part, NO_LIST_STATUS) is None
    assert exchange.counts["members.lists_wrong"] == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        *(
            msgspec.msgpack.encode(fields)
            for fields in ((1, 2), (-1, b"", 1), (0, "", 1), (0, b"", 1 << 63))
        ),
    ],
)
def test_a_malformed_request_is_counted(data: bytes) -> None:
    exchange = SimulatedExchange()
    exchange.holders[HOLDER_A].handle_request(
        0.0,
        HOLDER_B,
        Message(MessageKind.LIST_REQUEST, "n9", payload=data),
        FRESH_STATUS,
        lambda: TEXT,
    )
    assert exchange.counts == {"members.lists_wrong": 1}
    assert not exchange.holders[HOLDER_A].outbox


@REPRODUCIBLE
@given(
    st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 30)), max_size=60),
    st.integers(0, 99),
)
def test_versions_rise_and_lists_are_complete_whatever_comes(
    events: list[tuple[str, int]], seed: int
) -> None:
    documents = {9: TEXT, 10: TEXT[::-1]}
    exchange = SimulatedExchange(
        seed, a=(FRESH_STATUS, TEXT), b=(ListStatus(10, True, True), TEXT[::-1])
    )
    for event, number in events:
        if event == "tick":
            exchange.tick(100.0 * number)
        elif event == "new_version":
            version = exchange.held_lists[HOLDER_A][0].version + 1
            documents[version] = TEXT[number:]
            exchange.held_lists[HOLDER_A] = (ListStatus(version, True, True), documents[version])
        elif event == "discovery_list":
            exchange.own_status = ListStatus(
                exchange.own_status.version,
                number > 25 or exchange.own_status.is_from_discovery,
                False,
            )
        elif exchange.in_flight:
            index = number % len(exchange.in_flight)
            accepted_before = len(exchange.accepted)
            had_discovery_list = exchange.own_status.is_from_discovery
            exchange.in_flight.pop(index) if event == "lose" else exchange.deliver(
                index, keep=event == "duplicate"
            )
            assert len(exchange.accepted) == accepted_before or not had_discovery_list
        versions = [received.version for received in exchange.accepted]
        assert versions == sorted(set(versions))
        assert all(
            received.document == documents.get(received.version) or received.version > 9
            for received in exchange.accepted
        )
    assert all(received.document in documents.values() for received in exchange.accepted)


# ---- a node's process, and a member under the test's control


class FakeMember:
    """A member under the control of the test, on a UDP socket.

    It reads the requests of a node and sends the lists that the test gives.
    """

    def __init__(self) -> None:
        self.udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp_socket.bind(("127.0.0.1", 0))
        self.udp_socket.settimeout(15.0)
        self.codec = Codec("f")
        self.node: tuple[str, int] = ("", 0)

    @property
    def address(self) -> str:
        """Return the address of the socket."""
        return f"127.0.0.1:{self.udp_socket.getsockname()[1]}"

    def receive_request(self) -> tuple:
        """Return the next request for a list: version held, digest, mask of missing chunks."""
        while True:
            data, self.node = self.udp_socket.recvfrom(65536)
            message = self.codec.read(data)
            if message.kind == MessageKind.LIST_REQUEST:
                return tuple(msgspec.msgpack.decode(message.payload))

    def send_request(self, version: int) -> None:
        """Request from the node a list that is newer than this version."""
        request = Message(
            MessageKind.LIST_REQUEST, "n9", payload=msgspec.msgpack.encode((version, b"", 1))
        )
        self.udp_socket.sendto(self.codec.write(request), self.node)

    def receive_chunk(self) -> tuple:
        """Return the fields of the next chunk of a list."""
        while True:
            message = self.codec.read(self.udp_socket.recvfrom(65536)[0])
            if message.kind == MessageKind.LIST_CHUNK:
                return tuple(msgspec.msgpack.decode(message.payload))

    def send_list(self, document: dict, version: int | None = None, age: float = 0.0) -> None:
        """Send an endpoint list to the node, in chunks."""
        compressed = zlib.compress(json.dumps(document).encode())
        chunks = [compressed[index : index + 900] for index in range(0, len(compressed), 900)]
        for index, chunk in enumerate(chunks):
            fields = (
                document["seq"] if version is None else version,
                age,
                list_digest(compressed),
                index,
                len(chunks),
                chunk,
            )
            message = Message(MessageKind.LIST_CHUNK, "n9", payload=msgspec.msgpack.encode(fields))
            self.udp_socket.sendto(self.codec.write(message), self.node)


def node_and_member(
    folder: Path, caches: int = 2, first: str = "list"
) -> tuple[NodeProcess, FakeMember]:
    """Return a node that is not started yet and a fake member of its fleet.

    `first` is what happens first: "list" if the member sends a list before the node's first poll of
    discovery, which is due 4 s after the start; "call" if the node polls discovery.
    """
    node_count = 400 if first == "list" else 1
    node, member = (
        NodeProcess(folder, caches, methods=[method_settings("read")], balancers=node_count),
        FakeMember(),
    )
    node.configuration["seed"] = SEED
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        own_address = f"127.0.0.1:{free_socket.getsockname()[1]}"
    (folder / "own.toml").write_text(
        f'[members]\nlisten = "{own_address}"\nfleet = "f"\nseeds = ["{member.address}"]\n'
    )
    node.environment["HOOKPITCH_CONFIG"] = str(folder / "own.toml")
    node.configuration["known"] = {"seq": 5, "whole": True, "hosts": []}
    node.write_configuration()
    return node, member


def serving_cache(node: NodeProcess, id: str) -> int:
    """Send an RPC, answer it, and return the number of the cache that received it."""
    client = node.connect_client()
    client.send(get_command(id, wait=5000))
    cache, connection = node.accept_from_any_cache()
    assert connection.receive_value()[2] == id.encode()
    connection.send(VALUE)
    assert client.receive_value() == b"v"
    connection.close()
    return cache


def polled_version(node: NodeProcess) -> bytes:
    """Return the version since which the last poll requested changes."""
    return node.poll_head.partition(b"since=")[2].split()[0]


def endpoint_list(node: NodeProcess, seq: int, *without: int, **health: str) -> dict:
    """Return an endpoint list without some hosts, with the health given for others."""
    listed = [host for index, host in enumerate(node.hosts) if index not in without]
    hosts = [host | {"health": health.get(host["host"], host["health"])} for host in listed]
    return {"seq": seq, "whole": True, "hosts": hosts}


def test_a_node_serves_from_a_members_list_and_then_polls_for_the_complete_list(
    tmp_path: Path,
) -> None:
    node, member = node_and_member(tmp_path)
    with node:
        assert member.receive_request()[0] == 5
        member.send_list(endpoint_list(node, 9, 1))
        assert node.wait_for_log("endpoint_list_accepted")["version"] == 9
        node.wait_until(lambda: node.counter("lists.cached") == 2)
        # Discovery has not answered yet; the list contains one cache only.
        assert serving_cache(node, "r1") == 0
        # Discovery sends an older version, which takes precedence over the list of the member.
        watch = node.answer_poll(endpoint_list(node, 7, 0))
        assert polled_version(node) == b"0"
        node.wait_until(lambda: node.counter("lists.full") == 1)
        assert serving_cache(node, "r2") == 1
        member.send_list(endpoint_list(node, 99, 1))
        send_change(watch, node.endpoint_change(8, 1))
        node.wait_until(lambda: node.counter("lists.delta") == 1)
        assert serving_cache(node, "r3") == 1
        assert node.counter("members.lists_taken") == 1
        member.send_request(3)
        version, _, digest, index, count, chunk = member.receive_chunk()
        document = zlib.decompress(chunk)
        assert (version, index, count, digest) == (8, 0, 1, list_digest(chunk)), (
            "the node sends the list from discovery"
        )
        assert {host["host"] for host in json.loads(document)["hosts"]} == {"s1", "o1"}


@pytest.mark.parametrize("first", ["call", "list"])
def test_a_members_list_and_a_poll_in_flight_cross(tmp_path: Path, first: str) -> None:
    node, member = node_and_member(tmp_path, first=first)
    with node:
        if first == "call":
            # The poll requests the changes since the old version; they do not apply to this list.
            poll = node.discovery.accept()
            assert b"since=5" in poll.receive_head()
            member.receive_request()
            member.send_list(endpoint_list(node, 9, 1))
            node.wait_until(lambda: node.counter("members.lists_taken") == 1)
            assert node.counter("lists.cached") == 1
            poll.reset()
            node.wait_until(lambda: node.counter("lists.cached") == 2)
        else:
            member.receive_request()
            member.send_list(endpoint_list(node, 9, 1))
            node.wait_until(lambda: node.counter("lists.cached") == 2)
        assert serving_cache(node, "r1") == 0
        node.answer_poll(endpoint_list(node, 9))
        assert polled_version(node) == b"0"


def test_a_wrong_list_of_a_member_is_replaced_by_the_list_of_discovery(tmp_path: Path) -> None:
    node, member = node_and_member(tmp_path)
    with node:
        member.receive_request()
        # No cache of this list is ready, so the node does not accept it.
        member.send_list(endpoint_list(node, (1 << 61), 0, s1="terminating"))
        node.wait_until(lambda: node.counter("members.lists_wrong") == 1)
        member.receive_request()
        member.send_list(endpoint_list(node, (1 << 61), 1))
        node.wait_until(lambda: node.counter("lists.cached") == 2)
        # The version of discovery is far below the one that the member sent.
        node.answer_poll(endpoint_list(node, 6, 0))
        node.wait_until(lambda: node.counter("lists.full") == 1)
        assert serving_cache(node, "r1") == 1


def test_a_drain_in_a_members_list_takes_effect_at_once(tmp_path: Path) -> None:
    node, member = node_and_member(tmp_path)
    node.configuration["known"] = {"seq": 5, "whole": True, "hosts": node.hosts}
    node.write_configuration()
    with node:
        member.receive_request()
        member.send_list(endpoint_list(node, 9, s0="terminating"))
        node.wait_until(lambda: node.counter("lists.cached") == 2)
        # The grace period of the drain covers only RPCs that were sent before it.
        assert {serving_cache(node, f"r{index}") for index in range(6)} == {1}


def test_a_node_without_any_list_keeps_requesting_and_answers_with_an_error(tmp_path: Path) -> None:
    node, member = node_and_member(tmp_path)
    with node:
        for _ in range(3):
            assert member.receive_request() == (5, b"", 15)
        client: PeerConnection = node.connect_client()
        client.send(get_command("r1", wait=300))
        assert isinstance(client.receive_value(), ErrorReply)
