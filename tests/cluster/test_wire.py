"""Frames between members: encoding, authentication, replay protection and malformed input."""

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


def test_a_frame_is_decoded_unchanged():
    assert wire.decode_frame([KEY], wire.encode_frame([KEY], FRAME)) == FRAME
    assert wire.decode_frame([OTHER, KEY], wire.encode_frame([KEY], FRAME)) == FRAME  # during a key change


@pytest.mark.parametrize("keys", [[KEY], []])
def test_changed_and_truncated_frames_are_rejected(keys):
    data = wire.encode_frame(keys, FRAME)
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]):
            with pytest.raises(wire.Dropped):
                wire.decode_frame(keys, bad)


@given(st.binary(max_size=300))
def test_random_messages_with_a_valid_tag_are_decoded_or_dropped(body):
    head = wire.HEADER_FORMAT.pack(wire.MAGIC, wire.VERSION, 0, 2, 1, 5, 0, 1)
    data = head + body
    try:
        frame = wire.decode_frame([KEY], data + wire.compute_tag(KEY, data))
    except wire.Dropped:
        return
    assert wire.encode_frame([KEY], frame) == data + wire.compute_tag(KEY, data)


@pytest.mark.parametrize(
    ("number", "data", "counter"),
    [
        (2, wire.encode_frame([OTHER], FRAME), "forged"),
        (2, b"\xb7\x09" + wire.encode_frame([KEY], FRAME)[2:], "later_version"),
        (2, b"\xb7" * 40, "later_version"),
        (2, b"", "garbled"),
        (2, bytes(300), "garbled"),
        (0, wire.encode_frame([KEY], FRAME), "misdirected"),  # from another member's address
        (
            2,
            wire.encode_frame([KEY], FRAME._replace(to=0)),
            "misdirected",
        ),  # recorded on the way to another member
        (2, wire.encode_frame([KEY], FRAME._replace(epoch=1)), "old_epoch"),
    ],
)
def test_a_rejected_frame_changes_only_a_counter(number, data, counter):
    sent: list[int] = []
    detector = Detector(
        1, 30, epoch_of(5, 5), 0, Random(1), lambda to, _: sent.append(to), lambda _: None, [KEY]
    )
    detector.view.merge(2, Record(epoch_of(1, 1), 0, State.ALIVE), 0)
    before = list(detector.view.records)
    detector.datagram(number, data, 1)
    assert detector.view.records == before and detector.counters[counter] == 1
    assert sent == ([2] if counter == "old_epoch" else [])  # the old process learns of its successor


def test_a_replayed_frame_is_rejected_in_any_order():
    window = wire.ReplayWindow()
    for counter in (5, 3, 4, 70, 71):
        window.take(1, counter)
    for counter in (5, 3, 4, 70, 71, 6):  # 6 is below the window, so it might be a replay
        with pytest.raises(wire.Dropped, match="replayed"):
            window.take(1, counter)
    window.take(2, 1)
    with pytest.raises(wire.Dropped, match="old_epoch"):
        window.take(1, 72)


def test_no_frame_is_larger_than_the_limit():
    records = [
        wire.Recorded(n, Record(2**63, 2**31, State.DEAD), n)
        for n in range(wire.PAYLOAD_SIZE // wire.RECORD_FORMAT.size)
    ]
    whole = wire.encode_frame([KEY], FRAME._replace(messages=tuple(records)))
    assert len(whole) <= wire.MAX_DATAGRAM and wire.decode_frame([KEY], whole).messages == tuple(records)
