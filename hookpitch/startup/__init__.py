"""What a node's start needs so that many nodes may start at once without harm to discovery, cache
servers and origin: a poll schedule, phases with bounds, and snapshots of what was learned. No I/O
and no clock."""
