"""The file that the processes of one node share."""

from __future__ import annotations

import json

import pytest

from brackenladder.operations.maintenance import Hold
from brackenladder.storage.holds import LARGEST_FILE, HoldsError, HoldsFile

HOLDS = {"s-1": Hold(10), "s-2": Hold(20, 30)}


def test_the_other_process_reads_what_was_noted(tmp_path):
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
        json.dumps({"format": 1, "holds": {}}) + " " * LARGEST_FILE,
    ],
)
def test_a_file_that_cannot_be_used_is_one_line(tmp_path, text):
    file = HoldsFile(str(tmp_path))
    (tmp_path / "brackenladder-holds.json").write_text(text)
    with pytest.raises(HoldsError, match="not a file of holds"):
        file.read()


def test_a_folder_that_is_no_use_is_one_line(tmp_path):
    file = HoldsFile(str(tmp_path / "none"))
    with pytest.raises(HoldsError, match="No such file"), file.locked():
        pass
    with pytest.raises(HoldsError, match="No such file"):
        file.write(HOLDS)
    assert list(tmp_path.iterdir()) == []
