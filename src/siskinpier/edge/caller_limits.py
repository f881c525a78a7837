"""The limits on callers in force at a host: its settings, and the routing intents."""

from dataclasses import replace

from ..core.configuration.intents import CallerLimits
from ..settings.host import LimitSettings


def apply_caller_limits(
    settings: LimitSettings, caller_limits: CallerLimits | None
) -> LimitSettings:
    """Return the settings with the limits of the routing intents in their place."""
    if caller_limits is None:
        return settings
    return replace(
        settings,
        header_bytes=caller_limits.header_bytes,
        body_bytes=caller_limits.body_bytes,
        head_timeout_s=caller_limits.header_timeout_s,
        keep_alive_s=caller_limits.idle_timeout_s,
    )
