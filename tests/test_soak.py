"""A short part of the soak; tests/soak.py says what it plays, and plays more seeds by hand."""

import pytest
from soak import play_seed


@pytest.mark.parametrize("seed", [1, 2, 7, 9])
def test_a_run_of_drawn_faults_breaks_no_rule(seed: int) -> None:
    run = play_seed(seed)
    assert not run.violations, run.violations[:5]
