"""Tests of the server list: the watch, outages of discovery, and the effect of changes of the list."""

import json

import pytest
from loopback import MOMENT, Bench, Discovery, Server, call, cut_off, free_port, play, settings, until

from brackenladder.core.roster import number_of
from brackenladder.interface import ListKind


def test_a_watch_is_renewed_at_once_with_the_current_version():
    async def scene():
        bench = await Bench(server := Server()).start()
        bench.discovery.say(43, False, server.entry("s0"))
        await until(lambda: len(bench.discovery.requests) == 2)
        first, second = (r.target for r in bench.discovery.requests)
        assert "since=41&" in first and "since=43&" in second
        assert bench.discovery.connections == 1

    play(scene)


@pytest.mark.parametrize("full", [False, True])
def test_no_new_request_goes_to_a_draining_or_removed_server(full):
    """Requests must not be sent over connections that are still open to such a server."""

    async def scene():
        bench = await Bench(leaving := Server(), staying := Server()).start()
        while not leaving.requests:
            assert (await bench.once(call()))[0] == 200
        if full:
            bench.discovery.say(43, True, staying.entry("s1"))
        else:
            bench.discovery.say(43, False, leaving.entry("s0", "draining"))
        await until(lambda: leaving.closed == leaving.connections)
        sent = len(leaving.requests)
        for _ in range(10):
            assert (await bench.once(call()))[0] == 200
        assert len(leaving.requests) == sent

    play(scene)


def test_a_server_that_drains_while_connecting_gets_no_request():
    """The server is ready when it is chosen, but draining when the connection is established."""

    async def scene():
        bench = await Bench(leaving := Server(), staying := Server(), config={"known": None}).start()
        bench.discovery.say(42, True, leaving.entry("s0"))
        await until(lambda: bench.pool.has_listing)
        start = bench.pool.host.balancer.request

        def request(*args):
            start(*args)  # a connection is being opened when the new list arrives
            body = {"version": 43, "full": True, "servers": [staying.entry("s1")]}
            bench.pool.source.on_watch_answer(bench.pool.source.watch_call, json.dumps(body).encode())

        bench.pool.host.balancer.request = request
        assert (await bench.once(call("invite")))[0] == 200
        assert not leaving.requests and len(staying.requests) == 1

    play(scene)


def test_a_changed_address_makes_old_connections_unusable():
    async def scene():
        bench = await Bench(old := Server()).start()
        await Server.start(new := Server())
        assert (await bench.once(call()))[0] == 200
        bench.discovery.say(43, False, new.entry("s0"))
        await until(lambda: old.closed == 1)
        assert (await bench.once(call()))[0] == 200
        assert len(new.requests) == 1

    play(scene)


@pytest.mark.parametrize(
    "body",
    [b"{", b"[]", b'{"version":43,"full":true,"servers":[{"id":7}]}', b'{"full":true,"servers":[]}'],
)
def test_an_invalid_response_of_discovery_leaves_the_list_unchanged(body):
    """It must not empty the list or end the process."""

    async def scene():
        bench = await Bench(server := Server()).start()
        bench.discovery.raw(body)
        await until(lambda: len(bench.discovery.requests) == 2)
        assert (await bench.once(call()))[0] == 200 and server.requests

    play(scene)


def test_a_failed_watch_is_retried():
    async def scene():
        bench = await Bench(Server()).start()
        bench.discovery.raw(b"", b"503 Busy")
        await until(lambda: len(bench.discovery.requests) == 2)
        bench.discovery.answers.put_nowait(None)  # the connection breaks
        await until(lambda: len(bench.discovery.requests) == 3)
        assert (await bench.once(call()))[0] == 200

    play(scene)


@pytest.mark.parametrize("how", ["down", "cut off", "silent"])
def test_the_watch_outlives_an_outage_of_discovery(how, monkeypatch):
    """A request that is never answered must time out, or the list would never be updated again."""

    async def scene():
        monkeypatch.setattr("brackenladder.discovery.watch.CONNECT_TIMEOUT", 0.2)
        monkeypatch.setattr("brackenladder.membership.current_list.MIN_WAIT_MS", 200)
        monkeypatch.setattr("brackenladder.membership.current_list.WAIT_MS_PER_NODE", 0)
        monkeypatch.setattr("brackenladder.discovery.watch.ANSWER_TIMEOUT", 0.2)
        rules = settings()["rules"] | {"ask_within": MOMENT}  # retries soon
        bench = await Bench(old := Server(), rules=rules).start()
        await Server.start(new := Server())
        node = bench.node
        failed = []
        original = node.http.host.balancer.server_list

        def server_list(now, kind, entries):
            failed.append(kind == ListKind.FAILED)
            original(now, kind, entries)

        node.http.host.balancer.server_list = server_list
        with cut_off() as nowhere:
            if how != "silent":  # the test's discovery sends nothing until `say` is called
                node.http.source.address = ("127.0.0.1", free_port() if how == "down" else nowhere)
            await until(lambda: sum(failed) >= 3)
            assert (await bench.once(call()))[0] == 200 and old.requests  # the last list stays in force
        await Server.start(back := Discovery())
        node.http.source.address = ("127.0.0.1", back.port)
        back.say(50, True, new.entry("s1"))
        await until(lambda: not failed[-1])
        seen = len(old.requests)
        assert (await bench.once(call()))[0] == 200 and len(old.requests) == seen
        assert len(new.requests) == 1

    play(scene)


@pytest.mark.parametrize(("nodes", "wait"), [(1, 3000), (13, 6500), (300, 20000)])
def test_the_wait_of_a_watch_grows_with_the_number_of_nodes(nodes, wait):
    """With a fixed wait, few nodes would notice only after 22 s that discovery is unreachable, or many nodes
    would overload discovery with empty responses."""

    async def scene():
        bench = await Bench(Server(), group_size=nodes).start()
        await until(lambda: len(bench.discovery.requests) == 1)
        requested = int(bench.discovery.requests[0].target.rpartition("=")[2])
        assert 0.9 * wait <= requested <= wait

    play(scene)


def test_a_pushed_list_is_watched_by_the_node_itself():
    async def scene():
        bench = await Bench(server := Server(), discovery="push", config={"known": None}).start()
        bench.discovery.raw(b"", b"503 Busy")
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: bench.pool.has_listing)
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_an_older_full_list_does_not_bring_a_drained_server_back():
    """A lagging replica of discovery may still list a draining server as ready."""

    async def scene():
        bench = await Bench(drained := Server(), other := Server()).start()
        bench.discovery.say(43, False, drained.entry("s0", "draining"))
        bench.discovery.say(40, True, drained.entry("s0"), other.entry("s1"))
        bench.discovery.say(40, False)
        await until(lambda: len(bench.discovery.requests) == 4)
        seen = len(drained.requests)
        for _ in range(8):
            assert (await bench.once(call()))[0] == 200
        assert len(drained.requests) == seen and len(other.requests) >= 8
        bench.discovery.say(44, False, drained.entry("s0", started_ms=1))
        await until(lambda: len(bench.discovery.requests) == 5)
        await until(lambda: bench.pool.upstream.pool.endpoints[number_of("s0")].ready)

    play(scene)
