"""Compares a configuration file with the configuration in force: what it changes, and its faults."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from attrs import frozen
from returns.result import Failure

from brackenladder.catalog.configuration import parse_document
from brackenladder.catalog.strict_json import read_object
from brackenladder.catalog.update import REMOVE, UPSERT, VERSION, empty_document, merge_update
from brackenladder.operator_client.errors import UsageError
from brackenladder.system.config_diff import Difference, differences

Document = dict[str, Any]
MAX_FILE_BYTES = 8 * 1024 * 1024  # a control node accepts no larger configuration


@frozen
class ConfigurationFile:
    """The content of a file: a whole configuration, or an update (`Upsert`, `Remove`)."""

    body: bytes
    document: Document
    faults: tuple[str, ...] = ()

    @property
    def is_update(self) -> bool:
        """Whether the file changes single items by name, rather than the whole configuration."""
        return UPSERT in self.document or REMOVE in self.document


@frozen
class PlannedChange:
    """The effect that a file would have on the configuration in force."""

    base: int  # the version in force, 0 if there is none
    current: Document
    after: Document
    faults: tuple[str, ...]

    @property
    def already_in_force(self) -> bool:
        """Whether the file would change nothing."""
        return bool(self.current) and self.after == self.current

    @property
    def differences(self) -> tuple[Difference, ...]:
        """The differences item by item."""
        return differences(self.current, self.after)


def read_file(path: Path) -> ConfigurationFile:
    """Reads a configuration file. Raises UsageError if it cannot be read or is too large."""
    try:
        with path.open("rb") as file:
            body = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise UsageError(f"{path}: cannot be read: {error.strerror}") from None
    if len(body) > MAX_FILE_BYTES:
        raise UsageError(f"{path}: over {MAX_FILE_BYTES} bytes")
    parsed = read_object(body)
    if isinstance(parsed, Failure):
        return ConfigurationFile(body, {}, (str(parsed.failure()),))
    return ConfigurationFile(body, parsed.unwrap())


def plan_change(file: ConfigurationFile, current_body: bytes) -> PlannedChange:
    """Applies the file to the current configuration, whose body is empty if there is none."""
    current: Document = json.loads(current_body) if current_body else {}
    base = int(current.get(VERSION, 0))
    if file.faults:
        return PlannedChange(base, current, {}, file.faults)
    after = file.document
    if file.is_update:
        merged = merge_update(current or empty_document(), file.document)
        if isinstance(merged, Failure):
            return PlannedChange(base, current, {}, tuple(map(str, merged.failure())))
        after = merged.unwrap()
    return PlannedChange(base, current, after, _find_faults(after, current))


def _find_faults(after: Document, current: Document) -> tuple[str, ...]:
    parsed = parse_document(after)
    if isinstance(parsed, Failure):
        return tuple(map(str, parsed.failure()))
    version, base = parsed.unwrap().version, current.get(VERSION, 0)
    if version <= base and after != current:
        return (f"{VERSION}: {version} is not above the current version {base}",)
    return ()
