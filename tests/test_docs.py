"""Tests that the files and tests named in the documentation exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
NAMED = re.compile(r"`((?:test_\w+\.py::)?(?:\.\.\.|test_)[\w.]*)`")


def known_tests() -> dict[str, list[str]]:
    """Return the names of all tests, by file."""
    files = sorted((ROOT / "tests").glob("test_*.py"))
    return {
        file.name: re.findall(r"^def (test_\w+)", file.read_text(), re.MULTILINE) for file in files
    }


def test_each_test_that_the_table_of_crossings_names_is_one_test() -> None:
    tests_by_file, rows = known_tests(), 0
    for row in (ROOT / "docs" / "crossings.md").read_text().splitlines():
        for reference in NAMED.findall(row):
            file, _, name = reference.rpartition("::")
            if name.endswith(".py") or name == "test_crossings_":
                continue
            pattern = re.compile(re.escape(name).replace(r"\.\.\.", ".*") + "$")
            places = [file] if file else list(tests_by_file)
            found = [
                test
                for place in places
                for test in tests_by_file.get(place, [])
                if pattern.search(test)
            ]
            assert len(found) == 1, (reference, found)
            rows += 1
    assert rows > 30


@pytest.mark.parametrize(
    "page", ["README.md", "docs/ROADMAP.md", "docs/on-call.md", "docs/crossings.md"]
)
def test_the_files_that_a_page_points_to_are_there(page: str) -> None:
    text = (ROOT / page).read_text()
    paths = set(
        re.findall(r"\b((?:docs|tests|deploy|hookpitch|benchmarks|examples)/[\w./-]*\w)", text)
    )
    missing = [
        path for path in paths if not (ROOT / path).exists() and not list(ROOT.glob(f"{path}*"))
    ]
    assert not missing
