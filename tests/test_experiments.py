"""Experiments hold in virtual time, drawn ones break no rule, and one that does is shrunk to a
small file."""

from pathlib import Path

import pytest

from hookpitch.testbed import fuzz
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.metrics import expected
from hookpitch.testbed.run import Run

PLACE = Path(__file__).parent.parent / "experiments"
FILES = sorted(path for path in PLACE.rglob("*.toml") if not path.stem.startswith("start-"))


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_an_experiments_rules_and_expectations_hold(path: Path) -> None:
    ended = Run(load(path), load(path).seed).run()
    assert not ended.broken, str(ended.broken[0])
    assert not ended.faults
    assert not [(e.text, value) for e, value, holds in expected(ended) if not holds]


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        *((5000 + n, fuzz.OLDER) for n in range(8)),
        *((100 + n, fuzz.FAULTY) for n in (3, 26, 28, 46, 1, 2)),
    ],
)
def test_drawn_experiments_break_no_rule(seed: int, kinds: tuple[str, ...]) -> None:
    ended = fuzz.attempt(fuzz.whole(fuzz.draw(seed, kinds)))
    assert not ended.broken, str(ended.broken[0])
    assert not ended.faults


def test_a_failing_experiment_is_shrunk_to_a_file_that_plays_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    x = fuzz.draw(7)
    broken = fuzz.rules_broken

    def as_if(ended: object) -> list[str]:  # a rule that any drain breaks
        silent = any(f.what == "silence" for f in ended.experiment.fault)
        return [*broken(ended), *(["rule 9"] if silent else [])]

    monkeypatch.setattr(fuzz, "rules_broken", as_if)
    small = fuzz.shrink(x, ["rule 9"], most=40)
    assert [f.what for f in small.fault] == ["silence"] and small.traffic.rate < x.traffic.rate
    assert read(fuzz.text(small)) == small
