"""Dispatch of calls to a backend server, to another home, or into the queue."""

from math import inf

from ..effects import Effect
from ..messages import SpareNotice
from ..problems import make_no_server, make_retry_budget_exhausted
from ..state import HostState, ServiceRuntime
from .admission import estimate_wait_s
from .attempts import forward_call, send_attempt
from .balance import choose_server, has_tried_all
from .calls import ActiveCall
from .candidates import FAST_SERVER_WAIT_S, choose_owned_server
from .cross_domain import can_cross_domains
from .forwarding import (
    choose_peer_home,
    list_forwardable_calls,
    record_spare_notice,
    report_spare_slots,
)
from .gateways import choose_gateway, is_stranded
from .queueing import (
    dispatch_queued_calls,
    enqueue_call,
    push_to_queue,
    refuse_if_quarantined,
)
from .quotas import admit_call
from .refusals import refuse_call, remove_call
from .retry_budget import credit_budgets_once
from .slot_requests import request_slot
from .speed_checks import ServerChoice, send_or_check
from .workspaces import refuse_without_key


def dispatch_call(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Send, forward, queue or refuse a call that needs a target."""
    if state.intents.requires_keys and refuse_without_key(state, active, now, out):
        return
    gateway = choose_gateway(state, active, now)
    if gateway is not None:
        forward_call(service, active, gateway, now, out)
        return
    if is_stranded(state, active):
        remove_call(state, active, out)
        refuse_call(
            active, make_no_server(active.call.service, active.worst_verdict), out
        )
        return
    if service.owned and not admit_call(state, active, now, out):
        return
    tried = active.list_tried_targets()
    if state.settings.grants_slots and not active.holder and can_cross_domains(active):
        active.accepts_slow_from = now + FAST_SERVER_WAIT_S
    server = choose_owned_server(service, active, now)
    if server is not None and len(service.queue) > 0:
        push_to_queue(service, active, now, out)
        dispatch_queued_calls(state, service, now, out)
        return
    if server is not None:
        choice = ServerChoice(server=server, reason="own-server")
        send_or_check(state, service, active, choice, now, out)
        report_spare_slots(state, service, now, out)
        return
    if state.settings.grants_slots:
        can_request = not active.holder and not service.owned
        if can_request and request_slot(state, service, active, now, out):
            return
    elif active.call.hops == 0:
        wait_s = _estimate_own_wait_s(service, active, now)
        peer = choose_peer_home(state, service, tried, wait_s)
        if peer is None and not service.owned:
            peer = choose_peer_home(state, service, set(), wait_s)
        if peer is not None:
            forward_call(service, active, peer, now, out)
            return
    if not service.owned:
        _send_without_home(state, service, active, now, out)
        return
    enqueue_call(state, service, active, now, out)
    report_spare_slots(state, service, now, out)


def has_untried_target(
    state: HostState, service: ServiceRuntime, active: ActiveCall, now: float
) -> bool:
    """Return True if a call can go to a server or home that it has not tried."""
    tried = active.list_tried_targets()
    if not has_tried_all(service.owned, tried, now):
        return True
    if choose_peer_home(state, service, tried, inf) is not None:
        return True
    servers = service.servers.values()
    return not service.owned and not has_tried_all(servers, tried, now)


def handle_spare_notice(
    state: HostState,
    notice: SpareNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Forward waiting calls to a home that has spare slots."""
    service = state.services.get(notice.service)
    if not record_spare_notice(state, notice, sender) or service is None:
        return
    peer = state.members[sender]
    for active in list_forwardable_calls(state, service, notice.spare):
        if sender in active.list_tried_targets():
            continue
        service.queue.remove(active)
        if state.intents.requires_keys and refuse_without_key(state, active, now, out):
            continue
        if not refuse_if_quarantined(state, active, now, out):
            forward_call(service, active, peer, now, out)
    report_spare_slots(state, service, now, out)


def _estimate_own_wait_s(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> float:
    """Return the expected wait in seconds; infinity if no untried server is owned."""
    if has_tried_all(service.owned, active.list_tried_targets(), now):
        return inf
    return estimate_wait_s(service, active, now)


def _send_without_home(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Send a call to any backend server because no home can be reached.

    Servers of this host's failure domain come first. A retry takes its token from the
    budget of this host, as no home has counted it. Servers that name a rate limit, and
    cold ones, are left to their owners, which alone know how much of it is used.
    """
    if not admit_call(state, active, now, out):
        return
    credit_budgets_once(service, active)
    is_uncounted_retry = state.settings.grants_slots and active.has_been_sent()
    if is_uncounted_retry and not service.retries.take(now):
        remove_call(state, active, out)
        refuse_call(active, make_retry_budget_exhausted(active.call.service), out)
        return
    own = state.identity.failure_domain
    unlimited = [s for s in service.servers.values() if s.rate_limit is None]
    near = [s for s in unlimited if s.intent.failure_domain == own]
    for servers in (near, unlimited):
        server = choose_server(
            servers, now, active.list_tried_targets(), idempotent=active.idempotent
        )
        if server is not None:
            send_attempt(active, server, now, "no-home", out)
            return
    remove_call(state, active, out)
    refuse_call(active, make_no_server(active.call.service, active.worst_verdict), out)
