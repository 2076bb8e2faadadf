"""Placement binds every transmission, and where gone is advice a listing as gone binds none."""

from pathlib import Path
from zlib import crc32

import pytest
from fleet import ORIGIN_KIND, Fleet, make_deployment, make_endpoint

from hookpitch.balancer.deployment import parse_deployment as read
from hookpitch.balancer.errors import SettingsError
from hookpitch.balancer.interface import EndpointState, EndpointUpdate, Method, Outcome
from hookpitch.balancer.placement import BUCKETS, Placement
from hookpitch.fakes.history import History
from hookpitch.testbed.experiment import load
from hookpitch.testbed.judge import Judge
from hookpitch.testbed.rules import Rules
from hookpitch.testbed.run import Run

ON_STD = Method("status", 400.0, 1000.0, 1.0, kinds=("std",))


def fleet(servers: int = 6, method: Method = ON_STD, **changes: object) -> Fleet:
    """Caches of odd numbers are of kind std; the helper fails a test whose RPC strays."""
    methods = (method, Method("page", 400.0, 1000.0, 1.0))
    f = Fleet(make_deployment(methods=methods, kinds=("fast", "std"), **changes))
    caches = [make_endpoint(f"s{i}", kind=i % 2) for i in range(servers)]
    f.receive_endpoints([*caches, make_endpoint("o1", kind=ORIGIN_KIND)], EndpointUpdate.CACHED)
    return f


def test_first_and_further_attempts_go_to_allowed_backends_only() -> None:
    f = fleet(max_attempts=5)
    for i in range(60):
        rpc = f.arrive(f"k{i}")
        while rpc in f.open_rpcs and f.attempts[rpc] and not f.attempts[rpc][-1].done:
            f.end_attempt(rpc, Outcome.OVERLOADED if len(f.attempts[rpc]) % 2 else Outcome.RESET)
    assert {to for _, to, _ in f.sends} <= {"s1", "s3", "s5", "o1"}


@pytest.mark.parametrize("copies", [True, False])
def test_hedged_requests_and_failover_stay_within_constraints(copies: bool) -> None:
    f = fleet(hedging_allowed=copies)
    for i in range(200):  # far more than three servers are let bear
        f.arrive(f"k{i % 9}")
        f.pass_time(3.0)
    f.pass_time(2000.0)
    assert {to for _, to, _ in f.sends} <= {"s1", "s3", "s5", "o1"} and not f.open_rpcs


class Walked(list):
    """A ring that counts how often it is looked at."""

    looks = 0

    def __getitem__(self, at: int) -> int:
        self.looks += 1
        return super().__getitem__(at)


def test_a_method_without_an_allowed_backend_costs_no_walk_of_the_ring() -> None:
    f = fleet(12)
    for i in range(60):
        f.arrive(f"k{i}", "status")
    ring = f.router.ring.points = Walked(f.router.ring.points)
    for i in range(1, 12, 2):  # those of kind std drain, one after the other
        f.receive_endpoints(
            [make_endpoint(f"s{i}", EndpointState.DRAINING, kind=1)], EndpointUpdate.DELTA
        )
    assert not [b.primary for b in f.router.placement.buckets.values() if b.kinds and b.primary]
    assert ring.looks < 40 * len(f.router.placement.buckets) * 6 < len(ring) * 60


def test_a_hot_key_is_spread_over_allowed_backends() -> None:
    taken = set[str]()
    for seed in range(12):
        f = fleet(16, seed=seed)
        f.request_hot_key()
        taken.add(f.router.placement.bucket(crc32(b"hot") % BUCKETS, ("std",)).primary.id)
    assert len(taken) > 1 and all(int(id[1:]) % 2 for id in taken)


def test_rebalancing_moves_no_bucket_to_a_backend_that_is_not_allowed() -> None:
    f = fleet(4)
    for i in range(900):  # s0 and s2 get nothing at all
        f.end_attempt(f.arrive(f"key{i % 40}"), Outcome.COMPLETED)
        f.end_attempt(f.arrive(f"page{i % 7}", "page"), Outcome.COMPLETED)
        f.pass_time(10.0)
    bound = [b for b in f.router.placement.buckets.values() if b.kinds]
    assert bound and all(b.assigned.kind == 1 for b in bound)


def test_a_backend_of_another_kind_that_alone_is_ready_gets_nothing() -> None:
    f = fleet(6)
    f.receive_endpoints(
        [make_endpoint(f"s{i}", EndpointState.REMOVED, kind=1) for i in (1, 3, 5)],
        EndpointUpdate.DELTA,
    )
    rpc = f.arrive("k")
    assert f.answers[rpc] == "exhausted" and not f.sends
    assert f.arrive("k", "page") in f.open_rpcs and f.sends  # what is bound to nothing goes on


def test_a_backend_without_kind_or_zone_gets_unconstrained_methods_only() -> None:
    f = fleet(0, Method("status", 400.0, 1000.0, 1.0, zones=("zone1",)))
    f.receive_endpoints([make_endpoint("s1", kind=-2)])
    f.router.backends["s1"].zone = ""
    f.router.endpoints.rebuild_ring([])
    assert f.answers[f.arrive("k")] == "exhausted" and not f.sends
    assert f.arrive("k", "page") in f.open_rpcs


def test_a_backend_listed_as_another_kind_loses_constrained_methods() -> None:
    f = fleet(2)
    rpc = f.arrive("k")
    assert f.attempts[rpc][0].server == "s1"
    f.end_attempt(rpc, Outcome.COMPLETED)
    f.receive_endpoints(
        [make_endpoint("s1", kind=0), make_endpoint("s0", kind=1)], EndpointUpdate.DELTA
    )
    f.arrive("k")
    assert f.sends[-1][1] == "s0"


def test_constraints_are_read_from_settings_and_one_of_a_wrong_type_is_refused() -> None:
    method = {"name": "m", "hard_deadline_s": 1.0, "allowed_on": ["std"], "runs_in": ["north"]}
    top = {"methods": [method], "rules": {"gone_is_advice": True}}
    d = read(1, top | {"goal": {"log_loss_part": 0.2, "nines_wanted": 3}})
    assert d.methods[0].kinds == ("std",) and d.methods[0].zones == ("north",)
    assert (
        d.removal_is_advisory
        and d.availability_bonus_per_nine == 0.2
        and d.availability_bonus_nines == 3.0
    )
    assert not read(1, {"methods": [{"name": "m", "hard_deadline_s": 1.0}]}).removal_is_advisory
    for bad in ("std", [1], [""]):
        with pytest.raises(ValueError, match="allowed_on"):
            read(1, {"methods": [method | {"allowed_on": bad}]})


@pytest.mark.parametrize(
    ("settings", "text"),
    [
        ([], "settings are no JSON object"),
        ({}, "setting methods is missing"),
        ({"methods": [{"name": "m"}]}, "setting methods[].hard_deadline_s is missing"),
        ({"methods": [], "overage_gain": -1}, "setting overage_gain is no figure from 0 up: -1.0"),
        ({"methods": [], "weights": "x"}, "setting weights has an unknown value 'x'"),
        ({"methods": 3}, "a setting of a wrong type: 'int' object is not iterable"),
    ],
)
def test_a_setting_that_cannot_be_read_raises_a_settings_error_with_its_name(
    settings: object, text: str
) -> None:
    with pytest.raises(SettingsError) as error:
        read(1, settings)
    assert str(error.value) == text and isinstance(error.value, ValueError)


def test_the_judge_sees_an_attempt_outside_its_constraints_and_allows_the_origin() -> None:
    rules = Rules(placement={"status": (("std",), ())})
    for server, broken in (("s1", []), ("s0", ["placement"]), ("origin", [])):
        history = History()
        history.add(0.0, "place", "s0", what="fast z0")
        history.add(0.0, "place", "s1", what="std z1")
        history.add(1000.0, "asked", "n0", "q1", "status", 500.0, 7)
        history.add(1001.0, "came", server, "q1", "n0", 0.0, 1)
        history.add(1002.0, "sent", server, "q1", "hit")
        history.add(1003.0, "answered", "n0", "q1", "completed")
        assert [b.rule for b in Judge(rules).judge(history, 60000.0)] == broken


def test_a_node_without_its_constraint_check_fails_the_experiment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    x = load(Path(__file__).parent.parent / "experiments" / "core-placement.toml")
    assert not Run(x, x.seed).run().violations
    monkeypatch.setattr(Placement, "allows", lambda *_: True)
    assert "placement" in {b.rule for b in Run(x, x.seed).run().violations}
