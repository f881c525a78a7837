"""HTTP client for the operator API of a host."""

import secrets
import ssl
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final, Literal, TypeAlias

import httpx
from pydantic import TypeAdapter, ValidationError

CONNECT_TIMEOUT_S: Final = 3.0
QUERY_TIMEOUT_S: Final = 10.0
# An order with `wait` is answered once the change is in force on every live host.
ORDER_TIMEOUT_S: Final = 60.0
UPDATE_ID_BYTES: Final = 8
NOT_SENT_ERRORS: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

Status: TypeAlias = Literal["ok", "accepted", "refused", "unknown"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The host's reply."""

    status: Status
    text: str = ""
    data: Any = None
    difference: tuple[str, ...] = ()
    version: str | int | None = None
    base_revision: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unreachable:
    """No host could be reached, or none answered a query."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownOutcome:
    """The order was sent, but it is unknown whether it took effect."""

    reason: str


OperatorResult: TypeAlias = Reply | Unreachable | UnknownOutcome

_REPLY: Final = TypeAdapter(Reply)


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorClient:
    """Sends queries and orders to the first reachable one of several hosts.

    A request that changes something is sent to the next host only if it certainly did
    not reach the previous one; a query is sent until a host answers.
    """

    hosts: tuple[str, ...]
    token: str = field(repr=False)
    # TLS context for HTTPS; None uses plain HTTP.
    ca: ssl.SSLContext | None = None
    transport: httpx.BaseTransport | None = None

    def ask(self, text: str) -> OperatorResult:
        """Send a query."""
        return self._post("/ask", {"text": text}, is_read_only=True)

    def order(self, text: str) -> OperatorResult:
        """Send an order, with a new update id."""
        update_id = make_update_id()
        body = {"text": text, "update_id": update_id}
        return _add_update_hint(self._post("/order", body), update_id)

    def compare(
        self, document: dict[str, Any], *, undo_orders: bool = False
    ) -> OperatorResult:
        """Request the difference between routing intents and those in force."""
        body = {"document": document, "dry_run": True, "undo_orders": undo_orders}
        return self._post("/apply", body, is_read_only=True)

    def apply(
        self, document: dict[str, Any], *, base_revision: int, undo_orders: bool = False
    ) -> OperatorResult:
        """Send routing intents, to be accepted if `base_revision` is still in force."""
        update_id = make_update_id()
        body = {
            "document": document,
            "base_revision": base_revision,
            "undo_orders": undo_orders,
            "update_id": update_id,
        }
        return _add_update_hint(self._post("/apply", body), update_id)

    def _post(
        self, path: str, body: dict[str, Any], *, is_read_only: bool = False
    ) -> OperatorResult:
        reasons = []
        for host in self.hosts:
            timeout_s = QUERY_TIMEOUT_S if is_read_only else ORDER_TIMEOUT_S
            match self._post_to(host, path, body, timeout_s):
                case Unreachable(reason=reason):
                    reasons.append(reason)
                case UnknownOutcome(reason=reason) if is_read_only:
                    reasons.append(reason)
                case result:
                    return result
        return Unreachable(reason="; ".join(reasons))

    def _post_to(
        self, host: str, path: str, body: dict[str, Any], timeout_s: float
    ) -> OperatorResult:
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        try:
            # Ignore proxies of the environment: they must not see the operator's token.
            with httpx.Client(
                transport=self.transport,
                timeout=timeout,
                trust_env=False,
                verify=self.ca or True,
            ) as client:
                scheme = "http" if self.ca is None else "https"
                url = f"{scheme}://{host}{path}"
                response = client.post(url, json=body, headers=headers)
        except NOT_SENT_ERRORS as exc:
            return Unreachable(reason=f"{host}: {_format_error(exc)}")
        except httpx.HTTPError as exc:
            return UnknownOutcome(reason=f"{host}: {_format_error(exc)}")
        return _parse_reply(response)


def make_update_id() -> str:
    """Return a new id, which operators can use to query the result of a change."""
    return secrets.token_hex(UPDATE_ID_BYTES)


def _add_update_hint(result: OperatorResult, update_id: str) -> OperatorResult:
    if isinstance(result, UnknownOutcome):
        reason = f"{result.reason}; ask 'update {update_id}' to find out"
        return UnknownOutcome(reason=reason)
    return result


def _format_error(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _parse_reply(response: httpx.Response) -> OperatorResult:
    try:
        return _REPLY.validate_json(response.content)
    except ValidationError:
        return _make_status_result(response)


def _make_status_result(response: httpx.Response) -> OperatorResult:
    reason = f"HTTP {response.status_code} {response.reason_phrase}".strip()
    if HTTPStatus(400) <= response.status_code < HTTPStatus(500):
        return Reply(status="refused", text=reason)
    return UnknownOutcome(reason=f"unexpected reply: {reason}")
