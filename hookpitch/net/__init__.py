"""The node's network layer, on Twisted.

Each module has one responsibility. All decisions about RPCs are made by the core's host.
"""
