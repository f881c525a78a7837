"""The slots in use, counted anew from the calls that hold them."""

from collections import Counter

from ..state import HostState
from .calls import Stage


def recount_slots(state: HostState) -> int:
    """Correct the slots in use of all servers; return how many counts were wrong.

    An event that was applied in part may leave a slot counted that no call holds.
    """
    used: Counter[tuple[str, str]] = Counter()
    for active in state.calls.values():
        if active.stage in (Stage.SENT, Stage.RELAYING):
            for attempt in active.list_running_attempts():
                if not attempt.is_forward:
                    used[active.call.service, attempt.target] += 1
    wrong = 0
    for service_name, service in state.services.items():
        for server_name, server in service.servers.items():
            for call_id in list(server.pending_checks):
                if call_id not in state.calls:
                    del server.pending_checks[call_id]
            in_use = used[service_name, server_name] + len(server.pending_checks)
            wrong += in_use != server.in_flight
            server.in_flight = in_use
    return wrong
