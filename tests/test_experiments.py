"""Tests of the experiments in virtual time, and of the fuzzer, which draws and shrinks them."""

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
    result = Run(load(path), load(path).seed).run()
    assert not result.violations, str(result.violations[0])
    assert not result.program_errors
    assert not [
        (expectation.text, value)
        for expectation, value, holds in check_expectations(result)
        if not holds
    ]


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        *((5000 + index, fuzz_draw.SINGLE_FAULT_KINDS) for index in range(8)),
        *((100 + offset, fuzz_draw.GROUP_FAULT_KINDS) for offset in (3, 26, 28, 46, 1, 2)),
    ],
)
def test_drawn_experiments_break_no_rule(seed: int, kinds: tuple[str, ...]) -> None:
    result = fuzz.run_in_virtual_time(fuzz.validate(fuzz_draw.draw_experiment(seed, kinds)))
    assert not result.violations, str(result.violations[0])
    assert not result.program_errors


def test_a_failing_experiment_is_shrunk_and_its_file_reads_back_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    drawn = fuzz_draw.draw_experiment(7)
    violated_rules = fuzz.violated_rules

    def with_rule_9(result: object) -> list[str]:
        """Pretend that any experiment with a silence violates a further rule."""
        has_silence = any(fault.what == "silence" for fault in result.experiment.fault)
        return [*violated_rules(result), *(["rule 9"] if has_silence else [])]

    monkeypatch.setattr(fuzz, "violated_rules", with_rule_9)
    smallest = fuzz.shrink(drawn, ["rule 9"], max_attempts=40)
    assert [fault.what for fault in smallest.fault] == [
        "silence"
    ] and smallest.traffic.rate < drawn.traffic.rate
    assert read(fuzz_draw.experiment_text(smallest)) == smallest
