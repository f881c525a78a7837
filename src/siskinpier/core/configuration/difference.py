"""Comparison of two routing intents, field by field."""

from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import Any, Final

from .intents import BackendServer, CallRule, RoutingIntents, ServiceIntent

# Fields that the field-by-field comparison skips.
COMPARED_SEPARATELY: Final = frozenset({"name", "servers", "rules"})


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One difference; `path` identifies the changed item independently of values."""

    path: str
    text: str


def compare_intents(old: RoutingIntents, new: RoutingIntents) -> tuple[Change, ...]:
    """Return all differences in declared services and leaving hosts.

    Additions and changes come in the order of `new`, removals in that of `old`.
    """
    return tuple(_compare_intents(old, new))


def _compare_intents(old: RoutingIntents, new: RoutingIntents) -> Iterator[Change]:
    before = {service.name: service for service in old.services}
    after = {service.name: service for service in new.services}
    for name in before:
        if name not in after:
            yield Change(path=f"service {name}", text=f"- service {name}")
    for name, service in after.items():
        if name not in before:
            yield Change(path=f"service {name}", text=_describe_service(service))
        else:
            yield from _compare_services(before[name], service)
    for host in old.leaving_hosts:
        if host not in new.leaving_hosts:
            yield Change(path=f"leaving host {host}", text=f"- leaving host {host}")
    for host in new.leaving_hosts:
        if host not in old.leaving_hosts:
            yield Change(path=f"leaving host {host}", text=f"+ leaving host {host}")


def _describe_service(service: ServiceIntent) -> str:
    servers, rules = len(service.servers), len(service.rules)
    return f"+ service {service.name} ({servers} servers, {rules} rules)"


def _compare_services(old: ServiceIntent, new: ServiceIntent) -> Iterator[Change]:
    path = f"service {new.name}"
    yield from _compare_fields(path, old, new)
    before = {server.name: server for server in old.servers}
    after = {server.name: server for server in new.servers}
    for name in before:
        if name not in after:
            path = f"server {name} of {new.name}"
            yield Change(path=path, text=f"- {path}")
    for name, server in after.items():
        path = f"server {name} of {new.name}"
        if name in before:
            yield from _compare_fields(path, before[name], server)
        else:
            yield Change(path=path, text=f"+ {path} {_describe_server(server)}")
    yield from _compare_rules(old, new)


def _compare_rules(old: ServiceIntent, new: ServiceIntent) -> Iterator[Change]:
    before = {_get_rule_path(new.name, rule): rule for rule in old.rules}
    after = {_get_rule_path(new.name, rule): rule for rule in new.rules}
    for path, rule in before.items():
        if path not in after:
            yield Change(path=path, text=f"- {path} {_describe_rule(rule)}")
    for path, rule in after.items():
        if path in before:
            yield from _compare_fields(path, before[path], rule)
        else:
            yield Change(path=path, text=f"+ {path} {_describe_rule(rule)}")
    common = [path for path in before if path in after]
    if common != [path for path in after if path in before]:
        path = f"order of rules of {new.name}"
        yield Change(path=path, text=f"~ {path}")


def _compare_fields(path: str, old: Any, new: Any) -> Iterator[Change]:
    for field in fields(new):
        if field.name in COMPARED_SEPARATELY:
            continue
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if hasattr(after, "__dataclass_fields__"):
            yield from _compare_fields(f"{path} {field.name}", before, after)
            continue
        field_path = f"{path} {field.name}"
        text = f"~ {field_path} {_format_value(before)} -> {_format_value(after)}"
        yield Change(path=field_path, text=text)


def _get_rule_path(service: str, rule: CallRule) -> str:
    methods = ",".join(rule.methods) or "any"
    return f"rule {methods} under {rule.path_prefix} of {service}"


def _describe_server(server: BackendServer) -> str:
    return f"{server.address} in {server.failure_domain} {server.state}"


def _describe_rule(rule: CallRule) -> str:
    idempotency = "idempotent" if rule.idempotent else "non-idempotent"
    return f"{idempotency} urgency {rule.urgency} most urgent {rule.most_urgent}"


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return ",".join(map(str, value)) or "none"
    return str(value)
