"""The control socket: a Unix socket for operators' commands. Each request and reply is one line of JSON."""

from __future__ import annotations

import asyncio
import os
import socket
import stat
import struct
from collections.abc import Callable
from time import gmtime, strftime
from typing import Any, Literal

import msgspec

from brackenladder.control.plan import MAX_PLAN_BYTES, PlanRefused, parse_plan, summary
from brackenladder.node.operator import ControlTable
from brackenladder.node.pools import Pools

VERSION = 1
MAX_LINE_BYTES = 2 * MAX_PLAN_BYTES  # a plan is sent as a JSON string, whose escapes can double its length
TIMEOUT = 10.0  # seconds to receive a complete line or to send the reply
MAX_CLIENTS = 8  # connections that may be open at the same time


class ControlRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request from an operator's command."""

    version: int
    do: Literal["show", "live", "apply", "members"]
    plan: str = ""


class ControlSocket:
    """Serves the control socket. Root, the node's own user and `table.users` may use it."""

    def __init__(self, pools: Pools, table: ControlTable, log: Callable[[str], None]) -> None:
        self.pools = pools
        self.members: Callable[[], dict[str, Any]] | None = None  # returns the status of the other nodes
        # Returns the state's generation and the phase of recovery.
        self.recovery: Callable[[], dict[str, Any]] | None = None
        self.path = table.socket
        self.users = {os.getuid(), 0, *table.users}
        self.audit = table.audit
        self.log = log
        self.server: asyncio.Server | None = None
        self.open = 0

    async def start(self) -> None:
        """Binds the socket with access for its owner only. Raises OSError if the path can't be used."""
        if os.path.exists(self.path) and stat.S_ISSOCK(os.stat(self.path).st_mode):
            with socket.socket(socket.AF_UNIX) as probe:
                if probe.connect_ex(self.path) == 0:
                    raise OSError(98, f"control socket {self.path}: another process listens there")
            os.unlink(self.path)  # left over from a process that was killed
        mask = os.umask(0o177)
        try:
            self.server = await asyncio.start_unix_server(self.serve_client, self.path, limit=MAX_LINE_BYTES)
        finally:
            os.umask(mask)

    def end(self) -> None:
        """Closes the socket because the node shuts down. No more changes are accepted."""
        self.pools.begin_shutdown()
        if self.server is not None:
            self.server.close()
            self.server = None
            if os.path.exists(self.path):
                os.unlink(self.path)

    async def serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            data = await self.reply(reader, writer)
            writer.write(data + b"\n")
            async with asyncio.timeout(TIMEOUT):
                await writer.drain()
        except (TimeoutError, ConnectionError):
            pass  # the client sent nothing or disconnected
        finally:
            self.open -= 1
            writer.close()

    async def reply(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        peer = writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
        user = struct.unpack("3i", peer)[1]
        if user not in self.users:
            self.log(f"control: user {user} refused")
            return refusal(f"user {user} is not allowed to use this socket")
        if self.open > MAX_CLIENTS:
            return refusal("too many connections")
        try:
            async with asyncio.timeout(TIMEOUT):
                line = await reader.readline()
        except ValueError:
            return refusal(f"over {MAX_LINE_BYTES} bytes")
        return self.answer(line, user)

    def answer(self, line: bytes, user: int) -> bytes:
        """Returns the reply to one request line."""
        try:
            request = msgspec.json.decode(line, type=ControlRequest)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as e:
            return refusal(f"not a call: {e}")
        if request.version != VERSION:
            return refusal(f"version {request.version}; this node speaks {VERSION}")
        if request.do == "apply":
            return self.apply(request.plan, user)
        if request.do == "show" and self.recovery is not None:
            answer = {"ok": True, **summary(self.pools.live()), "recovery": self.recovery()}
            return msgspec.json.encode(answer)
        if request.do == "members":
            if self.members is None:
                return refusal("[members] is not in this node's operator file")
            return msgspec.json.encode({"ok": True, **self.members()})
        live = self.pools.live()
        return msgspec.json.encode(
            {"ok": True, **(summary(live) if request.do == "show" else {"live": live})}
        )

    def apply(self, text: str, user: int) -> bytes:
        seal = "-"
        try:
            plan = parse_plan(text.encode())
            seal = plan.seal
            self.pools.apply(plan, user)
        except PlanRefused as e:
            self.record(user, seal, f"refused: {e}")
            return refusal(str(e))
        self.record(user, seal, f"applied: {plan.base} to {plan.result}, {len(plan.changes)} keys")
        return msgspec.json.encode({"ok": True, "digest": plan.result})

    def record(self, user: int, seal: str, text: str) -> None:
        """Writes a line to the log and, if there is one, to the audit file."""
        self.log(f"control: user {user}, plan {seal}: {text}")
        if self.audit:
            try:
                with open(self.audit, "a") as file:
                    file.write(f"{strftime('%Y-%m-%dT%H:%M:%SZ', gmtime())} user {user} plan {seal} {text}\n")
            except OSError as e:
                self.log(f"control: audit {self.audit}: {e.strerror}")


def refusal(why: str) -> bytes:
    table: dict[str, Any] = {"ok": False, "why": why}
    return msgspec.json.encode(table)
