"""A small deployment on loopback: the project's roles as processes, stand-in servers, a client, an operator.

Everything runs on addresses of 127.0.0.0/8 and on the real clock. A case starts a `Deployment`, acts, writes
what it saw to `record.txt` in its folder and returns whether the rule held.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
SERVER_PROGRAM = Path(__file__).with_name("model_server.py")
HOST_PROGRAM = Path(__file__).with_name("host_network.py")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
FRONT, READY, CONTROL, DIRECTORY, INNER, SERVER, BEHIND_HOST = 8144, 8140, 8146, 8148, 7660, 8080, 8081
ZONES = {"ptos-hall": "tt-north", "sfdo-hall": "tt-south", "scar-hall": "tobago"}
HEARTBEAT_MS = 1200
GRACE_S = 8
MEMORY_MB = {"front": 260, "core": 296}
START_SECONDS = 25.0
CALL_SECONDS = 5.0
CASE_SECONDS = 110.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes lines with the time since the start to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._file, flush=True)


@dataclass
class Answer:
    """An answer as a client reads it; `complete` only if it ends as its framing says."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""

    @property
    def event_ids(self) -> list[int]:
        """The ids of the whole events in the body."""
        events = self.body.split(b"\n\n")[:-1]
        return [int(line[3:]) for one in events for line in one.split(b"\n") if line.startswith(b"id:")]


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer into `answer`, as far as it comes."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                raise ConnectionError("the body is cut short")
            answer.body += data
            left -= len(data)
    else:
        answer.body = await reader.read(-1)
    answer.complete = True


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b"", seconds: float = 5.0
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await read_answer(reader, answer)
    except (OSError, EOFError, ValueError, IndexError, TimeoutError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


class Process:
    """A process that the case has started; it is ended with the case."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.running:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def ended(self) -> int:
        """Wait for its end and return the status."""
        return await self._process.wait()


class Deployment:
    """Three control nodes, some gateways, and stand-in servers."""

    def __init__(self, record: Record, folder: Path, gateways: int) -> None:
        self.record = record
        self.folder = folder
        self.network = free_network()
        self.zones = list(ZONES)
        self.control_ips = [f"{self.network}.{1 + number}" for number in range(3)]
        self.gateway_ips = [f"{self.network}.{11 + number}" for number in range(gateways)]
        self.controls: list[Process] = []
        self.gateways: list[Process] = []
        self.servers: dict[str, Process] = {}
        self.hosts: dict[str, Process] = {}
        self._last_server = 20
        self._processes: list[Process] = []

    @property
    def control_addresses(self) -> list[str]:
        """Where operators and servers call."""
        return [f"{ip}:{CONTROL}" for ip in self.control_ips]

    def front(self, number: int = 0) -> str:
        """Where clients call a gateway."""
        return f"{self.gateway_ips[number]}:{FRONT}"

    async def start(self, configuration: dict[str, object]) -> None:
        """Start the roles and have the first configuration acknowledged."""
        for number, ip in enumerate(self.control_ips):
            self.controls.append(await self._start_role("control", "core", number, ip))
        for number, ip in enumerate(self.gateway_ips):
            self.gateways.append(await self._start_role("gateway", "front", number, ip))
        limit = time.monotonic() + START_SECONDS
        while time.monotonic() < limit:
            if (await self.order("Config.Replace", 0, configuration)).status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("no control node acknowledged the first configuration")

    async def wait_ready(self) -> None:
        """Wait until every gateway says that it is ready."""
        for ip in self.gateway_ips:
            limit = time.monotonic() + START_SECONDS
            while (await call(f"{ip}:{READY}", "GET", "/-/readyz", {"Host": ip})).status != 200:
                if time.monotonic() > limit:
                    raise CannotRun(f"the gateway {ip} did not become ready")
                await asyncio.sleep(0.2)

    async def order(
        self, name: str, base: int, document: object, node: int = 0, seconds: float = CALL_SECONDS
    ) -> Answer:
        """An operator's order to one control node."""
        headers = {
            "Host": self.control_addresses[node],
            "X-Brackenladder-Base-Version": str(base),
            "Content-Type": "application/json",
        }
        body = json.dumps(document).encode() if document is not None else b""
        return await call(self.control_addresses[node], "POST", f"/-/{name}", headers, body, seconds)

    async def start_server(self, service: str, zone: str, **options: object) -> str:
        """Start a stand-in server; returns its id. It registers with its first heartbeat."""
        self._last_server += 1
        name = f"i-{service}-{self._last_server}"
        settings = {
            "id": name,
            "service": service,
            "zone": zone,
            "ip": f"{self.network}.{self._last_server}",
            "port": SERVER,
            "controls": self.control_addresses,
            "heartbeat_s": HEARTBEAT_MS / 1000,
            "events": str(self.folder / f"{name}.events"),
            **options,
        }
        arguments = [sys.executable, str(SERVER_PROGRAM), json.dumps(settings)]
        self.servers[name] = await self._start(name, arguments, {})
        return name

    async def start_server_with_host(self, service: str, zone: str, **options: object) -> str:
        """Start a stand-in server behind a proxy that stands in for the network of its host."""
        name = await self.start_server(service, zone, own_port=BEHIND_HOST, **options)
        ip = f"{self.network}.{self._last_server}"
        arguments = [sys.executable, str(HOST_PROGRAM), ip, str(SERVER), str(BEHIND_HOST)]
        self.hosts[name] = await self._start(f"{name}-host", arguments, {})
        return name

    def events_of(self, server: str) -> list[dict[str, object]]:
        """What a stand-in server has written down so far."""
        path = self.folder / f"{server}.events"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines if line.endswith("}")]

    async def end(self) -> None:
        """End all processes that were started."""
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self._processes:
            await process.ended()

    async def _start_role(self, role: str, machine_class: str, number: int, ip: str) -> Process:
        name = f"{machine_class}-{number + 1}"
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(role, machine_class, name, self.zones[number % 3], ip))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        arguments = shlex.split(roles[role]["run"])
        arguments[0] = sys.executable if arguments[0] == "python3" else arguments[0]
        variables = {"BRACKENLADDER_CONFIG": str(path), "PYTHONPATH": str(DEPENDENCIES)}
        return await self._start(name, arguments, variables)

    def _settings(self, role: str, machine_class: str, name: str, zone: str, ip: str) -> str:
        control = role == "control"
        data = self.folder / f"{name}-data"
        if control:
            data.mkdir()
        listen = {"Front": FRONT, "Ready": READY}
        if control:
            listen = {"Control": CONTROL, "Directory": DIRECTORY}
        serves = ["control", "directory"] if control else ["front"]
        lines = [
            f'NodeName = "{name}"',
            f'Role = "{role}"',
            f'MachineClass = "{machine_class}"',
            f"Serves = {json.dumps(serves)}",
            f'Ip = "{ip}"',
            f'Zone = "{zone}"',
            f'Region = "{ZONES[zone]}"',
            f"PortRange = [{INNER}, {INNER + 15}]",
            f"Seeds = {json.dumps(self.control_addresses)}",
            "Bootstrap = true",
            f"CountsForQuorum = {json.dumps(control)}",
            'Discovery = "registry"',
            'Entry = "directory"',
            f'DataDir = "{data if control else ""}"',
            f"HeartbeatMs = {HEARTBEAT_MS}",
            "[Zones]",
            *(f'{one} = "{region}"' for one, region in ZONES.items()),
            "[Listen]",
            *(f'{key} = "{ip}:{port}"' for key, port in listen.items()),
            "[Limits]",
            f"MemoryMb = {MEMORY_MB[machine_class]}",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "[Tolerate]",
            "Machines = 1",
            "Zones = 1",
            "Regions = 1",
            "[Bounds]",
            "ContactMs = 4000",
            "AckMs = 5000",
            "DrainMs = 3000",
            f"GraceS = {GRACE_S}",
            "ConfigMs = 3000",
            "EvacuateMs = 5000",
        ]
        return "\n".join(lines) + "\n"

    async def _start(self, name: str, arguments: list[str], variables: dict[str, str]) -> Process:
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder), **variables}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *arguments,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        started = Process(name, process)
        self._processes.append(started)
        return started


def free_network() -> str:
    """The first three numbers of a loopback network on which the ports of a deployment are free."""
    for _ in range(50):
        network = f"127.{random.randrange(90, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (FRONT, READY, CONTROL, DIRECTORY, INNER, SERVER, BEHIND_HOST):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free ports on the loopback addresses")


def run(case: Callable[[Deployment, bool], Awaitable[bool]], folder: Path, gateways: int = 1) -> int:
    """Run a case in its folder; returns the exit status of its script."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = None
            try:
                deployment = Deployment(record, Path(temporary), gateways)
                async with asyncio.timeout(CASE_SECONDS):
                    held = await case(deployment, trouble)
            except (CannotRun, TimeoutError, OSError) as error:
                record(f"the case could not run: {type(error).__name__}: {error}")
                if "KEEP_LOGS" in os.environ:
                    for path in Path(temporary).glob("*.log"):
                        record(f"--- {path.name}\n{path.read_text()[-3000:]}")
                return CANNOT_RUN
            finally:
                if deployment is not None:
                    await deployment.end()
            record("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN

    return asyncio.run(main())
