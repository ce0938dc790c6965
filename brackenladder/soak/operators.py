"""Operators: changes that race, orders whose answers are lost and that are sent again, evacuations, reads."""

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
from brackenladder.soak.events import MICROSECONDS, Evacuated, Ordered, ReadBack, Tell, now

CALL_SECONDS = 3.0  # for one call
PATIENCE_SECONDS = 12.0  # for which a configuration without a clear answer is sent again
EVACUATION_SECONDS = 5.0  # AckMs: for which an evacuation is sent again
FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.1, 1.0
MEAN_PAUSE_SECONDS = 0.7  # between two actions of one operator
LOST_SHARE = 0.15  # of answers
LOST_AFTER_SECONDS = 0.5  # at most, the connection of a lost answer ends
READ_SHARE, REPEAT_SHARE, INVALID_SHARE, UPDATE_SHARE = 0.2, 0.25, 0.1, 0.5
OUTCOMES = {
    HTTPStatus.OK: Outcome.ACKNOWLEDGED,
    HTTPStatus.PRECONDITION_FAILED: Outcome.CONFLICT,
    HTTPStatus.BAD_REQUEST: Outcome.INVALID,
}


@define
class Office:
    """What the operators of a soak share: nodes, and each order's configuration by its number."""

    nodes: tuple[str, ...]
    random: Random
    tell: Tell
    lossy: bool = False  # answers are lost
    documents: dict[int, Document] = field(factory=dict)
    numbers: count[int] = field(factory=lambda: count(1))

    async def call(self, method: str, path: str, body: bytes = b"", base: int | None = None) -> Reply | None:
        """One call of one node; None without an answer."""
        lost = self.lossy and self.random.random() < LOST_SHARE
        return await call(
            self.random.choice(self.nodes),
            method,
            path,
            body,
            {} if base is None else {BASE_VERSION_HEADER: str(base)},
            CALL_SECONDS,
            lost_after=self.random.uniform(0.0, LOST_AFTER_SECONDS) if lost else None,
        )

    async def insist(
        self, path: str, clear: Container[int], patience: float, body: bytes = b"", base: int | None = None
    ) -> Reply | None:
        """Sends an order again, with growing pauses, until an answer is clear or the time is over."""
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
        """Begins or finishes an evacuation; whether that was acknowledged."""
        invoked = now()
        path = f"/-/Evacuations.{'Begin' if begin else 'Finish'}/{zone}"
        done = await self.insist(path, {HTTPStatus.OK}, patience) is not None
        self.tell(Evacuated(zone, begin, invoked, now(), done))
        return done


class Operator:
    """One operator, who builds on the newest configuration that is known to it."""

    def __init__(self, name: str, office: Office) -> None:
        self.name = name
        self._office = office
        self._random = Random(f"{office.random.random()} {name}")
        self._version = 0
        self._number = 0  # of the order that made that version
        self._active = True

    async def work(self) -> None:
        """Acts until it is stopped."""
        while self._active:
            await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_SECONDS))
            if not self._number or self._random.random() < READ_SHARE:
                await self.read()
            if self._number:
                await self.configure()

    def stop(self) -> None:
        """Acts no more after what is under way."""
        self._active = False

    async def first(self) -> bool:
        """Puts the first configuration in force."""
        number = next(self._office.numbers)
        document = initial(number, 1)
        return await self._submit(number, document, document, update=False)

    async def configure(self, invalid_share: float = INVALID_SHARE) -> bool:
        """Changes the configuration; whether it was acknowledged."""
        random = self._random
        number, version = next(self._office.numbers), self._version + random.randint(1, 3)
        base = self._office.documents[self._number]
        if random.random() < invalid_share:
            document = invalid(base, number, version)
            return await self._submit(number, document, document, update=False, valid=False)
        document, update = changed(base, number, version, random)
        as_update = random.random() < UPDATE_SHARE
        return await self._submit(number, document, update if as_update else document, as_update)

    async def read(self, final: bool = False) -> bool:
        """Reads the configuration back; whether a node told it."""
        invoked = now()
        reply = await self._office.call("GET", "/-/Config.Fetch")
        if reply is None or reply.status != HTTPStatus.OK:
            return False
        version, number = read_back(reply.body)
        self._office.tell(ReadBack(self.name, invoked, now(), version, number, "", final))
        if number in self._office.documents:
            self._version, self._number = version, number
        return True

    async def _submit(
        self, number: int, whole: Document, body: Document, update: bool, valid: bool = True
    ) -> bool:
        office, base, version = self._office, self._version, int(whole["Version"])
        office.documents[number] = whole
        data, path = json.dumps(body).encode(), f"/-/Config.{'Update' if update else 'Replace'}"
        invoked = now()
        reply = await office.insist(path, OUTCOMES, PATIENCE_SECONDS, data, base)
        outcome = Outcome.UNCLEAR if reply is None else OUTCOMES[HTTPStatus(reply.status)]
        told = 0 if reply is None else int(reply.document.get("Version", 0))
        ended, repeated = now(), None
        if outcome is Outcome.ACKNOWLEDGED and self._random.random() < REPEAT_SHARE:
            repeated = await office.call("POST", path, data, base)
        again = repeated.status if repeated is not None and repeated.status in OUTCOMES else 0
        order = (base, version, data.decode(), json.dumps(whole), update, valid)
        office.tell(Ordered(number, self.name, *order, invoked, ended, outcome.name, told, again))
        self._version, self._number = version, number if outcome is Outcome.ACKNOWLEDGED else 0
        return bool(self._number)  # without: it reads before it builds again
