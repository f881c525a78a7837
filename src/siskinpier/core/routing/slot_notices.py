"""Notices of a home to the holder of a call that waits for a slot."""

from ..effects import Effect, SendMessage
from ..messages import SlotQueued
from ..state import HostState, ServiceRuntime
from .calls import ActiveCall, Stage
from .candidates import estimate_answer_s
from .run_times import get_typical_run_s


def send_queued_notice(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Send the expected time to its answer to the holder of a call that waits here."""
    is_waiting = active.stage in (Stage.QUEUED, Stage.CHECKING)
    if not is_waiting or active.call.call_id not in state.calls:
        return
    message = SlotQueued(
        call=active.holder_call_id,
        request_number=active.request_number,
        expected_s=round(estimate_answer_s(service, active, now), 4),
        typical_run_s=round(get_typical_run_s(service, active), 4),
    )
    out.append(
        SendMessage(host=active.holder, address=active.holder_address, message=message)
    )
