"""The strict JSON decoder, and the canonical and compact encodings."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from brackenladder.catalog.faults import FaultKind
from brackenladder.catalog.strict_json import MAX_NESTING, canonical, compact, read_object

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=20,
)
OBJECTS = st.dictionaries(st.text(), VALUES, max_size=5)


def nested(levels: int) -> bytes:
    """An object with this number of nested containers, including itself."""
    inner = levels - 1
    return b'{"a":' + b"[" * inner + b"]" * inner + b"}"


class ReadObject(unittest.TestCase):
    def assert_refused(self, body: bytes) -> None:
        result = read_object(body)
        self.assertIsInstance(result, Failure, body[:60])
        self.assertIs(result.failure().kind, FaultKind.MALFORMED)

    @given(OBJECTS)
    def test_round_trip(self, value: dict[str, Any]) -> None:
        for ascii_only in (True, False):
            body = json.dumps(value, ensure_ascii=ascii_only).encode()
            self.assertEqual(read_object(body).unwrap(), value)

    def test_key_order_is_kept(self) -> None:
        self.assertEqual(list(read_object(b'{"b":1,"a":2}').unwrap()), ["b", "a"])

    def test_surrounding_white_space_is_allowed(self) -> None:
        self.assertEqual(read_object(b' {"a":1}\r\n').unwrap(), {"a": 1})

    def test_duplicate_keys_are_refused(self) -> None:
        self.assert_refused(b'{"a":1,"a":1}')
        self.assert_refused(b'{"a":[{"b":{"c":1,"d":2,"\\u0063":1}}]}')

    def test_non_finite_numbers_are_refused(self) -> None:
        for number in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"-1e999", b"9" * 5000):
            self.assert_refused(b'{"a":' + number + b"}")

    def test_other_encodings_are_refused(self) -> None:
        self.assert_refused(b'{"a":"\xff"}')
        self.assert_refused('{"a":1}'.encode("utf-16"))
        self.assert_refused(b'\xef\xbb\xbf{"a":1}')

    def test_lone_surrogates_are_refused(self) -> None:
        self.assert_refused(b'{"a":"\\ud800"}')
        self.assert_refused(b'{"\\udfff":1}')
        self.assertEqual(read_object(b'{"a":"\\ud83d\\ude00"}').unwrap(), {"a": "\U0001f600"})

    def test_malformed_json_is_refused(self) -> None:
        for body in (b"", b" ", b"{", b'{"a":1}x', b'{"a":1}{}', b'{"a":1,}', b"{'a':1}", b'{"a":"\n"}'):
            self.assert_refused(body)

    def test_nesting_is_bounded(self) -> None:
        self.assertIn("a", read_object(nested(MAX_NESTING)).unwrap())
        for levels in (MAX_NESTING + 1, 500, 100_000):
            self.assert_refused(nested(levels))


class Canonical(unittest.TestCase):
    @given(OBJECTS, st.randoms(use_true_random=False))
    def test_canonical_form_ignores_key_order(self, value: dict[str, Any], random: Any) -> None:
        items = list(value.items())
        random.shuffle(items)
        self.assertEqual(canonical(dict(items)), canonical(value))

    @given(OBJECTS, OBJECTS)
    def test_different_values_differ_in_canonical_form(
        self, one: dict[str, Any], other: dict[str, Any]
    ) -> None:
        if json.dumps(one, sort_keys=True) != json.dumps(other, sort_keys=True):
            self.assertNotEqual(canonical(one), canonical(other))

    @given(OBJECTS)
    def test_both_encodings_round_trip(self, value: dict[str, Any]) -> None:
        self.assertEqual(json.loads(canonical(value)), value)
        self.assertEqual(json.loads(compact(value)), value)
        self.assertEqual(list(json.loads(compact(value))), list(value))
