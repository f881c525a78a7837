"""HTTP interface for operators: questions, orders, metrics, health, readiness."""

import json
from dataclasses import asdict
from typing import Final

import anyio

from ..core.cluster.readiness import is_base_known
from ..core.cluster.revisions import list_hosts_behind
from ..core.configuration.difference import compare_intents
from ..core.configuration.intents import RoutingIntents
from ..core.configuration.orders import (
    OrderResult,
    OrderStatus,
    ReplaceServices,
    list_undone_changes,
)
from ..core.language.answers import (
    NotFound,
    answer_question,
    get_unready_reason,
)
from ..core.language.parsing import LanguageError, parse_order
from ..settings.documents import Rejected, parse_intents
from .operator_access import find_operator
from .operator_requests import (
    ApplyRequest,
    Refusal,
    TextRequest,
    make_document_refusal,
    parse_request,
    read_document,
)
from .responses import Receive, Scope, Send, send_bytes, send_json
from .shell import Shell

STATE_POLL_INTERVAL_S: Final = 0.05
INTENTS_WAIT_S: Final = 5.0
ORDER_STATUSES: Final = {
    OrderStatus.ACCEPTED: 200,
    OrderStatus.REFUSED: 409,
    OrderStatus.UNKNOWN: 504,
}
EMPTY_TEXT: Final = "none"
METRICS_HEADERS: Final = [(b"content-type", b"text/plain; version=0.0.4")]


class OperatorApp:
    """The ASGI application for operators."""

    def __init__(self, *, shell: Shell) -> None:
        self._shell = shell

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        match scope["method"], scope["path"]:
            case "GET", "/health":
                await send_json(send, 200, {"status": "ok"})
            case "GET", "/ready":
                await self._serve_ready(send)
            case "GET", "/metrics":
                body = self._shell.metrics.render()
                await send_bytes(send, 200, METRICS_HEADERS, body)
            case "POST", "/ask" | "/order" | "/apply":
                await self._serve_command(scope, receive, send)
            case _:
                await _refuse(send, Refusal(status=404, reason="no such resource"))

    async def _serve_ready(self, send: Send) -> None:
        state = self._shell.state
        reason = get_unready_reason(state, self._shell.clock())
        document = {
            "ready": reason is None,
            "stage": state.lifecycle,
            "lacks": reason or "",
        }
        await send_json(send, 503 if reason else 200, document)

    async def _serve_command(self, scope: Scope, receive: Receive, send: Send) -> None:
        operator = find_operator(self._shell.settings.security, scope["headers"])
        if operator is None:
            refusal = Refusal(status=401, reason="a valid token is required")
            await _refuse(send, refusal)
            return
        document = await read_document(receive)
        if isinstance(document, Refusal):
            await _refuse(send, document)
            return
        match parse_request(scope["path"], document):
            case Refusal() as refusal:
                await _refuse(send, refusal)
            case ApplyRequest() as apply:
                await self._apply(apply, operator, send)
            case TextRequest(text=text) if scope["path"] == "/ask":
                await self._ask(text, send)
            case TextRequest() as order:
                await self._order(order, operator, send)

    async def _ask(self, text: str, send: Send) -> None:
        answer = answer_question(self._shell.state, text, self._shell.clock())
        match answer:
            case LanguageError():
                await _refuse(send, _make_language_refusal(answer))
            case NotFound(reason=reason):
                await _refuse(send, Refusal(status=404, reason=reason))
            case rows:
                text = _format_rows(rows) or EMPTY_TEXT
                reply = {"status": "ok", "text": text, "data": rows}
                await send_json(send, 200, reply)

    async def _order(self, request: TextRequest, operator: str, send: Send) -> None:
        command = parse_order(request.text)
        if isinstance(command, LanguageError):
            await _refuse(send, _make_language_refusal(command))
            return
        result = await self._shell.give_order(
            command.order, operator, request.update_id
        )
        data: dict[str, object] = {
            "revision": result.revision,
            "detail": result.detail,
        }
        text = _describe_result(result)
        if result.status is OrderStatus.ACCEPTED and command.wait_s is not None:
            behind = await self._wait_until_in_force(result.revision, command.wait_s)
            data["behind"] = behind
            text += _describe_behind(behind, command.wait_s)
        reply = {"status": result.status, "text": text, "data": data}
        await send_json(send, ORDER_STATUSES[result.status], reply)

    async def _apply(self, request: ApplyRequest, operator: str, send: Send) -> None:
        if "services" not in request.document:
            # A document without services would remove every service.
            reason = "$.document.services: found nothing; allowed: a list of services"
            await _refuse(send, Refusal(status=400, reason=reason))
            return
        parsed = parse_intents(request.document)
        if isinstance(parsed, Rejected):
            await _refuse(send, make_document_refusal(parsed))
            return
        intents = parsed.value
        if not await self._wait_until_base_known():
            # A difference from unknown intents would be misleading.
            reason = "this host does not know the routing intents in force yet"
            await _refuse(send, Refusal(status=503, reason=reason))
            return
        current = self._shell.state.intents
        reply: dict[str, object] = {
            "status": "ok",
            "text": "",
            "difference": [change.text for change in compare_intents(current, intents)],
            "base_revision": current.revision,
        }
        refusal = _check_apply(request, current, intents)
        if refusal is not None:
            reply |= {"status": "refused", "text": refusal}
            await send_json(send, 409, reply)
            return
        if request.dry_run:
            await send_json(send, 200, reply)
            return
        order = ReplaceServices(
            services=intents.services,
            leaving_hosts=intents.leaving_hosts,
            base_revision=current.revision,
        )
        result = await self._shell.give_order(order, operator, request.update_id)
        reply |= {
            "status": result.status,
            "version": result.revision,
            "text": _describe_result(result),
        }
        await send_json(send, ORDER_STATUSES[result.status], reply)

    async def _wait_until_base_known(self) -> bool:
        """Return True if the intents are known; wait for them briefly after a start."""
        with anyio.move_on_after(INTENTS_WAIT_S):
            while not is_base_known(self._shell.state):
                await anyio.sleep(STATE_POLL_INTERVAL_S)
        return is_base_known(self._shell.state)

    async def _wait_until_in_force(self, revision: int, wait_s: float) -> list[str]:
        """Wait at most `wait_s` seconds until all live hosts have a revision in force.

        Returns the names of the hosts that still lack it.
        """
        shell = self._shell
        with anyio.move_on_after(wait_s):
            while list_hosts_behind(shell.state, revision, shell.clock()):
                await anyio.sleep(STATE_POLL_INTERVAL_S)
        return list_hosts_behind(shell.state, revision, shell.clock())


def _check_apply(
    request: ApplyRequest, current: RoutingIntents, intents: RoutingIntents
) -> str | None:
    """Return why a document must not replace the intents in force, or None."""
    # A document that names a revision was written against it.
    base = request.base_revision
    if base is None and intents.revision:
        base = intents.revision
    if base is not None and base != current.revision:
        return (
            f"based on revision {base}, but revision {current.revision}"
            f" by {current.changed_by or 'nobody'} is newer; look at the difference"
            " and apply again"
        )
    if request.undo_orders or intents.revision:
        return None
    undone = list_undone_changes(current, intents)
    if not undone:
        return None
    changes = "; ".join(change.text for change in undone)
    return (
        f"the document would undo orders given since the last apply: {changes};"
        " write them into the document, or allow it with --undo-orders"
    )


def _describe_result(result: OrderResult) -> str:
    match result.status:
        case OrderStatus.ACCEPTED if result.detail:
            return f"accepted: {result.detail}"
        case OrderStatus.ACCEPTED:
            return f"accepted as version {result.revision}"
        case OrderStatus.REFUSED:
            return f"{result.detail} (newest version known: {result.revision})"
        case OrderStatus.UNKNOWN:
            return result.detail


def _describe_behind(behind: list[str], wait_s: float) -> str:
    if not behind:
        return ", in force on every live host"
    return f", but not known in force after {wait_s:g}s on: {', '.join(behind)}"


def _make_language_refusal(error: LanguageError) -> Refusal:
    return Refusal(status=400, reason=error.reason, data=asdict(error))


async def _refuse(send: Send, refusal: Refusal) -> None:
    document = {"status": "refused", "text": refusal.reason, "data": refusal.data}
    await send_json(send, refusal.status, document)


def _format_rows(rows: list[dict[str, object]]) -> str:
    return "\n".join(
        " ".join(
            f"{key.replace(' ', '_')}={_format_value(value)}"
            for key, value in row.items()
        )
        for row in rows
    )


def _format_value(value: object) -> str:
    text = str(value)
    return json.dumps(text) if " " in text or not text.isprintable() else text


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
