"""`hookpitch node`."""

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
    help="The node's JSON file; else PROXY_CONFIG.",
)
@click.option(
    "--config",
    "operator_file",
    type=click.Path(path_type=Path),
    help="The operator's file; else HOOKPITCH_CONFIG.",
)
def node(node_file: Path | None, operator_file: Path | None) -> None:
    """Run one node in the foreground, as `python -m hookpitch` does."""
    if node_file is not None:
        os.environ["PROXY_CONFIG"] = str(node_file)
    if operator_file is not None:
        os.environ["HOOKPITCH_CONFIG"] = str(operator_file)
    # Imported once the environment is complete: it installs the process's reactor.
    from hookpitch.__main__ import main

    sys.exit(main())
