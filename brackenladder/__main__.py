"""One real node: `python -m brackenladder`."""

# ruff: noqa: E402

from __future__ import annotations

import signal

if __name__ == "__main__":
    # Failure prevented: a SIGHUP that comes as the rest is imported kills the node. It waits instead.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

import asyncio
import gc
import os
import sys
from typing import TYPE_CHECKING

import uvloop

from brackenladder.node.config import Config, ConfigError, load
from brackenladder.node.node import Node

if TYPE_CHECKING:
    from brackenladder.node.operator import Operator


def operator_of(path: str | None, config: Config) -> Operator | None:
    """The operator file, checked against the configuration; its code is imported only if there is one."""
    if path is None:
        return None
    try:
        from brackenladder.node.operator import OperatorError
        from brackenladder.node.operator import load as load_operator
    except ModuleNotFoundError as e:
        raise ConfigError(f"an operator file needs {e.name}: install requirements-operator.txt") from None
    try:
        operator = load_operator(path)
        if operator.members is not None:
            from brackenladder.node.members import keys_of

            keys_of(operator.members.key)
    except OperatorError as e:
        raise ConfigError(f"operator file: {e}") from None
    if operator.rpc is not None:
        from brackenladder.node.rpc import check

        check(operator.rpc, config)
    return operator


async def serve(config: Config, operator: Operator | None, path: str | None) -> None:
    """Runs the node until SIGTERM, and to the last answer it owes. SIGHUP reads its files anew."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)  # a second one changes nothing
    node = Node(config, loop, operator)

    def failed(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        node.log.line(f"{context.get('message')}: {context.get('exception')!r}")

    def reload() -> None:
        try:
            new = load(os.environ, node.config)
            node.reload(new, operator_of(path, new))
        except ConfigError as e:
            node.log.line(f"reload: {e}; the old configuration stays")

    loop.set_exception_handler(failed)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    await node.start()
    # What the start has made lives as long as the node: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await node.drain()


def command(arguments: list[str]) -> int:
    """Runs a command of the tools. They are imported here alone: a node carries nothing of them."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
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
    path = arguments[2] if len(arguments) == 3 else None
    try:
        config = load(os.environ)
        operator = operator_of(path, config)
    except ConfigError as e:
        print(f"brackenladder: {e}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, operator, path))
    except OSError as e:
        print(f"brackenladder: cannot listen: {e.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
