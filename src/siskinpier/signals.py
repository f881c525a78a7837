"""Signals of a host process, from its first statement to its end.

A host imports this module before anything else, so it imports little itself.
"""

import atexit
import signal
from collections import deque
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
HANDLED_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}
# A host gives these no meaning, and their default action ends a process.
IGNORED_SIGNALS = frozenset(
    {
        signal.SIGUSR1,
        signal.SIGUSR2,
        signal.SIGALRM,
        signal.SIGVTALRM,
        signal.SIGPROF,
        signal.SIGIO,
    }
)
# Signals kept until they are handled; of more, the latest.
MAX_PENDING_SIGNALS = 16


class SignalInbox:
    """Keeps the signals of the process until the host is able to handle them."""

    def __init__(self) -> None:
        self._pending: deque[int] = deque(maxlen=MAX_PENDING_SIGNALS)

    def open(self) -> None:
        """Keep signals from now on; no signal that a host handles ends the process.

        At the end of the interpreter, however it comes, signals are ignored.
        """
        for number in IGNORED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._receive)
        # A process inherits the signals that its parent blocked.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        # The interpreter restores the default action of signals that it handles.
        atexit.register(self.close)

    def close(self) -> None:
        """Ignore all signals until the process has ended."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def is_stop_requested(self) -> bool:
        """Return True if a signal that stops the host is kept."""
        return any(number in STOP_SIGNALS for number in self._pending)

    def take(self, handle: Callable[[int], None]) -> None:
        """Pass each signal that is kept to a function, oldest first."""
        while self._pending:
            handle(self._pending.popleft())

    def _receive(self, number: int, _frame: FrameType | None) -> None:
        self._pending.append(number)


SIGNALS = SignalInbox()
