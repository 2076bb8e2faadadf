"""The simulator's line protocol: codec and adapter.

The protocol's names and its times in seconds are used in this package only.
"""
