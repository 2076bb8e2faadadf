"""The command `hookpitch node`, which runs one node."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click


@click.command()
@click.option(
    "--post",
    "node_file",
    type=click.Path(path_type=Path),
    help="The node's JSON file; by default the path in PROXY_CONFIG.",
)
@click.option(
    "--config",
    "operator_file",
    type=click.Path(path_type=Path),
    help="The operator's TOML file; by default the path in HOOKPITCH_CONFIG.",
)
def node(node_file: Path | None, operator_file: Path | None) -> None:
    """Run one node in the foreground, as `python -m hookpitch` does."""
    if node_file is not None:
        os.environ["PROXY_CONFIG"] = str(node_file)
    if operator_file is not None:
        os.environ["HOOKPITCH_CONFIG"] = str(operator_file)
    # This import follows the changes to the environment, because it installs the reactor of the
    # process.
    from hookpitch.__main__ import main

    sys.exit(main())
