"""The stages of a start before the event loop runs: settings, then listening."""

import socket
from enum import StrEnum

from ..edge.sockets import make_listener
from ..logs import log_event
from ..settings.host import Address
from ..signals import SIGNALS
from .reload import log_faults, read_file
from .settings import AdapterSettings, SettingsError, decode_settings


class Stage(StrEnum):
    """A stage of a start that can fail."""

    SETTINGS = "settings"
    LISTEN = "listen"


class StartError(Exception):
    """A host cannot start; the reason names the field or the address."""

    def __init__(self, *, stage: Stage, reason: str) -> None:
        super().__init__(reason)
        self.stage = stage
        self.reason = reason


class StartCancelledError(Exception):
    """A signal stopped the host at a stage of its start."""

    def __init__(self, *, stage: Stage) -> None:
        super().__init__(stage)
        self.stage = stage


def check_not_stopped(stage: Stage) -> None:
    """Raise `StartCancelledError` if a signal that stops the host has arrived."""
    if SIGNALS.is_stop_requested():
        raise StartCancelledError(stage=stage)


def read_settings(path: str) -> AdapterSettings:
    """Return the settings in a file; raise `StartError` if they cannot be used."""
    check_not_stopped(Stage.SETTINGS)
    try:
        decoded = decode_settings(read_file(path))
    except (OSError, ValueError, SettingsError) as exc:
        raise StartError(stage=Stage.SETTINGS, reason=str(exc)) from exc
    log_event("settings", path=path, host=decoded.settings.name)
    log_faults(decoded.faults)
    return decoded.settings


def listen(settings: AdapterSettings) -> list[socket.socket]:
    """Return sockets for callers, readiness, addresses and peers, in this order.

    Raises `StartError` if one cannot be had.
    """
    check_not_stopped(Stage.LISTEN)
    sockets: list[socket.socket] = []
    for address in (
        settings.callers,
        settings.readiness,
        settings.addresses,
        settings.peers,
    ):
        try:
            sockets.append(make_listener(Address(ip=address.ip, port=address.port)))
        except OSError as exc:
            reason = f"{address}: {exc}"
            raise StartError(stage=Stage.LISTEN, reason=reason) from exc
    log_event("listening", callers=str(settings.callers))
    return sockets
