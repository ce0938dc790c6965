"""Evacuation orders that arrive after later ones were acknowledged, on connections of every age."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from control_cluster import PATIENCE, ControlCluster

from brackenladder.control_plane import control_node

ZONE = "hall-1"
BEGIN, FINISH = f"/-/Evacuations.Begin/{ZONE}", f"/-/Evacuations.Finish/{ZONE}"


class Caller:
    """An operator's connection to one node."""

    def __init__(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.address = address
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> Caller:
        host, _, port = address.rpartition(":")
        return cls(address, *await asyncio.open_connection(host, int(port)))

    async def order(self, path: str, names_host: bool = True) -> tuple[int, str]:
        """Gives an order; returns the status and location of the response, 0 if there is none."""
        version, host = ("1.1", f"Host: {self.address}\r\n") if names_host else ("1.0", "")
        async with asyncio.timeout(PATIENCE):
            try:
                request = f"POST {path} HTTP/{version}\r\n{host}Content-Length: 0\r\n\r\n"
                self._writer.write(request.encode())
                head = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                await self._reader.readexactly(int(headers.get("content-length", "0")))
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0, ""
        return int(head[0].split(" ")[1]), headers.get("location", "")

    async def closed(self) -> None:
        """Waits until the node has closed the connection."""
        async with asyncio.timeout(PATIENCE):
            await self._reader.read()

    def close(self) -> None:
        self._writer.close()


class LateOrderTest(IsolatedAsyncioTestCase):
    idle_seconds = PATIENCE  # time after which idle connections are closed; here the orders arrive on them

    async def asyncSetUp(self) -> None:
        kept_open = patch.object(control_node, "IN_FLIGHT_SECONDS", self.idle_seconds)
        kept_open.start()
        self.addCleanup(kept_open.stop)
        self.cluster = await self.enterAsyncContext(ControlCluster())
        leader = await self.cluster.leader()
        self.nodes = [leader, *(number for number in range(3) if number != leader)]

    async def connect(self, number: int) -> Caller:
        """A connection that the node has accepted before this returns."""
        caller = await Caller.connect(self.cluster.platforms[number].listen.control)
        self.addCleanup(caller.close)
        await self.cluster.get(caller.address, "/-/Status")  # is accepted after it
        return caller

    async def acknowledge(self, number: int, path: str) -> None:
        """Gives an order until it is acknowledged; all nodes apply it."""
        answer = await self.cluster.post_until_answered(number, path)
        self.assertEqual(answer.status, HTTPStatus.OK)
        await self.cluster.until(
            lambda: len({self.cluster.node(each).host.applied_index for each in self.nodes}) == 1
        )

    async def connect_before_other_order(self, number: int) -> Caller:
        """A connection that was opened before another caller's order, and has carried one since.

        The node may close the connection between the two orders, as it was idle. Then another one is opened.
        """
        async with asyncio.timeout(PATIENCE):
            while True:
                kept = await self.connect(number)
                await self.acknowledge(number, FINISH)
                status, _ = await kept.order(FINISH)
                if status:
                    return kept

    def assert_evacuated(self, zones: set[str]) -> None:
        for number in self.nodes:
            self.assertEqual(self.cluster.node(number).catalog.evacuated, zones)

    async def test_overtaken_order_on_a_new_connection(self) -> None:
        """Guards against an order that lay on its way and undid one acknowledged after it (EVAC)."""
        for number in self.nodes:
            with self.subTest(number):
                await self.acknowledge(self.nodes[0], BEGIN)
                held = await self.connect(number)
                await self.acknowledge(self.nodes[1], FINISH)
                await self.acknowledge(self.nodes[2], BEGIN)
                status, _ = await held.order(FINISH)
                self.assertEqual(status, HTTPStatus.TEMPORARY_REDIRECT)
                self.assert_evacuated({ZONE})

    async def test_overtaken_order_on_a_kept_connection(self) -> None:
        for number in self.nodes:
            with self.subTest(number):
                await self.acknowledge(self.nodes[0], FINISH)
                held = await self.connect(number)
                self.assertEqual((await held.order(BEGIN))[0], HTTPStatus.OK)
                await self.acknowledge(self.nodes[1], FINISH)
                await self.acknowledge(self.nodes[2], BEGIN)
                status, _ = await held.order(FINISH)
                self.assertEqual(status, HTTPStatus.TEMPORARY_REDIRECT)
                self.assert_evacuated({ZONE})

    async def test_given_up_order_arrives_after_one_that_changed_nothing(self) -> None:
        """Guards against an order that was given up and undid a later one of no effect (EVAC)."""
        await self.acknowledge(self.nodes[0], BEGIN)
        held = await self.connect(self.nodes[1])
        await self.acknowledge(self.nodes[2], BEGIN)
        status, _ = await held.order(FINISH)
        self.assertEqual(status, HTTPStatus.TEMPORARY_REDIRECT)
        self.assert_evacuated({ZONE})

    async def test_current_order_is_acknowledged_when_it_is_sent_again(self) -> None:
        for number in self.nodes:
            with self.subTest(number):
                kept = await self.connect(number)
                await self.acknowledge(self.nodes[0], BEGIN)
                status, location = await kept.order(FINISH)
                self.assertEqual(status, HTTPStatus.TEMPORARY_REDIRECT)
                self.assertEqual(location, f"http://{kept.address}{FINISH}".lower())
                self.assertEqual((await kept.order(FINISH))[0], HTTPStatus.OK)

    async def test_outdated_order_that_names_no_host(self) -> None:
        held = await self.connect(self.nodes[1])
        await self.acknowledge(self.nodes[0], BEGIN)
        status, location = await held.order(FINISH, names_host=False)
        self.assertEqual((status, location), (HTTPStatus.SERVICE_UNAVAILABLE, ""))
        self.assert_evacuated({ZONE})

    async def test_orders_on_one_kept_connection_are_acknowledged_at_once(self) -> None:
        for number in self.nodes:
            kept = await self.connect_before_other_order(number)
            for path in (BEGIN, FINISH) * 5:
                self.assertEqual((await kept.order(path))[0], HTTPStatus.OK)


class IdleConnectionTest(LateOrderTest):
    """The same where idle connections are closed soon after an order."""

    idle_seconds = 0.01

    async def test_overtaken_order_on_a_new_connection(self) -> None:
        held = await self.connect(self.nodes[1])
        await self.acknowledge(self.nodes[0], BEGIN)
        await held.closed()
        self.assertEqual((await held.order(FINISH))[0], 0)
        self.assert_evacuated({ZONE})

    async def test_overtaken_order_on_a_kept_connection(self) -> None:
        held = await self.connect(self.nodes[1])
        self.assertEqual((await held.order(BEGIN))[0], HTTPStatus.OK)
        await self.acknowledge(self.nodes[2], FINISH)
        await self.acknowledge(self.nodes[0], BEGIN)
        await held.closed()
        self.assertEqual((await held.order(FINISH))[0], 0)
        self.assert_evacuated({ZONE})

    async def test_given_up_order_arrives_after_one_that_changed_nothing(self) -> None:
        held = await self.connect(self.nodes[1])
        await self.acknowledge(self.nodes[2], BEGIN)
        await self.acknowledge(self.nodes[2], BEGIN)
        await held.closed()
        self.assert_evacuated({ZONE})

    async def test_outdated_order_that_names_no_host(self) -> None:
        held = await self.connect(self.nodes[1])
        await self.acknowledge(self.nodes[0], BEGIN)
        await held.closed()
        self.assert_evacuated({ZONE})

    async def test_current_order_is_acknowledged_when_it_is_sent_again(self) -> None:
        await self.acknowledge(self.nodes[0], BEGIN)
        again = await self.connect(self.nodes[1])
        self.assertEqual((await again.order(FINISH))[0], HTTPStatus.OK)
