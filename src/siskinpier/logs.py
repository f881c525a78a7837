"""Logs: one line of key=value pairs for each event."""

import logging
import re
import time
from typing import Final

from logfmter import Logfmter

LOGGER_NAME: Final = "siskinpier"
SERVER_LOGGER_NAME: Final = "uvicorn.error"
HIDDEN: Final = "(hidden)"
SECRET_NAMES: Final = frozenset(
    {"authorization", "operator_token", "password", "peer_key", "secret", "token"}
)
LINE_KEYS: Final = ["at", "level"]
LINE_MAPPING: Final = {"at": "asctime", "level": "levelname"}
TIME_FORMAT: Final = "%Y-%m-%dT%H:%M:%S%z"

_PLAIN: Final = re.compile(r"[!#-<>-\[\]-~]+")

_logger: Final = logging.getLogger(LOGGER_NAME)


class LineFormatter(Logfmter):
    """Write the lines of `Logfmter`, with a short way for events.

    Each routing decision is a line, so its cost is part of a call's cost.
    """

    def __init__(self) -> None:
        super().__init__(keys=LINE_KEYS, mapping=LINE_MAPPING, datefmt=TIME_FORMAT)
        self._second = 0
        self._time = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of one record."""
        if not isinstance(record.msg, dict) or record.exc_info:
            line: str = super().format(record)
            return line
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._time = self.formatTime(record, TIME_FORMAT)
        parts = [f"at={self._time} level={record.levelname}"]
        for key, value in record.msg.items():
            text = value if type(value) is str else self.format_value(value)
            if text is value and not _PLAIN.fullmatch(text):
                text = self.format_value(value)
            parts.append(f"{key}={text}")
        return " ".join(parts)


def set_up_logs(handler: logging.Handler, level: str = "info") -> None:
    """Send events of the given level and above to a handler."""
    # Nothing shows them, and each costs time for every record.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler.setFormatter(LineFormatter())
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(level.upper())
    _set_up_libraries(handler)


def _set_up_libraries(handler: logging.Handler) -> None:
    """Give what libraries log the same form, one line each."""
    root = logging.getLogger()
    for old in list(root.handlers):
        if isinstance(old.formatter, LineFormatter):
            root.removeHandler(old)
    root.addHandler(handler)
    # It warns of each request that is not valid, which has an event of its own.
    logging.getLogger(SERVER_LOGGER_NAME).setLevel(logging.ERROR)


def log_event(name: str, /, **fields: object) -> None:
    """Log one event with its fields; the values of secret fields are hidden."""
    _log(logging.INFO, name, fields)


def log_warning(name: str, /, **fields: object) -> None:
    """Log one event that an operator should look into."""
    _log(logging.WARNING, name, fields)


def _log(level: int, name: str, fields: dict[str, object]) -> None:
    if not _logger.isEnabledFor(level):
        return
    shown: dict[str, object] = {"event": name}
    for key, value in fields.items():
        shown[key] = HIDDEN if key.lower() in SECRET_NAMES else value
    shown["ms"] = int(time.time() * 1000) % 1000
    # Without a search for the line of code that logs, which nothing shows.
    record = logging.LogRecord(LOGGER_NAME, level, "", 0, shown, None, None)
    _logger.handle(record)
