"""Fakes of everything a node talks to: cache servers, the origin, discovery, clients, operators.

The node imports nothing from this package. A fake server consists of a model and a thin Twisted
adapter. The model does no I/O and reads no clock: its callers pass the time in milliseconds as a
float. The same fake therefore runs in the virtual time of a simulation and in a process on
loopback.
"""
