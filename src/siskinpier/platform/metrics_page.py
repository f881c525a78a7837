"""Sending of the metrics, whose text may be larger than that of any other response."""

from collections.abc import Callable
from typing import Final

import anyio.lowlevel

from ..edge.responses import Send
from ..metrics import HostMetrics

# Part of the page that is written at once, bytes; a reader that stops holds one part.
PART_BYTES: Final = 16_384
# Age up to which readers share the text of the metrics, seconds.
SHARED_S: Final = 1.0


class MetricsPage:
    """The text of the metrics, shared by all who read it at the same time."""

    def __init__(self, *, metrics: HostMetrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._clock = clock
        self._readers = 0
        self._text = b""
        self._rendered_at = 0.0

    async def send(self, send: Send) -> None:
        """Send the metrics in parts, as fast as they are read."""
        text = self._get_text()
        self._readers += 1
        try:
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": [
                        (b"content-type", b"text/plain; version=0.0.4"),
                        (b"content-length", str(len(text)).encode()),
                    ],
                }
            )
            for start in range(0, len(text), PART_BYTES):
                part = text[start : start + PART_BYTES]
                await send(
                    {"type": "http.response.body", "body": part, "more_body": True}
                )
                # The part is written before the next one is sent.
                await anyio.lowlevel.checkpoint()
            await send({"type": "http.response.body", "body": b""})
        finally:
            self._readers -= 1
            if not self._readers:
                self._text = b""

    def _get_text(self) -> bytes:
        now = self._clock()
        is_old = now - self._rendered_at > SHARED_S
        if not self._readers or is_old:
            self._text = self._metrics.render()
            self._rendered_at = now
        return self._text
