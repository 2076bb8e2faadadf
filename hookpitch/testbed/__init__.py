"""The lab runs experiments with the real node among fake servers and clients.

A run takes place in virtual time or on loopback, and is judged by what the fakes recorded.
"""
