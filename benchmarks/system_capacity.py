"""What control costs by role and size.

`PYTHONPATH=target/deps:. python benchmarks/system_capacity.py [PART]`

PART is `slopes` (the pure objects and the codec, each alone, in this process), `heartbeats` (a control node's
HTTP interface), `system` (whole systems of 30, 100 and 300 gateways with the servers and control nodes that
go with them) or `target` (the same of 490 gateways, 6,900 servers and 9 control nodes: some minutes and 3 GB
of memory). Figures go to the standard output, and with `--out FILE` to a file as JSON.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import asdict, evolve

sys.path.insert(0, str(Path(__file__).parent))

from capacity.catalog_probes import catalog_costs, presence_costs  # noqa: E402
from capacity.heartbeats import http_costs  # noqa: E402
from capacity.pools import pool_costs  # noqa: E402
from capacity.prefix_probes import prefix_costs  # noqa: E402
from capacity.server_probes import heartbeat_costs, server_costs  # noqa: E402
from capacity.system import measure  # noqa: E402
from capacity.target import TARGET, Size, twin  # noqa: E402

SMALL_SIZES = (30, 100, 300)  # gateways
FIGURES = 4  # significant ones that are printed


def slopes(size: Size) -> dict[str, object]:
    """The pure objects and the codec at one size."""
    probes: tuple[Callable[[Size], Any], ...] = (
        heartbeat_costs,
        server_costs,
        catalog_costs,
        presence_costs,
        pool_costs,
        prefix_costs,
    )
    costs = [probe(size) for probe in probes]
    return {type(cost).__name__: asdict(cost) for cost in costs}


def whole_system(size: Size) -> dict[str, object]:
    """A system of one size as it runs."""
    return asdict(measure(size))


PARTS: dict[str, tuple[Callable[[Size], dict[str, object]], tuple[Size, ...]]] = {
    "slopes": (slopes, (*map(twin, SMALL_SIZES), TARGET)),
    "heartbeats": (lambda size: asdict(http_costs(size)), (TARGET,)),
    "system": (whole_system, tuple(map(twin, SMALL_SIZES))),
    "target": (whole_system, (TARGET,)),
}


def show(figures: dict[str, object], indent: str = "  ") -> None:
    """Print figures, one a line."""
    for name, value in figures.items():
        if isinstance(value, dict):
            print(f"{indent}{name}")
            show(value, indent + "  ")
        else:
            text = f"{value:.{FIGURES}g}" if isinstance(value, float) else str(value)
            print(f"{indent}{name}: {text}")
    sys.stdout.flush()


def main() -> None:
    """Measure the parts that the command line names."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("part", choices=PARTS, nargs="?", default="slopes")
    parser.add_argument("--gateways", type=int, help="only the twin with so many gateways")
    parser.add_argument("--servers", type=int, help="in place of those in proportion")
    parser.add_argument(
        "--heartbeat-ms", type=float, help="of servers, in place of 1,200; for a busy machine"
    )
    parser.add_argument("--out", type=Path, help="a file for the figures as JSON")
    arguments = parser.parse_args()
    measure_part, sizes = PARTS[arguments.part]
    if arguments.gateways:
        sizes = (twin(arguments.gateways),)
    if arguments.heartbeat_ms:
        sizes = tuple(evolve(size, heartbeat_ms=arguments.heartbeat_ms) for size in sizes)
    if arguments.servers:
        sizes = tuple(evolve(size, servers=arguments.servers) for size in sizes)
    results = []
    for size in sizes:
        print(size, flush=True)
        figures = measure_part(size)
        show(figures)
        results.append({"size": asdict(size), "figures": figures})
    if arguments.out:
        arguments.out.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
