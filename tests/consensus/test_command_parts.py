"""Commands split into parts are reassembled once each, even if the leader that appended them fails."""

from __future__ import annotations

import unittest

from brackenladder.consensus.command_parts import PART_BYTES, CommandAssembler, split_command
from brackenladder.consensus.types import Entry, EntryKind


class CommandPartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.assembler = CommandAssembler()
        self.index = 0

    def take(self, kind: EntryKind, data: bytes = b"", term: int = 1) -> bytes | None:
        self.index += 1
        return self.assembler.take(Entry(self.index, term, kind, data))

    def test_a_command_of_any_size_is_reassembled_unchanged(self) -> None:
        for size in (0, 1, PART_BYTES - 1, PART_BYTES, PART_BYTES + 1, 3 * PART_BYTES):
            with self.subTest(size=size):
                command = bytes(number % 251 for number in range(size))
                *parts, last = split_command(command)
                self.assertTrue(all(len(part) <= PART_BYTES for part in (*parts, last)))
                for part in parts:
                    self.assertIsNone(self.take(EntryKind.COMMAND_PART, part))
                    self.assertFalse(self.assembler.between_commands)
                self.assertEqual(self.take(EntryKind.COMMAND, last), command)
                self.assertTrue(self.assembler.between_commands)

    def test_incomplete_parts_of_an_earlier_term_are_ignored(self) -> None:
        self.take(EntryKind.COMMAND_PART, b"left ")
        self.assertEqual(self.take(EntryKind.COMMAND, b"whole", term=2), b"whole")

    def test_a_new_leaders_first_entry_drops_incomplete_parts(self) -> None:
        self.take(EntryKind.COMMAND_PART, b"left ")
        self.assertIsNone(self.take(EntryKind.NOOP, term=2))
        self.assertTrue(self.assembler.between_commands)
        self.assertEqual(self.take(EntryKind.COMMAND, b"whole", term=2), b"whole")

    def test_a_snapshot_drops_incomplete_parts(self) -> None:
        self.take(EntryKind.COMMAND_PART, b"left ")
        self.assembler.reset()
        self.assertEqual(self.take(EntryKind.COMMAND, b"whole"), b"whole")
