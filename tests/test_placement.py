"""Tests of placement constraints, which bind every attempt, and of advisory removals."""

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


def make_fleet(cache_count: int = 6, method: Method = ON_STD, **changes: object) -> Fleet:
    """Return a router and its backends; caches with odd numbers are of kind std.

    `Fleet` fails a test in which an attempt goes to a backend that is not allowed.
    """
    methods = (method, Method("page", 400.0, 1000.0, 1.0))
    fleet = Fleet(make_deployment(methods=methods, kinds=("fast", "std"), **changes))
    caches = [make_endpoint(f"s{index}", kind=index % 2) for index in range(cache_count)]
    fleet.receive_endpoints([*caches, make_endpoint("o1", kind=ORIGIN_KIND)], EndpointUpdate.CACHED)
    return fleet


def test_first_and_further_attempts_go_to_allowed_backends_only() -> None:
    fleet = make_fleet(max_attempts=5)
    for index in range(60):
        rpc = fleet.arrive(f"k{index}")
        while rpc in fleet.open_rpcs and fleet.attempts[rpc] and not fleet.attempts[rpc][-1].done:
            fleet.end_attempt(
                rpc, Outcome.OVERLOADED if len(fleet.attempts[rpc]) % 2 else Outcome.RESET
            )
    assert {receiver for _, receiver, _ in fleet.sends} <= {"s1", "s3", "s5", "o1"}


@pytest.mark.parametrize("hedging", [True, False])
def test_hedged_requests_and_failover_stay_within_constraints(hedging: bool) -> None:
    fleet = make_fleet(hedging_allowed=hedging)
    for index in range(200):  # far more RPCs than the limits of three servers admit
        fleet.arrive(f"k{index % 9}")
        fleet.pass_time(3.0)
    fleet.pass_time(2000.0)
    assert {receiver for _, receiver, _ in fleet.sends} <= {
        "s1",
        "s3",
        "s5",
        "o1",
    } and not fleet.open_rpcs


class CountingRing(list):
    """The points of a ring, with a count of the reads."""

    read_count = 0

    def __getitem__(self, index: int) -> int:
        self.read_count += 1
        return super().__getitem__(index)


def test_a_method_without_an_allowed_backend_costs_no_walk_of_the_ring() -> None:
    fleet = make_fleet(12)
    for index in range(60):
        fleet.arrive(f"k{index}", "status")
    ring = fleet.router.ring.points = CountingRing(fleet.router.ring.points)
    for index in range(1, 12, 2):  # the caches of kind std drain, one after the other
        fleet.receive_endpoints(
            [make_endpoint(f"s{index}", EndpointState.DRAINING, kind=1)], EndpointUpdate.DELTA
        )
    assert not [
        bucket.primary
        for bucket in fleet.router.placement.buckets.values()
        if bucket.kinds and bucket.primary
    ]
    assert ring.read_count < 40 * len(fleet.router.placement.buckets) * 6 < len(ring) * 60


def test_a_hot_key_is_spread_over_allowed_backends() -> None:
    chosen_ids = set[str]()
    for seed in range(12):
        fleet = make_fleet(16, seed=seed)
        fleet.request_hot_key()
        chosen_ids.add(fleet.router.placement.bucket(crc32(b"hot") % BUCKETS, ("std",)).primary.id)
    assert len(chosen_ids) > 1 and all(int(id[1:]) % 2 for id in chosen_ids)


def test_rebalancing_moves_no_bucket_to_a_backend_that_is_not_allowed() -> None:
    fleet = make_fleet(4)
    for index in range(900):  # s0 and s2 get no RPC of the constrained method
        fleet.end_attempt(fleet.arrive(f"key{index % 40}"), Outcome.COMPLETED)
        fleet.end_attempt(fleet.arrive(f"page{index % 7}", "page"), Outcome.COMPLETED)
        fleet.pass_time(10.0)
    constrained = [bucket for bucket in fleet.router.placement.buckets.values() if bucket.kinds]
    assert constrained and all(bucket.assigned.kind == 1 for bucket in constrained)


def test_a_backend_of_another_kind_that_alone_is_ready_gets_nothing() -> None:
    fleet = make_fleet(6)
    fleet.receive_endpoints(
        [make_endpoint(f"s{index}", EndpointState.REMOVED, kind=1) for index in (1, 3, 5)],
        EndpointUpdate.DELTA,
    )
    rpc = fleet.arrive("k")
    assert fleet.answers[rpc] == "exhausted" and not fleet.sends
    # Unconstrained methods are served.
    assert fleet.arrive("k", "page") in fleet.open_rpcs and fleet.sends


def test_a_backend_without_kind_or_zone_gets_unconstrained_methods_only() -> None:
    fleet = make_fleet(0, Method("status", 400.0, 1000.0, 1.0, zones=("zone1",)))
    fleet.receive_endpoints([make_endpoint("s1", kind=-2)])
    fleet.router.backends["s1"].zone = ""
    fleet.router.endpoints.rebuild_ring([])
    assert fleet.answers[fleet.arrive("k")] == "exhausted" and not fleet.sends
    assert fleet.arrive("k", "page") in fleet.open_rpcs


def test_a_backend_listed_as_another_kind_loses_constrained_methods() -> None:
    fleet = make_fleet(2)
    rpc = fleet.arrive("k")
    assert fleet.attempts[rpc][0].server == "s1"
    fleet.end_attempt(rpc, Outcome.COMPLETED)
    fleet.receive_endpoints(
        [make_endpoint("s1", kind=0), make_endpoint("s0", kind=1)], EndpointUpdate.DELTA
    )
    fleet.arrive("k")
    assert fleet.sends[-1][1] == "s0"


def test_constraints_are_read_from_settings_and_one_of_a_wrong_type_is_refused() -> None:
    method = {"name": "m", "hard_deadline_s": 1.0, "allowed_on": ["std"], "runs_in": ["north"]}
    settings = {"methods": [method], "rules": {"gone_is_advice": True}}
    deployment = read(1, settings | {"goal": {"log_loss_part": 0.2, "nines_wanted": 3}})
    assert deployment.methods[0].kinds == ("std",) and deployment.methods[0].zones == ("north",)
    assert (
        deployment.removal_is_advisory
        and deployment.availability_bonus_per_nine == 0.2
        and deployment.availability_bonus_nines == 3.0
    )
    assert not read(1, {"methods": [{"name": "m", "hard_deadline_s": 1.0}]}).removal_is_advisory
    for wrong in ("std", [1], [""]):
        with pytest.raises(ValueError, match="allowed_on"):
            read(1, {"methods": [method | {"allowed_on": wrong}]})


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


def test_the_judge_reports_an_attempt_outside_its_constraints_except_at_the_origin() -> None:
    rules = Rules(placement={"status": (("std",), ())})
    for server, violated in (("s1", []), ("s0", ["placement"]), ("origin", [])):
        history = History()
        history.add(0.0, "place", "s0", what="fast z0")
        history.add(0.0, "place", "s1", what="std z1")
        history.add(1000.0, "asked", "n0", "q1", "status", 500.0, 7)
        history.add(1001.0, "came", server, "q1", "n0", 0.0, 1)
        history.add(1002.0, "sent", server, "q1", "hit")
        history.add(1003.0, "answered", "n0", "q1", "completed")
        assert [violation.rule for violation in Judge(rules).judge(history, 60000.0)] == violated


def test_a_node_without_its_constraint_check_fails_the_experiment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    experiment = load(Path(__file__).parent.parent / "experiments" / "core-placement.toml")
    assert not Run(experiment, experiment.seed).run().violations
    monkeypatch.setattr(Placement, "allows", lambda *_: True)
    assert "placement" in {
        violation.rule for violation in Run(experiment, experiment.seed).run().violations
    }
