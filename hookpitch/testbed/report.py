"""A run as one HTML page: time lines with the faults marked, figures, and what broke."""

from __future__ import annotations

import html
import io
from typing import Any

LINES = (
    ("served", "gain served in time"),
    ("exhausted", "exhausted"),
    ("misses", "misses at caches"),
    ("p99_ms", "p99, ms"),
    ("transmissions", "transmissions an RPC"),
    ("fetches_per_s", "fetches a second"),
)
STYLE = (
    "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}"
    "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
    "pre{background:#f6f6f6;padding:1em;overflow:auto}.no{color:#b00}"
)


def drawn(summary: dict[str, Any]) -> str:
    """The time lines as SVG."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "hookpitch"
    from matplotlib import pyplot

    seconds = summary["seconds"]
    figure, axes = pyplot.subplots(len(LINES), 1, sharex=True, figsize=(9, 1.6 * len(LINES)))
    for axis, (name, title) in zip(axes, LINES, strict=True):
        axis.plot(
            range(len(seconds)), [s[name] for s in seconds], drawstyle="steps-post", linewidth=1.4
        )
        axis.set_ylabel(title, fontsize=8, rotation=0, ha="right", va="center")
        axis.margins(x=0)
        for fault in summary["faults"]:
            axis.axvspan(
                fault["at"], max(fault["end"], fault["at"] + 0.1), color="#d55", alpha=0.15
            )
    axes[-1].set_xlabel("seconds")
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    pyplot.close(figure)
    return out.getvalue()[out.getvalue().index("<svg") :]


def page(summary: dict[str, Any]) -> str:
    """The page, from the figures that `metrics.summary` gives."""
    rows = "".join(f"<tr><td>{k}</td><td>{v:g}</td></tr>" for k, v in summary["whole"].items())
    expected = "".join(
        f'<tr class="{"" if e["holds"] else "no"}"><td>{html.escape(e["text"])}</td><td>{e["figure"]:g}</td>'  # noqa: E501
        f"<td>{'holds' if e['holds'] else 'does not hold'}</td></tr>"
        for e in summary["expected"]
    )
    faults = "".join(
        f"<li>{f['at']:g} s to {f['end']:g} s: {html.escape(f['what'])} {html.escape(f['whom'])}</li>"  # noqa: E501
        for f in summary["faults"]
    )
    broken = "\n\n".join(summary["broken"]) or "none"
    title = f"{summary['name']}, seed {summary['seed']}"
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style>"  # noqa: E501
        f"<h1>{html.escape(title)}</h1><p>{summary['rpcs']} RPCs, digest {summary['digest']}</p>"
        f"<h2>Rules broken</h2><pre>{html.escape(broken)}</pre><h2>Expected</h2><table>{expected}</table>"  # noqa: E501
        f"<h2>Time lines</h2>{drawn(summary)}<ul>{faults}</ul><h2>Figures</h2><table>{rows}</table>"
    )
