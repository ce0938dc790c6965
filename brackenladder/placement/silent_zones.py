"""Detects zones in which no server answers any more, from this gateway's own calls."""

from __future__ import annotations

from attrs import define, field

MIN_SERVERS = 2  # servers that do not answer, one of them not even a connect, for a zone to count as silent
SILENCE_TIME = 2_500_000  # microseconds for which an unanswered call is remembered
UNANSWERED_CONNECT = 400_000  # microseconds: a connect that fails sooner was refused by a running host


@define
class _Silence:
    at: int
    connect: bool


@define(eq=False)
class SilentZones:
    """For each zone, the servers that left calls unanswered since any server of the zone last answered.

    Without this, if a zone loses power, each call finds out anew, at another server, that nothing answers
    there, until the server list is updated. With many gateways each has few calls, and no server fails often
    enough at one gateway to be ejected by itself.
    """

    _zones: dict[str, dict[int, _Silence]] = field(factory=dict)  # by zone and server

    def connect_failed(self, now: int, zone: str, server: int, took: int) -> None:
        """Records a failed connect; `took`: microseconds until it failed."""
        if took >= UNANSWERED_CONNECT:
            self._zones.setdefault(zone, {})[server] = _Silence(now, connect=True)
        else:
            self.answered(zone)

    def unanswered(self, now: int, zone: str, server: int) -> None:
        """Records that a call at the server has waited for too long."""
        known = self._zones.setdefault(zone, {}).setdefault(server, _Silence(now, connect=False))
        known.at = now

    def answered(self, zone: str) -> None:
        """Records any answer of a server of the zone."""
        self._zones.pop(zone, None)

    def silent(self, now: int, zone: str) -> bool:
        """Whether calls should avoid the zone, since MIN_SERVERS of it do not answer."""
        known = self._zones.get(zone)
        if known is None:
            return False
        recent = [silence for silence in known.values() if now - silence.at < SILENCE_TIME]
        return len(recent) >= MIN_SERVERS and any(silence.connect for silence in recent)
