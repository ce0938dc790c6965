"""Converts decoded JSON or TOML to attrs classes, and reports all faults with their locations.

`named("TimeoutMs")` declares a field whose name in the document differs. Types are checked strictly: a string
is not accepted for a number, nor a bool for an integer. Unknown keys are ignored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from operator import eq
from types import NoneType, UnionType
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

import attrs
from cattrs import BaseValidationError, Converter
from cattrs.cols import homogenous_tuple_structure_factory, mapping_structure_factory
from cattrs.errors import AttributeValidationNote, ClassValidationError, IterableValidationNote
from cattrs.gen import make_dict_structure_fn, override
from returns.result import Failure, Result, Success

from brackenladder.catalog.faults import ConfigurationFault, FaultKind, Faults

T = TypeVar("T")
Hook = Callable[[Any, Any], Any]

MAX_INTEGER = 2**63 - 1
MAX_FLOAT = 1e15  # largest accepted number; fits 64 bits even when converted to microseconds
DOCUMENT_NAME = "document_name"

NonEmptyStr = Annotated[str, "not empty"]
NonNegativeInt = Annotated[int, "0 or above"]
NonNegativeFloat = Annotated[float, "0 or above"]
PositiveFloat = Annotated[float, "above 0"]


class ValueFault(ValueError):
    """A value has the wrong type for its field or is out of range."""

    def __init__(self, kind: FaultKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind


def named(name: str, default: Any = attrs.NOTHING) -> Any:
    """An attrs field with the name `name` in the document."""
    return attrs.field(default=default, metadata={DOCUMENT_NAME: name})


def _wrong_type(expected: str, value: object) -> ValueFault:
    return ValueFault(FaultKind.WRONG_TYPE, f"{expected} is required, not {type(value).__name__}")


def _text(value: Any, _: Any) -> str:
    if type(value) is not str:
        raise _wrong_type("a string", value)
    return value


def _non_empty_text(value: Any, _: Any) -> str:
    if not _text(value, _):
        raise ValueFault(FaultKind.OUT_OF_RANGE, "must not be empty")
    return str(value)


def _flag(value: Any, _: Any) -> bool:
    if type(value) is not bool:
        raise _wrong_type("true or false", value)
    return value


def _any_number(value: Any, _: Any) -> float:
    if type(value) is not int and type(value) is not float:
        raise _wrong_type("a number", value)
    if not abs(value) <= MAX_FLOAT:  # also rejects NaN
        raise ValueFault(FaultKind.OUT_OF_RANGE, "the number is too large")
    return value


def _non_negative_number(value: Any, _: Any) -> float:
    number = _any_number(value, _)
    if number < 0:
        raise ValueFault(FaultKind.OUT_OF_RANGE, "must not be negative")
    return number


def _positive(value: Any, _: Any) -> float:
    number = _any_number(value, _)
    if number <= 0:
        raise ValueFault(FaultKind.OUT_OF_RANGE, "must be above 0")
    return number


def _integer(value: Any, _: Any) -> int:
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int:
        raise _wrong_type("a whole number", value)
    if abs(value) > MAX_INTEGER:
        raise ValueFault(FaultKind.OUT_OF_RANGE, "the number is too large")
    return value


def _non_negative_integer(value: Any, _: Any) -> int:
    integer = _integer(value, _)
    if integer < 0:
        raise ValueFault(FaultKind.OUT_OF_RANGE, "must not be negative")
    return integer


def _is_tuple(type_: Any) -> bool:
    return get_origin(type_) is tuple


def _optional_inner(type_: Any) -> Any:
    """`X` for the type `X | None`; None for any other type."""
    if get_origin(type_) not in (Union, UnionType):
        return None
    members = [member for member in get_args(type_) if member is not NoneType]
    return members[0] if len(members) == 1 else None


def _optional_hook(type_: Any, converter: Converter) -> Hook:
    inner = _optional_inner(type_)
    structure_inner = converter.get_structure_hook(inner)

    def structure_optional(value: Any, _: Any) -> Any:
        return None if value is None else structure_inner(value, inner)

    return structure_optional


def _is_optional(type_: Any) -> bool:
    return _optional_inner(type_) is not None


def _list_hook(type_: Any, converter: Converter) -> Hook:
    structure_items = homogenous_tuple_structure_factory(type_, converter)

    def structure_list(value: Any, _: Any) -> Any:
        if type(value) is not list:
            raise _wrong_type("a list", value)
        return structure_items(value, type_)

    return structure_list


def _is_dict(type_: Any) -> bool:
    return get_origin(type_) is dict


def _dict_hook(type_: Any, converter: Converter) -> Hook:
    structure_items = mapping_structure_factory(type_, converter)

    def structure_dict(value: Any, _: Any) -> Any:
        if type(value) is not dict:
            raise _wrong_type("an object", value)
        return structure_items(value, type_)

    return structure_dict


def _object_hook(type_: Any, converter: Converter) -> Hook:
    overrides: dict[str, Any] = {f.name: override(rename=_document_name(f)) for f in attrs.fields(type_)}
    structure_fields = make_dict_structure_fn(type_, converter, **overrides)

    def structure_object(value: Any, _: Any) -> Any:
        if type(value) is not dict:
            raise _wrong_type("an object", value)
        return structure_fields(value, type_)

    return structure_object


def _document_name(field: attrs.Attribute[Any]) -> str:
    return str(field.metadata.get(DOCUMENT_NAME, field.name))


def _new_converter() -> Converter:
    converter = Converter()
    plain: tuple[tuple[type, Hook], ...] = (
        (str, _text),
        (bool, _flag),
        (int, _integer),
        (float, _any_number),
    )
    for type_, hook in plain:
        converter.register_structure_hook(type_, hook)
    annotated = (
        (NonEmptyStr, _non_empty_text),
        (NonNegativeInt, _non_negative_integer),
        (NonNegativeFloat, _non_negative_number),
        (PositiveFloat, _positive),
    )
    for form, hook in annotated:
        converter.register_structure_hook_func(partial(eq, form), hook)
    converter.register_structure_hook_factory(_is_optional, _optional_hook)
    converter.register_structure_hook_factory(_is_tuple, _list_hook)
    converter.register_structure_hook_factory(_is_dict, _dict_hook)
    converter.register_structure_hook_factory(attrs.has, _object_hook)
    return converter


_CONVERTER = _new_converter()


def structure(type_: type[T], value: object, location: str = "") -> Result[T, Faults]:
    """Converts `value` to `type_`, or reports all its faults. `location` is the path of the value itself."""
    try:
        return Success(_CONVERTER.structure(value, type_))
    except (BaseValidationError, ValueFault) as error:
        return Failure(tuple(_faults(error, location)))


def _faults(error: BaseException, location: str) -> Iterator[ConfigurationFault]:
    if not isinstance(error, BaseValidationError):
        yield _fault(error, location)
        return
    for inner in error.exceptions:
        yield from _faults(inner, _inner_place(error, inner, location))


def _fault(error: BaseException, location: str) -> ConfigurationFault:
    if isinstance(error, ValueFault):
        return ConfigurationFault(location, error.kind, str(error))
    if isinstance(error, KeyError):
        return ConfigurationFault(location, FaultKind.MISSING, "is missing")
    return ConfigurationFault(location, FaultKind.WRONG_TYPE, f"cannot be read ({type(error).__name__})")


def _inner_place(outer: BaseValidationError, inner: BaseException, location: str) -> str:
    for note in getattr(inner, "__notes__", ()):
        if isinstance(note, IterableValidationNote):
            return _item_place(location, note.index)
        if isinstance(note, AttributeValidationNote) and isinstance(outer, ClassValidationError):
            return _item_place(location, _document_name(getattr(attrs.fields(outer.cl), note.name)))
    return location


def _item_place(location: str, key: int | str) -> str:
    if isinstance(key, int):
        return f"{location}[{key}]"
    return f"{location}.{key}" if location else key
