"""The ids of the requests that one server connection has carried."""

from __future__ import annotations


class CarriedIds:
    """A set of request ids. It keeps their hashes only, so that a connection's ids take little memory.

    Two ids with the same hash count as one.
    """

    __slots__ = ("_hashes",)

    def __init__(self) -> None:
        self._hashes: set[int] = set()

    def __contains__(self, request_id: str) -> bool:
        return hash(request_id) in self._hashes

    def __len__(self) -> int:
        return len(self._hashes)

    def add(self, request_id: str) -> None:
        """Note that a request with this id was sent."""
        self._hashes.add(hash(request_id))
