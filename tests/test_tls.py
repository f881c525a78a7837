"""Guards against plain HTTP, wrong trust or an outage at a change of certificates.

A replaced key pair must be loaded without a restart, but a mismatched one must not
replace the pair in use; a host must not trust hosts of another authority.
"""

import os
import socket
import ssl
import time
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest
import trustme

from bench.fleet import OPERATOR_TOKEN, PEER_KEY, Fleet, TlsFiles
from siskinpier import cli
from siskinpier.core.configuration.intents import RoutingIntents
from siskinpier.edge.host import run_host
from siskinpier.edge.tls import Certificate
from siskinpier.exit_codes import ExitCode
from siskinpier.settings.host import (
    Address,
    HostSettings,
    PlatformSettings,
    SecuritySettings,
)
from tests.standins.app_thread import AppThread
from tests.standins.echo import make_echo_intents, serve_echo
from tests.standins.process import HANG_TIMEOUT_S
from tests.test_whole_path import wait_for_revision


def write_key_pair(authority: trustme.CA, directory: Path) -> None:
    """Write a new key pair atomically, file by file; the chain includes the issuer."""
    pair = authority.issue_cert("127.0.0.1")
    issuer = authority.cert_pem.bytes()
    chain = b"".join(blob.bytes() for blob in pair.cert_chain_pems) + issuer
    for name, data in (("key.pem", pair.private_key_pem.bytes()), ("chain.pem", chain)):
        part = directory / f"{name}.part"
        part.write_bytes(data)
        part.rename(directory / name)


def get_serial(address: str, trust: ssl.SSLContext) -> str:
    """Return the serial number of the certificate presented at an address."""
    ip, port = address.split(":")
    with (
        socket.create_connection((ip, int(port)), HANG_TIMEOUT_S) as conn,
        trust.wrap_socket(conn, server_hostname=ip) as tls,
    ):
        cert = tls.getpeercert()
        assert cert is not None
        return str(cert["serialNumber"])


@pytest.fixture(scope="module")
def authority() -> trustme.CA:
    """Return the certificate authority of the hosts."""
    return trustme.CA()


@pytest.fixture(scope="module")
def fleet(
    authority: trustme.CA, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Fleet]:
    """Yield two hosts that serve over TLS."""
    directory = tmp_path_factory.mktemp("tls")
    write_key_pair(authority, directory)
    trust = ssl.create_default_context()
    authority.configure_trust(trust)
    tls = TlsFiles(
        certificate=directory / "chain.pem",
        private_key=directory / "key.pem",
        trust=trust,
    )
    with AppThread(serve_echo) as backend:
        intents = make_echo_intents(backend.address)
        first = RoutingIntents(services=intents.services[:1])
        with Fleet(intents=first, hosts=2, tls=tls) as fleet:
            fleet.intents = intents
            assert fleet.apply_intents()["status"] == "accepted"
            wait_for_revision(fleet, 1)
            yield fleet


class TestSockets:
    """Callers and operators are served over TLS only, at every host."""

    @pytest.mark.parametrize("host", [0, 1])
    def test_calls_and_forwarded_calls_are_answered(
        self, fleet: Fleet, host: int
    ) -> None:
        url = f"https://{fleet.hosts[host].callers}/call/echo/x"
        reply = httpx.get(
            url, verify=fleet.trust, trust_env=False, timeout=HANG_TIMEOUT_S
        )
        assert reply.json()["path"] == "/x"

    def test_plain_http_is_refused(self, fleet: Fleet) -> None:
        for address in (fleet.hosts[0].callers, fleet.hosts[0].operators):
            with pytest.raises(httpx.TransportError):
                httpx.get(
                    f"http://{address}/health", trust_env=False, timeout=HANG_TIMEOUT_S
                )

    @pytest.mark.parametrize(
        ("is_own", "code"), [(True, ExitCode.OK), (False, ExitCode.UNREACHABLE)]
    )
    def test_command_line_trusts_only_the_given_ca(
        self,
        fleet: Fleet,
        authority: trustme.CA,
        tmp_path: Path,
        is_own: bool,
        code: ExitCode,
    ) -> None:
        signer = authority if is_own else trustme.CA()
        signer.cert_pem.write_to_path(tmp_path / "ca.pem")
        (tmp_path / "token").write_text(OPERATOR_TOKEN)
        host = f"--host={fleet.hosts[0].operators}"
        files = [f"--ca={tmp_path / 'ca.pem'}", f"--token_file={tmp_path / 'token'}"]
        assert cli.run(["ask", "hosts", host, *files]) == code

    def test_new_key_pair_is_loaded_without_a_restart(
        self, fleet: Fleet, authority: trustme.CA
    ) -> None:
        assert fleet.tls is not None
        host = fleet.hosts[0]
        trust = fleet.tls.trust
        url = f"https://{host.callers}/call/echo/x"
        with httpx.Client(
            verify=trust, trust_env=False, timeout=HANG_TIMEOUT_S
        ) as client:
            assert client.get(url).status_code == 200
            old = get_serial(host.callers, trust)
            # A mismatched key pair must not be loaded.
            fleet.tls.private_key.write_bytes(
                authority.issue_cert("127.0.0.1").private_key_pem.bytes()
            )
            time.sleep(1.5)
            assert get_serial(host.callers, trust) == old
            write_key_pair(authority, fleet.tls.certificate.parent)
            deadline = time.monotonic() + HANG_TIMEOUT_S
            while get_serial(host.callers, trust) == old:
                assert time.monotonic() < deadline
                time.sleep(0.05)
            new = get_serial(host.callers, trust)
            assert get_serial(host.operators, trust) == new
            # The connection opened before the change still works.
            assert client.get(url).status_code == 200
        assert host.process.exit_code is None


class TestTrustBetweenHosts:
    """A host trusts only certificates that its own chain file contains or signs."""

    @pytest.mark.parametrize(("is_own", "expected"), [(True, True), (False, False)])
    def test_peer_of_another_authority_is_refused(
        self, authority: trustme.CA, tmp_path: Path, is_own: bool, expected: bool
    ) -> None:
        write_key_pair(authority, tmp_path)
        certificate = Certificate(
            chain=tmp_path / "chain.pem", key=tmp_path / "key.pem"
        )
        signer = authority if is_own else trustme.CA()
        server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        signer.issue_cert("10.9.9.9").configure_cert(server)
        assert is_handshake_accepted(certificate.peers, server) == expected

    def test_missing_file_at_the_start_is_reported(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        any_port = Address(ip="127.0.0.1", port=0)
        none = str(tmp_path / "none")
        settings = HostSettings(
            name="h",
            failure_domain="a",
            callers=any_port,
            operators=any_port,
            peers=any_port,
            platform=PlatformSettings(url="http://127.0.0.1:9"),
            security=SecuritySettings(
                operator_token=OPERATOR_TOKEN,
                peer_key=PEER_KEY,
                certificate=none,
                private_key=none,
            ),
        )
        assert run_host(settings) == ExitCode.BAD_INPUT
        line = f"siskinpier: cannot start: [Errno 2] {os.strerror(2)}: '{none}'\n"
        assert capsys.readouterr().err == line


def is_handshake_accepted(client: ssl.SSLContext, server: ssl.SSLContext) -> bool:
    """Return True if a TLS handshake in memory succeeds."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    ends = (
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    )
    done = set()
    for _ in range(6):
        for end in ends:
            try:
                end.do_handshake()
                done.add(end.server_side)
            except ssl.SSLWantReadError:
                continue
            except ssl.SSLCertVerificationError:
                return False
    return done == {True, False}
