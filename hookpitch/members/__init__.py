"""Membership among the nodes of a fleet, for installations that allow traffic between nodes.

It is off by default, and this package is not imported while it is off.
"""
