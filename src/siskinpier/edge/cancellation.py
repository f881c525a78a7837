"""Telling the cancellation of a task from one that it only met."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class UnaskedCancellationError(Exception):
    """A task waited for something that was cancelled; the task itself was not."""


@contextmanager
def unasked_cancellation_as_error() -> Iterator[None]:
    """Raise `UnaskedCancellationError` in place of a cancellation of something else.

    Left as it is, it would end all tasks of the group without an error.
    """
    try:
        yield
    except asyncio.CancelledError as exc:
        task = asyncio.current_task()
        if task is None or task.cancelling() > 0:
            raise
        raise UnaskedCancellationError(
            "what the task waited for was cancelled"
        ) from exc
