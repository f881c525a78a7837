"""The form of routing intents in the store, which hosts of either build read.

Builds up to protocol version 8 refuse stored intents with an unknown field, so fields
added since then are left out while they have their defaults.
"""

from dataclasses import asdict
from typing import Any, Final

from .intents import RoutingIntents

# The fields added since version 8, and their defaults.
LATER_FIELDS: Final[dict[str, Any]] = {
    "workspaces": (),
    "requires_keys": False,
    "is_public": False,
    "warmup_s": 0.0,
    "warmup_per_s": 0.0,
    "caller_limits": None,
}


def make_stored_form(intents: RoutingIntents) -> dict[str, object]:
    """Return routing intents as a document for the store."""
    document: dict[str, object] = _leave_out_defaults(asdict(intents))
    return document


def _leave_out_defaults(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            name: _leave_out_defaults(item)
            for name, item in value.items()
            if name not in LATER_FIELDS or item != LATER_FIELDS[name]
        }
    if isinstance(value, list | tuple):
        return type(value)(_leave_out_defaults(item) for item in value)
    return value
