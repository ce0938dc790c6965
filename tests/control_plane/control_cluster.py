"""A test cluster: three control nodes in one process on loopback addresses, with an HTTP client."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from itertools import count
from typing import Any

import aiohttp
from attrs import evolve, frozen

from brackenladder.control_plane.control_node import ControlNode
from brackenladder.node.control_role import ControlRole
from brackenladder.platform_settings import Listen, Platform, PortRange

PATIENCE = 20.0  # seconds; test timeout, reached only on failure
POLL_SECONDS = 0.01
FIRST_PORT = 20_000
PORTS_PER_CLUSTER = 16
HOST = "jobs.example"
BASE_VERSION = "X-Brackenladder-Base-Version"
ZONES = {"hall-1": "north", "hall-2": "south", "hall-3": "east"}

_cluster_numbers = count()


@frozen
class Answer:
    """The response to a call."""

    status: int
    body: bytes
    retry_after: str | None = None  # value of the header; None if it is missing

    @property
    def document(self) -> Any:
        return json.loads(self.body)


def configuration(version: int, *route_names: str) -> dict[str, Any]:
    """A valid configuration with routes of these names."""
    routes = [
        {
            "Name": name,
            "Hostname": HOST,
            "PathPrefix": f"/{name}/",
            "Kind": "safe",
            "TimeoutMs": 1000,
            "TargetLatencyMs": 500,
            "Priority": 0,
            "Backend": "api",
            "MaxAttempts": 2,
            "Sticky": False,
            "HomeRegions": [],
        }
        for name in route_names
    ]
    service = {"Name": "api", "HealthPath": "/healthz", "MaxConnections": 10, "Protocol": "h1", "Tls": False}
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1048576,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": version, "Routes": routes, "Services": [service], "Limits": limits}


def heartbeat(seq: int, state: str = "ready") -> dict[str, Any]:
    """The body of a server's heartbeat."""
    return {
        "Backend": "api",
        "Address": "127.0.0.1:9999",
        "Zone": "hall-1",
        "Version": "v1",
        "Slots": 4,
        "State": state,
        "ColdRemainingMs": 0,
        "Seq": seq,
    }


class ControlCluster:
    """Three control nodes, each a seed of the same system."""

    def __init__(self) -> None:
        number = next(_cluster_numbers)
        pid = os.getpid() % 65_536
        port = FIRST_PORT + number % 1000 * PORTS_PER_CLUSTER
        self.folder = tempfile.mkdtemp(prefix="control-cluster-")
        ips = [f"127.{pid // 256 % 200 + 10}.{pid % 256}.{last}" for last in (1, 2, 3)]
        seeds = tuple(f"{ip}:{port + 8}" for ip in ips)
        self.platforms = [self._platform(ip, zone, port, seeds) for ip, zone in zip(ips, ZONES, strict=True)]
        self.roles: dict[int, ControlRole] = {}
        self.session: aiohttp.ClientSession

    def _platform(self, ip: str, zone: str, port: int, seeds: tuple[str, ...]) -> Platform:
        return Platform(
            node_name=f"control-{ip}",
            role="control",
            machine_class="core",
            serves=("control", "directory"),
            ip=ip,
            zone=zone,
            region=ZONES[zone],
            ports=PortRange(port, port + 7),
            seeds=seeds,
            bootstrap=True,
            data_dir=os.path.join(self.folder, ip),
            heartbeat_ms=1200,
            zones=dict(ZONES),
            listen=Listen(control=f"{ip}:{port + 8}", directory=f"{ip}:{port + 9}"),
        )

    async def __aenter__(self) -> ControlCluster:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=PATIENCE))
        for number in range(len(self.platforms)):
            await self.start(number)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.session.close()
        for number in list(self.roles):
            await self.crash(number)
        shutil.rmtree(self.folder)

    def node(self, number: int) -> ControlNode:
        """A running node."""
        node = self.roles[number].node
        assert node is not None
        return node

    async def start(self, number: int) -> None:
        """Starts a node. Only its first start may bootstrap the system."""
        self.roles[number] = ControlRole(self.platforms[number])
        await self.roles[number].start()
        self.platforms[number] = evolve(self.platforms[number], bootstrap=False)

    async def crash(self, number: int) -> None:
        """Closes a node at once, without an orderly shutdown."""
        await self.node(number).close()
        del self.roles[number]

    async def stop(self, number: int) -> None:
        """Shuts a node down in an orderly way, as on SIGTERM."""
        await self.roles.pop(number).stop()

    def wipe(self, number: int) -> None:
        """Deletes the data folder of a stopped node."""
        shutil.rmtree(self.platforms[number].data_dir)

    async def leader(self) -> int:
        """Waits until all running nodes agree on a leader; returns its number."""
        await self.until(lambda: self._agreed_leader() is not None)
        leader = self._agreed_leader()
        assert leader is not None
        return leader

    def _agreed_leader(self) -> int | None:
        leaders = {self._leader_id(number) for number in self.roles}
        for number in self.roles:
            node = self.node(number)
            if node.host.leads and leaders == {node.member.replica_id}:
                return number
        return None

    def _leader_id(self, number: int) -> str:
        leader = self.node(number).host.leader
        return leader.replica_id if leader is not None else ""

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

    async def post(self, number: int, path: str, document: object = None, base: int | None = None) -> Answer:
        """Sends a POST request to a node's operator API."""
        headers = {} if base is None else {BASE_VERSION: str(base)}
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        url = f"http://{self.platforms[number].listen.control}{path}"
        async with self.session.post(
            url, data=body if document is not None else b"", headers=headers
        ) as answer:
            return Answer(answer.status, await answer.read(), answer.headers.get("Retry-After"))

    async def post_until_answered(
        self, number: int, path: str, document: object = None, base: int | None = None
    ) -> Answer:
        """Repeats the same order until the answer is not 503, as an operator's client does."""
        return await self.repeat(
            lambda: self.post(number, path, document, base),
            lambda answer: answer.status != HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def repeat(self, call: Callable[[], Awaitable[Answer]], accept: Callable[[Answer], bool]) -> Answer:
        """Repeats a call until `accept` returns True for its answer."""
        async with asyncio.timeout(PATIENCE):
            while True:
                answer = await call()
                if accept(answer):
                    return answer

    async def get(self, address: str, path: str) -> Answer:
        """Sends a GET request to any address."""
        async with self.session.get(f"http://{address}{path}") as answer:
            return Answer(answer.status, await answer.read(), answer.headers.get("Retry-After"))

    async def fetch(self, number: int) -> Answer:
        """Fetches the configuration from a node."""
        return await self.get(self.platforms[number].listen.control, "/-/Config.Fetch")
