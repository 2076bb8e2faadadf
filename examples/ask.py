"""Send one command to a node, as a client does, and print the answer.

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
    # Every RPC needs an id that no other RPC has.
    rpc_id = os.urandom(8).hex()
    # The fields after the id are the method (`c`) and the timeout in milliseconds (`d`).
    match words:
        case ["get", key]:
            parts = ["OBJ.GET", key, rpc_id, "c=read,d=900"]
        case ["set", key, value]:
            parts = ["OBJ.SET", key, rpc_id, "c=read,d=900", value]
        case ["info"]:
            parts = ["INFO"]
        case _:
            print(__doc__)
            return 2
    encoded = [part.encode() for part in parts]
    with socket.create_connection(NODE, timeout=5) as connection:
        connection.sendall(
            b"*%d\r\n" % len(encoded)
            + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in encoded)
        )
        answer = connection.makefile("rb")
        header = answer.readline()
        if header.startswith(b"$"):
            print(answer.read(int(header[1:])).decode(errors="replace"))
            return 0
        print(header.decode(errors="replace").strip())
        return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
