"""The simulated servers of one process: starts each at its time, and begins and ends its faults."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from brackenladder.rehearsal.plan import ServerPlan, Step
from brackenladder.rehearsal.standins.process import Host, address_of
from brackenladder.rehearsal.standins.server_context import ServerContext
from brackenladder.rehearsal.standins.simulated_server import SimulatedServer

SWEEP_INTERVAL = 0.1  # seconds between two checks for idle connections


class Servers:
    """Runs the simulated servers of this process; their ports stay bound while a server is down."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.context = ServerContext(host)
        self.mine = [s for s in host.plan.servers if s.process == host.brief.number]
        self.running: dict[str, SimulatedServer] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.reserved: dict[int, socket.socket] = {}

    async def open(self) -> dict[str, Any]:
        for place in sorted({s.place for s in self.mine}):
            # Bound during the whole run, so that no other process gets the port while the server is down.
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
            self.reserved[place] = sock
            self.context.places[place] = address_of(sock)
        for server in self.mine:
            if server.born < 0:
                await self.start_server(server, -1)
        return {"places": {str(k): v for k, v in self.context.places.items()}}

    async def start_server(self, plan: ServerPlan, cold_since: int) -> None:
        server = self.running[plan.id] = SimulatedServer(self.context, plan, cold_since)
        await server.start()

    def run(self, coroutine: Any) -> None:
        task = self.host.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)

    def task_ended(self, task: asyncio.Task[None]) -> None:
        """Passes a task's exception to the loop's handler at once, not when the task is garbage collected."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.result()

    def start(self) -> None:
        plans = {s.id: s for s in self.mine}
        for server in self.mine:
            if server.born >= 0:
                self.host.at(server.born, self.start_later, server, server.born)
        for step in self.host.plan.steps:
            if step.target in plans:
                self.host.at(step.at, self.begin_fault, step, plans[step.target])
        self.sweep()

    def start_later(self, plan: ServerPlan, cold_since: int) -> None:
        self.run(self.start_server(plan, cold_since))

    def begin_fault(self, step: Step, plan: ServerPlan) -> None:
        """Begins a fault and schedules its end."""
        self.host.note_fault(step)
        server = self.running[plan.id]
        if step.kind in ("restart", "replace"):
            server.die()
            if step.kind == "restart":
                self.host.at(step.end, self.start_later, plan, step.end)
        elif step.kind in ("drain", "drain-answering"):
            self.host.at(step.end, lambda: self.run(server.retire()))
        elif step.kind in ("closed", "reset-early"):
            server.close_port()
            server.drop_idle()
            if step.kind == "reset-early":
                self.run(server.reopen())  # the new socket has a small receive buffer
                self.host.at(step.end, server.close_port)
            self.host.at(step.end, lambda: self.run(server.reopen()))
        elif step.kind == "backlog":
            server.block()
            self.host.at(step.end, lambda: self.run(server.unblock()))

    def sweep(self) -> None:
        for server in self.running.values():
            server.sweep()
        self.host.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def order(self, order: dict[str, Any]) -> None:
        """This role gets no further orders."""

    async def finish(self) -> None:
        for server in self.running.values():
            server.close_port()
        for sock in self.reserved.values():
            sock.close()
