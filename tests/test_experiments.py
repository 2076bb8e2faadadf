"""Experiments hold in virtual time, drawn ones break no rule, and one that does is shrunk to a
small file."""

from pathlib import Path

import pytest

from hookpitch.testbed import fuzz, fuzz_draw
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.metrics import check_expectations
from hookpitch.testbed.run import Run

PLACE = Path(__file__).parent.parent / "experiments"
FILES = sorted(path for path in PLACE.rglob("*.toml") if not path.stem.startswith("start-"))


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_an_experiments_rules_and_expectations_hold(path: Path) -> None:
    ended = Run(load(path), load(path).seed).run()
    assert not ended.broken, str(ended.broken[0])
    assert not ended.faults
    assert not [(e.text, value) for e, value, holds in check_expectations(ended) if not holds]


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        *((5000 + n, fuzz_draw.SINGLE_KINDS) for n in range(8)),
        *((100 + n, fuzz_draw.GROUP_KINDS) for n in (3, 26, 28, 46, 1, 2)),
    ],
)
def test_drawn_experiments_break_no_rule(seed: int, kinds: tuple[str, ...]) -> None:
    ended = fuzz.attempt(fuzz.reread(fuzz_draw.draw(seed, kinds)))
    assert not ended.broken, str(ended.broken[0])
    assert not ended.faults


def test_a_failing_experiment_is_shrunk_to_a_file_that_plays_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    x = fuzz_draw.draw(7)
    broken = fuzz.rules_broken

    def as_if(ended: object) -> list[str]:  # a rule that any drain breaks
        silent = any(f.what == "silence" for f in ended.experiment.fault)
        return [*broken(ended), *(["rule 9"] if silent else [])]

    monkeypatch.setattr(fuzz, "rules_broken", as_if)
    small = fuzz.shrink(x, ["rule 9"], most=40)
    assert [f.what for f in small.fault] == ["silence"] and small.traffic.rate < x.traffic.rate
    assert read(fuzz_draw.experiment_text(small)) == small
