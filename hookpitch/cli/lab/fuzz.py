"""The command `hookpitch lab fuzz`, which searches for experiments that break a rule."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import click

from hookpitch.cli.errors import fail


@click.command()
@click.option("--runs", type=int, default=100, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Write the findings to this directory, as experiment files.",
)
@click.option(
    "--only",
    help="Only these kinds of faults, separated by commas; `links` and `processes` are groups.",
)
@click.option(
    "--clock", type=click.Choice(["virtual", "wall"]), default="virtual", show_default=True
)
def fuzz(runs: int, seed: int, keep: Path | None, only: str | None, clock: str) -> None:
    """Run random experiments, and reduce those that break a rule.

    With --clock wall, experiments are not reduced.
    """
    kinds = _fault_kinds(only)
    if clock == "wall":
        found_any = _fuzz_on_processes(runs, seed, keep, kinds)
    else:
        found_any = _fuzz_in_virtual_time(runs, seed, keep, kinds)
    sys.exit(1 if found_any else 0)


def _fault_kinds(only: str | None) -> Sequence[str]:
    """Return the kinds of faults that the option names, or all kinds."""
    from hookpitch.testbed.experiment_schema import LINK_FAULTS, PROCESS_FAULTS
    from hookpitch.testbed.fuzz_draw import FAULT_KINDS

    groups = {"links": LINK_FAULTS, "processes": PROCESS_FAULTS}
    words = only.split(",") if only else []
    kinds = [kind for word in words for kind in groups.get(word, (word,))]
    for kind in kinds:
        if kind not in FAULT_KINDS:
            fail(
                f"--only: unknown kind '{kind}', expected links, processes, "
                f"{', '.join(FAULT_KINDS)}"
            )
    return kinds or FAULT_KINDS


def _fuzz_on_processes(runs: int, seed: int, keep: Path | None, kinds: Sequence[str]) -> bool:
    from hookpitch.testbed.fuzz import fuzz_on_processes

    broken, void = fuzz_on_processes(runs, seed, click.echo, kinds, keep)
    click.echo(f"{runs} runs on processes, {broken} found, {void} void")
    return broken > 0


def _fuzz_in_virtual_time(runs: int, seed: int, keep: Path | None, kinds: Sequence[str]) -> bool:
    from hookpitch.testbed import fuzz as fuzzing
    from hookpitch.testbed.fuzz_draw import experiment_text

    findings = fuzzing.fuzz(runs, seed, lambda text: click.echo(text, err=True), kinds)
    for finding in findings:
        click.echo(f"seed {finding.seed}: {', '.join(finding.rules)}\n  {finding.first_violation}")
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            (keep / f"{finding.smallest.name}.toml").write_text(experiment_text(finding.smallest))
    click.echo(f"{runs} runs, {len(findings)} found")
    return bool(findings)
