"""Rehearsals of this build's node, each of one fault: it happens, and raises no false alarm."""

from __future__ import annotations

from pathlib import Path

from rehearsal.playing import play, small


def test_a_calm_run(tmp_path: Path) -> None:
    result, report = play(small(), tmp_path)
    assert report.breaks == ()
    assert not result.crashed
    assert report.verdicts == {
        "lost": "held",
        "effect": "not tried",
        "drain": "not tried",
        "cold": "not tried",
    }
