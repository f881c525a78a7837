"""Settings that change while a host runs, with a signal or without."""

from dataclasses import fields
from pathlib import Path
from typing import Final

import anyio

from ..logs import log_event, log_warning
from .settings import AdapterSettings, SettingsError, parse_settings

CHECK_INTERVAL_S: Final = 2.0


class SettingsWatcher:
    """Reads the settings again and logs what changed.

    What a host is and where it listens holds for the life of its process; a change
    takes effect when the platform starts it anew.
    """

    def __init__(self, *, path: str, settings: AdapterSettings) -> None:
        self._path = Path(path)
        self._settings = settings
        self._fault = ""

    async def run(self) -> None:
        """Look for changes that come without a signal, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._read() != self._settings:
                self.check()

    def check(self) -> None:
        """Read the settings again."""
        settings = self._read()
        if settings is None:
            log_warning("reload-refused", reason=self._fault)
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
            self._fault = str(exc)
            return None
