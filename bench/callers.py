"""Callers that look up host addresses, cache them, and verify the replies."""

import hashlib
import json
import random
import time
from dataclasses import dataclass, field
from typing import Final

import aiohttp
import anyio

TTL_USED_SHARE: Final = 0.8
CONNECT_TIMEOUT_S: Final = 1.0
MAX_ATTEMPTS: Final = 6
RETRY_DELAY_S: Final = 0.05
VERDICT_FIELD: Final = "siskinpier-verdict"
PROBLEM_TYPE: Final = "application/problem+json"


@dataclass(slots=True, kw_only=True)
class CallerStats:
    """Counts and latencies of a group of callers; latencies in seconds, by service.

    `unanswered` counts calls without any reply, `refused` final refusals by verdict.
    The two lists hold the idempotency keys of calls whose final refusal said that
    they were not run, and of calls with a correct answer.
    """

    calls: int = 0
    answered: int = 0
    wrong_answers: int = 0
    unanswered: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    keys_not_run: list[str] = field(default_factory=list)
    keys_answered: list[str] = field(default_factory=list)

    def record_refusal(self, verdict: str) -> None:
        """Count a call whose last reply was a refusal."""
        self.refused[verdict] = self.refused.get(verdict, 0) + 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One call of a caller; `key` is set for non-idempotent calls only."""

    service: str
    method: str
    path: str
    body: bytes
    key: str | None = None
    urgency: int = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The reply to one attempt."""

    status: int
    verdict: str
    body: bytes
    is_refusal: bool


class Caller:
    """A caller that reuses connections and caches host addresses."""

    def __init__(
        self,
        *,
        name: str,
        hosts: list[str],
        failure_domain: str,
        stats: CallerStats,
        seed: int,
    ) -> None:
        self.name = name
        self._hosts = hosts
        self._failure_domain = failure_domain
        self._stats = stats
        self._rng = random.Random(seed)
        self._addresses: dict[str, tuple[list[str], float]] = {}
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=20.0, sock_connect=CONNECT_TIMEOUT_S),
            headers={"authorization": f"Bearer {self.name}"},
        )
        # Disables the retries of aiohttp, which would hide failed attempts.
        self._session._retry_connection = False

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, req: Request) -> None:
        """Make one call and retry it on other hosts where the verdict allows it."""
        self._stats.calls += 1
        started = time.perf_counter()
        last_reply: Reply | None = None
        for attempt in range(MAX_ATTEMPTS):
            addresses = await self._get_addresses(req.service, fresh=attempt > 0)
            if not addresses:
                await anyio.sleep(RETRY_DELAY_S)
                continue
            reply = await self._send_attempt(addresses[attempt % len(addresses)], req)
            last_reply = reply or last_reply
            if reply is not None and not reply.is_refusal and reply.status < 500:
                self._record_answer(req, reply, time.perf_counter() - started)
                return
            if reply is not None and (reply.verdict != "not-run" or reply.status < 500):
                break
            await anyio.sleep(RETRY_DELAY_S * (attempt + 1))
        if last_reply is None:
            self._stats.unanswered += 1
            return
        self._stats.record_refusal(last_reply.verdict)
        if last_reply.verdict == "not-run" and req.key is not None:
            self._stats.keys_not_run.append(req.key)

    async def _send_attempt(self, address: str, req: Request) -> Reply | None:
        """Return the reply, or None if the connection failed."""
        if self._session is None:
            return None
        headers = {"priority": f"u={req.urgency}"}
        if req.key is not None:
            headers["idempotency-key"] = req.key
        url = f"http://{address}/call/{req.service}{req.path}"
        try:
            async with self._session.request(
                req.method, url, data=req.body, headers=headers
            ) as response:
                return Reply(
                    status=response.status,
                    verdict=response.headers.get(VERDICT_FIELD, "may-have-run"),
                    body=await response.read(),
                    is_refusal=response.content_type == PROBLEM_TYPE,
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    def _record_answer(self, req: Request, reply: Reply, elapsed_s: float) -> None:
        self._stats.latencies_s.setdefault(req.service, []).append(elapsed_s)
        if not is_echo_correct(req, reply.body):
            self._stats.wrong_answers += 1
            return
        self._stats.answered += 1
        if req.key is not None:
            self._stats.keys_answered.append(req.key)

    async def _get_addresses(self, service: str, *, fresh: bool) -> list[str]:
        cached = self._addresses.get(service)
        if cached is not None and not fresh and time.monotonic() < cached[1]:
            return cached[0]
        for host in self._rng.sample(self._hosts, len(self._hosts)):
            answer = await self._fetch_addresses(host, service)
            if answer is not None:
                expires_at = time.monotonic() + answer[1] * TTL_USED_SHARE
                self._addresses[service] = (answer[0], expires_at)
                return answer[0]
        return cached[0] if cached is not None else []

    async def _fetch_addresses(
        self, host: str, service: str
    ) -> tuple[list[str], float] | None:
        if self._session is None:
            return None
        query = f"service={service}&failure_domain={self._failure_domain}"
        try:
            async with self._session.get(f"http://{host}/addresses?{query}") as reply:
                if reply.status != 200:
                    return None
                document = await reply.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        return document["addresses"], document["keep_s"]


def is_echo_correct(req: Request, body: bytes) -> bool:
    """Return True if the body is the backend server's echo of this request."""
    try:
        echo = json.loads(body)
    except ValueError:
        return False
    expected = hashlib.sha256(req.body).hexdigest()
    return bool(
        echo.get("path") == req.path
        and echo.get("method") == req.method
        and echo.get("body_sha256") == expected
    )
