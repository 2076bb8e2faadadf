"""What the pages name is there."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
NAMED = re.compile(r"`((?:test_\w+\.py::)?(?:\.\.\.|test_)[\w.]*)`")


def known_tests() -> dict[str, list[str]]:
    """The names of all tests, by file."""
    files = sorted((ROOT / "tests").glob("test_*.py"))
    return {f.name: re.findall(r"^def (test_\w+)", f.read_text(), re.MULTILINE) for f in files}


def test_each_test_that_the_table_of_crossings_names_is_one_test() -> None:
    known, rows = known_tests(), 0
    for row in (ROOT / "docs" / "crossings.md").read_text().splitlines():
        for named in NAMED.findall(row):
            file, _, name = named.rpartition("::")
            if name.endswith(".py") or name == "test_crossings_":
                continue
            like = re.compile(re.escape(name).replace(r"\.\.\.", ".*") + "$")
            places = [file] if file else list(known)
            found = [t for place in places for t in known.get(place, []) if like.search(t)]
            assert len(found) == 1, (named, found)
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
    missing = [p for p in paths if not (ROOT / p).exists() and not list(ROOT.glob(f"{p}*"))]
    assert not missing
