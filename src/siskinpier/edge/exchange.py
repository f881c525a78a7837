"""One call as the shell holds it, from its request to its last byte."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from ..core.claims.messages import KeptReply
from ..core.effects import RefuseCall, RelayReply, ReplayReply, SendAttempt
from .backends import BackendReply
from .bodies import Body
from .headers import Headers

KEPT_REPLY_LIMIT_BYTES: Final = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class CutCall:
    """The reply must be broken off."""


Instruction = RelayReply | RefuseCall | ReplayReply | CutCall


@dataclass(slots=True, kw_only=True)
class Exchange:
    """Request, running attempts, and the core's next instruction.

    The task that serves the call runs one attempt at a time itself, which
    costs less than a task for each; `next_attempt` is the one it takes up.
    """

    call_id: str
    method: str
    target: str
    headers: Headers
    body: Body
    wake: anyio.Event = field(default_factory=anyio.Event)
    instruction: Instruction | None = None
    next_attempt: SendAttempt | None = None
    is_attempting: bool = False
    # Set while a reply is being relayed.
    break_connection: Callable[[], None] | None = None
    attempts: dict[int, anyio.CancelScope] = field(default_factory=dict)
    replies: dict[int, BackendReply] = field(default_factory=dict)

    def instruct(self, instruction: Instruction) -> None:
        """Hand over an instruction of the core."""
        self.instruction = instruction
        self.wake.set()
        if isinstance(instruction, CutCall) and self.break_connection is not None:
            # The call's task may wait for a caller that does not read.
            self.break_connection()

    def take_up(self, attempt: SendAttempt) -> bool:
        """Hand over an attempt to the call's own task; False if it is busy."""
        if self.is_attempting or self.next_attempt is not None:
            return False
        self.next_attempt = attempt
        self.wake.set()
        return True

    async def wait(self) -> Instruction | SendAttempt:
        """Return the next instruction, or else the next attempt to run."""
        while True:
            if self.instruction is not None:
                return self.instruction
            if self.next_attempt is not None:
                attempt, self.next_attempt = self.next_attempt, None
                return attempt
            await self.wake.wait()
            self.wake = anyio.Event()


@dataclass(slots=True, kw_only=True)
class ReplyCopy:
    """A copy of a reply for later calls with its key, unless it grows large."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    wanted: bool
    body: bytearray = field(default_factory=bytearray)

    def add(self, chunk: bytes) -> None:
        """Copy a part of the body."""
        if len(self.body) + len(chunk) > KEPT_REPLY_LIMIT_BYTES:
            self.wanted = False
        if self.wanted:
            self.body += chunk

    def get_kept(self) -> KeptReply | None:
        """Return the whole reply, or None when it is not kept."""
        if not self.wanted:
            return None
        return KeptReply(
            status=self.status, headers=self.headers, body=bytes(self.body)
        )
