"""Errors of the decisions' inputs. Callers may catch them as ValueError."""


class InputError(ValueError):
    """Something that a router is told cannot be read; the message names what is wrong."""


class SettingsError(InputError):
    """A setting is missing, of a wrong type or out of range."""


class LoadReportError(InputError):
    """A load report of a backend cannot be read."""
