"""Messages as bytes: one msgpack array each, `[tag, field, field, ...]`.

Classes are planned once, at `register`, from their type hints. What arrives is checked against them.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgpack

from brackenladder.transport.errors import DecodeError, DecodeFault, EncodeError, UnsupportedType
from brackenladder.transport.record_codec import RecordCodec
from brackenladder.transport.type_codec import TypeCodecFactory

MAX_ARRAY_ITEMS = 1 << 16  # an array is allocated as announced, before its items have arrived
MAX_MAP_ITEMS = 1 << 16
PACKER_BYTES = 16 << 10  # first size of the buffer that messages are packed into
PACKER_BYTES_KEPT = 1 << 20  # a buffer that has grown beyond is not kept


class Codec:
    """Encodes and decodes the registered classes. Not for use by several threads at once."""

    def __init__(self) -> None:
        self._type_codecs = TypeCodecFactory()
        self._tags: dict[type, tuple[int, RecordCodec]] = {}
        self._records: dict[int, RecordCodec] = {}
        self._packer = msgpack.Packer(buf_size=PACKER_BYTES)

    def register(self, tag: int, message_type: type) -> None:
        """Gives an attrs class its tag. UnsupportedType if a field has no encoding or the tag is taken."""
        if type(tag) is not int or tag < 0:
            raise UnsupportedType(f"{tag!r} is no tag")
        if tag in self._records:
            raise UnsupportedType(f"tag {tag} belongs to {self._records[tag].message_type.__qualname__}")
        if message_type in self._tags:
            raise UnsupportedType(f"{message_type.__qualname__} has a tag already")
        record = self._type_codecs.record(message_type)
        self._records[tag] = record
        self._tags[message_type] = (tag, record)

    def register_all(self, first_tag: int, message_types: Iterable[type]) -> None:
        """Gives the classes consecutive tags from `first_tag` on."""
        for tag, message_type in enumerate(message_types, start=first_tag):
            self.register(tag, message_type)

    def encode(self, message: object) -> bytes:
        """The message's bytes; EncodeError if its class is unknown or a value has no encoding."""
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
        """The message; DecodeError on anything else, whatever the bytes are."""
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
