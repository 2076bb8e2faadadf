"""Tests that experiments hold in virtual time, and of the fuzzer that draws and shrinks them."""

from pathlib import Path

import pytest

from hookpitch.testbed import fuzz, fuzz_draw
from hookpitch.testbed.experiment import load, read
from hookpitch.testbed.metrics import check_expectations
from hookpitch.testbed.run import Run

FOLDER = Path(__file__).parent.parent / "experiments"
FILES = sorted(path for path in FOLDER.rglob("*.toml") if not path.stem.startswith("start-"))


@pytest.mark.parametrize("path", FILES, ids=lambda file: file.stem)
def test_an_experiments_rules_and_expectations_hold(path: Path) -> None:
    ended = Run(load(path), load(path).seed).run()
    assert not ended.violations, str(ended.violations[0])
    assert not ended.program_errors
    assert not [
        (expectation.text, value)
        for expectation, value, holds in check_expectations(ended)
        if not holds
    ]


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        *((5000 + offset, fuzz_draw.SINGLE_KINDS) for offset in range(8)),
        *((100 + offset, fuzz_draw.GROUP_KINDS) for offset in (3, 26, 28, 46, 1, 2)),
    ],
)
def test_drawn_experiments_break_no_rule(seed: int, kinds: tuple[str, ...]) -> None:
    ended = fuzz.attempt(fuzz.reread(fuzz_draw.draw(seed, kinds)))
    assert not ended.violations, str(ended.violations[0])
    assert not ended.program_errors


def test_a_failing_experiment_is_shrunk_to_a_file_that_plays_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    drawn = fuzz_draw.draw(7)
    rules_broken = fuzz.rules_broken

    def with_rule_9(ended: object) -> list[str]:
        """Pretend that any experiment with a silence violates a further rule."""
        has_silence = any(fault.what == "silence" for fault in ended.experiment.fault)
        return [*rules_broken(ended), *(["rule 9"] if has_silence else [])]

    monkeypatch.setattr(fuzz, "rules_broken", with_rule_9)
    shrunk = fuzz.shrink(drawn, ["rule 9"], most=40)
    assert [fault.what for fault in shrunk.fault] == [
        "silence"
    ] and shrunk.traffic.rate < drawn.traffic.rate
    assert read(fuzz_draw.experiment_text(shrunk)) == shrunk
