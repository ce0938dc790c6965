"""Operators: changes that race, orders whose answers are lost and that are sent again, evacuations, reads."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from itertools import count
from random import Random

from attrs import define, field, frozen

from brackenladder.control_plane.operator_api import BASE_VERSION_HEADER
from brackenladder.simulation.documents import read_back
from brackenladder.simulation.history import Outcome
from brackenladder.soak.configuration import Document, changed, first_configuration, invalid
from brackenladder.soak.connection import AnswerError, Connection, Ended
from brackenladder.soak.events import MICROSECONDS, Evacuated, Event, Ordered, ReadBack, Repeated, now

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
Tell = Callable[[Event], None]


@frozen
class Reply:
    """The answer of a control node."""

    status: int
    body: bytes

    @property
    def version(self) -> int:
        """The version that it names."""
        return int(json.loads(self.body).get("Version", 0))


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
        node = self.random.choice(self.nodes)
        headers = {"Host": node} | ({} if base is None else {BASE_VERSION_HEADER: str(base)})
        if not body and method == "POST":
            headers["Content-Length"] = "0"
        connection = None
        try:
            async with asyncio.timeout(CALL_SECONDS):
                connection = await Connection.open(node, CALL_SECONDS)
                await connection.send(method, path, headers, body)
                if self.lossy and self.random.random() < LOST_SHARE:
                    await asyncio.sleep(self.random.uniform(0.0, LOST_AFTER_SECONDS))
                    return None
                head = await connection.head()
                return Reply(head.status, b"".join([piece async for piece in connection.body(head)]))
        except (OSError, Ended, AnswerError):
            return None
        finally:
            if connection is not None:
                connection.close()

    async def evacuate(self, zone: str, begin: bool, patience: float = EVACUATION_SECONDS) -> bool:
        """Begins or finishes an evacuation; whether that was acknowledged."""
        invoked = now()
        path = f"/-/Evacuations.{'Begin' if begin else 'Finish'}/{zone}"

        async def acknowledged() -> bool:
            reply = await self.call("POST", path)
            return reply is not None and reply.status == HTTPStatus.OK

        done = await insist(acknowledged, patience, self.random)
        self.tell(Evacuated(zone, begin, invoked, now(), done))
        return done


async def insist(attempt: Callable[[], object], patience: float, random: Random) -> bool:
    """Calls again, with growing pauses, until it is true or the time is over."""
    until = now() + patience * MICROSECONDS
    pause = FIRST_PAUSE_SECONDS
    while not await attempt():  # type: ignore[misc]
        if now() >= until:
            return False
        await asyncio.sleep(pause * random.uniform(0.5, 1.0))
        pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
    return True


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
        document = first_configuration(number, 1)
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
        replies: list[Reply] = []

        async def clear() -> bool:
            reply = await office.call("POST", path, data, base)
            if reply is not None and reply.status in OUTCOMES:
                replies.append(reply)
            return bool(replies)

        await insist(clear, PATIENCE_SECONDS, self._random)
        outcome = OUTCOMES[HTTPStatus(replies[0].status)] if replies else Outcome.UNCLEAR
        office.tell(
            Ordered(
                number=number,
                operator=self.name,
                base=base,
                version=version,
                body=data.decode(),
                whole=json.dumps(whole),
                update=update,
                invoked=invoked,
                ended=now(),
                outcome=outcome.name,
                told_version=replies[0].version if replies else 0,
                valid=valid,
            )
        )
        if outcome is not Outcome.ACKNOWLEDGED:
            self._number = 0  # it reads before it builds again
            return False
        self._version, self._number = version, number
        if self._random.random() < REPEAT_SHARE:
            reply = await office.call("POST", path, data, base)
            if reply is not None and reply.status in OUTCOMES:
                office.tell(Repeated(now(), number, reply.status))
        return True
