"""A stand-in server: one process, `server.py SETTINGS` with the settings as JSON. It records what it runs.

Options: `framing` of streams ("chunked", or "close": no length, the answer ends with its connection),
`token_ms` between two tokens of a stream, `event_tokens` of each event, `work_ms` of other requests. On
SIGUSR1 it goes cold for `cold_s` and says so in a heartbeat at once; on SIGUSR2 it goes cold just after its
next heartbeat, and says so in the one after that. While it is cold, it falls over (its process ends, as in a
crash) when it is given more than `cold_limit` requests within a second.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from contextlib import suppress
from typing import Any

from wire import EXPECTED, ID, SIGNATURE, Head, Incomplete, call, read_head

IDLE_SECONDS = 15.0
READ_LIMIT = 1 << 18


class Server:
    """Registers itself by heartbeats, and serves requests."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.id: str = settings["id"]
        self._file = os.open(settings["record"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._cold_until = 0.0
        self._beat_now = asyncio.Event()
        self._cold_after_beat = asyncio.Event()
        self._cold_runs: list[float] = []  # when it was given requests while it was cold

    def record(self, what: str, **fields: Any) -> None:
        """Writes one line; it is in the file when this returns."""
        line = {"at": time.monotonic(), "server": self.id, "what": what} | fields
        os.write(self._file, json.dumps(line).encode() + b"\n")

    async def run(self) -> None:
        """Serves until the process is ended."""
        host, _, port = self.settings["address"].rpartition(":")
        await asyncio.start_server(self._connection, host, int(port), limit=READ_LIMIT)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._turn_cold_and_say)
        loop.add_signal_handler(signal.SIGUSR2, self._cold_after_beat.set)
        await self._beat()

    @property
    def cold_ms(self) -> int:
        """How long it remains cold."""
        return max(0, int((self._cold_until - time.monotonic()) * 1000))

    def _turn_cold(self) -> None:
        self._cold_until = time.monotonic() + self.settings["cold_s"]
        self._cold_runs.clear()
        self.record("goes cold", seconds=self.settings["cold_s"])

    def _turn_cold_and_say(self) -> None:
        self._turn_cold()
        self._beat_now.set()

    def _bear(self) -> None:
        """Falls over if it is given too much while it is cold."""
        now = time.monotonic()
        self._cold_runs = [at for at in self._cold_runs if now - at < 1] + [now]
        if len(self._cold_runs) > self.settings.get("cold_limit", float("inf")):
            self.record("falls over", within_a_second=len(self._cold_runs))
            os._exit(1)

    async def _beat(self) -> None:
        control = self.settings["control"]
        seq = turn = 0
        while True:
            seq += 1
            cold_ms = self.cold_ms
            beat = {
                "Backend": self.settings["service"],
                "Address": self.settings["address"],
                "Zone": self.settings["zone"],
                "Version": "v1",
                "Slots": 64,
                "State": "ready",
                "ColdRemainingMs": cold_ms,
                "Seq": seq,
            }
            path = f"/-/Instances.Heartbeat/{self.id}"
            answer = await call(control[turn], "POST", path, json.dumps(beat).encode())
            if answer is None or not 200 <= answer.status < 300:
                turn = (turn + 1) % len(control)
                await asyncio.sleep(0.1)
                continue
            if seq == 1 or seq % 10 == 0 or cold_ms:
                self.record("heartbeat acknowledged", seq=seq, cold_ms=cold_ms)
            if self._cold_after_beat.is_set():
                self._cold_after_beat.clear()
                self._turn_cold()
            with suppress(TimeoutError):
                async with asyncio.timeout(self.settings["heartbeat_ms"] / 1000):
                    await self._beat_now.wait()
            self._beat_now.clear()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                async with asyncio.timeout(IDLE_SECONDS):
                    head = await read_head(reader)
                body = await reader.readexactly(int(head.headers.get("content-length", "0")))
                if not await self._serve(head, len(body), writer):
                    return
        except (Incomplete, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _serve(self, head: Head, size: int, writer: asyncio.StreamWriter) -> bool:
        """Serves one request; whether the connection stays open."""
        request = head.headers.get(ID, "")
        if head.line[1] == "/healthz":
            cold = {"X-Brackenladder-Cold-Remaining-Ms": str(self.cold_ms)}
            await self._answer(writer, 200, cold | {"X-Brackenladder-Instance-Id": self.id}, b"")
            return True
        if head.headers.get(EXPECTED, self.id) != self.id or not request:
            status = 421 if request else 400
            headers = {ID: request, "X-Brackenladder-Not-Executed": "1"}
            await self._answer(writer, status, headers, b"")
            return True
        cold = {"cold_ms": self.cold_ms} if self.cold_ms else {}
        self.record("runs", request=request, method=head.line[0], target=head.line[1], size=size, **cold)
        if cold:
            self._bear()
        signed = {
            ID: request,
            SIGNATURE: f"{self.id}~{request}",
            "Keep-Alive": f"timeout={int(IDLE_SECONDS)}",
        }
        usage = head.headers.get("x-brackenladder-token-usage")
        if usage is not None:
            return await self._stream(head, request, int(usage.partition(",")[2]), signed, writer)
        await asyncio.sleep(self.settings.get("work_ms", 20) / 1000)
        await self._answer(writer, 200, signed, f"{self.id} ran {request}, {size} bytes".encode())
        self.record("answered", request=request)
        return True

    async def _stream(
        self, head: Head, request: str, tokens: int, signed: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one event after the other, each token as soon as it is there."""
        chunked = self.settings.get("framing") == "chunked"
        each = self.settings.get("event_tokens", 4)
        events = -(-tokens // each)
        signed |= {"Transfer-Encoding": "chunked"} if chunked else {"Connection": "close"}
        lines = [f"{name}: {value}" for name, value in signed.items()]
        start = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *lines, "", ""]
        writer.write("\r\n".join(start).encode())

        async def send(data: bytes) -> None:
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
            await writer.drain()

        for number in range(int(head.headers.get("last-event-id", "0")) + 1, events + 1):
            await send(b"id: %d\ndata: piece %d of %d:" % (number, number, events))
            for token in range(each):
                await asyncio.sleep(self.settings.get("token_ms", 30) / 1000)
                await send(b" token-%d" % token)
            await send(b"\n\n")
        if chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.record("streamed to its end", request=request, events=events)
        return chunked

    async def _answer(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        start = [f"HTTP/1.1 {status} -", *lines, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(start).encode() + body)
        await writer.drain()


if __name__ == "__main__":
    asyncio.run(Server(json.loads(sys.argv[1])).run())
