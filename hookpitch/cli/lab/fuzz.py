"""`hookpitch lab fuzz`."""

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
    "--keep", type=click.Path(path_type=Path), help="Write what is found there, as experiments."
)
@click.option("--only", help="Kinds of faults, with commas; `links` and `processes` are theirs.")
@click.option(
    "--clock", type=click.Choice(["virtual", "wall"]), default="virtual", show_default=True
)
def fuzz(runs: int, seed: int, keep: Path | None, only: str | None, clock: str) -> None:
    """Draw experiments, run them, and shrink those that break a rule (on loopback they stay as
    they are)."""
    kinds = _fault_kinds(only)
    if clock == "wall":
        found_any = _fuzz_on_processes(runs, seed, keep, kinds)
    else:
        found_any = _fuzz_in_virtual_time(runs, seed, keep, kinds)
    sys.exit(1 if found_any else 0)


def _fault_kinds(only: str | None) -> Sequence[str]:
    """The kinds that the option names, or all."""
    from hookpitch.testbed.experiment_schema import LINK_FAULTS, PROCESS_FAULTS
    from hookpitch.testbed.fuzz_draw import KINDS

    groups = {"links": LINK_FAULTS, "processes": PROCESS_FAULTS}
    words = only.split(",") if only else []
    kinds = [kind for word in words for kind in groups.get(word, (word,))]
    for kind in kinds:
        if kind not in KINDS:
            fail(f"--only: '{kind}' is none of links, processes, {', '.join(KINDS)}")
    return kinds or KINDS


def _fuzz_on_processes(runs: int, seed: int, keep: Path | None, kinds: Sequence[str]) -> bool:
    from hookpitch.testbed.fuzz import fuzz_on_processes

    broken, void = fuzz_on_processes(runs, seed, click.echo, kinds, keep)
    click.echo(f"{runs} runs on processes, {broken} found, {void} void")
    return broken > 0


def _fuzz_in_virtual_time(runs: int, seed: int, keep: Path | None, kinds: Sequence[str]) -> bool:
    from hookpitch.testbed import fuzz as fuzzing
    from hookpitch.testbed.fuzz_draw import experiment_text

    found = fuzzing.fuzz(runs, seed, lambda text: click.echo(text, err=True), kinds)
    for finding in found:
        click.echo(f"seed {finding.seed}: {', '.join(finding.broken)}\n  {finding.first}")
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            (keep / f"{finding.small.name}.toml").write_text(experiment_text(finding.small))
    click.echo(f"{runs} runs, {len(found)} found")
    return bool(found)
