"""Membership among the nodes of an installation that allows talk among them. Off, and not imported, elsewhere."""
