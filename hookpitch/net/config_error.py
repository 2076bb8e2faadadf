"""The error of all that reads configuration."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration is missing or wrong; the text says in one line where, and what."""
