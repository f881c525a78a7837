"""Conversion of parse trees of the language into questions and orders."""

from dataclasses import dataclass, replace
from typing import Any, Final, get_args

from annotated_types import Ge, Gt, Le
from lark import ParseTree, Token, Transformer, v_args

from ..configuration.intents import (
    DEFAULT_URGENCY,
    CallRule,
    ProbeBudget,
    ServerState,
    ServiceIntent,
    Urgency,
)
from ..configuration.orders import (
    GuardedOrder,
    Limit,
    Order,
    ReleaseQuarantine,
    SetHostLeaving,
    SetLimit,
    SetRule,
    SetServerState,
)
from .grammar import TERMINAL_TEXTS
from .queries import (
    AskBudgets,
    AskClaims,
    AskConfiguration,
    AskHosts,
    AskQuarantine,
    AskRoute,
    AskServers,
    AskServices,
    AskUpdate,
    ExplainCall,
    Question,
)

MAX_NAME_CHARS: Final = 100
MAX_PATH_CHARS: Final = 1_000
MAX_METHOD_CHARS: Final = 20
DEFAULT_WAIT_S: Final = 10.0
MAX_WAIT_S: Final = 30.0
ANY_METHOD: Final = "any"
UNIT_SECONDS: Final = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3_600.0}
LIMIT_RANGES: Final[dict[Limit, Any]] = {
    Limit.PROBE_BUDGET: ProbeBudget.__annotations__["per_second"],
    Limit.PROBE_BYTES: ProbeBudget.__annotations__["bytes_per_second"],
    Limit.RETRY_SHARE: ServiceIntent.__annotations__["retry_share"],
    Limit.HEDGE_SHARE: ServiceIntent.__annotations__["hedge_share"],
    Limit.QUEUE_LIMIT: ServiceIntent.__annotations__["queue_limit"],
    Limit.DEADLINE: ServiceIntent.__annotations__["deadline_s"],
    Limit.KEY_AGE: ServiceIntent.__annotations__["key_age_s"],
}
DURATION_LIMITS: Final = frozenset({Limit.DEADLINE, Limit.KEY_AGE})


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """An order, and how long to wait for it to be in force on every live host.

    If `wait_s` is None, the answer is sent as soon as the order is accepted.
    """

    order: Order
    wait_s: float | None


class TokenValueError(Exception):
    """A token matches the grammar, but its value is not allowed."""

    def __init__(self, token: Token, allowed: str) -> None:
        super().__init__(allowed)
        self.token = token
        self.allowed = allowed


def interpret(tree: ParseTree) -> Question | Command:
    """Return the question or order of a parse tree.

    Raises `VisitError` that wraps a `TokenValueError` if a value is not allowed.
    """
    result: Question | Command = _TREE_TO_DATA.transform(tree)
    return result


@v_args(inline=True)
class _TreeToData(Transformer[Token, Any]):
    """Turn a parse tree into questions and orders."""

    def services(self) -> AskServices:
        return AskServices()

    def servers(self, service: Token | None) -> AskServers:
        return AskServers(service=service)

    def hosts(self) -> AskHosts:
        return AskHosts()

    def configuration(self) -> AskConfiguration:
        return AskConfiguration()

    def claims(self) -> AskClaims:
        return AskClaims()

    def quarantine(self, service: Token | None) -> AskQuarantine:
        return AskQuarantine(service=service)

    def budgets(self, service: Token | None) -> AskBudgets:
        return AskBudgets(service=service)

    def explain(self, call_id: Token) -> ExplainCall:
        return ExplainCall(call_id=call_id)

    def update(self, update_id: Token) -> AskUpdate:
        return AskUpdate(update_id=update_id)

    def route(
        self, methods: Token, path: str, virtual_host: str, workspace: str | None
    ) -> AskRoute:
        return AskRoute(
            methods=_parse_methods(methods),
            path=path,
            virtual_host=virtual_host.lower(),
            workspace=workspace,
        )

    def command(
        self, order: Order, revision: int | None, wait_s: float | None
    ) -> Command:
        if revision is not None:
            order = GuardedOrder(order=order, revision=revision)
        return Command(order=order, wait_s=wait_s)

    def guard(self, revision: Token) -> int:
        return int(revision)

    def wait(self, duration: Token | None) -> float:
        if duration is None:
            return DEFAULT_WAIT_S
        wait_s = _parse_duration(duration)
        if wait_s > MAX_WAIT_S:
            raise TokenValueError(duration, f"up to {MAX_WAIT_S:g}s")
        return wait_s

    def drain(self, server: str, service: str) -> SetServerState:
        state = ServerState.DRAINING
        return SetServerState(service=service, server=server, state=state)

    def undrain(self, server: str, service: str) -> SetServerState:
        state = ServerState.ACTIVE
        return SetServerState(service=service, server=server, state=state)

    def leave(self, host: str) -> SetHostLeaving:
        return SetHostLeaving(host=host, leaving=True)

    def stay(self, host: str) -> SetHostLeaving:
        return SetHostLeaving(host=host, leaving=False)

    def release(self, fingerprint: str, service: str) -> ReleaseQuarantine:
        return ReleaseQuarantine(service=service, fingerprint=fingerprint)

    def declare(
        self, methods: Token, path: str, service: str, traits: CallRule
    ) -> SetRule:
        rule = replace(traits, methods=_parse_methods(methods), path_prefix=path)
        return SetRule(service=service, rule=rule)

    def traits(
        self, idempotent: bool, urgency: int | None, most_urgent: Token | None
    ) -> CallRule:
        effective_urgency = DEFAULT_URGENCY if urgency is None else urgency
        if most_urgent is not None and int(most_urgent) > effective_urgency:
            raise TokenValueError(
                most_urgent, f"0 to {effective_urgency}, the urgency of the calls"
            )
        return CallRule(
            idempotent=idempotent,
            urgency=effective_urgency,
            most_urgent=int(most_urgent or 0),
        )

    def repeat(self, token: Token) -> bool:
        return token.type == "IDEMPOTENT"

    def urgency(self, number: Token) -> int:
        return int(_check_range(number, int(number), Urgency))

    def most_urgent(self, number: Token) -> Token:
        _check_range(number, int(number), Urgency)
        return number

    def set_limit(self, limit: Limit, service: str, number: Token) -> SetLimit:
        if (number.type == "DURATION") != (limit in DURATION_LIMITS):
            expected = "DURATION" if limit in DURATION_LIMITS else "NUMBER"
            raise TokenValueError(number, TERMINAL_TEXTS[expected])
        value = _parse_duration(number) if limit in DURATION_LIMITS else float(number)
        if limit is Limit.QUEUE_LIMIT and not value.is_integer():
            raise TokenValueError(number, TERMINAL_TEXTS["INTEGER"])
        value = _check_range(number, value, LIMIT_RANGES[limit])
        return SetLimit(service=service, limit=limit, value=value)

    def probe_budget(self) -> Limit:
        return Limit.PROBE_BUDGET

    def probe_bytes(self) -> Limit:
        return Limit.PROBE_BYTES

    def retry_share(self) -> Limit:
        return Limit.RETRY_SHARE

    def hedge_share(self) -> Limit:
        return Limit.HEDGE_SHARE

    def queue_limit(self) -> Limit:
        return Limit.QUEUE_LIMIT

    def deadline(self) -> Limit:
        return Limit.DEADLINE

    def key_age(self) -> Limit:
        return Limit.KEY_AGE

    def name(self, token: Token) -> str:
        return _parse_text(token, 1, MAX_NAME_CHARS)

    def path(self, token: Token) -> str:
        path = _parse_text(token, 1, MAX_PATH_CHARS)
        if not path.startswith("/"):
            raise TokenValueError(token, TERMINAL_TEXTS["PATH"])
        return path


def _parse_text(token: Token, min_chars: int, max_chars: int) -> str:
    text = token[1:-1] if token.type == "STRING" else str(token)
    # Text that cannot be stored would make the whole configuration unreadable.
    if not (min_chars <= len(text) <= max_chars and text.isprintable()):
        raise TokenValueError(token, f"{min_chars} to {max_chars} printable characters")
    return text


def _parse_methods(token: Token) -> tuple[str, ...]:
    if token == ANY_METHOD:
        return ()
    methods = tuple(str(token).split(","))
    if not all(m.isupper() and len(m) <= MAX_METHOD_CHARS for m in methods):
        raise TokenValueError(token, TERMINAL_TEXTS["METHODS"])
    return methods


def _parse_duration(token: Token) -> float:
    number = token.rstrip("hms")
    return float(number) * UNIT_SECONDS[token[len(number) :]]


def _check_range(token: Token, value: float, annotation: Any) -> float:
    """Return the value if it satisfies the constraints of a field's annotation."""
    for constraint in get_args(annotation)[1:]:
        match constraint:
            case Ge(ge=float() | int() as low) if value < low:
                raise TokenValueError(token, f"{low:g} or more")
            case Gt(gt=float() | int() as low) if value <= low:
                raise TokenValueError(token, f"more than {low:g}")
            case Le(le=float() | int() as high) if value > high:
                raise TokenValueError(token, f"up to {high:g}")
    return value


_TREE_TO_DATA: Final = _TreeToData()
