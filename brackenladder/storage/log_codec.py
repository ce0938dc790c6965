"""Encoding of the members and snapshots of the replicated log (msgpack).

An object is an array of its fields. Fields may be added at the end: a reader fills missing ones with their
defaults and ignores extra ones, so that two program versions can read each other's logs.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgpack
from attrs import fields, frozen
from returns.result import Failure, Result, Success

from brackenladder.consensus.types import Member, Members, Snapshot

T = TypeVar("T")

MEMBER_FIELDS = len(fields(Member))
MEMBERS_FIELDS = len(fields(Members))
SNAPSHOT_FIELDS = len(fields(Snapshot))


@frozen
class LogCodecError:
    """The bytes do not encode a value of the requested type."""

    detail: str


class _Malformed(Exception):
    """Aborts decoding; it is always caught in this module."""


def encode_members(members: Members) -> bytes:
    """Encodes the data of an entry of kind `EntryKind.MEMBERS`."""
    return _pack(_members_row(members))


def decode_members(data: bytes) -> Result[Members, LogCodecError]:
    """Decodes the output of `encode_members`."""
    return _decode("members", _read_members, data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot, including its members and its data."""
    return _pack([snapshot.index, snapshot.term, _members_row(snapshot.members), snapshot.data])


def decode_snapshot(data: bytes) -> Result[Snapshot, LogCodecError]:
    """Decodes the output of `encode_snapshot`."""
    return _decode("snapshot", _read_snapshot, data)


def _decode(name: str, read: Callable[[Any], T], data: bytes) -> Result[T, LogCodecError]:
    try:
        return Success(read(_unpack(data)))
    except _Malformed as error:
        return Failure(LogCodecError(f"{name}: {error}"))


def _pack(value: object) -> bytes:
    packed: bytes = msgpack.packb(value, use_bin_type=True)
    return packed


def _unpack(data: bytes) -> Any:
    try:
        return msgpack.unpackb(data, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise _Malformed(str(error) or type(error).__name__) from None


def _member_row(member: Member) -> list[str]:
    return [member.replica_id, member.address, member.zone, member.region]


def _members_row(members: Members) -> list[list[list[str]]]:
    return [[_member_row(member) for member in group] for group in _groups(members)]


def _groups(members: Members) -> tuple[tuple[Member, ...], ...]:
    return members.voters, members.outgoing, members.learners


def _array(value: Any, least: int, name: str) -> Sequence[Any]:
    if not isinstance(value, list) or len(value) < least:
        raise _Malformed(f"{name} is not an array of at least {least} fields")
    return value


def _read_member(value: Any) -> Member:
    row = _array(value, 2, "member")[:MEMBER_FIELDS]
    if not all(isinstance(text, str) for text in row):
        raise _Malformed("a field of a member is not a string")
    return Member(*row)


def _read_members(value: Any) -> Members:
    row = _array(value, 0, "members")[:MEMBERS_FIELDS]
    groups = [tuple(_read_member(member) for member in _array(group, 0, "group")) for group in row]
    return Members(*groups)


def _read_snapshot(value: Any) -> Snapshot:
    index, term, members, data = _array(value, SNAPSHOT_FIELDS, "snapshot")[:SNAPSHOT_FIELDS]
    if type(index) is not int or type(term) is not int or not isinstance(data, bytes):
        raise _Malformed("a field of a snapshot has the wrong type")
    return Snapshot(index, term, _read_members(members), data)
