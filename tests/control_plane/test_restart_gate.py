"""When a remembered catalog counts as the newest that was committed."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.consensus.types import Member, Members
from brackenladder.control_plane.restart_gate import RestartGate

MEMBERS = Members(voters=tuple(Member(name, f"{name}:1") for name in ("a", "b", "c")))
JOINT = Members(voters=MEMBERS.voters, outgoing=tuple(Member(name, f"{name}:1") for name in ("a", "d", "e")))


class RestartGateTest(TestCase):
    def setUp(self) -> None:
        self.gate = RestartGate()
        self.gate.told("a", 10)

    def test_one_of_three_confirms_nothing(self) -> None:
        self.assertFalse(self.gate.confirms(MEMBERS, 10))

    def test_a_majority_whose_logs_hold_nothing_later_confirms(self) -> None:
        self.gate.told("b", 9)
        self.assertTrue(self.gate.confirms(MEMBERS, 10))

    def test_a_later_order_in_any_log_speaks_against_it(self) -> None:
        self.gate.told("b", 9)
        self.gate.told("stranger", 11)
        self.assertFalse(self.gate.confirms(MEMBERS, 10))

    def test_this_nodes_own_log_counts(self) -> None:
        self.gate.told("b", 9)
        self.assertFalse(self.gate.confirms(MEMBERS, 9))

    def test_strangers_are_no_majority(self) -> None:
        self.gate.told("x", 0)
        self.gate.told("y", 0)
        self.assertFalse(self.gate.confirms(MEMBERS, 10))

    def test_a_joint_change_needs_both_majorities(self) -> None:
        self.gate.told("b", 9)
        self.assertFalse(self.gate.confirms(JOINT, 10))
        self.gate.told("d", 9)
        self.assertTrue(self.gate.confirms(JOINT, 10))

    def test_a_node_without_members_confirms_nothing(self) -> None:
        self.assertFalse(self.gate.confirms(Members(), 10))
