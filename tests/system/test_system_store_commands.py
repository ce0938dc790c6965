"""`store inspect`, `verify` and `backup` on stores that are intact, damaged, foreign or in use."""

from __future__ import annotations

import json
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from contextlib import closing
from pathlib import Path

from control_plane.control_cluster import configuration
from test_system_commands import FAILED, SUCCESS, USAGE_ERROR, run

from brackenladder.catalog.orders import BeginEvacuation, ReplaceConfiguration, encode_order
from brackenladder.consensus.members import encode_members
from brackenladder.consensus.types import Entry, EntryKind, HardState, Member, Members, Write
from brackenladder.storage.sqlite_file import FILE_NAME
from brackenladder.storage.sqlite_log import SqliteLogStore, open_store

OPEN_STORE_SCRIPT = """
import sys
from brackenladder.storage.sqlite_log import open_store
store = open_store(sys.argv[1], lambda: "r").unwrap()
print("open", flush=True)
sys.stdin.read()
"""
VOTER = Member("r1", "127.0.0.1:7660", "hall-1", "north")


def content() -> tuple[Entry, ...]:
    """Returns log entries with a member, a configuration and an evacuation."""
    body = json.dumps(configuration(4, "a")).encode()
    kinds_and_data = (
        (EntryKind.MEMBERS, encode_members(Members(voters=(VOTER,)))),
        (EntryKind.NOOP, b""),
        (EntryKind.COMMAND, encode_order(ReplaceConfiguration(0, body))),
        (EntryKind.COMMAND, encode_order(BeginEvacuation("hall-2"))),
    )
    return tuple(Entry(index, 3, kind, data) for index, (kind, data) in enumerate(kinds_and_data, start=1))


class StoreCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="store-commands-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.data_dir = self.folder / "data"
        self.data_dir.mkdir()
        self.store: SqliteLogStore = open_store(str(self.data_dir), lambda: "r1").unwrap()
        self.addCleanup(self.store.close)
        self.store.apply(Write(1, hard_state=HardState(3, "r1"), entries=content())).unwrap()
        self.path = self.data_dir / FILE_NAME

    def copy_with_wal(self) -> Path:
        """Copies the folder as it is after a kill, with the WAL."""
        copy = self.folder / "copy"
        shutil.copytree(self.data_dir, copy)
        return copy

    def test_inspect_reads_a_store_with_its_wal_and_changes_nothing(self) -> None:
        copy = self.copy_with_wal()
        before = {path.name: path.read_bytes() for path in copy.iterdir()}
        report = json.loads(run("store", "inspect", str(copy), "--json").out)
        self.assertEqual((report["ReplicaId"], report["Term"], report["VotedFor"]), ("r1", 3, "r1"))
        self.assertEqual((report["FirstIndex"], report["LastIndex"]), (1, 4))
        self.assertEqual(report["Entries"], {"command": 2, "members": 1, "noop": 1})
        self.assertEqual(report["Voters"], ["127.0.0.1:7660 (r1)"])
        self.assertEqual((report["ConfigurationVersion"], report["EvacuatedZones"]), (4, ["hall-2"]))
        result = run("store", "inspect", str(copy), "--configuration")
        self.assertEqual(json.loads(result.out), configuration(4, "a"))
        self.assertEqual(run("store", "verify", str(copy)).code, SUCCESS)
        self.assertEqual({path.name: path.read_bytes() for path in copy.iterdir()}, before)

    def test_a_backup_is_one_complete_file_and_replaces_none(self) -> None:
        copy, target = self.copy_with_wal(), self.folder / "backup.sqlite3"
        result = run("store", "backup", str(copy), str(target))
        line = f"{target}: entries up to 4, configuration version 4\n"
        self.assertEqual((result.code, result.out), (SUCCESS, line))
        self.assertEqual(run("store", "verify", str(target)).code, SUCCESS)
        self.assertEqual(
            sorted(path.name for path in self.folder.iterdir()), ["backup.sqlite3", "copy", "data"]
        )
        content_before = target.read_bytes()
        result = run("store", "backup", str(copy), str(target))
        self.assertEqual(
            (result.code, result.errors), (USAGE_ERROR, f"brackenladder: {target}: exists already\n")
        )
        self.assertEqual(target.read_bytes(), content_before)

    def test_verify_finds_damage(self) -> None:
        self.store.close()
        with closing(sqlite3.connect(self.path)) as connection:
            connection.execute("UPDATE entry SET data = x'00' WHERE position = 3")
            connection.commit()
        result = run("store", "verify", str(self.data_dir))
        line = f"{self.data_dir}: StoreCorrupt: {self.path}: entry 3 fails its checksum\n"
        self.assertEqual((result.code, result.errors), (FAILED, line))

    def test_a_store_that_a_process_has_open_is_refused(self) -> None:
        self.store.close()
        arguments = (sys.executable, "-c", OPEN_STORE_SCRIPT, str(self.data_dir))
        holder = subprocess.Popen(
            arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=Path(__file__).parents[2]
        )
        with holder:
            assert holder.stdout is not None and holder.stdin is not None
            self.assertEqual(holder.stdout.readline(), b"open\n")
            result = run("store", "inspect", str(self.data_dir))
            holder.stdin.close()
        detail = f"StoreInUse: {self.path}: a process has it open; stop the node first"
        self.assertEqual((result.code, result.errors), (USAGE_ERROR, f"brackenladder: {detail}\n"))
        self.assertEqual(run("store", "inspect", str(self.data_dir)).code, SUCCESS)

    def test_the_database_of_another_program_is_reported_as_foreign(self) -> None:
        foreign = self.folder / "foreign.sqlite3"
        with closing(sqlite3.connect(foreign)) as connection:
            connection.execute("CREATE TABLE a (b)")
        result = run("store", "inspect", str(foreign))
        self.assertEqual(result.code, FAILED)
        self.assertIn("StoreForeign", result.errors)
