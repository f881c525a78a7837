"""Hosts of earlier builds, and which decisions leave them out.

During a rolling upgrade hosts of two builds run side by side. A host of protocol
version 8 does not know workspaces, public routes, warm-up and evacuations, and one of
version 9 does not pass on the limits on callers, so hosts of this build rely on it for
none of them while one of their own build is there. Hosts of the earlier build go on
choosing homes and relays among all hosts.
"""

from ..configuration.intents import RoutingIntents, ServiceIntent
from ..messages import CALLER_LIMITS_VERSION, LATER_RULES_VERSION
from .members import Member
from .placement import LiveHost


def is_earlier(member: Member) -> bool:
    """Return True if a host does not know workspaces, warm-up and evacuations."""
    return member.last_heard is not None and member.protocol < LATER_RULES_VERSION


def loses_limits(member: Member) -> bool:
    """Return True if what a host passes on lacks the limits on callers."""
    return member.last_heard is not None and member.protocol < CALLER_LIMITS_VERSION


def has_later_rules(service: ServiceIntent, intents: RoutingIntents) -> bool:
    """Return True if a service has rules that an earlier build does not keep."""
    return service.warmup_per_s > 0.0 or intents.requires_keys


def list_possible_homes(
    service: ServiceIntent, intents: RoutingIntents, hosts: list[LiveHost]
) -> list[LiveHost]:
    """Return the hosts among which the homes of a service are chosen."""
    if not has_later_rules(service, intents):
        return hosts
    return [host for host in hosts if not host.is_earlier] or hosts
