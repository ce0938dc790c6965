"""Lists the differences between two configurations, item by item."""

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
    """A value that differs between two configurations.

    `before` is None for an added value, `after` for a removed one.
    """

    path: str  # for example `Routes.chat.TimeoutMs`
    before: Any
    after: Any

    @property
    def sign(self) -> str:
        """`+` added, `-` removed, `~` changed."""
        return "+" if self.before is None else "-" if self.after is None else "~"

    def __str__(self) -> str:
        if self.before is None or self.after is None:
            value = self.after if self.before is None else self.before
            return f"{self.sign} {self.path}: {_format_value(value)}"
        return f"{self.sign} {self.path}: {_format_value(self.before)} -> {_format_value(self.after)}"


def differences(before: Document, after: Document) -> tuple[Difference, ...]:
    """Returns all differences except in `Version`, which every change has. The order of items is ignored."""
    return tuple(_differences(before, after))


def _differences(before: Document, after: Document) -> Iterator[Difference]:
    for key in dict.fromkeys((*before, *after)):
        if key == VERSION:
            continue
        old, new = before.get(key), after.get(key)
        if key in NAMED_LISTS:
            yield from _item_differences(key, _by_name(old), _by_name(new))
        else:
            yield from _value_differences(key, old, new)


def _item_differences(key: str, before: Document, after: Document) -> Iterator[Difference]:
    for name in dict.fromkeys((*before, *after)):
        yield from _value_differences(f"{key}.{name}", before.get(name), after.get(name))


def _value_differences(path: str, before: Any, after: Any) -> Iterator[Difference]:
    """Yields the differences of one value. Objects are compared field by field."""
    if type(before) is dict and type(after) is dict:
        for key in dict.fromkeys((*before, *after)):
            yield from _value_differences(f"{path}.{key}", before.get(key), after.get(key))
    elif before != after:
        yield Difference(path, before, after)


def _by_name(items: Any) -> Document:
    return {item[NAME]: item for item in items or ()}


def _format_value(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
