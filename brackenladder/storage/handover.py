"""The handover file, in which a process leaves the server list for the process that replaces it.

It is in the same folder as the file of suspended servers and is rewritten about once a second. A file older
than `MAX_AGE` is ignored.
"""

from __future__ import annotations

import json
import os
from contextlib import suppress
from typing import Any

from brackenladder.membership.listing import Line

FILE_NAME = "brackenladder-handover.json"
FORMAT = 1
MAX_FILE_BYTES = 4 << 20  # larger handover files are rejected
MAX_AGE = 10_000_000  # microseconds; an older file is ignored


class HandoverError(Exception):
    """The file cannot be read or written. The message is one line."""


def write_handover(folder: str, now: int, version: int, lines: list[Line]) -> None:
    """Writes the file atomically. `now`: Unix time in microseconds. Raises HandoverError."""
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
    path = os.path.join(folder, FILE_NAME)
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
    """Returns the content of a predecessor's file as a JSON object; None if there is no fresh file.

    The server list has the form in which discovery sends it. Raises HandoverError if the file is invalid.
    """
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as e:
        raise HandoverError(f"handover: {e.strerror}") from None
    try:
        table = json.loads(data)
        if len(data) > MAX_FILE_BYTES or table["format"] != FORMAT:
            raise ValueError
        fresh = 0 <= now - int(table["at"]) <= MAX_AGE
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        raise HandoverError("handover: not a valid handover file") from None
    return table if fresh else None
