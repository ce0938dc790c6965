"""How typed values travel in msgpack: an encoder and a checking decoder for each type hint."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping
from enum import Enum
from operator import attrgetter
from typing import Any, Union, get_args, get_origin, get_type_hints

import attrs
from attrs import frozen

from brackenladder.transport.errors import DecodeError, DecodeFault, UnsupportedType
from brackenladder.transport.record import Record

PLAIN_TYPES: frozenset[type] = frozenset({int, str, bytes, bool})


@frozen
class Shape:
    """How values of one type hint travel."""

    decode: Callable[[Any], Any]  # raises DecodeError
    encode: Callable[[Any], Any] | None = None  # None: a value travels as it is
    plain: type | None = None  # only the exact type is checked, the value is taken as it is


def wrong_type(expected: str, value: object) -> DecodeError:
    """The error of a value of another type than declared."""
    return DecodeError(DecodeFault.WRONG_TYPE, f"{type(value).__name__} instead of {expected}")


class ShapeFactory:
    """Makes shapes from type hints. Records are made once for each class; a class may hold itself."""

    def __init__(self) -> None:
        self._records: dict[type, Record] = {}

    def record(self, message_type: type) -> Record:
        """The plan of an attrs class."""
        known = self._records.get(message_type)
        if known is not None:
            return known
        if not attrs.has(message_type):
            raise UnsupportedType(f"{message_type.__qualname__} is no attrs class")
        made = self._records[message_type] = Record(message_type)
        try:
            self._fill(made, message_type)
        except BaseException:
            self._records.clear()  # others made meanwhile may refer to the unfinished one
            raise
        return made

    def of(self, hint: Any) -> Shape:
        """The shape of a type hint; UnsupportedType if it has none."""
        if hint in PLAIN_TYPES:
            return Shape(decode=_plain_decoder(hint), plain=hint)
        if hint is float:
            return Shape(decode=_decode_float)
        if hint is None or hint is type(None):
            return Shape(decode=_decode_none)
        if get_origin(hint) is not None:
            return self._generic(hint)
        if isinstance(hint, type) and issubclass(hint, Enum):
            return _enum_shape(hint)
        if isinstance(hint, type) and attrs.has(hint):
            return _record_shape(self.record(hint))
        raise UnsupportedType(f"no encoding for {hint!r}")

    def _fill(self, record: Record, message_type: type) -> None:
        hints = _hints_of(message_type)
        fields = [each for each in attrs.fields(message_type) if each.init]
        for each in fields:
            try:
                shape = self.of(hints[each.name])
            except UnsupportedType as fault:
                raise UnsupportedType(f"{message_type.__qualname__}.{each.name}: {fault}") from fault
            record.add(each, shape.encode, shape.decode, shape.plain)
        record.complete()

    def _generic(self, hint: Any) -> Shape:
        origin, arguments = get_origin(hint), get_args(hint)
        if origin is Union or origin is types.UnionType:
            return self._optional(hint, arguments)
        if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
            return _sequence_shape(self.of(arguments[0]))
        if origin is tuple:
            return _fixed_shape(tuple(self.of(each) for each in arguments))
        if origin is frozenset:
            return _frozenset_shape(self.of(arguments[0]))
        if origin in (dict, Mapping) and arguments[0] is str:
            return _mapping_shape(self.of(arguments[1]))
        raise UnsupportedType(f"no encoding for {hint!r}")

    def _optional(self, hint: Any, arguments: tuple[Any, ...]) -> Shape:
        others = [each for each in arguments if each is not type(None)]
        if len(others) != 1:
            raise UnsupportedType(f"no encoding for {hint!r}: a union may only add None to one type")
        return _optional_shape(self.of(others[0]))


def _hints_of(message_type: type) -> dict[str, Any]:
    try:
        return get_type_hints(message_type)
    except NameError as fault:
        raise UnsupportedType(f"{message_type.__qualname__}: {fault}") from fault


def _plain_decoder(expected: type) -> Callable[[Any], Any]:
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


def _enum_shape(enum_type: type[Enum]) -> Shape:
    by_value = {member.value: member for member in enum_type}
    value_types = frozenset(type(value) for value in by_value)
    if not value_types <= PLAIN_TYPES:
        raise UnsupportedType(f"{enum_type.__qualname__}: its values are not plain")

    def decode(value: Any) -> Enum:
        if type(value) not in value_types:
            raise wrong_type(enum_type.__qualname__, value)
        member = by_value.get(value)
        if member is None:
            raise DecodeError(DecodeFault.WRONG_TYPE, f"{value!r} is no {enum_type.__qualname__}")
        return member

    travels_as_it_is = issubclass(enum_type, int | str)
    return Shape(decode=decode, encode=None if travels_as_it_is else attrgetter("value"))


def _record_shape(record: Record) -> Shape:
    return Shape(decode=record.from_wire, encode=record.to_wire)


def _optional_shape(inner: Shape) -> Shape:
    inner_decode, inner_encode = inner.decode, inner.encode

    def decode(value: Any) -> Any:
        return None if value is None else inner_decode(value)

    if inner_encode is None:
        return Shape(decode=decode)

    def encode(value: Any) -> Any:
        return None if value is None else inner_encode(value)

    return Shape(decode=decode, encode=encode)


def _checked_items(inner: Shape) -> Callable[[Any], Any]:
    """Decoder of an array of one shape; gives a tuple, or a list when items had to be converted."""
    decode, plain = inner.decode, inner.plain
    all_plain: frozenset[type] = frozenset() if plain is None else frozenset({plain})

    def decode_items(value: Any) -> Any:
        if type(value) is not tuple:
            raise wrong_type("array", value)
        if plain is not None and all_plain.issuperset(map(type, value)):
            return value
        return [decode(each) for each in value]

    return decode_items


def _sequence_shape(inner: Shape) -> Shape:
    items, inner_encode = _checked_items(inner), inner.encode

    def decode(value: Any) -> tuple[Any, ...]:
        return tuple(items(value))

    if inner_encode is None:
        return Shape(decode=decode)

    def encode(value: Any) -> list[Any]:
        return [inner_encode(each) for each in value]

    return Shape(decode=decode, encode=encode)


def _frozenset_shape(inner: Shape) -> Shape:
    items, inner_encode = _checked_items(inner), inner.encode

    def decode(value: Any) -> frozenset[Any]:
        return frozenset(items(value))

    def encode(value: Any) -> list[Any]:
        return list(value) if inner_encode is None else [inner_encode(each) for each in value]

    return Shape(decode=decode, encode=encode)


def _fixed_shape(inner: tuple[Shape, ...]) -> Shape:
    def decode(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple or len(value) != len(inner):
            raise wrong_type(f"array of {len(inner)}", value)
        return tuple(shape.decode(each) for shape, each in zip(inner, value, strict=True))

    def encode(value: Any) -> list[Any]:
        pairs = zip(inner, value, strict=True)
        return [each if shape.encode is None else shape.encode(each) for shape, each in pairs]

    if all(shape.encode is None for shape in inner):
        return Shape(decode=decode)
    return Shape(decode=decode, encode=encode)


def _mapping_shape(inner: Shape) -> Shape:
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

    return Shape(decode=decode, encode=encode)
