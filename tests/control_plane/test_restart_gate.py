"""Confirmation that a cached catalog is the newest committed one."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.restart_gate import MAX_REPORT_AGE, RestartGate

MEMBERS = Members(voters=tuple(Member(name, f"{name}:1") for name in ("a", "b", "c")))
JOINT = Members(voters=MEMBERS.voters, outgoing=tuple(Member(name, f"{name}:1") for name in ("a", "d", "e")))

NOW = 50_000_000  # microseconds


class RestartGateTest(TestCase):
    def setUp(self) -> None:
        self.gate = RestartGate()
        self.gate.record(NOW, "a", 10)

    def test_one_of_three_is_no_majority(self) -> None:
        self.assertFalse(self.gate.confirms(NOW, MEMBERS, 10))

    def test_majority_without_later_orders_confirms(self) -> None:
        self.gate.record(NOW, "b", 9)
        self.assertTrue(self.gate.confirms(NOW, MEMBERS, 10))

    def test_later_order_in_any_log_prevents_confirmation(self) -> None:
        self.gate.record(NOW, "b", 9)
        self.gate.record(NOW, "stranger", 11)
        self.assertFalse(self.gate.confirms(NOW, MEMBERS, 10))

    def test_later_order_in_the_own_log_prevents_confirmation(self) -> None:
        self.gate.record(NOW, "b", 9)
        self.assertFalse(self.gate.confirms(NOW, MEMBERS, 9))

    def test_non_members_are_no_majority(self) -> None:
        self.gate.record(NOW, "x", 0)
        self.gate.record(NOW, "y", 0)
        self.assertFalse(self.gate.confirms(NOW, MEMBERS, 10))

    def test_joint_change_needs_both_majorities(self) -> None:
        self.gate.record(NOW, "b", 9)
        self.assertFalse(self.gate.confirms(NOW, JOINT, 10))
        self.gate.record(NOW, "d", 9)
        self.assertTrue(self.gate.confirms(NOW, JOINT, 10))

    def test_empty_member_list_confirms_nothing(self) -> None:
        self.assertFalse(self.gate.confirms(NOW, Members(), 10))

    def test_reports_expire_except_those_of_later_orders(self) -> None:
        self.gate.record(NOW, "b", 9)
        later = NOW + MAX_REPORT_AGE + 1
        self.assertTrue(self.gate.confirms(NOW + MAX_REPORT_AGE, MEMBERS, 10))
        self.assertFalse(self.gate.confirms(later, MEMBERS, 10))
        self.gate.record(later, "a", 10)
        self.assertFalse(self.gate.confirms(later, MEMBERS, 10))
        self.gate.record(later, "c", 10)
        self.assertTrue(self.gate.confirms(later, MEMBERS, 10))
        self.gate.record(NOW, "b", 11)
        self.assertFalse(self.gate.confirms(later, MEMBERS, 10))
