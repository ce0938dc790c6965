"""A file that is replaced atomically."""

from __future__ import annotations

import os
import tempfile
import unittest
from unittest import mock

from returns.result import Success

from brackenladder.storage import atomic_file
from brackenladder.storage.atomic_file import MAX_BYTES, read_checked, write_atomically
from brackenladder.storage.log_store import StoreCorrupt, StoreFailed


class AtomicFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "file")

    def assert_corrupt(self) -> None:
        self.assertIsInstance(read_checked(self.path).failure(), StoreCorrupt)

    def content(self) -> bytes:
        with open(self.path, "rb") as file:
            return file.read()

    def write_raw(self, content: bytes) -> None:
        with open(self.path, "wb") as file:
            file.write(content)

    def test_the_last_content_is_read(self) -> None:
        self.assertEqual(read_checked(self.path), Success(b""))
        for data in (b"one", b"", b"two" * 1000):
            self.assertEqual(write_atomically(self.path, data), Success(None))
            self.assertEqual(read_checked(self.path), Success(data))

    def test_a_torn_or_changed_file_is_damaged_wherever_it_is_cut(self) -> None:
        write_atomically(self.path, b"0123456789")
        whole = self.content()
        for length in range(len(whole)):
            self.write_raw(whole[:length])
            self.assert_corrupt()
        for index in range(len(whole)):
            self.write_raw(whole[:index] + bytes([whole[index] ^ 1]) + whole[index + 1 :])
            self.assert_corrupt()

    def test_a_file_that_is_too_large_is_rejected(self) -> None:
        write_atomically(self.path, bytes(MAX_BYTES))
        self.assert_corrupt()

    def test_a_write_that_fails_at_any_step_leaves_the_old_content(self) -> None:
        write_atomically(self.path, b"old")
        refusal = OSError(28, "full")
        for step in (f"{atomic_file.__name__}.sync_to_disk", "os.replace"):
            with mock.patch(step, side_effect=refusal):
                written = write_atomically(self.path, b"new")
            self.assertIsInstance(written.failure(), StoreFailed)
            self.assertEqual(read_checked(self.path), Success(b"old"))
            self.assertEqual(os.listdir(os.path.dirname(self.path)), ["file"])

    def test_a_folder_that_is_gone_is_a_failure(self) -> None:
        written = write_atomically(os.path.join(self.path, "nowhere"), b"")
        self.assertIsInstance(written.failure(), StoreFailed)
