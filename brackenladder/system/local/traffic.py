"""Clients that send requests to a local system all the time, and counts of their outcomes."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any

from attrs import Factory, define

from brackenladder.local_site.first_configuration import card_request, chat_request
from brackenladder.local_site.layout import ZONES, Layout
from brackenladder.rehearsal.standins.model_clients import ModelClient, Outcome, OutcomeKind

CHATS_PER_SECOND, CARDS_PER_SECOND = 2.0, 4.0  # request rates of the client of each zone
MILLISECONDS = 1000
MAX_DETAILS = 5


@define
class Tally:
    """The outcomes of the requests of one kind."""

    counts: Counter[OutcomeKind] = Factory(Counter)
    seconds: list[float] = Factory(list)  # response times of served requests
    details: Counter[str] = Factory(Counter)  # how often each reason for not serving a request occurred

    def add(self, outcome: Outcome) -> None:
        """Adds one request to the counts, by its outcome."""
        self.counts[outcome.kind] += 1
        if outcome.kind in (OutcomeKind.SERVED, OutcomeKind.RETRIED):
            self.seconds.append(outcome.seconds)
        else:
            self.details[outcome.detail] += 1

    @property
    def unserved(self) -> int:
        """Number of requests that were not served."""
        return self.counts[OutcomeKind.REFUSED] + self.counts[OutcomeKind.FAILED]

    def document(self) -> dict[str, Any]:
        """Returns the counts for the summary, with times in milliseconds."""
        ordered = sorted(self.seconds)
        return {
            **{kind.name.lower(): self.counts[kind] for kind in OutcomeKind},
            "p50_ms": _quantile_ms(ordered, 0.5),
            "p99_ms": _quantile_ms(ordered, 0.99),
            "details": dict(self.details.most_common(MAX_DETAILS)),
        }


def _quantile_ms(ordered: list[float], share: float) -> int | None:
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * MILLISECONDS)


class Traffic:
    """One client for each zone, which sends chat and card requests at random times."""

    def __init__(self, layout: Layout, seed: int) -> None:
        self.tallies = {"chat": Tally(), "cards": Tally()}
        self._random = Random(seed)
        self._clients = [
            ModelClient(layout.directories, region, zone, Random(f"{seed} {zone}"))
            for zone, region in ZONES.items()
        ]
        self._senders: list[asyncio.Task[None]] = []
        self._in_flight: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts the clients."""
        for client in self._clients:
            await client.start()
            self._senders += [
                asyncio.create_task(self._send(client, "chat", CHATS_PER_SECOND)),
                asyncio.create_task(self._send(client, "cards", CARDS_PER_SECOND)),
            ]

    async def stop(self) -> None:
        """Stops sending, waits for open requests, then closes the clients."""
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        await asyncio.gather(*self._in_flight)
        for client in self._clients:
            await client.close()

    async def _send(self, client: ModelClient, kind: str, rate: float) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._request(client, kind))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def _request(self, client: ModelClient, kind: str) -> None:
        spec = chat_request(self._random) if kind == "chat" else card_request()
        self.tallies[kind].add(await client.ask(spec))
