"""The base class of the errors that `hookpitch.core` raises for input it cannot parse."""

from __future__ import annotations


class InputError(ValueError):
    """Raised where bytes from a peer violate their format; the message says how."""
