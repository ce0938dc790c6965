"""JSON as the operator must write it: UTF-8, no key twice in one object, finite numbers, bounded nesting."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

from brackenladder.catalog.faults import ConfigurationFault, FaultKind

MAX_NESTING = 64  # levels of nesting; far below the interpreter's limit, so that every replica decides alike

MAX_QUOTED_CHARS = 40  # characters of a text in a message


class _InvalidJson(ValueError):
    """The text is JSON to the decoder, but not to this project."""


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    item = dict(pairs)
    if len(item) == len(pairs):
        return item
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise _InvalidJson(f"the key {key[:MAX_QUOTED_CHARS]!r} stands twice in one object")
        seen.add(key)
    return item


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise _InvalidJson(f"the number {text[:MAX_QUOTED_CHARS]} is too large")
    return number


def _reject_constant(text: str) -> float:
    raise _InvalidJson(f"{text} is not a JSON value")


_DECODER = json.JSONDecoder(
    object_pairs_hook=_unique_keys, parse_float=_finite, parse_constant=_reject_constant
)
_CANONICAL = json.JSONEncoder(ensure_ascii=False, sort_keys=True, separators=(",", ":"), allow_nan=False)
_COMPACT = json.JSONEncoder(ensure_ascii=False, separators=(",", ":"), allow_nan=False)


def _nested(values: Iterable[Any]) -> list[Any]:
    return [value for value in values if type(value) in (dict, list)]


def _is_deeper_than(limit: int, value: Any) -> bool:
    level = _nested((value,))
    for _ in range(limit):
        if not level:
            return False
        below: list[Any] = []
        for container in level:
            below += _nested(container.values() if type(container) is dict else container)
        level = below
    return bool(level)


def read_object(body: bytes) -> Result[dict[str, Any], ConfigurationFault]:
    """The object that a body holds."""
    try:
        value = _DECODER.decode(body.decode())
        if b"\\u" in body:
            canonical(value)  # a lone surrogate, which only an escape can write, has no UTF-8 form
    except RecursionError:
        return Failure(_malformed(f"nested deeper than {MAX_NESTING} levels"))
    except UnicodeError:
        return Failure(_malformed("not UTF-8"))
    except ValueError as error:
        return Failure(_malformed(f"not whole JSON: {error}"))
    if type(value) is not dict:
        return Failure(_malformed("not a JSON object"))
    if _is_deeper_than(MAX_NESTING, value):
        return Failure(_malformed(f"nested deeper than {MAX_NESTING} levels"))
    return Success(value)


def _malformed(detail: str) -> ConfigurationFault:
    return ConfigurationFault("", FaultKind.MALFORMED, detail)


def canonical(value: object) -> bytes:
    """The one text that all JSON texts of the same content share."""
    return _CANONICAL.encode(value).encode()


def compact(value: object) -> bytes:
    """JSON text with the keys in the order that they have."""
    return _COMPACT.encode(value).encode()
