"""Layout of a soak: sizes, zones, processes and servers."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from brackenladder.local_site.layout import (
    FIRST_CONTROL,
    FIRST_GATEWAY,
    SERVER_PORT,
    Layout,
    Machine,
)
from brackenladder.rehearsal.standins.model_engine import EngineSettings
from brackenladder.rehearsal.standins.model_server import ServerSettings

ZONES = {"north-a": "north", "south-a": "south", "east-a": "east", "north-b": "north", "south-b": "south"}
REGIONS = ("north", "south", "east")
CHAT, CARDS, FORMS = "chat", "cards", "forms"
FIRST_SERVER = 101  # last octet of the first server's address
RELAY_PORT = 17_000  # first relay port; a node dials this port plus the node's index in `machines`
ENGINE = EngineSettings()


@frozen
class Shape:
    """Numbers of control nodes, gateways, servers and clients."""

    control: int
    gateways_a_zone: int
    servers: tuple[tuple[str, int], ...]  # servers of each service in each zone
    clients_per_zone: int  # concurrent clients in a zone


class Size(Enum):
    """How many machines, servers and clients a soak has (see `SHAPES`)."""

    SMALL = "small"
    LARGE = "large"


SHAPES = {
    Size.SMALL: Shape(3, 1, ((CHAT, 1), (CARDS, 1), (FORMS, 1)), clients_per_zone=5),
    Size.LARGE: Shape(5, 8, ((CHAT, 3), (CARDS, 3), (FORMS, 2)), clients_per_zone=12),
}


@frozen
class SoakLayout(Layout):
    """The machines and servers of one soak."""

    size: Size = Size.SMALL
    control: tuple[Machine, ...] = field(init=False)
    gateways: tuple[Machine, ...] = field(init=False)

    @control.default
    def _control_nodes(self) -> tuple[Machine, ...]:
        zones = list(ZONES)
        return tuple(
            Machine(f"control-{number}", "control", f"{self.network}.{FIRST_CONTROL + number}", zones[number])
            for number in range(SHAPES[self.size].control)
        )

    @gateways.default
    def _gateway_nodes(self) -> tuple[Machine, ...]:
        places = [zone for _ in range(SHAPES[self.size].gateways_a_zone) for zone in ZONES]
        return tuple(
            Machine(f"gateway-{number}", "gateway", f"{self.network}.{FIRST_GATEWAY + number}", zone)
            for number, zone in enumerate(places)
        )

    @property
    def machines(self) -> tuple[Machine, ...]:
        """All machines that run roles; a machine's index in this list determines its relay port."""
        return (*self.control, *self.gateways)

    @property
    def zones(self) -> dict[str, str]:
        """The region of each zone."""
        return ZONES

    def servers(self) -> tuple[ServerSettings, ...]:
        """Settings of the initial stand-in servers."""
        places = [
            (service, zone)
            for service, number in SHAPES[self.size].servers
            for _ in range(number)
            for zone in ZONES
        ]
        return tuple(
            ServerSettings(
                f"{service}-{number}.1",
                service,
                f"{self.network}.{FIRST_SERVER + number}:{SERVER_PORT}",
                zone,
                ENGINE if service == CHAT else None,
            )
            for number, (service, zone) in enumerate(places)
        )

    def relay_address(self, source: Machine, target: Machine) -> tuple[str, int]:
        """Relay address at which `source` reaches the internal listener of `target`."""
        return target.ip, RELAY_PORT + self.machines.index(source)

    def directories_near(self, region: str, zone: str) -> tuple[str, ...]:
        """Directory addresses, nearest first."""
        ranked = sorted(self.control, key=lambda node: (node.zone != zone, node.region != region))
        return tuple(node.directory for node in ranked)
