"""A small node with one deliberate defect, chosen by its mode: `rogue.py MODE`, started like a node.

Apart from the defect it is correct: it follows the server list, does not use cold servers, makes one attempt
at a time, retries only what was rejected before it ran, and answers everything in time. Each mode breaks one
rule in one way. It opens a connection for every attempt and does not balance by load.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

SPARE = 0.15  # seconds before the client's deadline at which attempts end, to answer in time
CONNECT_SECONDS = 0.25
REFUSED = "rejected"  # outcome of an attempt that cannot have run
LATE = 2.6  # used to answer past the client's deadline by more than the tests' slack of 1 s
Answer = tuple[str, bytes]  # how an attempt ended, and the body if it was served


class Request:
    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head[:-4].decode().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
        self.body = body
        self.klass = self.target[1:].partition("?")[0]
        self.arrived = time.monotonic()
        self.budget = int(self.headers.get("x-budget-ms", "1000")) / 1000

    def left(self) -> float:
        return self.arrived + self.budget - SPARE - time.monotonic()


async def read(reader: asyncio.StreamReader) -> Request:
    head = await reader.readuntil(b"\r\n\r\n")
    request = Request(head, b"")
    request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    return request


async def connect(line: dict[str, Any]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Connects to the server of a list line; None on failure or time-out."""
    host, _, port = line["addr"].rpartition(":")
    try:
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_SECONDS)
    except (OSError, TimeoutError):
        return None


class Rogue(asyncio.DatagramProtocol):
    def __init__(self, mode: str) -> None:
        self.mode = mode
        with open(os.environ["LB_CONFIG"]) as file:
            self.config = json.load(file)
        self.settings = self.config["settings"]
        self.effects = {c["name"]: c["effect"] for c in self.settings["classes"]}
        self.cold = self.settings["rules"]["cold"] / 1e6
        self.servers: dict[str, dict[str, Any]] = {s["id"]: s for s in self.config["known"]["servers"]}
        self.turn = count()
        self.served = count()
        self.listed = False
        self.heard_drains: set[str] = set()
        self.datagrams: asyncio.DatagramTransport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    # ---- the list -------------------------------------------------------------------------------------

    async def watch(self) -> None:
        """Fetches the full list, then watches for changes."""
        host, _, port = self.config["discovery"].rpartition(":")
        version = -1
        while True:
            path = "/v1/endpoints" + (f"?since={version}&timeout_ms=5000" if version >= 0 else "")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET {path} HTTP/1.1\r\nHost: list\r\nConnection: close\r\n\r\n".encode())
                answer = await asyncio.wait_for(read_answer(reader), 7)
                writer.close()
            except (OSError, TimeoutError, EOFError):
                await asyncio.sleep(0.1)
                continue
            table = json.loads(answer[2])
            version = table["version"]
            if table["full"]:
                self.servers = {}
            for line in table["servers"]:
                if line["state"] != "ready":
                    self.announce_drain(line["id"])
                self.servers[line["id"]] = line
            self.listed = True

    def announce_drain(self, name: str) -> None:
        """Tells the other nodes that a server drains."""
        if self.datagrams is not None and self.mode == "peer-drains":
            host, _, port = self.config["peers_all"].rpartition(":")
            self.datagrams.sendto(name.encode(), (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.heard_drains.add(data.decode())

    def usable(self, line: dict[str, Any]) -> bool:
        if self.mode == "peer-drains" and self.settings["self_index"]:
            return line["id"] not in self.heard_drains  # ignores drains that discovery reports
        if self.mode == "drained":
            return True
        warm = time.time() - line["started_ms"] / 1000 > self.cold
        return line["state"] == "ready" and (warm or self.mode == "floods")

    def pick(self, tried: list[str], pod: int | None = None) -> dict[str, Any] | None:
        """The next server in turn; prefers servers that were not tried yet."""
        lines = [s for s in self.servers.values() if self.usable(s)]
        if self.mode == "floods":  # sends everything to servers that started during the run
            lines = [s for s in lines if s["started_ms"]] or lines
        lines = [s for s in lines if pod is None or (s["cell"] == pod) == (self.mode != "outside")]
        lines = [s for s in lines if s["id"] not in tried] or lines
        return lines[next(self.turn) % len(lines)] if lines else None

    # ---- attempts -------------------------------------------------------------------------------------

    async def attempt(self, request: Request, line: dict[str, Any], patience: float) -> Answer:
        streams = await connect(line)
        if streams is None:
            return REFUSED, b""
        reader, writer = streams
        try:
            kept = ("x-call-id", "idempotency-key", "content-length")
            lines = [f"{request.method} {request.target} HTTP/1.1", "Host: app"]
            lines += [f"{k}: {request.headers[k]}" for k in kept if k in request.headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + request.body)
            status, headers, body = await asyncio.wait_for(read_answer(reader), max(0.01, patience))
        except (OSError, TimeoutError, EOFError):
            return "reset", b""
        finally:
            writer.close()
        if status == 200:
            return "served", body
        return (REFUSED, b"") if "x-rejected" in headers else ("error", b"")

    async def answer(self, request: Request) -> tuple[int, bytes]:
        """Makes the attempts; returns the status and body for the client."""
        effect = self.effects[request.klass]
        tried: list[str] = []
        pod: int | None = None
        for _ in range(3):
            line = self.pick(tried, pod)
            if line is None or request.left() <= 0:
                break
            tried.append(line["id"])
            if self.mode == "overlap" and effect == "free":
                both = [self.attempt(request, x, request.left()) for x in (line, self.pick(tried)) if x]
                ends = await asyncio.gather(*both)
                how, body = next((end for end in ends if end[0] == "served"), ends[0])
            else:
                patience = min(request.left(), 0.5) if self.mode in ("window", "outside") else request.left()
                how, body = await self.attempt(request, line, patience)
            if how == "served":
                if self.mode == "twice" and effect == "single_shot":
                    again = self.pick(tried)
                    assert again is not None
                    await self.attempt(request, again, request.left())
                return 200, body
            if how != REFUSED:
                if self.mode == "retries" and effect == "single_shot":
                    continue
                if self.mode in ("window", "outside") and effect == "guarded":
                    pod = line["cell"]
                    await asyncio.sleep(1.8 if self.mode == "window" else 0)
                    continue
                return (503, b"") if self.mode == "refuses" and effect == "single_shot" else (502, b"")
        return 503, b""

    # ---- clients --------------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read(reader)
                if request.target == "/ready":
                    self.write(writer, 200 if self.listed else 503, b"")
                    continue
                await self.handle(request, writer)
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        mode, nth = self.mode, next(self.served)
        if mode == "crashes" and nth > 40:
            os._exit(3)
        if mode == "makes-up" and nth % 5 == 0:
            self.write(writer, 200, b"as good as new")
            return
        status, body = await self.answer(request)
        if mode == "loses" and nth % 5 == 0:
            writer.close()
            raise EOFError
        if mode == "late" and nth % 5 == 0:
            await asyncio.sleep(request.left() + SPARE + LATE - 1)
        self.write(writer, status, body)
        if mode == "answers-twice" and nth % 5 == 0:
            self.write(writer, status, body)
        if mode == "after" and status == 200 and self.effects[request.klass] == "free":
            self.spawn(self.afterwards(request))

    async def afterwards(self, request: Request) -> None:
        await asyncio.sleep(1.2)
        line = self.pick([])
        if line is not None:
            await self.attempt(request, line, 1.0)

    def spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write(self, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.config["peer_listen"].rpartition(":")
        self.datagrams, _ = await loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        host, _, port = self.config["listen"].rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        self.spawn(self.watch())
        await server.serve_forever()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(first.split(" ")[1]), headers, body


Main = Callable[[], Awaitable[None]]

if __name__ == "__main__":
    asyncio.run(Rogue(sys.argv[1] if len(sys.argv) > 1 else "").run())
