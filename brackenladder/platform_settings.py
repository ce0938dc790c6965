"""The settings file of a process: its name, role and location, its limits, and the platform's bounds.

Unknown fields are ignored. An empty field counts as absent.
"""

from __future__ import annotations

import ipaddress
import os
import tomllib
from collections.abc import Iterator
from typing import Any

from attrs import Factory, field, frozen
from returns.result import Failure, Result, Success

from brackenladder.catalog.faults import ConfigurationFault, FaultKind
from brackenladder.catalog.structuring import (
    NonEmptyStr,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveFloat,
    named,
    structure,
)

FRONT, CONTROL, DIRECTORY = "front", "control", "directory"  # the services of a role
READY = "ready"  # the address for the platform's readiness checks
LARGEST_PORT = 65535


@frozen
class SettingsFault(ConfigurationFault):
    """An error in the settings file. Its location is a field such as `Limits.MaxFds`, or "" for the file."""

    def __str__(self) -> str:
        return f"settings: {self.location or 'file'}: {self.detail}"


Faults = tuple[SettingsFault, ...]


@frozen
class PortRange:
    """The inclusive range of ports for traffic between nodes. It is the same on every machine."""

    first: int
    last: int


@frozen
class Listen:
    """The addresses (`ip:port`) of the role's services. Empty for services that the role doesn't have."""

    front: str = named("Front", "")
    ready: str = named("Ready", "")
    control: str = named("Control", "")
    directory: str = named("Directory", "")


@frozen
class ProcessLimits:
    """The resources that the process may use."""

    cpu_share: PositiveFloat = named("CpuShare", 1.0)  # share of one core that the process may use
    cores: PositiveFloat = named("Cores", 1)  # speed of the core, as a multiple of a reference core
    memory_mb: NonNegativeInt = named("MemoryMb", 256)
    max_fds: NonNegativeInt = named("MaxFds", 1024)
    link_mbps: NonNegativeFloat = named("LinkMbps", 1000.0)
    disk_mb: NonNegativeInt = named("DiskMb", 0)


@frozen
class Tolerate:
    """How many machines (of those that count for the quorum), zones or regions may fail at the same time."""

    machines: NonNegativeInt = named("Machines", 1)
    zones: NonNegativeInt = named("Zones", 1)
    regions: NonNegativeInt = named("Regions", 1)


@frozen
class Bounds:
    """The table `[Bounds]` of the settings file: times (names in S or s: seconds; in Ms or ms: milliseconds),
    ratios and counts. A missing key takes the default given here.
    """

    seed_lag_s: NonNegativeFloat = named("SeedLagS", 3)
    reuse_after_s: NonNegativeFloat = named("ReuseAfterS", 2)
    contact_ms: NonNegativeFloat = named("ContactMs", 4000)
    ack_ms: NonNegativeFloat = named("AckMs", 5000)
    catch_up_s: NonNegativeFloat = named("CatchUpS", 4)
    drain_ms: NonNegativeFloat = named("DrainMs", 3000)
    grace_s: NonNegativeFloat = named("GraceS", 8)
    loss_slack_ms: NonNegativeFloat = named("LossSlackMs", 200)
    config_ms: NonNegativeFloat = named("ConfigMs", 3000)
    rollback_slack_ms: NonNegativeFloat = named("RollbackSlackMs", 250)
    outer_ms: NonNegativeFloat = named("OuterMs", 6000)
    retry_budget_ratio: NonNegativeFloat = named("RetryBudgetRatio", 0.2)
    budget_window_s: NonNegativeFloat = named("BudgetWindowS", 10)
    budget_slack: NonNegativeFloat = named("BudgetSlack", 54)
    cold_overshoot: NonNegativeFloat = named("ColdOvershoot", 1.5)
    cold_slack: NonNegativeFloat = named("ColdSlack", 5)
    evacuate_ms: NonNegativeFloat = named("EvacuateMs", 5000)
    recovery_s: NonNegativeFloat = named("RecoveryS", 12)
    pass_ms: NonNegativeFloat = named("pass_ms", 400)
    again_s: NonNegativeFloat = named("again_s", 10)
    ttl_max_s: NonNegativeFloat = named("ttl_max_s", 5)


DEFAULT_HEARTBEAT_MS = 1200
DEFAULT_LISTEN = Listen()
DEFAULT_LIMITS = ProcessLimits()
DEFAULT_TOLERATE = Tolerate()
DEFAULT_BOUNDS = Bounds()


@frozen
class Platform:
    """The settings that the platform gives a process, after all checks."""

    node_name: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    ports: PortRange
    seeds: tuple[str, ...] = ()  # `Control` addresses (`ip:port`) of the control nodes to contact first
    bootstrap: bool = False  # set at the very first start of the system, when all disks are empty
    counts_for_quorum: bool = False
    data_dir: str = ""  # empty: the process has no disk
    heartbeat_ms: float = DEFAULT_HEARTBEAT_MS
    contracts: tuple[str, ...] = ()
    zones: dict[str, str] = field(default=Factory(dict))  # maps zones to regions
    listen: Listen = DEFAULT_LISTEN
    limits: ProcessLimits = DEFAULT_LIMITS
    tolerate: Tolerate = DEFAULT_TOLERATE
    bounds: Bounds = DEFAULT_BOUNDS

    def region_of(self, zone: str) -> str:
        """Returns the region of a zone, or "" for an unknown zone."""
        return self.region if zone == self.zone else self.zones.get(zone, "")

    @property
    def inner_address(self) -> str:
        """The address on which this process listens for other nodes, if it does."""
        return self._inner(self.ip)

    @property
    def seed_inner_addresses(self) -> tuple[str, ...]:
        """The addresses on which the seeds listen for other nodes."""
        return tuple(dict.fromkeys(self._inner(seed.rpartition(":")[0]) for seed in self.seeds))

    def _inner(self, ip: str) -> str:
        return f"{ip}:{self.ports.first}"


@frozen
class _Settings:
    """The fields of the file, before the checks."""

    node_name: NonEmptyStr = named("NodeName")
    role: NonEmptyStr = named("Role")
    ip: NonEmptyStr = named("Ip")
    zone: NonEmptyStr = named("Zone")
    region: NonEmptyStr = named("Region")
    port_range: tuple[NonNegativeInt, ...] = named("PortRange")
    machine_class: str = named("MachineClass", "")
    serves: tuple[str, ...] = named("Serves", ())
    seeds: tuple[str, ...] = named("Seeds", ())
    bootstrap: bool = named("Bootstrap", False)
    counts_for_quorum: bool = named("CountsForQuorum", False)
    data_dir: str = named("DataDir", "")
    heartbeat_ms: PositiveFloat = named("HeartbeatMs", DEFAULT_HEARTBEAT_MS)
    contracts: tuple[str, ...] = named("Contracts", ())
    zones: dict[str, str] = named("Zones", Factory(dict))
    listen: Listen = named("Listen", DEFAULT_LISTEN)
    limits: ProcessLimits = named("Limits", DEFAULT_LIMITS)
    tolerate: Tolerate = named("Tolerate", DEFAULT_TOLERATE)
    bounds: Bounds = named("Bounds", DEFAULT_BOUNDS)


def load_platform(path: str | os.PathLike[str]) -> Result[Platform, Faults]:
    """Loads the settings file. Returns the settings or all errors."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        detail = f"cannot be read: {error.strerror or type(error).__name__}"
        return Failure((SettingsFault("", FaultKind.UNREADABLE, detail),))
    return parse_platform(text)


def parse_platform(text: bytes) -> Result[Platform, Faults]:
    """Parses settings from TOML. Returns the settings or all errors."""
    try:
        table = tomllib.loads(text.decode())
    except (ValueError, RecursionError) as error:
        return Failure((SettingsFault("", FaultKind.MALFORMED, f"not TOML: {_one_line(error)}"),))
    structured = structure(_Settings, _without_empty(table))
    if isinstance(structured, Failure):
        return Failure(
            tuple(SettingsFault(fault.location, fault.kind, fault.detail) for fault in structured.failure())
        )
    settings = structured.unwrap()
    faults = tuple(_settings_faults(settings))
    return Failure(faults) if faults else Success(_platform(settings))


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split()) or type(error).__name__


def _without_empty(table: dict[str, Any]) -> dict[str, Any]:
    """Removes empty fields, and boolean bounds: no bound that this program knows is boolean."""
    kept: dict[str, Any] = {}
    for key, value in table.items():
        if type(value) is dict:
            value = _without_empty(value)
        if key == "Bounds" and type(value) is dict:
            value = {name: bound for name, bound in value.items() if type(bound) is not bool}
        if value not in ("", [], {}):
            kept[key] = value
    return kept


def _settings_faults(settings: _Settings) -> Iterator[SettingsFault]:
    """Returns the errors in settings whose types are correct."""
    if not _is_ip(settings.ip):
        yield SettingsFault("Ip", FaultKind.OUT_OF_RANGE, "not an IP number")
    if not _is_port_range(settings.port_range):
        detail = "two ports are needed, the second not below the first"
        yield SettingsFault("PortRange", FaultKind.OUT_OF_RANGE, detail)
    for index, seed in enumerate(settings.seeds):
        if not _is_address(seed):
            yield SettingsFault(f"Seeds[{index}]", FaultKind.OUT_OF_RANGE, "not of the form ip:port")
    yield from _listen_faults(settings)


def _listen_faults(settings: _Settings) -> Iterator[SettingsFault]:
    listen = settings.listen
    addresses = {
        FRONT: listen.front,
        CONTROL: listen.control,
        DIRECTORY: listen.directory,
        "ready": listen.ready,
    }
    for service, address in addresses.items():
        location = f"Listen.{service.capitalize()}"
        if not address and service in settings.serves:
            yield SettingsFault(
                location, FaultKind.MISSING, f"is missing, though the role serves {service!r}"
            )
        if address and not _is_address(address):
            yield SettingsFault(location, FaultKind.OUT_OF_RANGE, "not of the form ip:port")


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    return _is_ip(ip) and port.isascii() and port.isdigit() and 0 < int(port) <= LARGEST_PORT


def _is_port_range(ports: tuple[int, ...]) -> bool:
    return len(ports) == 2 and 0 < ports[0] <= ports[1] <= LARGEST_PORT


def _platform(settings: _Settings) -> Platform:
    first, last = settings.port_range
    return Platform(
        node_name=settings.node_name,
        role=settings.role,
        machine_class=settings.machine_class,
        serves=settings.serves,
        ip=settings.ip,
        zone=settings.zone,
        region=settings.region,
        ports=PortRange(first, last),
        seeds=settings.seeds,
        bootstrap=settings.bootstrap,
        counts_for_quorum=settings.counts_for_quorum,
        data_dir=settings.data_dir,
        heartbeat_ms=settings.heartbeat_ms,
        contracts=settings.contracts,
        zones=settings.zones,
        listen=settings.listen,
        limits=settings.limits,
        tolerate=settings.tolerate,
        bounds=settings.bounds,
    )
