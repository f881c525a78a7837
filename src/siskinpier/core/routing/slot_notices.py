"""What a home tells the holder of a call that waits for a slot."""

from ..effects import Effect, SendMessage
from ..messages import SlotQueued
from ..state import HostState, ServiceRuntime
from .calls import ActiveCall, Stage
from .candidates import estimate_answer_s
from .run_times import get_usual_s


def tell_queued(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Tell the holder of a call that waits here for how long, if it still does."""
    is_waiting = active.stage in (Stage.QUEUED, Stage.CHECKING)
    if not is_waiting or active.call.call_id not in state.calls:
        return
    message = SlotQueued(
        call=active.holders_id,
        ask=active.ask,
        expected_s=round(estimate_answer_s(service, active, now), 4),
        typical_run_s=round(get_usual_s(service, active), 4),
    )
    out.append(
        SendMessage(host=active.holder, address=active.holder_address, message=message)
    )
