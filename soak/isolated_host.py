"""Cuts the host that runs in this process off from all backend servers.

While a file exists, requests to servers get no connection; those to other hosts do.
"""

import os
from pathlib import Path
from typing import Any

import anyio

from siskinpier.core.verdict import AttemptFailure
from siskinpier.edge.backends import (
    CONNECT_TIMEOUT_S,
    AttemptError,
    BackendClient,
    BackendReply,
)

from .host_environment import ISOLATION_VARIABLE


def isolate_while_file_exists() -> None:
    """Make the client of servers obey the file that the variable names."""
    file = Path(os.environ[ISOLATION_VARIABLE])
    send = BackendClient.send

    async def send_unless_isolated(self: BackendClient, **values: Any) -> BackendReply:
        if not values.get("is_forward") and file.exists():
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise AttemptError(AttemptFailure.CONNECT_TIMEOUT)
        return await send(self, **values)

    BackendClient.send = send_unless_isolated  # type: ignore[method-assign]
