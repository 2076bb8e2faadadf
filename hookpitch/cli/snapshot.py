"""The command `hookpitch snapshot show FILE`: prints the learned state of a node."""

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
    """Inspect the snapshots that nodes write to persistent storage."""


@snapshot.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the complete snapshot as JSON.")
def show(path: Path, as_json: bool) -> None:
    """Print the snapshot in FILE, without changing it."""
    from hookpitch.net.snapshot_store import load_snapshot

    try:
        saved = load_snapshot(str(path))
    except ValueError as error:
        fail(f"{path}: {error}")
    if as_json:
        import msgspec

        click.echo(msgspec.json.encode(saved).decode())
    else:
        _print_summary(path, saved, time.time() * 1000)


def _print_summary(path: Path, saved: Snapshot, now: float) -> None:
    from hookpitch.startup.snapshot_state import HALF_LIFE_MS

    age_ms = now - saved.written_at_ms
    weight = 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS)
    click.echo(
        f"{path}: node {saved.node} of fleet {saved.fleet or '-'}, "
        f"{age_ms / 1000:.0f} s old, weight {weight:.2f}"
    )
    click.echo(
        f"list version {saved.version}, {len(saved.endpoints)} servers; "
        f"banned: {', '.join(saved.banned_ids) or 'none'}"
    )
    click.echo(
        f"{len(saved.moved_buckets)} buckets moved; {len(saved.hot_buckets)} hot buckets "
        f"among {saved.request_count:.0f} RPCs"
    )
    click.echo(f"{'server':24} {'limit':>7} {'answer ms':>9} {'failures':>8}  state")
    for backend in saved.backends:
        click.echo(
            f"{backend.id:24} {backend.concurrency_limit:7.2f} {backend.latency_ms:9.1f} "
            f"{backend.consecutive_failures:8}  {_state(backend, now)}"
        )


def _state(backend: BackendSnapshot, now: float) -> str:
    states = []
    if backend.ejected_until_ms > now:
        states.append(f"ejected for {(backend.ejected_until_ms - now) / 1000:.1f} s more")
    if backend.warmup_until_ms > now:
        states.append(f"warming up for {(backend.warmup_until_ms - now) / 1000:.1f} s more")
    return ", ".join(states) or "available"
