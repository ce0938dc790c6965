"""A follower's part in replication: what it takes of its leader's log, and its answers."""

from __future__ import annotations

from brackenladder.consensus.core import Core
from brackenladder.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)


def refuse_append(core: Core, now: int, request: AppendEntries) -> None:
    """Tell the leader of an older term that its time is over."""
    reply = AppendReply(
        core.replica_id, request.sender, core.term, False, request.round, request.prev_index, sent_at=now
    )
    core.send_once_durable(request.sender, reply, core.writes.pending_hard_token)


def on_append(core: Core, now: int, request: AppendEntries) -> None:
    """Take the leader's entries, if they follow what is here."""
    known = request.prev_index <= core.commit_index  # committed entries are equal to the leader's
    if not known and not core.log.holds(request.prev_index, request.prev_term):
        _refuse(core, now, request)
        return
    _take_entries(core, request)
    received = request.prev_index + len(request.entries)
    core.advance_commit(min(request.commit, received))
    _accept(core, now, request, received)


def _take_entries(core: Core, request: AppendEntries) -> None:
    for entry in request.entries:
        if entry.index <= core.commit_index or core.log.holds(entry.index, entry.term):
            continue
        if entry.index <= core.log.last_index:
            core.truncate(entry.index)
        core.append(entry)


def _accept(core: Core, now: int, request: AppendEntries, received: int) -> None:
    durable = core.log.durable_index
    if request.entries and received > durable:
        match = received
        token = core.writes.pending_token
    else:
        # A heartbeat is answered at once, also while the store hangs.
        match = min(received, durable)
        token = core.writes.pending_hard_token
    reply = AppendReply(
        sender=core.replica_id,
        to=request.sender,
        term=core.term,
        ok=True,
        round=request.round,
        prev_index=request.prev_index,
        match=match,
        received=received,
        sent_at=now,
    )
    core.send_once_durable(request.sender, reply, token)


def _refuse(core: Core, now: int, request: AppendEntries) -> None:
    hint_index = core.log.agreement_below(request.prev_index, request.prev_term)
    reply = AppendReply(
        sender=core.replica_id,
        to=request.sender,
        term=core.term,
        ok=False,
        round=request.round,
        prev_index=request.prev_index,
        hint_index=hint_index,
        hint_term=core.log.term(hint_index) or 0,
        sent_at=now,
    )
    core.send_once_durable(request.sender, reply, core.writes.pending_hard_token)


def on_snapshot(core: Core, request: InstallSnapshot) -> None:
    """Take a chunk of the leader's snapshot, unless what is here goes as far."""
    index, term = request.snapshot.index, request.snapshot.term
    if index > core.commit_index and core.log.holds(index, term):
        core.advance_commit(index)
    if index <= core.commit_index:
        _confirm_snapshot(core, request)
        return
    snapshot = core.snapshot_receiver.take(request)
    if snapshot is None:
        _tell_received(core, request)
        return
    core.snapshot_receiver.forget()
    core.install(snapshot)
    _confirm_snapshot(core, request)


def _confirm_snapshot(core: Core, request: InstallSnapshot) -> None:
    match = request.snapshot.index
    token = core.writes.pending_token if match > core.log.durable_index else core.writes.pending_hard_token
    reply = InstallSnapshotReply(core.replica_id, request.sender, core.term, match)
    core.send_once_durable(request.sender, reply, token)


def _tell_received(core: Core, request: InstallSnapshot) -> None:
    index = request.snapshot.index
    reply = InstallSnapshotReply(
        sender=core.replica_id,
        to=request.sender,
        term=core.term,
        match=0,
        index=index,
        received=core.snapshot_receiver.received(index),
    )
    core.send_once_durable(request.sender, reply, core.writes.pending_hard_token)
