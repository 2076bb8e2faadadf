"""The start of a node: a poll schedule, phases with timeouts, and snapshots of what was learned.

With these, many nodes may start at once without overloading discovery, the cache servers and the
origin. The package does no I/O and reads no clock.
"""
