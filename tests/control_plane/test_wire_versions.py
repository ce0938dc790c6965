"""Compatibility of the node-to-node protocol: messages of version 1 stay readable in both directions."""

from __future__ import annotations

import typing
from collections.abc import Iterator
from enum import IntEnum
from types import NoneType
from typing import Any
from unittest import TestCase

import attrs
import msgpack

from brackenladder.consensus.messages import MESSAGE_TYPES as CONSENSUS_TYPES
from brackenladder.control_plane.messages import MESSAGE_TYPES as CONTROL_TYPES
from brackenladder.control_plane.wire import (
    CONSENSUS_BLOCK,
    CONTROL_BLOCK,
    DELIVERY_BLOCK,
    control_codec,
    gateway_codec,
)
from brackenladder.delivery.messages import MESSAGE_TYPES as DELIVERY_TYPES

EXTRA_FIELDS = [1, "of a later version", None, [2, 3]]

# Version 1 as first released: required fields, then optional ones. A line must never be changed. New fields
# are added at the end, with a default.
MESSAGES = {
    1: "AppendEntries: sender to term prev_index prev_term commit round address | entries",
    2: "AppendReply: sender to term ok round prev_index | match received hint_index hint_term",
    3: "Vote: sender to term last_index last_term | pre_vote transfer",
    4: "VoteReply: sender to term granted | pre_vote",
    5: "InstallSnapshot: sender to term address snapshot |",
    6: "InstallSnapshotReply: sender to term match |",
    7: "TimeoutNow: sender to term |",
    8: "JoinRequest: member | forwarded",
    9: "JoinReply: accepted | leader",
    64: "Subscribe: node incarnation front_address zone region state seq | have_revision",
    65: "Ack: kind number | taken",
    66: "CatalogUpdate: revision document_revision | document compressed evacuated leader_contact_age",
    67: "CatalogChange: from_revision to_revision orders | leader_contact_age",
    68: "ServersUpdate: sequence full records | leader_contact_age first last",
    69: "Freshness: leader_contact_age |",
    70: "ControlNodes: revision addresses |",
    71: "GatewayCount: sequence number |",
    72: "ServersTold: records | heard",
    73: "ServersHeard: heard |",
    74: "ServersWanted: ids |",
    75: "GatewaysTold: gateways | settled",
    128: "Hello: replica_id address | zone region neighbours",
    129: "ForwardOrder: request order |",
    130: "OrderReply: request outcome | version faults",
    131: "ForwardRead: request revision |",
    132: "ReadReply: request confirmed | revision document",
}
PARTS = (
    "Member: replica_id address | zone region",
    "Members: | voters outgoing learners",
    "Entry: index term kind | data",
    "Snapshot: index term members data |",
    "ServerRecord: id service address zone slots state seq | software cold_for remaining models expired",
    "HeardServer: id seq age changed_seq |",
    "GatewayRecord: node front_address zone region state incarnation seq |",
    "HeardGateway: gateway age |",
)


def message_types() -> dict[int, type]:
    """All message types by tag."""
    blocks = (
        (CONSENSUS_BLOCK, CONSENSUS_TYPES),
        (DELIVERY_BLOCK, DELIVERY_TYPES),
        (CONTROL_BLOCK, CONTROL_TYPES),
    )
    return {first + offset: each for first, types in blocks for offset, each in enumerate(types)}


def sample(kind: Any) -> Any:
    """A value of a type, with fields that differ from their defaults where possible."""
    if attrs.has(kind):
        hints = typing.get_type_hints(kind)
        return kind(*(sample(hints[field.name]) for field in attrs.fields(kind)))
    arguments = [each for each in typing.get_args(kind) if each not in (NoneType, Ellipsis)]
    if typing.get_origin(kind) is tuple:
        return tuple(sample(each) for each in arguments)
    if arguments:
        return sample(arguments[0])
    if issubclass(kind, IntEnum):
        return list(kind)[-1]
    return {str: "text", int: 7, bool: True, bytes: b"data"}[kind]


def parts_of(value: Any) -> Iterator[type]:
    """The class of a message and the classes of all values nested in it."""
    if attrs.has(type(value)):
        yield type(value)
        for field in attrs.fields(type(value)):
            yield from parts_of(getattr(value, field.name))
    elif isinstance(value, tuple):
        for each in value:
            yield from parts_of(each)


def later_wire(value: Any) -> Any:
    """The encoding by a later version: with additional fields, also in nested values."""
    if attrs.has(type(value)):
        return [later_wire(getattr(value, field.name)) for field in attrs.fields(type(value))] + EXTRA_FIELDS
    return [later_wire(each) for each in value] if isinstance(value, tuple) else value


def with_defaults(value: Any) -> Any:
    """A value with all optional fields at their defaults, also in nested values."""
    if isinstance(value, tuple):
        return tuple(with_defaults(each) for each in value)
    if not attrs.has(type(value)):
        return value
    required = [field for field in attrs.fields(type(value)) if field.default is attrs.NOTHING]
    return type(value)(*(with_defaults(getattr(value, field.name)) for field in required))


def earlier_wire(value: Any) -> Any:
    """The encoding by an earlier version: only required fields, also in nested values."""
    if isinstance(value, tuple):
        return [earlier_wire(each) for each in value]
    if not attrs.has(type(value)):
        return value
    required = [field for field in attrs.fields(type(value)) if field.default is attrs.NOTHING]
    return [earlier_wire(getattr(value, field.name)) for field in required]


class LayoutTest(TestCase):
    def assert_layout(self, kind: type, line: str) -> None:
        name, _, fields = line.partition(":")
        required, _, optional = fields.partition("|")
        pinned = required.split() + optional.split()
        actual = attrs.fields(kind)
        self.assertEqual(kind.__name__, name)
        self.assertEqual([field.name for field in actual][: len(pinned)], pinned)
        without_default = [field.name for field in actual if field.default is attrs.NOTHING]
        self.assertEqual(without_default, required.split())

    def test_tags_and_fields_are_unchanged(self) -> None:
        types = message_types()
        for tag, line in MESSAGES.items():
            with self.subTest(line):
                self.assert_layout(types[tag], line)

    def test_fields_of_nested_values_are_unchanged(self) -> None:
        nested = {part.__name__: part for kind in message_types().values() for part in parts_of(sample(kind))}
        for line in PARTS:
            with self.subTest(line):
                self.assert_layout(nested[line.partition(":")[0]], line)


class OtherVersionsTest(TestCase):
    """Each message, as sent by the versions before and after this one."""

    def test_round_trip(self) -> None:
        codec = control_codec()
        for kind in message_types().values():
            with self.subTest(kind.__name__):
                message = sample(kind)
                self.assertEqual(codec.decode(codec.encode(message)), message)

    def test_additional_fields_of_a_later_version_are_ignored(self) -> None:
        codec = control_codec()
        for tag, kind in message_types().items():
            with self.subTest(kind.__name__):
                message = sample(kind)
                self.assertEqual(codec.decode(msgpack.packb([tag, *later_wire(message)])), message)

    def test_missing_fields_get_their_defaults(self) -> None:
        codec = control_codec()
        for tag, kind in message_types().items():
            with self.subTest(kind.__name__):
                message = sample(kind)
                data = msgpack.packb([tag, *earlier_wire(message)])
                self.assertEqual(codec.decode(data), with_defaults(message))

    def test_gateway_and_control_codecs_are_compatible(self) -> None:
        gateway, control = gateway_codec(), control_codec()
        for kind in DELIVERY_TYPES:
            with self.subTest(kind.__name__):
                message = sample(kind)
                self.assertEqual(control.decode(gateway.encode(message)), message)
                self.assertEqual(gateway.decode(control.encode(message)), message)
