"""Differences between two states, in a stable order: keys that are created, changed or removed."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Literal

import msgspec

from brackenladder.control.state import DesiredState, StateError, validate

Path = tuple[str, ...]


class Difference(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A changed key. `old` is None if the key is created, `new` is None if it is removed."""

    what: Literal["create", "change", "remove"]
    key: Path
    old: Any = None
    new: Any = None

    def line(self) -> str:
        name = ".".join(self.key)
        if self.what == "create":
            return f"+ {name} = {format_value(self.new)}"
        if self.what == "remove":
            return f"- {name} = {format_value(self.old)}"
        return f"~ {name}: {format_value(self.old)} -> {format_value(self.new)}"


def format_value(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def flatten(state: DesiredState) -> dict[Path, Any]:
    """Returns the values of a state by path. A list is one value, except the list of routes."""
    tables = msgspec.json.decode(msgspec.json.encode(state))  # plain types, as in a plan file
    tables["routes"] = {str(i): route for i, route in enumerate(tables["routes"])}
    return dict(iterate_leaves(tables, ()))


def iterate_leaves(table: Mapping[str, Any], path: Path) -> Iterator[tuple[Path, Any]]:
    for key, value in table.items():
        if isinstance(value, Mapping):
            yield from iterate_leaves(value, (*path, key))
        else:
            yield (*path, key), value


def sort_key(path: Path) -> tuple[tuple[int, str], ...]:
    """Sorts names alphabetically and the indexes of routes numerically."""
    return tuple((int(part), "") if re.fullmatch(r"[0-9]{1,9}", part) else (-1, part) for part in path)


def differences(old: DesiredState, new: DesiredState) -> list[Difference]:
    """Returns all differences between two states."""
    before, after = flatten(old), flatten(new)
    found = []
    for path in sorted({*before, *after}, key=sort_key):
        if path not in before:
            found.append(Difference("create", path, new=after[path]))
        elif path not in after:
            found.append(Difference("remove", path, old=before[path]))
        elif before[path] != after[path]:
            found.append(Difference("change", path, before[path], after[path]))
    return found


def apply_differences(old: DesiredState, changes: Sequence[Difference]) -> DesiredState:
    """Applies differences to a state. Raises StateError if they don't match it."""
    keys = flatten(old)
    for change in changes:
        if (change.what == "create") != (change.key not in keys) or (
            change.what != "create" and keys[change.key] != change.old
        ):
            raise StateError(f"{'.'.join(change.key)}: not as it was planned from")
        if change.what == "remove":
            del keys[change.key]
        else:
            keys[change.key] = change.new
    tables: dict[str, Any] = {"pools": {}, "routes": {}}
    for path, value in keys.items():
        table = tables
        for part in path[:-1]:
            table = table.setdefault(part, {})
        table[path[-1]] = value
    routes = tables["routes"]
    tables["routes"] = [routes[key] for key in sorted(routes, key=int)]
    return validate(tables)
