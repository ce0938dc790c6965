"""All that one node knows of one server, and the rule by which two nodes' knowledge is merged."""

from __future__ import annotations

from attrs import define, evolve

from brackenladder.registry.records import HeardServer, ServerRecord, ServerState, states_the_same

NO_SEQ = -1  # below every seq that a server sends
NEVER = 0  # a moment that was not told
COLD_LATER = 50_000  # microseconds: a cold time that ends later by more is a change
COLD_EARLIER = 500_000  # microseconds: one that ends earlier by more is a change
END_TOLERANCE = 300_000  # microseconds: an announced end that moves by more is a change


@define
class ServerEntry:
    """The newest statement of a server, the evidence of its life and of its end.

    Each part only rises (highest seq of a statement, of a heartbeat heard, of a silence; deregistered or
    not), so the result of merging does not depend on the order in which records come.
    """

    id: str
    heard_at: int  # when this node, or a peer by its word, last heard the server
    statement: ServerRecord | None = None  # without `cold_for` and `remaining`; None: only its end is known
    changed_seq: int = NO_SEQ  # the lowest seq known to have stated the same
    heard_seq: int = NO_SEQ
    cold_until: int = NEVER
    ends_at: int = NEVER
    expired_seq: int = NO_SEQ  # silent after this seq
    deregistered: bool = False
    gone_at: int = NEVER  # when this node learned of its end
    suspected_at: int = NEVER  # the `heard_at` after which peers were asked whether they have heard it since
    version: int = 0  # of the registry, at the last change that is worth telling

    @property
    def stated_seq(self) -> int:
        """The seq of the newest statement known here."""
        return NO_SEQ if self.statement is None else self.statement.seq

    @property
    def gone(self) -> bool:
        """Whether the server has ended, as far as is known here."""
        if self.deregistered:
            return True
        return self.expired_seq != NO_SEQ and self.expired_seq >= max(self.stated_seq, self.heard_seq)

    @property
    def suspected(self) -> bool:
        """Whether peers were asked about the server since it was last heard."""
        return self.suspected_at == self.heard_at and not self.gone

    @property
    def known(self) -> bool:
        """Whether there is anything to tell: a statement or an end."""
        return self.statement is not None or self.gone

    def merge(self, now: int, record: ServerRecord) -> bool:
        """Take in a record; whether anything changed that is worth telling."""
        if record.state is not ServerState.GONE:
            return self._merge_statement(now, record)
        was_gone = self.gone
        if record.expired:
            self.expired_seq = max(self.expired_seq, record.seq)
        else:
            self.deregistered = True
        self._note_end(now, was_gone)
        return self.gone != was_gone

    def hear(self, seq: int, heard_at: int) -> None:
        """Take in a heartbeat's evidence."""
        if seq >= self.heard_seq:
            self.heard_seq = seq
            self.heard_at = max(self.heard_at, heard_at)

    def confirm(self, heard: HeardServer) -> bool:
        """Take a peer's word that a statement still holds; False if that statement is not known here."""
        if self.statement is None or self.statement.seq < heard.changed_seq:
            return False
        if heard.seq > self.statement.seq:
            self.statement = evolve(self.statement, seq=heard.seq)
        return True

    def expire(self, now: int) -> None:
        """End the server by its silence: only a heartbeat that nobody has heard yet revives it."""
        self.expired_seq = max(self.stated_seq, self.heard_seq)
        self._note_end(now, was_gone=False)

    def record(self, now: int) -> ServerRecord:
        """What is told of the server at `now`."""
        if self.gone:
            return self._tombstone()
        assert self.statement is not None
        cold_for = max(0, self.cold_until - now)
        remaining = max(0, self.ends_at - now) if self.ends_at != NEVER else -1
        if not cold_for and remaining < 0:
            return self.statement
        return evolve(self.statement, cold_for=cold_for, remaining=remaining)

    def _tombstone(self) -> ServerRecord:
        base = self.statement or ServerRecord(self.id, "", "", "", 0, ServerState.GONE, 0)
        seq = base.seq if self.deregistered else self.expired_seq
        return evolve(base, state=ServerState.GONE, seq=seq, expired=not self.deregistered)

    def _note_end(self, now: int, was_gone: bool) -> None:
        if self.gone and not was_gone:
            self.gone_at = now

    def _merge_statement(self, now: int, record: ServerRecord) -> bool:
        known = self.statement
        if known is not None and (record.seq, record.state) < (known.seq, known.state):
            return False
        was_gone = self.gone
        passes = record.cold_for or record.remaining >= 0
        bare = evolve(record, cold_for=0, remaining=-1) if passes else record
        same = known is not None and states_the_same(known, bare)
        repeated = known is not None and known.seq == bare.seq
        moved = self._merge_times(now, record, repeated)
        self.statement = bare
        self.changed_seq = self.changed_seq if same and not moved else bare.seq
        self.heard_seq = max(self.heard_seq, bare.seq)
        return (was_gone or not same or moved) and not self.gone

    def _merge_times(self, now: int, record: ServerRecord, repeated: bool) -> bool:
        """Take in when the server turns warm and when it ends; whether either moved by more than jitter.

        Of two tellings of one statement the later moments hold, whatever their order.
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


def _cold_moved(now: int, known: int, told: int) -> bool:
    if known <= now and told <= now:
        return False
    return told > known + COLD_LATER or told < known - COLD_EARLIER


def _end_moved(known: int, told: int) -> bool:
    if known == NEVER or told == NEVER:
        return known != told
    return abs(known - told) > END_TOLERANCE
