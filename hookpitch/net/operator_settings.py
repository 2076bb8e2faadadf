"""The operator's settings: a TOML file with one optional section per subsystem.

`deploy/node.toml` is an example. `--config` or `HOOKPITCH_CONFIG` names the file; without a file
every subsystem is off. The whole file is checked at the start: an error names the section and the
setting that is unknown or wrong.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from importlib import import_module
from pathlib import Path
from typing import Any

from hookpitch.net.config_error import ConfigError

# The parser of each section, as `module:function`. The module is imported only if the file has the
# section; the function raises ValueError with a text that begins with the name of the setting.
SECTION_PARSERS = {
    "snapshot": "hookpitch.net.snapshot_store:parse_settings",
    "members": "hookpitch.members.port:parse_settings",
}


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The parsed sections, by name."""

    sections: Mapping[str, Any] = field(default_factory=dict)

    def summary(self) -> str:
        """Return a short description of the sections."""
        return f"sections {', '.join(self.sections)}" if self.sections else "nothing is turned on"


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read and check a file. Raises ConfigError with a one-line message."""
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    sections = {}
    for name, table in tables.items():
        if name not in SECTION_PARSERS:
            known = ", ".join(sorted(SECTION_PARSERS))
            raise ConfigError(f"{path}: {name}: unknown section, expected one of {known}")
        if not isinstance(table, dict):
            raise ConfigError(f"{path}: {name}: expected a section, found {table!r:.80}")
        try:
            sections[name] = _section_parser(name)(table)
        except ValueError as error:
            raise ConfigError(f"{path}: {name}.{error}") from None
    return OperatorSettings(sections)


def _section_parser(name: str) -> Any:  # noqa: ANN401 - each section has its own type
    module, _, function = SECTION_PARSERS[name].partition(":")
    return getattr(import_module(module), function)


def operator_settings_from(environment: Mapping[str, str]) -> OperatorSettings:
    """Return the settings of the file that the environment names; empty where it names none."""
    path = environment.get("HOOKPITCH_CONFIG")
    return load_operator_settings(Path(path)) if path else OperatorSettings()
