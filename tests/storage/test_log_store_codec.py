"""Encoding of members and snapshots."""

from __future__ import annotations

from unittest import TestCase

import msgpack
from log_store_contract import MEMBERS, snapshot

from brackenladder.consensus.types import Member, Members
from brackenladder.storage.log_codec import (
    LogCodecError,
    decode_members,
    decode_snapshot,
    encode_members,
    encode_snapshot,
)

MALFORMED = (
    b"",
    b"\xc1",
    encode_members(MEMBERS)[:-1],
    encode_members(MEMBERS) + b"x",
    msgpack.packb(7),
    msgpack.packb({"voters": []}),
    msgpack.packb([7]),
    msgpack.packb([[["id"]]]),
    msgpack.packb([[["id", 7]]]),
    msgpack.packb([[[b"id", "address"]]]),
    msgpack.packb([[["id", "address", None]]]),
    b"\x91" * 5000,
)


class MembersCodecTest(TestCase):
    def test_round_trip(self) -> None:
        for members in (Members(), MEMBERS):
            self.assertEqual(decode_members(encode_members(members)).unwrap(), members)

    def test_missing_fields_take_their_defaults(self) -> None:
        data = msgpack.packb([[["id", "address"]]])
        self.assertEqual(decode_members(data).unwrap(), Members((Member("id", "address"),)))

    def test_surplus_fields_are_ignored(self) -> None:
        data = msgpack.packb([[["id", "address", "zone", "region", 7]], [], [], {"later": 1}])
        expected = Members((Member("id", "address", "zone", "region"),))
        self.assertEqual(decode_members(data).unwrap(), expected)

    def test_malformed_bytes(self) -> None:
        for data in MALFORMED:
            with self.subTest(data=data[:40]):
                self.assertIsInstance(decode_members(data).failure(), LogCodecError)


class SnapshotCodecTest(TestCase):
    def test_round_trip(self) -> None:
        for original in (snapshot(1, data=b""), snapshot(1 << 40, 9, bytes(range(256)))):
            self.assertEqual(decode_snapshot(encode_snapshot(original)).unwrap(), original)

    def test_surplus_fields_are_ignored(self) -> None:
        row = msgpack.unpackb(encode_snapshot(snapshot(5)))
        self.assertEqual(decode_snapshot(msgpack.packb([*row, "later"])).unwrap(), snapshot(5))

    def test_malformed_bytes(self) -> None:
        row = msgpack.unpackb(encode_snapshot(snapshot(5)))
        wrong = [["5", *row[1:]], [5, 1.0, *row[2:]], [5, True, *row[2:]], [*row[:3], "text"], row[:3]]
        for data in (*MALFORMED, *(msgpack.packb(value) for value in wrong)):
            with self.subTest(data=data[:40]):
                self.assertIsInstance(decode_snapshot(data).failure(), LogCodecError)
