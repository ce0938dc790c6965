"""The servers that a node knows of, from heartbeats that it heard itself and from what other nodes tell.

A record is merged by id; the highest seq holds. A server ends when it deregisters, which is final, or when
nobody has heard it for a while, which a later heartbeat undoes. A registry that knows nothing of a server
says nothing of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import frozen

from brackenladder.registry.entries import NEVER, ServerEntry
from brackenladder.registry.records import HeardServer, ServerRecord, ServerState, states_the_same

TOMBSTONE_LIFETIME = 300_000_000  # microseconds that the end of a server is remembered
SETTLE_TIME = 2_000_000  # microseconds with all evidence at hand before silence counts again
END_SLACK = 300_000  # microseconds after its announced end at which a server that is silent counts as gone
SUSPECT_LEAD = 800_000  # microseconds before a silence ends a server at which peers are asked about it
FOREVER = 1 << 62  # a silence that never ends a server


@frozen
class LocalUpdates:
    """Ids that this node has news of by itself, for its peers."""

    changed: tuple[str, ...]
    heartbeats: tuple[str, ...]  # heartbeats that changed nothing


class ServerRegistry:
    """Merges what is known of servers. Every change that is worth telling raises `version`."""

    def __init__(self, silence: int = FOREVER) -> None:
        """Count a server as gone after `silence` microseconds in which nobody heard it."""
        self._silence = silence
        self._entries: dict[str, ServerEntry] = {}  # in the order of their `version`
        self._trusted_since: int | None = None
        self._settled = False
        self._end_check_at = FOREVER  # no server ends before
        self._suspect_check_at = FOREVER  # no server is suspected before
        self._forget_check_at = FOREVER  # nothing is forgotten before
        self._forgotten_version = 0
        self._local_changes: dict[str, None] = {}
        self._local_heard: dict[str, None] = {}
        self.version = 0

    def heartbeat(self, now: int, record: ServerRecord) -> bool:
        """Take a server's own heartbeat; True if it changes what was known, so that it is told at once."""
        entry = self._entry(record.id, heard_at=now)
        if entry.deregistered or record.seq < entry.stated_seq:
            return False
        changed = entry.merge(now, record)
        entry.hear(record.seq, now)
        if changed:
            self._changed_here(entry)
        else:
            self._local_heard[record.id] = None
        return changed

    def deregister(self, now: int, server_id: str) -> bool:
        """Take a server's word that it ends; False if that was known."""
        entry = self._entry(server_id, heard_at=now)
        if entry.deregistered:
            return False
        entry.merge(now, ServerRecord(server_id, "", "", "", 0, ServerState.GONE, entry.stated_seq))
        self._changed_here(entry)
        return True

    def merge(
        self, now: int, records: Iterable[ServerRecord], ages: Mapping[str, int] | None = None
    ) -> tuple[ServerRecord, ...]:
        """Take what another node tells; return what changed here, as it is known now.

        `ages` tells by id how long ago that node knew the server to be alive. A tombstone of silence that is
        refuted by what is known here counts as a change: those who took it have to hear the opposite.
        """
        ages = ages or {}
        changed = [entry for record in records if (entry := self._merge(now, record, ages.get(record.id, 0)))]
        return tuple(entry.record(now) for entry in changed if entry.known)

    def merge_heartbeats(self, now: int, heard: Iterable[HeardServer]) -> tuple[str, ...]:
        """Take heartbeats that another node heard; return the ids whose statement is not known here."""
        return tuple(one.id for one in heard if not self._hear(now, one))

    def expire(self, now: int, trusted: bool = True) -> tuple[ServerRecord, ...]:
        """End the servers that nobody has heard for too long, and forget old tombstones.

        `trusted` says that this node hears its peers, so that its own silence is everybody's. Silence counts
        only once that has held for `SETTLE_TIME`.
        """
        self._note_trust(now, trusted)
        ended = self._take_ended(now)
        for entry in ended:
            entry.expire(now)
            self._changed_here(entry)
        self._forget(now)
        return tuple(entry.record(now) for entry in ended)

    def take_suspects(self, now: int) -> tuple[str, ...]:
        """The servers that are about to end by silence, each once: a peer may hear them over others."""
        if now < self._suspect_check_at:
            return ()
        suspects = [entry for entry in self._entries.values() if now > self._suspect_after(entry)]
        for entry in suspects:
            entry.suspected_at = entry.heard_at
        self._suspect_check_at = min(map(self._suspect_after, self._entries.values()), default=FOREVER)
        if any(entry.suspected for entry in self._entries.values()):
            self._suspect_check_at = min(self._suspect_check_at, now + SUSPECT_LEAD)
        return tuple(entry.id for entry in suspects)

    def compensate_pause(self, now: int, gap: int) -> None:
        """This node stood still for `gap` microseconds: what it missed is not held against the servers."""
        for entry in self._entries.values():
            entry.heard_at = min(now, entry.heard_at + gap)
        self._trusted_since = None

    def remove(self, server_id: str) -> bool:
        """Forget a server without a word to anyone; False if it was not known."""
        entry = self._entries.pop(server_id, None)
        if entry is None:
            return False
        self._forgotten_version = max(self._forgotten_version, entry.version)
        return True

    def records(self, now: int) -> tuple[ServerRecord, ...]:
        """Everything that can be told, tombstones included; `cold_for` and `remaining` as of `now`."""
        return tuple(entry.record(now) for entry in self._entries.values() if entry.known)

    def alive(self, now: int) -> tuple[ServerRecord, ...]:
        """The READY and the DRAINING servers."""
        return tuple(entry.record(now) for entry in self._entries.values() if entry.known and not entry.gone)

    def get(self, now: int, server_id: str) -> ServerRecord | None:
        """What can be told of one server; None if nothing."""
        entry = self._entries.get(server_id)
        return entry.record(now) if entry is not None and entry.known else None

    def cold_until(self, server_id: str) -> int:
        """When a server is warm, in this host's microseconds; 0: it was not told to be cold."""
        entry = self._entries.get(server_id)
        return NEVER if entry is None else entry.cold_until

    def ends_at(self, server_id: str) -> int:
        """When a server said that it ends, in this host's microseconds; 0: it did not."""
        entry = self._entries.get(server_id)
        return NEVER if entry is None else entry.ends_at

    def age(self, now: int, server_id: str) -> int:
        """How long ago anybody heard a server, as far as is known here; 0 if it is not known."""
        entry = self._entries.get(server_id)
        return 0 if entry is None else max(0, now - entry.heard_at)

    def latest_heartbeat(self, now: int, server_id: str) -> HeardServer | None:
        """The newest heartbeat of a server, as peers are told of it."""
        entry = self._entries.get(server_id)
        if entry is None or entry.statement is None:
            return None
        return HeardServer(server_id, entry.stated_seq, max(0, now - entry.heard_at), entry.changed_seq)

    def changed_since(self, now: int, version: int) -> tuple[ServerRecord, ...] | None:
        """What changed after `version`; None if that cannot be told any more, so that all has to be."""
        if version < self._forgotten_version:
            return None
        changed = []
        for entry in reversed(self._entries.values()):
            if entry.version <= version:
                break
            if entry.known:
                changed.append(entry.record(now))
        return tuple(changed)

    def newer_records(self, now: int, records: Iterable[ServerRecord]) -> tuple[ServerRecord, ...]:
        """Of servers that another node told of, the ones of which something newer is known here."""
        entries = ((self._entries.get(record.id), record) for record in records)
        return tuple(
            entry.record(now)
            for entry, record in entries
            if entry is not None and entry.known and _supersedes(entry, record)
        )

    def take_local_updates(self) -> LocalUpdates:
        """What this node learned by itself since the last call."""
        news = LocalUpdates(
            changed=tuple(self._local_changes),
            heartbeats=tuple(one for one in self._local_heard if one not in self._local_changes),
        )
        self._local_changes.clear()
        self._local_heard.clear()
        return news

    def _entry(self, server_id: str, heard_at: int) -> ServerEntry:
        entry = self._entries.get(server_id)
        if entry is None:
            entry = ServerEntry(server_id, heard_at)
            self._touch(entry)
        return entry

    def _touch(self, entry: ServerEntry) -> None:
        self._entries.pop(entry.id, None)
        self.version += 1
        entry.version = self.version
        self._entries[entry.id] = entry
        self._end_check_at = min(self._end_check_at, self._ends_after(entry, settled=True))
        self._suspect_check_at = min(self._suspect_check_at, self._suspect_after(entry))
        self._forget_check_at = min(self._forget_check_at, _forgotten_after(entry))

    def _changed_here(self, entry: ServerEntry) -> None:
        self._touch(entry)
        self._local_changes[entry.id] = None

    def _merge(self, now: int, record: ServerRecord, age: int) -> ServerEntry | None:
        """Merge one record; return its entry if there is something to tell."""
        if record.id not in self._entries and record.state is not ServerState.GONE and age > self._silence:
            return None  # nobody has heard it for too long: it ended before this node knew of it
        entry = self._entry(record.id, heard_at=now - age)
        changed = entry.merge(now, record)
        if record.state is not ServerState.GONE:
            entry.hear(record.seq, now - age)
        refuted = record.state is ServerState.GONE and not entry.gone
        if not (changed or refuted):
            return None
        self._touch(entry)
        return entry

    def _hear(self, now: int, heard: HeardServer) -> bool:
        """Take one heartbeat that a peer heard; False if its statement is not known here."""
        entry = self._entries.get(heard.id)
        if entry is None:
            return False
        if entry.deregistered:
            return True
        was_gone = entry.gone
        entry.hear(heard.seq, now - heard.age)
        confirmed = entry.confirm(heard)
        if confirmed and was_gone and not entry.gone:
            self._touch(entry)
        return confirmed

    def _note_trust(self, now: int, trusted: bool) -> None:
        if not trusted:
            self._trusted_since = None
        elif self._trusted_since is None:
            self._trusted_since = now
        settled = self._trusted_since is not None and now - self._trusted_since >= SETTLE_TIME
        if settled and not self._settled:
            self._end_check_at = now
        self._settled = settled

    def _take_ended(self, now: int) -> list[ServerEntry]:
        """The servers that end by now; looks at all of them only when one may."""
        if now < self._end_check_at:
            return []
        ends = [(self._ends_after(entry, self._settled), entry) for entry in self._entries.values()]
        self._end_check_at = min((after for after, _ in ends if after >= now), default=FOREVER)
        return [entry for after, entry in ends if now > after]

    def _ends_after(self, entry: ServerEntry, settled: bool) -> int:
        """The moment after which a server counts as gone if nobody hears it."""
        if entry.statement is None or entry.gone:
            return FOREVER
        silent = entry.heard_at + self._silence if settled else FOREVER
        if entry.ends_at == NEVER or entry.heard_at >= entry.ends_at:
            return silent
        return min(silent, entry.ends_at + END_SLACK)

    def _suspect_after(self, entry: ServerEntry) -> int:
        """The moment after which peers are asked about a server if nobody hears it."""
        if entry.statement is None or entry.gone or entry.suspected:
            return FOREVER
        return entry.heard_at + self._silence - SUSPECT_LEAD

    def _forget(self, now: int) -> None:
        if now < self._forget_check_at:
            return
        old = [entry.id for entry in self._entries.values() if now > _forgotten_after(entry)]
        for server_id in old:
            self.remove(server_id)
        self._forget_check_at = min(map(_forgotten_after, self._entries.values()), default=FOREVER)


def _forgotten_after(entry: ServerEntry) -> int:
    """The moment after which nothing is kept of a server."""
    if entry.gone:
        return entry.gone_at + TOMBSTONE_LIFETIME
    return FOREVER if entry.known else entry.heard_at + TOMBSTONE_LIFETIME


def _supersedes(entry: ServerEntry, record: ServerRecord) -> bool:
    """Whether what is known here overrules what another node told."""
    if record.state is ServerState.GONE:
        return not entry.gone or (entry.deregistered and record.expired)
    if entry.gone or entry.statement is None:
        return entry.gone
    return entry.statement.seq > record.seq and not states_the_same(entry.statement, record)
