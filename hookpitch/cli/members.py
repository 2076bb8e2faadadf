"""`hookpitch members FILE|ADDRESS`: the fleet as one node sees it, asked at its door for operators."""  # noqa: E501

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path

import click

WAIT_S = 3.0


def door(file: Path) -> str:
    """The address of the door, from a node's configuration. ValueError says in one line why there
    is none."""
    try:
        top = json.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise ValueError(f"{file}: {getattr(fault, 'strerror', None) or fault}") from None
    address = top.get("management") if isinstance(top, dict) else None
    if not isinstance(address, str):
        raise ValueError(f"{file}: names no address for operators (management)")
    return address


@click.command()
@click.argument("address", metavar="FILE|ADDRESS")
def members(address: str) -> None:
    """Print the members that a node knows of: FILE is its configuration, ADDRESS its door
    (host:port)."""
    if Path(address).is_file():
        try:
            address = door(Path(address))
        except ValueError as why:
            click.echo(str(why), err=True)
            sys.exit(2)
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
