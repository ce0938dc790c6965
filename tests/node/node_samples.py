"""Responses of fake servers, and functions that start a node process, for the node tests."""

import asyncio
import json
import os
import sys

FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
BROKEN = b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"


def always(*answers: bytes | None):
    """Returns a handler that sends these answers in turn and then repeats the last one."""
    left = list(answers)

    async def handle(request, writer):
        return left.pop(0) if len(left) > 1 else left[0]

    return handle


async def spawn(tmp_path, table: dict, environ: dict | None = None) -> asyncio.subprocess.Process:
    (tmp_path / "config.json").write_text(json.dumps(table))
    return await start(tmp_path, environ)


async def start(tmp_path, environ: dict | None = None) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "brackenladder",
        env=os.environ | {"LB_CONFIG": str(tmp_path / "config.json")} | (environ or {}),
        stderr=asyncio.subprocess.PIPE,
    )
