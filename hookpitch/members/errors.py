"""The base of this package's errors."""


class MembersError(ValueError):
    """Settings, a datagram or metadata that membership cannot use."""
