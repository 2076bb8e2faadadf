"""The command `hookpitch members FILE|ADDRESS`: the members of the fleet as one node sees them."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import click

from hookpitch.cli.errors import exit_on, fail

TIMEOUT_S = 3.0
RECEIVE_BYTES = 65536
END_MARKER = "END"


def admin_address(config_file: Path) -> str:
    """Return the address of the admin endpoint in a node's configuration.

    Raise ValueError with a text of one line if there is none.
    """
    try:
        document = json.loads(config_file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ValueError(f"{config_file}: {getattr(error, 'strerror', None) or error}") from None
    address = document.get("management") if isinstance(document, dict) else None
    if isinstance(address, str):
        return address
    raise ValueError(f"{config_file}: the address of the admin endpoint (management) is missing")


@click.command()
@click.argument("address", metavar="FILE|ADDRESS")
def members(address: str) -> None:
    """Print the members that a node knows.

    FILE is the node's JSON file, ADDRESS is the host:port of its admin endpoint.
    """
    if Path(address).is_file():
        with exit_on(ValueError):
            address = admin_address(Path(address))
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        fail(f"'{address}' is neither a file nor an address with a port (host:port)")
    try:
        answer = _request_members(host.strip("[]"), int(port))
    except OSError as error:
        fail(f"{address}: {error}")
    if not answer.endswith(END_MARKER):
        fail(f"{address}: {answer.removeprefix('NO ') or 'no answer'}")
    click.echo(answer.removesuffix(END_MARKER).rstrip("\n"))


def _request_members(host: str, port: int) -> str:
    """Return the answer of the admin endpoint without its line end. Raise OSError on failure."""
    with socket.create_connection((host, port), timeout=TIMEOUT_S) as connection:
        connection.sendall(b"MEMBERS\n")
        data = b""
        while chunk := connection.recv(RECEIVE_BYTES):
            data += chunk
    return data.decode("utf-8", "replace").rstrip("\n")
