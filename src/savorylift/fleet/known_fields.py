"""Reads records of newer builds, which may have fields that this one lacks.

Builds run side by side while a fleet is upgraded. A record is encoded as the
list of its fields, and new fields are only ever added at its end.
"""

import functools
import types
import typing


def keep_known_fields(values: object, cls: object) -> object:
    """Returns decoded values without the fields that a type doesn't have.

    Args:
        values: Lists, dictionaries and scalars, as decoded.
        cls: Type of the values: a `NamedTuple`, one or None, a tuple of any
            length of them, or any other type, whose values are returned as
            they are.
    """
    if not isinstance(values, list):
        return values
    if isinstance(cls, types.UnionType):
        # The other member is None, which is no list.
        cls = typing.get_args(cls)[0]
    if typing.get_origin(cls) is tuple:
        item_cls, *rest = typing.get_args(cls)
        if rest != [...]:
            return values
        return [keep_known_fields(item, item_cls) for item in values]
    if not isinstance(cls, type) or not issubclass(cls, tuple):
        return values
    return [
        keep_known_fields(value, field_cls)
        for value, field_cls in zip(values, _field_types(cls), strict=False)
    ]


@functools.cache
def _field_types(cls: type) -> tuple[object, ...]:
    return tuple(typing.get_type_hints(cls).values())
