"""Encoding and decoding of orders in the log."""

from __future__ import annotations

import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.catalog.orders import (
    MAX_BASE_VERSION,
    BeginEvacuation,
    FinishEvacuation,
    Order,
    OrderDecodeError,
    ReplaceConfiguration,
    UpdateConfiguration,
    decode_order,
    encode_order,
)

ORDERS = st.one_of(
    st.builds(ReplaceConfiguration, st.integers(), st.binary()),
    st.builds(UpdateConfiguration, st.integers(), st.binary()),
    st.builds(BeginEvacuation, st.text()),
    st.builds(FinishEvacuation, st.text()),
    st.builds(BeginEvacuation, st.text(), st.integers(0, 1 << 40)),
    st.builds(FinishEvacuation, st.text(), st.integers(0, 1 << 40)),
)


class Orders(unittest.TestCase):
    @given(ORDERS)
    def test_round_trip(self, order: Order) -> None:
        self.assertEqual(decode_order(encode_order(order)), order)

    @given(ORDERS, ORDERS)
    def test_different_orders_differ_in_encoding(self, one: Order, other: Order) -> None:
        self.assertEqual(encode_order(one) == encode_order(other), one == other)

    def test_out_of_range_base_is_clamped(self) -> None:
        self.assertEqual(ReplaceConfiguration(10**40, b"").base, MAX_BASE_VERSION)
        self.assertEqual(UpdateConfiguration(-(10**40), b"").base, -1)

    def test_lone_surrogate_in_a_zone_is_replaced(self) -> None:
        self.assertEqual(decode_order(encode_order(BeginEvacuation("a\udc80"))), BeginEvacuation("a?"))

    @given(st.binary(max_size=30))
    def test_arbitrary_bytes_are_refused_or_decoded(self, data: bytes) -> None:
        try:
            order = decode_order(data)
        except OrderDecodeError:
            return
        self.assertEqual(decode_order(encode_order(order)), order)

    def test_other_values_are_refused(self) -> None:
        values = (0, None, [], [1], [1, "0", b""], [1, 0, "text"], [9, 0, b""], [3, b"zone"], [3, "zone", 1])
        for value in values:
            with self.assertRaises(OrderDecodeError, msg=str(value)):
                decode_order(msgpack.packb(value))

    @given(ORDERS)
    def test_truncated_or_extended_bytes_are_refused(self, order: Order) -> None:
        data = encode_order(order)
        with self.assertRaises(OrderDecodeError):
            decode_order(data[:-1])
        with self.assertRaises(OrderDecodeError):
            decode_order(data + b"\0")
