"""Reads an experiment's file: decodes it, checks it, and reads its expectations.

An error is a ValueError whose one line names the place (`fault[2].at: ...`).
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
    """The experiment in a file's text. ValueError says in one line what is wrong, and where."""
    try:
        file = msgspec.convert(tomllib.loads(text), ExperimentFile)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{where}: {_place_first(str(error))}") from None
    for mistake in validation_errors(file):
        raise ValueError(f"{where}: {mistake}")
    expected = tuple(
        _expectation(line, file, f"{where}: expect[{number}]")
        for number, line in enumerate(file.expect)
    )
    fields = {name: getattr(file, name) for name in ExperimentFile.__struct_fields__}
    return Experiment(**fields, expected=expected)


def load(path: Path) -> Experiment:
    """The experiment in a file; ValueError also where it cannot be read."""
    try:
        return read(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None


def _place_first(text: str) -> str:
    """msgspec's `... - at `$.fault[2].at`` as `fault[2].at: ...`."""
    what, found, path = text.partition(" - at `$")
    if not found:
        return text
    return f"{path.strip('`').lstrip('.')}: {what}"


def _expectation(text: str, file: ExperimentFile, where: str) -> Expectation:
    match = EXPECTATION.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{where}: '{text}' is not FIGURE >= NUMBER [of METHOD] [from S to S | "
            "within S s of the end of fault N]"
        )
    figure, sign, bound, method, since, until, within, fault = match.groups()
    if figure not in FIGURES:
        raise ValueError(f"{where}: '{figure}' is none of {', '.join(FIGURES)}")
    if figure in MEMBER_FIGURES and not file.nodes.members:
        raise ValueError(f"{where}: '{figure}' wants nodes.members")
    if method and method not in {one.name for one in file.method}:
        raise ValueError(f"{where}: no method is named '{method}'")
    if within is not None:
        if int(fault) >= len(file.fault):
            raise ValueError(f"{where}: there is no fault {fault}; they count from 0")
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
