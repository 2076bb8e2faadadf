"""Runs drawn experiments, and shrinks one that breaks a rule to a small file that reproduces it."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from hookpitch.testbed.base_run import RunResult
from hookpitch.testbed.experiment import read
from hookpitch.testbed.experiment_schema import Experiment
from hookpitch.testbed.fuzz_draw import FAULT_KINDS, draw_experiment, experiment_text
from hookpitch.testbed.run import Run

PARALLEL_RUNS = 4  # on loopback
VOID_STATUS = 3  # the exit status of a run whose testbed fell behind
REPORT_EVERY = 20  # runs


def validate(experiment: Experiment) -> Experiment:
    """The same, checked as a file is; ValueError where its faults do not go together."""
    return read(experiment_text(experiment), experiment.name)


def violated_rules(ended: RunResult) -> list[str]:
    """The rules that were broken, each once; `program` where a program raised."""
    program = {"program"} if ended.program_errors else set()
    return sorted({violation.rule for violation in ended.violations} | program)


@dataclass(slots=True)
class Finding:
    """A drawn experiment that broke rules, and the smallest that still does."""

    seed: int
    rules: list[str]
    smallest: Experiment
    first_violation: str  # the text of the small one's first violation


def fuzz(
    runs: int, seed: int, report: Callable[[str], None], kinds: Sequence[str] = FAULT_KINDS
) -> list[Finding]:
    """Run so many drawn experiments in virtual time and shrink what breaks a rule."""
    found = []
    for number in range(runs):
        experiment = draw_experiment(seed + number, kinds)
        broken = violated_rules(run_in_virtual_time(experiment))
        if broken:
            report(f"seed {seed + number}: {', '.join(broken)}")
            found.append(_shrunk(seed + number, experiment, broken))
        elif number % REPORT_EVERY == REPORT_EVERY - 1:
            report(f"{number + 1} runs, {len(found)} found")
    return found


def _shrunk(seed: int, experiment: Experiment, broken: list[str]) -> Finding:
    small = shrink(experiment, broken)
    again = run_in_virtual_time(small)
    first = str(again.violations[0]) if again.violations else "; ".join(again.program_errors[:1])
    return Finding(seed, broken, small, first)


def run_in_virtual_time(experiment: Experiment) -> RunResult:
    """Run it once in virtual time; what a program raises is recorded and does not end the run."""
    run = Run(experiment, experiment.seed)
    run.network.raises_program_errors = False
    return run.run()


# ---- on processes


class _LoopbackRun:
    """One drawn experiment on real processes, in a process of its own."""

    def __init__(self, folder: Path, seed: int, kinds: Sequence[str]) -> None:
        self.path = folder / f"fuzz-{seed}.toml"
        self.path.write_text(experiment_text(draw_experiment(seed, kinds)))
        command = [sys.executable, "-m", "hookpitch.cli", "lab", "run", str(self.path)]
        self.process = subprocess.Popen(
            [*command, "--clock", "wall"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def keep(self, folder: Path) -> None:
        """Copy its file."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / self.path.name).write_text(self.path.read_text())


def fuzz_on_processes(
    runs: int,
    seed: int,
    report: Callable[[str], None],
    kinds: Sequence[str] = FAULT_KINDS,
    keep: Path | None = None,
) -> tuple[int, int]:
    """Run drawn experiments on loopback, `PARALLEL_RUNS` at a time: how many broke a rule, and how
    many were void. The file of one that broke a rule is kept in `keep`."""
    broken = 0
    void = 0
    with tempfile.TemporaryDirectory(prefix="hookpitch-fuzz-") as folder:
        for first in range(0, runs, PARALLEL_RUNS):
            last = min(runs, first + PARALLEL_RUNS)
            batch = [_LoopbackRun(Path(folder), seed + n, kinds) for n in range(first, last)]
            for run in batch:
                output, _ = run.process.communicate()
                if run.process.returncode == VOID_STATUS:
                    void += 1
                elif run.process.returncode:
                    broken += 1
                    report(f"{run.path.stem}: {output.strip()}")
                    if keep is not None:
                        run.keep(keep)
            report(f"{last} runs, {broken} found, {void} void")
    return broken, void


# ---- shrinking


def shrink(experiment: Experiment, broken: list[str], most: int = 60) -> Experiment:
    """The smallest that still breaks one of the same rules, of `most` attempts."""
    attempts = 0
    smaller: Experiment | None = experiment
    while smaller is not None and attempts < most:
        experiment = smaller
        smaller = None
        for candidate in _smaller(experiment):
            attempts += 1
            if attempts > most:
                break
            if _breaks(candidate, set(broken)):
                smaller = validate(candidate)
                break
    return smaller or experiment


def _breaks(candidate: Experiment, rules: set[str]) -> bool:
    try:
        candidate = validate(candidate)
    except ValueError:
        return False
    return bool(rules & set(violated_rules(run_in_virtual_time(candidate))))


def _smaller(experiment: Experiment) -> Iterator[Experiment]:
    """Experiments that have one thing less."""
    replace = msgspec.structs.replace
    faults = experiment.fault
    methods = experiment.method
    traffic = experiment.traffic
    for n in range(len(faults)):
        yield replace(experiment, fault=faults[:n] + faults[n + 1 :])
    if len(methods) > 1:
        for n in range(len(methods)):
            yield replace(experiment, method=methods[:n] + methods[n + 1 :])
    if experiment.nodes.count > 1:
        yield replace(experiment, nodes=replace(experiment.nodes, count=1))
    if experiment.fleet.caches > 1:
        fleet = replace(experiment.fleet, caches=experiment.fleet.caches - 1)
        yield replace(experiment, fleet=fleet)
    if traffic.rate > 10:
        yield replace(experiment, traffic=replace(traffic, rate=traffic.rate / 2))
    for name, plain in (("tries", 0), ("leaving", 0.0), ("fresh", 0.0)):
        if getattr(traffic, name) != plain:
            yield replace(experiment, traffic=replace(traffic, **{name: plain}))
    last = max((fault.end for fault in faults), default=1.0) + 1.0
    if last < experiment.seconds:
        yield replace(experiment, seconds=round(last, 2))
