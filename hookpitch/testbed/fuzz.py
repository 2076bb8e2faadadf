"""Runs random experiments, and shrinks one that breaks a rule to a small one that breaks it too."""

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

PARALLEL_RUNS = 4  # on real processes
VOID_EXIT_CODE = 3  # of a run that is void because its test environment fell behind
RUNS_PER_REPORT = 20


def validate(experiment: Experiment) -> Experiment:
    """Format an experiment as the text of a file, and return what is read from this text.

    Raises ValueError if the text is invalid, for instance because two of its faults conflict.
    """
    return read(experiment_text(experiment), experiment.name)


def violated_rules(result: RunResult) -> list[str]:
    """Return the name of each violated rule once, and `program` if a program raised an error."""
    program = {"program"} if result.program_errors else set()
    return sorted({violation.rule for violation in result.violations} | program)


@dataclass(slots=True)
class Finding:
    """Holds a random experiment that violated rules, and its smallest variant that still does."""

    seed: int
    rules: list[str]
    smallest: Experiment
    # The text of the smallest variant's first violation or, if it has none, first program error.
    first_violation: str


def fuzz(
    runs: int, seed: int, report: Callable[[str], None], kinds: Sequence[str] = FAULT_KINDS
) -> list[Finding]:
    """Run random experiments in virtual time, and shrink those that violate a rule."""
    findings = []
    for number in range(runs):
        experiment = draw_experiment(seed + number, kinds)
        rules = violated_rules(run_in_virtual_time(experiment))
        if rules:
            report(f"seed {seed + number}: {', '.join(rules)}")
            findings.append(_shrink_finding(seed + number, experiment, rules))
        elif number % RUNS_PER_REPORT == RUNS_PER_REPORT - 1:
            report(f"{number + 1} runs, {len(findings)} found")
    return findings


def _shrink_finding(seed: int, experiment: Experiment, rules: list[str]) -> Finding:
    smallest = shrink(experiment, rules)
    result = run_in_virtual_time(smallest)
    first_violation = (
        str(result.violations[0]) if result.violations else "; ".join(result.program_errors[:1])
    )
    return Finding(seed, rules, smallest, first_violation)


def run_in_virtual_time(experiment: Experiment) -> RunResult:
    """Run an experiment once in virtual time; record errors of programs instead of raising them."""
    run = Run(experiment, experiment.seed)
    run.network.raises_program_errors = False
    return run.run()


# ---- on processes


class _ProcessRun:
    """Runs one random experiment on real processes, in a child process."""

    def __init__(self, directory: Path, seed: int, kinds: Sequence[str]) -> None:
        self.path = directory / f"fuzz-{seed}.toml"
        self.path.write_text(experiment_text(draw_experiment(seed, kinds)))
        command = [sys.executable, "-m", "hookpitch.cli", "lab", "run", str(self.path)]
        self.process = subprocess.Popen(
            [*command, "--clock", "wall"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def copy_file(self, directory: Path) -> None:
        """Copy the experiment's file to a directory, which is created if necessary."""
        directory.mkdir(parents=True, exist_ok=True)
        (directory / self.path.name).write_text(self.path.read_text())


def fuzz_on_processes(
    runs: int,
    seed: int,
    report: Callable[[str], None],
    kinds: Sequence[str] = FAULT_KINDS,
    keep: Path | None = None,
) -> tuple[int, int]:
    """Run random experiments on real processes, `PARALLEL_RUNS` at a time.

    Returns how many runs failed and how many were void. Copies the files of failed runs to the
    directory `keep`.
    """
    failed = 0
    void = 0
    with tempfile.TemporaryDirectory(prefix="hookpitch-fuzz-") as directory:
        for first in range(0, runs, PARALLEL_RUNS):
            last = min(runs, first + PARALLEL_RUNS)
            batch = [
                _ProcessRun(Path(directory), seed + number, kinds) for number in range(first, last)
            ]
            for run in batch:
                output, _ = run.process.communicate()
                if run.process.returncode == VOID_EXIT_CODE:
                    void += 1
                elif run.process.returncode:
                    failed += 1
                    report(f"{run.path.stem}: {output.strip()}")
                    if keep is not None:
                        run.copy_file(keep)
            report(f"{last} runs, {failed} found, {void} void")
    return failed, void


# ---- shrinking


def shrink(experiment: Experiment, rules: list[str], max_attempts: int = 60) -> Experiment:
    """Return the smallest variant found that still violates one of the rules.

    At most `max_attempts` variants are run.
    """
    attempts = 0
    smaller: Experiment | None = experiment
    while smaller is not None and attempts < max_attempts:
        experiment = smaller
        smaller = None
        for candidate in _smaller_variants(experiment):
            attempts += 1
            if attempts > max_attempts:
                break
            if _violates_any(candidate, set(rules)):
                smaller = validate(candidate)
                break
    return smaller or experiment


def _violates_any(candidate: Experiment, rules: set[str]) -> bool:
    try:
        candidate = validate(candidate)
    except ValueError:
        return False
    return bool(rules & set(violated_rules(run_in_virtual_time(candidate))))


def _smaller_variants(experiment: Experiment) -> Iterator[Experiment]:
    """Yield variants of an experiment that are each smaller in one respect."""
    replace = msgspec.structs.replace
    faults = experiment.fault
    methods = experiment.method
    traffic = experiment.traffic
    for index in range(len(faults)):
        yield replace(experiment, fault=faults[:index] + faults[index + 1 :])
    if len(methods) > 1:
        for index in range(len(methods)):
            yield replace(experiment, method=methods[:index] + methods[index + 1 :])
    if experiment.nodes.count > 1:
        yield replace(experiment, nodes=replace(experiment.nodes, count=1))
    if experiment.fleet.caches > 1:
        fleet = replace(experiment.fleet, caches=experiment.fleet.caches - 1)
        yield replace(experiment, fleet=fleet)
    if traffic.rate > 10:
        yield replace(experiment, traffic=replace(traffic, rate=traffic.rate / 2))
    for name, default_value in (("tries", 0), ("leaving", 0.0), ("fresh", 0.0)):
        if getattr(traffic, name) != default_value:
            yield replace(experiment, traffic=replace(traffic, **{name: default_value}))
    end = max((fault.end for fault in faults), default=1.0) + 1.0
    if end < experiment.seconds:
        yield replace(experiment, seconds=round(end, 2))
