"""Base class of the errors of this package."""


class MembersError(ValueError):
    """Settings, a datagram, an endpoint list or metadata that membership cannot use."""
