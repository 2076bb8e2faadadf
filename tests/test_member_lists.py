"""Endpoint lists from another member: requests, chunks, and a node that uses such a list."""

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
from test_members_properties import DETERMINISTIC

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
NO_LIST = ListStatus(0, False, False)
SEED = 17  # with this seed the first poll of discovery is late, in a fleet of 400 nodes
DOCUMENT = json.dumps([random.Random(n).random() for n in range(2000)]).encode()  # of many chunks


class ListExchange:
    """A requester, two holders by address, and the datagrams in flight between them."""

    def __init__(self, seed: int = 1, **holders: tuple[ListStatus, bytes]) -> None:
        self.rng, self.now, self.counts = random.Random(seed), 0.0, dict[str, int]()
        self.requester = EndpointExchange(0.0, "n0", self.rng.random, self.count)
        # The list of each holder, None where it takes no part.
        self.held_lists = {HOLDER_A: holders.get("a"), HOLDER_B: holders.get("b")}
        self.holders = {
            address: EndpointExchange(0.0, f"n{address}", self.rng.random, self.count)
            for address in self.held_lists
        }
        self.own_status, self.received = NO_LIST, list[ReceivedList]()
        self.in_flight: list[tuple[tuple, tuple, Message]] = []  # source, target, message

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def tick(self, ms: float = 1000.0) -> None:
        self.now += ms
        self.requester.tick(
            self.now,
            self.own_status,
            [address for address, held in self.held_lists.items() if held],
        )
        self.in_flight += [
            (REQUESTER, target, message) for target, message in self.requester.outbox
        ]
        self.requester.outbox = []

    def deliver(self, index: int = 0, keep: bool = False) -> None:
        """Deliver one datagram; `keep` leaves a duplicate of it in flight."""
        source, target, message = self.in_flight[index] if keep else self.in_flight.pop(index)
        data = Codec("f").write(message)
        assert len(data) <= MAX_BYTES
        assert Codec("f").read(data) == message
        if target == REQUESTER:
            received = self.requester.handle_chunk(self.now, source, message, self.own_status)
            if received is not None:
                self.received.append(received)
                self.own_status = ListStatus(received.version, False, False)
            return
        status, document = self.held_lists[target]
        self.holders[target].handle_request(self.now, source, message, status, lambda: document)
        self.in_flight += [(target, source, answer) for _, answer in self.holders[target].outbox]
        self.holders[target].outbox = []

    def deliver_all(self) -> None:
        while self.in_flight:
            self.deliver()


LIVE_LIST = ListStatus(9, True, True)
EVENTS = ["tick", "deliver", "drop", "duplicate", "newer", "discovery"]


def test_a_list_in_many_chunks_is_completed_by_requests_for_the_missing_ones() -> None:
    exchange = ListExchange(a=(LIVE_LIST, DOCUMENT))
    exchange.tick(0.0)
    exchange.deliver()  # the request
    assert len(exchange.in_flight) == 4  # the chunks that a requester without a list is sent first
    del exchange.in_flight[1]
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver()
    assert len(exchange.in_flight) > 8
    assert not exchange.received
    exchange.deliver_all()
    (received,) = exchange.received
    assert (received.version, received.document, received.source) == (9, DOCUMENT, HOLDER_A)
    exchange.deliver_all()
    exchange.tick(5000.0)
    exchange.deliver_all()
    assert len(exchange.received) == 1, "a list of the same version is not sent"


@pytest.mark.parametrize("loss", [0.0, 0.2, 0.5])
def test_lists_survive_loss_reordering_and_duplication(loss: float) -> None:
    for seed in range(20):
        exchange = ListExchange(
            seed, a=(LIVE_LIST, DOCUMENT), b=(ListStatus(9, True, True), DOCUMENT)
        )
        for _ in range(300):
            exchange.tick(400.0)
            exchange.rng.shuffle(exchange.in_flight)
            while exchange.in_flight:
                lost = exchange.rng.random() < loss
                if lost:
                    exchange.in_flight.pop()
                else:
                    exchange.deliver(-1, keep=exchange.rng.random() < 0.2)
            if exchange.received:
                break
        assert [result.document for result in exchange.received] == [DOCUMENT], seed


def test_chunks_of_two_lists_never_mix_and_the_newer_prevails() -> None:
    exchange = ListExchange(a=(LIVE_LIST, DOCUMENT), b=(ListStatus(10, True, True), DOCUMENT[::-1]))
    exchange.tick(0.0)
    exchange.deliver()
    exchange.deliver()
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver_all()
    assert exchange.received[-1].document == DOCUMENT[::-1]
    assert all(result.document in (DOCUMENT, DOCUMENT[::-1]) for result in exchange.received)
    # The list of the holder changes between two requests for chunks, so the exchange restarts.
    exchange = ListExchange(a=(LIVE_LIST, DOCUMENT))
    exchange.tick(0.0)
    exchange.deliver_all()
    exchange.held_lists[HOLDER_A] = (ListStatus(11, True, True), DOCUMENT[::-1])
    for _ in range(4):
        exchange.tick()
        exchange.deliver_all()
    assert [(result.version, result.document) for result in exchange.received] == [
        (11, DOCUMENT[::-1])
    ]


@pytest.mark.parametrize(
    ("holder_status", "own_status"),
    [
        (ListStatus(9, False, False), NO_LIST),  # the list is not from discovery
        (LIVE_LIST, ListStatus(9, False, False)),
        (LIVE_LIST, ListStatus(10, False, False)),  # the own list has the same version
    ],
)
def test_a_list_that_is_second_hand_or_no_newer_is_not_sent(
    holder_status: ListStatus, own_status: ListStatus
) -> None:
    exchange = ListExchange(a=(holder_status, DOCUMENT))
    exchange.own_status = own_status
    exchange.tick(0.0)
    exchange.deliver_all()
    exchange.tick()
    exchange.deliver_all()
    assert not exchange.received
    assert "members.lists_told" not in exchange.counts


def test_a_list_whose_holder_has_long_not_heard_discovery_is_not_sent() -> None:
    exchange = ListExchange(a=(LIVE_LIST, b"[]"))
    exchange.holders[HOLDER_A].tick(0.0, LIVE_LIST, [])
    exchange.held_lists[HOLDER_A] = (ListStatus(9, True, False), b"[]")
    exchange.tick(MAX_LIST_AGE_MS - 1000.0)
    exchange.deliver_all()
    assert exchange.received[0].age_ms == MAX_LIST_AGE_MS - 1000.0
    exchange = ListExchange(a=(LIVE_LIST, b"[]"))
    exchange.holders[HOLDER_A].tick(0.0, LIVE_LIST, [])
    exchange.held_lists[HOLDER_A] = (ListStatus(9, True, False), b"[]")
    exchange.tick(MAX_LIST_AGE_MS + 1000.0)
    exchange.deliver_all()
    assert not exchange.received
    # The holder never had a watch at discovery.
    exchange = ListExchange(a=(ListStatus(9, True, False), b"[]"))
    exchange.tick(1000.0)
    exchange.deliver_all()
    assert not exchange.received


def test_once_discovery_has_sent_a_list_nothing_is_requested_or_accepted() -> None:
    exchange = ListExchange(a=(LIVE_LIST, b"[]"))
    exchange.tick(0.0)
    exchange.deliver()
    exchange.own_status = ListStatus(3, True, True)  # discovery sends its list first
    exchange.deliver_all()
    exchange.tick(60000.0)
    assert not exchange.received
    assert not exchange.in_flight


def test_a_flood_of_requests_is_bounded() -> None:
    exchange = ListExchange(a=(LIVE_LIST, DOCUMENT))
    compressions = [0]

    def document() -> bytes:
        compressions[0] += 1
        return DOCUMENT

    request = Message(
        MessageKind.LIST_REQUEST, "n9", payload=msgspec.msgpack.encode((0, b"", (1 << 62) - 1))
    )
    for _ in range(3000):
        exchange.holders[HOLDER_A].handle_request(5000.0, HOLDER_B, request, LIVE_LIST, document)
    assert len(exchange.holders[HOLDER_A].outbox) == MAX_CHUNKS_PER_S
    assert compressions[0] == 1
    assert exchange.counts["members.lists_busy"] > 2000


def chunk_message(
    version: object = 9,
    age: object = 0.0,
    digest: object = None,
    n: object = 0,
    count: object = 1,
    chunk: object = b"x",
) -> Message:
    digest = list_digest(chunk) if digest is None else digest
    return Message(
        MessageKind.LIST_CHUNK,
        "n1",
        payload=msgspec.msgpack.encode((version, age, digest, n, count, chunk)),
    )


def test_a_torn_malformed_or_oversized_list_is_refused() -> None:
    bomb = zlib.compress(b"\0" * (MAX_LIST_BYTES + 1), 9)
    for message in (
        chunk_message(chunk=bomb[:900], digest=list_digest(bomb)),
        chunk_message(chunk=zlib.compress(b"[]")[:-2]),
        chunk_message(),
        chunk_message(digest=b"12345678"),
        chunk_message(version=-1),
        chunk_message(version="9"),
        chunk_message(age=-1.0),
        chunk_message(n=1),
        chunk_message(count=65),
        chunk_message(chunk=b""),
        chunk_message(chunk=b"x" * 901, digest=b"12345678"),
        chunk_message(age=float("nan")),
        Message(MessageKind.LIST_CHUNK, "n1", payload=b"\xff"),
        Message(MessageKind.LIST_CHUNK, "n1"),
    ):
        exchange = ListExchange()
        assert exchange.requester.handle_chunk(0.0, HOLDER_A, message, NO_LIST) is None, message
    exchange = ListExchange()
    parts = [bomb[n : n + 900] for n in range(0, len(bomb), 900)]
    for n, chunk in enumerate(parts):
        part = chunk_message(chunk=chunk, n=n, count=len(parts), digest=list_digest(bomb))
        assert exchange.requester.handle_chunk(0.0, HOLDER_A, part, NO_LIST) is None
    assert exchange.counts["members.lists_wrong"] == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        *(msgspec.msgpack.encode(x) for x in ((1, 2), (-1, b"", 1), (0, "", 1), (0, b"", 1 << 63))),
    ],
)
def test_a_malformed_request_is_counted(data: bytes) -> None:
    exchange = ListExchange()
    exchange.holders[HOLDER_A].handle_request(
        0.0,
        HOLDER_B,
        Message(MessageKind.LIST_REQUEST, "n9", payload=data),
        LIVE_LIST,
        lambda: DOCUMENT,
    )
    assert exchange.counts == {"members.lists_wrong": 1}
    assert not exchange.holders[HOLDER_A].outbox


@DETERMINISTIC
@given(
    st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 30)), max_size=60),
    st.integers(0, 99),
)
def test_versions_rise_and_lists_are_complete_whatever_comes(
    events: list[tuple[str, int]], seed: int
) -> None:
    documents = {9: DOCUMENT, 10: DOCUMENT[::-1]}
    exchange = ListExchange(
        seed, a=(LIVE_LIST, DOCUMENT), b=(ListStatus(10, True, True), DOCUMENT[::-1])
    )
    for event, n in events:
        if event == "tick":
            exchange.tick(100.0 * n)
        elif event == "newer":
            version = exchange.held_lists[HOLDER_A][0].version + 1
            documents[version] = DOCUMENT[n:]
            exchange.held_lists[HOLDER_A] = (ListStatus(version, True, True), documents[version])
        elif event == "discovery":
            exchange.own_status = ListStatus(
                exchange.own_status.version, n > 25 or exchange.own_status.is_from_discovery, False
            )
        elif exchange.in_flight:
            at = n % len(exchange.in_flight)
            before = len(exchange.received)
            was_from_discovery = exchange.own_status.is_from_discovery
            exchange.in_flight.pop(at) if event == "drop" else exchange.deliver(
                at, keep=event == "duplicate"
            )
            assert len(exchange.received) == before or not was_from_discovery
        versions = [result.version for result in exchange.received]
        assert versions == sorted(set(versions))
        assert all(
            result.document == documents.get(result.version) or result.version > 9
            for result in exchange.received
        )
    assert all(result.document in documents.values() for result in exchange.received)


# ---- a node's process, and a member under the test's control


class FakeMember:
    """A socket in place of a member: it reads requests and sends the lists of the test."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(15.0)
        self.codec = Codec("f")
        self.node: tuple[str, int] = ("", 0)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def next_request(self) -> tuple:
        """Return the next request for a list: version, digest and mask of chunks."""
        while True:
            data, self.node = self.sock.recvfrom(65536)
            message = self.codec.read(data)
            if message.kind == MessageKind.LIST_REQUEST:
                return tuple(msgspec.msgpack.decode(message.payload))

    def send_request(self, version: int) -> None:
        request = Message(
            MessageKind.LIST_REQUEST, "n9", payload=msgspec.msgpack.encode((version, b"", 1))
        )
        self.sock.sendto(self.codec.write(request), self.node)

    def next_chunk(self) -> tuple:
        """Return the next chunk that arrives."""
        while True:
            message = self.codec.read(self.sock.recvfrom(65536)[0])
            if message.kind == MessageKind.LIST_CHUNK:
                return tuple(msgspec.msgpack.decode(message.payload))

    def send_list(self, text: dict, version: int | None = None, age: float = 0.0) -> None:
        compressed = zlib.compress(json.dumps(text).encode())
        parts = [compressed[n : n + 900] for n in range(0, len(compressed), 900)]
        for n, chunk in enumerate(parts):
            fields = (
                text["seq"] if version is None else version,
                age,
                list_digest(compressed),
                n,
                len(parts),
                chunk,
            )
            message = Message(MessageKind.LIST_CHUNK, "n9", payload=msgspec.msgpack.encode(fields))
            self.sock.sendto(self.codec.write(message), self.node)


def start_node(
    folder: Path, caches: int = 2, first: str = "list"
) -> tuple[NodeProcess, FakeMember]:
    """Start a node and a fake member.

    `first` is "list" if the member sends its list before the first poll of discovery, which is then
    due 4 s after the start, or "call" if that poll comes first.
    """
    nodes = 400 if first == "list" else 1
    node, member = (
        NodeProcess(folder, caches, methods=[method_settings("read")], balancers=nodes),
        FakeMember(),
    )
    node.configuration["seed"] = SEED
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        own = f"127.0.0.1:{free.getsockname()[1]}"
    (folder / "own.toml").write_text(
        f'[members]\nlisten = "{own}"\nfleet = "f"\nseeds = ["{member.address}"]\n'
    )
    node.environment["HOOKPITCH_CONFIG"] = str(folder / "own.toml")
    node.configuration["known"] = {"seq": 5, "whole": True, "hosts": []}
    node.write_configuration()
    return node, member


def serving_cache(node: NodeProcess, id: str) -> int:
    """Return the index of the cache that the node forwards the RPC to."""
    client = node.connect_client()
    client.send(get_command(id, wait=5000))
    n, line = node.accept_from_any_cache()
    assert line.receive_value()[2] == id.encode()
    line.send(VALUE)
    assert client.receive_value() == b"v"
    line.close()
    return n


def polled_since(node: NodeProcess) -> bytes:
    return node.poll_head.partition(b"since=")[2].split()[0]


def list_document(node: NodeProcess, seq: int, *without: int, **health: str) -> dict:
    listed = [h for n, h in enumerate(node.hosts) if n not in without]
    hosts = [h | {"health": health.get(h["host"], h["health"])} for h in listed]
    return {"seq": seq, "whole": True, "hosts": hosts}


def test_a_node_serves_by_a_members_list_and_then_polls_for_the_whole_one(
    tmp_path: Path,
) -> None:
    node, member = start_node(tmp_path)
    with node:
        assert member.next_request()[0] == 5
        member.send_list(list_document(node, 9, 1))
        assert node.wait_for_log("endpoint_list_accepted")["version"] == 9
        node.wait_until(lambda: node.counter("lists.cached") == 2)
        # Discovery has not answered yet, and the list has only one cache.
        assert serving_cache(node, "r1") == 0
        # The version of discovery is lower, but discovery takes precedence.
        watch = node.answer_poll(list_document(node, 7, 0))
        assert polled_since(node) == b"0"
        node.wait_until(lambda: node.counter("lists.full") == 1)
        assert serving_cache(node, "r2") == 1
        member.send_list(list_document(node, 99, 1))
        send_change(watch, node.endpoint_change(8, 1))
        node.wait_until(lambda: node.counter("lists.delta") == 1)
        assert serving_cache(node, "r3") == 1
        assert node.counter("members.lists_taken") == 1
        member.send_request(3)
        version, _, digest, n, count, chunk = member.next_chunk()
        text = zlib.decompress(chunk)
        assert (version, n, count, digest) == (8, 0, 1, list_digest(chunk)), (
            "the node sends the list that it received from discovery"
        )
        assert {h["host"] for h in json.loads(text)["hosts"]} == {"s1", "o1"}


@pytest.mark.parametrize("first", ["call", "list"])
def test_a_members_list_and_a_poll_in_flight_cross(tmp_path: Path, first: str) -> None:
    node, member = start_node(tmp_path, first=first)
    with node:
        if first == "call":
            # The changes in the response apply to the previous list, not to that of the member.
            line = node.discovery.accept()
            assert b"since=5" in line.receive_head()
            member.next_request()
            member.send_list(list_document(node, 9, 1))
            node.wait_until(lambda: node.counter("members.lists_taken") == 1)
            assert node.counter("lists.cached") == 1
            line.reset()
            node.wait_until(lambda: node.counter("lists.cached") == 2)
        else:
            member.next_request()
            member.send_list(list_document(node, 9, 1))
            node.wait_until(lambda: node.counter("lists.cached") == 2)
        assert serving_cache(node, "r1") == 0
        node.answer_poll(list_document(node, 9))
        assert polled_since(node) == b"0"


def test_a_wrong_list_lasts_no_longer_than_an_old_one_would(tmp_path: Path) -> None:
    node, member = start_node(tmp_path)
    with node:
        member.next_request()
        # No cache is ready, so no node can start with this list.
        member.send_list(list_document(node, (1 << 61), 0, s1="terminating"))
        node.wait_until(lambda: node.counter("members.lists_wrong") == 1)
        member.next_request()
        member.send_list(list_document(node, (1 << 61), 1))
        node.wait_until(lambda: node.counter("lists.cached") == 2)
        node.answer_poll(
            list_document(node, 6, 0)
        )  # the version of discovery is far below that of the list from the member
        node.wait_until(lambda: node.counter("lists.full") == 1)
        assert serving_cache(node, "r1") == 1


def test_a_drain_in_a_members_list_takes_effect_at_once(tmp_path: Path) -> None:
    node, member = start_node(tmp_path)
    node.configuration["known"] = {"seq": 5, "whole": True, "hosts": node.hosts}
    node.write_configuration()
    with node:
        member.next_request()
        member.send_list(list_document(node, 9, s0="terminating"))
        node.wait_until(lambda: node.counter("lists.cached") == 2)
        # The grace period of the drain applies only to RPCs that were sent before.
        assert {serving_cache(node, f"r{n}") for n in range(6)} == {1}


def test_a_node_without_any_list_keeps_requesting_and_answers_with_an_error(tmp_path: Path) -> None:
    node, member = start_node(tmp_path)
    with node:
        for _ in range(3):
            assert member.next_request() == (5, b"", 15)
        client: PeerConnection = node.connect_client()
        client.send(get_command("r1", wait=300))
        assert isinstance(client.receive_value(), ErrorReply)
