"""Checks values against the `annotated_types` constraints of their data classes.

The library that decodes the values has checked their types, but ignores constraints.
"""

from collections.abc import Mapping
from dataclasses import is_dataclass
from functools import cache
from types import NoneType
from typing import Annotated, Any, get_args, get_origin, get_type_hints

from annotated_types import BaseMetadata, Ge, Gt, Le, Len, Lt


def is_within_constraints(value: Any, hint: Any) -> bool:
    """Return True if a value and everything in it meet the constraints of a type.

    Raises `TypeError` for a constraint of an unsupported kind.
    """
    if get_origin(hint) is Annotated:
        inner, *constraints = get_args(hint)
        is_satisfied = all(_is_satisfied(value, item) for item in constraints)
        return is_satisfied and is_within_constraints(value, inner)
    if is_dataclass(value) and not isinstance(value, type):
        hints = _get_hints(type(value))
        return all(
            is_within_constraints(getattr(value, n), h) for n, h in hints.items()
        )
    args = [arg for arg in get_args(hint) if arg is not NoneType and arg is not ...]
    if isinstance(value, Mapping) and len(args) == 2:
        key_hint, item_hint = args
        return all(
            is_within_constraints(k, key_hint) and is_within_constraints(v, item_hint)
            for k, v in value.items()
        )
    if isinstance(value, tuple | list | frozenset) and args:
        return all(is_within_constraints(item, args[0]) for item in value)
    if len(args) == 1 and value is not None:
        return is_within_constraints(value, args[0])
    return True


@cache
def _get_hints(kind: type) -> dict[str, Any]:
    """Return the annotated types of the fields of a data class, by name."""
    hints = get_type_hints(kind, include_extras=True)
    return {name: hint for name, hint in hints.items() if not name.startswith("__")}


def _is_satisfied(value: Any, constraint: Any) -> bool:
    match constraint:
        case Ge(ge=bound):
            return bool(value >= bound)
        case Gt(gt=bound):
            return bool(value > bound)
        case Le(le=bound):
            return bool(value <= bound)
        case Lt(lt=bound):
            return bool(value < bound)
        case Len(min_length=minimum, max_length=maximum):
            return minimum <= len(value) and (maximum is None or len(value) <= maximum)
        case BaseMetadata():
            raise TypeError(f"unknown constraint {constraint!r}")
        case _:
            return True
