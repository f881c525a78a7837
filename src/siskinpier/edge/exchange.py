"""The shell's state of one call, from its request to the last byte of its reply."""

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
class AbortReply:
    """Instruction to reset the caller's connection instead of finishing the reply."""


Instruction = RelayReply | RefuseCall | ReplayReply | AbortReply


@dataclass(slots=True, kw_only=True)
class Exchange:
    """A request, its running attempts, and the core's next instruction.

    The task that serves the call runs one attempt at a time itself, which is cheaper
    than a task for each attempt; `next_attempt` is the one it runs next.
    """

    call_id: str
    method: str
    target: str
    # May hold a caller's key.
    headers: Headers = field(repr=False)
    body: Body = field(repr=False)
    wake: anyio.Event = field(default_factory=anyio.Event)
    instruction: Instruction | None = None
    next_attempt: SendAttempt | None = None
    is_attempting: bool = False
    # Resets the caller's connection; set only while a reply is being relayed.
    break_connection: Callable[[], None] | None = None
    attempts: dict[int, anyio.CancelScope] = field(default_factory=dict)
    replies: dict[int, BackendReply] = field(default_factory=dict)

    def set_instruction(self, instruction: Instruction) -> None:
        """Set the instruction of the core and wake the call's task."""
        self.instruction = instruction
        self.wake.set()
        if isinstance(instruction, AbortReply) and self.break_connection is not None:
            # The call's task may be blocked by a caller that does not read.
            self.break_connection()

    def offer_attempt(self, attempt: SendAttempt) -> bool:
        """Pass an attempt to the call's own task; return False if it is busy."""
        if self.is_attempting or self.next_attempt is not None:
            return False
        self.next_attempt = attempt
        self.wake.set()
        return True

    async def wait(self) -> Instruction | SendAttempt:
        """Wait for an instruction or an attempt; an instruction comes first."""
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
    """A copy of a reply, to be replayed to later calls with the same key.

    It is discarded if its body exceeds `KEPT_REPLY_LIMIT_BYTES`.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_kept: bool
    body: bytearray = field(default_factory=bytearray)

    def add(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        if len(self.body) + len(chunk) > KEPT_REPLY_LIMIT_BYTES:
            self.is_kept = False
        if self.is_kept:
            self.body += chunk

    def make_kept_reply(self) -> KeptReply | None:
        """Return the complete reply, or None if it is not kept."""
        if not self.is_kept:
            return None
        return KeptReply(
            status=self.status, headers=self.headers, body=bytes(self.body)
        )
