"""The registry entry of one server, and the rules for merging entries of different nodes."""

from __future__ import annotations

from attrs import define, evolve

from brackenladder.registry.records import HeardServer, ServerRecord, ServerState, same_content

NO_SEQ = -1  # lower than any sequence number that a server sends
NEVER = 0  # stands for a point in time that is not known or was not announced
COLD_LATER = 50_000  # microseconds; if the cold period ends later by more than this, the record has changed
# Microseconds; if the cold period ends earlier by more than this, the record has changed.
COLD_EARLIER = 500_000
END_TOLERANCE = 300_000  # microseconds; if an announced end moves by more than this, the record has changed


@define
class ServerEntry:
    """The newest record of a server, its last heartbeat, and whether it has ended.

    Every part only increases: the highest sequence number (seq) of a record, of a heartbeat and of a timeout,
    and the deregistered flag. Merging therefore gives the same result in whatever order records arrive.
    """

    id: str
    heard_at: int  # when this node, or a peer that reported the time, last received a heartbeat of the server
    # The record without `cold_for` and `remaining`. None: all that is known is that the server has ended.
    last_record: ServerRecord | None = None
    changed_seq: int = NO_SEQ  # the lowest seq known to have reported the content of `last_record`
    heartbeat_seq: int = NO_SEQ
    cold_until: int = NEVER
    ends_at: int = NEVER
    expired_seq: int = NO_SEQ  # the highest seq known when the server timed out
    deregistered: bool = False
    gone_at: int = NEVER  # when this node learned that the server has ended
    suspected_at: int = NEVER  # the value of `heard_at` for which peers were last asked about the server
    version: int = 0  # the registry's version at the entry's last change that had to be propagated

    @property
    def record_seq(self) -> int:
        """The seq of the newest record known here."""
        return NO_SEQ if self.last_record is None else self.last_record.seq

    @property
    def gone(self) -> bool:
        """Whether this node considers the server ended."""
        if self.deregistered:
            return True
        return self.expired_seq != NO_SEQ and self.expired_seq >= max(self.record_seq, self.heartbeat_seq)

    @property
    def suspected(self) -> bool:
        """Whether peers were asked about the server since its last heartbeat."""
        return self.suspected_at == self.heard_at and not self.gone

    @property
    def known(self) -> bool:
        """Whether the server's record or its end is known; otherwise there is nothing to propagate."""
        return self.last_record is not None or self.gone

    def merge(self, now: int, record: ServerRecord) -> bool:
        """Merge a record; return whether anything changed that has to be propagated."""
        if record.state is not ServerState.GONE:
            return self._merge_record(now, record)
        was_gone = self.gone
        if record.expired:
            self.expired_seq = max(self.expired_seq, record.seq)
        else:
            self.deregistered = True
        self._note_end(now, was_gone)
        return self.gone != was_gone

    def note_heartbeat(self, seq: int, heard_at: int) -> None:
        """Note a heartbeat that this node or a peer received at `heard_at`."""
        if seq >= self.heartbeat_seq:
            self.heartbeat_seq = seq
            self.heard_at = max(self.heard_at, heard_at)

    def confirm(self, heard: HeardServer) -> bool:
        """Note that a heartbeat to a peer repeated the server's record; False if it is not known here."""
        if self.last_record is None or self.last_record.seq < heard.changed_seq:
            return False
        if heard.seq > self.last_record.seq:
            self.last_record = evolve(self.last_record, seq=heard.seq)
        return True

    def expire(self, now: int) -> None:
        """Mark the server as timed out; only a heartbeat that no node has received yet revives it."""
        self.expired_seq = max(self.record_seq, self.heartbeat_seq)
        self._note_end(now, was_gone=False)

    def record(self, now: int) -> ServerRecord:
        """Return the record to propagate, with `cold_for` and `remaining` as of `now`."""
        if self.gone:
            return self._tombstone()
        assert self.last_record is not None
        cold_for = max(0, self.cold_until - now)
        remaining = max(0, self.ends_at - now) if self.ends_at != NEVER else -1
        if not cold_for and remaining < 0:
            return self.last_record
        return evolve(self.last_record, cold_for=cold_for, remaining=remaining)

    def _tombstone(self) -> ServerRecord:
        base = self.last_record or ServerRecord(self.id, "", "", "", 0, ServerState.GONE, 0)
        seq = base.seq if self.deregistered else self.expired_seq
        return evolve(base, state=ServerState.GONE, seq=seq, expired=not self.deregistered)

    def _note_end(self, now: int, was_gone: bool) -> None:
        if self.gone and not was_gone:
            self.gone_at = now

    def _merge_record(self, now: int, record: ServerRecord) -> bool:
        known = self.last_record
        if known is not None and (record.seq, record.state) < (known.seq, known.state):
            return False
        was_gone = self.gone
        has_times = record.cold_for or record.remaining >= 0
        timeless = evolve(record, cold_for=0, remaining=-1) if has_times else record
        same = known is not None and same_content(known, timeless)
        repeated = known is not None and known.seq == timeless.seq
        moved = self._merge_times(now, record, repeated)
        self.last_record = timeless
        self.changed_seq = self.changed_seq if same and not moved else timeless.seq
        self.heartbeat_seq = max(self.heartbeat_seq, timeless.seq)
        return (was_gone or not same or moved) and not self.gone

    def _merge_times(self, now: int, record: ServerRecord, repeated: bool) -> bool:
        """Merge when the server turns warm and when it ends; True if either moved beyond its tolerance.

        If the same record arrives twice, the later times hold, whatever the order of arrival.
        """
        cold_until = now + record.cold_for if record.cold_for else NEVER
        ends_at = now + record.remaining if record.remaining >= 0 else NEVER
        if repeated:
            cold_until = max(cold_until, self.cold_until)
            ends_at = max(ends_at, self.ends_at)
        moved = _cold_moved(now, self.cold_until, cold_until) or _end_moved(self.ends_at, ends_at)
        if moved or cold_until > self.cold_until:
            self.cold_until = cold_until
        if moved:
            self.ends_at = ends_at
        return moved


def _cold_moved(now: int, known: int, received: int) -> bool:
    if known <= now and received <= now:
        return False
    return received > known + COLD_LATER or received < known - COLD_EARLIER


def _end_moved(known: int, received: int) -> bool:
    if known == NEVER or received == NEVER:
        return known != received
    return abs(known - received) > END_TOLERANCE
