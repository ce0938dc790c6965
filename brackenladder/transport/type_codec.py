"""Encoders and type-checking decoders between values and msgpack, built from type hints."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping
from enum import Enum
from operator import attrgetter
from typing import Any, Union, get_args, get_origin, get_type_hints

import attrs
from attrs import frozen

from brackenladder.transport.errors import DecodeError, DecodeFault, UnsupportedType
from brackenladder.transport.record_codec import RecordCodec

PLAIN_TYPES: frozenset[type] = frozenset({int, str, bytes, bool})  # msgpack encodes them without conversion


@frozen
class TypeCodec:
    """Converts values of one type hint."""

    decode: Callable[[Any], Any]  # raises DecodeError
    encode: Callable[[Any], Any] | None = None  # None: no conversion is needed
    exact_type: type | None = None  # set if decoding is only a check for this exact type


def wrong_type(expected: str, value: object) -> DecodeError:
    """Returns the error for a value whose type isn't the declared one."""
    return DecodeError(DecodeFault.WRONG_TYPE, f"{type(value).__name__} instead of {expected}")


class TypeCodecFactory:
    """Builds codecs from type hints. A class gets one record codec; it may contain itself."""

    def __init__(self) -> None:
        self._records: dict[type, RecordCodec] = {}

    def record(self, message_type: type) -> RecordCodec:
        """Returns the codec of an attrs class."""
        known = self._records.get(message_type)
        if known is not None:
            return known
        if not attrs.has(message_type):
            raise UnsupportedType(f"{message_type.__qualname__} is not an attrs class")
        record = self._records[message_type] = RecordCodec(message_type)
        try:
            self._add_fields(record, message_type)
        except BaseException:
            self._records.clear()  # codecs of nested classes may refer to this incomplete one
            raise
        return record

    def of(self, hint: Any) -> TypeCodec:
        """Returns the codec of a type hint. Raises UnsupportedType if there is none."""
        if hint in PLAIN_TYPES:
            return TypeCodec(decode=_exact_decoder(hint), exact_type=hint)
        if hint is float:
            return TypeCodec(decode=_decode_float)
        if hint is None or hint is type(None):
            return TypeCodec(decode=_decode_none)
        if get_origin(hint) is not None:
            return self._generic(hint)
        if isinstance(hint, type) and issubclass(hint, Enum):
            return _enum_codec(hint)
        if isinstance(hint, type) and attrs.has(hint):
            return _record_codec(self.record(hint))
        raise UnsupportedType(f"no encoding for {hint!r}")

    def _add_fields(self, record: RecordCodec, message_type: type) -> None:
        hints = _hints_of(message_type)
        fields = [each for each in attrs.fields(message_type) if each.init]
        for each in fields:
            try:
                type_codec = self.of(hints[each.name])
            except UnsupportedType as fault:
                raise UnsupportedType(f"{message_type.__qualname__}.{each.name}: {fault}") from fault
            record.add_field(each, type_codec.encode, type_codec.decode, type_codec.exact_type)
        record.complete()

    def _generic(self, hint: Any) -> TypeCodec:
        origin, arguments = get_origin(hint), get_args(hint)
        if origin is Union or origin is types.UnionType:
            return self._optional(hint, arguments)
        if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
            return _sequence_codec(self.of(arguments[0]))
        if origin is tuple:
            return _fixed_tuple_codec(tuple(self.of(each) for each in arguments))
        if origin is frozenset:
            return _frozenset_codec(self.of(arguments[0]))
        if origin in (dict, Mapping) and arguments[0] is str:
            return _mapping_codec(self.of(arguments[1]))
        raise UnsupportedType(f"no encoding for {hint!r}")

    def _optional(self, hint: Any, arguments: tuple[Any, ...]) -> TypeCodec:
        others = [each for each in arguments if each is not type(None)]
        if len(others) != 1:
            raise UnsupportedType(f"no encoding for {hint!r}: a union may only add None to one type")
        return _optional_codec(self.of(others[0]))


def _hints_of(message_type: type) -> dict[str, Any]:
    try:
        return get_type_hints(message_type)
    except NameError as fault:
        raise UnsupportedType(f"{message_type.__qualname__}: {fault}") from fault


def _exact_decoder(expected: type) -> Callable[[Any], Any]:
    def decode(value: Any) -> Any:
        if type(value) is not expected:
            raise wrong_type(expected.__name__, value)
        return value

    return decode


def _decode_float(value: Any) -> float:
    if type(value) is float:
        return value
    if type(value) is int:
        return float(value)
    raise wrong_type("float", value)


def _decode_none(value: Any) -> None:
    if value is not None:
        raise wrong_type("None", value)


def _enum_codec(enum_type: type[Enum]) -> TypeCodec:
    by_value = {member.value: member for member in enum_type}
    value_types = frozenset(type(value) for value in by_value)
    if not value_types <= PLAIN_TYPES:
        raise UnsupportedType(f"{enum_type.__qualname__}: its values are not int, str, bytes or bool")

    def decode(value: Any) -> Enum:
        if type(value) not in value_types:
            raise wrong_type(enum_type.__qualname__, value)
        member = by_value.get(value)
        if member is None:
            raise DecodeError(DecodeFault.WRONG_TYPE, f"{value!r} is not a {enum_type.__qualname__}")
        return member

    msgpack_encodes_it = issubclass(enum_type, int | str)
    return TypeCodec(decode=decode, encode=None if msgpack_encodes_it else attrgetter("value"))


def _record_codec(record: RecordCodec) -> TypeCodec:
    return TypeCodec(decode=record.from_wire, encode=record.to_wire)


def _optional_codec(inner: TypeCodec) -> TypeCodec:
    inner_decode, inner_encode = inner.decode, inner.encode

    def decode(value: Any) -> Any:
        return None if value is None else inner_decode(value)

    if inner_encode is None:
        return TypeCodec(decode=decode)

    def encode(value: Any) -> Any:
        return None if value is None else inner_encode(value)

    return TypeCodec(decode=decode, encode=encode)


def _checked_items(inner: TypeCodec) -> Callable[[Any], Any]:
    """Returns a decoder of an array of one item type. It returns a list if items had to be converted."""
    decode, exact_type = inner.decode, inner.exact_type
    accepted: frozenset[type] = frozenset() if exact_type is None else frozenset({exact_type})

    def decode_items(value: Any) -> Any:
        if type(value) is not tuple:
            raise wrong_type("array", value)
        if exact_type is not None and accepted.issuperset(map(type, value)):
            return value
        return [decode(each) for each in value]

    return decode_items


def _sequence_codec(inner: TypeCodec) -> TypeCodec:
    items, inner_encode = _checked_items(inner), inner.encode

    def decode(value: Any) -> tuple[Any, ...]:
        return tuple(items(value))

    if inner_encode is None:
        return TypeCodec(decode=decode)

    def encode(value: Any) -> list[Any]:
        return [inner_encode(each) for each in value]

    return TypeCodec(decode=decode, encode=encode)


def _frozenset_codec(inner: TypeCodec) -> TypeCodec:
    items, inner_encode = _checked_items(inner), inner.encode

    def decode(value: Any) -> frozenset[Any]:
        return frozenset(items(value))

    def encode(value: Any) -> list[Any]:
        return list(value) if inner_encode is None else [inner_encode(each) for each in value]

    return TypeCodec(decode=decode, encode=encode)


def _fixed_tuple_codec(inner: tuple[TypeCodec, ...]) -> TypeCodec:
    def decode(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple or len(value) != len(inner):
            raise wrong_type(f"array of {len(inner)}", value)
        return tuple(type_codec.decode(each) for type_codec, each in zip(inner, value, strict=True))

    def encode(value: Any) -> list[Any]:
        pairs = zip(inner, value, strict=True)
        return [each if type_codec.encode is None else type_codec.encode(each) for type_codec, each in pairs]

    if all(type_codec.encode is None for type_codec in inner):
        return TypeCodec(decode=decode)
    return TypeCodec(decode=decode, encode=encode)


def _mapping_codec(inner: TypeCodec) -> TypeCodec:
    inner_decode, inner_encode = inner.decode, inner.encode

    def decode(value: Any) -> dict[str, Any]:
        if type(value) is not dict:
            raise wrong_type("map", value)
        for key in value:
            if type(key) is not str:
                raise wrong_type("str as key", key)
        return {key: inner_decode(each) for key, each in value.items()}

    def encode(value: Any) -> dict[str, Any]:
        if inner_encode is None:
            return dict(value)
        return {key: inner_encode(each) for key, each in value.items()}

    return TypeCodec(decode=decode, encode=encode)
