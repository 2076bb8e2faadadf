"""The command `hookpitch lab run`, which runs experiments and reports their results."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from hookpitch.cli.errors import exit_on, fail
from hookpitch.cli.lab.files import find_experiment

if TYPE_CHECKING:
    from hookpitch.testbed.base_run import RunResult
    from hookpitch.testbed.experiment_schema import Experiment

MAX_LINES = 5  # printed for each kind of finding
EXIT_BROKEN = 1
EXIT_VOID = 3


@click.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--clock", type=click.Choice(["virtual", "wall"]), default="virtual", show_default=True
)
@click.option("--seed", type=int, help="Use this seed instead of the one in the file.")
@click.option(
    "--json", "json_path", type=click.Path(path_type=Path), help="Write the figures to this file."
)
@click.option("--report", type=click.Path(path_type=Path), help="Write an HTML page to this file.")
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    help="Write the logs of all processes to this directory (with --clock wall).",
)
def run(
    names: tuple[str, ...],
    clock: str,
    seed: int | None,
    json_path: Path | None,
    report: Path | None,
    logs: Path | None,
) -> None:
    """Run experiments.

    Exit code 0: all rules and expectations hold. 1: at least one does not hold. 2: a file is
    invalid, or a run did not start. 3: the test environment fell behind, and the run is void.
    """
    from hookpitch.testbed.metrics import summary

    if clock == "wall" and len(names) > 1:
        fail("--clock wall runs only one experiment, because its reactor cannot be restarted")
    results: list[dict[str, Any]] = []
    for name in names:
        experiment = _load(name)
        run_seed = experiment.seed if seed is None else seed
        if clock == "virtual":
            result = _run_in_virtual_time(experiment, run_seed)
        else:
            result = _run_on_processes(experiment, run_seed, logs)
        figures = summary(result)
        results.append(figures)
        _print_result(figures)
    if json_path is not None:
        json_path.write_text(json.dumps(results if len(results) > 1 else results[0], indent=1))
    if report is not None:
        from hookpitch.testbed.report import render_page

        report.write_text("".join(render_page(figures) for figures in results))
    sys.exit(_exit_code(results))


def _load(name: str) -> Experiment:
    from hookpitch.testbed.experiment import load

    with exit_on(ValueError):
        return load(find_experiment(name))


def _run_in_virtual_time(experiment: Experiment, seed: int) -> RunResult:
    from hookpitch.testbed.run import Run

    return Run(experiment, seed).run()


def _run_on_processes(experiment: Experiment, seed: int, logs: Path | None) -> RunResult:
    from hookpitch.testbed.process_run import run_on_loopback

    show_progress = sys.stderr.isatty()
    with exit_on(ValueError):
        result = run_on_loopback(experiment, seed, logs, _progress if show_progress else None)
    if show_progress:
        click.echo(err=True)
    return result


def _progress(text: str) -> None:
    click.echo(f"\r{text}", err=True, nl=False)


def _exit_code(results: list[dict[str, Any]]) -> int:
    if any(figures["void"] for figures in results):
        return EXIT_VOID
    return 0 if all(_holds(figures) for figures in results) else EXIT_BROKEN


def _holds(figures: dict[str, Any]) -> bool:
    """Return whether no rule was broken, no error was raised, and every expectation holds."""
    return (
        not figures["broken"]
        and not figures["programs"]
        and all(expected["holds"] for expected in figures["expected"])
    )


def _print_result(figures: dict[str, Any]) -> None:
    whole = figures["whole"]
    click.echo(
        f"{figures['name']}: served {whole['served']:.3f}, p99 {whole['p99_ms']:.0f} ms, "
        f"{whole['transmissions']:.2f} transmissions per RPC, {figures['rpcs']} RPCs "
        f"in {figures['real_s']:.1f} s, "
        f"digest {figures['digest'][:12]}"
    )
    for text in figures["void"]:
        click.echo(f"  void: {text}")
    for text in figures["programs"][:MAX_LINES]:
        click.echo(f"  raised: {text}")
    if figures["rig"]:
        name, late_ms = max(figures["rig"].items(), key=lambda item: item[1])
        click.echo(
            f"  the test environment was at most {late_ms:.0f} ms late ({name}); "
            "bounds are extended by twice that"
        )
    for text in figures["broken"][:MAX_LINES]:
        click.echo(f"  broken: {text}")
    if len(figures["broken"]) > MAX_LINES:
        click.echo(f"  and {len(figures['broken']) - MAX_LINES} more")
    for expected in figures["expected"]:
        verdict = "holds" if expected["holds"] else "DOES NOT HOLD"
        click.echo(f"  {expected['text']}: {expected['figure']:g}, {verdict}")
