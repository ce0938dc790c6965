"""Output of the commands: readable lines, or one JSON object with `--json`."""

from __future__ import annotations

import json
import sys
from typing import Any


def print_line(line: str) -> None:
    """Prints a line or a longer text on standard output."""
    print(line, flush=True)


def print_to_stderr(line: str) -> None:
    """Prints a line on standard error, so that standard output has only the command's result."""
    print(line, file=sys.stderr, flush=True)


def print_json(document: Any) -> None:
    """Prints a JSON object on one line."""
    print_line(json.dumps(document, ensure_ascii=False))
