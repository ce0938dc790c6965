"""The highest number of gateways that any control node told lately."""

from __future__ import annotations

from attrs import frozen

HOLD_TIME = 20_000_000  # microseconds that a number holds after it was replaced by a lower one


@frozen
class _Held:
    number: int
    until: int


class HighestCount:
    """Rises at once and falls late, so that parts of a shared sum never add up to more than the sum."""

    def __init__(self) -> None:
        self._told: dict[str, int] = {}  # by control node, while it is connected
        self._held: list[_Held] = []
        self._last = 1
        self.known = False  # a control node has told it that had heard all

    def told(self, now: int, control_node: str, number: int, settled: bool = True) -> None:
        """Take the number that a connected control node tells; not `settled`: there may be more."""
        self.known = self.known or settled
        before = self._told.get(control_node, 0)
        if before > number:
            self._held.append(_Held(before, now + HOLD_TIME))
        self._told[control_node] = number

    def lost(self, now: int, control_node: str) -> None:
        """A control node is no longer connected: its number holds for a while."""
        number = self._told.pop(control_node, 0)
        if number:
            self._held.append(_Held(number, now + HOLD_TIME))

    def highest(self, now: int) -> int:
        """The number to count with; with no control node connected it stays as it was."""
        if not self._told:
            return self._last
        self._held = [held for held in self._held if held.until > now]
        held = (one.number for one in self._held)
        self._last = max(1, *self._told.values(), *held)
        return self._last
