"""`hookpitch standin fleet`: the stand-ins of an experiment as processes on loopback."""

from __future__ import annotations

from pathlib import Path

import click

from hookpitch.cli.errors import exit_on


@click.group()
def standin() -> None:
    """Stand-ins of what a node meets."""


@standin.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--post",
    "node_file",
    type=click.Path(path_type=Path),
    help="Write the JSON file of a node for them.",
)
def fleet(path: Path, node_file: Path | None) -> None:
    """Cache servers, the origin and discovery of an experiment's file, on loopback until they are
    ended."""
    from hookpitch.testbed.experiment import load
    from hookpitch.testbed.process_run import serve_fleet

    with exit_on(ValueError):
        serve_fleet(load(path), node_file, click.echo)
