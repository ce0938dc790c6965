"""A server goes cold, and its gateways can't know it yet: how much is sent to it within a second?

An evacuated zone is taken back, and a service is added right after it. With VARIANT=core, instead: all
control nodes are killed and return, and a server goes cold meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from bisect import bisect_left
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

from case import BROKEN, HELD, NOT_RUN, TROUBLE, Record, run_case
from deployment import BOUNDS, CONTROL, HOST, ZONES, Deployment, ServerPlace, configuration, route
from wire import ID, SIGNATURE, Incomplete, call, read_answer, request_bytes

COLD_S, COLD_PER_S = 3.0, 9.9  # those of match-llm on the sheet
BOUND = COLD_PER_S * BOUNDS["ColdOvershoot"] + BOUNDS["ColdSlack"]  # of the rule: 19.85 in a second
FALLS_OVER = int(2.5 * COLD_PER_S)  # requests in a second; the pages: "well above" `ColdPerS`
# Requests a second by zone. The server that goes cold is in the first zone.
RATES = {"ptos-hall": 30.0, "sfdo-hall": 8.0, "scar-hall": 8.0}
BEFORE_SECONDS, DOWN_SECONDS, AFTER_SECONDS = 6.0, 1.0, 8.0
COLD_AFTER_SECONDS = 0.2  # from the kill to the moment at which the server goes cold
DEADLINE_MS = 15000
EVACUATED_SECONDS = 3.0
FIRST, SECOND = "match-llm", "match-llm-2"
CORE_KILLED = os.environ.get("VARIANT") == "core"


class Clients:
    """Clients that send short prompts at a rate, and what they saw."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self.site = site
        self.record = record
        self.ends: dict[str, int] = {}
        self._addresses: dict[str, list[str]] = {}  # the last answer of the directory, by zone
        self._tasks: set[asyncio.Task[None]] = set()

    async def send(self, zone: str, until: float) -> None:
        """Sends the requests of a zone, evenly spaced, and waits for their ends."""
        while not self._addresses.get(zone):
            self._addresses[zone] = await self.site.resolve(zone)
            await asyncio.sleep(0.1)
        due, count = time.monotonic(), 0
        refresh = asyncio.create_task(self._refresh(zone))
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / RATES[zone]
            count += 1
            task = asyncio.create_task(self._request(zone, f"{zone}-{count}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        refresh.cancel()
        await asyncio.gather(*self._tasks)

    async def _refresh(self, zone: str) -> None:
        """Asks the directory each second; the last answer holds while there is no new one."""
        while True:
            await asyncio.sleep(1.0)
            self._addresses[zone] = await self.site.resolve(zone) or self._addresses[zone]

    async def _request(self, zone: str, request: str) -> None:
        gateway = random.choice(self._addresses[zone])
        headers = {
            "Host": HOST,
            ID: request,
            "X-Brackenladder-Request-Deadline-Ms": str(DEADLINE_MS),
            "X-Brackenladder-Model": "m",
            "X-Brackenladder-Token-Usage": "715,40",
        }
        self.record("sent", request=request, gateway=gateway)
        host, _, port = gateway.rpartition(":")
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(request_bytes("POST", "/chat/1", headers, b"x" * 1400))
                    answer = await read_answer(reader)
                finally:
                    writer.close()
        except (Incomplete, OSError) as error:
            self._end(request, "cut" if isinstance(error, Incomplete) else "not answered")
        else:
            whole = answer.status == 200 and SIGNATURE in answer.headers
            self._end(request, "whole" if whole else str(answer.status))

    def _end(self, request: str, how: str) -> None:
        self.ends[how] = self.ends.get(how, 0) + 1
        self.record("ended", request=request, how=how)


def _service(name: str) -> dict[str, Any]:
    return configuration(1, [], [name])["Services"][0] | {"ColdStartS": COLD_S, "ColdPerS": COLD_PER_S}


async def _order(
    site: Deployment, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> None:
    """Sends an order until it is acknowledged, each time to any control node."""
    while True:
        node = random.choice(site.control).address(CONTROL)
        answer = await call(node, "POST", path, body, headers, 1.0)
        site.record("order", path=path, node=node, status=answer.status if answer else None)
        if answer is not None and answer.status == 200:
            return


async def _take_back_and_configure(site: Deployment, cold: ServerPlace) -> None:
    """Takes an evacuated zone back, and sends the traffic to another service right after it.

    The server of that service in the zone goes cold just before; its next heartbeat tells. With the trouble,
    the service is new in the configuration; without it, it has been there from the beginning.
    """
    assert cold.process is not None
    await _order(site, f"/-/Evacuations.Begin/{cold.zone}")
    await asyncio.sleep(EVACUATED_SECONDS)
    os.kill(cold.process.pid, signal.SIGUSR2)
    while not any(line["what"] == "goes cold" for line in site.server_records()):
        await asyncio.sleep(0.01)
    await _order(site, f"/-/Evacuations.Finish/{cold.zone}")
    upsert = {"Routes": [_chat(SECOND)], "Services": [_service(SECOND)]}
    update = {"Version": 2, "Upsert": upsert, "Remove": {}}
    await _order(site, "/-/Config.Update", json.dumps(update).encode(), {"X-Brackenladder-Base-Version": "1"})


async def _kill_control_nodes(site: Deployment, cold: ServerPlace) -> None:
    """Kills all control nodes at once and starts them again; a server goes cold while they are down."""
    assert cold.process is not None
    if TROUBLE:
        for machine in site.control:
            site.kill(machine)
        await asyncio.sleep(COLD_AFTER_SECONDS)
    os.kill(cold.process.pid, signal.SIGUSR1)
    if TROUBLE:
        await asyncio.sleep(DOWN_SECONDS - COLD_AFTER_SECONDS)
        for machine in site.control:
            site.start(machine)


def _chat(service: str) -> dict[str, Any]:
    return route("chat", "streaming", service, DEADLINE_MS, 1)


def _most_in_a_second(times: list[float]) -> int:
    """The largest number of requests within any second."""
    return max((bisect_left(times, at + 1) - number for number, at in enumerate(times)), default=0)


def _judge(lines: list[dict[str, Any]], server: str, clients: Clients, record: Record) -> int:
    own = [line for line in lines if line["server"] == server]
    began = next((line["at"] for line in own if line["what"] == "goes cold"), None)
    if began is None or not clients.ends.get("whole"):
        record.say("the case was not reached")
        return NOT_RUN
    cold_runs = [line["at"] for line in own if line["what"] == "runs" and line.get("cold_ms")]
    told = [
        line["at"] - began for line in own if line["what"] == "heartbeat acknowledged" and line["at"] > began
    ]
    fell = [line["at"] - began for line in own if line["what"] == "falls over"]
    most = _most_in_a_second(cold_runs)
    when = f"acknowledged after {told[0]:.2f} s" if told else "not acknowledged before it fell over"
    record.say(f"the server's report that it is cold was {when}")
    record.say(
        f"while cold it was given {len(cold_runs)} requests, {most} within a second; the bound is {BOUND}"
    )
    record.say(f"it fell over after {[round(at, 2) for at in fell]} s; ends of requests: {clients.ends}")
    return BROKEN if most > BOUND else HELD


async def play(record: Record, folder: Path) -> int:
    """Plays the case."""
    site = Deployment(folder, record)
    options = {"framing": "chunked", "token_ms": 10, "cold_s": COLD_S, "cold_limit": FALLS_OVER}
    site.add_servers(FIRST, 1, **options)
    site.add_servers(SECOND, 1, **options)
    services = [FIRST] if TROUBLE and not CORE_KILLED else [FIRST, SECOND]
    first = configuration(1, [_chat(FIRST)], services)
    first["Services"] = [_service(name) for name in services]
    service = FIRST if CORE_KILLED else SECOND
    place = next(one for one in site.servers if one.service == service and one.zone == "ptos-hall")
    clients = Clients(site, record)
    try:
        if not await site.begin(first):
            record.say("the system did not get ready")
            return NOT_RUN
        cold = place.id
        until = time.monotonic() + BEFORE_SECONDS + AFTER_SECONDS
        sending = asyncio.gather(*(clients.send(zone, until) for zone in ZONES))
        await asyncio.sleep(BEFORE_SECONDS)
        await (_kill_control_nodes if CORE_KILLED else _take_back_and_configure)(site, place)
        await sending
        lines = site.server_records()
    finally:
        site.end()
    verdict = _judge(lines, cold, clients, record)
    for line in lines:
        record.line(line.pop("at"), line.pop("what"), **line)
    return verdict


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
