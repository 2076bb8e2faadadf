"""Tests that this build reads the bytes of an earlier build and writes the same bytes.

Two builds work side by side during a rolling upgrade, and a restart reads the file of the build
before. The bytes below were written by commit 524ff70; they never change with the code's names.
"""

import json
import zlib

import msgspec
import pytest

from hookpitch.members.codec import Codec
from hookpitch.members.endpoint_exchange import EndpointExchange, ListStatus
from hookpitch.members.messages import PARTITIONS, MemberState, Message, MessageKind, Record
from hookpitch.startup.snapshot_format import (
    BackendSnapshot,
    EndpointSnapshot,
    HotBucket,
    MovedBucket,
    Snapshot,
    decode,
    encode,
)

SNAPSHOT = bytes.fromhex(
    "484b50530001000001b65624437e2711c1251be16269314eaad58ea5666c656574a67379646e6579a46e6f64"
    "65a26e31a56b696e647392a5736d616c6ca66f726967696ea77772697474656ecb4279ae3b8b180800a37365"
    "7129a66c69737465649298a27330a46561737403cb4279ae34bff800000000cb3ff8000000000000ad31302e"
    "302e302e313a3730303098a26f31a47765737400cb00000000000000000101cb4000000000000000ad31302e"
    "302e302e393a37303031a7736572766572739299a27330cb4279ae34bff80000cb4022800000000000cb4029"
    "000000000000cb400e00000000000002cb40af400000000000cb4279ae3b8cb10000cb4279ae3b8f22000099"
    "a26f31cb0000000000000000cb4034000000000000cb4044000000000000cb403e00000000000000cb000000"
    "0000000000cb0000000000000000cb0000000000000000a56d6f76656491944d91a5736d616c6c92a4656173"
    "74a477657374a27330a568656176799194cd0fff9091a477657374cb4031800000000000a773696768746564"
    "cb4082c20000000000a4776f726bcb4012000000000000a97761726d5f72617465cb4040c00000000000a469"
    "646c65cb40dd4c0000000000a462616e7392a27334a27335"
)


def test_a_snapshot_of_an_earlier_build_is_read_field_by_field() -> None:
    snapshot = decode(SNAPSHOT)
    assert (snapshot.fleet, snapshot.node, snapshot.kinds) == ("sydney", "n1", ("small", "origin"))
    assert (snapshot.written_at_ms, snapshot.version) == (1764757123456.5, 41)
    cache, origin = snapshot.endpoints
    assert (cache.id, cache.zone, cache.cell, cache.address) == ("s0", "east", 3, "10.0.0.1:7000")
    assert (cache.started_at_ms, cache.state, cache.kind, cache.size) == (
        1764750000000.0,
        0,
        0,
        1.5,
    )
    assert (origin.id, origin.state, origin.kind, origin.address) == ("o1", 1, 1, "10.0.0.9:7001")
    backend, _ = snapshot.backends
    assert (backend.id, backend.started_at_ms, backend.concurrency_limit) == (
        "s0",
        1764750000000.0,
        9.25,
    )
    assert (backend.latency_ms, backend.baseline_latency_ms, backend.consecutive_failures) == (
        12.5,
        3.75,
        2,
    )
    assert backend.ejection_ms == 4000.0
    assert (backend.ejected_until_ms, backend.warmup_until_ms) == (1764757130000.0, 1764757140000.0)
    (moved,) = snapshot.moved_buckets
    assert (moved.number, moved.kinds, moved.zones) == (77, ("small",), ("east", "west"))
    assert moved.backend_id == "s0"
    (hot,) = snapshot.hot_buckets
    assert (hot.number, hot.kinds, hot.zones, hot.request_count) == (4095, (), ("west",), 17.5)
    assert (snapshot.request_count, snapshot.work_ms, snapshot.warm_rate_per_s) == (
        600.25,
        4.5,
        33.5,
    )
    assert (snapshot.max_idle_ms, snapshot.banned_ids) == (30000.0, ("s4", "s5"))


def test_a_snapshot_is_written_byte_for_byte_as_an_earlier_build_wrote_it() -> None:
    assert encode(decode(SNAPSHOT)) == SNAPSHOT
    snapshot = Snapshot(
        "sydney",
        "n1",
        ("small", "origin"),
        1764757123456.5,
        41,
        (
            EndpointSnapshot("s0", "east", 3, 1764750000000.0, 0, 0, 1.5, "10.0.0.1:7000"),
            EndpointSnapshot("o1", "west", 0, 0.0, 1, 1, 2.0, "10.0.0.9:7001"),
        ),
        (
            BackendSnapshot(
                "s0", 1764750000000.0, 9.25, 12.5, 3.75, 2, 4e3, 1764757130000.0, 1764757140000.0
            ),
            BackendSnapshot("o1", 0.0, 20.0, 40.0, 30.0, 0, 0.0, 0.0, 0.0),
        ),
        (MovedBucket(77, ("small",), ("east", "west"), "s0"),),
        (HotBucket(4095, (), ("west",), 17.5),),
        600.25,
        4.5,
        33.5,
        30000.0,
        ("s4", "s5"),
    )
    assert snapshot == decode(SNAPSHOT)
    assert encode(snapshot) == SNAPSHOT


RECORDS = (
    Record("n2", ("10.0.0.2", 7946), 311, MemberState.SUSPECTED, "n9", 4, b"\x01fact"),
    Record("n3", ("10.0.0.3", 7947), 96, MemberState.DEAD),
)
DATAGRAMS = [
    (
        Message(MessageKind.PROBE, "n1", 77, "n2", RECORDS),
        "484b4d01313f19919011d5d4a4a8af09b3fc901a9800a26e314da26e32c29298a26e32a831302e302e302e32"
        "cd1f0acd013701a26e3904c405016661637498a26e33a831302e302e302e33cd1f0b6002a000c40090c400",
    ),
    (
        Message(MessageKind.ACK, "n1", 78, "n2"),
        "484b4d01313f19919011d5d49854b320e9848c9c9801a26e314ea26e32c29090c400",
    ),
    (
        Message(MessageKind.PROBE_REQUEST, "n1", 79, "n3", RECORDS[1:]),
        "484b4d01313f19919011d5d4e9ba08b096297b879802a26e314fa26e33c29198a26e33a831302e302e302e33"
        "cd1f0b6002a000c40090c400",
    ),
    (
        Message(
            MessageKind.GOSSIP,
            "n1",
            records=RECORDS,
            full_sync=True,
            partition_digests=tuple(range(1000, 1000 + PARTITIONS)),
        ),
        "484b4d01313f19919011d5d40224f4d05dde37879803a26e3100a0c39298a26e32a831302e302e302e32cd1f"
        "0acd013701a26e3904c405016661637498a26e33a831302e302e302e33cd1f0b6002a000c400dc0020cd03e8"
        "cd03e9cd03eacd03ebcd03eccd03edcd03eecd03efcd03f0cd03f1cd03f2cd03f3cd03f4cd03f5cd03f6cd03"
        "f7cd03f8cd03f9cd03facd03fbcd03fccd03fdcd03fecd03ffcd0400cd0401cd0402cd0403cd0404cd0405cd"
        "0406cd0407c400",
    ),
    (
        Message(MessageKind.DIGEST, "n1", 123456789, partition_digests=tuple(range(65504, 65536))),
        "484b4d01313f19919011d5d405f9dcd7a83a9a629804a26e31ce075bcd15a0c290dc0020cdffe0cdffe1cdff"
        "e2cdffe3cdffe4cdffe5cdffe6cdffe7cdffe8cdffe9cdffeacdffebcdffeccdffedcdffeecdffefcdfff0cd"
        "fff1cdfff2cdfff3cdfff4cdfff5cdfff6cdfff7cdfff8cdfff9cdfffacdfffbcdfffccdfffdcdfffecdffff"
        "c400",
    ),
    (
        Message(MessageKind.LIST_REQUEST, "n1", payload=b"\x93\x05\xc4\x00\x0f"),
        "484b4d01313f19919011d5d46cb3954f33789f109805a26e3100a0c29090c4059305c4000f",
    ),
    (
        Message(MessageKind.LIST_CHUNK, "n1", payload=b"\x96\t"),
        "484b4d01313f19919011d5d4db44e3e0b310eead9806a26e3100a0c29090c4029609",
    ),
]


@pytest.mark.parametrize(
    ("message", "written"), DATAGRAMS, ids=[sent.kind.name for sent, _ in DATAGRAMS]
)
def test_a_datagram_is_read_and_written_byte_for_byte_as_an_earlier_build_wrote_it(
    message: Message, written: str
) -> None:
    codec = Codec("sydney")
    assert codec.write(message) == bytes.fromhex(written)
    assert codec.read(bytes.fromhex(written)) == message


REQUEST = bytes.fromhex("9305c4000f")
CHUNK = bytes.fromhex(
    "9609cb4049000000000000c40868719f1d171b7f810001c42a789cab562a4e2d54b252b0d451502acfc8cf4905b2"
    "4b8a4a5381dc8cfce2926220373ab61600de340bb5"
)
DOCUMENT = b'{"seq": 9, "whole": true, "hosts": []}'
REQUESTER, HOLDER = ("10.0.0.1", 7), ("10.0.0.2", 7)


def test_the_exchange_of_endpoint_lists_speaks_the_bytes_of_an_earlier_build() -> None:
    counts: list[str] = []
    requester = EndpointExchange(0.0, "n0", lambda: 0.5, counts.append)
    requester.tick(10.0, ListStatus(5, False, False), [HOLDER])
    ((receiver, request),) = requester.outbox
    assert receiver == HOLDER
    assert request.payload == REQUEST
    holder = EndpointExchange(0.0, "n2", lambda: 0.5, counts.append)
    holder.tick(100.0, ListStatus(9, True, True), [])
    holder.handle_request(
        150.0,
        REQUESTER,
        Message(MessageKind.LIST_REQUEST, "n0", payload=REQUEST),
        ListStatus(9, True, False),
        lambda: DOCUMENT,
    )
    ((receiver, chunk),) = holder.outbox
    assert receiver == REQUESTER
    # zlib determines the compressed bytes; this program determines all bytes before them.
    sent, golden = msgspec.msgpack.decode(chunk.payload), msgspec.msgpack.decode(CHUNK)
    assert (
        [sent[index] for index in (0, 1, 3, 4)]
        == [golden[index] for index in (0, 1, 3, 4)]
        == [9, 50.0, 0, 1]
    )
    assert zlib.decompress(sent[5]) == zlib.decompress(golden[5]) == DOCUMENT
    accepted = requester.handle_chunk(
        200.0,
        HOLDER,
        Message(MessageKind.LIST_CHUNK, "n2", payload=CHUNK),
        ListStatus(5, False, False),
    )
    assert accepted is not None
    assert (accepted.version, accepted.source) == (9, HOLDER)
    assert accepted.age_ms == 50.0
    assert json.loads(accepted.document)["seq"] == 9
