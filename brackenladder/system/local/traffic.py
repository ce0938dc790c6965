"""Clients of a local system that send all the while, and the count of what they got."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any

from attrs import Factory, define

from brackenladder.local_site.first_configuration import card_request, chat_request
from brackenladder.local_site.layout import ZONES, Layout
from brackenladder.rehearsal.standins.model_clients import ModelClient, Outcome, OutcomeKind

CHATS_A_SECOND, CARDS_A_SECOND = 2.0, 4.0  # of each zone's client
MILLISECONDS = 1000
MOST_DETAILS = 5


@define
class Tally:
    """What became of the requests of one kind."""

    counts: Counter[OutcomeKind] = Factory(Counter)
    seconds: list[float] = Factory(list)  # of those that were served
    details: Counter[str] = Factory(Counter)  # of those that were not

    def add(self, outcome: Outcome) -> None:
        """Counts one request."""
        self.counts[outcome.kind] += 1
        if outcome.kind in (OutcomeKind.SERVED, OutcomeKind.RETRIED):
            self.seconds.append(outcome.seconds)
        else:
            self.details[outcome.detail] += 1

    @property
    def lost(self) -> int:
        """Requests that were not served."""
        return self.counts[OutcomeKind.REFUSED] + self.counts[OutcomeKind.FAILED]

    def document(self) -> dict[str, Any]:
        """For the summary; times in milliseconds."""
        ordered = sorted(self.seconds)
        return {
            **{kind.name.lower(): self.counts[kind] for kind in OutcomeKind},
            "p50_ms": _quantile_ms(ordered, 0.5),
            "p99_ms": _quantile_ms(ordered, 0.99),
            "details": dict(self.details.most_common(MOST_DETAILS)),
        }


def _quantile_ms(ordered: list[float], share: float) -> int | None:
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * MILLISECONDS)


class Traffic:
    """One client a zone; each sends chats and cards at random moments."""

    def __init__(self, layout: Layout, seed: int) -> None:
        self.tallies = {"chat": Tally(), "cards": Tally()}
        self._random = Random(seed)
        self._clients = [
            ModelClient(layout.directories, region, zone, Random(f"{seed} {zone}"))
            for zone, region in ZONES.items()
        ]
        self._senders: list[asyncio.Task[None]] = []
        self._open: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to send."""
        for client in self._clients:
            await client.start()
            self._senders += [
                asyncio.create_task(self._send(client, "chat", CHATS_A_SECOND)),
                asyncio.create_task(self._send(client, "cards", CARDS_A_SECOND)),
            ]

    async def stop(self) -> None:
        """Sends no more, waits for what is open, then ends."""
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        await asyncio.gather(*self._open)
        for client in self._clients:
            await client.close()

    async def _send(self, client: ModelClient, kind: str, rate: float) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._ask(client, kind))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _ask(self, client: ModelClient, kind: str) -> None:
        spec = chat_request(self._random) if kind == "chat" else card_request()
        self.tallies[kind].add(await client.ask(spec))
