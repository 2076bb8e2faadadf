"""The node's core: RESP2, timers, streams, and the host that carries out routing decisions.

It does no I/O and reads no clock: callers pass the time, in milliseconds as a float.
"""
