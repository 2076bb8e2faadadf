"""The command `hookpitch lab compare`, which compares the results of two experiments."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click


@click.command()
@click.argument("a", type=click.Path(exists=True, path_type=Path))
@click.argument("b", type=click.Path(exists=True, path_type=Path))
def compare(a: Path, b: Path) -> None:
    """Print the figures of two result files side by side."""
    for first, second in zip(_read_figures(a), _read_figures(b), strict=False):
        _print_comparison(first, second)


def _read_figures(path: Path) -> list[dict[str, Any]]:
    figures = json.loads(path.read_text())
    return figures if isinstance(figures, list) else [figures]


def _print_comparison(first: dict[str, Any], second: dict[str, Any]) -> None:
    same_history = ", the same history" if first["digest"] == second["digest"] else ""
    click.echo(
        f"{first['name']} and {second['name']}, "
        f"seeds {first['seed']} and {second['seed']}{same_history}"
    )
    for name, value in first["whole"].items():
        other = second["whole"].get(name, 0.0)
        click.echo(f"  {name:14} {value:10.4f} {other:10.4f} {other - value:+10.4f}")
