"""Guards against documents that are accepted with errors, or errors that show secrets.

An invalid document must be rejected as a whole, with the paths of all its errors.
"""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies as st

from siskinpier.settings.addresses import parse_ip_port
from siskinpier.settings.documents import (
    DocumentKind,
    Loaded,
    Rejected,
    detect_kind,
    dump_intents,
    load_intents,
    load_settings,
    parse_intents,
)

EXAMPLES = Path(__file__).parents[1] / "examples"
SERVER = '{name: "a", address: "127.0.0.1:80", failure_domain: "d"}'
BAD_SERVER = '{name: "b", address: "h:80", failure_domain: "d", slots: "4"}'
SECURITY = {"operator_token": "12345678", "peer_key": "0123456789abcdef"}
SETTINGS: dict[str, Any] = {
    "name": "h1",
    "failure_domain": "d1",
    "callers": {"ip": "127.0.0.1", "port": 0},
    "operators": {"ip": "::1", "port": 8081},
    "peers": {"ip": "127.0.0.1", "port": 8082},
    "platform": {"url": "http://127.0.0.1:7000"},
    "security": SECURITY,
}


def get_paths(result: Loaded[Any] | Rejected) -> str:
    """Return the paths of all errors, joined by spaces."""
    assert isinstance(result, Rejected)
    return " ".join(error.path.replace(" ", "") for error in result.errors)


class TestIntents:
    """Routing intents are accepted as a whole, or rejected with all errors."""

    @pytest.mark.parametrize(
        "service",
        [
            "",
            f"servers: [{SERVER}], not_run_statuses: [429, 503]",
            'servers: [{name: "a", address: "[::1]:80", failure_domain: "d"}]',
            "rules: [{urgency: 7}], deadline_s: 1 /* comment */",
        ],
    )
    def test_good(self, service: str) -> None:
        result = load_intents(f'{{services: [{{name: "s", {service}}}]}}')
        assert isinstance(result, Loaded)
        assert parse_intents(dump_intents(result.value)) == result

    @pytest.mark.parametrize(
        ("service", "paths"),
        [
            (f"servers: [{SERVER}, {SERVER}]", "servers[1].name servers[1].address"),
            (f"servers: [{BAD_SERVER}]", "servers[0].slots servers[0].address"),
            ('servers: [{name: "a", address: "::1:80"}]', "servers[0].failure_domain "),
            ("servers: 7", "servers"),
            ("not_run_statuses: [503, 200]", "not_run_statuses[1]"),
            ("rules: [{urgency: 8}]", "rules[0].urgency"),
            ('rules: [{methods: ["GET", "get"]}]', "rules[0].methods[1]"),
            ('rules: [{path_prefix: "x"}]', "rules[0].path_prefix"),
            ("rules: [{urgency: 1, most_urgent: 2}]", "rules[0].most_urgent"),
            ("rules: [{}, {urgency: 4}, {}]", "rules[1] rules[2]"),
            ('probes: {path: "health"}', "probes.path"),
            ("deadline_s: 0, retry_share: 2", "deadline_s retry_share"),
            ("color: 1", "color"),
        ],
    )
    def test_bad(self, service: str, paths: str) -> None:
        result = load_intents(f'{{services: [{{name: "s", {service}}}]}}')
        found = get_paths(result).replace("$.services[0].", "")
        assert found.startswith(paths)

    @pytest.mark.parametrize(
        ("text", "path"),
        [
            ("{\n  services:: 1}", "line2,column12"),
            ('{"services": 1', "line1,column15"),
            *((text, "$") for text in ("", "[]", "{a: 1, a: 2}", "{a: NaN}")),
            *((text, "$") for text in ("{revision: 1e999}", "[" * 5_000)),
            ("{revision: -1, service: []}", "$.revision $.service"),
            ('{services: [{name: "s"}, {name: "s"}]}', "$.services[1].name"),
        ],
    )
    def test_document(self, text: str, path: str) -> None:
        assert get_paths(load_intents(text)) == path

    @given(st.text() | st.text(alphabet='{}[]:",/*-.+x0123456789 \n\\\ud800'))
    def test_arbitrary_text_never_raises(self, text: str) -> None:
        assert isinstance(load_intents(text), Loaded | Rejected)
        assert isinstance(load_settings(text), Loaded | Rejected)

    @pytest.mark.parametrize(
        ("name", "slots", "counts"),
        [("arhivski-kadar", 4, [17, 8, 6, 6]), ("hanul", 3, [20, 8, 6, 6])],
    )
    def test_examples(self, name: str, slots: int, counts: list[int]) -> None:
        result = load_intents((EXAMPLES / f"{name}.intents.jsonc").read_text("utf-8"))
        assert isinstance(result, Loaded)
        assert [len(service.servers) for service in result.value.services] == counts
        for service in result.value.services:
            assert {server.slots for server in service.servers} == {slots}
            assert len({server.failure_domain for server in service.servers}) == 3


class TestSettings:
    """Settings are checked completely, and errors never show a secret."""

    @pytest.mark.parametrize(
        ("fields", "path"),
        [
            ({"name": ""}, "$.name"),
            ({"callers": {"ip": "localhost", "port": 1}}, "$.callers.ip"),
            ({"peers": {"ip": "::1", "port": 65_536}}, "$.peers.port"),
            ({"log_level": "loud"}, "$.log_level"),
            ({"shutdown": {"now": True}}, "$.shutdown.now"),
            ({"platform": {}}, "$.platform.url"),
            ({"platform": {"url": "ftp://h"}}, "$.platform.url"),
            (
                {"security": {**SECURITY, "operator_tokens": {"ana": "hush"}}},
                "$.security.operator_tokens.ana",
            ),
            (
                {"security": {**SECURITY, "operator_tokens": {"ana": "12345678"}}},
                "$.security.operator_tokens.ana",
            ),
            ({"security": "hush"}, "$.security"),
            ({"security": {**SECURITY, "peer_key": "hush"}}, "$.security.peer_key"),
            ({"security": {**SECURITY, "pear_key": "hush"}}, "$.security.pear_key"),
            (
                {"security": {**SECURITY, "operator_token": "hush hush"}},
                "$.security.operator_token",
            ),
            ({"security": {**SECURITY, "private_key": "k"}}, "$.security.certificate"),
            ({"security": {"peer_key": "hush" * 4}}, "$.security.operator_token"),
        ],
    )
    def test_bad(self, fields: dict[str, Any], path: str) -> None:
        result = load_settings(json.dumps({**SETTINGS, **fields}))
        assert get_paths(result) == path
        assert "hush" not in repr(result)

    def test_good(self) -> None:
        result = load_settings(json.dumps(SETTINGS))
        assert isinstance(result, Loaded)
        assert SECURITY["peer_key"] not in repr(result)
        assert detect_kind(SETTINGS) is DocumentKind.SETTINGS
        assert detect_kind({"services": []}) is DocumentKind.INTENTS
        assert detect_kind({}) is None

    @pytest.mark.parametrize("port", ["", "0", "65536", "-1", "²", "9" * 5_000])
    def test_bad_port(self, port: str) -> None:
        assert parse_ip_port(f"127.0.0.1:{port}") is None
