"""Asks a node once, as a client would, and prints its answer.

python examples/ask.py get KEY
python examples/ask.py set KEY VALUE
python examples/ask.py info
"""

from __future__ import annotations

import os
import socket
import sys

NODE = ("127.0.0.1", 6379)


def main(words: list[str]) -> int:
    """Send one command and print the reply; return the exit code."""
    rpc = os.urandom(8).hex()  # new for every RPC
    match words:
        case ["get", key]:
            parts = ["OBJ.GET", key, rpc, "c=read,d=900"]
        case ["set", key, value]:
            parts = ["OBJ.SET", key, rpc, "c=read,d=900", value]
        case ["info"]:
            parts = ["INFO"]
        case _:
            print(__doc__)
            return 2
    encoded = [p.encode() for p in parts]
    with socket.create_connection(NODE, timeout=5) as line:
        line.sendall(
            b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in encoded)
        )
        stream = line.makefile("rb")
        head = stream.readline()
        if head.startswith(b"$"):
            print(stream.read(int(head[1:])).decode(errors="replace"))
            return 0
        print(head.decode(errors="replace").strip())
        return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
