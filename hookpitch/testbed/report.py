"""Renders a run as an HTML page: broken rules, expectations, timelines with faults, and figures."""

from __future__ import annotations

import html
import io
from typing import Any

TIMELINES = (
    ("served", "gain served in time"),
    ("exhausted", "exhausted"),
    ("misses", "misses at caches"),
    ("p99_ms", "p99, ms"),
    ("transmissions", "transmissions per RPC"),
    ("fetches_per_s", "fetches per second"),
)
STYLE = (
    "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}"
    "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
    "pre{background:#f6f6f6;padding:1em;overflow:auto}.no{color:#b00}"
)


def render_timelines(summary: dict[str, Any]) -> str:
    """Return the timelines of a run as SVG."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "hookpitch"
    from matplotlib import pyplot

    seconds = summary["seconds"]
    figure, axes = pyplot.subplots(
        len(TIMELINES), 1, sharex=True, figsize=(9, 1.6 * len(TIMELINES))
    )
    for axis, (name, title) in zip(axes, TIMELINES, strict=True):
        axis.plot(
            range(len(seconds)),
            [second[name] for second in seconds],
            drawstyle="steps-post",
            linewidth=1.4,
        )
        axis.set_ylabel(title, fontsize=8, rotation=0, ha="right", va="center")
        axis.margins(x=0)
        for fault in summary["faults"]:
            axis.axvspan(
                fault["at"], max(fault["end"], fault["at"] + 0.1), color="#d55", alpha=0.15
            )
    axes[-1].set_xlabel("seconds")
    output = io.StringIO()
    figure.savefig(output, format="svg", bbox_inches="tight", metadata={"Date": None})
    pyplot.close(figure)
    return output.getvalue()[output.getvalue().index("<svg") :]


def render_page(summary: dict[str, Any]) -> str:
    """Return the HTML page for the figures that `metrics.summary` returns."""
    title = html.escape(f"{summary['name']}, seed {summary['seed']}")
    broken = html.escape("\n\n".join(summary["broken"]) or "none")
    expected_rows = "".join(_expected_row(expected) for expected in summary["expected"])
    fault_items = "".join(_fault_item(fault) for fault in summary["faults"])
    figure_rows = "".join(
        f"<tr><td>{name}</td><td>{value:g}</td></tr>" for name, value in summary["whole"].items()
    )
    return "".join(
        (
            f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>",
            f"<h1>{title}</h1><p>{summary['rpcs']} RPCs, digest {summary['digest']}</p>",
            f"<h2>Rules broken</h2><pre>{broken}</pre>",
            f"<h2>Expected</h2><table>{expected_rows}</table>",
            f"<h2>Timelines</h2>{render_timelines(summary)}<ul>{fault_items}</ul>",
            f"<h2>Figures</h2><table>{figure_rows}</table>",
        )
    )


def _expected_row(expected: dict[str, Any]) -> str:
    holds = "holds" if expected["holds"] else "does not hold"
    style = "" if expected["holds"] else "no"
    text = html.escape(expected["text"])
    return (
        f'<tr class="{style}"><td>{text}</td><td>{expected["figure"]:g}</td><td>{holds}</td></tr>'
    )


def _fault_item(fault: dict[str, Any]) -> str:
    kind = html.escape(fault["what"])
    target = html.escape(fault["whom"])
    return f"<li>{fault['at']:g} s to {fault['end']:g} s: {kind} {target}</li>"
