"""The size that the system is designed for, what a node may spend on control, and smaller twins of it."""

from __future__ import annotations

from attrs import frozen

SECONDS_PER_DAY = 86_400
MIB = 1024 * 1024
KB = 1000
SMALLEST_CORE = 3  # control nodes
MOST_LINKS = 5  # control nodes that one gateway is linked to, as `node/control_links.py` has it


@frozen
class Size:
    """How many nodes of each role, and how large the configuration is."""

    gateways: int
    servers: int
    control_nodes: int
    routes: int
    zones: int = 46
    heartbeat_ms: float = 1200.0  # longer ones leave a busy machine time for the rest

    @property
    def links(self) -> int:
        """Links of one gateway to control nodes."""
        return min(self.control_nodes, max(MOST_LINKS, self.control_nodes // 2 + 1))

    @property
    def subscribers(self) -> float:
        """Gateways that one control node informs, on average."""
        return self.gateways * self.links / self.control_nodes


@frozen
class Allowance:
    """What a node may spend on control."""

    cpu_share: float = 0.013  # of a core
    memory_bytes: int = 128 * MIB
    bytes_per_second: float = 20 * KB
    in_force_seconds: float = 5.0


TARGET = Size(gateways=490, servers=6_900, control_nodes=9, routes=330 * 4)
ALLOWANCE = Allowance()
CHANGES_PER_DAY = 4_900
HEARTBEAT_SECONDS = 1.2
MILLISECONDS = 1000


def twin(gateways: int) -> Size:
    """A smaller system of the target's proportions; never fewer than three control nodes."""
    scale = gateways / TARGET.gateways
    control_nodes = max(SMALLEST_CORE, round(TARGET.control_nodes * scale))
    odd = control_nodes + (control_nodes + 1) % 2
    return Size(
        gateways=gateways,
        servers=round(TARGET.servers * scale),
        control_nodes=min(odd, TARGET.control_nodes),
        routes=round(TARGET.routes * scale),
        zones=max(3, round(TARGET.zones * scale)),
    )
