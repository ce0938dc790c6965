"""The program of a node: `python -m brackenladder`. With arguments, it runs the command-line tools."""

# ruff: noqa: E402

from __future__ import annotations

import signal

if __name__ == "__main__":
    # A SIGHUP during the imports would kill the node. Blocked, it stays pending until it can be handled.
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
    """Loads and checks the operator file. Its code is imported only if there is such a file."""
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
    """Runs the node until SIGTERM and then answers the accepted requests. SIGHUP reloads its files."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)  # a second signal has no effect
    node = Node(config, loop, operator)

    def log_exception(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        node.log.line(f"{context.get('message')}: {context.get('exception')!r}")

    def reload() -> None:
        try:
            new = load(os.environ, node.config)
            node.reload(new, operator_of(path, new))
        except ConfigError as e:
            node.log.line(f"reload: {e}; the old configuration stays")

    loop.set_exception_handler(log_exception)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    await node.start()
    # Objects made during the start live as long as the node, so the garbage collector can skip them.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await node.drain()


def command(arguments: list[str]) -> int:
    """Runs a command of the tools. They are imported only here, so that a node doesn't load them."""
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
    """Starts a node, without arguments or with `run [--operator FILE]`. Other arguments are a command.

    Returns the exit status: 2 for an invalid configuration or invalid arguments.
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
