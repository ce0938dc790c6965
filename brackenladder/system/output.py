"""What commands print: lines for people, one JSON object with `--json`."""

from __future__ import annotations

import json
import sys
from typing import Any


def say(line: str) -> None:
    """One line, or a text, on standard output."""
    print(line, flush=True)


def note(line: str) -> None:
    """One line beside the answer, on standard error."""
    print(line, file=sys.stderr, flush=True)


def print_json(document: Any) -> None:
    """One JSON object on one line."""
    say(json.dumps(document, ensure_ascii=False))
