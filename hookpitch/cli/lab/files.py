"""Where experiments' files are."""

from __future__ import annotations

from pathlib import Path

EXPERIMENTS = Path("experiments")
FOUND = EXPERIMENTS / "found"  # by the fuzzer


def experiment_files() -> list[Path]:
    """All of them, those that the fuzzer found last."""
    return sorted(EXPERIMENTS.glob("*.toml")) + sorted(FOUND.glob("*.toml"))


def find_experiment(name: str) -> Path:
    """The file of that path or of the experiment of that name. Raises ValueError."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    for folder in (EXPERIMENTS, FOUND):
        if (folder / f"{name}.toml").exists():
            return folder / f"{name}.toml"
    raise ValueError(f"{name}: no file, and no experiment of that name under {EXPERIMENTS}/")
