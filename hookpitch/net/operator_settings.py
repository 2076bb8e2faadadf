"""The operator's own settings: `deploy/node.toml`, one section a subsystem, all optional, all off
by default.

Read by `--config` or `HOOKPITCH_CONFIG`; where neither names a file, nothing is read. Checked
whole at the
start: an unknown section or name is refused with its place. A subsystem adds its section to
`SECTIONS`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from importlib import import_module
from pathlib import Path
from typing import Any

# By name: what reads and checks a section, `module:function`, imported where a file has it.
# ValueError says what is wrong.
SECTIONS = {
    "snapshot": "hookpitch.net.snapshot_store:parse_settings",
    "members": "hookpitch.members.port:parse_settings",
}


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """What the operator turned on, by section."""

    sections: Mapping[str, Any] = field(default_factory=dict)

    def summary(self) -> str:
        return f"sections {', '.join(self.sections)}" if self.sections else "nothing is turned on"


def load_operator_settings(path: Path) -> OperatorSettings:
    """ValueError says in one line what is wrong, and where."""
    try:
        top = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise ValueError(f"{path}: {fault}") from None
    sections = {}
    for name, table in top.items():
        if name not in SECTIONS:
            known = ", ".join(sorted(SECTIONS)) or "none yet"
            raise ValueError(f"{path}: {name}: no such section; known are {known}")
        if not isinstance(table, dict):
            raise ValueError(f"{path}: {name}: wants a section")
        try:
            module, _, function = SECTIONS[name].partition(":")
            sections[name] = getattr(import_module(module), function)(table)
        except ValueError as fault:
            raise ValueError(f"{path}: {name}.{fault}") from None
    return OperatorSettings(sections)


def operator_settings_from(environment: Mapping[str, str]) -> OperatorSettings:
    """Where the environment names no file: nothing is on."""
    path = environment.get("HOOKPITCH_CONFIG")
    return load_operator_settings(Path(path)) if path else OperatorSettings()
