"""Measure membership at several fleet sizes, in virtual time: the state machine and codec alone.

    python benchmarks/members_size.py detect 400 --seeds 20
    python benchmarks/members_size.py lossy 100 --loss 0.2 --seconds 120 --seeds 20

`detect` kills one member (or the fraction `--part` of all) and prints the seconds to the first
suspicion and the seconds until all members agree. `lossy`, `pause`, `deaf` and `calm` print how
many members were declared dead wrongly, the bytes a second of each member, and the seconds until
all members agree again. Each seed is a separate process, `--jobs` of them at a time. The
simulation is in `hookpitch/testbed/membership_simulation.py`.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial

import click

from hookpitch.members.messages import MemberState
from hookpitch.testbed.membership_simulation import MembershipSimulation


def start_network(count: int, seed: int) -> MembershipSimulation:
    """Return a simulated network of `count` members that agree, after 60 s of steady state."""
    network = MembershipSimulation(count, seed)
    if network.advance_until(network.has_converged, 60) >= 60:
        raise ValueError(f"seed {seed}: {count} members did not agree within 60 s")
    network.advance(60)
    network.logs.clear()
    return network


def count_declared_dead(network: MembershipSimulation) -> int:
    """Return the number of members that any member has declared dead."""
    return len({text.split()[0] for _, _, text in network.logs if " dead" in text})


def bytes_per_second(network: MembershipSimulation, bytes_before: int, seconds: float) -> float:
    """Return the bytes a second of one member, on average over `seconds`."""
    return (sum(network.bytes_sent.values()) - bytes_before) / len(network.members) / seconds


def measure_detection(count: int, part: float, seed: int) -> tuple[float, ...]:
    """Kill members; return the times to suspicion and agreement, and the wrong declarations."""
    network = start_network(count, seed)
    killed = [
        f"m{index}" for index in range(1, count, max(1, round(1 / part)) if part else count)
    ] or ["m1"]
    network.kill(killed)
    is_suspected = lambda: any(  # noqa: E731
        network.members_believing(killed[0], state)
        for state in (MemberState.SUSPECTED, MemberState.DEAD)
    )
    first = network.advance_until(is_suspected, 30, 0.1)
    agreed = first + network.advance_until(network.has_converged, 60, 0.1)
    return first, agreed, float(count_declared_dead(network) - len(killed))


def measure_fault(
    kind: str, count: int, loss: float, seconds: float, seed: int
) -> tuple[float, ...]:
    """Apply a fault for `seconds`; return the wrong declarations, traffic and recovery time."""
    network = start_network(count, seed)
    bytes_before = sum(network.bytes_sent.values())
    if kind == "lossy":
        network.loss = loss
    elif kind == "deaf":
        network.extra_loss["m3"] = loss
    if kind == "pause":
        # For `pause`, `loss` is the length of each suspension in seconds.
        for index in range(20):
            network.suspend([f"m{(7 * index) % count}"], loss)
            network.advance(seconds / 20)
    else:
        network.advance(seconds)
    traffic = bytes_per_second(network, bytes_before, seconds)
    network.loss, network.extra_loss = 0.0, {}
    recovery_s = network.advance_until(network.has_converged, 120)
    return float(count_declared_dead(network)), traffic, recovery_s


def format_summary(name: str, values: list[float]) -> str:
    """Return one line with the median, the 99th percentile and the extremes of the values."""
    ordered = sorted(values)
    at = lambda fraction: ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]  # noqa: E731
    return f"  {name}: median {at(0.5):.1f}, 99th {at(0.99):.1f}, least {ordered[0]:.1f}, most {ordered[-1]:.1f}"  # noqa: E501


@click.command()
@click.argument("kind", type=click.Choice(["detect", "calm", "lossy", "deaf", "pause"]))
@click.argument("count", type=int)
@click.option("--seeds", default=20)
@click.option("--part", default=0.0, help="Fraction of the members killed at once; 0: one member.")
@click.option("--loss", default=0.2, help="Fraction of datagrams lost; for `pause`, its seconds.")
@click.option("--seconds", default=120.0)
@click.option("--jobs", default=8)
def main(
    kind: str, count: int, seeds: int, part: float, loss: float, seconds: float, jobs: int
) -> None:
    """Measure COUNT members under the fault KIND and print a summary over the seeds."""
    measure = (
        partial(measure_detection, count, part)
        if kind == "detect"
        else partial(measure_fault, kind, count, loss, seconds)
    )
    wrongly = "declared dead wrongly"
    names = ("first", "agreed", wrongly) if kind == "detect" else (wrongly, "bytes/s", "recovery s")
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(measure, range(1, seeds + 1)))
    click.echo(f"{kind} {count} part={part:g} loss={loss:g} seconds={seconds:g} seeds={seeds}")
    for index, name in enumerate(names):
        click.echo(format_summary(name, [row[index] for row in rows]))


if __name__ == "__main__":
    main()
