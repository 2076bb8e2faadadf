"""The locations of experiment files."""

from __future__ import annotations

from pathlib import Path

EXPERIMENTS = Path("experiments")
FOUND = EXPERIMENTS / "found"  # written by the fuzzer


def experiment_files() -> list[Path]:
    """Return all experiment files, with those that the fuzzer found at the end."""
    return sorted(EXPERIMENTS.glob("*.toml")) + sorted(FOUND.glob("*.toml"))


def find_experiment(name: str) -> Path:
    """Return the file for a path or an experiment name. Raise ValueError if there is none."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    for folder in (EXPERIMENTS, FOUND):
        if (folder / f"{name}.toml").exists():
            return folder / f"{name}.toml"
    raise ValueError(f"{name}: neither a file nor an experiment under {EXPERIMENTS}/")
