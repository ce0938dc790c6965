"""Tests of a node process with an operator file for RPC."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import Any

import pytest
from loopback import PATIENCE, Discovery, free_port, play, settings, until
from rpc.standins import Client, Server


def operator_file(folder: Any, text: str) -> str:
    path = folder / "operator.toml"
    path.write_text(text)
    return str(path)


GOOD = """[rpc]
listen = "127.0.0.1:{port}"
servers = [{{ id = "a", addr = "127.0.0.1:{server}" }}]
[rpc.methods.view]
class = "view"
"""


async def node(folder: Any, text: str, discovery: int, port: int) -> asyncio.subprocess.Process:
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1f",
        "limits": {"sockets": 1024},
        "settings": settings(),
    }
    (folder / "config.json").write_text(json.dumps(config))
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "brackenladder", "run", "--operator", operator_file(folder, text)),
        env=dict(os.environ) | {"LB_CONFIG": str(folder / "config.json")},
        stderr=asyncio.subprocess.PIPE,
    )


def test_a_node_serves_rpc_and_answers_open_calls_after_sigterm(tmp_path):
    async def scene():
        await (server := Server(None)).start()
        await (discovery := Discovery()).start()
        port = free_port()
        text = GOOD.format(port=port, server=server.port)
        process = await node(tmp_path, text, discovery.port, free_port())
        async with asyncio.timeout(PATIENCE):
            while True:
                try:
                    client = await Client(port).open()
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.02)
        client.call("view", 1)
        await until(lambda: len(server.calls) == 1)
        process.send_signal(signal.SIGTERM)
        server.answer_first("yes")
        assert await client.receive() == [1, 1, None, "yes"]
        assert await asyncio.wait_for(process.wait(), PATIENCE) == 0

    play(scene)


@pytest.mark.parametrize(
    ("text", "error_text"),
    [
        ("[rcp]\n", "operator file: rcp: not a known key"),
        ("[rpc]\n", "operator file: rpc.listen: missing"),
        (GOOD + "pipelin = 3\n", "operator file: rpc.methods.view.pipelin: not a known key"),
        (GOOD.replace("[rpc]", "[rpc]\npipeline = 0"), "operator file: rpc.pipeline: Expected `int` >= 1"),
        (
            GOOD.replace('class = "view"', 'class = "vew"'),
            "operator file: rpc.methods.view.class: no class 'vew'",
        ),
        (
            GOOD.replace('class = "view"', 'class = "offer"'),
            "operator file: rpc.methods.view.key: missing; 'offer' is a keyed class",
        ),
        (
            GOOD + 'budget = "a.b"\n',
            "operator file: rpc.methods.view.budget: begins with a name; params are an array",
        ),
        (GOOD.replace("[rpc]", '[rpc]\ntenant = "nobody"'), "operator file: rpc.tenant: no tenant 'nobody'"),
        (GOOD.replace("[rpc]", "[rpc]\nsockets = 2000"), "operator file: rpc.sockets: 2000 leave too few"),
        (GOOD.replace("servers =", "#"), "operator file: rpc.servers: either this or rpc.discovery"),
        (GOOD.replace('"127.0.0.1:{port}"', '"here"'), "operator file: rpc.listen: Expected `str` matching"),
        ("[rpc", "operator file: not TOML"),
    ],
)
def test_an_invalid_operator_file_is_reported(text, error_text, tmp_path):
    async def scene():
        process = await node(tmp_path, text.format(port=1, server=2), 1, free_port())
        _, errors = await asyncio.wait_for(process.communicate(), PATIENCE)
        assert process.returncode == 2
        assert errors.decode().startswith(f"brackenladder: {error_text}") and errors.count(b"\n") == 1

    play(scene)
