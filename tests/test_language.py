"""Tests for the query and command language."""

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    RoutingIntents,
    ServerState,
    ServiceIntent,
)
from siskinpier.core.configuration.orders import (
    GuardedOrder,
    Limit,
    Order,
    OrderError,
    ReleaseQuarantine,
    ReplaceServices,
    SetHostLeaving,
    SetLimit,
    SetRule,
    SetServerState,
    apply_order,
    list_undone_changes,
)
from siskinpier.core.language import parsing as lang, queries
from siskinpier.core.language.interpretation import DEFAULT_WAIT_S, Command
from siskinpier.settings.documents import Loaded, dump_intents, parse_intents

DRAIN = SetServerState(service="s", server="a", state=ServerState.DRAINING)
SERVER = BackendServer(name="a", address="127.0.0.1:80", failure_domain="d")
INTENTS = RoutingIntents(
    revision=4,
    changed_by="ana",
    services=(ServiceIntent(name="s", servers=(SERVER,)),),
)
VOCABULARY = (
    'services servers of hosts explain drain undrain server leave host "" if revision'
    " wait 10s 1.5 7 declare calls GET,HEAD under /x idempotent set limit queue"
    ' deadline to release quarantine s a " \ud800 \x00'
)
WORDS = st.sampled_from(VOCABULARY.split(" "))
NAMES = st.text(st.sampled_from("ab \ud800\x00\xe9"), max_size=4) | st.text()
NUMBERS = st.sampled_from(("0", "0.5", "1", "2s", "40ms", "8", "1e3", "999999999"))
ORDERS = st.builds(
    str.format,
    st.sampled_from(
        (
            'leave host "{0}" wait',
            'declare calls any under "/{0}" of s idempotent urgency {1}',
            'declare calls any under "{0}" of s idempotent most urgent {1}',
            "set deadline of s to {1}",
            "set probe budget of s to {1}",
            "set queue limit of s to {1}",
        )
    ),
    NAMES,
    NUMBERS,
)
TEXTS_WITH_SUFFIX = st.builds(
    "{} {}".format,
    st.sampled_from(
        ("services", "servers of s", "explain c", "drain server a of s if revision 4")
        + ("drain server a of s", "set queue limit of s to 7", "stay host h wait 5s")
        + ("declare calls any under / of s idempotent urgency 2",)
    ),
    st.text(min_size=1, max_size=3),
)
TEXTS = st.text() | st.lists(WORDS, max_size=14).map(" ".join)


class TestParsing:
    """Text is parsed as a question or an order, or gives an error with its column."""

    @pytest.mark.parametrize(
        ("text", "question"),
        [
            ("services", queries.AskServices()),
            ("  servers\n of  of ", queries.AskServers(service="of")),
            ('servers of "a b"', queries.AskServers(service="a b")),
            ("servers", queries.AskServers(service=None)),
            ("budgets of s", queries.AskBudgets(service="s")),
            ("explain 0a-1", queries.ExplainCall(call_id="0a-1")),
        ],
    )
    def test_questions(self, text: str, question: queries.Question) -> None:
        assert lang.parse_question(text) == question

    @pytest.mark.parametrize(
        ("text", "order", "wait_s"),
        [
            ("drain server a of s", DRAIN, None),
            ("drain server a of s wait", DRAIN, DEFAULT_WAIT_S),
            (
                "drain server a of s if revision 4 wait 500ms",
                GuardedOrder(order=DRAIN, revision=4),
                0.5,
            ),
            ("stay host wait", SetHostLeaving(host="wait", leaving=False), None),
            (
                "declare calls GET,HEAD under /x of s idempotent urgency 2",
                SetRule(
                    service="s",
                    rule=CallRule(
                        methods=("GET", "HEAD"),
                        path_prefix="/x",
                        idempotent=True,
                        urgency=2,
                    ),
                ),
                None,
            ),
            (
                "set key age of s to 24h",
                SetLimit(service="s", limit=Limit.KEY_AGE, value=86_400.0),
                None,
            ),
            (
                "release quarantine f of s",
                ReleaseQuarantine(service="s", fingerprint="f"),
                None,
            ),
        ],
    )
    def test_orders(self, text: str, order: Order, wait_s: float | None) -> None:
        assert lang.parse_order(text) == Command(order=order, wait_s=wait_s)

    @pytest.mark.parametrize(
        ("text", "column", "found", "allowed"),
        [
            ("", 1, "the end of the text", "drain"),
            ("drain srv", 7, "'srv'", "server"),
            ("drain server a of", 18, "the end of the text", "a name"),
            ("drainserver a of s", 1, "'drainserver'", "drain"),
            ("drain server a offs", 16, "'offs'", "of"),
            ("stay host h :", 13, "':'", "the end of the text"),
            ("stay host h wait ;", 18, "';'", "the end of the text"),
            ("stay host h now", 13, "'now'", "wait"),
            ("drain server a of s wait 31s", 26, "'31s'", "up to 30s"),
            ('leave host ""', 12, "'\"\"'", "1 to 100 printable characters"),
            ('leave host "\ud800"', 12, "'\"\\ud800\"'", "1 to 100"),
            (f"leave host {'h' * 101}", 12, "'hhhh", "1 to 100"),
            ("declare calls get under / of s idempotent", 15, "'get'", "methods"),
            ("declare calls GET under x of s idempotent", 25, "'x'", "a path"),
            ('declare calls GET under "x" of s idempotent', 25, "'\"x\"'", "a path"),
            (
                "declare calls GET under / of s idempotent most urgent 4",
                55,
                "'4'",
                "0 to 3",
            ),
            ("declare calls GET under / of s once", 32, "'once'", "idempotent"),
            ("set retry share of s to 1.5", 25, "'1.5'", "up to 1"),
            ("set queue limit of s to 1.5", 25, "'1.5'", "a whole number"),
            ("set deadline of s to 0s", 22, "'0s'", "more than 0"),
            ("set deadline of s to 10", 22, "'10'", "a time such as"),
        ],
    )
    def test_errors(self, text: str, column: int, found: str, allowed: str) -> None:
        error = lang.parse_order(text)
        assert isinstance(error, lang.LanguageError)
        assert (error.column, error.found.startswith(found)) == (column, True)
        assert allowed in ", ".join(error.allowed)

    @settings(max_examples=400)
    @given(TEXTS | ORDERS | TEXTS_WITH_SUFFIX)
    def test_any_text_gives_an_order_that_can_be_stored_or_an_error(
        self, text: str
    ) -> None:
        assert lang.parse_question(text) is not None
        command = lang.parse_order(text)
        if isinstance(command, lang.LanguageError):
            assert command.reason.isprintable()
            return
        changed = apply_order(INTENTS, command.order)
        if not isinstance(changed, OrderError):
            assert parse_intents(dump_intents(changed)) == Loaded(value=changed)

    def test_too_long(self) -> None:
        assert isinstance(lang.parse_order("x" * 1_000_000), lang.LanguageError)


class TestOrders:
    """An order changes the intents or is refused with a reason.

    A document that would undo orders given since the last document must be detected.
    """

    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            ("drain server b of s", "'b'"),
            ("drain server a of t", "'t'"),
            ("set deadline of t to 1s", "'t'"),
            ("release quarantine f of s", "no such quarantine"),
            ("leave host h if revision 3", "revision 4 by ana is newer"),
        ],
    )
    def test_refused(self, text: str, reason: str) -> None:
        command = lang.parse_order(text)
        assert isinstance(command, Command)
        error = apply_order(INTENTS, command.order)
        assert isinstance(error, OrderError) and reason in error.reason

    @pytest.mark.parametrize(
        ("text", "undone"),
        [
            ("drain server a of s", "~ server a of s state draining -> active"),
            ("leave host h if revision 4", "- leaving host h"),
            ("set probe budget of s to 5", "per_second 5.0 -> 10.0"),
            ("declare calls any under / of s idempotent", "- rule any under / of s"),
        ],
    )
    def test_document_that_undoes_an_order_is_found(
        self, text: str, undone: str
    ) -> None:
        command = lang.parse_order(text)
        assert isinstance(command, Command)
        changed = apply_order(INTENTS, command.order)
        assert isinstance(changed, RoutingIntents)
        added = (*INTENTS.services, ServiceIntent(name="t"))
        found = list_undone_changes(changed, replace(INTENTS, services=added))
        assert len(found) == 1 and undone in found[0].text
        assert (
            list_undone_changes(changed, replace(changed, services=changed.services))
            == ()
        )
        document = ReplaceServices(services=added, leaving_hosts=())
        replaced = apply_order(changed, document)
        assert isinstance(replaced, RoutingIntents)
        assert list_undone_changes(replaced, INTENTS) == ()
