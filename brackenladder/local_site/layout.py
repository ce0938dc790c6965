"""Addresses and settings files of a local system with three regions of one zone each."""

from __future__ import annotations

import json
from pathlib import Path

from attrs import field, frozen

from brackenladder.rehearsal.standins.model_engine import EngineSettings
from brackenladder.rehearsal.standins.model_server import ServerSettings

REGIONS = ("north", "south", "east")
ZONES = {f"{region}-a": region for region in REGIONS}
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, SERVER_PORT = 8144, 8140, 8146, 8148, 8080
INTERNAL_PORTS = (7660, 7675)
# Last byte of the IP address of the first process of each kind.
FIRST_CONTROL, FIRST_GATEWAY, FIRST_SERVER = 1, 11, 21
HEARTBEAT_MS = 600
GRACE_S = 8
DEFAULT_NETWORK = "127.77.0"
MODEL_SERVICE, PLAIN_SERVICE = "chat", "cards"
MODEL_SERVER_ZONES = ("north-a", "north-a", "south-a", "east-a")
PLAIN_SERVER_ZONES = ("north-a", "south-a", "east-a")
ENGINE = EngineSettings()


@frozen
class Machine:
    """A node process with its address and zone."""

    name: str
    role: str  # gateway or control
    ip: str
    zone: str

    @property
    def front(self) -> str:
        """Address for client connections."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Address of a gateway's readiness check."""
        return f"{self.ip}:{READY_PORT}"

    @property
    def control(self) -> str:
        """Address for calls from operators and servers."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def directory(self) -> str:
        """Address at which clients look up gateways."""
        return f"{self.ip}:{DIRECTORY_PORT}"

    @property
    def region(self) -> str:
        """The region of the zone; a zone name is the region name with a suffix."""
        return self.zone.rpartition("-")[0]


@frozen
class Layout:
    """All nodes and servers of a local system, in a loopback network such as `127.77.0`."""

    network: str
    folder: Path
    control: tuple[Machine, ...] = field(init=False)
    gateways: tuple[Machine, ...] = field(init=False)

    @control.default
    def _control(self) -> tuple[Machine, ...]:
        return self._machines("control", FIRST_CONTROL)

    @gateways.default
    def _gateways(self) -> tuple[Machine, ...]:
        return self._machines("gateway", FIRST_GATEWAY)

    def _machines(self, role: str, first: int) -> tuple[Machine, ...]:
        return tuple(
            Machine(f"{role}-{zone}", role, f"{self.network}.{first + number}", zone)
            for number, zone in enumerate(ZONES)
        )

    @property
    def zones(self) -> dict[str, str]:
        """Maps each zone to its region."""
        return ZONES

    @property
    def seeds(self) -> tuple[str, ...]:
        """The control nodes' addresses to which every node connects at first (setting `Seeds`)."""
        return tuple(machine.control for machine in self.control)

    @property
    def directories(self) -> tuple[str, ...]:
        """The control nodes' addresses at which clients look up gateways."""
        return tuple(machine.directory for machine in self.control)

    def servers(self) -> tuple[ServerSettings, ...]:
        """Returns the settings of the stand-in servers that are started at first."""
        model_servers = [(MODEL_SERVICE, zone, ENGINE) for zone in MODEL_SERVER_ZONES]
        plain_servers = [(PLAIN_SERVICE, zone, None) for zone in PLAIN_SERVER_ZONES]
        return tuple(
            ServerSettings(
                f"i-{service}-{number}",
                service,
                f"{self.network}.{FIRST_SERVER + number}:{SERVER_PORT}",
                zone,
                engine,
            )
            for number, (service, zone, engine) in enumerate((*model_servers, *plain_servers))
        )

    def data_dir(self, machine: Machine) -> Path:
        """Returns the folder in which a control node stores its log and state."""
        return self.folder / machine.name

    def settings_path(self, machine: Machine) -> Path:
        """Returns the path of the TOML file with the content of `settings_text`."""
        return self.folder / f"{machine.name}.toml"

    def log_path(self, machine: Machine) -> Path:
        """Returns the path of the file that receives the output of a node's process."""
        return self.folder / f"{machine.name}.log"

    def settings_text(self, machine: Machine, bootstrap: bool) -> str:
        """Returns the TOML settings with which a node's process starts."""
        is_control = machine.role == "control"
        listen = {"Front": machine.front, "Ready": machine.ready}
        if is_control:
            listen = {"Control": machine.control, "Directory": machine.directory}
        lines = [
            f"NodeName = {json.dumps(machine.name)}",
            f"Role = {json.dumps(machine.role)}",
            f"MachineClass = {json.dumps('core' if is_control else 'front')}",
            f"Serves = {json.dumps(['control', 'directory'] if is_control else ['front'])}",
            f"Ip = {json.dumps(machine.ip)}",
            f"Zone = {json.dumps(machine.zone)}",
            f"Region = {json.dumps(machine.region)}",
            f"PortRange = {json.dumps(INTERNAL_PORTS)}",
            f"Seeds = {json.dumps(self.seeds)}",
            f"Bootstrap = {json.dumps(bootstrap)}",
            f"CountsForQuorum = {json.dumps(is_control)}",
            f"DataDir = {json.dumps(str(self.data_dir(machine)) if is_control else '')}",
            f"HeartbeatMs = {HEARTBEAT_MS}",
            "[Zones]",
            *(f"{zone} = {json.dumps(region)}" for zone, region in self.zones.items()),
            "[Listen]",
            *(f"{name} = {json.dumps(address)}" for name, address in listen.items()),
            "[Limits]",
            "MemoryMb = 260",
            "MaxFds = 1024",
            "[Bounds]",
            f"GraceS = {GRACE_S}",
        ]
        return "\n".join(lines) + "\n"
