"""A node's memory must not grow with the servers, tenants, objects and clients that it has seen."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc

from loopback import PATIENCE, Bench, Client, Server, call, play, until

CYCLES, WARM = 48, 24
SERVERS, CLIENTS, CALLS = 100, 20, 2  # per cycle: new servers, new clients, and requests of each client
MARGIN = 128 << 10  # bytes; a table with an entry for each server, client or kind would exceed it


def allocated() -> tuple[int, tracemalloc.Snapshot]:
    """Returns the bytes allocated by this project's code, and the snapshot."""
    gc.collect()
    own_code = tracemalloc.Filter(True, "*/brackenladder/*")
    snapshot = tracemalloc.take_snapshot().filter_traces([own_code])
    return sum(s.size for s in snapshot.statistics("filename")), snapshot


def test_memory_does_not_grow_with_servers_tenants_objects_and_clients():
    async def scene():
        server = Server()
        bench = await Bench(server, max_open=1000).start()
        served = 0
        measurements = []
        for cycle in range(CYCLES):
            async with asyncio.timeout(PATIENCE):
                lines = [server.entry(f"s{cycle}-{i}", kind=f"k{cycle}-{i}") for i in range(SERVERS)]
                bench.discovery.say(100 + cycle, True, *lines)
                upstream = bench.pool.upstream
                await until(lambda upstream=upstream: len(upstream.pool.endpoints) == SERVERS)
                for i in range(CLIENTS):
                    client = await Client(bench.port).open()
                    for j in range(CALLS):
                        name = b"%d-%d-%d" % (cycle, i, j)
                        request = call("view", 2000).replace(b"acme", name).replace(b"obj=7f", b"obj=" + name)
                        status, _, _ = await client.ask(request)
                        served += status == 200
                    client.writer.close()
                server.requests.clear()
                bench.discovery.requests.clear()
                if cycle in (WARM, CYCLES - 1):
                    await until(lambda: not bench.pool.host.expiring)  # these last as long as the budgets
                    measurements.append(allocated())
        (before, first), (after, last) = measurements
        growth = last.compare_to(first, "lineno")[:9]
        assert after - before < MARGIN, "\n".join(map(str, growth))
        assert served > CYCLES * CLIENTS * CALLS / 2

    tracemalloc.start()
    try:
        play(scene, CYCLES * PATIENCE)  # each cycle has its own limit
    finally:
        tracemalloc.stop()
