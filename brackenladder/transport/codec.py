"""Encodes messages as msgpack arrays, `[tag, field, field, ...]`.

The encoders and decoders of a class are built once, at `register`, from its type hints. Received data is
checked against these hints.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgpack

from brackenladder.transport.errors import DecodeError, DecodeFault, EncodeError, UnsupportedType
from brackenladder.transport.record_codec import RecordCodec
from brackenladder.transport.type_codec import TypeCodecFactory

MAX_ARRAY_ITEMS = 1 << 16  # msgpack allocates an array of the announced length before reading its items
MAX_MAP_ITEMS = 1 << 16
PACKER_BYTES = 16 << 10  # initial size of the buffer that messages are packed into
PACKER_BYTES_KEPT = 1 << 20  # a packer whose message was larger is replaced, to free its buffer


class Codec:
    """Encodes and decodes the registered classes. Not thread-safe."""

    def __init__(self) -> None:
        self._type_codecs = TypeCodecFactory()
        self._tags: dict[type, tuple[int, RecordCodec]] = {}
        self._records: dict[int, RecordCodec] = {}
        self._packer = msgpack.Packer(buf_size=PACKER_BYTES)

    def register(self, tag: int, message_type: type) -> None:
        """Assigns a tag to an attrs class.

        Raises UnsupportedType if a field's type can't be encoded, or if the tag or the class is registered
        already.
        """
        if type(tag) is not int or tag < 0:
            raise UnsupportedType(f"{tag!r} is not a valid tag")
        if tag in self._records:
            raise UnsupportedType(f"tag {tag} belongs to {self._records[tag].message_type.__qualname__}")
        if message_type in self._tags:
            raise UnsupportedType(f"{message_type.__qualname__} already has a tag")
        record = self._type_codecs.record(message_type)
        self._records[tag] = record
        self._tags[message_type] = (tag, record)

    def register_all(self, first_tag: int, message_types: Iterable[type]) -> None:
        """Assigns consecutive tags to the classes, starting with `first_tag`."""
        for tag, message_type in enumerate(message_types, start=first_tag):
            self.register(tag, message_type)

    def encode(self, message: object) -> bytes:
        """Encodes a message. Raises EncodeError if its class isn't registered or a value can't be encoded."""
        known = self._tags.get(type(message))
        if known is None:
            raise EncodeError(f"{type(message).__qualname__} is not registered")
        tag, record = known
        try:
            data: bytes = self._packer.pack((tag, *record.to_wire(message)))
        except (TypeError, ValueError, OverflowError, AttributeError, RecursionError) as fault:
            raise EncodeError(f"{type(message).__qualname__}: {fault}") from fault
        if len(data) > PACKER_BYTES_KEPT:
            self._packer = msgpack.Packer(buf_size=PACKER_BYTES)
        return data

    def decode(self, data: bytes) -> object:
        """Decodes a message. Raises DecodeError, and nothing else, for any bytes that aren't a message."""
        values = _unpack(data)
        if type(values) is not tuple or not values or type(values[0]) is not int:
            raise DecodeError(DecodeFault.NOT_A_MESSAGE)
        record = self._records.get(values[0])
        if record is None:
            raise DecodeError(DecodeFault.UNKNOWN_TAG, str(values[0]))
        try:
            return record.from_wire(values[1:])
        except RecursionError as fault:
            raise DecodeError(DecodeFault.REFUSED_VALUE, "nested too deep") from fault


def _unpack(data: bytes) -> object:
    try:
        return msgpack.unpackb(
            data,
            raw=False,
            use_list=False,
            strict_map_key=True,
            max_array_len=MAX_ARRAY_ITEMS,
            max_map_len=MAX_MAP_ITEMS,
            max_ext_len=0,
        )
    except (ValueError, TypeError, OverflowError, RecursionError, msgpack.UnpackException) as fault:
        raise DecodeError(DecodeFault.NOT_MSGPACK, str(fault)) from fault
