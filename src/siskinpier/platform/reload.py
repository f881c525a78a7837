"""Detection of settings that change while a host runs, with or without a signal."""

from dataclasses import fields
from pathlib import Path
from typing import Final

import anyio

from ..logs import log_event, log_warning
from .settings import AdapterSettings, SettingsError, parse_settings

CHECK_INTERVAL_S: Final = 2.0


class SettingsWatcher:
    """Reads the settings again and logs the names of fields that changed.

    Settings are fixed for the lifetime of a process; a change takes effect when the
    platform restarts the host.
    """

    def __init__(self, *, path: str, settings: AdapterSettings) -> None:
        self._path = Path(path)
        self._settings = settings
        self._read_error = ""

    async def run(self) -> None:
        """Check periodically for changes without a signal, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._read() != self._settings:
                self.reload_settings()

    def reload_settings(self) -> None:
        """Read the settings again, and log the changes or why they cannot be read."""
        settings = self._read()
        if settings is None:
            log_warning("reload-refused", reason=self._read_error)
            return
        changed = [
            field.name
            for field in fields(AdapterSettings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = settings
        log_event("reload", changed=",".join(changed))

    def _read(self) -> AdapterSettings | None:
        try:
            return parse_settings(self._path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, SettingsError) as exc:
            self._read_error = str(exc)
            return None
