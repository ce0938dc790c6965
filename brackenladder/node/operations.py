"""Operators' calls to a node: taking servers out of service and back, pausing, status."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import nullcontext
from time import time_ns

from brackenladder.membership.listing import Listing
from brackenladder.node.listener import Front
from brackenladder.node.pool import Pool
from brackenladder.operations.calls import OperatorCall, format_answer
from brackenladder.operations.maintenance import Maintenance, TooManyHolds
from brackenladder.operations.pause import Pause, ServiceStage
from brackenladder.sockets.listener import Address
from brackenladder.sockets.operator_listener import OperatorListener
from brackenladder.storage.holds import HoldsError, HoldsFile

PAUSE_INTERVAL = 0.02  # seconds between two updates during a pause
HOLDS_INTERVAL = 0.1  # seconds between two checks of the file that the node's processes share


class Operations:
    """Handles the calls.

    `pool` has the servers that operators may suspend. `fronts` returns the fronts that a pause applies to.
    `folder` is shared with the node's other process during a restart.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: Pool,
        fronts: Callable[[], Sequence[Front]],
        serving: Callable[[], bool],
        folder: str | None,
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.pool = pool
        self.fronts = fronts
        self.serving = serving
        self.log = log
        self.pause = Pause()
        self.service = ServiceStage.SERVING
        self.maintenance = Maintenance()
        self.file = HoldsFile(folder) if folder else None
        self.operator_listener = OperatorListener(loop, self.handle)
        self.ended = False
        self.pause_timer: asyncio.TimerHandle | None = None
        pool.admit = self.admit

    def start(self, address: Address) -> None:
        """Applies recorded suspensions and listens for operators. Raises OSError if it can't be bound."""
        self.sync_holds()
        self.operator_listener.start(address)

    def end(self) -> None:
        """Stops updating the stage of a pause, as the node shuts down. Suspended servers stay suspended."""
        self.ended = True

    # ---- servers --------------------------------------------------------------------------------------

    def admit(self, listing: Listing) -> Listing:
        """Returns a listing from discovery with the operators' suspensions applied."""
        return self.maintenance.process_listing(listing)

    def sync_holds(self) -> None:
        """Applies the server suspensions that the node's other process has recorded in the file.

        Otherwise one process would go on sending to a server that an operator suspended in the other.
        """
        if self.file is None:
            return
        if self.file.changed():
            try:
                with self.file.locked():
                    self.update_pool(self.maintenance.replace_holds(self.file.read()))
            except HoldsError as e:
                self.log(str(e))
        self.loop.call_later(HOLDS_INTERVAL, self.sync_holds)

    def update_pool(self, servers: Sequence[str]) -> None:
        if servers and self.pool.has_listing:
            self.pool.roster.apply_listing(self.maintenance.listing_for(servers, 0))

    def hold(self, call: OperatorCall) -> bytes:
        """Suspends or restores a server.

        Before the reply is sent, the change is written to the file that the node's processes share.
        """
        maintenance, now = self.maintenance, time_ns() // 1000
        try:
            with self.file.locked() if self.file is not None else nullcontext():
                if self.file is not None and self.file.changed():
                    self.update_pool(maintenance.replace_holds(self.file.read()))
                if not maintenance.is_known(call.server):
                    return format_answer(False, "no such server")
                before = maintenance.holds.get(call.server)
                (maintenance.suspend if call.verb == "SUSPEND" else maintenance.restore)(call.server, now)
                if maintenance.holds.get(call.server) != before:
                    self.update_pool([call.server])
                    self.log(f"{call.verb} {call.server}")
                    if self.file is not None:
                        self.file.write(maintenance.holds)
        except TooManyHolds:
            return format_answer(False, "too many servers are held back")
        except HoldsError as e:
            # The change is in force in this process but couldn't be written to the file. The error reply
            # tells the operator that a process which takes over at a restart won't know of it.
            self.log(str(e))
            return format_answer(False, str(e))
        return format_answer(True)

    # ---- calls ----------------------------------------------------------------------------------------

    def handle(self, call: OperatorCall) -> bytes:
        """Applies a call and returns the reply."""
        if call.server:
            return self.hold(call)
        if call.verb == "STATUS":
            ok = self.serving() and self.service == ServiceStage.SERVING and not self.ended
            return format_answer(ok, "" if ok else "takes no clients")
        if self.ended:
            return format_answer(False, "the node ends")
        if call.verb == "PAUSE":
            if self.pause.since is None:
                self.log("PAUSE")
                self.pause.begin(self.loop.time())
                self.update_pause()
        elif self.pause.since is not None:
            self.log("RESUME")
            self.pause.end()
            self.update_pause()
        return format_answer(True)

    def update_pause(self) -> None:
        """Tells the listeners' fronts, which accept client calls, which stage the pause has reached."""
        if self.pause_timer is not None:
            self.pause_timer.cancel()
            self.pause_timer = None
        if self.ended:
            return
        self.service = self.pause.stage(self.loop.time())
        for front in self.fronts():
            front.set_service_stage(self.service)
        if self.service != ServiceStage.SERVING:
            self.pause_timer = self.loop.call_later(PAUSE_INTERVAL, self.update_pause)
