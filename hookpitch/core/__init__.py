"""The node's core: RESP2, deadlines, streams and the host that carries out routing decisions.

No I/O and no clock: callers pass the time, in milliseconds as a float.
"""
