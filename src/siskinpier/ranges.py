"""Whether values lie within the ranges that their data classes declare.

For values whose types were checked already, by a library that knows no constraints of
`annotated_types`.
"""

from collections.abc import Mapping
from dataclasses import is_dataclass
from functools import cache
from types import NoneType
from typing import Annotated, Any, get_args, get_origin, get_type_hints

from annotated_types import BaseMetadata, Ge, Gt, Le, Len, Lt


def is_in_range(value: Any, hint: Any) -> bool:
    """Return True if a value and all that it holds keep a type's constraints."""
    if get_origin(hint) is Annotated:
        inner, *constraints = get_args(hint)
        kept = all(_is_kept(value, item) for item in constraints)
        return kept and is_in_range(value, inner)
    if is_dataclass(value) and not isinstance(value, type):
        hints = _get_hints(type(value))
        return all(is_in_range(getattr(value, n), h) for n, h in hints.items())
    args = [arg for arg in get_args(hint) if arg is not NoneType and arg is not ...]
    if isinstance(value, Mapping) and len(args) == 2:
        key, held = args
        return all(
            is_in_range(k, key) and is_in_range(v, held) for k, v in value.items()
        )
    if isinstance(value, tuple | list | frozenset) and args:
        return all(is_in_range(item, args[0]) for item in value)
    if len(args) == 1 and value is not None:
        return is_in_range(value, args[0])
    return True


@cache
def _get_hints(kind: type) -> dict[str, Any]:
    """Return the types of a data class's fields, with their constraints."""
    hints = get_type_hints(kind, include_extras=True)
    return {name: hint for name, hint in hints.items() if not name.startswith("__")}


def _is_kept(value: Any, constraint: Any) -> bool:
    match constraint:
        case Ge(ge=bound):
            return bool(value >= bound)
        case Gt(gt=bound):
            return bool(value > bound)
        case Le(le=bound):
            return bool(value <= bound)
        case Lt(lt=bound):
            return bool(value < bound)
        case Len(min_length=least, max_length=most):
            return least <= len(value) and (most is None or len(value) <= most)
        case BaseMetadata():
            raise TypeError(f"unknown constraint {constraint!r}")
        case _:
            return True
