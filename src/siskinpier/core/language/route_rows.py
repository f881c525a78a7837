"""What would happen to a request now: its route, workspace, service, home and server.

Nothing is changed, and no token or slot is taken. The rows say what this host believes;
servers are chosen by the home of their service, so only a home can name the server.
"""

from ..configuration.intents import Route, Workspace
from ..routing.balance import ServerRuntime, choose_server, is_paused
from ..routing.speeds import is_slow
from ..state import HostState, IsolationStatus, ServiceRuntime
from .queries import AskRoute
from .service_rows import Rows, get_avoidance_reason

CHOSEN = "chosen"
REFUSED = "refused"
SKIPPED = "skipped"


def trace_request(state: HostState, question: AskRoute, now: float) -> Rows:
    """Return a row for each step of a request until one refuses it."""
    rows: Rows = []
    if state.isolation.status is IsolationStatus.ISOLATED:
        detail = "this host reaches no backend server and forwards through others"
        rows.append(_make_row("host", state.identity.name, "isolated", detail))
    route = state.routes.find(question.virtual_host, question.path)
    rows.append(_make_route_row(route))
    if route is None or route.is_suspended:
        return rows
    workspace = _make_workspace_row(state, route, question.workspace)
    if workspace is not None:
        rows.append(workspace)
        if workspace["outcome"] == REFUSED:
            return rows
    total = sum(part.weight for part in route.services) or 1.0
    for part in route.services:
        share = f"{part.weight / total:.3g} of the calls"
        service = state.services.get(part.service)
        if service is None:
            detail = "503: no such service is declared"
            rows.append(_make_row("service", part.service, REFUSED, detail))
            continue
        rows += _trace_service(state, service, share, now)
    return rows


def _make_route_row(route: Route | None) -> dict[str, object]:
    if route is None:
        detail = "404: no route of this virtual host has a prefix of the path"
        return _make_row("route", "", REFUSED, detail)
    if route.is_suspended:
        detail = "503 until the configuration has a readable rule for it"
        return _make_row("route", route.name, REFUSED, detail)
    kind = "may be repeated" if route.idempotent else "runs at most once"
    detail = f"{kind}, {route.attempts} attempts, {route.timeout_s:g} s"
    return _make_row("route", route.name, CHOSEN, detail)


def _make_workspace_row(
    state: HostState, route: Route, name: str | None
) -> dict[str, object] | None:
    """Return the row of the workspace, or None where the configuration has none."""
    if not state.intents.requires_keys:
        return None
    if route.is_public:
        return _make_row("workspace", name or "", "not needed", "the route is public")
    found = [w for w in state.intents.workspaces if w.name == name]
    if found:
        return _make_row("workspace", found[0].name, CHOSEN, _describe(found[0]))
    if not state.intents.workspaces:
        detail = "503: no workspace can be read from the configuration"
        return _make_row("workspace", name or "", REFUSED, detail)
    detail = "401: a key of a declared workspace is needed"
    return _make_row("workspace", name or "", REFUSED, detail)


def _describe(workspace: Workspace) -> str:
    if workspace.requests_per_s == 0.0:
        return f"{len(workspace.key_digests)} keys, no quota"
    quota = f"{workspace.requests_per_s:g}/s and {workspace.burst:g} at once"
    return f"{len(workspace.key_digests)} keys, quota of {quota}"


def _trace_service(
    state: HostState, service: ServiceRuntime, share: str, now: float
) -> Rows:
    name = service.intent.name
    queue = f"{share}, {len(service.queue)} wait here"
    if len(service.queue) >= service.intent.queue_limit:
        detail = f"{queue}; 503 unless more urgent, until one of them is sent"
        return [_make_row("service", name, REFUSED, detail)]
    rows = [_make_row("service", name, CHOSEN, queue)]
    if service.owned:
        rows.append(_make_row("home", state.identity.name, CHOSEN, "this host"))
        return rows + _list_candidates(service, now)
    own = state.identity.failure_domain
    homes = service.placement.homes.get(own, ()) or service.placement.get_all_homes()
    for home in homes:
        member = state.members.get(home)
        until = member.unresponsive_until - now if member is not None else 0.0
        if until > 0.0:
            detail = f"left a request unanswered; for {until:.1f} s more"
            rows.append(_make_row("home", home, SKIPPED, detail))
        else:
            detail = "ask this host which server it would grant"
            rows.append(_make_row("home", home, CHOSEN, detail))
    if not homes:
        rows.append(_make_row("home", "", REFUSED, "503: no host is a home"))
    return rows


def _list_candidates(service: ServiceRuntime, now: float) -> Rows:
    """Return a row for each owned server; the chosen one comes first."""
    fast = [server for server in service.owned if not is_slow(server, now)]
    chosen = choose_server(fast, now, set()) or choose_server(service.owned, now, set())
    rows: Rows = []
    if chosen is None:
        detail = "the request waits for a slot, or is refused with its deadline"
        rows.append(_make_row("server", "", "none is free", detail))
    else:
        rows.append(_make_row("server", chosen.intent.name, CHOSEN, ""))
    rows += [
        _make_row("server", server.intent.name, SKIPPED, _describe_skip(server, now))
        for server in service.owned
        if server is not chosen
    ]
    return rows


def _describe_skip(server: ServerRuntime, now: float) -> str:
    if is_paused(server, now):
        return f"asked for a pause, {server.paused_until[''] - now:.1f} s more"
    if server.is_silent:
        return "leaves probes unanswered"
    if is_slow(server, now):
        return f"slow, {server.slowdown:g} times the usual run time by its report"
    return get_avoidance_reason(server, now) or "another one is less loaded"


def _make_row(step: str, name: str, outcome: str, detail: str) -> dict[str, object]:
    return {"step": step, "name": name, "outcome": outcome, "detail": detail}
