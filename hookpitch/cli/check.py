"""The command `hookpitch check FILE`, which validates a file without running it."""

from __future__ import annotations

from pathlib import Path

import click

from hookpitch.cli.errors import exit_on


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Check a node's JSON file, the operator's TOML file or an experiment, without running it."""
    with exit_on(ValueError, OSError):
        click.echo(f"{path}: {_describe(path)}")


def _describe(path: Path) -> str:
    """Check the file and return a summary of it. Raise ValueError or OSError if it is invalid."""
    if path.suffix == ".json":
        return _describe_node(path)
    # The operator's file and an experiment are both TOML files; the content tells them apart.
    text = path.read_text(encoding="utf-8")
    if "[lab]" in text or "\n[[fault]]" in text or text.startswith("name ="):
        return _describe_experiment(path, text)
    from hookpitch.net.operator_settings import load_operator_settings

    return load_operator_settings(path).summary()


def _describe_node(path: Path) -> str:
    from hookpitch.net.node_config import load_node_config

    config = load_node_config({"PROXY_CONFIG": str(path)})
    return f"node {config.name}, {len(config.initial_endpoints)} servers known"


def _describe_experiment(path: Path, text: str) -> str:
    from hookpitch.testbed.experiment import read

    experiment = read(text, str(path))
    return (
        f"experiment {experiment.name}, {len(experiment.fault)} faults, "
        f"{len(experiment.expect)} expectations"
    )
