"""What membership does at its sizes, in virtual time: state machine and codec alone
(`hookpitch/testbed/membership_simulation.py`).

    python benchmarks/members_size.py detect 400 --seeds 20
    python benchmarks/members_size.py lossy 100 --loss 0.2 --seconds 120 --seeds 20

`detect` kills one (or `--part` of all) and prints seconds to the first suspicion and until all
agree;
`lossy`, `pause`, `deaf` and `calm` print how many were called dead, wrongly, and bytes a second of
each.
Each seed is a process of its own; `--jobs` at once.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial

import click

from hookpitch.members.messages import MemberState
from hookpitch.testbed.membership_simulation import MembershipSimulation


def up(count: int, seed: int) -> MembershipSimulation:
    net = MembershipSimulation(count, seed)
    if net.advance_until(net.agreed, 60) >= 60:
        raise ValueError(f"seed {seed}: {count} members did not meet within 60 s")
    net.advance(60)
    net.logs.clear()
    return net


def called_dead(net: MembershipSimulation) -> int:
    return len({text.split()[0] for _, _, text in net.logs if " dead" in text})


def cost(net: MembershipSimulation, before: int, seconds: float) -> float:
    return (sum(net.bytes.values()) - before) / len(net.members) / seconds


def detect(count: int, part: float, seed: int) -> tuple[float, ...]:
    net = up(count, seed)
    gone = [f"m{n}" for n in range(1, count, max(1, round(1 / part)) if part else count)] or ["m1"]
    net.kill(gone)
    some = lambda: any(net.believers(gone[0], s) for s in (MemberState.SUSPECTED, MemberState.DEAD))  # noqa: E731
    first = net.advance_until(some, 30, 0.1)
    agreed = first + net.advance_until(net.agreed, 60, 0.1)
    return first, agreed, float(called_dead(net) - len(gone))


def quiet(kind: str, count: int, loss: float, seconds: float, seed: int) -> tuple[float, ...]:
    net = up(count, seed)
    before = sum(net.bytes.values())
    if kind == "lossy":
        net.loss = loss
    elif kind == "deaf":
        net.extra_loss["m3"] = loss
    if kind == "pause":
        for n in range(20):
            net.suspend([f"m{(7 * n) % count}"], loss)
            net.advance(seconds / 20)
    else:
        net.advance(seconds)
    told = cost(net, before, seconds)
    net.loss, net.extra_loss = 0.0, {}
    healed = net.advance_until(net.agreed, 120)
    return float(called_dead(net)), told, healed


def line(name: str, values: list[float]) -> str:
    some = sorted(values)
    at = lambda q: some[min(len(some) - 1, int(q * len(some)))]  # noqa: E731
    return f"  {name}: median {at(0.5):.1f}, 99th {at(0.99):.1f}, least {some[0]:.1f}, most {some[-1]:.1f}"  # noqa: E501


@click.command()
@click.argument("kind", type=click.Choice(["detect", "calm", "lossy", "deaf", "pause"]))
@click.argument("count", type=int)
@click.option("--seeds", default=20)
@click.option("--part", default=0.0, help="Of all, killed at once; 0: one.")
@click.option("--loss", default=0.2, help="Part of the datagrams lost; of `pause`, its seconds.")
@click.option("--seconds", default=120.0)
@click.option("--jobs", default=8)
def main(
    kind: str, count: int, seeds: int, part: float, loss: float, seconds: float, jobs: int
) -> None:
    play = (
        partial(detect, count, part)
        if kind == "detect"
        else partial(quiet, kind, count, loss, seconds)
    )
    wrongly = "called dead wrongly"
    names = ("first", "agreed", wrongly) if kind == "detect" else (wrongly, "bytes/s", "healed s")
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(play, range(1, seeds + 1)))
    click.echo(f"{kind} {count} part={part:g} loss={loss:g} seconds={seconds:g} seeds={seeds}")
    for n, name in enumerate(names):
        click.echo(line(name, [row[n] for row in rows]))


if __name__ == "__main__":
    main()
