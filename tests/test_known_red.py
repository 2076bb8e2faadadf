"""The list of known red tests passes over just these, and only while they fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("listed", "code", "said"),
    [
        ("", 1, "1 failed, 1 passed"),
        (
            "tests/test_it.py::test_red, a cause, issue 1\n",
            0,
            "known red: tests/test_it.py::test_red, a cause",
        ),
        (
            "tests/test_it.py::test_red, a, 1\ntests/test_it.py::test_green, a, 1\n",
            1,
            "XPASS(strict)",
        ),
        ("tests/test_it.py::test_gone, a, 1\n", 4, "names no test: tests/test_it.py::test_gone"),
        ("tests/test_other.py::test_gone, a, 1\n", 4, "names no test"),
        ("tests/test_it.py::test_red\n", 4, "no test, cause and issue"),
        ("tests/test_it.py::test_red, a, 1\n" * 4, 4, "3 at most"),
    ],
)
def test_the_list_passes_over_what_fails_and_nothing_else(
    tmp_path: Path, listed: str, code: int, said: str
) -> None:
    (tmp_path / "tests").mkdir()
    shutil.copy(CONFTEST, tmp_path / "tests")
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:xdist"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert done.returncode == code and said in done.stdout + done.stderr, done.stdout + done.stderr
