"""Tests of the codec: split streams, limits and malformed input."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from brackenladder.rpc.codec import (
    MAX_MSGID,
    Message,
    MessageLimits,
    MessageReader,
    Notification,
    ProtocolError,
    Request,
    Response,
    nested_at_most,
    notification,
    parse_message,
    request,
    response,
)

LIMITS = MessageLimits(message=2000, nesting=6, method=40)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=12)
    | st.binary(max_size=12)
    | st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=8)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
).filter(lambda value: nested_at_most(value, LIMITS.nesting - 1))
MSGIDS = st.integers(0, MAX_MSGID) | st.sampled_from((0, 127, 128, 65535, 65536, MAX_MSGID))
METHODS = st.text(max_size=LIMITS.method)
PARAMS = st.lists(VALUES, max_size=4)
MESSAGES = (
    st.tuples(st.just(0), MSGIDS, METHODS, PARAMS)
    | st.tuples(st.just(1), MSGIDS, VALUES, VALUES)
    | st.tuples(st.just(2), METHODS, PARAMS)
)


def pack(value: Any) -> bytes:
    return msgpack.packb(value, use_bin_type=True)


def plain(message: Message) -> tuple[Any, ...]:
    """Converts a message to the tuple it was packed from, decoding the raw bytes."""
    if isinstance(message, Request):
        assert unpack(message.raw) == message.params
        return (0, message.msgid, message.method, message.params)
    if isinstance(message, Notification):
        assert unpack(message.raw) == message.params
        return (2, message.method, message.params)
    assert unpack(message.raw_error) == message.error
    return (1, message.msgid, message.error, unpack(message.raw_result))


def unpack(data: bytes) -> Any:
    return msgpack.unpackb(data, strict_map_key=False)


def read_all(pieces: list[bytes], limits: MessageLimits = LIMITS) -> tuple[list[Message], str]:
    reader = MessageReader(limits)
    messages = [message for piece in pieces for message in reader.feed(piece)]
    return messages, reader.error


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Splits the data at these positions (modulo its length)."""
    cuts = sorted({0, len(data), *(p % (len(data) + 1) for p in places)})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


@given(st.lists(MESSAGES, max_size=6), st.lists(st.integers(0, 5000), max_size=12))
@settings(max_examples=300, deadline=None)
def test_a_stream_split_anywhere_gives_its_messages(sent: list[Any], places: list[int]) -> None:
    data = b"".join(map(pack, sent))
    messages, error = read_all(cut(data, places))
    assert not error
    assert [plain(m) for m in messages] == [tuple(m) for m in sent]


@given(st.lists(MESSAGES, min_size=1, max_size=3))
@settings(max_examples=60, deadline=None)
def test_a_stream_that_arrives_byte_by_byte(sent: list[Any]) -> None:
    data = b"".join(map(pack, sent))
    messages, error = read_all([data[i : i + 1] for i in range(len(data))])
    assert not error and [plain(m) for m in messages] == [tuple(m) for m in sent]


@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=6))
@settings(max_examples=500, deadline=None)
@example(b"\x94\x00\xc1", [1])
@example(b"\x91" * 300, [7])
@example(b"\xdf\xff\xff\xff\xff", [])
@example(b"\xdd\xff\xff\xff\xff", [2])
def test_any_bytes_give_the_same_result_however_they_are_split(data: bytes, places: list[int]) -> None:
    whole = read_all([data])
    assert read_all(cut(data, places)) == whole
    assert "\n" not in whole[1]


@given(st.lists(MESSAGES, max_size=4), st.binary(min_size=1, max_size=40))
@settings(max_examples=150, deadline=None)
def test_complete_messages_before_a_fault_are_returned(sent: list[Any], noise: bytes) -> None:
    data = b"".join(map(pack, sent)) + b"\xc1" + noise  # a byte that MessagePack never uses
    messages, error = read_all([data])
    assert error and [plain(m) for m in messages] == [tuple(m) for m in sent]


def test_nothing_is_read_after_a_fault() -> None:
    reader = MessageReader(LIMITS)
    assert reader.feed(b"\xc1") == [] and reader.error
    assert reader.feed(pack([2, "m", []])) == [] and reader.buffered() == 0


@pytest.mark.parametrize(
    ("message", "error_text"),
    [
        (7, "not MessagePack"),
        ("text", "not MessagePack"),
        ([], "a message of no parts"),
        ([0, 1, "m"], "not a request, a response or a notification"),
        ([2, "m", [], 1], "not a request, a response or a notification"),
        ([3, 1, "m", []], "not a request, a response or a notification"),
        ([True, 1, "m", []], "not a request, a response or a notification"),
        ([0, -1, "m", []], "a msgid that is no 32-bit unsigned number"),
        ([0, MAX_MSGID + 1, "m", []], "a msgid that is no 32-bit unsigned number"),
        ([0, "1", "m", []], "a msgid that is no 32-bit unsigned number"),
        ([0, True, "m", []], "a msgid that is no 32-bit unsigned number"),
        ([0, 1, 5, []], "a method that is no name of at most 40 characters"),
        ([0, 1, "m" * 41, []], "a method that is no name of at most 40 characters"),
        ([0, 1, "m", {}], "params that are no array"),
        ([2, "m", "p"], "params that are no array"),
        ([0, 1, "m", [[[[[[[1]]]]]]]], "params nested over 6 deep"),
        ([0, 1, "m", [{"a": [{"b": [{"c": [1]}]}]}]], "params nested over 6 deep"),
        ([1, 1, [[[[[[[1]]]]]]], None], "an error nested over 6 deep"),
        ([0, 1, "m", ["x" * 2000]], "a message of over 2000 bytes"),
    ],
)
def test_malformed_messages_are_described(message: Any, error_text: str) -> None:
    messages, error = read_all([pack(message)])
    assert messages == [] and error.startswith(error_text)


def test_nesting_at_the_limit_is_read() -> None:
    assert not read_all([pack([0, 1, "m", [[[[[[1]]]]]]])])[1]


def test_a_message_at_the_size_limit_is_read_and_one_byte_more_is_not() -> None:
    size = len(pack([0, 1, "m", [""]])) + 2  # a longer string has a longer header
    fits = pack([0, 1, "m", ["x" * (LIMITS.message - size)]])
    assert len(fits) == LIMITS.message and len(read_all([fits, fits])[0]) == 2
    assert (
        read_all([pack([0, 1, "m", ["x" * (LIMITS.message - size + 1)]])])[1]
        == "a message of over 2000 bytes"
    )


def test_a_message_that_announces_a_large_size_is_refused_early() -> None:
    """A header that announces 4 GB must not allocate them."""
    reader = MessageReader(LIMITS)
    reader.feed(b"\x94\x00\x01\xa1m\x91\xc6\xff\xff\xff\xff" + b"x" * 1000)
    assert reader.buffered() <= LIMITS.message and not reader.error
    for _ in range(3):
        reader.feed(b"x" * 1000)
    assert reader.error == "a message of over 2000 bytes" and reader.buffered() == 0


def test_forwarded_values_keep_their_bytes() -> None:
    """A number encoded in four bytes must not be sent on in one, or a 32-bit float in eight bytes."""
    params = b"\x93\xd2\x00\x00\x00\x01\xca\x3f\x80\x00\x00\xd9\x01a"  # int 32, float 32, str 8
    message = parse_message(b"\x94\x00\x01\xa1m" + params, LIMITS)
    assert isinstance(message, Request) and message.raw == params and message.params == [1, 1.0, "a"]
    assert request(7, "m", message.raw) == b"\x94\x00\x07\xa1m" + params
    assert notification("m", message.raw) == b"\x93\x02\xa1m" + params
    answer = parse_message(b"\x94\x01\x01\xc0" + params, LIMITS)
    assert isinstance(answer, Response) and answer.raw_result == params
    assert response(MAX_MSGID, answer.raw_error, answer.raw_result) == (
        b"\x94\x01\xce\xff\xff\xff\xff\xc0" + params
    )


def test_a_method_name_may_be_binary() -> None:
    message = parse_message(b"\x93\x02\xc4\x01m\x90", LIMITS)
    assert message == Notification("m", [], b"\x90")


def test_text_that_is_not_utf_8_is_forwarded() -> None:
    message = parse_message(b"\x94\x00\x01\xa1\xff\x91\xa1\xfe", LIMITS)
    assert isinstance(message, Request) and message.raw == b"\x91\xa1\xfe"
    assert request(1, message.method, message.raw) == b"\x94\x00\x01\xa1\xff\x91\xa1\xfe"


def test_a_truncated_message_is_malformed() -> None:
    with pytest.raises(ProtocolError):
        parse_message(b"\x94\x00\x01\xa1m", LIMITS)
