"""The recent decisions about each call, for the question `explain`."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from ..effects import Effect, LogDecision

MAX_EXPLAINED_CALLS: Final = 4_096
MAX_DECISIONS_PER_CALL: Final = 16
CALL_FIELD: Final = "call"


@dataclass(slots=True, kw_only=True)
class Decision:
    """A decision about a call; `at` is in seconds on the host's clock."""

    at: float
    event: str
    fields: dict[str, object]


@dataclass(slots=True, kw_only=True)
class DecisionHistory:
    """The decisions about the most recent calls, oldest call first.

    The number of calls and the number of decisions per call are limited.
    """

    calls: OrderedDict[object, list[Decision]] = field(default_factory=OrderedDict)

    def record(self, effects: Iterable[Effect], now: float) -> None:
        """Record the decisions among the effects of one event."""
        for effect in effects:
            if type(effect) is LogDecision and CALL_FIELD in effect.fields:
                self._add(effect, now)

    def get(self, call_id: str) -> tuple[Decision, ...]:
        """Return the decisions about a call, oldest first; empty if there are none."""
        return tuple(self.calls.get(call_id, ()))

    def _add(self, effect: LogDecision, now: float) -> None:
        decision = Decision(at=now, event=effect.event, fields=effect.fields)
        call_id = effect.fields[CALL_FIELD]
        decisions = self.calls.get(call_id)
        if decisions is not None:
            if len(decisions) < MAX_DECISIONS_PER_CALL:
                decisions.append(decision)
            return
        if len(self.calls) >= MAX_EXPLAINED_CALLS:
            self.calls.popitem(last=False)
        self.calls[call_id] = [decision]
