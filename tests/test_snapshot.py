"""Snapshots: learned state outlasts the process, complete or not at all, and decays."""

import os
import random
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint
from socket_node import NodeOnMemoryNetwork, get_command

from hookpitch.balancer.interface import EndpointState, EndpointUpdate, Outcome
from hookpitch.cli import main
from hookpitch.net import snapshot_store
from hookpitch.net.operator_settings import load_operator_settings as load_operator
from hookpitch.startup.snapshot_format import (
    FORMAT,
    HEADER,
    MAX_BYTES,
    BackendSnapshot,
    HotBucket,
    MovedBucket,
    Snapshot,
    decode,
    encode,
)
from hookpitch.startup.snapshot_state import capture, restore, stored_endpoints
from hookpitch.testbed.experiment import read as read_experiment
from hookpitch.testbed.run import Run

SERVERS = [make_endpoint(f"s{i}") for i in range(6)] + [make_endpoint("o1", kind=ORIGIN_KIND)]
DIALS = {endpoint.id: f"127.0.0.1:{7000 + index}" for index, endpoint in enumerate(SERVERS)}


def make_fleet(**changes: object) -> Fleet:
    """Return a fleet that has received the list of SERVERS."""
    fleet = Fleet(make_deployment(nodes=1, slow_start_ms=20000.0, **changes))
    fleet.receive_endpoints(SERVERS, EndpointUpdate.SNAPSHOT)
    return fleet


def fleet_after_traffic(seed: int = 1) -> Fleet:
    """Return a fleet after some traffic: one server is ejected, one key is hot."""
    fleet, rng = make_fleet(), random.Random(seed)
    for i in range(600):
        rpc = fleet.arrive("heavy" if rng.random() < 0.3 else f"k{rng.randrange(300)}")
        while (rpc, index := len(fleet.attempts[rpc]) - 1) in fleet.in_flight:
            fleet.end_attempt(
                rpc,
                Outcome.RESET if fleet.attempts[rpc][index].server == "s2" else Outcome.COMPLETED,
                index,
            )
        if i % 10 == 0:
            fleet.pass_time(20.0)
    assert fleet.router.backends["s2"].ejected
    fleet.router.backends["s0"].concurrency_limit = 9.0  # as it grows under load
    return fleet


def take_snapshot(fleet: Fleet, **changes: object) -> Snapshot:
    """Return a snapshot of the fleet, with some fields changed."""
    return msgspec.structs.replace(
        capture(fleet.router, fleet.now, "fleet", "n1", 41, DIALS), **changes
    )


def start_from(snapshot: Snapshot, later_ms: float, servers: list = SERVERS) -> Fleet:
    """Return a fleet that starts `later_ms` after the snapshot and restores it."""
    fleet = Fleet(make_deployment(nodes=1, slow_start_ms=20000.0))
    fleet.now = snapshot.written_at_ms + later_ms
    fleet.router = type(fleet.router)(fleet.now, fleet.deployment)
    fleet.receive_endpoints(servers, EndpointUpdate.CACHED)
    restore(fleet.router, fleet.now, snapshot)
    return fleet


def test_what_was_learned_is_restored_and_decays_with_its_age() -> None:
    fleet = fleet_after_traffic()
    snapshot = decode(encode(take_snapshot(fleet)))
    assert snapshot == take_snapshot(fleet)
    best = max(
        (backend for backend in fleet.router.caches if not backend.ejected),
        key=lambda backend: backend.concurrency_limit,
    )
    limits = [
        start_from(snapshot, ms).router.backends[best.id].concurrency_limit
        for ms in (0.0, 60000.0, 3600000.0)
    ]
    assert limits[0] == pytest.approx(best.concurrency_limit)
    assert limits[0] > limits[1] > limits[2]
    assert limits[2] == pytest.approx(2.0, abs=0.01)
    at_once, later = start_from(snapshot, 100.0), start_from(snapshot, 3600000.0)
    assert at_once.router.backends["s2"].ejected
    assert not later.router.backends["s2"].ejected
    assert at_once.router.concurrency.unit_latency_ms == fleet.router.concurrency.unit_latency_ms
    assert later.router.concurrency.unit_latency_ms == 0.0


def test_a_hot_key_is_spread_from_the_first_rpc_on() -> None:
    fleet = fleet_after_traffic()
    (key,) = [key for key, bucket in fleet.router.placement.buckets.items() if bucket.spread_size]
    new = start_from(take_snapshot(fleet), 500.0)
    assert new.router.placement.buckets[key].spread_size > 0
    assert len(new.router.placement.replicas(new.router.placement.buckets[key])) > 1
    assert not any(
        bucket.spread_size
        for bucket in start_from(take_snapshot(fleet), 3600000.0).router.placement.buckets.values()
    )


def test_a_snapshot_never_ejects_every_backend_nor_the_only_one() -> None:
    fleet = make_fleet()
    backend_snapshots = tuple(
        BackendSnapshot(endpoint.id, 0.0, 1.0, 900.0, 900.0, 3, 8000.0, fleet.now + 9000.0, 0.0)
        for endpoint in SERVERS
    )
    new = start_from(take_snapshot(fleet, backends=backend_snapshots), 100.0)
    assert not any(backend.ejected for backend in new.router.caches)
    only_server = [make_endpoint("s3"), make_endpoint("o1", kind=ORIGIN_KIND)]
    new = start_from(take_snapshot(fleet, backends=backend_snapshots), 100.0, only_server)
    assert not new.router.backends["s3"].ejected
    assert new.attempts[new.arrive("k")]
    assert (
        start_from(take_snapshot(fleet, backends=backend_snapshots[:2]), 100.0)
        .router.backends["s0"]
        .ejected
    )


def test_a_backend_that_restarted_since_warms_up_whatever_the_snapshot_holds() -> None:
    fleet = fleet_after_traffic()
    snapshot = take_snapshot(fleet)
    restarted = [
        replace(endpoint, started_ms=snapshot.written_at_ms + 500.0)
        if endpoint.id == "s1"
        else endpoint
        for endpoint in SERVERS
    ]
    new = start_from(snapshot, 1000.0, restarted)
    backend = new.router.backends["s1"]
    assert backend.warmup_until > new.now
    assert backend.concurrency_limit <= 2.0
    assert not backend.available
    # A backend that was cold when the snapshot was written warms up for the rest of its slow start,
    # and never for longer than a whole one.
    cold = tuple(
        replace_fields(stored, warmup_until_ms=snapshot.written_at_ms + 9e9)
        if stored.id == "s1"
        else stored
        for stored in snapshot.backends
    )
    new = start_from(msgspec.structs.replace(snapshot, backends=cold), 1000.0)
    assert new.now < new.router.backends["s1"].warmup_until <= new.now + 20000.0


def replace_fields(backend: BackendSnapshot, **changes: object) -> BackendSnapshot:
    """Return a backend's snapshot with some fields changed."""
    return msgspec.structs.replace(backend, **changes)


def test_buckets_stay_moved_while_the_move_is_recent_and_its_target_is_ready() -> None:
    fleet = make_fleet()
    bucket = fleet.router.placement.bucket(77)
    target = next(backend.id for backend in fleet.router.caches if backend is not bucket.primary)
    snapshot = take_snapshot(
        fleet,
        moved_buckets=(
            MovedBucket(77, (), (), target),
            MovedBucket(78, ("other",), (), target),
            MovedBucket(10**9, (), (), target),
        ),
    )
    assert start_from(snapshot, 1000.0).router.placement.buckets[77, (), ()].assigned.id == target
    assert (77, (), ()) not in start_from(snapshot, 600000.0).router.placement.buckets
    draining = [
        replace(endpoint, state=EndpointState.DRAINING) if endpoint.id == target else endpoint
        for endpoint in SERVERS
    ]
    assert (77, (), ()) not in start_from(snapshot, 1000.0, draining).router.placement.buckets


def test_an_operators_ban_outlasts_the_process() -> None:
    fleet = make_fleet()
    fleet.router.set_banned(fleet.now, "s4", True)
    new = start_from(take_snapshot(fleet), 60000.0)
    assert new.router.backends["s4"].state == EndpointState.DRAINING
    new.router.set_banned(new.now, "s4", False)
    assert new.router.backends["s4"].state == EndpointState.READY


def test_a_snapshot_truncated_or_altered_at_any_byte_is_refused() -> None:
    data = encode(take_snapshot(fleet_after_traffic()))
    for end in range(len(data)):
        reason = "^truncated: " if end < HEADER.size else "^body of .* but the header states"
        with pytest.raises(ValueError, match=reason):
            decode(data[:end])
    rng = random.Random(4)
    for at in range(len(data)):
        altered = bytearray(data)
        altered[at] ^= 1 << rng.randrange(8)
        # The header holds the magic, the format number, the length of the body and its checksum.
        if at < 4:
            reason = "^not a snapshot"
        elif at < 6:
            reason = "^written by a newer version"
        elif at < 10:
            reason = "^body of .* but the header states"
        else:
            reason = "^checksum mismatch"
        with pytest.raises(ValueError, match=reason):
            decode(bytes(altered))
    with pytest.raises(ValueError, match="but the header states"):
        decode(data + b"x")


def test_a_newer_format_is_refused_and_unknown_fields_are_skipped() -> None:
    from hashlib import blake2b

    data = encode(take_snapshot(make_fleet()))
    newer = HEADER.pack(b"HKPS", FORMAT + 1, *HEADER.unpack_from(data)[2:]) + data[HEADER.size :]
    with pytest.raises(ValueError, match="newer version"):
        decode(newer)
    body = msgspec.msgpack.encode(msgspec.msgpack.decode(data[HEADER.size :]) | {"later": [1, 2]})
    checksum = blake2b(body, digest_size=16).digest()
    assert decode(HEADER.pack(b"HKPS", FORMAT, len(body), checksum) + body).node == "n1"
    for field, value, reason in (
        ("written", float("nan"), "^contains a number outside the range"),
        ("sighted", -1.0, "^contains a number outside the range"),
        ("seq", "x", "^invalid body: "),
    ):
        body = msgspec.msgpack.encode(msgspec.msgpack.decode(data[HEADER.size :]) | {field: value})
        with pytest.raises(ValueError, match=reason):
            decode(
                HEADER.pack(b"HKPS", FORMAT, len(body), blake2b(body, digest_size=16).digest())
                + body
            )


def test_a_snapshot_has_a_bounded_size_however_much_was_learned() -> None:
    many = tuple(
        BackendSnapshot(f"server-{'x' * 200}-{index}", 1e12, 9.0, 9.0, 9.0, 0, 0.0, 0.0, 0.0)
        for index in range(5000)
    )
    moved = tuple(
        MovedBucket(index % 4096, ("kind" * 20,), ("zone" * 20,), "s" * 200)
        for index in range(9000)
    )
    hot = tuple(HotBucket(index, (), (), 9.0) for index in range(4096))
    data = encode(take_snapshot(make_fleet(), backends=many, moved_buckets=moved, hot_buckets=hot))
    assert len(data) <= MAX_BYTES
    assert decode(data).hot_buckets[0] == hot[0]


# ---- on a disk


def start_node(path: Path, **settings: object) -> NodeOnMemoryNetwork:
    """Start a node with its snapshot at this path, and restore the snapshot."""
    node = NodeOnMemoryNetwork(1)
    snapshot_settings = snapshot_store.SnapshotSettings(str(path), **{"fleet": "f", **settings})
    node.socket_node.snapshot_store = snapshot_store.SnapshotStore(
        snapshot_settings,
        node.socket_node,
        lambda work, then: then(snapshot_store.run_and_return_error(work)),
    )
    node.socket_node.snapshot_store.restore()
    return node


def test_a_crash_at_any_byte_of_a_write_leaves_the_old_or_the_new_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "n.snapshot"
    old, new = (
        encode(take_snapshot(make_fleet(), version=1)),
        encode(take_snapshot(make_fleet(), version=2)),
    )
    snapshot_store.replace_file(str(path), old)
    original_write, remaining = os.write, [0]

    def write_partly(descriptor: int, data: bytes) -> int:
        """Write until no bytes remain, and then fail; a killed process stops there as well."""
        if remaining[0] <= 0:
            raise OSError(28, "No space left on device")
        written = original_write(descriptor, bytes(data)[: remaining[0]])
        remaining[0] -= written
        return written

    monkeypatch.setattr(os, "write", write_partly)
    for end in range(len(new)):
        remaining[0] = end
        with pytest.raises(OSError, match="No space left on device"):
            snapshot_store.replace_file(str(path), new)
        assert snapshot_store.load_snapshot(str(path)).version == 1
    remaining[0] = len(new)
    snapshot_store.replace_file(str(path), new)
    assert snapshot_store.load_snapshot(str(path)).version == 2


def test_a_node_restores_what_the_process_before_it_wrote(tmp_path: Path) -> None:
    path = tmp_path / "n.snapshot"
    node = start_node(path)
    assert node.counters.counts["snapshot.none"] == 1
    node.socket_node.discovery.version = 77
    node.pass_time(11000)
    assert node.counters.counts["snapshot.written"] >= 1
    assert snapshot_store.load_snapshot(str(path)).version == 77
    restarted = start_node(path)
    assert restarted.counters.counts["snapshot.recalled"] == 1
    assert restarted.socket_node.discovery.version == 77
    client = restarted.connect_client()
    client.send(get_command("r1"))
    restarted.pass_time(1)
    assert restarted.counters.counts["tx.sent"] == 1


@pytest.mark.parametrize(
    ("told", "expected"),
    [
        ({"fleet": "other"}, "of fleet"),
        ({"oldest_s": 1.0}, "s old"),
        (None, "but the header states"),
        ("", "file"),
    ],
)
def test_a_foreign_expired_truncated_or_missing_snapshot_is_reported_and_not_modified(
    tmp_path: Path, told: dict | str | None, expected: str
) -> None:
    path = tmp_path / "n.snapshot"
    content = b""
    if told != "":
        node = start_node(path)
        node.socket_node.snapshot_store.save()
        content = path.read_bytes()
        content = content[:-1] if told is None else content
        path.write_bytes(content)
    node = NodeOnMemoryNetwork(1)
    lines: list[str] = []
    node.socket_node.logger = type(
        "Log", (), {"info": lambda self, event, **fields: lines.append(f"{event} {fields}")}
    )()
    snapshot_settings = snapshot_store.SnapshotSettings(str(path), **{"fleet": "f", **(told or {})})
    node.socket_node.snapshot_store = snapshot_store.SnapshotStore(
        snapshot_settings, node.socket_node, lambda *_: None
    )
    if isinstance(told, dict) and "oldest_s" in told:
        node.pass_time(3000)
    node.socket_node.snapshot_store.restore()
    assert len(lines) == 1
    assert expected in lines[0]
    assert not content or path.read_bytes() == content
    assert node.socket_node.host.router.backends["s0"].state == EndpointState.READY


def test_a_disk_that_fails_or_stalls_blocks_nothing_and_is_reported_once(tmp_path: Path) -> None:
    node = start_node(tmp_path / "nowhere" / "n.snapshot", every_s=0.5)
    node.pass_time(5000)
    assert node.counters.counts["snapshot.failed"] >= 5
    node = start_node(tmp_path / "n.snapshot", every_s=0.5)
    node.socket_node.snapshot_store.run_in_background = lambda work, then: (
        None
    )  # it never completes
    node.pass_time(5000)
    node.socket_node.shut_down()
    node.pass_time(3000)
    assert node.network.hasStopped  # the node stops nevertheless


def test_no_device_or_link_is_read_as_a_snapshot(tmp_path: Path) -> None:
    target = tmp_path / "real"
    target.write_bytes(encode(take_snapshot(make_fleet())))
    (tmp_path / "link").symlink_to(target)
    os.mkfifo(tmp_path / "pipe")
    for name, reason in (
        ("link", "^Too many levels of symbolic links$"),
        ("pipe", "^not a regular file$"),
    ):
        with pytest.raises(ValueError, match=reason):
            snapshot_store.load_snapshot(str(tmp_path / name))
    with pytest.raises(ValueError, match="^not a regular file$"):
        snapshot_store.load_snapshot("/dev/zero")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[snapshot]\nfleet = 'x'", "path"),
        ("[snapshot]\npath = 'x'\nevery_s = 0", "every_s"),
        ("[snapshot]\npath = 'x'\nevry_s = 1", "evry_s"),
        ("[snapshot]\npath = 'x'\noldest_s = true", "oldest_s"),
    ],
)
def test_a_wrong_setting_of_snapshots_is_reported_with_its_name(
    tmp_path: Path, text: str, expected: str
) -> None:
    file = tmp_path / "node.toml"
    file.write_text(text)
    with pytest.raises(ValueError, match=f"snapshot.{expected}"):
        load_operator(file)


def test_on_call_staff_can_print_a_snapshot(tmp_path: Path) -> None:
    path = tmp_path / "n.snapshot"
    path.write_bytes(encode(take_snapshot(fleet_after_traffic())))
    result = CliRunner().invoke(main, ["snapshot", "show", str(path)])
    assert result.exit_code == 0
    assert "node n1 of fleet fleet" in result.output
    assert "s2" in result.output
    result = CliRunner().invoke(main, ["snapshot", "show", "--json", str(path)])
    assert msgspec.json.decode(result.output)["seq"] == 41
    path.write_bytes(b"HKPS")
    result = CliRunner().invoke(main, ["snapshot", "show", str(path)])
    assert result.exit_code == 2
    assert "truncated: 4 bytes" in result.output


def test_nodes_that_all_restart_restore_their_snapshots() -> None:
    text = """name = "start-again"
seconds = 14.0
[nodes]
count = 6
snapshot_s = 1.0
[traffic]
rate = 120.0
[[fault]]
at = 6.0
what = "restart"
whom = "nodes"
by = 0.3
"""
    result = Run(read_experiment(text), 1).run()
    assert not result.violations
    assert not result.program_errors
    assert sum(counts.get("snapshot.recalled", 0) for counts in result.counters.values()) == 6


def test_the_endpoints_of_a_snapshot_keep_their_addresses() -> None:
    endpoints, dials = stored_endpoints(take_snapshot(make_fleet()))
    assert {endpoint.id for endpoint in endpoints} == set(DIALS)
    assert dials == DIALS
