"""Answers to operators' questions, as rows of plain data read from the state."""

from dataclasses import dataclass

from ..cluster.readiness import find_not_ready_reason
from ..cluster.revisions import list_hosts_behind
from ..cluster.views import is_leaving, list_live_hosts
from ..configuration.intents import MAX_RECENT_UPDATES
from ..state import HostState, IsolationStatus, Lifecycle
from .decision_history import MAX_EXPLAINED_CALLS
from .parsing import LanguageError, parse_question
from .queries import (
    AskBudgets,
    AskClaims,
    AskConfiguration,
    AskHosts,
    AskQuarantine,
    AskRoute,
    AskServers,
    AskServices,
    AskUpdate,
    ExplainCall,
)
from .route_rows import trace_request
from .service_rows import (
    Rows,
    format_cell,
    list_budgets,
    list_claims,
    list_quarantined_requests,
    list_servers,
    list_services,
    make_claim_writes_row,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class NotFound:
    """The question names something that this host does not know."""

    reason: str


def answer_question(
    state: HostState, text: str, now: float
) -> Rows | NotFound | LanguageError:
    """Return the rows that answer a question, or the reason why it has no answer."""
    match parse_question(text):
        case LanguageError() as error:
            return error
        case AskServices():
            return list_services(state)
        case AskServers() | AskQuarantine() | AskBudgets() as question:
            return _answer_by_service(state, question, now)
        case AskHosts():
            return _list_hosts(state, now)
        case AskConfiguration():
            return _show_configuration(state, now)
        case AskClaims():
            return list_claims(state, now)
        case ExplainCall(call_id=call_id):
            return _explain(state, call_id)
        case AskUpdate(update_id=update_id):
            return _show_update(state, update_id)
        case AskRoute() as question:
            return trace_request(state, question, now)


def get_unready_reason(state: HostState, now: float) -> str | None:
    """Return why the host is not ready for new callers, or None if it is."""
    match state.lifecycle:
        case Lifecycle.STARTING:
            return (
                find_not_ready_reason(state, now)
                or "nothing: ready at the next heartbeat"
            )
        case Lifecycle.READY:
            return "marked as leaving by an order" if is_leaving(state) else None
        case stage:
            return f"the host is {stage}"


def _answer_by_service(
    state: HostState, question: AskServers | AskQuarantine | AskBudgets, now: float
) -> Rows | NotFound:
    """Answer a question about one service, or about all if it names none."""
    name = question.service
    if name is not None and name not in state.services:
        declared = ", ".join(state.services) or "none"
        return NotFound(reason=f"no service {name!r}; declared: {declared}")
    services = [
        service for key, service in state.services.items() if name in (None, key)
    ]
    match question:
        case AskServers():
            return [row for s in services for row in list_servers(s, now)]
        case AskQuarantine():
            return list_quarantined_requests(state, services, now)
        case AskBudgets():
            rows = [row for s in services for row in list_budgets(s)]
            return rows if name is not None else [*rows, make_claim_writes_row(state)]


def _list_hosts(state: HostState, now: float) -> Rows:
    own = state.identity
    live = {host.name for host in list_live_hosts(state, now)}
    rows: Rows = [
        {
            "host": own.name,
            "failure domain": own.failure_domain,
            "live": own.name in live,
            "leaving": is_leaving(state),
            "isolated": state.isolation.status is IsolationStatus.ISOLATED,
            "revision": state.intents.revision,
            "heard s ago": 0.0,
            "listed": "",
            "callers": own.callers,
        }
    ]
    rows.extend(
        {
            "host": member.name,
            "failure domain": member.failure_domain,
            "live": member.name in live,
            "leaving": member.leaving
            or member.listed_leaving
            or member.name in state.intents.leaving_hosts,
            "isolated": member.is_isolated,
            "revision": member.revision,
            "heard s ago": (
                "never"
                if member.last_heard is None
                else round(now - member.last_heard, 3)
            ),
            "listed": member.listed,
            "callers": member.callers,
        }
        for member in sorted(state.members.values(), key=lambda m: m.name)
        if member.name != own.name
    )
    return rows


def _show_configuration(state: HostState, now: float) -> Rows:
    intents = state.intents
    in_force_here = state.lifecycle is not Lifecycle.STARTING
    behind = list_hosts_behind(state, intents.revision, now)
    live = {host.name for host in list_live_hosts(state, now)}
    in_force = sorted((live | {state.identity.name}).difference(behind))
    updates = intents.recent_updates
    return [
        {
            "revision": intents.revision if in_force_here else 0,
            "version": format_cell(state.intents_version),
            "by": intents.changed_by,
            "at": intents.changed_at,
            "update": updates[-1] if updates else "",
            "known": state.intents_known,
            "in force on": ",".join(in_force),
            "behind": ",".join(behind),
        }
    ]


def _explain(state: HostState, call_id: str) -> Rows | NotFound:
    decisions = state.history.get(call_id)
    if not decisions:
        return NotFound(
            reason=f"no decision about call {call_id!r} is kept here; this host keeps"
            f" those of its last {MAX_EXPLAINED_CALLS} calls; search the logs for"
            f" call={call_id}"
        )
    return [
        {"at": round(decision.at, 6), "event": decision.event, **decision.fields}
        for decision in decisions
    ]


def _show_update(state: HostState, update_id: str) -> Rows:
    intents = state.intents
    accepted = update_id in intents.recent_updates
    if accepted:
        meaning = "it took effect"
    else:
        meaning = (
            f"not among the last {MAX_RECENT_UPDATES} updates as of this revision;"
            " ask again once the platform answers"
        )
    return [
        {
            "update": update_id,
            "accepted": accepted,
            "as of revision": intents.revision,
            "meaning": meaning,
        }
    ]
