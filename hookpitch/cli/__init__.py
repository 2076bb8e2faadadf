"""The command line `hookpitch ...`: each command has its own file."""

from __future__ import annotations

import click

from hookpitch.cli.check import check
from hookpitch.cli.lab import lab
from hookpitch.cli.members import members
from hookpitch.cli.node import node
from hookpitch.cli.snapshot import snapshot
from hookpitch.cli.standin import standin


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Run a client-side router for fleets of cache servers, or one of its tools."""


for command in (node, check, members, snapshot, standin, lab):
    main.add_command(command)
