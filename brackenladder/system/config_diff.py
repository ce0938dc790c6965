"""What differs between two configurations, item by item."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from attrs import frozen

Document = dict[str, Any]

NAMED_LISTS = ("Routes", "Services")
VERSION = "Version"
NAME = "Name"


@frozen
class Difference:
    """One difference: `before` or `after` is None where there is nothing."""

    place: str  # as `Routes.chat.TimeoutMs`
    before: Any
    after: Any

    @property
    def sign(self) -> str:
        """`+` added, `-` removed, `~` changed."""
        return "+" if self.before is None else "-" if self.after is None else "~"

    def __str__(self) -> str:
        if self.before is None or self.after is None:
            value = self.after if self.before is None else self.before
            return f"{self.sign} {self.place}: {_shown(value)}"
        return f"{self.sign} {self.place}: {_shown(self.before)} -> {_shown(self.after)}"


def differences(before: Document, after: Document) -> tuple[Difference, ...]:
    """All differences, `Version` left out: it differs in every change. The order of items does not count."""
    return tuple(_differences(before, after))


def _differences(before: Document, after: Document) -> Iterator[Difference]:
    for key in dict.fromkeys((*before, *after)):
        if key == VERSION:
            continue
        old, new = before.get(key), after.get(key)
        if key in NAMED_LISTS:
            yield from _items(key, _by_name(old), _by_name(new))
        else:
            yield from _fields(key, old, new)


def _items(key: str, before: Document, after: Document) -> Iterator[Difference]:
    for name in dict.fromkeys((*before, *after)):
        yield from _fields(f"{key}.{name}", before.get(name), after.get(name))


def _fields(place: str, before: Any, after: Any) -> Iterator[Difference]:
    """Differences of one value; objects are compared field by field."""
    if type(before) is dict and type(after) is dict:
        for key in dict.fromkeys((*before, *after)):
            yield from _fields(f"{place}.{key}", before.get(key), after.get(key))
    elif before != after:
        yield Difference(place, before, after)


def _by_name(items: Any) -> Document:
    return {item[NAME]: item for item in items or ()}


def _shown(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
