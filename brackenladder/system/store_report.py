"""Summary of a store: its identity, votes, members and entries, and the state after replaying its log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.catalog.catalog import Catalog, SnapshotError
from brackenladder.catalog.orders import OrderDecodeError, decode_order
from brackenladder.consensus.command_parts import CommandAssembler
from brackenladder.consensus.members import decode_members
from brackenladder.consensus.types import DurableState, EntryKind, Member, Members
from brackenladder.storage.log_store import StoreError
from brackenladder.storage.sqlite_log import SqliteLogStore


@frozen
class StoreReport:
    """The content of a store as `store inspect` prints it.

    It includes the newest entries although they may not be committed: only a majority can commit them.
    """

    replica_id: str
    format: int
    term: int
    voted_for: str
    snapshot_index: int  # index of the last log entry in the snapshot; 0 if there is none
    snapshot_bytes: int
    first_index: int
    last_index: int
    entries: dict[str, int]  # number of log entries by kind
    entry_bytes: int
    members: Members
    revision: int
    configuration_version: int  # 0 if there is no configuration
    configuration: bytes
    evacuated_zones: tuple[str, ...]

    def document(self) -> dict[str, Any]:
        """Returns the object that `--json` prints."""
        return {
            "ReplicaId": self.replica_id,
            "Format": self.format,
            "Term": self.term,
            "VotedFor": self.voted_for,
            "SnapshotIndex": self.snapshot_index,
            "SnapshotBytes": self.snapshot_bytes,
            "FirstIndex": self.first_index,
            "LastIndex": self.last_index,
            "Entries": self.entries,
            "EntryBytes": self.entry_bytes,
            "Voters": _addresses(self.members.voters),
            "Outgoing": _addresses(self.members.outgoing),
            "Learners": _addresses(self.members.learners),
            "Revision": self.revision,
            "ConfigurationVersion": self.configuration_version,
            "EvacuatedZones": list(self.evacuated_zones),
        }

    def lines(self) -> list[str]:
        """Returns the lines that are printed without `--json`."""
        kinds = ", ".join(f"{count} {kind}" for kind, count in self.entries.items()) or "none"
        snapshot = f"at {self.snapshot_index}, {self.snapshot_bytes} bytes" if self.snapshot_index else "none"
        return [
            f"replica       {self.replica_id} (format {self.format})",
            f"term          {self.term}, voted for {self.voted_for or 'nobody'}",
            f"snapshot      {snapshot}",
            f"entries       {self.first_index} to {self.last_index}: {kinds}, {self.entry_bytes} bytes",
            f"voters        {', '.join(_addresses(self.members.voters)) or 'none'}",
            f"outgoing      {', '.join(_addresses(self.members.outgoing)) or 'none'}",
            f"learners      {', '.join(_addresses(self.members.learners)) or 'none'}",
            f"configuration version {self.configuration_version} (revision {self.revision})",
            f"evacuated     {', '.join(self.evacuated_zones) or 'none'}",
        ]


def read_report(store: SqliteLogStore, name: str) -> Result[StoreReport, str]:
    """Reports the content of a store, or its first fault. `name` stands for the file in the error text."""
    loaded: Result[DurableState, StoreError] = store.load()
    if isinstance(loaded, Failure):
        return Failure(str(loaded.failure()).replace(store.path, name))
    state = loaded.unwrap()
    catalog = Catalog()
    try:
        members = _replay(catalog, state)
    except (SnapshotError, OrderDecodeError, ValueError) as error:
        return Failure(f"{type(error).__name__}: {name}: {error}")
    base = state.snapshot.index if state.snapshot else 0
    return Success(
        StoreReport(
            replica_id=store.identity.replica_id,
            format=store.identity.format,
            term=state.hard_state.term,
            voted_for=state.hard_state.voted_for,
            snapshot_index=base,
            snapshot_bytes=len(state.snapshot.data) if state.snapshot else 0,
            first_index=base + 1,
            last_index=base + len(state.entries),
            entries=dict(sorted(Counter(entry.kind.name.lower() for entry in state.entries).items())),
            entry_bytes=sum(len(entry.data) for entry in state.entries),
            members=members,
            revision=catalog.revision,
            configuration_version=catalog.configuration.version if catalog.configuration else 0,
            configuration=catalog.document,
            evacuated_zones=tuple(sorted(catalog.evacuated)),
        )
    )


def _replay(catalog: Catalog, state: DurableState) -> Members:
    """Applies snapshot and log to the catalog and returns the newest members."""
    members = Members()
    if state.snapshot is not None:
        members = state.snapshot.members
        if state.snapshot.data:
            catalog.restore(state.snapshot.data)
    assembler = CommandAssembler()
    for entry in state.entries:
        if entry.kind is EntryKind.MEMBERS:
            members = decode_members(entry.data)
        command = assembler.take(entry)
        if command is not None:
            decode_order(command)  # raises for an unknown command, which `apply` would only count as invalid
            catalog.apply(entry.index, command)
    return members


def _addresses(members: Iterable[Member]) -> list[str]:
    return [f"{member.address} ({member.replica_id})" for member in members]
