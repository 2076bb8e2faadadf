"""Endpoint lists from another member: requests, chunks, and a node that serves by one."""

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
from test_members_properties import SAME

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

A, B, C = ("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)
NOTHING = ListStatus(0, False, False)
SEED = 17  # whose draws put the first call to discovery late, of 400 nodes
TEXT = json.dumps([random.Random(n).random() for n in range(2000)]).encode()  # many parts


class Pair:
    """One that asks, and tellers by address; what is on its way stands in `flying`."""

    def __init__(self, seed: int = 1, **tellers: tuple[ListStatus, bytes]) -> None:
        self.rng, self.now, self.counts = random.Random(seed), 0.0, dict[str, int]()
        self.asker = EndpointExchange(0.0, "n0", self.rng.random, self.count)
        self.at = {A: tellers.get("a"), B: tellers.get("b")}
        self.tellers = {
            at: EndpointExchange(0.0, f"n{at}", self.rng.random, self.count) for at in self.at
        }
        self.own_status, self.taken = NOTHING, list[ReceivedList]()
        self.flying: list[tuple[tuple, tuple, Message]] = []  # from, to

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def tick(self, ms: float = 1000.0) -> None:
        self.now += ms
        self.asker.tick(self.now, self.own_status, [at for at, told in self.at.items() if told])
        self.flying += [(C, to, message) for to, message in self.asker.outbox]
        self.asker.outbox = []

    def come(self, n: int = 0, keep: bool = False) -> None:
        source, to, message = self.flying[n] if keep else self.flying.pop(n)
        data = Codec("f").write(message)
        assert len(data) <= MAX_BYTES
        assert Codec("f").read(data) == message
        if to == C:
            taken = self.asker.handle_chunk(self.now, source, message, self.own_status)
            if taken is not None:
                self.taken.append(taken)
                self.own_status = ListStatus(taken.version, False, False)
            return
        told, text = self.at[to]
        self.tellers[to].handle_request(self.now, source, message, told, lambda: text)
        self.flying += [(to, source, m) for _, m in self.tellers[to].outbox]
        self.tellers[to].outbox = []

    def all(self) -> None:
        while self.flying:
            self.come()


FRESH = ListStatus(9, True, True)
STEPS = ["tick", "come", "lose", "twice", "newer", "told"]


def test_a_list_in_many_chunks_is_completed_by_requests_for_the_missing_ones() -> None:
    p = Pair(a=(FRESH, TEXT))
    p.tick(0.0)
    p.come()  # the wish
    assert len(p.flying) == 4  # what one who knows of no list is told at first
    del p.flying[1]
    p.all()
    p.tick()
    p.come()
    assert len(p.flying) > 8
    assert not p.taken
    p.all()
    (taken,) = p.taken
    assert (taken.version, taken.document, taken.source) == (9, TEXT, A)
    p.all()
    p.tick(5000.0)
    p.all()
    assert len(p.taken) == 1, "what is no newer is not told"


@pytest.mark.parametrize("loss", [0.0, 0.2, 0.5])
def test_lists_survive_loss_reordering_and_duplication(loss: float) -> None:
    for seed in range(20):
        p = Pair(seed, a=(FRESH, TEXT), b=(ListStatus(9, True, True), TEXT))
        for _ in range(300):
            p.tick(400.0)
            p.rng.shuffle(p.flying)
            while p.flying:
                lost = p.rng.random() < loss
                if lost:
                    p.flying.pop()
                else:
                    p.come(-1, keep=p.rng.random() < 0.2)
            if p.taken:
                break
        assert [t.document for t in p.taken] == [TEXT], seed


def test_chunks_of_two_lists_never_mix_and_the_newer_prevails() -> None:
    p = Pair(a=(FRESH, TEXT), b=(ListStatus(10, True, True), TEXT[::-1]))
    p.tick(0.0)
    p.come()
    p.come()
    p.all()
    p.tick()
    p.all()
    p.tick()
    p.all()
    assert p.taken[-1].document == TEXT[::-1]
    assert all(t.document in (TEXT, TEXT[::-1]) for t in p.taken)
    # The teller's list changes between two wishes for parts: it begins anew.
    p = Pair(a=(FRESH, TEXT))
    p.tick(0.0)
    p.all()
    p.at[A] = (ListStatus(11, True, True), TEXT[::-1])
    for _ in range(4):
        p.tick()
        p.all()
    assert [(t.version, t.document) for t in p.taken] == [(11, TEXT[::-1])]


@pytest.mark.parametrize(
    ("there", "here"),
    [
        (ListStatus(9, False, False), NOTHING),  # it was told by no discovery
        (FRESH, ListStatus(9, False, False)),
        (FRESH, ListStatus(10, False, False)),  # what is held is as new
    ],
)
def test_a_list_that_is_second_hand_or_no_newer_is_not_sent(
    there: ListStatus, here: ListStatus
) -> None:
    p = Pair(a=(there, TEXT))
    p.own_status = here
    p.tick(0.0)
    p.all()
    p.tick()
    p.all()
    assert not p.taken
    assert "members.lists_told" not in p.counts


def test_a_list_whose_holder_has_long_not_heard_discovery_is_not_sent() -> None:
    p = Pair(a=(FRESH, b"[]"))
    p.tellers[A].tick(0.0, FRESH, [])
    p.at[A] = (ListStatus(9, True, False), b"[]")
    p.tick(MAX_LIST_AGE_MS - 1000.0)
    p.all()
    assert p.taken[0].age_ms == MAX_LIST_AGE_MS - 1000.0
    p = Pair(a=(FRESH, b"[]"))
    p.tellers[A].tick(0.0, FRESH, [])
    p.at[A] = (ListStatus(9, True, False), b"[]")
    p.tick(MAX_LIST_AGE_MS + 1000.0)
    p.all()
    assert not p.taken
    p = Pair(a=(ListStatus(9, True, False), b"[]"))  # it was never seen to hear discovery
    p.tick(1000.0)
    p.all()
    assert not p.taken


def test_once_discovery_has_sent_a_list_nothing_is_requested_or_accepted() -> None:
    p = Pair(a=(FRESH, b"[]"))
    p.tick(0.0)
    p.come()
    p.own_status = ListStatus(3, True, True)  # discovery came first
    p.all()
    p.tick(60000.0)
    assert not p.taken
    assert not p.flying


def test_a_flood_of_requests_is_bounded() -> None:
    p = Pair(a=(FRESH, TEXT))
    packs = [0]

    def text() -> bytes:
        packs[0] += 1
        return TEXT

    wish = Message(
        MessageKind.LIST_REQUEST, "n9", payload=msgspec.msgpack.encode((0, b"", (1 << 62) - 1))
    )
    for _ in range(3000):
        p.tellers[A].handle_request(5000.0, B, wish, FRESH, text)
    assert len(p.tellers[A].outbox) == MAX_CHUNKS_PER_S
    assert packs[0] == 1
    assert p.counts["members.lists_busy"] > 2000


def made(
    version: object = 9,
    age: object = 0.0,
    whole: object = None,
    n: object = 0,
    count: object = 1,
    part: object = b"x",
) -> Message:
    whole = list_digest(part) if whole is None else whole
    return Message(
        MessageKind.LIST_CHUNK,
        "n1",
        payload=msgspec.msgpack.encode((version, age, whole, n, count, part)),
    )


def test_a_torn_malformed_or_oversized_list_is_refused() -> None:
    bomb = zlib.compress(b"\0" * (MAX_LIST_BYTES + 1), 9)
    for message in (
        made(part=bomb[:900], whole=list_digest(bomb)),
        made(part=zlib.compress(b"[]")[:-2]),
        made(),
        made(whole=b"12345678"),
        made(version=-1),
        made(version="9"),
        made(age=-1.0),
        made(n=1),
        made(count=65),
        made(part=b""),
        made(part=b"x" * 901, whole=b"12345678"),
        made(age=float("nan")),
        Message(MessageKind.LIST_CHUNK, "n1", payload=b"\xff"),
        Message(MessageKind.LIST_CHUNK, "n1"),
    ):
        p = Pair()
        assert p.asker.handle_chunk(0.0, A, message, NOTHING) is None, message
    p = Pair()
    parts = [bomb[n : n + 900] for n in range(0, len(bomb), 900)]
    for n, part in enumerate(parts):
        m = made(part=part, n=n, count=len(parts), whole=list_digest(bomb))
        assert p.asker.handle_chunk(0.0, A, m, NOTHING) is None
    assert p.counts["members.lists_wrong"] == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        *(msgspec.msgpack.encode(x) for x in ((1, 2), (-1, b"", 1), (0, "", 1), (0, b"", 1 << 63))),
    ],
)
def test_a_malformed_request_is_counted(data: bytes) -> None:
    p = Pair()
    p.tellers[A].handle_request(
        0.0, B, Message(MessageKind.LIST_REQUEST, "n9", payload=data), FRESH, lambda: TEXT
    )
    assert p.counts == {"members.lists_wrong": 1}
    assert not p.tellers[A].outbox


@SAME
@given(
    st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 30)), max_size=60), st.integers(0, 99)
)
def test_versions_rise_and_lists_are_complete_whatever_comes(
    steps: list[tuple[str, int]], seed: int
) -> None:
    texts = {9: TEXT, 10: TEXT[::-1]}
    p = Pair(seed, a=(FRESH, TEXT), b=(ListStatus(10, True, True), TEXT[::-1]))
    for what, n in steps:
        if what == "tick":
            p.tick(100.0 * n)
        elif what == "newer":
            version = p.at[A][0].version + 1
            texts[version] = TEXT[n:]
            p.at[A] = (ListStatus(version, True, True), texts[version])
        elif what == "told":
            p.own_status = ListStatus(
                p.own_status.version, n > 25 or p.own_status.is_from_discovery, False
            )
        elif p.flying:
            at = n % len(p.flying)
            before = len(p.taken)
            told = p.own_status.is_from_discovery
            p.flying.pop(at) if what == "lose" else p.come(at, keep=what == "twice")
            assert len(p.taken) == before or not told
        versions = [t.version for t in p.taken]
        assert versions == sorted(set(versions))
        assert all(t.document == texts.get(t.version) or t.version > 9 for t in p.taken)
    assert all(t.document in texts.values() for t in p.taken)


# ---- a node's process, and a member under the test's control


class Member:
    """A member's socket: it reads wishes, and tells what the test says."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(15.0)
        self.codec = Codec("f")
        self.node: tuple[str, int] = ("", 0)

    @property
    def at(self) -> str:
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def wish(self) -> tuple:
        """The next wish for a list: version held, digest, mask."""
        while True:
            data, self.node = self.sock.recvfrom(65536)
            message = self.codec.read(data)
            if message.kind == MessageKind.LIST_REQUEST:
                return tuple(msgspec.msgpack.decode(message.payload))

    def ask(self, version: int) -> None:
        wish = Message(
            MessageKind.LIST_REQUEST, "n9", payload=msgspec.msgpack.encode((version, b"", 1))
        )
        self.sock.sendto(self.codec.write(wish), self.node)

    def part(self) -> tuple:
        """The next part of a list."""
        while True:
            message = self.codec.read(self.sock.recvfrom(65536)[0])
            if message.kind == MessageKind.LIST_CHUNK:
                return tuple(msgspec.msgpack.decode(message.payload))

    def tell(self, text: dict, version: int | None = None, age: float = 0.0) -> None:
        packed = zlib.compress(json.dumps(text).encode())
        parts = [packed[n : n + 900] for n in range(0, len(packed), 900)]
        for n, part in enumerate(parts):
            whole = (
                text["seq"] if version is None else version,
                age,
                list_digest(packed),
                n,
                len(parts),
                part,
            )
            message = Message(MessageKind.LIST_CHUNK, "n9", payload=msgspec.msgpack.encode(whole))
            self.sock.sendto(self.codec.write(message), self.node)


def real(folder: Path, caches: int = 2, first: str = "list") -> tuple[NodeProcess, Member]:
    """`first`: a member's list before the call to discovery is due (4 s after the start), or the
    call."""
    nodes = 400 if first == "list" else 1
    r, member = (
        NodeProcess(folder, caches, methods=[method_settings("read")], balancers=nodes),
        Member(),
    )
    r.configuration["seed"] = SEED
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        own = f"127.0.0.1:{free.getsockname()[1]}"
    (folder / "own.toml").write_text(
        f'[members]\nlisten = "{own}"\nfleet = "f"\nseeds = ["{member.at}"]\n'
    )
    r.environment["HOOKPITCH_CONFIG"] = str(folder / "own.toml")
    r.configuration["known"] = {"seq": 5, "whole": True, "hosts": []}
    r.write_configuration()
    return r, member


def served(r: NodeProcess, id: str) -> int:
    """Which cache it goes to."""
    client = r.connect_client()
    client.send(get_command(id, wait=5000))
    n, line = r.accept_from_any_cache()
    assert line.receive_value()[2] == id.encode()
    line.send(VALUE)
    assert client.receive_value() == b"v"
    line.close()
    return n


def since(r: NodeProcess) -> bytes:
    return r.poll_head.partition(b"since=")[2].split()[0]


def told(r: NodeProcess, seq: int, *without: int, **health: str) -> dict:
    some = [h for n, h in enumerate(r.hosts) if n not in without]
    hosts = [h | {"health": health.get(h["host"], h["health"])} for h in some]
    return {"seq": seq, "whole": True, "hosts": hosts}


def test_a_node_serves_by_a_members_list_and_then_polls_for_the_whole_one(
    tmp_path: Path,
) -> None:
    r, member = real(tmp_path)
    with r:
        assert member.wish()[0] == 5
        member.tell(told(r, 9, 1))
        assert r.wait_for_log("endpoint_list_accepted")["version"] == 9
        r.wait_until(lambda: r.counter("lists.cached") == 2)
        assert served(r, "r1") == 0  # discovery has said nothing yet; the list has one cache alone
        watch = r.answer_poll(
            told(r, 7, 0)
        )  # an older version, of which it is told by discovery: that goes first
        assert since(r) == b"0"
        r.wait_until(lambda: r.counter("lists.full") == 1)
        assert served(r, "r2") == 1
        member.tell(told(r, 99, 1))
        send_change(watch, r.endpoint_change(8, 1))
        r.wait_until(lambda: r.counter("lists.delta") == 1)
        assert served(r, "r3") == 1
        assert r.counter("members.lists_taken") == 1
        member.ask(3)
        version, _, whole, n, count, part = member.part()
        text = zlib.decompress(part)
        assert (version, n, count, whole) == (8, 0, 1, list_digest(part)), (
            "it tells what discovery told it"
        )
        assert {h["host"] for h in json.loads(text)["hosts"]} == {"s1", "o1"}


@pytest.mark.parametrize("first", ["call", "list"])
def test_a_members_list_and_a_poll_in_flight_cross(tmp_path: Path, first: str) -> None:
    r, member = real(tmp_path, first=first)
    with r:
        if (
            first == "call"
        ):  # its changes are since what was held before: they may not be put on this list
            line = r.discovery.accept()
            assert b"since=5" in line.receive_head()
            member.wish()
            member.tell(told(r, 9, 1))
            r.wait_until(lambda: r.counter("members.lists_taken") == 1)
            assert r.counter("lists.cached") == 1
            line.reset()
            r.wait_until(lambda: r.counter("lists.cached") == 2)
        else:
            member.wish()
            member.tell(told(r, 9, 1))
            r.wait_until(lambda: r.counter("lists.cached") == 2)
        assert served(r, "r1") == 0
        r.answer_poll(told(r, 9))
        assert since(r) == b"0"


def test_a_wrong_list_lasts_no_longer_than_an_old_one_would(tmp_path: Path) -> None:
    r, member = real(tmp_path)
    with r:
        member.wish()
        member.tell(
            told(r, (1 << 61), 0, s1="terminating")
        )  # nobody is ready in it: no list to begin with
        r.wait_until(lambda: r.counter("members.lists_wrong") == 1)
        member.wish()
        member.tell(told(r, (1 << 61), 1))
        r.wait_until(lambda: r.counter("lists.cached") == 2)
        r.answer_poll(told(r, 6, 0))  # discovery's count, far below the one that was told
        r.wait_until(lambda: r.counter("lists.full") == 1)
        assert served(r, "r1") == 1


def test_a_drain_in_a_members_list_takes_effect_at_once(tmp_path: Path) -> None:
    r, member = real(tmp_path)
    r.configuration["known"] = {"seq": 5, "whole": True, "hosts": r.hosts}
    r.write_configuration()
    with r:
        member.wish()
        member.tell(told(r, 9, s0="terminating"))
        r.wait_until(lambda: r.counter("lists.cached") == 2)
        assert {served(r, f"r{n}") for n in range(6)} == {
            1
        }  # its grace is for what is sent already


def test_a_node_without_any_list_keeps_requesting_and_answers_with_an_error(tmp_path: Path) -> None:
    r, member = real(tmp_path)
    with r:
        for _ in range(3):
            assert member.wish() == (5, b"", 15)
        client: PeerConnection = r.connect_client()
        client.send(get_command("r1", wait=300))
        assert isinstance(client.receive_value(), ErrorReply)
