"""The base of the errors that `hookpitch.core` raises for input it cannot read."""

from __future__ import annotations


class InputError(ValueError):
    """Bytes that a peer sent break their format; the message says what is wrong."""
