"""A configuration file against the configuration in force: what it changes, and what is wrong with it."""

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
LARGEST_FILE = 8 * 1024 * 1024  # bytes; a control node takes no more


@frozen
class ConfigurationFile:
    """A file as it was read: a whole configuration, or an update (`Upsert`, `Remove`)."""

    body: bytes
    document: Document
    faults: tuple[str, ...] = ()

    @property
    def is_update(self) -> bool:
        """Whether it changes items by name."""
        return UPSERT in self.document or REMOVE in self.document


@frozen
class PlannedChange:
    """What a file would do to the configuration in force."""

    base: int  # the version in force; 0: none
    current: Document
    after: Document
    faults: tuple[str, ...]

    @property
    def in_force(self) -> bool:
        """Whether nothing is left to be done."""
        return bool(self.current) and self.after == self.current

    @property
    def differences(self) -> tuple[Difference, ...]:
        """Item by item."""
        return differences(self.current, self.after)


def read_file(path: Path) -> ConfigurationFile:
    """The file's content; Unusable if there is none to be read."""
    try:
        with path.open("rb") as file:
            body = file.read(LARGEST_FILE + 1)
    except OSError as error:
        raise UsageError(f"{path}: cannot be read: {error.strerror}") from None
    if len(body) > LARGEST_FILE:
        raise UsageError(f"{path}: over {LARGEST_FILE} bytes")
    read = read_object(body)
    if isinstance(read, Failure):
        return ConfigurationFile(body, {}, (str(read.failure()),))
    return ConfigurationFile(body, read.unwrap())


def plan_change(file: ConfigurationFile, current_body: bytes) -> PlannedChange:
    """What the file would do on top of the configuration that was read back (empty: there is none)."""
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
    return PlannedChange(base, current, after, _faults(after, current))


def _faults(after: Document, current: Document) -> tuple[str, ...]:
    parsed = parse_document(after)
    if isinstance(parsed, Failure):
        return tuple(map(str, parsed.failure()))
    version, base = parsed.unwrap().version, current.get(VERSION, 0)
    if version <= base and after != current:
        return (f"{VERSION}: {version} is not above the current version {base}",)
    return ()
