"""Logging of events, each as one line of key=value pairs."""

import logging
import re
import time
from typing import Final

from logfmter import Logfmter

LOGGER_NAME: Final = "siskinpier"
UVICORN_LOGGER_NAME: Final = "uvicorn.error"
REDACTED: Final = "(hidden)"
SECRET_NAMES: Final = frozenset(
    {"authorization", "operator_token", "password", "peer_key", "secret", "token"}
)
LINE_KEYS: Final = ["at", "level"]
LINE_MAPPING: Final = {"at": "asctime", "level": "levelname"}
TIME_FORMAT: Final = "%Y-%m-%dT%H:%M:%S%z"

# Text that is written as it is, without quotes or escapes.
_PLAIN_TEXT: Final = re.compile(r"[!#-<>-\[\]-~]+")

_logger: Final = logging.getLogger(LOGGER_NAME)


class LineFormatter(Logfmter):
    """Formats the same lines as `Logfmter`, with a fast path for events.

    Every routing decision is logged, so formatting is part of the cost of each call.
    """

    def __init__(self) -> None:
        super().__init__(keys=LINE_KEYS, mapping=LINE_MAPPING, datefmt=TIME_FORMAT)
        self._second = 0
        self._formatted_time = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for one record."""
        if not isinstance(record.msg, dict) or record.exc_info:
            line: str = super().format(record)
            return line
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._formatted_time = self.formatTime(record, TIME_FORMAT)
        parts = [f"at={self._formatted_time} level={record.levelname}"]
        for key, value in record.msg.items():
            text = value if type(value) is str else self.format_value(value)
            if text is value and not _PLAIN_TEXT.fullmatch(text):
                text = self.format_value(value)
            parts.append(f"{key}={text}")
        return " ".join(parts)


def configure_logging(handler: logging.Handler, level: str = "info") -> None:
    """Send events of the given level and above to a handler.

    Log records of libraries go to the same handler.
    """
    # These fields are not in the lines, and collecting them takes time per record.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler.setFormatter(LineFormatter())
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(level.upper())
    _configure_library_logs(handler)


def _configure_library_logs(handler: logging.Handler) -> None:
    """Format the log records of libraries in the same way, one line each."""
    root = logging.getLogger()
    for old in list(root.handlers):
        if isinstance(old.formatter, LineFormatter):
            root.removeHandler(old)
    root.addHandler(handler)
    # uvicorn warns about every invalid request, which is logged as an event already.
    logging.getLogger(UVICORN_LOGGER_NAME).setLevel(logging.ERROR)


def log_event(name: str, /, **fields: object) -> None:
    """Log one event with its fields; values of secret fields are redacted."""
    _log(logging.INFO, name, fields)


def log_warning(name: str, /, **fields: object) -> None:
    """Log one event that an operator should investigate."""
    _log(logging.WARNING, name, fields)


def _log(level: int, name: str, fields: dict[str, object]) -> None:
    if not _logger.isEnabledFor(level):
        return
    logged: dict[str, object] = {"event": name}
    for key, value in fields.items():
        logged[key] = REDACTED if key.lower() in SECRET_NAMES else value
    logged["ms"] = int(time.time() * 1000) % 1000
    # Made by hand to skip the search for the calling line, which is not logged.
    record = logging.LogRecord(LOGGER_NAME, level, "", 0, logged, None, None)
    _logger.handle(record)
