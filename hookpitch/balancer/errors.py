"""Errors for invalid inputs of the router. Callers may catch them as ValueError."""


class InputError(ValueError):
    """An input of the router is invalid; the message names the fault."""


class SettingsError(InputError):
    """A setting is missing, of the wrong type or out of range."""


class LoadReportError(InputError):
    """A load report of a backend cannot be parsed."""
