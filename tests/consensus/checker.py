"""What must hold of all replicas together, whatever happens to them."""

from __future__ import annotations

from zlib import crc32

from attrs import frozen

from brackenladder.consensus.members import GENESIS_INDEX
from brackenladder.consensus.types import Entry, Snapshot


class Violation(AssertionError):
    """Something that must hold does not."""


@frozen
class Committed:
    """An entry that some replica has committed, and a digest of the log up to it."""

    term: int
    data: bytes
    digest: int


def digest_after(digest: int, entry: Entry) -> int:
    """The digest of a log that `entry` follows."""
    return crc32(entry.data, crc32(b"%d,%d" % (entry.term, entry.kind), digest))


def state_of(digest: int) -> bytes:
    """The state machine's state as a snapshot holds it."""
    return b"%d" % digest


class Checker:
    """Knows every leader, every committed entry, and what clients have been told."""

    def __init__(self) -> None:
        self._leaders: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._log: list[Committed] = [Committed(0, b"", 0)] * (GENESIS_INDEX + 1)
        self.floor = GENESIS_INDEX  # the newest index that a client has been told of
        self.newest_term = 0
        self.acknowledged = 0
        self.reads = 0

    @property
    def last_index(self) -> int:
        """The newest committed entry."""
        return len(self._log) - 1

    def leads(self, term: int, replica_id: str) -> None:
        """One leader a term."""
        leader = self._leaders.setdefault(term, replica_id)
        if leader != replica_id:
            raise Violation(f"{leader} and {replica_id} both lead in term {term}")
        self.newest_term = max(self.newest_term, term)

    def votes(self, voter: str, term: int, candidate: str) -> None:
        """A replica tells its vote: one a term."""
        chosen = self._votes.setdefault((voter, term), candidate)
        if chosen != candidate:
            raise Violation(f"{voter} votes for {chosen} and {candidate} in term {term}")

    def leader_of_newest_term(self) -> str:
        """Who has led in the newest term."""
        return self._leaders.get(self.newest_term, "")

    def committed(self, applied: int, entry: Entry) -> int:
        """A replica that has applied up to `applied` commits the next entry; the digest after it."""
        if entry.index != applied + 1:
            raise Violation(f"entry {entry.index} is committed after {applied}")
        if entry.index < len(self._log):
            known = self._log[entry.index]
            if known.term != entry.term or known.data != entry.data:
                raise Violation(f"two entries are committed at {entry.index}")
            return known.digest
        digest = digest_after(self._log[-1].digest, entry)
        self._log.append(Committed(entry.term, entry.data, digest))
        return digest

    def restored(self, snapshot: Snapshot) -> None:
        """A replica takes a snapshot."""
        if snapshot.index >= len(self._log):
            raise Violation(f"a snapshot at {snapshot.index} holds what is not committed")
        if snapshot.data != state_of(self._log[snapshot.index].digest):
            raise Violation(f"a snapshot at {snapshot.index} holds another state")

    def acknowledge(self, index: int, floor: int) -> None:
        """A client learns that its command is accepted; it was sent when `floor` was known."""
        if index <= floor:
            raise Violation(f"a command at {index} was sent after {floor} was known")
        self.floor = max(self.floor, index)
        self.acknowledged += 1

    def answer(self, index: int, applied: int, floor: int) -> None:
        """A client reads the state after `applied`; it asked when `floor` was known."""
        if index < floor:
            raise Violation(f"a read at {index} was asked after {floor} was known")
        if index > applied:
            raise Violation(f"a read at {index} is ready, and only {applied} is committed there")
        self.floor = max(self.floor, applied)
        self.reads += 1
