"""`hookpitch lab ...`: experiments."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

PLACE = Path("experiments")


def _find(name: str) -> Path:
    """A file, or an experiment's name."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    for place in (PLACE, PLACE / "found"):
        if (place / f"{name}.toml").exists():
            return place / f"{name}.toml"
    raise ValueError(f"{name}: no file, and no experiment of that name under {PLACE}/")


def _fail(fault: ValueError) -> None:
    click.echo(str(fault), err=True)
    sys.exit(2)


@click.group()
def lab() -> None:
    """Experiments: the real node among stand-ins, under faults, judged."""


@lab.command("list")
def listed() -> None:
    """The experiments at hand."""
    from hookpitch.testbed.experiment import load

    for path in sorted(PLACE.glob("*.toml")) + sorted((PLACE / "found").glob("*.toml")):
        try:
            x = load(path)
        except ValueError as fault:
            click.echo(f"{path.stem:28} cannot be read: {fault}")
            continue
        click.echo(f"{x.name:28} {x.seconds:5g} s  {len(x.fault)} faults  {x.about}")


@lab.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--clock", type=click.Choice(["virtual", "wall"]), default="virtual", show_default=True
)
@click.option("--seed", type=int, help="In place of the file's.")
@click.option(
    "--json", "json_path", type=click.Path(path_type=Path), help="Write the figures there."
)
@click.option("--report", type=click.Path(path_type=Path), help="Write an HTML page there.")
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Keep every process's log there (wall)."
)
def run(
    names: tuple[str, ...],
    clock: str,
    seed: int | None,
    json_path: Path | None,
    report: Path | None,
    logs: Path | None,
) -> None:
    """Run experiments. Exit 0: rules and expectations hold; 1: not; 2: a file is wrong, or a run
    did not come
    about; 3: the rig fell behind, and nothing is judged."""
    from hookpitch.testbed.experiment import load
    from hookpitch.testbed.metrics import summary

    if clock == "wall" and len(names) > 1:
        _fail(ValueError("one experiment at a time with --clock wall: its reactor runs once"))
    good, told = True, list[dict[str, Any]]()
    for name in names:
        try:
            x = load(_find(name))
        except ValueError as fault:
            _fail(fault)
        if clock == "virtual":
            from hookpitch.testbed.run import Run

            ended = Run(x, x.seed if seed is None else seed).run()
        else:
            from hookpitch.testbed.process_run import run_on_loopback

            try:
                progress = _progress if sys.stderr.isatty() else None
                ended = run_on_loopback(x, x.seed if seed is None else seed, logs, progress)
                if progress is not None:
                    click.echo(err=True)
            except ValueError as fault:
                _fail(fault)
        figures = summary(ended)
        told.append(figures)
        good &= _say(figures)
    if json_path is not None:
        json_path.write_text(json.dumps(told if len(told) > 1 else told[0], indent=1))
    if report is not None:
        from hookpitch.testbed.report import page

        report.write_text("".join(page(figures) for figures in told))
    if any(figures["void"] for figures in told):
        sys.exit(3)
    sys.exit(0 if good else 1)


def _progress(text: str) -> None:
    click.echo(f"\r{text}", err=True, nl=False)


def _say(figures: dict[str, Any]) -> bool:
    whole = figures["whole"]
    click.echo(
        f"{figures['name']}: served {whole['served']:.3f}, p99 {whole['p99_ms']:.0f} ms, "
        f"{whole['transmissions']:.2f} transmissions an RPC, {figures['rpcs']} RPCs "
        f"in {figures['real_s']:.1f} s, "
        f"digest {figures['digest'][:12]}"
    )
    for text in figures["void"]:
        click.echo(f"  void: {text}")
    for text in figures["programs"][:5]:
        click.echo(f"  raised: {text}")
    if figures["rig"]:
        who, ms = max(figures["rig"].items(), key=lambda item: item[1])
        click.echo(
            f"  the rig was {ms:.0f} ms late at the worst ({who}); bounds are wider by twice that"
        )
    for text in figures["broken"][:5]:
        click.echo(f"  broken: {text}")
    if len(figures["broken"]) > 5:
        click.echo(f"  and {len(figures['broken']) - 5} more")
    for expected in figures["expected"]:
        mark = "holds" if expected["holds"] else "DOES NOT HOLD"
        click.echo(f"  {expected['text']}: {expected['figure']:g}, {mark}")
    return (
        not figures["broken"]
        and not figures["programs"]
        and all(e["holds"] for e in figures["expected"])
    )


@lab.command()
@click.argument("a", type=click.Path(exists=True, path_type=Path))
@click.argument("b", type=click.Path(exists=True, path_type=Path))
def compare(a: Path, b: Path) -> None:
    """Two files of figures side by side."""
    one, other = (json.loads(p.read_text()) for p in (a, b))
    one, other = (x if isinstance(x, list) else [x] for x in (one, other))
    for x, y in zip(one, other, strict=False):
        click.echo(
            f"{x['name']} and {y['name']}, seeds {x['seed']} and {y['seed']}"
            f"{', the same history' if x['digest'] == y['digest'] else ''}"
        )
        for name, value in x["whole"].items():
            there = y["whole"].get(name, 0.0)
            click.echo(f"  {name:14} {value:10.4f} {there:10.4f} {there - value:+10.4f}")


@lab.command()
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
    from hookpitch.testbed import fuzz as fuzzing
    from hookpitch.testbed import fuzz_draw
    from hookpitch.testbed.experiment_schema import LINK_FAULTS, PROCESS_FAULTS

    groups = {"links": LINK_FAULTS, "processes": PROCESS_FAULTS}
    words = only.split(",") if only else []
    kinds = [kind for word in words for kind in groups.get(word, (word,))] or fuzz_draw.KINDS
    for kind in kinds:
        if kind not in fuzz_draw.KINDS:
            _fail(
                ValueError(
                    f"--only: '{kind}' is none of links, processes, {', '.join(fuzz_draw.KINDS)}"
                )
            )
    if clock == "wall":
        broke, void = fuzzing.fuzz_on_processes(
            runs, seed, lambda text: click.echo(text), kinds, keep
        )
        click.echo(f"{runs} runs on processes, {broke} found, {void} void")
        sys.exit(1 if broke else 0)
    found = fuzzing.fuzz(runs, seed, lambda text: click.echo(text, err=True), kinds)
    for one in found:
        click.echo(f"seed {one.seed}: {', '.join(one.broken)}\n  {one.first}")
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            (keep / f"{one.small.name}.toml").write_text(fuzz_draw.experiment_text(one.small))
    click.echo(f"{runs} runs, {len(found)} found")
    sys.exit(1 if found else 0)
