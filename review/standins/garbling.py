"""Second copies of answers, as a faulty upstream sends them."""

import asyncio
from collections.abc import Callable

from .http import Message
from .record import Record
from .upstream import Upstream


class Garbling:
    """Makes an upstream send some of its answers twice, the second time late.

    The copy is sent at the point where the next answer on the connection is expected.
    Of `answers_per_copy` answers of a group one is sent twice.
    """

    def __init__(
        self,
        record: Record,
        upstream: Upstream,
        *,
        answers_per_copy: int,
        choose_group: Callable[[Message], str],
        may_copy: Callable[[Message, bytes], bool] = lambda call, answer: True,
    ) -> None:
        self.on = False
        self._record = record
        self._upstream = upstream
        self._answers_per_copy = answers_per_copy
        self._choose_group = choose_group
        self._may_copy = may_copy
        self._answers: dict[str, int] = {}
        self._copied: dict[str, int] = {}
        self._copies: dict[asyncio.StreamWriter, bytes] = {}
        upstream.write_answer = self.write_answer
        upstream.before_read = self.send_copy

    async def write_answer(
        self, call: Message, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write an answer; keep a copy of some."""
        writer.write(answer)
        await writer.drain()
        if not self.on:
            return
        group = self._choose_group(call)
        answers = self._answers.get(group, 0) + 1
        copied = self._copied.get(group, 0)
        self._answers[group] = answers
        is_due = answers // self._answers_per_copy > copied
        if is_due and self._may_copy(call, answer):
            self._copied[group] = copied + 1
            self._copies[writer] = answer

    async def send_copy(self, call: Message, writer: asyncio.StreamWriter) -> None:
        """Send the kept copy when the next request has arrived."""
        copy = self._copies.pop(writer, None)
        if copy is not None:
            what = (
                f"a second copy of {copy[:400]!r} before the answer to {call.first[1]}"
            )
            self._record.write(self._upstream.name, what)
            writer.write(copy)
            await writer.drain()
