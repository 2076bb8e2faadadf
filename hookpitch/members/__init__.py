"""Membership among nodes, where an installation allows talk among them; off and not imported
elsewhere."""
