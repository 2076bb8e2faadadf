"""Snapshots: what was learned outlasts the process, complete or not at all, and decays."""

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
DIALS = {e.id: f"127.0.0.1:{7000 + n}" for n, e in enumerate(SERVERS)}


def fleet(**changes: object) -> Fleet:
    f = Fleet(make_deployment(nodes=1, slow_start_ms=20000.0, **changes))
    f.receive_endpoints(SERVERS, EndpointUpdate.SNAPSHOT)
    return f


def busy(seed: int = 1) -> Fleet:
    """A node that has seen some traffic: one server is off the path, one key is heavy."""
    f, rng = fleet(), random.Random(seed)
    for i in range(600):
        rpc = f.arrive("heavy" if rng.random() < 0.3 else f"k{rng.randrange(300)}")
        while (rpc, n := len(f.attempts[rpc]) - 1) in f.in_flight:
            f.end_attempt(
                rpc, Outcome.RESET if f.attempts[rpc][n].server == "s2" else Outcome.COMPLETED, n
            )
        if i % 10 == 0:
            f.pass_time(20.0)
    assert f.router.backends["s2"].ejected
    f.router.backends["s0"].concurrency_limit = 9.0  # grown in use
    return f


def learned(f: Fleet, **changes: object) -> Snapshot:
    return msgspec.structs.replace(capture(f.router, f.now, "fleet", "n1", 41, DIALS), **changes)


def begun(x: Snapshot, later_ms: float, servers: list = SERVERS) -> Fleet:
    """A node that starts so much later and recalls it."""
    f = Fleet(make_deployment(nodes=1, slow_start_ms=20000.0))
    f.now = x.written_at_ms + later_ms
    f.router = type(f.router)(f.now, f.deployment)
    f.receive_endpoints(servers, EndpointUpdate.CACHED)
    restore(f.router, f.now, x)
    return f


def test_what_was_learned_is_restored_and_decays_with_its_age() -> None:
    f = busy()
    x = decode(encode(learned(f)))
    assert x == learned(f)
    best = max((s for s in f.router.caches if not s.ejected), key=lambda s: s.concurrency_limit)
    limits = [
        begun(x, ms).router.backends[best.id].concurrency_limit for ms in (0.0, 60000.0, 3600000.0)
    ]
    assert limits[0] == pytest.approx(best.concurrency_limit)
    assert limits[0] > limits[1] > limits[2]
    assert limits[2] == pytest.approx(2.0, abs=0.01)
    now, later = begun(x, 100.0), begun(x, 3600000.0)
    assert now.router.backends["s2"].ejected
    assert not later.router.backends["s2"].ejected
    assert now.router.concurrency.unit_latency_ms == f.router.concurrency.unit_latency_ms
    assert later.router.concurrency.unit_latency_ms == 0.0


def test_a_hot_key_is_spread_from_the_first_rpc_on() -> None:
    f = busy()
    (key,) = [k for k, b in f.router.placement.buckets.items() if b.spread_size]
    new = begun(learned(f), 500.0)
    assert new.router.placement.buckets[key].spread_size > 0
    assert len(new.router.placement.replicas(new.router.placement.buckets[key])) > 1
    assert not any(
        b.spread_size for b in begun(learned(f), 3600000.0).router.placement.buckets.values()
    )


def test_a_snapshot_never_ejects_every_backend_nor_the_only_one() -> None:
    f = fleet()
    known = tuple(
        BackendSnapshot(e.id, 0.0, 1.0, 900.0, 900.0, 3, 8000.0, f.now + 9000.0, 0.0)
        for e in SERVERS
    )
    new = begun(learned(f, backends=known), 100.0)
    assert not any(s.ejected for s in new.router.caches)
    alone = [make_endpoint("s3"), make_endpoint("o1", kind=ORIGIN_KIND)]
    new = begun(learned(f, backends=known), 100.0, alone)
    assert not new.router.backends["s3"].ejected
    assert new.attempts[new.arrive("k")]
    assert begun(learned(f, backends=known[:2]), 100.0).router.backends["s0"].ejected


def test_a_backend_that_restarted_since_warms_up_whatever_the_snapshot_holds() -> None:
    f = busy()
    x = learned(f)
    fresh = [replace(e, started_ms=x.written_at_ms + 500.0) if e.id == "s1" else e for e in SERVERS]
    new = begun(x, 1000.0, fresh)
    s = new.router.backends["s1"]
    assert s.warmup_until > new.now
    assert s.concurrency_limit <= 2.0
    assert not s.available
    # And one that was cold as it was written is so for the rest of its time, no longer.
    cold = tuple(
        replace_known(k, warmup_until_ms=x.written_at_ms + 9e9) if k.id == "s1" else k
        for k in x.backends
    )
    new = begun(msgspec.structs.replace(x, backends=cold), 1000.0)
    assert new.now < new.router.backends["s1"].warmup_until <= new.now + 20000.0


def replace_known(k: BackendSnapshot, **changes: object) -> BackendSnapshot:
    return msgspec.structs.replace(k, **changes)


def test_buckets_stay_moved_while_the_move_is_young_and_its_target_is_ready() -> None:
    f = fleet()
    b = f.router.placement.bucket(77)
    to = next(s.id for s in f.router.caches if s is not b.primary)
    x = learned(
        f,
        moved_buckets=(
            MovedBucket(77, (), (), to),
            MovedBucket(78, ("other",), (), to),
            MovedBucket(10**9, (), (), to),
        ),
    )
    assert begun(x, 1000.0).router.placement.buckets[77, (), ()].assigned.id == to
    assert (77, (), ()) not in begun(x, 600000.0).router.placement.buckets
    gone = [replace(e, state=EndpointState.DRAINING) if e.id == to else e for e in SERVERS]
    assert (77, (), ()) not in begun(x, 1000.0, gone).router.placement.buckets


def test_an_operators_ban_outlasts_the_process() -> None:
    f = fleet()
    f.router.set_banned(f.now, "s4", True)
    new = begun(learned(f), 60000.0)
    assert new.router.backends["s4"].state == EndpointState.DRAINING
    new.router.set_banned(new.now, "s4", False)
    assert new.router.backends["s4"].state == EndpointState.READY


def test_a_snapshot_truncated_or_altered_at_any_byte_is_refused() -> None:
    data = encode(learned(busy()))
    for end in range(len(data)):
        with pytest.raises(ValueError):
            decode(data[:end])
    rng = random.Random(4)
    for at in range(len(data)):
        turned = bytearray(data)
        turned[at] ^= 1 << rng.randrange(8)
        with pytest.raises(ValueError):
            decode(bytes(turned))
    with pytest.raises(ValueError, match="but the header states"):
        decode(data + b"x")


def test_a_newer_format_is_refused_and_unknown_fields_are_skipped() -> None:
    from hashlib import blake2b

    data = encode(learned(fleet()))
    newer = HEADER.pack(b"HKPS", FORMAT + 1, *HEADER.unpack_from(data)[2:]) + data[HEADER.size :]
    with pytest.raises(ValueError, match="newer version"):
        decode(newer)
    body = msgspec.msgpack.encode(msgspec.msgpack.decode(data[HEADER.size :]) | {"later": [1, 2]})
    check = blake2b(body, digest_size=16).digest()
    assert decode(HEADER.pack(b"HKPS", FORMAT, len(body), check) + body).node == "n1"
    for field, value in (("written", float("nan")), ("sighted", -1.0), ("seq", "x")):
        body = msgspec.msgpack.encode(msgspec.msgpack.decode(data[HEADER.size :]) | {field: value})
        with pytest.raises(ValueError):
            decode(
                HEADER.pack(b"HKPS", FORMAT, len(body), blake2b(body, digest_size=16).digest())
                + body
            )


def test_a_snapshot_has_a_bounded_size_however_much_was_learned() -> None:
    many = tuple(
        BackendSnapshot(f"server-{'x' * 200}-{n}", 1e12, 9.0, 9.0, 9.0, 0, 0.0, 0.0, 0.0)
        for n in range(5000)
    )
    moved = tuple(
        MovedBucket(n % 4096, ("kind" * 20,), ("zone" * 20,), "s" * 200) for n in range(9000)
    )
    heavy = tuple(HotBucket(n, (), (), 9.0) for n in range(4096))
    data = encode(learned(fleet(), backends=many, moved_buckets=moved, hot_buckets=heavy))
    assert len(data) <= MAX_BYTES
    assert decode(data).hot_buckets[0] == heavy[0]


# ---- on a disk


def node(path: Path, **told: object) -> NodeOnMemoryNetwork:
    """A node that is up, with its snapshot there."""
    s = NodeOnMemoryNetwork(1)
    kept = snapshot_store.SnapshotSettings(str(path), **{"fleet": "f", **told})
    s.socket_node.snapshot_store = snapshot_store.SnapshotStore(
        kept, s.socket_node, lambda work, then: then(snapshot_store.run_and_return_error(work))
    )
    s.socket_node.snapshot_store.restore()
    return s


def test_a_crash_at_any_byte_of_a_write_leaves_the_old_or_the_new_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "n.snapshot"
    old, new = encode(learned(fleet(), version=1)), encode(learned(fleet(), version=2))
    snapshot_store.replace_file(str(path), old)
    real, left = os.write, [0]

    def some(held: int, data: bytes) -> int:
        if left[0] <= 0:
            raise OSError(
                28, "No space left on device"
            )  # a process that is killed goes no further, either
        took = real(held, bytes(data)[: left[0]])
        left[0] -= took
        return took

    monkeypatch.setattr(os, "write", some)
    for end in range(len(new)):
        left[0] = end
        with pytest.raises(OSError):
            snapshot_store.replace_file(str(path), new)
        assert snapshot_store.load_snapshot(str(path)).version == 1
    left[0] = len(new)
    snapshot_store.replace_file(str(path), new)
    assert snapshot_store.load_snapshot(str(path)).version == 2


def test_a_node_restores_what_the_process_before_it_wrote(tmp_path: Path) -> None:
    path = tmp_path / "n.snapshot"
    s = node(path)
    assert s.counters.counts["snapshot.none"] == 1
    s.socket_node.discovery.version = 77
    s.pass_time(11000)
    assert s.counters.counts["snapshot.written"] >= 1
    assert snapshot_store.load_snapshot(str(path)).version == 77
    again = node(path)
    assert again.counters.counts["snapshot.recalled"] == 1
    assert again.socket_node.discovery.version == 77
    c = again.connect_client()
    c.send(get_command("r1"))
    again.pass_time(1)
    assert again.counters.counts["tx.sent"] == 1


@pytest.mark.parametrize(
    ("told", "said"),
    [
        ({"fleet": "other"}, "of fleet"),
        ({"oldest_s": 1.0}, "s old"),
        (None, "but the header states"),
        ("", "file"),
    ],
)
def test_a_snapshot_that_is_foreign_old_torn_or_missing_is_reported_and_left_alone(
    tmp_path: Path, told: dict | str | None, said: str
) -> None:
    path = tmp_path / "n.snapshot"
    before = b""
    if told != "":
        s = node(path)
        s.socket_node.snapshot_store.save()
        before = path.read_bytes()
        before = before[:-1] if told is None else before
        path.write_bytes(before)
    s = NodeOnMemoryNetwork(1)
    lines: list[str] = []
    s.socket_node.logger = type(
        "Log", (), {"info": lambda self, event, **more: lines.append(f"{event} {more}")}
    )()
    kept = snapshot_store.SnapshotSettings(str(path), **{"fleet": "f", **(told or {})})
    s.socket_node.snapshot_store = snapshot_store.SnapshotStore(
        kept, s.socket_node, lambda *_: None
    )
    if isinstance(told, dict) and "oldest_s" in told:
        s.pass_time(3000)
    s.socket_node.snapshot_store.restore()
    assert len(lines) == 1
    assert said in lines[0]
    assert not before or path.read_bytes() == before
    assert s.socket_node.host.router.backends["s0"].state == EndpointState.READY


def test_a_disk_that_fails_or_stalls_blocks_nothing_and_is_reported_once(tmp_path: Path) -> None:
    s = node(tmp_path / "nowhere" / "n.snapshot", every_s=0.5)
    s.pass_time(5000)
    assert s.counters.counts["snapshot.failed"] >= 5
    s = node(tmp_path / "n.snapshot", every_s=0.5)
    s.socket_node.snapshot_store.run_in_background = lambda work, then: None  # it never answers
    s.pass_time(5000)
    s.socket_node.shut_down()
    s.pass_time(3000)
    assert s.network.hasStopped  # the node ends nevertheless


def test_no_device_or_link_is_read_as_a_snapshot(tmp_path: Path) -> None:
    target = tmp_path / "real"
    target.write_bytes(encode(learned(fleet())))
    (tmp_path / "link").symlink_to(target)
    os.mkfifo(tmp_path / "pipe")
    for name in ("link", "pipe"):
        with pytest.raises(ValueError):
            snapshot_store.load_snapshot(str(tmp_path / name))
    with pytest.raises(ValueError):
        snapshot_store.load_snapshot("/dev/zero")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[snapshot]\nfleet = 'x'", "path"),
        ("[snapshot]\npath = 'x'\nevery_s = 0", "every_s"),
        ("[snapshot]\npath = 'x'\nevry_s = 1", "evry_s"),
        ("[snapshot]\npath = 'x'\noldest_s = true", "oldest_s"),
    ],
)
def test_a_wrong_setting_of_snapshots_is_reported_with_its_name(
    tmp_path: Path, text: str, said: str
) -> None:
    file = tmp_path / "node.toml"
    file.write_text(text)
    with pytest.raises(ValueError, match=f"snapshot.{said}"):
        load_operator(file)


def test_on_call_staff_can_print_a_snapshot(tmp_path: Path) -> None:
    path = tmp_path / "n.snapshot"
    path.write_bytes(encode(learned(busy())))
    said = CliRunner().invoke(main, ["snapshot", "show", str(path)])
    assert said.exit_code == 0
    assert "node n1 of fleet fleet" in said.output
    assert "s2" in said.output
    said = CliRunner().invoke(main, ["snapshot", "show", "--json", str(path)])
    assert msgspec.json.decode(said.output)["seq"] == 41
    path.write_bytes(b"HKPS")
    said = CliRunner().invoke(main, ["snapshot", "show", str(path)])
    assert said.exit_code == 2
    assert "truncated: 4 bytes" in said.output


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
    ended = Run(read_experiment(text), 1).run()
    assert not ended.violations
    assert not ended.program_errors
    assert sum(c.get("snapshot.recalled", 0) for c in ended.counters.values()) == 6


def test_the_endpoints_of_a_snapshot_keep_their_addresses() -> None:
    some, dials = stored_endpoints(learned(fleet()))
    assert {e.id for e in some} == set(DIALS)
    assert dials == DIALS
