"""Stand-ins of what a node meets: cache servers, the origin, discovery and clients. No part of the
node.

Each is a model (no input or output, no clock: float milliseconds are told) and a thin adapter on
Twisted, so the same one runs in the lab's virtual time and as a process on loopback.
"""
