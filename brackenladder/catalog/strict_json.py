"""A strict JSON decoder: UTF-8 only, unique keys in each object, finite numbers and bounded nesting."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Result, Success

from brackenladder.catalog.faults import ConfigurationFault, FaultKind

# Levels; far below the interpreter's recursion limit, so that all replicas accept the same documents.
MAX_NESTING = 64

MAX_QUOTED_CHARS = 40  # characters of the input that an error message quotes


class _InvalidJson(ValueError):
    """The decoder accepts the text, but it breaks one of the stricter rules."""


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    item = dict(pairs)
    if len(item) == len(pairs):
        return item
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise _InvalidJson(f"the key {key[:MAX_QUOTED_CHARS]!r} occurs twice in one object")
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
    """The JSON object in a body, or the fault that makes it unusable."""
    try:
        value = _DECODER.decode(body.decode())
        if b"\\u" in body:
            canonical(value)  # fails for a lone surrogate, which only an escape can contain
    except RecursionError:
        return Failure(_malformed(f"nested deeper than {MAX_NESTING} levels"))
    except UnicodeError:
        return Failure(_malformed("not UTF-8"))
    except ValueError as error:
        return Failure(_malformed(f"not valid JSON: {error}"))
    if type(value) is not dict:
        return Failure(_malformed("not a JSON object"))
    if _is_deeper_than(MAX_NESTING, value):
        return Failure(_malformed(f"nested deeper than {MAX_NESTING} levels"))
    return Success(value)


def _malformed(detail: str) -> ConfigurationFault:
    return ConfigurationFault("", FaultKind.MALFORMED, detail)


def canonical(value: object) -> bytes:
    """JSON text in a canonical form, which does not depend on the order of keys."""
    return _CANONICAL.encode(value).encode()


def compact(value: object) -> bytes:
    """JSON text without spaces, with the keys in their given order."""
    return _COMPACT.encode(value).encode()
