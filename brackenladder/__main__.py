"""One real node: `python -m brackenladder`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from brackenladder.net.config import Config, ConfigError, load
from brackenladder.net.node import Node


async def serve(config: Config) -> None:
    """Runs the node until SIGTERM, and to the last answer it owes. SIGHUP reads the configuration anew."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)  # a second one changes nothing
    node = Node(config, loop)

    def failed(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        node.log_lines.line(f"{context.get('message')}: {context.get('exception')!r}")

    def reload() -> None:
        try:
            node.reload(load(os.environ, node.config))
        except ConfigError as e:
            node.log_lines.line(f"reload: {e}; the old configuration stays")

    loop.set_exception_handler(failed)
    loop.add_signal_handler(signal.SIGHUP, reload)  # before the node can be ready: untended, it kills
    await node.start()
    # What the start has made lives as long as the node: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await node.drain()


def command(arguments: list[str]) -> int:
    """Runs a command of the tools. They are imported here alone: a node carries nothing of them."""
    try:
        from brackenladder.cli.main import main as run_command
    except ModuleNotFoundError as e:
        print(
            f"brackenladder: {arguments[0]}: needs {e.name}: install requirements-tools.txt", file=sys.stderr
        )
        return 2
    return run_command(arguments)


def main() -> int:
    """Starts a node; 2 if it was told what it cannot start with. With arguments, a command."""
    if len(sys.argv) > 1:
        return command(sys.argv[1:])
    try:
        config = load(os.environ)
    except ConfigError as e:
        print(f"brackenladder: {e}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as e:
        print(f"brackenladder: cannot listen: {e.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
