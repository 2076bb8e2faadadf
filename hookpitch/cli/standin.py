"""The command `hookpitch standin fleet`: runs the fakes of an experiment on loopback."""

from __future__ import annotations

from pathlib import Path

import click

from hookpitch.cli.errors import exit_on


@click.group()
def standin() -> None:
    """Run fakes of the servers that a node talks to."""


@standin.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--post",
    "node_file",
    type=click.Path(path_type=Path),
    help="Write the JSON file of a node that uses this fleet.",
)
def fleet(path: Path, node_file: Path | None) -> None:
    """Run the caches, the origin and discovery of an experiment file on loopback until stopped."""
    from hookpitch.testbed.experiment import load
    from hookpitch.testbed.process_run import serve_fleet

    with exit_on(ValueError):
        serve_fleet(load(path), node_file, click.echo)
