"""The notice by which a host passes on its routing intents."""

from dataclasses import replace

from ..messages import IntentsNotice
from ..state import HostState


def make_intents_notice(state: HostState, version: str) -> IntentsNotice:
    """Return the notice of the routing intents in force.

    Limits on callers that may be those of an earlier revision are left out, so that the
    receivers know that they lack them.
    """
    intents = state.intents
    if state.lacks_caller_limits:
        intents = replace(intents, caller_limits=None)
    return IntentsNotice(
        version=version, intents=intents, is_reduced=state.has_reduced_intents
    )
