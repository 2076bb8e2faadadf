"""Tests that the list of known red tests excuses exactly these, and only while they fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


RED = "tests/test_it.py::test_red | pytest tests/test_it.py, no seed | it fails | issue 1\n"
GREEN = "tests/test_it.py::test_green | pytest tests/test_it.py | it fails | issue 1\n"


@pytest.mark.parametrize(
    ("listed", "code", "output"),
    [
        ("", 1, "1 failed, 1 passed"),
        (
            RED,
            0,
            "known red: tests/test_it.py::test_red, pytest tests/test_it.py, no seed, it fails",
        ),
        (RED + GREEN, 1, "XPASS(strict)"),
        (RED.replace("test_red", "test_gone"), 4, "names no test: tests/test_it.py::test_gone"),
        (RED.replace("test_it.py::test_red", "test_other.py::test_gone"), 4, "names no test"),
        ("tests/test_it.py::test_red\n", 4, "not 'test | command | observed | issue N'"),
        (RED.replace("issue 1", "some day"), 4, "not 'test | command | observed | issue N'"),
        (RED.replace(" | it fails", ""), 4, "not 'test | command | observed | issue N'"),
    ],
)
def test_the_list_passes_over_what_fails_and_nothing_else(
    tmp_path: Path, listed: str, code: int, output: str
) -> None:
    (tmp_path / "tests").mkdir()
    shutil.copy(CONFTEST, tmp_path / "tests")
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:xdist"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert completed.returncode == code and output in completed.stdout + completed.stderr, (
        completed.stdout + completed.stderr
    )
