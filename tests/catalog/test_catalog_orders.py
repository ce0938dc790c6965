"""Orders as bytes of the log."""

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
    def test_an_order_comes_back(self, order: Order) -> None:
        self.assertEqual(decode_order(encode_order(order)), order)

    @given(ORDERS, ORDERS)
    def test_different_orders_have_different_bytes(self, one: Order, other: Order) -> None:
        self.assertEqual(encode_order(one) == encode_order(other), one == other)

    def test_a_base_that_is_no_version_is_bounded(self) -> None:
        self.assertEqual(ReplaceConfiguration(10**40, b"").base, MAX_BASE_VERSION)
        self.assertEqual(UpdateConfiguration(-(10**40), b"").base, -1)

    def test_a_zone_that_is_no_text_can_be_kept(self) -> None:
        self.assertEqual(decode_order(encode_order(BeginEvacuation("a\udc80"))), BeginEvacuation("a?"))

    @given(st.binary(max_size=30))
    def test_other_bytes_are_refused_or_an_order(self, data: bytes) -> None:
        try:
            order = decode_order(data)
        except OrderDecodeError:
            return
        self.assertEqual(decode_order(encode_order(order)), order)

    def test_what_is_no_order_is_refused(self) -> None:
        values = (0, None, [], [1], [1, "0", b""], [1, 0, "text"], [9, 0, b""], [3, b"zone"], [3, "zone", 1])
        for value in values:
            with self.assertRaises(OrderDecodeError, msg=str(value)):
                decode_order(msgpack.packb(value))

    @given(ORDERS)
    def test_cut_bytes_are_refused(self, order: Order) -> None:
        data = encode_order(order)
        with self.assertRaises(OrderDecodeError):
            decode_order(data[:-1])
        with self.assertRaises(OrderDecodeError):
            decode_order(data + b"\0")
