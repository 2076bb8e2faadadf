"""`hookpitch standin ...`: stand-ins as processes on loopback."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def standin() -> None:
    """Stand-ins of what a node meets."""


@standin.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--post",
    "post_path",
    type=click.Path(path_type=Path),
    help="Write the JSON file of a node for them.",
)
def fleet(path: Path, post_path: Path | None) -> None:
    """Cache servers, the origin and discovery of an experiment's file, on loopback until they are
    ended."""
    from hookpitch.testbed.experiment import load
    from hookpitch.testbed.process_run import serve_fleet

    try:
        serve_fleet(load(path), post_path, click.echo)
    except ValueError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
