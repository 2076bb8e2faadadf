"""What many nodes that start at once must not do to discovery, cache servers and origin. No I/O,
no clock."""
