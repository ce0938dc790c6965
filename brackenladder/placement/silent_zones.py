"""Zones of which nothing answers any more, by what this gateway's own calls have met there."""

from __future__ import annotations

from attrs import define, field

SERVERS = 2  # so many servers of a zone must give no answer, one of them to a connect, before it is left
DOUBT_TIME = 2_500_000  # microseconds for which a server's silence counts
UNANSWERED_CONNECT = 400_000  # microseconds: a connect that failed sooner was refused by a host that lives


@define
class _Silence:
    at: int
    connect: bool


@define(eq=False)
class SilentZones:
    """Servers that gave no answer since their zone last gave one.

    Failure prevented: a zone is without power, and until the list tells of it each call finds out anew, at
    another of the zone's servers, that nothing answers there. A gateway of many has few calls, and no server
    is met often enough to be set aside by itself.
    """

    _zones: dict[str, dict[int, _Silence]] = field(factory=dict)  # by zone and server

    def connect_failed(self, now: int, zone: str, server: int, took: int) -> None:
        """A connection to a server did not come up."""
        if took >= UNANSWERED_CONNECT:
            self._zones.setdefault(zone, {})[server] = _Silence(now, connect=True)
        else:
            self.answered(zone)

    def unanswered(self, now: int, zone: str, server: int) -> None:
        """A call has waited for longer than any should."""
        known = self._zones.setdefault(zone, {}).setdefault(server, _Silence(now, connect=False))
        known.at = now

    def answered(self, zone: str) -> None:
        """A server of the zone has said something."""
        self._zones.pop(zone, None)

    def silent(self, now: int, zone: str) -> bool:
        """Whether calls had better go elsewhere."""
        known = self._zones.get(zone)
        if known is None:
            return False
        recent = [silence for silence in known.values() if now - silence.at < DOUBT_TIME]
        return len(recent) >= SERVERS and any(silence.connect for silence in recent)
