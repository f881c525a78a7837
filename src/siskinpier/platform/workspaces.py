"""Decoding of the workspaces in the operator's configuration, row by row.

Faults name the path and the type of a value, never the value: it may be a key.
"""

import re
from dataclasses import dataclass, replace
from typing import Annotated, Any, Final

from msgspec import Meta

from ..core.configuration.intents import Route, Workspace
from .field_reading import FieldReader, Unusable
from .keys import KEY_PATTERN, make_key_digest

ROWS_NAME: Final = "tenants"
KEYED_SUSPENDED: Final = "all requests on routes that are not public are suspended"
ROW_SKIPPED: Final = "the workspace is passed over"
KEY_SKIPPED: Final = "the key is passed over"
# Upper bounds on a quota, which no workspace reaches.
MAX_REQUESTS: Final = 1_000_000.0
LEAST_URGENCY: Final = 7

# The name is sent to servers in a header field.
WorkspaceName = Annotated[str, Meta(pattern=r"^[!-~]([ -~]{0,98}[!-~])?$")]
Priority = Annotated[int, Meta(ge=0)]
Count = Annotated[float, Meta(ge=0.0)]
_KEY: Final = re.compile(KEY_PATTERN)


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodedWorkspaces:
    """The workspaces of a configuration.

    `requires_keys` is True if it has a list of them, and `is_readable` False if that
    list cannot be read.
    """

    workspaces: tuple[Workspace, ...] = ()
    requires_keys: bool = False
    is_readable: bool = True


def read_workspaces(reader: FieldReader) -> DecodedWorkspaces:
    """Return the workspaces of a configuration, without the rows that are unusable."""
    if ROWS_NAME not in reader.table:
        return DecodedWorkspaces()
    rows = reader.require(ROWS_NAME, list[Any], effect=KEYED_SUSPENDED)
    if isinstance(rows, Unusable):
        return DecodedWorkspaces(requires_keys=True, is_readable=False)
    workspaces: dict[str, Workspace] = {}
    owners: dict[str, str] = {}
    for index, row in enumerate(rows):
        path = f"{ROWS_NAME}[{index}]"
        if not isinstance(row, dict):
            reader.record_fault(path, _describe_type(row), ROW_SKIPPED)
            continue
        row_reader = FieldReader(table=row, path=path, faults=reader.faults)
        workspace = _read_workspace(row_reader, owners)
        if workspace is None:
            continue
        if workspace.name in workspaces:
            row_reader.record_fault("name", "stands twice", ROW_SKIPPED)
            continue
        workspaces[workspace.name] = workspace
        owners |= dict.fromkeys(workspace.key_digests, workspace.name)
    return DecodedWorkspaces(workspaces=tuple(workspaces.values()), requires_keys=True)


def suspend_keyed_routes(routes: tuple[Route, ...]) -> tuple[Route, ...]:
    """Return the routes with those suspended that need keys.

    They are refused as not run, since the configuration is at fault and not the caller.
    """
    return tuple(
        route if route.is_public else replace(route, is_suspended=True)
        for route in routes
    )


def _read_workspace(row: FieldReader, owners: dict[str, str]) -> Workspace | None:
    name = row.require("name", WorkspaceName, effect=ROW_SKIPPED)
    keys = row.require("apiKeys", list[Any], effect=ROW_SKIPPED)
    if isinstance(name, Unusable) or isinstance(keys, Unusable):
        return None
    priority = row.read("priority", Priority, None)
    return Workspace(
        name=name,
        key_digests=_read_keys(row, keys, owners),
        urgency=None if priority is None else min(LEAST_URGENCY, priority),
        requests_per_s=min(MAX_REQUESTS, row.read("requestsPerS", Count, 0.0)),
        burst=min(MAX_REQUESTS, row.read("burst", Count, 0.0)),
    )


def _read_keys(
    row: FieldReader, keys: list[Any], owners: dict[str, str]
) -> tuple[str, ...]:
    """Return the digests of the usable keys, without those of other workspaces."""
    digests: dict[str, None] = {}
    for index, key in enumerate(keys):
        path = f"apiKeys[{index}]"
        if not isinstance(key, str):
            row.record_fault(path, _describe_type(key), KEY_SKIPPED)
        elif _KEY.fullmatch(key) is None:
            row.record_fault(path, "no visible ASCII text of a key's size", KEY_SKIPPED)
        elif (digest := make_key_digest(key)) in owners:
            row.record_fault(path, f"a key of {owners[digest]!r}", KEY_SKIPPED)
        else:
            digests[digest] = None
    return tuple(digests)


def _describe_type(value: Any) -> str:
    return f"a value of the wrong type, {type(value).__name__}"
