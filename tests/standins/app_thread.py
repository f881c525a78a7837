"""An ASGI app served on a loopback port by a thread of the test process."""

import socket
import threading
import time
from types import TracebackType
from typing import Final, Self

import uvicorn

from tests.standins.process import HANG_TIMEOUT_S, App

POLL_INTERVAL_S: Final = 0.005


class AppThread:
    """Serves an app while the context is open; `address` is `ip:port`."""

    def __init__(self, app: App) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address: Final = f"127.0.0.1:{self._socket.getsockname()[1]}"
        cfg = uvicorn.Config(
            app, ws="none", lifespan="off", log_config=None, timeout_keep_alive=75
        )
        cfg.timeout_graceful_shutdown = 1
        self._server = uvicorn.Server(cfg)
        self._thread = threading.Thread(
            target=self._server.run, args=([self._socket],), daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        deadline = time.monotonic() + HANG_TIMEOUT_S
        while not self._server.started and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.should_exit = True
        self._server.force_exit = True
        self._thread.join(HANG_TIMEOUT_S)
