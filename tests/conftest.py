"""KNOWN-RED.txt: tests that fail because of a known fault which is not fixed yet.

Each line holds one entry of four fields separated by ` | `; blank lines and lines that begin with
`#` are ignored:

    tests/test_x.py::test_name | command and seed | what was seen | issue N

The listed tests are printed and must fail. The run fails if a listed test passes, if an entry names
no test or if an entry is malformed. Runs on processes that could not be judged are counted and
printed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "
ISSUE = re.compile(r"issue \d+")


@dataclass(frozen=True)
class KnownFailure:
    """One entry of KNOWN-RED.txt."""

    test: str  # tests/file.py::name, with or without the parameters' id
    command: str
    observed: str
    issue: str


def parse_entry(line: str, file_name: str) -> KnownFailure:
    """Parse one line of the file.

    Raises UsageError if a field is missing or malformed.
    """
    fields = [field.strip() for field in line.split(SEPARATOR)]
    complete = len(fields) == 4 and all(fields)
    if not complete or "::" not in fields[0] or not ISSUE.fullmatch(fields[3]):
        raise pytest.UsageError(f"{file_name}: not 'test | command | observed | issue N': {line}")
    return KnownFailure(*fields)


def read_known_failures(path: Path = KNOWN_RED_FILE) -> dict[str, KnownFailure]:
    """Return the entries of the file by test; none if there is no file."""
    lines = path.read_text().splitlines() if path.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    failures = [parse_entry(line, path.name) for line in entries]
    return {failure.test: failure for failure in failures}


def names_of(item: pytest.Item) -> tuple[str, str]:
    """Return the id of a test with its parameters and without them."""
    return item.nodeid, item.nodeid.partition("[")[0]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; refuse entries that name no collected test."""
    known = read_known_failures()
    for item in items:
        for name in names_of(item):
            if name in known:
                reason = f"{known[name].observed}, {known[name].issue}"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True, run=True))
    collected_names = {name for item in items for name in names_of(item)}
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    if config.option.keyword or any("::" in argument for argument in config.args):
        return
    runs_all = config.args == config.getini("testpaths")
    for test in known:
        file_runs = runs_all or test.partition("::")[0] in collected_files
        if file_runs and test not in collected_names:
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name} names no test: {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests and how many runs on processes could not be judged."""
    for failure in read_known_failures().values():
        terminalreporter.write_line(
            f"known red: {failure.test}, {failure.command}, {failure.observed}, {failure.issue}"
        )
    skipped = terminalreporter.stats.get("skipped", [])
    void = [report for report in skipped if "void" in str(report.longrepr)]
    if void:
        terminalreporter.write_line(
            f"void: {len(void)} runs on processes tell nothing, their rigs were late"
        )
