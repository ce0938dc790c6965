"""A response that was cut short within its head, followed by another one."""

from __future__ import annotations

from loopback import Bench, Server, call, play

CUT_REJECTION = b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nX-Load-Report: 0."


def test_joined_heads_are_no_rejection():
    """Incident REFUSED: a cut rejection and the next answer were read as a rejection of a call that ran."""

    async def scene():
        runs = []

        async def handle(request, writer):
            runs.append(request)
            return CUT_REJECTION + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        bench = await Bench(Server(handle)).start()
        assert (await bench.once(call("invite")))[0] not in (429, 503)
        assert len(runs) == 1

    play(scene)
