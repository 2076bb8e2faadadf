"""`hookpitch node` and `hookpitch check`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click


@click.command()
@click.option(
    "--post",
    "path",
    type=click.Path(path_type=Path),
    help="The node's JSON file; else PROXY_CONFIG.",
)
@click.option(
    "--config",
    "config",
    type=click.Path(path_type=Path),
    help="The operator's file; else HOOKPITCH_CONFIG.",
)
def node(path: Path | None, config: Path | None) -> None:
    """Run one node in the foreground, as `python -m hookpitch` does."""
    if path is not None:
        os.environ["PROXY_CONFIG"] = str(path)
    if config is not None:
        os.environ["HOOKPITCH_CONFIG"] = str(config)
    from hookpitch.__main__ import main

    sys.exit(main())


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Check a node's JSON file, the operator's TOML file or an experiment, without running it."""
    try:
        if path.suffix == ".json":
            from hookpitch.net.node_config import load_node_config

            told = load_node_config({"PROXY_CONFIG": str(path)})
            click.echo(f"{path}: node {told.name}, {len(told.initial_endpoints)} servers known")
        else:
            text = path.read_text(encoding="utf-8")
            if "[lab]" in text or "\n[[fault]]" in text or text.startswith("name ="):
                from hookpitch.testbed.experiment import read

                x = read(text, str(path))
                click.echo(
                    f"{path}: experiment {x.name}, {len(x.fault)} faults, {len(x.expect)} expectations"  # noqa: E501
                )
            else:
                from hookpitch.net.operator_settings import load_operator_settings

                click.echo(f"{path}: {load_operator_settings(path).summary()}")
    except (ValueError, OSError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
