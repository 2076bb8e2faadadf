"""The lab: the real node among stand-ins, in virtual time or on loopback, judged by what the
others saw."""
