"""A stand-in server of a service, in a process of its own: heartbeats, event streams, plain answers.

It is started with its settings as JSON. SIGUSR1 makes it drain: it says so to the control nodes, serves on,
deregisters once its requests have ended and `drain_s` have passed, and ends. SIGUSR2 is a notice that it is
taken away in `notice_s`: it says so too, and serves on. It appends what happens to the file `events`, a JSON
object a line.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from contextlib import suppress
from typing import Any

Headers = dict[str, str]
HEARTBEAT_SECONDS = 1.0
LISTEN_BACKLOG = 256
REQUEST_ID = "x-brackenladder-request-id"


class ModelServer:
    """Serves one service.

    `unframed`: ids of requests whose answers have neither a length nor chunks and end with the connection.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.id: str = settings["id"]
        self.address = f"{settings['ip']}:{settings['port']}"
        self.unframed: list[str] = settings.get("unframed", [])
        self.events = int(settings.get("stream_events", 12))
        self.pause_s = float(settings.get("event_pause_s", 0.15))
        self.first_s = float(settings.get("first_event_s", 0.05))
        self.drain_s = float(settings.get("drain_s", 4.0))
        self.notice_s = float(settings.get("notice_s", 2.0))
        self.gone_at: float | None = None
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self._file = open(settings["events"], "a", buffering=1)  # noqa: SIM115  open for the whole run
        self._drain = asyncio.Event()

    def note(self, what: str, **details: object) -> None:
        """Append an event to the file."""
        self._file.write(json.dumps({"at": time.monotonic(), "what": what, **details}) + "\n")

    async def run(self) -> None:
        """Serve until the drain is over."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._drain.set)
        loop.add_signal_handler(signal.SIGUSR2, self._take_notice)
        host, port = self.settings["ip"], self.settings.get("own_port", self.settings["port"])
        await asyncio.start_server(self._serve, host, port, backlog=LISTEN_BACKLOG)
        while not self._drain.is_set():
            await self._report()
            with suppress(TimeoutError):
                async with asyncio.timeout(self.settings["heartbeat_s"]):
                    await self._drain.wait()
        self.state = "draining"
        acknowledged = await self._report()
        self.note("draining", acknowledged=acknowledged)
        ends_at = time.monotonic() + self.drain_s
        while self.gone_at is not None or time.monotonic() < ends_at or self.running:
            await asyncio.sleep(min(self.settings["heartbeat_s"], 0.4))
            await self._report()
        await self._call(f"/-/Instances.Deregister/{self.id}", b"")
        self.note("ended")

    def _take_notice(self) -> None:
        self.gone_at = time.monotonic() + self.notice_s
        self._drain.set()

    # ---- the list of servers --------------------------------------------------------------------------

    async def _report(self) -> bool:
        self.sequence += 1
        body = {
            "Backend": self.settings["service"],
            "Address": self.address,
            "Zone": self.settings["zone"],
            "Version": "v1",
            "Slots": self.settings.get("slots", 64),
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Seq": self.sequence,
        }
        if self.gone_at is not None:
            body["RemainingMs"] = max(0, round(1000 * (self.gone_at - time.monotonic())))
        return await self._call(f"/-/Instances.Heartbeat/{self.id}", json.dumps(body).encode())

    async def _call(self, path: str, body: bytes) -> bool:
        for address in self.settings["controls"]:
            with suppress(OSError, EOFError, TimeoutError, ValueError, IndexError):
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    if await self._post(address, path, body):
                        return True
        return False

    async def _post(self, address: str, path: str, body: bytes) -> bool:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
        status = int((await reader.readline()).split()[1])
        writer.close()
        return 200 <= status < 300

    # ---- requests -------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.LimitOverrunError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ", 2)
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
        }
        request_id = headers.get(REQUEST_ID, "")
        if method == "GET" and path == "/healthz":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            head_lines = f"HTTP/1.1 {status}\r\nX-Brackenladder-Instance-Id: {self.id}\r\n"
            writer.write(f"{head_lines}Content-Length: 0\r\n\r\n".encode())
            return True
        self.note("arrived", request=request_id, path=path)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("x-brackenladder-expected-instance", self.id) != self.id:
            self._refuse(writer, request_id, "421 Misdirected Request")
            return True
        self.running += 1
        try:
            self.note("begun", request=request_id, path=path, size=len(body))
            return await self._answer(writer, path, request_id, headers)
        finally:
            self.running -= 1

    def _refuse(self, writer: asyncio.StreamWriter, request_id: str, status: str) -> None:
        lines = f"HTTP/1.1 {status}\r\nX-Brackenladder-Request-Id: {request_id}\r\n"
        writer.write(f"{lines}X-Brackenladder-Not-Executed: true\r\nContent-Length: 0\r\n\r\n".encode())

    async def _answer(
        self, writer: asyncio.StreamWriter, path: str, request_id: str, headers: Headers
    ) -> bool:
        streaming = path.startswith("/chat/")
        kind = "text/event-stream" if streaming else "text/plain"
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Brackenladder-Request-Id: {request_id}",
            f"X-Brackenladder-Response-Signature: {self.id}.{request_id}",
            f"Content-Type: {kind}",
        ]
        unframed = request_id in self.unframed
        lines.append("Connection: close" if unframed else "Transfer-Encoding: chunked")
        first = int(headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.first_s)
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            if number > first:
                await asyncio.sleep(self.pause_s)
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, self.events)
            part = event if streaming else b"part %d of %d\n" % (number, self.events)
            writer.write(part if unframed else b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
        self.note("answered", request=request_id)
        return not unframed


if __name__ == "__main__":
    asyncio.run(ModelServer(json.loads(sys.argv[1])).run())
