"""TLS with the key pair from the settings, whose files may be replaced at any time.

The callers' and operators' sockets share one context. New connections use the key pair
that was loaded last; open connections continue. Hosts also forward calls to each other
over TLS: they connect by IP address, so a host trusts any certificate that its own
chain file contains or signs, and checks no name. The chain file should therefore name
a certificate authority that signs for these hosts only.
"""

import ssl
from pathlib import Path
from typing import Final

import anyio

from ..logs import log_event, log_warning
from ..settings.host import SecuritySettings

CHECK_INTERVAL_S: Final = 1.0
ALPN_PROTOCOLS: Final = ("http/1.1",)

_FileState = tuple[int, int, int, int]


class Certificate:
    """The key pair of a host and the TLS contexts that use it."""

    def __init__(self, *, chain: Path, key: Path) -> None:
        self._chain = chain
        self._key = key
        self._file_state = self._read_file_state()
        self.server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.server.minimum_version = ssl.TLSVersion.TLSv1_2
        self.server.set_alpn_protocols(list(ALPN_PROTOCOLS))
        self.peers = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.peers.minimum_version = ssl.TLSVersion.TLSv1_2
        self.peers.check_hostname = False
        self.peers.verify_flags |= ssl.VERIFY_X509_PARTIAL_CHAIN
        self._load()

    def reload(self) -> None:
        """Load the key pair if its files changed; keep the old one if it is invalid."""
        try:
            file_state = self._read_file_state()
            if file_state == self._file_state:
                return
            # Try a new context first: a mismatched pair would break the one in use.
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(self._chain, self._key)
            self._load()
        except OSError as exc:
            log_warning("certificate-invalid", path=self._chain, reason=exc)
            return
        self._file_state = file_state
        log_event("certificate-loaded", path=self._chain)

    def _load(self) -> None:
        self.server.load_cert_chain(self._chain, self._key)
        self.peers.load_verify_locations(self._chain)

    def _read_file_state(self) -> _FileState:
        chain, key = self._chain.stat(), self._key.stat()
        return chain.st_mtime_ns, chain.st_ino, key.st_mtime_ns, key.st_ino


def make_certificate(settings: SecuritySettings) -> Certificate | None:
    """Return the key pair from the settings, or None for plain HTTP.

    Raises `OSError` (or its subclass `ssl.SSLError`) if it cannot be loaded.
    """
    if not settings.certificate or not settings.private_key:
        return None
    return Certificate(chain=Path(settings.certificate), key=Path(settings.private_key))


async def watch_certificate_files(certificate: Certificate) -> None:
    """Check periodically for a new key pair; runs until cancelled."""
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        certificate.reload()
