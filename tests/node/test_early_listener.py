"""Tests of the gateway's client socket that is opened before the gateway is imported."""

from __future__ import annotations

import asyncio
import socket
import unittest
from random import Random

from attrs import evolve
from gateway.gateway_loopback import PATIENCE, GatewayTest, RawClient, microseconds, post

from brackenladder.gateway.server import Gateway
from brackenladder.node.early_listener import open_early


class OpenEarlyTest(unittest.TestCase):
    def test_clients_can_connect_before_anything_accepts(self) -> None:
        listener = open_early("127.0.0.1:0")
        assert listener is not None
        self.addCleanup(listener.close)
        client = socket.create_connection(listener.getsockname(), timeout=PATIENCE)
        self.addCleanup(client.close)
        client.sendall(b"GET / HTTP/1.1\r\n")

    def test_an_address_that_is_in_use_or_empty_gives_no_socket(self) -> None:
        listener = open_early("127.0.0.1:0")
        assert listener is not None
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.assertIsNone(open_early(f"{host}:{port}"))
        self.assertIsNone(open_early(""))


class GivenSocketTest(GatewayTest):
    async def test_a_request_sent_before_the_gateway_runs_is_served(self) -> None:
        listener = open_early("127.0.0.1:0")
        assert listener is not None
        client = await RawClient.connect(listener.getsockname(), self.script)
        self.clients.append(client)
        client.send(post("/plain/x"))
        platform = evolve(self.platform, node_name="gateway-2")
        gateway = Gateway(platform, self.view, microseconds, Random(7), front=listener)
        await gateway.start()
        self.addAsyncCleanup(gateway.close)
        self.assertEqual(gateway.addresses[0], listener.getsockname())
        response = await asyncio.wait_for(client.read(), PATIENCE)
        self.assertEqual(response.status, 200)
