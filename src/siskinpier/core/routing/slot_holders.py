"""Slots of other homes, as the host that holds a call uses them.

A grant is used at most once: the call is sent only while the request of that grant is
outstanding. The home hears how each grant ended (`slots.py`).
"""

from math import inf
from typing import Final

from ..cluster.members import Member
from ..effects import Effect, LogDecision, SetTimer
from ..messages import (
    SlotGrant,
    SlotQueued,
    SlotRefusal,
)
from ..problems import QUOTA_STATUS, make_no_server
from ..state import HostState, ServiceRuntime
from ..timers import SlotResponseDue
from ..verdict import Problem
from .attempts import (
    send_attempt,
)
from .balance import (
    ServerRuntime,
    is_draining,
    is_paused,
)
from .calls import ActiveCall, Grant, Stage
from .cross_domain import is_cross_domain_worthwhile
from .dispatch import dispatch_call
from .refusals import refuse_call, remove_call, return_unused_credit
from .run_times import get_typical_run_s
from .slot_requests import (
    UNRESPONSIVE_S,
    request_slot,
    request_spare_slot,
    send_withdrawal,
    withdraw_slot_requests,
)
from .workspaces import find_key_refusal, refuse_without_key

# How often the holder of a queued call checks that its home is alive, in seconds.
QUEUED_CHECK_INTERVAL_S: Final = 0.5
# Shortest time that the holder waits for the grant of a queued call before it requests
# a slot elsewhere, in seconds.
MIN_GRANT_WAIT_S: Final = 0.05
# The holder of a queued call requests a slot from other homes in its failure domain if
# the answer is expected after more than this many usual run times.
NEARBY_REQUEST_FACTOR: Final = 1.2


def handle_slot_grant(
    state: HostState, grant: SlotGrant, sender: str, now: float, out: list[Effect]
) -> None:
    """Send a call to the backend server that its home granted, at most once."""
    active = state.calls.get(grant.call)
    if active is not None and grant.is_hedge:
        _send_granted_hedge(state, active, grant, sender, now, out)
        return
    has_expired = active is not None and now >= active.call.deadline
    if (
        active is None
        or has_expired
        or not _is_outstanding(active, sender, grant.request_number)
    ):
        # A host that was suspended may receive a grant after the call's deadline.
        send_withdrawal(
            state, sender, grant.call, grant.request_number, out, grant.number
        )
        return
    if state.intents.requires_keys and refuse_without_key(state, active, now, out):
        return
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    if service is None or server is None or home is None or is_draining(server):
        send_withdrawal(state, sender, grant.call, grant.request_number, out)
        pending = active.pending_requests.pop(grant.request_number)
        if not pending.is_spare:
            _dispatch_elsewhere(state, active, now, out)
        return
    if is_paused(server, now):
        # Granted before the home learned of the pause.
        send_withdrawal(state, sender, grant.call, grant.request_number, out)
        del active.pending_requests[grant.request_number]
        dispatch_call(state, service, active, now, out)
        return
    service.queue.remove(active)
    _send_granted(state, active, server, grant, home, "granted", now, out)


def _send_granted(
    state: HostState,
    active: ActiveCall,
    server: ServerRuntime,
    grant: SlotGrant,
    home: Member,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    active.pending_requests.pop(grant.request_number, None)
    return_unused_credit(state, active)  # The home that granted the slot took one.
    send_attempt(active, server, now, reason, out)
    if active.attempt is not None:
        active.attempt.grant = Grant(
            home=home.name,
            address=home.peers,
            holder=state.identity.name,
            call_id=grant.call,
            request_number=grant.request_number,
            number=grant.number,
        )


def _send_granted_hedge(
    state: HostState,
    active: ActiveCall,
    grant: SlotGrant,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Send a hedge on a granted slot if the first attempt still waits for its reply."""
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    can_send = (
        active.stage is Stage.SENT
        and now < active.call.deadline
        and active.other_attempt is None
        and active.idempotent
        and active.call.replayable
        and len(active.attempts) < active.attempts_limit
        and grant.server not in active.list_tried_targets()
    )
    is_usable = server is not None and not is_draining(server)
    if server is None or not is_usable or is_paused(server, now):
        can_send = False
    if state.intents.requires_keys and find_key_refusal(state, active, now):
        can_send = False
    if server is None or home is None or not can_send:
        send_withdrawal(
            state, sender, grant.call, grant.request_number, out, grant.number
        )
        return
    active.other_attempt = active.attempt
    _send_granted(state, active, server, grant, home, "hedge", now, out)


def handle_slot_queued(
    state: HostState,
    message: SlotQueued,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Record that a call is queued at its home; request a slot elsewhere if needed."""
    active = state.calls.get(message.call)
    if active is None or not _is_outstanding(active, sender, message.request_number):
        return
    active.is_queued_at_home = True
    pending = active.pending_requests[message.request_number]
    if pending.is_spare and state.settings.shares_queues:
        return  # It waits at its own home too, which has told the longer wait.
    active.expected_s = message.expected_s
    service = state.services.get(active.call.service)
    if service is None:
        return
    if is_cross_domain_worthwhile(
        active, message.expected_s, message.typical_run_s, now
    ):
        request_spare_slot(state, service, active, now, out)
        return
    if message.expected_s > NEARBY_REQUEST_FACTOR * message.typical_run_s:
        request_spare_slot(state, service, active, now, out, near_only=True)
    if not state.settings.shares_queues:
        return
    # A grant that is later than expected shows that the estimate was too low.
    wait_s = max(MIN_GRANT_WAIT_S, message.expected_s - message.typical_run_s)
    timer = SlotResponseDue(call_id=message.call)
    out.append(SetTimer(timer=timer, at=now + wait_s))


def handle_slot_refusal(
    state: HostState,
    message: SlotRefusal,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Request a slot from another home, or refuse the call as its home did."""
    active = state.calls.get(message.call)
    if active is None or not _is_outstanding(active, sender, message.request_number):
        return
    pending = active.pending_requests.pop(message.request_number)
    service = state.services.get(active.call.service)
    if pending.is_spare:
        active.homes_without_spare.add(sender)
        if service is not None:
            request_spare_slot(state, service, active, now, out)
        return
    active.refused_by.add(sender)
    is_over_quota = message.status == QUOTA_STATUS
    can_request = service is not None and not message.is_final and not is_over_quota
    if can_request and service and request_slot(state, service, active, now, out):
        return
    problem = Problem(
        status=message.status,
        title=message.title,
        detail=message.detail,
        verdict=active.worst_verdict,
        retry_after_s=message.retry_after_s,
    )
    remove_call(state, active, out)
    refuse_call(active, problem, out)


def handle_slot_response_due(
    state: HostState, call_id: str, now: float, out: list[Effect]
) -> None:
    """Dispatch a call elsewhere if its home has not answered or has become silent."""
    active = state.calls.get(call_id)
    if active is None or active.stage is not Stage.ASKING:
        return
    member = state.members.get(active.requested_home)
    is_lost = member is None or member.silent_since is not None
    if active.is_queued_at_home and not is_lost:
        timer = SlotResponseDue(call_id=call_id)
        out.append(SetTimer(timer=timer, at=now + QUEUED_CHECK_INTERVAL_S))
        service = state.services.get(active.call.service)
        if service is None or not service.shares_queues:
            return
        if _can_be_on_time(service, active, now):
            request_spare_slot(state, service, active, now, out)
        return
    fields: dict[str, object] = {
        "call": call_id,
        "home": active.requested_home,
        "after_s": round(now - active.requested_at, 3),
    }
    out.append(LogDecision(event="slot-unanswered", fields=fields))
    if member is not None:
        member.unresponsive_until = now + UNRESPONSIVE_S
    withdraw_slot_requests(active, out)
    _dispatch_elsewhere(state, active, now, out)


def _can_be_on_time(service: ServiceRuntime, active: ActiveCall, now: float) -> bool:
    """Return True if a call that waits here could meet its objective elsewhere."""
    typical_run_s = get_typical_run_s(service, active)
    return is_cross_domain_worthwhile(active, inf, typical_run_s, now)


def _is_outstanding(active: ActiveCall, sender: str, request_number: int) -> bool:
    """Return True if a call still waits for this home to answer this request."""
    if active.stage not in (Stage.ASKING, Stage.QUEUED):
        return False
    pending = active.pending_requests.get(request_number)
    return pending is not None and pending.home == sender


def _dispatch_elsewhere(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    active.refused_by.add(active.requested_home)
    service = state.services.get(active.call.service)
    if service is not None:
        dispatch_call(state, service, active, now, out)
        return
    remove_call(state, active, out)
    refuse_call(active, make_no_server(active.call.service, active.worst_verdict), out)
