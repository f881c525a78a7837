"""Simulated callers: they request host addresses and keep their connections open."""

import hashlib
import json
import time
from collections.abc import Callable
from random import Random
from typing import Final

import aiohttp
import anyio

from .history import Ended, Ending, Entry, Sent
from .processes import HostProcess

VIRTUAL_HOST: Final = "films.example"
DEADLINE_S: Final = 2.0
# A caller waits this much longer than its deadline, to allow for network delay.
DEADLINE_GRACE_S: Final = 0.5
# Mean pause after a request, and pause while no host is known.
REQUEST_PAUSE_S: Final = 0.08
# Pause of a caller that sends to one host only, also after a refusal.
PINNED_PAUSE_S: Final = 0.2
REFRESH_INTERVAL_S: Final = 2.0
RESOLUTION_TIMEOUT_S: Final = 1.0
# Share of callers that never refresh their address while their connection works.
NO_REFRESH_SHARE: Final = 0.5
ROUTES: Final = {"search": "GET", "pay": "POST", "move": "GET"}
SAFE_ROUTES: Final = frozenset({"search", "move"})


class SoakCaller:
    """Sends one request at a time over one connection.

    With a `pinned_host`, it sends to that host only, whatever it is told.
    """

    def __init__(
        self,
        *,
        name: str,
        seed: int,
        failure_domain: str,
        hosts: dict[str, HostProcess],
        record: Callable[[Entry], None],
        pinned_host: str = "",
    ) -> None:
        self._pinned_host = pinned_host
        self._name = name
        self._rng = Random(f"{seed}/{name}")
        self._domain = failure_domain
        self._hosts = hosts
        self._record = record
        self._number = 0
        self._address = ""
        self._refreshed_at = 0.0
        self._never_refreshes = self._rng.random() < NO_REFRESH_SHARE
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._refresh_address()
                if self._address:
                    pause_s = await self._send_request()
                else:
                    pause_s = REQUEST_PAUSE_S
                await anyio.sleep(pause_s)
        finally:
            with anyio.CancelScope(shield=True):
                await self._close_session()

    async def _refresh_address(self) -> None:
        if self._pinned_host:
            self._address = self._hosts[self._pinned_host].address
            return
        now = time.monotonic()
        is_old = (
            now - self._refreshed_at > REFRESH_INTERVAL_S and not self._never_refreshes
        )
        if self._address and not is_old:
            return
        self._refreshed_at = now
        addresses = await self._request_addresses()
        if self._address in addresses:
            return
        await self._close_session()
        self._address = self._rng.choice(addresses) if addresses else ""

    async def _request_addresses(self) -> list[str]:
        hosts = list(self._hosts.values())
        self._rng.shuffle(hosts)
        path = f"/api/resolution?name={VIRTUAL_HOST}&region=r1&zone={self._domain}"
        for host in hosts[:3]:
            url = f"http://{host.directory_address}{path}"
            timeout = aiohttp.ClientTimeout(total=RESOLUTION_TIMEOUT_S)
            try:
                async with (
                    aiohttp.ClientSession(timeout=timeout) as session,
                    session.get(url) as reply,
                ):
                    document = await reply.json() if reply.status == 200 else {}
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                continue  # The host may be down; try the next one.
            addresses: list[str] = document.get("addresses", [])
            if addresses:
                return addresses
        return []

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=10.0),
                timeout=aiohttp.ClientTimeout(
                    total=DEADLINE_S + DEADLINE_GRACE_S, sock_connect=1.0
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            # aiohttp must not resend a request unnoticed: each one is recorded.
            self._session._retry_connection = False
        return self._session

    async def _close_session(self) -> None:
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def _send_request(self) -> float:
        """Send a request and record how it ended.

        Returns the time to wait before the next request, seconds.
        """
        hosts = self._hosts.values()
        host = next((h for h in hosts if h.address == self._address), None)
        if host is None:
            self._address = ""
            return REQUEST_PAUSE_S
        self._number += 1
        request = f"{self._name}-{self._number}"
        route = self._rng.choice(list(ROUTES))
        body = b"" if ROUTES[route] == "GET" else request.encode() * 3
        path = f"/{route}/{self._rng.randrange(1000)}"
        sent = Sent(
            at=time.monotonic(),
            request=request,
            route=route,
            path=path,
            body_digest=hashlib.sha256(body).hexdigest(),
            host=host.config.name,
            life=host.start_count,
        )
        self._record(sent)
        ended, retry_after_s = await self._fetch_response(request, route, path, body)
        self._record(ended)
        if ended.ending is not Ending.ANSWERED:
            await self._close_session()
            self._address = ""
        if self._pinned_host:
            return PINNED_PAUSE_S
        return retry_after_s or REQUEST_PAUSE_S * self._rng.uniform(0.5, 1.5)

    async def _fetch_response(
        self, request: str, route: str, path: str, body: bytes
    ) -> tuple[Ended, float]:
        headers = {
            "Host": VIRTUAL_HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        url = f"http://{self._address}{path}"
        try:
            async with self._get_session().request(
                ROUTES[route], url, headers=headers, data=body or None
            ) as reply:
                content = await reply.read()
                retry_after_s = _parse_seconds(reply.headers.get("Retry-After", ""))
                ended = _make_answered_entry(request, reply, content)
                return ended, min(retry_after_s, DEADLINE_S / 3)
        except aiohttp.ClientConnectorError as exc:
            return _make_failed_entry(request, Ending.UNCONNECTED, exc), 0.0
        except TimeoutError as exc:
            return _make_failed_entry(request, Ending.TIMED_OUT, exc), 0.0
        except (aiohttp.ClientError, OSError) as exc:
            return _make_failed_entry(request, Ending.BROKEN, exc), 0.0


def _make_answered_entry(
    request: str, reply: aiohttp.ClientResponse, content: bytes
) -> Ended:
    try:
        request_in_body = str(json.loads(content).get("request", ""))
    except (ValueError, AttributeError):
        request_in_body = ""
    return Ended(
        at=time.monotonic(),
        request=request,
        ending=Ending.ANSWERED,
        status=reply.status,
        signature=reply.headers.get("X-Response-Signature", ""),
        told_request=request_in_body,
    )


def _make_failed_entry(request: str, ending: Ending, exc: Exception) -> Ended:
    return Ended(at=time.monotonic(), request=request, ending=ending, detail=repr(exc))


def _parse_seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
