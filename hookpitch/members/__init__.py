"""Membership among nodes, for installations that allow traffic between them; off by default, and
not imported where it is off."""
