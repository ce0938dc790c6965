"""The holds file and the handover file, which the processes of one node share."""

from __future__ import annotations

import json

import pytest

from brackenladder.interface import ListKind, State
from brackenladder.membership.listing import Line, read_listing
from brackenladder.operations.maintenance import Hold
from brackenladder.storage import handover
from brackenladder.storage.holds import MAX_FILE_BYTES, HoldsError, HoldsFile

HOLDS = {"s-1": Hold(10), "s-2": Hold(20, 30)}


def test_the_other_process_reads_what_was_written(tmp_path):
    one, other = HoldsFile(str(tmp_path)), HoldsFile(str(tmp_path))
    assert other.read() == {} and not other.changed()
    one.write(HOLDS)
    assert other.changed() and not one.changed()
    assert other.read() == HOLDS and not other.changed()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "[" * 100_000,
        json.dumps({"format": 2, "holds": {}}),
        json.dumps({"format": 1, "holds": {"a": [1]}}),
        json.dumps({"format": 1, "holds": {"a": ["x", 0]}}),
        json.dumps({"format": 1, "holds": 7}),
        json.dumps({"format": 1, "holds": {}}) + " " * MAX_FILE_BYTES,
    ],
)
def test_an_invalid_file_gives_a_one_line_error(tmp_path, text):
    file = HoldsFile(str(tmp_path))
    (tmp_path / "brackenladder-holds.json").write_text(text)
    with pytest.raises(HoldsError, match="not a valid holds file"):
        file.read()


def test_an_unusable_folder_gives_a_one_line_error(tmp_path):
    file = HoldsFile(str(tmp_path / "none"))
    with pytest.raises(HoldsError, match="No such file"), file.locked():
        pass
    with pytest.raises(HoldsError, match="No such file"):
        file.write(HOLDS)
    assert list(tmp_path.iterdir()) == []


LINES = [
    Line("a", "10.0.0.1", 5000, "east", "std", 2, State.READY, 1.5, 7_000),
    Line("b", "::1", 5000, "west", "", 0, State.DRAINING, 1.0, 0),
]


def test_a_successor_reads_the_list_only_while_it_is_fresh(tmp_path):
    assert handover.read_handover(str(tmp_path), 0) is None
    handover.write_handover(str(tmp_path), 1_000_000, 41, LINES)
    listing = read_listing(handover.read_handover(str(tmp_path), 2_000_000), ListKind.CACHED)
    assert (listing.version, list(listing.lines)) == (41, LINES)
    for now in (0, 1_000_001 + handover.MAX_AGE):  # the clock was set back; the file is too old
        assert handover.read_handover(str(tmp_path), now) is None


@pytest.mark.parametrize("text", ["", "[]", "[" * 100_000, '{"format": 2}', '{"format": 1, "at": "x"}'])
def test_an_invalid_handover_file_gives_a_one_line_error(tmp_path, text):
    (tmp_path / handover.FILE_NAME).write_text(text)
    with pytest.raises(handover.HandoverError, match="not a valid handover file"):
        handover.read_handover(str(tmp_path), 0)
    with pytest.raises(handover.HandoverError, match="No such file"):
        handover.write_handover(str(tmp_path / "none"), 0, 1, LINES)
