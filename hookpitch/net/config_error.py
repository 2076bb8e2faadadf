"""The exception that all readers of configuration raise."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration value is missing or wrong; the message names it in one line."""
