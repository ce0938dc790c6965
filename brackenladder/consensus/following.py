"""A follower's part in replication: what it takes of its leader's log, and its answers."""

from __future__ import annotations

from brackenladder.consensus.core import Core
from brackenladder.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)


def refuse_append(core: Core, request: AppendEntries) -> None:
    """Tell the leader of an older term that its time is over."""
    reply = AppendReply(core.replica_id, request.sender, core.term, False, request.round, request.prev_index)
    core.send_once_durable(request.sender, reply, core.writes.pending_hard_token)


def on_append(core: Core, request: AppendEntries) -> None:
    """Take the leader's entries, if they follow what is here."""
    known = request.prev_index <= core.commit_index  # committed entries are equal to the leader's
    if not known and not core.log.holds(request.prev_index, request.prev_term):
        _refuse(core, request)
        return
    _take_entries(core, request)
    received = request.prev_index + len(request.entries)
    core.advance_commit(min(request.commit, received))
    _accept(core, request, received)


def _take_entries(core: Core, request: AppendEntries) -> None:
    for entry in request.entries:
        if entry.index <= core.commit_index or core.log.holds(entry.index, entry.term):
            continue
        if entry.index <= core.log.last_index:
            core.truncate(entry.index)
        core.append(entry)


def _accept(core: Core, request: AppendEntries, received: int) -> None:
    durable = core.log.durable_index
    if request.entries and received > durable:
        match = received
        token = core.writes.pending_token
    else:
        # A heartbeat is answered at once, also while the store hangs.
        match = min(received, durable)
        token = core.writes.pending_hard_token
    reply = AppendReply(
        core.replica_id, request.sender, core.term, True, request.round, request.prev_index, match, received
    )
    core.send_once_durable(request.sender, reply, token)


def _refuse(core: Core, request: AppendEntries) -> None:
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
    )
    core.send_once_durable(request.sender, reply, core.writes.pending_hard_token)


def on_snapshot(core: Core, request: InstallSnapshot) -> None:
    """Take the leader's snapshot, unless what is here goes as far."""
    snapshot = request.snapshot
    if snapshot.index > core.commit_index:
        if core.log.holds(snapshot.index, snapshot.term):
            core.advance_commit(snapshot.index)
        else:
            core.install(snapshot)
    match = snapshot.index
    token = core.writes.pending_token if match > core.log.durable_index else core.writes.pending_hard_token
    reply = InstallSnapshotReply(core.replica_id, request.sender, core.term, match)
    core.send_once_durable(request.sender, reply, token)
