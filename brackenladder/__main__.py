"""One real node: `python -m brackenladder`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import uvloop

from brackenladder.node.config import Config, ConfigError, load
from brackenladder.node.node import Node


class Pool(Protocol):
    """A pool beside HTTP's, with a front of its own."""

    async def start(self) -> None:
        """Begins to serve."""

    async def drain(self) -> None:
        """Answers what has been taken, and ends."""


def extended(config: Config, path: str | None) -> tuple[Config, Callable[[Node], list[Pool]]]:
    """The configuration and what the operator file adds; its code is imported only where it is asked for."""
    if path is None:
        return config, lambda node: []
    try:
        from brackenladder.node.operator import OperatorError
        from brackenladder.node.operator import load as load_operator
    except ModuleNotFoundError as e:
        raise ConfigError(f"an operator file needs {e.name}: install requirements-operator.txt") from None
    try:
        operator = load_operator(path)
    except OperatorError as e:
        raise ConfigError(f"operator file: {e}") from None
    table = operator.rpc
    if table is None:
        return config, lambda node: []
    from brackenladder.node.rpc import RpcPool, methods_of, without

    methods_of(table, config)  # before anything listens
    return without(config, table), lambda node: [RpcPool(table, config, node.loop, node.log_lines)]


async def serve(config: Config, pools: Callable[[Node], list[Pool]]) -> None:
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
    further = pools(node)
    await node.start()
    for pool in further:
        await pool.start()
    # What the start has made lives as long as the node: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await asyncio.gather(node.drain(), *(pool.drain() for pool in further))


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
    """Starts a node; 2 if it was told what it cannot start with. With arguments, a command.

    `run` is the node itself, with `--operator FILE` if one is given.
    """
    arguments = sys.argv[1:]
    if arguments and arguments[0] != "run":
        return command(arguments)
    if len(arguments) not in (0, 1, 3) or (len(arguments) == 3 and arguments[1] != "--operator"):
        print("brackenladder: run: takes --operator FILE and nothing else", file=sys.stderr)
        return 2
    try:
        config, pools = extended(load(os.environ), arguments[2] if len(arguments) == 3 else None)
    except ConfigError as e:
        print(f"brackenladder: {e}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, pools))
    except OSError as e:
        print(f"brackenladder: cannot listen: {e.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
