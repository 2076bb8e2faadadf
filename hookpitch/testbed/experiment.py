"""Reads an experiment file: decodes it, validates it and parses its expectations.

An error is a ValueError with a one-line message that names the place (`fault[2].at: ...`).
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import msgspec

from hookpitch.testbed.experiment_checks import validation_errors
from hookpitch.testbed.experiment_schema import (
    FIGURES,
    MEMBER_FIGURES,
    Expectation,
    Experiment,
    ExperimentFile,
)

EXPECTATION = re.compile(
    r"(\w+) (>=|<=) ([\d.]+)(?: of ([\w-]+))?(?: from ([\d.]+) to ([\d.]+)| within ([\d.]+) s of "
    r"the end of fault (\d+))?"
)


def read(text: str, where: str = "experiment") -> Experiment:
    """Parse the text of a file; raise ValueError with the first error and its place.

    `where` is the name of the file in error messages.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), ExperimentFile)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{where}: {_place_first(str(error))}") from None
    for error in validation_errors(file):
        raise ValueError(f"{where}: {error}")
    expected = tuple(
        _parse_expectation(line, file, f"{where}: expect[{number}]")
        for number, line in enumerate(file.expect)
    )
    fields = {name: getattr(file, name) for name in ExperimentFile.__struct_fields__}
    return Experiment(**fields, expected=expected)


def load(path: Path) -> Experiment:
    """Read a file; raise ValueError if it cannot be read or is invalid."""
    try:
        return read(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None


def _place_first(text: str) -> str:
    """Rewrite msgspec's "REASON - at `$.fault[2].at`" as "fault[2].at: REASON"."""
    reason, separator, path = text.partition(" - at `$")
    if not separator:
        return text
    return f"{path.strip('`').lstrip('.')}: {reason}"


def _parse_expectation(text: str, file: ExperimentFile, where: str) -> Expectation:
    match = EXPECTATION.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{where}: '{text}' does not have the form FIGURE >= NUMBER [of METHOD] [from S to S | "
            "within S s of the end of fault N]"
        )
    figure, sign, bound, method, since, until, within, fault = match.groups()
    if figure not in FIGURES:
        raise ValueError(f"{where}: '{figure}' is not one of {', '.join(FIGURES)}")
    if figure in MEMBER_FIGURES and not file.nodes.members:
        raise ValueError(f"{where}: '{figure}' requires nodes.members")
    if method and method not in {known.name for known in file.method}:
        raise ValueError(f"{where}: no method is named '{method}'")
    if within is not None:
        if int(fault) >= len(file.fault):
            raise ValueError(f"{where}: there is no fault {fault}; faults are numbered from 0")
        since = file.fault[int(fault)].end + float(within)
        until = file.seconds
    return Expectation(
        figure=figure,
        least=sign == ">=",
        bound=float(bound),
        method=method or "",
        since=float(since or 0.0),
        until=float(until or file.seconds),
        text=text,
    )
