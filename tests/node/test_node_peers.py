"""Tests of datagrams between nodes, and of the clock."""

import socket
import time

from loopback import MOMENT, Bench, Server, call, play, until


def test_datagrams_are_accepted_from_peers_only():
    """Stray or oversized datagrams must not reach the balancer or end the process."""

    async def scene():
        mine, peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3))
        for s in (mine, peer, stranger):
            s.bind(("127.0.0.1", 0))
        names = [f"127.0.0.1:{s.getsockname()[1]}" for s in (mine, peer)]
        config = {"peer_listen": "127.0.0.1:0", "peers": names, "peers_all": names[1]}
        bench = await Bench(Server(), config=config).start()
        received = []
        bench.pool.host.balancer.peer_message = lambda now, number, data: received.append((number, data))
        assert bench.node.peers.transport is not None
        address = bench.node.peers.transport.get_extra_info("sockname")
        stranger.sendto(b"stray", address)
        peer.sendto(b"x" * 300, address)
        peer.sendto(b"hello", address)
        await until(lambda: bool(received))
        assert received == [(1, b"hello")]
        peer.settimeout(20)
        bench.pool.host.tell(1, b"x" * 257)
        bench.pool.host.tell(-1, b"all")
        assert peer.recv(300) == b"all"
        mine.close(), peer.close(), stranger.close()

    play(scene)


def test_a_flood_of_stray_datagrams_does_not_hide_faults_in_the_log(capsys):
    """Stray datagrams must not use up the log's lines per second, or faults would not be logged."""

    async def scene():
        config = {"peer_listen": "127.0.0.1:0", "peers": []}
        bench = await Bench(Server(), config=config).start()
        peers = bench.node.peers
        assert peers.transport is not None
        seen = []
        received = peers.datagram_received
        peers.datagram_received = lambda data, address: (seen.append(data), received(data, address))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for i in range(100):
                stranger.sendto(b"stray", peers.transport.get_extra_info("sockname"))
                await until(lambda i=i: len(seen) > i)
        bench.node.front.paths = None
        assert (await bench.once(call()))[0] == 500

    play(scene)
    lines = capsys.readouterr().err.splitlines()
    assert any(line.startswith("n0: request: ") for line in lines)
    assert 0 < sum("stray" in line for line in lines) < 100


def test_the_clock_is_monotonic_and_shows_unix_time():
    async def scene():
        bench = await Bench().start()
        times = [bench.pool.host.now() for _ in range(1000)]
        assert times == sorted(times)
        assert abs(times[0] - time.time_ns() // 1000) < 60 * MOMENT

    play(scene)
