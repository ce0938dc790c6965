"""Operators: concurrent configuration changes, retries after lost answers, evacuations and reads."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Container
from http import HTTPStatus
from itertools import count
from random import Random

from attrs import define, field

from brackenladder.control_plane.operator_api import BASE_VERSION_HEADER
from brackenladder.simulation.documents import read_back
from brackenladder.simulation.history import Outcome
from brackenladder.soak.configuration import Document, changed, initial, invalid
from brackenladder.soak.connection import Reply, call
from brackenladder.soak.events import MICROSECONDS, Evacuated, Ordered, ReadBack, Record, now
from brackenladder.soak.held_order import HeldOrder

CALL_SECONDS = 3.0  # timeout of one call
PATIENCE_SECONDS = 12.0  # time over which a configuration order without a definite answer is retried
EVACUATION_SECONDS = 5.0  # AckMs in seconds: how long an unacknowledged evacuation is retried
FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.1, 1.0
MEAN_PAUSE_SECONDS = 0.7  # mean pause between two actions of one operator
MAX_REDIRECTS = 2  # evacuation orders are redirected to the node that was called
LOST_SHARE = 0.15  # share of answers that are dropped
LOST_AFTER_SECONDS = 0.5  # longest time until the connection of a dropped answer is closed
READ_SHARE, REPEAT_SHARE, INVALID_SHARE, UPDATE_SHARE = 0.2, 0.25, 0.1, 0.5
OUTCOMES = {
    HTTPStatus.OK: Outcome.ACKNOWLEDGED,
    HTTPStatus.PRECONDITION_FAILED: Outcome.CONFLICT,
    HTTPStatus.BAD_REQUEST: Outcome.INVALID,
}


@define
class OperatorContext:
    """State that the operators share: control nodes, and the configuration submitted by each order number."""

    nodes: tuple[str, ...]
    random: Random
    record: Record
    lose_answers: bool = False  # whether LOST_SHARE of the answers is dropped
    documents: dict[int, Document] = field(factory=dict)
    numbers: count[int] = field(factory=lambda: count(1))

    async def call(self, method: str, path: str, body: bytes = b"", base: int | None = None) -> Reply | None:
        """Makes one call to a random node, again if redirected there; returns None if no answer comes."""
        node = self.random.choice(self.nodes)
        for _ in range(1 + MAX_REDIRECTS):
            lost = self.lose_answers and self.random.random() < LOST_SHARE
            reply = await call(
                node,
                method,
                path,
                body,
                {} if base is None else {BASE_VERSION_HEADER: str(base)},
                CALL_SECONDS,
                lost_after=self.random.uniform(0.0, LOST_AFTER_SECONDS) if lost else None,
            )
            if reply is None or reply.status != HTTPStatus.TEMPORARY_REDIRECT:
                break
        return reply

    async def retry_until_clear(
        self, path: str, clear: Container[int], patience: float, body: bytes = b"", base: int | None = None
    ) -> Reply | None:
        """Retries an order with growing pauses until a status in `clear` arrives, for `patience` seconds."""
        until = now() + patience * MICROSECONDS
        pause = FIRST_PAUSE_SECONDS
        while now() < until:
            reply = await self.call("POST", path, body, base)
            if reply is not None and reply.status in clear:
                return reply
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
        return None

    async def evacuate(self, zone: str, begin: bool, patience: float = EVACUATION_SECONDS) -> bool:
        """Begins or ends the evacuation of a zone; returns whether the control plane acknowledged it."""
        invoked = now()
        path = f"/-/Evacuations.{'Begin' if begin else 'Finish'}/{zone}"
        done = await self.retry_until_clear(path, {HTTPStatus.OK}, patience) is not None
        self.record(Evacuated(zone, begin, invoked, now(), done))
        return done

    async def overtake(self, zone: str) -> HeldOrder | None:
        """Takes an evacuated zone back and evacuates it again.

        Returns a copy of the order that took it back, which has not arrived anywhere; None if none was
        written or the zone was not evacuated again.
        """
        path = f"/-/Evacuations.Finish/{zone}"
        held = await HeldOrder.write(self.random.choice(self.nodes), path, self.random)
        if await self.evacuate(zone, begin=False) and await self.evacuate(zone, begin=True):
            return held
        return None


class Operator:
    """An operator that bases its changes on the newest configuration it knows."""

    def __init__(self, name: str, context: OperatorContext) -> None:
        self.name = name
        self._context = context
        self._random = Random(f"{context.random.random()} {name}")
        self._version = 0
        self._number = 0  # number of the order that created `_version`; 0: unknown
        self._active = True

    async def work(self) -> None:
        """Reads and changes the configuration until stopped."""
        while self._active:
            await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_SECONDS))
            if not self._number or self._random.random() < READ_SHARE:
                await self.read()
            if self._number:
                await self.configure()

    def stop(self) -> None:
        """Stops after the current action."""
        self._active = False

    async def submit_first(self) -> bool:
        """Submits the first configuration; returns whether it was acknowledged."""
        number = next(self._context.numbers)
        document = initial(number, 1)
        return await self._submit(number, document, document, update=False)

    async def configure(self, invalid_share: float = INVALID_SHARE) -> bool:
        """Changes the configuration; returns whether that was acknowledged."""
        random = self._random
        number, version = next(self._context.numbers), self._version + random.randint(1, 3)
        base = self._context.documents[self._number]
        if random.random() < invalid_share:
            document = invalid(base, number, version)
            return await self._submit(number, document, document, update=False, valid=False)
        document, update = changed(base, number, version, random)
        as_update = random.random() < UPDATE_SHARE
        return await self._submit(number, document, update if as_update else document, as_update)

    async def read(self, final: bool = False) -> bool:
        """Reads the configuration; returns whether a node answered."""
        invoked = now()
        reply = await self._context.call("GET", "/-/Config.Fetch")
        if reply is None or reply.status != HTTPStatus.OK:
            return False
        version, number = read_back(reply.body)
        self._context.record(ReadBack(self.name, invoked, now(), version, number, "", final))
        if number in self._context.documents:
            self._version, self._number = version, number
        return True

    async def _submit(
        self, number: int, whole: Document, body: Document, update: bool, valid: bool = True
    ) -> bool:
        context, base, version = self._context, self._version, int(whole["Version"])
        context.documents[number] = whole
        data, path = json.dumps(body).encode(), f"/-/Config.{'Update' if update else 'Replace'}"
        invoked = now()
        reply = await context.retry_until_clear(path, OUTCOMES, PATIENCE_SECONDS, data, base)
        outcome = Outcome.UNCLEAR if reply is None else OUTCOMES[HTTPStatus(reply.status)]
        told = 0 if reply is None else int(reply.document.get("Version", 0))
        ended, repeated = now(), None
        if outcome is Outcome.ACKNOWLEDGED and self._random.random() < REPEAT_SHARE:
            repeated = await context.call("POST", path, data, base)
        again = repeated.status if repeated is not None and repeated.status in OUTCOMES else 0
        order = (base, version, data.decode(), json.dumps(whole), update, valid)
        context.record(Ordered(number, self.name, *order, invoked, ended, outcome.name, told, again))
        self._version, self._number = version, number if outcome is Outcome.ACKNOWLEDGED else 0
        return bool(self._number)  # False: the operator must read the configuration before its next change
