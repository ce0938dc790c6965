"""Tests of RPC client connections: malformed streams, early ends, stalls and limits."""

from __future__ import annotations

import asyncio

from loopback import play, until
from rpc.standins import Bench, Server


def test_reusing_an_open_msgid_is_an_error_and_the_first_call_stays_open():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1, msgid=5)
        client.call("view", 2, msgid=5)
        assert await client.receive() == [1, 5, ["failed", "this msgid has a call open"], None]
        await until(lambda: len(server.calls) == 1)
        server.answer_first("first")
        assert await client.receive() == [1, 5, None, "first"]
        client.call("view", 3, msgid=5)  # no longer in use
        await until(lambda: len(server.calls) == 2)

    play(scene)


def test_a_malformed_stream_is_closed_after_its_earlier_calls_are_answered():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        client.writer.write(b"\xc1\xc1")
        await until(lambda: len(server.calls) == 1)
        server.answer_first("yes")
        assert await client.receive() == [1, 1, None, "yes"]
        assert await client.ended()

    play(scene)


def test_a_half_closed_client_gets_its_responses():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        client.writer.write_eof()
        await until(lambda: len(server.calls) == 1)
        server.answer_first("yes")
        assert await client.receive() == [1, 1, None, "yes"]
        assert await client.ended()

    play(scene)


def test_a_client_that_reads_no_responses_is_closed(monkeypatch):
    """Its responses would fill the memory."""
    monkeypatch.setattr("brackenladder.rpc.front.STALL_TIMEOUT", 0.3)

    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        await until(lambda: len(server.calls) == 1)
        client.writer.transport.pause_reading()
        (connection,) = bench.front.clients
        for _ in range(300):  # more than the kernel buffers
            connection.send(b"x" * 100_000)
        await until(lambda: connection.write_full)
        assert not connection.transport.is_reading()
        await until(lambda: not bench.front.clients)
        server.answer_first("late")
        await until(lambda: not bench.pool.host.calls)

    play(scene)


def test_open_calls_of_one_client_are_limited():
    async def scene():
        bench = (await Bench(server := Server(None), table={"client_calls": 3, "pipeline": 8}).start()).wide()
        client = await bench.client()
        for i in range(8):
            client.call("view", i)
        await until(lambda: len(server.calls) == 3)
        await asyncio.sleep(0.05)  # time in which a fourth would arrive
        assert len(server.calls) == 3
        for n in range(8):
            await until(lambda n=n: len(server.calls) > n)
            connection, message = server.messages[n]
            connection.reply(message[1], None, n)
        assert [(await client.receive())[1] for _ in range(8)] == list(range(1, 9))

    play(scene)


def test_calls_of_a_disconnected_client_end():
    async def scene():
        bench = await Bench(server := Server(None)).start()
        client = await bench.client()
        client.call("view", 1)
        await until(lambda: len(server.calls) == 1)
        client.writer.transport.abort()
        await until(lambda: not bench.front.clients)
        server.answer_first("late")
        await until(lambda: not bench.pool.host.calls)

    play(scene)
