"""Frames between members: whole, keyed, once, and nothing else."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenladder.cluster import wire
from brackenladder.cluster.detector import Detector
from brackenladder.cluster.view import Record, State, epoch_of

KEY, OTHER = b"k" * 16, b"o" * 16
MESSAGES = (
    wire.Ping(3),
    wire.Ack(4),
    wire.AskPing(5, 6),
    wire.Nack(7),
    wire.Recorded(1, Record(epoch_of(9, 9), 2, State.SUSPECT), 5),
    wire.Range(0, 9),
    wire.Digest(0, 24, (1, 2, 3)),
)
FRAME = wire.Frame(2, 1, epoch_of(1_800_000_000, 77), 3, 12, MESSAGES)


def test_a_frame_comes_back_as_it_went():
    assert wire.read([KEY], wire.framed([KEY], FRAME)) == FRAME
    assert wire.read([OTHER, KEY], wire.framed([KEY], FRAME)) == FRAME  # while the key is changed


@pytest.mark.parametrize("keys", [[KEY], []])
def test_no_byte_may_change_and_none_be_cut(keys):
    data = wire.framed(keys, FRAME)
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]):
            with pytest.raises(wire.Dropped):
                wire.read(keys, bad)


@given(st.binary(max_size=300))
def test_garbage_under_a_right_tag_is_dropped_and_nothing_else(body):
    head = wire.HEAD.pack(wire.MAGIC, wire.VERSION, 0, 2, 1, 5, 0, 1)
    data = head + body
    try:
        frame = wire.read([KEY], data + wire.tag(KEY, data))
    except wire.Dropped:
        return
    assert wire.framed([KEY], frame) == data + wire.tag(KEY, data)


@pytest.mark.parametrize(
    ("number", "data", "counter"),
    [
        (2, wire.framed([OTHER], FRAME), "forged"),
        (2, b"\xb7\x09" + wire.framed([KEY], FRAME)[2:], "later_version"),
        (2, b"\xb7" * 40, "later_version"),
        (2, b"", "garbled"),
        (2, bytes(300), "garbled"),
        (0, wire.framed([KEY], FRAME), "misdirected"),  # from another's address
        (2, wire.framed([KEY], FRAME._replace(to=0)), "misdirected"),  # recorded on its way to another
        (2, wire.framed([KEY], FRAME._replace(epoch=1)), "old_epoch"),
    ],
)
def test_what_is_not_taken_changes_a_counter_and_nothing_else(number, data, counter):
    sent: list[int] = []
    detector = Detector(
        1, 30, epoch_of(5, 5), 0, Random(1), lambda to, _: sent.append(to), lambda _: None, [KEY]
    )
    detector.view.merge(2, Record(epoch_of(1, 1), 0, State.ALIVE), 0)
    before = list(detector.view.records)
    detector.datagram(number, data, 1)
    assert detector.view.records == before and detector.counters[counter] == 1
    assert sent == ([2] if counter == "old_epoch" else [])  # which is told that it has a successor


def test_a_recorded_frame_counts_once_in_any_order():
    seen = wire.Seen()
    for counter in (5, 3, 4, 70, 71):
        seen.take(1, counter)
    for counter in (5, 3, 4, 70, 71, 6):  # 6 is too far behind to be told from a repeat
        with pytest.raises(wire.Dropped, match="replayed"):
            seen.take(1, counter)
    seen.take(2, 1)
    with pytest.raises(wire.Dropped, match="old_epoch"):
        seen.take(1, 72)


def test_no_frame_is_longer_than_the_network_takes():
    records = [
        wire.Recorded(n, Record(2**63, 2**31, State.DEAD), n) for n in range(wire.ROOM // wire.RECORD.size)
    ]
    whole = wire.framed([KEY], FRAME._replace(messages=tuple(records)))
    assert len(whole) <= wire.LARGEST and wire.read([KEY], whole).messages == tuple(records)
