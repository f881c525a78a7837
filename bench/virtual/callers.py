"""Callers in virtual time: kept addresses, retries with the same key, time limits."""

import hashlib
import random
from dataclasses import dataclass, field
from typing import Final

from siskinpier.core.routing.addresses import get_addresses
from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import Verdict

from .host import find_host
from .surroundings import Answer
from .world import World

TRIES_LIMIT: Final = 5
PATIENCE_S: Final = 0.5
PAUSE_S: Final = 0.2
LONGEST_PAUSE_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Intention:
    """What a caller wants done once; `key` is None for an idempotent call."""

    service: str
    method: str
    path: str
    key: str | None = None
    urgency: int = 3
    length_s: float = 2.0


@dataclass(slots=True, eq=False, kw_only=True)
class Effort:
    """All tries of one intention, each under a call id of its own.

    `answer` is the last one; an answer of status 0 means that the connection
    broke or that the caller stopped waiting.
    """

    caller: str
    intention: Intention
    tries: list[Call] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    is_over: bool = False

    @property
    def answer(self) -> Answer | None:
        """Return the last answer, or None before the first."""
        return self.answers[-1] if self.answers else None


class VirtualCallers:
    """Any number of callers; `efforts` holds all that they tried."""

    def __init__(self, *, world: World, seed: int) -> None:
        self.world = world
        self.efforts: list[Effort] = []
        self._rng = random.Random(seed)
        self._open: dict[str, Effort] = {}
        self._sequence = 0
        world.answer_hooks.append(self._take_answer)

    def start(self, caller: str, intention: Intention, delay_s: float = 0.0) -> Effort:
        """Begin an intention after a delay."""
        effort = Effort(caller=caller, intention=intention)
        self.efforts.append(effort)
        self.world.after(delay_s, lambda: self._try(effort))
        return effort

    def _try(self, effort: Effort) -> None:
        host = self._choose_host(effort)
        if host is None:
            self.world.after(PAUSE_S, lambda: self._try(effort))
            return
        self._sequence += 1
        intention = effort.intention
        call = Call(
            call_id=f"{effort.caller}-{self._sequence}",
            service=intention.service,
            method=intention.method,
            path=intention.path,
            caller=effort.caller,
            deadline=self.world.now + intention.length_s,
            urgency=intention.urgency,
            key=intention.key,
            fingerprint=make_fingerprint(effort.caller, intention),
        )
        effort.tries.append(call)
        self._open[call.call_id] = effort
        self.world.call(host, call)
        self.world.after(
            intention.length_s + PATIENCE_S, lambda: self._stop_waiting(call.call_id)
        )

    def _choose_host(self, effort: Effort) -> str | None:
        """Ask any reachable host for addresses; a later try takes a later one."""
        live = [h for h in self.world.hosts.values() if h.is_alive and not h.is_frozen]
        if not live:
            return None
        asked = self._rng.choice(live)
        answer = get_addresses(
            asked.state,
            effort.intention.service,
            asked.failure_domain,
            effort.caller,
            self.world.now,
        )
        if answer is None or not answer.addresses:
            return None
        address = answer.addresses[len(effort.tries) % len(answer.addresses)]
        host = find_host(self.world.hosts.values(), address)
        return host.name if host is not None else None

    def _take_answer(self, answer: Answer) -> None:
        effort = self._open.pop(answer.call_id, None)
        if effort is None:
            return
        effort.answers.append(answer)
        if not self._may_retry(effort, answer):
            effort.is_over = True
            return
        pause_s = max(PAUSE_S, answer.retry_after_s or 0.0)
        self.world.after(pause_s, lambda: self._try(effort))

    def _stop_waiting(self, call_id: str) -> None:
        if call_id not in self._open:
            return
        self._take_answer(
            Answer(
                call_id=call_id,
                at=self.world.now,
                status=0,
                verdict=Verdict.MAY_HAVE_RUN,
                whole=False,
            )
        )

    def _may_retry(self, effort: Effort, answer: Answer) -> bool:
        if len(effort.tries) >= TRIES_LIMIT:
            return False
        if answer.status == 0:
            return True
        if (answer.retry_after_s or 0.0) > LONGEST_PAUSE_S:
            return False
        return answer.status >= 500 and answer.verdict is Verdict.NOT_RUN


def make_fingerprint(caller: str, intention: Intention) -> str:
    """Return the digest that binds a key to its caller and request."""
    text = f"{caller}\0{intention.method}\0{intention.path}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]
