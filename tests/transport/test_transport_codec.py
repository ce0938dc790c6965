"""Tests of encoding and decoding messages, including malformed input."""

from __future__ import annotations

import string
from collections.abc import Mapping
from unittest import TestCase

import msgpack
from attrs import field, frozen, validators
from hypothesis import given, settings
from hypothesis import strategies as st
from transport.support import Colour, Empty, Mood, Note

from brackenladder.transport.codec import Codec
from brackenladder.transport.errors import DecodeError, DecodeFault, EncodeError, UnsupportedType


@frozen
class Part:
    name: str
    weight: float = 1.0


@frozen
class Everything:
    number: int
    text: str
    body: bytes
    flag: bool
    ratio: float
    colour: Colour
    mood: Mood
    part: Part
    maybe: Part | None
    maybe_number: int | None
    maybe_mood: Mood | None
    numbers: tuple[int, ...]
    parts: tuple[Part, ...]
    pair: tuple[str, Part]
    moods: dict[str, Mood]
    counts: Mapping[str, int]
    names: frozenset[str]
    nothing: None = None


@frozen
class Tree:
    name: str
    children: tuple[Tree, ...] = ()


@frozen
class Bounded:
    number: int = field(validator=validators.ge(0))


@frozen(kw_only=True)
class ByKeyword:
    number: int
    _hidden: str = "x"
    counted: int = field(init=False, default=3)


@frozen
class Older:
    first: int
    second: str


@frozen
class Newer:
    first: int
    second: str
    third: tuple[Colour, ...] = (Colour.RED,)
    fourth: int = 4


TYPES = (Everything, Part, Tree, Bounded, ByKeyword, Note, Empty)
WHOLE_NUMBERS = st.integers(-(2**63), 2**64 - 1)
PARTS = st.builds(Part, st.text(), st.floats(allow_nan=False))
EVERYTHING = st.builds(
    Everything,
    number=WHOLE_NUMBERS,
    text=st.text(),
    body=st.binary(),
    flag=st.booleans(),
    ratio=st.floats(allow_nan=False),
    colour=st.sampled_from(Colour),
    mood=st.sampled_from(Mood),
    part=PARTS,
    maybe=st.none() | PARTS,
    maybe_number=st.none() | WHOLE_NUMBERS,
    maybe_mood=st.none() | st.sampled_from(Mood),
    numbers=st.lists(WHOLE_NUMBERS).map(tuple),
    parts=st.lists(PARTS, max_size=4).map(tuple),
    pair=st.tuples(st.text(), PARTS),
    moods=st.dictionaries(st.text(), st.sampled_from(Mood)),
    counts=st.dictionaries(st.text(), WHOLE_NUMBERS),
    names=st.frozensets(st.text()),
)
VALUES = st.recursive(
    st.none() | st.booleans() | WHOLE_NUMBERS | st.floats() | st.text(string.printable) | st.binary(),
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=30,
)


def codec_of(*message_types: type) -> Codec:
    codec = Codec()
    codec.register_all(0, message_types)
    return codec


def deep_tree(levels: int) -> bytes:
    """Encodes a tree with one child on each level."""
    return b"\x93\x02\xa1a\x91" + b"\x92\xa1a\x91" * levels + b"\x91\xa1a"


class RoundTripTest(TestCase):
    """An encoded message decodes to an equal one."""

    def setUp(self):
        self.codec = codec_of(*TYPES)

    def assert_returns(self, message: object) -> None:
        decoded = self.codec.decode(self.codec.encode(message))
        self.assertEqual(decoded, message)
        self.assertIs(type(decoded), type(message))

    @settings(deadline=None)
    @given(EVERYTHING)
    def test_all_kinds_of_fields(self, message):
        codec = codec_of(Everything)
        self.assertEqual(codec.decode(codec.encode(message)), message)

    def test_enums_come_back_as_members(self):
        codec = codec_of(Newer)
        decoded = codec.decode(codec.encode(Newer(1, "a", (Colour.BLUE,))))
        self.assertIs(decoded.third[0], Colour.BLUE)

    def test_nested_types(self):
        self.assert_returns(Tree("a", (Tree("b", (Tree("c"), Tree("d"))), Tree("e"))))

    def test_no_fields(self):
        self.assert_returns(Empty())

    def test_keyword_fields_and_names_with_an_underscore(self):
        self.assert_returns(ByKeyword(number=2, hidden="y"))

    def test_whole_numbers_for_a_float(self):
        decoded = self.codec.decode(self.codec.encode(Part("a", 2)))
        self.assertIs(type(decoded.weight), float)

    def test_a_message_is_an_array_with_its_tag(self):
        self.assertEqual(msgpack.unpackb(self.codec.encode(Part("a", 2.0))), [1, "a", 2.0])

    def test_large_messages_leave_the_codec_usable(self):
        self.assert_returns(Note(1, body=bytes(3 << 20)))
        self.assert_returns(Note(2))


class VersionsTest(TestCase):
    """After fields are added at the end of a class, old and new versions can decode each other's messages."""

    def setUp(self):
        self.older, self.newer = codec_of(Older), codec_of(Newer)

    def test_missing_fields_take_their_defaults(self):
        self.assertEqual(self.newer.decode(self.older.encode(Older(1, "a"))), Newer(1, "a"))

    def test_surplus_fields_are_ignored(self):
        message = Newer(1, "a", (Colour.BLUE,), 9)
        self.assertEqual(self.older.decode(self.newer.encode(message)), Older(1, "a"))

    def test_some_of_the_added_fields(self):
        data = msgpack.packb([0, 1, "a", [2]])
        self.assertEqual(self.newer.decode(data), Newer(1, "a", (Colour.BLUE,)))

    def test_nested_messages_too(self):
        old = codec_of(frozen(type("OldOuter", (), {"__annotations__": {"part": Older}})))
        new = codec_of(frozen(type("NewOuter", (), {"__annotations__": {"part": Newer}})))
        self.assertEqual(new.decode(msgpack.packb([0, [1, "a"]])).part, Newer(1, "a"))
        self.assertEqual(old.decode(msgpack.packb([0, [1, "a", [1], 4, 5]])).part, Older(1, "a"))


class MalformedTest(TestCase):
    """Malformed input is reported with the matching `DecodeFault`."""

    def setUp(self):
        self.codec = codec_of(*TYPES)

    def fault(self, value: object) -> DecodeFault:
        return self.fault_of_bytes(msgpack.packb(value))

    def fault_of_bytes(self, data: bytes) -> DecodeFault:
        with self.assertRaises(DecodeError) as caught:
            self.codec.decode(data)
        return caught.exception.fault

    def test_no_msgpack(self):
        for data in (b"", b"\xc1", b"\x92\x01", b"\xdd\xff\xff\xff\xff", b"\x91\x00\x00", b"\x91\xa1\xff"):
            with self.subTest(data):
                self.assertEqual(self.fault_of_bytes(data), DecodeFault.NOT_MSGPACK)

    def test_arrays_over_the_limit(self):
        self.assertEqual(self.fault([0] * 70_000), DecodeFault.NOT_MSGPACK)

    def test_deep_nesting(self):
        self.assertEqual(self.fault_of_bytes(b"\x91" * 100_000), DecodeFault.NOT_MSGPACK)
        self.assertIs(type(self.codec.decode(deep_tree(50))), Tree)
        self.assertEqual(self.fault_of_bytes(deep_tree(400)), DecodeFault.REFUSED_VALUE)

    def test_no_message(self):
        for value in ([], 1, "a", {}, None, ["1"], [True], [1.0], [None, 1]):
            with self.subTest(value):
                self.assertEqual(self.fault(value), DecodeFault.NOT_A_MESSAGE)

    def test_unknown_tags(self):
        self.assertEqual(self.fault([99]), DecodeFault.UNKNOWN_TAG)
        self.assertEqual(self.fault([-1]), DecodeFault.UNKNOWN_TAG)

    def test_missing_fields(self):
        self.assertEqual(self.fault([1]), DecodeFault.MISSING_FIELD)

    def test_refused_values(self):
        self.assertEqual(self.fault([3, -1]), DecodeFault.REFUSED_VALUE)

    def test_wrong_types(self):
        wrong = (
            [5, "1"],
            [5, True],
            [5, 1.0],
            [5, 1, b"a"],
            [5, 1, "a", "b"],
            [5, 1, "a", None],
            [1, "a", "b"],
            [1, "a", True],
            [2, "a", "b"],
            [2, "a", ["b"]],
            [2, "a", {}],
        )
        for value in wrong:
            with self.subTest(value):
                self.assertEqual(self.fault(value), DecodeFault.WRONG_TYPE)

    def test_each_field_of_a_large_message(self):
        good = Everything(
            1, "a", b"", True, 1.0, Colour.RED, Mood.CALM, Part("p"), None, None, None,
            (1,), (Part("q"),), ("a", Part("r")), {"a": Mood.CALM}, {"a": 1}, frozenset("a"),
        )  # fmt: skip
        values = msgpack.unpackb(self.codec.encode(good))
        for index in range(1, len(values)):
            for other in (None, 7.5, 77, "zz", b"zz", True, [[1]], {"a": [1]}, {"a": 1.5}, [], [5]):
                with self.subTest(index=index, other=other):
                    self.decode_or_fault([*values[:index], other, *values[index + 1 :]])

    def decode_or_fault(self, values: list[object]) -> None:
        """Expects a DecodeError, or a message that encodes to the same values."""
        try:
            message = self.codec.decode(msgpack.packb(values))
        except DecodeError:
            return
        self.assertEqual(msgpack.unpackb(self.codec.encode(message)), values)


class FuzzTest(TestCase):
    """For any input, `decode` returns a message or raises DecodeError."""

    codec = codec_of(*TYPES)

    def assert_message_or_error(self, data: bytes) -> None:
        try:
            message = self.codec.decode(data)
        except DecodeError:
            return
        self.assertIn(type(message), TYPES)
        self.codec.encode(message)

    @settings(deadline=None)
    @given(st.binary())
    def test_bytes(self, data):
        self.assert_message_or_error(data)

    @settings(deadline=None)
    @given(st.integers(0, len(TYPES)), st.lists(VALUES, max_size=20))
    def test_values(self, tag, values):
        self.assert_message_or_error(msgpack.packb([tag, *values]))

    @settings(deadline=None)
    @given(EVERYTHING, st.data())
    def test_messages_with_a_fault(self, message, data):
        good = self.codec.encode(message)
        start = data.draw(st.integers(0, len(good)))
        end = data.draw(st.integers(start, len(good)))
        self.assert_message_or_error(good[:start] + data.draw(st.binary(max_size=8)) + good[end:])


class RegisterTest(TestCase):
    """Classes that can't be registered and messages that can't be encoded."""

    def test_taken_tags_and_classes(self):
        codec = codec_of(Note)
        with self.assertRaises(UnsupportedType):
            codec.register(0, Empty)
        with self.assertRaises(UnsupportedType):
            codec.register(1, Note)
        with self.assertRaises(UnsupportedType):
            codec.register(-1, Empty)

    def test_fields_without_an_encoding(self):
        with self.assertRaises(UnsupportedType):
            Codec().register(0, int)
        for hint in (object, list[int], set[str], int | str, dict[int, str], "Absent", complex):
            message_type = frozen(type("Message", (), {"__annotations__": {"value": hint}}))
            with self.subTest(hint), self.assertRaises(UnsupportedType):
                Codec().register(0, message_type)

    def test_a_class_that_is_not_registered(self):
        with self.assertRaises(EncodeError):
            codec_of(Note).encode(Empty())

    def test_values_without_an_encoding(self):
        codec = codec_of(Note, Part, Tree)
        tree = Tree("leaf")
        for _ in range(2_000):
            tree = Tree("a", (tree,))
        with self.assertRaises(EncodeError):
            codec.encode(tree)
        for message in (Note(2**64), Note(1, "\ud800"), Note(object()), Tree("a", (7,)), Tree("a", 7)):
            with self.subTest(message), self.assertRaises(EncodeError):
                codec.encode(message)
        self.assertEqual(codec.decode(codec.encode(Note(1))), Note(1))
