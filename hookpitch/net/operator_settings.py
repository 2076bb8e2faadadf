"""The operator's own settings: a TOML file (`deploy/node.toml`), one optional section a subsystem.

Named by `--config` or `HOOKPITCH_CONFIG`; without a file every subsystem is off. The file is
checked whole at the start: an unknown section or name is refused with its place.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from importlib import import_module
from pathlib import Path
from typing import Any

from hookpitch.net.config_error import ConfigError

# What reads and checks each section, as `module:function`. A module is imported only where the
# file has its section; the function raises ValueError with the name that is wrong.
SECTION_PARSERS = {
    "snapshot": "hookpitch.net.snapshot_store:parse_settings",
    "members": "hookpitch.members.port:parse_settings",
}


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The parsed sections, by name."""

    sections: Mapping[str, Any] = field(default_factory=dict)

    def summary(self) -> str:
        """What is on, in a few words."""
        return f"sections {', '.join(self.sections)}" if self.sections else "nothing is turned on"


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read and check a file. Raises ConfigError with one line."""
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    sections = {}
    for name, table in tables.items():
        if name not in SECTION_PARSERS:
            known = ", ".join(sorted(SECTION_PARSERS))
            raise ConfigError(f"{path}: {name}: no such section; known are {known}")
        if not isinstance(table, dict):
            raise ConfigError(f"{path}: {name}: wants a section")
        try:
            sections[name] = _section_parser(name)(table)
        except ValueError as error:
            raise ConfigError(f"{path}: {name}.{error}") from None
    return OperatorSettings(sections)


def _section_parser(name: str) -> Any:  # noqa: ANN401 - each section has a type of its own
    module, _, function = SECTION_PARSERS[name].partition(":")
    return getattr(import_module(module), function)


def operator_settings_from(environment: Mapping[str, str]) -> OperatorSettings:
    """The settings of the file that the environment names; none where it names no file."""
    path = environment.get("HOOKPITCH_CONFIG")
    return load_operator_settings(Path(path)) if path else OperatorSettings()
