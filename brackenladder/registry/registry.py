"""The servers that a node knows, from heartbeats that it received itself and from records of other nodes.

Records are merged by id; the highest sequence number wins. A server ends when it deregisters, which is final,
or when no node has received a heartbeat for a while, which a later heartbeat undoes. An unknown server is not
reported at all, so a node that has just started does not declare servers gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import frozen

from brackenladder.registry.entries import NEVER, ServerEntry
from brackenladder.registry.records import HeardServer, ServerRecord, ServerState, same_content

TOMBSTONE_LIFETIME = 300_000_000  # microseconds for which the tombstone of a server that has ended is kept
SETTLE_TIME = 2_000_000  # microseconds of uninterrupted contact with the peers before servers may time out
# Microseconds after its announced end at which a server without heartbeats counts as gone.
END_SLACK = 300_000
SUSPECT_LEAD = 800_000  # microseconds before a server times out at which peers are asked about it
FOREVER = 1 << 62  # a timeout that never elapses


@frozen
class LocalUpdates:
    """Ids of servers that sent messages to this node itself, to be passed on to its peers."""

    changed: tuple[str, ...]
    heartbeats: tuple[str, ...]  # ids of servers whose heartbeats changed nothing


class ServerRegistry:
    """Merges server records. Every change that has to be propagated increments `version`."""

    def __init__(self, timeout: int = FOREVER) -> None:
        """`timeout`: microseconds without a heartbeat to any node after which a server counts as gone."""
        self._timeout = timeout
        self._entries: dict[str, ServerEntry] = {}  # ordered by `version`
        self._in_touch_since: int | None = None
        self._settled = False
        self._expiry_check_at = FOREVER  # time before which no server can time out
        self._suspect_check_at = FOREVER  # time before which no server can become suspect
        self._cleanup_check_at = FOREVER  # time before which no entry is due for removal
        self._removed_version = 0  # the highest version among removed entries
        self._local_changes: dict[str, None] = {}
        self._local_heard: dict[str, None] = {}
        self.version = 0

    def heartbeat(self, now: int, record: ServerRecord) -> bool:
        """Merge a heartbeat that this node received; True if it changed anything that peers have to know."""
        entry = self._entry(record.id, heard_at=now)
        if entry.deregistered or record.seq < entry.record_seq:
            return False
        changed = entry.merge(now, record)
        entry.note_heartbeat(record.seq, now)
        if changed:
            self._mark_changed_locally(entry)
        else:
            self._local_heard[record.id] = None
        return changed

    def deregister(self, now: int, server_id: str) -> bool:
        """Record that a server deregistered; False if it was already recorded as deregistered."""
        entry = self._entry(server_id, heard_at=now)
        if entry.deregistered:
            return False
        entry.merge(now, ServerRecord(server_id, "", "", "", 0, ServerState.GONE, entry.record_seq))
        self._mark_changed_locally(entry)
        return True

    def merge(
        self, now: int, records: Iterable[ServerRecord], ages: Mapping[str, int] | None = None
    ) -> tuple[ServerRecord, ...]:
        """Merge records of another node; return the records that changed here, as they are now.

        `ages`: microseconds since that node last knew the server to be alive, by id. If a received record
        says that a server timed out, but this node has newer heartbeats of the server, its entry counts as
        changed: the nodes that accepted the timeout have to be corrected.
        """
        ages = ages or {}
        changed = [entry for record in records if (entry := self._merge(now, record, ages.get(record.id, 0)))]
        return tuple(entry.record(now) for entry in changed if entry.known)

    def merge_heartbeats(self, now: int, heard: Iterable[HeardServer]) -> tuple[str, ...]:
        """Merge heartbeats that another node received; return the ids whose record is not known here."""
        return tuple(one.id for one in heard if not self._merge_heartbeat(now, one))

    def expire(self, now: int, in_touch: bool = True) -> tuple[ServerRecord, ...]:
        """Mark servers without heartbeats as timed out, return their records, and remove old tombstones.

        `in_touch`: this node receives its peers' messages, so a heartbeat missing here is missing everywhere.
        Servers time out only after `in_touch` was True for `SETTLE_TIME`; an announced end always counts.
        """
        self._update_settled(now, in_touch)
        expired = self._take_expired(now)
        for entry in expired:
            entry.expire(now)
            self._mark_changed_locally(entry)
        self._remove_old_entries(now)
        return tuple(entry.record(now) for entry in expired)

    def take_suspects(self, now: int) -> tuple[str, ...]:
        """Return servers that are about to time out, once each; a peer may have received their heartbeats."""
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
        """Shift times by the `gap` microseconds of a pause of this process, so that no server times out."""
        for entry in self._entries.values():
            entry.heard_at = min(now, entry.heard_at + gap)
        self._in_touch_since = None

    def remove(self, server_id: str) -> bool:
        """Remove a server without propagating its end; False if it was not known."""
        entry = self._entries.pop(server_id, None)
        if entry is None:
            return False
        self._removed_version = max(self._removed_version, entry.version)
        return True

    def records(self, now: int) -> tuple[ServerRecord, ...]:
        """Return all records, tombstones included, with `cold_for` and `remaining` as of `now`."""
        return tuple(entry.record(now) for entry in self._entries.values() if entry.known)

    def alive(self, now: int) -> tuple[ServerRecord, ...]:
        """Return the READY and the DRAINING servers."""
        return tuple(entry.record(now) for entry in self._entries.values() if entry.known and not entry.gone)

    def get(self, now: int, server_id: str) -> ServerRecord | None:
        """Return the record of one server; None if it is not known."""
        entry = self._entries.get(server_id)
        return entry.record(now) if entry is not None and entry.known else None

    def cold_until(self, server_id: str) -> int:
        """When a server turns warm, on this host's clock in microseconds; 0: it was not reported cold."""
        entry = self._entries.get(server_id)
        return NEVER if entry is None else entry.cold_until

    def ends_at(self, server_id: str) -> int:
        """The announced end of a server, on this host's clock in microseconds; 0: none was announced."""
        entry = self._entries.get(server_id)
        return NEVER if entry is None else entry.ends_at

    def has_deregistered(self, server_id: str) -> bool:
        """Whether a server has deregistered, and not just timed out."""
        entry = self._entries.get(server_id)
        return entry is not None and entry.deregistered

    def age(self, now: int, server_id: str) -> int:
        """Microseconds since the last known heartbeat of a server to any node; 0 for an unknown server."""
        entry = self._entries.get(server_id)
        return 0 if entry is None else max(0, now - entry.heard_at)

    def latest_heartbeat(self, now: int, server_id: str) -> HeardServer | None:
        """Return the newest heartbeat of a server, in the form sent to peers."""
        entry = self._entries.get(server_id)
        if entry is None or entry.last_record is None:
            return None
        return HeardServer(server_id, entry.record_seq, max(0, now - entry.heard_at), entry.changed_seq)

    def changed_since(self, now: int, version: int) -> tuple[ServerRecord, ...] | None:
        """Return what changed after `version`; None if that is no longer known and a full list is needed."""
        if version < self._removed_version:
            return None
        changed = []
        for entry in reversed(self._entries.values()):
            if entry.version <= version:
                break
            if entry.known:
                changed.append(entry.record(now))
        return tuple(changed)

    def newer_records(self, now: int, records: Iterable[ServerRecord]) -> tuple[ServerRecord, ...]:
        """Return the records known here that are newer than those another node sent."""
        entries = ((self._entries.get(record.id), record) for record in records)
        return tuple(
            entry.record(now)
            for entry, record in entries
            if entry is not None and entry.known and _supersedes(entry, record)
        )

    def take_local_updates(self) -> LocalUpdates:
        """Return what this node received from servers itself since the last call."""
        updates = LocalUpdates(
            changed=tuple(self._local_changes),
            heartbeats=tuple(one for one in self._local_heard if one not in self._local_changes),
        )
        self._local_changes.clear()
        self._local_heard.clear()
        return updates

    def _entry(self, server_id: str, heard_at: int) -> ServerEntry:
        entry = self._entries.get(server_id)
        if entry is None:
            entry = ServerEntry(server_id, heard_at)
            self._mark_changed(entry)
        return entry

    def _mark_changed(self, entry: ServerEntry) -> None:
        self._entries.pop(entry.id, None)
        self.version += 1
        entry.version = self.version
        self._entries[entry.id] = entry
        self._expiry_check_at = min(self._expiry_check_at, self._expires_after(entry, settled=True))
        self._suspect_check_at = min(self._suspect_check_at, self._suspect_after(entry))
        self._cleanup_check_at = min(self._cleanup_check_at, _removed_after(entry))

    def _mark_changed_locally(self, entry: ServerEntry) -> None:
        self._mark_changed(entry)
        self._local_changes[entry.id] = None

    def _merge(self, now: int, record: ServerRecord, age: int) -> ServerEntry | None:
        """Merge one record; return its entry if it changed."""
        if record.id not in self._entries and record.state is not ServerState.GONE and age > self._timeout:
            return None  # the server timed out before this node knew of it
        entry = self._entry(record.id, heard_at=now - age)
        changed = entry.merge(now, record)
        if record.state is not ServerState.GONE:
            entry.note_heartbeat(record.seq, now - age)
        refuted = record.state is ServerState.GONE and not entry.gone
        if not (changed or refuted):
            return None
        self._mark_changed(entry)
        return entry

    def _merge_heartbeat(self, now: int, heard: HeardServer) -> bool:
        """Merge one heartbeat that a peer received; False if its record is not known here."""
        entry = self._entries.get(heard.id)
        if entry is None:
            return False
        if entry.deregistered:
            return True
        was_gone = entry.gone
        entry.note_heartbeat(heard.seq, now - heard.age)
        confirmed = entry.confirm(heard)
        if confirmed and was_gone and not entry.gone:
            self._mark_changed(entry)
        return confirmed

    def _update_settled(self, now: int, in_touch: bool) -> None:
        if not in_touch:
            self._in_touch_since = None
        elif self._in_touch_since is None:
            self._in_touch_since = now
        settled = self._in_touch_since is not None and now - self._in_touch_since >= SETTLE_TIME
        if settled and not self._settled:
            self._expiry_check_at = now
        self._settled = settled

    def _take_expired(self, now: int) -> list[ServerEntry]:
        """Return the servers that have timed out; scans all entries only if one may have."""
        if now < self._expiry_check_at:
            return []
        expiries = [(self._expires_after(entry, self._settled), entry) for entry in self._entries.values()]
        self._expiry_check_at = min((after for after, _ in expiries if after >= now), default=FOREVER)
        return [entry for after, entry in expiries if now > after]

    def _expires_after(self, entry: ServerEntry, settled: bool) -> int:
        """The time after which a server without a further heartbeat counts as gone."""
        if entry.last_record is None or entry.gone:
            return FOREVER
        times_out_at = entry.heard_at + self._timeout if settled else FOREVER
        if entry.ends_at == NEVER or entry.heard_at >= entry.ends_at:
            return times_out_at
        return min(times_out_at, entry.ends_at + END_SLACK)

    def _suspect_after(self, entry: ServerEntry) -> int:
        """The time after which peers are asked about a server without a further heartbeat."""
        if entry.last_record is None or entry.gone or entry.suspected:
            return FOREVER
        return entry.heard_at + self._timeout - SUSPECT_LEAD

    def _remove_old_entries(self, now: int) -> None:
        if now < self._cleanup_check_at:
            return
        old = [entry.id for entry in self._entries.values() if now > _removed_after(entry)]
        for server_id in old:
            self.remove(server_id)
        self._cleanup_check_at = min(map(_removed_after, self._entries.values()), default=FOREVER)


def _removed_after(entry: ServerEntry) -> int:
    """The time after which the entry of a server is removed."""
    if entry.gone:
        return entry.gone_at + TOMBSTONE_LIFETIME
    return FOREVER if entry.known else entry.heard_at + TOMBSTONE_LIFETIME


def _supersedes(entry: ServerEntry, record: ServerRecord) -> bool:
    """Whether this node's entry is newer than a record that another node sent."""
    if record.state is ServerState.GONE:
        return not entry.gone or (entry.deregistered and record.expired)
    if entry.gone or entry.last_record is None:
        return entry.gone
    return entry.last_record.seq > record.seq and not same_content(entry.last_record, record)
