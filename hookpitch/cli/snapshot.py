"""`hookpitch snapshot show FILE`: what a node had learned, for on-call staff."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click


@click.group()
def snapshot() -> None:
    """What a node writes to a disk that lasts."""


@snapshot.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def show(path: Path, as_json: bool) -> None:
    """Print what FILE holds, without changing it."""
    import msgspec

    from hookpitch.net.snapshot_store import load_snapshot
    from hookpitch.startup.snapshot_state import HALF_LIFE_MS

    try:
        x = load_snapshot(str(path))
    except ValueError as fault:
        click.echo(f"{path}: {fault}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(msgspec.json.encode(x).decode())
        return
    now = time.time() * 1000
    age = now - x.written_at_ms
    weight = 0.5 ** (max(0.0, age) / HALF_LIFE_MS)
    click.echo(
        f"{path}: node {x.node} of fleet {x.fleet or '-'}, {age / 1000:.0f} s old: by {weight:.2f}"
    )
    click.echo(
        f"list version {x.version}, {len(x.endpoints)} servers; "
        f"banned: {', '.join(x.banned_ids) or 'none'}"
    )
    click.echo(
        f"{len(x.moved_buckets)} buckets moved; {len(x.hot_buckets)} sighted often, "
        f"of {x.request_count:.0f} RPCs"
    )
    click.echo(f"{'server':24} {'limit':>7} {'answer ms':>9} {'failures':>8}  state")
    for s in x.backends:
        states = (
            [f"off the path for {(s.ejected_until_ms - now) / 1000:.1f} s more"]
            if s.ejected_until_ms > now
            else []
        )
        states += (
            [f"cold for {(s.warmup_until_ms - now) / 1000:.1f} s more"]
            if s.warmup_until_ms > now
            else []
        )
        state = ", ".join(states) or "on the path"
        click.echo(
            f"{s.id:24} {s.concurrency_limit:7.2f} {s.latency_ms:9.1f} "
            f"{s.consecutive_failures:8}  {state}"
        )
