"""Safety properties that must hold across all replicas under any faults."""

from __future__ import annotations

from zlib import crc32

from attrs import frozen

from brackenladder.consensus.members import GENESIS_INDEX
from brackenladder.consensus.types import Entry, Snapshot


class Violation(AssertionError):
    """A safety property is violated."""


@frozen
class Committed:
    """An entry that some replica has committed, with a digest of the log up to it."""

    term: int
    data: bytes
    digest: int


def digest_after(digest: int, entry: Entry) -> int:
    """The digest of a log with digest `digest` after appending `entry`."""
    return crc32(entry.data, crc32(b"%d,%d" % (entry.term, entry.kind), digest))


def state_of(digest: int) -> bytes:
    """The snapshot data of a state machine whose log has this digest."""
    return b"%d" % digest


class Checker:
    """Records every leader, every committed entry and everything that clients were told."""

    def __init__(self) -> None:
        self._leaders: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._log: list[Committed] = [Committed(0, b"", 0)] * (GENESIS_INDEX + 1)
        self.floor = GENESIS_INDEX  # the newest index that a client has observed
        self.newest_term = 0
        self.acknowledged = 0
        self.reads = 0

    @property
    def last_index(self) -> int:
        """The newest committed entry."""
        return len(self._log) - 1

    def leads(self, term: int, replica_id: str) -> None:
        """Checks that each term has at most one leader."""
        leader = self._leaders.setdefault(term, replica_id)
        if leader != replica_id:
            raise Violation(f"{leader} and {replica_id} both lead in term {term}")
        self.newest_term = max(self.newest_term, term)

    def votes(self, voter: str, term: int, candidate: str) -> None:
        """Checks that each replica sends at most one vote per term."""
        chosen = self._votes.setdefault((voter, term), candidate)
        if chosen != candidate:
            raise Violation(f"{voter} votes for {chosen} and {candidate} in term {term}")

    def leader_of_newest_term(self) -> str:
        """The replica id of the leader of the newest term."""
        return self._leaders.get(self.newest_term, "")

    def committed(self, applied: int, entry: Entry) -> int:
        """Checks an entry committed by a replica that has applied up to `applied`.

        Returns the digest of the log after the entry.
        """
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
        """Checks a snapshot that a replica restores."""
        if snapshot.index >= len(self._log):
            raise Violation(f"a snapshot at {snapshot.index} holds what is not committed")
        if snapshot.data != state_of(self._log[snapshot.index].digest):
            raise Violation(f"a snapshot at {snapshot.index} holds another state")

    def acknowledge(self, index: int, floor: int) -> None:
        """Checks a command's acknowledgement; `floor`: the newest observed index when it was sent."""
        if index <= floor:
            raise Violation(f"a command at {index} was sent after {floor} was known")
        self.floor = max(self.floor, index)
        self.acknowledged += 1

    def answer(self, index: int, applied: int, floor: int) -> None:
        """Checks a read of the state after `applied`; `floor`: the newest observed index at its start."""
        if index < floor:
            raise Violation(f"a read at {index} was asked after {floor} was known")
        if index > applied:
            raise Violation(f"a read at {index} is ready, and only {applied} is committed there")
        self.floor = max(self.floor, applied)
        self.reads += 1
