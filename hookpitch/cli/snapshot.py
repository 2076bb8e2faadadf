"""`hookpitch snapshot show FILE`: what a node had learned, for on-call staff."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from hookpitch.cli.errors import fail

if TYPE_CHECKING:
    from hookpitch.startup.snapshot_format import BackendSnapshot, Snapshot


@click.group()
def snapshot() -> None:
    """What a node writes to a disk that lasts."""


@snapshot.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def show(path: Path, as_json: bool) -> None:
    """Print what FILE holds, without changing it."""
    from hookpitch.net.snapshot_store import load_snapshot

    try:
        found = load_snapshot(str(path))
    except ValueError as error:
        fail(f"{path}: {error}")
    if as_json:
        import msgspec

        click.echo(msgspec.json.encode(found).decode())
    else:
        _print_summary(path, found, time.time() * 1000)


def _print_summary(path: Path, found: Snapshot, now: float) -> None:
    from hookpitch.startup.snapshot_state import HALF_LIFE_MS

    age_ms = now - found.written_at_ms
    weight = 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS)
    click.echo(
        f"{path}: node {found.node} of fleet {found.fleet or '-'}, "
        f"{age_ms / 1000:.0f} s old: by {weight:.2f}"
    )
    click.echo(
        f"list version {found.version}, {len(found.endpoints)} servers; "
        f"banned: {', '.join(found.banned_ids) or 'none'}"
    )
    click.echo(
        f"{len(found.moved_buckets)} buckets moved; {len(found.hot_buckets)} sighted often, "
        f"of {found.request_count:.0f} RPCs"
    )
    click.echo(f"{'server':24} {'limit':>7} {'answer ms':>9} {'failures':>8}  state")
    for backend in found.backends:
        click.echo(
            f"{backend.id:24} {backend.concurrency_limit:7.2f} {backend.latency_ms:9.1f} "
            f"{backend.consecutive_failures:8}  {_state(backend, now)}"
        )


def _state(backend: BackendSnapshot, now: float) -> str:
    states = []
    if backend.ejected_until_ms > now:
        states.append(f"off the path for {(backend.ejected_until_ms - now) / 1000:.1f} s more")
    if backend.warmup_until_ms > now:
        states.append(f"cold for {(backend.warmup_until_ms - now) / 1000:.1f} s more")
    return ", ".join(states) or "on the path"
