"""Tests of server errors: a response, a failure that may have run, or or a call that was rejected unrun."""

from __future__ import annotations

from typing import Any

import pytest
from loopback import ERROR_500, call, play, settings
from loopback import Bench as HttpBench
from loopback import Server as HttpServer
from rpc.standins import Bench, Connection, Server

from brackenladder.interface import Outcome
from brackenladder.node.config import ConfigError, parse_table
from brackenladder.node.operator import MethodTable, OperatorError, parse
from brackenladder.node.rpc import check
from brackenladder.rpc.call import outcome_of
from brackenladder.rpc.methods import Method, parse_failure

FAILURES = ("timeout", 503, ["busy", 1], {"at": "code", "is": 7}, {"at": "0", "is": "temporary"})
METHOD = Method(0, (), (), (), False, tuple(parse_failure(f, "failures") for f in FAILURES))


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (None, Outcome.OK),
        ("no such candidate", Outcome.OK),
        (["nested", {"code": 7}], Outcome.OK),
        ({"code": 8}, Outcome.OK),
        ({"code": True}, Outcome.OK),
        ([], Outcome.OK),
        (False, Outcome.OK),
        ("rejected", Outcome.OK),  # only the first item of an array counts
        (["rejected"], Outcome.REJECTED),
        ([b"rejected", "full"], Outcome.REJECTED),
        (["refused", 1.0, "not served"], Outcome.ERROR),
        (["failed", "not served"], Outcome.ERROR),
        ("timeout", Outcome.ERROR),
        (b"timeout", Outcome.ERROR),
        (503, Outcome.ERROR),
        (503.0, Outcome.ERROR),
        (["busy", 1], Outcome.ERROR),
        (["busy", True], Outcome.OK),
        ({"code": 7}, Outcome.ERROR),
        (["temporary", "of the line"], Outcome.ERROR),
    ],
)
def test_the_outcome_of_an_error(error: Any, outcome: Outcome) -> None:
    assert outcome_of(error, METHOD) == outcome


@pytest.mark.parametrize("method", ["view", "invite", "offer"])
@pytest.mark.parametrize("error", ["no such candidate", {"code": 404}, ["nested", 3.5]])
def test_an_applications_error_is_forwarded_after_one_attempt_and_is_no_server_failure(method, error):
    """A call that was answered must not run three times and then be reported as not run."""

    async def scene():
        servers = [Server(lambda c, m: c.reply(m[1], error)) for _ in range(3)]
        bench = (await Bench(*servers).start()).wide()
        client = await bench.client()
        for _ in range(20):
            assert await client.ask(method, {"key": "k"}) == [error, None]
        assert sum(len(s.calls) for s in servers) == 20
        assert not bench.pool.host.balancer.ejected

    play(scene)


def method_tables(**table: Any) -> dict[str, Any]:
    methods = {
        k: MethodTable(klass=k, key="0.key" * (k == "offer"), **table) for k in ("view", "invite", "offer")
    }
    return {"methods": methods}


@pytest.mark.parametrize("error", ["lost", ["refused", 1, "x"], ["failed", "x"]])
def test_a_failed_call_is_never_reported_as_not_run(error):
    async def scene():
        servers = [Server(lambda c, m: c.reply(m[1], error)) for _ in range(3)]
        bench = (await Bench(*servers, table=method_tables(failures=("lost",))).start()).wide()
        client = await bench.client()
        assert await client.ask("invite", {"key": "k"}) == [error, None]  # one attempt, its error unchanged
        assert sum(len(s.calls) for s in servers) == 1
        (word, _, text), result = await client.ask("view", {"key": "k"})
        assert sum(len(s.calls) for s in servers) > 2  # safe, so it was retried
        assert word == "refused" and result is None
        assert "may have run" in text and "not run" not in text

    play(scene)


def test_a_refusal_says_if_the_call_has_not_run():
    async def scene():
        def rejects(connection: Connection, message: Any) -> None:
            connection.reply(message[1], ["rejected", "full"])

        client = await (await Bench(Server(rejects)).start()).client()
        error, _ = await client.ask("invite", {"key": "k"})
        assert error[0] == "refused" and "it has not run" in error[2]

    play(scene)


def test_the_http_refusal_of_a_request_that_may_have_run_has_no_text():
    async def scene():
        async def fails(request, writer):
            return ERROR_500

        bench = await HttpBench(servers := HttpServer(fails), HttpServer(fails)).start()
        status, _, body = await bench.once(call("view"))
        assert status == 503 and body == b"" and servers.requests

    play(scene)


FILE = """
[rpc]
listen = "127.0.0.1:7000"
servers = [{{ id = "a", addr = "{addr}" }}]
[rpc.methods.view]
class = "view"
failures = [{failures}]
"""


@pytest.mark.parametrize(
    ("failures", "addr", "error_text"),
    [
        (
            '"x", { at = "code" }',
            "127.0.0.1:1",
            "rpc.methods.view.failures[1]: takes at = PATH and is = VALUE",
        ),
        ('{ at = "", is = 1 }', "127.0.0.1:1", "rpc.methods.view.failures[0]: takes at"),
        (
            '{ at = "a..b", is = 1 }',
            "127.0.0.1:1",
            "rpc.methods.view.failures[0].at: a path with an empty step",
        ),
        ('{ at = "a", is = { b = 1 } }', "127.0.0.1:1", "rpc.methods.view.failures[0].is: neither text"),
        ("1979-05-27", "127.0.0.1:1", "rpc.methods.view.failures[0]: neither a value nor"),
        ("", "127.0.0.1:99999", "rpc.servers: a: not an address"),
    ],
)
def test_errors_in_the_operator_file_are_reported_at_the_start(failures, addr, error_text):
    config = parse_table({"name": "n", "listen": "h:1", "discovery": "h:2", "settings": settings()})
    with pytest.raises((ConfigError, OperatorError)) as caught:
        check(parse(FILE.format(failures=failures, addr=addr).encode()).rpc, config)
    assert error_text in str(caught.value) and "\n" not in str(caught.value)
