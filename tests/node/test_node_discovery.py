"""The server list: the watch, its outages, and what a change of the list ends."""

import json

import pytest
from loopback import MOMENT, Bench, Discovery, Server, call, cut_off, free_port, play, settings, until

from brackenladder.core.roster import number_of
from brackenladder.interface import ListKind


def test_a_watch_is_renewed_at_once_with_the_version_in_hand():
    async def scene():
        bench = await Bench(server := Server()).start()
        bench.discovery.say(43, False, server.entry("s0"))
        await until(lambda: len(bench.discovery.requests) == 2)
        first, second = (r.target for r in bench.discovery.requests)
        assert "since=41&" in first and "since=43&" in second
        assert bench.discovery.connections == 1

    play(scene)


@pytest.mark.parametrize("full", [False, True])
def test_nothing_new_goes_to_a_server_that_drains_or_left(full):
    """Failure prevented: an open connection, or a pooled one, carries requests to a server after its end."""

    async def scene():
        bench = await Bench(going := Server(), staying := Server()).start()
        while not going.requests:
            assert (await bench.once(call()))[0] == 200
        if full:
            bench.discovery.say(43, True, staying.entry("s1"))
        else:
            bench.discovery.say(43, False, going.entry("s0", "draining"))
        await until(lambda: going.closed == going.connections)
        sent = len(going.requests)
        for _ in range(10):
            assert (await bench.once(call()))[0] == 200
        assert len(going.requests) == sent

    play(scene)


def test_a_server_that_drains_while_its_connection_comes_up_gets_no_byte():
    """Failure prevented: the server was ready at the send, and the request is written after its drain."""

    async def scene():
        bench = await Bench(going := Server(), staying := Server(), config={"known": None}).start()
        bench.discovery.say(42, True, going.entry("s0"))
        await until(lambda: bench.pool.has_listing)
        start = bench.pool.host.balancer.request

        def request(*args):
            start(*args)  # a connection is being opened; then the news comes
            body = {"version": 43, "full": True, "servers": [staying.entry("s1")]}
            bench.pool.source.on_watch_answer(bench.pool.source.watch_call, json.dumps(body).encode())

        bench.pool.host.balancer.request = request
        assert (await bench.once(call("invite")))[0] == 200
        assert not going.requests and len(staying.requests) == 1

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
def test_garbage_from_discovery_leaves_the_list_alone(body):
    """Failure prevented: an answer that cannot be read empties the list, or ends the process."""

    async def scene():
        bench = await Bench(server := Server()).start()
        bench.discovery.raw(body)
        await until(lambda: len(bench.discovery.requests) == 2)
        assert (await bench.once(call()))[0] == 200 and server.requests

    play(scene)


def test_a_failed_watch_is_asked_for_again():
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
    """Failure prevented: a call that is never answered is waited for, and the list stays as it was."""

    async def scene():
        monkeypatch.setattr("brackenladder.discovery.watch.CONNECT_TIMEOUT", 0.2)
        monkeypatch.setattr("brackenladder.membership.current_list.MIN_WAIT_MS", 200)
        monkeypatch.setattr("brackenladder.membership.current_list.WAIT_MS_PER_NODE", 0)
        monkeypatch.setattr("brackenladder.discovery.watch.ANSWER_TIMEOUT", 0.2)
        rules = settings()["rules"] | {"ask_within": MOMENT}  # asks again soon
        bench = await Bench(old := Server(), rules=rules).start()
        await Server.start(new := Server())
        node = bench.node
        failed = []
        told = node.http.host.balancer.server_list

        def server_list(now, kind, entries):
            failed.append(kind == ListKind.FAILED)
            told(now, kind, entries)

        node.http.host.balancer.server_list = server_list
        with cut_off() as nowhere:
            if how != "silent":  # which the test's discovery is until it is told what to say
                node.http.source.address = ("127.0.0.1", free_port() if how == "down" else nowhere)
            await until(lambda: sum(failed) >= 3)
            assert (await bench.once(call()))[0] == 200 and old.requests  # the last list holds
        await Server.start(back := Discovery())
        node.http.source.address = ("127.0.0.1", back.port)
        back.say(50, True, new.entry("s1"))
        await until(lambda: not failed[-1])
        seen = len(old.requests)
        assert (await bench.once(call()))[0] == 200 and len(old.requests) == seen
        assert len(new.requests) == 1

    play(scene)


@pytest.mark.parametrize(("nodes", "wait"), [(1, 3000), (13, 6500), (300, 20000)])
def test_a_watch_waits_as_long_as_the_fleet_is_large(nodes, wait):
    """Failure prevented: a small fleet notices after 22 s that discovery is cut off; a large one spends
    all that discovery can do on empty answers."""

    async def scene():
        bench = await Bench(Server(), group_size=nodes).start()
        await until(lambda: len(bench.discovery.requests) == 1)
        asked = int(bench.discovery.requests[0].target.rpartition("=")[2])
        assert 0.9 * wait <= asked <= wait

    play(scene)


def test_a_pushed_list_is_watched_by_the_node_itself():
    async def scene():
        bench = await Bench(server := Server(), discovery="push", config={"known": None}).start()
        bench.discovery.raw(b"", b"503 Busy")
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: bench.pool.has_listing)
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_an_old_whole_list_does_not_bring_a_drained_server_back():
    """Failure prevented: a replica of discovery that lags behind names as ready who drains."""

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
