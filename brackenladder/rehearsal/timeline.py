"""A self-contained HTML page of a run: for each server and node its states, faults, load and rule breaks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from html import escape

from brackenladder.rehearsal.checker import RULES, Finding, Report
from brackenladder.rehearsal.events import (
    Answered,
    Arrived,
    Broken,
    Changed,
    Closed,
    Down,
    Fault,
    GaveUp,
    NodeEnded,
    NodeUp,
    Replied,
    Sent,
    Up,
)
from brackenladder.rehearsal.runner import Result
from brackenladder.rehearsal.scenario import Scenario

WIDTH, LEFT, LANE, GAP = 1200, 150, 34, 8  # pixels
BINS = 300  # intervals of the run for which the load is drawn
TICKS = 12

STYLE = """
body{font:14px system-ui,sans-serif;margin:24px;color:#222;background:#fff}
svg{display:block;overflow:visible} .name{font:12px ui-monospace,monospace;fill:#222}
.up{fill:#e3f1e5} .cold{fill:url(#cold)} .drains{fill:#fff1c9} .load{fill:#4a6fa5;opacity:.75}
.fault{fill:#b5651d;opacity:.28} .break{fill:#c1121f} .edge{fill:none;stroke:#c1121f}
.axis{stroke:#ccc} .tick{font:11px system-ui;fill:#777} td,th{padding:2px 10px;text-align:left}
.broke{color:#c1121f;font-weight:bold} .held{color:#2b7a3d}
.key span{display:inline-block;padding:1px 8px;margin-right:8px}
.k-up{background:#e3f1e5} .k-cold{background:linear-gradient(90deg,#9cc3e6,#e3f1e5)}
.k-drains{background:#fff1c9} .k-fault{background:#ecd3bd} .k-load{background:#4a6fa5;color:#fff}
"""


class Lane:
    """One row of the timeline; times in microseconds by the clock of the events."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.spans: list[tuple[int, int, str, str]] = []  # (from, to, style, tooltip)
        self.load: list[tuple[int, int]] = []  # (time, change of requests in flight)
        self.marks: list[tuple[int, str, str]] = []  # (time, style, tooltip)


def lanes_of(scenario: Scenario, result: Result, report: Report) -> list[Lane]:
    """The lanes: nodes first, then servers, discovery and the relay in order of their first event."""
    lanes: dict[str, Lane] = {}
    last = max((e.t for e in result.events), default=result.begin)
    up_since: dict[str, Up] = {}
    node_since: dict[str, int] = {}
    draining: dict[str, int] = {}
    owner: dict[str, str] = {}

    def lane(name: str) -> Lane:
        return lanes.setdefault(name, Lane(name))

    def close_server(server: str, t: int) -> None:
        up = up_since.pop(server, None)
        if up is None:
            return
        warm = min(t, up.t + up.warm)
        if up.warm:
            lane(server).spans.append((up.t, warm, "cold", "cold"))
        lane(server).spans.append((warm, t, "up", "up"))
        if server in draining:
            lane(server).spans.append((draining.pop(server), t, "drains", "discovery lists it as draining"))

    for i in range(scenario.nodes):
        lane(f"n{i}")
    for event in result.events:
        match event:
            case NodeUp():
                node_since[event.node] = event.t
            case NodeEnded():
                lane(event.node).spans.append((node_since.pop(event.node, event.t), event.t, "up", "ready"))
            case Up():
                up_since[event.server] = event
            case Down():
                close_server(event.server, event.t)
            case Changed() if event.source == 0 and event.state == "draining" and event.server in up_since:
                draining[event.server] = event.t
            case Fault():
                words = f"{event.kind} {event.target}"
                lane(event.target).spans.append((event.t, min(event.end, last), "fault", words))
            case Arrived():
                lane(event.server).load.append((event.t, 1))
            case Replied() | Closed():
                lane(event.server).load.append((event.t, -1))
            case Sent():
                owner[event.id] = event.node
                lane(event.node).load.append((event.t, 1))
            case Answered() | Broken() | GaveUp() if event.id in owner:
                lane(owner.pop(event.id)).load.append((event.t, -1))
            case _:
                pass
    for name, since in node_since.items():
        lane(name).spans.append((since, last, "up", "ready"))
    for server in list(up_since):
        close_server(server, last)
    for style, findings in (
        ("break", report.breaks),
        ("edge", [f for rule in RULES for f in report.rulings[rule].edge_cases]),
    ):
        for finding in findings:
            words = f"{finding.rule}: {finding.what}: {finding.text} {finding.id}"
            for name in {finding.node, finding.server} - {""}:
                lane(name).marks.append((finding.t, style, words))
    return list(lanes.values())


def render_page(scenario: Scenario, result: Result, report: Report) -> str:
    """The HTML of the page, which loads no other file."""
    begin = result.begin
    end = max((e.t for e in result.events), default=begin + 1)
    span = max(1, end - begin)

    def x(t: int) -> float:
        return LEFT + max(0.0, min(1.0, (t - begin) / span)) * WIDTH

    lanes = lanes_of(scenario, result, report)
    height = len(lanes) * (LANE + GAP) + 30
    parts = [draw_lane(lane, 24 + i * (LANE + GAP), x, begin, span) for i, lane in enumerate(lanes)]
    ticks = "".join(
        f'<line class="axis" x1="{x(begin + span * k // TICKS):.1f}" x2="{x(begin + span * k // TICKS):.1f}"'
        f' y1="14" y2="{height}"/><text class="tick" x="{x(begin + span * k // TICKS):.1f}" y="10">'
        f"{span * k / TICKS / 1e6:.1f} s</text>"
        for k in range(TICKS + 1)
    )
    rows = "".join(
        f'<tr><td>{rule}</td><td class="{report.rulings[rule].verdict}">{report.rulings[rule].verdict}</td>'
        f"<td>{report.rulings[rule].chances}</td><td>{report.rulings[rule].broken}</td></tr>"
        for rule in RULES
    )
    breaks = "".join(f"<li>{describe_finding(f, begin)}</li>" for f in report.breaks[:200])
    title = escape(f"{scenario.title}, seed {result.plan.seed}")
    return f"""<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>
<h1>{title}</h1><p>{escape(scenario.about)}</p>
<table><tr><th>rule</th><th>verdict</th><th>chances</th><th>broken</th></tr>{rows}</table>
<p class="key"><span class="k-up">up</span><span class="k-cold">cold, warming</span>
<span class="k-drains">draining</span><span class="k-fault">fault</span>
<span class="k-load">requests in flight</span><span class="broke">&#9670; a rule broke</span></p>
<svg width="{LEFT + WIDTH + 40}" height="{height}"><defs><linearGradient id="cold">
<stop offset="0" stop-color="#9cc3e6"/><stop offset="1" stop-color="#e3f1e5"/></linearGradient></defs>
{ticks}{"".join(parts)}</svg>
<h2>What broke</h2><ul>{breaks or "<li>Nothing.</li>"}</ul></html>
"""


def describe_finding(finding: Finding, begin: int) -> str:
    return escape(
        f"{(finding.t - begin) / 1e6:.3f} s, {finding.rule}: {finding.node} {finding.server} {finding.id}"
        f" {finding.text}"
    )


def draw_lane(lane: Lane, y: int, x: Callable[[int], float], begin: int, span: int) -> str:
    """The SVG of a lane."""
    out = [f'<text class="name" x="4" y="{y + LANE / 2 + 4:.0f}">{escape(lane.name)}</text>']
    order = {"up": 0, "cold": 0, "drains": 1, "fault": 2}
    for start, end, style, words in sorted(lane.spans, key=lambda s: order[s[2]]):
        if end > begin:
            out.append(
                f'<rect class="{style}" x="{x(start):.1f}" y="{y}" width="{max(1.5, x(end) - x(start)):.1f}"'
                f' height="{LANE}"><title>{escape(words)}</title></rect>'
            )
    peak, points = peak_loads(lane.load, begin, span)
    if peak:
        step = WIDTH / BINS
        path = " ".join(
            f"L{LEFT + i * step:.1f} {y + LANE - LANE * n / peak:.1f}" for i, n in enumerate(points)
        )
        out.append(
            f'<path class="load" d="M{LEFT} {y + LANE} {path} L{LEFT + WIDTH} {y + LANE} Z">'
            f"<title>at most {peak} in flight</title></path>"
        )
    for t, style, words in lane.marks:
        out.append(
            f'<path class="{style}" d="M{x(t):.1f} {y - 2} l6 7 l-6 7 l-6 -7 z">'
            f"<title>{escape(words)}</title></path>"
        )
    return "".join(out)


def peak_loads(changes: Sequence[tuple[int, int]], begin: int, span: int) -> tuple[int, list[int]]:
    """The largest number of requests in flight, over the whole run and in each interval that is drawn."""
    most: defaultdict[int, int] = defaultdict(int)
    level, bin_ = 0, 0
    for t, change in sorted(changes):
        new = min(BINS - 1, max(0, (t - begin) * BINS // span))
        for between in range(bin_ + 1, new + 1):
            most[between] = max(most[between], level)
        bin_ = new
        level += change
        most[bin_] = max(most[bin_], level)
    points = [most[i] for i in range(BINS)]
    return max(points, default=0), points
