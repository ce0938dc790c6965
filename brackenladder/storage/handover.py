"""The file in which a process leaves its successor the list of servers.

It stands beside the file of holds, is written whole about once a second, and is of use for as long as what it
says is fresh.
"""

from __future__ import annotations

import json
import os
from contextlib import suppress
from typing import Any

from brackenladder.membership.listing import Line

NAME = "brackenladder-handover.json"
FORMAT = 1
LARGEST_FILE = 4 << 20  # bytes
FRESH = 10_000_000  # microseconds after which it is of no use


class HandoverError(Exception):
    """The file cannot be read or written; the text is one line."""


def write_handover(folder: str, now: int, version: int, lines: list[Line]) -> None:
    """Leaves it in one step. `now`: microseconds of Unix time. A HandoverError if that cannot be done."""
    table = {"format": FORMAT, "at": now, "version": version}
    servers = [
        {
            "id": line.id,
            "addr": f"[{line.host}]:{line.port}" if ":" in line.host else f"{line.host}:{line.port}",
            "zone": line.zone,
            "kind": line.kind,
            "cell": line.cell,
            "state": line.state.name.lower(),
            "weight": line.weight,
            "started_ms": line.started // 1000,
        }
        for line in lines
    ]
    path = os.path.join(folder, NAME)
    new = f"{path}.{os.getpid()}"
    try:
        with open(new, "w") as file:
            json.dump(table | {"servers": servers, "full": True}, file)
        os.replace(new, path)
    except OSError as e:
        with suppress(OSError):
            os.unlink(new)
        raise HandoverError(f"handover: {e.strerror}") from None


def read_handover(folder: str, now: int) -> dict[str, Any] | None:
    """What a predecessor has left, as an object; None if there is nothing fresh.

    Its list is in discovery's form, under the same names. A HandoverError for what cannot be used.
    """
    try:
        with open(os.path.join(folder, NAME), "rb") as file:
            data = file.read(LARGEST_FILE + 1)
    except FileNotFoundError:
        return None
    except OSError as e:
        raise HandoverError(f"handover: {e.strerror}") from None
    try:
        table = json.loads(data)
        if len(data) > LARGEST_FILE or table["format"] != FORMAT:
            raise ValueError
        fresh = 0 <= now - int(table["at"]) <= FRESH
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        raise HandoverError("handover: not a file of a predecessor's") from None
    return table if fresh else None
