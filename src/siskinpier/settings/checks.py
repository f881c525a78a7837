"""Checks of documents beyond the types and ranges of single fields."""

import json
from collections.abc import Iterator
from typing import Any, Final

from ..core.configuration.intents import DEFAULT_URGENCY
from .addresses import parse_ip, parse_ip_port
from .errors import HIDDEN, DocumentError, format_value, join_path

LISTEN_FIELDS: Final = ("callers", "operators", "peers")
URL_PREFIXES: Final = ("http://", "https://")


def check_settings(document: dict[str, Any]) -> Iterator[DocumentError]:
    """Yield the errors in settings that their types do not rule out."""
    for field in LISTEN_FIELDS:
        address = document.get(field)
        ip = address.get("ip") if isinstance(address, dict) else None
        if isinstance(ip, str) and parse_ip(ip) is None:
            yield DocumentError(
                path=join_path(field, "ip"),
                found=format_value(ip),
                allowed="an IPv4 or IPv6 number",
            )
    yield from _check_url(document)
    security = document.get("security")
    if isinstance(security, dict):
        yield from _check_certificate(security)
        yield from _check_tokens(security)


def _check_url(document: dict[str, Any]) -> Iterator[DocumentError]:
    platform = document.get("platform")
    url = platform.get("url") if isinstance(platform, dict) else None
    if isinstance(url, str) and not url.startswith(URL_PREFIXES):
        yield DocumentError(
            path=join_path("platform", "url"),
            found=format_value(url),
            allowed="a URL that begins with http:// or https://",
        )


def _check_tokens(security: dict[str, Any]) -> Iterator[DocumentError]:
    """Yield errors of tokens that no header can hold, or that two operators share."""
    named_tokens = security.get("operator_tokens")
    tokens: list[tuple[tuple[str, ...], object]] = [
        (("operator_token",), security.get("operator_token"))
    ]
    if isinstance(named_tokens, dict):
        tokens += [
            (("operator_tokens", name), named_tokens[name]) for name in named_tokens
        ]
    seen: set[str] = set()
    for location, token in tokens:
        if not isinstance(token, str):
            continue
        path = join_path("security", *location)
        if not (token.isascii() and token.isprintable() and " " not in token):
            allowed = "printable ASCII characters without spaces"
            yield DocumentError(path=path, found=HIDDEN, allowed=allowed)
        if token in seen:
            allowed = "a token that no other operator has"
            yield DocumentError(path=path, found=HIDDEN, allowed=allowed)
        seen.add(token)


def _check_certificate(security: dict[str, Any]) -> Iterator[DocumentError]:
    for present, absent in (
        ("certificate", "private_key"),
        ("private_key", "certificate"),
    ):
        if security.get(present) and not security.get(absent):
            yield DocumentError(
                path=join_path("security", absent),
                found="nothing",
                allowed=f"a path, because {present} is set",
            )


def check_intents(document: dict[str, Any]) -> Iterator[DocumentError]:
    """Yield the errors in routing intents that their types do not rule out."""
    yield from _find_duplicates(document, "services", "name")
    for index, service in _iterate_objects(document, "services"):
        prefix = ("services", index)
        yield from _find_duplicates(service, "servers", "name", prefix)
        yield from _find_duplicates(service, "servers", "address", prefix)
        yield from _check_addresses(service, prefix)
        yield from _check_rules(service, prefix)
        yield from _check_probe_path(service, prefix)


def _check_rules(
    service: dict[str, Any], prefix: tuple[str | int, ...]
) -> Iterator[DocumentError]:
    """Yield errors of rules that can never match or that contradict themselves."""
    seen: set[str] = set()
    for index, rule in _iterate_objects(service, "rules"):
        location = (*prefix, "rules", index)
        yield from _check_methods(rule, location)
        yield from _check_urgency(rule, location)
        path = rule.get("path_prefix", "/")
        if isinstance(path, str) and not path.startswith("/"):
            yield _make_bad_path(path, *location, "path_prefix")
        identity = json.dumps([rule.get("methods", []), path], default=repr)
        if identity in seen:
            yield DocumentError(
                path=join_path(*location),
                found="the methods and path of an earlier rule",
                allowed="each once, as the first rule that matches applies",
            )
        seen.add(identity)


def _check_methods(
    rule: dict[str, Any], location: tuple[str | int, ...]
) -> Iterator[DocumentError]:
    methods = rule.get("methods")
    for index, method in enumerate(methods if isinstance(methods, list) else []):
        if isinstance(method, str) and not (method.isalpha() and method.isupper()):
            yield DocumentError(
                path=join_path(*location, "methods", index),
                found=format_value(method),
                allowed="a method in capitals, such as GET",
            )


def _check_urgency(
    rule: dict[str, Any], location: tuple[str | int, ...]
) -> Iterator[DocumentError]:
    urgency = rule.get("urgency", DEFAULT_URGENCY)
    most_urgent = rule.get("most_urgent", 0)
    if not (isinstance(urgency, int) and isinstance(most_urgent, int)):
        return
    if most_urgent > urgency:
        yield DocumentError(
            path=join_path(*location, "most_urgent"),
            found=format_value(most_urgent),
            allowed=f"0 to {urgency}, the rule's urgency",
        )


def _check_probe_path(
    service: dict[str, Any], prefix: tuple[str | int, ...]
) -> Iterator[DocumentError]:
    probes = service.get("probes")
    path = probes.get("path") if isinstance(probes, dict) else None
    if isinstance(path, str) and not path.startswith("/"):
        yield _make_bad_path(path, *prefix, "probes", "path")


def _make_bad_path(path: str, *location: str | int) -> DocumentError:
    return DocumentError(
        path=join_path(*location),
        found=format_value(path),
        allowed="a path that begins with /",
    )


def _check_addresses(
    service: dict[str, Any], prefix: tuple[str | int, ...]
) -> Iterator[DocumentError]:
    for index, server in _iterate_objects(service, "servers"):
        address = server.get("address")
        if isinstance(address, str) and parse_ip_port(address) is None:
            yield DocumentError(
                path=join_path(*prefix, "servers", index, "address"),
                found=format_value(address),
                allowed="ip:port or [ipv6]:port with a port of 1 to 65535",
            )


def _find_duplicates(
    parent: dict[str, Any],
    list_field: str,
    field: str,
    prefix: tuple[str | int, ...] = (),
) -> Iterator[DocumentError]:
    seen: set[object] = set()
    for index, item in _iterate_objects(parent, list_field):
        value = item.get(field)
        if not isinstance(value, str):
            continue
        # An IPv6 address has several spellings, so parsed addresses are compared.
        identity = parse_ip_port(value) or value if field == "address" else value
        if identity in seen:
            yield DocumentError(
                path=join_path(*prefix, list_field, index, field),
                found=f"{format_value(value)} a second time",
                allowed=f"each {field} once",
            )
        seen.add(identity)


def _iterate_objects(
    parent: dict[str, Any], field: str
) -> Iterator[tuple[int, dict[str, Any]]]:
    items = parent.get(field)
    if not isinstance(items, list | tuple):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield index, item
