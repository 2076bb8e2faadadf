"""What a start costs: the experiments start-*.toml at full size in virtual time, one row each.

    python benchmarks/start_size.py [--nodes 300] [--names together power-cut] [--seeds 1 2]
                                    [--why] [--members]

At 300 nodes: 50 cache servers, 1,500 RPCs a second; the files' own size with --nodes 0. `--why`
adds, for the
server that is dialled most in a second, who dials it, how often and how dials ended. `--members`:
nodes are
members of one fleet, and get lists from one another.
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
SERVERS, RPCS = 50, 5.0  # at full size: cache servers; RPCs a second for each node
FIGURES = ("list_calls", "dials_at_one", "listed_s")


def sized(x: Experiment, nodes: int) -> Experiment:
    """The same experiment with so many nodes, and servers and traffic to match; 0: as it is."""
    if not nodes:
        return x
    fleet, count = msgspec.structs.replace, msgspec.structs.replace(x.nodes, count=nodes)
    return fleet(
        x,
        fleet=fleet(x.fleet, caches=SERVERS),
        nodes=count,
        traffic=fleet(x.traffic, rate=RPCS * nodes, keys=10 * x.traffic.keys),
        origin=fleet(x.origin, cores=4 * x.origin.cores),
        seconds=x.seconds + 10,
    )


def played(path: Path, nodes: int, seed: int, why: bool, members: bool) -> str:
    x = sized(load(path), nodes)
    if members:
        x = msgspec.structs.replace(
            x, nodes=msgspec.structs.replace(x.nodes, members=True, peer_port=7946)
        )
    ended = Run(x, seed).run()
    rpcs = rpc_records(x, ended.history.events)
    row = [f"{figure(n, ended, rpcs, 0.0, x.seconds):6.1f}" for n in FIGURES]
    fetches = max(figure("fetches_per_s", ended, rpcs, s, s + 1) for s in range(int(x.seconds)))
    early = [s for s in rpcs if s.at < 15000]
    served, whole = (figure("served", ended, some, 0.0, x.seconds) for some in (early, rpcs))
    steady = figure("steady_s", ended, rpcs, 0.0, x.seconds)
    dials = figure("dials", ended, rpcs, 0.0, x.seconds)
    text = (
        f"{x.name:20} {seed:3} calls {row[0]} dials {row[1]} listed {row[2]} fetches {fetches:6.0f} "  # noqa: E501
        f"served15 {served:.3f} served {whole:.3f} steady {steady:4.0f} "
        f"all dials {dials:7.0f} broken {len(ended.violations)} {ended.violations[:1] or ''}"
    )
    seconds = [[s for s in rpcs if n <= s.at / 1000 < n + 1] for n in range(20)]
    by_second = [figure("served", ended, some, 0, 0) for some in seconds]
    text += "\n  served by second " + " ".join(f"{s:.2f}" for s in by_second)
    if why:
        dialled = [
            (int(e.at // 1000), e.who, e.what) for e in ended.history.events if e.kind == "dialled"
        ]
        (second, server), _ = Counter(d[:2] for d in dialled).most_common(1)[0]
        here = Counter(d[2] for d in dialled if d[:2] == (second, server))
        each = Counter(d[0] for d in dialled)
        text += (
            f"\n  most at {server} in second {second}: {here.total()} dials by {len(here)} nodes"
        )
        text += f"\n  all dials by second {[each[s] for s in range(30)]}"
        calls = Counter(int(e.at // 1000) for e in ended.history.events if e.kind == "called")
        text += f"\n  calls by second {[calls[s] for s in range(30)]}"
        one = Counter(d[0] for d in dialled if d[1] == server)
        text += f"\n  at {server} by second {[one[s] for s in range(30)]}"
    return text


def main() -> None:
    ask = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    ask.add_argument("--nodes", type=int, default=300)
    ask.add_argument("--names", nargs="*", default=[])
    ask.add_argument("--seeds", nargs="*", type=int, default=[1])
    ask.add_argument("--workers", type=int, default=4)
    ask.add_argument("--why", action="store_true")
    ask.add_argument("--members", action="store_true")
    told = ask.parse_args()
    paths = sorted((ROOT / "experiments").glob("start-*.toml"))
    some = [p for p in paths if not told.names or p.stem.removeprefix("start-") in told.names]
    with ProcessPoolExecutor(told.workers) as pool:
        runs = [
            pool.submit(played, p, told.nodes, seed, told.why, told.members)
            for p in some
            for seed in told.seeds
        ]
        for run in runs:
            print(run.result(), flush=True)


if __name__ == "__main__":
    main()
