"""`hookpitch members ADDRESS`: the fleet as one node sees it, asked at its door for operators."""

from __future__ import annotations

import socket
import sys

import click

WAIT_S = 3.0


@click.command()
@click.argument("address")
def members(address: str) -> None:
    """Print the members that the node whose door is at ADDRESS (host:port) knows of."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        click.echo(f"'{address}' is no address with a port", err=True)
        sys.exit(2)
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout=WAIT_S) as line:
            line.sendall(b"MEMBERS\n")
            data = b""
            while part := line.recv(65536):
                data += part
    except OSError as fault:
        click.echo(f"{address}: {fault}", err=True)
        sys.exit(2)
    said = data.decode("utf-8", "replace").rstrip("\n")
    if not said.endswith("END"):
        click.echo(f"{address}: {said.removeprefix('NO ') or 'no answer'}", err=True)
        sys.exit(2)
    click.echo(said.removesuffix("END").rstrip("\n"))
