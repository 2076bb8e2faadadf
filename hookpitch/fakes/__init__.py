"""Fakes of everything a node talks to: cache servers, the origin, discovery, clients, operators.

No part of the node. A fake is a model (no I/O, no clock: callers pass the time in milliseconds as
a float) and a thin adapter on Twisted, so that the same fake runs in a simulation's virtual time
and in a process on loopback.
"""
