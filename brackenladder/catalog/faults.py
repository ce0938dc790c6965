"""Faults in the operator's configuration document or in the settings file of a process."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class FaultKind(Enum):
    """What is wrong with a value in the JSON configuration."""

    MALFORMED = "malformed"  # not the expected format, or truncated
    MISSING = "missing"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    DUPLICATE_NAME = "duplicate_name"
    UNKNOWN_SERVICE = "unknown_service"
    SAME_PLACE = "same_place"  # two routes with the same host and path prefix
    NO_WEIGHT = "no_weight"
    STALE_VERSION = "stale_version"  # the version of the document is not greater than the current one
    UNREADABLE = "unreadable"  # a file that cannot be opened


@frozen
class ConfigurationFault:
    """A fault of a configuration.

    `location` is the path of the value, such as `Routes[3].TimeoutMs`; empty for the whole document.
    """

    location: str
    kind: FaultKind
    detail: str

    def __str__(self) -> str:
        return f"{self.location or 'document'}: {self.detail}"


Faults = tuple[ConfigurationFault, ...]
