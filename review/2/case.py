"""An operator evacuates a zone again, after a copy of the order that took it back was held up by a cut."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from case import BROKEN, HELD, NOT_RUN, TROUBLE, Record, run_case
from deployment import BOUNDS, CONTROL, HOST, ZONES, Deployment, configuration, route
from path import Path as NetworkPath
from wire import ID, SIGNATURE, Incomplete, call, read_answer, request_bytes

ZONE = "ptos-hall"
SERVICE = "match-llm"
ONE_WAY_SECONDS = 0.035  # between regions
SILENCE_SECONDS = 1.0  # after which the operator turns to another node
CUT_SECONDS = 5.9
EVACUATED_SECONDS = 3.0
TAKEN_BACK_SECONDS = 2.0
EVACUATE_SECONDS = BOUNDS["EvacuateMs"] / 1000
WATCHED_SECONDS = 5.0
RATE = 8.0  # requests a second of each zone's clients
DEADLINE_MS = 3000


class Operator:
    """An operator in another region, with a kept connection to each control node."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self.record = record
        self.paths = [
            NetworkPath(f"{site.network}.{101 + n}", machine.ip, CONTROL, ONE_WAY_SECONDS, record)
            for n, machine in enumerate(site.control)
        ]
        self._kept: dict[int, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}

    async def connect(self) -> None:
        """Opens the kept connections."""
        for number, path in enumerate(self.paths):
            await path.listen()
            host, _, port = path.address.rpartition(":")
            self._kept[number] = await asyncio.open_connection(host, int(port))

    async def order(self, name: str, number: int) -> float:
        """Gives an order, first to the node `number`, until it is acknowledged; returns when it was."""
        while True:
            status = await self._ask(name, number)
            if status is not None and 200 <= status < 300:
                return time.monotonic()
            number = (number + 1) % len(self.paths)

    async def _ask(self, name: str, number: int) -> int | None:
        path = self.paths[number]
        kept = self._kept.pop(number, None)
        try:
            async with asyncio.timeout(SILENCE_SECONDS):
                if kept is None:
                    host, _, port = path.address.rpartition(":")
                    kept = await asyncio.open_connection(host, int(port))
                reader, writer = kept
                writer.write(request_bytes("POST", f"/-/Evacuations.{name}/{ZONE}", {"Host": path.address}))
                self.record("order sent", order=name, node=path.address)
                answer = await read_answer(reader)
        except (TimeoutError, Incomplete, OSError):
            if kept is not None:
                kept[1].close()  # it turns to another node, and is not there any more for this one
            self.record("no answer", order=name, node=path.address)
            return None
        self.record("order answered", order=name, node=path.address, status=answer.status)
        self._kept[number] = kept
        return answer.status

    def close(self) -> None:
        """Ends the paths."""
        for path in self.paths:
            path.close()


class Clients:
    """Clients of all zones that send unsafe requests at a rate."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self.site = site
        self.record = record
        self.ends: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends until it is cancelled."""
        count = 0
        addresses: dict[str, list[str]] = {}
        while True:
            for zone in ZONES:
                if count % 8 == 0 or not addresses.get(zone):
                    addresses[zone] = await self.site.resolve(zone) or addresses.get(zone, [])
                if addresses[zone]:
                    task = asyncio.create_task(
                        self._request(f"{zone}-{count}", random.choice(addresses[zone]))
                    )
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            count += 1
            await asyncio.sleep(1 / RATE)

    async def _request(self, request: str, gateway: str) -> None:
        headers = {"Host": HOST, ID: request, "X-Brackenladder-Request-Deadline-Ms": str(DEADLINE_MS)}
        answer = await call(gateway, "POST", "/cards/1", b"x" * 600, headers, DEADLINE_MS / 1000)
        how = "none" if answer is None else str(answer.status)
        if answer is not None and answer.status == 200 and SIGNATURE not in answer.headers:
            how = "unsigned"
        self.ends[how] = self.ends.get(how, 0) + 1
        self.record("request", request=request, gateway=gateway, end=how)


async def _evacuate_twice(site: Deployment, record: Record, operator: Operator) -> float:
    """Evacuates the zone, takes it back and evacuates it again; returns when that was acknowledged.

    The order that takes the zone back goes to node 0 first, whose path is cut with the trouble.
    """
    await operator.order("Begin", 0)
    await asyncio.sleep(EVACUATED_SECONDS)
    cut_at = time.monotonic()
    if TROUBLE:
        operator.paths[0].cut()
    await operator.order("Finish", 0)
    await asyncio.sleep(TAKEN_BACK_SECONDS)
    acknowledged = await operator.order("Begin", 1)
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    if TROUBLE:
        operator.paths[0].heal()
    return acknowledged


def _judge(
    lines: list[dict[str, Any]], zone_ids: set[str], since: float, clients: Clients, record: Record
) -> int:
    bound = since + EVACUATE_SECONDS
    runs = [line for line in lines if line["what"] == "runs"]
    before = [line for line in runs if line["server"] in zone_ids and line["at"] < since]
    late = [line for line in runs if line["server"] in zone_ids and line["at"] > bound]
    all_late = [line for line in runs if line["at"] > bound]
    record.say(
        f"after the bound of {EVACUATE_SECONDS} s: {len(late)} requests reached the evacuated zone's server,"
        f" of {len(all_late)} that reached servers; ends of all requests: {clients.ends}"
    )
    for line in late[:3]:
        record.say(
            f"EVAC broken: {line['request']} reached {line['server']}, {line['at'] - since:.2f} s after"
        )
    if not before or not all_late:
        record.say("the case was not reached")
        return NOT_RUN
    return BROKEN if late else HELD


async def _status(site: Deployment, record: Record) -> None:
    """Records what each control node says is evacuated."""
    for machine in site.control:
        answer = await call(machine.address(CONTROL), "GET", "/-/Status")
        record("status", node=machine.name, body=answer.body.decode()[:400] if answer else None)


async def play(record: Record, folder: Path) -> int:
    """Plays the case."""
    site = Deployment(folder, record)
    site.add_servers(SERVICE, 1)
    operator = Operator(site, record)
    clients = Clients(site, record)
    first = configuration(1, [route("cards", "unsafe", SERVICE, DEADLINE_MS, 1)], [SERVICE])
    sending: asyncio.Task[None] | None = None
    try:
        if not await site.begin(first):
            record.say("the system did not get ready")
            return NOT_RUN
        zone_ids = {place.id for place in site.servers if place.zone == ZONE}
        sending = asyncio.create_task(clients.run())
        await operator.connect()
        await asyncio.sleep(2.0)
        acknowledged = await _evacuate_twice(site, record, operator)
        await asyncio.sleep(max(0.0, acknowledged + EVACUATE_SECONDS + WATCHED_SECONDS - time.monotonic()))
        await _status(site, record)
        lines = site.server_records()
    finally:
        if sending is not None:
            sending.cancel()
        operator.close()
        site.end()
    verdict = _judge(lines, zone_ids, acknowledged, clients, record)
    for line in lines:
        record.line(line.pop("at"), line.pop("what"), **line)
    return verdict


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
