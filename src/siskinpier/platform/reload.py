"""Detection of settings that change while a host runs, with or without a signal."""

from collections.abc import Sequence
from dataclasses import fields
from pathlib import Path
from typing import Final

import anyio

from ..logs import log_event, log_warning
from .field_reading import Fault
from .settings import AdapterSettings, DecodedSettings, SettingsError, decode_settings

CHECK_INTERVAL_S: Final = 2.0
MAX_LOGGED_FAULTS: Final = 20


def read_file(path: str) -> str:
    """Return the text of a settings file; raises `OSError` and `ValueError`.

    Bytes that are not UTF-8 make only the fields unusable that hold them.
    """
    return Path(path).read_text(encoding="utf-8", errors="surrogateescape")


def log_faults(faults: Sequence[Fault]) -> None:
    """Log each field that could not be used, up to `MAX_LOGGED_FAULTS`."""
    for fault in faults[:MAX_LOGGED_FAULTS]:
        log_warning(
            "settings-fault", path=fault.path, reason=fault.reason, effect=fault.effect
        )
    if len(faults) > MAX_LOGGED_FAULTS:
        log_warning("settings-faults", left_out=len(faults) - MAX_LOGGED_FAULTS)


class SettingsWatcher:
    """Reads the settings again and logs the names of fields that changed.

    Settings are fixed for the lifetime of a process; a change takes effect when the
    platform restarts the host.
    """

    def __init__(self, *, path: str, settings: AdapterSettings) -> None:
        self._path = path
        self._settings = settings
        self._read_error = ""

    @property
    def settings(self) -> AdapterSettings:
        """Return the settings that were read last."""
        return self._settings

    async def run(self) -> None:
        """Check periodically for changes without a signal, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._is_changed():
                self.reload_settings()

    def reload_settings(self) -> None:
        """Read the settings again, and log the changes or why they cannot be read."""
        decoded = self._decode()
        if decoded is None:
            log_warning("reload-refused", reason=self._read_error)
            return
        settings = decoded.settings
        changed = [
            field.name
            for field in fields(AdapterSettings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = settings
        log_event("reload", changed=",".join(changed))
        log_faults(decoded.faults)

    def _is_changed(self) -> bool:
        decoded = self._decode()
        return decoded is None or decoded.settings != self._settings

    def _decode(self) -> DecodedSettings | None:
        try:
            return decode_settings(read_file(self._path))
        except (OSError, ValueError, SettingsError) as exc:
            self._read_error = str(exc)
            return None
