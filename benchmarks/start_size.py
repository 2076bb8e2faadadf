"""Measure a fleet's start: run the experiments start-*.toml at full size, with one row for each.

    python benchmarks/start_size.py [--nodes 300] [--names together power-cut] [--seeds 1 2]
                                    [--why] [--members]

The runs are in virtual time. 300 nodes have 50 cache servers and 1,500 RPCs a second; --nodes 0
keeps the sizes of the experiment files. `--why` adds the server that received the most connection
attempts in one second, the nodes that made them, and the attempts and list requests by second.
With `--members`, the nodes are members of one fleet and get endpoint lists from one another.
"""

from __future__ import annotations

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from hookpitch.testbed.experiment import load
from hookpitch.testbed.experiment_schema import Experiment
from hookpitch.testbed.metrics import figure, rpc_records
from hookpitch.testbed.run import Run

ROOT = Path(__file__).parent.parent
SERVER_COUNT, RPCS_PER_NODE = 50, 5.0  # at full size: cache servers; RPCs a second for each node
FIGURES = ("list_calls", "dials_at_one", "listed_s")


def resize(experiment: Experiment, nodes: int) -> Experiment:
    """Return the experiment with `nodes` nodes and matching servers and traffic.

    Return it unchanged if `nodes` is 0.
    """
    if not nodes:
        return experiment
    replace, resized = (
        msgspec.structs.replace,
        msgspec.structs.replace(experiment.nodes, count=nodes),
    )
    return replace(
        experiment,
        fleet=replace(experiment.fleet, caches=SERVER_COUNT),
        nodes=resized,
        traffic=replace(
            experiment.traffic, rate=RPCS_PER_NODE * nodes, keys=10 * experiment.traffic.keys
        ),
        origin=replace(experiment.origin, cores=4 * experiment.origin.cores),
        seconds=experiment.seconds + 10,
    )


def run_experiment(path: Path, nodes: int, seed: int, why: bool, members: bool) -> str:
    """Run one experiment and return its row, followed by details by second."""
    experiment = resize(load(path), nodes)
    if members:
        experiment = msgspec.structs.replace(
            experiment,
            nodes=msgspec.structs.replace(experiment.nodes, members=True, peer_port=7946),
        )
    result = Run(experiment, seed).run()
    rpcs = rpc_records(experiment, result.history.events)
    row = [f"{figure(name, result, rpcs, 0.0, experiment.seconds):6.1f}" for name in FIGURES]
    fetches = max(
        figure("fetches_per_s", result, rpcs, second, second + 1)
        for second in range(int(experiment.seconds))
    )
    early = [rpc for rpc in rpcs if rpc.asked_at < 15000]
    served_early, served = (
        figure("served", result, records, 0.0, experiment.seconds) for records in (early, rpcs)
    )
    steady = figure("steady_s", result, rpcs, 0.0, experiment.seconds)
    dials = figure("dials", result, rpcs, 0.0, experiment.seconds)
    text = (
        f"{experiment.name:20} {seed:3} calls {row[0]} dials {row[1]} listed {row[2]} fetches {fetches:6.0f} "  # noqa: E501
        f"served15 {served_early:.3f} served {served:.3f} steady {steady:4.0f} "
        f"all dials {dials:7.0f} broken {len(result.violations)} {result.violations[:1] or ''}"
    )
    rpcs_by_second = [
        [rpc for rpc in rpcs if index <= rpc.asked_at / 1000 < index + 1] for index in range(20)
    ]
    by_second = [figure("served", result, records, 0, 0) for records in rpcs_by_second]
    text += "\n  served by second " + " ".join(f"{fraction:.2f}" for fraction in by_second)
    if why:
        # The second, the server and the node of each connection attempt.
        dialled = [
            (int(event.at // 1000), event.who, event.what)
            for event in result.history.events
            if event.kind == "dialled"
        ]
        (peak_second, server), _ = Counter(dial[:2] for dial in dialled).most_common(1)[0]
        by_node = Counter(dial[2] for dial in dialled if dial[:2] == (peak_second, server))
        dials_by_second = Counter(dial[0] for dial in dialled)
        text += (
            f"\n  most at {server} in second {peak_second}: {by_node.total()} dials by"
            f" {len(by_node)} nodes"
        )
        text += f"\n  all dials by second {[dials_by_second[second] for second in range(30)]}"
        calls_by_second = Counter(
            int(event.at // 1000) for event in result.history.events if event.kind == "called"
        )
        text += f"\n  calls by second {[calls_by_second[second] for second in range(30)]}"
        at_server = Counter(dial[0] for dial in dialled if dial[1] == server)
        text += f"\n  at {server} by second {[at_server[second] for second in range(30)]}"
    return text


def main() -> None:
    """Run the selected experiments in parallel and print their rows."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--nodes", type=int, default=300)
    parser.add_argument("--names", nargs="*", default=[])
    parser.add_argument("--seeds", nargs="*", type=int, default=[1])
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--why", action="store_true")
    parser.add_argument("--members", action="store_true")
    args = parser.parse_args()
    paths = sorted((ROOT / "experiments").glob("start-*.toml"))
    selected = [
        path for path in paths if not args.names or path.stem.removeprefix("start-") in args.names
    ]
    with ProcessPoolExecutor(args.workers) as pool:
        runs = [
            pool.submit(run_experiment, path, args.nodes, seed, args.why, args.members)
            for path in selected
            for seed in args.seeds
        ]
        for run in runs:
            print(run.result(), flush=True)


if __name__ == "__main__":
    main()
