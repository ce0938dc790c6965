"""MessagePack-RPC through one node, and asking a server: `PYTHONPATH=. .venv/bin/python benchmarks/rpc.py`.

Calls a second at pipeline 1, 8 and 32 (node and server in turn, medians of the rounds), the node's CPU
for a call, and its memory with 10,000 calls open and after they have ended. The module's limit is lifted
in the node: it would refuse what a closed loop of one client adds, and the question is what a call costs.
Give it the cores.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any

import msgpack
import uvloop

from brackenladder.rehearsal.nodes import settings_of
from brackenladder.rehearsal.scenario import Class, Scenario

ROUNDS = 10
SECONDS = 1.0  # of one measurement
WARM = 0.3  # seconds before it
PIPELINES = (1, 8, 32)
OPEN = 10_000
SERVERS = 3
PARAMS = [{"id": "x" * 16, "object": "y" * 32}, 3000, "." * 200]

LIFTED = (
    "import sys; from brackenladder.policy.limit import GradientController;"
    " GradientController.admits = lambda self, now, spare: True;"
    " from brackenladder.__main__ import main; sys.exit(main())"
)


class Server(asyncio.Protocol):
    """Answers each call with its params; one of the method `hold` once `release` comes, on any connection."""

    held: list[tuple[Server, int]] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.unpacker = msgpack.Unpacker(strict_map_key=False)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        out = []
        for message in self.unpacker:
            _, msgid, method, params = message
            if method == "hold":
                Server.held.append((self, msgid))
                continue
            if method == "release":
                for other, number in Server.held:
                    other.transport.write(msgpack.packb([1, number, None, params]))
                Server.held.clear()
            out.append(msgpack.packb([1, msgid, None, params]))
        self.transport.write(b"".join(out))


async def serve() -> None:
    loop = asyncio.get_running_loop()
    for _ in range(SERVERS):
        server = await loop.create_server(Server, "127.0.0.1", 0)
        print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


class Client(asyncio.Protocol):
    """Keeps so many calls open for as long as it is told."""

    def __init__(self) -> None:
        self.unpacker = msgpack.Unpacker(strict_map_key=False)
        self.pack = msgpack.Packer().pack
        self.served = self.other = self.last = 0
        self.error: Any = None
        self.going = True
        self.method = "view"

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def call(self) -> bytes:
        self.last += 1
        packed: bytes = self.pack([0, self.last, self.method, PARAMS])
        return packed

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        out = []
        for message in self.unpacker:
            if message[2] is None:
                self.served += 1
            else:
                self.other += 1
                self.error = message[2]
            if self.going:
                out.append(self.call())
        if out:
            self.transport.write(b"".join(out))


async def opened(port: int) -> Client:
    _, client = await asyncio.get_running_loop().create_connection(Client, "127.0.0.1", port)
    return client


async def rate(port: int, pipeline: int, pid: int) -> tuple[float, float, int]:
    """Calls served a second, the CPU microseconds of `pid` for each, and calls that were not served."""
    client = await opened(port)
    client.transport.write(b"".join(client.call() for _ in range(pipeline)))
    await asyncio.sleep(WARM)
    loop = asyncio.get_running_loop()
    served, start, spent = client.served, loop.time(), cpu(pid)
    await asyncio.sleep(SECONDS)
    served, took, spent = client.served - served, loop.time() - start, cpu(pid) - spent
    client.going = False
    client.transport.close()
    await asyncio.sleep(0.05)
    return served / took, spent / max(1, served) * 1e6, client.other


def cpu(pid: int) -> float:
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory(pid: int) -> float:
    """Resident, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def configured(folder: Path, ports: list[int], http: int, rpc: int) -> dict[str, str]:
    """Writes the node's files; its environment."""
    classes = (Class(name="view", effect="safe", deadline_ms=20_000, aim_ms=10_000),)
    settings = settings_of(Scenario(title="rpc", classes=classes), 0)
    config = {"name": "n", "listen": f"127.0.0.1:{http}", "discovery": f"127.0.0.1:{free_port()}"}
    (folder / "config.json").write_text(json.dumps(config | {"settings": settings}))
    line = '{{ id = "s{}", addr = "127.0.0.1:{}", zone = "east" }}'
    servers = [line.format(i, port) for i, port in enumerate(ports)]
    lines = ["[rpc]", f'listen = "127.0.0.1:{rpc}"', f"servers = [{', '.join(servers)}]"]
    lines += [f"client_calls = {OPEN + 1}", f"pipeline = {OPEN}", "budget_ms = 20000"]
    for name in ("view", "hold", "release"):
        lines += [f"[rpc.methods.{name}]", 'class = "view"']
    (folder / "operator.toml").write_text("\n".join(lines))
    return dict(os.environ) | {"LB_CONFIG": str(folder / "config.json"), "PYTHONPATH": str(Path.cwd())}


def spread(values: list[float]) -> str:
    return f"{median(values):,.0f} ({min(values):,.0f} to {max(values):,.0f})"


async def hold(port: int, servers: list[int], pid: int) -> None:
    """Memory with many calls open, and once they have ended."""
    before = memory(pid)
    client = await opened(port)
    client.going, client.method = False, "hold"
    client.transport.write(b"".join(client.call() for _ in range(OPEN)))
    await asyncio.sleep(5.0)
    during = memory(pid)
    refused = client.other
    release = await opened(servers[0])
    release.going, release.method = False, "release"
    release.transport.write(release.call())
    async with asyncio.timeout(30):
        while client.served + client.other < OPEN:
            await asyncio.sleep(0.05)
    client.transport.close()
    await asyncio.sleep(1.0)
    print(
        f"memory: {before:.1f} MB, {during:.1f} with {OPEN - refused:,} calls open, {memory(pid):.1f} after;"
        f" {client.served:,} served{f', else {client.error}' if client.other else ''}"
    )


async def measured(folder: Path, ports: list[int], server_pid: int) -> None:
    http, rpc = free_port(), free_port()
    environ = configured(folder, ports, http, rpc)
    command = [sys.executable, "-c", LIFTED, "run", "--operator", str(folder / "operator.toml")]
    node = await asyncio.create_subprocess_exec(*command, env=environ)
    try:
        while True:
            try:
                (await opened(rpc)).transport.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        for _ in range(2):  # what the first one leaves is used again by the second
            await hold(rpc, ports, node.pid)
        for pipeline in PIPELINES:
            through, direct, spent, other = [], [], [], 0
            for _ in range(ROUNDS):
                calls, micros, lost = await rate(rpc, pipeline, node.pid)
                through.append(calls)
                spent.append(micros)
                other += lost
                direct.append((await rate(ports[0], pipeline, server_pid))[0])
            print(f"pipeline {pipeline}: calls a second through the node {spread(through)},", flush=True)
            print(
                f"  directly {spread(direct)}; the node's CPU a call {spread(spent)} us; {other} not served"
            )
    finally:
        node.send_signal(signal.SIGKILL)
        await node.wait()


def main() -> None:
    if sys.argv[1:] == ["--serve"]:
        uvloop.run(serve())
        return
    command = [sys.executable, __file__, "--serve"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as servers:
        assert servers.stdout is not None
        ports = [int(servers.stdout.readline()) for _ in range(SERVERS)]
        try:
            with tempfile.TemporaryDirectory() as folder:
                uvloop.run(measured(Path(folder), ports, servers.pid))
        finally:
            servers.kill()


if __name__ == "__main__":
    main()
