"""Tests of the gateway role: what it logs for its operator."""

from __future__ import annotations

import asyncio
from unittest import TestCase

import logbook

from brackenladder.delivery.messages import CatalogUpdate
from brackenladder.simulation.exchange.world import World
from brackenladder.simulation.stream_loop import StreamEventLoop


class UnreadableConfigurationTest(TestCase):
    def test_it_is_logged_once_and_the_older_one_stays(self) -> None:
        loop = StreamEventLoop()
        with logbook.TestHandler() as handler:
            loop.run_until_complete(self.play(loop))
        messages = [record.message for record in handler.records if "can't be read" in record.message]
        self.assertEqual(len(messages), 1)
        self.assertIn("revision 99", messages[0])
        loop.close()

    async def play(self, loop: StreamEventLoop) -> None:
        world = World(loop, 1)
        await world.boot()
        await asyncio.sleep(2)
        role = world.gateways[0]._role
        assert role is not None
        subscriber = role._subscriber
        before = subscriber.view.configuration
        assert before is not None
        subscriber.receive(loop.microseconds, "10.0.0.9:7660", CatalogUpdate(99, 99, b'{"Version": "later"}'))
        await asyncio.sleep(2)
        self.assertIs(subscriber.view.configuration, before)
