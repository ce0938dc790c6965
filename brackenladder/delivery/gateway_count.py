"""The highest number of gateways that any control node reported recently."""

from __future__ import annotations

from attrs import frozen

HOLD_TIME = 20_000_000  # microseconds for which a gateway count still applies after a lower one replaced it


@frozen
class _Held:
    number: int
    until: int


class HighestCount:
    """The number of gateways among which shared limits are divided.

    It rises at once and falls with a delay, so that the shares of all gateways never exceed the limit.
    """

    def __init__(self) -> None:
        self._reported: dict[str, int] = {}  # the last gateway count reported by each connected control node
        self._held: list[_Held] = []
        self._last = 1
        self.known = False  # a control node that knew of all gateways has reported the number

    def report(self, now: int, control_node: str, number: int, settled: bool = True) -> None:
        """Take a control node's number of gateways; `settled` False: it may not know all gateways."""
        self.known = self.known or settled
        before = self._reported.get(control_node, 0)
        if before > number:
            self._held.append(_Held(before, now + HOLD_TIME))
        self._reported[control_node] = number

    def disconnected(self, now: int, control_node: str) -> None:
        """Handle a lost control node: its number still counts for `HOLD_TIME`."""
        number = self._reported.pop(control_node, 0)
        if number:
            self._held.append(_Held(number, now + HOLD_TIME))

    def highest(self, now: int) -> int:
        """Return the number to use; while no control node is connected it stays as it was."""
        if not self._reported:
            return self._last
        self._held = [held for held in self._held if held.until > now]
        held = (one.number for one in self._held)
        self._last = max(1, *self._reported.values(), *held)
        return self._last
