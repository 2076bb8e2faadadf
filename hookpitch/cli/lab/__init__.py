"""The commands `hookpitch lab ...`, which run experiments."""

from __future__ import annotations

import click

from hookpitch.cli.lab.compare import compare
from hookpitch.cli.lab.fuzz import fuzz
from hookpitch.cli.lab.list_experiments import list_experiments
from hookpitch.cli.lab.run import run


@click.group()
def lab() -> None:
    """Run the real node among fake servers, inject faults, and check the results."""


for command in (list_experiments, run, compare, fuzz):
    lab.add_command(command)
