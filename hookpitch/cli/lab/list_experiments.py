"""The command `hookpitch lab list`, which prints the known experiments."""

from __future__ import annotations

import click

from hookpitch.cli.lab.files import experiment_files


@click.command("list")
def list_experiments() -> None:
    """Print the known experiments."""
    from hookpitch.testbed.experiment import load

    for path in experiment_files():
        try:
            experiment = load(path)
        except ValueError as error:
            click.echo(f"{path.stem:28} cannot be read: {error}")
            continue
        click.echo(
            f"{experiment.name:28} {experiment.seconds:5g} s  "
            f"{len(experiment.fault)} faults  {experiment.about}"
        )
