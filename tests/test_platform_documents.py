"""Guards against documents of the platform that are decoded wrongly or raise.

A malformed settings file must be refused with the name of the field. A malformed
store entry or load report must be skipped without affecting others.
"""

import copy
from typing import Any

import pytest

from siskinpier.core.messages import RegisteredServer
from siskinpier.platform.documents import (
    Unreadable,
    decode_host,
    decode_server,
    encode_host,
)
from siskinpier.platform.headers import parse_load
from siskinpier.platform.settings import AdapterSettings, SettingsError, parse_settings

SETTINGS_TEXT = """
nodeName=front-1
zone=z1
region=r1
ipAddress=10.0.0.1
listenAddresses.front=10.0.0.1:1
listenAddresses.ready=10.0.0.1:2
listenAddresses.control=10.0.0.1:3
listenAddresses.directory=10.0.0.1:4
internalPortRange=7620,7635
seeds=10.0.0.1:3,10.0.0.2:3
bounds.retryBudgetRatio=0.2
bounds.retryBudgetSlack=62
platform.address=10.9.9.9:8642
platform.form=objects
new.field.deep=1
"""
ENTRY: dict[str, Any] = {
    "address": "10.0.0.9:80",
    "info": {"service": "s", "version": "v1", "zone": "z1", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "warmupLeftS": 1.5},
    "born": 17,
}


def make_settings() -> AdapterSettings:
    """Return settings parsed from a file like the platform's."""
    return parse_settings(SETTINGS_TEXT)


def change(document: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with one field changed, or removed if the value is None."""
    changed = copy.deepcopy(document)
    *tables, last = path.split(".")
    table: Any = changed
    for name in tables:
        table = table[_get_key(name)]
    key = _get_key(last)
    if value is None:
        del table[key]
    elif key == len(table) and isinstance(table, list):
        table.append(value)
    else:
        table[key] = value
    return changed


def _get_key(name: str) -> Any:
    return int(name) if name.isdigit() else name


class TestSettings:
    """Settings are parsed from lines, and errors name the field."""

    def test_valid_settings(self) -> None:
        settings = make_settings()
        assert str(settings.callers) == "10.0.0.1:1"
        assert settings.seed_peers == ("10.0.0.1:3", "10.0.0.2:3")
        assert settings.store == "10.9.9.9:8642"
        assert (settings.retry_share, settings.retry_slack) == (0.2, 62.0)

    @pytest.mark.parametrize(
        ("line", "field"),
        [
            ("nodeName=front-1", "nodeName"),
            ("platform.address=10.9.9.9:8642", "platform.address"),
            ("listenAddresses.front=10.0.0.1:1", "listenAddresses.front"),
        ],
    )
    def test_missing_field_is_named(self, line: str, field: str) -> None:
        with pytest.raises(SettingsError, match=field):
            parse_settings(SETTINGS_TEXT.replace(line, ""))

    @pytest.mark.parametrize(
        ("lines", "strength"),
        [
            ("", 1.0),
            ("limits.cpuShare=0.43\nlimits.linkMbps=10\n", 0.043),
            ("limits.cpuShare=0.717\nlimits.linkMbps=200\n", 0.717),
        ],
    )
    def test_strength(self, lines: str, strength: float) -> None:
        assert parse_settings(SETTINGS_TEXT + lines).strength == strength

    def test_key_that_is_also_a_table(self) -> None:
        assert parse_settings(SETTINGS_TEXT + "region.x=1\n").region == "r1"


class TestServers:
    """Entries of backend servers are decoded; malformed ones give a reason."""

    def test_entry(self) -> None:
        assert decode_server("i-1", ENTRY, None) == RegisteredServer(
            name="i-1",
            service="s",
            address="10.0.0.9:80",
            failure_domain="z1",
            slots=4,
            is_draining=False,
            warmup_left_s=1.5,
            started=17,
        )

    def test_status_beside_spec(self) -> None:
        status = {"state": "draining", "sequence": 5}
        decoded = decode_server("i-1", ENTRY, status)
        assert isinstance(decoded, RegisteredServer)
        assert decoded.is_draining

    @pytest.mark.parametrize(
        ("path", "value"),
        [
            ("address", None),
            ("address", 7),
            ("address", "nowhere"),
            ("info", None),
            ("info", []),
            ("info.slots", "4"),
            ("info.slots", 0),
            ("info.service", ""),
            ("status.state", "resting"),
            ("status", None),
            ("status.warmupLeftS", "soon"),
            ("born", 1.5),
        ],
    )
    def test_unreadable_entry(self, path: str, value: Any) -> None:
        decoded = decode_server("i-1", change(ENTRY, path, value), None)
        assert isinstance(decoded, Unreadable)
        assert decoded.reason

    @pytest.mark.parametrize("spec", [None, 7, "text", [], {}])
    def test_unreadable_document(self, spec: Any) -> None:
        assert isinstance(decode_server("i-1", spec, None), Unreadable)


class TestHosts:
    """Objects of entry hosts, which the hosts write themselves, are decoded."""

    def test_round_trip(self) -> None:
        settings = make_settings()
        decoded = decode_host("front-1", encode_host(settings))
        assert not isinstance(decoded, Unreadable)
        assert (decoded.callers, decoded.peers) == ("10.0.0.1:1", "10.0.0.1:3")

    def test_unreadable(self) -> None:
        assert isinstance(decode_host("x", {"peers": 1}), Unreadable)


class TestLoad:
    """Load reports of backend servers are parsed, with or without the slowdown."""

    def test_load_with_slowdown(self) -> None:
        load = parse_load(b"3,1,8,700")
        assert load is not None
        assert (load.running, load.waiting, load.slots) == (3, 1, 8)
        assert load.slowdown == 7.0

    def test_load_without_slowdown(self) -> None:
        load = parse_load(b"3, 0, 8")
        assert load is not None
        assert load.slowdown == 1.0

    @pytest.mark.parametrize("value", [None, b"", b"1,2", b"a,b,c", b"1,2,3,-4"])
    def test_unreadable(self, value: bytes | None) -> None:
        assert parse_load(value) is None
