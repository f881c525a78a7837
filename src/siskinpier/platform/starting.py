"""The stages of a start before the event loop runs: settings, then listening."""

import socket
import time
from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import partial
from typing import Final, TypeVar

from ..edge.sockets import make_listeners
from ..logs import log_event, log_warning
from ..settings.host import Address
from ..signals import SIGNALS
from .reload import log_faults, read_file
from .settings import (
    PATH_VARIABLE,
    AdapterSettings,
    DecodedSettings,
    SettingsError,
    decode_settings,
)

# How long a host waits for settings that it can use.
SETTINGS_WAIT_S: Final = 10.0
# How much longer than the time that a process has to stop a host waits for its ports,
# and the longest wait.
LISTEN_MARGIN_S: Final = 4.0
MAX_LISTEN_WAIT_S: Final = 60.0
# Interval between two attempts of a stage.
RETRY_INTERVAL_S: Final = 0.05

Result = TypeVar("Result")


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


class CancelledStartError(Exception):
    """A signal stopped the host at a stage of its start."""

    def __init__(self, *, stage: Stage) -> None:
        super().__init__(stage)
        self.stage = stage


def check_not_stopped(stage: Stage) -> None:
    """Raise `CancelledStartError` if a signal that stops the host has arrived."""
    if SIGNALS.is_stop_requested():
        raise CancelledStartError(stage=stage)


def read_settings(path: str) -> AdapterSettings:
    """Return the settings in a file, which may be written in place at this moment.

    Raises `StartError` if they cannot be used after `SETTINGS_WAIT_S`.
    """
    if not path:
        raise StartError(stage=Stage.SETTINGS, reason=f"{PATH_VARIABLE} is not set")
    decoded = _retry(
        partial(_read_settings_once, path),
        stage=Stage.SETTINGS,
        within_s=SETTINGS_WAIT_S,
    )
    log_event("settings", path=path, host=decoded.settings.name)
    log_faults(decoded.faults)
    return decoded.settings


def _read_settings_once(path: str) -> DecodedSettings:
    try:
        text = read_file(path)
        decoded = decode_settings(text)
        if not text.endswith("\n"):
            # The last line may be cut.
            time.sleep(RETRY_INTERVAL_S)
            if read_file(path) != text:
                raise SettingsError("the file is being written")
    except (OSError, ValueError, SettingsError) as exc:
        raise StartError(stage=Stage.SETTINGS, reason=str(exc)) from exc
    return decoded


def _retry(attempt: Callable[[], Result], *, stage: Stage, within_s: float) -> Result:
    """Call a function until it raises no `StartError`, for a limited time.

    Raises its last error after that, and `CancelledStartError` if a signal stops the
    host meanwhile.
    """
    started = time.monotonic()
    is_waiting = False
    while True:
        check_not_stopped(stage)
        try:
            result = attempt()
        except StartError as exc:
            if time.monotonic() - started >= within_s:
                raise
            if not is_waiting:
                log_warning(
                    "start-wait", stage=stage, reason=exc.reason, within_s=within_s
                )
            is_waiting = True
            time.sleep(RETRY_INTERVAL_S)
            continue
        if is_waiting:
            after_s = round(time.monotonic() - started, 3)
            log_event("start-wait-over", stage=stage, after_s=after_s)
        return result


def listen(settings: AdapterSettings) -> list[socket.socket]:
    """Return sockets for callers, readiness, addresses and peers, in this order.

    A process that is stopping may still have a port, and the host's own address may not
    be there yet. Raises `StartError` if that lasts longer than a stop may.
    """
    addresses = [
        Address(ip=address.ip, port=address.port)
        for address in (
            settings.callers,
            settings.readiness,
            settings.addresses,
            settings.peers,
        )
    ]
    sockets = _retry(
        partial(_listen_once, addresses),
        stage=Stage.LISTEN,
        within_s=min(MAX_LISTEN_WAIT_S, settings.grace_s + LISTEN_MARGIN_S),
    )
    log_event("listening", callers=str(settings.callers))
    return sockets


def _listen_once(addresses: Sequence[Address]) -> list[socket.socket]:
    try:
        return make_listeners(addresses)
    except OSError as exc:
        raise StartError(stage=Stage.LISTEN, reason=str(exc)) from exc
