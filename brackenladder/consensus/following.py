"""The follower's side of replication: accepting the leader's entries and snapshots, and replying."""

from __future__ import annotations

from brackenladder.consensus.core import Core
from brackenladder.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)


def refuse_append(core: Core, now: int, request: AppendEntries) -> None:
    """Refuses the entries of a leader of an older term; the reply tells it the newer term."""
    reply = AppendReply(
        core.replica_id, request.sender, core.term, False, request.round, request.prev_index, sent_at=now
    )
    core.send_once_durable(request.sender, reply, core.writes.pending_hard_token)


def on_append(core: Core, now: int, request: AppendEntries) -> None:
    """Accepts the leader's entries if the entry before them matches the local log."""
    known = request.prev_index <= core.commit_index  # committed entries always match the leader's
    if not known and not core.log.holds(request.prev_index, request.prev_term):
        _refuse(core, now, request)
        return
    _append_entries(core, request)
    received = request.prev_index + len(request.entries)
    core.advance_commit(min(request.commit, received))
    _accept(core, now, request, received)


def _append_entries(core: Core, request: AppendEntries) -> None:
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
        # This reply doesn't wait for entries to become durable, so that a heartbeat is answered even while
        # the store hangs.
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
    """Accepts a chunk of the leader's snapshot unless the local log already covers it."""
    index, term = request.snapshot.index, request.snapshot.term
    if index > core.commit_index and core.log.holds(index, term):
        core.advance_commit(index)
    if index <= core.commit_index:
        _confirm_snapshot(core, request)
        return
    snapshot = core.snapshot_receiver.take(request)
    if snapshot is None:
        _report_received(core, request)
        return
    core.snapshot_receiver.reset()
    core.install(snapshot)
    _confirm_snapshot(core, request)


def _confirm_snapshot(core: Core, request: InstallSnapshot) -> None:
    match = request.snapshot.index
    token = core.writes.pending_token if match > core.log.durable_index else core.writes.pending_hard_token
    reply = InstallSnapshotReply(core.replica_id, request.sender, core.term, match)
    core.send_once_durable(request.sender, reply, token)


def _report_received(core: Core, request: InstallSnapshot) -> None:
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
