"""Reading of a document field by field, so that a bad field affects nothing else."""

import reprlib
from dataclasses import dataclass, field
from typing import Any, Final

from .validation import InvalidValueError, convert


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """An error at a path of a document, and its effect."""

    path: str
    reason: str
    effect: str


@dataclass(frozen=True, slots=True)
class Unusable:
    """The result for a field without a usable value; its fault is already recorded."""


UNUSABLE: Final = Unusable()


@dataclass(slots=True, kw_only=True)
class FieldReader:
    """Reads one table of a document; all tables of it share one list of faults."""

    table: dict[str, Any]
    path: str
    faults: list[Fault] = field(default_factory=list)
    # False converts texts to numbers, for documents that hold only texts.
    strict: bool = True

    def read(self, name: str, kind: Any, default: Any) -> Any:
        """Return a field converted to a `msgspec` type, or the default.

        A missing field is no fault.
        """
        if name not in self.table:
            return default
        value = self._convert(name, kind, effect=f"taken as {default!r}")
        return default if isinstance(value, Unusable) else value

    def require(self, name: str, kind: Any, *, effect: str) -> Any:
        """Return a field converted to a type, or `UNUSABLE` after recording a fault."""
        if name not in self.table:
            self.record_fault(name, "missing", effect)
            return UNUSABLE
        return self._convert(name, kind, effect=effect)

    def read_table(self, name: str, *, effect: str) -> "FieldReader | Unusable":
        """Return a reader of a table inside this one, or `UNUSABLE`."""
        table = self.require(name, dict[str, Any], effect=effect)
        return table if isinstance(table, Unusable) else self._make_inner(name, table)

    def read_rows(self, name: str, *, effect: str) -> "list[FieldReader | Unusable]":
        """Return a reader for each row of a list; `UNUSABLE` for non-tables."""
        rows = self.require(name, list[Any], effect=effect)
        if isinstance(rows, Unusable):
            return []
        readers: list[FieldReader | Unusable] = []
        for index, row in enumerate(rows):
            if isinstance(row, dict):
                readers.append(self._make_inner(f"{name}[{index}]", row))
                continue
            self.record_fault(
                f"{name}[{index}]",
                f"Expected `object`, got {reprlib.repr(row)}",
                effect,
            )
            readers.append(UNUSABLE)
        return readers

    def record_fault(self, name: str, reason: str, effect: str) -> None:
        """Add a fault of a field to the list."""
        path = f"{self.path}.{name}".removeprefix(".")
        self.faults.append(Fault(path=path, reason=reason, effect=effect))

    def _convert(self, name: str, kind: Any, *, effect: str) -> Any:
        try:
            return convert(self.table[name], kind, strict=self.strict)
        except InvalidValueError as exc:
            self.record_fault(name, str(exc), effect)
            return UNUSABLE

    def _make_inner(self, name: str, table: dict[str, Any]) -> "FieldReader":
        path = f"{self.path}.{name}".removeprefix(".")
        return FieldReader(
            table=table, path=path, faults=self.faults, strict=self.strict
        )
