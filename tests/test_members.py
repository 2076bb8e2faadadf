"""Membership: detection under suspensions, loss and one-way partitions; the state machine explored.

`MembershipSimulation` runs the program's state machine and codec over datagrams in virtual time.
"""

import copy
import json
import random
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from socket_node import NodeOnMemoryNetwork

from hookpitch.cli import main
from hookpitch.members.anti_entropy import AntiEntropy
from hookpitch.members.codec import MAX_BYTES, Codec
from hookpitch.members.dissemination import Dissemination
from hookpitch.members.failure_detector import PROBE_PERIOD_MS, Probe
from hookpitch.members.member import MAX_REFUTED_SUSPICIONS, Member
from hookpitch.members.membership import Membership
from hookpitch.members.messages import PARTITIONS, MemberState, Message, MessageKind, Record
from hookpitch.members.port import attach, parse_settings
from hookpitch.members.roster import MAX_MEMBERS, Roster
from hookpitch.testbed.experiment import load
from hookpitch.testbed.membership_simulation import MembershipSimulation
from hookpitch.testbed.run import Run

HEALED_MS, SAME_MS = 20000.0, 45000.0  # after the last fault
ROOT = Path(__file__).parent.parent
FAULTS = ROOT / "experiments" / "members-faults.toml"


def up(count: int, seed: int = 1) -> MembershipSimulation:
    net = MembershipSimulation(count, seed)
    assert net.advance_until(net.has_converged, 30) < 12
    net.advance(10)
    net.logs.clear()
    return net


def deaths(net: MembershipSimulation) -> set[str]:
    """Who was called dead by anybody."""
    return {text.split()[0] for _, _, text in net.logs if " dead" in text}


# ---- detection


@pytest.mark.parametrize("count", [3, 12, 60])
def test_a_death_is_detected_and_agreed_on(count: int) -> None:
    net = up(count)
    net.kill(["m1"])
    first = net.advance_until(
        lambda: (
            net.members_believing("m1", MemberState.SUSPECTED)
            or net.members_believing("m1", MemberState.DEAD)
        ),
        20,
        0.1,
    )
    agreed = first + net.advance_until(
        lambda: len(net.members_believing("m1", MemberState.DEAD)) == count - 1, 30, 0.1
    )
    assert first < 3.5
    assert agreed < 9.0
    assert deaths(net) == {"m1"}


def test_the_log_names_the_accuser_and_the_path_of_a_suspicion() -> None:
    net = up(8)
    net.kill(["m1"])
    net.advance(10)
    lines = [(who, text) for _, who, text in net.logs if text.startswith("m1 suspected by ")]
    own = [text for who, text in lines if f" by {who}, no answer here nor to m" in text]
    told = [text for who, text in lines if f" by {who}" not in text]
    assert own
    assert told
    assert all(", incarnation " in text for _, text in lines)
    assert any(", told by m" in text for text in told)  # but for what the accuser itself told


def test_a_restart_with_a_clock_set_back_is_a_new_incarnation() -> None:
    net = up(6)
    before, old = net.members["m2"].members["m2"].record.incarnation, net.members["m2"]
    net.kill(["m2"])
    net.advance(1)
    # Its machine's clock is an hour behind now: nothing that others hold is told by clocks.
    behind = 3600000.0
    m = Membership(net.now - behind, "m2", net.address_of("m2"), net.seed_addresses, net.rng.random)
    assert m is not old
    net.members["m2"] = m
    net.killed.discard("m2")
    receive, tick = m.receive, m.tick
    m.receive = lambda now, source, message: receive(now - behind, source, message)  # type: ignore[method-assign]

    def run() -> None:
        tick(net.now - behind)
        net.send_outbox("m2", m)
        net.schedule(max(1.0, m.due - (net.now - behind)), run)

    run()
    assert net.advance_until(net.has_converged, 20) < 15
    assert all(net.members[n].members["m2"].record.incarnation > before for n in net.running())


def test_three_hundred_members_that_join_within_a_second_find_one_another() -> None:
    net = MembershipSimulation(300, seed_count=3)
    assert net.advance_until(net.has_converged, 60, 0.5) < 30
    assert not deaths(net)


def test_a_member_whose_fleet_was_replaced_joins_the_new_one_by_its_seeds() -> None:
    net = up(8)
    net.kill([f"m{n}" for n in range(8) if n != 5])
    net.advance(1)
    for n in (0, 1, 2):  # others, at the seeds' addresses
        net.start(f"m{n}")
    for n in (20, 21, 22):
        net.start(f"m{n}")
    assert net.advance_until(net.has_converged, 60) < 30
    assert {"m20", "m21", "m22"} <= set(net.members["m5"].active_members())


def test_a_third_killed_at_once_is_at_most_three_versions_of_the_view() -> None:
    net = up(30)
    gone = [f"m{n}" for n in range(0, 30, 3)]
    before = {n: net.members[n].view.version for n in net.running()}
    net.kill(gone)
    net.advance(20)
    assert net.has_converged()
    assert deaths(net) == set(gone)
    for n in net.running():
        view = net.members[n].view
        assert view.version - before[n] <= 3
        assert len(view.members) == 20
        assert 0.6 < view.visible_fraction < 0.7


@pytest.mark.parametrize("first", ["settling", "change"])
def test_a_change_at_the_moment_a_view_settles_is_in_a_later_view(first: str) -> None:
    net = up(4)
    m = net.members["m0"]
    dead = replace(m.members["m1"].record, state=MemberState.DEAD)
    back = replace(dead, state=MemberState.ALIVE, incarnation=dead.incarnation + 1)
    now = net.now
    m.receive(now, net.address_of("m2"), Message(MessageKind.GOSSIP, "m2", records=(dead,)))
    now += 1000.0  # quiet for so long
    if first == "change":
        m.receive(now, net.address_of("m2"), Message(MessageKind.GOSSIP, "m2", records=(back,)))
        m._settle_view(now)
    else:
        m._settle_view(now)
        assert "m1" not in m.view.members
        m.receive(now, net.address_of("m2"), Message(MessageKind.GOSSIP, "m2", records=(back,)))
    m._settle_view(now + 1000.0)
    assert m.view.members == ("m0", "m1", "m2", "m3")


def test_failures_close_together_after_a_long_calm_are_one_version_of_the_view() -> None:
    net = up(6)
    m, now = net.members["m0"], net.now + 60000.0
    before = m.view.version
    for n in (1, 2, 3):
        gone = replace(m.members[f"m{n}"].record, state=MemberState.DEAD)
        m.receive(
            now + 200 * n, net.address_of("m4"), Message(MessageKind.GOSSIP, "m4", records=(gone,))
        )
        m._settle_view(now + 200 * n + 50)
    assert m.view.version == before
    m._settle_view(now + 1600.0)
    assert m.view.version == before + 1
    assert m.view.members == ("m0", "m4", "m5")


@pytest.mark.parametrize("seconds", [2.0, 1.0])
def test_short_suspensions_cause_no_deaths(seconds: float) -> None:
    net = up(30)
    for n in range(10):
        net.suspend([f"m{3 * n}"], seconds)
        net.advance(5)
    assert not deaths(net)
    assert net.advance_until(net.has_converged, 10) < 10


def test_a_long_suspension_is_a_death_and_a_return_with_a_higher_incarnation() -> None:
    net = up(20)
    before = net.members["m7"].members["m7"].record.incarnation
    net.suspend(["m7"], 20.0)
    net.advance(15)
    assert len(net.members_believing("m7", MemberState.DEAD)) == 19
    assert net.advance_until(net.has_converged, 30) < 15
    assert deaths(net) == {"m7"}  # and it has not taken the others for dead meanwhile
    assert all(net.members[n].members["m7"].record.incarnation > before for n in net.running())


@pytest.mark.parametrize(("loss", "seconds"), [(0.05, 60), (0.2, 60)])
def test_lost_datagrams_cause_no_deaths(loss: float, seconds: int) -> None:
    net = up(40)
    net.loss = loss
    net.advance(seconds)
    assert not deaths(net)


def test_a_fifth_of_the_datagrams_lost_causes_few_suspicions_and_little_traffic() -> None:
    net = up(60)
    net.loss = 0.2
    net.advance(10)
    before = sum(net.bytes_sent.values())
    net.advance(40)
    # Danger: each accusation and its refutation are told round the fleet, some twenty times by each
    # member.
    assert sum(m.counts.get("accusations", 0) for m in net.members.values()) <= 6
    assert (sum(net.bytes_sent.values()) - before) / 60 / 40 < 1800


def test_a_third_suspended_at_once_causes_no_deaths() -> None:
    for seed in (6, 7, 8):
        net = up(60, seed)
        net.suspend([f"m{n}" for n in range(0, 60, 3)], 2.0)
        net.advance(15)
        assert not deaths(net), seed


def test_a_sender_of_a_stale_suspicion_is_sent_the_refutation() -> None:
    net = up(6)
    m, now = net.members["m0"].members["m1"].record, net.now
    old = replace(m, incarnation=m.incarnation - 1, state=MemberState.SUSPECTED, accuser="m2")
    net.members["m0"].receive(
        now, net.address_of("m2"), Message(MessageKind.GOSSIP, "m2", records=(old,))
    )
    ((to, said),) = net.members["m0"].outbox
    assert to == net.address_of("m2")
    assert m in said.records


def test_a_sync_sends_only_the_partitions_that_differ() -> None:
    net = up(60)
    a, b = net.members["m0"], net.members["m1"]
    assert a.partition_digests() == b.partition_digests()
    assert len(set(a.partition_digests())) > PARTITIONS // 2
    a.set_metadata(b"news")
    a.take_outbox()
    b.take_outbox()
    b.receive(
        net.now,
        a.address,
        Message(MessageKind.DIGEST, "m0", a.digest(), partition_digests=a.partition_digests()),
    )
    told = [r.name for _, message in b.outbox for r in message.records]
    assert "m0" in told
    assert len(told) <= 60 // 4
    assert sum(message.full_sync for _, message in b.outbox) == 1


def test_one_way_partitions_between_one_and_some_cause_no_deaths() -> None:
    net = up(20)
    net.partition(["m3"], ["m4", "m6", "m7", "m9"], both_ways=False)
    net.advance(30)
    assert not deaths(net)


def test_repeated_unconfirmed_suspicions_are_held_back() -> None:
    # m3 hears nobody but by way of m4, which hears it: all that it accuses refute, and the news
    # comes round.
    net = up(8)
    others = [f"m{n}" for n in range(8) if n != 3]
    net.partition([o for o in others if o != "m4"], ["m3"], both_ways=False)
    net.advance(240)
    m = net.members["m3"]
    before = m.counts["accusations"]
    net.advance(240)  # one in `SPARED_MS` of each at the most; it would be one in 47 s
    assert m.counts.get("held_back", 0) > 0
    assert before <= (MAX_REFUTED_SUSPICIONS + 1) * len(others)
    assert m.counts["accusations"] - before <= 2 * len(others)
    assert not deaths(net)


def test_an_isolated_member_restarts_its_suspicions_when_datagrams_come_again() -> None:
    for seed in range(1, 6):
        net = up(12, seed)
        others = [f"m{n}" for n in range(12) if n != 3]
        net.partition(others, ["m3"], both_ways=False)
        net.advance(10)
        net.partitioned.clear()
        net.advance(15)
        # Meanwhile all others have refuted what it said of them, and it has heard none of that.
        assert deaths(net) <= {"m3"} and net.members["m3"].counts["deaf"] == 1, seed


def test_a_death_is_detected_by_others_where_one_holds_its_suspicions_back() -> None:
    net = up(8)
    m = net.members["m3"]
    m.members["m5"].refuted_suspicions_at.extend([net.now - 2000.0, net.now - 1000.0, net.now])
    net.kill(["m5"])
    net.advance(12)
    assert len(net.members_believing("m5", MemberState.DEAD)) == 7


def test_a_partitioned_rack_reports_its_visible_fraction_and_rejoins() -> None:
    net = up(18)
    rack, rest = [f"m{n}" for n in range(6)], [f"m{n}" for n in range(6, 18)]
    net.partition(rack, rest)
    net.advance(60)
    assert net.members["m0"].view.members == tuple(sorted(rack))
    assert net.members["m0"].view.visible_fraction < 0.4
    assert net.members["m9"].view.members == tuple(sorted(rest))
    assert 0.6 < net.members["m9"].view.visible_fraction < 0.7
    net.partitioned.clear()
    assert net.advance_until(net.has_converged, 60) < 40


def test_a_restart_faster_than_detection_raises_the_incarnation() -> None:
    net = up(12)
    before = net.members["m5"].members["m5"].record.incarnation
    net.kill(["m5"])
    net.advance(0.4)
    net.start("m5")
    net.advance(6)
    assert net.has_converged()
    assert not deaths(net)
    assert net.members["m5"].members["m5"].record.incarnation > before


def test_of_two_members_with_one_name_one_falls_silent() -> None:
    net = up(6)
    net.members["m9"] = Membership(
        net.now,
        "m2",
        net.address_of("m9"),
        net.seed_addresses,
        net.rng.random,
        net.make_logger("m9"),
    )
    net.run_member("m9", net.members["m9"])
    net.advance(30)
    silent = [n for n in ("m2", "m9") if net.members[n].is_silenced]
    assert len(silent) == 1
    assert any(who in silent and "conflict member=m2" in text for _, who, text in net.logs)
    last = max(m.members["m2"].record.incarnation for m in net.members.values())
    net.advance(30)
    assert max(m.members["m2"].record.incarnation for m in net.members.values()) == last


def test_a_flapping_member_is_damped_until_it_is_stable() -> None:
    net = up(8)
    for _ in range(4):
        net.suspend(["m4"], 9.0)
        net.advance(13)
    held = [
        n
        for n in net.running()
        if n != "m4" and net.members[n].members["m4"].damped_since is not None
    ]
    assert held
    assert net.members[held[0]].counts["flapping"] >= 1
    net.advance(40)
    assert net.has_converged()
    assert all("m4" in net.members[n].view.members for n in net.running())


def test_a_member_without_a_seed_joins_when_one_is_up() -> None:
    net = MembershipSimulation(4, seed_count=1)
    net.kill(["m0"])
    net.advance(8)
    assert all(net.members[n].active_members() == [n] for n in ("m1", "m2", "m3"))
    net.start("m0")
    assert net.advance_until(net.has_converged, 30) < 20


def test_a_member_that_leaves_is_not_called_dead() -> None:
    net = up(12)
    m = net.members["m3"]
    m.leave(net.now)
    net.send_outbox("m3", m)
    net.kill(["m3"])
    net.advance(4)
    assert len(net.members_believing("m3", MemberState.LEFT)) == 11
    assert not deaths(net)


def test_metadata_reaches_all_members_and_the_latest_prevails() -> None:
    net = up(12)
    net.members["m2"].set_metadata(b"first")
    net.members["m2"].set_metadata(b"second")
    net.advance(8)
    assert {net.members[n].members["m2"].record.metadata for n in net.running()} == {b"second"}
    with pytest.raises(ValueError):
        net.members["m2"].set_metadata(b"x" * 65)


def test_a_members_traffic_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (12, 60):
        net = up(count)
        net.advance(30)
        before, begun = sum(net.bytes_sent.values()), net.now
        net.advance(30)
        rates.append((sum(net.bytes_sent.values()) - before) / count / (net.now - begun) * 1000)
    assert max(rates) < 1000
    assert rates[1] < 1.6 * rates[0]


def test_records_of_an_old_incarnation_change_nothing() -> None:
    net = up(6)
    m = net.members["m0"]
    m.members["m1"].record = Record("m1", net.address_of("m1"), 5, MemberState.ALIVE)
    m.counts.clear()
    before = dict(m.members)
    for state in MemberState:
        m.receive(
            net.now,
            net.address_of("m2"),
            Message(MessageKind.GOSSIP, "m2", records=(Record("m1", ("x", 1), 4, state),)),
        )
    assert m.members["m1"].record.incarnation == 5
    assert m.counts["stale"] == 4
    assert set(m.members) == set(before)


def test_forged_names_take_bounded_memory_and_evict_no_member() -> None:
    net = up(6)
    m = net.members["m0"]
    for n in range(3 * MAX_MEMBERS):
        state = MemberState(n % 4)
        m.receive(
            net.now,
            ("10.9.0.1", 7),
            Message(MessageKind.GOSSIP, "m1", records=(Record(f"x{n}", ("x", 1), 1, state),)),
        )
    m.take_outbox()
    assert len(m.members) == MAX_MEMBERS
    assert len(m.dissemination.transmissions) <= MAX_MEMBERS
    assert m.counts["crowded"] > 0
    assert all(m.state_of(f"m{n}") == MemberState.ALIVE for n in range(6))


# ---- the state machine, explored


class Chance:
    """Draws that a copy goes on with by itself."""

    def __init__(self, n: int) -> None:
        self.n = n

    def __call__(self) -> float:
        self.n = self.n * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1
        return (self.n >> 33) / 2**31


class World:
    """Some members, the datagrams between them, and one step at a time."""

    def __init__(self, count: int = 3) -> None:
        self.now = 0.0
        at = {f"m{n}": (f"10.0.0.{n}", 7) for n in range(count)}
        self.at, self.flying = at, list[tuple[str, str, Message]]()
        self.members = {
            n: Membership(0.0, n, a, (at["m0"],), Chance(ord(n[1]))) for n, a in at.items()
        }
        for n, m in self.members.items():
            for other, address in at.items():
                if other != n:
                    m.members[other] = Member(Record(other, address, 1, MemberState.ALIVE), 0.0)
            m.views.note_change(0.0)  # its view has them from the first quiet second on
        self.highest = {
            n: m.members[n].record.incarnation for n, m in self.members.items()
        }  # of each owner
        self.dead: dict[
            tuple[str, str], int
        ] = {}  # by member and subject: the incarnation called dead
        self.seen: dict[tuple[str, str], int] = {}

    def steps(self) -> list[tuple]:
        found: list[tuple] = [("tick", n, ms) for n in self.members for ms in (500.0, 4000.0)]
        for i in range(min(3, len(self.flying))):
            found += [("come", i), ("lose", i), ("twice", i)]
        return found + [("restart", "m1")]

    def step(self, what: tuple) -> None:
        if what[0] == "tick":
            self.now += what[2]
            self.members[
                what[1]
            ].due = self.now  # it was due just now; the others stood still or not
            self.members[what[1]].tick(self.now)
        elif what[0] == "restart":
            self.members[what[1]] = Membership(
                self.now, what[1], self.at[what[1]], (self.at["m0"],), Chance(99)
            )
            self.seen = {k: v for k, v in self.seen.items() if k[0] != what[1]}
            self.dead = {k: v for k, v in self.dead.items() if k[0] != what[1]}
        else:
            source, to, message = self.flying[what[1]]
            if what[0] != "twice":
                del self.flying[what[1]]
            if what[0] != "lose":
                self.members[to].receive(self.now, self.at[source], message)
        for n, m in self.members.items():
            names = {a: o for o, a in self.at.items()}
            self.flying += [
                (n, names[to], message) for to, message in m.take_outbox() if names.get(to, n) != n
            ]
        del self.flying[:-8]  # the oldest are lost
        self.check()

    def settle(self) -> None:
        """All faults end: members tick when they are due, datagrams come. Stated times: nobody
        that runs is
        held dead after `HEALED_MS`, and all views are one after `SAME_MS`."""
        begun = self.now
        for m in self.members.values():
            m.due = min(m.due, self.now + PROBE_PERIOD_MS)
        while self.now < begun + SAME_MS:
            self.now += 250.0
            for n, m in self.members.items():
                if self.now >= m.due:
                    self.step(("tick", n, 0.0))
            for _ in range(200):  # answers to answers, too
                if not self.flying:
                    break
                self.step(("come", 0))
            if self.now >= begun + HEALED_MS:
                for n, m in self.members.items():
                    dead = [o for o, x in m.members.items() if x.record.state >= MemberState.DEAD]
                    assert not dead, f"{n} holds {dead} for dead"
        views = {m.view.members for m in self.members.values()}
        assert views == {tuple(sorted(self.members))}, f"views differ: {views}"

    def check(self) -> None:
        for n, m in self.members.items():
            self.highest[n] = max(self.highest[n], m.members[n].record.incarnation)
        for n, m in self.members.items():
            for other, member in m.members.items():
                r = member.record
                assert r.incarnation >= self.seen.get((n, other), 0), "an incarnation went back"
                self.seen[n, other] = r.incarnation
                assert r.incarnation <= self.highest[other], "raised by another than its owner"
                if r.state == MemberState.DEAD:
                    self.dead[n, other] = r.incarnation
                dead = self.dead.get((n, other), 0)
                assert r.state >= MemberState.DEAD or r.incarnation > dead, "the dead returned"

    def key(self) -> str:
        known = [
            (
                n,
                sorted((o, x.record.incarnation, x.record.state) for o, x in m.members.items()),
                m.detector.probe
                and (
                    m.detector.probe.target,
                    m.detector.probe.is_indirect,
                    m.detector.probe.is_answered,
                ),
            )
            for n, m in self.members.items()
        ]
        return repr(
            (known, [(a, b, m.kind, m.records) for a, b, m in self.flying], self.now // 2000)
        )


def explored(depth: int, most: int, count: int = 3) -> int:
    """All states to that depth, at most so many: their number. Some of the last are left to
    settle, too."""
    seen, edge = set[str](), [World(count)]
    for _ in range(depth):
        after = []
        for world in edge:
            for what in world.steps():
                new = copy.deepcopy(world)
                new.step(what)
                if (key := new.key()) not in seen:
                    seen.add(key)
                    after.append(new)
                if len(seen) >= most:
                    break
            if len(seen) >= most:
                break
        edge = after or edge
    for world in edge[-8:]:
        world.settle()
    return len(seen)


def walked(seed: int, steps: int, count: int = 3) -> World:
    rng, world = random.Random(seed), World(count)
    for _ in range(steps):
        world.step(rng.choice(world.steps()))
    return world


@pytest.mark.parametrize(("count", "depth", "states"), [(3, 4, 3000), (4, 4, 3000)])
def test_no_state_of_three_or_four_members_breaks_an_invariant(
    count: int, depth: int, states: int
) -> None:
    assert explored(depth, states, count) >= states
    for seed in range(40):
        walked(seed, 150, count)


@pytest.mark.parametrize("count", [3, 4])
def test_after_faults_no_one_is_held_dead_and_views_converge(count: int) -> None:
    for seed in range(12):
        walked(seed, 120, count).settle()


def _never(right: Callable) -> Callable:
    return lambda *_: None


def _nothing(right: Callable) -> Callable:
    return lambda *_: ()


def _once(right: Callable) -> Callable:
    def wrong(self: Membership, now: float) -> None:
        if self.view.version < 1:
            right(self, now)

    return wrong


@pytest.mark.parametrize(
    ("wrong", "said"),
    [
        # Nobody refutes what is said of it.
        ({(Membership, "_apply_own_record"): _never}, "for dead"),
        # Who missed gossip is never told.
        (
            {
                (Dissemination, "send_known_records"): _never,
                (Dissemination, "select_gossip"): _nothing,
                (AntiEntropy, "reconnect"): _never,
            },
            "for dead",
        ),
        ({(Membership, "_settle_view"): _once}, "views differ"),
    ],
)
def test_an_injected_fault_keeps_members_dead_or_views_apart(
    wrong: dict[tuple[type, str], Callable], said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    for (owner, method), made in wrong.items():
        monkeypatch.setattr(owner, method, made(getattr(owner, method)))
    with pytest.raises(AssertionError, match=said):
        for seed in range(12):
            walked(seed, 120).settle()


def _raise_another(right: Callable) -> Callable:
    def wrong(self: Membership, now: float, probe: Probe) -> None:
        m = self.members.get(probe.target)
        if m is not None and m.record.state == MemberState.ALIVE:
            m.record = replace(m.record, incarnation=m.record.incarnation + 1)
        right(self, now, probe)

    return wrong


def _take_all(right: Callable) -> Callable:
    def wrong(self: Roster, now: float, r: Record, evidence: str = "") -> None:
        if r.name in self.members:
            self.members[r.name].record = r
        else:
            right(self, now, r, evidence)

    return wrong


@pytest.mark.parametrize(
    ("owner", "method", "wrong", "said"),
    [
        (Membership, "_suspect", _raise_another, "raised by another"),
        (Roster, "apply", _take_all, "went back|returned"),
    ],
)
def test_an_injected_fault_breaks_an_invariant(
    owner: type, method: str, wrong: Callable, said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, method, wrong(getattr(owner, method)))
    with pytest.raises(AssertionError, match=said):
        for seed in range(40):
            walked(seed, 150)


# ---- datagrams


def test_a_datagram_is_read_as_written_and_an_altered_one_is_refused() -> None:
    codec, rng = Codec("f"), random.Random(3)
    news = tuple(
        Record(f"m{n}", ("10.0.0.1", 7946), n, MemberState(n % 4), "m2", n, b"\x00" * n)
        for n in range(8)
    )
    m = Message(MessageKind.PROBE_REQUEST, "m1", 77, "m2", news, True)
    data = codec.write(m)
    assert codec.read(data) == m
    assert len(data) <= MAX_BYTES
    for at in range(len(data)):
        turned = bytearray(data)
        turned[at] ^= 1 << rng.randrange(8)
        for wrong in (data[:at], bytes(turned)):
            with pytest.raises(ValueError):
                codec.read(wrong)
    for other, said in ((Codec("g"), "foreign"), (Codec("f", b"key"), "torn")):
        with pytest.raises(ValueError, match=said):
            other.read(data)
    many = Message(MessageKind.GOSSIP, "m1", records=news * 40)
    assert len(codec.write(many)) <= MAX_BYTES
    assert codec.read(codec.write(many)).records[:8] == news


def test_later_fields_of_a_datagram_are_skipped_and_wrong_ones_refused() -> None:
    import msgspec

    codec = Codec("f")

    def made(body: object) -> bytes:
        raw = msgspec.msgpack.encode(body)
        return codec.write(Message(MessageKind.GOSSIP, "m"))[:12] + codec.checksum(raw) + raw

    record = ["m1", "10.0.0.1", 7946, 1, 0, "", 0, b""]
    good = [3, "m1", 0, "", False, [[*record, "more", 2]], [7] * PARTITIONS, b"data", {"later": 1}]
    assert codec.read(made(good)).records[0].name == "m1"
    assert codec.read(made(good)).partition_digests == (7,) * PARTITIONS
    assert codec.read(made(good)).payload == b"data"
    assert codec.read(made(good[:6])).partition_digests == ()  # an earlier version tells none
    assert codec.read(made(good[:7])).payload == b""  # nor of this
    few = [7] * (PARTITIONS - 1)
    bad = ((6, few), (6, [*few, 1 << 16]), (6, [*few, -1]), (6, 5), (6, ["x"] * PARTITIONS))
    bad += ((7, "text"), (7, b"x" * 1001))
    for at, value in ((0, 9), (1, ""), (1, 5), (2, -1), (4, 1), (5, [record[:5]]), (5, 7), *bad):
        with pytest.raises(ValueError, match="wrong"):
            codec.read(made(good[:at] + [value] + good[at + 1 :]))
    for at, value in ((0, "x" * 101), (2, 70000), (3, -1), (4, 9), (7, b"x" * 65), (7, "text")):
        wrong = record[:at] + [value] + record[at + 1 :]
        with pytest.raises(ValueError, match="wrong"):
            codec.read(made([3, "m1", 0, "", False, [wrong]]))


@pytest.mark.parametrize(
    ("table", "said"),
    [
        ({}, "listen"),
        ({"listen": "x"}, "listen"),
        ({"listen": "h:1", "seeds": "h:1"}, "seeds"),
        ({"listen": "h:1", "seeds": ["h"]}, "seeds"),
        ({"listen": "h:1", "dial": {"h:1": "h"}}, "dial"),
        ({"listen": "h:1", "fleat": ""}, "fleat"),
    ],
)
def test_a_wrong_setting_of_members_is_reported_with_its_name(table: dict, said: str) -> None:
    with pytest.raises(ValueError, match=said):
        parse_settings(table)


def test_the_admin_endpoint_lists_the_members_where_the_node_is_one() -> None:
    s = NodeOnMemoryNetwork(1)
    assert s.socket_node.admin_server.answer(b"MEMBERS") == b"NO no members here"
    port = attach(parse_settings({"listen": "10.0.0.1:7946"}), s.socket_node)
    suspect = Record("n2", ("10.0.0.2", 7946), 3, MemberState.SUSPECTED, "n9")
    port.membership.members["n2"] = Member(suspect, s.socket_node.clock.now())
    lines = s.socket_node.admin_server.answer(b"MEMBERS").decode().splitlines()
    assert lines[0].startswith("view=0 members=1")
    assert lines[-1] == "END"
    assert any(line.startswith("n2 suspected for=") and line.endswith("by=n9") for line in lines)
    wrong = CliRunner().invoke(main, ["members", "nowhere"])
    assert wrong.exit_code == 2
    assert "'nowhere' is neither a file nor an address" in wrong.output


def test_a_node_without_the_section_imports_nothing_of_members() -> None:
    code = (
        "import sys, hookpitch.__main__, hookpitch.service, hookpitch.net.node; "
        "print([m for m in sys.modules if 'members' in m or 'msgspec' in m or m.endswith('net.snapshot_store')])"  # noqa: E501
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=30
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr


def test_floods_and_foreign_datagrams_are_bounded_and_raise_nothing() -> None:
    s = NodeOnMemoryNetwork(1)
    port = attach(parse_settings({"listen": "10.0.0.1:7946"}), s.socket_node)
    for n in range(5000):
        port.datagramReceived(b"HKM" + bytes([n % 7]) * 40, ("10.0.0.9", 1))
    counts = s.counters.counts
    assert counts["members.foreign"] <= 2000
    assert counts["members.flood"] >= 3000
    assert list(port.membership.members) == [s.socket_node.config.name]


# ---- nodes, with faults between them, in both clocks


def verdict(logs: list[tuple[float, str, str]]) -> tuple[set[str], set[str], set[str]]:
    """Who said that n11 (killed) is dead; who was called dead before the rack was cut off; who
    after it."""
    said = [(at, who, text.split()) for at, who, text in logs if " dead" in text]
    found = {who for _, who, words in said if words[0] == "n11"}
    early = {words[0] for at, _, words in said if at < 19000.0}
    return found, early, {words[0] for at, _, words in said if at >= 19000.0}


def test_nodes_detect_a_death_and_no_other_in_virtual_time() -> None:
    run = Run(load(FAULTS), 1)
    ended = run.run()
    assert not ended.violations
    assert not ended.program_errors
    logs = [
        (at, who, text.removeprefix("members: "))
        for at, who, text in ended.logs
        if "members: " in text
    ]
    found, early, later = verdict(logs)
    assert len(found) == 11
    assert early == {"n11"}
    assert {"n0", "n1", "n2"} <= later
    views = {
        n.node.membership.membership.view.members for n in run.nodes.values() if n.node is not None
    }
    assert views == {tuple(sorted(f"n{n}" for n in range(11)))}


def test_nodes_detect_a_death_and_no_other_on_processes(tmp_path: Path) -> None:
    words = [sys.executable, "-m", "hookpitch.cli", "lab", "run", str(FAULTS), "--clock", "wall"]
    for _ in range(2):
        done = subprocess.run(
            [*words, "--logs", str(tmp_path)], cwd=ROOT, text=True, capture_output=True, timeout=120
        )
        if done.returncode != 3:
            break
    if done.returncode == 3:
        pytest.skip(f"void twice, the rig fell behind: {done.stdout}")
    assert done.returncode == 0, done.stdout + done.stderr
    from datetime import datetime

    logs, serving = [], []
    for path in tmp_path.glob("n*.log"):
        for line in path.read_text().splitlines():
            event = json.loads(line)
            at = datetime.fromisoformat(event["timestamp"]).timestamp() * 1000
            if event["event"] == "serving":
                serving.append(at)
            if event["event"] == "members":
                logs.append((at, path.stem, event["what"]))
    begun = max(serving)
    found, early, later = verdict([(at - begun, who, text) for at, who, text in logs])
    assert len(found) >= 10
    assert early == {"n11"}
    assert {"n0", "n1", "n2"} <= later
    last = {}
    for _, who, text in sorted(logs):
        last[who, text.split()[0]] = text.split()[1].strip(",")
    back = [state for (who, of), state in last.items() if of in ("n0", "n1", "n2") and who != "n11"]
    assert set(back) <= {"alive", "left"}  # the rack is back
