"""The control socket: `show`, what a plan is made from, and `apply`. One line of JSON in, one out."""

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
LARGEST_LINE = 2 * MAX_PLAN_BYTES  # bytes: a plan in a string
PATIENCE = 10.0  # seconds for a line to come whole
CLIENTS = 8  # connections at once


class ControlRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line from an operator's command."""

    version: int
    do: Literal["show", "live", "apply", "members"]
    plan: str = ""


class ControlSocket:
    """`users`: who may speak here beside the user that the node runs as, and root."""

    def __init__(self, pools: Pools, table: ControlTable, log: Callable[[str], None]) -> None:
        self.pools = pools
        self.members: Callable[[], dict[str, Any]] | None = None  # what is known of other nodes
        self.recovery: Callable[[], dict[str, Any]] | None = None  # generation and phase
        self.path = table.socket
        self.users = {os.getuid(), 0, *table.users}
        self.audit = table.audit
        self.log = log
        self.server: asyncio.Server | None = None
        self.open = 0

    async def start(self) -> None:
        """Binds the socket, for its owner alone. An OSError if the path cannot be had."""
        if os.path.exists(self.path) and stat.S_ISSOCK(os.stat(self.path).st_mode):
            with socket.socket(socket.AF_UNIX) as probe:
                if probe.connect_ex(self.path) == 0:
                    raise OSError(98, f"control socket {self.path}: another process listens there")
            os.unlink(self.path)  # left behind by a process that was killed
        mask = os.umask(0o177)
        try:
            self.server = await asyncio.start_unix_server(self.visit, self.path, limit=LARGEST_LINE)
        finally:
            os.umask(mask)

    def end(self) -> None:
        """The node ends: no change comes any more."""
        self.pools.begin_shutdown()
        if self.server is not None:
            self.server.close()
            self.server = None
            if os.path.exists(self.path):
                os.unlink(self.path)

    async def visit(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            data = await self.reply(reader, writer)
            writer.write(data + b"\n")
            async with asyncio.timeout(PATIENCE):
                await writer.drain()
        except (TimeoutError, ConnectionError):
            pass  # a client that says nothing, or went away
        finally:
            self.open -= 1
            writer.close()

    async def reply(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        peer = writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
        user = struct.unpack("3i", peer)[1]
        if user not in self.users:
            self.log(f"control: user {user} refused")
            return refusal(f"user {user} may not")
        if self.open > CLIENTS:
            return refusal("too many connections")
        try:
            async with asyncio.timeout(PATIENCE):
                line = await reader.readline()
        except ValueError:
            return refusal(f"over {LARGEST_LINE} bytes")
        return self.answer(line, user)

    def answer(self, line: bytes, user: int) -> bytes:
        """What is said to one line."""
        try:
            asked = msgspec.json.decode(line, type=ControlRequest)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as e:
            return refusal(f"not a call: {e}")
        if asked.version != VERSION:
            return refusal(f"version {asked.version}; this node speaks {VERSION}")
        if asked.do == "apply":
            return self.apply(asked.plan, user)
        if asked.do == "show" and self.recovery is not None:
            answer = {"ok": True, **summary(self.pools.live()), "recovery": self.recovery()}
            return msgspec.json.encode(answer)
        if asked.do == "members":
            if self.members is None:
                return refusal("[members] is not in this node's operator file")
            return msgspec.json.encode({"ok": True, **self.members()})
        live = self.pools.live()
        return msgspec.json.encode({"ok": True, **(summary(live) if asked.do == "show" else {"live": live})})

    def apply(self, text: str, user: int) -> bytes:
        seal = "-"
        try:
            plan = parse_plan(text.encode())
            seal = plan.seal
            self.pools.apply(plan, user)
        except PlanRefused as e:
            self.note(user, seal, f"refused: {e}")
            return refusal(str(e))
        self.note(user, seal, f"applied: {plan.base} to {plan.result}, {len(plan.changes)} keys")
        return msgspec.json.encode({"ok": True, "digest": plan.result})

    def note(self, user: int, seal: str, text: str) -> None:
        """A line in the log, and one in the audit file."""
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
