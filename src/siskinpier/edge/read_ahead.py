"""Requests that callers pipeline behind one that is not answered yet.

They are kept as the bytes that arrived, and are parsed one after the other: a parsed
request takes hundreds of bytes for each short header field. Reading is paused while the
bytes have reached their limit.
"""

from collections.abc import Iterator
from typing import Any, Final

from uvicorn.protocols.http.flow_control import FlowControl

from .paused_reading import DisconnectionCheck

HEAD_END: Final = b"\r\n\r\n"


def split_heads(data: bytes) -> Iterator[bytes]:
    """Yield the data in parts that each hold at most one end of a head.

    So each part completes at most two requests: one whose body ends in it, and the one
    whose head follows that body.
    """
    start = 0
    while start < len(data):
        found = data.find(HEAD_END, start)
        end = len(data) if found < 0 else found + len(HEAD_END)
        yield data[start:end] if end - start < len(data) else data
        start = end


class CallerFlow(FlowControl):
    """Flow control of a caller's connection.

    The server library resumes reading whenever a call asks for its body or is answered;
    this flow stays paused while the read-ahead is full. A paused connection is checked
    for its end, which reading would show.
    """

    def __init__(self, transport: Any) -> None:
        super().__init__(transport)
        self._is_full = False
        self._check: DisconnectionCheck | None = None

    def set_full(self, is_full: bool) -> None:
        """Pause reading while the read-ahead is full."""
        self._is_full = is_full
        if is_full:
            self.pause_reading()
        else:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Pause reading, and check whether the caller is still connected."""
        super().pause_reading()
        if self._check is None:
            self._check = DisconnectionCheck(self._transport)
        self._check.start()

    def resume_reading(self) -> None:
        """Resume reading unless the read-ahead is full."""
        if not self._is_full:
            super().resume_reading()
            self.close()

    def close(self) -> None:
        """End the check of whether the caller is connected."""
        if self._check is not None:
            self._check.stop()
