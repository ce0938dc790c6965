"""What can be wrong with a document of the operator or with the settings of a process."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class FaultKind(Enum):
    """The sort of a fault."""

    MALFORMED = "malformed"  # not the expected format, or not whole
    MISSING = "missing"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    DUPLICATE_NAME = "duplicate_name"
    UNKNOWN_SERVICE = "unknown_service"
    SAME_PLACE = "same_place"  # two routes with one host and prefix
    NO_WEIGHT = "no_weight"
    STALE_VERSION = "stale_version"  # not above the current version
    UNREADABLE = "unreadable"  # a file that cannot be opened


@frozen
class ConfigurationFault:
    """One fault of a configuration and its place, as `Routes[3].TimeoutMs`; an empty place: the whole."""

    location: str
    kind: FaultKind
    detail: str

    def __str__(self) -> str:
        return f"{self.location or 'document'}: {self.detail}"


Faults = tuple[ConfigurationFault, ...]
