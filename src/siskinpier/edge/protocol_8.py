"""The messages of protocol version 8, as the last build without negotiation reads them.

Hosts of that build accept exactly these kinds with exactly these fields and log and
drop everything else. The lists are frozen: a field or kind that is added later is
absent here and is not sent to such hosts.
"""

from dataclasses import fields as dataclass_fields, is_dataclass
from typing import Any, Final

VERSION: Final = 8

# Fields of each kind of message, in the order in which their values are sent.
MESSAGE_FIELDS: Final[dict[str, tuple[str, ...]]] = {
    "heartbeat": (
        "host",
        "incarnation",
        "sequence",
        "failure_domain",
        "region",
        "callers",
        "peers",
        "revision",
        "leaving",
        "spare",
        "digest",
        "up_to_date",
        "servers_position",
        "strength",
        "is_isolated",
    ),
    "intents": ("version", "intents"),
    "intents?": ("host", "revision"),
    "members": ("failure_domain", "records", "wants_reply"),
    "spare": ("service", "spare"),
    "claim?": ("call_id", "incarnation", "shard", "claim", "fingerprint", "keep_s"),
    "claim": ("call_id", "incarnation", "outcome", "kept"),
    "claim-end": ("call_id", "shard", "claim", "ending", "kept"),
    "claim-end-ack": ("call_id",),
    "crash": ("fingerprint", "service", "method", "path", "server", "at"),
    "release": ("fingerprint",),
    "server": ("service", "server", "leaving", "started"),
    "rate-limit": ("service", "server", "started", "per_s"),
    "servers": (
        "base_position",
        "position",
        "servers",
        "gone",
        "is_complete",
        "names_hash",
        "held",
    ),
    "servers?": ("host",),
    "relay": ("host", "rank", "is_lost", "intents_revision", "servers_position"),
    "slot?": (
        "host",
        "call",
        "request_number",
        "service",
        "urgency",
        "idempotent",
        "attempts_left",
        "left_s",
        "aim_left_s",
        "tried",
        "fingerprint",
        "is_retry",
        "earns_budget",
        "can_cross_domains",
        "spare_only",
        "route",
    ),
    "slot": ("call", "request_number", "server", "number", "is_hedge"),
    "slot-queued": ("call", "request_number", "expected_s", "typical_run_s"),
    "slot-refused": (
        "call",
        "request_number",
        "is_final",
        "title",
        "detail",
        "retry_after_s",
    ),
    "slot-end": (
        "host",
        "call",
        "request_number",
        "number",
        "use",
        "latency_s",
        "load",
        "pause_s",
        "rate_limit",
    ),
}
# Fields of the data classes within messages, by the name of the class.
INNER_FIELDS: Final[dict[str, tuple[str, ...]]] = {
    "StorePosition": ("era", "revision"),
    "RoutingIntents": (
        "revision",
        "changed_by",
        "changed_at",
        "changed_through",
        "recent_updates",
        "services",
        "routes",
        "leaving_hosts",
        "ordered",
    ),
    "ServiceIntent": (
        "name",
        "servers",
        "rules",
        "deadline_s",
        "queue_limit",
        "retry_share",
        "hedge_share",
        "not_run_statuses",
        "key_age_s",
        "server_connections",
        "probes",
    ),
    "BackendServer": (
        "name",
        "address",
        "failure_domain",
        "slots",
        "connections",
        "state",
    ),
    "CallRule": ("methods", "path_prefix", "idempotent", "urgency", "most_urgent"),
    "ProbeBudget": ("path", "per_second", "bytes_per_second"),
    "Route": (
        "name",
        "virtual_host",
        "path_prefix",
        "services",
        "idempotent",
        "timeout_s",
        "aim_s",
        "attempts",
        "urgency",
        "is_suspended",
    ),
    "WeightedService": ("service", "weight"),
    "MemberRecord": (
        "host",
        "incarnation",
        "sequence",
        "failure_domain",
        "region",
        "callers",
        "peers",
        "revision",
        "leaving",
        "is_silent",
        "strength",
        "is_isolated",
    ),
    "KeptReply": ("status", "headers", "body"),
    "RegisteredServer": (
        "name",
        "service",
        "address",
        "failure_domain",
        "slots",
        "is_draining",
        "warmup_left_s",
        "started",
        "sequence",
    ),
    "HeldEntry": ("name", "for_s"),
    "LoadReport": ("running", "waiting", "slots", "slowdown"),
    "RateLimitReport": ("per_s",),
}
# Values of the enumerations. A message with another value is dropped.
ENUM_VALUES: Final[dict[str, tuple[str, ...]]] = {
    "ServerState": ("active", "draining"),
    "ClaimOutcome": (
        "granted",
        "joined",
        "replay",
        "ran",
        "may-have-run",
        "mismatch",
        "unavailable",
        "not-looked-up",
        "full",
        "found-own",
        "silent",
    ),
    "ClaimEnding": ("released", "ran", "may-have-run"),
    "SlotUse": (
        "answered",
        "failed",
        "unreachable",
        "misdirected",
        "cancelled",
        "unused",
    ),
}


def make_inner_map(value: Any) -> Any:
    """Return the map of a data class within a message, without later fields.

    Hosts of version 8 ignore unknown keys of such maps. They are left out all the same,
    so that the bytes of a message never differ from those of that build.
    """
    if is_dataclass(value) and not isinstance(value, type):
        names = INNER_FIELDS.get(type(value).__name__)
        if names is None:
            names = tuple(field.name for field in dataclass_fields(value))
        return {name: make_inner_map(getattr(value, name)) for name in names}
    if isinstance(value, tuple | list):
        return [make_inner_map(item) for item in value]
    return value
