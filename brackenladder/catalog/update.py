"""Applies an update, which names the items to change, to a configuration document."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from returns.result import Failure, Result, Success

from brackenladder.catalog.faults import ConfigurationFault, FaultKind, Faults
from brackenladder.catalog.validation import name_faults

VERSION, UPSERT, REMOVE, NAME = "Version", "Upsert", "Remove", "Name"
NAMED_LISTS = ("Routes", "Services")

Document = dict[str, Any]


def empty_document() -> Document:
    """The document that an update is applied to if there is no configuration yet."""
    return {key: [] for key in NAMED_LISTS}


def merge_update(current: Document, update: Document) -> Result[Document, Faults]:
    """The document after an update; `current` is not modified.

    Removals are applied first. An item of `Upsert` replaces the item of the same name in place, or is
    appended. A value that is not a list of named items, such as `Limits`, is replaced as a whole. It is no
    fault to remove a name that does not exist. The result is not validated as a configuration here.
    """
    faults = _update_faults(update)
    if faults:
        return Failure(faults)
    merged = dict(current)
    merged.pop(VERSION, None)
    for key, names in _part(update, REMOVE).items():
        if key in merged:
            merged[key] = _without(merged[key], names)
    for key, value in _part(update, UPSERT).items():
        merged[key] = _with_items(merged.get(key), value) if _is_named_list(value) else value
    if VERSION in update:
        return Success({VERSION: update[VERSION], **merged})
    return Success(merged)


def _part(update: Document, key: str) -> Document:
    """The update's `Upsert` or `Remove`; empty if it is missing or null."""
    part = update.get(key)
    return part if type(part) is dict else {}


def _name(item: Any) -> Any:
    return item.get(NAME) if type(item) is dict else None


def _is_named_list(value: Any) -> bool:
    return type(value) is list and all(type(_name(item)) is str for item in value)


def _without(items: Any, names: list[str]) -> Any:
    if type(items) is not list:
        return items
    removed = set(names)
    return [item for item in items if _name(item) not in removed]


def _with_items(items: Any, changes: list[Document]) -> list[Any]:
    by_name = {item[NAME]: item for item in changes}
    current = items if _is_named_list(items) else []
    merged = [by_name.pop(item[NAME], item) for item in current]
    return merged + list(by_name.values())


def _update_faults(update: Document) -> Faults:
    return (*_upsert_faults(update.get(UPSERT)), *_remove_faults(update.get(REMOVE)))


def _wrong_type(location: str, expected: str) -> ConfigurationFault:
    return ConfigurationFault(location, FaultKind.WRONG_TYPE, f"{expected} is required")


def _upsert_faults(upsert: Any) -> Iterator[ConfigurationFault]:
    if upsert is None:
        return
    if type(upsert) is not dict:
        yield _wrong_type(UPSERT, "an object")
        return
    for key, value in upsert.items():
        location = f"{UPSERT}.{key}"
        if key == VERSION:
            yield ConfigurationFault(location, FaultKind.WRONG_TYPE, "belongs next to Upsert, not inside it")
        elif _is_named_list(value):
            yield from name_faults(location, (item[NAME] for item in value))
        elif key in NAMED_LISTS:
            yield from _unnamed_faults(location, value)


def _unnamed_faults(location: str, value: Any) -> Iterator[ConfigurationFault]:
    if type(value) is not list:
        yield _wrong_type(location, "a list")
        return
    for index, item in enumerate(value):
        if type(_name(item)) is not str:
            detail = "an object with a Name is required"
            yield ConfigurationFault(f"{location}[{index}]", FaultKind.MISSING, detail)


def _remove_faults(remove: Any) -> Iterator[ConfigurationFault]:
    if remove is None:
        return
    if type(remove) is not dict:
        yield _wrong_type(REMOVE, "an object")
        return
    for key, names in remove.items():
        if type(names) is not list or any(type(name) is not str for name in names):
            yield _wrong_type(f"{REMOVE}.{key}", "a list of names")
