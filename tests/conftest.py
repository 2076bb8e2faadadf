"""KNOWN-RED.txt: tests that fail for a real fault, known and not mended yet. They are expected to
fail,
strictly, and are printed; one that passes, one that names no test, and a fourth fail the run. Void
runs are
counted and printed, too."""

from __future__ import annotations

from pathlib import Path

import pytest

RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known(path: Path = RED) -> dict[str, str]:
    """Test (as `tests/file.py::name`), and the rest of its line: cause, issue. UsageError for a
    fourth line,
    or a bad one."""
    lines = path.read_text().splitlines() if path.exists() else []
    lines = [line for line in lines if line.strip() and not line.startswith("#")]
    if len(lines) > MOST:
        raise pytest.UsageError(f"{path.name} lists {len(lines)} tests, {MOST} at most")
    listed = {}
    for line in lines:
        test, _, rest = line.partition(",")
        if "::" not in test or not rest.strip():
            raise pytest.UsageError(f"{path.name}: no test, cause and issue: {line}")
        listed[test.strip()] = rest.strip()
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    red = known()
    for item in items:
        name = item.nodeid.partition("[")[0]
        for test in (item.nodeid, name):
            if test in red:
                item.add_marker(pytest.mark.xfail(reason=red[test], strict=True, run=True))
    files = {item.nodeid.partition("::")[0] for item in items}
    names = {n for item in items for n in (item.nodeid, item.nodeid.partition("[")[0])}
    whole = not config.option.keyword and not any("::" in arg for arg in config.args)
    for test in red if whole else ():
        played = test.partition("::")[0] in files or config.args == config.getini("testpaths")
        if played and test not in names:
            raise pytest.UsageError(f"{RED.name} names no test: {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, why in known().items():
        terminalreporter.write_line(f"known red: {test}, {why}")
    void = [r for r in terminalreporter.stats.get("skipped", []) if "void" in str(r.longrepr)]
    if void:
        terminalreporter.write_line(
            f"void: {len(void)} runs on processes tell nothing, their rigs were late"
        )
