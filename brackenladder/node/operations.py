"""What a node does for its operators: the door's calls, servers held back, pauses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import nullcontext
from time import time_ns

from brackenladder.membership.listing import Listing
from brackenladder.node.listener import Front
from brackenladder.node.pool import Pool
from brackenladder.operations.calls import OperatorCall, answer
from brackenladder.operations.maintenance import Maintenance, TooMany
from brackenladder.operations.pause import Pause, Service
from brackenladder.sockets.listener import Address
from brackenladder.sockets.operator_listener import OperatorListener
from brackenladder.storage.holds import HoldsError, HoldsFile

LOOK = 0.02  # seconds between two looks at a pause
LOOK_AT_HOLDS = 0.1  # and at what another process of this node has noted


class Operations:
    """`pool`: whose servers may be held back. `fronts`: who pauses. `folder`: shared with a successor."""

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
        self.service = Service.SERVING
        self.maintenance = Maintenance()
        self.file = HoldsFile(folder) if folder else None
        self.operator_listener = OperatorListener(loop, self.handle)
        self.ended = False
        self.looking: asyncio.TimerHandle | None = None
        pool.admit = self.admit

    def start(self, address: Address) -> None:
        """Takes on what was held back before. An OSError if the address cannot be had."""
        self.look_at_holds()
        self.operator_listener.start(address)

    def end(self) -> None:
        """The node ends: pauses are its own matter no more, servers stay held back."""
        self.ended = True

    # ---- servers --------------------------------------------------------------------------------------

    def admit(self, listing: Listing) -> Listing:
        """News of the list, as the pool is to take them."""
        return self.maintenance.admit(listing)

    def look_at_holds(self) -> None:
        """Takes on what the node's other process was told.

        Failure prevented: a server is held back by a call to the one, and the other sends to it.
        """
        if self.file is None:
            return
        if self.file.changed():
            try:
                with self.file.locked():
                    self.changed(self.maintenance.take_over(self.file.read()))
            except HoldsError as e:
                self.log(str(e))
        self.loop.call_later(LOOK_AT_HOLDS, self.look_at_holds)

    def changed(self, servers: Sequence[str]) -> None:
        if servers and self.pool.has_listing:
            self.pool.roster.apply_listing(self.maintenance.news_of(servers, 0))

    def hold(self, call: OperatorCall) -> bytes:
        """Holds a server back or gives it back: noted for the other process before the yes."""
        maintenance, now = self.maintenance, time_ns() // 1000
        try:
            with self.file.locked() if self.file is not None else nullcontext():
                if self.file is not None and self.file.changed():
                    self.changed(maintenance.take_over(self.file.read()))
                if not maintenance.knows(call.server):
                    return answer(False, "no such server")
                before = maintenance.holds.get(call.server)
                (maintenance.suspend if call.verb == "SUSPEND" else maintenance.restore)(call.server, now)
                if maintenance.holds.get(call.server) != before:
                    self.changed([call.server])
                    self.log(f"{call.verb} {call.server}")
                    if self.file is not None:
                        self.file.write(maintenance.holds)
        except TooMany:
            return answer(False, "too many servers are held back")
        except HoldsError as e:
            # It holds in this process; that it does not reach a successor is for the operator to know.
            self.log(str(e))
            return answer(False, str(e))
        return answer(True)

    # ---- calls ----------------------------------------------------------------------------------------

    def handle(self, call: OperatorCall) -> bytes:
        """Answers a call, once what it asks for holds."""
        if call.server:
            return self.hold(call)
        if call.verb == "STATUS":
            ok = self.serving() and self.service == Service.SERVING and not self.ended
            return answer(ok, "" if ok else "takes no clients")
        if self.ended:
            return answer(False, "the node ends")
        if call.verb == "PAUSE":
            if self.pause.since is None:
                self.log("PAUSE")
                self.pause.begin(self.loop.time())
                self.look_at_pause()
        elif self.pause.since is not None:
            self.log("RESUME")
            self.pause.end()
            self.look_at_pause()
        return answer(True)

    def look_at_pause(self) -> None:
        """Tells the fronts how far the pause is."""
        if self.looking is not None:
            self.looking.cancel()
            self.looking = None
        if self.ended:
            return
        self.service = self.pause.service(self.loop.time())
        for front in self.fronts():
            front.set_service_state(self.service)
        if self.service != Service.SERVING:
            self.looking = self.loop.call_later(LOOK, self.look_at_pause)
