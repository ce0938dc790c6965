"""Conversion between instances of one attrs class and msgpack arrays."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter, itemgetter
from typing import Any

import attrs

from brackenladder.transport.errors import DecodeError, DecodeFault

Convert = Callable[[Any], Any]


class RecordCodec:
    """Encodes and decodes one class. Call `add_field` for its fields in order, then `complete`.

    For compatibility between versions of a class, an array may have fewer items than the class has fields
    (the missing ones take their defaults) or more (the surplus is ignored).
    """

    def __init__(self, message_type: type) -> None:
        self.message_type = message_type
        self._fields: list[attrs.Attribute[Any]] = []
        self._encoders: list[Convert | None] = []
        self._decoders: list[Convert] = []
        self._exact_types: list[type | None] = []
        self._make: Callable[..., object] = message_type
        self._read: Callable[[Any], tuple[Any, ...]] = _nothing
        self._to_encode: tuple[tuple[int, Convert], ...] = ()
        self._to_decode: tuple[tuple[int, Convert], ...] = ()
        self._exact_values: Callable[[Any], tuple[Any, ...]] = _nothing
        self._required_exact_types: tuple[type, ...] = ()
        self._required = 0
        self._count = 0

    def add_field(
        self, field: attrs.Attribute[Any], encode: Convert | None, decode: Convert, exact_type: type | None
    ) -> None:
        """Adds the next field. `exact_type` is set if a value only needs a type check and no decoding."""
        self._fields.append(field)
        self._encoders.append(encode)
        self._decoders.append(decode)
        self._exact_types.append(exact_type)
        if field.default is attrs.NOTHING:
            self._required = len(self._fields)

    def complete(self) -> None:
        """Prepares the conversion once all fields have been added."""
        self._count = len(self._fields)
        self._read = _reader([each.name for each in self._fields])
        if any(each.kw_only for each in self._fields):
            self._make = _by_keyword(self.message_type, [each.alias or each.name for each in self._fields])
        encoders = enumerate(self._encoders)
        self._to_encode = tuple((index, encode) for index, encode in encoders if encode is not None)
        decoders = enumerate(zip(self._decoders, self._exact_types, strict=True))
        exact_type = [(index, each) for index, each in enumerate(self._exact_types) if each is not None]
        self._exact_values = _picker([index for index, _ in exact_type])
        self._required_exact_types = tuple(each for _, each in exact_type)
        self._to_decode = tuple(
            (index, decode) for index, (decode, exact_type) in decoders if exact_type is None
        )

    def to_wire(self, message: Any) -> tuple[Any, ...] | list[Any]:
        """Returns the field values in order, in types that msgpack can encode."""
        values = self._read(message)
        if not self._to_encode:
            return values
        converted = list(values)
        for index, encode in self._to_encode:
            converted[index] = encode(converted[index])
        return converted

    def from_wire(self, values: Any) -> object:
        """Builds an instance. Raises DecodeError if the array doesn't match the class."""
        if type(values) is not tuple:
            found = type(values).__name__
            raise DecodeError(DecodeFault.WRONG_TYPE, f"{found} instead of {self.message_type.__qualname__}")
        if len(values) < self._required:
            missing = self._fields[len(values)].name
            raise DecodeError(DecodeFault.MISSING_FIELD, f"{self.message_type.__qualname__}.{missing}")
        return self._instance(self._checked(values[: self._count]))

    def _checked(self, values: tuple[Any, ...]) -> list[Any]:
        if (
            len(values) < self._count
            or tuple(map(type, self._exact_values(values))) != self._required_exact_types
        ):
            self._check_each(values)
        return self._converted(list(values))

    def _check_each(self, values: tuple[Any, ...]) -> None:
        """Checks the fields one by one: if some are missing, or to report which one has the wrong type."""
        for index, (value, expected) in enumerate(zip(values, self._exact_types, strict=False)):
            if expected is not None and type(value) is not expected:
                raise self._wrong(index, value, expected)

    def _converted(self, values: list[Any]) -> list[Any]:
        for index, decode in self._to_decode:
            if index >= len(values):
                break
            values[index] = decode(values[index])
        return values

    def _wrong(self, index: int, value: object, expected: type) -> DecodeError:
        location = f"{self.message_type.__qualname__}.{self._fields[index].name}"
        found = f"{type(value).__name__} instead of {expected.__name__}"
        return DecodeError(DecodeFault.WRONG_TYPE, f"{location}: {found}")

    def _instance(self, values: list[Any]) -> object:
        try:
            return self._make(*values)
        except (ValueError, TypeError, LookupError, ArithmeticError) as fault:
            location = self.message_type.__qualname__
            raise DecodeError(DecodeFault.REFUSED_VALUE, f"{location}: {fault}") from fault


def _nothing(source: Any) -> tuple[Any, ...]:
    return ()


def _reader(names: list[str]) -> Callable[[Any], tuple[Any, ...]]:
    """Returns a function that reads the attributes as a tuple (attrgetter returns no tuple for one name)."""
    if not names:
        return _nothing
    if len(names) > 1:
        return attrgetter(*names)
    read_one = attrgetter(names[0])
    return lambda message: (read_one(message),)


def _picker(indexes: list[int]) -> Callable[[Any], tuple[Any, ...]]:
    """Returns a function that picks items as a tuple (itemgetter returns no tuple for one index)."""
    if not indexes:
        return _nothing
    if len(indexes) > 1:
        return itemgetter(*indexes)
    only = indexes[0]
    return lambda values: (values[only],)


def _by_keyword(message_type: type, names: list[str]) -> Callable[..., object]:
    def make(*values: Any) -> object:
        return message_type(**dict(zip(names, values, strict=False)))

    return make
